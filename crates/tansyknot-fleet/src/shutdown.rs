//! How a graceful shutdown uses the time between the stop signal and the kill.

use std::time::Duration;

/// New connections arrive for this long after the stop signal: two failed health checks, at one per
/// second, and a margin.
const ACCEPT_DURATION: Duration = Duration::from_millis(2800);
/// Maximum share of the grace period during which new connections are accepted.
const MAX_ACCEPT_SHARE: f64 = 0.6;
/// Time reserved for the shutdown itself.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(700);
/// Maximum share of the grace period reserved for the shutdown itself. The platform allows requests
/// at their targets to be cut off only in the last sixth of the grace period, and half of that
/// sixth is for the response's transit.
const MAX_SHUTDOWN_RESERVE_SHARE: f64 = 1.0 / 12.0;

/// Times of the steps of a graceful shutdown, counted from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Requests that still wait for a target, and new ones, are refused from this time on.
    pub refuse_after: Duration,
    /// Requests in progress at a target are cut off at this time.
    pub abort_after: Duration,
}

impl ShutdownPlan {
    /// Plans the shutdown of a process that is killed after `grace`.
    pub fn for_grace_period(grace: Duration) -> Self {
        Self {
            refuse_after: ACCEPT_DURATION.min(grace.mul_f64(MAX_ACCEPT_SHARE)),
            abort_after: grace
                .saturating_sub(SHUTDOWN_RESERVE.min(grace.mul_f64(MAX_SHUTDOWN_RESERVE_SHARE))),
        }
    }
}
