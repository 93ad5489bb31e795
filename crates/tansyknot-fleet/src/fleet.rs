//! The daemon's view of the targets, and the selection of a target for each request.

mod brittle;
mod health;
pub mod list;
mod member;
mod pick;
mod places;
mod response_waits;
mod room;
mod signal;
mod unplaced;
pub mod warm_up;
mod zone;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    event,
    name::{AdapterName, ModelName, ServiceName, TargetName, ZoneName},
};

use crate::{
    backpressure::registry::Registry,
    bounds::Bounds,
    condition::Conditions,
    dissemination::{
        changes::ChangeLog,
        message::{DemandKey, InFlight, ModelUse, PendingLoad, TargetLoad, TargetOverride},
    },
    freshness::FreshnessLimits,
    residency::ZoneSet,
    scheduling::{Admission, RoomAccounting, TargetChoice},
    stream_origin::{
        Origin,
        history::{SoftwareHistory, SoleVersion, SoleVersions},
    },
    target::Target,
    zone_drain::ZoneDrains,
};

use brittle::BrittleServices;
pub use list::EXPIRY_GRACE;
use list::{ListState, RemovedTarget};
use member::{Held, Member};
pub use places::FreePlaces;
use places::ServiceTimes;
pub use response_waits::{ResponseLimits, ResponseWait, WaitEnd};
pub use room::CacheNeed;
use unplaced::Announcement;
use warm_up::WarmUps;

/// How long the use of a model is reported to the planner after its last request, as datagrams may
/// be lost.
const USE_REPORT_WINDOW: Duration = Duration::from_millis(1000);
/// How long the use of a model is retained after its last request. A model without a request for
/// longer counts as unused.
const USE_RETENTION: Duration = Duration::from_secs(30);

/// What a request requires of a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRequirements<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model; `None` for a plain service.
    pub model: Option<&'a ModelName>,
    /// The adapter.
    pub adapter: Option<&'a AdapterName>,
    /// The start of the prompt that other prompts share.
    pub prefix: Option<PromptPrefix>,
    /// The only zones in which the request may be served; `None` for all.
    pub zones: Option<&'a ZoneSet>,
    /// The tokens that the request keeps in the target's cache.
    pub cache: CacheNeed,
    /// The software that began the request's stream; `None` if no event of it has arrived.
    pub origin: Option<&'a Origin>,
}

impl TargetRequirements<'_> {
    /// Returns the targets to which the request is bound.
    pub fn bounds(&self) -> Bounds {
        let software = self.origin.map(|origin| origin.software.clone());
        Bounds { zones: self.zones.cloned(), software }
    }

    /// Returns whether the request may be served in `zone`.
    pub fn allows_zone(&self, zone: &ZoneName) -> bool {
        self.zones.is_none_or(|zones| zones.contains(zone))
    }

    /// Returns whether a target runs the software that began the request's stream, if it has begun.
    pub fn runs_origin(&self, target: &Target) -> bool {
        self.origin.is_none_or(|origin| origin.allows(target))
    }

    /// Returns whether a target of the service may serve the request.
    pub fn allows(&self, target: &Target) -> bool {
        target.service == *self.service
            && self.allows_zone(&target.zone)
            && self.runs_origin(target)
    }
}

/// The start of a prompt that several requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// A hash of its last part.
    pub id: u64,
    /// The length of the whole prefix in tokens.
    pub tokens: u32,
}

/// The result of the selection of a target for a request.
#[derive(Clone, Debug)]
pub enum Pick {
    /// The request goes to this target, where it has been counted.
    Target(Arc<Target>),
    /// The request goes to this target, which sets a rate limit, once it has a permit.
    Limited {
        /// The target.
        target: Arc<Target>,
        /// When the first target that is backing off accepts requests again, if there is one.
        available_at: Option<Time>,
    },
    /// Every target that holds the model is full.
    Full,
    /// Every target that holds the model is backing off; the first accepts requests at this time.
    BackingOff(Time),
    /// No target holds the model.
    NotLoaded,
    /// No target of the service accepts new work.
    NoTarget,
    /// All targets of the service that accept new work exclude the request.
    Excluded(Exclusion),
}

/// Why targets exclude a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// Operators have drained them.
    Drained,
    /// The request is bound to other regions.
    Region,
    /// The request's stream was begun by software that no target runs.
    Software,
}

/// Identifies a planner update, whose parts share one identifier. A newer update compares greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpdateId {
    /// The planner's fencing token.
    pub fence: u64,
    /// The sequence number of the update.
    pub seq: u32,
}

/// Counts of this daemon's requests for a model.
#[derive(Clone, Debug, Default)]
struct UseCounts {
    waiting: u16,
    arrived: u32,
    last_request: Time,
}

/// The daemon's view of all targets.
#[derive(Debug, Default)]
pub struct Fleet {
    zone: Option<ZoneName>,
    spans: FreshnessLimits,
    members: BTreeMap<TargetName, Member>,
    removed_targets: BTreeMap<TargetName, RemovedTarget>,
    list: ListState,
    uses: HashMap<DemandKey, UseCounts>,
    /// The planner update from which the loads and pending loads were last taken.
    last_update: UpdateId,
    /// When models that are being loaded should be ready.
    pending_loads: HashMap<(ServiceName, ModelName), Time>,
    /// Models that get no room.
    unplaced: HashMap<(ServiceName, ModelName), Announcement>,
    /// The highest number of daemons that a planner has counted.
    daemon_count: usize,
    /// The backpressure signals of targets.
    backpressure: Registry,
    /// Whether a planner has shared the signals that other daemons have received.
    has_synced_signals: bool,
    brittle: BrittleServices,
    warm_ups: WarmUps,
    zone_drains: ZoneDrains,
    software: SoftwareHistory,
    target_choice: TargetChoice,
    /// The conditions of targets; used by [`TargetChoice::ExpectedTime`] only.
    conditions: Conditions,
    admission: Admission,
    service_times: ServiceTimes,
    room: RoomAccounting,
    /// The number of the last request that waited for the beginning of its response.
    last_response_wait: u64,
    /// Whether the tokens at a target are to be reported before the next heartbeat.
    is_report_due: bool,
    /// The changes that are sent to the other daemons if this daemon is the planner.
    pub log: ChangeLog,
}

impl Fleet {
    /// Creates the view of a daemon in `zone`.
    pub fn new(zone: ZoneName, spans: FreshnessLimits) -> Self {
        Self { zone: Some(zone), spans, log: ChangeLog::unread(), ..Self::default() }
    }

    /// Sets how a target is selected.
    pub fn set_target_choice(&mut self, target_choice: TargetChoice) {
        self.target_choice = target_choice;
    }

    /// Returns this view with the way in which the room at targets is counted.
    #[must_use]
    pub fn with_room(self, room: RoomAccounting) -> Self {
        Self { room, ..self }
    }

    /// Returns the highest number of daemons that a planner has counted since this daemon started;
    /// 0 if no planner has sent a number yet.
    pub fn daemon_count(&self) -> usize {
        self.daemon_count
    }

    /// Records the number of daemons that the planner counts. A lower number is ignored: a new
    /// planner counts from zero, and a partitioned planner counts only the daemons that it still
    /// receives messages from, while the others may still spend their shares of the retry budgets.
    pub fn raise_daemon_count(&mut self, daemons: usize) {
        if daemons > self.daemon_count {
            event::FLEET_DAEMONS.emit(&[("daemons", &daemons), ("before", &self.daemon_count)]);
            self.daemon_count = daemons;
        }
    }

    /// Returns the availability zone of the daemon itself.
    pub fn zone(&self) -> Option<&ZoneName> {
        self.zone.as_ref()
    }

    /// Drops expired state: targets whose entries expired and did not reappear, overrides by the
    /// planner, and uses of models.
    pub fn expire(&mut self, now: Time) {
        self.expire_removals(now);
        self.warm_ups.expire(now);
        self.members.values_mut().for_each(|m| m.expire_override(now));
        self.uses.retain(|_, u| u.waiting > 0 || now.since(u.last_request) < USE_RETENTION);
    }

    /// Applies an override by the planner with `fence`, if this daemon tracks the target.
    pub fn apply_override(&mut self, target_override: &TargetOverride, fence: u64, now: Time) {
        let until = now + self.spans.override_ttl;
        if let Some(m) = self.members.get_mut(&target_override.target) {
            m.set_override(target_override, fence, until);
        }
    }

    /// Returns the planner's overrides that take precedence over the list.
    pub fn overrides(&self) -> Vec<TargetOverride> {
        self.members
            .values()
            .filter_map(|m| m.active_override.as_ref())
            .map(|o| o.target_override.clone())
            .collect()
    }

    /// Returns a target by its name.
    pub fn target(&self, name: &TargetName) -> Option<&Arc<Target>> {
        self.members.get(name).map(|m| &m.target)
    }

    /// Records all daemons' requests at targets and the models that are being loaded. A newer
    /// update replaces what is recorded, a further part of the newest update adds to it, and an
    /// older update is ignored.
    pub fn apply_loads(
        &mut self,
        update: UpdateId,
        loads: &[TargetLoad],
        pending_loads: &[PendingLoad],
        now: Time,
    ) {
        if update < self.last_update {
            return;
        }
        if update > self.last_update {
            self.last_update = update;
            self.pending_loads.clear();
            self.members.values_mut().for_each(Member::clear_others);
        }
        self.apply_load_changes(loads, pending_loads, now);
    }

    /// Records loads that have changed, and models that are being loaded in addition to those
    /// already recorded.
    pub fn apply_load_changes(
        &mut self,
        loads: &[TargetLoad],
        pending_loads: &[PendingLoad],
        now: Time,
    ) {
        for load in loads {
            if let Some(m) = self.members.get_mut(&load.target) {
                m.set_others(load, now);
            }
        }
        self.pending_loads.extend(pending_loads.iter().map(|c| (c.key(), c.due_at(now))));
    }

    /// Returns when the model of a request should be ready, if no target without a rate limit holds
    /// it and it is being loaded or about to be. A request that lacks only an adapter does not wait
    /// for another copy of a loaded model.
    pub fn pending_load_due(&self, want: &TargetRequirements<'_>, now: Time) -> Option<Time> {
        let model = want.model?;
        if want.zones.is_some() || !self.all_run_origin(want) {
            // The load may be at a target that the request must not use.
            return None;
        }
        let is_open = |m: &Member| self.rate_limit(m.run, now).is_none();
        if self.ready(want, now).any(|m| m.target.holds(model, None) && is_open(m)) {
            return None;
        }
        self.pending_loads.get(&(want.service.clone(), model.clone())).copied()
    }

    /// Returns whether every target of the service may serve the rest of a request's stream.
    pub(super) fn all_run_origin(&self, want: &TargetRequirements<'_>) -> bool {
        let of_service = self.members.values().filter(|m| m.target.service == *want.service);
        want.origin.is_none() || { of_service }.all(|m| want.runs_origin(&m.target))
    }

    /// Records whether the view of the targets is current.
    pub fn record_software_view(&mut self, is_current: bool, now: Time) {
        self.software.record_view(is_current, now);
    }

    /// Records what the planner's row says of the software when this daemon starts.
    pub fn inherit_software(&mut self, versions: SoleVersions) {
        self.software.inherit(versions);
    }

    /// Records what another daemon knows of the software.
    pub fn record_software_report(&mut self, versions: &SoleVersions, now: Time) {
        self.software.record_report(versions, now);
    }

    /// Returns the version of all targets of a service, and for how long it is known to have been the
    /// only one.
    pub fn sole_software(&self, service: &ServiceName, now: Time) -> Option<SoleVersion> {
        let of_service = self.members.values().filter(|m| m.target.service == *service);
        let present = of_service.map(|m| m.target.software.as_ref());
        self.software.sole_version(service, present, now)
    }

    /// Returns the sole versions of all services that have one.
    pub fn sole_versions(&self, now: Time) -> SoleVersions {
        let services: BTreeSet<&ServiceName> =
            self.members.values().map(|m| &m.target.service).collect();
        let sole =
            |service: &ServiceName| Some((service.clone(), self.sole_software(service, now)?));
        services.into_iter().filter_map(sole).collect()
    }

    /// Returns the targets of all services.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.members.values().map(|m| &m.target)
    }

    /// Returns the names of the targets of a service that accept requests, in their order.
    pub fn target_names(&self, service: &ServiceName) -> Vec<TargetName> {
        let of_service = self.members.values().filter(|m| m.target.service == *service);
        of_service.filter(|m| m.target.is_ready()).map(|m| m.target.name.clone()).collect()
    }

    /// Returns whether `target` is avoided after a failure.
    pub fn is_suspect(&self, target: &TargetName, now: Time) -> bool {
        self.members.get(target).is_some_and(|m| now < m.suspect_until)
    }

    /// Returns the number of targets that are avoided after a failure.
    pub fn suspect_targets(&self, now: Time) -> usize {
        self.members.values().filter(|m| now < m.suspect_until).count()
    }

    /// Counts a request that has arrived.
    pub fn count_arrival(&mut self, want: &TargetRequirements<'_>, now: Time) {
        for key in use_keys(want) {
            let u = self.uses.entry(key).or_default();
            u.arrived += 1;
            u.last_request = now;
        }
    }

    /// Counts a request that starts to wait for a load, or for a further replica of its model.
    pub fn begin_waiting(&mut self, want: &TargetRequirements<'_>, now: Time) {
        let Some(key) = use_keys(want).pop() else { return };
        let u = self.uses.entry(key).or_default();
        u.waiting += 1;
        u.last_request = now;
    }

    /// Removes a request that no longer waits for a load or replica from the count.
    pub fn end_waiting(&mut self, want: &TargetRequirements<'_>) {
        let Some(key) = use_keys(want).pop() else { return };
        if let Some(u) = self.uses.get_mut(&key) {
            u.waiting = u.waiting.saturating_sub(1);
        }
    }

    /// Returns the models that this daemon's requests wait for or have recently used.
    pub fn model_uses(&self, now: Time) -> Vec<ModelUse> {
        let to_model_use = |(key, u): (&DemandKey, &UseCounts)| ModelUse {
            key: key.clone(),
            waiting: u.waiting,
            arrived: u.arrived,
        };
        let is_reported =
            |u: &UseCounts| u.waiting > 0 || now.since(u.last_request) < USE_REPORT_WINDOW;
        self.uses.iter().filter(|(_, u)| is_reported(u)).map(to_model_use).collect()
    }

    /// Returns this daemon's requests at targets, and records their tokens as reported.
    pub fn in_flight(&mut self) -> Vec<InFlight> {
        let mut all = Vec::new();
        for m in self.members.values_mut() {
            m.reported_tokens = m.own_tokens();
            for (model, held) in m.in_flight.iter().filter(|(_, held)| held.requests > 0) {
                let (target, model) = (m.target.name.clone(), model.clone());
                let Held { requests: count, tokens } = *held;
                all.push(InFlight { target, model, count, tokens });
            }
        }
        all
    }

    /// Removes a request that [`Fleet::pick`] counted at a target from the count, with the same
    /// `tokens`.
    pub fn end_request(&mut self, target: &TargetName, model: Option<&ModelName>, tokens: u32) {
        let tokens = self.counted(tokens);
        let Some(m) = self.members.get_mut(target) else { return };
        let Some(held) = m.in_flight.get_mut(&model.cloned()) else { return };
        held.requests = held.requests.saturating_sub(1);
        held.tokens = held.tokens.saturating_sub(tokens);
        if held.requests == 0 {
            m.in_flight.remove(&model.cloned());
        }
    }
}

fn use_keys(want: &TargetRequirements<'_>) -> Vec<DemandKey> {
    let Some(model) = want.model else { return Vec::new() };
    let key = |adapter: Option<&AdapterName>| DemandKey {
        service: want.service.clone(),
        model: model.clone(),
        adapter: adapter.cloned(),
        bounds: want.bounds(),
    };
    let mut keys = vec![key(None)];
    if want.adapter.is_some() {
        keys.push(key(want.adapter));
    }
    keys
}
