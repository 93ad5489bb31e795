//! Calls to the store as the metrics page shows them.

mod support;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use support::store::{FakeStore, StoreFault};
use tansyknot_core::{name::ServiceName, telemetry::Recorder};
use tansyknot_fleet::{
    instrumented_store::InstrumentedStore,
    platform_api::{RowName, Store},
};

#[derive(Default)]
struct Figures(Mutex<BTreeMap<String, u64>>);

impl Figures {
    fn add(&self, name: &str, of: &ServiceName, n: u64) {
        let mut all = self.0.lock().expect("no test panics with it");
        *all.entry(format!("{name} {of}")).or_default() += n;
    }

    fn of(&self, name: &str) -> u64 {
        self.0.lock().expect("no test panics with it").get(name).copied().unwrap_or(0)
    }
}

impl Recorder for Figures {
    fn count(&self, name: &'static str, service: &ServiceName, n: u64) {
        self.add(name, service, n);
    }

    fn time(&self, name: &'static str, service: &ServiceName, _: Duration) {
        self.add(name, service, 1);
    }

    fn gauge(&self, _: &'static str, _: &ServiceName, _: f64) {}
}

#[test]
fn calls_are_counted_by_kind_and_end() {
    let store = FakeStore::new();
    let door = store.door();
    let figures = Arc::new(Figures::default());
    let counted = InstrumentedStore::new(Arc::new(door.clone()), Arc::clone(&figures) as _);
    assert!(counted.row(RowName::Planner).is_ok());
    assert!(counted.write_row(RowName::Planner, 0, b"a").is_ok());
    assert!(counted.write_row(RowName::Planner, 0, b"b").is_ok(), "a conflict is an answer");
    door.set(StoreFault::Silent);
    assert!(counted.targets(std::time::Duration::from_secs(1)).is_err());
    assert_eq!(figures.of("store_calls read_planner"), 1);
    assert_eq!(figures.of("store_calls write_planner"), 2);
    assert_eq!(figures.of("store_conflicts write_planner"), 1);
    assert_eq!(figures.of("store_calls all_targets"), 1);
    assert_eq!(figures.of("store_calls_failed all_targets"), 1);
    assert_eq!(figures.of("store_call all_targets"), 1, "failed calls are timed too");
    assert_eq!(figures.of("store_calls_failed read_planner"), 0);
}
