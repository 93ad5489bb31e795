//! The retry budget of a service: second sends are a bounded share of first ones.

use std::{collections::VecDeque, time::Duration};

use tansyknot_core::clock::Time;

/// Bounds on second sends, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Second sends for each first one.
    pub ratio: f64,
    /// Second sends beyond that in one window, shared by all daemons.
    pub slack: f64,
    /// The sliding window that is counted.
    pub window: Duration,
}

/// The share of the bound that a daemon uses once it has run for a window. The rest is for runs that
/// have just started, as their windows do not begin with those of the runs before.
const USED_SHARE: f64 = 0.85;

/// What one daemon's part of the bound depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// The most daemons that it has known of at once; 0 if it knows of none yet.
    pub daemons: usize,
    /// How long it has run.
    pub running: Duration,
}

impl Part {
    /// Tells whether the daemon has run for a whole window.
    ///
    /// The last run may have spent all that it might just before it ended, the ratio for requests of
    /// the window before with it. So a daemon that has not run for a window has no slack, and for
    /// what comes meanwhile the share of the ratio that longer runs don't use. Six daemons that
    /// were killed together made 194 second sends in 10 s where 142 are allowed while each had
    /// the slack once more, and nine made 248 of 245 while each had the whole ratio
    /// (docs/incidents).
    fn is_settled(&self, options: &BudgetOptions) -> bool {
        self.running >= options.window
    }

    /// Returns the second sends that a first one allows.
    fn ratio(&self, options: &BudgetOptions) -> f64 {
        let share = if self.is_settled(options) { USED_SHARE } else { 1.0 - USED_SHARE };
        options.ratio * share
    }

    /// Returns its part of the slack; none before it knows the others.
    fn slack(&self, options: &BudgetOptions) -> f64 {
        if self.daemons == 0 || !self.is_settled(options) {
            return 0.0;
        }
        options.slack / self.daemons as f64 * USED_SHARE
    }
}

/// Second sends of one daemon to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retries {
    /// Within the last window.
    pub spent: usize,
    /// How many there may be.
    pub allowed: f64,
}

/// Sends of one service within the last window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// First sends, and how many second ones each allows.
    first: VecDeque<(Time, f64)>,
    again: VecDeque<Time>,
}

impl Budget {
    /// Counts the first send of a request by a daemon with `part`.
    pub fn first(&mut self, now: Time, part: Part, options: &BudgetOptions) {
        self.forget(now, options);
        self.first.push_back((now, part.ratio(options)));
    }

    /// Takes a second send; tells whether there was one left for a daemon with `part`.
    pub fn take(&mut self, now: Time, part: Part, options: &BudgetOptions) -> bool {
        let Retries { spent, allowed } = self.retries(now, part, options);
        let is_left = ((spent + 1) as f64) <= allowed;
        if is_left {
            self.again.push_back(now);
        }
        is_left
    }

    /// Returns the second sends within the window, and how many a daemon with `part` may make.
    pub fn retries(&mut self, now: Time, part: Part, options: &BudgetOptions) -> Retries {
        self.forget(now, options);
        let by_ratio: f64 = self.first.iter().map(|(_, allows)| allows).sum();
        let allowed = by_ratio + part.slack(options);
        Retries { spent: self.again.len(), allowed }
    }

    fn forget(&mut self, now: Time, options: &BudgetOptions) {
        let is_old = |at: &Time| now.since(*at) > options.window;
        while self.first.front().is_some_and(|(at, _)| is_old(at)) {
            self.first.pop_front();
        }
        while self.again.front().is_some_and(is_old) {
            self.again.pop_front();
        }
    }
}
