//! Encoding of messages as datagrams: a format byte followed by a `postcard` document.

use super::message::Message;

/// The first byte of each datagram and of each request for a snapshot; it changes with each change
/// of the format.
pub const FORMAT: u8 = 0xB2;
/// Maximum size of a datagram to one daemon; larger ones could be fragmented on the way.
pub const MAX_BYTES: usize = 1200;
/// Maximum size of a datagram to a relay: a message and the addresses of its recipients. Payloads
/// above 1472 bytes are fragmented on an ordinary network.
pub const FORWARD_MAX_BYTES: usize = 1400;

/// Encodes a message in as many datagrams as needed. An item that does not fit into a datagram is
/// dropped and logged.
pub fn datagrams(message: Message) -> Vec<Vec<u8>> {
    if let Some(bytes) = encode(&message) {
        return vec![bytes];
    }
    let Some((first, rest)) = message.split() else {
        log::warn!("an item of a message does not fit into a datagram and is dropped");
        return Vec::new();
    };
    let mut all = datagrams(first);
    all.extend(datagrams(rest));
    all
}

/// Encodes a message; `None` if it does not fit into a datagram.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let max_bytes = match message {
        Message::Forward(_) => FORWARD_MAX_BYTES,
        _ => MAX_BYTES,
    };
    let mut buf = vec![FORMAT];
    buf.extend(postcard::to_allocvec(message).ok()?);
    (buf.len() <= max_bytes).then_some(buf)
}

/// Decodes a datagram; `None` if it has another format or is malformed.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (format, rest) = bytes.split_first()?;
    (*format == FORMAT).then(|| postcard::from_bytes(rest).ok())?
}
