//! Bounds on the bytes of responses that a daemon holds for its callers.
//!
//! A daemon reads no more of a response than it can forward: a stream up to the end of an event, and
//! a plain response as a whole. What it has read counts here until the caller has taken it.

use std::{
    io,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rustix::net::sockopt;
use tansyknot_core::clock::BootInstant;

/// Bytes of each request's responses that are not taken from the total, so that usual responses are
/// relayed while large ones have used it up.
pub const UNSHARED_BYTES: u64 = 64 << 10;
/// The largest part of a body that is held as a whole. The allocator keeps larger blocks after their
/// end, and growing them takes twice their size.
const MAX_PART_BYTES: usize = 64 << 10;
/// The size of the kernel's buffer for bytes that a caller has not read, or a daemon has not read
/// from a target; Linux uses twice as much. It allows 50 Mbit/s at a round trip of 10 ms. Without a
/// limit, the buffers of one connection grow to several megabytes.
pub(crate) const SOCKET_BUFFER_BYTES: usize = 64 << 10;
/// Maximum time without progress of a write to a caller. A target cuts off a response that is not
/// read for some seconds, and counts as occupied until then.
const MAX_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits on the responses that a daemon holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLimits {
    /// The bytes of all responses together, without [`UNSHARED_BYTES`] of each.
    pub total_bytes: u64,
    /// A caller to which a write makes no progress for this long is disconnected.
    pub stall_timeout: Duration,
}

impl ResponseLimits {
    /// Derives the limits from the settings.
    pub fn new(total_bytes: u64, write_timeout: Duration) -> Self {
        Self { total_bytes, stall_timeout: write_timeout.min(MAX_STALL_TIMEOUT) }
    }
}

impl Default for ResponseLimits {
    fn default() -> Self {
        Self::new(32 << 20, MAX_STALL_TIMEOUT)
    }
}

/// The bytes of all responses that a daemon holds.
#[derive(Debug, Default)]
pub struct ResponseBuffers {
    limits: ResponseLimits,
    shared_bytes: AtomicU64,
    peak_bytes: AtomicU64,
}

impl ResponseBuffers {
    /// Creates buffers with these limits.
    pub fn new(limits: ResponseLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns the bytes that are taken from the total.
    pub fn shared_bytes(&self) -> u64 {
        self.shared_bytes.load(Ordering::SeqCst)
    }

    /// Returns the most bytes that have ever been taken from the total.
    pub fn peak_bytes(&self) -> u64 {
        self.peak_bytes.load(Ordering::SeqCst)
    }

    /// Bounds the kernel's buffer of a caller's connection, and the time without progress of a write
    /// to it.
    pub(crate) fn limit_connection(&self, caller: &TcpStream) -> io::Result<()> {
        sockopt::set_socket_send_buffer_size(caller, SOCKET_BUFFER_BYTES)?;
        caller.set_write_timeout(Some(self.limits.stall_timeout))
    }

    /// Returns until when a response to a request with this deadline may be written. A caller that
    /// takes it slowly but steadily would otherwise occupy the target for any time.
    pub(crate) fn write_deadline(&self, deadline: BootInstant) -> BootInstant {
        deadline + self.limits.stall_timeout
    }

    fn take(&self, bytes: u64) -> bool {
        let add = |held: u64| held.checked_add(bytes).filter(|sum| *sum <= self.limits.total_bytes);
        let taken = self.shared_bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, add);
        if let Ok(before) = taken {
            self.peak_bytes.fetch_max(before + bytes, Ordering::SeqCst);
        }
        taken.is_ok()
    }
}

/// The bytes that one request holds; they are released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    buffers: Arc<ResponseBuffers>,
    bytes: u64,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub fn new(buffers: Arc<ResponseBuffers>) -> Self {
        Self { buffers, bytes: 0 }
    }

    /// Returns the bytes that are reserved.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Appends `more` to `buf`, whose capacity is reserved here; returns `false`, and leaves `buf` as
    /// it is, if the total does not allow it.
    pub fn extend(&mut self, buf: &mut Vec<u8>, more: &[u8]) -> bool {
        let needed = buf.len() + more.len();
        if needed > buf.capacity() {
            let (before, capacity) = (buf.capacity(), needed.max(buf.capacity() * 2));
            // Both buffers are held while the bytes are copied.
            if !self.grow(capacity as u64) {
                return false;
            }
            buf.reserve_exact(capacity - buf.len());
            self.shrink_to(self.bytes - before as u64);
        }
        buf.extend_from_slice(more);
        true
    }

    /// Appends `more` to a body in parts; returns `false` if the total does not allow it.
    pub fn extend_parts(&mut self, parts: &mut Vec<Vec<u8>>, mut more: &[u8]) -> bool {
        while !more.is_empty() {
            match parts.last_mut().filter(|part| part.len() < MAX_PART_BYTES) {
                Some(part) => {
                    let n = more.len().min(MAX_PART_BYTES - part.len());
                    if !self.extend(part, &more[..n]) {
                        return false;
                    }
                    more = &more[n..];
                }
                None => parts.push(Vec::new()),
            }
        }
        true
    }

    fn grow(&mut self, by: u64) -> bool {
        let bytes = self.bytes + by;
        let is_granted = self.buffers.take(shared(bytes) - shared(self.bytes));
        if is_granted {
            self.bytes = bytes;
        }
        is_granted
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        let released = shared(self.bytes) - shared(bytes);
        self.buffers.shared_bytes.fetch_sub(released, Ordering::SeqCst);
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Returns the part of `bytes` that is taken from the total.
fn shared(bytes: u64) -> u64 {
    bytes.saturating_sub(UNSHARED_BYTES)
}
