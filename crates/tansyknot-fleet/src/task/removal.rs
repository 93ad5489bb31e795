//! The delay between a removal and the next order to the same target.

use std::time::Duration;

use super::MIN_CONFLICT_DELAY;

/// The delay before any removal is observed: one that waits for no request takes about 50 ms.
const INITIAL_DELAY: Duration = Duration::from_millis(60);
/// A removal that takes longer waits for running requests, which says nothing about others.
const MAX_DELAY: Duration = Duration::from_millis(200);
/// The weight of a removal that took longer than the delay.
const LONGER_REMOVAL_WEIGHT: f64 = 0.5;
/// How much an order that is accepted at once shortens the delay. A refused one lengthens it by at
/// least half of the time until it is sent again, ten times as much, so that the target refuses
/// about one in ten.
const SHORTENING: Duration = MIN_CONFLICT_DELAY.checked_div(20).unwrap();

/// The delay between a removal and the next order, from the time that earlier removals took.
///
/// An order that is accepted at once shows only that the removal took no longer than the delay. A
/// mean of such bounds would approach the delay itself, so the delay is adjusted instead.
#[derive(Clone, Copy, Debug)]
pub struct RemovalDelay {
    delay: Duration,
}

impl Default for RemovalDelay {
    fn default() -> Self {
        Self { delay: INITIAL_DELAY }
    }
}

impl RemovalDelay {
    /// Returns the delay after a removal.
    pub fn current(&self) -> Duration {
        self.delay
    }

    /// Records that the first order after a removal was accepted `elapsed` after it, at once or
    /// after refusals.
    pub fn observe(&mut self, elapsed: Duration, was_refused: bool) {
        if !was_refused {
            self.delay = self.delay.saturating_sub(SHORTENING).max(MIN_CONFLICT_DELAY);
        } else if elapsed <= MAX_DELAY {
            self.delay += elapsed.saturating_sub(self.delay).mul_f64(LONGER_REMOVAL_WEIGHT);
        }
    }
}
