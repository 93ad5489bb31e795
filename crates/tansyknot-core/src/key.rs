//! Callers' secret keys: their digests, and the lookup of a key's holder.

use std::{collections::HashMap, fmt};

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// Length of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;
/// Longer keys are rejected without a lookup.
const MAX_KEY_BYTES: usize = 512;

/// The SHA-256 digest of a key. Only digests are stored, never keys.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the digest in hexadecimal digits.
    pub fn hex(self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Returns the bearer token in the value of an `Authorization` header, if it has one.
pub fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, key) = value.trim().split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// A map from keys to their holders.
///
/// Digests are stored as HMACs under a random secret of this map, so that the duration of a lookup
/// reveals nothing about the stored keys, and a copy of the map is of no use elsewhere.
#[derive(Clone)]
pub struct Keyring<T> {
    secret: [u8; DIGEST_BYTES],
    holders: HashMap<[u8; DIGEST_BYTES], T>,
}

impl<T> Default for Keyring<T> {
    fn default() -> Self {
        Self { secret: rand::random(), holders: HashMap::new() }
    }
}

impl<T> Keyring<T> {
    /// Adds a key and its holder. Returns the previous holder, if the key had one.
    pub fn insert(&mut self, key: KeyDigest, holder: T) -> Option<T> {
        self.holders.insert(self.tag(key), holder)
    }

    /// Returns the holder of a key.
    pub fn find(&self, key: &str) -> Option<&T> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return None;
        }
        self.holders.get(&self.tag(KeyDigest::of(key)))
    }

    fn tag(&self, key: KeyDigest) -> [u8; DIGEST_BYTES] {
        let mac = Hmac::<Sha256>::new_from_slice(&self.secret);
        let mut mac = mac.expect("HMAC accepts secrets of any length");
        mac.update(&key.0);
        mac.finalize().into_bytes().into()
    }
}

impl<T> fmt::Debug for Keyring<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keyring({} keys)", self.holders.len())
    }
}
