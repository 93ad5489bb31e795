//! A running mean of spans and of how far they lie from it.

use std::time::Duration;

/// The share of the newest span in the mean, as TCP takes it for round trips (RFC 6298).
const MEAN_SHARE: f64 = 0.125;
/// The share of the newest distance in the mean distance (RFC 6298).
const DEVIATION_SHARE: f64 = 0.25;
/// Mean distances beyond the mean that hardly any span exceeds (RFC 6298).
const DEVIATIONS: f64 = 4.0;

/// What spans of one kind have been like lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    known: Option<Known>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    mean_s: f64,
    deviation_s: f64,
}

impl Estimate {
    /// Takes in a span that was seen.
    pub fn observe(&mut self, span: Duration) {
        let span_s = span.as_secs_f64();
        let Some(known) = &mut self.known else {
            self.known = Some(Known { mean_s: span_s, deviation_s: span_s / 2.0 });
            return;
        };
        let distance = (span_s - known.mean_s).abs();
        known.deviation_s += DEVIATION_SHARE * (distance - known.deviation_s);
        known.mean_s += MEAN_SHARE * (span_s - known.mean_s);
    }

    /// Returns the mean; `None` if no span was seen.
    pub fn mean(&self) -> Option<Duration> {
        self.known.map(|k| Duration::from_secs_f64(k.mean_s))
    }

    /// Returns what hardly any span exceeds; `None` if no span was seen.
    pub fn most(&self) -> Option<Duration> {
        self.known.map(|k| Duration::from_secs_f64(k.mean_s + DEVIATIONS * k.deviation_s))
    }
}
