//! Waiting for a target: for a model load, a free slot or a permit, as long as it can still help.

use std::{sync::Arc, time::Duration};

use tansyknot_core::{
    clock::{BootInstant, Time},
    metric,
    name::ServiceName,
};
use tansyknot_http::disconnect;

use super::{
    Server,
    permit::PermitState,
    queue::QueuePlace,
    request::{ActiveRequest, Reason},
};
use crate::{
    admission,
    backpressure::Signal,
    fleet::{Exclusion, Pick},
    target::Target,
};

/// Interval at which a waiting request checks whether its caller has left.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum wait for the announcement of a load. The demand report and the planner's update are in
/// transit, and a lost one is repeated with the next heartbeat.
const MIN_ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(650);
/// A request that gets its permit within this time causes no demand for a further replica of the
/// model.
const USUAL_PERMIT_WAIT: Duration = Duration::from_millis(150);

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    Load,
    Slot,
    /// For a permit at a target with a limit, or for the end of another target's retry delay; the
    /// earlier of the two is expected at this time, if an expectation is available.
    Permit(Option<Time>),
    /// For the end of the first retry delay, as all targets are backing off.
    RetryDelay(Time),
}

impl Wait {
    /// Returns the shortage that the planner can relieve, for a request that has waited for
    /// `waited`.
    fn shortage(self, waited: Duration) -> Option<Shortage> {
        match self {
            Wait::Load => Some(Shortage::Model),
            Wait::Permit(_) | Wait::RetryDelay(_) if waited >= USUAL_PERMIT_WAIT => {
                Some(Shortage::Replica)
            }
            Wait::Permit(_) | Wait::RetryDelay(_) | Wait::Slot => None,
        }
    }

    /// Returns the signal that delays the request.
    fn signal(self) -> Option<Signal> {
        match self {
            Wait::Permit(_) => Some(Signal::Limit),
            Wait::RetryDelay(_) => Some(Signal::RetryDelay),
            Wait::Load | Wait::Slot => None,
        }
    }

    /// Returns the time from `now` to the end of the retry delay.
    fn ends_in(self, now: Time) -> Option<Duration> {
        match self {
            Wait::RetryDelay(at) => Some(at.since(now)),
            Wait::Load | Wait::Slot | Wait::Permit(_) => None,
        }
    }
}

/// A shortage that is reported to the planner as demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shortage {
    /// No target holds the model.
    Model,
    /// Every target that holds the model and could be chosen has a rate limit or is backing off.
    Replica,
}

impl Shortage {
    fn name(self) -> &'static str {
        match self {
            Shortage::Model => "a load",
            Shortage::Replica => "a turn",
        }
    }
}

impl Server {
    /// Finds a target, and waits for a load, a free slot or a permit as long as time is left.
    pub(super) fn find_target(
        &self,
        request: &mut ActiveRequest<'_>,
    ) -> Result<Arc<Target>, Reason> {
        let mut shortage = None;
        let mut delaying_signal = None;
        let mut place = None;
        let began = BootInstant::now();
        let found =
            self.wait_for_target(request, &mut shortage, &mut delaying_signal, &mut place, began);
        self.leave_queue(request, place, found.is_ok());
        self.cancel_permit_request(request);
        self.count_backpressure(request, &found, delaying_signal);
        let waited = began.elapsed();
        request.waited += waited;
        if let Some(shortage) = shortage {
            self.end_demand(request, shortage, waited, found.is_ok());
        }
        found
    }

    fn wait_for_target<'s>(
        &'s self,
        request: &mut ActiveRequest<'_>,
        shortage: &mut Option<Shortage>,
        delaying_signal: &mut Option<Signal>,
        place: &mut Option<QueuePlace<'s>>,
        began: BootInstant,
    ) -> Result<Arc<Target>, Reason> {
        loop {
            let seen = self.state.targets_changed.count();
            let now = self.state.now();
            if self.is_rejected(request) {
                return Err(Reason::PoisonRequest);
            }
            if !self.may_still_send(request) {
                return Err(Reason::Stopping);
            }
            if self.state.reachability().is_outage_confirmed(&request.service, now) {
                return Err(Reason::TargetsUnreachable);
            }
            let pick = if self.has_turn(request, place, now)? {
                self.state.fleet().pick(&request.want(), &request.tried, now, &mut rand::rng())
            } else {
                Pick::Full
            };
            let wait = match pick {
                Pick::Target(target) => return Ok(target),
                Pick::Limited { target, available_at } => {
                    match self.request_permit(request, &target, now) {
                        PermitState::Allowed => {
                            self.state.fleet().begin_request(
                                &target.name,
                                request.params.model.as_ref(),
                                request.cache.tokens,
                                now,
                            );
                            return Ok(target);
                        }
                        PermitState::Pending(at) => Wait::Permit(at.map(|at| {
                            available_at.map_or(at, |available_at| at.min(available_at))
                        })),
                    }
                }
                Pick::BackingOff(at) => Wait::RetryDelay(at),
                Pick::NotLoaded => Wait::Load,
                Pick::Full | Pick::NoTarget => Wait::Slot,
                Pick::Excluded(Exclusion::Drained) => return Err(Reason::ZonesDrained),
                Pick::Excluded(Exclusion::Region) => return Err(Reason::RegionUnavailable),
                Pick::Excluded(Exclusion::Software) => return Err(Reason::SoftwareUnavailable),
            };
            match wait {
                Wait::Slot => self.wait_in_queue(request, place, now),
                Wait::Load | Wait::Permit(_) | Wait::RetryDelay(_) => *place = None,
            }
            *delaying_signal = wait.signal();
            if shortage.is_none() {
                *shortage = wait.shortage(began.elapsed());
                shortage.iter().for_each(|_| self.begin_demand(request, now));
            }
            if self.lifecycle.is_ending() {
                // Nothing was sent, so another daemon can still serve the request.
                return Err(Reason::Stopping);
            }
            let left = self.remaining_wait(request, wait, place.as_mut(), now);
            if left.is_zero() {
                return Err(Reason::NoTargetInTime);
            }
            let pause = wait.ends_in(now).unwrap_or(CALLER_CHECK_INTERVAL);
            let pause = left.min(CALLER_CHECK_INTERVAL).min(pause);
            match place {
                Some(place) => place.wait(seen, pause),
                None => drop(self.state.targets_changed.wait(seen, pause)),
            }
            if disconnect::has_disconnected(request.caller.stream) {
                return Err(Reason::CallerLeft);
            }
        }
    }

    /// Returns whether the daemon may send a request before it ends. One that has not run may still be
    /// served by another daemon.
    fn may_still_send(&self, request: &ActiveRequest<'_>) -> bool {
        let has_time = !self.lifecycle.is_ending();
        has_time || (request.may_have_run && !self.lifecycle.is_aborting())
    }

    /// Counts a request that signals have delayed, diverted to another target or caused to be
    /// rejected.
    fn count_backpressure(
        &self,
        request: &ActiveRequest<'_>,
        found: &Result<Arc<Target>, Reason>,
        delaying_signal: Option<Signal>,
    ) {
        let now = self.state.now();
        let (metric, signal) = match (found, delaying_signal) {
            (Ok(_), Some(signal)) => (metric::SIGNAL_HELD, Some(signal)),
            (Ok(_), None) => (
                metric::SIGNAL_ELSEWHERE,
                self.state.fleet().restricting_signal(&request.want(), now),
            ),
            (Err(_), signal) => (metric::SIGNAL_REJECTED, signal),
        };
        if let Some(signal) = signal {
            self.recorder.count(metric.name, &ServiceName::from(signal.name()), 1);
        }
    }

    /// Reports to the planner that a request waits for a load, or for a further replica of its
    /// model.
    fn begin_demand(&self, request: &ActiveRequest<'_>, now: Time) {
        self.state.fleet().begin_waiting(&request.want(), now);
        self.state.step_due.notify();
    }

    /// Records that a request no longer waits for a load or replica, and whether it has found a
    /// target.
    fn end_demand(
        &self,
        request: &mut ActiveRequest<'_>,
        shortage: Shortage,
        waited: Duration,
        is_found: bool,
    ) {
        self.state.fleet().end_waiting(&request.want());
        // Reports the request at its target: until the planner sees it there, or a timeout passes,
        // it does not evict the model.
        self.state.step_due.notify();
        if is_found && shortage == Shortage::Model {
            self.state.load_waits().of(&request.want()).observe(waited);
        }
        request.note(format_args!("waited {} ms for {}", waited.as_millis(), shortage.name()));
    }

    /// Returns how much longer a request may wait for a target; zero if no target can come in time.
    fn remaining_wait(
        &self,
        request: &mut ActiveRequest<'_>,
        wait: Wait,
        place: Option<&mut QueuePlace<'_>>,
        now: Time,
    ) -> Duration {
        let left = request.target_deadline().duration_since(BootInstant::now());
        match wait {
            Wait::Slot => self.remaining_slot_wait(request, place, left, now),
            Wait::Permit(None) => left,
            Wait::Permit(Some(at)) | Wait::RetryDelay(at) => {
                self.remaining_permit_wait(request, at.since(now), left, now)
            }
            Wait::Load => self.remaining_load_wait(request, left, now),
        }
    }

    /// Returns how much longer a request may wait for a permit or the end of a retry delay, which
    /// is expected after `expected_in`, or for a load of its model elsewhere.
    fn remaining_permit_wait(
        &self,
        request: &mut ActiveRequest<'_>,
        expected_in: Duration,
        left: Duration,
        now: Time,
    ) -> Duration {
        let load =
            self.state.fleet().pending_load_due(&request.want(), now).map(|at| at.since(now));
        let soonest = load.map_or(expected_in, |load| load.min(expected_in));
        if soonest <= left {
            return left;
        }
        request.retry_after = Some(soonest);
        request.note(format_args!("turn in {} ms", expected_in.as_millis()));
        Duration::ZERO
    }

    fn remaining_load_wait(
        &self,
        request: &mut ActiveRequest<'_>,
        left: Duration,
        now: Time,
    ) -> Duration {
        let expected = self.state.fleet().pending_load_due(&request.want(), now);
        if let Some(load_in) = expected.map(|at| at.since(now)) {
            if load_in <= left {
                return left;
            }
            request.retry_after = Some(load_in);
            request.note(format_args!("load due in {} ms", load_in.as_millis()));
            return Duration::ZERO;
        }
        let room_at = self.state.fleet().room_expected_at(&request.want(), now);
        if let Some(room_in) = room_at.map(|at| at.since(now)) {
            return self.refuse_without_room(request, room_in);
        }
        self.remaining_unannounced_wait(request, left)
    }

    /// Refuses a request whose model gets no room now but is expected to after `room_in`. Returns
    /// zero, the time for which the request may wait.
    fn refuse_without_room(&self, request: &mut ActiveRequest<'_>, room_in: Duration) -> Duration {
        request.retry_after = Some(admission::spread(room_in));
        request.note(format_args!("no room for the model, expected in {} ms", room_in.as_millis()));
        let route = ServiceName::from(request.route.name.as_ref());
        self.recorder.count(metric::NO_ROOM_REFUSED.name, &route, 1);
        Duration::ZERO
    }

    /// Returns how much longer a request may wait for a load that is not announced; the longest
    /// wait for earlier loads bounds it.
    fn remaining_unannounced_wait(
        &self,
        request: &mut ActiveRequest<'_>,
        left: Duration,
    ) -> Duration {
        let waits = *self.state.load_waits().of(&request.want());
        request.retry_after = waits.mean();
        let max_wait =
            waits.upper_bound().map_or(left, |longest| longest.max(MIN_ANNOUNCEMENT_WAIT));
        let left = left.min(max_wait.saturating_sub(request.last_activity().elapsed()));
        if left.is_zero() {
            request
                .note(format_args!("no load due, others took {} ms at most", max_wait.as_millis()));
        }
        left
    }
}
