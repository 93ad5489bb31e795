//! Opens tunnels through other daemons.

use std::{
    io,
    net::{SocketAddr, TcpStream},
};

use super::{
    MAX_REPLY_BYTES, PEER_CONNECT_TIMEOUT, REPLY_TIMEOUT, REQUEST_FLAG, TunnelReply, TunnelRequest,
    frame,
};

/// Asks the daemon at `peer` for a tunnel; returns its reply and the connection, which leads to the
/// target if that is connected.
///
/// # Errors
///
/// Fails if the daemon does not reply in time or its reply is malformed. Nothing was sent to the
/// target then.
pub fn open(peer: SocketAddr, request: &TunnelRequest) -> io::Result<(TcpStream, TunnelReply)> {
    let mut stream = TcpStream::connect_timeout(&peer, PEER_CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    stream.set_write_timeout(Some(REPLY_TIMEOUT))?;
    let request = postcard::to_allocvec(request).map_err(io::Error::other)?;
    frame::write_message(&mut stream, REQUEST_FLAG, &request)?;
    let length = frame::read_word(&mut stream)?;
    let reply = frame::read_body(&mut stream, length, MAX_REPLY_BYTES)?;
    let reply = postcard::from_bytes(&reply).map_err(io::Error::other)?;
    stream.set_read_timeout(None)?;
    Ok((stream, reply))
}
