//! Watches callers with an attempt in progress, and aborts the attempt when the caller leaves.

use std::{
    collections::HashMap,
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use tansyknot_http::disconnect;

use crate::upstream::AttemptHandle;

struct WatchedAttempt {
    caller: Arc<TcpStream>,
    handle: Arc<AttemptHandle>,
}

/// The callers with an attempt in progress.
#[derive(Default)]
pub struct CallerWatch {
    next_id: AtomicU64,
    watched: Mutex<HashMap<u64, WatchedAttempt>>,
}

/// Ends the watch when it is dropped.
pub struct WatchGuard<'a> {
    watch: &'a CallerWatch,
    id: u64,
}

impl CallerWatch {
    /// Watches `caller` until the guard is dropped.
    pub fn watch(&self, caller: &Arc<TcpStream>, handle: &Arc<AttemptHandle>) -> WatchGuard<'_> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let watched = WatchedAttempt { caller: Arc::clone(caller), handle: Arc::clone(handle) };
        self.watched.lock().expect("the lock is not poisoned").insert(id, watched);
        WatchGuard { watch: self, id }
    }

    /// Checks every caller once and aborts the attempts of those that have left. Returns how many
    /// have left.
    pub fn check(&self) -> usize {
        let watched = self.watched.lock().expect("the lock is not poisoned");
        let departed = watched
            .values()
            .filter(|w| !w.handle.is_aborted() && disconnect::has_disconnected(&w.caller));
        departed.inspect(|w| w.handle.abort()).count()
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.watch.watched.lock().expect("the lock is not poisoned").remove(&self.id);
    }
}
