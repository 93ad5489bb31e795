//! Attempts at targets for one request: place, send, and go elsewhere if that is safe.

use std::{sync::Arc, time::Duration};

use fastrace::prelude::{Span, SpanContext};
use tansyknot_control::idempotency::KeyHandle;
use tansyknot_core::{
    event,
    name::{self, AttemptId, TargetName},
    refusal::{Outcome, Reason, Refusal},
};
use tansyknot_policy::budget::RetryBudget;

use super::{Gateway, Run, Tried, Written, caller_left};
use crate::{
    explain::Decision,
    stage::{
        admit::Permit,
        attempt::{self, Attempt, Failure},
        identify::{Identified, Kind},
        place::{Place, Placer},
    },
    upstream::Wire,
};

/// Attempts for one request, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// When a caller should come back after every attempt failed to start.
const TARGET_RETRY: Duration = Duration::from_secs(2);

/// The attempts for one request so far.
#[derive(Default)]
struct Tries {
    count: u32,
    avoid: Vec<TargetName>,
    may_have_run: bool,
}

impl Tries {
    fn note(&mut self, target: &TargetName, failure: Failure) {
        self.count += 1;
        self.may_have_run = self.may_have_run || !failure.is_not_run();
        if failure != Failure::NotLoaded {
            self.avoid.push(target.clone());
        }
    }

    /// Keeps a refusal from saying "not run" after an attempt that may have run.
    fn soften(&self, refusal: Refusal) -> Refusal {
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
        run: &mut Run<'_>,
        req: &Identified,
        permit: &Permit<'_>,
        key: &mut Option<KeyHandle>,
    ) -> Result<Written, Refusal> {
        let mut tries = Tries::default();
        loop {
            let mut place = self.place(run, req, &tries.avoid).map_err(|r| tries.soften(r))?;
            if key.is_none()
                && let Some(replay) = self.take_key(run, req, key)?
            {
                return Ok(Written::Nothing(replay));
            }
            let began = self.now();
            let target = place.target.clone();
            let tried = self.attempt(run, req, &target).map_err(|r| tries.soften(r))?;
            let failure = match tried {
                Tried::Written(written) => {
                    if !matches!(written, Written::Part(_)) {
                        place.answered(self.now().since(began));
                        self.target_budget(&target, RetryBudget::success);
                    }
                    return Ok(written);
                }
                Tried::Failed(failure) => failure,
            };
            drop(place);
            self.note_failure(run, req, &target, failure);
            tries.note(&target, failure);
            if !self.may_retry(req, permit, &target, failure, &tries) {
                return Err(tries.soften(final_refusal(failure)));
            }
        }
    }

    fn place(
        &self,
        run: &mut Run<'_>,
        req: &Identified,
        avoid: &[TargetName],
    ) -> Result<Place<'_>, Refusal> {
        let _span = Span::enter_with_parent("place", &run.span);
        let placer = Placer {
            pools: &self.parts.pools,
            publisher: &self.parts.publisher,
            clock: self.parts.clock.as_ref(),
            zone: &self.options.zone,
            waiting_max: self.options.waiting_max,
        };
        let place = placer.place(req, avoid, run.stream)?;
        let now = self.now();
        if place.queued {
            run.account.queued = true;
            run.account.trail.add(now, Decision::Queued);
        }
        run.account.trail.add(now, Decision::Placed(place.target.clone()));
        Ok(place)
    }

    fn attempt(
        &self,
        run: &mut Run<'_>,
        req: &Identified,
        target: &TargetName,
    ) -> Result<Tried, Refusal> {
        let Some(target) = self.parts.hosts.live_target(target) else {
            return Ok(Tried::Failed(Failure::NotSent));
        };
        if let Some(adapter) = &req.adapter
            && self.parts.replicas.load_adapter(&target, &req.service, adapter).is_err()
        {
            return Ok(Tried::Failed(Failure::RefusedToStart));
        }
        let now = self.now();
        let left = req.deadline.since(now);
        if left.is_zero() {
            let detail = "the deadline passed before the request was sent";
            return Err(Refusal::not_run(Reason::DeadlinePassed, detail));
        }
        let attempt_id = AttemptId::new(name::random_id());
        run.account.trail.add(now, Decision::Attempted(attempt_id.clone()));
        let span = Span::enter_with_parent("attempt", &run.span)
            .with_property(|| ("target", target.name.to_string()));
        let wire = Arc::new(Wire::new());
        let attempt = Attempt {
            req: run.req,
            identified: req,
            request: &run.request.clone(),
            attempt: &attempt_id,
            target: &target,
            left,
            traceparent: SpanContext::from_span(&span).map(|c| c.encode_w3c_traceparent()),
            wire: &wire,
        };
        let _watch = self.parts.watch.watch(run.stream, &wire);
        let tried = match attempt::send(self.agent(req), &attempt) {
            Ok(answer) => {
                if let Some(in_flight) = attempt::reported_in_flight(&answer) {
                    self.parts.pools.report(&req.service, &target.name, in_flight);
                }
                self.relay(run, &attempt, answer)
            }
            Err(_) if wire.is_cut() => Err(caller_left()),
            Err(failure) => Ok(Tried::Failed(failure)),
        };
        if wire.is_cut() && req.kind == Kind::Model {
            // The connection is closed already; an engine that resumes streams would go on.
            self.parts.replicas.cancel(&target, &attempt_id);
        }
        tried
    }

    fn agent(&self, req: &Identified) -> &ureq::Agent {
        if req.is_repeatable() { &self.pooled } else { &self.fresh }
    }

    fn note_failure(
        &self,
        run: &mut Run<'_>,
        req: &Identified,
        target: &TargetName,
        failure: Failure,
    ) {
        let decision = if failure.is_not_run() {
            Decision::NotStarted(failure.code())
        } else {
            Decision::Broken(failure.code())
        };
        run.account.trail.add(self.now(), decision);
        event::ATTEMPT_FAILED.emit(&[
            ("request", &run.request),
            ("service", &req.service),
            ("target", target),
            ("failure", &failure.code()),
        ]);
        match failure {
            Failure::NotLoaded => {
                self.parts.pools.close(&req.service, target);
                self.parts.replicas.not_loaded(&req.service);
            }
            Failure::NotSent => self.parts.pools.close(&req.service, target),
            Failure::RefusedToStart | Failure::TimedOut | Failure::Broken => {}
        }
    }

    /// Tells whether a failed request goes to another target, within the budgets.
    fn may_retry(
        &self,
        req: &Identified,
        permit: &Permit<'_>,
        target: &TargetName,
        failure: Failure,
        tries: &Tries,
    ) -> bool {
        if tries.count >= MAX_ATTEMPTS {
            return false;
        }
        let safe = match failure {
            // The engine's word costs the target nothing, so it needs no budget; the request
            // waits for the replica to be loaded again.
            Failure::NotLoaded => return true,
            Failure::NotSent | Failure::RefusedToStart => true,
            Failure::Broken => req.is_repeatable(),
            Failure::TimedOut => false,
        };
        // A request for which no target is left is given up now, not at its deadline.
        let elsewhere = self.parts.pools.has_upstream_besides(&req.service, &tries.avoid);
        safe && elsewhere && self.target_budget(target, RetryBudget::take) && permit.take_retry()
    }

    fn target_budget<T>(&self, target: &TargetName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.target_retries.lock().expect("no holder of the lock panics");
        f(budgets.entry(target.clone()).or_default())
    }
}

fn final_refusal(failure: Failure) -> Refusal {
    let code = failure.code();
    match failure {
        Failure::NotSent | Failure::NotLoaded | Failure::RefusedToStart => {
            let detail = format!("no target started the request: {code}");
            Refusal::later(Reason::NoTarget, TARGET_RETRY, detail)
        }
        Failure::TimedOut => Refusal::unknown(Reason::DeadlinePassed, "the target was too slow"),
        Failure::Broken => Refusal::unknown(Reason::TargetFailed, "the connection broke"),
    }
}
