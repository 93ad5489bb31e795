//! How long a daemon leaves reading a long list to others.
//!
//! A long list takes seconds to read over most links, and the store has no room for hundreds of
//! readers. Other daemons hand it over once one of them is the planner and has read it.

use std::time::Duration;

use tansyknot_core::clock::Time;

use crate::state::State;

/// The time between two daemons' reads of a long list.
const STAGGER: Duration = Duration::from_millis(200);
/// How long a daemon at least waits for another one to have the list: as long as a relay takes to
/// get it.
const MIN_DEFERRAL: Duration = Duration::from_millis(1000);
/// How long a daemon without any list waits: until another daemon has become the planner and has
/// read the list.
const MIN_FIRST_DEFERRAL: Duration = Duration::from_millis(3500);

/// Returns how long a daemon whose view of the list is too old waits before its next call: with no
/// planner's updates, those with good links call first, one after the other.
pub fn own_call_delay(state: &State, now: Time) -> Duration {
    if !state.fleet().has_long_list() || state.planner_view().source(now).is_some() {
        return Duration::ZERO;
    }
    stagger(state, now)
}

/// Returns how long a daemon waits for another one to hand a long list over, before it reads the
/// list itself.
pub(super) fn max_deferral(state: &State, has_list: bool, now: Time) -> Duration {
    let least = if has_list { MIN_DEFERRAL } else { MIN_FIRST_DEFERRAL };
    stagger(state, now).max(least)
}

fn stagger(state: &State, now: Time) -> Duration {
    let before = state.peers().own_rank(now);
    STAGGER.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX))
}
