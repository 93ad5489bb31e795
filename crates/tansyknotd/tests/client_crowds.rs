//! Crowds of clients that do not behave, before a daemon that serves a fleet as a process.
//!
//! The process must live, stay within the memory of the smallest host and a bound on descriptors, and
//! answer an ordinary request while the crowd is there and after it has gone.
#![cfg(feature = "services")]

mod crowd;
mod launch;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use crowd::{Crowd, HOST_BYTES, MAX_BODY_BYTES, ProcessUse, ProcessWatch, Then};
use launch::Daemon;
use rand::{SeedableRng, rngs::StdRng};
use tansyknot_adapter_standins::{
    caller::Request,
    operator::{Configuration, HOST},
    runner::Runner,
    store::Store,
};
use yare::parameterized;

/// Clients that each send a body of the largest size.
const LARGE_BODIES: usize = 48;
/// Clients that each send a body of a medium size.
const MEDIUM_BODIES: usize = 640;
const MEDIUM_BODY_BYTES: usize = 256 << 10;
/// Clients whose requests, and the bytes behind them, wait for a target.
const WAITING_REQUESTS: usize = 900;
/// Clients that each send something else.
const RANDOM_CLIENTS: usize = 100;
/// The body that is sent in tiny chunks.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// The connections that the daemon of a crowd of connections accepts.
const MAX_CONNECTIONS: usize = 64;
/// Clients of that daemon.
const CONNECTIONS: usize = 160;
/// Descriptors that a daemon needs beside one for each connection.
const OTHER_DESCRIPTORS: usize = 64;
/// The descriptors of a daemon that has fewer than its limit of connections.
const DESCRIPTORS: u32 = 256;
/// Clients of that daemon.
const SILENT_CONNECTIONS: usize = 400;
/// An ordinary caller that has waited for this long sends its request again.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Targets that hold the large bodies of a crowd; each gets 16 requests of a plain service at most.
const SLOW_TARGETS: usize = 3;
/// Clients that read nothing of their responses, and targets with a place for each of them.
const SILENT_READERS: usize = 900;
const STREAMING_TARGETS: usize = 40;
/// The lengths of their events: less and more than what each response may hold by itself.
const EVENT_BYTES: [usize; 2] = [56 << 10, 1 << 20];
/// The longest head that the daemon of a crowd of long heads accepts.
const LONG_HEAD_BYTES: usize = 1 << 20;
/// Clients of that daemon.
const LONG_HEADS: usize = 300;

/// A daemon in front of a target with a model, and a plain target.
struct World {
    store: Store,
    plain: Runner,
    daemon: Daemon,
}

impl World {
    fn start(name: &str, more_settings: &str) -> Self {
        Self::start_by(|store| Daemon::start_with(name, store, more_settings))
    }

    fn start_by(start_daemon: impl Fn(SocketAddr) -> Daemon) -> Self {
        let store = Store::new();
        write_configuration(&store);
        Runner::start(&store, "models", "i-model", &["m0"]);
        let plain = Runner::start(&store, "plain", "i-plain", &[]);
        let daemon = start_daemon(store.open_endpoint().address);
        Self { store, plain, daemon }
    }

    /// Starts a daemon that accepts few connections.
    fn with_few_connections(name: &str) -> Self {
        Self::start(name, &format!("limits:\n  connections: {MAX_CONNECTIONS}\n"))
    }

    fn watch(&self) -> ProcessWatch {
        ProcessWatch::start(self.daemon.child.id(), self.daemon.callers)
    }

    /// Waits until the daemon lists so many targets.
    fn await_targets(&self, count: usize) {
        let line = format!("tansyknot_targets{{of=\"daemon\"}} {count}\n");
        launch::wait_until(|| launch::metrics_page(self.daemon.metrics).contains(&line));
    }

    /// Sends an ordinary request until it is answered.
    fn await_answer(&self) {
        let request = Request::new("/query/", "id-ordinary", Some("m0"), 5_000).text();
        let request = request.replace("Content-Length", "Connection: close\r\nContent-Length");
        launch::wait_until(|| {
            let response = try_send(self.daemon.callers, &request);
            response.starts_with("HTTP/1.1 200") && response.ends_with("0\r\n\r\n")
        });
    }

    /// Checks that an ordinary request is answered beside the crowd and after it; returns what the
    /// daemon has held, and what the clients received.
    fn outlast(&mut self, crowd: Crowd, watch: ProcessWatch) -> (ProcessUse, Vec<String>) {
        crowd.await_settled();
        self.await_answer();
        let received = crowd.end();
        self.await_answer();
        let most = watch.stop();
        let exit = self.daemon.child.try_wait().expect("the daemon is a child of this process");
        assert_eq!(exit, None, "the process has ended");
        println!("{most:?}");
        (most, received)
    }

    /// Does the same for clients that send no whole request, and checks that none was run.
    fn outlast_parts(&mut self, crowd: Crowd, watch: ProcessWatch) -> ProcessUse {
        let (most, received) = self.outlast(crowd, watch);
        let answer = received.iter().find(|response| response.contains("HTTP/1.1 200"));
        assert_eq!(answer, None, "a part of a request was run");
        assert!(self.plain.executed_requests().is_empty(), "a part of a request was run");
        most
    }
}

fn configuration() -> Configuration {
    Configuration { timeout_ms: 30_000, ..Configuration::single_model(1) }
}

/// Writes a configuration that allows bodies of [`MAX_BODY_BYTES`] and long requests.
fn write_configuration(store: &Store) {
    let mut document = configuration().document();
    document["limits"]["max-body-bytes"] = MAX_BODY_BYTES.into();
    document["limits"]["header-timeout-ms"] = 10_000.into();
    store.put("op", "config", &document);
}

/// Sends a request; returns what was received, which is empty if the connection failed.
fn try_send(address: SocketAddr, text: &str) -> String {
    let connected = TcpStream::connect_timeout(&address, CALLER_TIMEOUT);
    let Ok(mut stream) = connected else { return String::new() };
    let mut response = Vec::new();
    let _ = stream.set_read_timeout(Some(CALLER_TIMEOUT));
    // A reset also ends the response.
    let _ = stream.write_all(text.as_bytes()).and_then(|()| stream.read_to_end(&mut response));
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the head of a request whose body is framed by `framing`, a header line.
fn head(framing: &str) -> Vec<u8> {
    let lines = "Attempt-Id: id-crowd\r\nDeadline-Ms: 60000";
    format!("POST /lookup/ HTTP/1.1\r\nHost: {HOST}\r\n{lines}\r\n{framing}\r\n\r\n").into_bytes()
}

fn request_with_length(length: usize, body: &[u8]) -> Vec<u8> {
    let mut bytes = head(&format!("Content-Length: {length}"));
    bytes.extend_from_slice(body);
    bytes
}

fn chunked_request(length: usize, chunk: usize, extension: usize) -> Vec<u8> {
    let mut bytes = head("Transfer-Encoding: chunked");
    bytes.extend_from_slice(&crowd::chunks(length, chunk, extension));
    bytes
}

/// A body whose last byte is missing, with its length.
fn short_of_its_length() -> Vec<u8> {
    request_with_length(MAX_BODY_BYTES, &vec![b'b'; MAX_BODY_BYTES - 1])
}

/// A body in one chunk whose last byte is missing.
fn short_of_its_chunk() -> Vec<u8> {
    let mut bytes = head("Transfer-Encoding: chunked");
    bytes.extend_from_slice(format!("{MAX_BODY_BYTES:x}\r\n").as_bytes());
    bytes.resize(bytes.len() + MAX_BODY_BYTES - 1, b'b');
    bytes
}

/// A body in chunks of 64 KiB, without its last chunk.
fn short_of_its_last_chunk() -> Vec<u8> {
    chunked_request(MAX_BODY_BYTES, 64 << 10, 0)
}

#[parameterized(
    with_a_length = { short_of_its_length() },
    in_one_chunk = { short_of_its_chunk() },
    in_chunks = { short_of_its_last_chunk() },
)]
fn crowd_of_bodies_that_stop_before_their_end(bytes: Vec<u8>) {
    let _alone = crowd::run_alone();
    let mut world = World::start("crowd-short", "");
    let watch = world.watch();
    let crowd = Crowd::start(LARGE_BODIES, world.daemon.callers, bytes, Then::Stays);
    let most = world.outlast_parts(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

#[parameterized(
    plain = { 0 },
    with_extensions = { 32 },
)]
fn crowd_of_bodies_in_chunks_of_a_byte(extension: usize) {
    let _alone = crowd::run_alone();
    let mut world = World::start("crowd-tiny", "");
    let watch = world.watch();
    let bytes = chunked_request(SMALL_BODY_BYTES, 1, extension);
    let crowd = Crowd::start(LARGE_BODIES, world.daemon.callers, bytes, Then::Stays);
    let most = world.outlast_parts(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

/// Bodies up to the limit, each of which goes on beyond it once all are there.
#[test]
fn crowd_of_bodies_that_go_on_beyond_the_limit() {
    let _alone = crowd::run_alone();
    let mut world = World::start("crowd-beyond", "");
    let watch = world.watch();
    let parts = [short_of_its_last_chunk(), crowd::chunks(MAX_BODY_BYTES, 64 << 10, 0)];
    let callers = world.daemon.callers;
    let crowd = Crowd::start_in_parts(LARGE_BODIES, callers, parts, Then::Reads);
    let most = world.outlast_parts(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

#[parameterized(
    at_once = { "" },
    after_an_interim_response = { "\r\nExpect: 100-continue" },
)]
fn crowd_of_lengths_beyond_the_limit(expect: &str) {
    let _alone = crowd::run_alone();
    let mut world = World::start("crowd-lengths", "");
    let watch = world.watch();
    let mut bytes = head(&format!("Content-Length: {}{expect}", 1_u64 << 40));
    bytes.resize(bytes.len() + MAX_BODY_BYTES, b'b');
    let crowd = Crowd::start(LARGE_BODIES, world.daemon.callers, bytes, Then::Reads);
    let most = world.outlast_parts(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

#[test]
fn crowd_of_medium_bodies_that_trickle() {
    let _alone = crowd::run_alone();
    let mut world = World::start("crowd-trickle", "");
    let watch = world.watch();
    let bytes = request_with_length(MAX_BODY_BYTES, &vec![b'b'; MEDIUM_BODY_BYTES]);
    let crowd = Crowd::start(MEDIUM_BODIES, world.daemon.callers, bytes, Then::Trickles);
    let most = world.outlast_parts(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

/// Accepts connections and reads nothing from them.
fn start_target_that_reads_nothing() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    std::thread::spawn(move || {
        let accepted: Vec<TcpStream> = listener.incoming().map_while(Result::ok).collect();
        drop(accepted);
    });
    address
}

/// Whole bodies at targets that do not read them, and bytes that follow them on the connection.
#[parameterized(
    alone = { 0 },
    with_bytes_behind = { MAX_BODY_BYTES },
)]
fn crowd_of_bodies_at_targets_that_read_nothing(bytes_behind: usize) {
    let _alone = crowd::run_alone();
    let mut world = World::start("crowd-targets", "");
    for n in 0..SLOW_TARGETS {
        let runner = Runner::start(&world.store, "plain", &format!("i-slow-{n}"), &[]);
        runner.publish_address(start_target_that_reads_nothing());
    }
    world.plain.publish_address(start_target_that_reads_nothing());
    let watch = world.watch();
    let mut bytes = request_with_length(MAX_BODY_BYTES, &vec![b'b'; MAX_BODY_BYTES]);
    bytes.resize(bytes.len() + bytes_behind, b'b');
    let crowd = Crowd::start(LARGE_BODIES, world.daemon.callers, bytes, Then::Stays);
    let (most, _) = world.outlast(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

/// Bytes that follow requests, which the daemon does not read while these wait for a target.
#[test]
fn crowd_of_bytes_behind_requests() {
    let _alone = crowd::run_alone();
    let mut world = World::start("crowd-behind", "");
    world.plain.publish_address(start_target_that_reads_nothing());
    let watch = world.watch();
    let mut bytes = request_with_length(MEDIUM_BODY_BYTES, &vec![b'b'; MEDIUM_BODY_BYTES]);
    bytes.resize(bytes.len() + MEDIUM_BODY_BYTES, b'b');
    let crowd = Crowd::start(WAITING_REQUESTS, world.daemon.callers, bytes, Then::Stays);
    let (most, _) = world.outlast(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

/// Answers each request with events until the connection is closed.
fn start_streaming_target(event_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || stream_events(stream, event_bytes));
        }
    });
    address
}

fn stream_events(mut stream: TcpStream, event_bytes: usize) {
    let mut head = [0; 4096];
    if stream.read(&mut head).is_err() {
        return;
    }
    let lines = "Attempt-Id: id-crowd\r\nServer-Seal: i-streaming";
    let head = format!("HTTP/1.1 200 OK\r\n{lines}\r\nContent-Type: text/event-stream\r\n\r\n");
    let event = format!("data: {}\n\n", "e".repeat(event_bytes));
    // The daemon closes the connection once its caller is known not to read.
    let mut sent = stream.write_all(head.as_bytes());
    while sent.is_ok() {
        sent = stream.write_all(event.as_bytes());
    }
}

/// Clients that read nothing of responses that targets send without a pause.
#[parameterized(
    on_the_smallest_host = { HOST_BYTES },
    on_half_of_it = { HOST_BYTES / 2 },
)]
fn crowd_of_clients_that_read_no_response(host_bytes: u64) {
    let _alone = crowd::run_alone();
    let settings = format!("limits:\n  memory: {host_bytes}B\n");
    let mut world = World::start("crowd-readers", &settings);
    let targets: Vec<SocketAddr> = (0..STREAMING_TARGETS)
        .map(|n| start_streaming_target(EVENT_BYTES[n % EVENT_BYTES.len()]))
        .collect();
    for (n, target) in targets.iter().enumerate() {
        let runner = Runner::start(&world.store, "plain", &format!("i-streaming-{n}"), &[]);
        runner.publish_address(*target);
    }
    world.await_targets(2 + STREAMING_TARGETS);
    let (pid, callers) = (world.daemon.child.id(), world.daemon.callers);
    let watch = ProcessWatch::start_with_targets(pid, callers, targets);
    let bytes = request_with_length(0, b"");
    let crowd = Crowd::start(SILENT_READERS, callers, bytes, Then::Ignores);
    let (most, _) = world.outlast(crowd, watch);
    assert!(most.bytes <= host_bytes, "{most:?}");
}

/// Heads that stop just short of a limit that operators have raised.
#[test]
fn crowd_of_long_heads() {
    let _alone = crowd::run_alone();
    let settings = format!("limits:\n  head: {LONG_HEAD_BYTES}B\n");
    let mut world = World::start("crowd-heads", &settings);
    let mut document = configuration().document();
    document["limits"]["max-header-bytes"] = LONG_HEAD_BYTES.into();
    document["version"] = 2.into();
    world.store.put("op", "config", &document);
    let watch = world.watch();
    let bytes = format!("GET /lookup/ HTTP/1.1\r\nX: {}", "a".repeat(LONG_HEAD_BYTES - 100));
    let crowd = Crowd::start(LONG_HEADS, world.daemon.callers, bytes.into(), Then::Stays);
    let most = world.outlast_parts(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
}

#[parameterized(
    silent = { Vec::new(), Then::Stays },
    endless_head = { format!("GET /lookup/ HTTP/1.1\r\nX: {}", "a".repeat(8 << 10)).into(), Then::Trickles },
    endless_lines = { format!("GET /lookup/ HTTP/1.1\r\n{}", "X: a\r\n".repeat(32)).into(), Then::Stays },
)]
fn crowd_of_connections_without_a_request(bytes: Vec<u8>, then: Then) {
    let _alone = crowd::run_alone();
    let mut world = World::with_few_connections("crowd-silent");
    let watch = world.watch();
    let crowd = Crowd::start(CONNECTIONS, world.daemon.callers, bytes, then);
    let most = world.outlast_parts(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
    assert!(most.descriptors <= MAX_CONNECTIONS + OTHER_DESCRIPTORS, "{most:?}");
}

/// Without a descriptor, the daemon would reach neither targets nor the store.
#[test]
fn crowd_of_silent_connections_beyond_the_descriptors() {
    let _alone = crowd::run_alone();
    let start = |store| Daemon::start_with_descriptors("crowd-fds", store, DESCRIPTORS);
    let mut world = World::start_by(start);
    let watch = world.watch();
    let crowd = Crowd::start(SILENT_CONNECTIONS, world.daemon.callers, Vec::new(), Then::Stays);
    let most = world.outlast_parts(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
    assert!(most.descriptors < DESCRIPTORS as usize, "{most:?}");
}

/// The readiness page must not become unreachable: the host would be taken for one that has failed.
#[test]
fn crowd_of_silent_connections_at_the_readiness_page() {
    let _alone = crowd::run_alone();
    let mut world = World::start("crowd-page", "");
    let watch = world.watch();
    let crowd = Crowd::start(CONNECTIONS, world.daemon.ready, Vec::new(), Then::Stays);
    crowd.await_settled();
    launch::wait_until(|| {
        let response = try_send(world.daemon.ready, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
        response.starts_with("HTTP/1.1 200")
    });
    let most = world.outlast_parts(crowd, watch);
    assert!(most.bytes <= HOST_BYTES, "{most:?}");
    assert!(most.descriptors <= CONNECTIONS + OTHER_DESCRIPTORS, "{most:?}");
}

/// Clients that each send something else, at a daemon in front of sound targets and of some that read
/// nothing. `CROWD_SEEDS` selects the seeds.
#[test]
fn crowd_of_random_clients() {
    let _alone = crowd::run_alone();
    for seed in crowd::random::seeds() {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut world = World::start(&format!("crowd-random-{seed}"), "");
        let runner = Runner::start(&world.store, "plain", "i-slow", &[]);
        runner.publish_address(start_target_that_reads_nothing());
        let watch = world.watch();
        let clients = (0..RANDOM_CLIENTS)
            .map(|_| crowd::random::client(&mut rng, HOST, "/lookup/"))
            .collect();
        let crowd = Crowd::start_random(world.daemon.callers, clients);
        let (most, _) = world.outlast(crowd, watch);
        assert!(most.bytes <= HOST_BYTES, "seed {seed}: {most:?}");
        let bound = 2 * RANDOM_CLIENTS + OTHER_DESCRIPTORS;
        assert!(most.descriptors <= bound, "seed {seed}: {most:?}");
    }
}

#[parameterized(
    with_a_length = { request_with_length(MAX_BODY_BYTES, &vec![b'b'; MAX_BODY_BYTES]) },
    in_chunks = { [chunked_request(MAX_BODY_BYTES, 64 << 10, 0), b"0\r\n\r\n".to_vec()].concat() },
    in_tiny_chunks = { [chunked_request(MAX_BODY_BYTES, 16, 8), b"0\r\n\r\n".to_vec()].concat() },
)]
fn largest_body_alone_is_served(bytes: Vec<u8>) {
    let _alone = crowd::run_alone();
    let world = World::start("calm", "");
    let watch = world.watch();
    let crowd = Crowd::start(1, world.daemon.callers, bytes, Then::Reads);
    launch::wait_until(|| world.plain.executed_requests().len() == 1);
    let received = crowd.end();
    println!("{:?}", watch.stop());
    assert!(received[0].starts_with("HTTP/1.1 200"), "{}", received[0]);
    assert_eq!(world.plain.executed_requests()[0].body.len(), MAX_BODY_BYTES);
}
