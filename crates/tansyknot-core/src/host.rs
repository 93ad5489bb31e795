//! The platform's list of hosts and the targets on them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    error::Result,
    label::Labels,
    name::{TargetName, ZoneName},
};

/// What the list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host takes work.
    Live,
    /// The host finishes what it has and takes nothing new.
    Leaving,
}

/// What runs on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// Whether an engine refuses orders that carry an old fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine refuses an order with a token below the highest that it has seen.
    Checked,
    /// The engine ignores tokens. This is the safe assumption.
    #[default]
    Ignored,
}

/// One target in the list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the target.
    pub name: TargetName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone that it stands in.
    pub availability_zone: ZoneName,
    /// Whether it takes new work.
    pub state: HostState,
    /// What runs there.
    pub kind: TargetKind,
    /// Memory for models and adapters, in bytes.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Whether the engine checks fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
    /// Labels that selectors choose by.
    #[serde(default)]
    pub labels: Labels,
}

/// A client of the list of hosts.
pub trait HostList: Send + Sync {
    /// Returns the list as the platform knows it, `None` if it is the one returned last; it lags
    /// behind the truth.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer; the last list stays in use.
    fn list(&self) -> Result<Option<Vec<Target>>>;
}
