//! The evidence on one request, or one part of prompts: the runs of targets that ended under it, and which of them don't
//! count.

use std::{collections::BTreeSet, time::Duration};

use super::{
    evidence::Evidence,
    key::{RunKey, SoftwareKey, SuspectKey},
};

/// The maximum number of crashes that are stored for a request: more than convict it, so that they
/// explain crashes under other requests.
pub(super) const MAX_CRASHES: usize = 8;

/// The maximum number of cleared runs that are stored. A request that is sent all the time outlives
/// many targets, and its evidence has to fit into a datagram: 40 runs take about 400 bytes.
const MAX_CLEARED: usize = 32;

/// The account of a request or of a part of prompts.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    crashes: BTreeSet<RunKey>,
    /// The crashes that don't count: the request was run since, or the target is alive.
    cleared: BTreeSet<RunKey>,
    /// The longest time that a target had the request before the target ended.
    longest_held: Duration,
    /// Whether a target has ended under a trial of the request.
    tried: bool,
    /// The value of the use counter when the account was last used.
    pub(super) last_used: u64,
}

impl Account {
    /// Records that a run ended that had the request for `lived`. With this many crashes that
    /// count, the request is convicted anyway, and no more are stored.
    pub(super) fn add_crash(&mut self, run: RunKey, lived: Duration) {
        if !self.is_full() {
            self.crashes.insert(run);
            self.longest_held = self.longest_held.max(lived);
        }
    }

    /// Returns whether no more crashes are stored.
    pub(super) fn is_full(&self) -> bool {
        self.count() >= MAX_CRASHES
    }

    /// Returns whether a run ended under the request, whether or not it counts.
    pub(super) fn has_crash(&self, run: RunKey) -> bool {
        self.crashes.contains(&run)
    }

    /// Removes a crash, to store another one.
    pub(super) fn remove_crash(&mut self, run: RunKey) {
        self.crashes.remove(&run);
    }

    /// Records that a run ended under a trial of the request, which rules out coincidence.
    pub(super) fn fail_trial(&mut self) {
        self.tried = true;
    }

    /// Returns whether a target has ended under a trial of the request, and the request was not run
    /// since.
    pub(super) fn is_tried(&self) -> bool {
        self.tried && self.counted().next().is_some()
    }

    /// Clears a run; returns whether its crash counted before.
    pub(super) fn clear(&mut self, run: RunKey) -> bool {
        let is_changed = self.crashes.contains(&run) && self.cleared.insert(run);
        self.trim();
        is_changed
    }

    /// Clears the runs that also ended under `cause`, if targets ran that request for a shorter
    /// time; returns whether there were any.
    pub(super) fn clear_shared_with(&mut self, cause: &Account) -> bool {
        if self.is_tried() || self.longest_held <= cause.longest_held {
            return false;
        }
        let shared: Vec<RunKey> =
            self.counted().filter(|run| cause.crashes.contains(run)).copied().collect();
        self.cleared.extend(&shared);
        self.trim();
        !shared.is_empty()
    }

    /// Clears all runs that may have this software and are known so far.
    pub(super) fn clear_software(&mut self, software: SoftwareKey) {
        let runs = self.crashes.iter().filter(|run| run.software().may_be(software));
        self.cleared.extend(runs.copied().collect::<Vec<RunKey>>());
        self.trim();
    }

    /// Returns the software of the runs that count.
    pub(super) fn software(&self) -> BTreeSet<SoftwareKey> {
        self.counted().map(|run| run.software()).collect()
    }

    /// Removes cleared runs if there are too many. All daemons have been sent that they are
    /// cleared.
    fn trim(&mut self) {
        while self.cleared.len() > MAX_CLEARED
            && let Some(run) = self.cleared.pop_first()
        {
            self.crashes.remove(&run);
        }
    }

    /// Merges the evidence of another daemon.
    pub(super) fn merge(&mut self, other: &Evidence) {
        self.crashes.extend(&other.cleared);
        self.cleared.extend(&other.cleared);
        self.tried |= other.tried;
        other.crashes.iter().for_each(|run| self.add_crash(*run, other.longest_held));
        self.trim();
    }

    /// Returns the runs that count.
    pub(super) fn counted(&self) -> impl Iterator<Item = &RunKey> {
        self.crashes.difference(&self.cleared)
    }

    /// Returns whether a run ended under both, whether or not it counts.
    pub(super) fn shares_crash(&self, other: &Account) -> bool {
        self.crashes.iter().any(|run| other.crashes.contains(run))
    }

    /// Returns how many runs count.
    pub(super) fn count(&self) -> usize {
        self.counted().count()
    }

    /// Returns all evidence, in the form that is sent to other daemons.
    pub(super) fn evidence(&self, suspect: SuspectKey) -> Evidence {
        Evidence {
            suspect,
            crashes: self.counted().copied().collect(),
            cleared: self.cleared.iter().copied().collect(),
            longest_held: self.longest_held,
            tried: self.tried,
        }
    }
}
