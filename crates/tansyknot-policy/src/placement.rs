//! Where a replica is loaded: fit in memory, zone spread, checkpoint tier, running loads.

use tansyknot_core::{
    engine::Tier,
    name::{TargetName, ZoneName},
};

/// A target that the operators' selector allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The target.
    pub target: TargetName,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Memory not reserved, in bytes, as last read; the commit checks it again.
    pub free_bytes: u64,
    /// Where the checkpoint lies for it.
    pub tier: Tier,
    /// Loads that run there now.
    pub loading: u32,
    /// Requests in flight there.
    pub in_flight: u32,
}

/// What is to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// Memory that one replica reserves, in bytes.
    pub memory_bytes: u64,
    /// Zones that already hold a replica of the service.
    pub zones_taken: Vec<ZoneName>,
    /// Targets that already hold a replica of the service.
    pub targets_taken: Vec<TargetName>,
}

/// Orders the places for a replica.
pub trait Placement: Send + Sync {
    /// Returns the indices of the places that fit, best first.
    fn order(&self, need: &Need, places: &[Place]) -> Vec<usize>;
}

/// Fits first, then nearer checkpoints, zones without a replica, idle loaders, tight fit.
#[derive(Clone, Copy, Debug, Default)]
pub struct NearestCheckpoint;

impl Placement for NearestCheckpoint {
    fn order(&self, need: &Need, places: &[Place]) -> Vec<usize> {
        let fits = |p: &Place| {
            p.free_bytes >= need.memory_bytes && !need.targets_taken.contains(&p.target)
        };
        let mut order: Vec<usize> = (0..places.len()).filter(|&i| fits(&places[i])).collect();
        order.sort_by_key(|&i| {
            let p = &places[i];
            let zone_taken = need.zones_taken.contains(&p.availability_zone);
            // The tightest fit comes last among equals so that large gaps stay for large models.
            (p.loading.min(1), p.tier, zone_taken, p.loading, p.free_bytes, p.in_flight)
        });
        order
    }
}
