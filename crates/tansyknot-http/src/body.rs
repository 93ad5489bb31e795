//! The body of a request, and its receipt up to a size limit and within the daemon's memory.

use std::{
    borrow::Cow,
    fmt,
    io::{self, Read},
    mem,
    net::TcpStream,
    sync::Arc,
    time::Duration,
};

use tansyknot_core::refusal::{Reason, Refusal};

use crate::{
    chunked::ChunkedReader,
    head::Framing,
    memory::{BLOCK_BYTES, NoRoom, PROGRESS_BYTES, RequestMemory, Reservation, SMALL_BODY_BYTES},
    receive::{self, ENLARGED_BUFFER_BYTES, Receiver},
};

/// Bodies up to this length consist of one part of their own size, longer ones of blocks.
const SHORT_BODY_BYTES: usize = 4 << 10;
/// `Retry-After` of a request for which no memory is left.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_secs(1);

/// The body of a request, in parts.
#[derive(Default)]
pub struct Body {
    parts: Vec<Part>,
    length: usize,
    /// `None` for bodies that were not received from a caller.
    reservation: Option<Reservation>,
}

struct Part {
    bytes: Box<[u8]>,
    length: usize,
}

impl Body {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the parts, in order.
    pub fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(|part| &part.bytes[..part.length])
    }

    /// Returns a reader of the bytes.
    pub fn reader(&self) -> impl Read {
        Parts(self.parts().collect())
    }

    /// Returns the bytes in one piece, which is a copy if the body has several parts.
    pub fn contiguous(&self) -> Cow<'_, [u8]> {
        match &self.parts[..] {
            [] => Cow::Borrowed(&[]),
            [part] => Cow::Borrowed(&part.bytes[..part.length]),
            _ => Cow::Owned(self.parts().collect::<Vec<_>>().concat()),
        }
    }

    /// Returns the room for further bytes in the last part, if there is any.
    fn vacant(&mut self) -> Option<&mut [u8]> {
        let part = self.parts.last_mut().filter(|part| part.length < part.bytes.len())?;
        Some(&mut part.bytes[part.length..])
    }

    /// Adds the first `n` bytes of the vacant room to the body.
    fn extend(&mut self, n: usize) {
        if let Some(part) = self.parts.last_mut() {
            part.length += n;
            self.length += n;
        }
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        let length = bytes.len();
        let part = Part { bytes: bytes.into_boxed_slice(), length };
        Self { parts: vec![part], length, reservation: None }
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        self.contiguous() == other.contiguous()
    }
}

impl Eq for Body {}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Body").field("length", &self.length).finish_non_exhaustive()
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.release(mem::take(&mut self.parts).into_iter().map(|part| part.bytes));
        }
    }
}

/// Reads slices one after the other.
struct Parts<'a>(Vec<&'a [u8]>);

impl Read for Parts<'_> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let mut read = 0;
        while let Some(part) = self.0.first_mut()
            && read < out.len()
        {
            read += part.read(&mut out[read..])?;
            if part.is_empty() {
                self.0.remove(0);
            }
        }
        Ok(read)
    }
}

/// Checks the announced length of a body.
///
/// # Errors
///
/// Fails if it is longer than `limit`.
pub(crate) fn check_length(framing: Framing, limit: u64) -> Result<(), Refusal> {
    match framing {
        Framing::Length(length) if length > limit => Err(too_large(limit)),
        _ => Ok(()),
    }
}

/// Returns whether a body may take long to arrive, so that a request which its head decides should be
/// refused before. After other bodies the connection can be used for another request.
pub(crate) fn may_be_long(rx: &Receiver, framing: Framing) -> bool {
    match framing {
        Framing::None => false,
        Framing::Length(length) => length > SMALL_BODY_BYTES,
        Framing::Chunked => !rx.buffered().ends_with(b"0\r\n\r\n"),
    }
}

/// Reads the entire body.
///
/// # Errors
///
/// Fails if the body is longer than `limit`, arrives too slowly, is malformed, ends early or finds no
/// room in `memory`.
pub fn read(
    rx: &mut Receiver,
    framing: Framing,
    limit: u64,
    memory: &Arc<RequestMemory>,
    stream: &Arc<TcpStream>,
) -> Result<Body, Refusal> {
    match framing {
        Framing::None | Framing::Length(0) => Ok(Body::default()),
        Framing::Length(length) => {
            check_length(framing, limit)?;
            let has_arrived = rx.buffered().len() as u64 >= length;
            let reservation = match has_arrived {
                true => Reservation::new(memory),
                false => Reservation::receiving(memory, stream),
            };
            let length = usize::try_from(length).map_err(|_| too_large(limit))?;
            let mut receipt = Receipt::new(reservation, stream, limit);
            receipt.reserve(length)?;
            receipt.read_to_end(&mut rx.take(length as u64))?;
            if receipt.body.length == length { receipt.end() } else { Err(truncated()) }
        }
        Framing::Chunked => {
            let mut receipt = Receipt::new(Reservation::receiving(memory, stream), stream, limit);
            receipt.read_to_end(&mut ChunkedReader::new(rx))?;
            receipt.end()
        }
    }
}

/// A body that is being received. Its blocks are kept for other bodies even if it fails.
struct Receipt<'a> {
    body: Body,
    stream: &'a TcpStream,
    /// Whether the kernel's buffer is enlarged, as the body is a long one.
    has_large_buffer: bool,
    limit: u64,
    /// The bytes that are reserved and not yet part of the body.
    reserved: usize,
    /// The length of the body when progress was last recorded.
    recorded: usize,
}

impl<'a> Receipt<'a> {
    fn new(reservation: Reservation, stream: &'a TcpStream, limit: u64) -> Self {
        let body = Body { parts: Vec::new(), length: 0, reservation: Some(reservation) };
        Self { body, stream, has_large_buffer: false, limit, reserved: 0, recorded: 0 }
    }

    fn reservation(&mut self) -> &mut Reservation {
        self.body.reservation.as_mut().expect("a received body has a reservation")
    }

    /// Reserves the bytes of a body whose length is known.
    fn reserve(&mut self, length: usize) -> Result<(), Refusal> {
        let bytes = match length {
            ..=SHORT_BODY_BYTES => length,
            _ => length.next_multiple_of(BLOCK_BYTES),
        };
        let is_long = (self.body.length + bytes) as u64 > SMALL_BODY_BYTES;
        let enlarges_buffer = is_long && !self.has_large_buffer;
        let buffer_bytes = if enlarges_buffer { ENLARGED_BUFFER_BYTES } else { 0 };
        self.reservation().grow(bytes as u64 + buffer_bytes).map_err(|NoRoom| no_memory())?;
        if enlarges_buffer {
            receive::enlarge_buffer(self.stream);
            self.has_large_buffer = true;
        }
        self.reserved = bytes;
        Ok(())
    }

    /// Adds a part of reserved bytes, which are reserved first if there are none left.
    fn add_part(&mut self) -> Result<(), Refusal> {
        if self.reserved == 0 {
            let is_first = self.body.parts.is_empty();
            self.reserve(if is_first { SHORT_BODY_BYTES } else { BLOCK_BYTES })?;
        }
        let bytes = match self.reserved {
            n @ ..=SHORT_BODY_BYTES => vec![0; n].into_boxed_slice(),
            _ => self.reservation().block(),
        };
        self.reserved -= bytes.len();
        self.body.parts.push(Part { bytes, length: 0 });
        Ok(())
    }

    /// Reads the body until `reader` ends.
    fn read_to_end(&mut self, reader: &mut impl Read) -> Result<(), Refusal> {
        loop {
            if self.body.vacant().is_none() && self.reserved > 0 {
                self.add_part()?;
            }
            // Without a vacant part, a byte shows whether another one is needed.
            let mut probe = [0];
            let vacant = self.body.vacant();
            let is_probe = vacant.is_none();
            let read = reader.read(vacant.unwrap_or(&mut probe));
            let n = match read {
                Ok(n @ 1..) => n,
                // A body that gives way is not read any further.
                _ if self.reservation().is_evicted() => return Err(no_memory()),
                Ok(_) => return Ok(()),
                Err(e) => return Err(read_refusal(&e)),
            };
            if (self.body.length + n) as u64 > self.limit {
                return Err(too_large(self.limit));
            }
            if is_probe {
                self.add_part()?;
                self.body.vacant().expect("a new part is vacant")[0] = probe[0];
            }
            self.body.extend(n);
            self.record_progress();
        }
    }

    fn record_progress(&mut self) {
        if (self.body.length - self.recorded) as u64 >= PROGRESS_BYTES {
            self.recorded = self.body.length;
            let received = self.recorded as u64;
            self.reservation().record_progress(received);
        }
    }

    /// Returns the whole body with its reservation.
    fn end(mut self) -> Result<Body, Refusal> {
        self.reservation().end_receipt().map_err(|NoRoom| no_memory())?;
        if self.has_large_buffer {
            receive::restore_buffer(self.stream);
        }
        Ok(self.body)
    }
}

fn too_large(limit: u64) -> Refusal {
    Refusal::not_run(Reason::BodyTooLarge, format!("a body may have {limit} bytes"))
}

fn truncated() -> Refusal {
    Refusal::not_run(Reason::CallerLeft, "the body was cut off")
}

fn no_memory() -> Refusal {
    let detail = "other requests hold the daemon's memory";
    Refusal::retry_later(Reason::NoMemory, RETRY_AFTER_NO_MEMORY, detail)
}

fn read_refusal(e: &io::Error) -> Refusal {
    match e.kind() {
        io::ErrorKind::TimedOut => Refusal::not_run(Reason::SlowSender, "the body came too slowly"),
        io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData => {
            Refusal::not_run(Reason::BadRequest, "a chunk is malformed")
        }
        _ => truncated(),
    }
}
