//! Changes of replica and memory rows. Each is one transaction with a writer token.

use serde::de::DeserializeOwned;
use tansyknot_core::{
    Error, Result,
    engine::Fence,
    name::{self, Incarnation, ServiceName, TargetName},
    replica::{self, DaemonRow, MemoryRow, ReplicaRow, Reservation, Slot, SlotState},
    table::{self, ABSENT, Row, RowVersion, Table, Transaction},
};

use crate::{config::HEAD_KEY, row};

/// A row's value with the row version at which it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The version; [`ABSENT`] if there was no row.
    pub version: RowVersion,
    /// The value; the default if there was no row.
    pub row: T,
}

/// The writer of a change and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// This run of this daemon.
    pub incarnation: Incarnation,
    /// The wall-clock time, for display only, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A request to reserve a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The target of the replica.
    pub target: &'a TargetName,
    /// Bytes of memory that the replica takes.
    pub memory_bytes: u64,
    /// Bytes of memory that the target has for models.
    pub target_bytes: u64,
    /// Bytes in use at the target beyond its reservations.
    pub unexplained_bytes: u64,
    /// The operators' limit on replicas of the service.
    pub limit: u32,
    /// The row version of the configuration's head with which the limit was read.
    pub head_row: RowVersion,
}

/// The reason why no replica may be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The service already has as many replicas as the operators allow.
    AtLimit,
    /// The target already has a replica of the service.
    AlreadyPlaced,
    /// The target has too little memory left.
    NoRoom,
}

fn read<T: DeserializeOwned + Default>(table: &dyn Table, key: &str) -> Result<Versioned<T>> {
    match table.read(key)? {
        Some(row) => Ok(Versioned { version: row.version, row: row::decode(&row)? }),
        None => Ok(Versioned { version: ABSENT, row: T::default() }),
    }
}

/// Reads the replica row of a service.
///
/// # Errors
///
/// Fails if the table does.
pub fn read_replicas(table: &dyn Table, service: &ServiceName) -> Result<Versioned<ReplicaRow>> {
    read(table, &replica::replica_key(service))
}

/// Reads the memory row of a target.
///
/// # Errors
///
/// Fails if the table does.
pub fn read_memory(table: &dyn Table, target: &TargetName) -> Result<Versioned<MemoryRow>> {
    read(table, &replica::memory_key(target))
}

/// Decodes a scanned replica row and returns it with its service.
///
/// # Errors
///
/// Fails if the row is malformed.
pub fn decode_replicas(row: &Row) -> Result<(ServiceName, Versioned<ReplicaRow>)> {
    let service = row.key.strip_prefix(replica::REPLICA_PREFIX).unwrap_or(&row.key);
    let decoded = Versioned { version: row.version, row: row::decode(row)? };
    Ok((ServiceName::from(service), decoded))
}

/// Checks a reservation against the rows as read: the limit, the target and its memory.
///
/// # Errors
///
/// Returns the reason if the reservation is not allowed.
pub fn check_reserve(
    reserve: &ReserveRequest<'_>,
    replicas: &ReplicaRow,
    memory: &MemoryRow,
) -> std::result::Result<(), ReserveError> {
    if replicas.slot(reserve.target).is_some() {
        return Err(ReserveError::AlreadyPlaced);
    }
    if replicas.slots.len() >= reserve.limit as usize {
        return Err(ReserveError::AtLimit);
    }
    let taken = memory.reserved_bytes().saturating_add(reserve.unexplained_bytes);
    if taken.saturating_add(reserve.memory_bytes) > reserve.target_bytes {
        return Err(ReserveError::NoRoom);
    }
    Ok(())
}

/// Reserves a replica in one transaction that adds the slot, reserves the memory and checks the
/// version of the limit.
///
/// # Errors
///
/// [`Error::Conflict`] if a row, including the configuration's head, changed since it was read.
pub fn reserve(
    table: &dyn Table,
    reserve: &ReserveRequest<'_>,
    replicas: &Versioned<ReplicaRow>,
    memory: &Versioned<MemoryRow>,
    writer: &Writer,
) -> Result<ReplicaRow> {
    let token = name::random_id();
    let mut row = replicas.row.clone();
    row.last_fence += 1;
    row.slots.push(Slot {
        target: reserve.target.clone(),
        state: SlotState::Reserved,
        fence: row.last_fence,
        holder: writer.incarnation.clone(),
        token: token.clone(),
        memory_bytes: reserve.memory_bytes,
        ordering: vec![writer.incarnation.clone()],
        since_ms: writer.at_ms,
    });
    let mut memory_row = memory.row.clone();
    memory_row
        .reservations
        .push(Reservation { service: reserve.service.clone(), memory_bytes: reserve.memory_bytes });
    let key = replica::replica_key(reserve.service);
    let txn = Transaction::default()
        .check(HEAD_KEY, reserve.head_row)
        .put(key.clone(), replicas.version, row::encode(&row))
        .put(replica::memory_key(reserve.target), memory.version, row::encode(&memory_row));
    commit(table, &txn, &key, &token)?;
    Ok(row)
}

/// A change of one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotChange {
    /// The writer becomes the slot's holder, under a new fencing token.
    Claim,
    /// The engine reported that the model is ready.
    Ready(OwnOrders),
    /// The replica receives no new requests, under a new fencing token.
    Drain(OwnOrders),
    /// A former holder declares that none of its load orders can still reach the engine.
    Settle,
}

/// Whether a load order of the writer may still reach the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnOrders {
    /// Each order was answered or was dropped with its connection.
    Settled,
    /// An order was not answered and may still arrive.
    Unsettled,
}

/// Changes the slot on `target` and returns the row as written.
///
/// # Errors
///
/// [`Error::Conflict`] if the row changed since it was read, or has no slot on `target`.
pub fn change_slot(
    table: &dyn Table,
    service: &ServiceName,
    replicas: &Versioned<ReplicaRow>,
    target: &TargetName,
    change: &SlotChange,
    writer: &Writer,
) -> Result<ReplicaRow> {
    let token = name::random_id();
    let mut row = replicas.row.clone();
    let fence = row.last_fence + 1;
    let key = replica::replica_key(service);
    let Some(slot) = row.slot_mut(target) else {
        return Err(Error::Conflict { key });
    };
    change_in_place(slot, change, fence, writer);
    slot.token.clone_from(&token);
    row.last_fence = row.slots.iter().map(|s| s.fence).max().unwrap_or(0).max(row.last_fence);
    let txn = Transaction::default().put(key.clone(), replicas.version, row::encode(&row));
    commit(table, &txn, &key, &token)?;
    Ok(row)
}

fn change_in_place(slot: &mut Slot, change: &SlotChange, fence: Fence, writer: &Writer) {
    match change {
        SlotChange::Claim => {
            slot.fence = fence;
            if slot.state == SlotState::Reserved && !slot.ordering.contains(&writer.incarnation) {
                slot.ordering.push(writer.incarnation.clone());
            }
        }
        SlotChange::Ready(own) => {
            slot.state = SlotState::Ready;
            settle(slot, *own, writer);
        }
        SlotChange::Drain(own) => {
            slot.fence = fence;
            slot.state = SlotState::Draining;
            settle(slot, *own, writer);
        }
        SlotChange::Settle => {
            settle(slot, OwnOrders::Settled, writer);
            return;
        }
    }
    slot.holder = writer.incarnation.clone();
    slot.since_ms = writer.at_ms;
}

fn settle(slot: &mut Slot, own: OwnOrders, writer: &Writer) {
    if own == OwnOrders::Settled {
        slot.ordering.retain(|i| *i != writer.incarnation);
    }
}

/// Removes the slot on `target` and frees its memory, in one transaction.
///
/// The calling function must ensure that the engine does not have the model and that no pending
/// order can still load it.
///
/// # Errors
///
/// [`Error::Conflict`] if a row changed since it was read.
pub fn remove_slot(
    table: &dyn Table,
    service: &ServiceName,
    replicas: &Versioned<ReplicaRow>,
    target: &TargetName,
    memory: &Versioned<MemoryRow>,
) -> Result<ReplicaRow> {
    let mut row = replicas.row.clone();
    row.slots.retain(|s| s.target != *target);
    let mut memory_row = memory.row.clone();
    memory_row.reservations.retain(|r| r.service != *service);
    let key = replica::replica_key(service);
    let txn = Transaction::default().put(key.clone(), replicas.version, row::encode(&row)).put(
        replica::memory_key(target),
        memory.version,
        row::encode(&memory_row),
    );
    let is_removed = |written: &Row| row::decode::<ReplicaRow>(written).is_ok_and(|w| w == row);
    table::commit_confirmed(table, &txn, &key, is_removed)?;
    Ok(row)
}

fn commit(table: &dyn Table, txn: &Transaction, key: &str, token: &str) -> Result<()> {
    let is_own = |row: &Row| row::decode::<ReplicaRow>(row).is_ok_and(|r| r.has_token(token));
    table::commit_confirmed(table, txn, key, is_own)
}

/// Registers a run of a daemon as the latest under the daemon's name.
///
/// # Errors
///
/// Fails if the table does.
pub fn register_daemon(table: &dyn Table, daemon: &str, row: &DaemonRow) -> Result<()> {
    let key = format!("{}{daemon}", replica::DAEMON_PREFIX);
    table.commit(&Transaction::default().set(key, Some(row::encode(row))))
}

/// Removes the row of a stopping daemon, unless a later run has replaced it.
///
/// # Errors
///
/// Fails if the table does.
pub fn deregister_daemon(table: &dyn Table, daemon: &str, incarnation: &Incarnation) -> Result<()> {
    let key = format!("{}{daemon}", replica::DAEMON_PREFIX);
    let Some(row) = table.read(&key)? else { return Ok(()) };
    let current: DaemonRow = row::decode(&row)?;
    if current.incarnation != *incarnation {
        return Ok(());
    }
    table.commit(&Transaction::default().delete(key, row.version))
}

/// Reads the rows of all daemons.
///
/// # Errors
///
/// Fails if the table does.
pub fn read_daemons(table: &dyn Table) -> Result<Vec<(String, DaemonRow)>> {
    let mut daemons = Vec::new();
    crate::config::scan_all(table, replica::DAEMON_PREFIX, |row| {
        let name = row.key.strip_prefix(replica::DAEMON_PREFIX).unwrap_or(&row.key).to_owned();
        daemons.push((name, row::decode(&row)?));
        Ok(())
    })?;
    Ok(daemons)
}

/// Returns whether an incarnation has certainly ended: a later run has replaced its row, or a
/// clean stop has removed it.
///
/// # Errors
///
/// Fails if the table does; the incarnation then counts as running.
pub fn has_ended(table: &dyn Table, incarnation: &Incarnation) -> Result<bool> {
    let daemon = incarnation.as_str().split('#').next().unwrap_or_default();
    let key = format!("{}{daemon}", replica::DAEMON_PREFIX);
    let Some(row) = table.read(&key)? else { return Ok(true) };
    let current: DaemonRow = row::decode(&row)?;
    Ok(current.incarnation != *incarnation)
}

/// Returns a new incarnation for a run of `daemon` that starts now.
pub fn new_incarnation(daemon: &str) -> Incarnation {
    Incarnation::new(format!("{daemon}#{}", name::random_id()))
}
