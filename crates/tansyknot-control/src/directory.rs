//! The replica rows as this daemon last read them.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use tansyknot_core::{clock::Time, name::ServiceName, replica::ReplicaRow, table::RowVersion};

use crate::replicas::Versioned;

/// A row in use is read again after this long even if nothing said that it changed.
pub const REFRESH_AFTER: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Entry {
    version: RowVersion,
    row: ReplicaRow,
    read_at: Time,
    stale: bool,
}

/// Replica rows by service. Versions only rise, whatever order reads come back in.
#[derive(Debug, Default)]
pub struct Directory {
    entries: Mutex<HashMap<ServiceName, Entry>>,
}

impl Directory {
    /// Keeps a row that was read or written at `now`; tells whether it is new.
    pub fn keep(
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

    /// Returns the row as last read.
    pub fn row(&self, service: &ServiceName) -> Option<ReplicaRow> {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries.get(service).map(|e| e.row.clone())
    }

    /// Returns the row as last read with its version.
    pub fn versioned(&self, service: &ServiceName) -> Option<Versioned<ReplicaRow>> {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries.get(service).map(|e| Versioned { version: e.version, row: e.row.clone() })
    }

    /// Says that the row has changed, for instance since an engine refused as not loaded.
    pub fn mark_stale(&self, service: &ServiceName) {
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        if let Some(entry) = entries.get_mut(service) {
            entry.stale = true;
        }
    }

    /// Tells whether the row must be read before it is used.
    pub fn needs_read(&self, service: &ServiceName, now: Time) -> bool {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries.get(service).is_none_or(|e| e.stale || now.since(e.read_at) >= REFRESH_AFTER)
    }

    /// Returns every service with a known row.
    pub fn services(&self) -> Vec<ServiceName> {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries.keys().cloned().collect()
    }
}
