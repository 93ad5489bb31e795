//! Passing the answer on: whole ones as a whole, streams event by event.

use std::{
    io::{self, Read},
    net::TcpStream,
};

use tansyknot_core::name::RequestId;
use ureq::http;

use super::attempt::Answer;
use crate::http::{
    events, head,
    respond::{self, After, Streamed, Whole},
};

/// A whole answer may be this long.
const MAX_WHOLE_BYTES: u64 = 32 << 20;
/// Bytes read from a stream at once.
const READ_SIZE: usize = 8 << 10;
/// An event longer than this is malformed.
const MAX_EVENT_BYTES: usize = 4 << 20;
/// The event that ends a completion's stream.
const DONE: &[u8] = b"data: [DONE]";

/// Whether an answer streams.
pub fn is_stream(answer: &Answer) -> bool {
    content_type(answer).starts_with("text/event-stream")
}

/// Returns the content type of an answer.
pub fn content_type(answer: &Answer) -> String {
    let value = answer.headers().get("content-type").and_then(|v| v.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}

/// Headers of an answer that the daemon sets itself, or that are for it alone.
const NOT_RELAYED: &[&str] = &["content-type", "date", "server", "x-in-flight", "x-request-id"];

/// Returns the headers that the caller sees.
pub fn headers(answer: &Answer, request: &RequestId) -> Vec<(String, String)> {
    let mut headers = vec![("x-request-id".to_owned(), request.to_string())];
    let text = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    let received: Vec<(String, String)> = answer.headers().iter().filter_map(text).collect();
    let is_relayed = |(name, _): &&(String, String)| !NOT_RELAYED.contains(&name.as_str());
    headers.extend(head::end_to_end(&received).filter(is_relayed).cloned());
    headers
}

/// Reads a whole answer, before any byte of it goes to the caller.
///
/// # Errors
///
/// Fails if the answer is cut off or too long.
pub fn read_whole(mut answer: Answer, request: &RequestId) -> io::Result<Whole> {
    let status = answer.status().as_u16();
    let content_type = content_type(&answer);
    let headers = headers(&answer, request);
    let declared = answer.headers().get("content-length").and_then(|v| v.to_str().ok());
    let declared: Option<usize> = declared.and_then(|v| v.parse().ok());
    let limited = answer.body_mut().with_config().limit(MAX_WHOLE_BYTES);
    let body = limited.read_to_vec().map_err(io::Error::other)?;
    if declared.is_some_and(|n| n != body.len()) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Whole { status, content_type, headers, body })
}

/// What ends a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Every event has been passed on.
    Whole,
    /// The target's side broke off.
    Broken,
    /// The caller has left or does not read.
    CallerLeft,
}

/// Passes a stream's events on, and knows how many.
pub struct EventRelay {
    out: Option<Streamed>,
    pending: Vec<u8>,
    /// Whole events passed on.
    pub events: u64,
    needs_done: bool,
    done: bool,
}

/// Whether a stream must end with the completion interface's last event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It must.
    Done,
    /// The end of the body is enough.
    EndOfBody,
}

impl EventRelay {
    /// Makes a relay that has passed nothing on.
    pub fn new(ending: Ending) -> Self {
        let needs_done = ending == Ending::Done;
        Self { out: None, pending: Vec::new(), events: 0, needs_done, done: false }
    }

    /// Tells whether the caller has been sent any byte.
    pub fn has_begun(&self) -> bool {
        self.out.is_some()
    }

    /// Starts the answer to the caller, unless it has been started.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left.
    pub fn begin(
        &mut self,
        answer: &Answer,
        request: &RequestId,
        stream: &TcpStream,
        http_1_1: bool,
        after: After,
    ) -> io::Result<()> {
        if self.out.is_none() {
            let headers = headers(answer, request);
            let (status, content_type) = (answer.status().as_u16(), content_type(answer));
            let out =
                respond::start_stream(stream, status, &content_type, &headers, http_1_1, after)?;
            self.out = Some(out);
        }
        Ok(())
    }

    /// Passes events on until the target's side ends. `on_event` is called after each write.
    pub fn pass(&mut self, answer: Answer, mut on_event: impl FnMut()) -> End {
        let mut reader = answer.into_body().into_reader();
        let mut buf = [0; READ_SIZE];
        // A resumed stream starts with a whole event, whatever part of one had come before.
        self.pending.clear();
        loop {
            match reader.read(&mut buf) {
                Ok(0) => return self.end(),
                Ok(n) => match self.take(&buf[..n]) {
                    Ok(true) => on_event(),
                    Ok(false) => {}
                    Err(end) => return end,
                },
                Err(_) => return End::Broken,
            }
        }
    }

    /// Takes bytes in and passes the whole events among them on; tells whether there were any.
    fn take(&mut self, bytes: &[u8]) -> Result<bool, End> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(End::Broken);
        }
        let Some(end) = events::last_end(&self.pending) else { return Ok(false) };
        let whole = &self.pending[..end];
        self.events += events::count(whole);
        self.done = self.done || ends_with_done(whole);
        let Some(out) = &mut self.out else { return Err(End::CallerLeft) };
        out.send(whole).map_err(|_| End::CallerLeft)?;
        self.pending.drain(..end);
        Ok(true)
    }

    fn end(&self) -> End {
        let whole = self.pending.is_empty() && (self.done || !self.needs_done);
        if whole { End::Whole } else { End::Broken }
    }

    /// Ends the answer cleanly.
    pub fn finish(mut self) {
        if let Some(out) = self.out.take() {
            out.end();
        }
    }

    /// Ends the answer with an error event and without a clean end.
    pub fn abort(mut self, event: &[u8]) {
        if let Some(out) = &mut self.out {
            // A caller that has left need not be told.
            let _ = out.send(event);
        }
    }
}

fn ends_with_done(whole: &[u8]) -> bool {
    whole.strip_suffix(events::EVENT_END).is_some_and(|rest| rest.ends_with(DONE))
}
