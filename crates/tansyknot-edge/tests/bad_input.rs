//! Bad input gets a typed refusal, does not reach a target, and does not stop the daemon.

mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

use proptest::prelude::*;
use support::{KEY, TestPlatform, completion, default_options, exchange, request, status};
use tansyknot_core::refusal::Reason;
use tansyknot_edge::http::head;
use yare::parameterized;

const JSON: &str = r#"{"model":"permit"}"#;

fn with_head(lines: &str) -> Vec<u8> {
    format!("POST /v1/completions HTTP/1.1\r\n{lines}\r\n{JSON}").into_bytes()
}

#[parameterized(
    not_http = { b"hello there\r\n\r\n".to_vec(), Reason::BadRequest },
    binary = { vec![0, 159, 146, 150, 13, 10, 13, 10], Reason::BadRequest },
    no_key = { b"POST /v1/completions HTTP/1.1\r\ncontent-length: 2\r\n\r\n{}".to_vec(), Reason::UnknownCaller },
    wrong_key = { with_head("authorization: Bearer no\r\ncontent-length: 18\r\n"), Reason::UnknownCaller },
    basic_scheme = { with_head("authorization: Basic test-key\r\ncontent-length: 18\r\n"), Reason::UnknownCaller },
    two_keys = { with_head("authorization: Bearer a\r\nauthorization: Bearer test-key\r\n"), Reason::BadRequest },
    two_framings = { with_head("content-length: 18\r\ntransfer-encoding: chunked\r\n"), Reason::BadRequest },
    two_lengths = { with_head("content-length: 18\r\ncontent-length: 3\r\n"), Reason::BadRequest },
    signed_length = { with_head("content-length: +18\r\n"), Reason::BadRequest },
    other_coding = { with_head("transfer-encoding: gzip\r\n"), Reason::BadRequest },
    bad_chunk = { b"POST /v1/completions HTTP/1.1\r\nauthorization: Bearer test-key\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(), Reason::BadRequest },
    bad_chunk_without_a_key = { b"POST /v1/completions HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(), Reason::UnknownCaller },
    long_head = { with_head(&format!("x: {}\r\n", "y".repeat(5000))), Reason::HeadTooLarge },
    endless_head = { format!("GET /{}", "y".repeat(9000)).into_bytes(), Reason::HeadTooLarge },
    many_lines = { with_head(&"a: b\r\n".repeat(100)), Reason::HeadTooLarge },
    long_body = { with_head("content-length: 99999999\r\n"), Reason::BodyTooLarge },
    no_json = { request("POST /v1/completions", &[], "{\"model\":"), Reason::BadBody },
    no_model = { request("POST /v1/completions", &[], "{}"), Reason::BadBody },
    model_is_a_number = { request("POST /v1/completions", &[], r#"{"model":3}"#), Reason::BadBody },
    deep_json = { request("POST /v1/completions", &[], &"[".repeat(50_000)), Reason::BadBody },
    unknown_model = { completion("nobody", false, 1), Reason::UnknownService },
    plain_as_model = { completion("registry", false, 1), Reason::UnknownService },
    model_as_plain = { request("POST /services/permit/x", &[], ""), Reason::UnknownService },
    unknown_path = { request("GET /v2/nothing", &[], ""), Reason::UnknownRoute },
    no_service = { request("GET /services/", &[], ""), Reason::UnknownRoute },
    forbidden = { request("GET /services/secret/x", &[], ""), Reason::NotPermitted },
    bad_deadline = { request("GET /services/letters/x", &["x-deadline-ms: soon"], ""), Reason::BadRequest },
    empty_key = { request("POST /services/registry/x", &["idempotency-key: "], "x"), Reason::BadRequest },
)]
fn bad_request_is_refused_and_the_next_one_served(bytes: Vec<u8>, reason: Reason) {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &bytes);
    assert_eq!(status(&response), reason.status(), "{response}");
    assert!(response.contains(&format!("\"code\":\"{}\"", reason.code())), "{response}");
    assert!(response.contains("\"outcome\":\"not_run\""), "{response}");
    assert!(response.contains("application/problem+json"), "{response}");
    assert_eq!(platform.started(), 0);
    assert_eq!(status(&exchange(daemon.address, &completion("permit", false, 1))), 200);
}

#[test]
fn slow_sender_is_refused() {
    let platform = TestPlatform::new();
    let options = tansyknot_edge::http::server::ServerOptions {
        head_timeout: Duration::from_millis(20),
        body_timeout: Duration::from_millis(20),
        ..default_options()
    };
    let daemon = platform.start_daemon_with(&options);
    let response = exchange(daemon.address, b"POST /v1/completions HTTP/1.1\r\nhost");
    assert_eq!(status(&response), Reason::SlowSender.status(), "{response}");
}

#[test]
fn connection_over_the_limit_is_refused_until_others_are_closed() {
    let platform = TestPlatform::new();
    let options =
        tansyknot_edge::http::server::ServerOptions { max_connections: 2, ..default_options() };
    let daemon = platform.start_daemon_with(&options);
    let idle: Vec<TcpStream> = (0..2)
        .map(|_| TcpStream::connect(daemon.address).expect("the daemon is listening"))
        .collect();
    while daemon.lifecycle.connections() < 2 {
        std::thread::yield_now();
    }
    let response = exchange(daemon.address, &completion("permit", false, 1));
    assert_eq!(status(&response), Reason::TooManyConnections.status());
    assert!(response.contains("retry-after: 1"), "{response}");
    drop(idle);
    while daemon.lifecycle.connections() > 0 {
        std::thread::yield_now();
    }
    assert_eq!(status(&exchange(daemon.address, &completion("permit", false, 1))), 200);
}

#[test]
fn forged_headers_do_not_reach_the_target() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let forged = ["x-caller: somebody-else", "x-request-id: 1", "x-priority: 9"];
    let response = exchange(daemon.address, &request("POST /services/letters/x", &forged, "f"));
    assert!(response.contains("\"caller\":\"hauler\""), "{response}");
}

#[test]
fn caller_over_its_limit_is_told_when_to_come_back() {
    let platform = TestPlatform::new();
    platform.plain.faults.lock().expect("the lock is not poisoned").hold = true;
    let daemon = platform.start_daemon();
    let address = daemon.address;
    let call = |i: usize| request("POST /services/letters/x", &[], &format!("{i}"));
    let within: Vec<_> = (0..4)
        .map(|i| {
            let bytes = call(i);
            std::thread::spawn(move || exchange(address, &bytes))
        })
        .collect();
    while daemon.pools.in_flight() < 4 {
        std::thread::yield_now();
    }
    for i in 4..8 {
        let response = exchange(address, &call(i));
        assert_eq!(status(&response), 429, "{response}");
        assert!(
            response.contains("retry-after: ") && response.contains("\"not_run\""),
            "{response}"
        );
    }
    platform.plain.faults.lock().expect("the lock is not poisoned").hold = false;
    for thread in within {
        assert_eq!(status(&thread.join().expect("the thread does not panic")), 200);
    }
}

/// Guards against concurrent first requests of a service that see its pool before it has targets.
#[test]
fn concurrent_first_requests_for_a_ready_service_are_served() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let address = daemon.address;
    let threads: Vec<_> = (0..4)
        .map(|i| {
            let bytes = request("POST /services/letters/x", &[], &format!("{i}"));
            std::thread::spawn(move || exchange(address, &bytes))
        })
        .collect();
    for thread in threads {
        assert_eq!(status(&thread.join().expect("the thread does not panic")), 200);
    }
}

#[test]
fn continue_expectation_and_chunked_body_are_accepted() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    let mut stream = TcpStream::connect(daemon.address).expect("the daemon is listening");
    let head = format!(
        "POST /services/letters/x HTTP/1.1\r\nAuthorization: bearer {KEY}\r\n\
         Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the daemon is listening");
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).expect("the daemon responds");
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"5\r\nhello\r\n0\r\n\r\n").expect("the daemon is listening");
    let mut buf = [0; 4096];
    let n = stream.read(&mut buf).expect("the daemon responds");
    assert!(String::from_utf8_lossy(&buf[..n]).contains("200 OK"));
    assert_eq!(platform.plain.executions_of("hello"), 1);
    // The same connection serves the next request.
    stream.write_all(b"GET /healthz HTTP/1.1\r\n\r\n").expect("the daemon is listening");
    let n = stream.read(&mut buf).expect("the daemon responds");
    assert!(String::from_utf8_lossy(&buf[..n]).ends_with("ok\n"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_parse_or_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = head::parse(&bytes);
    }

    #[test]
    fn any_header_text_parses_or_is_refused(text in "[A-Za-z0-9:, \\r\\n/.\\-]{0,400}") {
        let _ = head::parse(format!("GET / HTTP/1.1\r\n{text}\r\n\r\n").as_bytes());
    }
}
