//! Cache events of an engine: which prompts' prefixes it holds, told late and with gaps.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};

use serde::Serialize;

/// Prefixes held; the oldest gives way.
const HELD: usize = 64;
/// Events kept for readers; older ones are a gap.
const KEPT: usize = 256;
/// One event in this many is never told.
const GAP: u64 = 10;

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It is held now.
    Stored,
    /// It is not held any more.
    Evicted,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Rises by one with each event, told or not, so that gaps show.
    pub seq: u64,
    /// What happened.
    pub change: Change,
    /// A hash of the prefix.
    pub prefix: u64,
}

#[derive(Debug, Default)]
struct State {
    held: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    next: u64,
}

/// The prefixes that an engine holds.
#[derive(Debug, Default)]
pub struct Cache {
    state: Mutex<State>,
}

impl State {
    fn tell(&mut self, change: Change, prefix: u64) {
        self.next += 1;
        if self.next.is_multiple_of(GAP) {
            return;
        }
        if self.events.len() == KEPT {
            self.events.pop_front();
        }
        let event = CacheEvent { seq: self.next, change, prefix };
        self.events.push_back((Instant::now(), event));
    }
}

impl Cache {
    /// Takes in that a prompt with this prefix was served.
    pub fn store(&self, prefix: u64) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if state.held.contains(&prefix) {
            return;
        }
        if state.held.len() == HELD
            && let Some(oldest) = state.held.pop_front()
        {
            state.tell(Change::Evicted, oldest);
        }
        state.held.push_back(prefix);
        state.tell(Change::Stored, prefix);
    }

    /// Returns the events after `seq` that are at least `lag` old.
    pub fn events(&self, seq: u64, lag: Duration) -> Vec<CacheEvent> {
        let state = self.state.lock().expect("no holder of the lock panics");
        let old = state.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        old.map(|(_, e)| e.clone()).filter(|e| e.seq > seq).collect()
    }
}
