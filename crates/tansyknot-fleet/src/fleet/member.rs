//! One target as a daemon sees it: its entry, the planner's override, and the outcomes of requests.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{AdapterName, ModelName},
};

use super::{
    TargetRequirements,
    response_waits::{ResponseWaits, Responsiveness},
};
use crate::{
    backpressure::Interval,
    dissemination::message::{TargetLoad, TargetOverride},
    poison::key::RunKey,
    target::{self, Target, TargetState},
};

/// How long a target's response that it does not hold a model overrides an unchanged entry.
const MISSING_MODEL_DURATION: Duration = Duration::from_millis(1500);

/// How long the tokens of other daemons' requests count after the planner's report of them: three
/// heartbeats. Lost updates can then not block a target for longer.
const OTHER_TOKENS_TTL: Duration = Duration::from_millis(900);

/// This daemon's requests for one model at a target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Held {
    pub(super) requests: u16,
    /// The tokens that they are expected to keep in the cache.
    pub(super) tokens: u32,
}

/// A target and what this daemon has observed of it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// The target's entry in the list.
    pub(super) entry: Arc<Target>,
    /// The entry with the planner's override and the target's drain signal applied.
    pub(super) target: Arc<Target>,
    /// The current run of the target.
    pub(super) run: RunKey,
    /// Whether that run has signalled that it is draining.
    pub(super) is_draining: bool,
    pub(super) active_override: Option<ActiveOverride>,
    /// This daemon's requests there, by model.
    pub(super) in_flight: HashMap<Option<ModelName>, Held>,
    /// The tokens of these requests, as last reported to the planner.
    pub(super) reported_tokens: u64,
    /// Whether it has responded to a request of this daemon.
    pub(super) has_responded: bool,
    /// The response without a rate limit whose request was sent last.
    pub(super) last_unlimited: Option<Interval>,
    /// This daemon's requests that it has not begun to answer.
    pub(super) response_waits: ResponseWaits,
    /// Requests of the other daemons there, as last reported by the planner.
    pub(super) other_requests: u32,
    /// The tokens of the other daemons' requests, and until when they count.
    other_tokens: (u64, Time),
    /// The target is selected before this time only if there is no other.
    pub(super) suspect_until: Time,
    pub(super) suspect_count: u32,
    /// The target is not selected before this time.
    pub(super) full_until: Time,
    /// Models that the target reported as not loaded, and when.
    pub(super) missing_models: HashMap<(ModelName, Option<AdapterName>), Time>,
    pub(super) failure_rate: f64,
    /// The state that was last logged.
    pub(super) logged_state: Option<TargetState>,
    /// Set if the entry is gone and may have expired during a store outage.
    pub(super) deferred_removal: Option<DeferredRemoval>,
}

/// The deferred removal of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeferredRemoval {
    /// When the target is dropped.
    pub(super) at: Time,
    /// The store's version as of which it is gone.
    pub(super) version: u64,
}

/// An override by the planner, which takes precedence over the list.
#[derive(Clone, Debug)]
pub(super) struct ActiveOverride {
    pub(super) target_override: TargetOverride,
    pub(super) fence: u64,
    pub(super) until: Time,
}

impl Member {
    pub(super) fn new(target: Target) -> Self {
        let entry = Arc::new(target);
        Self {
            run: RunKey::of(&entry),
            is_draining: false,
            target: Arc::clone(&entry),
            entry,
            active_override: None,
            in_flight: HashMap::new(),
            reported_tokens: 0,
            has_responded: false,
            last_unlimited: None,
            response_waits: ResponseWaits::default(),
            other_requests: 0,
            other_tokens: (0, Time::default()),
            suspect_until: Time::default(),
            suspect_count: 0,
            full_until: Time::default(),
            missing_models: HashMap::new(),
            failure_rate: 0.0,
            logged_state: None,
            deferred_removal: None,
        }
    }

    /// Applies a newer entry of the list. The entry of another run resets all that was observed,
    /// except for this daemon's requests there, which end by themselves.
    pub(super) fn set_entry(&mut self, entry: Target, now: Time) {
        if !target::may_be_same_run(self.entry.started_at, entry.started_at) {
            let (in_flight, logged_state) =
                (std::mem::take(&mut self.in_flight), self.logged_state);
            *self = Self { in_flight, logged_state, ..Self::new(entry) };
            return;
        }
        // An entry written before the target began to drain does not cancel an override to
        // draining.
        let agrees = |o: &TargetOverride| o.models == entry.models && o.state == entry.state;
        let is_obsolete = |o: &ActiveOverride| now >= o.until || agrees(&o.target_override);
        self.active_override.take_if(|o| is_obsolete(o));
        self.entry = Arc::new(entry);
        self.run = RunKey::of(&self.entry);
        self.deferred_removal = None;
        self.rebuild_target();
    }

    /// Applies an override by the planner with `fence`, which takes precedence over the list until
    /// `until`.
    pub(super) fn set_override(
        &mut self,
        target_override: &TargetOverride,
        fence: u64,
        until: Time,
    ) {
        let is_newer = |o: &ActiveOverride| {
            (o.fence, o.target_override.revision) > (fence, target_override.revision)
        };
        let is_of_this_run =
            target::may_be_same_run(self.entry.started_at, target_override.started_at);
        if !is_of_this_run || self.active_override.as_ref().is_some_and(is_newer) {
            return;
        }
        self.active_override =
            Some(ActiveOverride { target_override: target_override.clone(), fence, until });
        self.rebuild_target();
    }

    /// Drops an expired override, so that the list applies again.
    pub(super) fn expire_override(&mut self, now: Time) {
        if self.active_override.take_if(|o| now >= o.until).is_some() {
            self.rebuild_target();
        }
    }

    /// Records whether the run has signalled that it is draining.
    pub(super) fn set_draining(&mut self, is_draining: bool) {
        if self.is_draining != is_draining {
            self.is_draining = is_draining;
            self.rebuild_target();
        }
    }

    /// Rebuilds the target from the entry, the override and the target's drain signal.
    fn rebuild_target(&mut self) {
        let planner_override = self.active_override.as_ref().map(|o| &o.target_override);
        // A draining target does not return to service under this name.
        let is_draining =
            self.is_draining || planner_override.is_some_and(|o| o.state == TargetState::Draining);
        if planner_override.is_none() && !is_draining {
            return self.replace_target(Arc::clone(&self.entry));
        }
        let mut target = Target::clone(&self.entry);
        if let Some(target_override) = planner_override {
            target.models.clone_from(&target_override.models);
        }
        if is_draining {
            target.state = TargetState::Draining;
        }
        self.replace_target(Arc::new(target));
    }

    fn replace_target(&mut self, target: Arc<Target>) {
        if self.target.models != target.models {
            self.missing_models.clear();
        }
        self.target = target;
    }

    /// Returns whether the target accepts new work.
    pub(super) fn takes_work(&self, now: Time) -> bool {
        self.target.is_ready() && self.deferred_removal.is_none_or(|deferred| now < deferred.at)
    }

    /// Returns whether the target gets requests, as far as its responses to earlier ones show.
    pub(super) fn gets_requests(&self, now: Time) -> bool {
        self.response_waits.responsiveness(now) != Responsiveness::Unresponsive
    }

    /// Returns whether the target gets requests while others could take them.
    pub(super) fn is_preferred(&self, now: Time) -> bool {
        let responsiveness = self.response_waits.responsiveness(now);
        matches!(responsiveness, Responsiveness::Responsive | Responsiveness::Recovering)
    }

    /// Returns whether the target begins its responses in time.
    pub(super) fn is_responsive(&self, now: Time) -> bool {
        self.response_waits.responsiveness(now) == Responsiveness::Responsive
    }

    pub(super) fn own_requests(&self) -> u32 {
        self.in_flight.values().map(|held| u32::from(held.requests)).sum()
    }

    pub(super) fn own_tokens(&self) -> u64 {
        self.in_flight.values().map(|held| u64::from(held.tokens)).sum()
    }

    /// Returns the tokens of all daemons' requests.
    pub(super) fn tokens(&self, now: Time) -> u64 {
        let (others, until) = self.other_tokens;
        self.own_tokens() + if now < until { others } else { 0 }
    }

    /// Forgets the requests of the other daemons.
    pub(super) fn clear_others(&mut self) {
        self.other_requests = 0;
        self.other_tokens = (0, Time::default());
    }

    /// Records the requests of the other daemons; `load` includes this daemon's own requests.
    pub(super) fn set_others(&mut self, load: &TargetLoad, now: Time) {
        self.other_requests = u32::from(load.requests).saturating_sub(self.own_requests());
        // The planner knows the tokens that this daemon has reported. A single request may have
        // a third of the cache, so that its own change since then would distort the difference.
        let others = u64::from(load.tokens).saturating_sub(self.reported_tokens);
        self.other_tokens = (others, now + OTHER_TOKENS_TTL);
    }

    pub(super) fn is_missing(&self, want: &TargetRequirements<'_>, now: Time) -> bool {
        let Some(model) = want.model else { return false };
        let is_recent = |adapter: Option<&AdapterName>| {
            let key = (model.clone(), adapter.cloned());
            self.missing_models.get(&key).is_some_and(|at| now.since(*at) < MISSING_MODEL_DURATION)
        };
        is_recent(None) || (want.adapter.is_some() && is_recent(want.adapter))
    }

    pub(super) fn holds(&self, want: &TargetRequirements<'_>) -> bool {
        want.model.is_none_or(|m| self.target.holds(m, want.adapter))
    }

    pub(super) fn load(&self) -> f64 {
        f64::from(self.own_requests() + self.other_requests) / f64::from(self.target.slots.max(1))
    }
}
