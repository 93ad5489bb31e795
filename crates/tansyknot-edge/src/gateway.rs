//! The pipeline: one request from its head to its account.

mod answers;
mod keys;
mod pages;
mod tries;

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
        respond::{self, After, Whole},
        server::{Handler, Lifecycle, Request},
    },
    problem,
    stage::{
        account::{self, Account, Ended},
        admit::CallerGate,
        attempt::Failure,
        identify::{self, Identified, Route},
    },
    upstream::{self, Reuse},
    watch::CallerWatch,
};

/// Orders to engines that a request gives rise to.
pub trait Replicas: Send + Sync {
    /// Takes in that an engine did not have a model that a row said was ready.
    fn not_loaded(&self, service: &ServiceName);

    /// Has the engine on `target` cancel an attempt whose caller has left.
    fn cancel(&self, target: &Target, attempt: &AttemptId);

    /// Has an adapter loaded beside its model on `target`.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses or does not answer.
    fn load_adapter(
        &self,
        target: &Target,
        service: &ServiceName,
        adapter: &name::AdapterName,
    ) -> tansyknot_core::Result<()>;
}

/// What the pipeline works with.
pub struct Parts {
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The list of hosts.
    pub hosts: Arc<HostView>,
    /// The pools of this daemon.
    pub pools: Arc<Pools>,
    /// Opens targets to requests.
    pub publisher: Arc<Publisher>,
    /// The table service, for idempotency keys.
    pub table: Arc<dyn Table>,
    /// Orders to engines.
    pub replicas: Arc<dyn Replicas>,
    /// Where figures go.
    pub recorder: Arc<dyn Recorder>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// How far the stop is.
    pub lifecycle: Arc<Lifecycle>,
    /// The decisions for the latest requests.
    pub explainer: Arc<Explainer>,
    /// The callers with an attempt under way.
    pub watch: Arc<CallerWatch>,
}

/// Options of the pipeline.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The name of this daemon.
    pub daemon: DaemonName,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that may wait for one service.
    pub waiting_max: usize,
    /// The longest deadline.
    pub deadline_max: Duration,
}

/// The pipeline.
pub struct Gateway {
    parts: Parts,
    options: GatewayOptions,
    callers: CallerGate,
    target_retries: Mutex<HashMap<TargetName, RetryBudget>>,
    pooled: ureq::Agent,
    fresh: ureq::Agent,
}

/// One request on its way through the pipeline.
struct Run<'a> {
    req: &'a Request,
    request: RequestId,
    stream: &'a Arc<TcpStream>,
    after: After,
    span: Span,
    account: Account,
}

/// What the pipeline has written to the caller.
enum Written {
    /// Nothing: the answer is still to be written.
    Nothing(Whole),
    /// The whole answer, as a stream.
    Stream(u16),
    /// A part of a stream and an error event.
    Part(Refusal),
}

/// What became of one attempt.
enum Tried {
    Written(Written),
    Failed(Failure),
}

impl Gateway {
    /// Makes the pipeline.
    pub fn new(parts: Parts, options: GatewayOptions) -> Self {
        Self {
            parts,
            options,
            callers: CallerGate::default(),
            target_retries: Mutex::default(),
            pooled: upstream::agent(Reuse::Pooled),
            fresh: upstream::agent(Reuse::Fresh),
        }
    }

    fn now(&self) -> Time {
        self.parts.clock.now()
    }

    /// Takes a request through identify, admit, place, attempt and relay.
    fn run(&self, run: &mut Run<'_>, route: &Route) -> Result<Written, Refusal> {
        let now = self.now();
        let req = self.identify(run, route, now)?;
        let permit = self.callers.enter(&req.caller, now)?;
        let mut key = None;
        let result = self.try_targets(run, &req, &permit, &mut key);
        self.settle_key(&result, key);
        if let Ok(Written::Nothing(_) | Written::Stream(_)) = &result {
            permit.success();
        }
        result
    }

    fn identify(&self, run: &mut Run<'_>, route: &Route, now: Time) -> Result<Identified, Refusal> {
        let max = self.options.deadline_max;
        let req = self.parts.config.with(|store| {
            let caller = identify::caller(store, &run.req.head)?;
            run.account.trail.add(now, Decision::Identified(caller.name.clone()));
            identify::identify(store, caller, route, run.req, now, max)
        })?;
        run.account.trail.service = Some(req.service.clone());
        run.account.trail.add(now, Decision::Ruled(req.rule.name.clone()));
        Ok(req)
    }

    /// Writes what is still to be written and closes the account.
    fn finish(
        &self,
        run: Run<'_>,
        result: Result<Written, Refusal>,
        stream: &mut TcpStream,
    ) -> io::Result<After> {
        let (ended, written) = match result {
            Ok(Written::Nothing(whole)) => {
                let status = whole.status;
                let written = respond::write_whole(stream, &whole, run.after);
                (Ended::Answered(status), written.map(|()| run.after))
            }
            Ok(Written::Stream(status)) => (Ended::Answered(status), Ok(self.after_stream(&run))),
            Ok(Written::Part(refusal)) => (Ended::Refused(refusal), Ok(After::Close)),
            Err(refusal) if refusal.reason == Reason::CallerLeft => {
                (Ended::Refused(refusal), Ok(After::Close))
            }
            Err(refusal) => {
                let answer = problem::answer(&refusal, Some(&run.request));
                let written = respond::write_whole(stream, &answer, run.after);
                (Ended::Refused(refusal), written.map(|()| run.after))
            }
        };
        let recorder = self.parts.recorder.as_ref();
        account::close(recorder, &self.parts.explainer, run.account, &ended, self.now());
        written
    }

    fn after_stream(&self, run: &Run<'_>) -> After {
        if run.req.head.http_1_1 { run.after } else { After::Close }
    }
}

impl Handler for Gateway {
    fn handle(&self, req: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        let now = self.now();
        let request = RequestId::new(name::random_id());
        let parent = req.head.header("traceparent").and_then(SpanContext::decode_w3c_traceparent);
        let span = Span::root("request", parent.unwrap_or_else(SpanContext::random))
            .with_property(|| ("request", request.to_string()));
        let version = self.parts.config.version();
        let trail = Trail::new(request.clone(), self.options.daemon.clone(), version, now);
        let shared = Arc::new(stream.try_clone()?);
        let account = Account { trail, began: now, first_part: None, queued: false };
        let mut run = Run { req: &req, request, stream: &shared, after, span, account };
        let result = match identify::route(&run.req.head) {
            Ok(Route::Health) => {
                let health = self.health();
                respond::write_whole(stream, &health, after)?;
                return Ok(after);
            }
            Ok(Route::Models) => self.models(&run).map(Written::Nothing),
            Ok(route) => self.run(&mut run, &route),
            Err(refusal) => Err(refusal),
        };
        self.finish(run, result, stream)
    }
}

fn caller_left() -> Refusal {
    Refusal::unknown(Reason::CallerLeft, "the caller left while the target worked")
}
