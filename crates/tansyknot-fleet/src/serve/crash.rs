//! Detection of targets that crash while they have a request.

use tansyknot_core::clock::{BootInstant, Time};

use super::{
    Server,
    request::{ActiveRequest, SendOutcome},
};
use crate::{
    exchange::{BodyEnd, Failure},
    paths::CRASH_PROBE_TIMEOUT,
    poison::{
        self, CheckState, Presence, TargetIdentity,
        key::{RunKey, SuspectKey},
    },
    target::Target,
};

impl Server {
    /// Returns whether a request must not be sent because it, or a part of its prompt, is convicted
    /// and this is not its trial.
    pub(super) fn is_rejected(&self, request: &ActiveRequest<'_>) -> bool {
        !request.is_trial && !self.state.poison().convicted_of(&request.suspects).is_empty()
    }

    /// Records what a send over a connection opened at `opened` has shown about the request, whose
    /// caller had received `events` before. The target has received at least a part of the request.
    pub(super) fn record_poison_evidence(
        &self,
        request: &ActiveRequest<'_>,
        target: &Target,
        opened: Time,
        events: u64,
        outcome: &SendOutcome,
    ) {
        match outcome {
            // Its end has been recorded.
            SendOutcome::Relayed(_) if request.body_end == BodyEnd::Close => {}
            SendOutcome::Relayed(_) => {
                self.record_answered(request.suspects.all(), target, opened);
            }
            SendOutcome::MayHaveRun(Failure::ClosedEarly) => {
                let has_begun = request.relay.events > events;
                self.probe(request, target, opened, has_begun);
            }
            SendOutcome::MayHaveRun(_) => {
                let has_begun = request.relay.events > events;
                self.record_abandoned(request, target, opened, has_begun);
            }
            SendOutcome::ServerError(_) | SendOutcome::NotRun(_) => {}
        }
    }

    /// Records that this daemon has closed the connection of a request that a target may be running.
    fn record_abandoned(
        &self,
        request: &ActiveRequest<'_>,
        target: &Target,
        opened: Time,
        has_begun: bool,
    ) {
        let (run_key, now) = (RunKey::of(target), self.state.now());
        if !self.accuses_requests(target, now) {
            return;
        }
        let place = TargetIdentity::of(target);
        {
            let mut poison = self.state.poison();
            for key in poison.accused(&request.suspects, has_begun) {
                poison.record_abandoned(key, run_key, &place, opened, now);
            }
        }
        self.state.poison_changed.notify();
    }

    /// Returns whether the end of a target accuses the requests that it had: it has not announced its
    /// end, and is not a brittle one that has just refused others.
    fn accuses_requests(&self, target: &Target, now: Time) -> bool {
        let fleet = self.state.fleet();
        let run = RunKey::of(target);
        fleet.accepts_work(&target.name, now) && !fleet.may_have_ended_by_refusals(run, now)
    }

    /// Records that a target has answered `suspects` of a request that was sent at `opened`.
    pub(super) fn record_answered(
        &self,
        suspects: impl Iterator<Item = SuspectKey>,
        target: &Target,
        opened: Time,
    ) {
        let (run, now) = (RunKey::of(target), self.state.now());
        {
            let mut poison = self.state.poison();
            suspects.for_each(|key| poison.record_answer(key, run, opened, now));
        }
        self.wake_crash_publisher();
    }

    /// Probes whether a target that closed its connection early has ended, and waits for the
    /// result. If another thread already probes the target, only waits.
    fn probe(&self, request: &ActiveRequest<'_>, target: &Target, opened: Time, has_begun: bool) {
        let run_key = RunKey::of(target);
        let now = self.state.now();
        if !self.accuses_requests(target, now) {
            return;
        }
        let check = {
            let mut poison = self.state.poison();
            let accused = poison.accused(&request.suspects, has_begun);
            let record = |key| poison.record_early_close(key, run_key, opened, now);
            first_check(accused.into_iter().map(record))
        };
        self.complete_check(check, target, run_key);
    }

    /// Returns whether a response without a declared end, whose target has closed the connection, is
    /// complete, as far as is known: the target responds to a call afterwards. One that has announced
    /// its end may have been ended under the response.
    pub(super) fn is_complete_response(
        &self,
        request: &ActiveRequest<'_>,
        target: &Target,
        opened: Time,
    ) -> bool {
        let (run_key, now) = (RunKey::of(target), self.state.now());
        let call = self.dialect.liveness_call(target);
        let lives = self.paths.responds(target, &call, CRASH_PROBE_TIMEOUT);
        if !self.accuses_requests(target, now) {
            return lives;
        }
        let check = {
            let mut poison = self.state.poison();
            let accused = poison.accused(&request.suspects, request.relay.events > 0);
            let record = |key| poison.record_close_after_response(key, run_key, opened, now);
            first_check(accused.into_iter().map(record))
        };
        match check {
            CheckState::Due if lives => {
                self.record_crash_check(target, run_key, Presence::Listening);
            }
            check => self.complete_check(check, target, run_key),
        }
        lives && !self.state.poison().has_ended(run_key)
    }

    fn complete_check(&self, check: CheckState, target: &Target, run_key: RunKey) {
        match check {
            CheckState::Due => {
                let presence = self.paths.probe(target);
                self.record_crash_check(target, run_key, presence);
            }
            CheckState::InProgress => self.await_crash_check(run_key),
            CheckState::Done => self.wake_crash_publisher(),
        }
    }

    fn record_crash_check(&self, target: &Target, run_key: RunKey, presence: Presence) {
        let place = TargetIdentity::of(target);
        let suspected = {
            let mut poison = self.state.poison();
            let suspected = poison.record_check(run_key, presence, self.state.now());
            if !presence.is_end() {
                poison.recheck(run_key, place.clone());
            }
            suspected
        };
        poison::report_crash(self.recorder.as_ref(), &place, suspected);
        self.state.poison_changed.notify();
    }

    /// Records that another run has the address of a target. If the target closed connections early
    /// before, it counts as ended, and the requests on them may have crashed it.
    pub(super) fn record_replacement(&self, target: &Target) {
        let run_key = RunKey::of(target);
        let is_suspect = self.state.poison().is_suspect_target(run_key);
        if is_suspect {
            self.record_crash_check(target, run_key, Presence::Gone);
        }
    }

    fn await_crash_check(&self, run_key: RunKey) {
        let until = BootInstant::now() + CRASH_PROBE_TIMEOUT;
        loop {
            let seen = self.state.poison_changed.count();
            let left = until.duration_since(BootInstant::now());
            if left.is_zero() || !self.state.poison().is_being_checked(run_key) {
                return;
            }
            self.state.poison_changed.wait(seen, left);
        }
    }

    /// Wakes the thread that publishes crash evidence to other daemons, if there is any to publish.
    fn wake_crash_publisher(&self) {
        let has_unpublished = self.state.poison().has_unsent();
        if has_unpublished {
            self.state.poison_changed.notify();
        }
    }
}

/// Records all suspects of a request and returns the check that the first one needs: it is for all.
fn first_check(mut records: impl Iterator<Item = CheckState>) -> CheckState {
    let check = records.next().unwrap_or(CheckState::Done);
    records.for_each(drop);
    check
}
