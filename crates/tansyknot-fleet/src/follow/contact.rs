//! Whether the store answers a follower, and how long to give it and to wait for it.

use std::time::Duration;

use tansyknot_core::{Error, Result, event};

use crate::{backoff, state::State};

/// The first pause after a call that the store did not answer.
const RETRY_FIRST: Duration = Duration::from_millis(250);
/// The longest one. Entries that lapsed with the store away count for 2.3 s from the first answer
/// on, so the return must not be noticed much later than it comes.
const RETRY_MOST: Duration = Duration::from_millis(1000);

/// How long the first reading of a table may take: the platform gives 4 ms for an answer, 60 times
/// that on its slow days, and a store that is silent is asked anew. When each reading might take
/// 2 s, a start during an outage noticed the store's return 1.4 s late (logs of a day on which
/// all daemons were killed).
const READ_FIRST: Duration = Duration::from_millis(400);
/// How long a reading may take in the end; each may take twice as long as the one before. Some
/// 120 kB at 94 targets take 0.1 s over an idle link of 10 Mbit/s.
const READ_MOST: Duration = Duration::from_millis(2000);

/// Tells once that the store is lost, and once that it is back.
#[derive(Debug)]
pub(super) struct Contact {
    what: &'static str,
    /// Calls that failed in a row; the store is lost while there are any.
    failures: u32,
}

impl Contact {
    pub(super) fn new(what: &'static str) -> Self {
        Self { what, failures: 0 }
    }

    /// Returns how long the next reading of a whole table may take.
    pub(super) fn read_within(&self) -> Duration {
        backoff::grown(READ_FIRST, self.failures, READ_MOST)
    }

    /// Returns how long to pause after a call that failed.
    pub(super) fn pause(&self) -> Duration {
        let before = self.failures.saturating_sub(1);
        backoff::spread(backoff::grown(RETRY_FIRST, before, RETRY_MOST), &mut rand::rng())
    }

    /// Takes in how a call that asked for changes after `from`, or for all, ended; tells whether
    /// the store has just come back.
    pub(super) fn take<T>(&mut self, result: &Result<T>, from: Option<u64>, state: &State) -> bool {
        match result {
            Ok(_) => self.answered(state),
            Err(e) => {
                self.failed(e, from, state);
                false
            }
        }
    }

    fn answered(&mut self, state: &State) -> bool {
        let was_lost = std::mem::take(&mut self.failures) > 0;
        if was_lost {
            event::FLEET_STORE_BACK.emit(&[("for", &self.what)]);
            state.store_returned();
        }
        was_lost
    }

    /// Logs the first failure in a row, the second, the fourth, the eighth and so on.
    fn failed(&mut self, e: &Error, from: Option<u64>, state: &State) {
        self.failures += 1;
        if self.failures == 1 {
            event::FLEET_STORE_LOST.emit(&[("for", &self.what), ("error", e)]);
            state.store_lost();
        } else if self.failures.is_power_of_two() {
            let from = from.map_or_else(|| "all".to_owned(), |version| version.to_string());
            event::FLEET_STORE_STILL_LOST.emit(&[
                ("for", &self.what),
                ("failures", &self.failures),
                ("from", &from),
                ("error", e),
            ]);
        }
    }
}
