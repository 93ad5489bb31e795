//! Where the events of a `text/event-stream` body begin and end.

/// The blank line that ends an event.
pub const EVENT_END: &[u8] = b"\n\n";

/// Returns the end of the last whole event in `bytes`.
pub fn last_end(bytes: &[u8]) -> Option<usize> {
    let at = bytes.windows(EVENT_END.len()).rposition(|w| w == EVENT_END)?;
    Some(at + EVENT_END.len())
}

/// Returns the number of whole events in `whole`.
pub fn count(whole: &[u8]) -> u64 {
    whole.windows(EVENT_END.len()).filter(|w| *w == EVENT_END).count() as u64
}

/// Returns the identifier of the last event in `whole` that has one.
pub fn last_id(whole: &[u8]) -> Option<String> {
    let lines = whole.split(|b| *b == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
