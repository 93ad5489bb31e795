//! Messages between daemons and the planner about keys and quotas. They contain no keys.

use serde::{Deserialize, Serialize};
use tansyknot_core::{clock::Time, name::TeamName};

/// Units that were taken and not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReturnedUnits {
    /// The units.
    pub units: u32,
    /// How long ago they were taken, in milliseconds.
    pub age_ms: u32,
}

/// A daemon's use of a team's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUse {
    /// The team.
    pub team: TeamName,
    /// The units a second that its requests ask for, averaged over the last seconds.
    pub per_s: u32,
    /// The units that retries have taken since the last such message.
    pub retried: u32,
    /// The units of the lent share that were taken since then.
    pub lent: u32,
    /// The units that were given back since then.
    pub returned: Vec<ReturnedUnits>,
}

/// When a daemon sent a message, by its own clock, and the run of the daemon that sent it. A reply
/// to an earlier run proves nothing to a later one, whose clock has another origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// A random number that identifies the run.
    pub run: u64,
    /// The time, in microseconds.
    pub us: u64,
}

impl Stamp {
    /// Returns when the message was sent, if `run` sent it.
    pub fn sent_at(self, run: u64, now: Time) -> Option<Time> {
        let at = Time::from_micros(self.us);
        (self.run == run && at <= now).then_some(at)
    }
}

/// A daemon's report to the planner, sent with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// When it was sent; the reply repeats the stamp.
    pub stamp: Stamp,
    /// The daemon's use of quotas.
    pub uses: Vec<TeamUse>,
}

/// The share of a team's quota that a daemon may use without asking the planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LentShare {
    /// The team.
    pub team: TeamName,
    /// Units a second.
    pub rate: u32,
}

/// The planner's reply to a [`UsageReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReply {
    /// The planner's fencing token.
    pub fence: u64,
    /// The stamp of the report.
    pub stamp: Stamp,
    /// The version of the configuration that the planner has in force.
    pub config: u64,
    /// How long before this reply that version is known to have been the newest, in milliseconds,
    /// rounded up.
    pub config_age_ms: Option<u32>,
    /// The shares that the daemon may use without asking the planner.
    pub lent: Vec<LentShare>,
}

/// Asks the planner for units of a team's quota, for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Identifies this message at its daemon; the reply repeats it.
    pub number: u32,
    /// The team.
    pub team: TeamName,
    /// The units that the request takes.
    pub units: u32,
}

/// Whether a quota has enough units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It has, and they are taken.
    Granted,
    /// The account has just been opened; the daemon may ask again soon.
    Later,
    /// It has too few.
    Over {
        /// When it should have enough, in milliseconds from now.
        wait_ms: u32,
    },
}

/// The reply to [`QuotaRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The number of the [`QuotaRequest`].
    pub number: u32,
    /// The verdict.
    pub verdict: Verdict,
}
