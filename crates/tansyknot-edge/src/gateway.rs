//! The request pipeline, from the head of a request to the record of its end.

mod attempts;
mod keys;
mod local_responses;
mod responses;

use std::{
    collections::HashMap,
    io,
    net::TcpStream,
    sync::{Arc, Mutex},
    time::Duration,
};

use fastrace::prelude::{Span, SpanContext};
use tansyknot_control::{config::ConfigView, hosts::HostView, pools::Pools, publish::Publisher};
use tansyknot_core::{
    clock::{Clock, Time},
    host::Target,
    name::{
        self, AttemptId, DaemonName, Incarnation, RequestId, ServiceName, TargetName, ZoneName,
    },
    refusal::{Reason, Refusal},
    table::Table,
    telemetry::Recorder,
};
use tansyknot_policy::budget::RetryBudget;

use crate::{
    explain::{Decision, Explainer, Trail},
    http::{
        head::Head,
        memory::{RequestMemory, ResponseShare},
        respond::{self, ConnectionAction, FullResponse},
        server::{Handler, Lifecycle, Request},
    },
    problem,
    stage::{
        account::{self, Account, Ended},
        admit::CallerGate,
        attempt::Failure,
        identify::{self, IdentifiedRequest, Route},
        relay::WholeResponse,
    },
    upstream::{self, ConnectionReuse},
    watch::CallerWatch,
};

/// Orders to engines that the pipeline issues while it processes requests.
pub trait EngineOrders: Send + Sync {
    /// Reports that an engine does not have a model that is ready according to its replica row.
    fn report_not_loaded(&self, service: &ServiceName);

    /// Makes the engine on `target` cancel an attempt whose caller has left.
    fn cancel(&self, target: &Target, attempt: &AttemptId);

    /// Loads an adapter with its model on `target`.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses or does not respond.
    fn load_adapter(
        &self,
        target: &Target,
        service: &ServiceName,
        adapter: &name::AdapterName,
    ) -> tansyknot_core::Result<()>;
}

/// The dependencies of the pipeline.
pub struct GatewayDependencies {
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The list of hosts.
    pub hosts: Arc<HostView>,
    /// The pools of this daemon.
    pub pools: Arc<Pools>,
    /// Adds targets to the pools.
    pub publisher: Arc<Publisher>,
    /// The table service, for idempotency keys.
    pub table: Arc<dyn Table>,
    /// Issues orders to engines.
    pub replicas: Arc<dyn EngineOrders>,
    /// The recorder of metrics.
    pub recorder: Arc<dyn Recorder>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The state of the server's shutdown.
    pub lifecycle: Arc<Lifecycle>,
    /// The decisions about the latest requests.
    pub explainer: Arc<Explainer>,
    /// Watches the callers with an attempt in progress.
    pub watch: Arc<CallerWatch>,
    /// The memory for requests and responses.
    pub memory: Arc<RequestMemory>,
}

/// Options of the pipeline.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The name of this daemon.
    pub daemon: DaemonName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The maximum number of requests that wait for one service.
    pub max_waiting: usize,
    /// The maximum deadline.
    pub deadline_max: Duration,
}

/// The request pipeline.
pub struct Gateway {
    parts: GatewayDependencies,
    options: GatewayOptions,
    callers: CallerGate,
    target_retries: Mutex<HashMap<TargetName, RetryBudget>>,
    pooled_agent: ureq::Agent,
    fresh_agent: ureq::Agent,
}

/// A request in the pipeline.
struct ActiveRequest<'a> {
    req: &'a Request,
    request_id: RequestId,
    stream: &'a Arc<TcpStream>,
    after: ConnectionAction,
    span: Span,
    account: Account,
    /// What its response holds, until it has been written.
    share: ResponseShare,
}

/// The state of the response to the caller after an attempt.
enum CallerResponse {
    /// The full response has been read but not yet written to the caller.
    Pending(WholeResponse),
    /// The daemon responds by itself; the response has not been written to the caller.
    Local(FullResponse),
    /// The full response has been written as a stream.
    Streamed(u16),
    /// A part of a stream has been written, followed by an error event.
    Partial(Refusal),
}

/// The outcome of one attempt.
enum AttemptOutcome {
    Responded(CallerResponse),
    Failed(Failure),
}

impl Gateway {
    /// Creates the pipeline.
    pub fn new(parts: GatewayDependencies, options: GatewayOptions) -> Self {
        Self {
            parts,
            options,
            callers: CallerGate::default(),
            target_retries: Mutex::default(),
            pooled_agent: upstream::agent(ConnectionReuse::Pooled),
            fresh_agent: upstream::agent(ConnectionReuse::Fresh),
        }
    }

    fn now(&self) -> Time {
        self.parts.clock.now()
    }

    /// Runs the stages identify, admit, place, attempt and relay for a request.
    fn process(
        &self,
        active: &mut ActiveRequest<'_>,
        route: &Route,
    ) -> Result<CallerResponse, Refusal> {
        let now = self.now();
        let req = self.identify(active, route, now)?;
        let permit = self.callers.enter(&req.caller, now)?;
        let mut key = None;
        let result = self.try_targets(active, &req, &permit, &mut key);
        self.settle_key(&result, key);
        let is_success = matches!(
            result,
            Ok(CallerResponse::Pending(_) | CallerResponse::Local(_) | CallerResponse::Streamed(_))
        );
        if is_success {
            permit.success();
        }
        result
    }

    fn identify(
        &self,
        active: &mut ActiveRequest<'_>,
        route: &Route,
        now: Time,
    ) -> Result<IdentifiedRequest, Refusal> {
        let max = self.options.deadline_max;
        let req = self.parts.config.with(|store| {
            let caller = identify::caller(store, &active.req.head)?;
            active.account.trail.add(now, Decision::Identified(caller.name.clone()));
            identify::identify(store, caller, route, active.req, now, max)
        })?;
        active.account.trail.service = Some(req.service.clone());
        active.account.trail.add(now, Decision::Ruled(req.rule.name.clone()));
        Ok(req)
    }

    /// Writes the response if it is not written yet, and records the end of the request.
    fn finish(
        &self,
        active: ActiveRequest<'_>,
        result: Result<CallerResponse, Refusal>,
        stream: &TcpStream,
    ) -> io::Result<ConnectionAction> {
        let (end, write_result) = match result {
            Ok(CallerResponse::Pending(whole)) => {
                let write_result = whole.write(stream, active.after);
                (Ended::Answered(whole.status), write_result.map(|()| active.after))
            }
            Ok(CallerResponse::Local(response)) => {
                let write_result = respond::write_response(stream, &response, active.after);
                (Ended::Answered(response.status), write_result.map(|()| active.after))
            }
            Ok(CallerResponse::Streamed(status)) => {
                (Ended::Answered(status), Ok(self.after_stream(&active)))
            }
            Ok(CallerResponse::Partial(refusal)) => {
                (Ended::Refused(refusal), Ok(ConnectionAction::Close))
            }
            Err(refusal) if refusal.reason == Reason::CallerLeft => {
                (Ended::Refused(refusal), Ok(ConnectionAction::Close))
            }
            Err(refusal) => {
                let response = problem::response(&refusal, Some(&active.request_id));
                let write_result = respond::write_response(stream, &response, active.after);
                (Ended::Refused(refusal), write_result.map(|()| active.after))
            }
        };
        let recorder = self.parts.recorder.as_ref();
        account::record_end(recorder, &self.parts.explainer, active.account, &end, self.now());
        write_result
    }

    fn after_stream(&self, active: &ActiveRequest<'_>) -> ConnectionAction {
        if active.req.head.http_1_1 { active.after } else { ConnectionAction::Close }
    }
}

impl Handler for Gateway {
    fn refuse_by_head(&self, head: &Head) -> Option<FullResponse> {
        let refusal = match identify::route(head) {
            Ok(Route::Health) => return None,
            Ok(_) => self.parts.config.with(|store| identify::caller(store, head)).err()?,
            Err(refusal) => refusal,
        };
        Some(problem::response(&refusal, None))
    }

    fn handle(
        &self,
        req: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let now = self.now();
        let request_id = RequestId::new(name::random_id());
        let parent = req.head.header("traceparent").and_then(SpanContext::decode_w3c_traceparent);
        let span = Span::root("request", parent.unwrap_or_else(SpanContext::random))
            .with_property(|| ("request", request_id.to_string()));
        let version = self.parts.config.version();
        let trail = Trail::new(request_id.clone(), self.options.daemon.clone(), version, now);
        let account = Account { trail, received_at: now, first_part_at: None, queued: false };
        let share = ResponseShare::new(Arc::clone(&self.parts.memory));
        let mut active =
            ActiveRequest { req: &req, request_id, stream, after, span, account, share };
        let result = match identify::route(&active.req.head) {
            Ok(Route::Health) => {
                let health = self.health();
                respond::write_response(stream, &health, after)?;
                return Ok(after);
            }
            Ok(Route::Models) => self.models(&active).map(CallerResponse::Local),
            Ok(route) => self.process(&mut active, &route),
            Err(refusal) => Err(refusal),
        };
        self.finish(active, result, stream)
    }
}

fn caller_left() -> Refusal {
    Refusal::unknown(Reason::CallerLeft, "the caller left while the target worked")
}
