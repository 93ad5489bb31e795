//! Receives bytes from a caller with a deadline.

use std::{
    io::{self, Read},
    net::TcpStream,
    sync::Arc,
    time::Duration,
};

use tansyknot_core::clock::BootInstant;
/// Size of one read from the socket, in bytes.
const READ_SIZE: usize = 4096;

/// Reads from a caller's connection through a buffer that is kept between requests.
///
/// Socket timeouts can't use a virtual clock, so this module uses the operating system's time.
#[derive(Debug)]
pub struct Receiver {
    stream: Arc<TcpStream>,
    buf: Vec<u8>,
    deadline: BootInstant,
}

impl Receiver {
    /// Creates a receiver; its deadline has passed until [`Self::set_deadline`] is called.
    pub fn new(stream: Arc<TcpStream>) -> Self {
        let deadline = BootInstant::now();
        Self { stream, buf: Vec::new(), deadline }
    }

    /// Sets the deadline of reads to `timeout` from now.
    pub fn set_deadline(&mut self, timeout: Duration) {
        self.deadline = BootInstant::now() + timeout;
    }

    /// Returns the bytes received and not consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buf
    }

    /// Drops the first `n` buffered bytes.
    pub fn consume(&mut self, n: usize) {
        self.buf.drain(..n);
    }

    /// Reads more bytes into the buffer; returns their number, zero at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the read fails, with [`io::ErrorKind::TimedOut`] past the deadline.
    pub fn fill(&mut self) -> io::Result<usize> {
        self.apply_deadline()?;
        let mut chunk = [0; READ_SIZE];
        let n = (&*self.stream).read(&mut chunk).map_err(timed_out)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn apply_deadline(&self) -> io::Result<()> {
        let left = self.deadline.duration_since(BootInstant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))
    }
}

impl Read for Receiver {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        if self.buf.is_empty() {
            self.apply_deadline()?;
            return (&*self.stream).read(out).map_err(timed_out);
        }
        let n = out.len().min(self.buf.len());
        out[..n].copy_from_slice(&self.buf[..n]);
        self.consume(n);
        Ok(n)
    }
}

/// Maps `WouldBlock`, which some systems return for a socket timeout, to `TimedOut`.
fn timed_out(e: io::Error) -> io::Error {
    match e.kind() {
        io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
        _ => e,
    }
}
