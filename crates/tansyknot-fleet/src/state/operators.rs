//! The operators' documents in a daemon's state: the configuration and the drained zones.

use tansyknot_core::{clock::Time, event};

use super::{ConfigRead, ConfigSource, State};
use crate::{
    catalog::Catalog,
    zone_drain::{DrainedZones, ZoneTransitions, ZoneUpdate},
};

impl State {
    /// Puts a configuration in force if it is newer than the current one, and records that it was
    /// the newest as of `as_of`. Returns whether it was newer.
    pub fn put_in_force(&self, catalog: Catalog, as_of: Time) -> bool {
        self.fleet().set_warm_up_policies(&catalog);
        let mut view = self.key_view();
        let version = catalog.version;
        let is_newer = self.set_catalog(catalog);
        view.record_in_force(version, as_of);
        drop(view);
        if is_newer {
            self.report_unknown_regions();
        }
        is_newer
    }

    /// Puts a configuration from `source` in force if it is newer than the current one, as the store
    /// showed it as of `as_of`.
    pub fn apply_config(
        &self,
        catalog: Catalog,
        store_version: u64,
        as_of: Time,
        source: ConfigSource,
    ) {
        let version = catalog.version;
        if !self.put_in_force(catalog, as_of) {
            return;
        }
        {
            let mut contacts = self.store_contacts();
            let is_newest = contacts.config_read.is_none_or(|read| read.version < version);
            if is_newest {
                contacts.config_read = Some(ConfigRead { version, store_version });
            }
        }
        event::FLEET_CONFIG.emit(&[
            ("version", &version),
            ("store_version", &store_version),
            ("source", &source),
            ("age_ms", &self.now().since(as_of).as_millis()),
        ]);
        self.notify_view_changed();
    }

    /// Returns the last moment as of which no newer version of the configuration than `version`
    /// existed; `None` if none is known, or a newer version is.
    pub fn config_known_at(&self, version: u64) -> Option<Time> {
        let own = self.store_contacts().config;
        let view = self.planner_view();
        let own = own.filter(|_| view.config_version() <= version);
        view.config_as_of(version).max(own)
    }

    /// Returns whether the configuration in force, with this version, may lack a change that was
    /// accepted longer ago than the bound within which it must be in force, or lacks a known one.
    pub fn config_may_be_outdated(&self, version: u64) -> bool {
        let age = self.config_known_at(version).map(|at| self.now().since(at));
        age.is_none_or(|age| age > self.freshness.config_within)
    }

    /// Applies what a response of the store shows of the drained zones.
    pub fn apply_zone_update(&self, update: ZoneUpdate) {
        let now = self.now();
        let transitions = self.fleet().apply_zone_update(update, now);
        self.report_zone_transitions(&transitions);
    }

    /// Applies the drained zones that the planner has published.
    pub fn apply_published_zones(&self, zones: DrainedZones) {
        let now = self.now();
        let transitions = self.fleet().replace_drained_zones(zones, now);
        self.report_zone_transitions(&transitions);
    }

    fn report_zone_transitions(&self, transitions: &ZoneTransitions) {
        for zone in &transitions.drained {
            let targets = self.fleet().targets_in(zone);
            event::ZONE_DRAINED.emit(&[("zone", zone), ("targets", &targets)]);
        }
        for zone in &transitions.returned {
            event::ZONE_RETURNED.emit(&[("zone", zone)]);
        }
        if !transitions.is_empty() {
            self.notify_view_changed();
        }
    }

    fn report_unknown_regions(&self) {
        let Some(catalog) = self.catalog() else { return };
        for (name, set) in catalog.residency_bounds() {
            for region in self.regions.unknown(set) {
                event::REGION_UNKNOWN.emit(&[
                    ("bound", &name),
                    ("region", region),
                    ("config", &catalog.version),
                ]);
            }
        }
    }
}
