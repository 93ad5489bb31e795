//! Rate limits of callers: a token bucket that is charged by count or by cost.

use std::time::Duration;

use tansyknot_core::clock::Time;

/// How fast a meter refills and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeterOptions {
    /// Units that flow in each second.
    pub rate_per_s: f64,
    /// Units that it holds at most.
    pub burst: f64,
}

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Meter {
    options: MeterOptions,
    level: f64,
    at: Time,
}

impl Meter {
    /// Makes a full bucket.
    pub fn new(options: MeterOptions, now: Time) -> Self {
        Self { options, level: options.burst, at: now }
    }

    /// Changes the options; what is in the bucket stays, up to the new burst.
    pub fn set_options(&mut self, options: MeterOptions) {
        self.options = options;
        self.level = self.level.min(options.burst);
    }

    /// Takes `units`.
    ///
    /// # Errors
    ///
    /// Fails with the time after which as much will have flowed in; nothing is taken.
    pub fn take(&mut self, units: f64, now: Time) -> Result<(), Duration> {
        let flowed = now.since(self.at).as_secs_f64() * self.options.rate_per_s;
        self.level = (self.level + flowed).min(self.options.burst);
        self.at = self.at.max(now);
        if self.level >= units {
            self.level -= units;
            return Ok(());
        }
        let missing = units.min(self.options.burst) - self.level;
        Err(Duration::from_secs_f64((missing / self.options.rate_per_s).clamp(0.001, 3600.0)))
    }
}
