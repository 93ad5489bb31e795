//! Followers of the platform's store: of the operators' configuration and of the list of targets.

mod config;
mod contact;
mod deferral;
mod list;

use std::time::Duration;

use tansyknot_core::clock::Time;

pub use config::ConfigFollower;
pub use deferral::own_call_delay;
pub use list::{CallOutcome, ListCall, ListResponse, TargetFollower};

/// Maximum age of a version after which a follower requests single changes; with an older one it
/// reads the full table. A response with changes contains every version in between, while a call's
/// timeout does not grow with the size, and the part received by a failed call is discarded.
/// Without this limit, a daemon that was disconnected for 12 s, behind a link of 10 Mbit/s,
/// requests the same 4 MB repeatedly until the store drops them from its history 8 s later. Three
/// versions of 95 kB per second add up to 0.7 MB within this age, which take 0.6 s on such a link.
/// Connected daemons stay within it: a call that waits for changes takes at most 2 s.
const MAX_REPLAY_AGE: Duration = Duration::from_millis(2500);

/// Returns the version after which a follower requests changes, `None` if it is to read the full
/// table. The follower has `version`, which was the newest one at `known_at`.
fn replay_from(version: Option<u64>, known_at: Option<Time>, now: Time) -> Option<u64> {
    let is_recent = known_at.is_some_and(|at| now.since(at) <= MAX_REPLAY_AGE);
    version.filter(|_| is_recent)
}
