//! Detects callers that have disconnected.

use std::net::TcpStream;

use rustix::net::RecvFlags;

/// Returns whether the caller has closed or reset the connection.
///
/// A caller that has only shut down its sending side counts as disconnected: HTTP clients do not
/// do that while they wait for a response.
pub fn has_disconnected(stream: &TcpStream) -> bool {
    let mut probe = [0_u8; 1];
    match rustix::net::recv(stream, &mut probe, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((0, _)) => true,
        Ok(_) => false,
        Err(e) => !matches!(e, rustix::io::Errno::AGAIN | rustix::io::Errno::INTR),
    }
}
