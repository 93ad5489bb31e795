//! The interface to the metrics library, which the daemon implements.

use std::time::Duration;

use crate::name::ServiceName;

/// Records metrics, each with a service as its label.
pub trait Recorder: Send + Sync {
    /// Adds to a counter.
    fn count(&self, name: &'static str, service: &ServiceName, n: u64);

    /// Adds a sample to a histogram of durations.
    fn time(&self, name: &'static str, service: &ServiceName, duration: Duration);

    /// Sets a gauge.
    fn gauge(&self, name: &'static str, service: &ServiceName, value: f64);
}

/// A recorder that discards all metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoRecorder;

impl Recorder for NoRecorder {
    fn count(&self, _: &'static str, _: &ServiceName, _: u64) {}

    fn time(&self, _: &'static str, _: &ServiceName, _: Duration) {}

    fn gauge(&self, _: &'static str, _: &ServiceName, _: f64) {}
}
