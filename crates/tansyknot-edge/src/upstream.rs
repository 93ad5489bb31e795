//! Connections to targets that track whether a byte may have been sent, and that other threads can
//! close.

use std::{
    cell::RefCell,
    io::{self, Read, Write},
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rustix::net::sockopt;
use ureq::{
    Error, Timeout,
    unversioned::{
        resolver::DefaultResolver,
        transport::{Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport},
    },
};

/// Size of a connection's input buffer, far larger than the event of a token.
const INPUT_BUFFER_BYTES: usize = 16 << 10;
/// Size of a connection's output buffer.
const OUTPUT_BUFFER_BYTES: usize = 8 << 10;
/// The size of the kernel's buffer for bytes that the daemon has not read from a target; Linux uses
/// twice as much.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Timeout for opening a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of idle connections to each target.
const MAX_IDLE_PER_TARGET: usize = 64;
/// Maximum number of idle connections to all targets.
const MAX_IDLE_CONNECTIONS: usize = 1024;
/// Idle connections older than this are not reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(20);

/// A connection and the attempt that used it last.
#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    owner: Mutex<u64>,
}

/// A handle of an attempt, which tracks whether bytes may have been sent, and by which another thread
/// can abort the attempt.
#[derive(Debug)]
pub struct AttemptHandle {
    id: u64,
    sent: AtomicBool,
    aborted: AtomicBool,
    connection: Mutex<Option<Arc<Connection>>>,
}

impl AttemptHandle {
    /// Creates the handle of a new attempt.
    pub fn new() -> Self {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1);
        Self {
            id: NEXT_ID.fetch_add(1, Ordering::Relaxed),
            sent: AtomicBool::new(false),
            aborted: AtomicBool::new(false),
            connection: Mutex::new(None),
        }
    }

    /// Returns whether any byte may have been sent to the target.
    pub fn may_have_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }

    /// Returns whether the attempt was aborted.
    pub fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::SeqCst)
    }

    /// Aborts the attempt: closes its connection, after which nothing more is sent.
    ///
    /// A connection that another attempt has taken from the pool in the meantime is not closed.
    pub fn abort(&self) {
        self.aborted.store(true, Ordering::SeqCst);
        let connection = self.connection.lock().expect("the lock is not poisoned");
        let Some(connection) = connection.as_ref() else { return };
        let owner = connection.owner.lock().expect("the lock is not poisoned");
        if *owner == self.id {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Records that bytes are about to be sent over `connection`. Returns `false` if the attempt was
    /// aborted.
    fn begin_send(&self, connection: &Arc<Connection>) -> bool {
        let mut current = self.connection.lock().expect("the lock is not poisoned");
        if self.is_aborted() {
            return false;
        }
        *connection.owner.lock().expect("the lock is not poisoned") = self.id;
        *current = Some(Arc::clone(connection));
        self.sent.store(true, Ordering::SeqCst);
        true
    }
}

impl Default for AttemptHandle {
    fn default() -> Self {
        Self::new()
    }
}

thread_local! {
    static CURRENT_HANDLE: RefCell<Option<Arc<AttemptHandle>>> = const { RefCell::new(None) };
}

/// Runs `f` while `handle` tracks every byte that this thread sends to targets.
pub fn with_handle<T>(handle: &Arc<AttemptHandle>, f: impl FnOnce() -> T) -> T {
    CURRENT_HANDLE.with(|c| *c.borrow_mut() = Some(Arc::clone(handle)));
    let result = f();
    CURRENT_HANDLE.with(|c| *c.borrow_mut() = None);
    result
}

/// Whether connections to targets are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Idle connections are kept for reuse.
    Pooled,
    /// Each request has its own connection. On a reused one, bytes may be sent to a target that has
    /// just closed it; the request then counts as possibly run although the target never received
    /// it.
    Fresh,
}

/// Creates the HTTP agent for requests to targets.
pub fn agent(reuse: ConnectionReuse) -> ureq::Agent {
    let (idle, idle_per_target) = match reuse {
        ConnectionReuse::Pooled => (MAX_IDLE_CONNECTIONS, MAX_IDLE_PER_TARGET),
        ConnectionReuse::Fresh => (0, 0),
    };
    let cfg = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .allow_non_standard_methods(true)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .input_buffer_size(INPUT_BUFFER_BYTES)
        .output_buffer_size(OUTPUT_BUFFER_BYTES)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle_per_target)
        .max_idle_age(MAX_IDLE_AGE)
        .build();
    ureq::Agent::with_parts(cfg, TrackedConnector, DefaultResolver::default())
}

#[derive(Debug)]
struct TrackedConnector;

impl Connector<()> for TrackedConnector {
    type Out = TrackedTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _: Option<()>,
    ) -> Result<Option<TrackedTransport>, Error> {
        let mut last = Error::ConnectionFailed;
        for addr in details.addrs.iter() {
            match TcpStream::connect_timeout(addr, CONNECT_TIMEOUT) {
                Ok(stream) => {
                    stream.set_nodelay(true)?;
                    sockopt::set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES)
                        .map_err(io::Error::from)?;
                    return Ok(Some(TrackedTransport::new(stream)));
                }
                Err(e) => last = Error::Io(e),
            }
        }
        Err(last)
    }
}

struct TrackedTransport {
    connection: Arc<Connection>,
    read_timeout: Option<Duration>,
    buffers: LazyBuffers,
}

impl std::fmt::Debug for TrackedTransport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TrackedTransport")
            .field("connection", &self.connection)
            .finish_non_exhaustive()
    }
}

impl TrackedTransport {
    fn new(stream: TcpStream) -> Self {
        let buffers = LazyBuffers::new(INPUT_BUFFER_BYTES, OUTPUT_BUFFER_BYTES);
        let owner = Mutex::new(0);
        let connection = Arc::new(Connection { stream, owner });
        Self { connection, read_timeout: None, buffers }
    }
}

impl Transport for TrackedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let handle = CURRENT_HANDLE.with(|c| c.borrow().clone());
        if handle.is_some_and(|handle| !handle.begin_send(&self.connection)) {
            return Err(Error::Io(io::ErrorKind::ConnectionAborted.into()));
        }
        let remaining = remaining_time(timeout)?;
        self.connection.stream.set_write_timeout(remaining)?;
        let output = &self.buffers.output()[..amount];
        (&self.connection.stream).write_all(output).map_err(|e| to_ureq_error(e, timeout.reason))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let remaining = remaining_time(timeout)?.map(round_up);
        // Setting the timeout costs a system call, so it is not done for each token.
        if remaining != self.read_timeout {
            self.connection.stream.set_read_timeout(remaining)?;
            self.read_timeout = remaining;
        }
        let input = self.buffers.input_append_buf();
        let n =
            (&self.connection.stream).read(input).map_err(|e| to_ureq_error(e, timeout.reason))?;
        self.buffers.input_appended(n);
        Ok(n > 0)
    }

    fn is_open(&mut self) -> bool {
        // Bytes on an idle connection belong to no request, so the connection can't be reused.
        let mut probe = [0; 1];
        let nonblocking = self.connection.stream.set_nonblocking(true);
        let peeked = self.connection.stream.peek(&mut probe);
        let blocking = self.connection.stream.set_nonblocking(false);
        let idle = matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        nonblocking.is_ok() && blocking.is_ok() && idle
    }
}

/// Longer read timeouts are rounded up to a multiple of this.
const TIMEOUT_STEP: Duration = Duration::from_millis(500);

/// Rounds a long timeout up, so that it stays the same for many reads.
///
/// A read may therefore end up to [`TIMEOUT_STEP`] after the deadline.
fn round_up(remaining: Duration) -> Duration {
    if remaining <= TIMEOUT_STEP {
        return remaining;
    }
    let steps = remaining.as_millis().div_ceil(TIMEOUT_STEP.as_millis());
    TIMEOUT_STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}

fn remaining_time(timeout: NextTimeout) -> Result<Option<Duration>, Error> {
    if timeout.after.is_not_happening() {
        return Ok(None);
    }
    if timeout.after.is_zero() {
        return Err(Error::Timeout(timeout.reason));
    }
    Ok(Some(*timeout.after))
}

fn to_ureq_error(e: io::Error, reason: Timeout) -> Error {
    match e.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Error::Timeout(reason),
        _ => Error::Io(e),
    }
}
