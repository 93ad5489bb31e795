//! How a planned stop uses the time between its signal and the kill.

use std::time::Duration;

/// After the signal to stop, new connections come for this long: two missed checks at one a
/// second, and the margin.
const LINGER: Duration = Duration::from_millis(2800);
/// New connections are taken for at most this share of the time there is.
const LINGER_SHARE: f64 = 0.6;
/// Time kept back for the end itself.
const END: Duration = Duration::from_millis(700);
/// It is at most this share of the time there is: a request that is still with its target is cut
/// only in the last sixth, which the platform allows, and half of that is for the answer's way.
const END_SHARE: f64 = 1.0 / 12.0;

/// What a planned stop does when, counted from its signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// Requests that still wait for a target, and new ones, are refused from here on.
    pub refuse_after: Duration,
    /// Requests that are with a target are cut here.
    pub cut_after: Duration,
}

impl StopPlan {
    /// Plans a stop that is killed after `grace`.
    pub fn of(grace: Duration) -> Self {
        Self {
            refuse_after: LINGER.min(grace.mul_f64(LINGER_SHARE)),
            cut_after: grace.saturating_sub(END.min(grace.mul_f64(END_SHARE))),
        }
    }
}
