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

/// Adapters beside one model.
const ADAPTERS: usize = 8;

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderError {
    /// A later fencing token has been seen.
    StaleFence(Fence),
    /// The memory is taken.
    OutOfMemory,
    /// The model serves requests.
    Busy,
}

/// The most that was ever there at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Peaks {
    /// Memory in use, in bytes.
    pub used_bytes: u64,
    /// Loads refused for memory.
    pub refused_loads: u64,
    /// Loads begun.
    pub loads: u64,
    /// Orders to remove a model that was serving requests.
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

/// Counts a request for as long as it lives.
pub struct RunningRequest<'a> {
    models: &'a Models,
    service: ServiceName,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.models.with(|state| {
            if let Some(model) = state.models.get_mut(&self.service) {
                model.report.in_flight = model.report.in_flight.saturating_sub(1);
            }
        });
    }
}

impl Models {
    /// Makes an engine's memory without models.
    pub fn new(memory_bytes: u64, fencing: Fencing) -> Self {
        let incarnation = Incarnation::new(name::random_id());
        Self { incarnation, memory_bytes, fencing, state: Mutex::default() }
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().expect("no holder of the lock panics"))
    }

    /// Returns where a checkpoint lies.
    pub fn tier(&self, service: &ServiceName) -> Tier {
        self.with(|state| state.cached.get(service).copied().unwrap_or(Tier::Remote))
    }

    /// Begins a load; `false` if the model is there or coming.
    ///
    /// # Errors
    ///
    /// Fails if the token is old or the memory is taken.
    pub fn begin_load(&self, order: &LoadOrder) -> Result<bool, OrderError> {
        self.with(|state| {
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

    /// Ends a load: the model serves, and its checkpoint stays on the host's disk.
    pub fn finish_load(&self, service: &ServiceName) {
        self.with(|state| {
            if let Some(model) = state.models.get_mut(service) {
                model.report.state = ModelState::Ready;
            }
            state.cached.insert(service.clone(), Tier::Disk);
        });
    }

    /// Removes a model, which may already be gone.
    ///
    /// # Errors
    ///
    /// Fails if the token is old or the model serves requests.
    pub fn unload(&self, order: &UnloadOrder) -> Result<(), OrderError> {
        self.with(|state| {
            self.check_fence(state, &order.service, order.fence)?;
            if state.models.get(&order.service).is_some_and(|m| m.report.in_flight > 0) {
                state.peaks.busy_unloads += 1;
                return Err(OrderError::Busy);
            }
            state.models.remove(&order.service);
            Ok(())
        })
    }

    /// Loads an adapter beside its model, in place of the oldest if there are many.
    ///
    /// # Errors
    ///
    /// Fails if the model is not there.
    pub fn load_adapter(
        &self,
        service: &ServiceName,
        adapter: &AdapterName,
    ) -> Result<(), OrderError> {
        self.with(|state| {
            let model = state.models.get_mut(service).ok_or(OrderError::Busy)?;
            let adapters = &mut model.report.adapters;
            if !adapters.contains(adapter) {
                if adapters.len() == ADAPTERS {
                    adapters.remove(0);
                }
                adapters.push(adapter.clone());
            }
            Ok(())
        })
    }

    /// Counts a request for a ready model or an adapter beside one.
    pub fn begin_request(&self, name: &str) -> Option<RunningRequest<'_>> {
        self.with(|state| {
            let adapter = AdapterName::from(name);
            let model = state.models.values_mut().find(|m| {
                let named = m.report.service.as_str() == name;
                let adapted = m.report.adapters.contains(&adapter);
                m.report.state == ModelState::Ready && (named || adapted)
            })?;
            model.report.in_flight += 1;
            Some(RunningRequest { models: self, service: model.report.service.clone() })
        })
    }

    /// Returns the status as it is now.
    pub fn status(&self) -> EngineStatus {
        self.with(|state| EngineStatus {
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

    /// Returns the requests of all models together.
    pub fn in_flight(&self) -> u32 {
        self.with(|state| state.models.values().map(|m| m.report.in_flight).sum())
    }

    /// Returns the most that was ever there at once.
    pub fn peaks(&self) -> Peaks {
        self.with(|state| state.peaks)
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
