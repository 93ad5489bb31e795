//! Selects the target at which a model is loaded, and the models that are evicted there.

use std::{collections::HashMap, iter, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, TargetName},
};

use super::{
    ORDER_OVERHEAD, Planner, Round, Step, Task, Tier,
    eviction::{self, Eviction, Victim},
    model_mb, needed_copies,
    round::ModelView,
    used_mb,
};
use crate::{catalog::Model, platform_api::Action, scheduling::CopyPolicy, target::Target};

/// The remaining time assumed for a task that should be done by now: the end of 90% of loads is
/// reported within 0.1 s.
const OVERDUE_TASK_REMAINING: Duration = Duration::from_millis(100);
/// The cost of evicting a model that gets one request per second, in seconds of load time: loading
/// it again from disk takes about 0.5 s, and the load delays others at its target.
pub(super) const EVICTION_LOSS_S: f64 = 0.7;
/// The longest time, in seconds, that the removal of a model should wait for requests that run. The
/// next order is given up after 4.7 s, and the requests may take longer than expected.
const MAX_DRAIN_S: f64 = 3.0;
/// The factor on [`EVICTION_LOSS_S`] for a copy that is not needed.
const SPARE_COPY_WEIGHT: f64 = 0.1;
/// The share of the loads allowed by the weight store within [`REMOTE_WINDOW`] that one planner
/// uses, so that two planners in succession stay below the platform's limit.
const REMOTE_LOAD_SHARE: f64 = 0.45;
/// The window in which loads from the weight store are counted.
pub(super) const REMOTE_WINDOW: Duration = Duration::from_secs(5);
/// The maximum number of concurrent loads from the weight store, if it is fixed. Beyond the
/// number that a store serves at full speed, its loads slow each other down.
pub(super) const MAX_CONCURRENT_REMOTE_LOADS: usize = 4;
/// The maximum cost of a slow target for the first copy of a model, in seconds. Its callers wait for
/// the load, so that a fast target is not worth a much longer wait.
const MAX_FIRST_COPY_SLOWNESS_COST_S: f64 = 2.0;
/// The share of an engine's slots in use above which no copy is added there.
const BUSY_SLOT_SHARE: f64 = 0.8;

/// The loads that are considered in a round.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadQueue {
    /// How long targets are occupied by the loads that wait for them.
    pub(super) delays: HashMap<TargetName, Duration>,
    /// Whether loads from the weight store are considered for models that no target holds.
    pub(super) awaits_first_copies: bool,
}

/// Where a model is loaded, and when it should be ready.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) target: TargetName,
    pub(super) ready_in: Duration,
    /// The orders, if they can be sent now.
    pub(super) task: Option<Task>,
}

/// A placement and its cost in seconds.
#[derive(Clone, Debug)]
struct CostedPlacement {
    cost: f64,
    placement: Placement,
}

impl CostedPlacement {
    fn with_added_cost(self, cost: f64) -> Self {
        Self { cost: self.cost + cost, ..self }
    }
}

impl Planner {
    /// Selects the target where a model can be loaded soonest at the lowest cost, behind the loads
    /// in `queue`.
    pub(super) fn place(
        &self,
        round: &Round<'_>,
        queue: &LoadQueue,
        model: &ModelName,
    ) -> Option<Placement> {
        let spec = round.scope.engine.models.get(model)?;
        let is_extra = round.model(model).copies > 0;
        let is_remote_load_allowed = self.is_remote_load_allowed(round, queue, spec)
            && self.may_use_weight_store(round, model);
        let is_eligible = |t: &&&Arc<Target>| {
            !t.holds(model, None)
                && (!is_extra || !is_busy(round, t))
                && !self.occupied.is_busy_for_unknown_time(&t.name, round.scope.now)
        };
        let mut best: Option<CostedPlacement> = None;
        for target in round.targets.iter().filter(is_eligible) {
            let tier = Tier::of(target, model);
            if tier == Tier::Remote && !is_remote_load_allowed {
                continue;
            }
            let slowness_cost_s = self.slowness_cost_s(round, &target.name, model);
            let max_cost = best.as_ref().map_or(f64::INFINITY, |best| best.cost);
            let placement =
                self.evaluate(round, queue, target, tier, spec, max_cost - slowness_cost_s);
            best = placement.map(|p| p.with_added_cost(slowness_cost_s)).or(best);
        }
        Some(best?.placement)
    }

    /// Returns the placement of a load at a target; `None` if it is not possible there or costs
    /// `max_cost` seconds or more.
    fn evaluate(
        &self,
        round: &Round<'_>,
        queue: &LoadQueue,
        target: &Arc<Target>,
        tier: Tier,
        spec: &Model,
        max_cost: f64,
    ) -> Option<CostedPlacement> {
        let load_time = self.loads.expected_duration(tier, spec, self.beginning_remote_loads());
        let free_in = self.free_in(round, queue, &target.name);
        let queueing_cost_s = self.queueing_cost_s(round, &target.name, load_time);
        let min_ready_in = free_in.unwrap_or_default() + ORDER_OVERHEAD + load_time;
        if min_ready_in.as_secs_f64() + queueing_cost_s >= max_cost {
            return None;
        }
        let eviction = self.choose_eviction(round, target, spec)?;
        if !self.is_worth(round, &spec.name, &eviction) {
            return None;
        }
        let overhead = ORDER_OVERHEAD * (eviction.victims.len() as u32 + 1);
        let wait = free_in.unwrap_or_default().max(Duration::from_secs_f64(eviction.wait_s));
        let ready_in = wait + Duration::from_secs_f64(eviction.drain_s) + overhead + load_time;
        let cost = ready_in.as_secs_f64() + eviction.loss_s + queueing_cost_s;
        if cost >= max_cost {
            return None;
        }
        let is_free = free_in.is_none() && eviction.wait_s == 0.0;
        let task = is_free.then(|| load_task(target, &eviction, spec, tier));
        Some(CostedPlacement {
            cost,
            placement: Placement { target: target.name.clone(), ready_in, task },
        })
    }

    /// Returns the total delay, in seconds, that a load of duration `load_time` at a target causes
    /// for other loads: those that arrive meanwhile wait for half of it on average. A load from the
    /// weight store occupies a target for as long as a dozen loads from disk. Ignoring this delay
    /// costs 0.018 of the requests' worth and lowers the share of rare requests in time from 0.76
    /// to 0.71.
    fn queueing_cost_s(&self, round: &Round<'_>, target: &TargetName, load_time: Duration) -> f64 {
        let loads_per_s =
            self.local_loads.get(target).map_or(0.0, |loads| loads.rate_at(round.scope.now));
        let load_time_s = load_time.as_secs_f64();
        loads_per_s * load_time_s * load_time_s / 2.0
    }

    /// Returns what the slowness of a target costs the requests of another copy of a model there:
    /// their additional time, per second of use. Models with many requests therefore go to fast
    /// targets, and rare ones fill the slow targets.
    fn slowness_cost_s(&self, round: &Round<'_>, target: &TargetName, model: &ModelName) -> f64 {
        let Some(slowness) = self.slowness.get(target) else { return 0.0 };
        let view = round.model(model);
        let rate = view.rate / (view.copies + 1) as f64;
        let cost = rate * round.request_time_s() * (slowness - 1.0).max(0.0);
        if view.copies == 0 { cost.min(MAX_FIRST_COPY_SLOWNESS_COST_S) } else { cost }
    }

    /// Returns when a target should be done with its task and queued loads, or accepts one again
    /// after a failure, another order or a cooldown; `None` if it is free.
    fn free_in(
        &self,
        round: &Round<'_>,
        queue: &LoadQueue,
        target: &TargetName,
    ) -> Option<Duration> {
        let now = round.scope.now;
        let pending =
            self.pending.get(target).map(|p| p.done_at.since(now).max(OVERDUE_TASK_REMAINING));
        let occupied = self.occupied.delay(target, now);
        pending.max(occupied).max(round.cooldown(target)).max(queue.delays.get(target).copied())
    }

    /// Selects the models to evict from `target` for `spec` at the lowest cost.
    fn choose_eviction(
        &self,
        round: &Round<'_>,
        target: &Target,
        spec: &Model,
    ) -> Option<Eviction> {
        let engine = round.scope.engine;
        let used_mb = used_mb(engine, target) + self.pending_mb(round, target);
        let free_mb = engine.memory_mb - used_mb;
        let victims =
            target.models.iter().filter_map(|held| self.victim(round, target, &held.model, spec));
        eviction::cheapest(spec.memory_mb - free_mb, victims.collect())
    }

    /// Returns what the eviction of a model from a target for `spec` frees and costs; `None` if the
    /// model must stay.
    fn victim(
        &self,
        round: &Round<'_>,
        target: &Target,
        model: &ModelName,
        spec: &Model,
    ) -> Option<Victim> {
        let mut view = round.model(model);
        view.copies = view.copies.saturating_sub(self.removals_begun(round, model));
        let copy = (target.name.clone(), model.clone());
        let is_leaving = self.is_removing(&target.name, model);
        if is_leaving || self.settling.contains_key(&copy) || (view.copies <= 1 && view.waiting > 0)
        {
            return None;
        }
        let (wait_s, drain_s) = match round.in_flight(&target.name, model) {
            0 => (0.0, 0.0),
            requests => free_of_requests_in_s(round, &view, requests, spec)?,
        };
        Some(Victim {
            model: model.clone(),
            frees_mb: model_mb(round.scope.engine, target, model),
            loss_s: loss_s(round, &view),
            wait_s,
            drain_s,
        })
    }

    /// Counts a load from the weight store that is about to be ordered.
    pub fn count_remote_load(&mut self, now: Time) {
        self.remote_loads.retain(|at| now.since(*at) < REMOTE_WINDOW);
        self.remote_loads.push_back(now);
    }

    /// Returns how long a load of a model beside the present ones takes.
    pub(super) fn expected_load_time(
        &self,
        round: &Round<'_>,
        tier: Tier,
        model: &ModelName,
    ) -> Duration {
        let expected =
            |spec| self.loads.expected_duration(tier, spec, self.beginning_remote_loads());
        round.scope.engine.models.get(model).map_or(Duration::ZERO, expected)
    }

    /// Returns whether a model that no target holds must be loaded from the weight store.
    pub(super) fn awaits_first_copy(&self, round: &Round<'_>, model: &ModelName) -> bool {
        let is_remote = |t: &&Arc<Target>| Tier::of(t, model) == Tier::Remote;
        round.model(model).copies == 0 && round.targets.iter().all(is_remote)
    }

    pub(super) fn is_remote_load_allowed(
        &self,
        round: &Round<'_>,
        queue: &LoadQueue,
        spec: &Model,
    ) -> bool {
        if !self.has_remote_capacity(round, queue, spec) {
            return false;
        }
        let is_recent = |at: &&Time| round.scope.now.since(**at) < REMOTE_WINDOW;
        let started = self.remote_loads.iter().filter(is_recent).count();
        let max_loads =
            round.scope.engine.loads_per_s * REMOTE_WINDOW.as_secs_f64() * REMOTE_LOAD_SHARE;
        (started as f64) < max_loads.floor().max(1.0)
    }
}

/// Returns whether a target is so busy that no copy is added there.
fn is_busy(round: &Round<'_>, target: &Target) -> bool {
    let max_in_flight = BUSY_SLOT_SHARE * f64::from(round.scope.engine.slots);
    f64::from(round.in_flight_at(&target.name)) > max_in_flight
}

/// Returns the cost of losing a copy of a model, in seconds of load time.
fn loss_s(round: &Round<'_>, view: &ModelView) -> f64 {
    let callers_per_s = match round.copies {
        CopyPolicy::RateSteps if view.copies > needed_copies(round, view) => {
            view.rate * SPARE_COPY_WEIGHT
        }
        CopyPolicy::RateSteps => view.rate,
        CopyPolicy::ServiceTime => round.copy_value_per_s(view, view.copies),
    };
    callers_per_s * EVICTION_LOSS_S
}

/// Returns how long to wait until a copy with `requests` requests is idle, and how long its removal
/// should wait for them, in seconds; one of these is zero. `None` if both take too long.
///
/// A copy that others can replace, or that makes room for a further copy of a model with more
/// demand, is removed at once: daemons send it no further requests, and those that run there end.
fn free_of_requests_in_s(
    round: &Round<'_>,
    view: &ModelView,
    requests: u32,
    spec: &Model,
) -> Option<(f64, f64)> {
    let is_extra = round.model(&spec.name).copies > 0;
    let is_drained = round.copies == CopyPolicy::ServiceTime && (is_extra || view.copies > 1);
    if !is_drained {
        return Some((round.idle_in_s(view)?, 0.0));
    }
    let drain_s = round.drain_s(view, requests);
    (drain_s < MAX_DRAIN_S).then_some((0.0, drain_s))
}

fn load_task(target: &Arc<Target>, eviction: &Eviction, spec: &Model, tier: Tier) -> Task {
    // The removals of all victims wait for requests at the same time.
    let drains = iter::once(Duration::from_secs_f64(eviction.drain_s));
    let durations = drains.chain(iter::repeat(Duration::ZERO));
    let remove = |(model, expected_duration): (&ModelName, Duration)| Step {
        action: Action::Remove { model: model.clone(), adapter: None },
        expected_duration,
    };
    let mut steps: Vec<Step> = eviction.victims.iter().zip(durations).map(remove).collect();
    let action = Action::Load { model: spec.name.clone(), adapter: None };
    steps.push(Step { action, expected_duration: tier.load_time(spec) });
    Task { target: Arc::clone(target), steps }
}
