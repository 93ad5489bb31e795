//! Who the planner is: a row of the store that its holder renews, and when it may send orders.
//!
//! The row is only ever changed by compare-and-swap. A holder trusts a renewal for [`VALID`] from
//! the moment it was sent, by its own monotonic clock. Another daemon takes the row only after it
//! has seen it unchanged for [`TAKE_AFTER`], by its own clock, which is longer; it then sends no
//! order until the spans in [`LeaseOptions`] have passed since the latest possible order of the
//! holder before.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::clock::Time;

use crate::outside::PeerAddress;

/// How long a renewal is good for, from the moment it was sent.
pub const VALID: Duration = Duration::from_millis(1500);
/// How long the row must have stood unchanged before another daemon takes it.
pub const TAKE_AFTER: Duration = Duration::from_millis(2100);
/// How often the holder renews.
pub const RENEW_EVERY: Duration = Duration::from_millis(600);
/// Added to the span between orders of two holders, for what the network delays.
const ORDER_MARGIN: Duration = Duration::from_millis(300);

/// The value of the planner's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The daemon.
    pub daemon: Arc<str>,
    /// This run of it.
    pub incarnation: Arc<str>,
    /// Where its peers reach it.
    pub address: PeerAddress,
    /// The fencing token; it rises with each change of the holder.
    pub fence: u64,
    /// Whether the holder has stopped sending orders for good.
    pub released: bool,
}

/// The span that must lie between the orders of two holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// The platform's bound on holders that take turns.
    pub turn: Duration,
}

/// What this daemon knows of the planner's row.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    seen: Option<Seen>,
    held: Option<Held>,
}

#[derive(Clone, Debug)]
struct Seen {
    holder: Holder,
    version: u64,
    since: Time,
}

#[derive(Clone, Debug)]
struct Held {
    fence: u64,
    valid_until: Time,
    orders_from: Time,
}

/// A row that may be written now, and what becomes of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The version that the row must have; 0 if there must be none.
    pub expected: u64,
    /// The value to write.
    pub holder: Holder,
    /// When the claim is sent.
    sent: Time,
    /// The first moment at which the new holder may send orders.
    orders_from: Time,
}

impl Lease {
    /// Takes in the row as it was read at `now`.
    pub fn read(&mut self, holder: Option<Holder>, version: u64, now: Time, me: &Arc<str>) {
        let Some(holder) = holder else {
            self.seen = None;
            self.held = None;
            return;
        };
        if holder.incarnation != *me {
            self.held = None;
        }
        let is_same = self.seen.as_ref().is_some_and(|s| s.version == version);
        if !is_same {
            self.seen = Some(Seen { holder, version, since: now });
        }
    }

    /// Returns the holder that the row names.
    pub fn holder(&self) -> Option<&Holder> {
        self.seen.as_ref().map(|s| &s.holder)
    }

    /// Tells whether this daemon wrote the row last, as far as it knows.
    pub fn is_mine(&self) -> bool {
        self.held.is_some()
    }

    /// Returns the claim that `me` may make now: a renewal, or the row of a holder that is gone.
    pub fn claim(&self, me: &Holder, options: LeaseOptions, now: Time) -> Option<Claim> {
        let Some(seen) = &self.seen else {
            let holder = Holder { fence: 1, released: false, ..me.clone() };
            return Some(Claim { expected: 0, holder, sent: now, orders_from: now });
        };
        if let Some(held) = &self.held {
            let holder = Holder { fence: held.fence, released: false, ..me.clone() };
            let orders_from = held.orders_from;
            return Some(Claim { expected: seen.version, holder, sent: now, orders_from });
        }
        let fence = seen.holder.fence + 1;
        let holder = Holder { fence, released: false, ..me.clone() };
        let claim =
            |orders_from| Some(Claim { expected: seen.version, holder, sent: now, orders_from });
        let same_host =
            seen.holder.daemon == me.daemon && seen.holder.address.ip() == me.address.ip();
        if same_host {
            // An earlier run on this host has ended, and both count as one holder.
            return claim(now);
        }
        if seen.holder.released {
            return claim(now + options.turn + ORDER_MARGIN);
        }
        if now.since(seen.since) >= TAKE_AFTER {
            let last_order = now.before(TAKE_AFTER.saturating_sub(VALID));
            return claim(last_order + options.turn + ORDER_MARGIN);
        }
        None
    }

    /// Takes in that a claim took effect and gave the row this version.
    pub fn written(&mut self, claim: &Claim, version: u64, now: Time) {
        self.seen = Some(Seen { holder: claim.holder.clone(), version, since: now });
        self.held = Some(Held {
            fence: claim.holder.fence,
            valid_until: claim.sent + VALID,
            orders_from: claim.orders_from,
        });
    }

    /// Returns the fencing token if an order may be sent now.
    pub fn may_order(&self, now: Time) -> Option<u64> {
        let held = self.held.as_ref()?;
        let allowed = now >= held.orders_from && now < held.valid_until;
        allowed.then_some(held.fence)
    }

    /// Returns the row that gives the lease up, and forgets that it is held.
    pub fn release(&mut self, me: &Holder) -> Option<(u64, Holder)> {
        let held = self.held.take()?;
        let seen = self.seen.as_ref()?;
        Some((seen.version, Holder { fence: held.fence, released: true, ..me.clone() }))
    }

    /// Takes in that the lease is another's or unknown after a conflict.
    pub fn lost(&mut self) {
        self.held = None;
    }
}
