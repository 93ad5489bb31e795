//! Receives bytes from a caller with a deadline.

use std::{
    io::{self, Read},
    net::{TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

use rustix::net::sockopt;
use tansyknot_core::clock::BootInstant;

/// Size of one read from the socket, in bytes.
const READ_SIZE: usize = 4096;
/// The size of the kernel's buffer for bytes that a caller has sent and the daemon has not read; Linux
/// uses twice as much. Without a limit, the buffer of each connection grows to several megabytes.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// What the kernel's buffer may hold of a connection.
pub const BUFFER_BYTES: u64 = 2 * RECEIVE_BUFFER_BYTES as u64;
/// The same size while a long body is received. It allows 50 Mbit/s at a round trip of 10 ms.
const LONG_BODY_RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// What the kernel's buffer may hold once it was enlarged for a long body.
pub(crate) const ENLARGED_BUFFER_BYTES: u64 = 2 * LONG_BODY_RECEIVE_BUFFER_BYTES as u64;

/// Bounds the kernel's buffers of the connections that `listener` accepts from now on.
///
/// # Errors
///
/// Fails if the system does not accept the size.
pub fn limit_buffers(listener: &TcpListener) -> io::Result<()> {
    Ok(sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES)?)
}

/// Enlarges the kernel's buffer of a connection for a long body.
pub(crate) fn enlarge_buffer(stream: &TcpStream) {
    // The body arrives in a smaller buffer as well, only more slowly.
    let _ = sockopt::set_socket_recv_buffer_size(stream, LONG_BODY_RECEIVE_BUFFER_BYTES);
}

/// Restores the kernel's buffer of a connection after a long body.
pub(crate) fn restore_buffer(stream: &TcpStream) {
    let _ = sockopt::set_socket_recv_buffer_size(stream, RECEIVE_BUFFER_BYTES);
}

/// Where a receiver reads from.
pub trait Source {
    /// Reads bytes; returns their number, zero at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, or with [`io::ErrorKind::TimedOut`] after the timeout.
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize>;

    /// Sets the timeout of each following read.
    ///
    /// # Errors
    ///
    /// Fails if the source does not accept the timeout.
    fn set_timeout(&mut self, timeout: Duration) -> io::Result<()>;
}

impl Source for Arc<TcpStream> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        (&**self).read(out).map_err(timed_out)
    }

    fn set_timeout(&mut self, timeout: Duration) -> io::Result<()> {
        self.set_read_timeout(Some(timeout))
    }
}

/// Bytes that were received and not consumed.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// The number of bytes that are consumed.
    start: usize,
}

impl ReadBuffer {
    /// Returns the bytes that are not consumed.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Returns whether all bytes are consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.bytes.len()
    }

    /// Consumes the first `n` bytes.
    ///
    /// # Panics
    ///
    /// Panics if there are fewer.
    pub fn consume(&mut self, n: usize) {
        self.start += n;
        assert!(self.start <= self.bytes.len(), "more is consumed than was received");
        if self.is_empty() {
            self.bytes.clear();
            self.bytes.shrink_to(READ_SIZE);
            self.start = 0;
        }
    }

    /// Appends bytes that were received.
    pub fn append(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.reserve_exact(bytes.len());
        self.bytes.extend_from_slice(bytes);
    }

    /// Moves bytes to `out`; returns their number.
    pub fn take(&mut self, out: &mut [u8]) -> usize {
        let n = out.len().min(self.unread().len());
        out[..n].copy_from_slice(&self.unread()[..n]);
        self.consume(n);
        n
    }
}

/// Reads from a caller's connection through a buffer that is kept between requests.
///
/// Socket timeouts can't use a virtual clock, so this module uses the operating system's time.
pub struct Receiver {
    source: Box<dyn Source>,
    buf: ReadBuffer,
    deadline: BootInstant,
}

impl Receiver {
    /// Creates a receiver; its deadline has passed until [`Self::set_deadline`] is called.
    pub fn new(source: impl Source + 'static) -> Self {
        let (buf, deadline) = (ReadBuffer::default(), BootInstant::now());
        Self { source: Box::new(source), buf, deadline }
    }

    /// Sets the deadline of reads to `timeout` from now.
    pub fn set_deadline(&mut self, timeout: Duration) {
        self.deadline = BootInstant::now() + timeout;
    }

    /// Returns the bytes received and not consumed.
    pub fn buffered(&self) -> &[u8] {
        self.buf.unread()
    }

    /// Drops the first `n` buffered bytes.
    pub fn consume(&mut self, n: usize) {
        self.buf.consume(n);
    }

    /// Reads more bytes into the buffer; returns their number, zero at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the read fails, with [`io::ErrorKind::TimedOut`] past the deadline.
    pub fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; READ_SIZE];
        let n = self.read_source(&mut chunk)?;
        self.buf.append(&chunk[..n]);
        Ok(n)
    }

    fn read_source(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let left = self.deadline.duration_since(BootInstant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.source.set_timeout(left)?;
        self.source.read(out)
    }
}

impl Read for Receiver {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        if self.buf.is_empty() {
            if out.len() >= READ_SIZE {
                return self.read_source(out);
            }
            // A short read would cost a system call for each byte of a chunk's frame.
            self.fill()?;
        }
        Ok(self.buf.take(out))
    }
}

/// Maps `WouldBlock`, which some systems return for a socket timeout, to `TimedOut`.
fn timed_out(e: io::Error) -> io::Error {
    match e.kind() {
        io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
        _ => e,
    }
}
