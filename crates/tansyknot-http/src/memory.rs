//! Bounds the bytes of requests that a daemon holds, from the first byte of a body until its request
//! has ended, together with those of responses.
//!
//! Each body reserves its bytes before it grows. If they are not there, the body that holds most and
//! makes no progress gives way: clients that stop in the middle of a body would otherwise keep the
//! memory of all others. If all make progress, the slowest gives way to a body that is whole. A response
//! that finds no room does not wait for it.

use std::{
    collections::BTreeMap,
    mem,
    net::{Shutdown, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tansyknot_core::clock::BootInstant;

use crate::{receive::ENLARGED_BUFFER_BYTES, response_parts::ResponseParts};

/// The size of the blocks that long bodies and responses consist of. Freed blocks are kept for others,
/// as the allocator does not reuse the memory of one thread for another one.
pub const BLOCK_BYTES: usize = 32 << 10;
/// Bodies up to this length may use the part of the total that longer ones can't take.
pub(crate) const SMALL_BODY_BYTES: u64 = 64 << 10;
/// One in so many bytes of the total is kept for small bodies.
const SMALL_BODY_DIVISOR: u64 = 4;
/// A body that receives less than [`PROGRESS_BYTES`] in this time makes no progress.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of bytes that count as progress of a body.
pub(crate) const PROGRESS_BYTES: u64 = 4 << 10;
/// How long a body waits for others to give way; long enough to find out that they are stalled.
const ROOM_TIMEOUT: Duration = Duration::from_millis(1000);
/// How often a body that waits looks for others that have become stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes of each response that are not taken from the total, so that usual responses are relayed while
/// large ones have used it up.
pub const UNSHARED_RESPONSE_BYTES: u64 = 32 << 10;

/// The total of a daemon without settings: a quarter of the smallest host's memory.
const DEFAULT_TOTAL_BYTES: u64 = 30 << 20;
/// The longest body of a daemon without settings.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;

/// The error of a body for which no room is left, or that has given way to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// What a body lacks room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shortage {
    /// Bodies hold their share.
    Bodies,
    /// Bodies and responses hold the total.
    Responses,
}

/// The bytes of all requests and responses that a daemon holds.
#[derive(Debug)]
pub struct RequestMemory {
    /// What bodies may hold together.
    body_bytes: u64,
    /// What responses may hold together, without [`UNSHARED_RESPONSE_BYTES`] of each.
    response_bytes: u64,
    /// What bodies and responses may hold together.
    total_bytes: u64,
    state: Mutex<State>,
    released: Condvar,
}

#[derive(Debug, Default)]
struct State {
    held_bytes: u64,
    peak_bytes: u64,
    response_bytes: u64,
    response_peak_bytes: u64,
    evictions: u64,
    next_ticket: u64,
    /// The bodies that are being received.
    receiving: BTreeMap<u64, ReceivingBody>,
    free_blocks: Vec<Box<[u8]>>,
}

#[derive(Debug)]
struct ReceivingBody {
    stream: Arc<TcpStream>,
    bytes: u64,
    received_bytes: u64,
    began_at: BootInstant,
    progress_at: BootInstant,
    is_evicted: bool,
}

impl ReceivingBody {
    /// Returns how many bytes have been received per second.
    fn rate(&self, now: BootInstant) -> f64 {
        self.received_bytes as f64 / now.duration_since(self.began_at).as_secs_f64()
    }
}

impl Default for RequestMemory {
    fn default() -> Self {
        Self::new(DEFAULT_TOTAL_BYTES, DEFAULT_MAX_BODY_BYTES)
    }
}

impl RequestMemory {
    /// Creates a bound of `body_bytes` for bodies, and none for responses. It is raised if the longest
    /// body would find no room in it.
    pub fn new(body_bytes: u64, max_body_bytes: u64) -> Self {
        let block = BLOCK_BYTES as u64;
        let longest = max_body_bytes.div_ceil(block).saturating_add(1).saturating_mul(block);
        let longest = longest.saturating_add(ENLARGED_BUFFER_BYTES);
        // What longer bodies can take of the total.
        let needed = longest.saturating_add(longest / (SMALL_BODY_DIVISOR - 1) + 1);
        Self {
            body_bytes: body_bytes.max(needed),
            response_bytes: u64::MAX,
            total_bytes: u64::MAX,
            state: Mutex::default(),
            released: Condvar::new(),
        }
    }

    /// Returns this bound with one of `total_bytes` for bodies and responses together; of these,
    /// responses leave the reserve for small bodies. It is raised if bodies alone would find no room.
    #[must_use]
    pub fn with_total(self, total_bytes: u64) -> Self {
        let total_bytes = total_bytes.max(self.body_bytes);
        let response_bytes = total_bytes - self.small_body_reserve();
        Self { response_bytes, total_bytes, ..self }
    }

    /// Returns this bound with another one of `response_bytes` for responses. The total is raised if
    /// these alone would find no room.
    #[must_use]
    pub fn with_responses(self, response_bytes: u64) -> Self {
        let needed = response_bytes.saturating_add(self.small_body_reserve());
        Self { response_bytes, total_bytes: self.total_bytes.max(needed), ..self }
    }

    /// Takes bytes of the total for a response; returns `false` if there is no room for them.
    #[must_use]
    pub fn take_for_response(&self, bytes: u64) -> bool {
        let limit = self.total_bytes - self.small_body_reserve();
        let mut state = self.state();
        let has_room = state.response_bytes.saturating_add(bytes) <= self.response_bytes
            && state.all_bytes().saturating_add(bytes) <= limit;
        if has_room {
            state.response_bytes += bytes;
            state.response_peak_bytes = state.response_peak_bytes.max(state.response_bytes);
        }
        has_room
    }

    /// Releases bytes that were taken for a response.
    pub fn release_of_response(&self, bytes: u64) {
        if bytes > 0 {
            self.state().response_bytes -= bytes;
            self.released.notify_all();
        }
    }

    /// Returns the bytes that the bodies of requests hold.
    pub fn held_bytes(&self) -> u64 {
        self.state().held_bytes
    }

    /// Returns the most bytes that the bodies of requests have ever held.
    pub fn peak_bytes(&self) -> u64 {
        self.state().peak_bytes
    }

    /// Returns the most bytes of the total that responses have ever held.
    pub fn response_peak_bytes(&self) -> u64 {
        self.state().response_peak_bytes
    }

    /// Returns the bytes of the total that responses hold.
    pub fn response_bytes(&self) -> u64 {
        self.state().response_bytes
    }

    /// Returns the number of bodies that have given way to others.
    pub fn evictions(&self) -> u64 {
        self.state().evictions
    }

    /// Returns a block of bytes that are reserved or taken.
    pub fn block(&self) -> Box<[u8]> {
        let block = self.state().free_blocks.pop();
        block.unwrap_or_else(|| vec![0; BLOCK_BYTES].into_boxed_slice())
    }

    /// Keeps those of `blocks` that others can use.
    pub fn keep_blocks(&self, blocks: impl Iterator<Item = Box<[u8]>>) {
        self.state().keep_blocks(blocks);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the bytes that only small bodies may take.
    fn small_body_reserve(&self) -> u64 {
        self.body_bytes / SMALL_BODY_DIVISOR
    }

    /// Returns what keeps a body from holding `bytes`, which are `more` than now.
    fn shortage(&self, state: &State, bytes: u64, more: u64) -> Option<Shortage> {
        let reserve = if bytes <= SMALL_BODY_BYTES { 0 } else { self.small_body_reserve() };
        if state.held_bytes + more > self.body_bytes - reserve {
            return Some(Shortage::Bodies);
        }
        let is_short = state.all_bytes() + more > self.total_bytes - reserve;
        is_short.then_some(Shortage::Responses)
    }
}

impl State {
    /// Returns the bytes of bodies and responses.
    fn all_bytes(&self) -> u64 {
        self.held_bytes + self.response_bytes
    }

    fn keep_blocks(&mut self, blocks: impl Iterator<Item = Box<[u8]>>) {
        self.free_blocks.extend(blocks.filter(|block| block.len() == BLOCK_BYTES));
    }

    /// Returns whether `ticket` is the one of a body that has given way.
    fn is_evicted(&self, ticket: Option<u64>) -> bool {
        ticket.and_then(|ticket| self.receiving.get(&ticket)).is_some_and(|body| body.is_evicted)
    }

    fn has_others(&self, ticket: Option<u64>) -> bool {
        self.receiving.keys().any(|other| Some(*other) != ticket)
    }

    /// Lets a body give way, unless one is about to: the stalled one that holds most or, for the sake
    /// of a body that is whole, the slowest one.
    fn evict(&mut self, ticket: Option<u64>, now: BootInstant) {
        if self.receiving.values().any(|body| body.is_evicted) {
            return;
        }
        let slowest = || if ticket.is_none() { self.slowest(now) } else { None };
        let evicted = self.stalled(ticket, now).or_else(slowest);
        if let Some(body) = evicted.and_then(|evicted| self.receiving.get_mut(&evicted)) {
            body.is_evicted = true;
            self.evictions += 1;
            // Wakes the thread that waits for bytes. The call fails if the caller has left, which
            // also wakes it.
            let _ = body.stream.shutdown(Shutdown::Read);
        }
    }

    /// Returns the stalled body that holds most, other than `ticket`.
    fn stalled(&self, ticket: Option<u64>, now: BootInstant) -> Option<u64> {
        let others = self.receiving.iter().filter(|(other, _)| Some(**other) != ticket);
        let stalled = others
            .filter(|(_, body)| body.bytes > 0)
            .filter(|(_, body)| now.duration_since(body.progress_at) >= STALL_TIMEOUT);
        stalled.max_by_key(|(_, body)| body.bytes).map(|(stalled, _)| *stalled)
    }

    /// Returns the slowest body, among those whose rate can be told.
    fn slowest(&self, now: BootInstant) -> Option<u64> {
        let old = self
            .receiving
            .iter()
            .filter(|(_, body)| body.bytes > 0)
            .filter(|(_, body)| now.duration_since(body.began_at) >= STALL_TIMEOUT);
        let rates = old.map(|(ticket, body)| (*ticket, body.rate(now)));
        rates.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(slowest, _)| slowest)
    }
}

/// The bytes that one request holds; they are released when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<RequestMemory>,
    bytes: u64,
    /// Identifies the body while it is being received.
    ticket: Option<u64>,
}

impl Reservation {
    /// Creates a reservation of no bytes for a whole body.
    pub(crate) fn new(memory: &Arc<RequestMemory>) -> Self {
        Self { memory: Arc::clone(memory), bytes: 0, ticket: None }
    }

    /// Creates a reservation of no bytes for a body that is being received from `stream`, and that
    /// gives way if it is stalled.
    pub(crate) fn receiving(memory: &Arc<RequestMemory>, stream: &Arc<TcpStream>) -> Self {
        let mut state = memory.state();
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        let now = BootInstant::now();
        let body = ReceivingBody {
            stream: Arc::clone(stream),
            bytes: 0,
            received_bytes: 0,
            began_at: now,
            progress_at: now,
            is_evicted: false,
        };
        state.receiving.insert(ticket, body);
        drop(state);
        Self { memory: Arc::clone(memory), bytes: 0, ticket: Some(ticket) }
    }

    /// Reserves `more` bytes. Waits if other bodies may give way, or responses hold what is missing, and
    /// fails at once otherwise.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, or if this body has given way itself.
    pub(crate) fn grow(&mut self, more: u64) -> Result<(), NoRoom> {
        let memory = Arc::clone(&self.memory);
        let until = BootInstant::now() + ROOM_TIMEOUT;
        let mut state = memory.state();
        loop {
            if state.is_evicted(self.ticket) {
                return Err(NoRoom);
            }
            let Some(shortage) = memory.shortage(&state, self.bytes + more, more) else { break };
            let now = BootInstant::now();
            let may_end = shortage == Shortage::Responses || state.has_others(self.ticket);
            if now >= until || !may_end {
                return Err(NoRoom);
            }
            state.evict(self.ticket, now);
            let waited = memory.released.wait_timeout(state, STALL_CHECK_INTERVAL);
            (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        }
        state.held_bytes += more;
        state.peak_bytes = state.peak_bytes.max(state.held_bytes);
        self.bytes += more;
        let body = self.ticket.and_then(|ticket| state.receiving.get_mut(&ticket));
        if let Some(body) = body {
            body.bytes = self.bytes;
            body.progress_at = BootInstant::now();
        }
        Ok(())
    }

    /// Records that the body has received `bytes` in all, at least [`PROGRESS_BYTES`] more than when
    /// this was last called.
    pub(crate) fn record_progress(&self, bytes: u64) {
        let mut state = self.memory.state();
        let body = self.ticket.and_then(|ticket| state.receiving.get_mut(&ticket));
        if let Some(body) = body {
            body.received_bytes = bytes;
            body.progress_at = BootInstant::now();
        }
    }

    /// Returns whether the body has given way to another one.
    pub(crate) fn is_evicted(&self) -> bool {
        self.memory.state().is_evicted(self.ticket)
    }

    /// Ends the receipt: the body no longer gives way.
    ///
    /// # Errors
    ///
    /// Fails if it has given way already, so that its connection can't be used any more.
    pub(crate) fn end_receipt(&mut self) -> Result<(), NoRoom> {
        let Some(ticket) = self.ticket.take() else { return Ok(()) };
        let body = self.memory.state().receiving.remove(&ticket);
        if body.is_some_and(|body| body.is_evicted) { Err(NoRoom) } else { Ok(()) }
    }

    /// Returns a block of the bytes that are reserved.
    pub(crate) fn block(&self) -> Box<[u8]> {
        self.memory.block()
    }

    /// Releases all bytes, and keeps those of `blocks` that other bodies can use.
    pub(crate) fn release(&mut self, blocks: impl Iterator<Item = Box<[u8]>>) {
        let bytes = mem::take(&mut self.bytes);
        let mut state = self.memory.state();
        state.keep_blocks(blocks);
        state.held_bytes -= bytes;
        if let Some(ticket) = self.ticket.take() {
            state.receiving.remove(&ticket);
        }
        drop(state);
        self.memory.released.notify_all();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 || self.ticket.is_some() {
            self.release(std::iter::empty());
        }
    }
}

/// The bytes that one response holds; they are released when it is dropped.
#[derive(Debug)]
pub struct ResponseShare {
    memory: Arc<RequestMemory>,
    bytes: u64,
}

impl ResponseShare {
    /// Creates a share of no bytes.
    pub fn new(memory: Arc<RequestMemory>) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Returns the bytes that the response holds.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the memory of which this is a share.
    pub fn memory(&self) -> &Arc<RequestMemory> {
        &self.memory
    }

    /// Takes `more` bytes; returns `false` if there is no room for them.
    #[must_use]
    pub fn grow(&mut self, more: u64) -> bool {
        let bytes = self.bytes + more;
        let has_room = self.memory.take_for_response(shared(bytes) - shared(self.bytes));
        if has_room {
            self.bytes = bytes;
        }
        has_room
    }

    /// Creates parts for the bytes that are taken here.
    pub fn parts(&self) -> ResponseParts {
        ResponseParts::new(Arc::clone(&self.memory))
    }

    /// Appends `more` to `parts`, whose lengths are taken here; returns `false` if there is no room.
    #[must_use]
    pub fn extend(&mut self, parts: &mut ResponseParts, mut more: &[u8]) -> bool {
        while !more.is_empty() {
            if let Some(bytes) = parts.next_part_bytes(more.len()) {
                if !self.grow(bytes as u64) {
                    return false;
                }
                parts.add_part(bytes);
            }
            more = &more[parts.fill_part(more)..];
        }
        true
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.memory.release_of_response(shared(self.bytes) - shared(bytes));
        self.bytes = bytes;
    }

    /// Reserves room for `more` bytes in `buf`, whose capacity is a part of this share; returns `false`
    /// if there is none.
    #[must_use]
    pub fn reserve(&mut self, buf: &mut Vec<u8>, more: usize) -> bool {
        let needed = buf.len() + more;
        let before = buf.capacity();
        if needed <= before {
            return true;
        }
        let capacity = needed.max(before * 2);
        // Both buffers are held while the bytes are copied.
        if !self.grow(capacity as u64) {
            return false;
        }
        buf.reserve_exact(capacity - buf.len());
        self.shrink_to(self.bytes - before as u64);
        true
    }
}

impl Drop for ResponseShare {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Returns the part of `bytes` that is taken from the total.
fn shared(bytes: u64) -> u64 {
    bytes.saturating_sub(UNSHARED_RESPONSE_BYTES)
}
