//! Lookup of the holders of keys. Debug output shows neither keys nor digests.

use tansyknot_core::key::{self, KeyDigest, Keyring};
use yare::parameterized;

#[parameterized(
    usual = { "Bearer k1", Some("k1") },
    other_case = { "bEARER k1", Some("k1") },
    spaces = { "  Bearer   k1  ", Some("k1") },
    no_key = { "Bearer ", None },
    no_scheme = { "k1", None },
    other_scheme = { "Basic k1", None },
    empty = { "", None },
)]
fn bearer_token_of_a_header(value: &str, expected: Option<&str>) {
    assert_eq!(key::bearer_token(value), expected);
}

#[test]
fn holder_is_found_by_the_exact_key_only() {
    let mut ring = Keyring::default();
    assert_eq!(ring.insert(KeyDigest::of("k1"), 1), None);
    assert_eq!(ring.insert(KeyDigest::of("k1"), 2), Some(1), "the previous holder is returned");
    assert_eq!((ring.find("k1"), ring.find("K1"), ring.find("")), (Some(&2), None, None));
    assert_eq!(ring.find(&KeyDigest::of("k1").hex()), None, "a digest is not accepted as a key");
    assert_eq!(ring.find(&"k".repeat(100_000)), None);
}

#[test]
fn debug_output_shows_neither_key_nor_digest() {
    let digest = KeyDigest::of("k1-secret");
    let mut ring = Keyring::default();
    ring.insert(digest, ());
    let text = format!("{digest:?} {ring:?}");
    assert!(!text.contains("k1") && !text.contains(&digest.hex()[..6]), "{text}");
}
