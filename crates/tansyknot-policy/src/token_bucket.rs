//! Rate limits of callers: a token bucket that is charged by count or by cost.

use std::time::Duration;

use tansyknot_core::clock::Time;

/// The refill rate and the capacity of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucketOptions {
    /// Units added in each second.
    pub rate_per_s: f64,
    /// Maximum number of units in the bucket.
    pub burst: f64,
}

/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    options: TokenBucketOptions,
    level: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(options: TokenBucketOptions, now: Time) -> Self {
        Self { options, level: options.burst, updated_at: now }
    }

    /// Replaces the options; the present units stay, up to the new burst.
    pub fn set_options(&mut self, options: TokenBucketOptions) {
        self.options = options;
        self.level = self.level.min(options.burst);
    }

    /// Takes `units` from the bucket.
    ///
    /// # Errors
    ///
    /// Fails with the delay after which the bucket will hold enough units; nothing is taken then.
    pub fn take(&mut self, units: f64, now: Time) -> Result<(), Duration> {
        let refilled = now.since(self.updated_at).as_secs_f64() * self.options.rate_per_s;
        self.level = (self.level + refilled).min(self.options.burst);
        self.updated_at = self.updated_at.max(now);
        if self.level >= units {
            self.level -= units;
            return Ok(());
        }
        let missing = units.min(self.options.burst) - self.level;
        Err(Duration::from_secs_f64((missing / self.options.rate_per_s).clamp(0.001, 3600.0)))
    }
}
