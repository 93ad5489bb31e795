//! Requests to targets that read them slowly.

use std::{
    io::Read,
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use tansyknot_core::clock::BootInstant;
use tansyknot_fleet::{
    connection::TargetStream,
    exchange::{Exchange, Failure, Requester},
};

/// More than the kernel's buffers of a connection hold.
const REQUEST_BYTES: usize = 16 << 20;
/// The time in which the target could read a small part of the request.
const TIME_LEFT: Duration = Duration::from_millis(300);

/// Returns a connection to a target that reads 160 KB a second.
fn connect_to_slow_target() -> TargetStream {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the test connects");
        let mut buf = [0; 8 << 10];
        while stream.read(&mut buf).is_ok_and(|n| n > 0) {
            thread::sleep(Duration::from_millis(50));
        }
    });
    TargetStream::direct(TcpStream::connect(address).expect("the target listens"))
}

fn send(time_left: Duration, caller: Option<&TcpStream>) -> Result<(), Failure> {
    let request = vec![b'.'; REQUEST_BYTES];
    let deadline = BootInstant::now() + time_left;
    let requester = Requester { caller, lifecycle: None };
    Exchange::open(connect_to_slow_target(), &[&request], requester, deadline, &|| true).map(drop)
}

#[test]
fn long_request_is_sent_beyond_its_deadline_as_its_target_reads_a_little() {
    assert_eq!(send(TIME_LEFT, None), Err(Failure::TimedOut));
}

#[test]
fn long_request_is_sent_on_after_its_caller_has_left() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let caller = TcpStream::connect(address).expect("the daemon listens");
    let (accepted, _) = listener.accept().expect("the caller connects");
    thread::spawn(move || {
        thread::sleep(TIME_LEFT);
        drop(caller);
    });
    assert_eq!(send(Duration::from_secs(10), Some(&accepted)), Err(Failure::CallerLeft));
}
