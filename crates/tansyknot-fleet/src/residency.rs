//! Data residency: the availability zones in which a request may be served.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tansyknot_core::name::{RegionName, ZoneName};

/// The regions to which a route or a team is bound.
pub type RegionSet = BTreeSet<RegionName>;

/// The zones in which a request may be served.
pub type ZoneSet = Arc<BTreeSet<ZoneName>>;

/// The region of each zone of the deployment.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    by_zone: BTreeMap<ZoneName, RegionName>,
}

impl Regions {
    /// Creates the map from the region of each zone.
    pub fn new(by_zone: BTreeMap<ZoneName, RegionName>) -> Self {
        Self { by_zone }
    }

    /// Returns the zones that all of `bounds` allow; `None` if there is no bound. A region without
    /// a zone here allows nothing.
    pub fn allowed_zones(&self, bounds: &[&RegionSet]) -> Option<ZoneSet> {
        if bounds.is_empty() {
            return None;
        }
        let is_allowed = |region: &RegionName| bounds.iter().all(|set| set.contains(region));
        let zones = self.by_zone.iter().filter(|(_, region)| is_allowed(region));
        Some(Arc::new(zones.map(|(zone, _)| zone.clone()).collect()))
    }

    /// Returns the regions of `set` in which the deployment has no zone.
    pub fn unknown<'a>(&'a self, set: &'a RegionSet) -> impl Iterator<Item = &'a RegionName> {
        set.iter().filter(|region| !self.by_zone.values().any(|known| known == *region))
    }
}
