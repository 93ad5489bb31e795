//! A loopback proxy that delays, throttles, blocks or resets connections.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};

/// Maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 4096;

/// How a path forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PathState {
    /// Bytes are forwarded at once.
    Open,
    /// Each chunk is delayed by this time.
    Delayed(Duration),
    /// Responses are limited to this many bytes per second.
    Throttled(u32),
    /// Bytes are held in both directions.
    Blocked,
    /// Requests are forwarded, and responses are held.
    ResponsesHeld,
}

impl PathState {
    pub(crate) fn random(rng: &mut StdRng) -> Self {
        match rng.random_range(0..6) {
            0 => PathState::Delayed(Duration::from_millis(rng.random_range(5..300))),
            1 => PathState::Blocked,
            2 => PathState::ResponsesHeld,
            _ => PathState::Open,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

struct Shared {
    state: Mutex<PathState>,
    /// Connections that were opened in an older epoch are reset.
    epoch: AtomicU64,
    /// When chunks were released that the path had held.
    release_times: Mutex<Vec<Instant>>,
}

/// A proxied path to one address.
#[derive(Clone)]
pub(crate) struct Path {
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
}

impl Path {
    /// Opens a proxied path to `target`.
    pub(crate) fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let shared = Arc::new(Shared {
            state: Mutex::new(PathState::Open),
            epoch: AtomicU64::new(0),
            release_times: Mutex::default(),
        });
        let path = Self { address, shared: Arc::clone(&shared) };
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if let Ok(to) = TcpStream::connect(target) {
                    forward_both(&shared, from, to);
                }
            }
        });
        path
    }

    pub(crate) fn set(&self, state: PathState) {
        *self.shared.state.lock().expect("no holder of the lock panics") = state;
    }

    /// Returns when chunks were released that the path had held.
    pub(crate) fn release_times(&self) -> Vec<Instant> {
        self.shared.release_times.lock().expect("no holder of the lock panics").clone()
    }

    /// Resets every connection.
    pub(crate) fn reset_all(&self) {
        self.shared.epoch.fetch_add(1, Ordering::SeqCst);
    }
}

fn forward_both(shared: &Arc<Shared>, a: TcpStream, b: TcpStream) {
    let (Ok(a2), Ok(b2)) = (a.try_clone(), b.try_clone()) else { return };
    let (request_shared, response_shared) = (Arc::clone(shared), Arc::clone(shared));
    thread::spawn(move || forward(&request_shared, a, b, Direction::Request));
    thread::spawn(move || forward(&response_shared, b2, a2, Direction::Response));
}

/// Forwards one direction until either side closes or the path is reset.
fn forward(shared: &Shared, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
    let epoch = shared.epoch.load(Ordering::SeqCst);
    let is_reset = || shared.epoch.load(Ordering::SeqCst) != epoch;
    // With no bytes to read, the epoch is checked this often.
    let _ = from.set_read_timeout(Some(Duration::from_millis(50)));
    let mut buf = [0; CHUNK_BYTES];
    while !is_reset() {
        let n = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        let mut was_held = false;
        while apply_state(shared, direction, n) && !is_reset() {
            was_held = true;
            thread::sleep(Duration::from_millis(20));
        }
        if was_held {
            shared.release_times.lock().expect("no holder of the lock panics").push(Instant::now());
        }
        if is_reset() || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    // Either side may already be closed.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Applies the delay of the path to a chunk of `n` bytes; returns whether the chunk is held.
fn apply_state(shared: &Shared, direction: Direction, n: usize) -> bool {
    let state = *shared.state.lock().expect("no holder of the lock panics");
    match state {
        PathState::Open => false,
        PathState::Delayed(delay) => {
            thread::sleep(delay);
            false
        }
        PathState::Throttled(bytes_per_s) => {
            if direction == Direction::Response {
                thread::sleep(Duration::from_secs_f64(n as f64 / f64::from(bytes_per_s)));
            }
            false
        }
        PathState::Blocked => true,
        PathState::ResponsesHeld => direction == Direction::Response,
    }
}
