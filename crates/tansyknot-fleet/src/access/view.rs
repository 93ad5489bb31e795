//! How old a daemon's view of the keys is.
//!
//! It is the last moment, by this daemon's own clock, as of which the configuration in force is known
//! to have been the newest. Nothing counts from when it arrived: a datagram, or an answer of the
//! store, may have waited anywhere, in this process among others.

use std::time::Duration;

use tansyknot_core::clock::Time;

/// A call that waits for changes may hear nothing for so long while there are some, before it is cut.
const WATCH_LAG: Duration = Duration::from_millis(1000);
/// Kept back from bounds, for the clocks' rates.
const MARGIN: Duration = Duration::from_millis(100);
/// The share of the life of a view after which a daemon asks the store itself.
const ASK_SHARE: f64 = 0.5;

/// How old a view of the keys may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewOptions {
    /// Keys that are known are good for this long.
    pub good_for: Duration,
    /// Keys that are not known are wrong for this long, and may be new after that.
    pub settled_for: Duration,
}

impl ViewOptions {
    /// Works the spans out: keys that were taken away must not be good after `revoke_within`, where
    /// that is promised at all, and new ones must be good after `config_within`.
    pub fn of(revoke_within: Option<Duration>, config_within: Duration) -> Self {
        let good_for = |within: Duration| within.saturating_sub(WATCH_LAG + MARGIN);
        Self {
            good_for: revoke_within.map_or(Duration::MAX, good_for),
            settled_for: config_within.saturating_sub(MARGIN),
        }
    }

    /// Returns the age at which a daemon asks the store itself.
    pub fn ask_after(&self) -> Duration {
        self.good_for.min(self.settled_for).mul_f64(ASK_SHARE)
    }
}

impl Default for ViewOptions {
    fn default() -> Self {
        Self::of(None, Duration::from_secs(2))
    }
}

/// The view of the keys.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyView {
    version: u64,
    as_of: Option<Time>,
}

impl KeyView {
    /// Takes in that `version` of the configuration is in force, and was the newest as of a moment.
    pub fn in_force(&mut self, version: u64, as_of: Time) {
        if version > self.version {
            *self = Self { version, as_of: Some(as_of) };
        }
        self.known(version, as_of);
    }

    /// Takes in that `version` of the configuration was the newest as of a moment. Of one that is not
    /// in force here nothing follows: the one that is may have been the newest until then.
    pub fn known(&mut self, version: u64, as_of: Time) {
        if version == self.version {
            self.as_of = self.as_of.max(Some(as_of));
        }
    }

    /// Returns the last moment as of which `version` was known to be the newest.
    pub fn as_of(&self, version: u64) -> Option<Time> {
        self.as_of.filter(|_| version == self.version)
    }

    /// Returns how old the view of `version` is; for ever if it was never known to be the newest.
    pub fn age(&self, version: u64, now: Time) -> Duration {
        self.as_of(version).map_or(Duration::MAX, |at| now.since(at))
    }
}

/// Returns the moment as of which the store's answer shows the configuration that came `now` to a call
/// that began at `began`, and was to wait for `wait` if it did.
///
/// An answer was made after its question. One that brings nothing after its whole wait was made when
/// that was over, or later.
pub fn proven_at(began: Time, wait: Option<Duration>, has_changed: bool, now: Time) -> Time {
    match wait {
        Some(wait) if !has_changed && now.since(began) >= wait => began + wait,
        _ => began,
    }
}
