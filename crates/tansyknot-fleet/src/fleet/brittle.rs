//! Allowances of this daemon at the targets of a brittle service.
//!
//! Brittle targets crash if they have to refuse requests, and a target that has crashed leaves its
//! load to the others. All daemons together therefore send such a target no more requests than it
//! has slots: each slot of a target belongs to one daemon, so that no daemon depends on what it
//! knows of the others' requests. A service counts as brittle if one of its targets does, so that a
//! target which has just started is treated like the others before its first response.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ServiceName, TargetName},
};

use xxhash_rust::xxh3;

use super::{Fleet, member::Member};
use crate::{backpressure::BRITTLE_TTL, dissemination::peers::Ranking, poison::key::RunKey};

/// How long no daemon sends requests to a brittle target after it has refused one.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// A target that ends this long after it has refused requests may have ended because of them: their
/// number within a second counts, and another daemon's report of one arrives some ms late.
const REFUSALS_END_TARGET_WITHIN: Duration = Duration::from_millis(1500);

/// The brittle services, and this daemon's allowances at their targets.
#[derive(Debug, Default)]
pub(super) struct BrittleServices {
    /// Until when each service counts as brittle.
    until: HashMap<ServiceName, Time>,
    /// The requests that this daemon may have at each target at once.
    allowances: HashMap<TargetName, u32>,
    /// The daemons for which the allowances hold: their ranking, and how many the planner counts.
    basis: Option<(u64, usize)>,
}

impl Fleet {
    /// Returns whether targets of a service have named themselves brittle.
    pub fn is_brittle(&self, service: &ServiceName, now: Time) -> bool {
        self.brittle.until.get(service).is_some_and(|until| now < *until)
    }

    /// Returns whether the end of a target may be due to requests that it has refused.
    pub fn may_have_ended_by_refusals(&self, run: RunKey, now: Time) -> bool {
        let refused = self.backpressure.last_refusal(run);
        refused.is_some_and(|at| now.since(at) < REFUSALS_END_TARGET_WITHIN)
    }

    /// Updates what is known of the service of a target after a signal of its run.
    pub(super) fn update_brittleness(&mut self, target: &TargetName, run: RunKey, now: Time) {
        let Some(m) = self.members.get_mut(target).filter(|m| m.run == run) else { return };
        if let Some(refused) = self.backpressure.last_refusal(run) {
            m.full_until = m.full_until.max(refused + REFUSAL_PAUSE);
        }
        let service = m.target.service.clone();
        if self.backpressure.is_brittle(run, now) {
            self.brittle.until.insert(service, now + BRITTLE_TTL);
            return;
        }
        let mut of_service = self.members.values().filter(|m| m.target.service == service);
        if !of_service.any(|m| self.backpressure.is_brittle(m.run, now)) {
            self.brittle.until.remove(&service);
        }
    }

    /// Drops the services that are no longer brittle; returns whether others are.
    pub fn expire_brittleness(&mut self, now: Time) -> bool {
        self.brittle.until.retain(|_, until| now < *until);
        if self.brittle.until.is_empty() {
            self.brittle.allowances.clear();
            self.brittle.basis = None;
        }
        !self.brittle.until.is_empty()
    }

    /// Sets this daemon's allowances at the targets of brittle services. They are computed again only
    /// for targets that are new, or if the daemons have changed.
    pub fn set_allowances(&mut self, ranking: &Ranking) {
        let basis = Some((ranking.id, self.daemon_count));
        let before = std::mem::take(&mut self.brittle.allowances);
        let is_valid = self.brittle.basis == basis;
        let allowance = |m: &Member| {
            let known = before.get(&m.target.name).copied().filter(|_| is_valid);
            known.unwrap_or_else(|| self.compute_allowance(m, ranking))
        };
        let is_brittle = |m: &&Member| self.brittle.until.contains_key(&m.target.service);
        let members = self.members.values().filter(is_brittle);
        let allowances = members.map(|m| (m.target.name.clone(), allowance(m))).collect();
        self.brittle.allowances = allowances;
        self.brittle.basis = basis;
    }

    fn compute_allowance(&self, m: &Member, ranking: &Ranking) -> u32 {
        // A daemon that has just started does not know all others yet.
        if ranking.daemons() < self.daemon_count || self.daemon_count == 0 {
            return self.default_allowance(m);
        }
        let hash = xxh3::xxh3_64(m.target.name.as_str().as_bytes());
        share_of_slots(m.target.slots, ranking.daemons(), ranking.count_before(hash))
    }

    /// Returns how many more requests this daemon may send to a target of a brittle service; `None`
    /// if its service is not brittle.
    pub(super) fn brittle_places(&self, m: &Member, now: Time) -> Option<u32> {
        if self.brittle.until.is_empty() || !self.is_brittle(&m.target.service, now) {
            return None;
        }
        let allowance = self.brittle.allowances.get(&m.target.name).copied();
        let allowance = allowance.unwrap_or_else(|| self.default_allowance(m));
        Some(allowance.saturating_sub(m.own_requests()))
    }

    /// Returns the allowance at a target as long as the place of this daemon among the others is not
    /// known.
    fn default_allowance(&self, m: &Member) -> u32 {
        match self.daemon_count {
            0 => 1,
            daemons => share_of_slots(m.target.slots, daemons, daemons),
        }
    }
}

/// Returns the slots that belong to the daemon with this rank among `daemons`.
fn share_of_slots(slots: u32, daemons: usize, rank: usize) -> u32 {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
    let has_extra_slot = rank < (slots % daemons) as usize;
    slots / daemons + u32::from(has_extra_slot)
}
