//! Targets, as the platform's list and their own reports describe them.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::name::{
    AdapterName, ModelName, ServiceName, SoftwareVersion, TargetName, ZoneName,
};

/// Whether a target accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// The target accepts new work.
    Ready,
    /// The target finishes the requests that it has and leaves.
    Draining,
}

impl TargetState {
    /// Returns the name that is used in logs.
    pub fn name(self) -> &'static str {
        match self {
            TargetState::Ready => "ready",
            TargetState::Draining => "draining",
        }
    }
}

/// A model that is loaded at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The adapters of the model that are loaded there.
    pub adapters: Vec<AdapterName>,
}

/// The start time of a run of a target, in Unix milliseconds of the target's clock.
///
/// A target may restart under its name. The new run has no models loaded, has no state of the
/// former run, and its counters start from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// Returns whether two start times may be of the same run; a run without a start time may be any.
pub fn may_be_same_run(a: Option<StartTime>, b: Option<StartTime>) -> bool {
    a.is_none() || b.is_none() || a == b
}

/// One run of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The target's unique name.
    pub name: TargetName,
    /// The start time of this run, if the target reports it.
    pub started_at: Option<StartTime>,
    /// The service that it serves.
    pub service: ServiceName,
    /// The version of its software, if its entry names one.
    pub software: Option<SoftwareVersion>,
    /// The address on which it listens. Another incarnation may have the address later.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it accepts new work.
    pub state: TargetState,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The models that are loaded.
    pub models: Vec<LoadedModel>,
    /// Models whose weights are in its main memory.
    pub in_memory: Vec<ModelName>,
    /// Models whose weights are on its disk.
    pub on_disk: Vec<ModelName>,
    /// How much longer it warms up, as of the time at which its entry was written.
    pub warm_up_left: Duration,
    /// The version of its entry in the list; a higher one is newer.
    pub version: u64,
}

impl Target {
    /// Returns a model if it is loaded.
    pub fn loaded_model(&self, model: &ModelName) -> Option<&LoadedModel> {
        self.models.iter().find(|h| h.model == *model)
    }

    /// Returns whether the model and, if one is named, the adapter are loaded.
    pub fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        let Some(held) = self.loaded_model(model) else { return false };
        adapter.is_none_or(|a| held.adapters.contains(a))
    }

    /// Returns whether it accepts new work.
    pub fn is_ready(&self) -> bool {
        self.state == TargetState::Ready
    }
}

/// An entry that was removed from the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// The target.
    pub name: TargetName,
    /// The store's version as of which the entry is gone. An entry with a higher version is newer.
    pub version: u64,
}

/// A target's report of its state, as it was some hundred milliseconds before the report's arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The start time of the run that reports, if it reports one.
    pub started_at: Option<StartTime>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// The number of orders that it has accepted.
    pub accepted_orders: u64,
    /// The models that are loaded.
    pub models: Vec<LoadedModel>,
}
