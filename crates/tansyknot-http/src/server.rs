//! Accepting connections within bounds, a thread each, until the daemon drains.

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
    respond::{self, After},
};

/// Stack of a connection's thread; no stage recurses.
const STACK_BYTES: usize = 256 << 10;
/// How often an idle connection looks whether the daemon drains.
const IDLE_SLICE: Duration = Duration::from_millis(250);
/// How often it looks if it is served while the daemon drains: each look wakes a thread.
const KEPT_SLICE: Duration = Duration::from_millis(1000);
/// A refused sender's remaining bytes are read away for this long, so that it sees the answer.
const LINGER: Duration = Duration::from_millis(300);

/// Bounds on connections.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The longest head, in bytes.
    pub head_bytes: u64,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// Connections at once.
    pub connections: u32,
    /// How long a head or a body may take to arrive.
    pub receive_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// How long a write may block.
    pub write_timeout: Duration,
    /// What a drain does to connections between requests.
    pub kept: KeptConnections,
}

/// What becomes of a connection that waits between two requests when the daemon drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptConnections {
    /// It is closed at once.
    ClosedWhileDraining,
    /// It stays until its next request, whose answer says that it is the last, or until the
    /// daemon is ending.
    ServedWhileDraining,
}

/// A request as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The head.
    pub head: Head,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Answers requests.
pub trait Handler: Send + Sync {
    /// Answers one request on its connection and says what the connection does next.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left.
    fn handle(&self, req: Request, stream: &mut TcpStream, after: After) -> io::Result<After>;
}

/// How far the daemon's stop is.
#[derive(Debug, Default)]
pub struct Lifecycle {
    draining: AtomicBool,
    ending: AtomicBool,
    closed: AtomicBool,
    connections: AtomicU32,
    busy: AtomicU32,
}

impl Lifecycle {
    /// Says that connections are to be closed after their present request.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Says that requests that come now would not be finished in time.
    pub fn end(&self) {
        self.ending.store(true, Ordering::SeqCst);
    }

    /// Tells whether requests that come now would not be finished in time.
    pub fn is_ending(&self) -> bool {
        self.ending.load(Ordering::SeqCst)
    }

    /// Says that no new connection is taken.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Tells whether the daemon drains.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Tells whether no new connection is taken.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of requests being received or answered.
    pub fn busy(&self) -> u32 {
        self.busy.load(Ordering::SeqCst)
    }
}

/// Takes connections until the lifecycle is closed.
///
/// # Errors
///
/// Fails if the listener does.
pub fn serve(
    listener: &TcpListener,
    options: &ServerOptions,
    handler: &Arc<dyn Handler>,
    lifecycle: &Arc<Lifecycle>,
) -> io::Result<()> {
    while !lifecycle.is_closed() {
        let (stream, _) = match listener.accept() {
            Ok(accepted) => accepted,
            // One caller that vanished while it was accepted must not end the others' service.
            Err(e) if is_transient(&e) => continue,
            Err(e) => return Err(e),
        };
        if lifecycle.is_closed() {
            return Ok(());
        }
        take(stream, options, handler, lifecycle);
    }
    Ok(())
}

fn is_transient(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    ) || out_of_files(e)
}

fn out_of_files(e: &io::Error) -> bool {
    const EMFILE: i32 = 24;
    const ENFILE: i32 = 23;
    let full = matches!(e.raw_os_error(), Some(EMFILE | ENFILE));
    if full {
        // Connections have to end before the next one can be taken.
        thread::sleep(Duration::from_millis(20));
    }
    full
}

fn take(
    mut stream: TcpStream,
    options: &ServerOptions,
    handler: &Arc<dyn Handler>,
    lifecycle: &Arc<Lifecycle>,
) {
    let before = lifecycle.connections.fetch_add(1, Ordering::SeqCst);
    let guard = Guard::connection(lifecycle);
    if before >= options.connections {
        let refusal = Refusal::later(
            Reason::TooManyConnections,
            Duration::from_secs(1),
            "every connection is taken",
        );
        let _ = stream.set_write_timeout(Some(LINGER));
        let _ = respond::write_whole(&mut stream, &problem::answer(&refusal, None), After::Close);
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
            // An error here means that the caller has left; there is nobody to tell.
            let _ = converse(stream, &options, handler.as_ref(), &lifecycle);
        });
    // Without a thread the connection is dropped and the caller may try another daemon.
    drop(spawned);
}

/// Counts a connection or a request for as long as it lives.
struct Guard {
    lifecycle: Arc<Lifecycle>,
    count: fn(&Lifecycle) -> &AtomicU32,
}

impl Guard {
    /// Guards a connection that has been counted.
    fn connection(lifecycle: &Arc<Lifecycle>) -> Self {
        Self { lifecycle: Arc::clone(lifecycle), count: |l| &l.connections }
    }

    /// Counts a request.
    fn request(lifecycle: &Arc<Lifecycle>) -> Self {
        lifecycle.busy.fetch_add(1, Ordering::SeqCst);
        Self { lifecycle: Arc::clone(lifecycle), count: |l| &l.busy }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        (self.count)(&self.lifecycle).fetch_sub(1, Ordering::SeqCst);
    }
}

fn converse(
    mut stream: TcpStream,
    options: &ServerOptions,
    handler: &dyn Handler,
    lifecycle: &Arc<Lifecycle>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(options.write_timeout))?;
    let mut rx = Receiver::new(stream.try_clone()?);
    let mut age = Age::Fresh;
    while await_request(&mut rx, options, lifecycle, age)? {
        age = Age::Used;
        let _busy = Guard::request(lifecycle);
        let req = match receive(&mut rx, &mut stream, options) {
            Ok(req) => req,
            Err(refusal) => return refuse(&mut rx, &mut stream, &refusal),
        };
        let close = !req.head.keep_alive || lifecycle.is_draining();
        let after = if close { After::Close } else { After::KeepAlive };
        if handler.handle(req, &mut stream, after)? == After::Close {
            return Ok(());
        }
    }
    Ok(())
}

/// Whether a connection has served a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Age {
    Fresh,
    Used,
}

/// Waits for the first byte of a request; `false` if the connection is to be closed.
///
/// While the daemon drains, a used connection is closed between requests; a fresh one was opened
/// by a caller that does not know yet, and its request is on the way.
fn await_request(
    rx: &mut Receiver,
    options: &ServerOptions,
    lifecycle: &Lifecycle,
    age: Age,
) -> io::Result<bool> {
    let until = BootInstant::now() + options.idle_timeout;
    while rx.buffered().is_empty() {
        let is_over = match age {
            Age::Fresh => lifecycle.is_closed(),
            Age::Used if options.kept == KeptConnections::ClosedWhileDraining => {
                lifecycle.is_draining()
            }
            Age::Used => lifecycle.is_ending(),
        };
        if is_over || BootInstant::now() >= until {
            return Ok(false);
        }
        rx.allow(match options.kept {
            KeptConnections::ClosedWhileDraining => IDLE_SLICE,
            KeptConnections::ServedWhileDraining => KEPT_SLICE,
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
    stream: &mut TcpStream,
    options: &ServerOptions,
) -> Result<Request, Refusal> {
    rx.allow(options.receive_timeout);
    let head = receive_head(rx, options.head_bytes)?;
    if head.expects_continue() {
        respond::write_continue(stream)
            .map_err(|_| Refusal::not_run(Reason::CallerLeft, "the caller left"))?;
    }
    rx.allow(options.receive_timeout);
    let body = body::read(rx, head.framing, options.body_bytes)?;
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

/// Answers a request that was not received whole, and closes.
fn refuse(rx: &mut Receiver, stream: &mut TcpStream, refusal: &Refusal) -> io::Result<()> {
    if refusal.reason == Reason::CallerLeft {
        return Ok(());
    }
    respond::write_whole(stream, &problem::answer(refusal, None), After::Close)?;
    stream.shutdown(std::net::Shutdown::Write)?;
    // Closing with unread bytes would reset the connection and the answer with it.
    rx.allow(LINGER);
    while let Ok(1..) = rx.fill() {
        let n = rx.buffered().len();
        rx.consume(n);
    }
    Ok(())
}
