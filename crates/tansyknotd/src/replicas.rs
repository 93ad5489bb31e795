//! What the pipeline asks of the control loop and of engines.

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

/// An adapter that was loaded is taken to be there for this long.
const ADAPTER_SPAN: Duration = Duration::from_secs(30);
/// Adapters remembered; beyond this all are asked for again.
const ADAPTERS: usize = 4096;

/// Connects the pipeline to the control loop and the engines.
pub struct EngineReplicas {
    reconciler: Arc<Reconciler>,
    engine: Arc<dyn Engine>,
    clock: Arc<dyn Clock>,
    adapters: Mutex<HashMap<(TargetName, AdapterName), Time>>,
}

impl EngineReplicas {
    /// Makes the connection.
    pub fn new(
        reconciler: Arc<Reconciler>,
        engine: Arc<dyn Engine>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self { reconciler, engine, clock, adapters: Mutex::default() }
    }

    fn is_loaded(&self, key: &(TargetName, AdapterName), now: Time) -> bool {
        let adapters = self.adapters.lock().expect("no holder of the lock panics");
        adapters.get(key).is_some_and(|at| now.since(*at) < ADAPTER_SPAN)
    }

    fn remember(&self, key: (TargetName, AdapterName), now: Time) {
        let mut adapters = self.adapters.lock().expect("no holder of the lock panics");
        if adapters.len() >= ADAPTERS {
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
        // An engine that does not hear this ends the attempt when its answer is not read.
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
        self.remember(key, now);
        Ok(())
    }
}
