//! The retry budget of a service: retries are bounded by a share of first sends.

use std::{collections::VecDeque, time::Duration};

use tansyknot_core::clock::Time;

/// Bounds on retries, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetOptions {
    /// Retries allowed per first send.
    pub ratio: f64,
    /// Additional retries per window, shared by all daemons.
    pub slack: f64,
    /// The sliding window in which sends are counted.
    pub window: Duration,
}

/// The share of the bound that a daemon uses once it has run for a full window. The rest is for
/// daemons that have just started, as their windows do not include the sends of their previous
/// processes.
const SETTLED_SHARE: f64 = 0.85;

/// The inputs of one daemon's allotment of the bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allotment {
    /// The highest number of daemons reported to it so far; 0 if none was reported yet.
    pub daemons: usize,
    /// How long the daemon has been running.
    pub uptime: Duration,
}

impl Allotment {
    /// Returns whether the daemon has run for a full window.
    ///
    /// The daemon's previous process may have spent its whole allotment just before it ended, both
    /// the slack and what the ratio allows for the first sends of that window. So a daemon that has
    /// not run for a window has no slack, and for its first sends only the share of the ratio that
    /// settled daemons leave unused. With their full slack after a restart, six daemons that are
    /// killed together make 194 retries in 10 s where 142 are allowed; with the full ratio, nine
    /// make 248 where 245 are allowed.
    fn is_settled(&self, options: &BudgetOptions) -> bool {
        self.uptime >= options.window
    }

    /// Returns the retries that one first send allows.
    fn ratio(&self, options: &BudgetOptions) -> f64 {
        let share = if self.is_settled(options) { SETTLED_SHARE } else { 1.0 - SETTLED_SHARE };
        options.ratio * share
    }

    /// Returns the daemon's share of the slack; zero while the number of daemons is unknown.
    fn slack(&self, options: &BudgetOptions) -> f64 {
        if self.daemons == 0 || !self.is_settled(options) {
            return 0.0;
        }
        options.slack / self.daemons as f64 * SETTLED_SHARE
    }
}

/// Retries of one daemon to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retries {
    /// Retries made within the last window.
    pub spent: usize,
    /// Retries allowed within a window.
    pub allowed: f64,
}

/// Sends of one daemon to a service within the last window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// Times of first sends, and the retries that each allows.
    first_sends: VecDeque<(Time, f64)>,
    /// Times of retries.
    retry_times: VecDeque<Time>,
}

impl Budget {
    /// Counts the first send of a request by a daemon with `allotment`.
    pub fn count_first_send(&mut self, now: Time, allotment: Allotment, options: &BudgetOptions) {
        self.expire(now, options);
        self.first_sends.push_back((now, allotment.ratio(options)));
    }

    /// Takes a retry if a daemon with `allotment` has one available; returns whether it had.
    pub fn take_retry(&mut self, now: Time, allotment: Allotment, options: &BudgetOptions) -> bool {
        let Retries { spent, allowed } = self.retries(now, allotment, options);
        let is_available = ((spent + 1) as f64) <= allowed;
        if is_available {
            self.retry_times.push_back(now);
        }
        is_available
    }

    /// Returns the retries made within the window, and how many a daemon with `allotment` may make.
    pub fn retries(&mut self, now: Time, allotment: Allotment, options: &BudgetOptions) -> Retries {
        self.expire(now, options);
        let by_ratio: f64 =
            self.first_sends.iter().map(|(_, allowed_retries)| allowed_retries).sum();
        let allowed = by_ratio + allotment.slack(options);
        Retries { spent: self.retry_times.len(), allowed }
    }

    fn expire(&mut self, now: Time, options: &BudgetOptions) {
        let is_expired = |at: &Time| now.since(*at) > options.window;
        while self.first_sends.front().is_some_and(|(at, _)| is_expired(at)) {
            self.first_sends.pop_front();
        }
        while self.retry_times.front().is_some_and(is_expired) {
            self.retry_times.pop_front();
        }
    }
}
