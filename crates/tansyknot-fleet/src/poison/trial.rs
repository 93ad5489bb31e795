//! Trials of convicted requests.
//!
//! Three crashes may be coincidence or have another request as their cause, and a request that is
//! never sent can't be cleared. So one daemon sends it once more: it is answered and cleared, or
//! convicted for good.

use std::{collections::BTreeMap, time::Duration};

use tansyknot_core::clock::Time;

use super::key::SuspectKey;

/// A request is tried this long after its conviction: another cause of the crashes is over by then,
/// and the targets are back. The time does not count from the last crash of any target, because
/// targets may crash all the time. A trial that no target accepted may be repeated after the same
/// time.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// The maximum number of trials of one request by one daemon. At most three sends of a request are
/// allowed after its third crash.
const MAX_TRIALS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Trial {
    count: u32,
    at: Time,
}

/// The trials that this daemon has made.
#[derive(Clone, Debug, Default)]
pub(super) struct Trials {
    made: BTreeMap<SuspectKey, Trial>,
}

impl Trials {
    /// Begins a trial of a request that was convicted at `since`, if one is allowed.
    pub(super) fn begin(&mut self, key: SuspectKey, since: Time, now: Time) -> bool {
        if now.since(since) < TRIAL_INTERVAL {
            return false;
        }
        let trial = self.made.entry(key).or_insert(Trial { count: 0, at: since });
        let may_begin = trial.count < MAX_TRIALS && now.since(trial.at) >= TRIAL_INTERVAL;
        if may_begin {
            *trial = Trial { count: trial.count + 1, at: now };
        }
        may_begin
    }

    /// Returns whether a convicted request has been sent as a trial.
    pub(super) fn has_begun(&self, key: SuspectKey) -> bool {
        self.made.get(&key).is_some_and(|trial| trial.count > 0)
    }

    /// Returns whether the last trial that is allowed has begun.
    pub(super) fn was_last(&self, key: SuspectKey) -> bool {
        self.made.get(&key).is_some_and(|trial| trial.count >= MAX_TRIALS)
    }

    /// Removes a request that is no longer convicted.
    pub(super) fn forget(&mut self, key: SuspectKey) {
        self.made.remove(&key);
    }
}
