//! The steps of one slot: load, confirm, take over, drain and remove.

use std::time::Duration;

use tansyknot_core::{
    Error, Result,
    clock::Time,
    engine::{EngineStatus, LoadOrder, ModelState, UnloadOrder},
    event,
    host::{Fencing, HostState, Target},
    name::{ServiceName, TargetName},
    replica::{ReplicaRow, Slot, SlotState},
};

use super::{Reconciler, ServiceState, SlotWork};
use crate::{
    claim::{Claim, Watch},
    replicas::{self, OwnOrders, SlotChange, Versioned},
};

/// A target that has been missing from the list for this long is treated as gone.
const MISSING_TARGET_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a draining replica stays loaded for daemons that have not yet seen the drain.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// The interval at which the coordinator checks the engine of a ready replica.
const READY_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// The age from which an unanswered order is assumed never to reach the engine, because its
/// connection has been closed.
///
/// For an engine that ignores fencing tokens there is no stronger guarantee; docs/PROMISES.md lists
/// the remaining risk.
const ORDER_LIFETIME: Duration = Duration::from_secs(60);
/// The number of load orders that may fail before a slot is drained.
const MAX_LOAD_ORDERS: u32 = 3;

impl Reconciler {
    /// Takes the next step for the slot on `target`.
    pub(super) fn advance_slot(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        target: &TargetName,
        should_act: bool,
    ) -> Result<()> {
        let Some(slot) = replicas.row.slot(target).cloned() else { return Ok(()) };
        let is_holder = slot.holder == self.parts.incarnation;
        if is_holder {
            state.watches.remove(target);
        } else {
            state.work.remove(target);
        }
        let is_former_holder = !is_holder && slot.ordering.contains(&self.parts.incarnation);
        if is_former_holder && self.own_orders(state, target) == OwnOrders::Settled {
            self.change(service, replicas, target, &SlotChange::Settle)?;
            return Ok(());
        }
        match slot.state {
            SlotState::Reserved if is_holder => self.advance_load(service, state, replicas, &slot),
            SlotState::Draining if is_holder => self.advance_drain(service, state, replicas, &slot),
            SlotState::Ready if should_act => self.check_ready(service, state, replicas, &slot),
            SlotState::Ready => Ok(()),
            SlotState::Reserved | SlotState::Draining if should_act => {
                self.watch_holder(service, state, replicas, &slot)
            }
            SlotState::Reserved | SlotState::Draining => Ok(()),
        }
    }

    /// Takes over a slot that its holder has left unchanged for longer than a claim is valid.
    fn watch_holder(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
    ) -> Result<()> {
        let now = self.parts.clock.now();
        let watch = state
            .watches
            .entry(slot.target.clone())
            .or_insert_with(|| Watch::new(&slot.token, now));
        if !watch.is_unresponsive(&slot.token, now) {
            return Ok(());
        }
        event::REPLICA_TAKEN_OVER.emit(&[("service", service), ("target", &slot.target)]);
        self.claim(service, state, replicas, &slot.target)
    }

    /// Claims the slot on `target` under a new fencing token.
    fn claim(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        target: &TargetName,
    ) -> Result<()> {
        let requested_at = self.parts.clock.now();
        let row = self.change(service, replicas, target, &SlotChange::Claim)?;
        let Some(slot) = row.slot(target) else { return Ok(()) };
        let claim = Claim::new(slot.fence, requested_at);
        let old = state.work.get(target);
        let work = SlotWork {
            claim,
            load_accepted: false,
            started_at: old.map_or(requested_at, |w| w.started_at),
            orders_sent: old.map_or(0, |w| w.orders_sent),
        };
        state.work.insert(target.clone(), work);
        Ok(())
    }

    /// Commits a change of a slot and reads the row again.
    pub(super) fn change(
        &self,
        service: &ServiceName,
        replicas: &mut Versioned<ReplicaRow>,
        target: &TargetName,
        change: &SlotChange,
    ) -> Result<ReplicaRow> {
        let table = self.parts.table.as_ref();
        let row = replicas::change_slot(table, service, replicas, target, change, &self.writer())?;
        self.reread(service, replicas)?;
        Ok(row)
    }

    fn advance_load(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
    ) -> Result<()> {
        let now = self.parts.clock.now();
        let Some(target) = self.parts.hosts.target(&slot.target) else {
            return self.release_if_target_gone(service, state, replicas, slot);
        };
        let Some(work) = state.work.get(&slot.target).cloned() else {
            return self.claim(service, state, replicas, &slot.target);
        };
        if !work.load_accepted {
            if work.orders_sent >= MAX_LOAD_ORDERS || target.state == HostState::Leaving {
                return self.begin_drain(service, state, replicas, slot);
            }
            if !work.claim.allows_order(now) {
                return self.claim(service, state, replicas, &slot.target);
            }
            return self.order_load(service, state, replicas, slot, &target);
        }
        let Ok(status) = self.parts.engine.status(&target) else { return Ok(()) };
        match status.model(service).map(|m| m.state) {
            Some(ModelState::Ready) => {
                let own = self.own_orders(state, &slot.target);
                self.change(service, replicas, &slot.target, &SlotChange::Ready(own))?;
                let took = self.parts.clock.now().since(work.started_at);
                state.work.remove(&slot.target);
                state.checked_at.insert(slot.target.clone(), now);
                self.parts.pools.record_load(service, took);
                event::REPLICA_READY.emit(&[
                    ("service", service),
                    ("target", &slot.target),
                    ("load_ms", &took.as_millis()),
                ]);
                Ok(())
            }
            Some(ModelState::Loading | ModelState::Unloading) => Ok(()),
            // The engine no longer has the load: it was restarted or the load failed.
            None => self.claim(service, state, replicas, &slot.target),
        }
    }

    /// Sends a load order, whose claim the calling function has just checked.
    fn order_load(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
        target: &Target,
    ) -> Result<()> {
        let Some(model_config) = self.model_config(service) else {
            return self.begin_drain(service, state, replicas, slot);
        };
        let order = LoadOrder {
            service: service.clone(),
            checkpoint: model_config.model.checkpoint,
            memory_bytes: slot.memory_bytes,
            fence: slot.fence,
        };
        if let Some(work) = state.work.get_mut(&slot.target) {
            work.orders_sent += 1;
        }
        let result = self.parts.engine.load(target, &order);
        let Err(e) = result else {
            if let Some(work) = state.work.get_mut(&slot.target) {
                work.load_accepted = true;
            }
            return Ok(());
        };
        event::LOAD_FAILED.emit(&[("service", service), ("target", &slot.target), ("error", &e)]);
        match e {
            Error::StaleFence { .. } => {
                state.work.remove(&slot.target);
                Ok(())
            }
            Error::OutOfMemory => self.begin_drain(service, state, replicas, slot),
            e if e.may_have_taken_effect() => {
                state.unanswered_load_at.insert(slot.target.clone(), self.parts.clock.now());
                Ok(())
            }
            // The order is idempotent on this target and is retried under this claim or the next.
            // Until the engine accepts it, the slot and its memory stay counted.
            _ => Ok(()),
        }
    }

    fn check_ready(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
    ) -> Result<()> {
        let now = self.parts.clock.now();
        let Some(target) = self.parts.hosts.target(&slot.target) else {
            return self.release_if_target_gone(service, state, replicas, slot);
        };
        if target.state == HostState::Leaving {
            return self.begin_drain(service, state, replicas, slot);
        }
        let last = state.checked_at.get(&slot.target).copied();
        if last.is_some_and(|at| now.since(at) < READY_CHECK_INTERVAL) {
            return Ok(());
        }
        let Ok(status) = self.parts.engine.status(&target) else { return Ok(()) };
        state.checked_at.insert(slot.target.clone(), now);
        match status.model(service) {
            Some(report) if report.in_flight > 0 => {
                self.usage.record(service, now);
                Ok(())
            }
            Some(_) => Ok(()),
            None => {
                event::REPLICA_LOST.emit(&[("service", service), ("target", &slot.target)]);
                self.begin_drain(service, state, replicas, slot)
            }
        }
    }

    /// Closes a slot to new requests so that it can be removed.
    pub(super) fn begin_drain(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
    ) -> Result<()> {
        let requested_at = self.parts.clock.now();
        let own = self.own_orders(state, &slot.target);
        let row = self.change(service, replicas, &slot.target, &SlotChange::Drain(own))?;
        event::REPLICA_DRAINING.emit(&[("service", service), ("target", &slot.target)]);
        let fence = row.slot(&slot.target).map_or(slot.fence, |s| s.fence);
        let claim = Claim::new(fence, requested_at);
        let work =
            SlotWork { claim, load_accepted: false, started_at: requested_at, orders_sent: 0 };
        state.work.insert(slot.target.clone(), work);
        state.draining_since.insert(slot.target.clone(), requested_at);
        Ok(())
    }

    fn advance_drain(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
    ) -> Result<()> {
        let now = self.parts.clock.now();
        let since = *state.draining_since.entry(slot.target.clone()).or_insert(now);
        if now.since(since) < DRAIN_GRACE {
            return Ok(());
        }
        let Some(target) = self.parts.hosts.target(&slot.target) else {
            return self.release_if_target_gone(service, state, replicas, slot);
        };
        let claimed = state.work.get(&slot.target).is_some_and(|w| w.claim.allows_order(now));
        if !claimed {
            return self.claim(service, state, replicas, &slot.target);
        }
        let Ok(status) = self.parts.engine.status(&target) else { return Ok(()) };
        if in_flight(&status, service) > 0 {
            return Ok(());
        }
        let order = UnloadOrder { service: service.clone(), fence: slot.fence };
        match self.parts.engine.unload(&target, &order) {
            Ok(()) => self.release_slot(service, state, replicas, slot, Some(&target)),
            Err(Error::StaleFence { .. }) => {
                state.work.remove(&slot.target);
                Ok(())
            }
            // The engine is busy or did not respond: the slot stays counted and a later step
            // retries the order.
            Err(_) => Ok(()),
        }
    }

    /// Releases the slot of a target that has been missing from the list for
    /// [`MISSING_TARGET_TIMEOUT`].
    fn release_if_target_gone(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
    ) -> Result<()> {
        if !self.parts.hosts.has_been_read() {
            return Ok(());
        }
        let now = self.parts.clock.now();
        // A target that was not listed since this daemon started counts as missing from this check
        // on, or from the time at which this daemon first saw the slot draining.
        let since = match self.parts.hosts.missing_since(&slot.target) {
            Some(since) => since,
            None => first_missing_check(state, &slot.target, now),
        };
        if now.since(since) < MISSING_TARGET_TIMEOUT {
            return Ok(());
        }
        self.release_slot(service, state, replicas, slot, None)
    }

    /// Removes the slot unless a pending load order may still load the model at a target that
    /// ignores fencing tokens.
    fn release_slot(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
        target: Option<&Target>,
    ) -> Result<()> {
        let checks_fence = target.is_some_and(|t| t.fencing == Fencing::Checked);
        if !checks_fence
            && (self.has_pending_order(slot)?
                || self.own_orders(state, &slot.target) == OwnOrders::Unsettled)
        {
            event::REPLICA_HELD.emit(&[("service", service), ("target", &slot.target)]);
            return Ok(());
        }
        let table = self.parts.table.as_ref();
        let memory = replicas::read_memory(table, &slot.target)?;
        replicas::remove_slot(table, service, replicas, &slot.target, &memory)?;
        state.work.remove(&slot.target);
        state.draining_since.remove(&slot.target);
        state.checked_at.remove(&slot.target);
        event::REPLICA_REMOVED.emit(&[("service", service), ("target", &slot.target)]);
        self.reread(service, replicas)
    }

    /// Returns whether an unanswered load order of this process may still arrive.
    fn own_orders(&self, state: &ServiceState, target: &TargetName) -> OwnOrders {
        let now = self.parts.clock.now();
        let may_arrive =
            state.unanswered_load_at.get(target).is_some_and(|at| now.since(*at) < ORDER_LIFETIME);
        if may_arrive { OwnOrders::Unsettled } else { OwnOrders::Settled }
    }

    /// Returns whether a load order of another incarnation may still arrive.
    fn has_pending_order(&self, slot: &Slot) -> Result<bool> {
        for incarnation in &slot.ordering {
            if *incarnation == self.parts.incarnation {
                continue;
            }
            if !replicas::has_ended(self.parts.table.as_ref(), incarnation)? {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

fn first_missing_check(state: &mut ServiceState, target: &TargetName, now: Time) -> Time {
    *state.draining_since.entry(target.clone()).or_insert(now)
}

fn in_flight(status: &EngineStatus, service: &ServiceName) -> u32 {
    status.model(service).map_or(0, |m| m.in_flight)
}
