//! Backpressure signals of targets: rate limits, connection draining and retry delays, as their answers
//! carry them.
//!
//! Decided without threads or sockets. `serve` records and obeys them, `conduct` shares them between
//! daemons.

pub mod message;
pub mod pending;
pub mod registry;
pub mod run_state;
pub mod scheduler;

use std::{fmt, time::Duration};

use tansyknot_core::clock::Time;
use xxhash_rust::xxh3;

use crate::poison::key::RunKey;

/// The least limit that is kept to, in requests a second: a target that names less is asked now and then,
/// as only its answers can end the limit.
const RATE_LEAST: f64 = 0.1;
/// The longest rest that a target gets for one answer.
const REST_MOST: Duration = Duration::from_secs(60);

/// Requests a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Makes a rate, no lower than the least that is kept to; `None` if it is negative or no number.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then(|| Self(per_s.max(RATE_LEAST)))
    }

    /// Returns the requests a second.
    pub fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} a second", self.0)
    }
}

/// One field of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Said<T> {
    /// The field is absent.
    #[default]
    Nothing,
    /// The field has this value.
    Value(T),
    /// The field can't be read and counts for nothing.
    Malformed,
}

/// A kind of backpressure signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// A rate limit over all daemons.
    Limit,
    /// The target drains.
    Leaving,
    /// A retry delay for this daemon.
    Rest,
}

impl Signal {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Limit => "limit",
            Signal::Leaving => "leaving",
            Signal::Rest => "rest",
        }
    }
}

/// The signals in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The requests a second that it takes from all daemons together.
    pub limit: Said<Rate>,
    /// The target drains.
    pub leaving: Said<()>,
    /// How long this daemon is to send nothing.
    pub rest: Said<Duration>,
}

impl Signals {
    /// Returns the fields that can't be read.
    pub fn malformed(&self) -> impl Iterator<Item = Signal> {
        let limit = matches!(self.limit, Said::Malformed).then_some(Signal::Limit);
        let leaving = matches!(self.leaving, Said::Malformed).then_some(Signal::Leaving);
        let rest = matches!(self.rest, Said::Malformed).then_some(Signal::Rest);
        [limit, leaving, rest].into_iter().flatten()
    }
}

/// Whether a target ran the request that it answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran it.
    Ran,
    /// It did not.
    NotRun,
}

/// A request that asks whether it may go to a target that names a limit.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest {
    /// Names it in [`PendingPermits`](pending::PendingPermits), where the answer comes.
    pub number: u32,
    /// The run of the target.
    pub run: RunKey,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// How much longer it can wait.
    pub left: Duration,
}

/// Asks whether requests may go to targets that name limits, over all daemons.
pub trait Permits: Send + Sync {
    /// Asks for a request, again or for the first time.
    fn ask(&self, request: PermitRequest);

    /// Says that a request that has asked does not wait any more.
    fn end(&self, number: u32, run: RunKey);
}

/// When a request was sent and the head of its answer came: the target wrote it in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Before the first byte of the request was sent.
    pub sent: Time,
    /// After the head of the answer had come.
    pub received: Time,
}

/// One answer, wherever it is known. What other daemons tell of it seems later than it was by what that
/// takes on its way, so that it is told from a later answer by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Names it.
    pub id: u64,
    /// When the target wrote it, by this daemon's clock.
    pub at: Interval,
}

impl From<Interval> for Answer {
    fn from(at: Interval) -> Self {
        let times = [at.sent, at.received].map(|time| time.as_micros().to_le_bytes());
        Self { id: xxh3::xxh3_64(times.as_flattened()), at }
    }
}
