//! What orders do to what a target holds.

use tansyknot_core::name::ModelName;

use crate::{outside::Action, target::Held};

/// Tells whether two lists have the same models and adapters, in whatever order.
pub(super) fn same_models(a: &[Held], b: &[Held]) -> bool {
    let is_in = |h: &Held, others: &[Held]| {
        let found = others.iter().find(|o| o.model == h.model);
        found.is_some_and(|o| {
            o.adapters.len() == h.adapters.len()
                && h.adapters.iter().all(|a| o.adapters.contains(a))
        })
    };
    a.len() == b.len() && a.iter().all(|h| is_in(h, b))
}

pub(super) fn without(models: &[Held], model: &ModelName) -> Vec<Held> {
    models.iter().filter(|h| h.model != *model).cloned().collect()
}

/// Changes what a target holds as an action that has been carried out does.
pub(super) fn apply(models: &mut Vec<Held>, action: &Action) {
    match action {
        Action::Load { model, adapter: None } => {
            models.push(Held { model: model.clone(), adapters: Vec::new() });
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
