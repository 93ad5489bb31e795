//! What daemons tell each other of requests under which targets have crashed.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::key::{RequestKey, RunKey};

/// All that a daemon knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The request.
    pub request: RequestKey,
    /// Runs of targets that ended under it.
    pub crashes: Vec<RunKey>,
    /// Runs that don't count any more.
    pub cleared: Vec<RunKey>,
    /// The longest that one of these had it before its end.
    pub lived: Duration,
    /// Whether a target has ended under a trial of it.
    pub tried: bool,
}

impl Evidence {
    /// Returns how many crashes count.
    pub fn count(&self) -> usize {
        self.crashes.iter().filter(|run| !self.cleared.contains(run)).count()
    }
}

/// A hash of the requests that a daemon convicts, and of which of them can't be tried any more: equal
/// where two daemons agree, 0 where they convict none. It goes with each beat, so that what was lost
/// on the way is found out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(u64);

impl Digest {
    /// Returns the hash of requests, each with whether it can't be tried any more.
    pub(super) fn of(requests: impl Iterator<Item = (RequestKey, bool)>) -> Self {
        let hash = |(key, is_final): (RequestKey, bool)| {
            xxh3::xxh3_64_with_seed(&key.0.to_le_bytes(), u64::from(is_final))
        };
        Self(requests.map(hash).fold(0, u64::wrapping_add))
    }
}
