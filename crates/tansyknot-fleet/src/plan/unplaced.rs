//! Requested models that get no room, or get it later than their callers can wait.

use std::time::Duration;

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName},
};

use super::{
    ORDER_OVERHEAD, Planner, Round, SETTLE_TIMEOUT, Tier, model_mb,
    place::{LoadQueue, REMOTE_WINDOW},
    used_mb,
};
use crate::{
    dissemination::{message, scheduling::UnplacedModel},
    scheduling::CopyPolicy,
    target::Target,
};

/// A new planner announces no model before it has planned for this long: some daemons' demand may
/// be missing until they have sent a few heartbeats.
const MIN_PLANNER_AGE: Duration = Duration::from_millis(1000);
/// When room is expected at targets whose models all stay in use: the planner waits for a model to
/// become idle only if that should take no longer.
const MODELS_IN_USE_WAIT: Duration = Duration::from_secs(4);
/// A model that is without room again within this time counts as without room all along, because
/// requests that are refused at once do not wait.
const EPISODE_GAP: Duration = Duration::from_secs(3);
/// The maximum number of announced models, those that most requests wait for. An entry takes about
/// 25 bytes.
const MAX_ANNOUNCED: usize = 128;

/// Why a model gets no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnplacedReason {
    /// At each target, models that are in use would have to be evicted.
    ModelsInUse,
    /// The weights are in the weight store only, which runs no further load now.
    WeightStore,
    /// The load would be done after the longest time budget of the service's routes.
    TooLate,
}

impl UnplacedReason {
    /// Returns the name that logs use.
    pub fn name(self) -> &'static str {
        match self {
            UnplacedReason::ModelsInUse => "models_in_use",
            UnplacedReason::WeightStore => "weight_store",
            UnplacedReason::TooLate => "too_late",
        }
    }
}

/// A model without room.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unplaced {
    since: Time,
    /// The last round that found no room.
    last_seen: Time,
    room_at: Time,
    reason: UnplacedReason,
    waiting: u32,
}

/// A model has begun or ceased to be without room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnplacedChange {
    /// There is no room.
    Began {
        /// The service.
        service: ServiceName,
        /// The model.
        model: ModelName,
        /// Why there is none.
        reason: UnplacedReason,
        /// The requests that wait for it.
        waiting: u32,
        /// When room is expected.
        room_in: Duration,
    },
    /// The model has room, or is no longer requested.
    Ended {
        /// The service.
        service: ServiceName,
        /// The model.
        model: ModelName,
        /// The last reason.
        reason: UnplacedReason,
        /// How long it was without room.
        lasted: Duration,
        /// Whether it is being loaded or has a copy.
        is_placed: bool,
    },
}

impl Planner {
    /// Returns whether a load that is done after `ready_in` comes too late for all callers.
    pub(super) fn is_too_late(
        &self,
        round: &Round<'_>,
        model: &ModelName,
        ready_in: Duration,
    ) -> bool {
        self.may_announce(round, model) && ready_in >= round.scope.max_wait
    }

    /// Records that there is no place for a model. If room is due within the callers' time, its
    /// load is announced as queued instead. `remote_queue` counts the models of the round that wait
    /// for the weight store.
    pub(super) fn record_no_room(
        &mut self,
        round: &Round<'_>,
        model: &ModelName,
        remote_queue: &mut u32,
    ) {
        if !self.may_announce(round, model) {
            return;
        }
        let load_time = round.load_time(model) + ORDER_OVERHEAD;
        let (reason, known) = match self.weight_store_free_in(round, model) {
            Some(free_in) => {
                let loads_ahead = *remote_queue / self.loads.max_remote() as u32;
                *remote_queue += 1;
                (UnplacedReason::WeightStore, Some(free_in + load_time * loads_ahead))
            }
            None => (UnplacedReason::ModelsInUse, self.settled_in(round, model)),
        };
        match known.map(|known| known + load_time) {
            Some(ready_in) if ready_in < round.scope.max_wait => {
                let key = (round.scope.service.clone(), model.clone());
                self.queued_loads.insert(key, round.scope.now + ready_in);
            }
            Some(ready_in) => self.record_unplaced(round, model, reason, ready_in),
            None => self.record_unplaced(round, model, reason, MODELS_IN_USE_WAIT + load_time),
        }
    }

    /// Records that a model gets room only after `room_in`, or that this is the best estimate.
    pub(super) fn record_unplaced(
        &mut self,
        round: &Round<'_>,
        model: &ModelName,
        reason: UnplacedReason,
        room_in: Duration,
    ) {
        let (service, now) = (round.scope.service.clone(), round.scope.now);
        let waiting = round.model(model).all_waiting();
        let key = (service.clone(), model.clone());
        let entry =
            Unplaced { since: now, last_seen: now, room_at: now + room_in, reason, waiting };
        match self.unplaced.get_mut(&key) {
            Some(known) => *known = Unplaced { since: known.since, ..entry },
            None => {
                self.unplaced.insert(key, entry);
                let model = model.clone();
                let change = UnplacedChange::Began { service, model, reason, waiting, room_in };
                self.unplaced_changes.push(change);
            }
        }
    }

    /// Returns whether a lack of room for a model is announced: requests wait for it that may use
    /// all targets, it has no copy, and the planner's view is complete.
    fn may_announce(&self, round: &Round<'_>, model: &ModelName) -> bool {
        let view = round.model(model);
        let is_established =
            self.began.is_some_and(|began| round.scope.now.since(began) >= MIN_PLANNER_AGE);
        round.copies == CopyPolicy::ServiceTime
            && is_established
            && round.scope.bounds.is_unbound()
            && !round.targets.is_empty()
            && view.all_waiting() > 0
            && view.copies + self.pending_load_count(round, model) == 0
    }

    /// Returns when the weight store runs a further load, if the model is only there and must wait
    /// for that.
    fn weight_store_free_in(&self, round: &Round<'_>, model: &ModelName) -> Option<Duration> {
        let spec = round.scope.engine.models.get(model)?;
        let is_allowed = self.is_remote_load_allowed(round, &LoadQueue::default(), spec);
        if round.nearest_tier(model) != Tier::Remote || is_allowed {
            return None;
        }
        let now = round.scope.now;
        let remote = self.pending.values().filter(|p| p.is_remote);
        let mut ends: Vec<Duration> = remote.map(|p| p.done_at.since(now)).collect();
        ends.sort();
        let excess = ends.len().checked_sub(self.loads.max_remote());
        let window_ends_in = || {
            let oldest = self.remote_loads.front();
            oldest.map_or(Duration::ZERO, |at| REMOTE_WINDOW.saturating_sub(now.since(*at)))
        };
        let free_in = excess.map_or_else(window_ends_in, |excess| ends[excess]);
        Some(free_in.max(ORDER_OVERHEAD))
    }

    /// Returns when the first target has room for a model by the eviction of recently loaded models
    /// that may not be evicted yet; `None` if there is none.
    fn settled_in(&self, round: &Round<'_>, model: &ModelName) -> Option<Duration> {
        let engine = round.scope.engine;
        let needed_mb = engine.models.get(model)?.memory_mb;
        let settled_at = |target: &Target| {
            let mut free_mb = engine.memory_mb - used_mb(engine, target);
            let mut settled_in = Duration::ZERO;
            for held in &target.models {
                let key = (target.name.clone(), held.model.clone());
                let Some(settling) = self.settling.get(&key) else { continue };
                free_mb += model_mb(engine, target, &held.model);
                let age = round.scope.now.since(settling.since);
                settled_in = settled_in.max(SETTLE_TIMEOUT.saturating_sub(age));
            }
            (free_mb >= needed_mb).then_some(settled_in)
        };
        round.targets.iter().filter_map(|target| settled_at(target)).min()
    }

    /// Ends the records of models that have room now or are no longer requested.
    pub(super) fn end_placed(&mut self, now: Time) {
        let Self { unplaced, unplaced_changes, pending, queued_loads, .. } = self;
        unplaced.retain(|(service, model), entry| {
            let is_loading =
                pending.values().any(|p| p.service == *service && p.loads.contains(model));
            let is_placed =
                is_loading || queued_loads.contains_key(&(service.clone(), model.clone()));
            if !is_placed && now.since(entry.last_seen) < EPISODE_GAP {
                return true;
            }
            unplaced_changes.push(UnplacedChange::Ended {
                service: service.clone(),
                model: model.clone(),
                reason: entry.reason,
                lasted: entry.last_seen.since(entry.since),
                is_placed,
            });
            false
        });
    }

    /// Drops all records, as another daemon is the planner now.
    pub(super) fn forget_unplaced(&mut self) {
        self.began = None;
        self.unplaced.clear();
        self.unplaced_changes.clear();
    }

    /// Returns the models that the last round found no room for, those first that most requests
    /// wait for.
    pub fn unplaced(&self, now: Time) -> Vec<UnplacedModel> {
        let mut current: Vec<(&(ServiceName, ModelName), &Unplaced)> =
            self.unplaced.iter().filter(|(_, e)| e.last_seen == self.planned_at).collect();
        current.sort_by_key(|(key, entry)| (std::cmp::Reverse(entry.waiting), *key));
        let announced = |((service, model), entry): (&(ServiceName, ModelName), &Unplaced)| {
            let retry_in_ms = message::millis(entry.room_at.since(now).max(ORDER_OVERHEAD));
            UnplacedModel { service: service.clone(), model: model.clone(), retry_in_ms }
        };
        current.into_iter().take(MAX_ANNOUNCED).map(announced).collect()
    }

    /// Returns the models that have begun or ceased to be without room since the last call.
    pub fn take_unplaced_changes(&mut self) -> Vec<UnplacedChange> {
        std::mem::take(&mut self.unplaced_changes)
    }
}
