//! Running means of how often something happens.

use tansyknot_core::clock::Time;

/// A running mean of occurrences a second.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mean {
    span_s: f64,
    rate: f64,
    /// When the mean was worked out.
    as_of: Time,
}

impl Mean {
    /// Makes a mean with a time constant in seconds.
    pub(super) fn over(span_s: f64) -> Self {
        Self { span_s, rate: 0.0, as_of: Time::default() }
    }

    /// Takes in `count` occurrences.
    pub(super) fn add(&mut self, count: u32, now: Time) {
        self.rate = self.at(now) + f64::from(count) / self.span_s;
        self.as_of = now;
    }

    /// Returns occurrences a second.
    pub(super) fn at(&self, now: Time) -> f64 {
        self.rate * (-now.since(self.as_of).as_secs_f64() / self.span_s).exp()
    }
}
