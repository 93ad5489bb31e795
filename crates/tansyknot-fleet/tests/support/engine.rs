//! A target whose engine executes orders in virtual time.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tansyknot_core::{Error, Result, clock::Time};
use tansyknot_fleet::{
    platform_api::{Action, Order, OrderReply, TargetChange, Targets},
    state::State,
    target::{LoadedModel, Report, StartTime, Target},
};

use super::loaded_model;

/// How a target treats the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderFault {
    /// The order does not reach the target.
    Lost,
    /// The order is executed at once, and its response is lost.
    ResponseLost,
    /// The order has no response and is executed just before the next order.
    Delayed,
    /// The target rejects the order because another one is in progress.
    Busy,
}

/// A target's engine.
#[derive(Default)]
pub(crate) struct FakeEngine {
    pub(crate) started_at: Option<StartTime>,
    pub(crate) models: Vec<LoadedModel>,
    pub(crate) orders: u64,
    pub(crate) faults: VecDeque<OrderFault>,
    pub(crate) delayed: Option<Order>,
    pub(crate) max_models: usize,
    /// Whether the engine reports that it executes an order.
    pub(crate) is_busy: bool,
    /// Whether loads are accepted and never end.
    pub(crate) has_endless_loads: bool,
    /// How long a removal takes, during which other orders are refused.
    pub(crate) removal_time: Duration,
    /// When the last removal ends.
    pub(crate) removing_until: Time,
    /// The number of refused orders.
    pub(crate) refused: u64,
}

/// A target that executes orders at once.
#[derive(Clone, Default)]
pub(crate) struct FakeTarget {
    engine: Arc<Mutex<FakeEngine>>,
    /// The state whose list gets the entry of this target, and the entry at the start.
    listed_in: Option<(Arc<State>, Target)>,
}

impl FakeTarget {
    pub(crate) fn new(models: &[&str]) -> Self {
        let fake = Self::default();
        fake.engine().models = models.iter().map(|m| loaded_model(m, &[])).collect();
        fake.engine().max_models = models.len();
        fake
    }

    /// Creates a target that is in the list of `state`.
    pub(crate) fn in_list(state: &Arc<State>, target: &Target) -> Self {
        let fake = Self { listed_in: Some((Arc::clone(state), target.clone())), ..Self::default() };
        fake.engine().models.clone_from(&target.models);
        fake.engine().max_models = target.models.len();
        state.fleet().apply_full_list(vec![target.clone()], target.version, None, state.now());
        fake
    }

    fn update_list(&self, engine: &FakeEngine) {
        let Some((state, target)) = &self.listed_in else { return };
        let version = 1 + engine.orders;
        let (models, started_at) = (engine.models.clone(), engine.started_at);
        let target = Target { models, started_at, version, ..target.clone() };
        let now = state.now();
        state.fleet().apply_change(TargetChange::Put(Box::new(target)), now);
        state.targets_changed.notify();
    }

    pub(crate) fn engine(&self) -> MutexGuard<'_, FakeEngine> {
        self.engine.lock().expect("the lock is not poisoned")
    }

    /// Returns the names of the loaded models.
    pub(crate) fn models(&self) -> Vec<String> {
        self.engine().models.iter().map(|h| h.model.to_string()).collect()
    }
}

impl FakeEngine {
    fn execute(&mut self, order: &Order, now: Time) -> OrderReply {
        if order.expected_orders != self.orders || now < self.removing_until {
            self.refused += 1;
            return OrderReply::Conflict;
        }
        if let Action::Remove { adapter: None, .. } = &order.action {
            self.removing_until = now + self.removal_time;
        }
        match &order.action {
            Action::Load { .. } if self.has_endless_loads => self.is_busy = true,
            Action::Load { model, adapter: None } => {
                self.models.push(LoadedModel { model: model.clone(), adapters: Vec::new() });
            }
            Action::Remove { model, adapter: None } => self.models.retain(|h| h.model != *model),
            Action::Load { model, adapter: Some(adapter) } => {
                let found = self.models.iter_mut().find(|h| h.model == *model);
                found.expect("the model is loaded").adapters.push(adapter.clone());
            }
            Action::Remove { model, adapter: Some(adapter) } => {
                let found = self.models.iter_mut().find(|h| h.model == *model);
                found.expect("the model is loaded").adapters.retain(|a| a != adapter);
            }
        }
        self.orders += 1;
        self.max_models = self.max_models.max(self.models.len());
        OrderReply::Accepted
    }
}

impl Targets for FakeTarget {
    fn order(&self, _: &Target, order: &Order, allowed: &dyn Fn() -> bool) -> Result<OrderReply> {
        if !allowed() {
            return Err(Error::unreachable("target", "not allowed"));
        }
        let now = self.listed_in.as_ref().map_or(Time::default(), |(state, _)| state.now());
        let mut engine = self.engine();
        if let Some(delayed) = engine.delayed.take() {
            engine.execute(&delayed, now);
        }
        let fault = engine.faults.pop_front();
        let result = match fault {
            None => Ok(engine.execute(order, now)),
            Some(OrderFault::Busy) => Ok(OrderReply::Conflict),
            Some(OrderFault::Lost) => Err(Error::unknown("target", "no response")),
            Some(OrderFault::ResponseLost) => {
                engine.execute(order, now);
                Err(Error::unknown("target", "no response"))
            }
            Some(OrderFault::Delayed) => {
                engine.delayed = Some(order.clone());
                Err(Error::unknown("target", "no response"))
            }
        };
        self.update_list(&engine);
        result
    }

    fn report(&self, _: &Target) -> Result<Report> {
        let engine = self.engine();
        let (accepted_orders, models) = (engine.orders, engine.models.clone());
        let (started_at, busy) = (engine.started_at, engine.is_busy);
        Ok(Report { started_at, busy, accepted_orders, models })
    }
}
