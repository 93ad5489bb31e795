//! The backpressure signals of targets in the daemon's view.

use tansyknot_core::clock::Time;

use super::{Fleet, TargetRequirements, member::Member};
use crate::{
    backpressure::{
        Interval, RunOutcome, Signal, SignalField, Signals,
        message::{BrittleSummary, LimitSummary, RunSummary},
        pending::Permit,
        run_state::{Availability, SignalChange},
    },
    poison::key::RunKey,
    target::Target,
};

impl Fleet {
    /// Records the signals of a response; returns what they change.
    pub fn record_signals(
        &mut self,
        target: &Target,
        signals: &Signals,
        outcome: RunOutcome,
        at: Interval,
    ) -> Vec<SignalChange> {
        let run = RunKey::of(target);
        if let Some(m) = self.members.get_mut(&target.name).filter(|m| m.run == run) {
            m.has_responded = true;
            let is_unlimited = signals.limit == SignalField::Absent && outcome == RunOutcome::Ran;
            let is_newer = m.last_unlimited.is_none_or(|before| at.sent > before.sent);
            if is_unlimited && is_newer {
                m.last_unlimited = Some(at);
            }
        }
        let changes = self.backpressure.apply(run, signals, outcome, at);
        if changes.contains(&SignalChange::Leaves) {
            self.mark_draining(run);
        }
        if signals.brittle != SignalField::Absent || changes.contains(&SignalChange::Sound) {
            self.update_brittleness(&target.name, run, at.received);
        }
        changes
    }

    /// Merges signals that another daemon has shared; returns whether they change anything.
    pub fn merge_signals(&mut self, summaries: &[RunSummary], now: Time) -> bool {
        summaries.iter().filter(|summary| self.merge_summary(summary, now)).count() > 0
    }

    fn merge_summary(&mut self, summary: &RunSummary, now: Time) -> bool {
        let is_changed = self.backpressure.merge(summary, now);
        if is_changed && summary.is_leaving {
            self.mark_draining(summary.run);
        }
        if summary.brittle != BrittleSummary::Unknown {
            let member = self.members.values().find(|m| m.run == summary.run);
            if let Some(name) = member.map(|m| m.target.name.clone()) {
                self.update_brittleness(&name, summary.run, now);
            }
        }
        if is_changed && matches!(summary.limit, LimitSummary::Named { .. }) {
            // A response that this daemon received before it had the limit may already have ended
            // it.
            let member = self.members.values().find(|m| m.run == summary.run);
            if let Some(at) = member.and_then(|m| m.last_unlimited) {
                self.backpressure.apply(summary.run, &Signals::default(), RunOutcome::Ran, at);
            }
        }
        is_changed
    }

    /// Records that a planner has shared the signals that it has, or that this daemon is the
    /// planner.
    pub fn mark_signals_synced(&mut self) {
        self.has_synced_signals = true;
    }

    /// Returns whether a target may get more than one request. A daemon that has just started lacks
    /// the signals that others have received, and sends each target one request first.
    pub(super) fn is_past_first_contact(&self, m: &Member) -> bool {
        self.has_synced_signals || m.has_responded || m.own_requests() == 0
    }

    /// Returns the signals that this daemon has received recently.
    pub fn recent_signals(&self, now: Time) -> Vec<RunSummary> {
        if self.backpressure.is_empty() { Vec::new() } else { self.backpressure.changed_here(now) }
    }

    fn mark_draining(&mut self, run: RunKey) {
        self.members.values_mut().filter(|m| m.run == run).for_each(|m| m.set_draining(true));
    }

    /// Records that there is a planner, which shares the signals that this daemon receives.
    pub fn mark_signals_shared(&mut self, now: Time) {
        self.backpressure.drop_sent_by_planner(now);
    }

    /// Returns the signals that may not have been shared by any planner, and counts them as shared
    /// once.
    pub fn take_unshared_signals(&mut self, now: Time) -> Vec<RunSummary> {
        self.backpressure.take_unsent(now)
    }

    /// Returns the signals of all targets in the view.
    pub fn signals(&self, now: Time) -> Vec<RunSummary> {
        if self.backpressure.is_empty() {
            return Vec::new();
        }
        self.backpressure.summaries(self.members.values().map(|m| m.run), now)
    }

    /// Returns the signals of a run.
    pub fn signal_summary(&self, run: RunKey, now: Time) -> RunSummary {
        self.backpressure.summary(run, now).unwrap_or(RunSummary {
            run,
            limit: LimitSummary::Unknown,
            is_leaving: false,
            brittle: BrittleSummary::Unknown,
        })
    }

    /// Returns whether a target, as it was selected, still accepts the request at the time of sending.
    /// One that limits the rate of requests accepts only those that have a permit.
    pub fn may_send(&self, target: &Target, permit: Option<Permit>, now: Time) -> bool {
        let run = RunKey::of(target);
        let member = self.members.get(&target.name);
        if !member.is_some_and(|m| m.run == run && m.takes_work(now)) {
            return false;
        }
        let signalled = self.backpressure.availability_at_send(run, now);
        match self.with_warm_up(signalled, run, now) {
            Availability::Open => true,
            Availability::Limited(_) => permit.is_some_and(|permit| permit.allows(run, now)),
            Availability::BackingOff(_) | Availability::Leaving => false,
        }
    }

    /// Returns until when this daemon must not send to a target that is backing off, if it is.
    pub(super) fn backing_off_until(&self, m: &Member, now: Time) -> Option<Time> {
        match self.backpressure.availability(m.run, now) {
            Availability::BackingOff(at) => Some(at),
            Availability::Open | Availability::Limited(_) | Availability::Leaving => None,
        }
    }

    /// Returns a signal that restricts a target which holds what a request needs, if there is one.
    pub fn restricting_signal(&self, want: &TargetRequirements<'_>, now: Time) -> Option<Signal> {
        if self.backpressure.is_empty() && self.warm_ups.is_empty() {
            return None;
        }
        let of_service = self.members.values().filter(|m| m.target.service == *want.service);
        let signals = of_service.filter(|m| m.holds(want)).map(|m| self.availability(m.run, now));
        signals.filter_map(Availability::signal).next()
    }

    /// Returns whether a run allows another request to choose it.
    pub(super) fn availability(&self, run: RunKey, now: Time) -> Availability {
        self.with_warm_up(self.backpressure.availability(run, now), run, now)
    }
}
