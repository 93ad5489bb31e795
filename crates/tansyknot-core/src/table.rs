//! The transactional table service, the only arbiter of what must be agreed or kept.

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// The version of a row; it rises with each write of the row.
pub type RowVersion = u64;

/// The version that a condition uses for a row that must not exist.
pub const ABSENT: RowVersion = 0;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key of the row.
    pub key: String,
    /// The version of the row, above [`ABSENT`].
    pub version: RowVersion,
    /// The value, a JSON document.
    pub value: String,
}

/// A condition of a transaction: the row has exactly this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key of the row.
    pub key: String,
    /// The version it must have; [`ABSENT`] if it must not exist.
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

/// A set of conditions and the writes made if all of them hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is then written, all or none.
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

    /// Adds a write of `key` whatever its version.
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
    /// Reads one row. The answer may be stale.
    ///
    /// # Errors
    ///
    /// Fails if the service is down, slow or answers nonsense.
    fn read(&self, key: &str) -> Result<Option<Row>>;

    /// Reads up to `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// Fails as [`Table::read`] does.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>>;

    /// Makes the writes if every condition holds, and returns nothing else.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] means that nothing was written. An error for which
    /// [`Error::may_have_taken_effect`] holds must be settled with [`commit_settled`].
    fn commit(&self, txn: &Transaction) -> Result<()>;
}

/// How often a lost reply is settled by reading back before giving up.
const SETTLE_TRIES: usize = 3;

/// Commits and settles a lost reply by reading back.
///
/// `mine` is asked of the current row at `key`: does it bear this writer's token? A
/// transaction whose conditions name versions can be sent again safely: if the first copy
/// took effect, the second conflicts and the read shows the token.
///
/// # Errors
///
/// [`Error::Conflict`] if another writer won; the last error if the result stays unknown.
pub fn commit_settled(
    table: &dyn Table,
    txn: &Transaction,
    key: &str,
    mine: impl Fn(&Row) -> bool,
) -> Result<()> {
    let mut last = Error::unknown("table", "not tried");
    let mut in_doubt = false;
    for _ in 0..SETTLE_TRIES {
        match table.commit(txn) {
            Ok(()) => return Ok(()),
            Err(Error::Conflict { key: lost }) => {
                // A conflict after a lost reply may be with this writer's own first copy.
                if !in_doubt {
                    return Err(Error::Conflict { key: lost });
                }
                match table.read(key) {
                    Ok(Some(row)) if mine(&row) => return Ok(()),
                    Ok(_) => return Err(Error::Conflict { key: lost }),
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
        Ok(Some(row)) if mine(&row) => Ok(()),
        // The row does not bear the token now, yet a delayed copy may still arrive.
        _ => Err(Error::unknown("table", last)),
    }
}
