//! The room in the caches of targets.

use tansyknot_core::{clock::Time, name::TargetName};
use tansyknot_policy::room::{self, Occupancy};

use super::{Fleet, TargetRequirements, member::Member};
use crate::scheduling::RoomAccounting;

/// Tokens that a daemon has added at a nearly full target since its last report are reported at
/// once if they are more than this share of the cache, in hundredths. In simulation, six daemons
/// that load four caches to 70% on average exceed one in 14 of 40 runs, instead of 23 if they
/// report at heartbeats only.
const REPORT_PERCENT: u64 = 3;
/// The share of a cache, in hundredths, below which tokens are reported at heartbeats only.
const NEARLY_FULL_PERCENT: u64 = 50;

/// What a request needs of the cache of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheNeed {
    /// The tokens that the request is expected to keep there; 0 if it declares none.
    pub tokens: u32,
    /// The tokens that the cache of each target of the service holds; `None` for a plain service.
    pub capacity: Option<u64>,
}

impl Fleet {
    /// Returns the tokens of a request that are counted and reported: none if only requests count.
    pub(super) fn counted(&self, tokens: u32) -> u32 {
        match self.room {
            RoomAccounting::Requests => 0,
            RoomAccounting::Tokens => tokens,
        }
    }

    /// Returns whether the cache of a target has room for a request.
    pub(super) fn has_room(&self, m: &Member, want: &TargetRequirements<'_>, now: Time) -> bool {
        let Some(capacity) = want.cache.capacity else { return true };
        self.room == RoomAccounting::Requests
            || room::has_room(capacity, occupancy(m, now), want.cache.tokens.into())
    }

    /// Returns those of the targets that have ample room for a request, or all if none has.
    pub(super) fn prefer_ample_room<'a>(
        &self,
        members: Vec<&'a Member>,
        want: &TargetRequirements<'_>,
        now: Time,
    ) -> Vec<&'a Member> {
        let Some(capacity) = want.cache.capacity else { return members };
        let tokens = want.cache.tokens.into();
        let is_ample = |m: &&Member| room::has_ample_room(capacity, occupancy(m, now), tokens);
        if self.room == RoomAccounting::Requests || !members.iter().any(is_ample) {
            return members;
        }
        members.into_iter().filter(is_ample).collect()
    }

    /// Records whether the tokens at a target are to be reported before the next heartbeat, because
    /// other daemons might fill the same room.
    pub(super) fn check_unreported(
        &mut self,
        target: &TargetName,
        want: &TargetRequirements<'_>,
        now: Time,
    ) {
        let (Some(m), Some(capacity)) = (self.members.get(target), want.cache.capacity) else {
            return;
        };
        let added = m.own_tokens().saturating_sub(m.reported_tokens);
        let is_nearly_full = m.tokens(now) >= capacity / 100 * NEARLY_FULL_PERCENT;
        self.is_report_due |= is_nearly_full && added > capacity / 100 * REPORT_PERCENT;
    }

    /// Returns whether this daemon's requests are to be reported before the next heartbeat, once.
    pub fn take_report_due(&mut self) -> bool {
        std::mem::take(&mut self.is_report_due)
    }
}

/// Returns the requests of all daemons at a target, as far as this daemon knows.
fn occupancy(m: &Member, now: Time) -> Occupancy {
    Occupancy { requests: m.own_requests() + m.other_requests, tokens: m.tokens(now) }
}
