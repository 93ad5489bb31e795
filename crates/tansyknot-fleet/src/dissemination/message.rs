//! Messages between daemons: demand to the planner, and what the planner has done to all.
//!
//! Each is one datagram. Any of them may be lost and none carries authority: orders rest on the
//! store's row, and the list of targets corrects every view.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    clock::Time,
    name::{AdapterName, ModelName, ServiceName, TargetName, ZoneName},
};

use super::{changes::ListNews, followed::Known, peers::PeerEntry};
use crate::{
    access,
    backpressure::{self, message::RunSummary},
    poison::evidence::{Digest, Evidence},
    target::{Born, Held, TargetState},
};

/// What one daemon has asked of a model since it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelUse {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The adapter; `None` stands for the model alone.
    pub adapter: Option<AdapterName>,
    /// Requests that wait for it to be loaded.
    pub waiting: u16,
    /// Requests since the daemon started.
    pub arrived: u32,
}

/// Requests of one daemon that a target has now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The target.
    pub target: TargetName,
    /// The model.
    pub model: Option<ModelName>,
    /// The requests.
    pub count: u16,
}

/// What the planner has done to a target, or knows of it before the list does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetNote {
    /// The target.
    pub target: TargetName,
    /// When the run that it is about began, if it says so.
    pub born: Option<Born>,
    /// Rises with each note that a planner makes of a target.
    pub revision: u64,
    /// Whether it takes new work.
    pub state: TargetState,
    /// What it holds.
    pub models: Vec<Held>,
}

/// Requests of all daemons that a target has now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: TargetName,
    /// The requests.
    pub requests: u16,
}

/// What a daemon tells the planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The daemon.
    pub daemon: Arc<str>,
    /// This run of it.
    pub incarnation: Arc<str>,
    /// Rises with each demand that the daemon tells. Parts with the same number make a whole.
    pub beat: u32,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// Its link in Mbit/s, if it is known.
    pub link_mbps: Option<u32>,
    /// What it has of the planner's news.
    pub known: Known,
    /// Models in use.
    pub models: Vec<ModelUse>,
    /// Requests at targets.
    pub in_flight: Vec<InFlight>,
    /// The poison requests that it knows.
    pub poison: Digest,
    /// What it has found lately of requests under which targets crashed.
    pub crashes: Vec<Evidence>,
    /// Backpressure signals that it has received lately.
    pub signals: Vec<RunSummary>,
}

/// A model that is being loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coming {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// When it should be there, in milliseconds from now.
    pub in_ms: u32,
}

impl Coming {
    /// Returns what is loaded.
    pub fn key(&self) -> (ServiceName, ModelName) {
        (self.service.clone(), self.model.clone())
    }

    /// Returns when it should be there, if it was told `now`.
    pub fn due(&self, now: Time) -> Time {
        now + Duration::from_millis(self.in_ms.into())
    }
}

/// How much of what a planner knows its news tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Extent {
    /// All of it, in place of what was told before.
    All,
    /// What has changed.
    Changes,
}

/// What the planner tells every daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The planner's fencing token.
    pub fence: u64,
    /// The planner.
    pub planner: Arc<str>,
    /// Where demand reaches it.
    pub address: SocketAddr,
    /// Rises with each news of a planner. Parts with the same number make a whole.
    pub beat: u32,
    /// What of `coming` and `loads` is told.
    pub extent: Extent,
    /// The version of the planner's row that it wrote last.
    pub lease_version: u64,
    /// How long ago that write was sent, in milliseconds.
    pub lease_age_ms: u32,
    /// Daemons that the planner has heard of lately.
    pub daemons: u16,
    /// The poison requests that the planner knows.
    pub poison: Digest,
    /// The configuration that the planner has in force.
    pub config: u64,
    /// How long ago the planner asked the store for it, in milliseconds.
    pub config_age_ms: u32,
    /// Changes of the list of targets, and what the planner has done to them.
    pub list: ListNews,
    /// Some of the daemons.
    pub peers: Vec<PeerEntry>,
    /// Models that are being loaded.
    pub coming: Vec<Coming>,
    /// Targets that have requests.
    pub loads: Vec<TargetLoad>,
    /// Backpressure signals of targets.
    pub signals: Vec<RunSummary>,
}

/// News that a daemon passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Whom they are for, beside the daemon itself.
    pub to: Vec<SocketAddr>,
    /// The datagram.
    pub datagram: Vec<u8>,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a daemon to the planner.
    Demand(Demand),
    /// From the planner, or a relay, to every daemon.
    News(News),
    /// From the planner to a relay.
    Forward(Forward),
    /// From any daemon to any other: what it knows of requests under which targets crashed.
    Crashes(Vec<Evidence>),
    /// From a daemon to the planner, with each beat, where requests need keys.
    Question(access::message::Question),
    /// The planner's answer to it.
    Answer(access::message::Answer),
    /// From a daemon to the planner, for a request whose team has a quota.
    Take(access::message::Take),
    /// The planner's answer to it.
    Taken(access::message::Taken),
    /// From any daemon to any other while there is no planner: signals that it has received.
    Signals(Vec<RunSummary>),
    /// From a daemon to the one that decides, for a request that could go to a target with a limit.
    PermitAsk(backpressure::message::PermitAsk),
    /// The answer to it.
    PermitAnswer(backpressure::message::PermitAnswer),
    /// From a daemon to the one that decides: such a request does not wait any more.
    PermitEnd(backpressure::message::PermitEnd),
}

impl Message {
    /// Splits a message in two that say the same together; `None` if it has but one item.
    pub(super) fn split(self) -> Option<(Self, Self)> {
        match self {
            Message::Forward(_)
            | Message::Question(_)
            | Message::Answer(_)
            | Message::Take(_)
            | Message::Taken(_)
            | Message::PermitAsk(_)
            | Message::PermitAnswer(_)
            | Message::PermitEnd(_) => None,
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
            Message::News(news) => {
                let (first, rest) = news.split()?;
                Some((Message::News(first), Message::News(rest)))
            }
        }
    }
}

impl Demand {
    fn split(mut self) -> Option<(Self, Self)> {
        let items = self.models.len() + self.in_flight.len();
        let items = items + self.crashes.len() + self.signals.len();
        if items < 2 {
            return None;
        }
        let mut left = items / 2;
        let models = split_off(&mut self.models, &mut left);
        let in_flight = split_off(&mut self.in_flight, &mut left);
        let crashes = split_off(&mut self.crashes, &mut left);
        let signals = split_off(&mut self.signals, &mut left);
        let rest = Self { models, in_flight, crashes, signals, ..self.clone() };
        Some((self, rest))
    }
}

/// Loads, and models that come, that a daemon is told of at once. Each takes some 15 bytes 3.3
/// times a second: these 13 KB/s of the 19 KB/s that control may take of a daemon's link. They don't
/// depend on the fleet, as relays carry them; with more targets a daemon hears of the fullest.
const ENTRIES_MOST: usize = 260;

impl News {
    /// Keeps the fullest targets, and the models that come soonest.
    pub fn trim(&mut self) {
        self.loads.sort_by_key(|load| std::cmp::Reverse(load.requests));
        self.loads.truncate(ENTRIES_MOST);
        self.coming.sort_by_key(|coming| coming.in_ms);
        self.coming.truncate(ENTRIES_MOST);
    }

    fn split(mut self) -> Option<(Self, Self)> {
        let changes = self.list.changes.len();
        let items = changes + self.peers.len() + self.coming.len();
        let items = items + self.loads.len() + self.signals.len();
        if items < 2 {
            return None;
        }
        let mut left = items / 2;
        let list = self.list.split_off(left);
        left -= self.list.changes.len();
        let peers = split_off(&mut self.peers, &mut left);
        let coming = split_off(&mut self.coming, &mut left);
        let loads = split_off(&mut self.loads, &mut left);
        let signals = split_off(&mut self.signals, &mut left);
        let rest = Self { list, peers, coming, loads, signals, ..self.clone() };
        Some((self, rest))
    }
}

/// Takes the items but the first `left` off; `left` is how many more may stay elsewhere then.
fn split_off<T>(items: &mut Vec<T>, left: &mut usize) -> Vec<T> {
    let stay = items.len().min(*left);
    *left -= stay;
    items.split_off(stay)
}

/// Returns a span in whole milliseconds, as messages have it.
pub fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
