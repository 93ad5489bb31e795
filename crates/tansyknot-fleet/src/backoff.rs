//! Spans that grow with each failure, and the pauses between calls to a store that does not answer.

use std::time::Duration;

use rand::Rng;

/// Each span is this many times the one before.
const GROWTH: u32 = 2;
/// A pause is drawn from this share of its length up, so that daemons that lost the store at the
/// same moment don't ask it at the same moment.
const SPREAD_FROM: f64 = 0.6;

/// Returns the span after `failures` in a row: `first`, doubled with each of them, up to `most`.
pub fn grown(first: Duration, failures: u32, most: Duration) -> Duration {
    first.saturating_mul(GROWTH.saturating_pow(failures)).min(most)
}

/// Returns a pause of about `span`, drawn so that not all pause alike.
pub fn spread(span: Duration, rng: &mut impl Rng) -> Duration {
    span.mul_f64(rng.random_range(SPREAD_FROM..=1.0))
}

/// The pauses after failed calls: they grow up to a most, and begin anew after a success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    failures: u32,
}

impl Backoff {
    /// Makes pauses from `least` to `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        Self { least, most, failures: 0 }
    }

    /// Returns the pause after a call that failed.
    pub fn failed(&mut self, rng: &mut impl Rng) -> Duration {
        let pause = grown(self.least, self.failures, self.most);
        self.failures = self.failures.saturating_add(1);
        spread(pause, rng)
    }

    /// Takes in that a call succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}
