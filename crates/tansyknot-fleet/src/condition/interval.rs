//! Measurement of the time between the events of a response.

use std::{iter, time::Duration};

/// The minimum number of intervals whose median is an observation: a stream of four events.
pub const MIN_INTERVALS: usize = 3;
/// The interval at which a running stream is observed. A target that turns slow ends its streams
/// late, and must show before they end.
const STREAM_OBSERVATION_INTERVAL: Duration = Duration::from_millis(700);
/// The most intervals that are retained for one median.
const MAX_INTERVALS: usize = 256;

/// Measures the time between the events of one response. Pauses by the prompts of other requests do
/// not change the median.
#[derive(Clone, Debug, Default)]
pub struct IntervalMeter {
    intervals: Vec<Duration>,
    elapsed: Duration,
}

impl IntervalMeter {
    /// Records `events` that arrived together, `gap` after those before. Returns the median interval
    /// since the last observation if another one is due.
    pub fn record(&mut self, gap: Duration, events: u64) -> Option<Duration> {
        self.elapsed += gap;
        let count = usize::try_from(events).unwrap_or(usize::MAX);
        let interval = gap.div_f64(events.max(1) as f64);
        let room = MAX_INTERVALS.saturating_sub(self.intervals.len());
        self.intervals.extend(iter::repeat_n(interval, count.min(room)));
        (self.elapsed >= STREAM_OBSERVATION_INTERVAL).then(|| self.take_median()).flatten()
    }

    /// Returns the median interval since the last observation, and begins another one; `None` if
    /// there are too few intervals.
    pub fn take_median(&mut self) -> Option<Duration> {
        if self.intervals.len() < MIN_INTERVALS {
            return None;
        }
        let middle = self.intervals.len() / 2;
        let median = *self.intervals.select_nth_unstable(middle).1;
        self.intervals.clear();
        self.elapsed = Duration::ZERO;
        Some(median)
    }
}
