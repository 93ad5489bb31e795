//! Framing of what a target sends through a tunnel, so that the end of its response differs from the
//! end of the tunnel.

use std::io::{self, Read, Write};

/// Maximum number of bytes in a frame.
pub const MAX_FRAME_BYTES: usize = 16 << 10;
/// The length that stands for the regular end of the target's connection.
const END: u32 = 0;
/// The length that stands for a reset of the target's connection.
const RESET: u32 = u32::MAX;
const LENGTH_BYTES: usize = size_of::<u32>();

/// How a target's connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The target has closed it.
    Closed,
    /// The target has reset it.
    Reset,
}

/// Writes a frame of at most [`MAX_FRAME_BYTES`] bytes.
///
/// # Errors
///
/// Fails if the write fails.
pub fn write_data(out: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    let mut buf = Vec::with_capacity(LENGTH_BYTES + bytes.len());
    buf.extend_from_slice(&length.to_le_bytes());
    buf.extend_from_slice(bytes);
    out.write_all(&buf)
}

/// Writes the end of the target's connection.
///
/// # Errors
///
/// Fails if the write fails.
pub fn write_end(out: &mut impl Write, end: End) -> io::Result<()> {
    let length = match end {
        End::Closed => END,
        End::Reset => RESET,
    };
    out.write_all(&length.to_le_bytes())
}

/// Removes the framing from received bytes.
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    length: Vec<u8>,
    /// The number of bytes that are left in the frame.
    left: usize,
    end: Option<End>,
}

impl Decoder {
    /// Returns how the target's connection has ended, once it has.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Moves the content of the received `bytes` to their beginning; returns its length.
    ///
    /// # Errors
    ///
    /// Fails if a frame is too long.
    pub fn decode(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let (mut at, mut content) = (0, 0);
        while at < bytes.len() && self.end.is_none() {
            if self.left == 0 {
                let n = (bytes.len() - at).min(LENGTH_BYTES - self.length.len());
                self.length.extend_from_slice(&bytes[at..at + n]);
                at += n;
                self.begin_frame()?;
                continue;
            }
            let n = (bytes.len() - at).min(self.left);
            bytes.copy_within(at..at + n, content);
            self.left -= n;
            at += n;
            content += n;
        }
        Ok(content)
    }

    /// Begins a frame if its length is complete.
    fn begin_frame(&mut self) -> io::Result<()> {
        let Ok(length) = <[u8; LENGTH_BYTES]>::try_from(self.length.as_slice()) else {
            return Ok(());
        };
        self.length.clear();
        match u32::from_le_bytes(length) {
            END => self.end = Some(End::Closed),
            RESET => self.end = Some(End::Reset),
            length if length as usize <= MAX_FRAME_BYTES => self.left = length as usize,
            _ => return Err(io::Error::other("the frame is too long")),
        }
        Ok(())
    }
}

/// Writes a message: its length, combined with `flag`, and its bytes.
///
/// # Errors
///
/// Fails if the write fails.
pub(crate) fn write_message(out: &mut impl Write, flag: u32, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    let mut buf = (length | flag).to_le_bytes().to_vec();
    buf.extend_from_slice(bytes);
    out.write_all(&buf)
}

/// Reads a word in little-endian order.
///
/// # Errors
///
/// Fails if the read fails.
pub(crate) fn read_word(from: &mut impl Read) -> io::Result<u32> {
    let mut word = [0; LENGTH_BYTES];
    from.read_exact(&mut word)?;
    Ok(u32::from_le_bytes(word))
}

/// Reads the bytes of a message whose length has been read.
///
/// # Errors
///
/// Fails if the message is longer than `max_bytes` or the read fails.
pub(crate) fn read_body(from: &mut impl Read, len: u32, max_bytes: u32) -> io::Result<Vec<u8>> {
    if len > max_bytes {
        return Err(io::Error::other("the message is too long"));
    }
    let mut bytes = vec![0; len as usize];
    from.read_exact(&mut bytes)?;
    Ok(bytes)
}
