//! A sorted list that returns the position of a waiter without visiting all of them.

use std::cell::Cell;

use tansyknot_core::clock::Time;

use super::Ticket;

/// The order of waiters within one team: by deadline, then arrival.
pub(super) type Key = (Time, Ticket);

/// Maximum number of keys in a chunk. With 10,000 keys, a position sums up 80 to 160 chunks.
const MAX_CHUNK_LEN: usize = 128;

/// Keys in ascending order, in chunks.
#[derive(Clone, Debug, Default)]
pub(super) struct SortedList {
    chunks: Vec<Vec<Key>>,
    len: usize,
}

impl SortedList {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn first(&self) -> Option<Key> {
        self.chunks.first()?.first().copied()
    }

    pub(super) fn last(&self) -> Option<Key> {
        self.chunks.last()?.last().copied()
    }

    pub(super) fn insert(&mut self, key: Key) {
        self.len += 1;
        let Some(last) = self.chunks.len().checked_sub(1) else {
            self.chunks.push(vec![key]);
            return;
        };
        let i = self.chunk_of(&key).min(last);
        let chunk = &mut self.chunks[i];
        chunk.insert(chunk.partition_point(|k| *k < key), key);
        if chunk.len() > MAX_CHUNK_LEN {
            let rest = chunk.split_off(MAX_CHUNK_LEN / 2);
            self.chunks.insert(i + 1, rest);
        }
    }

    pub(super) fn remove(&mut self, key: &Key) {
        let i = self.chunk_of(key);
        let Some(chunk) = self.chunks.get_mut(i) else { return };
        let Ok(at) = chunk.binary_search(key) else { return };
        chunk.remove(at);
        self.len -= 1;
        if chunk.is_empty() {
            self.chunks.remove(i);
        }
    }

    /// Returns the number of keys before `key`; adds the number of visited chunks to `visits`.
    pub(super) fn position(&self, key: &Key, visits: &Cell<u64>) -> usize {
        let i = self.chunk_of(key);
        visits.set(visits.get() + i as u64 + 1);
        let before: usize = self.chunks[..i].iter().map(Vec::len).sum();
        before + self.chunks.get(i).map_or(0, |chunk| chunk.partition_point(|k| k < key))
    }

    /// Returns the index of the first chunk that may contain `key`.
    fn chunk_of(&self, key: &Key) -> usize {
        self.chunks.partition_point(|chunk| chunk.last().is_some_and(|last| last < key))
    }
}
