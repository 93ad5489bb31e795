//! The backpressure signals of targets in the view of the fleet.

use tansyknot_core::{clock::Time, name::TargetName};

use super::{Fleet, Want, member::Member};
use crate::{
    backpressure::{
        Interval, Outcome, Rate, Said, Signal, Signals,
        message::{LimitSummary, RunSummary},
        pending::Permit,
        run_state::{Availability, Change},
    },
    poison::key::RunKey,
    target::Target,
};

impl Fleet {
    /// Takes in the signals of an answer; returns what they change.
    pub fn hear_signals(
        &mut self,
        target: &Target,
        signals: &Signals,
        outcome: Outcome,
        at: Interval,
    ) -> Vec<Change> {
        let run = RunKey::of(target);
        if let Some(m) = self.members.get_mut(&target.name).filter(|m| m.run == run) {
            m.has_answered = true;
            let is_unlimited = signals.limit == Said::Nothing && outcome == Outcome::Ran;
            let is_newer = m.unlimited.is_none_or(|before| at.sent > before.sent);
            if is_unlimited && is_newer {
                m.unlimited = Some(at);
            }
        }
        let changes = self.backpressure.hear(run, signals, outcome, at);
        if changes.contains(&Change::Leaves) {
            self.set_leaving(run);
        }
        changes
    }

    /// Takes in what another daemon has shared; tells whether it changes anything.
    pub fn merge_signals(&mut self, summaries: &[RunSummary], now: Time) -> bool {
        summaries.iter().filter(|summary| self.merge_summary(summary, now)).count() > 0
    }

    fn merge_summary(&mut self, summary: &RunSummary, now: Time) -> bool {
        let is_changed = self.backpressure.merge(summary, now);
        if is_changed && summary.is_leaving {
            self.set_leaving(summary.run);
        }
        if is_changed && matches!(summary.limit, LimitSummary::Named { .. }) {
            // The limit may have ended by an answer to this daemon before it knew of it.
            let member = self.members.values().find(|m| m.run == summary.run);
            if let Some(at) = member.and_then(|m| m.unlimited) {
                self.backpressure.hear(summary.run, &Signals::default(), Outcome::Ran, at);
            }
        }
        is_changed
    }

    /// Takes in that a planner has shared the signals that it knows, or that this daemon is the planner.
    pub fn signals_synced(&mut self) {
        self.has_synced_signals = true;
    }

    /// Tells whether a target may get more than one request. A daemon that has just started does not know
    /// the signals that others have received, and sends each target one request first.
    pub(super) fn is_past_first_contact(&self, m: &Member) -> bool {
        self.has_synced_signals || m.has_answered || m.own() == 0
    }

    /// Returns the signals that this daemon has received lately.
    pub fn recent_signals(&self, now: Time) -> Vec<RunSummary> {
        if self.backpressure.is_empty() { Vec::new() } else { self.backpressure.changed_here(now) }
    }

    fn set_leaving(&mut self, run: RunKey) {
        self.members.values_mut().filter(|m| m.run == run).for_each(|m| m.set_leaves(true));
    }

    /// Takes in that there is a planner, which shares what this daemon receives.
    pub fn signals_are_shared(&mut self, now: Time) {
        self.backpressure.planner_tells(now);
    }

    /// Returns the signals that no planner may have shared, and counts them as shared once.
    pub fn take_unshared_signals(&mut self, now: Time) -> Vec<RunSummary> {
        self.backpressure.take_untold(now)
    }

    /// Returns the signals of all targets known.
    pub fn known_signals(&self, now: Time) -> Vec<RunSummary> {
        if self.backpressure.is_empty() {
            return Vec::new();
        }
        self.backpressure.told_of(self.members.values().map(|m| m.run), now)
    }

    /// Returns the signals of a run.
    pub fn summary(&self, run: RunKey, now: Time) -> Option<RunSummary> {
        self.backpressure.told(run, now)
    }

    /// Returns how much a run takes, if it names a limit.
    pub fn limit(&self, run: RunKey) -> Option<Rate> {
        self.backpressure.limit(run)
    }

    /// Tells whether the signals of a run allow a request as it is sent; one with a limit takes requests
    /// that have a permit.
    pub fn may_send(&self, run: RunKey, permit: Option<Permit>, now: Time) -> bool {
        match self.backpressure.availability_at_send(run, now) {
            Availability::Open => true,
            Availability::Limited(_) => permit.is_some_and(|permit| permit.allows(run, now)),
            Availability::Resting(_) | Availability::Leaving => false,
        }
    }

    /// Returns until when a target wants nothing from this daemon, if it does.
    pub(super) fn rests_until(&self, m: &Member, now: Time) -> Option<Time> {
        match self.backpressure.availability(m.run, now) {
            Availability::Resting(at) => Some(at),
            Availability::Open | Availability::Limited(_) | Availability::Leaving => None,
        }
    }

    /// Returns a signal by which a target that holds what a request wants takes less than others.
    pub fn set_aside(&self, want: &Want<'_>, now: Time) -> Option<Signal> {
        if self.backpressure.is_empty() {
            return None;
        }
        let of_service = self.members.values().filter(|m| m.target.service == *want.service);
        let signals = of_service
            .filter(|m| m.holds(want))
            .map(|m| self.backpressure.availability(m.run, now));
        signals.filter_map(Availability::signal).next()
    }

    /// Returns the targets that name limits.
    pub fn limited(&self) -> Vec<TargetName> {
        if self.backpressure.is_empty() {
            return Vec::new();
        }
        let is_limited = |m: &&Member| self.limit(m.run).is_some();
        self.members.values().filter(is_limited).map(|m| m.target.name.clone()).collect()
    }
}
