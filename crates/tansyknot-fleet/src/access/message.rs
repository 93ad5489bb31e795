//! What daemons and the planner tell each other of keys and quotas. No key is among it.

use serde::{Deserialize, Serialize};
use tansyknot_core::{clock::Time, name::TeamName};

/// Units that were taken and not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Back {
    /// The units.
    pub units: u32,
    /// How long ago they were taken, in milliseconds.
    pub age_ms: u32,
}

/// What a daemon uses of a team's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUse {
    /// The team.
    pub team: TeamName,
    /// Units a second that its requests ask for, of late.
    pub per_s: u32,
    /// Units that second sends have taken since the last such message.
    pub again: u32,
    /// Units that were taken of what was lent since then.
    pub lent: u32,
    /// What was given back since then.
    pub back: Vec<Back>,
}

/// When a daemon asked, by its own clock, and which run of it: an answer to an earlier run proves
/// nothing to this one, whose clock has begun anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Drawn by each run.
    pub run: u64,
    /// The time, in microseconds.
    pub us: u64,
}

impl Stamp {
    /// Returns when it was made, if this run made it.
    pub fn asked_at(self, run: u64, now: Time) -> Option<Time> {
        let at = Time::from_micros(self.us);
        (self.run == run && at <= now).then_some(at)
    }
}

/// A daemon's question to the planner, with each beat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// When it was asked; the answer has it again.
    pub stamp: Stamp,
    /// What it uses of quotas.
    pub uses: Vec<TeamUse>,
}

/// What a daemon may use without asking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lent {
    /// The team.
    pub team: TeamName,
    /// Units a second.
    pub rate: u32,
}

/// The planner's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The planner's fencing token.
    pub fence: u64,
    /// The stamp of the question.
    pub stamp: Stamp,
    /// The configuration that the planner has in force.
    pub config: u64,
    /// How long before this answer it is known to have been the newest, in milliseconds, rounded up.
    pub config_age_ms: Option<u32>,
    /// What the daemon may use without asking.
    pub lent: Vec<Lent>,
}

/// A request asks whether its team's quota has room for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Take {
    /// Names the question.
    pub number: u32,
    /// The team.
    pub team: TeamName,
    /// What the request takes.
    pub units: u32,
}

/// Whether a quota has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It has, and the units are taken.
    Granted,
    /// The account has just been opened, and whoever asks may ask again soon.
    Later,
    /// It has not.
    Over {
        /// When it should have, in milliseconds from now.
        wait_ms: u32,
    },
}

/// The answer to [`Take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// Names the question.
    pub number: u32,
    /// The answer.
    pub verdict: Verdict,
}
