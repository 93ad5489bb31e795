//! The rows that account for replicas and for the memory of targets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    engine::Fence,
    name::{Incarnation, ServiceName, TargetName, ZoneName},
};

/// The key prefix of [`ReplicaRow`]s.
pub const REPLICA_PREFIX: &str = "replica/";
/// The key prefix of [`MemoryRow`]s.
pub const MEMORY_PREFIX: &str = "memory/";
/// The key prefix of [`DaemonRow`]s.
pub const DAEMON_PREFIX: &str = "daemon/";

/// Returns the key of the replica row of `service`.
pub fn replica_key(service: &ServiceName) -> String {
    format!("{REPLICA_PREFIX}{service}")
}

/// Returns the key of the memory row of `target`.
pub fn memory_key(target: &TargetName) -> String {
    format!("{MEMORY_PREFIX}{target}")
}

/// How far a slot is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// Memory is reserved; a load may be under way. Its state at the engine is not known.
    Reserved,
    /// The engine said that the model is ready.
    Ready,
    /// No new request is sent; the model is about to be removed.
    Draining,
}

/// One replica: a place for a model on one target. It counts against the limit until removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Where the replica is.
    pub target: TargetName,
    /// How far it is.
    pub state: SlotState,
    /// The fencing token of the latest claim.
    pub fence: Fence,
    /// The process that made the latest claim.
    pub holder: Incarnation,
    /// The writer token of the latest change, to tell a lost reply from a lost race.
    pub token: String,
    /// Memory reserved at the target, in bytes.
    pub memory_bytes: u64,
    /// Processes whose load order may still be on its way to the engine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ordering: Vec<Incarnation>,
    /// When the state was entered, for people, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// All replicas of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// The highest fencing token given out; it never falls.
    pub last_fence: Fence,
    /// The replicas.
    pub slots: Vec<Slot>,
}

impl ReplicaRow {
    /// Returns the slot on `target`.
    pub fn slot(&self, target: &TargetName) -> Option<&Slot> {
        self.slots.iter().find(|s| s.target == *target)
    }

    /// Returns the slot on `target` for a change.
    pub fn slot_mut(&mut self, target: &TargetName) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|s| s.target == *target)
    }

    /// Tells whether a slot bears the writer token.
    pub fn has_token(&self, token: &str) -> bool {
        self.slots.iter().any(|s| s.token == token)
    }
}

/// Memory reserved at a target for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The service.
    pub service: ServiceName,
    /// Bytes reserved.
    pub memory_bytes: u64,
}

/// All memory reserved at one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryRow {
    /// The reservations.
    pub reservations: Vec<Reservation>,
}

impl MemoryRow {
    /// Returns the bytes reserved by all services together.
    pub fn reserved_bytes(&self) -> u64 {
        self.reservations.iter().map(|r| r.memory_bytes).sum()
    }
}

/// The latest run of a daemon; an older incarnation under this name is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// The latest run.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Where operators reach it.
    pub operators_address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
}
