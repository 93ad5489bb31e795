//! Reading YAML so that what is wrong is shown with its file and line.

use serde::de::DeserializeOwned;

/// Reads one document.
///
/// # Errors
///
/// Fails with a report that shows the file, the line and what was expected.
pub fn read_one<T: DeserializeOwned>(text: &str, file: &str) -> miette::Result<T> {
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_str_with_options(text, options)
        .map_err(|e| serde_saphyr::miette::to_miette_report(&e, text, file))
}

/// Reads a document of several parts.
///
/// # Errors
///
/// Fails as [`read_one`] does.
pub fn read_many<T: DeserializeOwned>(text: &str, file: &str) -> miette::Result<Vec<T>> {
    let options = serde_saphyr::options! { with_snippet: false };
    serde_saphyr::from_multiple_with_options(text, options)
        .map_err(|e| serde_saphyr::miette::to_miette_report(&e, text, file))
}
