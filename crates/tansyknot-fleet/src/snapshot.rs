//! State that one daemon hands to another, which then need not read it from the store.
//!
//! A daemon asks the sender of its updates: the planner, or a relay, which itself asks the planner.
//! The asked daemon waits for a moment if it is about to receive what is asked for. So the store is
//! read once for the fleet, however many daemons there are, and a daemon that gets no snapshot
//! reads the store itself.

pub mod tcp;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::{Result, clock::Time};

use crate::{
    catalog::CatalogContent,
    dissemination::{changes::Entry, message::millis},
    state::State,
    zone_drain::DrainedZones,
};

/// How long a daemon waits until it has what it is asked for. An update reaches a relay's followers
/// as soon as the relay, which then still has to receive its own snapshot.
const MAX_HOLD: Duration = Duration::from_millis(400);
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long an encoded list is handed out again: all followers of a relay ask at the same time, and
/// a copy for each would take more memory than the list itself.
const LIST_REUSE: Duration = Duration::from_millis(500);

/// What a daemon asks another one for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotRequest {
    /// The configuration of at least this version.
    Config(u64),
    /// The list of targets.
    List,
}

/// The configuration in force at a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// The configuration.
    pub content: CatalogContent,
    /// The version of the store as of which it was read.
    pub store_version: u64,
    /// The drained zones, which are followed with the configuration.
    pub drained_zones: DrainedZones,
    /// How long ago it is known to have been the newest, in milliseconds.
    pub age_ms: u32,
}

/// The complete list of targets of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListSnapshot {
    /// The entries, without the fields that only the planner needs.
    pub entries: Vec<Entry>,
    /// The version of the store as of which the list is complete.
    pub version: u64,
    /// How long ago the list is known to have been complete, in milliseconds.
    pub age_ms: u32,
}

/// The reply to a [`SnapshotRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Snapshot {
    /// The configuration.
    Config(ConfigSnapshot),
    /// The list of targets.
    List(ListSnapshot),
}

/// An encoded snapshot, and when it was made.
#[derive(Clone, Debug)]
pub struct EncodedSnapshot {
    /// The snapshot.
    pub bytes: Arc<Vec<u8>>,
    /// When it was made.
    pub made_at: Time,
}

/// Asks other daemons for snapshots.
pub trait SnapshotClient: Send + Sync {
    /// Returns a snapshot of the daemon with the peer address `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon can't be reached, does not have what is asked for, or its
    /// reply is malformed.
    fn fetch(&self, from: SocketAddr, request: SnapshotRequest) -> Result<Snapshot>;
}

/// Makes the snapshots that other daemons ask for.
pub struct SnapshotProvider {
    state: Arc<State>,
    list: Mutex<Option<EncodedSnapshot>>,
}

impl SnapshotProvider {
    /// Creates the provider of a daemon.
    pub fn new(state: Arc<State>) -> Self {
        Self { state, list: Mutex::default() }
    }

    /// Returns what is asked for, once this daemon has it; `None` if it does not have it soon.
    pub fn answer(&self, request: SnapshotRequest) -> Option<EncodedSnapshot> {
        let until = self.state.now() + MAX_HOLD;
        loop {
            if let Some(snapshot) = self.current(request) {
                return Some(snapshot);
            }
            if self.state.now() >= until {
                return None;
            }
            self.state.clock.sleep(HOLD_POLL_INTERVAL);
        }
    }

    /// Returns what is asked for, if this daemon has it now.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn current(&self, request: SnapshotRequest) -> Option<EncodedSnapshot> {
        let now = self.state.now();
        match request {
            SnapshotRequest::Config(version) => {
                encode(&Snapshot::Config(self.config(version, now)?), now)
            }
            SnapshotRequest::List => {
                let mut last = self.list.lock().expect("no holder of the lock panics");
                if last.as_ref().is_none_or(|list| now.since(list.made_at) >= LIST_REUSE) {
                    *last = encode(&Snapshot::List(self.list(now)?), now);
                }
                last.clone()
            }
        }
    }

    /// Returns the configuration in force if it has at least `version`, its store's version is
    /// known, and it contains no keys: callers' keys do not leave a daemon.
    fn config(&self, version: u64, now: Time) -> Option<ConfigSnapshot> {
        let contacts = *self.state.store_contacts();
        let catalog = self.state.catalog().filter(|catalog| catalog.version >= version)?;
        let read = contacts.config_read.filter(|read| read.version == catalog.version)?;
        let as_of = self.state.config_known_at(catalog.version)?;
        let age_ms = millis(now.since(as_of));
        let store_version = read.store_version;
        let drained_zones = self.state.fleet().zone_drains().current().clone();
        Some(ConfigSnapshot { content: catalog.content()?, store_version, drained_zones, age_ms })
    }

    /// Returns the list, unless this daemon may lack changes or takes entries for expired.
    fn list(&self, now: Time) -> Option<ListSnapshot> {
        let fleet = self.state.fleet();
        if fleet.has_gap() || fleet.retained().next().is_some() {
            return None;
        }
        let own_read_at = self.state.store_contacts().list;
        let (version, as_of) = {
            let view = self.state.planner_view();
            (view.list_version(), view.list_as_of().max(own_read_at)?)
        };
        let age = now.since(as_of);
        if version == 0 || age >= self.state.freshness.max_list_age {
            return None;
        }
        Some(ListSnapshot { entries: fleet.entries(now), version, age_ms: millis(age) })
    }
}

fn encode(snapshot: &Snapshot, made_at: Time) -> Option<EncodedSnapshot> {
    let bytes = postcard::to_allocvec(snapshot)
        .inspect_err(|e| log::warn!("a snapshot can't be encoded: {e}"))
        .ok()?;
    Some(EncodedSnapshot { bytes: Arc::new(bytes), made_at })
}

impl Snapshot {
    /// Returns this snapshot with `age` added to its own, for the time since it was made.
    #[must_use]
    pub fn aged(self, age: Duration) -> Self {
        let older = |age_ms: u32| age_ms.saturating_add(millis(age));
        match self {
            Snapshot::Config(c) => {
                Snapshot::Config(ConfigSnapshot { age_ms: older(c.age_ms), ..c })
            }
            Snapshot::List(l) => Snapshot::List(ListSnapshot { age_ms: older(l.age_ms), ..l }),
        }
    }
}
