//! Running means of event rates.

use tansyknot_core::clock::Time;

/// An exponentially decaying mean of events per second.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateMean {
    time_constant_s: f64,
    rate: f64,
    /// When `rate` was last updated.
    as_of: Time,
}

impl RateMean {
    /// Creates a mean with a time constant in seconds.
    pub(super) fn with_time_constant(time_constant_s: f64) -> Self {
        Self { time_constant_s, rate: 0.0, as_of: Time::default() }
    }

    /// Records `count` events.
    pub(super) fn add(&mut self, count: u32, now: Time) {
        self.rate = self.rate_at(now) + f64::from(count) / self.time_constant_s;
        self.as_of = now;
    }

    /// Returns the events per second.
    pub(super) fn rate_at(&self, now: Time) -> f64 {
        self.rate * (-now.since(self.as_of).as_secs_f64() / self.time_constant_s).exp()
    }
}
