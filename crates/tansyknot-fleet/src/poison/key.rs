//! What makes two attempts the same request, and two sends go to the same run of a target.

use std::fmt;

use serde::{Deserialize, Serialize};
use tansyknot_http::server::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::target::Target;

/// What stays of a request from attempt to attempt: where it goes, and what it says.
///
/// Its identifier, the time left and the event to go on after are different each time, and so is the
/// address that it comes from: callers who come again at a daemon of another zone have another one,
/// and no header names them. What is asked ends a target, whoever asks. A request that many callers
/// make is not taken for harmful, as it is answered all the while.
///
/// The hash is not keyed. Who makes a request collide with another caller's has to know that one's
/// path and body, and gains that this one request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Returns the key of a request.
    pub fn of(req: &Request) -> Self {
        let head = &req.head;
        let host = head.header("host").unwrap_or("");
        let mut hasher = Xxh3::new();
        for part in [&head.method, host, &head.target] {
            update(&mut hasher, part.as_bytes());
        }
        hasher.update(&req.body);
        Self(hasher.digest128())
    }

    /// Returns a shorter hash.
    pub fn short(self) -> u64 {
        (self.0 as u64) ^ ((self.0 >> 64) as u64)
    }
}

/// Takes in a part after its length, so that no part runs into the next.
fn update(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// One run of a target, from its start to its end: a hash of its name and of when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey(pub u64);

impl RunKey {
    /// Returns the key of the run that a target is in.
    pub fn of(target: &Target) -> Self {
        let mut hasher = Xxh3::new();
        update(&mut hasher, target.name.as_str().as_bytes());
        hasher.update(&target.born.map_or(0, |born| born.0).to_le_bytes());
        Self(hasher.digest())
    }
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
