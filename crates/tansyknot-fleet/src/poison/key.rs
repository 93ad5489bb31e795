//! Keys that identify a request across its attempts, and a run of a target across sends.

use std::fmt;

use serde::{Deserialize, Serialize};
use tansyknot_http::server::Request;
use xxhash_rust::xxh3::Xxh3;

use crate::target::Target;

/// A key that is equal for all attempts of a request: a hash of its method, host, target and body.
///
/// The key leaves out the request's identifier, the time left and the event to resume after, which
/// differ between attempts. It also leaves out the caller's address, because callers that retry at
/// a daemon of another zone have another one, and no header names the caller. A harmful request
/// ends targets whichever caller sends it. A request that many callers send is not taken for
/// harmful, because it is answered all the time.
///
/// The hash is not keyed. To make a request collide with another caller's, an attacker has to know
/// that request's path and body, and gains only that this one request is rejected.
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
    pub fn short_hash(self) -> u64 {
        (self.0 as u64) ^ ((self.0 >> 64) as u64)
    }
}

/// Hashes a part after its length, so that no part runs into the next.
fn update(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A key of one run of a target, from its start to its end: a hash of the target's name and its
/// start time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey(pub u64);

impl RunKey {
    /// Returns the key of the current run of a target.
    pub fn of(target: &Target) -> Self {
        let mut hasher = Xxh3::new();
        update(&mut hasher, target.name.as_str().as_bytes());
        hasher.update(&target.started_at.map_or(0, |born| born.0).to_le_bytes());
        Self(hasher.digest())
    }
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
