//! Availability zones that operators have drained: new requests go to targets elsewhere.
//!
//! The store's version orders the states of the set, whichever way they arrive: from a call to the
//! store or with an update of the planner.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use tansyknot_core::name::ZoneName;

use crate::store_version;

/// The drained zones as of a version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainedZones {
    /// The version of the store as of which the set is complete.
    pub version: u64,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

/// A zone that operators have drained or returned to service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneName,
    /// Whether the zone is drained now.
    pub is_drained: bool,
    /// The version of the store that the change made.
    pub version: u64,
}

/// What a response of the store shows of the drained zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneUpdate {
    /// All drained zones.
    All(DrainedZones),
    /// The changes in order, up to a version of the store.
    Changes(Vec<ZoneChange>, u64),
}

impl ZoneUpdate {
    /// Returns whether the response shows that a zone was drained or returned to service.
    pub fn has_changes(&self) -> bool {
        matches!(self, ZoneUpdate::Changes(changes, _) if !changes.is_empty())
    }
}

/// The zones that an update has drained or returned to service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneTransitions {
    /// Zones that are drained now and were not before.
    pub drained: Vec<ZoneName>,
    /// Zones that were drained before and are not now.
    pub returned: Vec<ZoneName>,
}

impl ZoneTransitions {
    /// Returns whether no zone has changed.
    pub fn is_empty(&self) -> bool {
        self.drained.is_empty() && self.returned.is_empty()
    }
}

/// A daemon's view of the drained zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneDrains {
    current: DrainedZones,
    /// The version of the store as of which the set last changed.
    changed_at: u64,
}

impl ZoneDrains {
    /// Returns whether new requests must not go to targets in `zone`.
    pub fn contains(&self, zone: &ZoneName) -> bool {
        self.current.zones.contains(zone)
    }

    /// Returns whether no zone is drained.
    pub fn is_empty(&self) -> bool {
        self.current.zones.is_empty()
    }

    /// Returns the drained zones and the version of the store as of which they are known.
    pub fn current(&self) -> &DrainedZones {
        &self.current
    }

    /// Returns the version of the store as of which the set last changed.
    pub fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// Applies a response of the store, of which older parts are ignored.
    pub fn apply(&mut self, update: ZoneUpdate) -> ZoneTransitions {
        match update {
            ZoneUpdate::All(all) => self.replace(all),
            ZoneUpdate::Changes(changes, version) => {
                let known = self.current.version;
                let mut zones = self.current.zones.clone();
                for change in changes.into_iter().filter(|change| change.version > known) {
                    if change.is_drained {
                        zones.insert(change.zone);
                    } else {
                        zones.remove(&change.zone);
                    }
                }
                self.replace(DrainedZones { version, zones })
            }
        }
    }

    /// Replaces the set by a newer one; an older one is ignored.
    ///
    /// A store that has come back from an older copy may lack drained zones until operators have
    /// written them again, so zones that were drained before stay drained.
    pub fn replace(&mut self, mut newer: DrainedZones) -> ZoneTransitions {
        if newer.version <= self.current.version {
            return ZoneTransitions::default();
        }
        if store_version::era(newer.version) > store_version::era(self.current.version) {
            newer.zones.extend(self.current.zones.iter().cloned());
        }
        let before = std::mem::replace(&mut self.current, newer);
        let now = &self.current.zones;
        let transitions = ZoneTransitions {
            drained: now.difference(&before.zones).cloned().collect(),
            returned: before.zones.difference(now).cloned().collect(),
        };
        if !transitions.is_empty() {
            self.changed_at = self.current.version;
        }
        transitions
    }
}
