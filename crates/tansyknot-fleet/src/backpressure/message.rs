//! Messages between daemons about backpressure signals and permits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyknot_core::clock::Time;

use super::{Answer, Interval};
use crate::{access::message::Stamp, poison::key::RunKey};

/// An answer, by how long ago its request was sent and its head came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// Names the answer.
    pub id: u64,
    /// Since the request was sent, in milliseconds, rounded up.
    pub sent_ms: u32,
    /// Since the head of the answer came, in milliseconds, rounded down.
    pub received_ms: u32,
}

impl Ages {
    /// Returns how old an answer is `now`.
    pub fn of(answer: Answer, now: Time) -> Self {
        let Answer { id, at } = answer;
        let sent_ms = now.since(at.sent).as_micros().div_ceil(1000);
        let received_ms = now.since(at.received).as_millis();
        let millis = |ms: u128| u32::try_from(ms).unwrap_or(u32::MAX);
        Self { id, sent_ms: millis(sent_ms), received_ms: millis(received_ms) }
    }

    /// Returns the answer that has this age `now`.
    pub fn answer(self, now: Time) -> Answer {
        let before = |ms: u32| now.before(Duration::from_millis(ms.into()));
        let at = Interval { sent: before(self.sent_ms), received: before(self.received_ms) };
        Answer { id: self.id, at }
    }
}

/// The rate limit of one run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitSummary {
    /// None is known.
    Unknown,
    /// It is in force.
    Named {
        /// The requests a second.
        per_s: f64,
        /// The newest answer that names it.
        at: Ages,
    },
    /// It has ended, by this answer.
    Ended(Ages),
}

/// The signals of one run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunSummary {
    /// The run.
    pub run: RunKey,
    /// Its rate limit.
    pub limit: LimitSummary,
    /// Whether it drains.
    pub is_leaving: bool,
}

/// A request asks whether it may go to a target that names a limit. It asks again until it is answered
/// or goes elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitAsk {
    /// Names the request at its daemon.
    pub number: u32,
    /// When it asked.
    pub stamp: Stamp,
    /// The target, and what it has told this daemon.
    pub summary: RunSummary,
    /// The rank of the request; 0 goes first.
    pub priority: u8,
    /// How much longer it can wait, in milliseconds.
    pub left_ms: u32,
}

/// Whether a request may go to a target that names a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitVerdict {
    /// It may, now.
    Granted,
    /// Others go first.
    Queued {
        /// When it may if nobody else comes, in milliseconds from now.
        wait_ms: u32,
    },
}

/// The answer to [`PermitAsk`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Names the request.
    pub number: u32,
    /// The stamp of the question that is answered.
    pub stamp: Stamp,
    /// The answer.
    pub verdict: PermitVerdict,
}

/// A request that has asked needs no answer any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitEnd {
    /// Names the request.
    pub number: u32,
    /// The run of the target that it asked about.
    pub run: RunKey,
}
