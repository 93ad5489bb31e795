//! How many replicas stay: scaling up, removing surplus and idle ones, making room.

use std::time::Duration;

use tansyknot_config::object::Weight;
use tansyknot_core::{
    Result,
    clock::Time,
    engine::Tier,
    event,
    name::ServiceName,
    refusal::{Reason, Refusal},
    replica::{ReplicaRow, Slot, SlotState},
};
use tansyknot_policy::{
    retention::Plan,
    scaling::{self, Demand},
    staging,
};

use super::{Decided, Reconciler, ServiceState, Staged, place::Placed};
use crate::replicas::Versioned;

/// A model whose checkpoint is far, and could not be staged, is looked at again after this long.
const STAGE_LOOK: Duration = Duration::from_secs(5);
/// When a caller should come back if no replica can be loaded.
const CAPACITY_RETRY: Duration = Duration::from_secs(10);

impl Reconciler {
    /// Brings the number of replicas to what the operators and the demand want.
    pub(super) fn adjust(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        decided: Option<&Decided>,
        demand: &Demand,
    ) -> Result<()> {
        let Some(decided) = decided else {
            return self.drain_surplus(service, state, replicas, 0);
        };
        let max = decided.rule.replicas.max;
        if max == 0 {
            self.refuse(service, Reason::NoCapacity, "the rule allows no replica");
        }
        let total = count(&replicas.row, |_| true);
        if total > max {
            return self.drain_surplus(service, state, replicas, max);
        }
        let present = count(&replicas.row, |s| s.state != SlotState::Draining);
        let (idle, plan) = self.idle_plan(service, decided, demand.load_time);
        let prewarm = plan.prewarm.is_some_and(|(from, span)| idle >= from && idle < from + span);
        let mut wanted = scaling::wanted(demand, present, decided.bounds(demand.load_time));
        if prewarm {
            wanted = wanted.max(1).min(max);
        }
        if wanted > present && total < max {
            return self.grow(service, state, replicas, decided, demand);
        }
        let quiet = demand.waiting == 0 && demand.in_flight == 0;
        if quiet && !prewarm && present > decided.rule.replicas.min {
            return self.drain_idle(service, state, replicas, decided, idle, plan.keep);
        }
        if total == 0 && max > 0 {
            return self.stage(service, state, replicas, decided, demand);
        }
        Ok(())
    }

    fn grow(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        decided: &Decided,
        demand: &Demand,
    ) -> Result<()> {
        match self.reserve(service, state, replicas, decided)? {
            Placed::Reserved => {
                let ready = self.parts.clock.now() + demand.load_time;
                self.parts.pools.expect_ready(service, Some(ready));
                Ok(())
            }
            Placed::Raced => Ok(()),
            Placed::NoRoom if demand.waiting > 0 => {
                if !self.make_room(service, decided)? && replicas.row.slots.is_empty() {
                    event::NO_PLACE.emit(&[("service", service)]);
                    self.refuse(service, Reason::NoCapacity, "no target has memory left");
                }
                Ok(())
            }
            Placed::NoTarget if demand.waiting > 0 && replicas.row.slots.is_empty() => {
                event::NO_PLACE.emit(&[("service", service)]);
                self.refuse(service, Reason::NoTarget, "no target of the rule answers");
                Ok(())
            }
            Placed::NoRoom | Placed::NoTarget => Ok(()),
        }
    }

    fn refuse(&self, service: &ServiceName, reason: Reason, detail: &str) {
        let refusal = Refusal::later(reason, CAPACITY_RETRY, detail);
        self.parts.pools.refuse_waiting(service, &refusal);
    }

    /// Drains replicas above `limit`, ready ones that cost the least to lose first.
    fn drain_surplus(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        limit: u32,
    ) -> Result<()> {
        let staying: Vec<Slot> =
            replicas.row.slots.iter().filter(|s| s.state != SlotState::Draining).cloned().collect();
        let surplus = staying.len().saturating_sub(limit as usize);
        for slot in staying.iter().rev().take(surplus) {
            self.begin_drain(service, state, replicas, slot)?;
        }
        Ok(())
    }

    /// Drains one replica that has been unused for as long as its plan says.
    fn drain_idle(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        decided: &Decided,
        idle: Duration,
        keep: Duration,
    ) -> Result<()> {
        let staged = self.is_only_staged(service, state, self.parts.clock.now());
        let is_extra = replicas.row.slots.len() > 1;
        let short = staged || is_extra;
        let least = decided.rule.retention.at_least.duration();
        let span = if short { keep.min(least) } else { keep };
        if idle < span {
            return Ok(());
        }
        let ready = replicas.row.slots.iter().find(|s| s.state == SlotState::Ready).cloned();
        match ready {
            Some(slot) => {
                if staged {
                    state.staging = Staged::Near;
                }
                self.begin_drain(service, state, replicas, &slot)
            }
            None => Ok(()),
        }
    }

    /// Loads a model once that nobody asks for, so that its checkpoint is near when someone does.
    fn stage(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        decided: &Decided,
        demand: &Demand,
    ) -> Result<()> {
        let now = self.parts.clock.now();
        let is_due = match state.staging {
            Staged::Unknown => true,
            Staged::Later(at) => now >= at,
            Staged::Loading(_) | Staged::Near => false,
        };
        let quiet = demand.waiting == 0 && demand.in_flight == 0;
        if !is_due || !quiet || decided.rule.retention.weight != Weight::Cold {
            return Ok(());
        }
        let staging = self.look_at_stage(service, decided)?;
        if staging.nearest != Tier::Remote {
            state.staging = Staged::Near;
            return Ok(());
        }
        state.staging = Staged::Later(now + STAGE_LOOK);
        if staging::wants_staging(&staging)
            && self.reserve(service, state, replicas, decided)? == Placed::Reserved
        {
            // From here on any use is later, and makes the replica one like others.
            self.usage.get_or_begin(service, now);
            state.staging = Staged::Loading(now);
        }
        Ok(())
    }

    /// Tells whether the replica is there for its checkpoint alone: nobody has used it.
    fn is_only_staged(&self, service: &ServiceName, state: &ServiceState, now: Time) -> bool {
        let Staged::Loading(since) = state.staging else { return false };
        self.usage.get_or_begin(service, now).last <= since
    }

    /// Returns how long the service has been unused, and what its gaps say to do about it.
    fn idle_plan(
        &self,
        service: &ServiceName,
        decided: &Decided,
        load_time: Duration,
    ) -> (Duration, Plan) {
        let now = self.parts.clock.now();
        let used = self.usage.get_or_begin(service, now);
        let plan = self.parts.retention.plan(&used.gaps, &decided.retention(load_time));
        (now.since(used.last), plan)
    }

    /// Drains the replica of another service that has been idle longest, if one is past its
    /// least retention; tells whether room is on its way.
    fn make_room(&self, service: &ServiceName, decided: &Decided) -> Result<bool> {
        let now = self.parts.clock.now();
        let allowed = self.parts.hosts.select(&decided.rule.targets);
        let is_allowed = |slot: &Slot| allowed.iter().any(|t| t.name == slot.target);
        let mut victims = Vec::new();
        for other in self.parts.directory.services() {
            let Some(row) = self.parts.directory.row(&other) else { continue };
            if other == *service {
                continue;
            }
            if row.slots.iter().any(|s| s.state == SlotState::Draining && is_allowed(s)) {
                return Ok(true);
            }
            let Some(slot) =
                row.slots.iter().find(|s| s.state == SlotState::Ready && is_allowed(s))
            else {
                continue;
            };
            if let Some(idle) = self.evictable_idle(&other, &row, now) {
                victims.push((idle, other, slot.clone()));
            }
        }
        let Some((_, other, slot)) = victims.into_iter().max_by_key(|(idle, ..)| *idle) else {
            return Ok(false);
        };
        self.evict(&other, &slot)
    }

    /// Returns how long a service has been idle if one of its replicas may be removed for room.
    fn evictable_idle(
        &self,
        service: &ServiceName,
        row: &ReplicaRow,
        now: Time,
    ) -> Option<Duration> {
        let decided = self.decided(service)?;
        let local = self.parts.pools.demand(service).waiting;
        if local.waiting > 0 || local.in_flight > 0 {
            return None;
        }
        if row.slots.len() <= decided.rule.replicas.min as usize {
            return None;
        }
        let idle = now.since(self.usage.get_or_begin(service, now).last);
        (idle >= decided.rule.retention.at_least.duration()).then_some(idle)
    }

    fn evict(&self, service: &ServiceName, slot: &Slot) -> Result<bool> {
        let state = self.state(service);
        // Another thread's step on that service may be waiting for this one.
        let Ok(mut state) = state.try_lock() else { return Ok(true) };
        let mut replicas = crate::replicas::read_replicas(self.parts.table.as_ref(), service)?;
        if replicas.row.slot(&slot.target).is_none_or(|s| s.state != SlotState::Ready) {
            return Ok(true);
        }
        self.begin_drain(service, &mut state, &mut replicas, slot)?;
        Ok(true)
    }
}

fn count(row: &ReplicaRow, holds: impl Fn(&Slot) -> bool) -> u32 {
    u32::try_from(row.slots.iter().filter(|s| holds(s)).count()).unwrap_or(u32::MAX)
}
