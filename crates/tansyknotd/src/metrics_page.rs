//! Counters, gauges and histograms as a text page that a metrics collector scrapes.

use std::{collections::BTreeMap, fmt::Write as _, sync::Mutex, time::Duration};

use hdrhistogram::Histogram;
use tansyknot_core::{name::ServiceName, telemetry::Recorder};

/// Quantiles that the page shows of each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

type SeriesKey = (&'static str, ServiceName);

#[derive(Default)]
struct Metrics {
    counts: BTreeMap<SeriesKey, u64>,
    gauges: BTreeMap<SeriesKey, f64>,
    /// In microseconds.
    histograms: BTreeMap<SeriesKey, Histogram<u64>>,
}

/// Records metrics and renders them as a text page.
#[derive(Default)]
pub struct PageRecorder {
    metrics: Mutex<Metrics>,
}

impl PageRecorder {
    /// Renders the page in the Prometheus text format.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked while it held the lock of the metrics.
    pub fn page(&self) -> String {
        let metrics = self.metrics.lock().expect("no holder of the lock panics");
        let mut page = String::new();
        // Writing to a `String` can't fail.
        for ((name, service), n) in &metrics.counts {
            let _ = writeln!(page, "tansyknot_{name}_total{{of=\"{service}\"}} {n}");
        }
        for ((name, service), value) in &metrics.gauges {
            let _ = writeln!(page, "tansyknot_{name}{{of=\"{service}\"}} {value}");
        }
        for ((name, service), histogram) in &metrics.histograms {
            for q in QUANTILES {
                let seconds = histogram.value_at_quantile(q) as f64 / 1e6;
                let _ = writeln!(
                    page,
                    "tansyknot_{name}_seconds{{of=\"{service}\",quantile=\"{q}\"}} {seconds}"
                );
            }
            let _ = writeln!(
                page,
                "tansyknot_{name}_seconds_count{{of=\"{service}\"}} {}",
                histogram.len()
            );
        }
        page
    }
}

impl Recorder for PageRecorder {
    fn count(&self, name: &'static str, service: &ServiceName, n: u64) {
        let mut metrics = self.metrics.lock().expect("no holder of the lock panics");
        *metrics.counts.entry((name, service.clone())).or_default() += n;
    }

    fn time(&self, name: &'static str, service: &ServiceName, duration: Duration) {
        let us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let mut metrics = self.metrics.lock().expect("no holder of the lock panics");
        let histogram = metrics.histograms.entry((name, service.clone())).or_insert_with(|| {
            Histogram::new(SIGNIFICANT_DIGITS)
                .expect("two significant digits are valid for a histogram")
        });
        histogram.saturating_record(us);
    }

    fn gauge(&self, name: &'static str, service: &ServiceName, value: f64) {
        let mut metrics = self.metrics.lock().expect("no holder of the lock panics");
        metrics.gauges.insert((name, service.clone()), value);
    }
}
