//! The configuration in the table: rows, accepting a change, and following the versions.

use std::{collections::HashMap, sync::RwLock};

use serde::{Deserialize, Serialize};
use tansyknot_config::{
    object::Object,
    store::{self, ConfigVersion, Op, Store, Stored},
};
use tansyknot_core::{
    Error, Result, event, name,
    table::{self, ABSENT, Row, RowVersion, Table, Transaction},
};
use thiserror::Error as ThisError;

use crate::row;

/// The key of the [`Head`].
pub const HEAD_KEY: &str = "config/head";
/// The key prefix of [`Change`]s.
pub const CHANGE_PREFIX: &str = "config/change/";
/// The key prefix of objects.
pub const OBJECT_PREFIX: &str = "config/object/";

/// Changes of objects in one version.
pub const MAX_OPS: usize = 500;
/// Versions kept for daemons that follow and for `history`; older ones are deleted.
pub const KEPT_CHANGES: u64 = 20_000;
/// A daemon that is further behind reads every object instead of the changes.
const MAX_REPLAY: u64 = 400;
/// Rows read at once.
const PAGE: usize = 500;

/// The newest version and the digest of every object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The newest version.
    pub version: ConfigVersion,
    /// The digest over every object and its version.
    pub digest: u64,
    /// The writer token.
    pub token: String,
}

/// One accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version.
    pub version: ConfigVersion,
    /// Who made it.
    pub author: String,
    /// When, in milliseconds since the Unix epoch by the author's clock.
    pub at_ms: u64,
    /// What changed.
    pub ops: Vec<Op>,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum ApplyError {
    /// Another operator's change came first.
    #[error("version {won} was accepted meanwhile; nothing of this change is in force")]
    Lost {
        /// The version that won.
        won: ConfigVersion,
    },
    /// The document has more changes than one version takes.
    #[error("{count} changes are more than the {MAX_OPS} of one version; split the document")]
    TooMany {
        /// The number of changes.
        count: usize,
    },
    /// The table service failed. If the result is unknown, `history` tells it later.
    #[error(transparent)]
    Table(#[from] Error),
}

/// Returns the key of the change that made `version`; keys sort as versions do.
pub fn change_key(version: ConfigVersion) -> String {
    format!("{CHANGE_PREFIX}{version:012}")
}

fn object_row_key(key: &str) -> String {
    format!("{OBJECT_PREFIX}{key}")
}

/// Reads the head and the version of its row.
///
/// # Errors
///
/// Fails if the table does.
pub fn read_head(table: &dyn Table) -> Result<(Head, RowVersion)> {
    match table.read(HEAD_KEY)? {
        Some(row) => Ok((row::decode(&row)?, row.version)),
        None => Ok((Head::default(), ABSENT)),
    }
}

/// Reads every object.
///
/// # Errors
///
/// Fails if the table does.
pub fn read_objects(table: &dyn Table) -> Result<Vec<Stored>> {
    let mut objects = Vec::new();
    scan_all(table, OBJECT_PREFIX, |row| {
        objects.push(row::decode(&row)?);
        Ok(())
    })?;
    Ok(objects)
}

/// Reads accepted versions above `after`, oldest first, at most `limit`.
///
/// # Errors
///
/// Fails if the table does.
pub fn read_changes(table: &dyn Table, after: ConfigVersion, limit: usize) -> Result<Vec<Change>> {
    table.scan(CHANGE_PREFIX, &change_key(after), limit)?.iter().map(row::decode).collect()
}

/// Who changes the configuration, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// The operator's name for the history.
    pub name: String,
    /// The time in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Makes `ops` the next version after `base` and returns it.
///
/// The version is accepted when this returns: the compare-and-swap took effect, also if its
/// reply was lost and the row was read back.
///
/// # Errors
///
/// [`ApplyError::Lost`] if a version after `base` was accepted meanwhile.
pub fn apply(
    table: &dyn Table,
    base: ConfigVersion,
    ops: &[Op],
    author: &Author,
) -> std::result::Result<ConfigVersion, ApplyError> {
    if ops.len() > MAX_OPS {
        return Err(ApplyError::TooMany { count: ops.len() });
    }
    let (head, head_row) = read_head(table)?;
    if head.version != base {
        return Err(ApplyError::Lost { won: head.version });
    }
    let token = name::random_id();
    let txn = change_transaction(table, &head, head_row, ops, author, &token)?;
    let version = head.version + 1;
    let is_mine = |row: &Row| row::decode::<Head>(row).is_ok_and(|head| head.token == token);
    match table::commit_settled(table, &txn, HEAD_KEY, is_mine) {
        Ok(()) => Ok(version),
        Err(Error::Conflict { .. }) => {
            let (now, _) = read_head(table)?;
            Err(ApplyError::Lost { won: now.version })
        }
        Err(e) => Err(e.into()),
    }
}

fn change_transaction(
    table: &dyn Table,
    head: &Head,
    head_row: RowVersion,
    ops: &[Op],
    author: &Author,
    token: &str,
) -> Result<Transaction> {
    let version = head.version + 1;
    let mut digest = head.digest;
    let mut txn = Transaction::default();
    for op in ops {
        let key = op.key();
        let row_key = object_row_key(&key);
        let old = table.read(&row_key)?;
        if let Some(row) = &old {
            let stored: Stored = row::decode(row)?;
            digest ^= store::object_digest(&key, stored.version);
        }
        let row_version = old.map_or(ABSENT, |row| row.version);
        txn = match op {
            Op::Put(object) => {
                digest ^= store::object_digest(&key, version);
                txn.put(
                    row_key,
                    row_version,
                    row::encode(&Stored { version, object: object.clone() }),
                )
            }
            // Deleting what is not there changes nothing but is still a condition.
            Op::Delete(_) if row_version == ABSENT => txn.check(row_key, ABSENT),
            Op::Delete(_) => txn.delete(row_key, row_version),
        };
    }
    let change =
        Change { version, author: author.name.clone(), at_ms: author.at_ms, ops: ops.to_vec() };
    txn = txn.set(change_key(version), Some(row::encode(&change)));
    if let Some(old) = version.checked_sub(KEPT_CHANGES) {
        txn = txn.set(change_key(old), None);
    }
    let head = Head { version, digest, token: token.to_owned() };
    Ok(txn.put(HEAD_KEY, head_row, row::encode(&head)))
}

/// Returns the changes that turn `current` into `wanted`; objects not in `wanted` stay.
pub fn difference(current: &[Stored], wanted: &[Object]) -> Vec<Op> {
    let same = |object: &Object| current.iter().any(|stored| stored.object == *object);
    wanted.iter().filter(|object| !same(object)).cloned().map(Op::Put).collect()
}

/// The configuration that this daemon has in force, and how it follows the table.
#[derive(Debug, Default)]
pub struct ConfigView {
    store: RwLock<Store>,
    head_row: RwLock<RowVersion>,
}

/// What a round of following did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followed {
    /// Nothing was new.
    Unchanged,
    /// A newer version is in force.
    Raised(ConfigVersion),
    /// The table answered with an older version, which was ignored.
    OlderIgnored(ConfigVersion),
    /// The rows read do not belong together, as stale reads can make it; the next round retries.
    Inconsistent,
}

impl ConfigView {
    /// Runs `f` on the configuration in force.
    pub fn with<T>(&self, f: impl FnOnce(&Store) -> T) -> T {
        f(&self.store.read().expect("no holder of the lock panics"))
    }

    /// Returns the version in force; zero before the first.
    pub fn version(&self) -> ConfigVersion {
        self.with(Store::version)
    }

    /// Returns the row version of the head that the configuration in force was read with.
    ///
    /// A transaction that checks it takes effect only if no newer version has been accepted.
    pub fn head_row(&self) -> RowVersion {
        *self.head_row.read().expect("no holder of the lock panics")
    }

    /// Reads the head and brings in force what is new.
    ///
    /// # Errors
    ///
    /// Fails if the table does; the configuration in force stays.
    pub fn follow(&self, table: &dyn Table) -> Result<Followed> {
        let (head, head_row) = read_head(table)?;
        let current = self.version();
        if head.version < current {
            event::CONFIG_OLDER_IGNORED.emit(&[("read", &head.version), ("in_force", &current)]);
            return Ok(Followed::OlderIgnored(head.version));
        }
        if current == 0 && !is_newest(table, head_row)? {
            return Ok(Followed::OlderIgnored(head.version));
        }
        let digest = self.with(Store::digest);
        if head.version == current && head.digest == digest {
            self.set_head_row(head_row);
            return Ok(Followed::Unchanged);
        }
        let replay = current > 0 && head.version > current && head.version - current <= MAX_REPLAY;
        if replay && self.has_replayed(table, &head) {
            return Ok(self.raised(&head, head_row));
        }
        if self.reload(table, &head)? {
            return Ok(self.raised(&head, head_row));
        }
        Ok(Followed::Inconsistent)
    }

    fn raised(&self, head: &Head, head_row: RowVersion) -> Followed {
        self.set_head_row(head_row);
        event::CONFIG_APPLIED.emit(&[("version", &head.version)]);
        Followed::Raised(head.version)
    }

    fn set_head_row(&self, version: RowVersion) {
        *self.head_row.write().expect("no holder of the lock panics") = version;
    }

    /// Applies the changes up to `head`; tells whether that is done.
    ///
    /// The changes are one answer, as long as the daemon was away, and the time of a call does not
    /// grow with it: a replay that fails must not be tried again in place of reading the objects.
    fn has_replayed(&self, table: &dyn Table, head: &Head) -> bool {
        self.replay(table, head).unwrap_or_else(|e| {
            event::CONFIG_NOT_REPLAYED.emit(&[("version", &head.version), ("error", &e)]);
            false
        })
    }

    /// Applies the changes up to `head`; tells whether the result has the head's digest.
    fn replay(&self, table: &dyn Table, head: &Head) -> Result<bool> {
        let current = self.version();
        let count = usize::try_from(head.version - current).unwrap_or(usize::MAX);
        let changes = read_changes(table, current, count)?;
        let contiguous = changes.iter().map(|c| c.version).eq(current + 1..=head.version);
        if !contiguous {
            return Ok(false);
        }
        let expected = self.with(|store| digest_after(store, &changes));
        if expected != head.digest {
            return Ok(false);
        }
        let mut store = self.store.write().expect("no holder of the lock panics");
        if store.version() != current {
            return Ok(false);
        }
        for change in &changes {
            for op in &change.ops {
                store.apply(op, change.version);
            }
        }
        store.raise_version(head.version);
        Ok(true)
    }

    /// Reads every object; tells whether the result has the head's digest.
    fn reload(&self, table: &dyn Table, head: &Head) -> Result<bool> {
        if self.version() > 0 {
            event::CONFIG_RELOADED.emit(&[("version", &head.version)]);
        }
        let mut fresh = Store::default();
        for stored in read_objects(table)? {
            fresh.apply(&Op::Put(stored.object), stored.version);
        }
        Ok(self.install(fresh, head))
    }

    fn install(&self, mut store: Store, head: &Head) -> bool {
        if store.digest() != head.digest {
            return false;
        }
        store.raise_version(head.version);
        let mut current = self.store.write().expect("no holder of the lock panics");
        if current.version() > head.version {
            return false;
        }
        *current = store;
        true
    }
}

/// Returns the digest that the configuration will have after `changes`, without making them: a
/// wrong sum must never come in force, and a second copy would cost time and memory.
fn digest_after(store: &Store, changes: &[Change]) -> u64 {
    let mut digest = store.digest();
    let mut touched: HashMap<String, Option<ConfigVersion>> = HashMap::new();
    for change in changes {
        for op in &change.ops {
            let key = op.key();
            let old = touched.get(&key).copied().unwrap_or_else(|| store.object_version(&key));
            if old.is_some_and(|old| old >= change.version) {
                continue;
            }
            let new = matches!(op, Op::Put(_)).then_some(change.version);
            for version in old.into_iter().chain(new) {
                digest ^= store::object_digest(&key, version);
            }
            touched.insert(key, new);
        }
    }
    digest
}

/// Asks the table itself whether a row version of the head is the newest.
///
/// A read may be stale, a commit's condition may not. A daemon that has just started knows no
/// version yet, so that only this keeps it from accepting one older than it had before.
fn is_newest(table: &dyn Table, head_row: RowVersion) -> Result<bool> {
    match table.commit(&Transaction::default().check(HEAD_KEY, head_row)) {
        Ok(()) => Ok(true),
        Err(Error::Conflict { .. }) => Ok(false),
        Err(e) => Err(e),
    }
}

/// Reads all rows with a prefix, page by page.
///
/// # Errors
///
/// Fails if the table or `f` does.
pub fn scan_all(
    table: &dyn Table,
    prefix: &str,
    mut f: impl FnMut(Row) -> Result<()>,
) -> Result<()> {
    let mut after = String::new();
    loop {
        let rows = table.scan(prefix, &after, PAGE)?;
        let full = rows.len() == PAGE;
        if let Some(last) = rows.last() {
            after.clone_from(&last.key);
        }
        for row in rows {
            f(row)?;
        }
        if !full {
            return Ok(());
        }
    }
}
