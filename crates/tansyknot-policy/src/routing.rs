//! Selection of the replica for a request: own zone first, the less loaded of two random choices,
//! and a preference for cached prompt prefixes within a load bound.

use rand::{Rng, RngCore};
use tansyknot_core::name::TargetName;

/// A replica that could serve the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target of the replica.
    pub target: TargetName,
    /// Whether it is in the availability zone of this daemon.
    pub same_zone: bool,
    /// This daemon's requests in flight at the replica.
    pub own_in_flight: u32,
    /// Requests of all daemons in flight according to the target's last report, which lags.
    pub reported_in_flight: u32,
    /// Maximum number of this daemon's requests in flight at the replica.
    pub limit: u32,
    /// Whether the replica probably has the prompt's prefix cached.
    pub prefix_cached: bool,
}

impl Candidate {
    /// Returns the load for comparisons. The report lags, so this daemon's requests in flight are
    /// added to it.
    fn load(&self) -> u32 {
        self.reported_in_flight.saturating_add(self.own_in_flight)
    }

    fn has_room(&self) -> bool {
        self.own_in_flight < self.limit
    }
}

/// Chooses the replica for a request.
pub trait Routing: Send + Sync {
    /// Returns the index of the chosen candidate, `None` if all are at their limit.
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize>;
}

/// Options of [`ZoneTwoChoices`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneTwoChoicesOptions {
    /// Maximum extra load of a replica that is preferred for its cached prefix.
    pub prefix_extra_load: u32,
    /// Maximum extra load of the replica in the own zone before another zone is chosen.
    pub zone_extra_load: u32,
}

impl Default for ZoneTwoChoicesOptions {
    fn default() -> Self {
        Self { prefix_extra_load: 2, zone_extra_load: 8 }
    }
}

/// Chooses the less loaded of two random replicas in the own zone, unless another zone's choice
/// has much less load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneTwoChoices {
    options: ZoneTwoChoicesOptions,
}

impl ZoneTwoChoices {
    /// Creates a routing with these options.
    pub fn new(options: ZoneTwoChoicesOptions) -> Self {
        Self { options }
    }
}

impl Routing for ZoneTwoChoices {
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize> {
        let near = two_choices(candidates, |c| c.same_zone, rng);
        let far = two_choices(candidates, |c| !c.same_zone, rng);
        let chosen = match (near, far) {
            (Some(near), Some(far)) => {
                let slack = self.options.zone_extra_load;
                let far_wins = candidates[near].load() > candidates[far].load() + slack;
                if far_wins { far } else { near }
            }
            (near, far) => near.or(far)?,
        };
        Some(self.prefer_prefix(candidates, chosen))
    }
}

impl ZoneTwoChoices {
    /// Returns the least loaded replica with the prefix cached if its load is within
    /// `prefix_extra_load` of the chosen one, else the chosen one.
    fn prefer_prefix(&self, candidates: &[Candidate], chosen: usize) -> usize {
        let bound = candidates[chosen].load() + self.options.prefix_extra_load;
        let cached = candidates.iter().enumerate().filter(|(_, c)| c.prefix_cached && c.has_room());
        match cached.min_by_key(|(_, c)| c.load()) {
            Some((at, c)) if c.load() <= bound => at,
            _ => chosen,
        }
    }
}

/// Picks two random eligible candidates below their limit and returns the less loaded one.
fn two_choices(
    candidates: &[Candidate],
    eligible: impl Fn(&Candidate) -> bool,
    rng: &mut dyn RngCore,
) -> Option<usize> {
    let open: Vec<usize> = (0..candidates.len())
        .filter(|&i| eligible(&candidates[i]) && candidates[i].has_room())
        .collect();
    let first = *open.get(rng.random_range(0..open.len().max(1)))?;
    let second = open[rng.random_range(0..open.len())];
    if candidates[second].load() < candidates[first].load() { Some(second) } else { Some(first) }
}
