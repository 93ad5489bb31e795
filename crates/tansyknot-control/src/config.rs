//! The configuration in the table service: its rows, accepting a change and following versions.

use std::{collections::HashMap, sync::RwLock};

use serde::{Deserialize, Serialize};
use tansyknot_config::{
    object::Object,
    objects_in_force::{self, ConfigObjects, ConfigVersion, ObjectChange, StoredObject},
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
/// The key prefix of [`StoredObject`] objects.
pub const OBJECT_PREFIX: &str = "config/object/";

/// Maximum number of object changes in one version.
pub const MAX_OPS: usize = 500;
/// Versions retained for daemons that replay changes and for `history`; older ones are deleted.
pub const RETAINED_CHANGES: u64 = 20_000;
/// Maximum number of versions that a daemon replays. A daemon that is further behind reads every
/// object instead.
const MAX_REPLAYED_VERSIONS: u64 = 400;
/// Rows read in one scan call.
const SCAN_PAGE_ROWS: usize = 500;

/// The newest version and the digest of its objects.
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
    /// The operator who made the change.
    pub author: String,
    /// When the change was made, in milliseconds since the Unix epoch by the author's clock.
    pub at_ms: u64,
    /// The changes of objects.
    pub ops: Vec<ObjectChange>,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum ApplyError {
    /// Another operator's change was accepted first.
    #[error("version {accepted} was accepted meanwhile; nothing of this change is in force")]
    VersionConflict {
        /// The version that was accepted instead.
        accepted: ConfigVersion,
    },
    /// The document has more changes than one version may have.
    #[error("{count} changes are more than the {MAX_OPS} of one version; split the document")]
    TooMany {
        /// The number of changes.
        count: usize,
    },
    /// The table service failed. If the outcome is unknown, the command `history` shows later
    /// whether the change was accepted.
    #[error(transparent)]
    Table(#[from] Error),
}

/// Returns the key of the change that made `version`; keys sort in the order of versions.
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
pub fn read_objects(table: &dyn Table) -> Result<Vec<StoredObject>> {
    let mut objects = Vec::new();
    scan_all(table, OBJECT_PREFIX, |row| {
        objects.push(row::decode(&row)?);
        Ok(())
    })?;
    Ok(objects)
}

/// Reads at most `limit` accepted versions above `after`, oldest first.
///
/// # Errors
///
/// Fails if the table does.
pub fn read_changes(table: &dyn Table, after: ConfigVersion, limit: usize) -> Result<Vec<Change>> {
    table.scan(CHANGE_PREFIX, &change_key(after), limit)?.iter().map(row::decode).collect()
}

/// The operator who changes the configuration and the time of the change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Author {
    /// The operator's name, as shown in the history.
    pub name: String,
    /// The time in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Commits `ops` as the next version after `base` and returns that version.
///
/// The version is accepted when this returns `Ok`: the compare-and-swap took effect, even if its
/// reply was lost and the row had to be read back.
///
/// # Errors
///
/// [`ApplyError::VersionConflict`] if a version after `base` was accepted meanwhile.
pub fn apply(
    table: &dyn Table,
    base: ConfigVersion,
    ops: &[ObjectChange],
    author: &Author,
) -> std::result::Result<ConfigVersion, ApplyError> {
    if ops.len() > MAX_OPS {
        return Err(ApplyError::TooMany { count: ops.len() });
    }
    let (head, head_row) = read_head(table)?;
    if head.version != base {
        return Err(ApplyError::VersionConflict { accepted: head.version });
    }
    let token = name::random_id();
    let txn = change_transaction(table, &head, head_row, ops, author, &token)?;
    let version = head.version + 1;
    let is_mine = |row: &Row| row::decode::<Head>(row).is_ok_and(|head| head.token == token);
    match table::commit_confirmed(table, &txn, HEAD_KEY, is_mine) {
        Ok(()) => Ok(version),
        Err(Error::Conflict { .. }) => {
            let (now, _) = read_head(table)?;
            Err(ApplyError::VersionConflict { accepted: now.version })
        }
        Err(e) => Err(e.into()),
    }
}

fn change_transaction(
    table: &dyn Table,
    head: &Head,
    head_row: RowVersion,
    ops: &[ObjectChange],
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
            let stored: StoredObject = row::decode(row)?;
            digest ^= objects_in_force::object_digest(&key, stored.version);
        }
        let row_version = old.map_or(ABSENT, |row| row.version);
        txn = match op {
            ObjectChange::Put(object) => {
                digest ^= objects_in_force::object_digest(&key, version);
                txn.put(
                    row_key,
                    row_version,
                    row::encode(&StoredObject { version, object: object.clone() }),
                )
            }
            // Deleting a missing object writes nothing, but its absence is still a condition.
            ObjectChange::Delete(_) if row_version == ABSENT => txn.check(row_key, ABSENT),
            ObjectChange::Delete(_) => txn.delete(row_key, row_version),
        };
    }
    let change =
        Change { version, author: author.name.clone(), at_ms: author.at_ms, ops: ops.to_vec() };
    txn = txn.set(change_key(version), Some(row::encode(&change)));
    if let Some(old) = version.checked_sub(RETAINED_CHANGES) {
        txn = txn.set(change_key(old), None);
    }
    let head = Head { version, digest, token: token.to_owned() };
    Ok(txn.put(HEAD_KEY, head_row, row::encode(&head)))
}

/// Returns the puts that bring `current` to `wanted`; objects not in `wanted` are not deleted.
pub fn difference(current: &[StoredObject], wanted: &[Object]) -> Vec<ObjectChange> {
    let same = |object: &Object| current.iter().any(|stored| stored.object == *object);
    wanted.iter().filter(|object| !same(object)).cloned().map(ObjectChange::Put).collect()
}

/// The configuration in force at this daemon, which follows the table.
#[derive(Debug, Default)]
pub struct ConfigView {
    store: RwLock<ConfigObjects>,
    head_row: RwLock<RowVersion>,
}

/// The outcome of [`ConfigView::follow`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowOutcome {
    /// The table has no newer version.
    Unchanged,
    /// A newer version is in force.
    Applied(ConfigVersion),
    /// The table returned an older version, which was ignored.
    OlderIgnored(ConfigVersion),
    /// The rows read do not match the head's digest, for instance after stale reads; the next call
    /// retries.
    Inconsistent,
}

impl ConfigView {
    /// Calls `f` with the configuration in force.
    pub fn with<T>(&self, f: impl FnOnce(&ConfigObjects) -> T) -> T {
        f(&self.store.read().expect("no holder of the lock panics"))
    }

    /// Returns the version in force, or zero before the first.
    pub fn version(&self) -> ConfigVersion {
        self.with(ConfigObjects::version)
    }

    /// Returns the row version of the head that the configuration in force was read with.
    ///
    /// A transaction that checks this row version takes effect only if no newer configuration
    /// version has been accepted.
    pub fn head_row(&self) -> RowVersion {
        *self.head_row.read().expect("no holder of the lock panics")
    }

    /// Reads the head and puts a newer version in force.
    ///
    /// # Errors
    ///
    /// Fails if the table does; the configuration in force then stays.
    pub fn follow(&self, table: &dyn Table) -> Result<FollowOutcome> {
        let (head, head_row) = read_head(table)?;
        let current = self.version();
        if head.version < current {
            event::CONFIG_OLDER_IGNORED.emit(&[("read", &head.version), ("in_force", &current)]);
            return Ok(FollowOutcome::OlderIgnored(head.version));
        }
        if current == 0 && !is_newest(table, head_row)? {
            return Ok(FollowOutcome::OlderIgnored(head.version));
        }
        let digest = self.with(ConfigObjects::digest);
        if head.version == current && head.digest == digest {
            self.set_head_row(head_row);
            return Ok(FollowOutcome::Unchanged);
        }
        let replay = current > 0
            && head.version > current
            && head.version - current <= MAX_REPLAYED_VERSIONS;
        if replay && self.try_replay(table, &head) {
            return Ok(self.record_applied(&head, head_row));
        }
        if self.reload(table, &head)? {
            return Ok(self.record_applied(&head, head_row));
        }
        Ok(FollowOutcome::Inconsistent)
    }

    fn record_applied(&self, head: &Head, head_row: RowVersion) -> FollowOutcome {
        self.set_head_row(head_row);
        event::CONFIG_APPLIED.emit(&[("version", &head.version)]);
        FollowOutcome::Applied(head.version)
    }

    fn set_head_row(&self, version: RowVersion) {
        *self.head_row.write().expect("no holder of the lock panics") = version;
    }

    /// Applies the changes up to `head` and returns whether that succeeded.
    ///
    /// All changes come in one reply, whose length grows with the time that the daemon was behind,
    /// while the timeout of the call is fixed: a failed replay would fail again. An error therefore
    /// returns `false`, and the objects are read instead.
    fn try_replay(&self, table: &dyn Table, head: &Head) -> bool {
        self.replay(table, head).unwrap_or_else(|e| {
            event::CONFIG_NOT_REPLAYED.emit(&[("version", &head.version), ("error", &e)]);
            false
        })
    }

    /// Applies the changes up to `head`; returns whether the result has the head's digest.
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

    /// Reads every object; returns whether the result has the head's digest.
    fn reload(&self, table: &dyn Table, head: &Head) -> Result<bool> {
        if self.version() > 0 {
            event::CONFIG_RELOADED.emit(&[("version", &head.version)]);
        }
        let mut fresh = ConfigObjects::default();
        for stored in read_objects(table)? {
            fresh.apply(&ObjectChange::Put(stored.object), stored.version);
        }
        Ok(self.install(fresh, head))
    }

    fn install(&self, mut store: ConfigObjects, head: &Head) -> bool {
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

/// Computes the digest of the configuration after `changes` without applying them.
///
/// A configuration with a wrong digest must never be in force, and applying the changes to a copy
/// would cost time and memory.
fn digest_after(store: &ConfigObjects, changes: &[Change]) -> u64 {
    let mut digest = store.digest();
    let mut changed_versions: HashMap<String, Option<ConfigVersion>> = HashMap::new();
    for change in changes {
        for op in &change.ops {
            let key = op.key();
            let old =
                changed_versions.get(&key).copied().unwrap_or_else(|| store.object_version(&key));
            if old.is_some_and(|old| old >= change.version) {
                continue;
            }
            let new = matches!(op, ObjectChange::Put(_)).then_some(change.version);
            for version in old.into_iter().chain(new) {
                digest ^= objects_in_force::object_digest(&key, version);
            }
            changed_versions.insert(key, new);
        }
    }
    digest
}

/// Returns whether a row version of the head is the newest, by a commit that checks it.
///
/// A read may be stale, but a commit checks its conditions against the newest rows. A daemon that
/// has just started has no version to compare with, so only this check prevents it from accepting a
/// version older than the one before its restart.
fn is_newest(table: &dyn Table, head_row: RowVersion) -> Result<bool> {
    match table.commit(&Transaction::default().check(HEAD_KEY, head_row)) {
        Ok(()) => Ok(true),
        Err(Error::Conflict { .. }) => Ok(false),
        Err(e) => Err(e),
    }
}

/// Calls `f` with each row that has a prefix, reading page by page.
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
        let rows = table.scan(prefix, &after, SCAN_PAGE_ROWS)?;
        let full = rows.len() == SCAN_PAGE_ROWS;
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
