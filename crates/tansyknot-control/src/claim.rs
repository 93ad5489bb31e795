//! Claims on replicas: leases that the holder checks immediately before each order.

use std::time::Duration;

use tansyknot_core::{clock::Time, engine::Fence};

/// How long a claim is valid, counted from before its row is written.
pub const CLAIM_DURATION: Duration = Duration::from_secs(10);
/// The validity that a claim must have left for an order to be sent; longer than an order's
/// timeout, so that an order ends before its claim.
pub const CLAIM_MARGIN: Duration = Duration::from_secs(3);
/// How long another daemon must see a row unchanged before it takes over; longer than a claim.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(12);

/// A claim as its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The fencing token of orders under this claim.
    pub fence: Fence,
    /// When the claim expires, by the holder's monotonic clock.
    pub expires_at: Time,
}

impl Claim {
    /// Creates a claim whose write was sent at `requested_at` or later.
    ///
    /// Counting from before the write makes the claim expire for its holder before any observer
    /// may take over.
    pub fn new(fence: Fence, requested_at: Time) -> Self {
        Self { fence, expires_at: requested_at + CLAIM_DURATION }
    }

    /// Returns whether an order may be sent now.
    pub fn allows_order(&self, now: Time) -> bool {
        now + CLAIM_MARGIN <= self.expires_at
    }
}

/// Tracks how long another holder's slot has been unchanged, by this daemon's own clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    token: String,
    unchanged_since: Time,
}

impl Watch {
    /// Starts watching a slot whose latest change has the writer token `token`.
    pub fn new(token: &str, now: Time) -> Self {
        Self { token: token.to_owned(), unchanged_since: now }
    }

    /// Records the current writer token; returns whether the slot has been unchanged for long
    /// enough to take over.
    pub fn is_unresponsive(&mut self, token: &str, now: Time) -> bool {
        if self.token != token {
            *self = Watch::new(token, now);
            return false;
        }
        now.since(self.unchanged_since) >= TAKEOVER_TIMEOUT
    }
}
