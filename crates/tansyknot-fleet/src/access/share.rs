//! What a daemon may use of a team's quota while nobody answers who keeps the account.

use std::time::Duration;

use tansyknot_core::clock::Time;

/// A planner that has been silent for so long is not waited for before a share is used, and puts what a
/// daemon may use down from then on.
pub const SILENT_AFTER: Duration = Duration::from_millis(700);
/// How long a share may be used, from when the daemon asked for it: a planner that is lost is replaced
/// within this span.
pub const LIFE: Duration = Duration::from_millis(2300);
/// A share saves up what it has for this long.
const SAVED: Duration = Duration::from_millis(150);

/// A share of a quota.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Units a second.
    rate: f64,
    left: f64,
    at: Time,
    /// When the question was asked that it answers.
    asked: Time,
    fence: u64,
}

impl Share {
    /// Makes a share of `rate` units a second that the planner with `fence` has lent for a question of
    /// `asked`.
    pub fn new(rate: f64, fence: u64, asked: Time, now: Time) -> Self {
        Self { rate, left: 0.0, at: now, asked, fence }
    }

    /// Takes in a newer answer.
    pub fn renew(&mut self, rate: f64, fence: u64, asked: Time, now: Time) {
        if (fence, asked) <= (self.fence, self.asked) {
            return;
        }
        self.fill(now);
        (self.rate, self.fence, self.asked) = (rate, fence, asked);
        self.left = self.left.min(self.most());
    }

    /// Takes `units`; tells whether that may be. `draw` is drawn evenly from 0 to 1.
    ///
    /// A share may be far less than a request. Who asks for more than is left gets all as often as not
    /// to exceed what is left on average, and what was left is gone either way.
    pub fn take(&mut self, units: f64, draw: f64, now: Time) -> bool {
        self.fill(now);
        if now.since(self.asked) >= LIFE || self.left <= 0.0 {
            return false;
        }
        let has_enough = self.left >= units;
        let may = has_enough || draw * units < self.left;
        self.left = if has_enough { self.left - units } else { 0.0 };
        may
    }

    /// Takes in that the account has given `units`: they are a part of this share's too.
    pub fn granted(&mut self, units: f64, now: Time) {
        self.fill(now);
        self.left = (self.left - units).max(-self.most());
    }

    fn most(&self) -> f64 {
        self.rate * SAVED.as_secs_f64()
    }

    fn fill(&mut self, now: Time) {
        let span = now.since(self.at).as_secs_f64();
        self.left = (self.left + self.rate * span).min(self.most());
        self.at = self.at.max(now);
    }
}
