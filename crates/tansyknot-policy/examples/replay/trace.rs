//! Reads arrival traces.

use std::path::Path;

use miette::{IntoDiagnostic, WrapErr, miette};
use serde::Deserialize;

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Class {
    /// A person waits for the response.
    Desk,
    /// The response may arrive much later.
    Batch,
}

/// One request of a trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Request {
    /// Arrival time, in ms from the start of the trace.
    pub(crate) at_ms: u64,
    /// The caller.
    #[serde(rename = "caller")]
    pub(crate) _caller: String,
    /// The requested service.
    pub(crate) service: String,
    /// The adapter; empty for none.
    pub(crate) adapter: String,
    /// Number of tokens in the prompt.
    pub(crate) prompt_tokens: u32,
    /// Number of tokens in the response.
    pub(crate) output_tokens: u32,
    /// The class.
    pub(crate) class: Class,
    /// Time from the arrival to the deadline, in ms.
    pub(crate) deadline_ms: u64,
}

/// Reads a trace and sorts its requests by arrival.
pub(crate) fn read(file: &Path) -> miette::Result<Vec<Request>> {
    let name = file.display();
    let mut reader = csv::Reader::from_path(file)
        .into_diagnostic()
        .wrap_err_with(|| format!("failed to read {name}"))?;
    let mut requests = Vec::new();
    for (at, row) in reader.deserialize().enumerate() {
        // The header is line 1.
        let line = at + 2;
        let request: Request = row.map_err(|e| miette!("{name}:{line}: {e}"))?;
        if request.service.is_empty() {
            return Err(miette!("{name}:{line}: the service name is empty"));
        }
        requests.push(request);
    }
    requests.sort_by_key(|r| r.at_ms);
    Ok(requests)
}
