//! Metrics of calls to the store.

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
struct RecordedMetrics(Mutex<BTreeMap<String, u64>>);

impl RecordedMetrics {
    fn add(&self, name: &str, label: &ServiceName, n: u64) {
        let mut values = self.0.lock().expect("no test panics while it holds the lock");
        *values.entry(format!("{name} {label}")).or_default() += n;
    }

    fn value(&self, name: &str) -> u64 {
        self.0
            .lock()
            .expect("no test panics while it holds the lock")
            .get(name)
            .copied()
            .unwrap_or(0)
    }
}

impl Recorder for RecordedMetrics {
    fn count(&self, name: &'static str, service: &ServiceName, n: u64) {
        self.add(name, service, n);
    }

    fn time(&self, name: &'static str, service: &ServiceName, _: Duration) {
        self.add(name, service, 1);
    }

    fn gauge(&self, _: &'static str, _: &ServiceName, _: f64) {}
}

#[test]
fn calls_are_counted_by_kind_and_outcome() {
    let store = FakeStore::new();
    let client = store.client();
    let metrics = Arc::new(RecordedMetrics::default());
    let instrumented = InstrumentedStore::new(Arc::new(client.clone()), Arc::clone(&metrics) as _);
    assert!(instrumented.row(RowName::Planner).is_ok());
    assert!(instrumented.write_row(RowName::Planner, 0, b"a").is_ok());
    assert!(
        instrumented.write_row(RowName::Planner, 0, b"b").is_ok(),
        "a conflict is a successful call"
    );
    client.set_fault(StoreFault::Unresponsive);
    assert!(instrumented.targets(std::time::Duration::from_secs(1)).is_err());
    assert_eq!(metrics.value("store_calls read_planner"), 1);
    assert_eq!(metrics.value("store_calls write_planner"), 2);
    assert_eq!(metrics.value("store_conflicts write_planner"), 1);
    assert_eq!(metrics.value("store_calls all_targets"), 1);
    assert_eq!(metrics.value("store_calls_failed all_targets"), 1);
    assert_eq!(metrics.value("store_call all_targets"), 1, "failed calls are timed too");
    assert_eq!(metrics.value("store_calls_failed read_planner"), 0);
}
