//! What daemons exchange for scheduling: observations of targets and waiting requests to the
//! planner, and the planner's view of them to all daemons.
//!
//! None of this carries authority. A list that is lost or out of date makes decisions worse until
//! the next heartbeat, and nothing else depends on it.

use serde::{Deserialize, Serialize};
use tansyknot_core::name::{ModelName, ServiceName, TargetName};
use tansyknot_policy::weight_store::Capacity;

use super::message::split_off;

/// What one request showed about its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The target.
    pub target: TargetName,
    /// The model that the request used.
    pub model: Option<ModelName>,
    /// What the request showed.
    pub outcome: ObservedOutcome,
}

/// What one request showed about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedOutcome {
    /// The target streamed a response, or a part of one.
    Stream {
        /// The median time between two events in microseconds, corrected for the load of the target.
        event_interval_us: u32,
    },
    /// The target answered with a response that is not a stream, or with too few events to measure.
    Answered,
    /// The target failed the request.
    Failed,
}

/// Requests with one rank that wait for a slot of a model's targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRequests {
    /// The service.
    pub service: ServiceName,
    /// The model; `None` for a service without models.
    pub model: Option<ModelName>,
    /// The rank that they have reached; 0 goes first.
    pub rank: u8,
    /// The number of requests; 0 if those of an earlier announcement wait no longer.
    pub count: u16,
    /// How long the oldest has waited, in milliseconds.
    pub oldest_ms: u32,
}

/// A daemon's part of a demand report that concerns scheduling.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulingReport {
    /// The number of the first observation; the others follow in order. Numbers rise by one with
    /// each observation of a daemon, so that a repeated report is not counted twice.
    pub first_observation: u32,
    /// Recent observations, the oldest first.
    pub observations: Vec<Observation>,
    /// Requests that wait for a slot.
    pub waiting: Vec<WaitingRequests>,
}

/// An order to load a model that a target is executing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadInProgress {
    /// The target.
    pub target: TargetName,
    /// The model; `None` if the target is busy with an order that the planner does not know.
    pub model: Option<ModelName>,
    /// Whether the model comes from the weight store.
    pub is_remote: bool,
    /// How long the load has been running, in milliseconds.
    pub age_ms: u32,
    /// When it should be done, in milliseconds from the time of sending.
    pub due_in_ms: u32,
}

/// The condition of a target, from the observations of all daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCondition {
    /// The target.
    pub target: TargetName,
    /// The time that it takes for work, relative to a typical target of its service, in
    /// thousandths.
    pub slowness_permille: u16,
    /// The share of requests that it fails, in thousandths.
    pub failures_permille: u16,
}

/// A requested model that gets no room, or not in time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnplacedModel {
    /// The service.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// When the planner expects to have room for it, in milliseconds from the time of sending.
    pub retry_in_ms: u32,
}

/// The planner's part of an update that concerns scheduling.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulingUpdate {
    /// What the planner knows of the number of loads from the weight store at full speed; `None` in
    /// updates between heartbeats, which carry none of the lists.
    pub weight_store: Option<Capacity>,
    /// Loads that targets are executing.
    pub loads_in_progress: Vec<LoadInProgress>,
    /// Targets that differ from a typical one.
    pub conditions: Vec<TargetCondition>,
    /// Requests of all daemons that wait for a slot.
    pub waiting: Vec<WaitingRequests>,
    /// Requested models that get no room.
    pub unplaced: Vec<UnplacedModel>,
}

impl SchedulingReport {
    /// Returns the number of items.
    pub(super) fn len(&self) -> usize {
        self.observations.len() + self.waiting.len()
    }

    /// Splits off all items after the first `room`; subtracts the number of kept items from `room`.
    pub(super) fn split_off(&mut self, room: &mut usize) -> Self {
        let observations = split_off(&mut self.observations, room);
        let waiting = split_off(&mut self.waiting, room);
        let first_observation = self.first_observation + self.observations.len() as u32;
        Self { first_observation, observations, waiting }
    }
}

impl SchedulingUpdate {
    /// Returns the number of items.
    pub(super) fn len(&self) -> usize {
        let loads = self.loads_in_progress.len() + self.conditions.len();
        loads + self.waiting.len() + self.unplaced.len()
    }

    /// Splits off all items after the first `room`; subtracts the number of kept items from `room`.
    pub(super) fn split_off(&mut self, room: &mut usize) -> Self {
        Self {
            weight_store: self.weight_store,
            loads_in_progress: split_off(&mut self.loads_in_progress, room),
            conditions: split_off(&mut self.conditions, room),
            waiting: split_off(&mut self.waiting, room),
            unplaced: split_off(&mut self.unplaced, room),
        }
    }
}
