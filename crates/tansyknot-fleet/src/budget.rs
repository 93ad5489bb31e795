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

/// The share of the bound that daemons use: their windows do not begin at the same moment.
const USED_SHARE: f64 = 0.85;

/// What one daemon's part of the slack depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// The most daemons that it has known of at once; 0 if it knows of none yet.
    pub daemons: usize,
    /// How long it has run.
    pub running: Duration,
}

impl Part {
    /// Returns its part of the slack.
    ///
    /// A daemon that does not know the others yet has none, and neither has one that has not run
    /// for a whole window: its last run may have spent the part just before it ended. Six daemons
    /// that were killed together made 194 second sends in 10 s where 142 are allowed, as each had
    /// the whole slack until it was told of the others, and its part once more (docs/incidents).
    fn slack(&self, options: &BudgetOptions) -> f64 {
        if self.daemons == 0 || self.running < options.window {
            return 0.0;
        }
        options.slack / self.daemons as f64
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
    first: VecDeque<Time>,
    again: VecDeque<Time>,
}

impl Budget {
    /// Counts the first send of a request.
    pub fn first(&mut self, now: Time, options: &BudgetOptions) {
        self.forget(now, options);
        self.first.push_back(now);
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
        let first = self.first.len() as f64;
        let allowed = (first * options.ratio + part.slack(options)) * USED_SHARE;
        Retries { spent: self.again.len(), allowed }
    }

    fn forget(&mut self, now: Time, options: &BudgetOptions) {
        let is_old = |at: &Time| now.since(*at) > options.window;
        while self.first.front().is_some_and(is_old) {
            self.first.pop_front();
        }
        while self.again.front().is_some_and(is_old) {
            self.again.pop_front();
        }
    }
}
