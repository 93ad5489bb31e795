//! One send of a request: the exchange with a target, and what its outcome shows about the target.

use std::{rc::Rc, time::Duration};

use tansyknot_core::{
    clock::{BootInstant, Time},
    metric,
    name::{ModelName, SoftwareVersion},
};
use tansyknot_http::response_head::ResponseHead;

use super::{
    MAX_SENDS, Server,
    awaited::AwaitedResponse,
    handover::Handover,
    origin::NewStream,
    request::{ActiveRequest, NotRun, SendOutcome},
};
use crate::{
    catalog::Route,
    condition::interval::MIN_INTERVALS,
    connection::TargetStream,
    dissemination::{message, scheduling::ObservedOutcome},
    exchange::{BodyEnd, Exchange, Failure, Requester},
    fleet::{ResponseLimits, WaitEnd},
    platform_api::{ForwardParams, ResponseClass},
    reachability::Path,
    response_relay::{self, EventObserver, ResponseTimeouts, StreamSink, TargetResponse},
    target::Target,
};

/// A repeatable request is retried elsewhere after this multiple of its objective without a
/// response.
const FIRST_TIMEOUT_OBJECTIVES: f64 = 2.0;
/// Minimum time that a target has for the head of its response or the first event.
const MIN_FIRST_TIMEOUT: Duration = Duration::from_millis(400);
/// Share of the remaining time that an attempt may take if another one may follow.
const ATTEMPT_TIME_SHARE: f64 = 0.5;
/// The longest body that is copied. A copy of a longer one doubles the memory that the request takes
/// until its target has read it.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;
/// A stream that can continue elsewhere is closed after this multiple of its gap objective without
/// an event.
const GAP_TIMEOUT_OBJECTIVES: f64 = 2.5;
/// Gap objective of a route that sets none.
const DEFAULT_GAP_OBJECTIVE: Duration = Duration::from_secs(1);

impl Server {
    /// Sends a request to a target and relays the response.
    pub(super) fn send(&self, request: &mut ActiveRequest<'_>, target: &Target) -> SendOutcome {
        let head = self.request_head(request, target);
        let mut parts = vec![head.as_slice()];
        if !is_copied(request) {
            parts.extend(request.req.body.parts());
        }
        let deadline = request.give_up_at();
        let began = self.state.now();
        let (events, transmissions) = (request.relay.events, request.transmissions);
        // A conviction or a signal may have arrived since the target was selected.
        let may_send = || !self.is_rejected(request) && self.is_send_allowed(request, target);
        let requester = Requester {
            caller: Some(request.caller.stream.as_ref()),
            lifecycle: Some(self.lifecycle.as_ref()),
        };
        let connected = self.paths.connect(target, request.zones.as_ref(), deadline);
        let via = connected.as_ref().ok().and_then(TargetStream::via);
        let opened = connected
            .and_then(|stream| Exchange::open(stream, &parts, requester, deadline, &may_send));
        let outcome = match opened {
            Ok(exchange) => {
                let software = target.software.as_ref().map_or("unknown", SoftwareVersion::as_str);
                let via = via.map_or_else(String::new, |peer| format!(" via {peer}"));
                let now = self.state.now();
                let opened_in = now.since(began).as_millis();
                let list_age = self.state.list_as_of().map_or(Duration::MAX, |at| now.since(at));
                request.note(format_args!(
                    "{} ({software}) sent{via} {opened_in} ms after its selection, list {} ms old",
                    target.name,
                    message::millis(list_age)
                ));
                request.transmissions += 1;
                self.receive_or_hand_over(request, target, exchange, began)
            }
            Err(Failure::CallerLeft) => SendOutcome::MayHaveRun(Failure::CallerLeft),
            Err(Failure::NotAllowed) if self.is_rejected(request) => {
                SendOutcome::NotRun(NotRun::Rejected)
            }
            Err(Failure::NotAllowed) => SendOutcome::NotRun(NotRun::Withheld),
            Err(f) if f.nothing_sent() => {
                request.note(format_args!("{} {f}", target.name));
                SendOutcome::NotRun(NotRun::Unreachable)
            }
            Err(f) => {
                request.note(format_args!("{} {f} while it was sent", target.name));
                request.transmissions += 1;
                request.runs += 1;
                SendOutcome::MayHaveRun(f)
            }
        };
        // A probe of the target shows first whether the fault is its own.
        if request.transmissions > transmissions {
            self.record_poison_evidence(request, target, began, events, &outcome);
        }
        self.update_target_health(request, target, began, &outcome);
        outcome
    }

    /// Receives the response of a target. If the request may be retried elsewhere, an unresponsive
    /// target is abandoned as soon as another one has a free slot.
    fn receive_or_hand_over(
        &self,
        request: &mut ActiveRequest<'_>,
        target: &Target,
        exchange: Exchange<'_>,
        began: Time,
    ) -> SendOutcome {
        if !may_retry_elsewhere(request) {
            return self.receive(request, target, exchange, began);
        }
        let handover = Handover::new(&self.state, request, target);
        let outcome = self.receive(request, target, exchange.with_timeout_policy(&handover), began);
        request.next_target = handover.into_next_target();
        outcome
    }

    /// Returns the head of a request for a target, with the body behind it if that is copied.
    fn request_head(&self, request: &ActiveRequest<'_>, target: &Target) -> Vec<u8> {
        let head = &request.req.head;
        let forward = ForwardParams {
            target: &target.name,
            time_left: request.deadline.duration_since(BootInstant::now()),
            urgency: request.identity.priority(&request.route).min(9),
            sender: request.identity.sender(),
            resume_after: request.relay.last_id.as_deref(),
        };
        let copied_len = if is_copied(request) { request.req.body.len() } else { 0 };
        let mut buf = Vec::with_capacity(512 + copied_len);
        buf.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        for (name, value) in self.dialect.forward(head, &forward) {
            buf.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        if !request.req.body.is_empty() || head.has_body() {
            buf.extend_from_slice(
                format!("content-length: {}\r\n", request.req.body.len()).as_bytes(),
            );
        }
        buf.extend_from_slice(b"\r\n");
        if is_copied(request) {
            request.req.body.parts().for_each(|part| buf.extend_from_slice(part));
        }
        buf
    }

    fn receive(
        &self,
        request: &mut ActiveRequest<'_>,
        target: &Target,
        mut exchange: Exchange<'_>,
        began: Time,
    ) -> SendOutcome {
        let timeouts = self.timeouts(request);
        let control = exchange.control();
        control.set_deadline(timeouts.first_by);
        let wait = AwaitedResponse::begin(&self.state, target, response_limits(&request.route));
        let head = match exchange.head() {
            Ok(head) => {
                wait.end(WaitEnd::Responded);
                head
            }
            Err(f) => {
                wait.end(wait_end(f));
                request.note(format_args!("{} {f}", target.name));
                request.runs += 1;
                return SendOutcome::MayHaveRun(f);
            }
        };
        let class =
            self.dialect.classify(&request.params.id, &target.name, head.status, &head.headers);
        self.record_signals(request, target, &head, class, began);
        match class {
            ResponseClass::Ran => {}
            ResponseClass::Unverified => {
                request.note(format_args!("{} foreign answer", target.name));
                request.runs += 1;
                return SendOutcome::MayHaveRun(Failure::Foreign);
            }
            ResponseClass::NotRun => {
                request.note(format_args!("{} not run, {}", target.name, head.status));
                self.state.fleet().record_full(&target.name, self.state.now());
                return SendOutcome::NotRun(NotRun::Refused);
            }
            ResponseClass::Misdirected { same_target } => {
                request.note(format_args!("{} misdirected", target.name));
                let now = self.state.now();
                if same_target {
                    self.state.fleet().record_missing_model(&target.name, &request.want(), now);
                } else {
                    self.state.fleet().record_replaced(&target.name, now);
                    self.record_replacement(target);
                }
                return SendOutcome::NotRun(NotRun::Refused);
            }
        }
        request.runs += 1;
        request.body_end = BodyEnd::of(&head);
        let result = if response_relay::is_stream(&head) && head.status == 200 {
            let body = exchange.body(&head);
            let model = request.params.model.clone();
            let record = |interval| self.observe_stream(target, model.as_ref(), interval);
            let mut observer = EventObserver::new(&record);
            let (origin, stream) = (Rc::clone(&request.origin), NewStream::of(request));
            let parts = request.suspects.parts.clone();
            let on_first_event = || {
                self.record_answered(parts.iter().copied(), target, began);
                self.record_first_event(&origin, target, stream);
            };
            let sink = StreamSink {
                caller: request.caller,
                on_first_event: &on_first_event,
                timeouts,
                observer: &mut observer,
                buffer: &mut request.buffer,
            };
            let result = request
                .relay
                .forward_events(&head, body, &control, sink)
                .and_then(|()| self.check_end(request, target, began))
                .map(|()| SendOutcome::Relayed(head.status));
            observer.finish();
            result
        } else {
            control.set_deadline(timeouts.first_by);
            response_relay::read_response(
                &head,
                exchange.body(&head),
                &control,
                &mut request.buffer,
            )
            .and_then(|response| self.check_end(request, target, began).map(|()| response))
            .and_then(|response| self.relay_response(request, &head, response))
        };
        match result {
            Ok(outcome) => {
                request.note(format_args!("{} {}", target.name, head.status));
                outcome
            }
            Err(f) => {
                let events = request.relay.events;
                request.note(format_args!("{} {f} after {events} events", target.name));
                SendOutcome::MayHaveRun(f)
            }
        }
    }

    /// Fails if a response was cut off by the end of its target. A response that ends with its
    /// connection does not show that by itself.
    fn check_end(
        &self,
        request: &ActiveRequest<'_>,
        target: &Target,
        began: Time,
    ) -> Result<(), Failure> {
        let is_complete = request.body_end == BodyEnd::Declared
            || self.is_complete_response(request, target, began);
        if is_complete { Ok(()) } else { Err(Failure::ClosedEarly) }
    }

    fn relay_response(
        &self,
        request: &mut ActiveRequest<'_>,
        head: &ResponseHead,
        response: TargetResponse,
    ) -> Result<SendOutcome, Failure> {
        if request.relay.has_begun() {
            // A response that is no stream cannot continue a stream that has begun.
            return Err(Failure::Malformed);
        }
        if matches!(head.status, 408 | 421 | 429 | 503) {
            // Callers take these statuses for a promise that the request has not run. The target has
            // not stated that.
            return Err(Failure::Unproven);
        }
        if head.status >= 500 {
            return Ok(SendOutcome::ServerError(response));
        }
        self.write_response(request, &response)?;
        Ok(SendOutcome::Relayed(head.status))
    }

    /// Returns how long a target may take before the request is retried elsewhere.
    fn timeouts(&self, request: &ActiveRequest<'_>) -> ResponseTimeouts {
        let now = BootInstant::now();
        let deadline = request.give_up_at();
        let write_by = self.buffers.write_deadline(request.deadline);
        if !may_retry_elsewhere(request) {
            return ResponseTimeouts {
                first_by: deadline,
                gap: deadline.duration_since(now),
                deadline,
                write_by,
            };
        }
        let left = deadline.duration_since(now);
        let first_timeout = response_limits(&request.route).longest;
        let gap = request
            .route
            .gap_objective
            .unwrap_or(DEFAULT_GAP_OBJECTIVE)
            .mul_f64(GAP_TIMEOUT_OBJECTIVES);
        ResponseTimeouts {
            first_by: now + first_timeout.min(left.mul_f64(ATTEMPT_TIME_SHARE)),
            gap,
            deadline,
            write_by,
        }
    }

    fn observe_stream(&self, target: &Target, model: Option<&ModelName>, interval: Duration) {
        let now = self.state.now();
        self.state.fleet().observe_stream(&target.name, model, interval, now);
    }

    /// Updates this daemon's view of the target with the outcome of a send that began at `began`.
    fn update_target_health(
        &self,
        request: &ActiveRequest<'_>,
        target: &Target,
        began: Time,
        outcome: &SendOutcome,
    ) {
        if let SendOutcome::MayHaveRun(Failure::ClosedEarly) = outcome {
            self.recorder.count(metric::CUT_OFF.name, &target.service, 1);
        }
        let now = self.state.now();
        // A daemon that does not reach the target by itself is no witness of its failures.
        let is_witness = self.state.reachability().path(target) == Path::Direct;
        let observed = observed_outcome(request, outcome)
            .filter(|observed| is_witness || *observed != ObservedOutcome::Failed);
        let mut fleet = self.state.fleet();
        if let Some(observed) = observed {
            fleet.observe(&target.name, request.params.model.as_ref(), observed, now);
        }
        match outcome {
            SendOutcome::Relayed(_) => {
                fleet.record_success(&target.name);
                fleet.record_request_time(&target.service, now.since(began));
            }
            SendOutcome::ServerError(_) => fleet.record_failure(&target.name),
            SendOutcome::MayHaveRun(
                Failure::CallerLeft
                | Failure::CallerStalled
                | Failure::NoBuffer
                | Failure::PathLost
                | Failure::Stopping,
            ) => {}
            SendOutcome::MayHaveRun(Failure::TimedOut) => {
                fleet.record_failure(&target.name);
                if request.is_repeatable() {
                    fleet.record_unreachable(&target.name, now);
                }
            }
            SendOutcome::MayHaveRun(_) => fleet.record_failure(&target.name),
            SendOutcome::NotRun(NotRun::Unreachable) => fleet.record_unreachable(&target.name, now),
            SendOutcome::NotRun(NotRun::Refused | NotRun::Rejected | NotRun::Withheld) => {}
        }
    }
}

/// Returns what the outcome of a send shows about the target; `None` if it shows nothing.
fn observed_outcome(request: &ActiveRequest<'_>, outcome: &SendOutcome) -> Option<ObservedOutcome> {
    match outcome {
        // The intervals of its events have been observed.
        SendOutcome::Relayed(_) if request.relay.events > MIN_INTERVALS as u64 => None,
        SendOutcome::Relayed(_) => Some(ObservedOutcome::Answered),
        SendOutcome::MayHaveRun(Failure::CallerLeft | Failure::PathLost | Failure::Stopping) => {
            None
        }
        SendOutcome::ServerError(_)
        | SendOutcome::MayHaveRun(_)
        | SendOutcome::NotRun(NotRun::Unreachable) => Some(ObservedOutcome::Failed),
        SendOutcome::NotRun(NotRun::Refused | NotRun::Rejected | NotRun::Withheld) => None,
    }
}

/// Returns whether a request's body is copied behind its head, so that one packet takes both.
fn is_copied(request: &ActiveRequest<'_>) -> bool {
    request.req.body.len() <= MAX_COPIED_BODY_BYTES
}

/// Returns how long a target may take to begin its response to a request of a route.
fn response_limits(route: &Route) -> ResponseLimits {
    let longest = route.objective.mul_f64(FIRST_TIMEOUT_OBJECTIVES).max(MIN_FIRST_TIMEOUT);
    ResponseLimits { objective: route.objective, longest }
}

/// Returns what a failure to receive the head of a response shows.
fn wait_end(f: Failure) -> WaitEnd {
    match f {
        Failure::ClosedEarly | Failure::Malformed | Failure::Foreign => WaitEnd::Responded,
        _ => WaitEnd::Abandoned,
    }
}

/// Returns whether a request that is at a target may still be retried at another one.
fn may_retry_elsewhere(request: &ActiveRequest<'_>) -> bool {
    request.is_repeatable()
        && request.runs + 1 < request.route.max_attempts
        && request.sends + 1 < MAX_SENDS
}
