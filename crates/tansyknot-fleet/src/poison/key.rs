//! Keys that identify a request across its attempts, a part of prompts across requests, and a run of a
//! target across sends.

use std::fmt;

use serde::{Deserialize, Serialize};
use tansyknot_core::name::{ServiceName, SoftwareVersion};
use tansyknot_http::server::Request;
use xxhash_rust::xxh3::{self, Xxh3};

use super::{CRASHES_TO_CONVICT, PART_CRASHES_TO_CONVICT};
use crate::{platform_api::PromptPart, target::Target};

/// A key of what may be the cause of crashes: a request, equal for all its attempts, or a part of
/// prompts, equal for all requests that contain it.
///
/// The key of a request is a hash of its method, host, target and body. It leaves out the request's
/// identifier, the time left and the event to resume after, which differ between attempts. It also
/// leaves out the caller's address, because callers that retry at a daemon of another zone have
/// another one, and no header names the caller. A harmful request ends targets whichever caller sends
/// it. A request that many callers send is not taken for harmful, because it is answered all the time.
///
/// The hash is not keyed. To make a request collide with another caller's, an attacker has to know
/// that request's path and body, and gains only that this one request is rejected.
///
/// The key of a part has its highest bit set, and ends with the part's identifier. It differs between
/// services, whose targets run different software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SuspectKey(pub u128);

/// The bit that tells the key of a part from that of a request.
const PART_BIT: u128 = 1 << 127;
/// The maximum number of parts of one request that are suspected, those that come first.
const MAX_PARTS: usize = 8;

impl SuspectKey {
    /// Returns the key of a request.
    pub fn of(req: &Request) -> Self {
        let head = &req.head;
        let host = head.header("host").unwrap_or("");
        let mut hasher = Xxh3::new();
        for part in [&head.method, host, &head.target] {
            update(&mut hasher, part.as_bytes());
        }
        req.body.parts().for_each(|part| hasher.update(part));
        Self(hasher.digest128() & !PART_BIT)
    }

    /// Returns the key of the part `id` of prompts for a service.
    pub fn of_part(service: &ServiceName, id: u64) -> Self {
        let scope = xxh3::xxh3_64(service.as_str().as_bytes());
        Self(PART_BIT | (u128::from(scope) << 64) | u128::from(id))
    }

    /// Returns whether this is the key of a part.
    pub fn is_part(self) -> bool {
        self.0 & PART_BIT != 0
    }

    /// Returns this key as that of a request.
    #[must_use]
    pub(super) fn as_request(self) -> Self {
        Self(self.0 & !PART_BIT)
    }

    /// Returns the number of crashes of different runs of targets that convicts.
    pub fn crashes_to_convict(self) -> usize {
        if self.is_part() { PART_CRASHES_TO_CONVICT } else { CRASHES_TO_CONVICT }
    }

    /// Returns a shorter hash.
    pub fn short_hash(self) -> u64 {
        (self.0 as u64) ^ ((self.0 >> 64) as u64)
    }
}

/// What is suspected if a target crashes while it has a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSuspects {
    /// The request.
    pub request: SuspectKey,
    /// The parts of its prompt that other requests may contain.
    pub parts: Vec<SuspectKey>,
}

impl RequestSuspects {
    /// Returns the suspects of a request for `service`.
    pub fn of(req: &Request, service: &ServiceName, parts: &[PromptPart]) -> Self {
        let part = |part: &PromptPart| SuspectKey::of_part(service, part.id);
        let parts = parts.iter().take(MAX_PARTS).map(part).collect();
        Self { request: SuspectKey::of(req), parts }
    }

    /// Returns the keys of all suspects.
    pub fn all(&self) -> impl Iterator<Item = SuspectKey> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}

/// Hashes a part after its length, so that no part runs into the next.
fn update(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A key of one run of a target, from its start to its end: a hash of the target's name and its
/// start time, and one of the version of its software in the highest bits. A daemon that receives
/// evidence can so tell which runs had the same software without their entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey(pub u64);

/// The bits of a [`RunKey`] below the hash of the software.
const RUN_BITS: u32 = 48;
const RUN_MASK: u64 = (1 << RUN_BITS) - 1;

impl RunKey {
    /// Returns the key of the current run of a target.
    pub fn of(target: &Target) -> Self {
        let mut hasher = Xxh3::new();
        update(&mut hasher, target.name.as_str().as_bytes());
        hasher.update(&target.started_at.map_or(0, |born| born.0).to_le_bytes());
        let software = target.software.as_ref().map_or("", SoftwareVersion::as_str);
        let software = SoftwareKey::of(software);
        Self((hasher.digest() & RUN_MASK) | (u64::from(software.0) << RUN_BITS))
    }

    /// Returns this key as that of a run whose software is not known.
    #[must_use]
    pub(super) fn without_software(self) -> Self {
        Self(self.0 & RUN_MASK)
    }

    /// Returns the key of the software that the run has.
    pub fn software(self) -> SoftwareKey {
        SoftwareKey((self.0 >> RUN_BITS) as u16)
    }
}

/// A hash of a version of the targets' software; 0 if the version is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareKey(u16);

impl SoftwareKey {
    fn of(version: &str) -> Self {
        let hash = xxh3::xxh3_64(version.as_bytes()) >> RUN_BITS;
        Self(hash as u16 | 1)
    }

    /// Returns whether both may be of the same version.
    pub fn may_be(self, other: Self) -> bool {
        self == other || self.0 == 0 || other.0 == 0
    }
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
