//! The results of one replay run.

use serde::Serialize;

/// The results of one run, written as one JSON line.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Report {
    pub(crate) policy: String,
    pub(crate) requests: u64,
    pub(crate) served: u64,
    pub(crate) refused: u64,
    pub(crate) late: u64,
    pub(crate) unaccounted: u64,
    pub(crate) first_token_p50_ms: f64,
    pub(crate) first_token_p99_ms: f64,
    pub(crate) cold_first_token_p99_ms: f64,
    pub(crate) cold_starts: u64,
    pub(crate) idle_accelerator_hours: f64,
    pub(crate) busy_accelerator_hours: f64,
    pub(crate) replica_limit_violations: u64,
    pub(crate) memory_violations: u64,
    /// Loads that no waiting request caused; not counted in `cold_starts`.
    pub(crate) prewarms: u64,
    /// The p99 over requests that arrived at least a minute after the last use of their service.
    pub(crate) first_request_p99_ms: f64,
}

/// Returns a quantile of samples, zero if there are none.
pub(crate) fn quantile(samples: &mut [f64], q: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    samples.sort_by(f64::total_cmp);
    let at = ((samples.len() as f64 * q).ceil() as usize).clamp(1, samples.len()) - 1;
    samples[at]
}
