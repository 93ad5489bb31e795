//! The share of a team's quota that a daemon may use while the planner, which maintains the
//! account, does not reply.

use std::time::Duration;

use tansyknot_core::clock::Time;

/// After this long without a reply, a daemon uses its share without waiting for the planner. After
/// this long without a report, the planner begins to charge a daemon for its share.
pub const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);
/// How long a share may be used, counted from when the daemon sent the report that requested it. A
/// lost planner is usually replaced within this time.
pub const SHARE_LIFETIME: Duration = Duration::from_millis(2300);
/// The longest time for which unused units of a share accumulate.
const MAX_SAVED: Duration = Duration::from_millis(150);

/// A share of a quota.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Units a second.
    rate: f64,
    left: f64,
    at: Time,
    /// When the report was sent that the planner replied to with this share.
    requested_at: Time,
    fence: u64,
}

impl Share {
    /// Creates a share of `rate` units a second that the planner with `fence` has lent in reply to
    /// a report sent at `requested_at`.
    pub fn new(rate: f64, fence: u64, requested_at: Time, now: Time) -> Self {
        Self { rate, left: 0.0, at: now, requested_at, fence }
    }

    /// Applies a newer reply.
    pub fn renew(&mut self, rate: f64, fence: u64, requested_at: Time, now: Time) {
        if (fence, requested_at) <= (self.fence, self.requested_at) {
            return;
        }
        self.fill(now);
        (self.rate, self.fence, self.requested_at) = (rate, fence, requested_at);
        self.left = self.left.min(self.capacity());
    }

    /// Takes `units`; returns whether that is allowed. `draw` is a random number, uniform from 0 to
    /// 1.
    ///
    /// A share may be far smaller than one request. A request for more than is left is allowed with
    /// a probability of what is left divided by its units, so that on average no more than what is
    /// left is used. The share is empty afterwards in either case.
    pub fn take(&mut self, units: f64, draw: f64, now: Time) -> bool {
        self.fill(now);
        if now.since(self.requested_at) >= SHARE_LIFETIME || self.left <= 0.0 {
            return false;
        }
        let has_enough = self.left >= units;
        let is_allowed = has_enough || draw * units < self.left;
        self.left = if has_enough { self.left - units } else { 0.0 };
        is_allowed
    }

    /// Deducts `units` that the account has granted: they use up this share too.
    pub fn deduct_granted(&mut self, units: f64, now: Time) {
        self.fill(now);
        self.left = (self.left - units).max(-self.capacity());
    }

    fn capacity(&self) -> f64 {
        self.rate * MAX_SAVED.as_secs_f64()
    }

    fn fill(&mut self, now: Time) {
        let elapsed = now.since(self.at).as_secs_f64();
        self.left = (self.left + self.rate * elapsed).min(self.capacity());
        self.at = self.at.max(now);
    }
}
