//! Bounds the connections of one listener, and evicts those that wait longest without a request.
//!
//! A connection that sends nothing, or only a part of a request, would otherwise keep its place until
//! a timeout, and a crowd of such connections would shut out all other callers.

use std::{
    collections::BTreeMap,
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

/// One in so many connections is a spare place. Evictions start once only spare places are left,
/// which new connections take until the evicted ones have ended.
const SPARE_DIVISOR: u32 = 16;

/// The connections of a listener.
#[derive(Debug)]
pub(crate) struct Connections {
    max: u32,
    open: AtomicU32,
    waiting: Mutex<Waiting>,
}

/// The connections without a whole request, in the order in which they began to wait.
#[derive(Debug, Default)]
struct Waiting {
    next_ticket: u64,
    streams: BTreeMap<u64, Arc<TcpStream>>,
}

impl Connections {
    /// Creates a bound of `max` connections.
    pub(crate) fn new(max: u32) -> Self {
        Self { max, open: AtomicU32::new(0), waiting: Mutex::default() }
    }

    /// Counts a connection until the guard is dropped. If few places are left, the connection that
    /// has waited longest is evicted. Returns `None` if no place is left.
    pub(crate) fn open(self: &Arc<Self>) -> Option<OpenConnection> {
        let before = self.open.fetch_add(1, Ordering::SeqCst);
        let guard = OpenConnection(Arc::clone(self));
        if before >= self.max - self.max / SPARE_DIVISOR {
            self.evict();
        }
        (before < self.max).then_some(guard)
    }

    /// Lets a connection be evicted until the guard is dropped, or the wait is ended.
    pub(crate) fn wait(&self, stream: &Arc<TcpStream>) -> WaitingConnection<'_> {
        let mut waiting = self.waiting();
        let ticket = waiting.next_ticket;
        waiting.next_ticket += 1;
        waiting.streams.insert(ticket, Arc::clone(stream));
        WaitingConnection { connections: self, ticket }
    }

    /// Ends the connection that has waited longest for a request.
    fn evict(&self) {
        let evicted = self.waiting().streams.pop_first();
        if let Some((_, stream)) = evicted {
            // The call fails if the caller has closed the connection, which also ends it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts an open connection.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<Connections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// How the wait for a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitEnd {
    /// A whole request was received.
    Received,
    /// The connection was evicted, so its request must not be served.
    Evicted,
}

/// A connection that waits for a request.
#[derive(Debug)]
pub(crate) struct WaitingConnection<'a> {
    connections: &'a Connections,
    ticket: u64,
}

impl WaitingConnection<'_> {
    /// Ends the wait: the connection is no longer evicted.
    pub(crate) fn end(self) -> WaitEnd {
        match self.connections.waiting().streams.remove(&self.ticket) {
            Some(_) => WaitEnd::Received,
            None => WaitEnd::Evicted,
        }
    }
}

impl Drop for WaitingConnection<'_> {
    fn drop(&mut self) {
        self.connections.waiting().streams.remove(&self.ticket);
    }
}
