//! Messages between daemons: demand to the planner, the planner's updates to all, and others.
//!
//! Each message is sent in one datagram, which may be lost. No message carries authority: orders
//! depend on the planner's row in the store, and the list of targets corrects every view.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    clock::Time,
    name::{AdapterName, ModelName, ServiceName, TargetName, ZoneName},
};

use super::{
    changes::ListUpdate,
    peers::PeerEntry,
    planner_view::ReceivedState,
    scheduling::{SchedulingReport, SchedulingUpdate},
};
use crate::{
    access,
    backpressure::{self, message::RunSummary},
    bounds::Bounds,
    catalog::change::CatalogChange,
    lease::promise::Promise,
    poison::evidence::{Digest, Evidence},
    stream_origin::{
        history::SoleVersions,
        records::{StreamKey, StreamRecord},
    },
    target::{LoadedModel, StartTime, TargetState},
    zone_drain::DrainedZones,
};

/// What requests demand.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DemandKey {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The adapter; `None` stands for the model without one.
    pub adapter: Option<AdapterName>,
    /// The targets to which the requests are bound.
    pub bounds: Bounds,
}

/// The demand of one daemon for a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelUse {
    /// What the requests demand.
    pub key: DemandKey,
    /// The number of requests that wait for a load, or for a further replica of the model.
    pub waiting: u16,
    /// The number of requests since the daemon started.
    pub arrived: u32,
}

/// The requests of one daemon in flight at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: Option<ModelName>,
    /// The number of requests.
    pub count: u16,
    /// The tokens that they are expected to keep in the target's cache.
    pub tokens: u32,
}

/// A state of a target that takes precedence over the list: the planner has ordered it, or has
/// received it before the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOverride {
    /// The target.
    pub target: TargetName,
    /// When the target's run started, if the target reports it.
    pub started_at: Option<StartTime>,
    /// Rises with each override that a planner makes, of any target.
    pub revision: u64,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// The loaded models.
    pub models: Vec<LoadedModel>,
}

/// The requests of all daemons in flight at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// The number of requests.
    pub requests: u16,
    /// The tokens that they are expected to keep in the target's cache.
    pub tokens: u32,
}

/// A daemon's demand, reported to the planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The daemon.
    pub daemon: Arc<str>,
    /// The identifier of this run of the daemon.
    pub incarnation: Arc<str>,
    /// The sequence number, which rises with each demand. Parts of a split demand have the same.
    pub seq: u32,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// The rate of its network link in Mbit/s, if known.
    pub link_mbps: Option<u32>,
    /// What it has received of the planner's updates.
    pub received: ReceivedState,
    /// Models in use.
    pub models: Vec<ModelUse>,
    /// Requests in flight at targets.
    pub in_flight: Vec<InFlight>,
    /// The digest of its convicted poison requests.
    pub poison: Digest,
    /// Its recent evidence about requests under which targets crashed.
    pub crashes: Vec<Evidence>,
    /// Backpressure signals that it has received recently.
    pub signals: Vec<RunSummary>,
    /// Its observations of targets, and its requests that wait for slots.
    pub scheduling: SchedulingReport,
    /// Its promise not to take the lease over.
    pub promise: Option<Promise>,
    /// Whether it takes the lease over no more.
    pub is_retired: bool,
    /// The services that run one software version, as far as it knows; with some of the heartbeats only.
    pub software: SoleVersions,
}

/// A model that is being loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingLoad {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// When the load is due, in milliseconds from the time of sending.
    pub due_in_ms: u32,
}

impl PendingLoad {
    /// Returns the service and model that are loaded.
    pub fn key(&self) -> (ServiceName, ModelName) {
        (self.service.clone(), self.model.clone())
    }

    /// Returns when the load is due, if the message was sent at `now`.
    pub fn due_at(&self, now: Time) -> Time {
        now + Duration::from_millis(self.due_in_ms.into())
    }
}

/// Whether an update has the planner's full loads or only changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Extent {
    /// All loads and pending loads, which replace those of earlier updates.
    Full,
    /// Only those that have changed.
    Changes,
}

/// An update that the planner publishes to all daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannerUpdate {
    /// The planner's fencing token.
    pub fence: u64,
    /// The planner's name.
    pub planner: Arc<str>,
    /// The address to which demand is sent.
    pub address: SocketAddr,
    /// The sequence number, which rises with each update. Parts of a split update have the same.
    pub seq: u32,
    /// The extent of `pending_loads` and `loads`.
    pub extent: Extent,
    /// The version of the planner's row that it wrote last.
    pub lease_version: u64,
    /// How long ago that write was sent, in milliseconds.
    pub lease_age_ms: u32,
    /// The time of sending in microseconds of the planner's clock, if it extends its lease with the
    /// promises of its followers.
    pub stamp_us: Option<u64>,
    /// The number of daemons from which the planner has recently received demand.
    pub daemons: u16,
    /// The digest of the planner's convicted poison requests.
    pub poison: Digest,
    /// The version of the configuration that the planner has in force.
    pub config: u64,
    /// How long ago the planner queried the store for it, in milliseconds.
    pub config_age_ms: u32,
    /// The drained zones.
    pub drained_zones: DrainedZones,
    /// Changes of the list of targets, and overrides of the planner.
    pub list: ListUpdate,
    /// A part of the list of daemons.
    pub peers: Vec<PeerEntry>,
    /// Models that are being loaded.
    pub pending_loads: Vec<PendingLoad>,
    /// Targets with requests in flight.
    pub loads: Vec<TargetLoad>,
    /// Backpressure signals of targets.
    pub signals: Vec<RunSummary>,
    /// What all daemons need for scheduling; in the updates of heartbeats only.
    pub scheduling: SchedulingUpdate,
}

/// An update for a relay to forward.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The recipients beside the relay itself.
    pub to: Vec<SocketAddr>,
    /// The datagram of the update.
    pub datagram: Vec<u8>,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a daemon to the planner.
    Demand(Demand),
    /// From the planner, or a relay, to every daemon.
    Update(PlannerUpdate),
    /// From the planner to a relay.
    Forward(Forward),
    /// From any daemon to any other: evidence about requests under which targets crashed.
    Crashes(Vec<Evidence>),
    /// From a daemon to the planner with each heartbeat, where requests need keys.
    UsageReport(access::message::UsageReport),
    /// The planner's reply to a [`Message::UsageReport`].
    UsageReply(access::message::UsageReply),
    /// From a daemon to the planner, for a request whose team has a quota.
    QuotaRequest(access::message::QuotaRequest),
    /// The planner's reply to a [`Message::QuotaRequest`].
    QuotaReply(access::message::QuotaReply),
    /// From a daemon to all others while there is no planner: signals that it has received.
    Signals(Vec<RunSummary>),
    /// From a daemon to the one that grants permits, for a request that could go to a target with a
    /// limit.
    PermitQuery(backpressure::message::PermitQuery),
    /// The reply to a [`Message::PermitQuery`].
    PermitReply(backpressure::message::PermitReply),
    /// From a daemon to the one that grants permits: a request no longer waits for one.
    PermitCancel(backpressure::message::PermitCancel),
    /// From the planner with this fencing token to a daemon whose first promise it has received.
    PromiseAcknowledged(u64),
    /// From a daemon that begins a stream to those that keep its origin.
    StreamBegan(StreamRecord),
    /// From a daemon at which a stream is resumed to those that keep its origin.
    OriginQuery(StreamKey),
    /// The reply to a [`Message::OriginQuery`] by a daemon that knows the origin.
    OriginFound(StreamRecord),
    /// The reply to a [`Message::OriginQuery`] by one that does not.
    OriginUnknown(StreamKey),
    /// From a daemon that follows the operators' configuration at the store to other daemons.
    ConfigNotice(ConfigNotice),
}

/// What a daemon that follows the operators' configuration at the store knows of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigNotice {
    /// The newest version.
    pub version: u64,
    /// How long ago the store showed that it is the newest, in milliseconds.
    pub age_ms: u32,
    /// The version of the store as of which it was read.
    pub store_version: u64,
    /// The drained zones.
    pub drained_zones: DrainedZones,
    /// The difference to the versions before, if it fits into a datagram.
    pub change: Option<CatalogChange>,
}

impl Message {
    /// Splits a message into two that together have its content; `None` if it has fewer than two
    /// items.
    pub(super) fn split(self) -> Option<(Self, Self)> {
        match self {
            Message::Forward(_)
            | Message::UsageReport(_)
            | Message::UsageReply(_)
            | Message::QuotaRequest(_)
            | Message::QuotaReply(_)
            | Message::PermitQuery(_)
            | Message::PermitReply(_)
            | Message::PermitCancel(_)
            | Message::PromiseAcknowledged(_)
            | Message::StreamBegan(_)
            | Message::OriginQuery(_)
            | Message::OriginFound(_)
            | Message::OriginUnknown(_)
            | Message::ConfigNotice(_) => None,
            Message::Crashes(mut first) => {
                let rest = first.split_off(first.len() / 2);
                (!first.is_empty()).then_some((Message::Crashes(first), Message::Crashes(rest)))
            }
            Message::Signals(mut first) => {
                let rest = first.split_off(first.len() / 2);
                (!first.is_empty()).then_some((Message::Signals(first), Message::Signals(rest)))
            }
            Message::Demand(demand) => {
                let (first, rest) = demand.split()?;
                Some((Message::Demand(first), Message::Demand(rest)))
            }
            Message::Update(update) => {
                let (first, rest) = update.split()?;
                Some((Message::Update(first), Message::Update(rest)))
            }
        }
    }
}

impl Demand {
    fn split(mut self) -> Option<(Self, Self)> {
        let items = self.models.len() + self.in_flight.len();
        let items = items + self.crashes.len() + self.signals.len() + self.scheduling.len();
        if items < 2 {
            return None;
        }
        let mut room = items / 2;
        let models = split_off(&mut self.models, &mut room);
        let in_flight = split_off(&mut self.in_flight, &mut room);
        let crashes = split_off(&mut self.crashes, &mut room);
        let signals = split_off(&mut self.signals, &mut room);
        let scheduling = self.scheduling.split_off(&mut room);
        let software = SoleVersions::new();
        let rest =
            Self { models, in_flight, crashes, signals, scheduling, software, ..self.clone() };
        Some((self, rest))
    }
}

/// Maximum number of loads, and of pending loads, in one update. At about 15 bytes each, 3.3 times
/// a second, these take 13 KB/s of the 19 KB/s that control traffic may take of a daemon's link.
/// The traffic does not grow with the fleet, as relays forward updates; with more targets, an
/// update has those with the most requests.
const MAX_UPDATE_ENTRIES: usize = 260;

impl PlannerUpdate {
    /// Limits the update to the targets with the most requests and the pending loads due soonest.
    pub fn trim(&mut self) {
        self.loads.sort_by_key(|load| std::cmp::Reverse(load.requests));
        self.loads.truncate(MAX_UPDATE_ENTRIES);
        self.pending_loads.sort_by_key(|coming| coming.due_in_ms);
        self.pending_loads.truncate(MAX_UPDATE_ENTRIES);
    }

    fn split(mut self) -> Option<(Self, Self)> {
        let changes = self.list.changes.len();
        let items = changes + self.peers.len() + self.pending_loads.len();
        let items = items + self.loads.len() + self.signals.len() + self.scheduling.len();
        if items < 2 {
            return None;
        }
        let mut room = items / 2;
        let list = self.list.split_off(room);
        room -= self.list.changes.len();
        let peers = split_off(&mut self.peers, &mut room);
        let pending_loads = split_off(&mut self.pending_loads, &mut room);
        let loads = split_off(&mut self.loads, &mut room);
        let signals = split_off(&mut self.signals, &mut room);
        let scheduling = self.scheduling.split_off(&mut room);
        let rest = Self { list, peers, pending_loads, loads, signals, scheduling, ..self.clone() };
        Some((self, rest))
    }
}

/// Splits off all items after the first `room`; subtracts the number of kept items from `room`.
pub(super) fn split_off<T>(items: &mut Vec<T>, room: &mut usize) -> Vec<T> {
    let kept = items.len().min(*room);
    *room -= kept;
    items.split_off(kept)
}

/// Returns a duration in whole milliseconds, as it is encoded in messages.
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
