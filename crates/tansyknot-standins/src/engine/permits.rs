//! Permits that limit the concurrent requests of an engine, granted by priority and arrival.

use std::{
    collections::BTreeSet,
    sync::{Condvar, Mutex},
};

/// The position of a waiting request: its priority, lower first, and its arrival number.
type QueuePosition = (u8, u64);

#[derive(Debug, Default)]
struct State {
    running: usize,
    arrived: u64,
    waiting: BTreeSet<QueuePosition>,
}

/// A limit on concurrent requests with a priority queue of waiting ones.
#[derive(Debug)]
pub struct PermitQueue {
    limit: usize,
    state: Mutex<State>,
    changed: Condvar,
}

/// Permission to run a request. Dropping it lets the next request run.
pub struct Permit<'a> {
    queue: &'a PermitQueue,
}

impl PermitQueue {
    /// Creates a queue with permits for `limit` requests at once.
    pub fn new(limit: usize) -> Self {
        Self { limit, state: Mutex::default(), changed: Condvar::new() }
    }

    /// Waits for a permit. A lower `priority` value goes first.
    pub fn acquire(&self, priority: u8) -> Permit<'_> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.arrived += 1;
        let position = (priority, state.arrived);
        state.waiting.insert(position);
        let blocked =
            |s: &mut State| s.running >= self.limit || s.waiting.first() != Some(&position);
        let mut state =
            self.changed.wait_while(state, blocked).expect("no holder of the lock panics");
        state.waiting.remove(&position);
        state.running += 1;
        drop(state);
        // A permit may be free for the next request as well.
        self.changed.notify_all();
        Permit { queue: self }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.state.lock().expect("no holder of the lock panics").waiting.len()
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.queue.state.lock().expect("no holder of the lock panics").running -= 1;
        self.queue.changed.notify_all();
    }
}
