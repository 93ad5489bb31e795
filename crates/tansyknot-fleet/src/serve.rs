//! Request handling: routing, target selection, exchange with the target, relay of the response,
//! and accounting.

mod access;
mod attempt;
mod awaited;
mod crash;
mod handover;
mod log_limit;
mod origin;
mod permit;
mod queue;
mod request;
mod room;
mod signal;
mod wait;

use std::{cell::OnceCell, io, net::TcpStream, rc::Rc, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::{BootInstant, Time},
    event, metric,
    name::ServiceName,
    refusal,
    telemetry::Recorder,
};
use tansyknot_http::{
    head::Head,
    problem,
    respond::{self, ConnectionAction, FullResponse},
    server::{Handler, Lifecycle, Request, RequestLimits},
};

use crate::{
    access::Quotas,
    backpressure::Permits,
    catalog::{Catalog, Route},
    exchange::{BodyEnd, Failure},
    fleet::CacheNeed,
    paths::Paths,
    platform_api::{Dialect, RequestParams},
    poison::key::RequestSuspects,
    residency::ZoneSet,
    response_buffers::{Reservation, ResponseBuffers},
    response_relay::{self, CallerConnection, EventRelay, TargetResponse},
    state::State,
    stream_origin::{NoPeers, Origin, OriginDirectory},
    target::Target,
};

use access::Identity;
use log_limit::LogRateLimit;
pub use request::Reason;
use request::{ActiveRequest, Ended, NotRun, Refusal, SendOutcome};

/// Time limit of a request that names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Maximum number of sends of one request, including the first.
const MAX_SENDS: u32 = 4;

/// Forwards callers' requests to the targets of the fleet.
pub struct Server {
    state: Arc<State>,
    dialect: Arc<dyn Dialect>,
    quotas: Arc<dyn Quotas>,
    permits: Arc<dyn Permits>,
    origins: Arc<dyn OriginDirectory>,
    recorder: Arc<dyn Recorder>,
    lifecycle: Arc<Lifecycle>,
    paths: Paths,
    refusal_logs: LogRateLimit,
    malformed_logs: LogRateLimit,
    buffers: Arc<ResponseBuffers>,
}

impl Server {
    /// Creates a server on the shared state.
    pub fn new(
        state: Arc<State>,
        dialect: Arc<dyn Dialect>,
        quotas: Arc<dyn Quotas>,
        permits: Arc<dyn Permits>,
        recorder: Arc<dyn Recorder>,
        lifecycle: Arc<Lifecycle>,
    ) -> Self {
        let (refusal_logs, malformed_logs) = (LogRateLimit::default(), LogRateLimit::default());
        let buffers = Arc::default();
        let paths = Paths::new(Arc::clone(&state), Arc::clone(&recorder));
        Self {
            state,
            dialect,
            quotas,
            permits,
            origins: Arc::new(NoPeers),
            recorder,
            lifecycle,
            paths,
            refusal_logs,
            malformed_logs,
            buffers,
        }
    }

    /// Returns this server with bounds on the responses that it holds.
    #[must_use]
    pub fn with_response_buffers(self, buffers: ResponseBuffers) -> Self {
        Self { buffers: Arc::new(buffers), ..self }
    }

    /// Returns this server with a way to share the origins of streams with other daemons.
    #[must_use]
    pub fn with_origins(self, origins: Arc<dyn OriginDirectory>) -> Self {
        Self { origins, ..self }
    }

    /// Returns the bytes of responses that the server holds.
    pub fn buffers(&self) -> Arc<ResponseBuffers> {
        Arc::clone(&self.buffers)
    }

    /// Resolves the route, the service, the team, the origin and the size of a request.
    fn route(&self, head: &Head, params: &RequestParams, arrived: Time) -> Result<Routed, Reason> {
        if self.lifecycle.is_ending() {
            return Err(Reason::Stopping);
        }
        let (catalog, view) = self.state.active_catalog_and_keys();
        let catalog = catalog.ok_or(Reason::NoConfiguration)?;
        let host = head.header("host").unwrap_or("");
        let no_route = || self.reason_without_route(&catalog);
        let route = find_route(&catalog, host, &head.path).ok_or_else(no_route)?;
        let hash = xxhash_rust::xxh3::xxh3_64(params.id.as_bytes());
        let service = route.service(hash).cloned().ok_or_else(no_route)?;
        let identity = self.identify(head, &route, &catalog, &view, arrived)?;
        let zones = self.state.regions.allowed_zones(&identity.residency_bounds(&route));
        let origin = self.resumed_origin(params, &route)?;
        let origin_service = origin.get().map(|origin| origin.service.clone());
        let service = origin_service.filter(|s| route.leads_to(s)).unwrap_or(service);
        let cache = self.cache_need(params, &catalog, &service)?;
        Ok(Routed { route, service, identity, zones, origin, cache })
    }

    /// Returns why a request has no route: a configuration that may be outdated may lack it.
    fn reason_without_route(&self, catalog: &Catalog) -> Reason {
        match self.state.config_may_be_outdated(catalog.version) {
            true => Reason::StaleConfiguration,
            false => Reason::NoRoute,
        }
    }

    /// Refuses a request before a target is selected for it.
    fn refuse_on_arrival(
        &self,
        head: &Head,
        params: &RequestParams,
        refusal: Refusal,
        stream: &TcpStream,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let Refusal { reason, retry_after } = refusal;
        self.record_refusal(head, params, reason);
        self.refuse(&params.id, reason, retry_after, stream, after)
    }

    fn record_refusal(&self, head: &Head, params: &RequestParams, reason: Reason) {
        if !reason.may_flood_logs() || self.refusal_logs.admits(self.state.now()) {
            self.log_refusal(head, params, reason);
        }
        let label = ServiceName::from(reason.name());
        self.recorder.count(metric::REFUSED_ON_ARRIVAL.name, &label, 1);
    }

    fn log_refusal(&self, head: &Head, params: &RequestParams, reason: Reason) {
        let (catalog, view) = self.state.active_catalog_and_keys();
        let version = catalog.map_or(0, |c| c.version);
        let now = self.state.now();
        let millis_since = |at: Option<Time>| {
            at.map_or_else(String::new, |at| now.since(at).as_millis().to_string())
        };
        let resumption = params.resumption.as_ref();
        let resumes = resumption.and_then(|r| r.first_attempt.as_deref()).unwrap_or("");
        event::FLEET_REFUSED.emit(&[
            ("request", &params.id),
            ("reason", &reason.name()),
            ("path", &head.path),
            ("resumes", &resumes),
            ("config", &version),
            ("config_age_ms", &millis_since(self.state.config_known_at(version))),
            ("keys_age_ms", &millis_since(view.as_of(version))),
        ]);
    }

    fn serve(&self, request: &mut ActiveRequest<'_>) -> Ended {
        if !self.may_finish(request) {
            return Ended::Refused(Reason::Stopping);
        }
        let now = self.state.now();
        let convicted = self.state.poison().convicted_of(&request.suspects);
        if let [key] = convicted[..] {
            request.is_trial = self.state.begin_trial(key, &request.suspects);
        }
        self.state.fleet().count_arrival(&request.want(), now);
        loop {
            let target = match self.next_target(request) {
                Ok(target) => target,
                Err(reason) => return self.give_up(request, reason),
            };
            let sent = BootInstant::now();
            let outcome = self.send(request, &target);
            if matches!(outcome, SendOutcome::Relayed(status) if status < 400) {
                self.state.fleet().observe_service_time(&request.want(), sent.elapsed());
            }
            self.release_target(request, &target);
            if matches!(outcome, SendOutcome::NotRun(NotRun::Withheld)) {
                // Nothing was sent, so the target may be selected again once it accepts requests.
                continue;
            }
            request.sends += 1;
            request.is_trial = false;
            request.tried.push(target.name.clone());
            match outcome {
                SendOutcome::Relayed(status) => {
                    request.relay.finish();
                    return Ended::Answered { status, after: request.caller.after };
                }
                SendOutcome::NotRun(_) => {}
                SendOutcome::ServerError(response) => {
                    request.may_have_run = true;
                    request.fallback = Some(response);
                    if !request.may_run_again() {
                        return self.give_up(request, Reason::TargetFailed);
                    }
                }
                SendOutcome::MayHaveRun(Failure::CallerLeft) => {
                    return Ended::Aborted(Reason::CallerLeft);
                }
                SendOutcome::MayHaveRun(Failure::CallerStalled) => {
                    return Ended::Aborted(Reason::CallerStalled);
                }
                SendOutcome::MayHaveRun(Failure::Stopping) => {
                    request.may_have_run = true;
                    return self.give_up(request, Reason::TargetFailed);
                }
                // The response of another run would find no room either.
                SendOutcome::MayHaveRun(Failure::NoBuffer) => {
                    return self.give_up(request, Reason::NoBuffer);
                }
                SendOutcome::MayHaveRun(_) => {
                    request.may_have_run = true;
                    let is_withheld = self.state.poison().withholds(&request.suspects);
                    if is_withheld || !request.may_run_again() {
                        return self.give_up(request, Reason::TargetFailed);
                    }
                }
            }
            if request.sends >= MAX_SENDS {
                return self.give_up(request, Reason::RefusedByTargets);
            }
        }
    }

    /// Returns whether a request may finish before the daemon's end, as far as is known.
    fn may_finish(&self, request: &ActiveRequest<'_>) -> bool {
        let Some(left) = self.lifecycle.time_until_abort() else { return true };
        let expected = self.state.fleet().expected_service_time(&request.want());
        expected.is_none_or(|expected| expected <= left)
    }

    /// Ends a request with the best result available: a target's error response, or else `reason`.
    fn give_up(&self, request: &mut ActiveRequest<'_>, reason: Reason) -> Ended {
        if reason == Reason::CallerLeft {
            return Ended::Aborted(reason);
        }
        if request.relay.has_begun() {
            return Ended::Aborted(Reason::StreamBroken);
        }
        if let Some(response) = request.fallback.take() {
            return match self.write_response(request, &response) {
                Ok(()) => Ended::Answered { status: response.status, after: request.caller.after },
                Err(Failure::CallerStalled) => Ended::Aborted(Reason::CallerStalled),
                Err(_) => Ended::Aborted(Reason::CallerLeft),
            };
        }
        let is_past_deadline = BootInstant::now() >= request.give_up_at();
        Ended::Refused(match reason {
            _ if request.may_have_run && is_past_deadline => Reason::NoAnswerInTime,
            _ if request.may_have_run => Reason::TargetFailed,
            other => other,
        })
    }

    /// Writes a full response to the caller.
    fn write_response(
        &self,
        request: &ActiveRequest<'_>,
        response: &TargetResponse,
    ) -> Result<(), Failure> {
        let write_by = self.buffers.write_deadline(request.deadline);
        response_relay::write_response(request.caller, response, write_by)
    }

    fn release_target(&self, request: &ActiveRequest<'_>, target: &Target) {
        self.state.fleet().end_request(
            &target.name,
            request.params.model.as_ref(),
            request.cache.tokens,
        );
        self.state.targets_changed.notify();
    }

    /// Returns the target of the next send, after counting the send as the first one or as a retry.
    fn next_target(&self, request: &mut ActiveRequest<'_>) -> Result<Arc<Target>, Reason> {
        if let Some(target) = request.next_target.take() {
            return Ok(target);
        }
        let target = self.find_target(request)?;
        if self.state.fleet().take_report_due() {
            self.state.step_due.notify();
        }
        if request.sends == 0 {
            if !std::mem::replace(&mut request.is_first_send_counted, true) {
                self.state.count_first_send(&request.service);
            }
        } else if request.transmissions > 0 && !self.state.take_retry(&request.service) {
            self.release_target(request, &target);
            request.note(format_args!("retry budget empty"));
            return Err(Reason::RefusedByTargets);
        }
        Ok(target)
    }

    fn refuse(
        &self,
        id: &str,
        reason: Reason,
        retry_after: Option<Duration>,
        stream: &TcpStream,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let retry_after =
            retry_after.or_else(|| reason.retry_after(self.state.store_is_unavailable()));
        let response = self.refusal_response(id, reason.status(), reason.name(), retry_after);
        respond::write_response(stream, &response, after)?;
        Ok(after)
    }

    fn refusal_response(
        &self,
        id: &str,
        status: u16,
        reason: &str,
        retry_after: Option<Duration>,
    ) -> FullResponse {
        let headers = self.dialect.refusal(id, retry_after);
        let body = format!("{{\"reason\":\"{reason}\"}}").into_bytes();
        FullResponse { status, content_type: "application/json".to_owned(), headers, body }
    }

    /// Records the metrics of an ended request under its route.
    fn record_metrics(&self, request: &ActiveRequest<'_>, outcome: &'static str, total: Duration) {
        let route = ServiceName::new(Arc::clone(&request.route.name));
        self.recorder.count(outcome, &route, 1);
        self.recorder.time(metric::REQUEST.name, &route, total);
        if let Some(first) = request.relay.first_at {
            self.recorder.time(
                metric::FIRST_EVENT.name,
                &route,
                first.duration_since(request.began),
            );
            self.recorder.time(metric::GAP.name, &route, request.relay.longest_gap);
        }
        if !request.waited.is_zero() {
            self.recorder.time(metric::WAITED.name, &route, request.waited);
        }
        if request.params.resumption.is_some() {
            self.recorder.count(metric::STREAMS_RESUMED.name, &route, 1);
        }
        if request.sends > 1 {
            self.recorder.count(metric::SENDS_AGAIN.name, &route, u64::from(request.sends - 1));
        }
    }

    fn record_outcome(&self, request: &ActiveRequest<'_>, ended: &Ended) {
        let total = request.began.elapsed();
        let outcome = match ended {
            Ended::Answered { status, .. } if *status < 400 => metric::ANSWERED.name,
            Ended::Answered { .. } => metric::TARGET_ERROR.name,
            Ended::Refused(reason) | Ended::Aborted(reason) => reason.name(),
        };
        self.record_metrics(request, outcome, total);
        let kind = match ended {
            Ended::Answered { status, .. } if *status < 400 => event::FLEET_ANSWERED,
            _ => event::FLEET_FAILED,
        };
        let version = self.state.catalog().map_or(0, |c| c.version);
        let first = request.relay.first_at.map(|at| at.duration_since(request.began).as_millis());
        let first_ms = first.map_or_else(String::new, |ms| ms.to_string());
        let model = request.params.model.as_ref().map_or("", |m| m.as_str());
        let adapter = request.params.adapter.as_ref().map_or("", |a| a.as_str());
        let resumption = request.params.resumption.as_ref();
        let resumes = resumption.and_then(|r| r.first_attempt.as_deref()).unwrap_or("");
        let resumes_after = resumption.map_or("", |r| r.last_event.as_str());
        kind.emit(&[
            ("request", &request.params.id),
            ("key", &request.suspects.request),
            ("parts", &request.params.shared_part_ids()),
            ("route", &request.route.name),
            ("team", &request.identity.name()),
            ("config", &version),
            ("service", &request.service),
            ("model", &model),
            ("adapter", &adapter),
            ("resumes", &resumes),
            ("resumes_after", &resumes_after),
            ("outcome", &outcome),
            ("sends", &request.sends),
            ("runs", &request.runs),
            ("waited_ms", &request.waited.as_millis()),
            ("first_ms", &first_ms),
            ("gap_ms", &request.relay.longest_gap.as_millis()),
            ("events", &request.relay.events),
            ("total_ms", &total.as_millis()),
            ("trail", &request.trail),
        ]);
    }
}

/// Route, service, identity, residency, origin and size of a request.
struct Routed {
    route: Arc<Route>,
    service: ServiceName,
    identity: Identity,
    zones: Option<ZoneSet>,
    /// The origin of the stream that it resumes.
    origin: Rc<OnceCell<Origin>>,
    cache: CacheNeed,
}

fn find_route(catalog: &Catalog, host: &str, path: &str) -> Option<Arc<Route>> {
    if let Some(route) = catalog.route(host, path) {
        return Some(Arc::clone(route));
    }
    let (name, _) = host.split_once(':')?;
    catalog.route(name, path).cloned()
}

impl Handler for Server {
    fn limits(&self) -> RequestLimits {
        self.state.catalog().map_or_else(RequestLimits::default, |catalog| catalog.limits)
    }

    fn refuse_by_head(&self, head: &Head) -> Option<FullResponse> {
        let params = self.dialect.request_params(head);
        let reason = self.route(head, &params, self.state.now()).err()?;
        self.record_refusal(head, &params, reason);
        let retry_after = reason.retry_after(self.state.store_is_unavailable());
        Some(self.refusal_response(&params.id, reason.status(), reason.name(), retry_after))
    }

    fn refusal(&self, refusal: &refusal::Refusal, head: Option<&Head>) -> FullResponse {
        let reason = refusal.reason;
        let label = ServiceName::from(reason.code());
        self.recorder.count(metric::REFUSED_ON_ARRIVAL.name, &label, 1);
        let Some(head) = head else { return problem::response(refusal, None) };
        let id = self.dialect.request_params(head).id;
        self.refusal_response(&id, reason.status(), reason.code(), refusal.retry_after)
    }

    fn handle(
        &self,
        req: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let began = BootInstant::now();
        self.buffers.limit_connection(stream)?;
        let params = self.dialect.request_params(&req.head);
        let Routed { route, service, identity, zones, origin, cache } =
            match self.route(&req.head, &params, self.state.now()) {
                Ok(routed) => routed,
                Err(reason) => {
                    return self.refuse_on_arrival(
                        &req.head,
                        &params,
                        reason.into(),
                        stream,
                        after,
                    );
                }
            };
        let time_limit = params.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        let cost = match self.take_quota(&identity, &params, time_limit) {
            Ok(cost) => cost,
            Err(refusal) => {
                return self.refuse_on_arrival(&req.head, &params, refusal, stream, after);
            }
        };
        let caller = CallerConnection { stream, http_1_1: req.head.http_1_1, after };
        let mut request = ActiveRequest {
            req: &req,
            suspects: RequestSuspects::of(&req, &service, &params.shared_parts),
            is_trial: false,
            params,
            route,
            service,
            identity,
            zones,
            cache,
            origin,
            cost,
            caller,
            began,
            deadline: began + time_limit,
            is_first_send_counted: false,
            sends: 0,
            transmissions: 0,
            runs: 0,
            next_target: None,
            permit_request: None,
            permit: None,
            may_have_run: false,
            body_end: BodyEnd::default(),
            tried: Vec::new(),
            relay: EventRelay::default(),
            buffer: Reservation::new(&self.buffers),
            fallback: None,
            waited: Duration::ZERO,
            retry_after: None,
            trail: String::new(),
        };
        let ended = self.serve(&mut request);
        self.settle_quota(&request);
        self.record_outcome(&request, &ended);
        match ended {
            Ended::Answered { after, .. } => Ok(after),
            Ended::Refused(reason) => {
                let retry_after = request.retry_after.filter(|_| reason.status() == 503);
                self.refuse(&request.params.id, reason, retry_after, stream, after)
            }
            Ended::Aborted(_) => Ok(ConnectionAction::Close),
        }
    }
}
