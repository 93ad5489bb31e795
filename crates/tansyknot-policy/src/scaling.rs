//! The number of replicas of a service, from its queue and the operators' bounds.

use std::time::Duration;

/// Input of the scaling decision for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Requests waiting at all daemons.
    pub waiting: u32,
    /// Requests in flight at all daemons.
    pub in_flight: u32,
    /// Requests that one replica serves concurrently.
    pub per_replica: u32,
    /// Mean duration of one request.
    pub service_time: Duration,
    /// Expected duration of a load.
    pub load_time: Duration,
}

/// The operators' bounds on the number of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaBounds {
    /// The minimum, also without demand.
    pub min: u32,
    /// The maximum.
    pub max: u32,
    /// Another replica is added if the queue would take longer than this to drain.
    pub extra_after: Duration,
}

/// Drain time of a queue that justifies another replica where cold starts weigh more: waiting
/// this long costs callers more than a second load.
const COLD_EXTRA_AFTER: Duration = Duration::from_secs(1);

/// Returns the drain time of the queue above which another replica is added.
///
/// A load that starts together with the first one also ends with it and halves the queue of a
/// burst. Where idle hours weigh more, draining the queue has to take longer than the load.
pub fn extra_after(cold_weight: ColdWeight, load_time: Duration) -> Duration {
    match cold_weight {
        ColdWeight::More => COLD_EXTRA_AFTER.min(load_time),
        ColdWeight::Less => load_time,
    }
}

/// Whether cold starts weigh more than idle accelerator hours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdWeight {
    /// Cold starts weigh more.
    More,
    /// Idle accelerator hours weigh more.
    Less,
}

/// Returns how many replicas the service should have when `present` are ready or loading.
///
/// The first request adds one replica. Another one is added only if the present replicas would
/// take longer than [`ReplicaBounds::extra_after`] to drain the queue.
pub fn wanted(demand: &Demand, present: u32, bounds: ReplicaBounds) -> u32 {
    let floor = bounds.min.min(bounds.max);
    if demand.waiting == 0 && demand.in_flight == 0 {
        return present.max(floor).min(bounds.max);
    }
    if present == 0 {
        return 1.max(floor).min(bounds.max);
    }
    let queue_time = drain_time(demand, present);
    let adds_replica = queue_time > bounds.extra_after && demand.waiting > 0;
    let wanted = if adds_replica { present + 1 } else { present };
    wanted.max(floor).min(bounds.max)
}

/// Returns how long the present replicas take to drain the queue.
fn drain_time(demand: &Demand, present: u32) -> Duration {
    let capacity = present.saturating_mul(demand.per_replica).max(1);
    demand.service_time.mul_f64(f64::from(demand.waiting) / f64::from(capacity))
}
