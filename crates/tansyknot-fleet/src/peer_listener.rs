//! Accepts the connections of other daemons: requests for snapshots and for tunnels.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
};

use tansyknot_http::{receive, server};

use crate::{
    snapshot::tcp::SnapshotServer,
    tunnel::{frame, server::TunnelServer},
};

/// Stack size of a connection's thread; a small one suffices because nothing recurses.
const STACK_BYTES: usize = 128 << 10;
/// Maximum number of connections; others are closed at once.
const MAX_CONNECTIONS: u32 = 500;

/// Serves the connections of other daemons.
pub struct PeerListener {
    snapshots: SnapshotServer,
    tunnels: TunnelServer,
    connections: AtomicU32,
}

impl PeerListener {
    /// Creates a listener that serves snapshots and tunnels.
    pub fn new(snapshots: SnapshotServer, tunnels: TunnelServer) -> Self {
        Self { snapshots, tunnels, connections: AtomicU32::new(0) }
    }

    /// Accepts connections until the listener fails.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener fails.
    pub fn serve(self: &Arc<Self>, listener: &TcpListener) -> io::Result<()> {
        if let Err(e) = receive::limit_buffers(listener) {
            log::warn!("the buffers of other daemons' connections are not limited: {e}");
        }
        loop {
            match listener.accept() {
                Ok((stream, from)) => self.spawn(stream, from),
                Err(e) if server::is_transient(&e) => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn spawn(self: &Arc<Self>, mut stream: TcpStream, from: SocketAddr) {
        if self.connections.fetch_add(1, Ordering::SeqCst) >= MAX_CONNECTIONS {
            self.connections.fetch_sub(1, Ordering::SeqCst);
            return;
        }
        let listener = Arc::clone(self);
        let builder = thread::Builder::new().name("peer".to_owned()).stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || {
            if let Err(e) = listener.serve_connection(&mut stream, from) {
                log::debug!("the connection of {from} ended: {e}");
            }
            listener.connections.fetch_sub(1, Ordering::SeqCst);
        });
        if let Err(e) = spawned {
            self.connections.fetch_sub(1, Ordering::SeqCst);
            log::warn!("could not spawn a thread for a connection of {from}: {e}");
        }
    }

    fn serve_connection(&self, stream: &mut TcpStream, from: SocketAddr) -> io::Result<()> {
        stream.set_read_timeout(Some(SnapshotServer::READ_TIMEOUT))?;
        let word = frame::read_word(stream)?;
        if TunnelServer::is_request(word) {
            return self.tunnels.serve(stream, from, word);
        }
        self.snapshots.serve(stream, word)
    }
}
