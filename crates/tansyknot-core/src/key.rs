//! Callers' keys, which are secrets: their digests, and the lookup of who holds one.

use std::{collections::HashMap, fmt};

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;
/// The longest key that is looked for; a longer one is nobody's.
const KEY_BYTES_MOST: usize = 512;

/// A digest of a key, which stands for it wherever it is kept.
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

/// Returns the key in the value of an `Authorization` header line, if it has one.
pub fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.trim().split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Who holds which key.
///
/// Digests are kept under a secret of this lookup's own, so that how long a search takes tells nothing
/// of the keys that are there, and a copy of it is of no use elsewhere.
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
    /// Adds a key and its holder; returns the holder that it had.
    pub fn insert(&mut self, key: KeyDigest, holder: T) -> Option<T> {
        self.holders.insert(self.tag(key), holder)
    }

    /// Returns the holder of a key.
    pub fn find(&self, key: &str) -> Option<&T> {
        if key.is_empty() || key.len() > KEY_BYTES_MOST {
            return None;
        }
        self.holders.get(&self.tag(KeyDigest::of(key)))
    }

    fn tag(&self, key: KeyDigest) -> [u8; DIGEST_BYTES] {
        let mac = Hmac::<Sha256>::new_from_slice(&self.secret);
        let mut mac = mac.expect("a secret may have any length");
        mac.update(&key.0);
        mac.finalize().into_bytes().into()
    }
}

impl<T> fmt::Debug for Keyring<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keyring({} keys)", self.holders.len())
    }
}
