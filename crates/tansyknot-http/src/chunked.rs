//! Decodes bodies in the chunked transfer coding, with a bound on all that is not content.

use std::io::{self, Read};

/// Maximum digits of a chunk's size, those of 64 bits.
const MAX_SIZE_DIGITS: usize = 16;
/// Maximum length of the extensions of one chunk in bytes.
const MAX_EXTENSION_BYTES: usize = 256;

/// Maximum length of the trailer section in bytes.
const MAX_TRAILER_BYTES: usize = 4 << 10;

/// What is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The line with the size of a chunk.
    Size,
    /// So many bytes of a chunk.
    Content(u64),
    /// Nothing: the last chunk and the trailer section have been read.
    End,
}

/// A reader of the content of a chunked body. A read of zero bytes is its regular end.
///
/// A malformed body fails with [`io::ErrorKind::InvalidData`], as soon as no further byte can make it
/// valid.
#[derive(Debug)]
pub struct ChunkedReader<R> {
    source: R,
    state: State,
}

impl<R: Read> ChunkedReader<R> {
    /// Creates a reader of the body that `source` begins with.
    pub fn new(source: R) -> Self {
        Self { source, state: State::Size }
    }

    /// Returns the source.
    pub fn source(&self) -> &R {
        &self.source
    }

    fn read_byte(&mut self) -> io::Result<u8> {
        let mut byte = [0];
        self.source.read_exact(&mut byte)?;
        Ok(byte[0])
    }

    fn expect(&mut self, expected: &[u8]) -> io::Result<()> {
        for byte in expected {
            if self.read_byte()? != *byte {
                return Err(malformed("the end of a line is missing"));
            }
        }
        Ok(())
    }

    fn read_size(&mut self) -> io::Result<u64> {
        let mut size = 0;
        for digits in 0..=MAX_SIZE_DIGITS {
            let byte = self.read_byte()?;
            let digit = char::from(byte).to_digit(16);
            match (byte, digit) {
                (_, Some(digit)) if digits < MAX_SIZE_DIGITS => {
                    size = (size << 4) | u64::from(digit);
                }
                (b'\r', _) if digits > 0 => {
                    self.expect(b"\n")?;
                    return Ok(size);
                }
                (b';' | b' ' | b'\t', _) if digits > 0 => {
                    self.skip_extensions()?;
                    return Ok(size);
                }
                _ => return Err(malformed("a chunk has no valid size")),
            }
        }
        Err(malformed("the size of a chunk is too long"))
    }

    fn skip_extensions(&mut self) -> io::Result<()> {
        for _ in 0..MAX_EXTENSION_BYTES {
            match self.read_byte()? {
                b'\r' => return self.expect(b"\n"),
                byte if is_text(byte) => {}
                _ => break,
            }
        }
        Err(malformed("the extensions of a chunk are malformed or too long"))
    }

    /// Skips the trailer section, which is not forwarded, and the empty line after it.
    fn skip_trailers(&mut self) -> io::Result<()> {
        let mut line_len = 0;
        let mut has_name = false;
        for _ in 0..MAX_TRAILER_BYTES {
            match self.read_byte()? {
                b'\r' if line_len == 0 => return self.expect(b"\n"),
                b'\r' if has_name => {
                    self.expect(b"\n")?;
                    (line_len, has_name) = (0, false);
                    continue;
                }
                b':' if line_len > 0 => has_name = true,
                byte if has_name && is_text(byte) => {}
                byte if !has_name && is_token(byte) => {}
                _ => break,
            }
            line_len += 1;
        }
        Err(malformed("the trailer section is malformed or too long"))
    }
}

impl<R: Read> Read for ChunkedReader<R> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        if out.is_empty() {
            return Ok(0);
        }
        if self.state == State::Size {
            self.state = match self.read_size()? {
                0 => {
                    self.skip_trailers()?;
                    State::End
                }
                size => State::Content(size),
            };
        }
        let State::Content(left) = self.state else { return Ok(0) };
        let max = usize::try_from(left).unwrap_or(usize::MAX).min(out.len());
        let n = self.source.read(&mut out[..max])?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.state = match left - n as u64 {
            0 => {
                self.expect(b"\r\n")?;
                State::Size
            }
            left => State::Content(left),
        };
        Ok(n)
    }
}

/// Returns whether a byte may be part of a field name.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a byte may be part of the value of a field, or of an extension.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}

fn malformed(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
