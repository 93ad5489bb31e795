//! Reading YAML with errors that show the file and the line.

use serde::de::DeserializeOwned;

/// Reads a file with one YAML document.
///
/// # Errors
///
/// Returns a report with the file, the line and what was expected.
pub fn read_one<T: DeserializeOwned>(text: &str, file: &str) -> miette::Result<T> {
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_str_with_options(text, options)
        .map_err(|e| serde_saphyr::miette::to_miette_report(&e, text, file))
}

/// Reads a file with any number of YAML documents.
///
/// # Errors
///
/// Returns a report as [`read_one`] does.
pub fn read_many<T: DeserializeOwned>(text: &str, file: &str) -> miette::Result<Vec<T>> {
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_multiple_with_options(text, options)
        .map_err(|e| serde_saphyr::miette::to_miette_report(&e, text, file))
}
