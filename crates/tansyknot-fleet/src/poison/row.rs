//! The row that outlives all daemons.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{
    CONVICTED_MOST,
    account::RUNS_MOST,
    evidence::Evidence,
    key::{RequestKey, RunKey},
};

/// The form of the row; it changes with its meaning.
const FORM: u32 = 1;
/// Runs that are written of a request: all that are kept, as each may explain a crash to others.
const RUNS_WRITTEN: usize = RUNS_MOST;

/// Why a row is not read.
#[derive(Debug, Error)]
pub(super) enum Unreadable {
    /// A later release has written it; what it says must not be written over.
    #[error("the row has form {0}, and this release knows form {FORM}")]
    Newer(u32),
    /// Nobody can read it.
    #[error(transparent)]
    Damaged(#[from] serde_json::Error),
    /// A key in it is no number.
    #[error(transparent)]
    Key(#[from] std::num::ParseIntError),
}

#[derive(Deserialize)]
struct FormDoc {
    form: u32,
}

#[derive(Serialize, Deserialize)]
struct RowDoc {
    form: u32,
    requests: Vec<RequestDoc>,
}

#[derive(Serialize, Deserialize)]
struct RequestDoc {
    key: String,
    crashes: Vec<String>,
    #[serde(default)]
    lived_ms: u64,
    tried: bool,
}

/// Encodes what convicts requests.
pub(super) fn encode(evidence: &[Evidence]) -> Vec<u8> {
    let request = |item: &Evidence| RequestDoc {
        key: item.request.to_string(),
        crashes: item.crashes.iter().take(RUNS_WRITTEN).map(RunKey::to_string).collect(),
        lived_ms: item.lived.as_millis() as u64,
        tried: item.tried,
    };
    let requests = evidence.iter().take(CONVICTED_MOST).map(request).collect();
    serde_json::to_vec(&RowDoc { form: FORM, requests })
        .expect("texts and numbers serialize without failure")
}

/// Decodes the row.
///
/// # Errors
///
/// Fails if it is damaged, or of a later release.
pub(super) fn decode(bytes: &[u8]) -> Result<Vec<Evidence>, Unreadable> {
    let FormDoc { form } = serde_json::from_slice(bytes)?;
    if form > FORM {
        return Err(Unreadable::Newer(form));
    }
    let doc: RowDoc = serde_json::from_slice(bytes)?;
    doc.requests.iter().map(evidence).collect()
}

fn evidence(doc: &RequestDoc) -> Result<Evidence, Unreadable> {
    let run = |text: &String| u64::from_str_radix(text, 16).map(RunKey);
    Ok(Evidence {
        request: RequestKey(u128::from_str_radix(&doc.key, 16)?),
        crashes: doc.crashes.iter().map(run).collect::<Result<_, _>>()?,
        cleared: Vec::new(),
        lived: Duration::from_millis(doc.lived_ms),
        tried: doc.tried,
    })
}
