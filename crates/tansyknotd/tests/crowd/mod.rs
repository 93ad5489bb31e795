//! Crowds of clients that do not behave, and what they cost a daemon's process.
#![allow(dead_code, reason = "each test file uses a part of this module")]

mod process;
pub(crate) mod random;

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Barrier, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

pub(crate) use process::{ProcessUse, ProcessWatch};
use rustix::net::sockopt;

/// The memory of the smallest host that a daemon must fit.
pub(crate) const HOST_BYTES: u64 = 120 << 20;
/// The longest body that the daemon's default limits allow.
pub(crate) const MAX_BODY_BYTES: usize = 4 << 20;
/// A client whose write makes no progress for this long has sent what it can.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of a connect, and how often a client tries. A daemon may accept a crowd slowly.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CONNECT_ATTEMPTS: usize = 10;
/// The pause between two bytes of a client that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// The kernel's receive buffer of a client that reads nothing.
const SMALL_BUFFER_BYTES: usize = 4 << 10;

/// Only one crowd runs at a time, so that memory and processor of the machine are its own.
pub(crate) fn run_alone() -> MutexGuard<'static, ()> {
    static CROWD: Mutex<()> = Mutex::new(());
    CROWD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a client does once it has sent its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Then {
    /// It sends nothing and keeps the connection open.
    Stays,
    /// It sends a byte from time to time.
    Trickles,
    /// It reads the response and sends nothing more.
    Reads,
    /// It reads nothing, and its system receives little for it.
    Ignores,
}

/// Clients that send the same bytes at once and then keep their connections open.
pub(crate) struct Crowd {
    ends: Arc<AtomicBool>,
    settled: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<Vec<u8>>>,
}

impl Crowd {
    /// Starts `count` clients of `address` that each send `bytes`, as far as the daemon takes them.
    pub(crate) fn start(count: usize, address: SocketAddr, bytes: Vec<u8>, then: Then) -> Self {
        Self::start_in_parts(count, address, [bytes, Vec::new()], then)
    }

    /// Starts clients that send the second part once each has sent the first one.
    pub(crate) fn start_in_parts(
        count: usize,
        address: SocketAddr,
        parts: [Vec<u8>; 2],
        then: Then,
    ) -> Self {
        let parts: [Arc<[u8]>; 2] = parts.map(Into::into);
        Self::start_clients(address, (0..count).map(|_| (parts.clone(), then)))
    }

    /// Starts clients that each send bytes of their own.
    pub(crate) fn start_random(address: SocketAddr, clients: Vec<random::RandomClient>) -> Self {
        let clients = clients.into_iter();
        let clients = clients.map(|client| (client.parts.map(Into::into), client.then));
        Self::start_clients(address, clients)
    }

    fn start_clients(
        address: SocketAddr,
        clients: impl ExactSizeIterator<Item = ([Arc<[u8]>; 2], Then)>,
    ) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let settled = Arc::new(AtomicUsize::new(0));
        let begun = Arc::new(Barrier::new(clients.len()));
        let clients = clients.map(|([first, second], then)| {
            let (ends, settled) = (Arc::clone(&ends), Arc::clone(&settled));
            let begun = Arc::clone(&begun);
            let client = move || {
                let connected = connect(address);
                let connected = connected.and_then(|stream| {
                    if then == Then::Ignores {
                        sockopt::set_socket_recv_buffer_size(&stream, SMALL_BUFFER_BYTES)?;
                    }
                    Ok(stream)
                });
                let stream = connected.and_then(|stream| send(&stream, &first).map(|()| stream));
                begun.wait();
                let stream = stream.and_then(|stream| send(&stream, &second).map(|()| stream));
                settled.fetch_add(1, Ordering::SeqCst);
                stream.map_or_else(|_| Vec::new(), |stream| stay(&stream, then, &ends))
            };
            let builder = thread::Builder::new().stack_size(64 << 10);
            builder.spawn(client).expect("a thread can be spawned")
        });
        let clients = clients.collect();
        Self { ends, settled, clients }
    }

    /// Waits until each client has sent its bytes, or can't.
    pub(crate) fn await_settled(&self) {
        while self.settled.load(Ordering::SeqCst) < self.clients.len() {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends the clients; returns what each has received.
    pub(crate) fn end(self) -> Vec<String> {
        self.ends.store(true, Ordering::SeqCst);
        let received = self.clients.into_iter().map(|c| c.join().expect("no client panics"));
        received.map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).collect()
    }
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let attempt = || TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    let mut attempts = (0..CONNECT_ATTEMPTS).map(|_| attempt());
    let is_last = |connected: &io::Result<TcpStream>| !matches!(connected, Err(e) if e.kind() == io::ErrorKind::TimedOut);
    attempts.find(is_last).unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Sends bytes until the connection takes no more for a while; a daemon that closed it is no error.
fn send(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let _ = stream.write_all(bytes);
    Ok(())
}

/// Keeps the connection open until the crowd ends; returns what was received.
fn stay(mut stream: &TcpStream, then: Then, ends: &AtomicBool) -> Vec<u8> {
    let mut received = Vec::new();
    let _ = stream.set_read_timeout(Some(TRICKLE_INTERVAL));
    while !ends.load(Ordering::SeqCst) {
        match then {
            Then::Stays | Then::Ignores => thread::sleep(TRICKLE_INTERVAL),
            Then::Trickles => {
                thread::sleep(TRICKLE_INTERVAL);
                // The daemon may have closed the connection.
                let _ = stream.write_all(b"x");
            }
            Then::Reads => {
                let _ = stream.read_to_end(&mut received);
                thread::sleep(TRICKLE_INTERVAL);
            }
        }
    }
    let _ = stream.read_to_end(&mut received);
    received
}

/// Returns a body of `length` bytes in chunks of `chunk` bytes, without its last chunk. Each chunk has
/// an extension of `extension` bytes, if that is not zero.
pub(crate) fn chunks(length: usize, chunk: usize, extension: usize) -> Vec<u8> {
    let mut body = Vec::with_capacity(length + length / chunk * (8 + extension));
    let mut left = length;
    while left > 0 {
        let n = chunk.min(left);
        body.extend_from_slice(format!("{n:x}").as_bytes());
        if extension > 0 {
            body.push(b';');
            body.resize(body.len() + extension - 1, b'e');
        }
        body.extend_from_slice(b"\r\n");
        body.resize(body.len() + n, b'b');
        body.extend_from_slice(b"\r\n");
        left -= n;
    }
    body
}
