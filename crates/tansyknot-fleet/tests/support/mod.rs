//! Support of the tests: a store, targets and daemons that run in one thread and in virtual time.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub(crate) mod crashes;
pub(crate) mod daemon_faults;
pub(crate) mod engine;
pub(crate) mod leaving;
pub(crate) mod list_calls;
pub(crate) mod network;
pub(crate) mod planner;
pub(crate) mod shared_store;
pub(crate) mod signals;
pub(crate) mod stalls;
pub(crate) mod store;
pub(crate) mod teams;
pub(crate) mod zones;

use std::{cell::RefCell, collections::HashMap, ops::Range, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::{Clock, ManualClock, Time},
    name::{ModelName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    access::AccessOptions,
    budget::BudgetOptions,
    catalog::{Catalog, Engine, Model, Repeatability, Route, Service},
    freshness::FreshnessLimits,
    lease::{LeaseHolder, LeaseOptions},
    lease_keeper::{LeaseKeeper, Reluctance, SharedLease},
    platform_api::OperatorUpdate,
    state::{State, StateOptions},
    target::{LoadedModel, Target, TargetState},
    zone_drain::ZoneUpdate,
};

use store::{FakeStore, StoreClient};

/// The interval at which the lease is handed over, as production deployments set it.
pub(crate) const HANDOVER_INTERVAL: Duration = Duration::from_millis(3000);

/// A daemon that takes part in the lease only.
pub(crate) struct Daemon {
    pub(crate) clock: ManualClock,
    pub(crate) store: StoreClient,
    pub(crate) state: Arc<State>,
    pub(crate) lease: Arc<SharedLease>,
    pub(crate) keeper: Arc<LeaseKeeper>,
    next_step_at: RefCell<Time>,
    last_order: RefCell<Option<(Time, u64)>>,
}

impl Daemon {
    pub(crate) fn new(name: &str, store: &FakeStore, clock: &ManualClock) -> Self {
        Self::with_reluctance(name, store, clock, Reluctance::None)
    }

    pub(crate) fn with_reluctance(
        name: &str,
        store: &FakeStore,
        clock: &ManualClock,
        reluctance: Reluctance,
    ) -> Self {
        let store = store.client();
        let state = state(clock);
        let lease = Arc::new(SharedLease::default());
        // Each daemon has a host of its own.
        let host = name.bytes().next().unwrap_or(1);
        let holder = LeaseHolder {
            daemon: name.into(),
            incarnation: tansyknot_core::name::random_id().into(),
            address: ([10, 0, 0, host], 7000).into(),
            fence: 0,
            released: false,
            extends: false,
            covers: Default::default(),
            rests: Default::default(),
            all_rest: 0,
            era: 0,
            software: Default::default(),
            longest_stream_ms: 0,
            stream_routes: None,
        };
        let keeper = Arc::new(LeaseKeeper::new(
            Arc::clone(&state),
            Arc::new(store.clone()),
            Arc::clone(&lease),
            holder,
            LeaseOptions { handover_interval: HANDOVER_INTERVAL },
            reluctance,
        ));
        Self {
            clock: clock.clone(),
            store,
            state,
            lease,
            keeper,
            next_step_at: RefCell::new(Time::default()),
            last_order: RefCell::new(None),
        }
    }

    /// Runs a step of the lease keeper if one is due, and records an order if one may be sent.
    pub(crate) fn maintain_lease(&self) {
        if self.clock.now() >= *self.next_step_at.borrow() {
            let pause = self.keeper.step();
            *self.next_step_at.borrow_mut() = self.clock.now() + pause;
        }
        if self.may_order() {
            // The daemon sends an order whenever it may.
            self.lease.record_order(&TargetName::from("t"), self.clock.now());
            *self.last_order.borrow_mut() = Some((self.clock.now(), self.lease.fence()));
        }
    }

    /// Returns whether the daemon may send orders to the target `t`; adds `t` to the row.
    pub(crate) fn may_order(&self) -> bool {
        self.keeper.add_target(&TargetName::from("t")).is_some()
    }

    /// Returns the last time at which the daemon could send an order if its keeper runs no further
    /// step.
    pub(crate) fn last_order_time(&self) -> Time {
        let t = TargetName::from("t");
        let mut at = self.clock.now();
        while self.lease.may_order(&t, at + Duration::from_millis(10)).is_some() {
            at = at + Duration::from_millis(10);
        }
        at
    }

    /// Returns the fencing token of the last order, 0 if there was none.
    pub(crate) fn last_order_fence(&self) -> u64 {
        self.last_order.borrow().map_or(0, |(_, fence)| fence)
    }
}

/// Returns the seeds that the environment variable `name` sets as `FROM..TO`, else the first
/// `default_count` seeds.
pub(crate) fn seeds(name: &str, default_count: u64) -> Range<u64> {
    let Ok(seeds) = std::env::var(name) else { return 0..default_count };
    let bounds = seeds.split_once("..").map(|(from, to)| (from.parse(), to.parse()));
    let Some((Ok(from), Ok(to))) = bounds else { panic!("{name} must be FROM..TO") };
    from..to
}

/// Creates the shared state of a daemon in zone `z1`.
pub(crate) fn state(clock: &ManualClock) -> Arc<State> {
    let budget = BudgetOptions { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    let options = StateOptions {
        budget,
        access: AccessOptions::default(),
        freshness: FreshnessLimits::default(),
    };
    Arc::new(State::new(ZoneName::from("z1"), options, Arc::new(clock.clone())))
}

/// Creates a ready target of service `s` with these loaded models, and those of `disk` on its disk.
pub(crate) fn target(name: &str, models: &[&str], disk: &[&str]) -> Target {
    let names = |list: &[&str]| list.iter().map(|m| ModelName::from(*m)).collect();
    Target {
        name: TargetName::from(name),
        started_at: None,
        service: ServiceName::from("s"),
        software: None,
        address: ([127, 0, 0, 1], 9).into(),
        zone: ZoneName::from("z1"),
        state: TargetState::Ready,
        slots: 8,
        models: models.iter().map(|m| loaded_model(m, &[])).collect(),
        in_memory: Vec::new(),
        on_disk: names(disk),
        warm_up_left: Duration::ZERO,
        version: 1,
    }
}

/// Creates a response of the store that shows a configuration and no drained zones.
pub(crate) fn operator_update(catalog: Option<Catalog>, version: u64) -> OperatorUpdate {
    let has_changes = catalog.is_some();
    let zones = ZoneUpdate::Changes(Vec::new(), version);
    OperatorUpdate { catalog, zones, has_changes, version }
}

/// Creates a loaded model with adapters.
pub(crate) fn loaded_model(model: &str, adapters: &[&str]) -> LoadedModel {
    LoadedModel {
        model: ModelName::from(model),
        adapters: adapters.iter().map(|a| (*a).into()).collect(),
    }
}

/// Creates a configuration of service `s` with models `m0` to `m9`; an engine has memory for three
/// of them.
pub(crate) fn catalog() -> Catalog {
    let model = |n: u32| Model {
        name: ModelName::new(format!("m{n}")),
        // `m8` and `m9` are small.
        memory_mb: if n < 8 { 70_000.0 } else { 34_000.0 },
        load_remote: Duration::from_secs(6),
        load_disk: Duration::from_millis(800),
        load_memory: Duration::from_millis(450),
        adapter_mb: 60.0,
    };
    let models: HashMap<ModelName, Model> =
        (0..10).map(model).map(|m| (m.name.clone(), m)).collect();
    let engine = Engine {
        slots: 8,
        cache_tokens: 90_000,
        memory_mb: 212_000.0,
        adapter_slots: 2,
        loads_per_s: 3.1,
        models,
    };
    let service = Service { name: ServiceName::from("s"), engine: Some(engine), warm_up: None };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        repeatability: Repeatability::Stream,
        timeout: Duration::from_secs(25),
        objective: Duration::from_millis(2500),
        gap_objective: None,
        priority: 0,
        max_attempts: 1,
        split: vec![(ServiceName::from("s"), 1)],
        is_public: false,
        regions: None,
    };
    Catalog::new(1, vec![route], vec![service])
}
