//! The platform's list of hosts and the targets on them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    error::Result,
    label::Labels,
    name::{TargetName, ZoneName},
};

/// The state of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host accepts work.
    Live,
    /// The host finishes its work and accepts no new work.
    Leaving,
}

/// The kind of process that runs on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// Whether an engine refuses orders with an old fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine refuses an order with a token below the highest that it has seen.
    Checked,
    /// The engine ignores tokens. This is the default, as it is the safe assumption.
    #[default]
    Ignored,
}

/// One target in the list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the target.
    pub name: TargetName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
    /// The state of its host, which tells whether it accepts new work.
    pub state: HostState,
    /// The kind of process that runs there.
    pub kind: TargetKind,
    /// Memory for models and adapters, in bytes.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Whether the engine checks fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
}

/// A client of the list of hosts.
pub trait HostList: Send + Sync {
    /// Returns the platform's list, or `None` if it has not changed since the last call. The list
    /// lags behind the actual state of the hosts.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond; the last list stays in use.
    fn list(&self) -> Result<Option<Vec<Target>>>;
}
