//! When a daemon speaks: on a beat, and between two beats when something has changed.

use std::time::Duration;

use tansyknot_core::clock::Time;

/// How often demand and news are sent when nothing has changed.
pub const BEAT: Duration = Duration::from_millis(300);
/// The least pause between two messages that tell of a change.
pub const PAUSE_LEAST: Duration = Duration::from_millis(15);

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

    /// Returns why to speak now, if there is a reason.
    pub fn occasion(&mut self, has_changed: bool, now: Time) -> Option<Occasion> {
        if now.since(self.beat) >= BEAT {
            self.beat = now;
            return Some(Occasion::Beat);
        }
        has_changed.then_some(Occasion::Change)
    }
}
