//! Changes of replica and memory rows, each one transaction with a writer token.

use serde::de::DeserializeOwned;
use tansyknot_core::{
    Error, Result,
    engine::Fence,
    name::{self, Incarnation, ServiceName, TargetName},
    replica::{self, DaemonRow, MemoryRow, ReplicaRow, Reservation, Slot, SlotState},
    table::{self, ABSENT, Row, RowVersion, Table, Transaction},
};

use crate::{config::HEAD_KEY, row};

/// A row with the version that it was read at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The version; [`ABSENT`] if there was no row.
    pub version: RowVersion,
    /// The value; the default if there was no row.
    pub row: T,
}

/// Who writes, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// This run of this daemon.
    pub incarnation: Incarnation,
    /// The wall-clock time for people, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// What is to be reserved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reserve<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Where.
    pub target: &'a TargetName,
    /// Bytes that the replica takes.
    pub memory_bytes: u64,
    /// Bytes that the target has for models.
    pub target_bytes: u64,
    /// Bytes in use at the target that no reservation explains.
    pub unexplained_bytes: u64,
    /// The operators' limit.
    pub limit: u32,
    /// The row version of the configuration's head that the limit was read with.
    pub head_row: RowVersion,
}

/// Why nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreserved {
    /// The service has as many replicas as the operators decided.
    AtLimit,
    /// The target already has a replica of the service.
    AlreadyThere,
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

/// Decodes a replica row of a scan, with its service.
///
/// # Errors
///
/// Fails if the row is malformed.
pub fn decode_replicas(row: &Row) -> Result<(ServiceName, Versioned<ReplicaRow>)> {
    let service = row.key.strip_prefix(replica::REPLICA_PREFIX).unwrap_or(&row.key);
    let decoded = Versioned { version: row.version, row: row::decode(row)? };
    Ok((ServiceName::from(service), decoded))
}

/// Decides on a reservation from the rows as read: limit, place and memory.
///
/// # Errors
///
/// Fails with what stands against it.
pub fn check_reserve(
    reserve: &Reserve<'_>,
    replicas: &ReplicaRow,
    memory: &MemoryRow,
) -> std::result::Result<(), Unreserved> {
    if replicas.slot(reserve.target).is_some() {
        return Err(Unreserved::AlreadyThere);
    }
    if replicas.slots.len() >= reserve.limit as usize {
        return Err(Unreserved::AtLimit);
    }
    let taken = memory.reserved_bytes().saturating_add(reserve.unexplained_bytes);
    if taken.saturating_add(reserve.memory_bytes) > reserve.target_bytes {
        return Err(Unreserved::NoRoom);
    }
    Ok(())
}

/// Reserves a replica: the slot, the memory and the limit's version in one transaction.
///
/// # Errors
///
/// [`Error::Conflict`] if a row changed since it was read, also the configuration's head.
pub fn reserve(
    table: &dyn Table,
    reserve: &Reserve<'_>,
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
    /// The writer takes the slot over, under a new fencing token.
    Claim,
    /// The engine said that the model is ready.
    Ready(OwnOrders),
    /// No new request is sent there; under a new fencing token.
    Drain(OwnOrders),
    /// A former holder says that none of its load orders is on its way any more.
    Settle,
}

/// Whether a load order of the writer may still be on its way to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnOrders {
    /// Every one was answered, or has been dropped with its connection.
    Settled,
    /// One was not answered and may still arrive.
    Unsettled,
}

/// Changes the slot on `target` and returns the row as written.
///
/// # Errors
///
/// [`Error::Conflict`] if the row changed since it was read, or the slot is not there.
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
/// The caller must know that the engine does not have the model and can't get it by an order
/// still under way.
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
    let gone = |written: &Row| row::decode::<ReplicaRow>(written).is_ok_and(|w| w == row);
    table::commit_settled(table, &txn, &key, gone)?;
    Ok(row)
}

fn commit(table: &dyn Table, txn: &Transaction, key: &str, token: &str) -> Result<()> {
    let mine = |row: &Row| row::decode::<ReplicaRow>(row).is_ok_and(|r| r.has_token(token));
    table::commit_settled(table, txn, key, mine)
}

/// Writes that this run of the daemon is the latest under its name.
///
/// # Errors
///
/// Fails if the table does.
pub fn register_daemon(table: &dyn Table, daemon: &str, row: &DaemonRow) -> Result<()> {
    let key = format!("{}{daemon}", replica::DAEMON_PREFIX);
    table.commit(&Transaction::default().set(key, Some(row::encode(row))))
}

/// Removes the row of a daemon that stops, unless a later run has replaced it.
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

/// Tells whether an incarnation is known to have ended: a later run, or a clean stop, has
/// replaced its row.
///
/// # Errors
///
/// Fails if the table does; the incarnation then counts as running.
pub fn is_gone(table: &dyn Table, incarnation: &Incarnation) -> Result<bool> {
    let daemon = incarnation.as_str().split('#').next().unwrap_or_default();
    let key = format!("{}{daemon}", replica::DAEMON_PREFIX);
    let Some(row) = table.read(&key)? else { return Ok(true) };
    let current: DaemonRow = row::decode(&row)?;
    Ok(current.incarnation != *incarnation)
}

/// Makes the incarnation of a run that starts now.
pub fn new_incarnation(daemon: &str) -> Incarnation {
    Incarnation::new(format!("{daemon}#{}", name::random_id()))
}
