//! A running mean of durations and of their deviation from it.

use std::time::Duration;

/// The weight of the newest duration in the mean, as TCP uses it for round-trip times (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
/// The weight of the newest deviation in the mean deviation (RFC 6298).
const DEVIATION_WEIGHT: f64 = 0.25;
/// The number of mean deviations above the mean that few durations exceed (RFC 6298).
const BOUND_DEVIATIONS: f64 = 4.0;

/// Statistics of recent durations of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    statistics: Option<Statistics>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Statistics {
    mean_s: f64,
    deviation_s: f64,
}

impl Estimate {
    /// Records an observed duration.
    pub fn observe(&mut self, duration: Duration) {
        let duration_s = duration.as_secs_f64();
        let Some(statistics) = &mut self.statistics else {
            self.statistics =
                Some(Statistics { mean_s: duration_s, deviation_s: duration_s / 2.0 });
            return;
        };
        let deviation = (duration_s - statistics.mean_s).abs();
        statistics.deviation_s += DEVIATION_WEIGHT * (deviation - statistics.deviation_s);
        statistics.mean_s += MEAN_WEIGHT * (duration_s - statistics.mean_s);
    }

    /// Returns the mean; `None` if no duration was observed.
    pub fn mean(&self) -> Option<Duration> {
        self.statistics.map(|s| Duration::from_secs_f64(s.mean_s))
    }

    /// Returns a bound that few durations exceed; `None` if no duration was observed.
    pub fn upper_bound(&self) -> Option<Duration> {
        self.statistics
            .map(|s| Duration::from_secs_f64(s.mean_s + BOUND_DEVIATIONS * s.deviation_s))
    }
}
