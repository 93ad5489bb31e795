//! Requests that targets have answered recently.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::clock::Time;

use super::key::RequestKey;

/// A request that was answered completely within this time is not suspected. A target, or its rack,
/// may be killed while it has a request that is sent again and again. The detection of a request
/// that becomes harmful is delayed by this time.
pub(super) const RECENT_ANSWER_PERIOD: Duration = Duration::from_secs(5);
/// The number of requests in one generation, about 40 bytes each; up to two generations are stored.
/// One is enough for 400 requests a second at one daemon, more than any host receives.
const GENERATION_SIZE: usize = 4096;

/// When this daemon last saw a request answered completely, in two generations.
#[derive(Clone, Debug, Default)]
pub(super) struct Served {
    new: HashMap<RequestKey, Time>,
    old: HashMap<RequestKey, Time>,
}

impl Served {
    /// Records that a request was answered.
    pub(super) fn add(&mut self, key: RequestKey, now: Time) {
        if self.new.len() >= GENERATION_SIZE {
            self.old = std::mem::take(&mut self.new);
        }
        self.new.insert(key, now);
    }

    /// Returns whether a request was answered recently.
    pub(super) fn was_answered_recently(&self, key: RequestKey, now: Time) -> bool {
        let at = self.new.get(&key).or_else(|| self.old.get(&key));
        at.is_some_and(|at| now.since(*at) < RECENT_ANSWER_PERIOD)
    }
}
