//! Receiving bytes from a caller under a deadline.

use std::{
    io::{self, Read},
    net::TcpStream,
    time::Duration,
};

use tansyknot_core::clock::BootInstant;
/// Bytes read at once.
const READ_SIZE: usize = 4096;

/// Reads from a caller's connection, through a buffer that survives requests.
///
/// Sockets know no virtual clock, so this module alone waits by the operating system's time.
#[derive(Debug)]
pub struct Receiver {
    stream: TcpStream,
    buf: Vec<u8>,
    deadline: BootInstant,
}

impl Receiver {
    /// Makes a receiver that may wait until it is told otherwise.
    pub fn new(stream: TcpStream) -> Self {
        let deadline = BootInstant::now();
        Self { stream, buf: Vec::new(), deadline }
    }

    /// Sets the time until which reads may wait.
    pub fn allow(&mut self, span: Duration) {
        self.deadline = BootInstant::now() + span;
    }

    /// Returns the bytes that are there and not consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buf
    }

    /// Drops the first `n` buffered bytes.
    pub fn consume(&mut self, n: usize) {
        self.buf.drain(..n);
    }

    /// Reads more bytes into the buffer; returns how many, zero at the end.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::TimedOut`] past the deadline.
    pub fn fill(&mut self) -> io::Result<usize> {
        self.set_timeout()?;
        let mut chunk = [0; READ_SIZE];
        let n = self.stream.read(&mut chunk).map_err(timed_out)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn set_timeout(&self) -> io::Result<()> {
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
            self.set_timeout()?;
            return self.stream.read(out).map_err(timed_out);
        }
        let n = out.len().min(self.buf.len());
        out[..n].copy_from_slice(&self.buf[..n]);
        self.consume(n);
        Ok(n)
    }
}

/// A socket's timeout shows as `WouldBlock` on some systems.
fn timed_out(e: io::Error) -> io::Error {
    match e.kind() {
        io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
        _ => e,
    }
}
