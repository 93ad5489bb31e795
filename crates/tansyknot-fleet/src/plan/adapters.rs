//! Selects the adapters to load, and the copies of their models beside which to load them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tansyknot_core::name::{AdapterName, ModelName, TargetName};

use super::{Planner, Round, Step, Task, used_mb};
use crate::{
    bounds::Bounds, dissemination::message::DemandKey, platform_api::Action, target::Target,
};

impl Planner {
    /// Loads the adapters that requests wait for, beside their models.
    pub(super) fn plan_adapters(&mut self, round: &Round<'_>, tasks: &mut Vec<Task>) {
        let wanted = self.wanted_adapters(round);
        let mut by_target: HashMap<TargetName, Task> = HashMap::new();
        for (model, adapter) in wanted {
            let Some(target) = self.adapter_target(round, &model, &adapter, &by_target) else {
                continue;
            };
            let planned_steps = by_target.get(&target.name).map_or(0, |t| t.steps.len());
            let Some(steps) = self.adapter_steps(round, target, &model, &adapter, planned_steps)
            else {
                continue;
            };
            let task = by_target
                .entry(target.name.clone())
                .or_insert_with(|| Task { target: Arc::clone(target), steps: Vec::new() });
            task.steps.extend(steps);
        }
        for task in by_target.into_values() {
            self.begin_task(task, round, tasks);
        }
    }

    fn wanted_adapters(&self, round: &Round<'_>) -> Vec<(ModelName, AdapterName)> {
        let mut wanted: Vec<(u32, ModelName, AdapterName)> = Vec::new();
        for (DemandKey { service, model, adapter, bounds }, d) in &self.demand {
            let Some(adapter) = adapter else { continue };
            let is_in_scope = service == round.scope.service && round.scope.includes(bounds);
            if !is_in_scope || d.waiting() == 0 {
                continue;
            }
            let is_held = round.targets.iter().any(|t| t.holds(model, Some(adapter)));
            if !is_held {
                wanted.push((d.waiting(), model.clone(), adapter.clone()));
            }
        }
        wanted.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| (&a.1, &a.2).cmp(&(&b.1, &b.2))));
        wanted.into_iter().map(|(_, model, adapter)| (model, adapter)).collect()
    }

    /// Selects the target with the fewest adapters among those that hold the model and have no
    /// task.
    fn adapter_target<'a>(
        &self,
        round: &Round<'a>,
        model: &ModelName,
        adapter: &AdapterName,
        planned: &HashMap<TargetName, Task>,
    ) -> Option<&'a Arc<Target>> {
        let is_free = |t: &&&'a Arc<Target>| {
            t.holds(model, None)
                && round.cooldown(&t.name).is_none()
                && !self.pending.contains_key(&t.name)
                && self.occupied.delay(&t.name, round.scope.now).is_none()
        };
        let adapter_count = |t: &Target| {
            let loaded: usize = t.models.iter().map(|h| h.adapters.len()).sum();
            loaded + planned.get(&t.name).map_or(0, |task| task.steps.len())
        };
        let tie_break = |t: &Target| {
            let text = format!("{}/{adapter}", t.name);
            xxhash_rust::xxh3::xxh3_64(text.as_bytes())
        };
        let holders = round.targets.iter().filter(is_free);
        holders.min_by_key(|t| (adapter_count(t), tie_break(t))).copied()
    }

    fn adapter_steps(
        &self,
        round: &Round<'_>,
        target: &Target,
        model: &ModelName,
        adapter: &AdapterName,
        planned_steps: usize,
    ) -> Option<Vec<Step>> {
        let spec = round.scope.engine.models.get(model)?;
        let loaded: usize = target.models.iter().map(|h| h.adapters.len()).sum();
        let mut steps = Vec::new();
        if loaded + planned_steps >= round.scope.engine.adapter_slots {
            // Each task replaces at most one adapter, as `target` does not reflect earlier removals
            // of the task.
            if planned_steps > 0 {
                return None;
            }
            let (victim_model, victim) = self.least_used_adapter(round, target)?;
            let action = Action::Remove { model: victim_model, adapter: Some(victim) };
            steps.push(Step { action, expected_duration: Duration::ZERO });
        }
        let free_mb = round.scope.engine.memory_mb - used_mb(round.scope.engine, target);
        if steps.is_empty() && free_mb < spec.adapter_mb * (planned_steps + 1) as f64 {
            return None;
        }
        let action = Action::Load { model: model.clone(), adapter: Some(adapter.clone()) };
        steps.push(Step { action, expected_duration: Duration::ZERO });
        Some(steps)
    }

    fn least_used_adapter(
        &self,
        round: &Round<'_>,
        target: &Target,
    ) -> Option<(ModelName, AdapterName)> {
        let now = round.scope.now;
        let all = target.models.iter().flat_map(|h| h.adapters.iter().map(|a| (&h.model, a)));
        let rate = |(model, adapter): &(&ModelName, &AdapterName)| {
            let key = |bounds: &Bounds| DemandKey {
                service: round.scope.service.clone(),
                model: (*model).clone(),
                adapter: Some((*adapter).clone()),
                bounds: bounds.clone(),
            };
            let bounds = round.scope.bounds;
            let of_scope = (!bounds.is_unbound()).then(|| self.rate(&key(bounds), now));
            self.rate(&key(&Bounds::default()), now) + of_scope.unwrap_or(0.0)
        };
        let least_used = all.min_by(|a, b| rate(a).total_cmp(&rate(b)))?;
        Some((least_used.0.clone(), least_used.1.clone()))
    }
}
