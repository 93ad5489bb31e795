//! Exponential backoff, with jitter for calls to a store that does not respond.

use std::time::Duration;

use rand::Rng;

/// Factor between successive delays.
const GROWTH_FACTOR: u32 = 2;
/// Lower bound of a jittered delay, as a share of its full length. Jitter keeps daemons that lost
/// the store at the same moment from calling it at the same moment.
const MIN_JITTER_SHARE: f64 = 0.6;

/// Returns the duration after `failures` consecutive failures: `initial`, doubled with each
/// failure, at most `limit`.
pub fn exponential(initial: Duration, failures: u32, limit: Duration) -> Duration {
    initial.saturating_mul(GROWTH_FACTOR.saturating_pow(failures)).min(limit)
}

/// Adds jitter: returns a random delay of at most `delay`, so that daemons do not retry in step.
pub fn jittered(delay: Duration, rng: &mut impl Rng) -> Duration {
    delay.mul_f64(rng.random_range(MIN_JITTER_SHARE..=1.0))
}

/// Delays after failed calls: they grow up to a maximum, and start again at the minimum after a
/// success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    min_delay: Duration,
    max_delay: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff with delays from `min_delay` to `max_delay`.
    pub fn new(min_delay: Duration, max_delay: Duration) -> Self {
        Self { min_delay, max_delay, failures: 0 }
    }

    /// Records a failed call; returns the delay before the next.
    pub fn failed(&mut self, rng: &mut impl Rng) -> Duration {
        let delay = exponential(self.min_delay, self.failures, self.max_delay);
        self.failures = self.failures.saturating_add(1);
        jittered(delay, rng)
    }

    /// Records that a call succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
