//! Requests that targets have answered lately.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::clock::Time;

use super::key::RequestKey;

/// A request that was answered as a whole this long ago is innocent of what happens now: a target
/// was killed, or its rack, while it had one that comes again and again. A request that begins to be
/// harmful is known that much later.
pub(super) const INNOCENT_SPAN: Duration = Duration::from_secs(5);
/// Requests that are remembered at least, some 40 bytes each, and twice as many at most: 400 a second
/// of one daemon, more than any of the users' hosts has.
const REMEMBERED: usize = 4096;

/// When this daemon has last seen a request answered as a whole, in two generations.
#[derive(Clone, Debug, Default)]
pub(super) struct Served {
    new: HashMap<RequestKey, Time>,
    old: HashMap<RequestKey, Time>,
}

impl Served {
    /// Takes in that a request was answered.
    pub(super) fn add(&mut self, key: RequestKey, now: Time) {
        if self.new.len() >= REMEMBERED {
            self.old = std::mem::take(&mut self.new);
        }
        self.new.insert(key, now);
    }

    /// Tells whether a request was answered a short time ago.
    pub(super) fn is_innocent(&self, key: RequestKey, now: Time) -> bool {
        let at = self.new.get(&key).or_else(|| self.old.get(&key));
        at.is_some_and(|at| now.since(*at) < INNOCENT_SPAN)
    }
}
