//! Messages as datagrams: a format byte and a `postcard` document.

use super::message::Message;

/// The first byte of each datagram; it changes with the format.
const FORMAT: u8 = 0xAB;
/// Longer messages to one daemon are not sent: they would be split on the way.
pub const MAX_BYTES: usize = 1200;
/// The longest datagram to a relay: a message and the addresses that it goes to. One of 1472 bytes
/// is split on an ordinary network.
pub const FORWARD_MAX_BYTES: usize = 1400;

/// Encodes a message in as many datagrams as it takes. An item that fits none is left out and
/// logged.
pub fn datagrams(message: Message) -> Vec<Vec<u8>> {
    if let Some(bytes) = encode(&message) {
        return vec![bytes];
    }
    let Some((first, rest)) = message.split() else {
        log::warn!("an item of a message is longer than a datagram");
        return Vec::new();
    };
    let mut all = datagrams(first);
    all.extend(datagrams(rest));
    all
}

/// Encodes a message; `None` if it is too long for a datagram.
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    let most = match message {
        Message::Forward(_) => FORWARD_MAX_BYTES,
        _ => MAX_BYTES,
    };
    let mut buf = vec![FORMAT];
    buf.extend(postcard::to_allocvec(message).ok()?);
    (buf.len() <= most).then_some(buf)
}

/// Decodes a datagram; `None` if it is of another format or malformed.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (format, rest) = bytes.split_first()?;
    (*format == FORMAT).then(|| postcard::from_bytes(rest).ok())?
}
