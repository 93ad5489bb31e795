//! One request to one target over a connection of its own, and the answer's head and body.
//!
//! Each exchange has a fresh connection: no byte of an earlier answer can be taken for this one,
//! and "nothing was sent" is known for sure. While it waits for the target it watches the caller,
//! so that the target is let go at once when the caller leaves.

use std::{
    cell::Cell,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::Duration,
};

use chunked_transfer::Decoder;
use rustix::{
    event::{PollFd, PollFlags, Timespec},
    io::Errno,
};
use tansyknot_core::clock::BootInstant;
use tansyknot_http::presence;
use thiserror::Error;

use crate::poison::Presence;

/// How long a connection to a target may take to open; a round trip takes a few ms.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a target may take to show whether anybody listens there. A refusal takes a round trip,
/// 2 ms on the users' networks; requests that it has cut off wait for this before they go elsewhere.
pub const LOOK_TIMEOUT: Duration = Duration::from_millis(100);
/// The longest wait at once. The system's waits don't count the time in which the host is suspended,
/// so that a deadline would be kept as much later; a target that says nothing for long costs two
/// wake-ups a second.
const WAIT_MOST: Duration = Duration::from_millis(500);
/// Bytes read at once.
const READ_SIZE: usize = 8 << 10;
/// The longest head of an answer.
const HEAD_MAX: usize = 64 << 10;
/// Header lines in the head of an answer.
const HEADERS_MAX: usize = 64;

/// Why an exchange has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Failure {
    /// The connection could not be opened; nothing was sent.
    #[error("not connected")]
    NotConnected,
    /// The target refused the connection; nothing was sent.
    #[error("connection refused")]
    Refused,
    /// The target was silent for too long.
    #[error("silent")]
    Silent,
    /// The target closed or reset the connection.
    #[error("cut off")]
    CutOff,
    /// The bytes are no answer.
    #[error("malformed")]
    Malformed,
    /// The answer belongs to another request.
    #[error("foreign answer")]
    Foreign,
    /// The caller has left.
    #[error("caller left")]
    CallerLeft,
    /// The daemon itself has no socket left.
    #[error("no socket")]
    NoSocket,
    /// Sending was no longer allowed when the connection stood.
    #[error("not allowed")]
    NotAllowed,
}

impl Failure {
    /// Tells whether not a byte of the request has left.
    pub fn nothing_sent(self) -> bool {
        matches!(
            self,
            Failure::NotConnected | Failure::Refused | Failure::NoSocket | Failure::NotAllowed
        )
    }
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status.
    pub status: u16,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    framing: Framing,
}

impl AnswerHead {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Empty,
    Length(u64),
    Chunked,
    ToClose,
}

/// What the reads of one exchange share with who set it up.
#[derive(Clone, Debug)]
pub struct Control {
    until: Rc<Cell<BootInstant>>,
    failure: Rc<Cell<Option<Failure>>>,
}

impl Control {
    /// Lets reads wait until `until`.
    pub fn wait_until(&self, until: BootInstant) {
        self.until.set(until);
    }

    /// Returns why the last read failed.
    pub fn failure(&self) -> Failure {
        self.failure.get().unwrap_or(Failure::CutOff)
    }
}

/// Decides what becomes of a target that has been silent as long as it might.
pub trait Silence {
    /// Returns until when to wait on, or `None` to let the target go.
    fn wait_on(&self) -> Option<BootInstant>;
}

/// An open exchange, from which the answer is read.
pub struct Exchange<'a> {
    stream: TcpStream,
    /// The caller, as long as it is watched.
    caller: Option<&'a TcpStream>,
    /// Who decides when the target is silent; without one it is let go.
    silence: Option<&'a dyn Silence>,
    buf: Vec<u8>,
    control: Control,
    end_is_failure: bool,
}

impl<'a> Exchange<'a> {
    /// Connects to `address` and sends a request if `may_send` still says so then.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be opened or breaks; [`Failure::nothing_sent`] tells
    /// whether a byte may have left.
    pub fn open(
        address: SocketAddr,
        request: &[u8],
        caller: Option<&'a TcpStream>,
        until: BootInstant,
        may_send: &dyn Fn() -> bool,
    ) -> Result<Self, Failure> {
        let left = until.duration_since(BootInstant::now());
        if left.is_zero() {
            return Err(Failure::NotConnected);
        }
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT.min(left))
            .map_err(|e| connect_failure(&e))?;
        let is_set = stream.set_nodelay(true).and_then(|()| stream.set_write_timeout(Some(left)));
        is_set.map_err(|_| Failure::NotConnected)?;
        if caller.is_some_and(presence::has_left) {
            return Err(Failure::CallerLeft);
        }
        if !may_send() {
            return Err(Failure::NotAllowed);
        }
        let control =
            Control { until: Rc::new(Cell::new(until)), failure: Rc::new(Cell::new(None)) };
        let exchange =
            Self { stream, caller, silence: None, buf: Vec::new(), control, end_is_failure: true };
        (&exchange.stream).write_all(request).map_err(|_| Failure::CutOff)?;
        Ok(exchange)
    }

    /// Returns what bounds the reads.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Has `silence` decide whether to wait on when the target has been silent for too long.
    pub fn decided_by<'b>(self, silence: &'b dyn Silence) -> Exchange<'b>
    where
        'a: 'b,
    {
        Exchange { silence: Some(silence), ..self }
    }

    /// Reads the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the target is silent, breaks off or sends nonsense, or the caller leaves.
    pub fn head(&mut self) -> Result<AnswerHead, Failure> {
        loop {
            if let Some((head, length)) = parse_head(&self.buf)? {
                self.buf.drain(..length);
                if (100..200).contains(&head.status) {
                    continue;
                }
                return Ok(head);
            }
            if self.buf.len() > HEAD_MAX {
                return Err(Failure::Malformed);
            }
            if self.fill()? == 0 {
                return Err(Failure::CutOff);
            }
        }
    }

    /// Returns the body that follows `head`.
    pub fn body(mut self, head: &AnswerHead) -> Body<'a> {
        match head.framing {
            Framing::Empty => Body::Length(self, 0),
            Framing::Length(length) => Body::Length(self, length),
            Framing::Chunked => Body::Chunked(Box::new(Decoder::new(self)), false),
            Framing::ToClose => {
                self.end_is_failure = false;
                Body::ToClose(self)
            }
        }
    }

    /// Reads more bytes into the buffer; returns how many, zero at the end.
    fn fill(&mut self) -> Result<usize, Failure> {
        let mut chunk = [0; READ_SIZE];
        let n = self.receive(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Waits for bytes and reads them; zero at the end.
    fn receive(&mut self, out: &mut [u8]) -> Result<usize, Failure> {
        self.await_bytes().inspect_err(|f| self.control.failure.set(Some(*f)))?;
        (&self.stream).read(out).map_err(|_| {
            self.control.failure.set(Some(Failure::CutOff));
            Failure::CutOff
        })
    }

    fn await_bytes(&mut self) -> Result<(), Failure> {
        loop {
            let left = self.control.until.get().duration_since(BootInstant::now());
            if left.is_zero() {
                let until = self.silence.and_then(Silence::wait_on).ok_or(Failure::Silent)?;
                self.control.wait_until(until);
                continue;
            }
            let timeout = timespec(left.min(WAIT_MOST));
            let mut fds = Vec::with_capacity(2);
            fds.push(PollFd::new(&self.stream, PollFlags::IN));
            fds.extend(self.caller.map(|caller| PollFd::new(caller, PollFlags::IN)));
            match rustix::event::poll(&mut fds, Some(&timeout)) {
                Err(Errno::INTR) => continue,
                Err(_) => return Err(Failure::CutOff),
                Ok(_) => {}
            }
            let target = !fds[0].revents().is_empty();
            let caller = fds.get(1).is_some_and(|fd| !fd.revents().is_empty());
            if caller {
                if self.caller.is_some_and(presence::has_left) {
                    return Err(Failure::CallerLeft);
                }
                // The caller has sent its next request ahead; it can't be watched any more.
                self.caller = None;
            }
            if target {
                return Ok(());
            }
        }
    }
}

/// Finds out whether anybody listens at `address`, `within` a span. A connection that is opened is
/// closed at once.
pub fn look(address: SocketAddr, within: Duration) -> Presence {
    match TcpStream::connect_timeout(&address, within) {
        Ok(_) => Presence::Listening,
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Presence::Ended,
        Err(_) => Presence::Unknown,
    }
}

fn timespec(span: Duration) -> Timespec {
    let tv_sec = i64::try_from(span.as_secs()).unwrap_or(i64::MAX);
    Timespec { tv_sec, tv_nsec: i64::from(span.subsec_nanos()) }
}

fn connect_failure(e: &io::Error) -> Failure {
    const EMFILE: i32 = 24;
    const ENFILE: i32 = 23;
    match e.raw_os_error() {
        Some(EMFILE | ENFILE) => Failure::NoSocket,
        _ if e.kind() == io::ErrorKind::ConnectionRefused => Failure::Refused,
        _ if e.kind() == io::ErrorKind::ConnectionReset => Failure::Refused,
        _ => Failure::NotConnected,
    }
}

impl Read for Exchange<'_> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        if out.is_empty() {
            return Ok(0);
        }
        if self.buf.is_empty() {
            match self.fill() {
                Ok(0) if self.end_is_failure => {
                    self.control.failure.set(Some(Failure::CutOff));
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                Ok(0) => return Ok(0),
                Ok(_) => {}
                Err(f) => return Err(io::Error::other(f)),
            }
        }
        let n = out.len().min(self.buf.len());
        out[..n].copy_from_slice(&self.buf[..n]);
        self.buf.drain(..n);
        Ok(n)
    }
}

/// The body of an answer. A read of zero bytes is its proper end; a body that breaks off fails.
pub enum Body<'a> {
    /// As many bytes are left.
    Length(Exchange<'a>, u64),
    /// The body comes in chunks; the flag says that the last one was read.
    Chunked(Box<Decoder<Exchange<'a>>>, bool),
    /// The body ends with the connection.
    ToClose(Exchange<'a>),
}

impl Read for Body<'_> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        match self {
            Body::Length(_, 0) => Ok(0),
            Body::Length(exchange, left) => {
                let most = usize::try_from(*left).unwrap_or(usize::MAX).min(out.len());
                let n = exchange.read(&mut out[..most])?;
                *left -= n as u64;
                Ok(n)
            }
            Body::Chunked(_, true) => Ok(0),
            Body::Chunked(decoder, ended) => {
                let n = decoder.read(out)?;
                *ended = n == 0;
                Ok(n)
            }
            Body::ToClose(exchange) => exchange.read(out),
        }
    }
}

fn parse_head(buf: &[u8]) -> Result<Option<(AnswerHead, usize)>, Failure> {
    let mut lines = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut res = httparse::Response::new(&mut lines);
    let length = match res.parse(buf) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Failure::Malformed),
    };
    let mut headers = Vec::with_capacity(res.headers.len());
    for line in res.headers.iter() {
        let value = std::str::from_utf8(line.value).map_err(|_| Failure::Malformed)?;
        headers.push((line.name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let status = res.code.ok_or(Failure::Malformed)?;
    let framing = framing(status, &headers)?;
    Ok(Some((AnswerHead { status, headers, framing }, length)))
}

fn framing(status: u16, headers: &[(String, String)]) -> Result<Framing, Failure> {
    let mut values = headers.iter().filter(|(n, _)| n == "transfer-encoding");
    let coding = values.next().map(|(_, v)| v.as_str());
    let mut lengths = headers.iter().filter(|(n, _)| n == "content-length").map(|(_, v)| v);
    let length = lengths.next();
    if lengths.any(|other| Some(other) != length) {
        return Err(Failure::Malformed);
    }
    if status == 204 || status == 304 || (100..200).contains(&status) {
        return Ok(Framing::Empty);
    }
    match (coding, length) {
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(_), _) => Err(Failure::Malformed),
        (None, Some(length)) => length.parse().map(Framing::Length).map_err(|_| Failure::Malformed),
        (None, None) => Ok(Framing::ToClose),
    }
}
