//! Boundaries and identifiers of the events in a `text/event-stream` body.

/// The blank line that ends an event.
pub const EVENT_END: &[u8] = b"\n\n";

/// Returns the end offset of the last complete event in `bytes`.
pub fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(EVENT_END.len()).rposition(|w| w == EVENT_END)?;
    Some(at + EVENT_END.len())
}

/// Returns whether `bytes`, which consist of complete blocks, have a field of an event. Blocks without
/// one are comments.
pub fn has_fields(bytes: &[u8]) -> bool {
    bytes.split(|b| *b == b'\n').any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Returns the number of events in `events`, which consists of complete events.
pub fn count(events: &[u8]) -> u64 {
    events.windows(EVENT_END.len()).filter(|w| *w == EVENT_END).count() as u64
}

/// Returns the identifier of the last event in `events` that has one; `events` consists of complete
/// events.
pub fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|b| *b == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
