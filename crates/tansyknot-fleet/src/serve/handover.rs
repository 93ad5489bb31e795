//! Finding a place elsewhere for a request before its silent target is let go.

use std::{cell::RefCell, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::BootInstant,
    name::{AdapterName, ModelName, ServiceName, TargetName},
};

use super::run::Run;
use crate::{
    exchange::Silence,
    fleet::{Prefix, Want},
    poison::key::RequestKey,
    state::State,
    target::Target,
};

/// How often a place elsewhere is looked for while a target stays silent.
const LOOK: Duration = Duration::from_millis(100);

/// A request whose target is silent, and where it goes on.
///
/// A slow target may still answer, so it is kept as long as no other one has a free slot or no
/// retry is left: letting it go would end a request that is being served.
pub(super) struct Handover<'s> {
    state: &'s State,
    key: RequestKey,
    service: ServiceName,
    model: Option<ModelName>,
    adapter: Option<AdapterName>,
    prefix: Option<Prefix>,
    tried: Vec<TargetName>,
    until: BootInstant,
    next: RefCell<Option<Arc<Target>>>,
}

impl<'s> Handover<'s> {
    /// Prepares to take a request away from `target`.
    pub(super) fn new(state: &'s State, run: &Run<'_>, target: &Target) -> Self {
        let want = run.want();
        let mut tried = run.tried.clone();
        tried.push(target.name.clone());
        Self {
            state,
            key: run.key,
            service: want.service.clone(),
            model: want.model.cloned(),
            adapter: want.adapter.cloned(),
            prefix: want.prefix,
            tried,
            until: run.give_up_at(),
            next: RefCell::default(),
        }
    }

    /// Returns the target that has been found. The request is counted there, and its retry has
    /// been taken.
    pub(super) fn into_next(self) -> Option<Arc<Target>> {
        self.next.into_inner()
    }

    fn find(&self) -> Option<Arc<Target>> {
        if self.state.poison().is_convicted(self.key) {
            return None;
        }
        let want = Want {
            service: &self.service,
            model: self.model.as_ref(),
            adapter: self.adapter.as_ref(),
            prefix: self.prefix,
        };
        let now = self.state.now();
        let target =
            self.state.fleet().pick_elsewhere(&want, &self.tried, now, &mut rand::rng())?;
        if self.state.take_second_send(&self.service) {
            return Some(target);
        }
        self.state.fleet().leave(&target.name, want.model);
        None
    }
}

impl Silence for Handover<'_> {
    fn wait_on(&self) -> Option<BootInstant> {
        let now = BootInstant::now();
        if now >= self.until {
            return None;
        }
        if let Some(target) = self.find() {
            self.next.replace(Some(target));
            return None;
        }
        Some((now + LOOK).min(self.until))
    }
}
