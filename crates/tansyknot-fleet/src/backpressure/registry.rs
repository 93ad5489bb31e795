//! The backpressure state of all targets, by run: an entry of the list that is written again, lapses or
//! comes back does not change it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tansyknot_core::clock::Time;

use super::{
    Interval, Outcome, Rate, Signals,
    message::{LimitSummary, RunSummary},
    run_state::{Availability, Change, RunState},
};
use crate::poison::key::RunKey;

/// Runs whose state is kept: more than a fleet has targets. Beyond that the one goes first that was
/// heard longest ago, as targets that leave end soon, and one that is there speaks with its next answer.
const RUNS_MOST: usize = 8192;
/// What an answer to this daemon has changed is told to the planner for so long, as datagrams get lost.
const TOLD_FOR: Duration = Duration::from_secs(3);
/// While there is no planner others are told directly, so often.
const TELLINGS: u32 = 3;
/// Summaries in one message at most, those that changed last.
const TOLD_MOST: usize = 64;

/// A run's state, and when it changed.
#[derive(Clone, Debug, Default)]
struct Kept {
    state: RunState,
    heard: Time,
    /// When it changed last.
    changed: Time,
    /// When an answer to this daemon changed it last.
    changed_here: Option<Time>,
}

impl Kept {
    /// Tells whether an answer to this daemon has changed it lately.
    fn is_new(&self, now: Time) -> bool {
        self.changed_here.is_some_and(|at| now.since(at) < TOLD_FOR)
    }
}

/// The backpressure state of all targets.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    by_run: HashMap<RunKey, Kept>,
    /// Runs whose state answers to this daemon have changed, and how often others are to be told yet.
    untold: BTreeMap<RunKey, u32>,
}

impl Registry {
    /// Takes in the signals of an answer; returns what they change.
    pub fn hear(
        &mut self,
        run: RunKey,
        signals: &Signals,
        outcome: Outcome,
        at: Interval,
    ) -> Vec<Change> {
        if *signals == Signals::default() && !self.by_run.contains_key(&run) {
            return Vec::new();
        }
        let kept = self.kept(run, at.received);
        let changes = kept.state.hear(signals, outcome, at);
        if !changes.is_empty() {
            kept.changed = at.received;
            kept.changed_here = Some(at.received);
            self.untold.insert(run, TELLINGS);
        }
        self.forget();
        changes
    }

    /// Takes in what another daemon knows; tells whether it changes anything.
    pub fn merge(&mut self, summary: &RunSummary, now: Time) -> bool {
        if summary.limit == LimitSummary::Unknown && !summary.is_leaving {
            return false;
        }
        let kept = self.kept(summary.run, now);
        let is_changed = kept.state.merge(summary, now);
        if is_changed {
            kept.changed = now;
        }
        self.forget();
        is_changed
    }

    /// Returns what answers to this daemon have changed lately.
    pub fn changed_here(&self, now: Time) -> Vec<RunSummary> {
        newest(self.by_run.iter().filter(|(_, kept)| kept.is_new(now)), now)
    }

    /// Forgets what a planner has had the time to tell.
    pub fn planner_tells(&mut self, now: Time) {
        let by_run = &self.by_run;
        self.untold.retain(|run, _| by_run.get(run).is_some_and(|kept| kept.is_new(now)));
    }

    /// Returns what answers to this daemon have changed and no planner may have told, and takes it for
    /// told once.
    pub fn take_untold(&mut self, now: Time) -> Vec<RunSummary> {
        self.planner_tells(now);
        let untold = self.told_of(self.untold.keys().copied(), now);
        self.untold.values_mut().for_each(|left| *left -= 1);
        self.untold.retain(|_, left| *left > 0);
        untold
    }

    /// Returns what is known of these runs.
    pub fn told_of(&self, runs: impl Iterator<Item = RunKey>, now: Time) -> Vec<RunSummary> {
        let known = runs.filter_map(|run| self.by_run.get_key_value(&run));
        newest(known, now)
    }

    /// Returns what is known of a run.
    pub fn told(&self, run: RunKey, now: Time) -> Option<RunSummary> {
        self.by_run.get(&run).map(|kept| kept.state.told(run, now))
    }

    /// Returns how much a run takes, if it names a limit.
    pub fn limit(&self, run: RunKey) -> Option<Rate> {
        self.by_run.get(&run)?.state.limit().map(|limit| limit.rate)
    }

    /// Tells whether a run drains.
    pub fn is_leaving(&self, run: RunKey) -> bool {
        self.by_run.get(&run).is_some_and(|kept| kept.state.is_leaving())
    }

    /// Moves the state of a run to another key of the same run.
    pub fn rename(&mut self, run: RunKey, to: RunKey) {
        if let Some(kept) = self.by_run.remove(&run) {
            self.by_run.insert(to, kept);
        }
    }

    /// Takes in that a request has chosen a run.
    pub fn sends(&mut self, run: RunKey, now: Time) {
        if let Some(kept) = self.by_run.get_mut(&run) {
            kept.state.sends(now);
        }
    }

    /// Tells whether the signals of a run allow another request to choose it.
    pub fn availability(&self, run: RunKey, now: Time) -> Availability {
        self.by_run.get(&run).map_or(Availability::Open, |kept| kept.state.availability(now))
    }

    /// Tells whether the signals of a run still allow a request that has chosen it.
    pub fn availability_at_send(&self, run: RunKey, now: Time) -> Availability {
        self.by_run
            .get(&run)
            .map_or(Availability::Open, |kept| kept.state.availability_at_send(now))
    }

    /// Tells whether no run has sent a signal.
    pub fn is_empty(&self) -> bool {
        self.by_run.is_empty()
    }

    fn kept(&mut self, run: RunKey, now: Time) -> &mut Kept {
        let kept = self.by_run.entry(run).or_default();
        kept.heard = kept.heard.max(now);
        kept
    }

    fn forget(&mut self) {
        while self.by_run.len() > RUNS_MOST {
            let oldest = self.by_run.iter().min_by_key(|(_, kept)| kept.heard).map(|(run, _)| *run);
            let Some(oldest) = oldest else { return };
            self.by_run.remove(&oldest);
        }
    }
}

/// Returns what others are told of these runs, those first that changed last.
fn newest<'a>(kept: impl Iterator<Item = (&'a RunKey, &'a Kept)>, now: Time) -> Vec<RunSummary> {
    let mut kept: Vec<(&RunKey, &Kept)> = kept.collect();
    kept.sort_by_key(|(run, kept)| (Reverse(kept.changed), **run));
    kept.truncate(TOLD_MOST);
    let summaries = kept.into_iter().map(|(run, kept)| kept.state.told(*run, now));
    summaries.filter(|s| s.limit != LimitSummary::Unknown || s.is_leaving).collect()
}
