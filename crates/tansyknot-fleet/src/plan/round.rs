//! The state that one planning round works on, aggregated once so that no model needs a pass of its
//! own.

use std::{
    collections::{HashMap, HashSet},
    ops::RangeInclusive,
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, SoftwareVersion, TargetName},
};
use tansyknot_policy::copies::CopyDemand;

use super::{ORDER_OVERHEAD, Planner, TWO_COPIES_RATE_PER_S, Tier};
use crate::{bounds::Bounds, catalog::Engine, scheduling::CopyPolicy, target::Target};

/// The demand for one model, and its copies.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ModelView {
    /// Requests that wait for the model without an adapter.
    pub(super) waiting: u32,
    /// Requests that wait for one of its adapters.
    pub(super) adapters_waiting: u32,
    /// Requests that wait for the model or an adapter and can still be on time.
    pub(super) on_time: u32,
    /// Requests that wait for the model or an adapter and can still be served within the longest
    /// time budget.
    pub(super) in_time: u32,
    /// How long the oldest waiting request has waited.
    pub(super) longest_wait: Duration,
    /// Arrivals per second.
    pub(super) rate: f64,
    /// Arrivals per second over a long time.
    pub(super) slow_rate: f64,
    /// Arrivals per second that are expected when a load that begins now ends.
    pub(super) expected_rate: f64,
    /// The mean time that a request spends at a target, in seconds.
    pub(super) request_time_s: f64,
    /// Requests at targets.
    pub(super) in_flight: u32,
    /// Targets that hold it.
    pub(super) copies: usize,
    /// Whether the round may order further copies.
    pub(super) is_in_scope: bool,
}

impl ModelView {
    /// Returns the number of requests that wait for the model or one of its adapters, as the latter
    /// also wait for the model while no target holds it.
    pub(super) fn all_waiting(&self) -> u32 {
        self.waiting + self.adapters_waiting
    }
}

/// The service that one round plans for, and the time of the round.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scope<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) engine: &'a Engine,
    /// The longest objective of the routes that lead to the service.
    pub(super) objective: Duration,
    /// The longest time budget of these routes: no request waits longer.
    pub(super) max_wait: Duration,
    /// The targets to which the demand of the round is bound.
    pub(super) bounds: &'a Bounds,
    /// The software of all targets of the service, if it is one version.
    pub(super) sole_software: Option<&'a SoftwareVersion>,
    pub(super) now: Time,
}

impl Scope<'_> {
    /// Returns whether the round may use a target of the service.
    pub(super) fn allows(&self, target: &Target) -> bool {
        self.bounds.allows(target)
    }

    /// Returns whether the round plans for demand with these bounds.
    pub(super) fn includes(&self, bounds: &Bounds) -> bool {
        bounds.among(self.sole_software) == *self.bounds
    }
}

/// The storage from which the targets of a round can load models.
#[derive(Debug, Default)]
struct Storage<'a> {
    in_memory: HashSet<&'a ModelName>,
    on_disk: HashSet<&'a ModelName>,
}

impl<'a> Storage<'a> {
    fn of(targets: &[&'a Arc<Target>]) -> Self {
        Self {
            in_memory: targets.iter().flat_map(|t| &t.in_memory).collect(),
            on_disk: targets.iter().flat_map(|t| &t.on_disk).collect(),
        }
    }

    /// Returns the nearest storage from which any target can load `model`.
    fn nearest(&self, model: &ModelName) -> Tier {
        if self.in_memory.contains(model) {
            Tier::Memory
        } else if self.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Remote
        }
    }
}

/// A target that can be reached, and from when orders may be sent to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReachableTarget<'a> {
    pub(super) target: &'a Arc<Target>,
    pub(super) opens_at: Time,
}

/// The state that one planning round works on.
#[derive(Debug)]
pub(super) struct Round<'a> {
    pub(super) scope: Scope<'a>,
    pub(super) copies: CopyPolicy,
    storage: Storage<'a>,
    pub(super) targets: Vec<&'a Arc<Target>>,
    /// When the cooldowns of targets end that may not receive orders now.
    cooldowns: HashMap<TargetName, Time>,
    models: HashMap<ModelName, ModelView>,
    in_flight: HashMap<(TargetName, ModelName), u32>,
    in_flight_at: HashMap<TargetName, u32>,
    /// The mean time that a request spends at a target, in seconds: requests at targets divided by
    /// arrivals per second.
    request_time_s: f64,
}

/// Bounds on the mean time that a request spends at a target, in seconds, as the mean of a few
/// requests is unreliable. Rare requests take 0.2 to 1.5 s.
pub(super) const REQUEST_TIME_BOUNDS_S: RangeInclusive<f64> = 0.3..=3.0;
/// The value of the second copy of a model that one copy could serve, as a share of its callers: it
/// spares them a cold start if a target is lost.
const RESERVE_COPY_VALUE: f64 = 0.03;
/// The value of a copy beyond those that are needed, as a share of the model's callers. Of several
/// such copies, that of the least requested model is evicted first.
const SPARE_COPY_VALUE: f64 = 0.01;
/// The longest time, in seconds, to wait for a model to become idle. A load from the weight store
/// at another target takes no longer.
const MAX_IDLE_WAIT_S: f64 = 4.0;

impl<'a> Round<'a> {
    /// Aggregates the demand for the service's models and the targets that can be reached.
    pub(super) fn new(
        planner: &Planner,
        scope: Scope<'a>,
        reachable: &[ReachableTarget<'a>],
    ) -> Self {
        let cooling_down = reachable.iter().filter(|r| scope.now < r.opens_at);
        let cooldowns = cooling_down.map(|r| (r.target.name.clone(), r.opens_at)).collect();
        let targets: Vec<&Arc<Target>> = reachable.iter().map(|r| r.target).collect();
        let storage = match planner.copies {
            CopyPolicy::RateSteps => Storage::default(),
            CopyPolicy::ServiceTime => Storage::of(&targets),
        };
        let load_time = |model| load_time(&scope, planner.copies, &storage, model);
        let mut models: HashMap<ModelName, ModelView> = HashMap::new();
        for (key, demand) in planner.demand.iter().filter(|(key, _)| key.service == *scope.service)
        {
            let model = &key.model;
            let view = models.entry(model.clone()).or_default();
            let load_takes = load_time(model) + ORDER_OVERHEAD;
            if key.adapter.is_none() {
                view.rate += demand.rate_at(scope.now);
                view.slow_rate += demand.slow_rate_at(scope.now);
                view.expected_rate += demand.expected_rate(load_takes, scope.now);
            }
            if !scope.includes(&key.bounds) {
                continue;
            }
            view.is_in_scope = true;
            match key.adapter {
                Some(_) => view.adapters_waiting += demand.waiting(),
                None => view.waiting += demand.waiting(),
            }
            // A request that has waited for less is served within the limit after a load.
            let max_wait = |limit: Duration| limit.saturating_sub(load_takes);
            view.on_time += demand.waiting_within(max_wait(scope.objective), scope.now);
            view.in_time += demand.waiting_within(max_wait(scope.max_wait), scope.now);
            view.longest_wait = view.longest_wait.max(demand.longest_wait(scope.now));
        }
        for target in &targets {
            for held in &target.models {
                let view = models.entry(held.model.clone()).or_default();
                view.copies += usize::from(!planner.is_removing(&target.name, &held.model));
                view.is_in_scope |= scope.bounds.is_unbound();
            }
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
        let total_in_flight: u32 = in_flight_at.values().sum();
        let mean_s = f64::from(total_in_flight) / rate.max(f64::MIN_POSITIVE);
        let request_time_s =
            mean_s.clamp(*REQUEST_TIME_BOUNDS_S.start(), *REQUEST_TIME_BOUNDS_S.end());
        for (model, view) in &mut models {
            view.request_time_s = planner.in_flight_means.request_time_s(
                scope.service,
                model,
                view.slow_rate,
                request_time_s,
            );
        }
        Self {
            scope,
            copies: planner.copies,
            storage,
            targets,
            cooldowns,
            models,
            in_flight,
            in_flight_at,
            request_time_s,
        }
    }

    /// Returns the nearest storage from which any target can load a model; the weight store under
    /// [`CopyPolicy::RateSteps`].
    pub(super) fn nearest_tier(&self, model: &ModelName) -> Tier {
        self.storage.nearest(model)
    }

    /// Returns how long a load of a model should take: from the nearest storage that any target
    /// has, or from disk under [`CopyPolicy::RateSteps`].
    pub(super) fn load_time(&self, model: &ModelName) -> Duration {
        load_time(&self.scope, self.copies, &self.storage, model)
    }

    /// Returns the demand for the copies of a model.
    pub(super) fn copy_demand(&self, view: &ModelView) -> CopyDemand {
        CopyDemand {
            rate: view.expected_rate,
            request_time_s: view.request_time_s,
            in_flight: view.in_flight,
            slots: self.scope.engine.slots,
        }
    }

    /// Returns the value of the last of `copies` copies of a model, in callers per second: those
    /// whom the others can't serve, and what the copy is worth if a target is lost.
    pub(super) fn copy_value_per_s(&self, view: &ModelView, copies: usize) -> f64 {
        let has_reserve = view.rate > TWO_COPIES_RATE_PER_S && copies <= 2;
        let share = if has_reserve { RESERVE_COPY_VALUE } else { SPARE_COPY_VALUE };
        self.copy_demand(view).served_by_last_per_s(copies).max(view.rate * share)
    }

    /// Returns how long it should take until `requests` requests for a model that run at a target
    /// have ended, in seconds, if no others are sent there: the expected longest of exponentially
    /// distributed times.
    pub(super) fn drain_s(&self, view: &ModelView, requests: u32) -> f64 {
        view.request_time_s * (1.0 + f64::from(requests.max(1)).ln())
    }

    /// Returns how long a copy that is in use should stay so, in seconds: the busy period of a
    /// queue that serves all requests at once (M/G/∞). `None` if that is too long to wait for.
    pub(super) fn idle_in_s(&self, view: &ModelView) -> Option<f64> {
        let rate = view.rate / view.copies.max(1) as f64;
        let busy_s = if rate > 0.0 {
            (rate * self.request_time_s).exp_m1() / rate
        } else {
            self.request_time_s
        };
        (busy_s < MAX_IDLE_WAIT_S).then_some(busy_s)
    }

    /// Returns the models of the engine that are requested or loaded.
    pub(super) fn models(&self) -> impl Iterator<Item = (&ModelName, &ModelView)> {
        self.models.iter().filter(|(model, _)| self.scope.engine.models.contains_key(*model))
    }

    /// Returns the demand for a model and its copies; zero for a model that is neither requested
    /// nor loaded.
    pub(super) fn model(&self, model: &ModelName) -> ModelView {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Returns the mean time that a request spends at a target, in seconds.
    pub(super) fn request_time_s(&self) -> f64 {
        self.request_time_s
    }

    /// Returns the number of requests for a model at a target.
    pub(super) fn in_flight(&self, target: &TargetName, model: &ModelName) -> u32 {
        self.in_flight.get(&(target.clone(), model.clone())).copied().unwrap_or(0)
    }

    /// Returns the remaining cooldown of a target; `None` if orders may be sent to it.
    pub(super) fn cooldown(&self, target: &TargetName) -> Option<Duration> {
        self.cooldowns.get(target).map(|at| at.since(self.scope.now))
    }

    /// Returns the number of requests for models at a target.
    pub(super) fn in_flight_at(&self, target: &TargetName) -> u32 {
        self.in_flight_at.get(target).copied().unwrap_or(0)
    }
}

fn load_time(
    scope: &Scope<'_>,
    copies: CopyPolicy,
    storage: &Storage<'_>,
    model: &ModelName,
) -> Duration {
    let Some(spec) = scope.engine.models.get(model) else { return Duration::ZERO };
    match copies {
        CopyPolicy::RateSteps => spec.load_disk,
        CopyPolicy::ServiceTime => storage.nearest(model).load_time(spec),
    }
}
