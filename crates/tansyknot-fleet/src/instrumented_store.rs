//! Counts and times the calls to the platform's store, by kind.

use std::{sync::Arc, time::Duration};

use tansyknot_core::{Result, clock::BootInstant, metric, name::ServiceName, telemetry::Recorder};

use crate::{
    platform_api::{OperatorUpdate, RowName, Store, StoreRow, TargetListUpdate, WriteOutcome},
    target::Target,
};

/// A store client that records the number, failures and durations of its calls as metrics.
pub struct InstrumentedStore {
    store: Arc<dyn Store>,
    recorder: Arc<dyn Recorder>,
}

impl InstrumentedStore {
    /// Creates a client that records the calls to `store`.
    pub fn new(store: Arc<dyn Store>, recorder: Arc<dyn Recorder>) -> Self {
        Self { store, recorder }
    }

    fn recorded<T>(
        &self,
        kind: &'static str,
        call: impl FnOnce(&dyn Store) -> Result<T>,
    ) -> Result<T> {
        let kind = ServiceName::from(kind);
        let began = BootInstant::now();
        let result = call(self.store.as_ref());
        self.recorder.count(metric::STORE_CALLS.name, &kind, 1);
        self.recorder.time(metric::STORE_CALL.name, &kind, began.elapsed());
        if let Err(e) = &result {
            log::debug!("a call to the store for {kind} failed: {e}");
            self.recorder.count(metric::STORE_CALLS_FAILED.name, &kind, 1);
        }
        result
    }
}

impl Store for InstrumentedStore {
    fn targets(&self, within: Duration) -> Result<(Vec<Target>, u64)> {
        self.recorded("all_targets", |s| s.targets(within))
    }

    fn short_list(&self, within: Duration) -> Result<Option<(Vec<Target>, u64)>> {
        self.recorded("short_list", |s| s.short_list(within))
    }

    fn target_changes(&self, version: u64) -> Result<TargetListUpdate> {
        self.recorded("target_changes", |s| s.target_changes(version))
    }

    fn operator_docs(&self, within: Duration) -> Result<OperatorUpdate> {
        self.recorded("config", |s| s.operator_docs(within))
    }

    fn operator_changes(&self, version: u64, wait: Duration) -> Result<Option<OperatorUpdate>> {
        self.recorded("config_changes", |s| s.operator_changes(version, wait))
    }

    fn row(&self, name: RowName) -> Result<Option<StoreRow>> {
        let kind = match name {
            RowName::Planner => "read_planner",
            RowName::Poison => "read_poison",
        };
        self.recorded(kind, |s| s.row(name))
    }

    fn write_row(&self, name: RowName, expected: u64, value: &[u8]) -> Result<WriteOutcome> {
        let kind = match name {
            RowName::Planner => "write_planner",
            RowName::Poison => "write_poison",
        };
        let written = self.recorded(kind, |s| s.write_row(name, expected, value))?;
        if matches!(written, WriteOutcome::Conflict(_)) {
            self.recorder.count(metric::STORE_CONFLICTS.name, &ServiceName::from(kind), 1);
        }
        Ok(written)
    }
}
