//! Snapshots over TCP: a request and its reply, each a length and a `postcard` document. A request
//! begins with the format byte of datagrams, so that another build of the daemon does not reply.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tansyknot_core::{Error, Result, clock::BootInstant};

use super::{EncodedSnapshot, Snapshot, SnapshotClient, SnapshotProvider, SnapshotRequest};
use crate::{dissemination::datagram, tunnel::frame};

const SERVICE: &str = "peer";
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest pause in a reply, above the time for which a peer holds one back.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest time for a whole reply.
const FETCH_TIMEOUT: Duration = Duration::from_secs(4);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A longer request is malformed.
const MAX_REQUEST_BYTES: u32 = 64;
/// A longer reply is malformed: 100,000 entries of 200 bytes fit.
const MAX_REPLY_BYTES: u32 = 20 << 20;
/// The most replies at once; others are turned away and read the store.
const MAX_CONNECTIONS: usize = 80;

/// Asks other daemons over TCP, at the port at which they receive datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpSnapshots;

impl SnapshotClient for TcpSnapshots {
    fn fetch(&self, from: SocketAddr, request: SnapshotRequest) -> Result<Snapshot> {
        let deadline = BootInstant::now() + FETCH_TIMEOUT;
        let mut stream = TcpStream::connect_timeout(&from, CONNECT_TIMEOUT)
            .map_err(|e| Error::unreachable(SERVICE, e))?;
        let reply = exchange(&mut stream, request, deadline)
            .map_err(|e| Error::unknown(SERVICE, e))?
            .ok_or_else(|| Error::busy(SERVICE, "it does not have the snapshot"))?;
        let (age, bytes) = reply.split_at(size_of::<u32>());
        let age = Duration::from_millis(read_u32(age).into());
        let snapshot: Snapshot =
            postcard::from_bytes(bytes).map_err(|e| Error::malformed(SERVICE, e))?;
        Ok(snapshot.aged(age))
    }
}

/// Sends a request and reads the reply; `None` if the peer has none.
fn exchange(
    stream: &mut TcpStream,
    request: SnapshotRequest,
    deadline: BootInstant,
) -> io::Result<Option<Vec<u8>>> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let request = postcard::to_allocvec(&request).map_err(io::Error::other)?;
    write_frame(stream, &[&[datagram::FORMAT], &request])?;
    let reply = read_frame(stream, MAX_REPLY_BYTES, deadline)?;
    Ok((reply.len() >= size_of::<u32>()).then_some(reply))
}

/// Hands the snapshots of a daemon to others.
pub struct SnapshotServer {
    provider: Arc<SnapshotProvider>,
    connections: AtomicUsize,
}

impl SnapshotServer {
    /// The longest time for which a request may take to arrive.
    pub const READ_TIMEOUT: Duration = READ_TIMEOUT;

    /// Creates a server of the snapshots of `provider`.
    pub fn new(provider: Arc<SnapshotProvider>) -> Self {
        Self { provider, connections: AtomicUsize::new(0) }
    }

    /// Replies to the request of a connection, whose first word is the request's length.
    ///
    /// # Errors
    ///
    /// Fails if the request is malformed or the connection breaks.
    pub fn serve(&self, stream: &mut TcpStream, length: u32) -> io::Result<()> {
        let connections = self.connections.fetch_add(1, Ordering::SeqCst);
        let result = if connections < MAX_CONNECTIONS {
            self.reply(stream, length)
        } else {
            Err(io::Error::other("too many daemons ask for snapshots"))
        };
        self.connections.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn reply(&self, stream: &mut TcpStream, length: u32) -> io::Result<()> {
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let request = frame::read_body(stream, length, MAX_REQUEST_BYTES)?;
        let request = request.strip_prefix(&[datagram::FORMAT]).ok_or_else(|| {
            io::Error::other("the request for a snapshot has the format of another build")
        })?;
        let request: SnapshotRequest = postcard::from_bytes(request).map_err(io::Error::other)?;
        match self.provider.answer(request) {
            Some(EncodedSnapshot { bytes, made_at }) => {
                let age = self.provider.state.now().since(made_at).as_millis();
                let age = u32::try_from(age).unwrap_or(u32::MAX).to_le_bytes();
                write_frame(stream, &[&age, &bytes])
            }
            None => write_frame(stream, &[]),
        }
    }
}

fn write_frame(stream: &mut TcpStream, parts: &[&[u8]]) -> io::Result<()> {
    let len: usize = parts.iter().map(|part| part.len()).sum();
    let len = u32::try_from(len).map_err(io::Error::other)?;
    stream.write_all(&len.to_le_bytes())?;
    parts.iter().try_for_each(|part| stream.write_all(part))
}

/// Reads a frame of at most `max_bytes` before `deadline`.
fn read_frame(
    stream: &mut TcpStream,
    max_bytes: u32,
    deadline: BootInstant,
) -> io::Result<Vec<u8>> {
    let mut len = [0; size_of::<u32>()];
    stream.read_exact(&mut len)?;
    let len = u32::from_le_bytes(len);
    if len > max_bytes {
        return Err(io::Error::other("the frame is too long"));
    }
    let mut bytes = vec![0; len as usize];
    let mut filled = 0;
    while filled < bytes.len() {
        if BootInstant::now() >= deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
        match stream.read(&mut bytes[filled..])? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => filled += n,
        }
    }
    Ok(bytes)
}

/// Reads a little-endian number from its four bytes.
fn read_u32(bytes: &[u8]) -> u32 {
    bytes.iter().rev().fold(0, |number, byte| (number << 8) | u32::from(*byte))
}
