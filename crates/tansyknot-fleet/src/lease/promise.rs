//! Promises of followers not to take the lease over, with which its holder extends the lease while
//! the store does not respond.
//!
//! A promise counts from the holder's last message that the follower had received when it made the
//! promise, so a delayed promise ends early and never late. The holder relies on promises only
//! while every daemon that it has heard from keeps one. A daemon that the holder has not heard from
//! has no acknowledgement, and waits until no extension can last any more.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::clock::Time;

/// How long a promise holds, counted from the holder's message. Updates and demand are sent every 0.3 s, so a promise is renewed in
/// time even if one datagram in each direction is lost.
pub const PROMISE_DURATION: Duration = Duration::from_millis(1200);
/// The longest time from a renewal to the end of an extension. Most outages of the store are
/// shorter. A daemon without an acknowledgement leaves the row alone for this long.
pub const EXTENSION_LIMIT: Duration = Duration::from_secs(10);
/// A follower that has received no message of the holder for this long makes no promise.
pub const MAX_SILENCE: Duration = Duration::from_millis(500);

/// A follower's promise not to take the row over for [`PROMISE_DURATION`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The fencing token of the holder.
    pub fence: u64,
    /// The time of the holder's last message, in microseconds of the holder's clock.
    pub stamp_us: u64,
    /// Whether the follower has received no acknowledgement from this holder.
    pub needs_acknowledgement: bool,
}

/// The last promise that this daemon has made.
#[derive(Clone, Copy, Debug)]
pub(super) struct MadePromise {
    pub(super) fence: u64,
    pub(super) until: Time,
    /// Until when the holder may have sent orders to targets that the row does not name.
    pub(super) unnamed_until: Option<Time>,
    pub(super) is_acknowledged: bool,
}

/// A daemon that the holder has heard from.
#[derive(Clone, Debug)]
struct Follower {
    incarnation: Arc<str>,
    /// The time of the message that its last promise counts from.
    stamp: Option<Time>,
}

/// The promises that the holder has received since it took the row over.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedPromises {
    followers: HashMap<Arc<str>, Follower>,
}

impl ReceivedPromises {
    /// Records a message of a follower, and its promise if it makes one.
    pub(super) fn record(
        &mut self,
        daemon: &Arc<str>,
        incarnation: &Arc<str>,
        stamp: Option<Time>,
    ) {
        let follower = self
            .followers
            .entry(Arc::clone(daemon))
            .or_insert_with(|| Follower { incarnation: Arc::clone(incarnation), stamp: None });
        if follower.incarnation != *incarnation {
            *follower = Follower { incarnation: Arc::clone(incarnation), stamp: None };
        }
        follower.stamp = follower.stamp.max(stamp);
    }

    /// Removes a follower that has stopped for good.
    pub(super) fn remove(&mut self, daemon: &str) {
        self.followers.remove(daemon);
    }

    /// Returns whether every follower keeps a promise at `now`.
    pub(super) fn all_hold(&self, now: Time) -> bool {
        let holds = |f: &Follower| f.stamp.is_some_and(|stamp| now < stamp + PROMISE_DURATION);
        self.followers.values().all(holds)
    }

    /// Returns whether every follower keeps a promise that counts from a message sent at `from` or
    /// later.
    pub(super) fn all_count_from(&self, from: Time, now: Time) -> bool {
        let is_newer = |f: &Follower| f.stamp.is_some_and(|stamp| stamp >= from);
        self.all_hold(now) && self.followers.values().all(is_newer)
    }
}
