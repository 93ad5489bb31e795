//! One request to one target over a connection of its own, and the head and body of the response.
//!
//! Each exchange has a new connection: no byte of an earlier response can be taken for this one,
//! and a failure to connect proves that nothing was sent. While an exchange waits for the target it
//! watches the caller's connection, and it closes the target's at once when the caller leaves or the daemon
//! ends.

use std::{
    cell::Cell,
    io::{self, Read},
    net::TcpStream,
    rc::Rc,
    time::Duration,
};

use rustix::{
    event::{PollFd, PollFlags, Timespec},
    io::Errno,
};
use tansyknot_core::clock::BootInstant;
use tansyknot_http::{
    chunked::ChunkedReader,
    disconnect,
    receive::ReadBuffer,
    response_head::{self, Framing, ResponseHead},
    server::Lifecycle,
};
use thiserror::Error;

use crate::connection::TargetStream;

/// Maximum duration of one `poll` call. Its timeout does not count the time while the host is
/// suspended, which would delay a deadline by as much; an idle target costs two wake-ups per
/// second.
pub(crate) const MAX_POLL_WAIT: Duration = Duration::from_millis(500);
/// The same while the daemon drains, so that callers are answered before it ends.
const MAX_DRAIN_POLL_WAIT: Duration = Duration::from_millis(50);
/// Size of the read buffer in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Maximum size of a response head in bytes, with the interim responses before it.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why an exchange has no full response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// The connection could not be opened; nothing was sent.
    #[error("not connected")]
    NotConnected,
    /// The target refused the connection; nothing was sent.
    #[error("connection refused")]
    Refused,
    /// The target did not respond in time.
    #[error("silent")]
    TimedOut,
    /// The target closed or reset the connection.
    #[error("cut off")]
    ClosedEarly,
    /// The daemon through which the target was connected has failed.
    #[error("path lost")]
    PathLost,
    /// The bytes are not a valid response.
    #[error("malformed")]
    Malformed,
    /// The status says that the request was not run, but the target does not state it.
    #[error("unproven refusal")]
    Unproven,
    /// The response belongs to another request.
    #[error("foreign answer")]
    Foreign,
    /// The caller has left.
    #[error("caller left")]
    CallerLeft,
    /// The caller does not read its response.
    #[error("caller does not read")]
    CallerStalled,
    /// The daemon has no memory left for the response.
    #[error("no buffer")]
    NoBuffer,
    /// The daemon has no file descriptors left for a socket.
    #[error("no socket")]
    NoSocket,
    /// The daemon ends.
    #[error("daemon ends")]
    Stopping,
    /// Sending was no longer allowed once the connection was open; nothing was sent.
    #[error("not allowed")]
    NotAllowed,
}

impl Failure {
    /// Returns whether no byte of the request was sent.
    pub fn nothing_sent(self) -> bool {
        matches!(
            self,
            Failure::NotConnected | Failure::Refused | Failure::NoSocket | Failure::NotAllowed
        )
    }
}

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyEnd {
    /// The response declares its end, by a length or a last chunk.
    #[default]
    Declared,
    /// The end of the connection, which doesn't show by itself whether the body is complete.
    Close,
}

impl BodyEnd {
    /// Returns what ends the body that follows `head`.
    pub fn of(head: &ResponseHead) -> Self {
        match head.framing {
            Framing::UntilClose => BodyEnd::Close,
            Framing::Empty | Framing::Length(_) | Framing::Chunked => BodyEnd::Declared,
        }
    }
}

/// The deadline and the last failure of an exchange's reads, shared with the code that set it up.
#[derive(Clone, Debug)]
pub struct Control {
    deadline: Rc<Cell<BootInstant>>,
    failure: Rc<Cell<Option<Failure>>>,
}

impl Control {
    /// Sets the deadline of the following reads.
    pub fn set_deadline(&self, deadline: BootInstant) {
        self.deadline.set(deadline);
    }

    /// Returns why the last read failed.
    pub fn failure(&self) -> Failure {
        self.failure.get().unwrap_or(Failure::ClosedEarly)
    }
}

/// Decides whether to abandon a target that has not responded by the deadline.
pub trait TimeoutPolicy {
    /// Returns a new deadline, or `None` to abandon the target.
    fn on_timeout(&self) -> Option<BootInstant>;
}

/// What an exchange is made for, and whose end ends it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Requester<'a> {
    /// The caller's connection.
    pub caller: Option<&'a TcpStream>,
    /// The daemon's progress towards its end.
    pub lifecycle: Option<&'a Lifecycle>,
}

/// An open exchange, from which the response is read.
pub struct Exchange<'a> {
    stream: TargetStream,
    /// Its caller is absent once it can't be watched any more.
    requester: Requester<'a>,
    /// Consulted when the deadline passes; without a policy the exchange fails.
    timeout_policy: Option<&'a dyn TimeoutPolicy>,
    buf: ReadBuffer,
    control: Control,
    eof_is_failure: bool,
}

impl<'a> Exchange<'a> {
    /// Sends a request, which is given in parts, over a connection if `may_send` then still allows it.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks; [`Failure::nothing_sent`] returns whether it is certain that
    /// no byte was sent.
    pub fn open(
        stream: TargetStream,
        request: &[&[u8]],
        requester: Requester<'a>,
        deadline: BootInstant,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Self, Failure> {
        let left = deadline.duration_since(BootInstant::now());
        if left.is_zero() {
            return Err(Failure::NotConnected);
        }
        stream.configure(left).map_err(|_| Failure::NotConnected)?;
        if requester.caller.is_some_and(disconnect::has_disconnected) {
            return Err(Failure::CallerLeft);
        }
        if !may_send() {
            return Err(Failure::NotAllowed);
        }
        let control =
            Control { deadline: Rc::new(Cell::new(deadline)), failure: Rc::new(Cell::new(None)) };
        let mut exchange = Self {
            stream,
            requester,
            timeout_policy: None,
            buf: ReadBuffer::default(),
            control,
            eof_is_failure: true,
        };
        request.iter().try_for_each(|part| exchange.send(part))?;
        Ok(exchange)
    }

    /// Sends a part of the request until the deadline, or until the caller leaves or the daemon ends: a
    /// target may read a long one slowly.
    fn send(&mut self, mut bytes: &[u8]) -> Result<(), Failure> {
        while !bytes.is_empty() {
            match self.stream.try_send(bytes) {
                Ok(sent) => bytes = &bytes[sent..],
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.await_ready(PollFlags::OUT)?;
                }
                Err(_) => return Err(Failure::ClosedEarly),
            }
        }
        Ok(())
    }

    /// Returns the control over the reads of this exchange.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Lets `timeout_policy` decide whether to wait longer when the deadline passes.
    pub fn with_timeout_policy<'b>(self, timeout_policy: &'b dyn TimeoutPolicy) -> Exchange<'b>
    where
        'a: 'b,
    {
        Exchange { timeout_policy: Some(timeout_policy), ..self }
    }

    /// Reads the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the target does not respond in time, closes the connection or sends a malformed
    /// head, or if the caller leaves.
    pub fn head(&mut self) -> Result<ResponseHead, Failure> {
        let mut interim_bytes = 0;
        loop {
            let parsed = response_head::parse(self.buf.unread()).map_err(|_| Failure::Malformed)?;
            if let Some((head, length)) = parsed {
                self.buf.consume(length);
                if !head.is_interim() {
                    return Ok(head);
                }
                interim_bytes += length;
                if interim_bytes <= MAX_HEAD_BYTES {
                    continue;
                }
            }
            if interim_bytes + self.buf.unread().len() > MAX_HEAD_BYTES {
                return Err(Failure::Malformed);
            }
            if self.fill()? == 0 {
                return Err(Failure::ClosedEarly);
            }
        }
    }

    /// Returns a reader of the body that follows `head`.
    pub fn body(mut self, head: &ResponseHead) -> Body<'a> {
        match head.framing {
            Framing::Empty => Body::Length(self, 0),
            Framing::Length(length) => Body::Length(self, length),
            Framing::Chunked => Body::Chunked(Box::new(ChunkedReader::new(self))),
            Framing::UntilClose => {
                self.eof_is_failure = false;
                Body::UntilClose(self)
            }
        }
    }

    /// Reads more bytes into the buffer; returns their number, zero at the end of the stream.
    fn fill(&mut self) -> Result<usize, Failure> {
        let mut chunk = [0; READ_BUFFER_BYTES];
        let n = self.receive(&mut chunk)?;
        self.buf.append(&chunk[..n]);
        Ok(n)
    }

    /// Waits for bytes and reads them; returns their number, zero at the end of the stream.
    fn receive(&mut self, out: &mut [u8]) -> Result<usize, Failure> {
        loop {
            let received = self.await_ready(PollFlags::IN).and_then(|()| self.stream.receive(out));
            if let Some(n) = received.inspect_err(|f| self.control.failure.set(Some(*f)))? {
                return Ok(n);
            }
        }
    }

    /// Waits until the target's connection is ready for reads or writes, as `flags` say.
    fn await_ready(&mut self, flags: PollFlags) -> Result<(), Failure> {
        loop {
            let left = self.control.deadline.get().duration_since(BootInstant::now());
            if left.is_zero() {
                let deadline = self
                    .timeout_policy
                    .and_then(TimeoutPolicy::on_timeout)
                    .ok_or(Failure::TimedOut)?;
                self.control.set_deadline(deadline);
                continue;
            }
            let timeout = timespec(left.min(self.max_poll_wait()?));
            let mut fds = Vec::with_capacity(2);
            fds.push(PollFd::new(&self.stream, flags));
            fds.extend(self.requester.caller.map(|caller| PollFd::new(caller, PollFlags::IN)));
            match rustix::event::poll(&mut fds, Some(&timeout)) {
                Err(Errno::INTR) => continue,
                Err(_) => return Err(Failure::ClosedEarly),
                Ok(_) => {}
            }
            let is_target_ready = !fds[0].revents().is_empty();
            let is_caller_ready = fds.get(1).is_some_and(|fd| !fd.revents().is_empty());
            if is_caller_ready {
                if self.requester.caller.is_some_and(disconnect::has_disconnected) {
                    return Err(Failure::CallerLeft);
                }
                // The caller has pipelined its next request, so its connection stays readable and
                // can no longer be watched.
                self.requester.caller = None;
            }
            if is_target_ready {
                return Ok(());
            }
        }
    }

    /// Returns how long to wait before the daemon's progress towards its end is looked at again.
    fn max_poll_wait(&self) -> Result<Duration, Failure> {
        match self.requester.lifecycle {
            Some(lifecycle) if lifecycle.is_aborting() => Err(Failure::Stopping),
            Some(lifecycle) if lifecycle.is_draining() => Ok(MAX_DRAIN_POLL_WAIT),
            _ => Ok(MAX_POLL_WAIT),
        }
    }
}

/// Converts a timeout of `poll`.
pub(crate) fn timespec(duration: Duration) -> Timespec {
    let tv_sec = i64::try_from(duration.as_secs()).unwrap_or(i64::MAX);
    Timespec { tv_sec, tv_nsec: i64::from(duration.subsec_nanos()) }
}

impl Read for Exchange<'_> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        if out.is_empty() {
            return Ok(0);
        }
        if self.buf.is_empty() {
            match self.fill() {
                Ok(0) if self.eof_is_failure => {
                    self.control.failure.set(Some(Failure::ClosedEarly));
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                Ok(0) => return Ok(0),
                Ok(_) => {}
                Err(f) => return Err(io::Error::other(f)),
            }
        }
        Ok(self.buf.take(out))
    }
}

/// The body of a response. A read of zero bytes is its regular end; a truncated body fails.
pub enum Body<'a> {
    /// The body has this many bytes left.
    Length(Exchange<'a>, u64),
    /// The body is chunked.
    Chunked(Box<ChunkedReader<Exchange<'a>>>),
    /// The body ends with the connection.
    UntilClose(Exchange<'a>),
}

impl Body<'_> {
    /// Enlarges the kernel's buffer of the target's connection for a long response.
    pub(crate) fn enlarge_buffer(&self) {
        let exchange = match self {
            Body::Length(exchange, _) | Body::UntilClose(exchange) => exchange,
            Body::Chunked(reader) => reader.source(),
        };
        exchange.stream.enlarge_buffer();
    }
}

impl Read for Body<'_> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        match self {
            Body::Length(_, 0) => Ok(0),
            Body::Length(exchange, left) => {
                let max_len = usize::try_from(*left).unwrap_or(usize::MAX).min(out.len());
                let n = exchange.read(&mut out[..max_len])?;
                *left -= n as u64;
                Ok(n)
            }
            Body::Chunked(reader) => reader.read(out).inspect_err(|e| {
                if e.kind() == io::ErrorKind::InvalidData {
                    reader.source().control.failure.set(Some(Failure::Malformed));
                }
            }),
            Body::UntilClose(exchange) => exchange.read(out),
        }
    }
}
