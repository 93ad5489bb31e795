//! What is known of one request: the runs of targets that ended under it, and which don't count.

use std::{collections::BTreeSet, time::Duration};

use super::{
    evidence::Evidence,
    key::{RequestKey, RunKey},
};

/// Runs that are kept of a request: more than convict it, so that it explains the crashes of others.
pub(super) const RUNS_MOST: usize = 8;

/// Runs that are remembered as not counting. A request that is asked for all the while outlives many
/// targets, and what is told of it has to fit into a datagram: 40 runs take some 400 bytes.
const CLEARED_MOST: usize = 32;

/// The account of a request.
#[derive(Clone, Debug, Default)]
pub(super) struct Account {
    crashes: BTreeSet<RunKey>,
    /// Of these, those that don't count: the request was run since, or the target is alive.
    cleared: BTreeSet<RunKey>,
    /// The longest that one of the targets had it before its end.
    lived: Duration,
    /// Whether a target has ended under a trial of the request.
    tried: bool,
    /// When it was used last, in the order of uses.
    pub(super) used: u64,
}

impl Account {
    /// Takes in that a run ended that had the request for as long as `lived`. Once it has as many as
    /// are kept of those that count, it is convicted anyway.
    pub(super) fn crash(&mut self, run: RunKey, lived: Duration) {
        if self.count() < RUNS_MOST {
            self.crashes.insert(run);
            self.lived = self.lived.max(lived);
        }
    }

    /// Takes in that a run ended under a trial of the request: there was no chance in it.
    pub(super) fn fail_trial(&mut self) {
        self.tried = true;
    }

    /// Tells whether a target has ended under a trial of the request, and it was not run since.
    pub(super) fn is_tried(&self) -> bool {
        self.tried && self.counted().next().is_some()
    }

    /// Has a run count no more; tells whether it did.
    pub(super) fn clear(&mut self, run: RunKey) -> bool {
        let is_news = self.crashes.contains(&run) && self.cleared.insert(run);
        self.trim();
        is_news
    }

    /// Has the runs count no more that ended under `cause` too, if targets lived with that one for a
    /// shorter time; tells whether any did.
    pub(super) fn excuse(&mut self, cause: &Account) -> bool {
        if self.is_tried() || self.lived <= cause.lived {
            return false;
        }
        let shared: Vec<RunKey> =
            self.counted().filter(|run| cause.crashes.contains(run)).copied().collect();
        self.cleared.extend(&shared);
        self.trim();
        !shared.is_empty()
    }

    /// Has no run count that is known by now.
    pub(super) fn clear_all(&mut self) {
        self.cleared.extend(&self.crashes);
        self.trim();
    }

    /// Forgets runs that don't count, if there are too many. All have been told that they don't.
    fn trim(&mut self) {
        while self.cleared.len() > CLEARED_MOST
            && let Some(run) = self.cleared.pop_first()
        {
            self.crashes.remove(&run);
        }
    }

    /// Takes in what another daemon knows.
    pub(super) fn merge(&mut self, other: &Evidence) {
        self.crashes.extend(&other.cleared);
        self.cleared.extend(&other.cleared);
        self.tried |= other.tried;
        other.crashes.iter().for_each(|run| self.crash(*run, other.lived));
        self.trim();
    }

    /// Returns the runs that count.
    pub(super) fn counted(&self) -> impl Iterator<Item = &RunKey> {
        self.crashes.difference(&self.cleared)
    }

    /// Returns how many runs count.
    pub(super) fn count(&self) -> usize {
        self.counted().count()
    }

    /// Returns all of it, as others are told.
    pub(super) fn evidence(&self, request: RequestKey) -> Evidence {
        Evidence {
            request,
            crashes: self.counted().copied().collect(),
            cleared: self.cleared.iter().copied().collect(),
            lived: self.lived,
            tried: self.tried,
        }
    }
}
