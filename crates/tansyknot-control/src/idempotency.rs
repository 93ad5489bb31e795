//! Idempotency keys: a row created by compare-and-swap before dispatch, at most one run.

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    Error, Result,
    name::{self, CallerName, Incarnation, RequestId},
    table::{self, ABSENT, Row, Table, Transaction},
};

use crate::row;

/// The key prefix of [`KeyRow`]s; a day's number follows.
pub const KEY_PREFIX: &str = "key/";
/// Answers up to this size are kept and given again.
pub const MAX_KEPT_ANSWER_BYTES: usize = 64 << 10;
/// Rows are kept for this many whole days after the day they were made on.
pub const KEPT_DAYS: u64 = 2;

const DAY_MS: u64 = 86_400_000;

/// How far the request of a key is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyState {
    /// It may have been sent to a target.
    Started,
    /// It has run; the answer is kept unless it was too long.
    Done(Option<KeptAnswer>),
}

/// An answer that is given again to a retry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body; answers that are not text are not kept.
    pub body: String,
}

/// The row of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// A hash of the request; the same key with another request is refused.
    pub request_hash: String,
    /// The request that the key was first used for.
    pub request: RequestId,
    /// The run of the daemon that took it.
    pub incarnation: Incarnation,
    /// The writer token.
    pub token: String,
    /// How far it is.
    pub state: KeyState,
}

/// A first use of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyUse<'a> {
    /// The caller; keys of different callers never meet.
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

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// It is new; the request may be sent once.
    Fresh(KeyHandle),
    /// Its request has run; this was the answer, if it was kept.
    Done(Option<KeptAnswer>),
    /// Its request has been taken and has no recorded answer.
    Started(RequestId),
    /// It was used for another request.
    Reused,
}

/// The row of a key that this process created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHandle {
    row_key: String,
    row: KeyRow,
}

fn row_key(day: u64, key: &KeyUse<'_>) -> String {
    format!("{KEY_PREFIX}{day:06}/{}/{}", key.caller, key.key_hash)
}

/// Creates the row of a key, or tells what is known of it.
///
/// The days around today must not have the key either, so that two daemons whose clocks stand on
/// two sides of midnight can't both create it.
///
/// # Errors
///
/// Fails if the table does. If the result is unknown the request must not be sent; the row may
/// be there, and later uses of the key then find it started.
pub fn begin(table: &dyn Table, key: &KeyUse<'_>) -> Result<Begin> {
    let today = key.at_ms / DAY_MS;
    let row = KeyRow {
        request_hash: key.request_hash.to_owned(),
        request: key.request.clone(),
        incarnation: key.incarnation.clone(),
        token: name::random_id(),
        state: KeyState::Started,
    };
    let mine = row_key(today, key);
    let txn = Transaction::default()
        .put(mine.clone(), ABSENT, row::encode(&row))
        .check(row_key(today.saturating_sub(1), key), ABSENT)
        .check(row_key(today + 1, key), ABSENT);
    let is_mine = |r: &Row| row::decode::<KeyRow>(r).is_ok_and(|r| r.token == row.token);
    match table::commit_settled(table, &txn, &mine, is_mine) {
        Ok(()) => Ok(Begin::Fresh(KeyHandle { row_key: mine, row })),
        Err(Error::Conflict { .. }) => find(table, key, today),
        Err(e) => Err(e),
    }
}

fn find(table: &dyn Table, key: &KeyUse<'_>, today: u64) -> Result<Begin> {
    for day in [today, today.saturating_sub(1), today + 1] {
        let Some(row) = table.read(&row_key(day, key))? else { continue };
        let row: KeyRow = row::decode(&row)?;
        if row.request_hash != key.request_hash {
            return Ok(Begin::Reused);
        }
        return Ok(match row.state {
            KeyState::Started => Begin::Started(row.request),
            KeyState::Done(answer) => Begin::Done(answer),
        });
    }
    // A stale read, or the row was released in this moment: nothing may be concluded.
    Err(Error::busy("table", "the row of the key changed while it was read"))
}

/// Releases a key whose request was not run, so that a retry may run.
///
/// # Errors
///
/// Fails if the table does; the key then stays started, which is safe.
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
/// Fails if the table does; the key then stays started, and a retry is told that the outcome is
/// unknown.
pub fn finish(table: &dyn Table, handle: &KeyHandle, answer: Option<KeptAnswer>) -> Result<()> {
    let kept = answer.filter(|a| a.body.len() <= MAX_KEPT_ANSWER_BYTES);
    let row = KeyRow { state: KeyState::Done(kept), ..handle.row.clone() };
    // Nobody else writes a started row, so the write needs no condition and can be repeated.
    let txn = Transaction::default().set(handle.row_key.clone(), Some(row::encode(&row)));
    table.commit(&txn).or_else(|_| table.commit(&txn))
}

/// Deletes up to `limit` rows that are past their days; returns how many.
///
/// # Errors
///
/// Fails if the table does.
pub fn sweep(table: &dyn Table, at_ms: u64, limit: usize) -> Result<usize> {
    let first_kept = (at_ms / DAY_MS).saturating_sub(KEPT_DAYS);
    let end = format!("{KEY_PREFIX}{first_kept:06}");
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
