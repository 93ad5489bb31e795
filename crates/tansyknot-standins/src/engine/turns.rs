//! The turns of requests at a full engine: by priority, then by arrival.

use std::{
    collections::BTreeSet,
    sync::{Condvar, Mutex},
};

/// A waiting request: its priority, lower first, and its place in the order of arrival.
type Place = (u8, u64);

#[derive(Debug, Default)]
struct State {
    running: usize,
    arrived: u64,
    waiting: BTreeSet<Place>,
}

/// Lets so many requests run at once.
#[derive(Debug)]
pub struct Turns {
    at_once: usize,
    state: Mutex<State>,
    changed: Condvar,
}

/// A running request; dropping it gives the turn to the next.
pub struct Turn<'a> {
    turns: &'a Turns,
}

impl Turns {
    /// Makes turns for `at_once` requests.
    pub fn new(at_once: usize) -> Self {
        Self { at_once, state: Mutex::default(), changed: Condvar::new() }
    }

    /// Waits for a turn.
    pub fn take(&self, priority: u8) -> Turn<'_> {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        state.arrived += 1;
        let place = (priority, state.arrived);
        state.waiting.insert(place);
        let blocked =
            |s: &mut State| s.running >= self.at_once || s.waiting.first() != Some(&place);
        let mut state =
            self.changed.wait_while(state, blocked).expect("no holder of the lock panics");
        state.waiting.remove(&place);
        state.running += 1;
        drop(state);
        // The next in the order may have a turn as well.
        self.changed.notify_all();
        Turn { turns: self }
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.state.lock().expect("no holder of the lock panics").waiting.len()
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.turns.state.lock().expect("no holder of the lock panics").running -= 1;
        self.turns.changed.notify_all();
    }
}
