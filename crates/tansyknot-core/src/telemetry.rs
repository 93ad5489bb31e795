//! Where figures go: a trait that the daemon implements with its metrics library.

use std::time::Duration;

use crate::name::ServiceName;

/// Takes in figures, each of one service.
pub trait Recorder: Send + Sync {
    /// Adds to a counter.
    fn count(&self, name: &'static str, service: &ServiceName, n: u64);

    /// Adds a sample to a histogram of durations.
    fn time(&self, name: &'static str, service: &ServiceName, span: Duration);

    /// Sets a gauge.
    fn gauge(&self, name: &'static str, service: &ServiceName, value: f64);
}

/// Drops every figure.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoRecorder;

impl Recorder for NoRecorder {
    fn count(&self, _: &'static str, _: &ServiceName, _: u64) {}

    fn time(&self, _: &'static str, _: &ServiceName, _: Duration) {}

    fn gauge(&self, _: &'static str, _: &ServiceName, _: f64) {}
}
