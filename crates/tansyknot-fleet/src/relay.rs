//! Passing a target's answer on: whole ones as a whole, streams by whole events.

use std::{
    io::{self, Read},
    net::TcpStream,
    time::Duration,
};

use tansyknot_core::clock::BootInstant;
use tansyknot_http::{
    events, head,
    respond::{self, After, Streamed, Whole},
};

use crate::exchange::{AnswerHead, Body, Control, Failure};

/// A whole answer may be this long.
const WHOLE_MAX: u64 = 32 << 20;
/// An event longer than this is malformed.
const EVENT_MAX: usize = 4 << 20;
/// Bytes read from a stream at once.
const READ_SIZE: usize = 8 << 10;

fn headers(head: &AnswerHead) -> Vec<(String, String)> {
    let is_passed = |(name, _): &&(String, String)| name != "content-type";
    head::end_to_end(&head.headers).filter(is_passed).cloned().collect()
}

fn content_type(head: &AnswerHead) -> String {
    head.header("content-type").unwrap_or("application/octet-stream").to_owned()
}

/// Tells whether an answer is a stream of events.
pub fn is_stream(head: &AnswerHead) -> bool {
    head.header("content-type").is_some_and(|v| v.starts_with("text/event-stream"))
}

/// Reads a whole answer.
///
/// # Errors
///
/// Fails if it breaks off or is too long.
pub fn read_whole(head: &AnswerHead, body: Body<'_>, control: &Control) -> Result<Whole, Failure> {
    let mut bytes = Vec::new();
    let read = body.take(WHOLE_MAX + 1).read_to_end(&mut bytes);
    read.map_err(|_| control.failure())?;
    if bytes.len() as u64 > WHOLE_MAX {
        return Err(Failure::Malformed);
    }
    Ok(Whole {
        status: head.status,
        content_type: content_type(head),
        headers: headers(head),
        body: bytes,
    })
}

/// Limits on the waits of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// The first event must be there by then.
    pub first: BootInstant,
    /// Each further one must follow within this span.
    pub gap: Duration,
    /// Nothing is waited for after this.
    pub until: BootInstant,
}

/// Where a caller's stream is, over all targets that have contributed to it.
#[derive(Default)]
pub struct EventRelay {
    out: Option<Streamed>,
    /// The identifier of the last event passed on.
    pub last_id: Option<String>,
    /// When the first event was passed on.
    pub first_at: Option<BootInstant>,
    /// Events passed on.
    pub events: u64,
    /// When the last event was passed on.
    pub last_at: Option<BootInstant>,
    /// The longest pause between two events that were passed on.
    pub longest_gap: Duration,
}

/// How the caller takes a stream.
#[derive(Clone, Copy, Debug)]
pub struct CallerSide<'a> {
    /// The connection.
    pub stream: &'a TcpStream,
    /// Whether the caller understands chunks.
    pub http_1_1: bool,
    /// What the connection does after the answer.
    pub after: After,
}

impl EventRelay {
    /// Tells whether the caller has been sent any byte.
    pub fn has_begun(&self) -> bool {
        self.out.is_some()
    }

    /// Passes events on until the body ends; the caller sees nothing before the first event.
    ///
    /// # Errors
    ///
    /// Fails if the target breaks off or is silent for too long, or the caller leaves.
    pub fn pass(
        &mut self,
        head: &AnswerHead,
        mut body: Body<'_>,
        control: &Control,
        caller: CallerSide<'_>,
        patience: Patience,
    ) -> Result<(), Failure> {
        let mut pending = Vec::new();
        let mut buf = [0; READ_SIZE];
        control.wait_until(patience.first.min(patience.until));
        loop {
            let n = body.read(&mut buf).map_err(|_| control.failure())?;
            if n == 0 {
                return self.end(head, &pending, caller);
            }
            pending.extend_from_slice(&buf[..n]);
            if pending.len() > EVENT_MAX {
                return Err(Failure::Malformed);
            }
            let Some(end) = events::last_end(&pending) else { continue };
            self.send(head, &pending[..end], caller)?;
            pending.drain(..end);
            control.wait_until((BootInstant::now() + patience.gap).min(patience.until));
        }
    }

    fn end(
        &mut self,
        head: &AnswerHead,
        pending: &[u8],
        caller: CallerSide<'_>,
    ) -> Result<(), Failure> {
        if !pending.is_empty() {
            return Err(Failure::CutOff);
        }
        // A stream without any event is still an answer.
        self.begin(head, caller).map_err(|_| Failure::CallerLeft)
    }

    fn begin(&mut self, head: &AnswerHead, caller: CallerSide<'_>) -> io::Result<()> {
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

    fn send(
        &mut self,
        head: &AnswerHead,
        whole: &[u8],
        caller: CallerSide<'_>,
    ) -> Result<(), Failure> {
        self.begin(head, caller).map_err(|_| Failure::CallerLeft)?;
        let Some(out) = &mut self.out else { return Err(Failure::CallerLeft) };
        out.send(whole).map_err(|_| Failure::CallerLeft)?;
        let now = BootInstant::now();
        let gap = self.last_at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.longest_gap = self.longest_gap.max(gap);
        self.last_at = Some(now);
        self.first_at.get_or_insert(now);
        self.events += events::count(whole);
        if let Some(id) = events::last_id(whole) {
            self.last_id = Some(id);
        }
        Ok(())
    }

    /// Ends the caller's stream cleanly.
    pub fn finish(&mut self) {
        if let Some(out) = self.out.take() {
            out.end();
        }
    }
}
