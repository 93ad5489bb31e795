//! Watches callers whose requests are with a target, and cuts the attempt when one leaves.

use std::{
    collections::HashMap,
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use tansyknot_http::presence;

use crate::upstream::Wire;

struct Watched {
    caller: Arc<TcpStream>,
    wire: Arc<Wire>,
}

/// The callers with an attempt under way.
#[derive(Default)]
pub struct CallerWatch {
    next: AtomicU64,
    watched: Mutex<HashMap<u64, Watched>>,
}

/// Ends the watch when it is dropped.
pub struct WatchGuard<'a> {
    watch: &'a CallerWatch,
    id: u64,
}

impl CallerWatch {
    /// Watches `caller` until the guard is dropped.
    pub fn watch(&self, caller: &Arc<TcpStream>, wire: &Arc<Wire>) -> WatchGuard<'_> {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let watched = Watched { caller: Arc::clone(caller), wire: Arc::clone(wire) };
        self.watched.lock().expect("no holder of the lock panics").insert(id, watched);
        WatchGuard { watch: self, id }
    }

    /// Looks at every caller once; returns how many have left.
    pub fn look(&self) -> usize {
        let watched = self.watched.lock().expect("no holder of the lock panics");
        let left = watched.values().filter(|w| !w.wire.is_cut() && presence::has_left(&w.caller));
        left.inspect(|w| w.wire.cut()).count()
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.watch.watched.lock().expect("no holder of the lock panics").remove(&self.id);
    }
}
