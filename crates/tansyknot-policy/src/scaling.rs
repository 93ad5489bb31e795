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
}

/// Returns how many replicas the service should have when it has `present` (ready or coming).
///
/// The first request wants one. Another one is wanted only if the present replicas would need
/// longer for the queue than a load takes.
pub fn wanted(demand: &Demand, present: u32, bounds: ReplicaBounds) -> u32 {
    let floor = bounds.min.min(bounds.max);
    if demand.waiting == 0 && demand.in_flight == 0 {
        return present.max(floor).min(bounds.max);
    }
    if present == 0 {
        return 1.max(floor).min(bounds.max);
    }
    let queue_time = drain_time(demand, present);
    let pays = queue_time > demand.load_time && demand.waiting > 0;
    let wanted = if pays { present + 1 } else { present };
    wanted.max(floor).min(bounds.max)
}

/// Returns how long the present replicas need for the queue.
fn drain_time(demand: &Demand, present: u32) -> Duration {
    let at_once = present.saturating_mul(demand.per_replica).max(1);
    demand.service_time.mul_f64(f64::from(demand.waiting) / f64::from(at_once))
}
