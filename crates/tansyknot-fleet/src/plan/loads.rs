//! The loads that targets execute: those of running tasks, those that tasks gave up on, and those
//! that an earlier planner has ordered.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::Time,
    event,
    name::{ModelName, ServiceName, TargetName},
};
use tansyknot_policy::weight_store::{Capacity, LoadRequest, WeightStore};

use super::{
    ORDER_OVERHEAD, PendingTask, Planner, Round, Task, Tier,
    place::{LoadQueue, MAX_CONCURRENT_REMOTE_LOADS},
};
use crate::{
    catalog::Model,
    dissemination::{
        message::{self, PendingLoad},
        scheduling::LoadInProgress,
    },
    fleet::Fleet,
    scheduling::WeightStorePacing,
    target::{self, Target},
};

/// How long a load counts that never ends.
const MAX_LOAD_DURATION: Duration = Duration::from_secs(120);
/// A load of an earlier planner counts until this multiple of its expected duration.
const ADOPTED_LOAD_EXPIRY_FACTOR: u32 = 2;
/// Maximum number of loads that are announced, those that end last.
const MAX_ANNOUNCED_LOADS: usize = 128;

/// A load that a target executes.
#[derive(Clone, Debug)]
pub(super) struct RunningLoad {
    /// The target as it was when the load began.
    target: Arc<Target>,
    /// The model; `None` if an earlier planner did not know it.
    pub(super) model: Option<ModelName>,
    is_remote: bool,
    started_at: Time,
    /// How long the load takes if no other slows it down.
    nominal: Duration,
    expires_at: Time,
}

/// The loads that targets execute.
#[derive(Debug, Default)]
pub(super) struct RunningLoads {
    by_target: HashMap<TargetName, RunningLoad>,
    weight_store: WeightStore,
    pacing: WeightStorePacing,
    last_capacity: Capacity,
}

impl RunningLoads {
    fn begin(&mut self, load: RunningLoad, now: Time) {
        let name = load.target.name.clone();
        if load.is_remote {
            self.weight_store.begin(&name, load.nominal, now);
        } else {
            self.weight_store.discard(&name, now);
        }
        self.by_target.insert(name, load);
    }

    fn adopt(&mut self, load: RunningLoad, now: Time) {
        let name = load.target.name.clone();
        if load.is_remote {
            self.weight_store.adopt(&name, load.nominal, load.started_at, now);
        }
        self.by_target.insert(name, load);
    }

    /// Records that the load at a target has completed.
    pub(super) fn complete(&mut self, target: &TargetName, now: Time) {
        self.by_target.remove(target);
        self.weight_store.complete(target, now);
    }

    /// Drops the load at a target, if there is one: it has failed or the target has left.
    pub(super) fn discard(&mut self, target: &TargetName, now: Time) {
        self.by_target.remove(target);
        self.weight_store.discard(target, now);
    }

    /// Drops all loads.
    pub(super) fn clear(&mut self, now: Time) {
        let targets: Vec<TargetName> = self.by_target.keys().cloned().collect();
        targets.iter().for_each(|target| self.discard(target, now));
    }

    /// Returns when the load at a target should end; `None` if there is none.
    pub(super) fn expected_end(&self, target: &TargetName) -> Option<Time> {
        let load = self.by_target.get(target)?;
        let nominal_end = load.started_at + load.nominal;
        let by_store =
            self.weight_store.expected_end(target).filter(|_| self.follows_observations());
        Some(by_store.map_or(nominal_end, |end| end.max(nominal_end)))
    }

    /// Returns how long a load beside the running ones and `others` takes.
    pub(super) fn expected_duration(&self, tier: Tier, spec: &Model, others: usize) -> Duration {
        let nominal = tier.load_time(spec);
        if tier != Tier::Remote || !self.follows_observations() {
            return nominal;
        }
        self.weight_store.expected_duration(nominal, self.weight_store.running() + others)
    }

    /// Returns how many loads from the weight store may run at once; at least one.
    pub(super) fn max_remote(&self) -> usize {
        if self.follows_observations() {
            self.weight_store.capacity().full_speed.max(1) as usize
        } else {
            MAX_CONCURRENT_REMOTE_LOADS
        }
    }

    pub(super) fn follows_observations(&self) -> bool {
        self.pacing == WeightStorePacing::Observed
    }

    /// Returns whether a target executes a load of a model that is not overdue.
    pub(super) fn is_due(&self, target: &TargetName, model: &ModelName, now: Time) -> bool {
        let load = self.by_target.get(target).filter(|load| load.model.as_ref() == Some(model));
        load.is_some() && self.expected_end(target).is_some_and(|end| now < end)
    }

    /// Returns the targets with loads, and the loads.
    pub(super) fn all(&self) -> impl Iterator<Item = (&Arc<Target>, &RunningLoad)> {
        self.by_target.values().map(|load| (&load.target, load))
    }

    fn log_capacity(&mut self) {
        let capacity = self.weight_store.capacity();
        if capacity != self.last_capacity {
            self.last_capacity = capacity;
            event::FLEET_WEIGHT_STORE.emit(&[
                ("full_speed", &capacity.full_speed),
                ("slow", &capacity.slow.map_or_else(String::new, |slow| slow.to_string())),
                ("running", &self.weight_store.running()),
            ]);
        }
    }
}

impl Planner {
    /// Selects how many loads from the weight store run at once.
    pub fn set_weight_store_pacing(&mut self, pacing: WeightStorePacing) {
        self.loads.pacing = pacing;
    }

    /// Records that a target has accepted the load of its task.
    pub fn load_accepted(&mut self, target: &TargetName, now: Time) {
        let Some(pending) = self.pending.get_mut(target) else { return };
        pending.is_load_accepted = true;
        let load = RunningLoad {
            target: Arc::clone(&pending.target),
            model: pending.loads.first().cloned(),
            is_remote: pending.is_remote,
            started_at: now,
            nominal: pending.load_time,
            expires_at: now + MAX_LOAD_DURATION,
        };
        self.loads.begin(load, now);
    }

    /// Ends the loads that no task waits for, if the list of targets shows that they have ended, or
    /// their targets have left or restarted. Returns the targets and models of those that have
    /// completed.
    pub fn track_loads(&mut self, fleet: &Fleet, now: Time) -> Vec<(TargetName, ModelName)> {
        self.loads.weight_store.advance(now);
        let has_task = |name: &TargetName| {
            self.pending.get(name).is_some_and(|pending| pending.is_load_accepted)
        };
        let untracked: Vec<RunningLoad> =
            self.loads.by_target.values().filter(|l| !has_task(&l.target.name)).cloned().collect();
        let mut completed = Vec::new();
        for load in untracked {
            let name = &load.target.name;
            let is_same_run = fleet
                .target(name)
                .is_some_and(|t| target::may_be_same_run(t.started_at, load.target.started_at));
            let loaded = load.model.as_ref().filter(|m| fleet.lists_model(name, m));
            if let Some(model) = loaded.filter(|_| is_same_run) {
                self.loads.complete(name, now);
                self.occupied.record_success(name);
                completed.push((name.clone(), model.clone()));
            } else if !is_same_run || now >= load.expires_at {
                self.loads.discard(name, now);
            }
        }
        self.loads.log_capacity();
        completed
    }

    /// Checks at targets whose loads are overdue whether these still run. A load that has failed
    /// shows in no list, and would keep others from the weight store.
    pub(super) fn check_overdue_loads(
        &mut self,
        targets: &[Arc<Target>],
        opens_at: &dyn Fn(&TargetName) -> Option<Time>,
        now: Time,
        tasks: &mut Vec<Task>,
    ) {
        for target in targets.iter().filter(|t| self.loads.by_target.contains_key(&t.name)) {
            let is_open = opens_at(&target.name).is_some_and(|at| at <= now);
            let has_task = self.pending.contains_key(&target.name);
            if has_task || !is_open || self.occupied.delay(&target.name, now).is_some() {
                continue;
            }
            let pending = PendingTask {
                service: target.service.clone(),
                target: Arc::clone(target),
                loads: Vec::new(),
                removes: Vec::new(),
                callers: 0,
                began: now,
                load_time: Duration::ZERO,
                done_at: now + ORDER_OVERHEAD,
                is_remote: false,
                is_load_accepted: false,
            };
            self.pending.insert(target.name.clone(), pending);
            tasks.push(Task { target: Arc::clone(target), steps: Vec::new() });
        }
    }

    /// Returns the loads that targets execute, for an announcement to all daemons.
    pub fn loads_in_progress(&self, now: Time) -> Vec<LoadInProgress> {
        let of_load = |(target, load): (&Arc<Target>, &RunningLoad)| LoadInProgress {
            target: target.name.clone(),
            model: load.model.clone(),
            is_remote: load.is_remote,
            age_ms: message::millis(now.since(load.started_at)),
            due_in_ms: message::millis(
                self.loads.expected_end(&target.name).unwrap_or(now).since(now),
            ),
        };
        let mut all: Vec<LoadInProgress> = self.loads.all().map(of_load).collect();
        let is_unknown = |name: &TargetName| !self.loads.by_target.contains_key(name);
        let busy = self.occupied.busy(now).filter(|(name, _)| is_unknown(name));
        all.extend(busy.map(|(name, delay)| LoadInProgress {
            target: name.clone(),
            model: None,
            is_remote: false,
            age_ms: 0,
            due_in_ms: message::millis(delay),
        }));
        all.sort_by_key(|load| std::cmp::Reverse((load.is_remote, load.due_in_ms)));
        all.truncate(MAX_ANNOUNCED_LOADS);
        all
    }

    /// Returns what is known of the number of loads from the weight store at full speed.
    pub fn weight_store_capacity(&self) -> Capacity {
        self.loads.weight_store.capacity()
    }

    /// Takes over the loads that the previous planner has announced, as received at `received_at`.
    /// Their targets get no task until the loads should have ended.
    pub fn adopt_loads(
        &mut self,
        announced: &[LoadInProgress],
        capacity: Capacity,
        received_at: Time,
        fleet: &Fleet,
        now: Time,
    ) {
        self.loads.weight_store.set_capacity(capacity, now);
        for load in announced {
            let Some(target) = fleet.target(&load.target) else { continue };
            let (age, left) = (
                Duration::from_millis(load.age_ms.into()),
                Duration::from_millis(load.due_in_ms.into()),
            );
            let (started_at, nominal) = (received_at.saturating_sub(age), age + left);
            let expires_at = started_at
                + (nominal * ADOPTED_LOAD_EXPIRY_FACTOR).clamp(ORDER_OVERHEAD, MAX_LOAD_DURATION);
            let is_loaded = load.model.as_ref().is_some_and(|m| fleet.lists_model(&load.target, m));
            if now >= expires_at || is_loaded {
                continue;
            }
            self.occupied.record_busy(&load.target, Some(received_at + left), now);
            let (model, is_remote) = (load.model.clone(), load.is_remote);
            let target = Arc::clone(target);
            let load = RunningLoad { target, model, is_remote, started_at, nominal, expires_at };
            self.loads.adopt(load, now);
        }
    }

    /// Returns the loads that no task waits for and that are not overdue.
    pub(super) fn untracked_pending_loads(&self, now: Time) -> Vec<PendingLoad> {
        let untracked = self.loads.all().filter(|(t, _)| !self.pending.contains_key(&t.name));
        let pending_load = |(target, load): (&Arc<Target>, &RunningLoad)| {
            let due = self.loads.expected_end(&target.name).filter(|end| now < *end)?;
            Some(PendingLoad {
                service: target.service.clone(),
                model: load.model.clone()?,
                due_in_ms: message::millis(due.since(now).max(ORDER_OVERHEAD)),
            })
        };
        untracked.filter_map(pending_load).collect()
    }

    /// Returns the number of loads of a model that run or are about to begin, at targets that the
    /// round may use. Overdue loads that no task waits for are not counted.
    pub(super) fn pending_load_count(&self, round: &Round<'_>, model: &ModelName) -> usize {
        let is_pending = |service: &ServiceName, target: &Target| {
            service == round.scope.service && round.scope.allows(target)
        };
        let tasks = self
            .pending
            .values()
            .filter(|p| p.loads.contains(model) && is_pending(&p.service, &p.target))
            .count();
        let is_untracked = |(target, _): &(&Arc<Target>, &RunningLoad)| {
            !self.pending.contains_key(&target.name)
                && is_pending(&target.service, target)
                && self.loads.is_due(&target.name, model, round.scope.now)
        };
        tasks + self.loads.all().filter(is_untracked).count()
    }

    /// Returns the number of tasks that are about to begin a load from the weight store.
    pub(super) fn beginning_remote_loads(&self) -> usize {
        self.pending.values().filter(|p| p.is_remote && !p.is_load_accepted).count()
    }

    /// Returns whether a load from the weight store may run beside the present ones.
    pub(super) fn has_remote_capacity(
        &self,
        round: &Round<'_>,
        queue: &LoadQueue,
        spec: &Model,
    ) -> bool {
        let running = self.loads.weight_store.running() + self.beginning_remote_loads();
        if !self.loads.follows_observations() {
            return running < MAX_CONCURRENT_REMOTE_LOADS;
        }
        self.loads.weight_store.may_start(&LoadRequest {
            nominal: spec.load_remote,
            max_wait: round.scope.max_wait,
            has_copy: round.model(&spec.name).copies > 0,
            others_wait: queue.awaits_first_copies,
            running,
        })
    }
}
