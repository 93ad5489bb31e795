//! Pauses between calls to a store that does not answer.

use std::time::Duration;

use rand::Rng;

/// Each pause is this many times the one before.
const GROWTH: u32 = 2;
/// A pause is drawn from this share of its length up, so that daemons that lost the store at the
/// same moment don't ask it at the same moment.
const SPREAD_FROM: f64 = 0.6;

/// The pauses after failed calls: they grow up to a most, and begin anew after a success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    /// Makes pauses from `least` to `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        Self { least, most, next: least }
    }

    /// Returns the pause after a call that failed.
    pub fn failed(&mut self, rng: &mut impl Rng) -> Duration {
        let pause = self.next;
        self.next = (pause * GROWTH).min(self.most);
        pause.mul_f64(rng.random_range(SPREAD_FROM..=1.0))
    }

    /// Takes in that a call succeeded.
    pub fn succeeded(&mut self) {
        self.next = self.least;
    }
}
