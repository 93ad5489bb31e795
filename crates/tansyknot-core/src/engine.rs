//! Orders to model engines, and the status that engines report.

use serde::{Deserialize, Serialize};

use crate::{
    error::Result,
    host::Target,
    name::{AdapterName, AttemptId, Incarnation, ServiceName},
};

/// A fencing token, which increases with each claim of a replica and when its drain begins. Engines
/// may refuse orders with older tokens.
pub type Fence = u64;

/// The storage tier of a model's checkpoint, as seen from an engine's host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// In the host's main memory.
    Memory,
    /// On the host's local disk.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// The state of a model at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// The load has begun.
    Loading,
    /// The model serves requests.
    Ready,
    /// The model is being removed.
    Unloading,
}

/// An engine's report on one of its models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReport {
    /// The service that the model belongs to.
    pub service: ServiceName,
    /// The state of the model.
    pub state: ModelState,
    /// The highest fencing token that the engine has seen for the model.
    pub fence: Fence,
    /// Requests in progress for the model at the time of the report.
    pub in_flight: u32,
    /// Adapters loaded with the model.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// A checkpoint that an engine's host has cached in memory or on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedCheckpoint {
    /// The service that the checkpoint belongs to.
    pub service: ServiceName,
    /// The tier that it is cached in.
    pub tier: Tier,
}

/// The status that an engine reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The incarnation of the engine's process. When it changes, no model is loaded any more.
    pub incarnation: Incarnation,
    /// Total memory for models, in bytes.
    pub memory_bytes: u64,
    /// Memory used by models, in bytes.
    pub used_bytes: u64,
    /// Models that are loading, ready or unloading.
    pub models: Vec<ModelReport>,
    /// Checkpoints cached on the engine's host.
    #[serde(default)]
    pub cached: Vec<CachedCheckpoint>,
}

impl EngineStatus {
    /// Returns the report on the model of `service`, if the engine lists it in any state.
    pub fn model(&self, service: &ServiceName) -> Option<&ModelReport> {
        self.models.iter().find(|m| m.service == *service)
    }

    /// Returns the tier of the checkpoint of `service` at this engine.
    pub fn tier(&self, service: &ServiceName) -> Tier {
        let cached = self.cached.iter().find(|c| c.service == *service);
        cached.map_or(Tier::Remote, |c| c.tier)
    }
}

/// An order to load a model. It is idempotent on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The service whose model is to be loaded.
    pub service: ServiceName,
    /// The checkpoint's name in the weight store.
    pub checkpoint: String,
    /// Memory that the model and its adapter pool need, in bytes.
    pub memory_bytes: u64,
    /// The fencing token of the order.
    pub fence: Fence,
}

/// An order to remove a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// The service whose model is to be removed.
    pub service: ServiceName,
    /// The fencing token of the order.
    pub fence: Fence,
}

/// A client of the control interface of model engines.
pub trait Engine: Send + Sync {
    /// Requests the status of an engine.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not respond.
    fn status(&self, target: &Target) -> Result<EngineStatus>;

    /// Orders a load and returns once the engine has accepted it, possibly before it is finished.
    ///
    /// # Errors
    ///
    /// [`crate::Error::StaleFence`] and [`crate::Error::OutOfMemory`] mean that the engine
    /// did nothing. After any other error the load may be in progress.
    fn load(&self, target: &Target, order: &LoadOrder) -> Result<()>;

    /// Orders the removal of a model and returns once it is removed.
    ///
    /// # Errors
    ///
    /// [`crate::Error::StaleFence`] and [`crate::Error::Busy`] mean that the model is still
    /// loaded.
    fn unload(&self, target: &Target, order: &UnloadOrder) -> Result<()>;

    /// Orders an adapter to be loaded with its model.
    ///
    /// # Errors
    ///
    /// Fails as [`Engine::load`] does.
    fn load_adapter(
        &self,
        target: &Target,
        service: &ServiceName,
        adapter: &AdapterName,
    ) -> Result<()>;

    /// Cancels an attempt whose caller has left.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not respond; the attempt then ends by itself.
    fn cancel(&self, target: &Target, attempt: &AttemptId) -> Result<()>;
}
