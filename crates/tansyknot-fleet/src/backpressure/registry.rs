//! The backpressure state of all targets, by run. An entry of the list that is rewritten, expires
//! or returns does not change the state.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tansyknot_core::clock::Time;

use super::{
    Interval, Rate, RunOutcome, Signals,
    message::RunSummary,
    run_state::{Availability, RunState, SignalChange},
};
use crate::poison::key::RunKey;

/// The maximum number of runs with recorded state, more than a fleet has targets. Beyond it, the
/// run that was last seen longest ago is removed: draining targets end soon, and a live target
/// signals again with its next response.
const MAX_RUNS: usize = 8192;
/// How long a change by a response to this daemon is sent to the planner, because datagrams get
/// lost.
const CHANGE_SEND_DURATION: Duration = Duration::from_secs(3);
/// How many times a change is sent to the other daemons directly while there is no planner.
const DIRECT_SENDS: u32 = 3;
/// The maximum number of summaries in one message; those that changed last are sent.
const MAX_SUMMARIES: usize = 64;

/// The state of a run, and when it changed.
#[derive(Clone, Debug, Default)]
struct RunRecord {
    state: RunState,
    last_seen: Time,
    /// When the state last changed.
    changed: Time,
    /// When a response to this daemon last changed the state.
    changed_here: Option<Time>,
}

impl RunRecord {
    /// Returns whether a response to this daemon has changed the state recently.
    fn is_recent(&self, now: Time) -> bool {
        self.changed_here.is_some_and(|at| now.since(at) < CHANGE_SEND_DURATION)
    }
}

/// The backpressure state of all targets.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    by_run: HashMap<RunKey, RunRecord>,
    /// Runs whose state was changed by responses to this daemon, and how many more times the change
    /// is to be sent to others.
    unsent: BTreeMap<RunKey, u32>,
}

impl Registry {
    /// Applies the signals of a response; returns what they change.
    pub fn apply(
        &mut self,
        run: RunKey,
        signals: &Signals,
        outcome: RunOutcome,
        at: Interval,
    ) -> Vec<SignalChange> {
        if *signals == Signals::default() && !self.by_run.contains_key(&run) {
            return Vec::new();
        }
        let record = self.record(run, at.received);
        let changes = record.state.apply(signals, outcome, at);
        // Others drop a brittleness that is not named again.
        let is_renewal_due = record.state.is_brittle(at.received) && !record.is_recent(at.received);
        if !changes.is_empty() || is_renewal_due {
            record.changed = at.received;
            record.changed_here = Some(at.received);
            self.unsent.insert(run, DIRECT_SENDS);
        }
        self.evict_oldest();
        changes
    }

    /// Merges the state that another daemon has sent; returns whether it changes anything.
    pub fn merge(&mut self, summary: &RunSummary, now: Time) -> bool {
        if !summary.has_signal() {
            return false;
        }
        let record = self.record(summary.run, now);
        let is_changed = record.state.merge(summary, now);
        if is_changed {
            record.changed = now;
        }
        self.evict_oldest();
        is_changed
    }

    /// Returns what responses to this daemon have changed recently.
    pub fn changed_here(&self, now: Time) -> Vec<RunSummary> {
        newest_summaries(self.by_run.iter().filter(|(_, record)| record.is_recent(now)), now)
    }

    /// Drops the changes that a planner has had time to send.
    pub fn drop_sent_by_planner(&mut self, now: Time) {
        let by_run = &self.by_run;
        self.unsent.retain(|run, _| by_run.get(run).is_some_and(|record| record.is_recent(now)));
    }

    /// Returns what responses to this daemon have changed and no planner may have sent, and counts
    /// it as sent once.
    pub fn take_unsent(&mut self, now: Time) -> Vec<RunSummary> {
        self.drop_sent_by_planner(now);
        let unsent = self.summaries(self.unsent.keys().copied(), now);
        self.unsent.values_mut().for_each(|left| *left -= 1);
        self.unsent.retain(|_, left| *left > 0);
        unsent
    }

    /// Returns the signals of these runs.
    pub fn summaries(&self, runs: impl Iterator<Item = RunKey>, now: Time) -> Vec<RunSummary> {
        let known = runs.filter_map(|run| self.by_run.get_key_value(&run));
        newest_summaries(known, now)
    }

    /// Returns the signals of a run.
    pub fn summary(&self, run: RunKey, now: Time) -> Option<RunSummary> {
        self.by_run.get(&run).map(|record| record.state.summary(run, now))
    }

    /// Returns the rate limit of a run, if it names one.
    pub fn limit(&self, run: RunKey) -> Option<Rate> {
        self.by_run.get(&run)?.state.limit().map(|limit| limit.rate)
    }

    /// Returns whether a run is brittle.
    pub fn is_brittle(&self, run: RunKey, now: Time) -> bool {
        self.by_run.get(&run).is_some_and(|record| record.state.is_brittle(now))
    }

    /// Returns when a run last refused a request while it was brittle.
    pub fn last_refusal(&self, run: RunKey) -> Option<Time> {
        self.by_run.get(&run)?.state.last_refusal()
    }

    /// Returns whether a run is draining.
    pub fn is_leaving(&self, run: RunKey) -> bool {
        self.by_run.get(&run).is_some_and(|record| record.state.is_leaving())
    }

    /// Moves the state of a run to another key of the same run.
    pub fn rename(&mut self, run: RunKey, to: RunKey) {
        if let Some(record) = self.by_run.remove(&run) {
            self.by_run.insert(to, record);
        }
    }

    /// Records that a request has chosen a run.
    pub fn record_choice(&mut self, run: RunKey, now: Time) {
        if let Some(record) = self.by_run.get_mut(&run) {
            record.state.record_choice(now);
        }
    }

    /// Returns whether the signals of a run allow another request to choose it.
    pub fn availability(&self, run: RunKey, now: Time) -> Availability {
        self.by_run.get(&run).map_or(Availability::Open, |record| record.state.availability(now))
    }

    /// Returns whether the signals of a run still allow a request that has chosen it.
    pub fn availability_at_send(&self, run: RunKey, now: Time) -> Availability {
        self.by_run
            .get(&run)
            .map_or(Availability::Open, |record| record.state.availability_at_send(now))
    }

    /// Returns whether no run has sent a signal.
    pub fn is_empty(&self) -> bool {
        self.by_run.is_empty()
    }

    fn record(&mut self, run: RunKey, now: Time) -> &mut RunRecord {
        let record = self.by_run.entry(run).or_default();
        record.last_seen = record.last_seen.max(now);
        record
    }

    fn evict_oldest(&mut self) {
        while self.by_run.len() > MAX_RUNS {
            let oldest =
                self.by_run.iter().min_by_key(|(_, record)| record.last_seen).map(|(run, _)| *run);
            let Some(oldest) = oldest else { return };
            self.by_run.remove(&oldest);
        }
    }
}

/// Returns the summaries of these runs for other daemons, the most recently changed ones first.
fn newest_summaries<'a>(
    records: impl Iterator<Item = (&'a RunKey, &'a RunRecord)>,
    now: Time,
) -> Vec<RunSummary> {
    let mut records: Vec<(&RunKey, &RunRecord)> = records.collect();
    records.sort_by_key(|(run, record)| (Reverse(record.changed), **run));
    records.truncate(MAX_SUMMARIES);
    let summaries = records.into_iter().map(|(run, record)| record.state.summary(*run, now));
    summaries.filter(RunSummary::has_signal).collect()
}
