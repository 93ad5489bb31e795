//! Keys are found by their holders, and shown nowhere.

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
fn key_of_a_header_line(value: &str, expected: Option<&str>) {
    assert_eq!(key::bearer(value), expected);
}

#[test]
fn only_the_key_itself_is_found() {
    let mut ring = Keyring::default();
    assert_eq!(ring.insert(KeyDigest::of("k1"), 1), None);
    assert_eq!(ring.insert(KeyDigest::of("k1"), 2), Some(1), "it had a holder");
    assert_eq!((ring.find("k1"), ring.find("K1"), ring.find("")), (Some(&2), None, None));
    assert_eq!(ring.find(&KeyDigest::of("k1").hex()), None, "a digest is no key");
    assert_eq!(ring.find(&"k".repeat(100_000)), None);
}

#[test]
fn nothing_that_prints_shows_a_key_or_its_digest() {
    let digest = KeyDigest::of("k1-secret");
    let mut ring = Keyring::default();
    ring.insert(digest, ());
    let text = format!("{digest:?} {ring:?}");
    assert!(!text.contains("k1") && !text.contains(&digest.hex()[..6]), "{text}");
}
