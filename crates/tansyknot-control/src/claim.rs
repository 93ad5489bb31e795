//! A claim on a replica: a lease that its holder checks immediately before each order.

use std::time::Duration;

use tansyknot_core::{clock::Time, engine::Fence};

/// How long a claim holds after its row was written.
pub const CLAIM_SPAN: Duration = Duration::from_secs(10);
/// An order is sent only if this much of the claim is left: longer than an order's timeout.
pub const CLAIM_MARGIN: Duration = Duration::from_secs(3);
/// Another daemon waits this long over an unchanged row before it takes over.
pub const TAKE_OVER_AFTER: Duration = Duration::from_secs(12);

/// A claim as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The fencing token of orders under this claim.
    pub fence: Fence,
    /// When the claim ends, by the holder's monotonic clock.
    pub ends: Time,
}

impl Claim {
    /// Makes a claim that was asked for at `before`, the time before the write was sent.
    ///
    /// Counting from before the write makes the holder's end earlier than any observer's.
    pub fn new(fence: Fence, before: Time) -> Self {
        Self { fence, ends: before + CLAIM_SPAN }
    }

    /// Tells whether an order may be sent now.
    pub fn allows_order(&self, now: Time) -> bool {
        now + CLAIM_MARGIN <= self.ends
    }
}

/// Watches a row of another holder by this daemon's own clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    token: String,
    since: Time,
}

impl Watch {
    /// Starts watching a slot whose latest change bears `token`.
    pub fn new(token: &str, now: Time) -> Self {
        Self { token: token.to_owned(), since: now }
    }

    /// Looks again; tells whether the slot has stood unchanged for long enough to take over.
    pub fn is_silent(&mut self, token: &str, now: Time) -> bool {
        if self.token != token {
            *self = Watch::new(token, now);
            return false;
        }
        now.since(self.since) >= TAKE_OVER_AFTER
    }
}
