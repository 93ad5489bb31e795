//! Whether a caller is still there.

use std::net::TcpStream;

use rustix::net::RecvFlags;

/// Tells whether the other side has closed or reset the connection.
///
/// A caller that only ends its sending side after the request is taken for one that left: HTTP
/// clients do not do that while they wait for an answer.
pub fn has_left(stream: &TcpStream) -> bool {
    let mut probe = [0_u8; 1];
    match rustix::net::recv(stream, &mut probe, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
        Ok((0, _)) => true,
        Ok(_) => false,
        Err(e) => !matches!(e, rustix::io::Errno::AGAIN | rustix::io::Errno::INTR),
    }
}
