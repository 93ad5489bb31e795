//! Costs of the control loop: table calls of a cold start and of a removal, and the time to check
//! all services.

use std::{sync::Arc, time::Duration};

use tansyknot_config::{document, objects_in_force::ObjectChange};
use tansyknot_control::{
    config::{self, Author, ConfigView},
    directory::ReplicaCache,
    hosts::HostView,
    pools::{AcquireRequest, Pools},
    publish::Publisher,
    reconcile::{Reconciler, ReconcilerDependencies},
    replicas,
};
use tansyknot_core::{
    clock::{Clock, ManualClock},
    engine::Engine,
    host::{Fencing, HostState, Target, TargetKind},
    name::{Incarnation, ServiceName, TargetName, ZoneName},
    peer::NoPeers,
    replica::{ReplicaRow, Slot, SlotState},
    table::{Table, Transaction},
};
use tansyknot_policy::{
    placement::NearestCheckpoint, pool::PoolOptions, queue::Waiter, retention::LeastCost,
    routing::ZoneTwoChoices,
};
use tansyknot_standins::fake::{FakeEngines, FakeHosts, FakeTable};

use crate::slope;

struct Setup {
    table: FakeTable,
    engines: Arc<FakeEngines>,
    clock: ManualClock,
    pools: Arc<Pools>,
    reconciler: Reconciler,
}

/// Creates a single daemon with `services` services and `targets` engines.
fn setup(services: usize, targets: usize) -> Setup {
    let table = FakeTable::default();
    apply_objects(&table, services);
    let engines: Arc<FakeEngines> = Arc::default();
    let hosts = FakeHosts::default();
    let list: Vec<Target> = (0..targets).map(target).collect();
    for target in &list {
        engines.add(&target.name, target.memory_bytes, Fencing::Checked);
    }
    hosts.state.set(list);
    let manual = ManualClock::new();
    let clock: Arc<dyn Clock> = Arc::new(manual.clone());
    let view = Arc::new(HostView::default());
    view.refresh(&hosts, clock.now()).expect("the list is up");
    let config = Arc::new(ConfigView::default());
    config.follow(&table).expect("the table is up");
    let pools = Arc::new(Pools::new(Box::new(ZoneTwoChoices::default()), Arc::clone(&clock)));
    let directory = Arc::new(ReplicaCache::default());
    let publisher = Arc::new(Publisher {
        config: Arc::clone(&config),
        hosts: Arc::clone(&view),
        directory: Arc::clone(&directory),
        pools: Arc::clone(&pools),
    });
    let reconciler = Reconciler::new(ReconcilerDependencies {
        table: Arc::new(table.clone()) as Arc<dyn Table>,
        engine: Arc::clone(&engines) as Arc<dyn Engine>,
        hosts: view,
        config,
        pools: Arc::clone(&pools),
        directory,
        publisher,
        peers: Arc::new(NoPeers),
        placement: Box::new(NearestCheckpoint),
        retention: Box::new(LeastCost),
        clock,
        incarnation: Incarnation::from("bench#1"),
    });
    Setup { table, engines, clock: manual, pools, reconciler }
}

fn apply_objects(table: &FakeTable, services: usize) {
    let mut text = "kind: rule\nname: all\nservices: ''\ntargets: ''\nreplicas: {max: 2}\n\
        retention: {at_least: 10s, at_most: 20s}\n"
        .to_owned();
    for i in 0..services {
        text.push_str(&format!(
            "---\nkind: service\nname: service-{i:04}\nlabels: {{desk: d{}}}\nbackend: {{model: \
             {{checkpoint: c{i}, memory: 16GB}}}}\n",
            i % 20
        ));
    }
    let objects = document::read(&text, "bench").expect("the objects are valid");
    let ops: Vec<ObjectChange> = objects.into_iter().map(ObjectChange::Put).collect();
    let author = Author { name: "bench".to_owned(), at_ms: 0 };
    for (version, batch) in ops.chunks(config::MAX_OPS).enumerate() {
        config::apply(table, version as u64, batch, &author).expect("no other change is made");
    }
}

fn target(i: usize) -> Target {
    Target {
        name: TargetName::new(format!("runner-{i:04}")),
        address: ([10, 1, (i / 250) as u8, (i % 250) as u8], 8000).into(),
        availability_zone: ZoneName::new(format!("zone-{}", i % 14)),
        state: HostState::Live,
        kind: TargetKind::Engine,
        memory_bytes: 320_000_000_000,
        fencing: Fencing::Checked,
        labels: [].into(),
    }
}

impl Setup {
    fn service(i: usize) -> ServiceName {
        ServiceName::new(format!("service-{i:04}"))
    }

    fn acquire(&self, service: &ServiceName) {
        let now = self.clock.now();
        let acquire_request = AcquireRequest {
            service,
            waiter: Waiter::of_one_team(0, now, now + Duration::from_secs(600)),
            prefix: None,
            avoid: &[],
        };
        let zone = ZoneName::from("zone-0");
        let options = PoolOptions {
            availability_zone: zone,
            max_in_flight_per_upstream: 64,
            max_waiting: 100,
        };
        drop(self.pools.acquire(&acquire_request, options));
    }

    /// Loads the model of a service and lets it become idle until it is removed.
    fn load_and_remove(&self, i: usize) {
        let service = Self::service(i);
        self.acquire(&service);
        self.step(&service);
        self.engines.finish_loads();
        self.step(&service);
        for t in 0..40 {
            let target = TargetName::new(format!("runner-{t:04}"));
            self.pools.release(&service, &target, Some(Duration::from_millis(300)));
        }
        for _ in 0..40 {
            self.clock.advance(Duration::from_secs(1));
            self.step(&service);
            let row = replicas::read_replicas(&self.table, &service).expect("the table is up");
            if row.row.slots.is_empty() {
                return;
            }
        }
    }

    fn step(&self, service: &ServiceName) {
        self.reconciler.step(service).expect("the table is up");
    }
}

pub(crate) fn measure() {
    const EVENTS: &[usize] = &[10, 20, 40, 80];
    slope::measure("table commits of wake and idle events", "events", "commits", EVENTS, |n| {
        let setup = setup(100, 8);
        let before = setup.table.state.counts().commits;
        (0..n).for_each(|i| setup.load_and_remove(i));
        (setup.table.state.counts().commits - before) as f64
    });
    const SERVICES: &[usize] = &[100, 400, 1900, 8000];
    slope::measure("a look at all services", "services with a row", "us", SERVICES, |n| {
        let setup = setup(100, 8);
        for i in 0..n {
            let row = serde_json::to_string(&ready_row(i)).expect("the row serializes");
            let key = format!("replica/service-{i:04}");
            let txn = Transaction::default().set(key, Some(row));
            setup.table.commit(&txn).expect("the table is up");
        }
        setup.reconciler.read_all_rows().expect("the table is up");
        setup.reconciler.due();
        slope::average_micros(20, || {
            setup.clock.advance(Duration::from_secs(1));
            drop(setup.reconciler.due());
        })
    });
    slope::measure("table reads of a quiet step", "services", "reads", &[10, 20, 40, 80], |n| {
        let setup = setup(100, 8);
        (0..n).for_each(|i| setup.step(&Setup::service(i)));
        setup.clock.advance(Duration::from_secs(1));
        let before = setup.table.state.counts().reads;
        (0..n).for_each(|i| setup.step(&Setup::service(i)));
        (setup.table.state.counts().reads - before) as f64
    });
    slope::measure("replica row", "slots", "bytes", &[1, 2, 4, 8], |n| {
        let mut row = ready_row(1);
        row.slots = vec![row.slots[0].clone(); n];
        serde_json::to_string(&row).expect("the row serializes").len() as f64
    });
}

fn ready_row(i: usize) -> ReplicaRow {
    let slot = Slot {
        target: TargetName::new(format!("runner-{i:04}")),
        state: SlotState::Ready,
        fence: 12,
        holder: replicas::new_incarnation("region-1-daemon-001"),
        token: tansyknot_core::name::random_id(),
        memory_bytes: 16_000_000_000,
        ordering: Vec::new(),
        since_ms: 1_700_000_000_000,
    };
    ReplicaRow { last_fence: 12, slots: vec![slot] }
}

/// Measures memory. Runs before the other measurements, since the reuse of freed memory hides later
/// growth.
pub(crate) fn measure_memory() {
    const LARGEST_FIRST: &[usize] = &[16_000, 8000, 1900, 400];
    slope::measure("pools in memory", "services", "bytes", LARGEST_FIRST, |n| {
        let setup = setup(1, 1);
        let (bytes, ()) = slope::memory_growth(|| {
            (0..n).for_each(|i| setup.acquire(&ServiceName::new(format!("s-{i:05}"))));
        });
        std::mem::forget(setup);
        bytes
    });
    slope::measure(
        "directory of replica rows in memory",
        "services",
        "bytes",
        LARGEST_FIRST,
        |n| {
            let directory = ReplicaCache::default();
            let (bytes, ()) = slope::memory_growth(|| {
                for i in 0..n {
                    let service = Setup::service(i);
                    directory.store(
                        &service,
                        1,
                        &ready_row(i),
                        tansyknot_core::clock::Time::default(),
                    );
                }
            });
            std::mem::forget(directory);
            bytes
        },
    );
}
