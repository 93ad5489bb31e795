//! The outputs of logs, tracing spans and metrics.

use std::{
    borrow::Cow,
    io::Write,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};
use fastrace::collector::{Config, Reporter, SpanRecord};
use logforth::{append, diagnostic, layout};
use serde::Serialize;
use tansyknot_config::settings::{LogFormat, Telemetry};
use tansyknot_core::{
    name::ServiceName,
    telemetry::{NoRecorder, Recorder},
};

use crate::logs;

/// The prefix of every metric.
const PREFIX: &str = "tansyknot";
/// Maximum number of metrics queued for the socket; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 64 << 10;

/// Starts logging and tracing for this process.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn start(telemetry: &Telemetry) -> Result<(), logforth::Error> {
    let stderr = match telemetry.log_format {
        LogFormat::Json => append::Stderr::default().with_layout(layout::JsonLayout::default()),
        LogFormat::Text => append::Stderr::default().with_layout(layout::TextLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|d| d.diagnostic(diagnostic::FastraceDiagnostic::default()).append(stderr))
        .try_apply()?;
    log::set_max_level(logs::level(telemetry.log_level));
    if telemetry.spans {
        fastrace::set_reporter(JsonSpanReporter, Config::default());
    }
    Ok(())
}

/// Writes each span as a JSON line on standard output.
struct JsonSpanReporter;

#[derive(Serialize)]
struct SpanLine<'a> {
    trace: String,
    span: String,
    parent: String,
    name: &'a str,
    begin_unix_ns: u64,
    duration_ns: u64,
    properties: &'a [(Cow<'static, str>, Cow<'static, str>)],
}

impl Reporter for JsonSpanReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        let mut out = std::io::stdout().lock();
        for span in spans {
            let line = SpanLine {
                trace: format!("{:032x}", span.trace_id.0),
                span: format!("{:016x}", span.span_id.0),
                parent: format!("{:016x}", span.parent_id.0),
                name: &span.name,
                begin_unix_ns: span.begin_time_unix_ns,
                duration_ns: span.duration_ns,
                properties: &span.properties,
            };
            // Spans are best effort: a closed standard output must not fail requests.
            let _ = serde_json::to_writer(&mut out, &line);
            let _ = out.write_all(b"\n");
        }
    }
}

/// Sends metrics to a StatsD collector.
pub struct StatsdRecorder {
    client: StatsdClient,
}

impl StatsdRecorder {
    /// Creates a recorder that sends to `collector` by UDP.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be opened.
    pub fn new(collector: SocketAddr) -> cadence::MetricResult<Self> {
        let bind_address: SocketAddr =
            if collector.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        let socket = UdpSocket::bind(bind_address)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(collector, socket)?;
        let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
        Ok(Self { client: StatsdClient::from_sink(PREFIX, queue) })
    }
}

impl Recorder for StatsdRecorder {
    fn count(&self, name: &'static str, service: &ServiceName, n: u64) {
        let n = i64::try_from(n).unwrap_or(i64::MAX);
        self.client.count_with_tags(name, n).with_tag("service", service.as_str()).send();
    }

    fn time(&self, name: &'static str, service: &ServiceName, duration: Duration) {
        self.client.time_with_tags(name, duration).with_tag("service", service.as_str()).send();
    }

    fn gauge(&self, name: &'static str, service: &ServiceName, value: f64) {
        self.client.gauge_with_tags(name, value).with_tag("service", service.as_str()).send();
    }
}

/// Creates the recorder that the settings select.
///
/// # Errors
///
/// Fails if the socket can't be opened.
pub fn recorder(telemetry: &Telemetry) -> cadence::MetricResult<Box<dyn Recorder>> {
    match telemetry.statsd {
        Some(collector) => Ok(Box::new(StatsdRecorder::new(collector)?)),
        None => Ok(Box::new(NoRecorder)),
    }
}
