//! A local cache of the replica rows.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use tansyknot_core::{clock::Time, name::ServiceName, replica::ReplicaRow, table::RowVersion};

use crate::replicas::Versioned;

/// The age at which a row in use is read again even if no message announced a change.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Entry {
    version: RowVersion,
    row: ReplicaRow,
    read_at: Time,
    stale: bool,
}

/// Cached replica rows by service.
///
/// A cached version never decreases, in whatever order concurrent reads complete.
#[derive(Debug, Default)]
pub struct ReplicaCache {
    entries: Mutex<HashMap<ServiceName, Entry>>,
}

impl ReplicaCache {
    /// Stores a row that was read or written at `now` unless the cached one is newer.
    ///
    /// Returns whether its version is higher than the cached one.
    pub fn store(
        &self,
        service: &ServiceName,
        version: RowVersion,
        row: &ReplicaRow,
        now: Time,
    ) -> bool {
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        let newer = entries.get(service).is_none_or(|e| version > e.version);
        let same = entries.get(service).is_some_and(|e| version == e.version);
        if newer || same {
            let entry = Entry { version, row: row.clone(), read_at: now, stale: false };
            entries.insert(service.clone(), entry);
        }
        newer
    }

    /// Returns the cached row.
    pub fn row(&self, service: &ServiceName) -> Option<ReplicaRow> {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries.get(service).map(|e| e.row.clone())
    }

    /// Returns the cached row with its version.
    pub fn versioned(&self, service: &ServiceName) -> Option<Versioned<ReplicaRow>> {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries.get(service).map(|e| Versioned { version: e.version, row: e.row.clone() })
    }

    /// Marks the cached row as outdated, for instance after an engine refused a request as not
    /// loaded.
    pub fn mark_stale(&self, service: &ServiceName) {
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        if let Some(entry) = entries.get_mut(service) {
            entry.stale = true;
        }
    }

    /// Returns whether the row must be read again before it is used.
    pub fn needs_read(&self, service: &ServiceName, now: Time) -> bool {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries.get(service).is_none_or(|e| e.stale || now.since(e.read_at) >= REFRESH_INTERVAL)
    }

    /// Returns every service with a cached row.
    pub fn services(&self) -> Vec<ServiceName> {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries.keys().cloned().collect()
    }
}
