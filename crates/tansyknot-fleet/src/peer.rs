//! Messages between daemons: demand to the planner, and what the planner has done to all.
//!
//! Each is one datagram. Any of them may be lost and none carries authority: orders rest on the
//! store's row, and the list of targets corrects every view.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tansyknot_core::name::{AdapterName, ModelName, ServiceName, TargetName};

use crate::{
    news::ListNews,
    target::{Held, TargetState},
};

/// The first byte of each datagram; it changes with the format.
const FORMAT: u8 = 0xA4;
/// Longer datagrams are not sent: they would be split on the way.
pub const MAX_BYTES: usize = 1200;

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
    /// Rises with each note that a planner makes of a target.
    pub revision: u64,
    /// Whether it takes new work.
    pub state: TargetState,
    /// What it holds.
    pub models: Vec<Held>,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a daemon to the planner.
    Demand {
        /// The daemon.
        daemon: Arc<str>,
        /// This run of it.
        incarnation: Arc<str>,
        /// Models in use.
        models: Vec<ModelUse>,
        /// Requests at targets.
        in_flight: Vec<InFlight>,
    },
    /// From the planner to every daemon.
    News(News),
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

/// What the planner tells every daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The planner's fencing token.
    pub fence: u64,
    /// The version of the planner's row that it wrote last.
    pub lease_version: u64,
    /// How long ago that write was sent, in milliseconds.
    pub lease_age_ms: u32,
    /// Daemons that the planner has heard of lately.
    pub daemons: u16,
    /// The configuration that the planner has in force.
    pub config: u64,
    /// How long ago the planner asked the store for it, in milliseconds.
    pub config_age_ms: u32,
    /// Changes of the list of targets.
    pub list: ListNews,
    /// Targets that the planner has changed lately.
    pub targets: Vec<TargetNote>,
    /// Models that are being loaded; `None` if another part of the news has them.
    pub coming: Option<Vec<Coming>>,
    /// Requests at targets, from all daemons; `None` if another part of the news has them.
    pub in_flight: Option<Vec<InFlight>>,
}

/// Encodes a message; `None` if it is too long for a datagram.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut buf = vec![FORMAT];
    buf.extend(postcard::to_allocvec(message).ok()?);
    (buf.len() <= MAX_BYTES).then_some(buf)
}

/// Decodes a datagram; `None` if it is of another format or malformed.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (format, rest) = bytes.split_first()?;
    (*format == FORMAT).then(|| postcard::from_bytes(rest).ok())?
}
