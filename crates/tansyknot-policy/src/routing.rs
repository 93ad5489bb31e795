//! Which replica serves a request: zone first, two random choices, a bounded prefix hint.

use rand::{Rng, RngCore};
use tansyknot_core::name::TargetName;

/// A replica that could serve the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target of the replica.
    pub target: TargetName,
    /// Whether it stands in the availability zone of this daemon.
    pub same_zone: bool,
    /// Requests that this daemon has in flight there now.
    pub own_in_flight: u32,
    /// Requests of everyone in the target's last report, which lags.
    pub reported_in_flight: u32,
    /// Requests that this daemon may have in flight there.
    pub limit: u32,
    /// Whether the prompt's prefix is thought to be cached there.
    pub prefix_cached: bool,
}

impl Candidate {
    /// Returns the load to compare: the report lags, so the own share counts on top of it.
    fn load(&self) -> u32 {
        self.reported_in_flight.saturating_add(self.own_in_flight)
    }

    fn has_room(&self) -> bool {
        self.own_in_flight < self.limit
    }
}

/// Chooses the replica for a request.
pub trait Routing: Send + Sync {
    /// Returns the index of the chosen candidate, `None` if none has room.
    fn choose(&self, candidates: &[Candidate], rng: &mut dyn RngCore) -> Option<usize>;
}

/// Options of [`ZoneTwoChoices`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneTwoChoicesOptions {
    /// How much more load a replica may have for its cached prefix to win.
    pub prefix_extra_load: u32,
    /// How much more load the own zone may have before another zone is taken.
    pub zone_extra_load: u32,
}

impl Default for ZoneTwoChoicesOptions {
    fn default() -> Self {
        Self { prefix_extra_load: 2, zone_extra_load: 8 }
    }
}

/// Two random choices among the replicas of the own zone, unless another zone is far idler.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneTwoChoices {
    options: ZoneTwoChoicesOptions,
}

impl ZoneTwoChoices {
    /// Makes a routing with these options.
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
    /// Moves to the idlest replica with the prefix if it is at most the bound busier.
    fn prefer_prefix(&self, candidates: &[Candidate], chosen: usize) -> usize {
        let bound = candidates[chosen].load() + self.options.prefix_extra_load;
        let cached = candidates.iter().enumerate().filter(|(_, c)| c.prefix_cached && c.has_room());
        match cached.min_by_key(|(_, c)| c.load()) {
            Some((at, c)) if c.load() <= bound => at,
            _ => chosen,
        }
    }
}

/// Picks two at random among those with room and returns the one with less load.
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
