//! Messages between daemons about backpressure signals and permits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyknot_core::clock::Time;

use super::{Interval, ResponseId};
use crate::{access::message::Stamp, poison::key::RunKey};

/// A response, by the age of its request and of its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseAges {
    /// Identifies the response.
    pub id: u64,
    /// The time since the request was sent, in milliseconds, rounded up.
    pub sent_ms: u32,
    /// The time since the head of the response was received, in milliseconds, rounded down.
    pub received_ms: u32,
}

impl ResponseAges {
    /// Returns the ages of a response at `now`.
    pub fn of(answer: ResponseId, now: Time) -> Self {
        let ResponseId { id, at } = answer;
        let sent_ms = now.since(at.sent).as_micros().div_ceil(1000);
        let received_ms = now.since(at.received).as_millis();
        let millis = |ms: u128| u32::try_from(ms).unwrap_or(u32::MAX);
        Self { id, sent_ms: millis(sent_ms), received_ms: millis(received_ms) }
    }

    /// Returns the response that has these ages at `now`.
    pub fn to_response_id(self, now: Time) -> ResponseId {
        let before = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
        let at = Interval { sent: before(self.sent_ms), received: before(self.received_ms) };
        ResponseId { id: self.id, at }
    }
}

/// The rate limit of one run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum LimitSummary {
    /// No limit is known.
    Unknown,
    /// A limit is in force.
    Named {
        /// The requests a second.
        per_s: f64,
        /// The newest response that names the limit.
        at: ResponseAges,
    },
    /// This response ended the limit.
    Ended(ResponseAges),
}

/// The brittleness of one run of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum BrittleSummary {
    /// None is known.
    #[default]
    Unknown,
    /// The run is brittle.
    Named {
        /// The refusals within a second that it survives.
        max_refusals: u32,
        /// The newest response that names it.
        at: ResponseAges,
        /// The time since it last refused a request, in milliseconds.
        refused_ms: Option<u32>,
    },
    /// This response ended it.
    Ended(ResponseAges),
}

/// The signals of one run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunSummary {
    /// The run.
    pub run: RunKey,
    /// Its rate limit.
    pub limit: LimitSummary,
    /// Whether the run is draining.
    pub is_leaving: bool,
    /// Its brittleness.
    pub brittle: BrittleSummary,
}

impl RunSummary {
    /// Returns whether the summary has any signal.
    pub fn has_signal(&self) -> bool {
        self.limit != LimitSummary::Unknown
            || self.is_leaving
            || self.brittle != BrittleSummary::Unknown
    }
}

/// Asks for a permit to send a request to a target that names a limit. It is sent again until it is
/// answered or the request goes to another target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitQuery {
    /// Identifies the request at its daemon.
    pub number: u32,
    /// When this message was sent.
    pub stamp: Stamp,
    /// The run of the target, and the signals that this daemon has of it.
    pub summary: RunSummary,
    /// The priority of the request; 0 goes first.
    pub priority: u8,
    /// How much longer the request can wait, in milliseconds.
    pub left_ms: u32,
}

/// Whether a request gets a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitVerdict {
    /// The request may be sent now.
    Granted,
    /// Other requests go first.
    Queued {
        /// The time until its permit if no other requests arrive, in milliseconds from now.
        wait_ms: u32,
    },
}

/// The reply to [`PermitQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Identifies the request.
    pub number: u32,
    /// The stamp of the [`PermitQuery`].
    pub stamp: Stamp,
    /// The verdict.
    pub verdict: PermitVerdict,
}

/// Cancels a [`PermitQuery`], whose request no longer needs a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitCancel {
    /// Identifies the request.
    pub number: u32,
    /// The run of the target that the permit was for.
    pub run: RunKey,
}
