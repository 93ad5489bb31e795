//! What targets say of themselves in their answers: that they leave, take only so much, or want rest.
//!
//! Decided without threads or sockets. `serve` hears and obeys, `conduct` carries words between daemons.

pub mod word;
pub mod words;

use std::{fmt, time::Duration};

use tansyknot_core::clock::Time;

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

/// What an answer says in one of its fields.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Said<T> {
    /// The field is absent.
    #[default]
    Nothing,
    /// The field has this value.
    Value(T),
    /// The field can't be read, and says nothing.
    Malformed,
}

/// A field of an answer in which a target speaks of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Signal {
    /// How much it takes.
    Limit,
    /// That it leaves.
    Leaving,
    /// How long it wants nothing.
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

/// What the head of an answer says of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// The requests a second that it takes from all daemons together.
    pub limit: Said<Rate>,
    /// That it leaves.
    pub leaving: Said<()>,
    /// How long it wants nothing from this daemon.
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

/// When a request was sent and the head of its answer came: the target wrote it in between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Before the first byte of the request was sent.
    pub sent: Time,
    /// After the head of the answer had come.
    pub received: Time,
}
