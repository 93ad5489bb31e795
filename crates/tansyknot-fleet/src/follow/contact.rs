//! Tracks whether the store responds to a follower, and derives the timeouts and retry delays.

use std::time::Duration;

use tansyknot_core::{Error, Result, event};

use crate::{backoff, state::State};

/// Delay after the first failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay after a failed call. Entries that expired while the store was unavailable stay in
/// use for 2.3 s from the first response on, so a daemon must notice the store's return soon.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);

/// Timeout of the first read of a table. The platform states 4 ms for a response, and up to 60
/// times that when the store is slow; a read that times out is retried. With a timeout of 2 s for
/// every read, a daemon that starts during an outage notices the store's return 1.4 s late.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum timeout of a read; each timeout is twice the one before. About 120 kB for 94 targets
/// take 0.1 s over an idle link of 10 Mbit/s.
const MAX_READ_TIMEOUT: Duration = Duration::from_millis(2000);

/// Tracks failed calls to the store; reports the loss of the store once and its return once.
#[derive(Debug)]
pub(super) struct StoreContact {
    subject: &'static str,
    /// Consecutive failed calls; the store counts as lost unless this is 0.
    failures: u32,
}

impl StoreContact {
    pub(super) fn new(subject: &'static str) -> Self {
        Self { subject, failures: 0 }
    }

    /// Returns whether the last call failed.
    pub(super) fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Returns the timeout of the next read of a full table.
    pub(super) fn read_timeout(&self) -> Duration {
        backoff::exponential(MIN_READ_TIMEOUT, self.failures, MAX_READ_TIMEOUT)
    }

    /// Returns the delay after a failed call.
    pub(super) fn pause(&self) -> Duration {
        let earlier_failures = self.failures.saturating_sub(1);
        backoff::jittered(
            backoff::exponential(MIN_RETRY_DELAY, earlier_failures, MAX_RETRY_DELAY),
            &mut rand::rng(),
        )
    }

    /// Records the result of a call for the changes after `from`, or for the full table; returns
    /// whether the store has just returned.
    pub(super) fn record<T>(
        &mut self,
        result: &Result<T>,
        from: Option<u64>,
        state: &State,
    ) -> bool {
        match result {
            Ok(_) => self.record_success(state),
            Err(e) => {
                self.record_failure(e, from, state);
                false
            }
        }
    }

    fn record_success(&mut self, state: &State) -> bool {
        let was_lost = std::mem::take(&mut self.failures) > 0;
        if was_lost {
            event::FLEET_STORE_BACK.emit(&[("for", &self.subject)]);
            state.store_returned();
        }
        was_lost
    }

    /// Logs the first failure in a row, the second, the fourth, the eighth and so on.
    fn record_failure(&mut self, e: &Error, from: Option<u64>, state: &State) {
        self.failures += 1;
        if self.failures == 1 {
            event::FLEET_STORE_LOST.emit(&[("for", &self.subject), ("error", e)]);
            state.store_lost();
        } else if self.failures.is_power_of_two() {
            let from = from.map_or_else(|| "all".to_owned(), |version| version.to_string());
            event::FLEET_STORE_STILL_LOST.emit(&[
                ("for", &self.subject),
                ("failures", &self.failures),
                ("from", &from),
                ("error", e),
            ]);
        }
    }
}
