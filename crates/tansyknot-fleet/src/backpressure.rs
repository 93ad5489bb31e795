//! Backpressure signals of targets: rate limits, connection draining, retry delays and brittleness,
//! as their responses carry them.
//!
//! Has no threads or sockets. `serve` records and obeys the signals, and `peering` shares them
//! between daemons.

mod brittle;
pub mod message;
pub mod pending;
pub mod registry;
pub mod run_state;
pub mod scheduler;

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::clock::Time;
use xxhash_rust::xxh3;

use crate::poison::key::RunKey;
pub(crate) use brittle::BRITTLE_TTL;

/// The lowest rate limit that is obeyed, in requests a second: a target that names a lower one
/// still gets a request now and then, because only its responses can end the limit.
const MIN_RATE: f64 = 0.1;
/// The longest retry delay that one response can set.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// A rate in requests a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate, raised to the lowest one that is obeyed; `None` if `per_s` is negative or
    /// not finite.
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then(|| Self(per_s.max(MIN_RATE)))
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

/// One signal field of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum SignalField<T> {
    /// The field is absent.
    #[default]
    Absent,
    /// The field has this value.
    Value(T),
    /// The field can't be parsed and is ignored.
    Malformed,
}

/// A kind of backpressure signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// A rate limit over all daemons.
    Limit,
    /// The target is draining.
    Leaving,
    /// A retry delay for this daemon.
    RetryDelay,
    /// The target crashes if it has to refuse too many requests.
    Brittle,
}

impl Signal {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Limit => "limit",
            Signal::Leaving => "leaving",
            Signal::RetryDelay => "rest",
            Signal::Brittle => "brittle",
        }
    }
}

/// The signals in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The requests a second that the target accepts from all daemons together.
    pub limit: SignalField<Rate>,
    /// The target is draining.
    pub leaving: SignalField<()>,
    /// How long this daemon is to send no requests to the target.
    pub retry_delay: SignalField<Duration>,
    /// The target crashes if it has to refuse more than this many requests within a second.
    pub brittle: SignalField<u32>,
}

impl Signals {
    /// Returns the signals whose fields can't be parsed.
    pub fn malformed(&self) -> impl Iterator<Item = Signal> {
        let limit = matches!(self.limit, SignalField::Malformed).then_some(Signal::Limit);
        let leaving = matches!(self.leaving, SignalField::Malformed).then_some(Signal::Leaving);
        let rest = matches!(self.retry_delay, SignalField::Malformed).then_some(Signal::RetryDelay);
        let brittle = matches!(self.brittle, SignalField::Malformed).then_some(Signal::Brittle);
        [limit, leaving, rest, brittle].into_iter().flatten()
    }
}

/// Whether a target ran the request that it responded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target ran the request.
    Ran,
    /// The target refused the request, for lack of room, and did not run it.
    Refused,
    /// The target did not run the request for another reason.
    NotRun,
}

/// A request for a permit to send one request to a target that names a limit.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequest {
    /// Identifies the request in [`PendingPermits`](pending::PendingPermits), which receives the
    /// reply.
    pub number: u32,
    /// The run of the target.
    pub run: RunKey,
    /// The priority of the request; 0 goes first.
    pub priority: u8,
    /// How much longer the request can wait.
    pub time_left: Duration,
}

/// Obtains permits for targets that name limits, over all daemons.
pub trait Permits: Send + Sync {
    /// Sends a permit request, for the first time or again.
    fn request(&self, request: PermitRequest);

    /// Cancels a permit request, because its request no longer waits.
    fn cancel(&self, number: u32, run: RunKey);
}

/// When a request was sent and the head of its response was received: the target wrote the head in
/// between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Before the first byte of the request was sent.
    pub sent: Time,
    /// After the head of the response was received.
    pub received: Time,
}

/// One response, identified across daemons. A daemon that receives it from another one estimates
/// its times from its age, too late by the time in transit. `id` therefore shows whether two
/// records are of the same response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseId {
    /// Identifies the response.
    pub id: u64,
    /// The interval in which the target wrote the response, by this daemon's clock.
    pub at: Interval,
}

impl From<Interval> for ResponseId {
    fn from(at: Interval) -> Self {
        let times = [at.sent, at.received].map(|time| time.as_micros().to_le_bytes());
        Self { id: xxh3::xxh3_64(times.as_flattened()), at }
    }
}
