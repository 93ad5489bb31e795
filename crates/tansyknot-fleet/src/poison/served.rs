//! Requests that targets have answered recently, and parts of their prompts.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::clock::Time;

use super::key::{SoftwareKey, SuspectKey};

/// A request that was answered completely within this time is not suspected. A target, or its rack,
/// may be killed while it has a request that is sent again and again. The detection of a request
/// that becomes harmful is delayed by this time.
pub(super) const RECENT_ANSWER_PERIOD: Duration = Duration::from_secs(5);
/// The same for a part of prompts, which gets evidence from all requests that contain it: a shorter time
/// will do, and a part that becomes harmful is to be detected within five crashes.
const RECENT_PART_ANSWER_PERIOD: Duration = Duration::from_secs(1);
/// The number of requests and parts in one generation, about 40 bytes each; up to two generations are stored.
/// One is enough for 400 requests a second at one daemon, more than any host receives.
const GENERATION_SIZE: usize = 4096;

/// When this daemon last saw a request answered completely by each version of the targets' software,
/// in two generations. That one version can run a request says nothing about another.
#[derive(Clone, Debug, Default)]
pub(super) struct Served {
    new: HashMap<(SuspectKey, SoftwareKey), Time>,
    old: HashMap<(SuspectKey, SoftwareKey), Time>,
}

impl Served {
    /// Records that a request was answered.
    pub(super) fn add(&mut self, key: SuspectKey, software: SoftwareKey, now: Time) {
        if self.new.len() >= GENERATION_SIZE {
            self.old = std::mem::take(&mut self.new);
        }
        self.new.insert((key, software), now);
    }

    /// Returns whether a request, or one that contains a part, was answered recently by this software.
    pub(super) fn was_answered_recently(
        &self,
        key: SuspectKey,
        software: SoftwareKey,
        now: Time,
    ) -> bool {
        let period = if key.is_part() { RECENT_PART_ANSWER_PERIOD } else { RECENT_ANSWER_PERIOD };
        self.answered_at(key, software).is_some_and(|at| now.since(at) < period)
    }

    /// Returns when this daemon last saw an answer by this software, as far as it is stored.
    pub(super) fn answered_at(&self, key: SuspectKey, software: SoftwareKey) -> Option<Time> {
        self.new.get(&(key, software)).or_else(|| self.old.get(&(key, software))).copied()
    }
}
