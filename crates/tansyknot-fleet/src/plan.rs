//! Decides the planner's orders: which model is loaded at which target, and which models are
//! evicted for it.

mod adapters;
mod demand;
mod eviction;
mod loads;
mod occupied;
mod place;
mod rate_mean;
mod request_time;
mod round;
mod tier;
mod unplaced;
mod value;

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    iter,
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, SoftwareVersion, TargetName},
};

use crate::{
    bounds::Bounds,
    catalog::{Catalog, Engine},
    dissemination::message::{self, DemandKey, PendingLoad},
    platform_api::Action,
    scheduling::CopyPolicy,
    target::Target,
    task::TaskOutcome,
};

pub use demand::DAEMON_TIMEOUT;
use demand::{Daemon, Demand};
use loads::RunningLoads;
use occupied::OccupiedTargets;
use place::LoadQueue;
use rate_mean::RateMean;
use request_time::InFlightMeans;
use round::{ModelView, ReachableTarget, Round, Scope};
pub use tier::Tier;
use unplaced::Unplaced;
pub use unplaced::{UnplacedChange, UnplacedReason};

/// The maximum number of requests in flight per copy; above it, another copy is loaded.
const MAX_REQUESTS_PER_COPY: f64 = 20.0;
/// The same limit as a share of an engine's slots, which its other models need too. With a share of
/// 0.45, queries are late more often.
const COPY_SLOT_SHARE: f64 = 0.3;
/// Arrivals per second above which a model has two copies, so that the loss of one target does not
/// cause a cold start.
const TWO_COPIES_RATE_PER_S: f64 = 1.5;
/// Arrivals per second above which a model has three copies, as reading prompts slows down token
/// generation.
const THREE_COPIES_RATE_PER_S: f64 = 8.0;
/// What an order takes in addition to the load itself: the call, and the report of its end.
const ORDER_OVERHEAD: Duration = Duration::from_millis(100);
/// A loaded model is not evicted until a request has been seen at the target, or for this long if
/// none arrives: daemons with waiting requests learn of the load by datagrams, which may be lost
/// and repeated. A fixed delay alone leaves a target idle for over 1 s after 25% of loads, which
/// costs 0.037 of the requests' worth.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The urgency of a model that no target holds, if the waiting requests can still be on time.
const ON_TIME_URGENCY: f64 = 1000.0;
/// The urgency of a model that no target holds, if the waiting requests can no longer be on time.
const LATE_URGENCY: f64 = 500.0;
/// Requests that have waited this long although there are copies can't use those copies. A timeout
/// of 0.6 s, two heartbeat intervals, orders loads for requests that are already on their way to a
/// target.
const UNUSABLE_COPIES_TIMEOUT: Duration = Duration::from_millis(2500);
/// The urgency of a model that is requested and whose only copies are in drained zones: before
/// further copies, after models that requests wait for.
const DISPLACED_URGENCY: f64 = 250.0;
/// Arrivals per second below which such a model is loaded elsewhere only once a request waits.
const MIN_DISPLACED_RATE_PER_S: f64 = 0.05;
/// The urgency of a model that no target holds and that is requested often.
const HIGH_RATE_URGENCY: f64 = 3000.0;
/// The urgency of another copy of a model whose copies are overloaded.
const OVERLOAD_URGENCY: f64 = 2000.0;
/// The time constant, in seconds, of the mean rate of local loads at a target. It equals the
/// duration of a load from the weight store, which is weighed against local loads.
const LOCAL_LOADS_TIME_CONSTANT_S: f64 = 6.0;
/// Local loads per second below which a target's mean is dropped; the mean of a single load reaches
/// this rate after a minute. Lower rates have no effect, and targets that were removed must not be
/// retained.
const MIN_LOCAL_LOADS_PER_S: f64 = 1e-5;

/// Orders for one target, carried out one after another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// The target as it was when the task was created.
    pub target: Arc<Target>,
    /// The orders; none if the task only asks for a report, to check whether a load has ended.
    pub steps: Vec<Step>,
}

/// One order of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// What to do.
    pub action: Action,
    /// The expected duration.
    pub expected_duration: Duration,
}

#[derive(Clone, Debug)]
struct PendingTask {
    service: ServiceName,
    target: Arc<Target>,
    loads: Vec<ModelName>,
    /// How long the load of a model takes if no other slows it down.
    load_time: Duration,
    removes: Vec<ModelName>,
    /// The requests that waited for the loads when the task began.
    callers: u32,
    began: Time,
    /// When the last order should be done.
    done_at: Time,
    is_remote: bool,
    is_load_accepted: bool,
}

/// A model that was loaded recently, until its callers have been sent to it.
#[derive(Clone, Debug)]
struct Settling {
    service: ServiceName,
    since: Time,
    /// The requests that have to be seen at the target.
    callers: u32,
    /// Whether a request has been seen there.
    is_used: bool,
}

impl Settling {
    /// Returns whether callers may still be on their way to the target, with `in_flight` requests
    /// there and `waiting` that wait for the model.
    fn remains(&mut self, in_flight: u32, waiting: u32) -> bool {
        self.is_used |= in_flight > 0;
        in_flight < self.callers && !(self.is_used && waiting == 0)
    }
}

/// The planner's record of demand and of its own orders.
#[derive(Debug, Default)]
pub struct Planner {
    daemons: HashMap<Arc<str>, Daemon>,
    demand: HashMap<DemandKey, Demand>,
    pending: HashMap<TargetName, PendingTask>,
    occupied: OccupiedTargets,
    loads: RunningLoads,
    /// Models that were loaded recently and may not be evicted yet.
    settling: HashMap<(TargetName, ModelName), Settling>,
    remote_loads: VecDeque<Time>,
    /// The rate at which loads from main memory or disk begin at each target.
    local_loads: HashMap<TargetName, RateMean>,
    /// When models should be ready whose loads wait for their targets.
    queued_loads: HashMap<(ServiceName, ModelName), Time>,
    /// Models that are loaded in drained zones.
    displaced: HashSet<ModelName>,
    /// The time that targets take for work, relative to typical ones.
    slowness: HashMap<TargetName, f64>,
    copies: CopyPolicy,
    in_flight_means: InFlightMeans,
    /// When this planner planned first.
    began: Option<Time>,
    /// When it planned last.
    planned_at: Time,
    unplaced: HashMap<(ServiceName, ModelName), Unplaced>,
    unplaced_changes: Vec<UnplacedChange>,
}

impl Planner {
    /// Records that a task has ended.
    pub fn task_ended(&mut self, target: &TargetName, end: TaskOutcome, now: Time) {
        let pending = self.pending.remove(target);
        let is_load_accepted = pending.as_ref().is_some_and(|p| p.is_load_accepted);
        match end {
            TaskOutcome::Done if is_load_accepted => self.loads.complete(target, now),
            TaskOutcome::Failed if !is_load_accepted => {}
            TaskOutcome::Busy => {}
            _ => self.loads.discard(target, now),
        }
        match end {
            TaskOutcome::Done => {
                self.occupied.record_success(target);
                let Some(pending) = pending else { return };
                let PendingTask { service, loads, callers, .. } = pending;
                let settling = Settling { service, since: now, callers, is_used: false };
                let with_key = |model| ((target.clone(), model), settling.clone());
                self.settling.extend(loads.into_iter().map(with_key));
            }
            TaskOutcome::Replan => self.occupied.record_success(target),
            TaskOutcome::Busy => {
                self.occupied.record_busy(target, self.loads.expected_end(target), now);
            }
            TaskOutcome::Failed => self.occupied.record_failure(target, now),
        }
    }

    /// Sets the models that are loaded in drained zones. Those that are requested are loaded
    /// elsewhere before a request waits.
    pub fn set_displaced(&mut self, models: HashSet<ModelName>) {
        self.displaced = models;
    }

    /// Sets the time that targets take, relative to typical ones. Models with many requests avoid
    /// slow targets.
    pub fn set_slowness(&mut self, slowness: HashMap<TargetName, f64>) {
        self.slowness = slowness;
    }

    /// Sets how the number of copies is decided.
    pub fn set_copy_policy(&mut self, copies: CopyPolicy) {
        self.copies = copies;
    }

    /// Drops all tasks and demand, as another daemon is the planner now.
    pub fn reset(&mut self, now: Time) {
        self.pending.clear();
        self.loads.clear(now);
        self.daemons.clear();
        self.demand.clear();
        self.queued_loads.clear();
        self.in_flight_means.clear();
        self.forget_unplaced();
    }

    /// Returns the orders to send now.
    ///
    /// `opens_at` returns from when orders may be sent to a target; `None` if this daemon considers
    /// the target unreachable.
    pub fn plan(
        &mut self,
        targets: &[Arc<Target>],
        opens_at: &dyn Fn(&TargetName) -> Option<Time>,
        catalog: &Catalog,
        now: Time,
    ) -> Vec<Task> {
        self.expire(now);
        self.occupied.expire(now);
        self.settling.retain(|_, settling| now.since(settling.since) < SETTLE_TIMEOUT);
        self.began.get_or_insert(now);
        self.planned_at = now;
        self.queued_loads.clear();
        self.local_loads.retain(|_, loads| loads.rate_at(now) > MIN_LOCAL_LOADS_PER_S);
        let mut tasks = Vec::new();
        for service in catalog.services.values() {
            let Some(engine) = &service.engine else { continue };
            let objective = catalog.longest_objective(&service.name);
            let max_wait = catalog.longest_timeout(&service.name);
            let sole_software = sole_software(targets, &service.name);
            for bounds in self.bounds_of_demand(&service.name, sole_software) {
                let scope = Scope {
                    service: &service.name,
                    engine,
                    objective,
                    max_wait,
                    bounds: &bounds,
                    sole_software,
                    now,
                };
                let in_scope =
                    |t: &&Arc<Target>| t.service == service.name && t.is_ready() && scope.allows(t);
                let reachable =
                    |target| Some(ReachableTarget { target, opens_at: opens_at(&target.name)? });
                let reachable: Vec<ReachableTarget<'_>> =
                    targets.iter().filter(in_scope).filter_map(reachable).collect();
                let round = Round::new(self, scope, &reachable);
                if bounds.is_unbound() {
                    self.settling.retain(|(target, model), settling| {
                        let waiting = round.model(model).all_waiting();
                        settling.service != service.name
                            || settling.remains(round.in_flight(target, model), waiting)
                    });
                    self.in_flight_means.observe(&round);
                }
                self.plan_models(&round, &mut tasks);
                self.plan_adapters(&round, &mut tasks);
            }
        }
        self.check_overdue_loads(targets, opens_at, now, &mut tasks);
        self.end_placed(now);
        tasks
    }

    /// Returns the bounds of demand for a service: first that of unbound demand, which sees all
    /// targets.
    fn bounds_of_demand(
        &self,
        service: &ServiceName,
        sole_software: Option<&SoftwareVersion>,
    ) -> Vec<Bounds> {
        let of_service = self.demand.keys().filter(|key| key.service == *service);
        let bounds = of_service.map(|key| key.bounds.among(sole_software));
        let bound: BTreeSet<Bounds> = bounds.filter(|bounds| !bounds.is_unbound()).collect();
        iter::once(Bounds::default()).chain(bound).collect()
    }

    /// Loads models that are requested and have too few copies, the most urgent first.
    fn plan_models(&mut self, round: &Round<'_>, tasks: &mut Vec<Task>) {
        let mut wanted: Vec<(f64, ModelName)> = Vec::new();
        for (model, view) in round.models().filter(|(_, view)| view.is_in_scope) {
            let load_urgency = self.load_urgency(round, model, view);
            if load_urgency > 0.0 {
                wanted.push((load_urgency, model.clone()));
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let awaits_first_copies = self.loads.follows_observations()
            && wanted.iter().any(|(_, model)| self.awaits_first_copy(round, model));
        let mut queue = LoadQueue { awaits_first_copies, ..LoadQueue::default() };
        let mut remote_queue = 0;
        for (_, model) in wanted {
            let Some(placement) = self.place(round, &queue, &model) else {
                self.record_no_room(round, &model, &mut remote_queue);
                continue;
            };
            match placement.task {
                Some(task) => self.begin_task(task, round, tasks),
                None if self.is_too_late(round, &model, placement.ready_in) => {
                    let (reason, ready_in) = (UnplacedReason::TooLate, placement.ready_in);
                    self.record_unplaced(round, &model, reason, ready_in);
                }
                None => {
                    let key = (round.scope.service.clone(), model);
                    self.queued_loads.insert(key, round.scope.now + placement.ready_in);
                    queue.delays.insert(placement.target, placement.ready_in);
                }
            }
        }
    }

    /// Returns the urgency of loading another copy of a model; zero if it has enough copies.
    fn load_urgency(&self, round: &Round<'_>, model: &ModelName, view: &ModelView) -> f64 {
        let pending_loads = self.pending_load_count(round, model);
        let total_copies = view.copies + pending_loads;
        // Streams that go on need one copy at the software that began them; others use any copy.
        let needs_one_copy = round.scope.bounds.software.is_some();
        if needs_one_copy && total_copies > 0 {
            let is_unusable = self.has_unusable_copies(model, view, pending_loads);
            return if is_unusable { waiting_urgency(view) } else { 0.0 };
        }
        if round.copies == CopyPolicy::ServiceTime {
            return self.load_value(round, model, view);
        }
        if total_copies == 0 {
            let is_displaced =
                view.rate > MIN_DISPLACED_RATE_PER_S && self.displaced.contains(model);
            return match view.all_waiting() {
                0 if is_displaced => DISPLACED_URGENCY + view.rate,
                0 => 0.0,
                _ if view.rate > TWO_COPIES_RATE_PER_S => HIGH_RATE_URGENCY + view.rate,
                _ => waiting_urgency(view),
            };
        }
        if self.has_unusable_copies(model, view, pending_loads) {
            return waiting_urgency(view);
        }
        if total_copies >= needed_copies(round, view) {
            return 0.0;
        }
        let is_overloaded =
            f64::from(view.in_flight) > requests_per_copy(round) * view.copies as f64;
        let rate_per_copy = view.rate / total_copies as f64;
        if is_overloaded { OVERLOAD_URGENCY + rate_per_copy } else { rate_per_copy }
    }

    /// Returns whether there are copies of a model that the waiting requests can't use.
    fn has_unusable_copies(
        &self,
        model: &ModelName,
        view: &ModelView,
        pending_loads: usize,
    ) -> bool {
        let is_settling = self.settling.keys().any(|(_, m)| m == model);
        pending_loads == 0
            && view.waiting > 0
            && view.longest_wait > UNUSABLE_COPIES_TIMEOUT
            && !is_settling
    }

    /// Returns the memory, in MB, that the task of a target takes beyond what its models use now;
    /// negative if it frees some. Without it, a load appears to fit beside one in progress.
    fn pending_mb(&self, round: &Round<'_>, target: &Target) -> f64 {
        let Some(pending) = self.pending.get(&target.name) else { return 0.0 };
        if round.copies == CopyPolicy::RateSteps {
            return 0.0;
        }
        let mb = |model: &ModelName| model_mb(round.scope.engine, target, model);
        let loads = pending.loads.iter().filter(|model| !target.holds(model, None));
        let removes = pending.removes.iter().filter(|model| target.holds(model, None));
        loads.map(mb).sum::<f64>() - removes.map(mb).sum::<f64>()
    }

    /// Returns whether a model is being removed from a target.
    fn is_removing(&self, target: &TargetName, model: &ModelName) -> bool {
        self.copies == CopyPolicy::ServiceTime
            && self.pending.get(target).is_some_and(|p| p.removes.contains(model))
    }

    /// Returns how many removals of a model a round has ordered so far.
    fn removals_begun(&self, round: &Round<'_>, model: &ModelName) -> usize {
        if round.copies == CopyPolicy::RateSteps || round.model(model).copies <= 1 {
            return 0;
        }
        let is_begun = |p: &&PendingTask| p.began == round.scope.now && p.removes.contains(model);
        self.pending.values().filter(is_begun).count()
    }

    fn begin_task(&mut self, task: Task, round: &Round<'_>, tasks: &mut Vec<Task>) {
        let (mut loads, mut removes) = (Vec::new(), Vec::new());
        let mut is_remote = false;
        let (mut load_time, mut slowdown) = (Duration::ZERO, Duration::ZERO);
        for step in &task.steps {
            match &step.action {
                Action::Load { model, adapter: None } => {
                    loads.push(model.clone());
                    let tier = Tier::of(&task.target, model);
                    is_remote |= tier == Tier::Remote;
                    load_time = step.expected_duration;
                    slowdown =
                        self.expected_load_time(round, tier, model).saturating_sub(load_time);
                }
                Action::Remove { model, adapter: None } => removes.push(model.clone()),
                _ => {}
            }
        }
        if !loads.is_empty() && !is_remote {
            let mean = || RateMean::with_time_constant(LOCAL_LOADS_TIME_CONSTANT_S);
            let local_loads = self.local_loads.entry(task.target.name.clone()).or_insert_with(mean);
            local_loads.add(1, round.scope.now);
        }
        let takes: Duration = task.steps.iter().map(|s| s.expected_duration + ORDER_OVERHEAD).sum();
        let done_at = round.scope.now + takes + slowdown;
        let (service, target) = (round.scope.service.clone(), Arc::clone(&task.target));
        let pending = PendingTask {
            service,
            target,
            callers: callers_to_settle(round, &loads),
            loads,
            load_time,
            removes,
            began: round.scope.now,
            done_at,
            is_remote,
            is_load_accepted: false,
        };
        self.pending.insert(task.target.name.clone(), pending);
        tasks.push(task);
    }

    /// Returns the models that are being loaded, or whose loads wait for their targets, and when
    /// each should be ready.
    pub fn pending_loads(&self, now: Time) -> Vec<PendingLoad> {
        let pending_load = |service: &ServiceName, model: &ModelName, at: Time| PendingLoad {
            service: service.clone(),
            model: model.clone(),
            due_in_ms: message::millis(at.since(now).max(ORDER_OVERHEAD)),
        };
        let queued = self
            .queued_loads
            .iter()
            .map(|((service, model), at)| pending_load(service, model, *at));
        let pending = self.pending.values().flat_map(|p| {
            let of_task = |model: &ModelName| pending_load(&p.service, model, p.done_at);
            p.loads.iter().map(of_task).collect::<Vec<PendingLoad>>()
        });
        queued.chain(pending).chain(self.untracked_pending_loads(now)).collect()
    }
}

/// Returns the version of the software of a service's targets, if all of them run one.
fn sole_software<'a>(
    targets: &'a [Arc<Target>],
    service: &ServiceName,
) -> Option<&'a SoftwareVersion> {
    let mut versions =
        targets.iter().filter(|t| t.service == *service).map(|t| t.software.as_ref());
    let first = versions.next()??;
    versions.all(|version| version == Some(first)).then_some(first)
}

/// Returns the urgency of a model that requests wait for. Requests that can still be on time take
/// precedence over late ones, then many requests over few, then long waits over short ones.
fn waiting_urgency(view: &ModelView) -> f64 {
    let base = if view.on_time > 0 { ON_TIME_URGENCY } else { LATE_URGENCY };
    base + f64::from(view.all_waiting()) + view.longest_wait.as_secs_f64()
}

/// Returns the requests in flight that one copy is intended for.
fn requests_per_copy(round: &Round<'_>) -> f64 {
    let limit = COPY_SLOT_SHARE * f64::from(round.scope.engine.slots);
    limit.clamp(1.0, MAX_REQUESTS_PER_COPY)
}

/// Returns how many requests have to be seen at a target before the models that are loaded there
/// for them may be evicted.
fn callers_to_settle(round: &Round<'_>, loads: &[ModelName]) -> u32 {
    match round.copies {
        CopyPolicy::RateSteps => 1,
        CopyPolicy::ServiceTime => {
            loads.iter().map(|model| round.model(model).all_waiting()).max().unwrap_or(0).max(1)
        }
    }
}

fn needed_copies(round: &Round<'_>, view: &ModelView) -> usize {
    if round.copies == CopyPolicy::ServiceTime {
        let reserve = if view.rate > TWO_COPIES_RATE_PER_S { 2 } else { 1 };
        return round.copy_demand(view).copies().max(reserve);
    }
    let by_rate = match view.rate {
        r if r > THREE_COPIES_RATE_PER_S => 3,
        r if r > TWO_COPIES_RATE_PER_S => 2,
        _ => 1,
    };
    let by_load = (f64::from(view.in_flight) / requests_per_copy(round)).ceil() as usize;
    by_rate.max(by_load)
}

/// Returns the engine memory that a target's models and adapters use, in MB. A model that is not in
/// the configuration counts as using all of it.
pub fn used_mb(engine: &Engine, target: &Target) -> f64 {
    target.models.iter().map(|h| model_mb(engine, target, &h.model)).sum()
}

fn model_mb(engine: &Engine, target: &Target, model: &ModelName) -> f64 {
    let Some(spec) = engine.models.get(model) else { return engine.memory_mb };
    let adapters = target.loaded_model(model).map_or(0, |h| h.adapters.len());
    spec.memory_mb + spec.adapter_mb * adapters as f64
}
