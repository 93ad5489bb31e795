//! Responses of a plain service whose head is malformed: a caller never receives one.

mod support;

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
};

use support::{TestPlatform, exchange, request, status};
use yare::parameterized;

/// The index of the plain service among the targets.
const PLAIN: usize = 2;
const BODY: &str = "answer of the service";

/// Answers each request with `response` and closes the connection.
fn serve(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(&response);
            let _ = stream.shutdown(Shutdown::Write);
            thread::spawn(move || drain(stream));
        }
    });
    address
}

fn drain(mut stream: TcpStream) {
    // The daemon may reset the connection.
    let _ = stream.read_to_end(&mut Vec::new());
}

/// Returns what the caller of a request gets that runs at most once.
fn relayed(response: Vec<u8>) -> String {
    let platform = TestPlatform::new();
    let mut targets = platform.hosts.state.list();
    targets[PLAIN].address = serve(response);
    platform.hosts.state.set(targets);
    let daemon = platform.start_daemon();
    exchange(daemon.address, &request("GET /services/registry/x", &[], ""))
}

fn response(status: &str, lines: &[u8], body: &str) -> Vec<u8> {
    let mut response = format!("HTTP/1.1 {status} OK\r\nx-service: registry\r\n").into_bytes();
    response.extend_from_slice(lines);
    response.extend_from_slice(b"\r\n");
    response.extend_from_slice(body.as_bytes());
    response
}

const LENGTH: &[u8] = b"content-length: 21\r\n";
/// Read as chunks, it is another body.
const CHUNKS: &str = "2\r\nno\r\n0\r\n\r\n";

fn check_refused(response: &str) {
    assert_eq!(status(response), 502, "{response}");
    assert!(!response.contains("x-service"), "{response}");
    assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
}

#[parameterized(
    length = { LENGTH, BODY, BODY },
    chunks = { b"transfer-encoding: chunked\r\n", CHUNKS, "no" },
    until_close = { b"connection: close\r\n", BODY, BODY },
)]
fn wellformed_response_is_relayed(lines: &[u8], body: &str, expected: &str) {
    let response = relayed(response("200", lines, body));
    assert_eq!(status(&response), 200, "{response}");
    assert!(response.ends_with(&format!("\r\n\r\n{expected}")), "{response}");
}

#[parameterized(
    zero = { "000" },
    below_interim = { "099" },
    beyond_server_errors = { "600" },
    two_digits = { "20" },
    switching_protocols = { "101" },
)]
fn status_that_does_not_exist_is_not_relayed(status: &str) {
    check_refused(&relayed(response(status, LENGTH, BODY)));
}

#[parameterized(
    plus = { b"content-length: +2\r\n" },
    blank_inside = { b"content-length: 2 1\r\n" },
    list = { b"content-length: 2, 21\r\n" },
    other_values = { b"content-length: 2\r\ncontent-length: 21\r\n" },
    beside_chunks = { b"content-length: 2\r\ntransfer-encoding: chunked\r\n" },
    other_coding = { b"transfer-encoding: chunkee\r\n" },
    other_coding_of_a_closed_connection = { b"transfer-encoding: chunkee\r\nconnection: close\r\n" },
    other_coding_again = { b"transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n" },
    two_codings = { b"transfer-encoding: gzip, chunked\r\n" },
    coding_that_is_no_text = { b"transfer-encoding: chunked\xff\r\n" },
    another_name_of_the_length = { b"content-lenght: 2\r\n" },
    another_name_of_the_coding = { b"transfer-encodinq: chunked\r\n" },
)]
fn response_whose_length_is_malformed_is_not_relayed(lines: &[u8]) {
    check_refused(&relayed(response("200", lines, CHUNKS)));
}

#[parameterized(
    no_colon = { b"x-other 7\r\n" },
    blank_in_the_name = { b"x other: 7\r\n" },
    blank_before_the_colon = { b"x-other : 7\r\n" },
    control_byte_in_the_name = { b"x-\x01other: 7\r\n" },
    control_byte_in_the_value = { b"x-other: 7\x018\r\n" },
    folded_line = { b"x-other: 7\r\n 8\r\n" },
)]
fn response_with_a_line_that_is_no_field_is_not_relayed(line: &[u8]) {
    check_refused(&relayed(response("200", &[LENGTH, line].concat(), BODY)));
}

#[test]
fn chunks_of_a_response_of_http_1_0_are_not_relayed() {
    let response = format!("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{CHUNKS}");
    assert_eq!(status(&relayed(response.into_bytes())), 502);
}
