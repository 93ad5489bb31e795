//! Values of rows as JSON documents.

use serde::{Serialize, de::DeserializeOwned};
use tansyknot_core::{Error, Result, table::Row};

/// Parses the value of a row.
///
/// # Errors
///
/// [`Error::Malformed`] with the row's key if the value is not the document that is expected.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T> {
    serde_json::from_str(&row.value)
        .map_err(|e| Error::malformed("table", format!("{}: {e}", row.key)))
}

/// Writes the value of a row.
///
/// # Panics
///
/// Panics if a key of a map in `doc` is not text, which no row's type allows.
pub fn encode<T: Serialize>(doc: &T) -> String {
    serde_json::to_string(doc).expect("rows have text keys")
}
