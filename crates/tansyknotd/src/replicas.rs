//! Passes orders of the request pipeline on to the control loop and the engines.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tansyknot_control::reconcile::Reconciler;
use tansyknot_core::{
    Result,
    clock::{Clock, Time},
    engine::Engine,
    host::Target,
    name::{AdapterName, AttemptId, ServiceName, TargetName},
    peer::PeerListener,
};
use tansyknot_edge::gateway::EngineOrders;

/// How long a loaded adapter is assumed to stay loaded.
const ADAPTER_TTL: Duration = Duration::from_secs(30);
/// Maximum number of cached adapters; when it is exceeded the cache is cleared, and adapters are
/// loaded again on their next use.
const MAX_CACHED_ADAPTERS: usize = 4096;

/// Connects the pipeline to the control loop and the engines.
pub struct EngineReplicas {
    reconciler: Arc<Reconciler>,
    engine: Arc<dyn Engine>,
    clock: Arc<dyn Clock>,
    adapters: Mutex<HashMap<(TargetName, AdapterName), Time>>,
}

impl EngineReplicas {
    /// Creates the connection with an empty cache of adapters.
    pub fn new(
        reconciler: Arc<Reconciler>,
        engine: Arc<dyn Engine>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self { reconciler, engine, clock, adapters: Mutex::default() }
    }

    fn is_loaded(&self, key: &(TargetName, AdapterName), now: Time) -> bool {
        let adapters = self.adapters.lock().expect("no holder of the lock panics");
        adapters.get(key).is_some_and(|at| now.since(*at) < ADAPTER_TTL)
    }

    fn record_loaded(&self, key: (TargetName, AdapterName), now: Time) {
        let mut adapters = self.adapters.lock().expect("no holder of the lock panics");
        if adapters.len() >= MAX_CACHED_ADAPTERS {
            adapters.clear();
        }
        adapters.insert(key, now);
    }
}

impl EngineOrders for EngineReplicas {
    fn report_not_loaded(&self, service: &ServiceName) {
        // The engine may have dropped an adapter rather than the model.
        self.adapters.lock().expect("no holder of the lock panics").clear();
        self.reconciler.receive_change(service);
    }

    fn cancel(&self, target: &Target, attempt: &AttemptId) {
        // An engine that does not receive this ends the attempt when its response is not read.
        let _ = self.engine.cancel(target, attempt);
    }

    fn load_adapter(
        &self,
        target: &Target,
        service: &ServiceName,
        adapter: &AdapterName,
    ) -> Result<()> {
        let now = self.clock.now();
        let key = (target.name.clone(), adapter.clone());
        if self.is_loaded(&key, now) {
            return Ok(());
        }
        self.engine.load_adapter(target, service, adapter)?;
        self.record_loaded(key, now);
        Ok(())
    }
}
