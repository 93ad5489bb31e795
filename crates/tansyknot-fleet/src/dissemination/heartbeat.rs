//! When a daemon sends messages: at each heartbeat, and between heartbeats after changes.

use std::time::Duration;

use tansyknot_core::clock::Time;

/// How often demand and updates are sent when nothing has changed.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum pause after a step, so that changes which occur together are sent together.
const MIN_STEP_PAUSE: Duration = Duration::from_millis(15);
/// Ratio of the pause after a step to the step's duration: a planner of hundreds of daemons and
/// targets thus leaves most of its processor time to orders and received messages.
const STEP_PAUSE_FACTOR: u32 = 3;
/// Maximum share of a link's rate for updates; the rest is for orders and responses to callers.
const MAX_LINK_SHARE: f64 = 0.2;

/// Returns how long to pause after a step that took `duration`.
pub fn pause_after(duration: Duration) -> Duration {
    duration.saturating_mul(STEP_PAUSE_FACTOR).clamp(MIN_STEP_PAUSE, HEARTBEAT_INTERVAL / 2)
}

/// Returns how long `bytes` use up the updates' share of a link; zero if its rate is unknown.
pub fn link_time(bytes: usize, link_mbps: Option<u32>) -> Duration {
    let Some(mbps) = link_mbps.filter(|mbps| *mbps > 0) else { return Duration::ZERO };
    Duration::from_secs_f64(bytes as f64 * 8.0 / (f64::from(mbps) * 1e6 * MAX_LINK_SHARE))
}

/// Why a daemon runs a step and sends messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepReason {
    /// A heartbeat: state that may have been lost is sent again.
    Heartbeat,
    /// Something has changed: only changes are sent.
    Change,
}

/// The heartbeat schedule of one daemon. Changes between two heartbeats do not delay the next one:
/// only heartbeats repeat lost state, and a planner without heartbeats is considered unresponsive.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatSchedule {
    last_heartbeat: Time,
}

impl HeartbeatSchedule {
    /// Starts a schedule as if a heartbeat had been sent at `now`.
    pub fn new(now: Time) -> Self {
        Self { last_heartbeat: now }
    }

    /// Returns how long to wait for a change before the next heartbeat.
    pub fn time_left(&self, now: Time) -> Duration {
        HEARTBEAT_INTERVAL.saturating_sub(now.since(self.last_heartbeat)).max(MIN_STEP_PAUSE)
    }

    /// Returns how long the next heartbeat is overdue.
    pub fn overdue_by(&self, now: Time) -> Duration {
        now.since(self.last_heartbeat).saturating_sub(HEARTBEAT_INTERVAL)
    }

    /// Returns the reason to run a step now, if there is one.
    pub fn step_reason(&mut self, has_changed: bool, now: Time) -> Option<StepReason> {
        if now.since(self.last_heartbeat) >= HEARTBEAT_INTERVAL {
            self.last_heartbeat = now;
            return Some(StepReason::Heartbeat);
        }
        has_changed.then_some(StepReason::Change)
    }
}
