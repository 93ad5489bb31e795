//! Where a replica is loaded: free memory, zone spread, checkpoint tier, running loads.

use tansyknot_core::{
    engine::Tier,
    name::{TargetName, ZoneName},
};

/// A target that the operators' selector allows for a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementCandidate {
    /// The target.
    pub target: TargetName,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// Unreserved memory in bytes as last read; it is checked again when the reservation is
    /// committed.
    pub free_bytes: u64,
    /// The tier from which this target would load the checkpoint.
    pub tier: Tier,
    /// Loads that run at the target.
    pub loading: u32,
    /// Requests in flight at the target.
    pub in_flight: u32,
}

/// The requirements of the replica to place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRequirements {
    /// Memory that one replica reserves, in bytes.
    pub memory_bytes: u64,
    /// Zones that already hold a replica of the service.
    pub occupied_zones: Vec<ZoneName>,
    /// Targets that already hold a replica of the service.
    pub occupied_targets: Vec<TargetName>,
}

/// Ranks the allowed targets for a replica.
pub trait Placement: Send + Sync {
    /// Returns the indices of the `places` that fit, best first.
    fn rank(&self, need: &PlacementRequirements, places: &[PlacementCandidate]) -> Vec<usize>;
}

/// Ranks the targets that fit: those without a running load first, then by nearer checkpoint, zone
/// without a replica, fewer running loads, less free memory and fewer requests in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct NearestCheckpoint;

impl Placement for NearestCheckpoint {
    fn rank(&self, need: &PlacementRequirements, places: &[PlacementCandidate]) -> Vec<usize> {
        let fits = |p: &PlacementCandidate| {
            p.free_bytes >= need.memory_bytes && !need.occupied_targets.contains(&p.target)
        };
        let mut order: Vec<usize> = (0..places.len()).filter(|&i| fits(&places[i])).collect();
        order.sort_by_key(|&i| {
            let p = &places[i];
            let zone_taken = need.occupied_zones.contains(&p.availability_zone);
            // The tightest fit wins among otherwise equal targets, which leaves large free areas
            // to large models.
            (p.loading.min(1), p.tier, zone_taken, p.loading, p.free_bytes, p.in_flight)
        });
        order
    }
}
