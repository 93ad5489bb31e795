//! Clocks: the operating system's, and a manual one that tests advance.

use std::{
    ops::{Add, Sub},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use rustix::time::{self, ClockId};

/// A point on a monotonic clock, in microseconds since the clock's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// Creates a time from microseconds since the clock's start.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates a time from milliseconds since the clock's start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Returns the microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration from `earlier` to this point, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Time {
    /// Returns the point `duration` before this one, but no earlier than the clock's start.
    #[must_use]
    pub fn saturating_sub(self, duration: Duration) -> Time {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(us))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(us))
    }
}

/// A point on the system's boot clock, which keeps counting while the host is suspended.
///
/// It replaces the standard library's `Instant`, which stops during a suspension: a lease, a view or
/// a deadline from before the suspension would stay valid too long after the host resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current time of the boot clock.
    pub fn now() -> Self {
        let now = time::clock_gettime(ClockId::Boottime);
        // The boot clock starts at zero, so neither part is negative.
        let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }

    /// Returns the duration since this moment.
    pub fn elapsed(self) -> Duration {
        Self::now().duration_since(self)
    }

    /// Returns the duration from `earlier` to this moment, or zero if `earlier` is later.
    pub fn duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment `duration` before this one, or `None` if the host started after it.
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        self.0.checked_sub(duration).map(Self)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

impl Sub<BootInstant> for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.duration_since(earlier)
    }
}

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Time;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    ///
    /// It is shown to operators, numbers the starts of a daemon in the membership and determines
    /// the day in the row key of an idempotency key. Only that day is compared between hosts.
    fn wall_ms(&self) -> u64;

    /// Blocks the current thread for `duration`.
    fn sleep(&self, duration: Duration);
}

/// The clock of the operating system, which also counts the time that the host is suspended.
#[derive(Debug)]
pub struct SystemClock {
    start: BootInstant,
}

impl SystemClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self { start: BootInstant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Time {
        Time(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    fn sleep(&self, duration: Duration) {
        std::thread::sleep(duration);
    }
}

/// A clock that changes only when a test advances it.
#[derive(Debug, Default, Clone)]
pub struct ManualClock {
    us: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a clock at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Advances the clock by `duration`.
    pub fn advance(&self, duration: Duration) {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.us.fetch_add(us, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        Time(self.us.load(Ordering::SeqCst))
    }

    fn wall_ms(&self) -> u64 {
        self.us.load(Ordering::SeqCst) / 1000
    }

    fn sleep(&self, duration: Duration) {
        self.advance(duration);
    }
}
