//! When a daemon speaks: on a beat, and between two beats when something has changed.

use std::time::Duration;

use tansyknot_core::clock::Time;

/// How often demand and news are sent when nothing has changed.
pub const BEAT: Duration = Duration::from_millis(300);
/// The least pause after a step, so that changes which come together are told together.
const PAUSE_LEAST: Duration = Duration::from_millis(15);
/// The pause after a step against the time that it took: a planner of hundreds of daemons and
/// targets leaves most of its processor to orders and to what it receives.
const PAUSE_SHARE: u32 = 3;
/// The share of a link that news take at most; orders, and what callers get, have the rest.
const LINK_SHARE: f64 = 0.2;

/// Returns how long to pause after a step that took `span`.
pub fn pause_after(span: Duration) -> Duration {
    span.saturating_mul(PAUSE_SHARE).clamp(PAUSE_LEAST, BEAT / 2)
}

/// Returns the time for which `bytes` take their share of a link, whose rate may be unknown.
pub fn span_on_link(bytes: usize, link_mbps: Option<u32>) -> Duration {
    let Some(mbps) = link_mbps.filter(|mbps| *mbps > 0) else { return Duration::ZERO };
    Duration::from_secs_f64(bytes as f64 * 8.0 / (f64::from(mbps) * 1e6 * LINK_SHARE))
}

/// Why a daemon speaks now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occasion {
    /// The beat: what may have been lost is told again.
    Beat,
    /// Something has changed since: only that is told.
    Change,
}

/// The beat of one daemon. Changes between two beats don't put the next one off: what was lost is
/// repeated by beats alone, and a planner without beats is taken for silent.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    beat: Time,
}

impl Pace {
    /// Begins with a beat at `now`.
    pub fn new(now: Time) -> Self {
        Self { beat: now }
    }

    /// Returns how long a change may be waited for.
    pub fn left(&self, now: Time) -> Duration {
        BEAT.saturating_sub(now.since(self.beat)).max(PAUSE_LEAST)
    }

    /// Returns how long ago the next beat should have begun.
    pub fn late(&self, now: Time) -> Duration {
        now.since(self.beat).saturating_sub(BEAT)
    }

    /// Returns why to speak now, if there is a reason.
    pub fn occasion(&mut self, has_changed: bool, now: Time) -> Option<Occasion> {
        if now.since(self.beat) >= BEAT {
            self.beat = now;
            return Some(Occasion::Beat);
        }
        has_changed.then_some(Occasion::Change)
    }
}
