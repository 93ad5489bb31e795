//! Search for another target before an unresponsive target is abandoned.

use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::BootInstant,
    name::{AdapterName, ModelName, ServiceName, TargetName},
};

use super::request::ActiveRequest;
use crate::{
    exchange::TimeoutPolicy,
    fleet::{CacheNeed, PromptPrefix, TargetRequirements},
    poison::key::RequestSuspects,
    residency::ZoneSet,
    state::State,
    stream_origin::Origin,
    target::Target,
};

/// Interval between searches for another target while the current one is unresponsive.
const TARGET_SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// A request whose target is unresponsive, and the target found for its retry.
///
/// A slow target may still respond, so the connection is kept while no other target has a free slot
/// or the retry budget is empty: closing it would fail a request that is being served.
pub(super) struct Handover<'s> {
    state: &'s State,
    suspects: RequestSuspects,
    service: ServiceName,
    model: Option<ModelName>,
    adapter: Option<AdapterName>,
    prefix: Option<PromptPrefix>,
    zones: Option<ZoneSet>,
    cache: CacheNeed,
    /// Set once an event has arrived, which may be after the handover was prepared.
    origin: Rc<OnceCell<Origin>>,
    /// Set once no other target can go on with the stream.
    lacks_id: Rc<Cell<bool>>,
    tried: Vec<TargetName>,
    deadline: BootInstant,
    next_target: RefCell<Option<Arc<Target>>>,
}

impl<'s> Handover<'s> {
    /// Prepares the handover of a request that is now at `target`.
    pub(super) fn new(state: &'s State, request: &ActiveRequest<'_>, target: &Target) -> Self {
        let want = request.want();
        let mut tried = request.tried.clone();
        tried.push(target.name.clone());
        Self {
            state,
            suspects: request.suspects.clone(),
            service: want.service.clone(),
            model: want.model.cloned(),
            adapter: want.adapter.cloned(),
            prefix: want.prefix,
            zones: want.zones.cloned(),
            cache: want.cache,
            origin: Rc::clone(&request.origin),
            lacks_id: Rc::clone(&request.relay.lacks_id),
            tried,
            deadline: request.give_up_at(),
            next_target: RefCell::default(),
        }
    }

    /// Returns the target that was found. The request is already counted there, and a retry has
    /// been taken from the budget.
    pub(super) fn into_next_target(self) -> Option<Arc<Target>> {
        self.next_target.into_inner()
    }

    fn find(&self) -> Option<Arc<Target>> {
        if self.lacks_id.get() {
            return None;
        }
        let may_crash_another = {
            let mut poison = self.state.poison();
            poison.withholds(&self.suspects) || !poison.convicted_of(&self.suspects).is_empty()
        };
        if may_crash_another {
            return None;
        }
        let want = TargetRequirements {
            service: &self.service,
            model: self.model.as_ref(),
            adapter: self.adapter.as_ref(),
            prefix: self.prefix,
            zones: self.zones.as_ref(),
            cache: self.cache,
            origin: self.origin.get(),
        };
        let now = self.state.now();
        let target = self.state.fleet().pick_other(&want, &self.tried, now, &mut rand::rng())?;
        if self.state.take_retry(&self.service) {
            return Some(target);
        }
        self.state.fleet().end_request(&target.name, want.model, want.cache.tokens);
        None
    }
}

impl TimeoutPolicy for Handover<'_> {
    fn on_timeout(&self) -> Option<BootInstant> {
        let now = BootInstant::now();
        if now >= self.deadline {
            return None;
        }
        if let Some(target) = self.find() {
            self.next_target.replace(Some(target));
            return None;
        }
        Some((now + TARGET_SEARCH_INTERVAL).min(self.deadline))
    }
}
