//! The expected cost of a target for a request, in time, and the choice of the cheapest target.

use std::time::Duration;

use rand::Rng;

use crate::condition::Condition;

/// The loss by a failure, in usual times of a request: the time until the failure, and another run.
const FAILURE_LOSS: f64 = 3.0;
/// The cost of another availability zone, in seconds, as traffic between zones costs money.
const CROSS_ZONE_COST_S: f64 = 0.02;
/// The time that a token of a cached prompt prefix saves, in seconds. Reading a token takes 0.026 ms
/// (38.7 tokens per ms on this platform), during which all other requests at the target wait.
const PREFIX_SAVING_PER_TOKEN_S: f64 = 0.1e-3;
/// The growth of a request's time from an idle target to one with all slots in use, as a factor.
const FULL_TARGET_FACTOR: f64 = 2.0;
/// Targets whose costs differ by at most this share of the usual time are tied; one of them is
/// drawn.
const TIE_MARGIN: f64 = 0.005;

/// What a request would meet at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prospect {
    /// The condition of the target.
    pub condition: Condition,
    /// The requests at the target, relative to its slots.
    pub load: f64,
    /// Whether it is in the availability zone of the daemon.
    pub is_same_zone: bool,
    /// The tokens of the request's prompt that it probably has cached.
    pub cached_tokens: u32,
}

/// Returns the expected cost of a target for a request, in seconds. `usual_time` is the time of a
/// request at a typical target without other requests.
pub fn cost_s(prospect: &Prospect, usual_time: Duration) -> f64 {
    let Prospect { condition, load, is_same_zone, cached_tokens } = *prospect;
    let usual_s = usual_time.as_secs_f64();
    let time_s = condition.slowness * time_factor(load) * usual_s;
    let failure_s = condition.failures * FAILURE_LOSS * usual_s;
    let zone_s = if is_same_zone { 0.0 } else { CROSS_ZONE_COST_S };
    let saving_s = condition.slowness * f64::from(cached_tokens) * PREFIX_SAVING_PER_TOKEN_S;
    time_s + failure_s + zone_s - saving_s
}

/// Returns the time of a request at a target with `load` requests per slot, relative to an idle
/// target. Requests slow each other down; beyond the slots, a request also waits for one.
pub fn time_factor(load: f64) -> f64 {
    let running = 1.0 + (FULL_TARGET_FACTOR - 1.0) * load.min(1.0);
    running + FULL_TARGET_FACTOR * (load - 1.0).max(0.0)
}

/// Returns the index of the target with the lowest cost, drawn from those that are tied; `None` if
/// there are no targets.
pub fn cheapest(costs: &[f64], usual_time: Duration, rng: &mut impl Rng) -> Option<usize> {
    let min = costs.iter().copied().min_by(f64::total_cmp)?;
    let max = min + TIE_MARGIN * usual_time.as_secs_f64();
    let tied: Vec<usize> = (0..costs.len()).filter(|i| costs[*i] <= max).collect();
    Some(tied[rng.random_range(0..tied.len())])
}
