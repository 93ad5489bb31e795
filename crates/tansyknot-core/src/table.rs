//! The transactional table service, which holds all state that daemons must agree on or persist.

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// The version of a row, which increases with each write of the row.
pub type RowVersion = u64;

/// The version in a condition for a row that must not exist.
pub const ABSENT: RowVersion = 0;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: String,
    /// The version of the row, greater than [`ABSENT`].
    pub version: RowVersion,
    /// The value, a JSON document.
    pub value: String,
}

/// A condition of a transaction: the row must have exactly this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row.
    pub key: String,
    /// The required version; [`ABSENT`] if the row must not exist.
    pub version: RowVersion,
}

/// A write of a transaction; `None` deletes the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The new value, or `None` to delete.
    pub value: Option<String>,
}

/// A set of conditions, and the writes that are made if all of them hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The writes, which are made atomically.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a write of `key` on the condition that it still has `version`.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, version: RowVersion, value: String) -> Self {
        let key = key.into();
        self.conditions.push(Condition { key: key.clone(), version });
        self.writes.push(Write { key, value: Some(value) });
        self
    }

    /// Adds an unconditional write of `key`.
    #[must_use]
    pub fn set(mut self, key: impl Into<String>, value: Option<String>) -> Self {
        self.writes.push(Write { key: key.into(), value });
        self
    }

    /// Adds a delete of `key` on the condition that it still has `version`.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>, version: RowVersion) -> Self {
        let key = key.into();
        self.conditions.push(Condition { key: key.clone(), version });
        self.writes.push(Write { key, value: None });
        self
    }

    /// Adds a condition without a write.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: RowVersion) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }
}

/// A client of the table service.
pub trait Table: Send + Sync {
    /// Reads one row. The result may be stale.
    ///
    /// # Errors
    ///
    /// Fails if the service is down, does not respond in time or sends an invalid reply.
    fn read(&self, key: &str) -> Result<Option<Row>>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Fails as [`Table::read`] does.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>>;

    /// Makes the writes if every condition holds.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] means that nothing was written. An error for which
    /// [`Error::may_have_taken_effect`] holds must be resolved with [`commit_confirmed`].
    fn commit(&self, txn: &Transaction) -> Result<()>;
}

/// Maximum number of attempts to commit a transaction whose reply is lost.
const MAX_COMMIT_ATTEMPTS: usize = 3;

/// Commits a transaction, and resolves a lost reply by retrying and reading the row back.
///
/// `is_own_write` returns whether the current row at `key` has this writer's token. A transaction
/// with conditions on versions can be retried safely: if the first copy took effect, the second one
/// conflicts and the row read back has the token.
///
/// # Errors
///
/// [`Error::Conflict`] if another writer came first; the last error if the result stays unknown.
pub fn commit_confirmed(
    table: &dyn Table,
    txn: &Transaction,
    key: &str,
    is_own_write: impl Fn(&Row) -> bool,
) -> Result<()> {
    let mut last = Error::unknown("table", "not tried");
    let mut in_doubt = false;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        match table.commit(txn) {
            Ok(()) => return Ok(()),
            Err(Error::Conflict { key: conflict_key }) => {
                // A conflict after a lost reply may be with the first copy of this transaction.
                if !in_doubt {
                    return Err(Error::Conflict { key: conflict_key });
                }
                match table.read(key) {
                    Ok(Some(row)) if is_own_write(&row) => return Ok(()),
                    Ok(_) => return Err(Error::Conflict { key: conflict_key }),
                    Err(e) => last = e,
                }
            }
            Err(e) if e.may_have_taken_effect() => {
                in_doubt = true;
                last = e;
            }
            Err(e) if in_doubt => last = e,
            Err(e) => return Err(e),
        }
    }
    if !in_doubt {
        return Err(last);
    }
    match table.read(key) {
        Ok(Some(row)) if is_own_write(&row) => Ok(()),
        // The row does not have the token now, but a delayed copy may still arrive.
        _ => Err(Error::unknown("table", last)),
    }
}
