//! The effect of orders on a target's loaded models.

use tansyknot_core::name::ModelName;

use crate::{platform_api::Action, target::LoadedModel};

/// Returns whether two lists contain the same models and adapters, in any order.
pub(super) fn same_models(a: &[LoadedModel], b: &[LoadedModel]) -> bool {
    let is_contained = |h: &LoadedModel, others: &[LoadedModel]| {
        let found = others.iter().find(|o| o.model == h.model);
        found.is_some_and(|o| {
            o.adapters.len() == h.adapters.len()
                && h.adapters.iter().all(|a| o.adapters.contains(a))
        })
    };
    a.len() == b.len() && a.iter().all(|h| is_contained(h, b))
}

/// Returns the loaded models other than `model`.
pub(super) fn models_without(models: &[LoadedModel], model: &ModelName) -> Vec<LoadedModel> {
    models.iter().filter(|h| h.model != *model).cloned().collect()
}

/// Applies an executed action to the loaded models of a target.
pub(super) fn apply(models: &mut Vec<LoadedModel>, action: &Action) {
    match action {
        Action::Load { model, adapter: None } => {
            models.push(LoadedModel { model: model.clone(), adapters: Vec::new() });
        }
        Action::Load { model, adapter: Some(adapter) } => {
            if let Some(held) = models.iter_mut().find(|h| h.model == *model) {
                held.adapters.push(adapter.clone());
            }
        }
        Action::Remove { model, adapter: None } => models.retain(|h| h.model != *model),
        Action::Remove { model, adapter: Some(adapter) } => {
            if let Some(held) = models.iter_mut().find(|h| h.model == *model) {
                held.adapters.retain(|a| a != adapter);
            }
        }
    }
}

/// Returns a short description of an action, for events.
pub(super) fn describe(action: &Action) -> String {
    let (verb, model, adapter) = match action {
        Action::Load { model, adapter } => ("load", model, adapter),
        Action::Remove { model, adapter } => ("remove", model, adapter),
    };
    match adapter {
        Some(adapter) => format!("{verb} {model}/{adapter}"),
        None => format!("{verb} {model}"),
    }
}
