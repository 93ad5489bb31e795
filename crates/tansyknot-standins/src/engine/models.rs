//! The models and the memory of an engine.

use std::{collections::HashMap, sync::Mutex};

use serde::Serialize;
use tansyknot_core::{
    engine::{
        CachedCheckpoint, EngineStatus, Fence, LoadOrder, ModelReport, ModelState, Tier,
        UnloadOrder,
    },
    host::Fencing,
    name::{self, AdapterName, Incarnation, ServiceName},
};

/// Maximum number of adapters beside one model.
const MAX_ADAPTERS: usize = 8;

/// The reason for which an order is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// The engine has seen a later fencing token.
    StaleFence(Fence),
    /// There is not enough free memory.
    OutOfMemory,
    /// The model has requests in flight, or an adapter's model is not loaded.
    Busy,
}

/// Maximum values and counts since the engine started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Peaks {
    /// The maximum memory in use, in bytes.
    pub used_bytes: u64,
    /// The number of loads rejected for lack of memory.
    pub refused_loads: u64,
    /// The number of loads started.
    pub loads: u64,
    /// The number of orders to remove a model with requests in flight.
    pub busy_unloads: u64,
}

struct Model {
    memory_bytes: u64,
    report: ModelReport,
}

#[derive(Default)]
struct State {
    models: HashMap<ServiceName, Model>,
    fences: HashMap<ServiceName, Fence>,
    cached: HashMap<ServiceName, Tier>,
    peaks: Peaks,
}

/// The models of an engine.
pub struct Models {
    incarnation: Incarnation,
    memory_bytes: u64,
    fencing: Fencing,
    state: Mutex<State>,
}

/// A request in flight, counted until it is dropped.
pub struct RunningRequest<'a> {
    models: &'a Models,
    service: ServiceName,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.models.with_state(|state| {
            if let Some(model) = state.models.get_mut(&self.service) {
                model.report.in_flight = model.report.in_flight.saturating_sub(1);
            }
        });
    }
}

impl Models {
    /// Creates an engine's memory without models.
    pub fn new(memory_bytes: u64, fencing: Fencing) -> Self {
        let incarnation = Incarnation::new(name::random_id());
        Self { incarnation, memory_bytes, fencing, state: Mutex::default() }
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("no holder of the lock panics"))
    }

    /// Returns the storage tier of a service's checkpoint.
    pub fn tier(&self, service: &ServiceName) -> Tier {
        self.with_state(|state| state.cached.get(service).copied().unwrap_or(Tier::Remote))
    }

    /// Starts a load. Returns `false` if the model is already loaded or loading.
    ///
    /// # Errors
    ///
    /// Fails if the fencing token is old or there is not enough free memory.
    pub fn begin_load(&self, order: &LoadOrder) -> Result<bool, OrderError> {
        self.with_state(|state| {
            self.check_fence(state, &order.service, order.fence)?;
            if let Some(model) = state.models.get_mut(&order.service) {
                model.report.fence = order.fence;
                return Ok(false);
            }
            let used: u64 = state.models.values().map(|m| m.memory_bytes).sum();
            if used + order.memory_bytes > self.memory_bytes {
                state.peaks.refused_loads += 1;
                return Err(OrderError::OutOfMemory);
            }
            let report = ModelReport {
                service: order.service.clone(),
                state: ModelState::Loading,
                fence: order.fence,
                in_flight: 0,
                adapters: Vec::new(),
            };
            let model = Model { memory_bytes: order.memory_bytes, report };
            state.models.insert(order.service.clone(), model);
            state.peaks.used_bytes = state.peaks.used_bytes.max(used + order.memory_bytes);
            state.peaks.loads += 1;
            Ok(true)
        })
    }

    /// Finishes a load: the model becomes ready and its checkpoint is cached on the host's disk.
    pub fn finish_load(&self, service: &ServiceName) {
        self.with_state(|state| {
            if let Some(model) = state.models.get_mut(service) {
                model.report.state = ModelState::Ready;
            }
            state.cached.insert(service.clone(), Tier::Disk);
        });
    }

    /// Removes a model. Succeeds if the model is not loaded.
    ///
    /// # Errors
    ///
    /// Fails if the fencing token is old or the model has requests in flight.
    pub fn unload(&self, order: &UnloadOrder) -> Result<(), OrderError> {
        self.with_state(|state| {
            self.check_fence(state, &order.service, order.fence)?;
            if state.models.get(&order.service).is_some_and(|m| m.report.in_flight > 0) {
                state.peaks.busy_unloads += 1;
                return Err(OrderError::Busy);
            }
            state.models.remove(&order.service);
            Ok(())
        })
    }

    /// Loads an adapter beside its model. Replaces the oldest adapter at the limit.
    ///
    /// # Errors
    ///
    /// Fails if the model is not loaded.
    pub fn load_adapter(
        &self,
        service: &ServiceName,
        adapter: &AdapterName,
    ) -> Result<(), OrderError> {
        self.with_state(|state| {
            let model = state.models.get_mut(service).ok_or(OrderError::Busy)?;
            let adapters = &mut model.report.adapters;
            if !adapters.contains(adapter) {
                if adapters.len() == MAX_ADAPTERS {
                    adapters.remove(0);
                }
                adapters.push(adapter.clone());
            }
            Ok(())
        })
    }

    /// Starts a request to the ready model or adapter `name`. Returns `None` if there is none.
    pub fn begin_request(&self, name: &str) -> Option<RunningRequest<'_>> {
        self.with_state(|state| {
            let adapter = AdapterName::from(name);
            let model = state.models.values_mut().find(|m| {
                let is_model = m.report.service.as_str() == name;
                let has_adapter = m.report.adapters.contains(&adapter);
                m.report.state == ModelState::Ready && (is_model || has_adapter)
            })?;
            model.report.in_flight += 1;
            Some(RunningRequest { models: self, service: model.report.service.clone() })
        })
    }

    /// Returns the current status.
    pub fn status(&self) -> EngineStatus {
        self.with_state(|state| EngineStatus {
            incarnation: self.incarnation.clone(),
            memory_bytes: self.memory_bytes,
            used_bytes: state.models.values().map(|m| m.memory_bytes).sum(),
            models: state.models.values().map(|m| m.report.clone()).collect(),
            cached: state
                .cached
                .iter()
                .map(|(s, t)| CachedCheckpoint { service: s.clone(), tier: *t })
                .collect(),
        })
    }

    /// Returns the number of requests in flight over all models.
    pub fn in_flight(&self) -> u32 {
        self.with_state(|state| state.models.values().map(|m| m.report.in_flight).sum())
    }

    /// Returns the maximum values and counts since the engine started.
    pub fn peaks(&self) -> Peaks {
        self.with_state(|state| state.peaks)
    }

    fn check_fence(
        &self,
        state: &mut State,
        service: &ServiceName,
        fence: Fence,
    ) -> Result<(), OrderError> {
        let seen = state.fences.entry(service.clone()).or_default();
        if self.fencing == Fencing::Checked && fence < *seen {
            return Err(OrderError::StaleFence(*seen));
        }
        *seen = (*seen).max(fence);
        Ok(())
    }
}
