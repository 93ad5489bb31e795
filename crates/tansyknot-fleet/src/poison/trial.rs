//! Second chances of requests that are convicted.
//!
//! Three crashes may be chance, or another request's doing, and a request that nobody sends on can't
//! be cleared. So one daemon sends it once more: it is answered and cleared, or convicted for good.

use std::{collections::BTreeMap, time::Duration};

use tansyknot_core::clock::Time;

use super::key::RequestKey;

/// A request is tried this long after its conviction: what crashed the targets, if it was something
/// else, is over by then, and they are back. It does not count from the last crash of any target, which
/// may never be long ago. A trial that came to nothing, as no target took it, may be made again after as
/// long.
const TRIED_AFTER: Duration = Duration::from_secs(5);
/// Trials of one request by one daemon. The users allow three sends after the third crash.
const TRIALS_MOST: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Trial {
    count: u32,
    at: Time,
}

/// The trials that this daemon has made.
#[derive(Clone, Debug, Default)]
pub(super) struct Trials {
    made: BTreeMap<RequestKey, Trial>,
}

impl Trials {
    /// Begins a trial of a request that was convicted at `since`, if there may be one.
    pub(super) fn begin(&mut self, key: RequestKey, since: Time, now: Time) -> bool {
        if now.since(since) < TRIED_AFTER {
            return false;
        }
        let trial = self.made.entry(key).or_insert(Trial { count: 0, at: since });
        let may_begin = trial.count < TRIALS_MOST && now.since(trial.at) >= TRIED_AFTER;
        if may_begin {
            *trial = Trial { count: trial.count + 1, at: now };
        }
        may_begin
    }

    /// Tells whether a request that is convicted has been sent on as a trial.
    pub(super) fn has_begun(&self, key: RequestKey) -> bool {
        self.made.get(&key).is_some_and(|trial| trial.count > 0)
    }

    /// Forgets a request that is not convicted any more.
    pub(super) fn forget(&mut self, key: RequestKey) {
        self.made.remove(&key);
    }
}
