//! JSON encoding of row values.

use serde::{Serialize, de::DeserializeOwned};
use tansyknot_core::{Error, Result, table::Row};

/// Parses the value of a row.
///
/// # Errors
///
/// [`Error::Malformed`] with the row's key if the value is not a valid document of type `T`.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T> {
    serde_json::from_str(&row.value)
        .map_err(|e| Error::malformed("table", format!("{}: {e}", row.key)))
}

/// Serializes the value of a row.
///
/// # Panics
///
/// Panics if `doc` has a map whose keys are not strings; no row type has one.
pub fn encode<T: Serialize>(doc: &T) -> String {
    serde_json::to_string(doc).expect("maps in rows have string keys")
}
