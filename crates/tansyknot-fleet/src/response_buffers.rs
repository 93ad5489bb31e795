//! Bounds on the bytes of responses that a daemon holds for its callers.
//!
//! A daemon reads no more of a response than it can forward: a stream up to the end of an event, and
//! a plain response as a whole. What it has read counts here until the caller has taken it.

use std::{io, net::TcpStream, sync::Arc, time::Duration};

use rustix::net::sockopt;
use tansyknot_core::clock::BootInstant;
use tansyknot_http::{
    memory::{self, RequestMemory, ResponseShare},
    response_parts::ResponseParts,
};

/// The size of the kernel's buffer for bytes that a caller has not read; Linux uses twice as much. It
/// allows 50 Mbit/s at a round trip of 10 ms. Without a limit, the buffers of one connection grow to
/// several megabytes.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// The size of the kernel's buffer for bytes that the daemon has not read from a target; Linux uses
/// twice as much.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// The same size for a long response, which takes what Linux uses from the total.
pub(crate) const LONG_RESPONSE_RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// What the daemon and the kernel hold of a response without a share of the total.
pub const UNSHARED_BYTES_WITH_KERNEL: u64 =
    memory::UNSHARED_RESPONSE_BYTES + 2 * RECEIVE_BUFFER_BYTES as u64;
/// Maximum time without progress of a write to a caller. A target cuts off a response that is not
/// read for some seconds, and counts as occupied until then.
const MAX_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The bytes of all responses that a daemon holds.
#[derive(Debug)]
pub struct ResponseBuffers {
    /// The memory that responses share with the bodies of requests.
    memory: Arc<RequestMemory>,
    /// A caller to which a write makes no progress for this long is disconnected.
    stall_timeout: Duration,
}

impl Default for ResponseBuffers {
    fn default() -> Self {
        Self::new(Arc::default(), MAX_STALL_TIMEOUT)
    }
}

impl ResponseBuffers {
    /// Creates buffers in `memory`, for callers whose writes have this timeout.
    pub fn new(memory: Arc<RequestMemory>, write_timeout: Duration) -> Self {
        Self { memory, stall_timeout: write_timeout.min(MAX_STALL_TIMEOUT) }
    }

    /// Returns the bytes that are taken from the total.
    pub fn shared_bytes(&self) -> u64 {
        self.memory.response_bytes()
    }

    /// Returns the most bytes that have ever been taken from the total.
    pub fn peak_bytes(&self) -> u64 {
        self.memory.response_peak_bytes()
    }

    /// Bounds the kernel's buffer of a caller's connection, and the time without progress of a write
    /// to it.
    pub(crate) fn limit_connection(&self, caller: &TcpStream) -> io::Result<()> {
        sockopt::set_socket_send_buffer_size(caller, SEND_BUFFER_BYTES)?;
        caller.set_write_timeout(Some(self.stall_timeout))
    }

    /// Returns until when a response to a request with this deadline may be written. A caller that
    /// takes it slowly but steadily would otherwise occupy the target for any time.
    pub(crate) fn write_deadline(&self, deadline: BootInstant) -> BootInstant {
        deadline + self.stall_timeout
    }
}

/// The bytes that one request holds; they are released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    share: ResponseShare,
    /// The part of the kernel's buffers that is taken from the total.
    kernel_bytes: u64,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub fn new(buffers: &ResponseBuffers) -> Self {
        Self { share: ResponseShare::new(Arc::clone(&buffers.memory)), kernel_bytes: 0 }
    }

    /// Returns the bytes that are reserved.
    pub fn bytes(&self) -> u64 {
        self.share.bytes()
    }

    /// Creates parts for the bytes that are reserved here.
    pub fn parts(&self) -> ResponseParts {
        self.share.parts()
    }

    /// Appends `more` to `parts`, whose lengths are reserved here; returns `false` if the total does
    /// not allow it.
    #[must_use]
    pub fn extend(&mut self, parts: &mut ResponseParts, more: &[u8]) -> bool {
        self.share.extend(parts, more)
    }

    /// Takes what the kernel uses for a long response from the total, once. Returns whether its buffer
    /// may be enlarged now.
    pub fn takes_larger_buffer(&mut self) -> bool {
        const MORE_BYTES: u64 =
            2 * (LONG_RESPONSE_RECEIVE_BUFFER_BYTES - RECEIVE_BUFFER_BYTES) as u64;
        let is_due = self.kernel_bytes == 0 && self.bytes() > memory::UNSHARED_RESPONSE_BYTES;
        let is_granted = is_due && self.share.memory().take_for_response(MORE_BYTES);
        if is_granted {
            self.kernel_bytes = MORE_BYTES;
        }
        is_granted
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        self.share.shrink_to(bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.share.memory().release_of_response(self.kernel_bytes);
    }
}
