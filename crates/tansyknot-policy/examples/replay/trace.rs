//! Reading a trace.

use std::path::Path;

use miette::{IntoDiagnostic, WrapErr, miette};
use serde::Deserialize;

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Class {
    /// Someone waits.
    Desk,
    /// The answer may come much later.
    Batch,
}

/// One request of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Request {
    /// When it arrives, in ms.
    pub(crate) at_ms: u64,
    /// Who asks.
    #[serde(rename = "caller")]
    pub(crate) _caller: String,
    /// What is asked.
    pub(crate) service: String,
    /// The adapter, or nothing.
    pub(crate) adapter: String,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Tokens of the answer.
    pub(crate) output_tokens: u32,
    /// The class.
    pub(crate) class: Class,
    /// The deadline after the arrival, in ms.
    pub(crate) deadline_ms: u64,
}

/// Reads a trace in the order of arrival.
pub(crate) fn read(file: &Path) -> miette::Result<Vec<Request>> {
    let name = file.display();
    let mut reader = csv::Reader::from_path(file)
        .into_diagnostic()
        .wrap_err_with(|| format!("{name} can't be read"))?;
    let mut requests = Vec::new();
    for (at, row) in reader.deserialize().enumerate() {
        // The header is line 1.
        let line = at + 2;
        let request: Request = row.map_err(|e| miette!("{name}:{line}: {e}"))?;
        if request.service.is_empty() {
            return Err(miette!("{name}:{line}: the service is empty"));
        }
        requests.push(request);
    }
    requests.sort_by_key(|r| r.at_ms);
    Ok(requests)
}
