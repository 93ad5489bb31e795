//! One slot, one step further: order, confirm, take over, remove.

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

/// A target that is missing from the list for this long is gone.
const GONE_AFTER: Duration = Duration::from_secs(10);
/// A draining replica is left alone this long, for daemons that have not heard of it.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// The coordinator asks the engine of a ready replica this often.
const CHECK_EVERY: Duration = Duration::from_secs(10);
/// An order that an engine has not read by then has been dropped with its connection. Engines
/// that ignore fencing tokens give no better word; docs/PROMISES.md says what this leaves open.
const ORDER_LIFETIME: Duration = Duration::from_secs(60);
/// Load orders before a slot is given up.
const MAX_ORDERS: u32 = 3;

impl Reconciler {
    /// Moves the slot on `target` one step further.
    pub(super) fn advance_slot(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        target: &TargetName,
        acts: bool,
    ) -> Result<()> {
        let Some(slot) = replicas.row.slot(target).cloned() else { return Ok(()) };
        let mine = slot.holder == self.parts.incarnation;
        if mine {
            state.watches.remove(target);
        } else {
            state.work.remove(target);
        }
        let former = !mine && slot.ordering.contains(&self.parts.incarnation);
        if former && self.own_orders(state, target) == OwnOrders::Settled {
            self.change(service, replicas, target, &SlotChange::Settle)?;
            return Ok(());
        }
        match slot.state {
            SlotState::Reserved if mine => self.advance_load(service, state, replicas, &slot),
            SlotState::Draining if mine => self.advance_drain(service, state, replicas, &slot),
            SlotState::Ready if acts => self.check_ready(service, state, replicas, &slot),
            SlotState::Ready => Ok(()),
            SlotState::Reserved | SlotState::Draining if acts => {
                self.watch(service, state, replicas, &slot)
            }
            SlotState::Reserved | SlotState::Draining => Ok(()),
        }
    }

    /// Takes over a slot whose holder has been silent for longer than its claim.
    fn watch(
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
        if !watch.is_silent(&slot.token, now) {
            return Ok(());
        }
        event::REPLICA_TAKEN_OVER.emit(&[("service", service), ("target", &slot.target)]);
        self.claim(service, state, replicas, &slot.target)
    }

    /// Claims the slot under a new fencing token.
    fn claim(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        target: &TargetName,
    ) -> Result<()> {
        let before = self.parts.clock.now();
        let row = self.change(service, replicas, target, &SlotChange::Claim)?;
        let Some(slot) = row.slot(target) else { return Ok(()) };
        let claim = Claim::new(slot.fence, before);
        let old = state.work.get(target);
        let work = SlotWork {
            claim,
            ordered: false,
            began: old.map_or(before, |w| w.began),
            orders: old.map_or(0, |w| w.orders),
        };
        state.work.insert(target.clone(), work);
        Ok(())
    }

    /// Writes a change of a slot and reads the row again.
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
            return self.give_back_if_gone(service, state, replicas, slot);
        };
        let Some(work) = state.work.get(&slot.target).cloned() else {
            return self.claim(service, state, replicas, &slot.target);
        };
        if !work.ordered {
            if work.orders >= MAX_ORDERS || target.state == HostState::Leaving {
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
                let took = self.parts.clock.now().since(work.began);
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
            // The engine has forgotten the order: it was restarted or the load failed.
            None => self.claim(service, state, replicas, &slot.target),
        }
    }

    /// Sends a load order; the claim was checked in the same moment.
    fn order_load(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
        target: &Target,
    ) -> Result<()> {
        let Some(decided) = self.decided(service) else {
            return self.begin_drain(service, state, replicas, slot);
        };
        let order = LoadOrder {
            service: service.clone(),
            checkpoint: decided.model.checkpoint,
            memory_bytes: slot.memory_bytes,
            fence: slot.fence,
        };
        if let Some(work) = state.work.get_mut(&slot.target) {
            work.orders += 1;
        }
        let result = self.parts.engine.load(target, &order);
        let Err(e) = result else {
            if let Some(work) = state.work.get_mut(&slot.target) {
                work.ordered = true;
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
                state.unanswered.insert(slot.target.clone(), self.parts.clock.now());
                Ok(())
            }
            // The order is idempotent on this target: it is sent again under this claim or the
            // next. Until the engine answers, the slot and its memory stay counted.
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
            return self.give_back_if_gone(service, state, replicas, slot);
        };
        if target.state == HostState::Leaving {
            return self.begin_drain(service, state, replicas, slot);
        }
        let last = state.checked_at.get(&slot.target).copied();
        if last.is_some_and(|at| now.since(at) < CHECK_EVERY) {
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

    /// Closes a slot to new requests before it is removed.
    pub(super) fn begin_drain(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
    ) -> Result<()> {
        let before = self.parts.clock.now();
        let own = self.own_orders(state, &slot.target);
        let row = self.change(service, replicas, &slot.target, &SlotChange::Drain(own))?;
        event::REPLICA_DRAINING.emit(&[("service", service), ("target", &slot.target)]);
        let fence = row.slot(&slot.target).map_or(slot.fence, |s| s.fence);
        let claim = Claim::new(fence, before);
        let work = SlotWork { claim, ordered: false, began: before, orders: 0 };
        state.work.insert(slot.target.clone(), work);
        state.draining_since.insert(slot.target.clone(), before);
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
            return self.give_back_if_gone(service, state, replicas, slot);
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
            Ok(()) => self.give_back(service, state, replicas, slot, Some(&target)),
            Err(Error::StaleFence { .. }) => {
                state.work.remove(&slot.target);
                Ok(())
            }
            // Busy or not answered: the slot stays counted and the order is sent again.
            Err(_) => Ok(()),
        }
    }

    /// Gives back the slot of a target that has long been missing from the list.
    fn give_back_if_gone(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
    ) -> Result<()> {
        if !self.parts.hosts.is_known() {
            return Ok(());
        }
        let now = self.parts.clock.now();
        // After a restart a target that was never seen counts as missing from the first look.
        let since = match self.parts.hosts.missing_since(&slot.target) {
            Some(since) => since,
            None => first_look(state, &slot.target, now),
        };
        if now.since(since) < GONE_AFTER {
            return Ok(());
        }
        self.give_back(service, state, replicas, slot, None)
    }

    /// Removes the slot if no order of an earlier holder can still load the model there.
    fn give_back(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        slot: &Slot,
        target: Option<&Target>,
    ) -> Result<()> {
        let checked = target.is_some_and(|t| t.fencing == Fencing::Checked);
        if !checked
            && (self.has_order_under_way(slot)?
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

    /// Tells whether a load order of this process that was never answered may still arrive.
    fn own_orders(&self, state: &ServiceState, target: &TargetName) -> OwnOrders {
        let now = self.parts.clock.now();
        let fresh = state.unanswered.get(target).is_some_and(|at| now.since(*at) < ORDER_LIFETIME);
        if fresh { OwnOrders::Unsettled } else { OwnOrders::Settled }
    }

    /// Tells whether an incarnation other than this one may still have a load order on its way.
    fn has_order_under_way(&self, slot: &Slot) -> Result<bool> {
        for incarnation in &slot.ordering {
            if *incarnation == self.parts.incarnation {
                continue;
            }
            if !replicas::is_gone(self.parts.table.as_ref(), incarnation)? {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

fn first_look(state: &mut ServiceState, target: &TargetName, now: Time) -> Time {
    *state.draining_since.entry(target.clone()).or_insert(now)
}

fn in_flight(status: &EngineStatus, service: &ServiceName) -> u32 {
    status.model(service).map_or(0, |m| m.in_flight)
}
