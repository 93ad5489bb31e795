//! Table rows for replicas, the reserved memory of targets, and daemons.

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

/// The state of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// Memory is reserved; a load may be in progress. The state at the engine is unknown.
    Reserved,
    /// The engine has reported the model as ready.
    Ready,
    /// No new requests are sent; the model will be removed.
    Draining,
}

/// One replica of a model on one target. It counts against the replica limit until it is removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The target that the replica is on.
    pub target: TargetName,
    /// The state of the replica.
    pub state: SlotState,
    /// The fencing token of the latest reservation, claim or drain.
    pub fence: Fence,
    /// The daemon process that last reserved, claimed or drained the slot, or reported it as ready.
    pub holder: Incarnation,
    /// The writer token of the latest change, by which a writer whose reply was lost recognizes that
    /// its change took effect.
    pub token: String,
    /// Memory reserved at the target, in bytes.
    pub memory_bytes: u64,
    /// Daemon processes whose load order may still reach the engine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ordering: Vec<Incarnation>,
    /// When the slot was last reserved, claimed, reported as ready or drained, in milliseconds
    /// since the Unix epoch; for display only.
    pub since_ms: u64,
}

/// All replicas of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// The highest fencing token issued; it never decreases.
    pub last_fence: Fence,
    /// The replicas.
    pub slots: Vec<Slot>,
}

impl ReplicaRow {
    /// Returns the slot on `target`.
    pub fn slot(&self, target: &TargetName) -> Option<&Slot> {
        self.slots.iter().find(|s| s.target == *target)
    }

    /// Returns a mutable reference to the slot on `target`.
    pub fn slot_mut(&mut self, target: &TargetName) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|s| s.target == *target)
    }

    /// Returns whether a slot has the writer token.
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
    /// Returns the total of bytes reserved for all services.
    pub fn reserved_bytes(&self) -> u64 {
        self.reservations.iter().map(|r| r.memory_bytes).sum()
    }
}

/// The latest incarnation of a daemon. Older incarnations under its name have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// The latest incarnation.
    pub incarnation: Incarnation,
    /// The address for its peers.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub operators_address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneName,
}
