//! How many replicas a service should have: bounded by the operators, paid for by the queue.

use std::time::Duration;

/// What the decision looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Requests waiting at all daemons.
    pub waiting: u32,
    /// Requests in flight at all daemons.
    pub in_flight: u32,
    /// Requests that one replica serves at once.
    pub per_replica: u32,
    /// How long one request takes.
    pub service_time: Duration,
    /// How long a load takes.
    pub load_time: Duration,
}

/// The operators' bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaBounds {
    /// Kept also without demand.
    pub min: u32,
    /// Never more than this.
    pub max: u32,
    /// Another replica pays if the queue would need longer than this.
    pub extra_after: Duration,
}

/// A queue this long costs callers more than a second load, where cold starts weigh more.
const SHORT_QUEUE: Duration = Duration::from_secs(1);

/// Returns the queue that pays for another replica, in the time that it would need.
///
/// A load that begins with the first one ends with it, so that it halves the queue of a burst;
/// where idle hours weigh more, the queue has to be longer than the load.
pub fn extra_after(cold_weighs_more: ColdWeight, load_time: Duration) -> Duration {
    match cold_weighs_more {
        ColdWeight::More => SHORT_QUEUE.min(load_time),
        ColdWeight::Less => load_time,
    }
}

/// Whether cold starts weigh more than idle hours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdWeight {
    /// They do.
    More,
    /// They do not.
    Less,
}

/// Returns how many replicas the service should have when it has `present` (ready or coming).
///
/// The first request wants one. Another one is wanted only if the present replicas would need
/// longer for the queue than the bounds say.
pub fn wanted(demand: &Demand, present: u32, bounds: ReplicaBounds) -> u32 {
    let floor = bounds.min.min(bounds.max);
    if demand.waiting == 0 && demand.in_flight == 0 {
        return present.max(floor).min(bounds.max);
    }
    if present == 0 {
        return 1.max(floor).min(bounds.max);
    }
    let queue_time = drain_time(demand, present);
    let pays = queue_time > bounds.extra_after && demand.waiting > 0;
    let wanted = if pays { present + 1 } else { present };
    wanted.max(floor).min(bounds.max)
}

/// Returns how long the present replicas need for the queue.
fn drain_time(demand: &Demand, present: u32) -> Duration {
    let at_once = present.saturating_mul(demand.per_replica).max(1);
    demand.service_time.mul_f64(f64::from(demand.waiting) / f64::from(at_once))
}
