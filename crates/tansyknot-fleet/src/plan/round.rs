//! The view that one round of planning works on, summed up once so that no model costs a pass.

use std::{collections::HashMap, ops::RangeInclusive, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName},
};

use super::{Planner, STEP_SPAN};
use crate::{catalog::Engine, target::Target};

/// What is asked of one model, and where it is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ModelView {
    /// Requests that wait for the model alone.
    pub(super) waiting: u32,
    /// Requests that wait for one of its adapters.
    pub(super) adapters_waiting: u32,
    /// Requests that wait for the model or an adapter and can still be on time.
    pub(super) on_time: u32,
    /// How long the first of all that wait has waited.
    pub(super) waited: Duration,
    /// Arrivals a second.
    pub(super) rate: f64,
    /// Requests at targets.
    pub(super) in_flight: u32,
    /// Targets that hold it.
    pub(super) copies: usize,
}

impl ModelView {
    /// Returns the requests that wait for the model, those for an adapter with them: they wait for
    /// the model as well while it is nowhere.
    pub(super) fn all_waiting(&self) -> u32 {
        self.waiting + self.adapters_waiting
    }
}

/// What one round plans for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scope<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) engine: &'a Engine,
    /// The longest objective of the routes that lead to the service.
    pub(super) objective: Duration,
    pub(super) now: Time,
}

impl Scope<'_> {
    /// Returns how long a request may wait for a model before a load from disk is too late for it
    /// to be on time.
    fn fresh_for(&self, model: &ModelName) -> Duration {
        let load = self.engine.models.get(model).map_or(Duration::ZERO, |about| about.load_disk);
        self.objective.saturating_sub(load + STEP_SPAN)
    }
}

/// A target that can be reached, and from when it may be ordered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reached<'a> {
    pub(super) target: &'a Arc<Target>,
    pub(super) opens_at: Time,
}

/// The view that one round of planning works on.
#[derive(Debug)]
pub(super) struct Round<'a> {
    pub(super) scope: Scope<'a>,
    pub(super) targets: Vec<&'a Arc<Target>>,
    /// From when those targets may be ordered that may not now.
    rests: HashMap<TargetName, Time>,
    models: HashMap<ModelName, ModelView>,
    in_flight: HashMap<(TargetName, ModelName), u32>,
    in_flight_at: HashMap<TargetName, u32>,
    /// How long a request is at a target, in seconds: requests there for each one a second.
    stay_s: f64,
}

/// Bounds on what is taken for the stay of a request at a target, in seconds, as few requests
/// make a poor mean. Rare requests of the users' sites take 0.2 to 1.5 s.
const STAY_S: RangeInclusive<f64> = 0.3..=3.0;
/// A model whose requests should keep it in use for longer than this, in seconds, is not waited
/// for: a load from the weight store elsewhere takes no longer.
const IDLE_MOST_S: f64 = 4.0;

impl<'a> Round<'a> {
    /// Sums up what the planner knows of the service's models and the targets that can be reached.
    pub(super) fn new(planner: &Planner, scope: Scope<'a>, reached: &[Reached<'a>]) -> Self {
        let resting = reached.iter().filter(|r| scope.now < r.opens_at);
        let rests = resting.map(|r| (r.target.name.clone(), r.opens_at)).collect();
        let targets: Vec<&Arc<Target>> = reached.iter().map(|r| r.target).collect();
        let mut models: HashMap<ModelName, ModelView> = HashMap::new();
        for ((service, model, adapter), demand) in &planner.demand {
            if service != scope.service {
                continue;
            }
            let view = models.entry(model.clone()).or_default();
            if adapter.is_some() {
                view.adapters_waiting += demand.waiting();
            } else {
                view.waiting += demand.waiting();
                view.rate += demand.rate_at(scope.now);
            }
            view.on_time += demand.waiting_within(scope.fresh_for(model), scope.now);
            view.waited = view.waited.max(demand.waited(scope.now));
        }
        for held in targets.iter().flat_map(|t| &t.models) {
            models.entry(held.model.clone()).or_default().copies += 1;
        }
        let mut in_flight: HashMap<(TargetName, ModelName), u32> = HashMap::new();
        let mut in_flight_at: HashMap<TargetName, u32> = HashMap::new();
        for f in planner.daemons.values().flat_map(|d| &d.in_flight) {
            let Some(model) = &f.model else { continue };
            let count = u32::from(f.count);
            *in_flight.entry((f.target.clone(), model.clone())).or_default() += count;
            *in_flight_at.entry(f.target.clone()).or_default() += count;
            models.entry(model.clone()).or_default().in_flight += count;
        }
        let rate: f64 = models.values().map(|view| view.rate).sum();
        let there: u32 = in_flight_at.values().sum();
        let stay = f64::from(there) / rate.max(f64::MIN_POSITIVE);
        let stay_s = stay.clamp(*STAY_S.start(), *STAY_S.end());
        Self { scope, targets, rests, models, in_flight, in_flight_at, stay_s }
    }

    /// Returns how long a copy that is in use should be so, in seconds: the busy period of a
    /// queue that serves all at once. `None` if that is too long to be waited for.
    pub(super) fn idle_in_s(&self, view: &ModelView) -> Option<f64> {
        let rate = view.rate / view.copies.max(1) as f64;
        let busy = if rate > 0.0 { (rate * self.stay_s).exp_m1() / rate } else { self.stay_s };
        (busy < IDLE_MOST_S).then_some(busy)
    }

    /// Returns the models of the engine that are asked for or held.
    pub(super) fn models(&self) -> impl Iterator<Item = (&ModelName, &ModelView)> {
        self.models.iter().filter(|(model, _)| self.scope.engine.models.contains_key(*model))
    }

    /// Returns what is asked of a model; nothing if nobody asks for it.
    pub(super) fn model(&self, model: &ModelName) -> ModelView {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Returns the requests for a model at a target.
    pub(super) fn in_flight(&self, target: &TargetName, model: &ModelName) -> u32 {
        self.in_flight.get(&(target.clone(), model.clone())).copied().unwrap_or(0)
    }

    /// Returns how long a target may not be ordered yet; `None` if it may.
    pub(super) fn rests_for(&self, target: &TargetName) -> Option<Duration> {
        self.rests.get(target).map(|at| at.since(self.scope.now))
    }

    /// Returns the requests for models at a target.
    pub(super) fn in_flight_at(&self, target: &TargetName) -> u32 {
        self.in_flight_at.get(target).copied().unwrap_or(0)
    }
}
