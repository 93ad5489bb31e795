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

/// Time in which requests that are aborted are answered.
const ANSWER_DURATION: Duration = Duration::from_millis(300);
/// Maximum share of the time between the abort and the kill in which they are.
const MAX_ANSWER_SHARE: f64 = 0.5;

/// Times of the steps of a graceful shutdown, counted from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    /// Requests that still wait for a target, and new ones, are refused from this time on.
    pub refuse_after: Duration,
    /// Requests in progress at a target are aborted at this time, and answered without their result.
    pub abort_after: Duration,
    /// The process exits at this time, whether all have been answered or not.
    pub exit_after: Duration,
}

impl ShutdownPlan {
    /// Plans the shutdown of a process that is killed after `grace`.
    pub fn for_grace_period(grace: Duration) -> Self {
        let abort_after =
            grace.saturating_sub(SHUTDOWN_RESERVE.min(grace.mul_f64(MAX_SHUTDOWN_RESERVE_SHARE)));
        let rest = grace.saturating_sub(abort_after);
        Self {
            refuse_after: ACCEPT_DURATION.min(grace.mul_f64(MAX_ACCEPT_SHARE)),
            abort_after,
            exit_after: abort_after + ANSWER_DURATION.min(rest.mul_f64(MAX_ANSWER_SHARE)),
        }
    }
}
