//! What the planner orders: which model goes to which target, and what makes way for it.

mod adapters;
mod demand;
mod mean;
mod place;
mod round;
mod tier;
mod way;

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    name::{AdapterName, ModelName, ServiceName, TargetName},
};

use crate::{
    catalog::{Catalog, Engine},
    dissemination::message::{self, Coming},
    outside::Action,
    target::Target,
    task::TaskEnd,
};

pub use demand::DAEMON_SPAN;
use demand::{Daemon, Demand};
use mean::Mean;
use place::Queue;
use round::{ModelView, Reached, Round, Scope};
pub use tier::Tier;

/// Requests in flight for one copy above which another copy is loaded, at most.
const PER_COPY_MOST: f64 = 20.0;
/// The same as a share of an engine's slots, which its other models need too; at 0.45 queries of
/// the grown site were late more often (docs/ROUNDS.md).
const PER_COPY_SHARE: f64 = 0.3;
/// Arrivals a second above which a model has two copies, so that one lost target is no cold start.
const TWO_COPIES_RATE: f64 = 1.5;
/// Arrivals a second above which a model has three copies: reading prompts slows the tokens.
const THREE_COPIES_RATE: f64 = 8.0;
/// What an order takes beside the load itself: the call, and the news of its end.
const STEP_SPAN: Duration = Duration::from_millis(100);
/// A model that has been loaded stays until a request has been seen there, or this long if none
/// comes: those who waited learn of it by datagrams, which may be lost and repeated. By the clock
/// alone a target stood idle for over 1 s after every fourth load: 0.037 of worth over 15 days
/// (docs/ACCOUNT.md).
const SETTLE: Duration = Duration::from_millis(1500);
/// What a model that is nowhere weighs if those who wait can still be on time.
const FRESH_LACK: f64 = 1000.0;
/// What a model that is nowhere weighs if they can't.
const LATE_LACK: f64 = 500.0;
/// Requests that wait this long although there are copies can't use those. At 0.6 s, two beats,
/// loads were made for requests that were on their way already (docs/ROUNDS.md).
const UNUSABLE_AFTER: Duration = Duration::from_millis(2500);
/// What a model that many ask for and that is nowhere weighs.
const HOT_LACK: f64 = 3000.0;
/// What a copy that is overloaded weighs against a model that is nowhere.
const OVERLOAD_LACK: f64 = 2000.0;
/// A target whose task ended badly gets no new one for this long.
const FAILED_SPAN: Duration = Duration::from_millis(700);
/// The time constant of the mean of loads at a target, in seconds: as long as a load from the
/// weight store, which it is weighed against.
const LOADS_SPAN_S: f64 = 6.0;
/// Loads a second below which a target's mean is forgotten, that of one load after a minute: they
/// weigh nothing, and targets that have gone are not kept.
const LOADS_NONE: f64 = 1e-5;

/// A model or adapter of a service.
type Key = (ServiceName, ModelName, Option<AdapterName>);

/// Orders to one target, carried out one after the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// The target, as it was when the task was made.
    pub target: Arc<Target>,
    /// The orders.
    pub steps: Vec<Step>,
}

/// One order of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// What to do.
    pub action: Action,
    /// How long it is expected to take.
    pub takes: Duration,
}

#[derive(Clone, Debug)]
struct Pending {
    service: ServiceName,
    loads: Vec<ModelName>,
    /// When the last order should be done.
    done_at: Time,
    is_remote: bool,
}

/// What the planner knows of demand and of its own orders.
#[derive(Debug, Default)]
pub struct Planner {
    daemons: HashMap<Arc<str>, Daemon>,
    demand: HashMap<Key, Demand>,
    pending: HashMap<TargetName, Pending>,
    blocked: HashMap<TargetName, Time>,
    /// Models that were loaded lately, and when, until a request has been seen there.
    settling: HashMap<(TargetName, ModelName), Time>,
    remote: VecDeque<Time>,
    /// How often loads that are at hand have begun at each target.
    near: HashMap<TargetName, Mean>,
    /// When models should be there whose loads wait for their targets.
    expected: HashMap<(ServiceName, ModelName), Time>,
}

impl Planner {
    /// Takes in that a task has ended.
    pub fn ended(&mut self, target: &TargetName, end: TaskEnd, now: Time) {
        let pending = self.pending.remove(target);
        match end {
            TaskEnd::Done => {
                let loads = pending.into_iter().flat_map(|p| p.loads);
                self.settling.extend(loads.map(|model| ((target.clone(), model), now)));
            }
            TaskEnd::Replan => {}
            TaskEnd::Failed => {
                self.blocked.insert(target.clone(), now + FAILED_SPAN);
            }
        }
    }

    /// Forgets every task, since another daemon is the planner now.
    pub fn reset(&mut self) {
        self.pending.clear();
        self.daemons.clear();
        self.demand.clear();
        self.expected.clear();
    }

    /// Decides what to order now.
    ///
    /// `opens_at` tells from when a target may be ordered; `None` if it can't be reached, as far
    /// as this daemon knows.
    pub fn plan(
        &mut self,
        targets: &[Arc<Target>],
        opens_at: &dyn Fn(&TargetName) -> Option<Time>,
        catalog: &Catalog,
        now: Time,
    ) -> Vec<Task> {
        self.forget(now);
        self.blocked.retain(|_, until| now < *until);
        self.settling.retain(|_, at| now.since(*at) < SETTLE);
        self.expected.clear();
        self.near.retain(|_, loads| loads.at(now) > LOADS_NONE);
        let mut tasks = Vec::new();
        for service in catalog.services.values() {
            let Some(engine) = &service.engine else { continue };
            let objective = catalog.longest_objective(&service.name);
            let scope = Scope { service: &service.name, engine, objective, now };
            let of_service = targets.iter().filter(|t| t.service == service.name && t.is_ready());
            let reached = |target| Some(Reached { target, opens_at: opens_at(&target.name)? });
            let reached: Vec<Reached<'_>> = of_service.filter_map(reached).collect();
            let round = Round::new(self, scope, &reached);
            self.settling.retain(|(target, model), _| round.in_flight(target, model) == 0);
            self.plan_models(&round, &mut tasks);
            self.plan_adapters(&round, &mut tasks);
        }
        tasks
    }

    /// Loads models that are asked for and have too few copies, the most urgent first.
    fn plan_models(&mut self, round: &Round<'_>, tasks: &mut Vec<Task>) {
        let mut wanted: Vec<(f64, ModelName)> = Vec::new();
        for (model, view) in round.models() {
            let lack = self.lack(round, model, view);
            if lack > 0.0 {
                wanted.push((lack, model.clone()));
            }
        }
        wanted.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        let mut queue = Queue::new();
        for (_, model) in wanted {
            let Some(placement) = self.place(round, &queue, &model) else { continue };
            match placement.task {
                Some(task) => self.begin(task, round, tasks),
                None => {
                    let key = (round.scope.service.clone(), model);
                    self.expected.insert(key, round.scope.now + placement.ready_in);
                    queue.insert(placement.target, placement.ready_in);
                }
            }
        }
    }

    /// Returns how much a model lacks a copy: zero if it has enough.
    fn lack(&self, round: &Round<'_>, model: &ModelName, view: &ModelView) -> f64 {
        let coming = self.pending.values().filter(|p| p.loads.contains(model)).count();
        let all = view.copies + coming;
        if all == 0 {
            return match view.all_waiting() {
                0 => 0.0,
                _ if view.rate > TWO_COPIES_RATE => HOT_LACK + view.rate,
                _ => urgency(view),
            };
        }
        let is_new = self.settling.keys().any(|(_, m)| m == model);
        if coming == 0 && view.waiting > 0 && view.waited > UNUSABLE_AFTER && !is_new {
            // There are copies, but those who wait can't use them.
            return urgency(view);
        }
        if all >= needed_copies(round, view) {
            return 0.0;
        }
        let is_overloaded = f64::from(view.in_flight) > per_copy(round) * view.copies as f64;
        let share = view.rate / all as f64;
        if is_overloaded { OVERLOAD_LACK + share } else { share }
    }

    fn begin(&mut self, task: Task, round: &Round<'_>, tasks: &mut Vec<Task>) {
        let mut loads = Vec::new();
        let mut is_remote = false;
        for step in &task.steps {
            if let Action::Load { model, adapter: None } = &step.action {
                loads.push(model.clone());
                is_remote |= Tier::of(&task.target, model) == Tier::Remote;
            }
        }
        if !loads.is_empty() && !is_remote {
            let mean = || Mean::over(LOADS_SPAN_S);
            let near = self.near.entry(task.target.name.clone()).or_insert_with(mean);
            near.add(1, round.scope.now);
        }
        let takes: Duration = task.steps.iter().map(|s| s.takes + STEP_SPAN).sum();
        let (service, done_at) = (round.scope.service.clone(), round.scope.now + takes);
        let pending = Pending { service, loads, done_at, is_remote };
        self.pending.insert(task.target.name.clone(), pending);
        tasks.push(task);
    }

    /// Returns the models that are being loaded, or whose loads wait for their targets, and when
    /// each should be there.
    pub fn coming(&self, now: Time) -> Vec<Coming> {
        let coming = |service: &ServiceName, model: &ModelName, at: Time| Coming {
            service: service.clone(),
            model: model.clone(),
            in_ms: message::millis(at.since(now).max(STEP_SPAN)),
        };
        let queued = self.expected.iter().map(|((service, model), at)| coming(service, model, *at));
        let pending = self.pending.values().flat_map(|p| {
            let of = |model: &ModelName| coming(&p.service, model, p.done_at);
            p.loads.iter().map(of).collect::<Vec<Coming>>()
        });
        queued.chain(pending).collect()
    }
}

/// Returns how urgent a model is that requests wait for: those that can still be on time go
/// before those that can't, many before few, and the longest wait goes first among them.
fn urgency(view: &ModelView) -> f64 {
    let base = if view.on_time > 0 { FRESH_LACK } else { LATE_LACK };
    base + f64::from(view.all_waiting()) + view.waited.as_secs_f64()
}

/// Returns how many requests in flight one copy is for.
fn per_copy(round: &Round<'_>) -> f64 {
    let share = PER_COPY_SHARE * f64::from(round.scope.engine.slots);
    share.clamp(1.0, PER_COPY_MOST)
}

fn needed_copies(round: &Round<'_>, view: &ModelView) -> usize {
    let by_rate = match view.rate {
        r if r > THREE_COPIES_RATE => 3,
        r if r > TWO_COPIES_RATE => 2,
        _ => 1,
    };
    let by_load = (f64::from(view.in_flight) / per_copy(round)).ceil() as usize;
    by_rate.max(by_load)
}

/// Returns the engine memory that a target's models and adapters take; a model that the
/// configuration does not know takes all there is.
pub fn used_mb(engine: &Engine, target: &Target) -> f64 {
    target.models.iter().map(|h| held_mb(engine, target, &h.model)).sum()
}

fn held_mb(engine: &Engine, target: &Target, model: &ModelName) -> f64 {
    let Some(about) = engine.models.get(model) else { return engine.memory_mb };
    let adapters = target.held(model).map_or(0, |h| h.adapters.len());
    about.memory_mb + about.adapter_mb * adapters as f64
}
