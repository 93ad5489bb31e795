//! Durations and sizes written with a unit: `250ms`, `30s`, `10m`, `16GB`, `512MiB`.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An error in the text of a quantity.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnitError {
    /// The number is missing or malformed.
    #[error("{0:?} does not start with a whole number")]
    Number(String),
    /// The unit is missing or unknown.
    #[error("{text:?} has no known unit; use one of {supported}")]
    Unit {
        /// The text of the quantity.
        text: String,
        /// The supported units.
        supported: &'static str,
    },
    /// The quantity is too large for its type.
    #[error("{0:?} is too large")]
    Range(String),
}

/// Units of durations, in milliseconds.
const DURATION_UNITS: &[(&str, u64)] =
    &[("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000)];
/// Units of sizes, in bytes.
const SIZE_UNITS: &[(&str, u64)] = &[
    ("B", 1),
    ("kB", 1000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// A duration in whole milliseconds, written with a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct DurationSetting(u64);

impl DurationSetting {
    /// Creates a duration of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms)
    }

    /// Creates a duration of `s` seconds.
    pub const fn from_secs(s: u64) -> Self {
        Self(s * 1000)
    }

    /// Returns the value as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl TryFrom<String> for DurationSetting {
    type Error = UnitError;

    fn try_from(text: String) -> Result<Self, UnitError> {
        parse_quantity(&text, DURATION_UNITS, "ms, s, m, h, d").map(Self)
    }
}

impl From<DurationSetting> for String {
    fn from(duration: DurationSetting) -> String {
        duration.to_string()
    }
}

impl fmt::Display for DurationSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_quantity(f, self.0, DURATION_UNITS)
    }
}

/// A size in bytes, written with a unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Bytes(u64);

impl Bytes {
    /// Creates a size of `n` bytes.
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
        parse_quantity(&text, SIZE_UNITS, "B, kB, MB, GB, KiB, MiB, GiB").map(Self)
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

fn parse_quantity(
    text: &str,
    units: &[(&str, u64)],
    supported: &'static str,
) -> Result<u64, UnitError> {
    let text = text.trim();
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| UnitError::Number(text.to_owned()))?;
    let unit = unit.trim();
    let scale = units.iter().find(|(name, _)| *name == unit);
    let (_, scale) = scale.ok_or_else(|| UnitError::Unit { text: text.to_owned(), supported })?;
    number.checked_mul(*scale).ok_or_else(|| UnitError::Range(text.to_owned()))
}

/// Writes `n` in the largest unit that divides it.
fn write_quantity(f: &mut fmt::Formatter<'_>, n: u64, units: &[(&str, u64)]) -> fmt::Result {
    let exact = units.iter().filter(|(_, scale)| n > 0 && n.is_multiple_of(*scale));
    let (unit, scale) = exact.max_by_key(|(_, scale)| *scale).unwrap_or(&units[0]);
    write!(f, "{}{unit}", n / scale)
}

/// A duration that is greater than zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PositiveDuration(DurationSetting);

impl PositiveDuration {
    /// Creates a duration of `ms` milliseconds, at least 1 ms.
    pub fn from_millis(ms: u64) -> Self {
        Self(DurationSetting::from_millis(ms.max(1)))
    }

    /// Returns the value as a [`Duration`].
    pub const fn duration(self) -> Duration {
        self.0.duration()
    }
}

impl TryFrom<String> for PositiveDuration {
    type Error = PositiveDurationError;

    fn try_from(text: String) -> Result<Self, PositiveDurationError> {
        let duration = DurationSetting::try_from(text)?;
        if duration.duration().is_zero() {
            Err(PositiveDurationError::Zero)
        } else {
            Ok(Self(duration))
        }
    }
}

impl From<PositiveDuration> for String {
    fn from(period: PositiveDuration) -> Self {
        period.0.into()
    }
}

/// An error in the text of a [`PositiveDuration`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PositiveDurationError {
    /// The text is not a duration.
    #[error(transparent)]
    Unit(#[from] UnitError),
    /// The duration is zero.
    #[error("must be greater than zero")]
    Zero,
}

/// A finite number that is not negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct NonNegative(f64);

impl NonNegative {
    /// Creates a value of `n` thousandths.
    pub fn from_permille(n: u32) -> Self {
        Self(f64::from(n) / 1000.0)
    }

    /// Returns the number.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// The error of a number that is negative or not finite.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("must be a finite number that is not negative")]
pub struct NonNegativeError;

impl TryFrom<f64> for NonNegative {
    type Error = NonNegativeError;

    fn try_from(n: f64) -> Result<Self, NonNegativeError> {
        if n.is_finite() && n >= 0.0 { Ok(Self(n)) } else { Err(NonNegativeError) }
    }
}

impl From<NonNegative> for f64 {
    fn from(number: NonNegative) -> Self {
        number.0
    }
}
