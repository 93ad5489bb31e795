//! Connections to targets, direct or through another daemon.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpStream},
    os::fd::{AsFd, BorrowedFd},
    time::Duration,
};

use rustix::net::{self, SendFlags, sockopt};

use crate::{
    exchange::Failure,
    paths::Tunnel,
    poison::Presence,
    response_buffers::{LONG_RESPONSE_RECEIVE_BUFFER_BYTES, RECEIVE_BUFFER_BYTES},
    tunnel::frame::End,
};

/// Timeout for opening a connection to a target; a round trip takes a few ms.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for probing whether a process listens at a target's address. A refusal takes one round
/// trip (2 ms). Requests whose connection closed early wait for the probe before they are retried.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// A connection to a target, direct or through another daemon.
pub struct TargetStream {
    stream: TcpStream,
    tunnel: Option<Tunnel>,
}

impl TargetStream {
    /// Wraps a connection to a target itself.
    pub fn direct(stream: TcpStream) -> Self {
        Self { stream, tunnel: None }
    }

    /// Wraps a connection to another daemon that leads to a target.
    pub fn tunnelled(stream: TcpStream, tunnel: Tunnel) -> Self {
        Self { stream, tunnel: Some(tunnel) }
    }

    /// Returns the daemon through which the connection leads, if it is not direct.
    pub fn via(&self) -> Option<SocketAddr> {
        self.tunnel.as_ref().map(|tunnel| tunnel.peer)
    }

    /// Bounds the duration of writes, and the bytes that the kernel receives beyond those that are
    /// read.
    pub(crate) fn configure(&self, write_timeout: Duration) -> io::Result<()> {
        configure(&self.stream, write_timeout)
    }

    /// Enlarges the kernel's buffer for a long response.
    pub(crate) fn enlarge_buffer(&self) {
        // The response arrives in a smaller buffer as well, only more slowly.
        let _ =
            sockopt::set_socket_recv_buffer_size(&self.stream, LONG_RESPONSE_RECEIVE_BUFFER_BYTES);
    }

    /// Sends as many bytes to the target as the kernel takes at once; returns their number.
    pub(crate) fn try_send(&self, bytes: &[u8]) -> io::Result<usize> {
        Ok(net::send(&self.stream, bytes, SendFlags::DONTWAIT | SendFlags::NOSIGNAL)?)
    }

    /// Reads what the target has sent; returns the number of bytes, zero at the end of the stream.
    /// `None` if only framing of a tunnel was received.
    pub(crate) fn receive(&mut self, out: &mut [u8]) -> Result<Option<usize>, Failure> {
        let Some(tunnel) = &mut self.tunnel else {
            return (&self.stream).read(out).map(Some).map_err(|_| Failure::ClosedEarly);
        };
        if let Some(end) = tunnel.decoder.end() {
            return end_of_stream(end);
        }
        let received = (&self.stream).read(out).unwrap_or(0);
        if received == 0 {
            tunnel.record_lost();
            return Err(Failure::PathLost);
        }
        let content = tunnel.decoder.decode(&mut out[..received]).map_err(|_| Failure::PathLost)?;
        match tunnel.decoder.end() {
            Some(end) if content == 0 => end_of_stream(end),
            _ => Ok((content > 0).then_some(content)),
        }
    }
}

impl AsFd for TargetStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

fn end_of_stream(end: End) -> Result<Option<usize>, Failure> {
    match end {
        End::Closed => Ok(Some(0)),
        End::Reset => Err(Failure::ClosedEarly),
    }
}

/// Bounds the duration of writes to a target, and the bytes that the kernel receives from it beyond
/// those that are read.
pub(crate) fn configure(stream: &TcpStream, write_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(write_timeout))?;
    sockopt::set_socket_recv_buffer_size(stream, RECEIVE_BUFFER_BYTES)?;
    Ok(())
}

/// Connects to a target itself, with the timeout `within`.
///
/// # Errors
///
/// Fails if the connection cannot be opened.
pub fn connect(address: SocketAddr, within: Duration) -> Result<TcpStream, Failure> {
    TcpStream::connect_timeout(&address, within).map_err(|e| connect_failure(&e))
}

/// Probes whether a process listens at `address`, with the timeout `within`. An opened connection
/// is closed at once.
pub fn probe(address: SocketAddr, within: Duration) -> Presence {
    match TcpStream::connect_timeout(&address, within) {
        Ok(_) => Presence::Listening,
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => Presence::Ended,
        Err(_) => Presence::Unknown,
    }
}

/// Returns whether the process, or its host, has no file descriptor left.
pub(crate) fn lacks_descriptors(e: &io::Error) -> bool {
    const EMFILE: i32 = 24;
    const ENFILE: i32 = 23;
    matches!(e.raw_os_error(), Some(EMFILE | ENFILE))
}

fn connect_failure(e: &io::Error) -> Failure {
    match e {
        e if lacks_descriptors(e) => Failure::NoSocket,
        _ if e.kind() == io::ErrorKind::ConnectionRefused => Failure::Refused,
        _ if e.kind() == io::ErrorKind::ConnectionReset => Failure::Refused,
        _ => Failure::NotConnected,
    }
}
