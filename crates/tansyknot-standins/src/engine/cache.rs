//! The prefix cache of an engine and its events, which are reported late and with gaps.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};

use serde::Serialize;

/// Maximum number of cached prefixes. The oldest is evicted.
const MAX_PREFIXES: usize = 64;
/// Maximum number of retained events. Readers see a gap for older ones.
const MAX_EVENTS: usize = 256;
/// Interval of events that are never reported: each time the sequence number is a multiple of it.
const DROPPED_EVENT_INTERVAL: u64 = 10;

/// A change of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// A cache event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// The sequence number. It increases by one with each event, reported or not, so that readers
    /// can detect gaps.
    pub seq: u64,
    /// The change.
    pub change: Change,
    /// The hash of the prefix.
    pub prefix: u64,
}

#[derive(Debug, Default)]
struct State {
    prefixes: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    last_seq: u64,
}

/// The prefix cache of an engine.
#[derive(Debug, Default)]
pub struct Cache {
    state: Mutex<State>,
}

impl State {
    fn record(&mut self, change: Change, prefix: u64) {
        self.last_seq += 1;
        if self.last_seq.is_multiple_of(DROPPED_EVENT_INTERVAL) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent { seq: self.last_seq, change, prefix };
        self.events.push_back((Instant::now(), event));
    }
}

impl Cache {
    /// Stores the prefix of a prompt that is served.
    pub fn store(&self, prefix: u64) {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        if state.prefixes.contains(&prefix) {
            return;
        }
        if state.prefixes.len() == MAX_PREFIXES
            && let Some(oldest) = state.prefixes.pop_front()
        {
            state.record(Change::Evicted, oldest);
        }
        state.prefixes.push_back(prefix);
        state.record(Change::Stored, prefix);
    }

    /// Returns the events after `seq` that are at least `lag` old.
    pub fn events(&self, seq: u64, lag: Duration) -> Vec<CacheEvent> {
        let state = self.state.lock().expect("no holder of the lock panics");
        let visible = state.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        visible.map(|(_, e)| e.clone()).filter(|e| e.seq > seq).collect()
    }
}
