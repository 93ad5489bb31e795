//! Drained availability zones in the daemon's view.

use std::collections::HashSet;

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ZoneName},
};

use super::{Exclusion, Fleet, TargetRequirements, member::Member};
use crate::zone_drain::{DrainedZones, ZoneDrains, ZoneTransitions, ZoneUpdate};

impl Fleet {
    /// Applies what a response of the store shows of the drained zones.
    pub fn apply_zone_update(&mut self, update: ZoneUpdate, now: Time) -> ZoneTransitions {
        let transitions = self.zone_drains.apply(update);
        self.warm_up_returned(&transitions, now);
        transitions
    }

    /// Replaces the drained zones by a newer set.
    pub fn replace_drained_zones(&mut self, zones: DrainedZones, now: Time) -> ZoneTransitions {
        let transitions = self.zone_drains.replace(zones);
        self.warm_up_returned(&transitions, now);
        transitions
    }

    /// Returns the drained zones.
    pub fn zone_drains(&self) -> &ZoneDrains {
        &self.zone_drains
    }

    /// Returns the number of targets in a zone.
    pub fn targets_in(&self, zone: &ZoneName) -> usize {
        self.members.values().filter(|m| m.target.zone == *zone).count()
    }

    /// Returns the models that targets in drained zones hold.
    pub fn models_in_drained_zones(&self, now: Time) -> HashSet<ModelName> {
        if self.zone_drains.is_empty() {
            return HashSet::new();
        }
        let is_drained = |m: &&Member| self.zone_drains.contains(&m.target.zone);
        let drained = self.members.values().filter(is_drained).filter(|m| m.takes_work(now));
        drained.flat_map(|m| m.target.models.iter().map(|held| held.model.clone())).collect()
    }

    /// Returns why a request that finds no target is excluded from the service's targets; `None` if
    /// there are no targets anywhere.
    pub(super) fn exclusion(&self, want: &TargetRequirements<'_>, now: Time) -> Option<Exclusion> {
        let of_service = |m: &&Member| m.target.service == *want.service && m.takes_work(now);
        let targets: Vec<&Member> = self.members.values().filter(of_service).collect();
        if targets.iter().any(|m| want.allows(&m.target)) {
            return Some(Exclusion::Drained);
        }
        if want.origin.is_some() && !targets.iter().any(|m| want.runs_origin(&m.target)) {
            return Some(Exclusion::Software);
        }
        (!targets.is_empty()).then_some(Exclusion::Region)
    }

    /// Returns whether the target takes new requests and its zone is not drained.
    pub(super) fn takes_requests(&self, m: &Member, now: Time) -> bool {
        m.takes_work(now) && !self.zone_drains.contains(&m.target.zone)
    }

    /// The targets of a zone may have been restarted while it was drained, so that they warm up
    /// whatever their entries say.
    fn warm_up_returned(&mut self, transitions: &ZoneTransitions, now: Time) {
        if transitions.returned.is_empty() {
            return;
        }
        let returned = |m: &&Member| transitions.returned.contains(&m.target.zone);
        for m in self.members.values().filter(returned) {
            self.warm_ups.begin_after_drain(m.run, &m.target.service, now);
        }
    }
}
