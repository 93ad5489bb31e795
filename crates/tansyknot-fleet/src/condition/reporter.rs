//! Which observations of a daemon the planner has counted.

use std::sync::Arc;

use tansyknot_core::clock::Time;

/// The most numbers below the newest one that are remembered.
pub(super) const MAX_REMEMBERED: usize = u64::BITS as usize;

/// The numbers of a daemon's observations that the planner has counted.
#[derive(Clone, Debug)]
pub(super) struct Reporter {
    pub(super) incarnation: Arc<str>,
    newest: u32,
    /// Bit `n` is set if the observation `newest - n` has been counted.
    counted: u64,
    pub(super) last_report: Time,
}

impl Reporter {
    /// Creates the record of a run of a daemon, whose first report begins with number `first`.
    pub(super) fn new(incarnation: &Arc<str>, first: u32, now: Time) -> Self {
        Self {
            incarnation: Arc::clone(incarnation),
            newest: first.saturating_sub(1),
            counted: 0,
            last_report: now,
        }
    }

    /// Returns whether the observation is new, and counts it.
    pub(super) fn count(&mut self, number: u32) -> bool {
        if number > self.newest {
            self.counted = self.counted.checked_shl(number - self.newest).unwrap_or(0) | 1;
            self.newest = number;
            return true;
        }
        let bit = 1_u64.checked_shl(self.newest - number).unwrap_or(0);
        let is_new = bit != 0 && self.counted & bit == 0;
        self.counted |= bit;
        is_new
    }
}
