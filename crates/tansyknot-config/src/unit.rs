//! Durations and sizes as people write them: `250ms`, `30s`, `10m`, `16GB`, `512MiB`.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a quantity was not understood.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnitError {
    /// The number is missing or malformed.
    #[error("{0:?} does not start with a whole number")]
    Number(String),
    /// The unit is missing or unknown.
    #[error("{text:?} has no known unit; use one of {known}")]
    Unit {
        /// What was written.
        text: String,
        /// The units that are known.
        known: &'static str,
    },
    /// The quantity does not fit.
    #[error("{0:?} is too large")]
    Range(String),
}

const SPAN_UNITS: &[(&str, u64)] =
    &[("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000)];
const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("kB", 1000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// A span of time, kept in whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Span(u64);

impl Span {
    /// Makes a span of milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Makes a span of seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(s * 1000)
    }

    /// Returns the span as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl TryFrom<String> for Span {
    type Error = UnitError;

    fn try_from(text: String) -> Result<Self, UnitError> {
        quantity(&text, SPAN_UNITS, "ms, s, m, h, d").map(Self)
    }
}

impl From<Span> for String {
    fn from(span: Span) -> String {
        span.to_string()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_quantity(f, self.0, SPAN_UNITS)
    }
}

/// A size in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Bytes(u64);

impl Bytes {
    /// Makes a size of `n` bytes.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// Returns the number of bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl TryFrom<String> for Bytes {
    type Error = UnitError;

    fn try_from(text: String) -> Result<Self, UnitError> {
        quantity(&text, SIZE_UNITS, "B, kB, MB, GB, KiB, MiB, GiB").map(Self)
    }
}

impl From<Bytes> for String {
    fn from(size: Bytes) -> String {
        size.to_string()
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_quantity(f, self.0, SIZE_UNITS)
    }
}

fn quantity(text: &str, units: &[(&str, u64)], known: &'static str) -> Result<u64, UnitError> {
    let text = text.trim();
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| UnitError::Number(text.to_owned()))?;
    let unit = unit.trim();
    let scale = units.iter().find(|(name, _)| *name == unit);
    let (_, scale) = scale.ok_or_else(|| UnitError::Unit { text: text.to_owned(), known })?;
    number.checked_mul(*scale).ok_or_else(|| UnitError::Range(text.to_owned()))
}

/// Writes with the largest unit that divides the number.
fn write_quantity(f: &mut fmt::Formatter<'_>, n: u64, units: &[(&str, u64)]) -> fmt::Result {
    let fits = units.iter().filter(|(_, scale)| n > 0 && n.is_multiple_of(*scale));
    let (unit, scale) = fits.max_by_key(|(_, scale)| *scale).unwrap_or(&units[0]);
    write!(f, "{}{unit}", n / scale)
}

/// A span that is longer than nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Period(Span);

impl Period {
    /// Makes a period of milliseconds; at least one.
    pub fn from_millis(ms: u64) -> Self {
        Self(Span::from_millis(ms.max(1)))
    }

    /// Returns the period as a [`Duration`].
    pub const fn duration(self) -> Duration {
        self.0.duration()
    }
}

impl TryFrom<String> for Period {
    type Error = PeriodError;

    fn try_from(text: String) -> Result<Self, PeriodError> {
        let span = Span::try_from(text)?;
        if span.duration().is_zero() { Err(PeriodError::Zero) } else { Ok(Self(span)) }
    }
}

impl From<Period> for String {
    fn from(period: Period) -> Self {
        period.0.into()
    }
}

/// Why a text is no period.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeriodError {
    /// It is no span.
    #[error(transparent)]
    Unit(#[from] UnitError),
    /// It is no time at all.
    #[error("it must be longer than 0")]
    Zero,
}

/// A number from 0 up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Amount(f64);

impl Amount {
    /// Makes an amount of thousandths.
    pub fn from_permille(n: u32) -> Self {
        Self(f64::from(n) / 1000.0)
    }

    /// Returns the number.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// A number is negative, or none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("it must be a number from 0 up")]
pub struct AmountError;

impl TryFrom<f64> for Amount {
    type Error = AmountError;

    fn try_from(n: f64) -> Result<Self, AmountError> {
        if n.is_finite() && n >= 0.0 { Ok(Self(n)) } else { Err(AmountError) }
    }
}

impl From<Amount> for f64 {
    fn from(amount: Amount) -> Self {
        amount.0
    }
}
