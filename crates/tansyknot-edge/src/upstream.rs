//! Connections to targets that know whether a byte has left and that can be cut from outside.

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

use ureq::{
    Error, Timeout,
    unversioned::{
        resolver::DefaultResolver,
        transport::{Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport},
    },
};

/// Input buffer of a connection; a token's event is far smaller.
const INPUT_BYTES: usize = 16 << 10;
/// Output buffer of a connection.
const OUTPUT_BYTES: usize = 8 << 10;
/// How long a connection to a target may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections kept for each target.
const IDLE_PER_TARGET: usize = 64;
/// Idle connections kept in all.
const IDLE_CONNECTIONS: usize = 1024;
/// An idle connection is not used again after this long.
const IDLE_AGE: Duration = Duration::from_secs(20);

/// A connection and the attempt that used it last.
#[derive(Debug)]
struct Line {
    stream: TcpStream,
    owner: Mutex<u64>,
}

/// What becomes of one attempt's bytes.
#[derive(Debug)]
pub struct Wire {
    id: u64,
    sent: AtomicBool,
    cut: AtomicBool,
    line: Mutex<Option<Arc<Line>>>,
}

impl Wire {
    /// Makes the wire of a new attempt.
    pub fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        Self {
            id: NEXT.fetch_add(1, Ordering::Relaxed),
            sent: AtomicBool::new(false),
            cut: AtomicBool::new(false),
            line: Mutex::new(None),
        }
    }

    /// Tells whether any byte may have left for the target.
    pub fn sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }

    /// Tells whether the attempt was cut from outside.
    pub fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    /// Cuts the attempt: its connection is closed and nothing more is sent.
    ///
    /// A connection that another attempt has taken from the pool meanwhile is left alone.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        let line = self.line.lock().expect("no holder of the lock panics");
        let Some(line) = line.as_ref() else { return };
        let owner = line.owner.lock().expect("no holder of the lock panics");
        if *owner == self.id {
            let _ = line.stream.shutdown(Shutdown::Both);
        }
    }

    /// Notes that bytes are about to leave over `line`; `false` if the attempt was cut.
    fn begin_send(&self, line: &Arc<Line>) -> bool {
        let mut current = self.line.lock().expect("no holder of the lock panics");
        if self.is_cut() {
            return false;
        }
        *line.owner.lock().expect("no holder of the lock panics") = self.id;
        *current = Some(Arc::clone(line));
        self.sent.store(true, Ordering::SeqCst);
        true
    }
}

impl Default for Wire {
    fn default() -> Self {
        Self::new()
    }
}

thread_local! {
    static CURRENT: RefCell<Option<Arc<Wire>>> = const { RefCell::new(None) };
}

/// Runs `f` with `wire` in charge of every byte that this thread sends to targets.
pub fn with_wire<T>(wire: &Arc<Wire>, f: impl FnOnce() -> T) -> T {
    CURRENT.with(|c| *c.borrow_mut() = Some(Arc::clone(wire)));
    let result = f();
    CURRENT.with(|c| *c.borrow_mut() = None);
    result
}

/// Whether connections to targets are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Idle connections are kept.
    Pooled,
    /// Each request has a connection of its own, so that "no byte was sent" can be told from a
    /// connection that the target closed a moment ago.
    Fresh,
}

/// Makes the agent that requests to targets go through.
pub fn agent(reuse: Reuse) -> ureq::Agent {
    let (idle, idle_per_target) = match reuse {
        Reuse::Pooled => (IDLE_CONNECTIONS, IDLE_PER_TARGET),
        Reuse::Fresh => (0, 0),
    };
    let cfg = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .allow_non_standard_methods(true)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .input_buffer_size(INPUT_BYTES)
        .output_buffer_size(OUTPUT_BYTES)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle_per_target)
        .max_idle_age(IDLE_AGE)
        .build();
    ureq::Agent::with_parts(cfg, WireConnector, DefaultResolver::default())
}

#[derive(Debug)]
struct WireConnector;

impl Connector<()> for WireConnector {
    type Out = WireTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _: Option<()>,
    ) -> Result<Option<WireTransport>, Error> {
        let mut last = Error::ConnectionFailed;
        for addr in details.addrs.iter() {
            match TcpStream::connect_timeout(addr, CONNECT_TIMEOUT) {
                Ok(stream) => {
                    stream.set_nodelay(true)?;
                    return Ok(Some(WireTransport::new(stream)));
                }
                Err(e) => last = Error::Io(e),
            }
        }
        Err(last)
    }
}

struct WireTransport {
    line: Arc<Line>,
    read_timeout: Option<Duration>,
    buffers: LazyBuffers,
}

impl std::fmt::Debug for WireTransport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WireTransport").field("line", &self.line).finish_non_exhaustive()
    }
}

impl WireTransport {
    fn new(stream: TcpStream) -> Self {
        let buffers = LazyBuffers::new(INPUT_BYTES, OUTPUT_BYTES);
        let owner = Mutex::new(0);
        let line = Arc::new(Line { stream, owner });
        Self { line, read_timeout: None, buffers }
    }
}

impl Transport for WireTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let wire = CURRENT.with(|c| c.borrow().clone());
        if wire.is_some_and(|wire| !wire.begin_send(&self.line)) {
            return Err(Error::Io(io::ErrorKind::ConnectionAborted.into()));
        }
        let left = span(timeout)?;
        self.line.stream.set_write_timeout(left)?;
        let output = &self.buffers.output()[..amount];
        (&self.line.stream).write_all(output).map_err(|e| timed_out(e, timeout.reason))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let left = span(timeout)?.map(coarse);
        // Setting the timeout costs a system call, which would be one for each token.
        if left != self.read_timeout {
            self.line.stream.set_read_timeout(left)?;
            self.read_timeout = left;
        }
        let input = self.buffers.input_append_buf();
        let n = (&self.line.stream).read(input).map_err(|e| timed_out(e, timeout.reason))?;
        self.buffers.input_appended(n);
        Ok(n > 0)
    }

    fn is_open(&mut self) -> bool {
        // Any byte that waits on an idle connection belongs to an answer nobody asked for.
        let mut probe = [0; 1];
        let nonblocking = self.line.stream.set_nonblocking(true);
        let peeked = self.line.stream.peek(&mut probe);
        let blocking = self.line.stream.set_nonblocking(false);
        let idle = matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        nonblocking.is_ok() && blocking.is_ok() && idle
    }
}

/// Timeouts above this are rounded up to a multiple of it.
const COARSE: Duration = Duration::from_millis(500);

/// Rounds a long timeout up, so that it stays the same over many reads.
///
/// A read may then end up to this much past the deadline.
fn coarse(left: Duration) -> Duration {
    if left <= COARSE {
        return left;
    }
    let steps = left.as_millis().div_ceil(COARSE.as_millis());
    COARSE * u32::try_from(steps).unwrap_or(u32::MAX)
}

fn span(timeout: NextTimeout) -> Result<Option<Duration>, Error> {
    if timeout.after.is_not_happening() {
        return Ok(None);
    }
    if timeout.after.is_zero() {
        return Err(Error::Timeout(timeout.reason));
    }
    Ok(Some(*timeout.after))
}

fn timed_out(e: io::Error, reason: Timeout) -> Error {
    match e.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Error::Timeout(reason),
        _ => Error::Io(e),
    }
}
