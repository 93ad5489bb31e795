//! Boundaries and identifiers of the events in a `text/event-stream` body.

/// The blank line that ends an event.
pub const EVENT_END: &[u8] = b"\n\n";

/// Returns the end offset of the last complete event in `bytes`.
pub fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(EVENT_END.len()).rposition(|w| w == EVENT_END)?;
    Some(at + EVENT_END.len())
}

/// Returns the number of events in `events`, which consists of complete events.
pub fn count(events: &[u8]) -> u64 {
    events.windows(EVENT_END.len()).filter(|w| *w == EVENT_END).count() as u64
}

/// Longer lines of identifiers are not kept; their events count as events without one.
const MAX_ID_BYTES: usize = 1 << 10;
const ID_FIELD: &[u8] = b"id:";

/// What has been received of a stream since its events were last forwarded, without its bytes.
#[derive(Debug, Default)]
pub struct EventScanner {
    /// The beginning of the current line.
    line: Vec<u8>,
    line_len: usize,
    has_bytes: bool,
    has_fields: bool,
    count: u64,
    ends_with_event: bool,
    last_id: Option<String>,
    current: CurrentEvent,
    /// The number of events that have ended without an identifier.
    without_id: u64,
}

/// What the lines of the current event hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CurrentEvent {
    /// No field: it is a comment so far.
    #[default]
    Comment,
    /// Fields, and no identifier so far.
    Unidentified,
    /// An identifier.
    Identified,
}

impl EventScanner {
    /// Returns the offset in `bytes`, which come next, behind the last event that ends there.
    pub fn last_event_end(&self, bytes: &[u8]) -> Option<usize> {
        let begins_with_end = self.is_at_line_end() && bytes.starts_with(b"\n");
        last_event_end(bytes).or_else(|| begins_with_end.then_some(1))
    }

    /// Scans the next bytes.
    pub fn scan(&mut self, bytes: &[u8]) {
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            let is_whole = line.ends_with(b"\n");
            let text = &line[..line.len() - usize::from(is_whole)];
            let kept = text.len().min(MAX_ID_BYTES - self.line.len());
            self.line.extend_from_slice(&text[..kept]);
            self.line_len += text.len();
            self.ends_with_event &= text.is_empty();
            if is_whole {
                self.end_line();
            }
        }
        self.has_bytes |= !bytes.is_empty();
    }

    fn end_line(&mut self) {
        self.ends_with_event = self.line_len == 0 && self.has_bytes;
        self.count += u64::from(self.ends_with_event);
        if self.line_len == 0 {
            self.without_id += u64::from(self.current == CurrentEvent::Unidentified);
            self.current = CurrentEvent::Comment;
        } else if !self.line.starts_with(b":") {
            self.has_fields = true;
            if self.current == CurrentEvent::Comment {
                self.current = CurrentEvent::Unidentified;
            }
        }
        if let Some(id) = self.line.strip_prefix(ID_FIELD)
            && self.line_len <= MAX_ID_BYTES
        {
            self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
            self.current = CurrentEvent::Identified;
        }
        self.line.clear();
        self.line_len = 0;
        self.has_bytes = true;
    }

    fn is_at_line_end(&self) -> bool {
        self.has_bytes && self.line_len == 0
    }

    /// Returns whether the scanned bytes end with an event.
    pub fn is_at_event_end(&self) -> bool {
        self.ends_with_event
    }

    /// Returns whether there is a field of an event. Events without one are comments.
    pub fn has_fields(&self) -> bool {
        self.has_fields
    }

    /// Returns the number of events that have ended.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether an event that has ended has no identifier, so that nothing names what follows it.
    pub fn lacks_id(&self) -> bool {
        self.without_id > 0
    }

    /// Returns the identifier of the last event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}
