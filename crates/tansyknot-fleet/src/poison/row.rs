//! The format of the store's row of convicted requests, which outlives all daemons.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{
    MAX_CONVICTED,
    account::MAX_CRASHES,
    evidence::Evidence,
    key::{RunKey, SuspectKey},
};

/// The version of the row's format; it changes with the row's meaning.
const FORMAT_VERSION: u32 = 3;
/// The first version in which the keys of runs name their software.
const FIRST_VERSION_WITH_SOFTWARE: u32 = 3;
/// The first version with parts of prompts; all keys of earlier ones are those of requests.
const FIRST_VERSION_WITH_PARTS: u32 = 2;
/// The maximum number of crashes that are written for a request: all that are stored, because each
/// may explain a crash under another request.
const MAX_WRITTEN_CRASHES: usize = MAX_CRASHES;

/// Why a row can't be decoded.
#[derive(Debug, Error)]
pub(super) enum Unreadable {
    /// A later release has written the row, which must not be overwritten.
    #[error("the row has form {0}, but this release supports form {FORMAT_VERSION} at most")]
    Newer(u32),
    /// The row is not valid JSON of this format.
    #[error(transparent)]
    Damaged(#[from] serde_json::Error),
    /// A key in the row is not a number.
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

/// Encodes the evidence on convicted requests.
pub(super) fn encode(evidence: &[Evidence]) -> Vec<u8> {
    let request = |item: &Evidence| RequestDoc {
        key: item.suspect.to_string(),
        crashes: item.crashes.iter().take(MAX_WRITTEN_CRASHES).map(RunKey::to_string).collect(),
        lived_ms: item.longest_held.as_millis() as u64,
        tried: item.tried,
    };
    let requests = evidence.iter().take(MAX_CONVICTED).map(request).collect();
    serde_json::to_vec(&RowDoc { form: FORMAT_VERSION, requests })
        .expect("strings and numbers always serialize")
}

/// Decodes the row.
///
/// # Errors
///
/// Fails if the row is damaged, or was written by a later release.
pub(super) fn decode(bytes: &[u8]) -> Result<Vec<Evidence>, Unreadable> {
    let FormDoc { form } = serde_json::from_slice(bytes)?;
    if form > FORMAT_VERSION {
        return Err(Unreadable::Newer(form));
    }
    let doc: RowDoc = serde_json::from_slice(bytes)?;
    let mut all = doc.requests.iter().map(evidence).collect::<Result<Vec<Evidence>, _>>()?;
    if form < FIRST_VERSION_WITH_SOFTWARE {
        let runs = all.iter_mut().flat_map(|item| &mut item.crashes);
        runs.for_each(|run| *run = run.without_software());
    }
    if form >= FIRST_VERSION_WITH_PARTS {
        return Ok(all);
    }
    Ok(all
        .into_iter()
        .map(|item| Evidence { suspect: item.suspect.as_request(), ..item })
        .collect())
}

fn evidence(doc: &RequestDoc) -> Result<Evidence, Unreadable> {
    let run = |text: &String| u64::from_str_radix(text, 16).map(RunKey);
    Ok(Evidence {
        suspect: SuspectKey(u128::from_str_radix(&doc.key, 16)?),
        crashes: doc.crashes.iter().map(run).collect::<Result<_, _>>()?,
        cleared: Vec::new(),
        longest_held: Duration::from_millis(doc.lived_ms),
        tried: doc.tried,
    })
}
