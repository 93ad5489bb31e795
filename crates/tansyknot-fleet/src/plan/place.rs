//! Where a model is loaded: the target that has it soonest, and what makes way there.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, TargetName},
};

use super::{
    Planner, Round, STEP_SPAN, Step, Task, Tier, held_mb, needed_copies, used_mb,
    way::{self, Victim, Way},
};
use crate::{catalog::Model, outside::Action, target::Target};

/// What a task that should be done by now is expected to take yet: nine in ten loads are known
/// within 0.1 s of their end.
const OVERDUE_SPAN: Duration = Duration::from_millis(100);
/// What losing a model that one request a second asks for costs, in seconds of load time: the way
/// back from disk takes some 0.5 s and a place in the queue.
const RATE_WEIGHT_S: f64 = 0.7;
/// What losing a copy that is not needed costs against one that is.
const SPARE_COPY_WEIGHT: f64 = 0.1;
/// Loads from the weight store that may begin within [`REMOTE_WINDOW`]; two planners in turn
/// keep below what the platform allows.
const REMOTE_SHARE: f64 = 0.45;
/// The window in which loads from the weight store are counted.
const REMOTE_WINDOW: Duration = Duration::from_secs(5);
/// Loads from the weight store under way at once; beyond it each takes longer (the users' brief:
/// four at once at full speed).
const REMOTE_AT_ONCE: usize = 4;
/// Share of an engine's slots in use above which no copy is added there.
const BUSY_SHARE: f64 = 0.8;

/// When targets should be done with the loads that wait for them, from now.
pub(super) type Queue = HashMap<TargetName, Duration>;

/// Where a model is loaded and when it should be there.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) target: TargetName,
    pub(super) ready_in: Duration,
    /// The orders, if they can be sent now.
    pub(super) task: Option<Task>,
}

/// A placement and what it costs in seconds.
#[derive(Clone, Debug)]
struct Weighed {
    cost: f64,
    placement: Placement,
}

impl Planner {
    /// Finds the target where a model is loaded soonest at the least loss, behind the loads that
    /// are in `queue`.
    pub(super) fn place(
        &self,
        round: &Round<'_>,
        queue: &Queue,
        model: &ModelName,
    ) -> Option<Placement> {
        let about = round.scope.engine.models.get(model)?;
        let is_extra = round.model(model).copies > 0;
        let remote_allowed = self.remote_allowed(round);
        let has_room =
            |t: &&&Arc<Target>| !t.holds(model, None) && (!is_extra || !is_busy(round, t));
        let mut best: Option<Weighed> = None;
        for target in round.targets.iter().filter(has_room) {
            let tier = Tier::of(target, model);
            if tier == Tier::Remote && !remote_allowed {
                continue;
            }
            let most = best.as_ref().map_or(f64::INFINITY, |best| best.cost);
            best = self.weigh(round, queue, target, tier, about, most).or(best);
        }
        Some(best?.placement)
    }

    /// Weighs a load at a target; `None` if there is no way, or if it costs `most` seconds or more.
    fn weigh(
        &self,
        round: &Round<'_>,
        queue: &Queue,
        target: &Arc<Target>,
        tier: Tier,
        about: &Model,
        most: f64,
    ) -> Option<Weighed> {
        let takes = tier.load_time(about);
        let free_in = self.free_in(round, queue, &target.name);
        let delays = self.delays(round, &target.name, takes);
        let least = free_in.unwrap_or_default() + STEP_SPAN + takes;
        if least.as_secs_f64() + delays >= most {
            return None;
        }
        let way = self.make_way(round, target, about)?;
        let steps = STEP_SPAN * (way.victims.len() as u32 + 1);
        let waits = free_in.unwrap_or_default().max(Duration::from_secs_f64(way.wait_s));
        let ready_in = waits + steps + takes;
        let cost = ready_in.as_secs_f64() + way.loss_s + delays;
        if cost >= most {
            return None;
        }
        let is_free = free_in.is_none() && way.wait_s == 0.0;
        let task = is_free.then(|| load_task(target, way.victims, about, tier));
        Some(Weighed { cost, placement: Placement { target: target.name.clone(), ready_in, task } })
    }

    /// Returns how long other loads have to wait for one that takes `takes` at a target, summed up
    /// in seconds: those that come meanwhile wait for half of it. A load from the weight store
    /// keeps a target from a dozen loads from disk: 0.018 of worth, rare requests in time 0.71 to
    /// 0.76 over 30 days (docs/ACCOUNT.md).
    fn delays(&self, round: &Round<'_>, target: &TargetName, takes: Duration) -> f64 {
        let loads = self.near.get(target).map_or(0.0, |near| near.at(round.scope.now));
        let takes = takes.as_secs_f64();
        loads * takes * takes / 2.0
    }

    /// Returns when a target should be done with its task and those that wait for it, or may have
    /// one again after a failure or another planner's orders; `None` if it is free.
    fn free_in(&self, round: &Round<'_>, queue: &Queue, target: &TargetName) -> Option<Duration> {
        let now = round.scope.now;
        let pending = self.pending.get(target).map(|p| p.done_at.since(now).max(OVERDUE_SPAN));
        let blocked = self.blocked.get(target).map(|until| until.since(now));
        pending.max(blocked).max(round.rests_for(target)).max(queue.get(target).copied())
    }

    /// Chooses what makes way on `target` for `about` at the least cost.
    fn make_way(&self, round: &Round<'_>, target: &Target, about: &Model) -> Option<Way> {
        let engine = round.scope.engine;
        let free = engine.memory_mb - used_mb(engine, target);
        let victims =
            target.models.iter().filter_map(|held| self.victim(round, target, &held.model));
        way::cheapest(about.memory_mb - free, victims.collect())
    }

    /// Returns what removing a model from a target frees and loses; `None` if it must stay.
    fn victim(&self, round: &Round<'_>, target: &Target, model: &ModelName) -> Option<Victim> {
        let view = round.model(model);
        let place = (target.name.clone(), model.clone());
        if self.settling.contains_key(&place) || (view.copies <= 1 && view.waiting > 0) {
            return None;
        }
        let is_in_use = round.in_flight(&target.name, model) > 0;
        let wait_s = if is_in_use { round.idle_in_s(&view)? } else { 0.0 };
        let weight =
            if view.copies > needed_copies(round, &view) { SPARE_COPY_WEIGHT } else { 1.0 };
        Some(Victim {
            model: model.clone(),
            frees_mb: held_mb(round.scope.engine, target, model),
            loss_s: view.rate * RATE_WEIGHT_S * weight,
            wait_s,
        })
    }

    /// Counts a load from the weight store that is about to be ordered.
    pub fn remote_begins(&mut self, now: Time) {
        self.remote.retain(|at| now.since(*at) < REMOTE_WINDOW);
        self.remote.push_back(now);
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
}

/// Tells whether a target has so much to do that no copy is added there.
fn is_busy(round: &Round<'_>, target: &Target) -> bool {
    let most = BUSY_SHARE * f64::from(round.scope.engine.slots);
    f64::from(round.in_flight_at(&target.name)) > most
}

fn load_task(target: &Arc<Target>, victims: Vec<ModelName>, about: &Model, tier: Tier) -> Task {
    let removal =
        |model| Step { action: Action::Remove { model, adapter: None }, takes: Duration::ZERO };
    let mut steps: Vec<Step> = victims.into_iter().map(removal).collect();
    let action = Action::Load { model: about.name.clone(), adapter: None };
    steps.push(Step { action, takes: tier.load_time(about) });
    Task { target: Arc::clone(target), steps }
}
