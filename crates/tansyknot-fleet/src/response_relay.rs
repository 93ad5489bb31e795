//! Relay of a target's response to the caller: a plain response in one piece, a stream in complete
//! events.

use std::{
    cell::Cell,
    io::{self, Read, Write},
    net::TcpStream,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use rustix::net::sockopt;
use tansyknot_core::clock::BootInstant;
use tansyknot_http::{
    events::EventScanner,
    head,
    respond::{self, ConnectionAction, StreamedResponse},
    response_head::ResponseHead,
    response_parts::{Part, ResponseParts},
};

use crate::{
    condition::interval::IntervalMeter,
    exchange::{Body, Control, Failure},
    response_buffers::Reservation,
};

/// Maximum body of a response that is not a stream, in bytes.
const MAX_BODY_BYTES: u64 = 32 << 20;
/// Maximum size of an event in bytes; a longer one is malformed.
const MAX_EVENT_BYTES: usize = 4 << 20;
/// Maximum bytes of comments before an event. A stream of comments alone makes no progress.
const MAX_COMMENT_BYTES: usize = 256 << 10;
/// Size of the read buffer of a stream in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

fn headers(head: &ResponseHead) -> Vec<(String, String)> {
    let is_forwarded = |(name, _): &&(String, String)| name != "content-type";
    head::end_to_end(&head.headers).filter(is_forwarded).cloned().collect()
}

fn content_type(head: &ResponseHead) -> String {
    head.header("content-type").unwrap_or("application/octet-stream").to_owned()
}

/// Returns whether a response is an event stream.
pub fn is_stream(head: &ResponseHead) -> bool {
    head.header("content-type").is_some_and(|v| v.starts_with("text/event-stream"))
}

/// A full response of a target.
#[derive(Debug)]
pub struct TargetResponse {
    /// The HTTP status code.
    pub status: u16,
    content_type: String,
    headers: Vec<(String, String)>,
    body: ResponseParts,
}

/// Reads a full response.
///
/// # Errors
///
/// Fails if the response breaks off or is too long, or if `buffer` has no room for it.
pub fn read_response(
    head: &ResponseHead,
    mut body: Body<'_>,
    control: &Control,
    buffer: &mut Reservation,
) -> Result<TargetResponse, Failure> {
    let mut parts = buffer.parts();
    let mut chunk = [0; READ_BUFFER_BYTES];
    loop {
        let n = body.read(&mut chunk).map_err(|_| control.failure())?;
        if n == 0 {
            break;
        }
        if (parts.len() + n) as u64 > MAX_BODY_BYTES {
            return Err(Failure::Malformed);
        }
        if !buffer.extend(&mut parts, &chunk[..n]) {
            return Err(Failure::NoBuffer);
        }
        if buffer.takes_larger_buffer() {
            body.enlarge_buffer();
        }
    }
    Ok(TargetResponse {
        status: head.status,
        content_type: content_type(head),
        headers: headers(head),
        body: parts,
    })
}

/// Time limits for a target's response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTimeouts {
    /// The deadline of the response head, and of the first event or a plain response's body.
    pub first_by: BootInstant,
    /// Maximum gap between two events.
    pub gap: Duration,
    /// The deadline of the request as a whole.
    pub deadline: BootInstant,
    /// The deadline of writes to the caller.
    pub write_by: BootInstant,
}

/// The state of a caller's stream, across all targets that have contributed to it.
#[derive(Default)]
pub struct EventRelay {
    out: Option<StreamedResponse>,
    /// The identifier of the last event relayed.
    pub last_id: Option<String>,
    /// Whether an event without an identifier was relayed, so that no target can go on after it.
    pub lacks_id: Rc<Cell<bool>>,
    /// When the first event was relayed.
    pub first_at: Option<BootInstant>,
    /// Number of events relayed.
    pub events: u64,
    /// When the last event was relayed.
    pub last_at: Option<BootInstant>,
    /// The longest gap between two relayed events.
    pub longest_gap: Duration,
}

/// Observes the time between the events of one target's response.
pub struct EventObserver<'a> {
    meter: IntervalMeter,
    last_at: Option<BootInstant>,
    /// Receives the median interval of each part of the response.
    record: &'a dyn Fn(Duration),
}

impl<'a> EventObserver<'a> {
    /// Creates an observer that passes each median interval to `record`.
    pub fn new(record: &'a dyn Fn(Duration)) -> Self {
        Self { meter: IntervalMeter::default(), last_at: None, record }
    }

    fn record(&mut self, events: u64) {
        let now = BootInstant::now();
        let Some(last) = self.last_at.replace(now) else { return };
        if let Some(median) = self.meter.record(now.duration_since(last), events) {
            (self.record)(median);
        }
    }

    /// Observes the last part of the response.
    pub fn finish(mut self) {
        if let Some(median) = self.meter.take_median() {
            (self.record)(median);
        }
    }
}

/// The caller's connection, and how it takes a response.
#[derive(Clone, Copy, Debug)]
pub struct CallerConnection<'a> {
    /// The connection.
    pub stream: &'a Arc<TcpStream>,
    /// Whether the caller supports HTTP/1.1 and so the chunked encoding.
    pub http_1_1: bool,
    /// What becomes of the connection after the response.
    pub after: ConnectionAction,
}

/// Returns why a write to the caller failed. A caller that does not read is disconnected with a
/// reset, which discards the unread bytes and shows the caller that its response is not complete.
pub fn caller_failure(e: &io::Error, caller: &TcpStream) -> Failure {
    if !matches!(e.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock) {
        return Failure::CallerLeft;
    }
    // Without the option, the bytes stay in the kernel's buffer until the caller has read them.
    let _ = sockopt::set_socket_linger(caller, Some(Duration::ZERO));
    Failure::CallerStalled
}

/// Writes to a caller until a deadline.
struct UntilDeadline<'a> {
    caller: &'a TcpStream,
    deadline: BootInstant,
}

impl Write for UntilDeadline<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if BootInstant::now() >= self.deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.caller.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a full response to the caller until `deadline`.
///
/// # Errors
///
/// Fails if the caller leaves or does not read.
pub fn write_response(
    caller: CallerConnection<'_>,
    response: &TargetResponse,
    deadline: BootInstant,
) -> Result<(), Failure> {
    let mut out = UntilDeadline { caller: caller.stream, deadline };
    let head = (response.status, response.content_type.as_str(), response.headers.as_slice());
    respond::write_parts(&mut out, head, response.body.parts(), caller.after)
        .map_err(|e| caller_failure(&e, caller.stream))
}

/// What was received of a stream and not forwarded yet.
struct ReceivedEvents {
    pending: ResponseParts,
    scanner: EventScanner,
    /// What the reservation held before.
    held_before: u64,
}

impl ReceivedEvents {
    fn new(buffer: &Reservation) -> Self {
        let (pending, held_before) = (buffer.parts(), buffer.bytes());
        Self { pending, scanner: EventScanner::default(), held_before }
    }

    fn add(&mut self, bytes: &[u8], buffer: &mut Reservation) -> Result<(), Failure> {
        let has_room = buffer.extend(&mut self.pending, bytes);
        has_room.then_some(()).ok_or(Failure::NoBuffer)
    }

    fn clear(&mut self, buffer: &mut Reservation) {
        self.pending.clear();
        buffer.shrink_to(self.held_before);
        self.scanner = EventScanner::default();
    }
}

/// Where the events of a stream go, and within which limits.
pub struct StreamSink<'a, 'o> {
    /// The caller.
    pub caller: CallerConnection<'a>,
    /// Called before the first event is sent to the caller.
    pub on_first_event: &'a dyn Fn(),
    /// The time limits of the target and the caller.
    pub timeouts: ResponseTimeouts,
    /// Measures the time between events.
    pub observer: &'a mut EventObserver<'o>,
    /// Holds the bytes that were not forwarded yet.
    pub buffer: &'a mut Reservation,
}

impl EventRelay {
    /// Returns whether any byte has been sent to the caller.
    pub fn has_begun(&self) -> bool {
        self.out.is_some()
    }

    /// Relays events until the body ends; the caller receives nothing before the first event.
    ///
    /// # Errors
    ///
    /// Fails if the target closes the connection early or exceeds a time limit, if the caller leaves
    /// or does not read, or if `buffer` has no room for an event.
    pub fn forward_events(
        &mut self,
        head: &ResponseHead,
        body: Body<'_>,
        control: &Control,
        mut sink: StreamSink<'_, '_>,
    ) -> Result<(), Failure> {
        let held = sink.buffer.bytes();
        let result = self.forward_body(head, body, control, &mut sink);
        sink.buffer.shrink_to(held);
        result
    }

    fn forward_body(
        &mut self,
        head: &ResponseHead,
        mut body: Body<'_>,
        control: &Control,
        sink: &mut StreamSink<'_, '_>,
    ) -> Result<(), Failure> {
        let (caller, timeouts) = (sink.caller, sink.timeouts);
        // Only its events show that a stream without a declared end was not cut off.
        let mut may_end = !matches!(body, Body::UntilClose(_));
        let mut events = ReceivedEvents::new(sink.buffer);
        let mut buf = [0; READ_BUFFER_BYTES];
        control.set_deadline(timeouts.first_by.min(timeouts.deadline));
        loop {
            let n = body.read(&mut buf).map_err(|_| control.failure())?;
            if n == 0 && !may_end {
                return Err(Failure::ClosedEarly);
            }
            if n == 0 {
                return self.end(head, &events, sink);
            }
            let end = events.scanner.last_event_end(&buf[..n]);
            let (complete, rest) = buf[..n].split_at(end.unwrap_or(0));
            events.scanner.scan(complete);
            if events.pending.len() + complete.len() > MAX_EVENT_BYTES {
                return Err(Failure::Malformed);
            }
            if end.is_none() || !events.scanner.has_fields() {
                // Comments are sent with the next event.
                events.add(complete, sink.buffer)?;
                if end.is_some() && events.pending.len() > MAX_COMMENT_BYTES {
                    return Err(Failure::Malformed);
                }
                events.scanner.scan(rest);
                events.add(rest, sink.buffer)?;
            } else {
                may_end = true;
                sink.observer.record(events.scanner.count());
                if !self.has_begun() {
                    (sink.on_first_event)();
                }
                self.send(head, &events, complete, (caller, timeouts.write_by))?;
                events.clear(sink.buffer);
                events.scanner.scan(rest);
                events.add(rest, sink.buffer)?;
                control.set_deadline((BootInstant::now() + timeouts.gap).min(timeouts.deadline));
            }
            if sink.buffer.takes_larger_buffer() {
                body.enlarge_buffer();
            }
        }
    }

    fn end(
        &mut self,
        head: &ResponseHead,
        events: &ReceivedEvents,
        sink: &StreamSink<'_, '_>,
    ) -> Result<(), Failure> {
        let caller = sink.caller;
        if events.pending.is_empty() {
            // A stream without events is still a valid response.
            return self.begin(head, caller).map_err(|e| caller_failure(&e, caller.stream));
        }
        if !events.scanner.is_at_event_end() {
            return Err(Failure::ClosedEarly);
        }
        self.send(head, events, &[], (caller, sink.timeouts.write_by))
    }

    fn begin(&mut self, head: &ResponseHead, caller: CallerConnection<'_>) -> io::Result<()> {
        if self.out.is_none() {
            let out = respond::start_stream(
                caller.stream,
                head.status,
                &content_type(head),
                &headers(head),
                caller.http_1_1,
                caller.after,
            )?;
            self.out = Some(out);
        }
        Ok(())
    }

    /// Sends complete events: the pending bytes, and `rest` after them.
    fn send(
        &mut self,
        head: &ResponseHead,
        events: &ReceivedEvents,
        rest: &[u8],
        (caller, write_by): (CallerConnection<'_>, BootInstant),
    ) -> Result<(), Failure> {
        let failure = |e: &io::Error| caller_failure(e, caller.stream);
        self.begin(head, caller).map_err(|e| failure(&e))?;
        let Some(out) = &mut self.out else { return Err(Failure::CallerLeft) };
        let send = |part: &[u8]| {
            if BootInstant::now() >= write_by {
                return Err(io::ErrorKind::TimedOut.into());
            }
            out.send(part)
        };
        let pending = events.pending.parts().iter().map(Part::as_ref);
        let parts = pending.chain((!rest.is_empty()).then_some(rest));
        parts.into_iter().try_for_each(send).map_err(|e| failure(&e))?;
        let now = BootInstant::now();
        let gap = self.last_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.longest_gap = self.longest_gap.max(gap);
        self.last_at = Some(now);
        self.first_at.get_or_insert(now);
        self.events += events.scanner.count();
        if let Some(id) = events.scanner.last_id() {
            self.last_id = Some(id.to_owned());
        }
        self.lacks_id.set(self.lacks_id.get() || events.scanner.lacks_id());
        Ok(())
    }

    /// Ends the caller's stream as complete.
    pub fn finish(&mut self) {
        if let Some(out) = self.out.take() {
            out.end();
        }
    }
}
