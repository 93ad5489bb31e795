//! Streamed responses of a process that has no file descriptor left.

use std::{
    fs::File,
    io::Read,
    net::{TcpListener, TcpStream},
    sync::Arc,
};

use rustix::process::{self, Resource, Rlimit};
use tansyknot_http::respond::{self, ConnectionAction};

/// Opens files until no descriptor is left.
fn use_up_descriptors() -> Vec<File> {
    let limit = Rlimit { current: Some(64), ..process::getrlimit(Resource::Nofile) };
    process::setrlimit(Resource::Nofile, limit).expect("the limit can be lowered");
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

#[test]
fn stream_without_descriptors_ends_as_complete() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    for free in 0..3 {
        let mut caller = TcpStream::connect(address).expect("the daemon listens");
        let (accepted, _) = listener.accept().expect("the caller connects");
        let accepted = Arc::new(accepted);
        let mut files = use_up_descriptors();
        files.truncate(files.len() - free);
        let after = ConnectionAction::Close;
        let begun = respond::start_stream(&accepted, 200, "text/event-stream", &[], true, after);
        let has_begun = begun.is_ok();
        drop((begun, files, accepted));
        let mut received = String::new();
        caller.read_to_string(&mut received).expect("the connection is closed");
        assert_eq!(received.is_empty(), !has_begun, "{free} free: {received}");
        assert!(!received.ends_with("0\r\n\r\n"), "{free} free: {received}");
    }
}
