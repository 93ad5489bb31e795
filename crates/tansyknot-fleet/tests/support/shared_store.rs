//! An in-memory store that all simulated daemons share; a call returns the state at the time of the
//! call.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tansyknot_core::{
    Error, Result,
    name::{TargetName, ZoneName},
};
use tansyknot_fleet::{
    catalog::Catalog,
    platform_api::{
        OperatorUpdate, RowName, Store, StoreRow, TargetChange, TargetListUpdate, WriteOutcome,
    },
    target::{Removal, Target},
    zone_drain::{DrainedZones, ZoneUpdate},
};

#[derive(Default)]
pub(crate) struct Rows {
    planner: Option<StoreRow>,
    poison: Option<StoreRow>,
    pub(crate) targets: BTreeMap<TargetName, Target>,
    changes: Vec<(u64, TargetChange)>,
    version: u64,
    calls: HashMap<&'static str, u64>,
    /// The operators' configuration, and the version of the store at which it was written.
    config: Option<(Catalog, u64)>,
    drained: BTreeSet<ZoneName>,
}

impl Rows {
    fn row_mut(&mut self, name: RowName) -> &mut Option<StoreRow> {
        match name {
            RowName::Planner => &mut self.planner,
            RowName::Poison => &mut self.poison,
        }
    }

    fn operator_update(&self, catalog: Option<Catalog>) -> OperatorUpdate {
        let all = DrainedZones { version: self.version, zones: self.drained.clone() };
        let has_changes = catalog.is_some();
        let zones = ZoneUpdate::All(all);
        OperatorUpdate { catalog, zones, has_changes, version: self.version }
    }
}

/// A store that counts its calls.
#[derive(Clone, Default)]
pub(crate) struct SharedStore {
    rows: Arc<Mutex<Rows>>,
}

impl SharedStore {
    pub(crate) fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().expect("the lock is not poisoned")
    }

    fn record_call(&self, kind: &'static str) -> MutexGuard<'_, Rows> {
        let mut rows = self.rows();
        *rows.calls.entry(kind).or_default() += 1;
        rows
    }

    /// Writes an entry with the next version.
    pub(crate) fn put(&self, mut entry: Target) {
        let mut rows = self.rows();
        rows.version += 1;
        entry.version = rows.version;
        let (version, change) = (rows.version, TargetChange::Put(Box::new(entry.clone())));
        rows.changes.push((version, change));
        rows.targets.insert(entry.name.clone(), entry);
    }

    /// Removes an entry.
    pub(crate) fn remove(&self, name: &TargetName) {
        let mut rows = self.rows();
        rows.version += 1;
        let (version, change) = (
            rows.version,
            TargetChange::Removed(Removal { name: name.clone(), version: rows.version }),
        );
        rows.changes.push((version, change));
        rows.targets.remove(name);
    }

    /// Writes the configuration.
    pub(crate) fn configure(&self, catalog: Catalog) {
        let mut rows = self.rows();
        rows.version += 1;
        rows.config = Some((catalog, rows.version));
    }

    /// Drains a zone or returns it to service.
    pub(crate) fn set_drained(&self, zone: &str, is_drained: bool) {
        let mut rows = self.rows();
        rows.version += 1;
        let zone = ZoneName::from(zone);
        if is_drained {
            rows.drained.insert(zone);
        } else {
            rows.drained.remove(&zone);
        }
    }

    /// Returns the version of the configuration, 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.rows().config.as_ref().map_or(0, |(catalog, _)| catalog.version)
    }

    /// Returns the number of calls since the last query, by kind.
    pub(crate) fn take_calls(&self) -> HashMap<&'static str, u64> {
        std::mem::take(&mut self.rows().calls)
    }
}

/// One daemon's client of the store.
pub(crate) struct StoreClient {
    pub(crate) store: SharedStore,
    pub(crate) is_disconnected: Arc<AtomicBool>,
}

impl StoreClient {
    fn call(&self, kind: &'static str) -> Result<MutexGuard<'_, Rows>> {
        if self.is_disconnected.load(Ordering::SeqCst) {
            return Err(Error::unknown("store", "cut"));
        }
        Ok(self.store.record_call(kind))
    }
}

impl Store for StoreClient {
    fn targets(&self, _: Duration) -> Result<(Vec<Target>, u64)> {
        let rows = self.call("all_targets")?;
        Ok((rows.targets.values().cloned().collect(), rows.version))
    }

    fn target_changes(&self, after: u64) -> Result<TargetListUpdate> {
        let rows = self.call("target_changes")?;
        let newer = rows.changes.iter().filter(|(version, _)| *version > after);
        let changes = newer.map(|(_, change)| change.clone()).collect();
        Ok(TargetListUpdate::Changes { changes, version: rows.version })
    }

    fn operator_docs(&self, _: Duration) -> Result<OperatorUpdate> {
        let rows = self.call("all_config")?;
        let missing = || Error::unknown("store", "no configuration is stored");
        let (catalog, _) = rows.config.clone().ok_or_else(missing)?;
        Ok(rows.operator_update(Some(catalog)))
    }

    /// Returns at once, also where a call would wait for a change.
    fn operator_changes(&self, after: u64, _: Duration) -> Result<Option<OperatorUpdate>> {
        let mut rows = self.call("config_changes")?;
        let newer = rows.config.as_ref().filter(|(_, version)| *version > after);
        let newer = newer.map(|(catalog, _)| catalog.clone());
        if newer.is_some() {
            *rows.calls.entry("config_documents").or_default() += 1;
        }
        Ok(Some(rows.operator_update(newer)))
    }

    fn row(&self, name: RowName) -> Result<Option<StoreRow>> {
        let kind = match name {
            RowName::Planner => "read_planner",
            RowName::Poison => "read_poison",
        };
        let mut rows = self.call(kind)?;
        Ok(rows.row_mut(name).clone())
    }

    fn write_row(&self, name: RowName, expected: u64, value: &[u8]) -> Result<WriteOutcome> {
        let kind = match name {
            RowName::Planner => "write_planner",
            RowName::Poison => "write_poison",
        };
        let mut rows = self.call(kind)?;
        let row = rows.row_mut(name);
        if row.as_ref().map_or(0, |row| row.version) != expected {
            return Ok(WriteOutcome::Conflict(row.clone()));
        }
        *row = Some(StoreRow { value: value.to_vec(), version: expected + 1 });
        Ok(WriteOutcome::Done(expected + 1))
    }
}
