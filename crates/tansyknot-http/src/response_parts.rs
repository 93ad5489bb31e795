//! The bytes of a response that a daemon holds, in parts.
//!
//! Parts are not copied in order to grow, and long ones are blocks that other responses and requests use
//! again: the allocator would keep the largest part of each thread.

use std::sync::Arc;

use crate::memory::{BLOCK_BYTES, RequestMemory};

/// The least bytes that are added to the first part.
const MIN_PART_BYTES: usize = 8 << 10;

/// A part of a response.
#[derive(Debug)]
pub struct Part {
    bytes: Box<[u8]>,
    length: usize,
}

impl AsRef<[u8]> for Part {
    fn as_ref(&self) -> &[u8] {
        &self.bytes[..self.length]
    }
}

/// The bytes of a response, in parts.
#[derive(Debug)]
pub struct ResponseParts {
    parts: Vec<Part>,
    length: usize,
    memory: Arc<RequestMemory>,
}

impl ResponseParts {
    /// Creates parts without bytes, whose blocks come from `memory`.
    pub fn new(memory: Arc<RequestMemory>) -> Self {
        Self { parts: Vec::new(), length: 0, memory }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the parts, in order.
    pub fn parts(&self) -> &[Part] {
        &self.parts
    }

    /// Returns all bytes in one piece.
    pub fn contiguous(&self) -> Vec<u8> {
        let parts: Vec<&[u8]> = self.parts.iter().map(Part::as_ref).collect();
        parts.concat()
    }

    /// Returns how many bytes the next part takes, if the last one has no room for any of `more`.
    pub(crate) fn next_part_bytes(&self, more: usize) -> Option<usize> {
        let is_full = self.parts.last().is_none_or(|part| part.length == part.bytes.len());
        let next = match self.length {
            0 => more.min(BLOCK_BYTES),
            length => length.clamp(MIN_PART_BYTES, BLOCK_BYTES),
        };
        is_full.then_some(next)
    }

    /// Adds a part of `bytes` bytes, which are taken from the total.
    pub(crate) fn add_part(&mut self, bytes: usize) {
        let bytes = match bytes {
            BLOCK_BYTES => self.memory.block(),
            _ => vec![0; bytes].into_boxed_slice(),
        };
        self.parts.push(Part { bytes, length: 0 });
    }

    /// Appends as many of `more` as the last part has room for; returns their number.
    pub(crate) fn fill_part(&mut self, more: &[u8]) -> usize {
        let Some(part) = self.parts.last_mut() else { return 0 };
        let n = more.len().min(part.bytes.len() - part.length);
        part.bytes[part.length..part.length + n].copy_from_slice(&more[..n]);
        part.length += n;
        self.length += n;
        n
    }

    /// Removes all bytes.
    pub fn clear(&mut self) {
        self.length = 0;
        if !self.parts.is_empty() {
            self.memory.keep_blocks(self.parts.drain(..).map(|part| part.bytes));
        }
    }
}

impl Drop for ResponseParts {
    fn drop(&mut self) {
        self.clear();
    }
}
