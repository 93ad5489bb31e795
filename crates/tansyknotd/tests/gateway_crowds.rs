//! Crowds of clients that do not behave, and targets whose responses have no end, before and behind a
//! daemon of the gateway as a process.
#![cfg(feature = "services")]

mod crowd;
mod support;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crowd::{
    Crowd, HOST_BYTES, MAX_BODY_BYTES, ProcessUse, ProcessWatch, Then, random::RandomClient,
};
use support::{DaemonProcess, KEY, Platform};
use tansyknot_core::host::Fencing;
use yare::parameterized;

/// Clients that each send a body of the largest size.
const LARGE_BODIES: usize = 48;
/// Clients that read nothing of a response of a plain service, and its length.
const SILENT_READERS: usize = 100;
const RESPONSE_BYTES: usize = 4 << 20;
/// The connections that the daemon of a crowd of connections accepts.
const MAX_CONNECTIONS: usize = 64;
/// Clients of that daemon.
const CONNECTIONS: usize = 160;
/// Descriptors that a daemon needs beside one for each connection.
const OTHER_DESCRIPTORS: usize = 64;
/// Attempts of an ordinary request, with pauses that add up to more than any time-out of a client.
const ATTEMPTS: usize = 600;

fn await_answer(daemon: &DaemonProcess) {
    let body = r#"{"model":"permit","stream":true,"max_tokens":4}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    for _ in 0..ATTEMPTS {
        let mut response = Vec::new();
        let exchange = TcpStream::connect(daemon.callers).and_then(|mut stream| {
            stream.write_all(request.as_bytes())?;
            stream.read_to_end(&mut response)
        });
        if exchange.is_ok() && support::is_complete(&String::from_utf8_lossy(&response)) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("no ordinary request was answered");
}

fn outlast(daemon: &mut DaemonProcess, crowd: Crowd, targets: Vec<SocketAddr>) -> ProcessUse {
    let watch = ProcessWatch::start_with_targets(daemon.pid(), daemon.callers, targets);
    crowd.await_settled();
    await_answer(daemon);
    crowd.end();
    await_answer(daemon);
    let most = watch.stop();
    assert!(daemon.is_running(), "the process has ended");
    println!("{most:?}");
    most
}

#[test]
fn gateway_crowd_of_bodies_that_stop_before_their_end() {
    let _alone = crowd::run_alone();
    let platform = Platform::new(Fencing::Checked);
    let mut daemon = platform.daemon("crowd-bodies");
    let mut bytes = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {MAX_BODY_BYTES}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + MAX_BODY_BYTES - 1, b' ');
    let crowd = Crowd::start(LARGE_BODIES, daemon.callers, bytes, Then::Stays);
    let most = outlast(&mut daemon, crowd, Vec::new());
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

#[test]
fn gateway_crowd_of_silent_connections() {
    let _alone = crowd::run_alone();
    let platform = Platform::new(Fencing::Checked);
    let settings = format!("limits: {{connections: {MAX_CONNECTIONS}}}\n");
    let mut daemon = platform.daemon_with("crowd-silent", &settings);
    let crowd = Crowd::start(CONNECTIONS, daemon.callers, Vec::new(), Then::Stays);
    let most = outlast(&mut daemon, crowd, Vec::new());
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
    assert!(most.descriptors <= MAX_CONNECTIONS + OTHER_DESCRIPTORS, "{most:?}");
}

/// Answers each request with a body of [`RESPONSE_BYTES`].
fn start_plain_target() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut head = [0; 4096];
                let _ = stream.read(&mut head);
                let mut response =
                    format!("HTTP/1.1 200 OK\r\ncontent-length: {RESPONSE_BYTES}\r\n\r\n")
                        .into_bytes();
                response.resize(response.len() + RESPONSE_BYTES, b'r');
                // The daemon may have given the response up.
                let _ = stream.write_all(&response);
            });
        }
    });
    address
}

fn keyed_request(n: usize) -> Vec<u8> {
    format!(
        "POST /services/registry/x HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n\
         idempotency-key: crowd-{n}\r\ncontent-length: 0\r\n\r\n"
    )
    .into_bytes()
}

#[test]
fn gateway_crowd_of_clients_that_read_no_response() {
    let _alone = crowd::run_alone();
    let platform = Platform::new(Fencing::Checked);
    let target = start_plain_target();
    platform.move_plain(target);
    let mut daemon = platform.daemon("crowd-readers");
    let client = |n| RandomClient { parts: [keyed_request(n), Vec::new()], then: Then::Ignores };
    let clients = (0..SILENT_READERS).map(client).collect();
    let crowd = Crowd::start_random(daemon.callers, clients);
    let most = outlast(&mut daemon, crowd, vec![target]);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

/// Clients whose responses have no end.
const CLIENTS_OF_ENDLESS_RESPONSES: usize = 64;
/// Engines whose responses have no end, beside two that are sound.
const ENDLESS_ENGINES: usize = 6;

/// Answers each request with `begin`, and `repeated` after it until its connection is closed.
fn start_endless_target(begin: &'static str, repeated: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let repeated: Arc<str> = repeated.repeat((16 << 10) / repeated.len()).into();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let repeated = Arc::clone(&repeated);
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let mut sent = stream.write_all(begin.as_bytes());
                while sent.is_ok() {
                    sent = stream.write_all(repeated.as_bytes());
                }
            });
        }
    });
    address
}

#[parameterized(
    status_line = { "HTTP/1.1 200 ", "OK" },
    no_response = { "", "bytes" },
    header_line = { "HTTP/1.1 200 OK\r\nx-a: ", "b" },
    header_lines = { "HTTP/1.1 200 OK\r\n", "x-a: b\r\n" },
    interim_responses = { "", "HTTP/1.1 102 Processing\r\n\r\n" },
    chunk_size = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1" },
    chunk_extension = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;a=", "b" },
    trailers = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-a: b\r\n" },
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nbody\r\n" },
    until_close = { "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "body" },
    event = { "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/event-stream\r\n\r\ndata: ",
              "token" },
)]
fn gateway_of_responses_without_end(begin: &'static str, repeated: &'static str) {
    let _alone = crowd::run_alone();
    let platform = Platform::new(Fencing::Checked);
    let target = start_endless_target(begin, repeated);
    platform.move_plain(target);
    let mut daemon = platform.daemon("endless");
    let client = |n| RandomClient { parts: [keyed_request(n), Vec::new()], then: Then::Reads };
    let clients = (0..CLIENTS_OF_ENDLESS_RESPONSES).map(client).collect();
    let crowd = Crowd::start_random(daemon.callers, clients);
    let most = outlast(&mut daemon, crowd, vec![target]);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

#[parameterized(
    until_close = { "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", " " },
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\n    \r\n" },
)]
fn gateway_of_engines_whose_responses_to_orders_have_no_end(
    begin: &'static str,
    repeated: &'static str,
) {
    let _alone = crowd::run_alone();
    let platform = Platform::new(Fencing::Checked);
    platform.add_engines((0..ENDLESS_ENGINES).map(|_| start_endless_target(begin, repeated)));
    let mut daemon = platform.daemon("endless-engines");
    let crowd = Crowd::start(1, daemon.callers, Vec::new(), Then::Stays);
    let most = outlast(&mut daemon, crowd, Vec::new());
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}
