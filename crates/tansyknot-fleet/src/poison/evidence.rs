//! Messages between daemons about requests under which targets have crashed.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::key::{RunKey, SuspectKey};

/// A daemon's evidence on one request, or on one part of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The request or the part.
    pub suspect: SuspectKey,
    /// The runs of targets that ended under the request.
    pub crashes: Vec<RunKey>,
    /// The runs that no longer count.
    pub cleared: Vec<RunKey>,
    /// The longest time that one of these runs had the request before it ended.
    pub longest_held: Duration,
    /// Whether a target has ended under a trial of the request.
    pub tried: bool,
}

impl Evidence {
    /// Returns the number of crashes that count.
    pub fn count(&self) -> usize {
        self.crashes.iter().filter(|run| !self.cleared.contains(run)).count()
    }
}

/// A hash of the requests that a daemon convicts, and of which of them get no further trial: equal
/// where two daemons agree, 0 where they convict none. It is sent with each heartbeat, so that lost
/// messages are detected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(u64);

impl Digest {
    /// Returns the hash of requests, each with whether it gets no further trial.
    pub(super) fn of(requests: impl Iterator<Item = (SuspectKey, bool)>) -> Self {
        let hash = |(key, is_final): (SuspectKey, bool)| {
            xxh3::xxh3_64_with_seed(&key.0.to_le_bytes(), u64::from(is_final))
        };
        Self(requests.map(hash).fold(0, u64::wrapping_add))
    }
}
