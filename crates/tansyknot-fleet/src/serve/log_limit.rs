//! Rate limit for log lines, so that a flood of refusals shows in the logs without filling them.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tansyknot_core::clock::Time;

/// Maximum log lines of one kind per second.
const MAX_LINES_PER_SECOND: u32 = 20;

/// Start of the current second, and the lines counted in it.
#[derive(Debug, Default)]
pub(super) struct LogRateLimit(Mutex<(Time, u32)>);

impl LogRateLimit {
    /// Counts one line and returns whether it may be logged.
    pub(super) fn admits(&self, now: Time) -> bool {
        // The counters are consistent even if a thread panicked while it held the lock.
        let mut counted = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(counted.0) >= Duration::from_secs(1) {
            *counted = (now, 0);
        }
        counted.1 += 1;
        counted.1 <= MAX_LINES_PER_SECOND
    }
}
