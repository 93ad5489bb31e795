//! Tests of the chunked transfer coding.

use std::io::{self, Read};

use tansyknot_http::chunked::ChunkedReader;
use yare::parameterized;

fn decode(bytes: &[u8]) -> io::Result<String> {
    let mut content = String::new();
    ChunkedReader::new(bytes).read_to_string(&mut content).map(|_| content)
}

#[parameterized(
    no_content = { "0\r\n\r\n", "" },
    chunks = { "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n", "abc0123456789" },
    extensions = { "3;a=b;c\r\nabc\r\n0;d\r\n\r\n", "abc" },
    space_after_the_size = { "3 \r\nabc\r\n0\r\n\r\n", "abc" },
    trailers = { "3\r\nabc\r\n0\r\nx-a: b\tc\r\nx-d:\r\n\r\n", "abc" },
    leading_zeros = { "0000000000000003\r\nabc\r\n0\r\n\r\n", "abc" },
)]
fn content_is_decoded(encoded: &str, content: &str) {
    assert_eq!(decode(encoded.as_bytes()).expect("it is valid"), content);
}

#[parameterized(
    cut_off_in_a_chunk = { "3\r\nab" },
    cut_off_after_a_chunk = { "3\r\nabc\r\n" },
    cut_off_in_the_last_chunk = { "0\r\n" },
)]
fn body_that_is_cut_off_fails(encoded: &str) {
    let e = decode(encoded.as_bytes()).expect_err("it is cut off");
    assert_eq!(e.kind(), io::ErrorKind::UnexpectedEof);
}

#[parameterized(
    no_size = { "\r\nabc" },
    sign = { "+3\r\nabc\r\n" },
    letter = { "x" },
    no_line_feed = { "3\rabc" },
    longer_than_its_size = { "3\r\nabcd\r\n" },
    line_feed_in_extensions = { "3;a\nabc" },
    control_byte_in_extensions = { "3;a\0b\r\nabc\r\n0\r\n\r\n" },
    line_feed_in_a_trailer = { "0\r\nx-a: b\nx-c: d\r\n\r\n" },
    control_byte_in_a_trailer = { "0\r\nx-a: b\0\r\n\r\n" },
    trailer_without_a_colon = { "0\r\nx-a b\r\n\r\n" },
    blank_in_the_name_of_a_trailer = { "0\r\nx a: b\r\n\r\n" },
)]
fn malformed_body_fails(encoded: &str) {
    let e = decode(encoded.as_bytes()).expect_err("it is malformed");
    assert_eq!(e.kind(), io::ErrorKind::InvalidData);
}

/// Counts the bytes that are read of an endless source.
struct Endless {
    begin: &'static [u8],
    repeated: u8,
    read: usize,
}

impl Read for Endless {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        for byte in out.iter_mut() {
            *byte = self.begin.get(self.read).copied().unwrap_or(self.repeated);
            self.read += 1;
        }
        Ok(out.len())
    }
}

#[parameterized(
    digits = { b"", b'1' },
    zeros = { b"", b'0' },
    extension = { b"3;", b'a' },
    spaces = { b"3", b' ' },
)]
fn line_without_end_is_read_to_no_end(begin: &'static [u8], repeated: u8) {
    let mut source = Endless { begin, repeated, read: 0 };
    let e = ChunkedReader::new(&mut source).read(&mut [0; 64]).expect_err("it is malformed");
    assert_eq!(e.kind(), io::ErrorKind::InvalidData);
    assert!(source.read < 512, "{} bytes were read", source.read);
}
