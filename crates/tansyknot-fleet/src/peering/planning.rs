//! The planner's planning round: plans from the current view and starts the resulting tasks.

use std::{sync::Arc, thread};

use tansyknot_core::{clock::Time, name::TargetName};

use super::PeerNode;
use crate::{
    plan::{Task, Tier},
    platform_api::Action,
    target::Target,
    task::TaskOutcome,
};

impl PeerNode {
    pub(super) fn plan(self: &Arc<Self>, now: Time) {
        let Some(catalog) = self.state.catalog() else { return };
        self.track_loads(now);
        let (targets, suspects, displaced, slowness) = {
            let fleet = self.state.fleet();
            let drains = fleet.zone_drains();
            let open = fleet.targets().filter(|t| !drains.contains(&t.zone)).cloned().collect();
            let targets = without_limited(open, &fleet.rate_limited(now));
            let suspects: Vec<TargetName> = targets
                .iter()
                .map(|t| t.name.clone())
                .filter(|name| fleet.is_suspect(name, now))
                .collect();
            (targets, suspects, fleet.models_in_drained_zones(now), fleet.placement_slowness())
        };
        let opens_at = |name: &TargetName| {
            let is_reachable = !suspects.contains(name);
            is_reachable.then(|| self.lease.cooldown_end(name, now)).flatten()
        };
        let tasks = {
            let mut planner = self.planner();
            planner.set_weight_store_pacing(self.state.scheduling.weight_store);
            planner.set_displaced(displaced);
            planner.set_slowness(slowness);
            planner.set_copy_policy(self.state.scheduling.copies);
            planner.plan(&targets, &opens_at, &catalog, now)
        };
        self.report_unplaced();
        for task in tasks {
            self.start(task);
        }
    }

    /// Ends the loads that tasks gave up on, or a previous planner has ordered, when the list shows
    /// their models.
    fn track_loads(&self, now: Time) {
        let completed = {
            let fleet = self.state.fleet();
            self.planner().track_loads(&fleet, now)
        };
        for (target, model) in completed {
            self.task_runner.publish_loaded(&target, &model);
        }
    }

    fn start(self: &Arc<Self>, task: Task) {
        let me = Arc::clone(self);
        let name = task.target.name.clone();
        let spawned =
            thread::Builder::new().name("task".to_owned()).spawn(move || me.run_task(&task));
        if let Err(e) = spawned {
            log::warn!("could not spawn a thread for a task: {e}");
            self.planner().task_ended(&name, TaskOutcome::Failed, self.state.now());
        }
    }

    fn run_task(&self, task: &Task) {
        self.count_remote_loads(task);
        let on_load_accepted = || self.planner().load_accepted(&task.target.name, self.state.now());
        let end = self.task_runner.run_with(task, &on_load_accepted);
        self.planner().task_ended(&task.target.name, end, self.state.now());
        self.state.step_due.notify();
    }

    fn count_remote_loads(&self, task: &Task) {
        let now = self.state.now();
        for step in &task.steps {
            let Action::Load { model, adapter: None } = &step.action else { continue };
            if Tier::of(&task.target, model) == Tier::Remote {
                self.planner().count_remote_load(now);
            }
        }
    }
}

/// Leaves out targets with a rate limit, because a model that is placed there can serve few
/// requests. If all ready targets of a service have limits, its targets are not left out.
fn without_limited(targets: Vec<Arc<Target>>, limited: &[TargetName]) -> Vec<Arc<Target>> {
    if limited.is_empty() {
        return targets;
    }
    let (limited, unlimited): (Vec<Arc<Target>>, Vec<Arc<Target>>) =
        targets.into_iter().partition(|t| limited.contains(&t.name));
    let is_ready_elsewhere =
        |t: &Arc<Target>| unlimited.iter().any(|u| u.service == t.service && u.is_ready());
    let fallback: Vec<Arc<Target>> =
        limited.into_iter().filter(|t| !is_ready_elsewhere(t)).collect();
    [unlimited, fallback].concat()
}
