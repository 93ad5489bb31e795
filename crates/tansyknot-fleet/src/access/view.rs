//! The age of a daemon's view of the keys.
//!
//! The age counts from the latest time, by this daemon's own clock, at which the configuration in
//! force is known to have been the newest. It never counts from when data arrived: a datagram, or a
//! reply of the store, may have been delayed anywhere, including in this process.

use std::time::Duration;

use tansyknot_core::clock::Time;

/// A call that waits for changes may receive nothing for this long although there are changes,
/// before it is closed.
const MAX_WATCH_LAG: Duration = Duration::from_millis(1000);
/// Subtracted from bounds, because clocks run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// The fraction of a view's lifetime after which a daemon queries the store itself.
const REFRESH_FRACTION: f64 = 0.5;

/// The ages up to which a view of the keys may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewOptions {
    /// The age of the view up to which a known key is accepted.
    pub accept_known_for: Duration,
    /// The age of the view up to which an unknown key is rejected. In an older view, the key may be
    /// new.
    pub reject_unknown_for: Duration,
}

impl ViewOptions {
    /// Computes the limits: revoked keys must not be accepted after `revoke_within`, if that is
    /// set, and new keys must be accepted after `config_within`.
    pub fn from_bounds(revoke_within: Option<Duration>, config_within: Duration) -> Self {
        let good_for = |within: Duration| within.saturating_sub(MAX_WATCH_LAG + CLOCK_MARGIN);
        Self {
            accept_known_for: revoke_within.map_or(Duration::MAX, good_for),
            reject_unknown_for: config_within.saturating_sub(CLOCK_MARGIN),
        }
    }

    /// Returns the age at which a daemon queries the store itself.
    pub fn refresh_after(&self) -> Duration {
        self.accept_known_for.min(self.reject_unknown_for).mul_f64(REFRESH_FRACTION)
    }
}

impl Default for ViewOptions {
    fn default() -> Self {
        Self::from_bounds(None, Duration::from_secs(2))
    }
}

/// The view of the keys.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyView {
    version: u64,
    as_of: Option<Time>,
}

impl KeyView {
    /// Records that `version` of the configuration is in force, and was the newest at `as_of`.
    pub fn record_in_force(&mut self, version: u64, as_of: Time) {
        if version > self.version {
            *self = Self { version, as_of: Some(as_of) };
        }
        self.record_newest(version, as_of);
    }

    /// Records that `version` of the configuration was the newest at `as_of`. A version that is not
    /// in force here is ignored: the one in force may have been the newest until then.
    pub fn record_newest(&mut self, version: u64, as_of: Time) {
        if version == self.version {
            self.as_of = self.as_of.max(Some(as_of));
        }
    }

    /// Returns the latest time at which `version` is known to have been the newest.
    pub fn as_of(&self, version: u64) -> Option<Time> {
        self.as_of.filter(|_| version == self.version)
    }

    /// Returns the age of the view of `version`; `Duration::MAX` if that was never known to be the
    /// newest.
    pub fn age(&self, version: u64, now: Time) -> Duration {
        self.as_of(version).map_or(Duration::MAX, |at| now.since(at))
    }
}

/// Returns the time as of which a reply of the store shows the configuration. The reply came at
/// `now` to a call that began at `began`, and that was to wait up to `wait` for a change, if set.
///
/// A reply is made after its call began. A reply without a change after the full wait was made at
/// the end of the wait, or later.
pub fn proven_at(began: Time, wait: Option<Duration>, has_changed: bool, now: Time) -> Time {
    match wait {
        Some(wait) if !has_changed && now.since(began) >= wait => began + wait,
        _ => began,
    }
}
