//! Relays the response to the caller: in full, or event by event for streams.

use std::{
    io::{self, Read},
    net::TcpStream,
    sync::Arc,
};

use tansyknot_core::name::RequestId;
use ureq::http;

use super::attempt::TargetResponse;
use crate::http::{
    events, head,
    memory::ResponseShare,
    respond::{self, ConnectionAction, StreamedResponse},
    response_parts::ResponseParts,
};

/// Maximum length of a response that is not a stream.
const MAX_FULL_RESPONSE_BYTES: u64 = 32 << 20;
/// Size of the buffer for reads from a stream.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Longer events are considered malformed.
const MAX_EVENT_BYTES: usize = 4 << 20;
/// The event that ends a completion's stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Returns whether a response is a stream of events.
pub fn is_stream(response: &TargetResponse) -> bool {
    content_type(response).starts_with("text/event-stream")
}

/// Returns the content type of a response.
pub fn content_type(response: &TargetResponse) -> String {
    let value = response.headers().get("content-type").and_then(|v| v.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}

/// Response headers that are not relayed, as the daemon sets them itself or is their only recipient.
const NOT_RELAYED: &[&str] = &["content-type", "date", "server", "x-in-flight", "x-request-id"];

/// Returns the headers of the response to the caller.
pub fn headers(response: &TargetResponse, request_id: &RequestId) -> Vec<(String, String)> {
    let mut headers = vec![("x-request-id".to_owned(), request_id.to_string())];
    let text = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    let received: Vec<(String, String)> = response.headers().iter().filter_map(text).collect();
    let is_relayed = |(name, _): &&(String, String)| !NOT_RELAYED.contains(&name.as_str());
    headers.extend(head::end_to_end(&received).filter(is_relayed).cloned());
    headers
}

/// Why a full response was not read.
#[derive(Debug)]
pub enum ReadFailure {
    /// It is truncated, or too long.
    Broken(io::Error),
    /// The daemon has no memory left for it.
    NoRoom,
}

impl From<io::Error> for ReadFailure {
    fn from(e: io::Error) -> Self {
        Self::Broken(e)
    }
}

/// A full response of a target.
#[derive(Debug)]
pub struct WholeResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The headers for the caller.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: ResponseParts,
}

impl WholeResponse {
    /// Writes the response to the caller.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left or does not read.
    pub fn write(&self, mut stream: &TcpStream, after: ConnectionAction) -> io::Result<()> {
        let head = (self.status, self.content_type.as_str(), self.headers.as_slice());
        respond::write_parts(&mut stream, head, self.body.parts(), after)
    }
}

/// Reads a full response into `share`, before any byte of it is sent to the caller.
///
/// # Errors
///
/// Fails if the response is truncated or too long, or finds no room.
pub fn read_whole(
    mut response: TargetResponse,
    request_id: &RequestId,
    share: &mut ResponseShare,
) -> Result<WholeResponse, ReadFailure> {
    let status = response.status().as_u16();
    let content_type = content_type(&response);
    let headers = headers(&response, request_id);
    let declared = response.headers().get("content-length").and_then(|v| v.to_str().ok());
    let declared: Option<u64> = declared.and_then(|v| v.parse().ok());
    if declared.is_some_and(|n| n > MAX_FULL_RESPONSE_BYTES) {
        return Err(io::Error::from(io::ErrorKind::InvalidData).into());
    }
    let limited = response.body_mut().with_config().limit(MAX_FULL_RESPONSE_BYTES);
    let body = read_body(&mut limited.reader(), share)?;
    if declared.is_some_and(|n| n != body.len() as u64) {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(WholeResponse { status, content_type, headers, body })
}

fn read_body(
    reader: &mut impl Read,
    share: &mut ResponseShare,
) -> Result<ResponseParts, ReadFailure> {
    let mut body = share.parts();
    let mut buf = [0; READ_BUFFER_BYTES];
    loop {
        let n = reader.read(&mut buf)?;
        if n == 0 {
            return Ok(body);
        }
        if !share.extend(&mut body, &buf[..n]) {
            return Err(ReadFailure::NoRoom);
        }
    }
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// All events have been relayed.
    Complete,
    /// The target closed the connection early or sent a malformed event.
    Broken,
    /// The caller has left or does not read the response.
    CallerLeft,
}

/// Relays the events of a stream and counts them.
pub struct EventRelay {
    out: Option<StreamedResponse>,
    pending: Vec<u8>,
    /// The number of complete events relayed.
    pub event_count: u64,
    needs_done_event: bool,
    has_done_event: bool,
}

/// What marks the end of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMarker {
    /// The `[DONE]` event of the completion interface.
    DoneEvent,
    /// The end of the body.
    EndOfBody,
}

impl EventRelay {
    /// Creates a relay that has not relayed anything yet.
    pub fn new(end_marker: EndMarker) -> Self {
        let needs_done_event = end_marker == EndMarker::DoneEvent;
        Self {
            out: None,
            pending: Vec::new(),
            event_count: 0,
            needs_done_event,
            has_done_event: false,
        }
    }

    /// Returns whether the response to the caller has been started.
    pub fn has_begun(&self) -> bool {
        self.out.is_some()
    }

    /// Starts the response to the caller, unless it has been started already.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left.
    pub fn begin(
        &mut self,
        response: &TargetResponse,
        request_id: &RequestId,
        stream: &Arc<TcpStream>,
        http_1_1: bool,
        after: ConnectionAction,
    ) -> io::Result<()> {
        if self.out.is_none() {
            let headers = headers(response, request_id);
            let (status, content_type) = (response.status().as_u16(), content_type(response));
            let out =
                respond::start_stream(stream, status, &content_type, &headers, http_1_1, after)?;
            self.out = Some(out);
        }
        Ok(())
    }

    /// Relays events until the target's response ends. Calls `on_write` after each write.
    ///
    /// An event that finds no room in `share` breaks the stream.
    pub fn relay(
        &mut self,
        response: TargetResponse,
        share: &mut ResponseShare,
        mut on_write: impl FnMut(),
    ) -> StreamEnd {
        let mut reader = response.into_body().into_reader();
        let mut buf = [0; READ_BUFFER_BYTES];
        // A resumed stream starts with a complete event, so a partial event is discarded.
        self.pending.clear();
        loop {
            match reader.read(&mut buf) {
                Ok(0) => return self.end_of_body(),
                Ok(n) => match self.relay_events(&buf[..n], share) {
                    Ok(true) => on_write(),
                    Ok(false) => {}
                    Err(end) => return end,
                },
                Err(_) => return StreamEnd::Broken,
            }
        }
    }

    /// Appends received bytes and relays the complete events. Returns whether there were any.
    fn relay_events(&mut self, bytes: &[u8], share: &mut ResponseShare) -> Result<bool, StreamEnd> {
        if !share.reserve(&mut self.pending, bytes.len()) {
            return Err(StreamEnd::Broken);
        }
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(StreamEnd::Broken);
        }
        let Some(end) = events::last_event_end(&self.pending) else { return Ok(false) };
        let complete = &self.pending[..end];
        self.event_count += events::count(complete);
        self.has_done_event = self.has_done_event || ends_with_done_event(complete);
        let Some(out) = &mut self.out else { return Err(StreamEnd::CallerLeft) };
        out.send(complete).map_err(|_| StreamEnd::CallerLeft)?;
        self.pending.drain(..end);
        Ok(true)
    }

    fn end_of_body(&self) -> StreamEnd {
        let is_complete =
            self.pending.is_empty() && (self.has_done_event || !self.needs_done_event);
        if is_complete { StreamEnd::Complete } else { StreamEnd::Broken }
    }

    /// Ends the response as complete.
    pub fn finish(mut self) {
        if let Some(out) = self.out.take() {
            out.end();
        }
    }

    /// Ends the response with an error event and without completing it.
    pub fn abort(mut self, event: &[u8]) {
        if let Some(out) = &mut self.out {
            // A write error means that the caller has left, so it can be ignored.
            let _ = out.send(event);
        }
    }
}

fn ends_with_done_event(complete: &[u8]) -> bool {
    complete.strip_suffix(events::EVENT_END).is_some_and(|events| events.ends_with(DONE_EVENT))
}
