//! What the platform's list says of a target.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tansyknot_core::name::{AdapterName, ModelName, ServiceName, TargetName, ZoneName};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

impl TargetState {
    /// Returns the name that logs use.
    pub fn name(self) -> &'static str {
        match self {
            TargetState::Ready => "ready",
            TargetState::Draining => "draining",
        }
    }
}

/// A model on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The model.
    pub model: ModelName,
    /// Its adapters that are loaded there.
    pub adapters: Vec<AdapterName>,
}

/// When a run of a target began, in Unix milliseconds of its own clock.
///
/// A target may start again under its name. It then holds nothing and knows nothing of before, and
/// its counts start anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Born(pub u64);

/// Tells whether two may be about the same run: one that does not say when it began may be any.
pub fn may_be_same_run(a: Option<Born>, b: Option<Born>) -> bool {
    a.is_none() || b.is_none() || a == b
}

/// One run of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name, which no other bears.
    pub name: TargetName,
    /// When this run began, if it says so.
    pub born: Option<Born>,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens. Another incarnation may have the address later.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The models that it holds.
    pub models: Vec<Held>,
    /// Models whose weights lie in its main memory.
    pub in_memory: Vec<ModelName>,
    /// Models whose weights lie on its disk.
    pub on_disk: Vec<ModelName>,
    /// The version of its entry in the list; a higher one is newer.
    pub version: u64,
}

impl Target {
    /// Returns a model that it holds.
    pub fn held(&self, model: &ModelName) -> Option<&Held> {
        self.models.iter().find(|h| h.model == *model)
    }

    /// Tells whether it holds the model and, if one is named, the adapter.
    pub fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        let Some(held) = self.held(model) else { return false };
        adapter.is_none_or(|a| held.adapters.contains(a))
    }

    /// Tells whether it takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == TargetState::Ready
    }
}

/// An entry of the list that is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// The target.
    pub name: TargetName,
    /// The store's version as of which the entry is gone. An entry of a higher one is newer.
    pub version: u64,
}

/// What a target says of itself when it is asked; some hundred ms old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// When the run that reports began, if it says so.
    pub born: Option<Born>,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Orders that it has accepted.
    pub orders: u64,
    /// The models that it holds.
    pub models: Vec<Held>,
}
