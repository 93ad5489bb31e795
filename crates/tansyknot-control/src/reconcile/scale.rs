//! The number of replicas: scaling up, staging checkpoints, draining surplus and idle replicas, and
//! eviction for other services.

use std::time::Duration;

use tansyknot_config::object::RetentionGoal;
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
    retention::RetentionPlan,
    scaling::{self, Demand},
    staging,
};

use super::{ModelConfig, Reconciler, ServiceState, StagingState, reserve::ReserveOutcome};
use crate::replicas::Versioned;

/// The delay before the next attempt to stage a checkpoint that no target's host holds.
const STAGING_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// The retry delay that refusals give callers if no replica can be loaded.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_secs(10);

impl Reconciler {
    /// Adjusts the number of replicas to the rule and the demand.
    pub(super) fn adjust(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        model_config: Option<&ModelConfig>,
        demand: &Demand,
    ) -> Result<()> {
        let Some(model_config) = model_config else {
            return self.drain_surplus(service, state, replicas, 0);
        };
        let max = model_config.rule.replicas.max;
        if max == 0 {
            self.refuse(service, Reason::NoCapacity, "the rule allows no replica");
        }
        let total = count(&replicas.row, |_| true);
        if total > max {
            return self.drain_surplus(service, state, replicas, max);
        }
        let present = count(&replicas.row, |s| s.state != SlotState::Draining);
        let (idle, plan) = self.idle_plan(service, model_config, demand.load_time);
        let prewarm =
            plan.prewarm.is_some_and(|(from, duration)| idle >= from && idle < from + duration);
        let mut wanted = scaling::wanted(demand, present, model_config.bounds(demand.load_time));
        if prewarm {
            wanted = wanted.max(1).min(max);
        }
        if wanted > present && total < max {
            return self.grow(service, state, replicas, model_config, demand);
        }
        let is_idle = demand.waiting == 0 && demand.in_flight == 0;
        if is_idle && !prewarm && present > model_config.rule.replicas.min {
            return self.drain_idle(service, state, replicas, model_config, idle, plan.keep);
        }
        if total == 0 && max > 0 {
            return self.stage(service, state, replicas, model_config, demand);
        }
        Ok(())
    }

    fn grow(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        model_config: &ModelConfig,
        demand: &Demand,
    ) -> Result<()> {
        match self.reserve(service, state, replicas, model_config)? {
            ReserveOutcome::Reserved => {
                let ready = self.parts.clock.now() + demand.load_time;
                self.parts.pools.expect_ready(service, Some(ready));
                Ok(())
            }
            ReserveOutcome::Conflicted => Ok(()),
            ReserveOutcome::NoRoom if demand.waiting > 0 => {
                if !self.evict_for(service, model_config)? && replicas.row.slots.is_empty() {
                    event::NO_PLACE.emit(&[("service", service)]);
                    self.refuse(service, Reason::NoCapacity, "no target has memory left");
                }
                Ok(())
            }
            ReserveOutcome::NoTarget if demand.waiting > 0 && replicas.row.slots.is_empty() => {
                event::NO_PLACE.emit(&[("service", service)]);
                self.refuse(service, Reason::NoTarget, "no target of the rule answers");
                Ok(())
            }
            ReserveOutcome::NoRoom | ReserveOutcome::NoTarget => Ok(()),
        }
    }

    fn refuse(&self, service: &ServiceName, reason: Reason, detail: &str) {
        let refusal = Refusal::retry_later(reason, CAPACITY_RETRY_DELAY, detail);
        self.parts.pools.refuse_waiting(service, &refusal);
    }

    /// Drains the replicas above `limit`, the most recently reserved first.
    fn drain_surplus(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        limit: u32,
    ) -> Result<()> {
        let active: Vec<Slot> =
            replicas.row.slots.iter().filter(|s| s.state != SlotState::Draining).cloned().collect();
        let surplus = active.len().saturating_sub(limit as usize);
        for slot in active.iter().rev().take(surplus) {
            self.begin_drain(service, state, replicas, slot)?;
        }
        Ok(())
    }

    /// Drains one replica of a service that has been idle for as long as its retention plan allows,
    /// or for the minimum retention if that is shorter and the replica was only staged or is not
    /// the last one.
    fn drain_idle(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        model_config: &ModelConfig,
        idle: Duration,
        max_idle: Duration,
    ) -> Result<()> {
        let is_staged = self.is_staged_only(service, state, self.parts.clock.now());
        let is_extra = replicas.row.slots.len() > 1;
        let use_min_retention = is_staged || is_extra;
        let min_retention = model_config.rule.retention.at_least.duration();
        let retention = if use_min_retention { max_idle.min(min_retention) } else { max_idle };
        if idle < retention {
            return Ok(());
        }
        let ready = replicas.row.slots.iter().find(|s| s.state == SlotState::Ready).cloned();
        match ready {
            Some(slot) => {
                if is_staged {
                    state.staging = StagingState::Cached;
                }
                self.begin_drain(service, state, replicas, &slot)
            }
            None => Ok(()),
        }
    }

    /// Loads a model without demand once, so that a host holds its checkpoint at the first request.
    fn stage(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        model_config: &ModelConfig,
        demand: &Demand,
    ) -> Result<()> {
        let now = self.parts.clock.now();
        let is_due = match state.staging {
            StagingState::Unknown => true,
            StagingState::CheckAfter(at) => now >= at,
            StagingState::Loading(_) | StagingState::Cached => false,
        };
        let is_idle = demand.waiting == 0 && demand.in_flight == 0;
        if !is_due || !is_idle || model_config.rule.retention.weight != RetentionGoal::Cold {
            return Ok(());
        }
        let staging = self.read_staging(service, model_config)?;
        if staging.nearest != Tier::Remote {
            state.staging = StagingState::Cached;
            return Ok(());
        }
        state.staging = StagingState::CheckAfter(now + STAGING_RETRY_INTERVAL);
        if staging::wants_staging(&staging)
            && self.reserve(service, state, replicas, model_config)? == ReserveOutcome::Reserved
        {
            // Any later use is recorded after `now` and turns this into an ordinary replica.
            self.usage.get_or_insert(service, now);
            state.staging = StagingState::Loading(now);
        }
        Ok(())
    }

    /// Returns whether the replica was loaded only to stage its checkpoint and has not been used.
    fn is_staged_only(&self, service: &ServiceName, state: &ServiceState, now: Time) -> bool {
        let StagingState::Loading(since) = state.staging else { return false };
        self.usage.get_or_insert(service, now).last_used <= since
    }

    /// Returns how long the service has been idle and the retention plan from its idle gaps.
    fn idle_plan(
        &self,
        service: &ServiceName,
        model_config: &ModelConfig,
        load_time: Duration,
    ) -> (Duration, RetentionPlan) {
        let now = self.parts.clock.now();
        let usage = self.usage.get_or_insert(service, now);
        let plan = self.parts.retention.plan(&usage.gaps, &model_config.retention(load_time));
        (now.since(usage.last_used), plan)
    }

    /// Frees memory for a replica of `service` by evicting the replica of another service that has
    /// been idle for the longest time, at least for its minimum retention. Returns whether memory
    /// is being freed.
    fn evict_for(&self, service: &ServiceName, model_config: &ModelConfig) -> Result<bool> {
        let now = self.parts.clock.now();
        let allowed = self.parts.hosts.select(&model_config.rule.targets);
        let is_allowed = |slot: &Slot| allowed.iter().any(|t| t.name == slot.target);
        let mut candidates = Vec::new();
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
                candidates.push((idle, other, slot.clone()));
            }
        }
        let Some((_, other, slot)) = candidates.into_iter().max_by_key(|(idle, ..)| *idle) else {
            return Ok(false);
        };
        self.evict(&other, &slot)
    }

    /// Returns how long a service has been idle if one of its replicas may be evicted.
    fn evictable_idle(
        &self,
        service: &ServiceName,
        row: &ReplicaRow,
        now: Time,
    ) -> Option<Duration> {
        let model_config = self.model_config(service)?;
        let local = self.parts.pools.demand(service).requests;
        if local.waiting > 0 || local.in_flight > 0 {
            return None;
        }
        if row.slots.len() <= model_config.rule.replicas.min as usize {
            return None;
        }
        let idle = now.since(self.usage.get_or_insert(service, now).last_used);
        (idle >= model_config.rule.retention.at_least.duration()).then_some(idle)
    }

    fn evict(&self, service: &ServiceName, slot: &Slot) -> Result<bool> {
        let state = self.state(service);
        // Blocking could deadlock: that service's step in another thread may wait for this one.
        let Ok(mut state) = state.try_lock() else { return Ok(true) };
        let mut replicas = crate::replicas::read_replicas(self.parts.table.as_ref(), service)?;
        if replicas.row.slot(&slot.target).is_none_or(|s| s.state != SlotState::Ready) {
            return Ok(true);
        }
        self.begin_drain(service, &mut state, &mut replicas, slot)?;
        Ok(true)
    }
}

fn count(row: &ReplicaRow, predicate: impl Fn(&Slot) -> bool) -> u32 {
    u32::try_from(row.slots.iter().filter(|s| predicate(s)).count()).unwrap_or(u32::MAX)
}
