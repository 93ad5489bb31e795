//! Accepts a limited number of connections, each with its own thread, until the daemon stops.

use std::{
    io,
    net::{TcpListener, TcpStream},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    clock::BootInstant,
    refusal::{Reason, Refusal},
};

use crate::{
    body::Body,
    connection,
    connections::Connections,
    head::Head,
    memory::RequestMemory,
    problem, receive,
    respond::{self, ConnectionAction, FullResponse},
};

/// Stack size of a connection's thread; a small one suffices because no stage recurses.
const STACK_BYTES: usize = 256 << 10;
/// `Retry-After` of a connection that is refused because all are taken.
const RETRY_AFTER_CONNECTIONS: Duration = Duration::from_secs(1);

/// Limits on connections and requests.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Maximum length of a head, in bytes.
    pub max_head_bytes: u64,
    /// Maximum length of a body, in bytes.
    pub max_body_bytes: u64,
    /// The bytes of requests that the daemon may hold, shared by its listeners.
    pub memory: Arc<RequestMemory>,
    /// Maximum number of concurrent connections.
    pub max_connections: u32,
    /// Timeout for receiving a head.
    pub head_timeout: Duration,
    /// Timeout for receiving a body.
    pub body_timeout: Duration,
    /// Timeout of an idle connection.
    pub idle_timeout: Duration,
    /// Timeout of a write.
    pub write_timeout: Duration,
    /// What happens to connections between requests when the daemon drains.
    pub on_drain: DrainBehaviour,
}

/// Limits on requests that change while the daemon runs. They go beside those of the listener, of which
/// the stricter one applies; only the idle timeout replaces the listener's, as callers rely on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum length of a head, in bytes.
    pub max_head_bytes: Option<u64>,
    /// Maximum length of a body, in bytes.
    pub max_body_bytes: Option<u64>,
    /// Timeout for receiving a head.
    pub head_timeout: Option<Duration>,
    /// Timeout of an idle connection.
    pub idle_timeout: Option<Duration>,
}

impl ServerOptions {
    /// Returns these options with further limits on requests.
    pub(crate) fn limited_by(&self, limits: &RequestLimits) -> Self {
        let stricter = |own: u64, other: Option<u64>| other.map_or(own, |other| own.min(other));
        Self {
            max_head_bytes: stricter(self.max_head_bytes, limits.max_head_bytes),
            max_body_bytes: stricter(self.max_body_bytes, limits.max_body_bytes),
            head_timeout: limits
                .head_timeout
                .map_or(self.head_timeout, |t| t.min(self.head_timeout)),
            idle_timeout: limits.idle_timeout.unwrap_or(self.idle_timeout),
            ..self.clone()
        }
    }
}

/// What happens to a connection between two requests when the daemon drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainBehaviour {
    /// The connection is closed at once.
    CloseIdle,
    /// The connection stays open until its next request, whose response closes it, or until the
    /// daemon ends.
    ServeIdle,
}

/// A received request.
#[derive(Debug, PartialEq, Eq)]
pub struct Request {
    /// The head.
    pub head: Head,
    /// The complete body.
    pub body: Body,
}

/// Responds to requests.
pub trait Handler: Send + Sync {
    /// Returns the limits on the next request.
    fn limits(&self) -> RequestLimits {
        RequestLimits::default()
    }

    /// Returns the refusal of a request that its head decides, before its body is received. It is only
    /// called for callers that wait for it, and for bodies that may take long to arrive.
    fn refuse_by_head(&self, _head: &Head) -> Option<FullResponse> {
        None
    }

    /// Returns the response to a request that could not be received. Its head is given if it could.
    fn refusal(&self, refusal: &Refusal, _head: Option<&Head>) -> FullResponse {
        problem::response(refusal, None)
    }

    /// Responds to one request on its connection; returns what happens to the connection next.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    fn handle(
        &self,
        req: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction>;
}

/// The progress of the daemon's shutdown, with counts of connections and requests.
#[derive(Debug, Default)]
pub struct Lifecycle {
    draining: AtomicBool,
    ending: AtomicBool,
    aborting: AtomicBool,
    abort_at: OnceLock<BootInstant>,
    closed: AtomicBool,
    connections: AtomicU32,
    busy: AtomicU32,
}

impl Lifecycle {
    /// Starts the drain: each connection is closed after its current or next request. Whether idle
    /// connections are closed at once depends on [`DrainBehaviour`].
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Starts the drain of a daemon that aborts the requests in progress at `abort_at`.
    pub fn drain_until(&self, abort_at: BootInstant) {
        // A drain keeps the time with which it was started.
        let _ = self.abort_at.set(abort_at);
        self.drain();
    }

    /// Returns how long requests in progress have left; `None` if the daemon does not abort them.
    pub fn time_until_abort(&self) -> Option<Duration> {
        self.abort_at.get().map(|at| at.duration_since(BootInstant::now()))
    }

    /// Marks the point from which new requests would not finish before the daemon's end.
    pub fn end(&self) {
        self.ending.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests would not finish before the daemon's end.
    pub fn is_ending(&self) -> bool {
        self.ending.load(Ordering::SeqCst)
    }

    /// Marks the point from which requests in progress are answered without their result.
    pub fn abort(&self) {
        self.aborting.store(true, Ordering::SeqCst);
    }

    /// Returns whether requests in progress are answered without their result.
    pub fn is_aborting(&self) -> bool {
        self.aborting.load(Ordering::SeqCst)
    }

    /// Stops accepting connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether the daemon drains.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns whether no new connections are accepted.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Counts work for another daemon as a request until the guard is dropped.
    pub fn count_request(lifecycle: &Arc<Self>) -> CountGuard {
        CountGuard::request(lifecycle)
    }

    /// Returns the number of requests being received or processed.
    pub fn requests_in_flight(&self) -> u32 {
        self.busy.load(Ordering::SeqCst)
    }
}

/// Accepts connections until the lifecycle is closed.
///
/// # Errors
///
/// Fails if accepting a connection fails permanently.
pub fn serve(
    listener: &TcpListener,
    options: &ServerOptions,
    handler: &Arc<dyn Handler>,
    lifecycle: &Arc<Lifecycle>,
) -> io::Result<()> {
    if let Err(e) = receive::limit_buffers(listener) {
        log::warn!("the buffers of callers' connections are not limited: {e}");
    }
    let connections = Arc::new(Connections::new(options.max_connections));
    while !lifecycle.is_closed() {
        let (stream, _) = match listener.accept() {
            Ok(accepted) => accepted,
            // A caller that disconnects while it is accepted must not stop the server.
            Err(e) if is_transient(&e) => continue,
            Err(e) => return Err(e),
        };
        if lifecycle.is_closed() {
            return Ok(());
        }
        spawn_connection(stream, &connections, options, handler, lifecycle);
    }
    Ok(())
}

/// Returns whether the next connection may be accepted after this failure; waits first if other
/// connections must end before.
pub fn is_transient(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    ) || pause_if_out_of_files(e)
}

fn pause_if_out_of_files(e: &io::Error) -> bool {
    const EMFILE: i32 = 24;
    const ENFILE: i32 = 23;
    let full = matches!(e.raw_os_error(), Some(EMFILE | ENFILE));
    if full {
        // Other connections must end before another one can be accepted.
        thread::sleep(Duration::from_millis(20));
    }
    full
}

fn spawn_connection(
    stream: TcpStream,
    connections: &Arc<Connections>,
    options: &ServerOptions,
    handler: &Arc<dyn Handler>,
    lifecycle: &Arc<Lifecycle>,
) {
    let Some(open) = connections.open() else { return refuse_connection(&stream) };
    lifecycle.connections.fetch_add(1, Ordering::SeqCst);
    let guard = CountGuard::connection(lifecycle);
    let connections = Arc::clone(connections);
    let options = options.clone();
    let handler = Arc::clone(handler);
    let lifecycle = Arc::clone(lifecycle);
    let spawned = thread::Builder::new()
        .name("connection".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let _guards = (open, guard);
            let stream = Arc::new(stream);
            // An error means that the caller has disconnected, so nobody can receive a response.
            let _ =
                connection::serve(&stream, &connections, &options, handler.as_ref(), &lifecycle);
        });
    // If the thread can't be started, the connection is dropped and the caller may retry elsewhere.
    drop(spawned);
}

/// Refuses a connection without waiting for its caller: other callers wait to be accepted.
fn refuse_connection(stream: &TcpStream) {
    let refusal = Refusal::retry_later(
        Reason::TooManyConnections,
        RETRY_AFTER_CONNECTIONS,
        "every connection is taken",
    );
    let response = problem::response(&refusal, None);
    // The kernel takes the whole response at once, as nothing was sent before.
    let _ = stream.set_nonblocking(true);
    let _ = respond::write_response(stream, &response, ConnectionAction::Close);
}

/// Decrements the count of connections or requests when dropped.
pub struct CountGuard {
    lifecycle: Arc<Lifecycle>,
    count: fn(&Lifecycle) -> &AtomicU32,
}

impl CountGuard {
    /// Creates a guard of a connection that is already counted.
    fn connection(lifecycle: &Arc<Lifecycle>) -> Self {
        Self { lifecycle: Arc::clone(lifecycle), count: |l| &l.connections }
    }

    /// Counts a request and creates its guard.
    pub(crate) fn request(lifecycle: &Arc<Lifecycle>) -> Self {
        lifecycle.busy.fetch_add(1, Ordering::SeqCst);
        Self { lifecycle: Arc::clone(lifecycle), count: |l| &l.busy }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.count)(&self.lifecycle).fetch_sub(1, Ordering::SeqCst);
    }
}
