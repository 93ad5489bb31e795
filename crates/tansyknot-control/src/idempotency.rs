//! Idempotency keys.
//!
//! The row of a key is created by compare-and-swap before its request is sent, so that the request
//! runs at most once.

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    Error, Result,
    name::{self, CallerName, Incarnation, RequestId},
    table::{self, ABSENT, Row, Table, Transaction},
};

use crate::row;

/// The key prefix of [`KeyRow`]s, followed by a day number.
pub const KEY_PREFIX: &str = "key/";
/// The longest response body that is stored and replayed.
pub const MAX_STORED_RESPONSE_BYTES: usize = 64 << 10;
/// Whole days that a row is retained after the day of its creation.
pub const KEY_RETENTION_DAYS: u64 = 2;

const DAY_MS: u64 = 86_400_000;

/// The progress of a key's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// The request may have been sent to a target.
    Started,
    /// The request has run; its response is stored unless it is too long, not text or a stream.
    Done(Option<StoredResponse>),
}

/// A stored response that is replayed to retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body; responses that are not text are not stored.
    pub body: String,
}

/// The row of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// A hash of the request; another request with the same key is refused.
    pub request_hash: String,
    /// The first request with the key.
    pub request: RequestId,
    /// The run of the daemon that received the first request.
    pub incarnation: Incarnation,
    /// The writer token.
    pub token: String,
    /// The progress of the request.
    pub state: KeyState,
}

/// A use of a key by a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyUse<'a> {
    /// The caller; keys of different callers are independent.
    pub caller: &'a CallerName,
    /// A hash of the key.
    pub key_hash: &'a str,
    /// A hash of the request.
    pub request_hash: &'a str,
    /// The request.
    pub request: &'a RequestId,
    /// This run of this daemon.
    pub incarnation: &'a Incarnation,
    /// The wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// The outcome of [`begin`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The key is new; the request may be sent once.
    Fresh(KeyHandle),
    /// The key's request has run; holds its response, if that is stored.
    Done(Option<StoredResponse>),
    /// The key's request was started and has no recorded outcome.
    Started(RequestId),
    /// The key was used for another request.
    Reused,
}

/// A handle to a key's row that this process created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHandle {
    row_key: String,
    row: KeyRow,
}

fn row_key(day: u64, key: &KeyUse<'_>) -> String {
    format!("{KEY_PREFIX}{day:06}/{}/{}", key.caller, key.key_hash)
}

/// Creates the row of a key, or returns the state of its existing row.
///
/// The transaction also checks that neither the previous nor the next day has the key, so that
/// two daemons whose clocks are on different sides of midnight can't both create it.
///
/// # Errors
///
/// Fails if the table does. If the result is unknown, the request must not be sent: the row may
/// exist, and later uses of the key then find it started.
pub fn begin(table: &dyn Table, key: &KeyUse<'_>) -> Result<BeginOutcome> {
    let today = key.at_ms / DAY_MS;
    let row = KeyRow {
        request_hash: key.request_hash.to_owned(),
        request: key.request.clone(),
        incarnation: key.incarnation.clone(),
        token: name::random_id(),
        state: KeyState::Started,
    };
    let own_key = row_key(today, key);
    let txn = Transaction::default()
        .put(own_key.clone(), ABSENT, row::encode(&row))
        .check(row_key(today.saturating_sub(1), key), ABSENT)
        .check(row_key(today + 1, key), ABSENT);
    let is_own = |r: &Row| row::decode::<KeyRow>(r).is_ok_and(|r| r.token == row.token);
    match table::commit_confirmed(table, &txn, &own_key, is_own) {
        Ok(()) => Ok(BeginOutcome::Fresh(KeyHandle { row_key: own_key, row })),
        Err(Error::Conflict { .. }) => read_existing(table, key, today),
        Err(e) => Err(e),
    }
}

fn read_existing(table: &dyn Table, key: &KeyUse<'_>, today: u64) -> Result<BeginOutcome> {
    for day in [today, today.saturating_sub(1), today + 1] {
        let Some(row) = table.read(&row_key(day, key))? else { continue };
        let row: KeyRow = row::decode(&row)?;
        if row.request_hash != key.request_hash {
            return Ok(BeginOutcome::Reused);
        }
        return Ok(match row.state {
            KeyState::Started => BeginOutcome::Started(row.request),
            KeyState::Done(response) => BeginOutcome::Done(response),
        });
    }
    // The read was stale, or the row was released in between: the key's state is unknown.
    Err(Error::busy("table", "the row of the key changed while it was read"))
}

/// Releases a key whose request was not run, so that a retry may run.
///
/// # Errors
///
/// Fails if the table does. The key then stays started, which is safe: a retry is not run.
pub fn release(table: &dyn Table, handle: &KeyHandle) -> Result<()> {
    let Some(row) = table.read(&handle.row_key)? else { return Ok(()) };
    if row::decode::<KeyRow>(&row)?.token != handle.row.token {
        return Ok(());
    }
    table.commit(&Transaction::default().delete(handle.row_key.clone(), row.version))
}

/// Records that the request of a key has run.
///
/// # Errors
///
/// Fails if the table does; the key then stays started, and a retry receives the error that the
/// outcome is unknown.
pub fn finish(
    table: &dyn Table,
    handle: &KeyHandle,
    response: Option<StoredResponse>,
) -> Result<()> {
    let stored = response.filter(|r| r.body.len() <= MAX_STORED_RESPONSE_BYTES);
    let row = KeyRow { state: KeyState::Done(stored), ..handle.row.clone() };
    // Only this process writes a started row, so the write needs no condition and is idempotent.
    let txn = Transaction::default().set(handle.row_key.clone(), Some(row::encode(&row)));
    table.commit(&txn).or_else(|_| table.commit(&txn))
}

/// Deletes up to `limit` rows past their retention and returns the number deleted.
///
/// # Errors
///
/// Fails if the table does.
pub fn sweep(table: &dyn Table, at_ms: u64, limit: usize) -> Result<usize> {
    let first_retained = (at_ms / DAY_MS).saturating_sub(KEY_RETENTION_DAYS);
    let end = format!("{KEY_PREFIX}{first_retained:06}");
    let rows = table.scan(KEY_PREFIX, "", limit)?;
    let mut txn = Transaction::default();
    for row in rows.iter().filter(|row| row.key < end) {
        txn = txn.set(row.key.clone(), None);
    }
    let count = txn.writes.len();
    if count > 0 {
        table.commit(&txn)?;
    }
    Ok(count)
}
