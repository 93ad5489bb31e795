//! Orders to model engines and what engines report.

use serde::{Deserialize, Serialize};

use crate::{
    error::Result,
    host::Target,
    name::{AdapterName, AttemptId, Incarnation, ServiceName},
};

/// A number that rises with each transfer of a replica; engines may refuse older ones.
pub type Fence = u64;

/// Where the checkpoint of a model lies on an engine's host.
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

/// What an engine says of one model.
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

/// One model on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReport {
    /// The service whose model it is.
    pub service: ServiceName,
    /// How far it is.
    pub state: ModelState,
    /// The highest fencing token seen for it.
    pub fence: Fence,
    /// Requests that the engine ran for it at the time of the report.
    pub in_flight: u32,
    /// Adapters loaded beside it.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// A checkpoint that an engine's host holds nearer than the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedCheckpoint {
    /// The service whose checkpoint it is.
    pub service: ServiceName,
    /// Where it lies.
    pub tier: Tier,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// This run of the engine; models are gone when it changes.
    pub incarnation: Incarnation,
    /// Memory for models, in bytes.
    pub memory_bytes: u64,
    /// Memory taken by models, in bytes.
    pub used_bytes: u64,
    /// Models that are loading, ready or leaving.
    pub models: Vec<ModelReport>,
    /// Checkpoints held near the engine.
    #[serde(default)]
    pub cached: Vec<CachedCheckpoint>,
}

impl EngineStatus {
    /// Returns the report on the model of `service`, if the engine has it in any state.
    pub fn model(&self, service: &ServiceName) -> Option<&ModelReport> {
        self.models.iter().find(|m| m.service == *service)
    }

    /// Returns where the checkpoint of `service` lies for this engine.
    pub fn tier(&self, service: &ServiceName) -> Tier {
        let cached = self.cached.iter().find(|c| c.service == *service);
        cached.map_or(Tier::Remote, |c| c.tier)
    }
}

/// An order to load a model. Loading twice on one engine is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The service whose model is loaded.
    pub service: ServiceName,
    /// The checkpoint, as the weight store names it.
    pub checkpoint: String,
    /// Memory that the model and its pool of adapters take, in bytes.
    pub memory_bytes: u64,
    /// The fencing token of the order.
    pub fence: Fence,
}

/// An order to remove a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// The service whose model is removed.
    pub service: ServiceName,
    /// The fencing token of the order.
    pub fence: Fence,
}

/// A client of the control interface of model engines.
pub trait Engine: Send + Sync {
    /// Asks an engine for its status.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer.
    fn status(&self, target: &Target) -> Result<EngineStatus>;

    /// Orders a load and returns once the engine has accepted it, before it has finished.
    ///
    /// # Errors
    ///
    /// [`crate::Error::StaleFence`] and [`crate::Error::OutOfMemory`] mean that the engine
    /// did nothing. After any other error the load may be under way.
    fn load(&self, target: &Target, order: &LoadOrder) -> Result<()>;

    /// Orders a model to be removed and returns once it is gone.
    ///
    /// # Errors
    ///
    /// [`crate::Error::StaleFence`] and [`crate::Error::Busy`] mean that it is still there.
    fn unload(&self, target: &Target, order: &UnloadOrder) -> Result<()>;

    /// Orders an adapter to be loaded beside its model.
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
    /// Fails if the engine does not answer; the attempt then ends by itself.
    fn cancel(&self, target: &Target, attempt: &AttemptId) -> Result<()>;
}
