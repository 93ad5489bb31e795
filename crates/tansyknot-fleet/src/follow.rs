//! Follows the platform's store: the operators' configuration and the list of targets.

mod config;
mod contact;
mod list;

use std::time::Duration;

use tansyknot_core::clock::Time;

pub use config::ConfigFollower;
pub use list::{Answer, Call, Outcome, TargetFollower};

/// Changes are asked for one by one only after a version that was the newest within this span;
/// whoever knows less reads the table. An answer with changes has every version in between, while
/// the time of a call does not grow with it and what came of a call that failed is lost: a daemon
/// that has been cut off for 12 s, behind 10 Mbit/s, asks for the same 4 MB until the store has
/// forgotten them, 8 s later (docs/incidents). Three versions of 95 kB a second make 0.7 MB in
/// this span, 0.6 s of such a link. Daemons in contact know more: a call that waits for changes
/// takes 2 s at most.
const REPLAY_MOST: Duration = Duration::from_millis(2500);

/// Returns the version after which to ask for changes, `None` to read the table, for a follower
/// that has `version`, which it knows to have been the newest at `known_at`.
fn replay_from(version: Option<u64>, known_at: Option<Time>, now: Time) -> Option<u64> {
    let is_recent = known_at.is_some_and(|at| now.since(at) <= REPLAY_MOST);
    version.filter(|_| is_recent)
}
