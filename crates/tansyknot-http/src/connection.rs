//! Receives the requests of one connection and passes them to the handler.

use std::{
    io,
    net::{Shutdown, TcpStream},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::BootInstant,
    refusal::{Reason, Refusal},
};

use crate::{
    body,
    connections::{Connections, WaitEnd},
    head::{self, Head},
    receive::Receiver,
    respond::{self, ConnectionAction, FullResponse},
    server::{CountGuard, DrainBehaviour, Handler, Lifecycle, Request, ServerOptions},
};

/// Interval at which an idle connection checks whether the daemon drains.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same interval for connections that are served while the daemon drains. It is longer because
/// each check wakes a thread.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which the remaining bytes of a refused request are discarded, so that the sender
/// receives the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
/// The most bytes that are discarded in this time.
const MAX_LINGER_BYTES: usize = 4 << 20;

/// Serves requests until the connection ends.
///
/// # Errors
///
/// Fails if the caller has disconnected.
pub(crate) fn serve(
    stream: &Arc<TcpStream>,
    connections: &Connections,
    options: &ServerOptions,
    handler: &dyn Handler,
    lifecycle: &Arc<Lifecycle>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(options.write_timeout))?;
    let mut rx = Receiver::new(Arc::clone(stream));
    let mut connection_use = ConnectionUse::Fresh;
    loop {
        let options = &options.limited_by(&handler.limits());
        let waiting = connections.wait(stream);
        if !await_request(&mut rx, options, lifecycle, connection_use)? {
            return Ok(());
        }
        connection_use = ConnectionUse::Used;
        let _busy = CountGuard::request(lifecycle);
        let req = match receive(&mut rx, stream, options, handler) {
            Ok(req) => req,
            Err(Rejected::CallerLeft) => return Ok(()),
            Err(Rejected::Refused(response)) => return refuse(&mut rx, stream, &response),
        };
        if waiting.end() == WaitEnd::Evicted {
            return Ok(());
        }
        let close = !req.head.keep_alive || lifecycle.is_draining();
        let after = if close { ConnectionAction::Close } else { ConnectionAction::KeepAlive };
        if handler.handle(req, stream, after)? == ConnectionAction::Close {
            return Ok(());
        }
    }
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
        let check_interval = match options.on_drain {
            DrainBehaviour::CloseIdle => IDLE_CHECK_INTERVAL,
            DrainBehaviour::ServeIdle => DRAIN_CHECK_INTERVAL,
        };
        rx.set_deadline(check_interval.min(until.duration_since(BootInstant::now())));
        match rx.fill() {
            Ok(0) => return Ok(false),
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::TimedOut => {}
            Err(e) => return Err(e),
        }
    }
    Ok(true)
}

/// Why there is no request to serve.
enum Rejected {
    /// Nobody can receive a response.
    CallerLeft,
    /// The request is refused with this response.
    Refused(FullResponse),
}

impl Rejected {
    fn by(handler: &dyn Handler, refusal: &Refusal, head: Option<&Head>) -> Self {
        match refusal.reason {
            Reason::CallerLeft => Self::CallerLeft,
            _ => Self::Refused(handler.refusal(refusal, head)),
        }
    }
}

fn receive(
    rx: &mut Receiver,
    stream: &Arc<TcpStream>,
    options: &ServerOptions,
    handler: &dyn Handler,
) -> Result<Request, Rejected> {
    rx.set_deadline(options.head_timeout);
    let head = receive_head(rx, options.max_head_bytes)
        .map_err(|refusal| Rejected::by(handler, &refusal, None))?;
    let rejected = |refusal: Refusal| Rejected::by(handler, &refusal, Some(&head));
    body::check_length(head.framing, options.max_body_bytes).map_err(rejected)?;
    if (head.expects_continue() || body::may_be_long(rx, head.framing))
        && let Some(response) = handler.refuse_by_head(&head)
    {
        return Err(Rejected::Refused(response));
    }
    if head.expects_continue() {
        respond::write_continue(stream).map_err(|_| Rejected::CallerLeft)?;
    }
    rx.set_deadline(options.body_timeout);
    let body = body::read(rx, head.framing, options.max_body_bytes, &options.memory, stream)
        .map_err(rejected)?;
    Ok(Request { head, body })
}

fn receive_head(rx: &mut Receiver, limit: u64) -> Result<Head, Refusal> {
    // A head that comes in small pieces is parsed as often as it doubles, and at its end.
    let (mut scanned, mut parse_at) = (0, 0);
    loop {
        let received = rx.buffered().len();
        let is_due = received >= parse_at || head::may_end(rx.buffered(), scanned);
        scanned = received;
        if is_due {
            parse_at = received * 2;
            if let Some((head, length)) = head::parse(rx.buffered())? {
                if length as u64 > limit {
                    return Err(too_large(limit));
                }
                rx.consume(length);
                return Ok(head);
            }
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
fn refuse(rx: &mut Receiver, stream: &TcpStream, response: &FullResponse) -> io::Result<()> {
    respond::write_response(stream, response, ConnectionAction::Close)?;
    stream.shutdown(Shutdown::Write)?;
    // Closing a socket with unread bytes resets the connection, which discards the response.
    rx.set_deadline(LINGER_TIMEOUT);
    let mut discarded = rx.buffered().len();
    rx.consume(discarded);
    while discarded < MAX_LINGER_BYTES
        && let Ok(n @ 1..) = rx.fill()
    {
        rx.consume(n);
        discarded += n;
    }
    Ok(())
}
