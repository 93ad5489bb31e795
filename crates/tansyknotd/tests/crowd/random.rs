//! Random bytes of clients that do not behave.

use std::ops::Range;

use rand::{Rng, rngs::StdRng};

use super::{MAX_BODY_BYTES, Then, chunks};

/// What one client sends, before and after the others have sent their first part.
pub(crate) struct RandomClient {
    pub(crate) parts: [Vec<u8>; 2],
    pub(crate) then: Then,
}

/// Returns a client that sends a request to `path` of `host`, or a part of one.
pub(crate) fn client(rng: &mut StdRng, host: &str, path: &str) -> RandomClient {
    let mut bytes = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: id-crowd\r\n");
    if rng.random_bool(0.3) {
        let lines = rng.random_range(1..40);
        bytes.push_str(&format!("X: {}\r\n", "x".repeat(rng.random_range(0..300))).repeat(lines));
    }
    if rng.random_bool(0.2) {
        bytes.push_str("Expect: 100-continue\r\n");
    }
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(&framed_body(rng));
    if rng.random_bool(0.3) {
        // Bytes behind the request.
        bytes.resize(bytes.len() + rng.random_range(0..MAX_BODY_BYTES), b'b');
    }
    if rng.random_bool(0.6) {
        bytes.truncate(rng.random_range(0..=bytes.len()));
    }
    let second = bytes.split_off(rng.random_range(0..=bytes.len()));
    let then = [Then::Stays, Then::Trickles, Then::Reads][rng.random_range(0..3)];
    RandomClient { parts: [bytes, second], then }
}

/// Returns the seeds of random crowds.
pub(crate) fn seeds() -> Range<u64> {
    let text = std::env::var("CROWD_SEEDS").unwrap_or_else(|_| "0..4".to_owned());
    let (from, to) = text.split_once("..").expect("a range of seeds");
    from.parse().expect("a number")..to.parse().expect("a number")
}

/// Returns the end of a head, and a body.
fn framed_body(rng: &mut StdRng) -> Vec<u8> {
    let max = [100, 70_000, MAX_BODY_BYTES, 2 * MAX_BODY_BYTES][rng.random_range(0..4)];
    let length = rng.random_range(1..=max);
    if rng.random_bool(0.4) {
        let declared = length as u64 + if rng.random_bool(0.2) { 1 << 40 } else { 0 };
        let mut bytes = format!("Content-Length: {declared}\r\n\r\n").into_bytes();
        bytes.resize(bytes.len() + length, b'b');
        return bytes;
    }
    let chunk = [1, 16, 5_000, 64 << 10, MAX_BODY_BYTES][rng.random_range(0..5)];
    let length = if chunk < 1_000 { length.min(100_000) } else { length };
    let extension = [0, 0, 0, 32][rng.random_range(0..4)];
    let mut bytes = b"Transfer-Encoding: chunked\r\n\r\n".to_vec();
    bytes.extend_from_slice(&chunks(length, chunk, extension));
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}
