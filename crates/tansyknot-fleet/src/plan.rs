//! What the planner orders: which model goes to which target, and what makes way for it.

mod adapters;
mod demand;
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
    catalog::{Catalog, Engine, Model},
    outside::Action,
    peer::{self, Coming},
    target::Target,
};

pub use demand::DAEMON_SPAN;
use demand::{Daemon, Demand};
use round::{ModelView, Round, Scope};
pub use tier::Tier;
use way::{Victim, Way};

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
/// What a task that should be done by now is expected to take yet: the news of its end.
const OVERDUE_SPAN: Duration = Duration::from_millis(100);
/// What losing a model that one request a second asks for costs, in seconds of load time.
const RATE_WEIGHT_S: f64 = 0.7;
/// What losing a copy that is not needed costs against one that is.
const SPARE_COPY_WEIGHT: f64 = 0.1;
/// A model that has been loaded stays until a request has been seen there, or this long if none
/// comes: those who waited learn of it by datagrams, which may be lost and repeated. Without the
/// first half a target waits out the span before its next load, though a request that waited
/// takes 0.2 s: 0.03 of worth (docs/ROUNDS.md).
const SETTLE: Duration = Duration::from_millis(1500);
/// Loads from the weight store that may begin within [`REMOTE_WINDOW`]; two planners in turn
/// keep below what the platform allows.
const REMOTE_SHARE: f64 = 0.45;
/// The window in which loads from the weight store are counted.
const REMOTE_WINDOW: Duration = Duration::from_secs(5);
/// Loads from the weight store under way at once; beyond it each takes longer (the users' brief:
/// four at once at full speed).
const REMOTE_AT_ONCE: usize = 4;
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
/// Share of an engine's slots in use above which no copy is added there.
const BUSY_SHARE: f64 = 0.8;

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
}

impl Planner {
    /// Takes in that a task has ended.
    pub fn ended(&mut self, target: &TargetName, succeeded: bool, now: Time) {
        if let Some(pending) = self.pending.remove(target) {
            for model in pending.loads {
                self.settling.insert((target.clone(), model), now);
            }
        }
        if !succeeded {
            self.blocked.insert(target.clone(), now + FAILED_SPAN);
        }
    }

    /// Forgets every task, since another daemon is the planner now.
    pub fn reset(&mut self) {
        self.pending.clear();
        self.daemons.clear();
        self.demand.clear();
    }

    /// Decides what to order now.
    ///
    /// `usable` tells whether a target can be reached, as far as this daemon knows.
    pub fn plan(
        &mut self,
        targets: &[Arc<Target>],
        usable: &dyn Fn(&TargetName) -> bool,
        catalog: &Catalog,
        now: Time,
    ) -> Vec<Task> {
        self.blocked.retain(|_, until| now < *until);
        self.settling.retain(|_, at| now.since(*at) < SETTLE);
        let mut tasks = Vec::new();
        for service in catalog.services.values() {
            let Some(engine) = &service.engine else { continue };
            let objective = catalog.longest_objective(&service.name);
            let scope = Scope { service: &service.name, engine, objective, now };
            let is_open =
                |t: &&Arc<Target>| t.service == service.name && t.is_ready() && usable(&t.name);
            let round = Round::new(self, scope, targets.iter().filter(is_open).collect());
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
        for (_, model) in wanted {
            if let Some(task) = self.place(round, &model) {
                self.begin(task, round, tasks);
            }
        }
    }

    /// Returns how much a model lacks a copy: zero if it has enough.
    fn lack(&self, round: &Round<'_>, model: &ModelName, view: &ModelView) -> f64 {
        let coming = self.pending.values().filter(|p| p.loads.contains(model)).count();
        let all = view.copies + coming;
        if all == 0 {
            // Requests for an adapter wait for the model as well.
            let waiting = view.waiting + view.adapters_waiting;
            return match waiting {
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

    /// Finds the target where a model is loaded soonest at the least loss. The task is `None` if
    /// that target has to be waited for.
    fn place(&self, round: &Round<'_>, model: &ModelName) -> Option<Task> {
        let about = round.scope.engine.models.get(model)?;
        let is_extra = round.model(model).copies > 0;
        let mut best: Option<(f64, Option<Task>)> = None;
        for target in &round.targets {
            if target.holds(model, None) || (is_extra && is_busy(round, target)) {
                continue;
            }
            let tier = Tier::of(target, model);
            if tier == Tier::Remote && !self.remote_allowed(round) {
                continue;
            }
            let Some(way) = self.make_way(round, target, about) else { continue };
            let mut cost = tier.load_time(about).as_secs_f64() + way.loss_s + way.wait_s;
            let free_in = self.free_in(&target.name, round.scope.now);
            cost += free_in.unwrap_or_default().as_secs_f64();
            if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
                continue;
            }
            let is_free = free_in.is_none() && way.wait_s == 0.0;
            let task = is_free.then(|| load_task(target, way.victims, about, tier));
            best = Some((cost, task));
        }
        best?.1
    }

    /// Returns when a target should be done with its task, or may have one again after a failure;
    /// `None` if it is free.
    fn free_in(&self, target: &TargetName, now: Time) -> Option<Duration> {
        let pending = self.pending.get(target).map(|p| p.done_at.since(now).max(OVERDUE_SPAN));
        let blocked = self.blocked.get(target).map(|until| until.since(now));
        pending.max(blocked)
    }

    /// Chooses what makes way on `target` for `about` at the least cost.
    fn make_way(&self, round: &Round<'_>, target: &Target, about: &Model) -> Option<Way> {
        let engine = round.scope.engine;
        let free = engine.memory_mb - used_mb(engine, target);
        let victims = target.models.iter().filter_map(|held| {
            let (loss_s, wait_s) = self.loss(round, target, &held.model)?;
            let frees_mb = held_mb(engine, target, &held.model);
            Some(Victim { model: held.model.clone(), frees_mb, loss_s, wait_s })
        });
        way::cheapest(about.memory_mb - free, victims.collect())
    }

    /// Returns what removing a model from a target loses, in seconds, and how long it has to be
    /// waited for; `None` if it must stay.
    fn loss(&self, round: &Round<'_>, target: &Target, model: &ModelName) -> Option<(f64, f64)> {
        let view = round.model(model);
        let place = (target.name.clone(), model.clone());
        if self.settling.contains_key(&place) || (view.copies <= 1 && view.waiting > 0) {
            return None;
        }
        let is_in_use = round.in_flight(&target.name, model) > 0;
        let wait_s = if is_in_use { round.idle_in_s(&view)? } else { 0.0 };
        let weight =
            if view.copies > needed_copies(round, &view) { SPARE_COPY_WEIGHT } else { 1.0 };
        Some((view.rate * RATE_WEIGHT_S * weight, wait_s))
    }

    fn remote_allowed(&self, round: &Round<'_>) -> bool {
        if self.pending.values().filter(|p| p.is_remote).count() >= REMOTE_AT_ONCE {
            return false;
        }
        let since = |at: &&Time| round.scope.now.since(**at) < REMOTE_WINDOW;
        let begun = self.remote.iter().filter(since).count();
        let most = round.scope.engine.loads_per_s * REMOTE_WINDOW.as_secs_f64() * REMOTE_SHARE;
        (begun as f64) < most.floor().max(1.0)
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
        let takes: Duration = task.steps.iter().map(|s| s.takes + STEP_SPAN).sum();
        let (service, done_at) = (round.scope.service.clone(), round.scope.now + takes);
        let pending = Pending { service, loads, done_at, is_remote };
        self.pending.insert(task.target.name.clone(), pending);
        tasks.push(task);
    }

    /// Returns the models that are being loaded and when each should be there.
    pub fn coming(&self, now: Time) -> Vec<Coming> {
        let mut coming = Vec::new();
        for p in self.pending.values() {
            let span = p.done_at.since(now).max(STEP_SPAN);
            let in_ms = peer::millis(span);
            let of = |model: &ModelName| Coming {
                service: p.service.clone(),
                model: model.clone(),
                in_ms,
            };
            coming.extend(p.loads.iter().map(of));
        }
        coming
    }

    /// Counts a load from the weight store that is about to be ordered.
    pub fn remote_begins(&mut self, now: Time) {
        self.remote.retain(|at| now.since(*at) < REMOTE_WINDOW);
        self.remote.push_back(now);
    }
}

/// Returns how urgent a model is that requests wait for: those that can still be on time go
/// before those that can't, many before few, and the longest wait goes first among them.
fn urgency(view: &ModelView) -> f64 {
    let base = if view.on_time > 0 { FRESH_LACK } else { LATE_LACK };
    let waiting = view.waiting + view.adapters_waiting;
    base + f64::from(waiting) + view.waited.as_secs_f64()
}

/// Tells whether a target has so much to do that no copy is added there.
fn is_busy(round: &Round<'_>, target: &Target) -> bool {
    let most = BUSY_SHARE * f64::from(round.scope.engine.slots);
    f64::from(round.in_flight_at(&target.name)) > most
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

fn load_task(target: &Arc<Target>, victims: Vec<ModelName>, about: &Model, tier: Tier) -> Task {
    let removal =
        |model| Step { action: Action::Remove { model, adapter: None }, takes: Duration::ZERO };
    let mut steps: Vec<Step> = victims.into_iter().map(removal).collect();
    let action = Action::Load { model: about.name.clone(), adapter: None };
    steps.push(Step { action, takes: tier.load_time(about) });
    Task { target: Arc::clone(target), steps }
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
