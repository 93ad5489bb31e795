//! Counters and histograms as a text page that a collector fetches.

use std::{collections::BTreeMap, fmt::Write as _, sync::Mutex, time::Duration};

use hdrhistogram::Histogram;
use tansyknot_core::{name::ServiceName, telemetry::Recorder};

/// Quantiles of each histogram on the page.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// Significant digits of the histograms.
const DIGITS: u8 = 2;

type Series = (&'static str, ServiceName);

#[derive(Default)]
struct Figures {
    counts: BTreeMap<Series, u64>,
    gauges: BTreeMap<Series, f64>,
    /// Microseconds.
    times: BTreeMap<Series, Histogram<u64>>,
}

/// Keeps figures for the page.
#[derive(Default)]
pub struct PageRecorder {
    figures: Mutex<Figures>,
}

impl PageRecorder {
    /// Writes the page in the usual text format of metrics.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with the figures.
    pub fn page(&self) -> String {
        let figures = self.figures.lock().expect("no holder of the lock panics");
        let mut page = String::new();
        // Writing to a string does not fail.
        for ((name, of), n) in &figures.counts {
            let _ = writeln!(page, "tansyknot_{name}_total{{of=\"{of}\"}} {n}");
        }
        for ((name, of), value) in &figures.gauges {
            let _ = writeln!(page, "tansyknot_{name}{{of=\"{of}\"}} {value}");
        }
        for ((name, of), times) in &figures.times {
            for q in QUANTILES {
                let seconds = times.value_at_quantile(q) as f64 / 1e6;
                let _ = writeln!(
                    page,
                    "tansyknot_{name}_seconds{{of=\"{of}\",quantile=\"{q}\"}} {seconds}"
                );
            }
            let _ = writeln!(page, "tansyknot_{name}_seconds_count{{of=\"{of}\"}} {}", times.len());
        }
        page
    }
}

impl Recorder for PageRecorder {
    fn count(&self, name: &'static str, service: &ServiceName, n: u64) {
        let mut figures = self.figures.lock().expect("no holder of the lock panics");
        *figures.counts.entry((name, service.clone())).or_default() += n;
    }

    fn time(&self, name: &'static str, service: &ServiceName, span: Duration) {
        let us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let mut figures = self.figures.lock().expect("no holder of the lock panics");
        let times = figures.times.entry((name, service.clone())).or_insert_with(|| {
            Histogram::new(DIGITS).expect("two digits are within the library's bounds")
        });
        times.saturating_record(us);
    }

    fn gauge(&self, name: &'static str, service: &ServiceName, value: f64) {
        let mut figures = self.figures.lock().expect("no holder of the lock panics");
        figures.gauges.insert((name, service.clone()), value);
    }
}
