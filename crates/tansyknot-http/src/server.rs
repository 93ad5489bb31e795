//! Accepts a limited number of connections, each with its own thread, until the daemon stops.

use std::{
    io,
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use tansyknot_core::{
    clock::BootInstant,
    refusal::{Reason, Refusal},
};

use crate::{
    body,
    head::{self, Head},
    problem,
    receive::Receiver,
    respond::{self, ConnectionAction},
};

/// Stack size of a connection's thread; a small one suffices because no stage recurses.
const STACK_BYTES: usize = 256 << 10;
/// Interval at which an idle connection checks whether the daemon drains.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same interval for connections that are served while the daemon drains. It is longer because
/// each check wakes a thread.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which the remaining bytes of a refused request are discarded, so that the sender
/// receives the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Limits on connections and requests.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Maximum length of a head, in bytes.
    pub max_head_bytes: u64,
    /// Maximum length of a body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of concurrent connections.
    pub max_connections: u32,
    /// Timeout for receiving a head or a body.
    pub receive_timeout: Duration,
    /// Timeout of an idle connection.
    pub idle_timeout: Duration,
    /// Timeout of a write.
    pub write_timeout: Duration,
    /// What happens to connections between requests when the daemon drains.
    pub on_drain: DrainBehaviour,
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The head.
    pub head: Head,
    /// The complete body.
    pub body: Vec<u8>,
}

/// Responds to requests.
pub trait Handler: Send + Sync {
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

    /// Marks the point from which new requests would not finish before the daemon's end.
    pub fn end(&self) {
        self.ending.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests would not finish before the daemon's end.
    pub fn is_ending(&self) -> bool {
        self.ending.load(Ordering::SeqCst)
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
        spawn_connection(stream, options, handler, lifecycle);
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
    options: &ServerOptions,
    handler: &Arc<dyn Handler>,
    lifecycle: &Arc<Lifecycle>,
) {
    let before = lifecycle.connections.fetch_add(1, Ordering::SeqCst);
    let guard = CountGuard::connection(lifecycle);
    if before >= options.max_connections {
        let refusal = Refusal::retry_later(
            Reason::TooManyConnections,
            Duration::from_secs(1),
            "every connection is taken",
        );
        let _ = stream.set_write_timeout(Some(LINGER_TIMEOUT));
        let _ = respond::write_response(
            &stream,
            &problem::response(&refusal, None),
            ConnectionAction::Close,
        );
        return;
    }
    let options = options.clone();
    let handler = Arc::clone(handler);
    let lifecycle = Arc::clone(lifecycle);
    let spawned = thread::Builder::new()
        .name("connection".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let _guard = guard;
            // An error means that the caller has disconnected, so nobody can receive a response.
            let _ = serve_connection(&Arc::new(stream), &options, handler.as_ref(), &lifecycle);
        });
    // If the thread can't be started, the connection is dropped and the caller may retry elsewhere.
    drop(spawned);
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
    fn request(lifecycle: &Arc<Lifecycle>) -> Self {
        lifecycle.busy.fetch_add(1, Ordering::SeqCst);
        Self { lifecycle: Arc::clone(lifecycle), count: |l| &l.busy }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.count)(&self.lifecycle).fetch_sub(1, Ordering::SeqCst);
    }
}

fn serve_connection(
    stream: &Arc<TcpStream>,
    options: &ServerOptions,
    handler: &dyn Handler,
    lifecycle: &Arc<Lifecycle>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(options.write_timeout))?;
    let mut rx = Receiver::new(Arc::clone(stream));
    let mut connection_use = ConnectionUse::Fresh;
    while await_request(&mut rx, options, lifecycle, connection_use)? {
        connection_use = ConnectionUse::Used;
        let _busy = CountGuard::request(lifecycle);
        let req = match receive(&mut rx, stream, options) {
            Ok(req) => req,
            Err(refusal) => return refuse(&mut rx, stream, &refusal),
        };
        let close = !req.head.keep_alive || lifecycle.is_draining();
        let after = if close { ConnectionAction::Close } else { ConnectionAction::KeepAlive };
        if handler.handle(req, stream, after)? == ConnectionAction::Close {
            return Ok(());
        }
    }
    Ok(())
}

/// Whether a connection has served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionUse {
    Fresh,
    Used,
}

/// Waits for the first byte of a request; returns `false` if the connection must be closed.
///
/// While the daemon drains, a used connection is closed between requests. A fresh connection stays
/// open: the caller opened it without knowing of the drain and is about to send its request.
fn await_request(
    rx: &mut Receiver,
    options: &ServerOptions,
    lifecycle: &Lifecycle,
    connection_use: ConnectionUse,
) -> io::Result<bool> {
    let until = BootInstant::now() + options.idle_timeout;
    while rx.buffered().is_empty() {
        let must_close = match connection_use {
            ConnectionUse::Fresh => lifecycle.is_closed(),
            ConnectionUse::Used if options.on_drain == DrainBehaviour::CloseIdle => {
                lifecycle.is_draining()
            }
            ConnectionUse::Used => lifecycle.is_ending(),
        };
        if must_close || BootInstant::now() >= until {
            return Ok(false);
        }
        rx.set_deadline(match options.on_drain {
            DrainBehaviour::CloseIdle => IDLE_CHECK_INTERVAL,
            DrainBehaviour::ServeIdle => DRAIN_CHECK_INTERVAL,
        });
        match rx.fill() {
            Ok(0) => return Ok(false),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::TimedOut => {}
            Err(e) => return Err(e),
        }
    }
    Ok(true)
}

fn receive(
    rx: &mut Receiver,
    stream: &TcpStream,
    options: &ServerOptions,
) -> Result<Request, Refusal> {
    rx.set_deadline(options.receive_timeout);
    let head = receive_head(rx, options.max_head_bytes)?;
    if head.expects_continue() {
        respond::write_continue(stream)
            .map_err(|_| Refusal::not_run(Reason::CallerLeft, "the caller left"))?;
    }
    rx.set_deadline(options.receive_timeout);
    let body = body::read(rx, head.framing, options.max_body_bytes)?;
    Ok(Request { head, body })
}

fn receive_head(rx: &mut Receiver, limit: u64) -> Result<Head, Refusal> {
    loop {
        if let Some((head, length)) = head::parse(rx.buffered())? {
            if length as u64 > limit {
                return Err(too_large(limit));
            }
            rx.consume(length);
            return Ok(head);
        }
        if rx.buffered().len() as u64 >= limit {
            return Err(too_large(limit));
        }
        match rx.fill() {
            Ok(0) => return Err(Refusal::not_run(Reason::CallerLeft, "the head was cut off")),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                return Err(Refusal::not_run(Reason::SlowSender, "the head came too slowly"));
            }
            Err(_) => return Err(Refusal::not_run(Reason::CallerLeft, "the caller left")),
        }
    }
}

fn too_large(limit: u64) -> Refusal {
    Refusal::not_run(Reason::HeadTooLarge, format!("a head may have {limit} bytes"))
}

/// Sends the refusal of a request that was not received completely and closes the connection.
fn refuse(rx: &mut Receiver, stream: &TcpStream, refusal: &Refusal) -> io::Result<()> {
    if refusal.reason == Reason::CallerLeft {
        return Ok(());
    }
    respond::write_response(stream, &problem::response(refusal, None), ConnectionAction::Close)?;
    stream.shutdown(std::net::Shutdown::Write)?;
    // Closing a socket with unread bytes resets the connection, which discards the response.
    rx.set_deadline(LINGER_TIMEOUT);
    while let Ok(1..) = rx.fill() {
        let n = rx.buffered().len();
        rx.consume(n);
    }
    Ok(())
}
