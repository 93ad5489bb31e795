//! Crowds of clients that do not behave, before a daemon of the gateway as a process.
#![cfg(feature = "services")]

mod crowd;
mod support;

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use crowd::{Crowd, HOST_BYTES, MAX_BODY_BYTES, ProcessUse, ProcessWatch, Then};
use support::{DaemonProcess, KEY, Platform};
use tansyknot_core::host::Fencing;

/// Clients that each send a body of the largest size.
const LARGE_BODIES: usize = 48;
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

fn outlast(daemon: &mut DaemonProcess, crowd: Crowd) -> ProcessUse {
    let watch = ProcessWatch::start(daemon.pid(), daemon.callers);
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
    let most = outlast(&mut daemon, crowd);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

#[test]
fn gateway_crowd_of_silent_connections() {
    let _alone = crowd::run_alone();
    let platform = Platform::new(Fencing::Checked);
    let settings = format!("limits: {{connections: {MAX_CONNECTIONS}}}\n");
    let mut daemon = platform.daemon_with("crowd-silent", &settings);
    let crowd = Crowd::start(CONNECTIONS, daemon.callers, Vec::new(), Then::Stays);
    let most = outlast(&mut daemon, crowd);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
    assert!(most.descriptors <= MAX_CONNECTIONS + OTHER_DESCRIPTORS, "{most:?}");
}
