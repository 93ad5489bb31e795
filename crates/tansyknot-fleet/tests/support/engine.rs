//! A target whose engine carries out orders in virtual time.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

use tansyknot_core::{Error, Result};
use tansyknot_fleet::{
    platform_api::{Action, Order, OrderReply, TargetChange, Targets},
    state::State,
    target::{LoadedModel, Report, StartTime, Target},
};

use super::held;

/// How a target answers the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderFault {
    /// The order is lost on the way.
    Lost,
    /// It is carried out at once and not answered.
    AnswerLost,
    /// It is not answered, and carried out when the next order comes, before it.
    Late,
    /// Another order is under way.
    Busy,
}

/// A target's engine.
#[derive(Default)]
pub(crate) struct Engine1 {
    pub(crate) born: Option<StartTime>,
    pub(crate) models: Vec<LoadedModel>,
    pub(crate) orders: u64,
    pub(crate) faults: VecDeque<OrderFault>,
    pub(crate) late: Option<Order>,
    pub(crate) most_models: usize,
}

/// One target that carries out orders at once.
#[derive(Clone, Default)]
pub(crate) struct FakeTarget {
    engine: Arc<Mutex<Engine1>>,
    /// Where its entry in the list is told.
    told: Option<(Arc<State>, Target)>,
}

impl FakeTarget {
    pub(crate) fn new(models: &[&str]) -> Self {
        let fake = Self::default();
        fake.engine().models = models.iter().map(|m| held(m, &[])).collect();
        fake.engine().most_models = models.len();
        fake
    }

    /// Makes a target that is in the list of `state`.
    pub(crate) fn listed(state: &Arc<State>, target: &Target) -> Self {
        let fake = Self { told: Some((Arc::clone(state), target.clone())), ..Self::default() };
        fake.engine().models.clone_from(&target.models);
        fake.engine().most_models = target.models.len();
        state.fleet().apply_full_list(vec![target.clone()], target.version, None, state.now());
        fake
    }

    fn tell(&self, engine: &Engine1) {
        let Some((state, target)) = &self.told else { return };
        let version = 1 + engine.orders;
        let (models, started_at) = (engine.models.clone(), engine.born);
        let target = Target { models, started_at, version, ..target.clone() };
        let now = state.now();
        state.fleet().apply_change(TargetChange::Put(Box::new(target)), now);
        state.targets_changed.notify();
    }

    pub(crate) fn engine(&self) -> MutexGuard<'_, Engine1> {
        self.engine.lock().expect("no test panics with it")
    }

    /// Returns the names of the models that it holds.
    pub(crate) fn models(&self) -> Vec<String> {
        self.engine().models.iter().map(|h| h.model.to_string()).collect()
    }
}

impl Engine1 {
    fn carry_out(&mut self, order: &Order) -> OrderReply {
        if order.expected_orders != self.orders {
            return OrderReply::Conflict;
        }
        match &order.action {
            Action::Load { model, adapter: None } => {
                self.models.push(LoadedModel { model: model.clone(), adapters: Vec::new() });
            }
            Action::Remove { model, adapter: None } => self.models.retain(|h| h.model != *model),
            Action::Load { model, adapter: Some(adapter) } => {
                let found = self.models.iter_mut().find(|h| h.model == *model);
                found.expect("the model is there").adapters.push(adapter.clone());
            }
            Action::Remove { model, adapter: Some(adapter) } => {
                let found = self.models.iter_mut().find(|h| h.model == *model);
                found.expect("the model is there").adapters.retain(|a| a != adapter);
            }
        }
        self.orders += 1;
        self.most_models = self.most_models.max(self.models.len());
        OrderReply::Accepted
    }
}

impl Targets for FakeTarget {
    fn order(&self, _: &Target, order: &Order, allowed: &dyn Fn() -> bool) -> Result<OrderReply> {
        if !allowed() {
            return Err(Error::unreachable("target", "not allowed"));
        }
        let mut engine = self.engine();
        if let Some(late) = engine.late.take() {
            engine.carry_out(&late);
        }
        let fault = engine.faults.pop_front();
        let result = match fault {
            None => Ok(engine.carry_out(order)),
            Some(OrderFault::Busy) => Ok(OrderReply::Conflict),
            Some(OrderFault::Lost) => Err(Error::unknown("target", "no answer")),
            Some(OrderFault::AnswerLost) => {
                engine.carry_out(order);
                Err(Error::unknown("target", "no answer"))
            }
            Some(OrderFault::Late) => {
                engine.late = Some(order.clone());
                Err(Error::unknown("target", "no answer"))
            }
        };
        self.tell(&engine);
        result
    }

    fn report(&self, _: &Target) -> Result<Report> {
        let engine = self.engine();
        let (accepted_orders, models) = (engine.orders, engine.models.clone());
        Ok(Report { born: engine.born, busy: false, accepted_orders, models })
    }
}
