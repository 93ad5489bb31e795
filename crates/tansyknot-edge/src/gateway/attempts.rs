//! Attempts to send one request to targets: place, send, and retry elsewhere if that is safe.

use std::{sync::Arc, time::Duration};

use fastrace::prelude::{Span, SpanContext};
use tansyknot_control::idempotency::KeyHandle;
use tansyknot_core::{
    event,
    name::{self, AttemptId, TargetName},
    refusal::{Outcome, Reason, Refusal},
};
use tansyknot_policy::budget::RetryBudget;

use super::{ActiveRequest, AttemptOutcome, CallerResponse, Gateway, caller_left};
use crate::{
    explain::Decision,
    stage::{
        admit::Permit,
        attempt::{self, Attempt, Failure},
        identify::{IdentifiedRequest, ServiceKind},
        place::{InFlightGuard, Placer},
    },
    upstream::AttemptHandle,
};

/// The maximum number of attempts for one request, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// The `Retry-After` of a request that no target started.
const TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The attempts made so far for one request.
#[derive(Default)]
struct AttemptHistory {
    count: u32,
    avoid: Vec<TargetName>,
    may_have_run: bool,
}

impl AttemptHistory {
    fn record(&mut self, target: &TargetName, failure: Failure) {
        self.count += 1;
        self.may_have_run = self.may_have_run || !failure.is_not_run();
        if failure != Failure::NotLoaded {
            self.avoid.push(target.clone());
        }
    }

    /// Returns the refusal with an unknown outcome if an earlier attempt may have run.
    fn correct_outcome(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run || refusal.outcome == Outcome::Unknown {
            return refusal;
        }
        Refusal::unknown(
            Reason::TargetFailed,
            format!("an attempt broke; then: {}", refusal.detail),
        )
    }
}

impl Gateway {
    pub(super) fn try_targets(
        &self,
        active: &mut ActiveRequest<'_>,
        req: &IdentifiedRequest,
        permit: &Permit<'_>,
        key: &mut Option<KeyHandle>,
    ) -> Result<CallerResponse, Refusal> {
        let mut attempts = AttemptHistory::default();
        loop {
            let mut guard = self
                .place(active, req, &attempts.avoid)
                .map_err(|r| attempts.correct_outcome(r))?;
            if key.is_none()
                && let Some(replay) = self.take_key(active, req, key)?
            {
                return Ok(CallerResponse::Local(replay));
            }
            let started_at = self.now();
            let target = guard.target.clone();
            let outcome =
                self.attempt(active, req, &target).map_err(|r| attempts.correct_outcome(r))?;
            let failure = match outcome {
                AttemptOutcome::Responded(response) => {
                    if !matches!(response, CallerResponse::Partial(_)) {
                        guard.set_response_time(self.now().since(started_at));
                        self.target_budget(&target, RetryBudget::record_success);
                    }
                    return Ok(response);
                }
                AttemptOutcome::Failed(failure) => failure,
            };
            drop(guard);
            self.record_failure(active, req, &target, failure);
            attempts.record(&target, failure);
            if !self.may_retry(req, permit, &target, failure, &attempts) {
                return Err(attempts.correct_outcome(final_refusal(failure)));
            }
        }
    }

    fn place(
        &self,
        active: &mut ActiveRequest<'_>,
        req: &IdentifiedRequest,
        avoid: &[TargetName],
    ) -> Result<InFlightGuard<'_>, Refusal> {
        let _span = Span::enter_with_parent("place", &active.span);
        let placer = Placer {
            pools: &self.parts.pools,
            publisher: &self.parts.publisher,
            clock: self.parts.clock.as_ref(),
            zone: &self.options.zone,
            max_waiting: self.options.max_waiting,
        };
        let guard = placer.place(req, avoid, active.stream)?;
        let now = self.now();
        if guard.queued {
            active.account.queued = true;
            active.account.trail.add(now, Decision::Queued);
        }
        active.account.trail.add(now, Decision::Placed(guard.target.clone()));
        Ok(guard)
    }

    fn attempt(
        &self,
        active: &mut ActiveRequest<'_>,
        req: &IdentifiedRequest,
        target: &TargetName,
    ) -> Result<AttemptOutcome, Refusal> {
        let Some(target) = self.parts.hosts.live_target(target) else {
            return Ok(AttemptOutcome::Failed(Failure::NotSent));
        };
        if let Some(adapter) = &req.adapter
            && self.parts.replicas.load_adapter(&target, &req.service, adapter).is_err()
        {
            return Ok(AttemptOutcome::Failed(Failure::RefusedToStart));
        }
        let now = self.now();
        let time_left = req.deadline.since(now);
        if time_left.is_zero() {
            let detail = "the deadline passed before the request was sent";
            return Err(Refusal::not_run(Reason::DeadlinePassed, detail));
        }
        let attempt_id = AttemptId::new(name::random_id());
        active.account.trail.add(now, Decision::Attempted(attempt_id.clone()));
        let span = Span::enter_with_parent("attempt", &active.span)
            .with_property(|| ("target", target.name.to_string()));
        let handle = Arc::new(AttemptHandle::new());
        let attempt = Attempt {
            req: active.req,
            identified: req,
            request_id: &active.request_id.clone(),
            attempt_id: &attempt_id,
            target: &target,
            time_left,
            traceparent: SpanContext::from_span(&span).map(|c| c.encode_w3c_traceparent()),
            handle: &handle,
        };
        let _watch = self.parts.watch.watch(active.stream, &handle);
        let outcome = match attempt::send(self.agent(req), &attempt) {
            Ok(response) => {
                if let Some(in_flight) = attempt::reported_in_flight(&response) {
                    self.parts.pools.record_in_flight(&req.service, &target.name, in_flight);
                }
                self.relay(active, &attempt, response)
            }
            Err(_) if handle.is_aborted() => Err(caller_left()),
            Err(failure) => Ok(AttemptOutcome::Failed(failure)),
        };
        if handle.is_aborted() && req.kind == ServiceKind::Model {
            // The connection is closed already, but an engine with resumable streams would go on.
            self.parts.replicas.cancel(&target, &attempt_id);
        }
        outcome
    }

    fn agent(&self, req: &IdentifiedRequest) -> &ureq::Agent {
        if req.is_repeatable() { &self.pooled_agent } else { &self.fresh_agent }
    }

    fn record_failure(
        &self,
        active: &mut ActiveRequest<'_>,
        req: &IdentifiedRequest,
        target: &TargetName,
        failure: Failure,
    ) {
        let decision = if failure.is_not_run() {
            Decision::NotStarted(failure.code())
        } else {
            Decision::Broken(failure.code())
        };
        active.account.trail.add(self.now(), decision);
        event::ATTEMPT_FAILED.emit(&[
            ("request", &active.request_id),
            ("service", &req.service),
            ("target", target),
            ("failure", &failure.code()),
        ]);
        match failure {
            Failure::NotLoaded => {
                self.parts.pools.close_target(&req.service, target);
                self.parts.replicas.report_not_loaded(&req.service);
            }
            Failure::NotSent => self.parts.pools.close_target(&req.service, target),
            Failure::RefusedToStart | Failure::TimedOut | Failure::Broken => {}
        }
    }

    /// Returns whether a failed request may be retried, within the retry budgets.
    fn may_retry(
        &self,
        req: &IdentifiedRequest,
        permit: &Permit<'_>,
        target: &TargetName,
        failure: Failure,
        attempts: &AttemptHistory,
    ) -> bool {
        if attempts.count >= MAX_ATTEMPTS {
            return false;
        }
        let is_safe = match failure {
            // This refusal costs the target nothing, so it needs no retry budget. The request
            // waits until the replica is loaded again.
            Failure::NotLoaded => return true,
            Failure::NotSent | Failure::RefusedToStart => true,
            Failure::Broken => req.is_repeatable(),
            Failure::TimedOut => false,
        };
        // A request with no other target to try is refused at once, not at its deadline.
        let has_other_target = self.parts.pools.has_other_upstream(&req.service, &attempts.avoid);
        is_safe
            && has_other_target
            && self.target_budget(target, RetryBudget::take)
            && permit.take_retry()
    }

    fn target_budget<T>(&self, target: &TargetName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.target_retries.lock().expect("the lock is not poisoned");
        f(budgets.entry(target.clone()).or_default())
    }
}

fn final_refusal(failure: Failure) -> Refusal {
    let code = failure.code();
    match failure {
        Failure::NotSent | Failure::NotLoaded | Failure::RefusedToStart => {
            let detail = format!("no target started the request: {code}");
            Refusal::retry_later(Reason::NoTarget, TARGET_RETRY_AFTER, detail)
        }
        Failure::TimedOut => Refusal::unknown(Reason::DeadlinePassed, "the target was too slow"),
        Failure::Broken => Refusal::unknown(Reason::TargetFailed, "the connection broke"),
    }
}
