//! Log lines on standard output, bounded and never blocking.
//!
//! Lines are formatted by the thread that logs and written by one thread in batches. Lines
//! beyond the rate, or beyond what the buffer holds, are counted and left out; lines of failures
//! have half of the rate to themselves.

use std::{
    fmt,
    io::Write,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

use logforth::{
    Append, Diagnostic, Error, Layout, diagnostic::StaticDiagnostic, layout::JsonLayout, record,
};
use tansyknot_config::{fleet::FleetTelemetry, settings::LogLevel};
use tansyknot_core::{clock::BootInstant, event, name::DaemonName};

/// Bytes that wait to be written; some seconds' worth at the highest rate.
const BUFFER_MAX: usize = 256 << 10;
/// Bytes that a pipe takes in one piece (POSIX's `PIPE_BUF` on Linux).
const PIPE_PART: usize = 4096;
/// Lines are collected this long before they are written together.
const BATCH: Duration = Duration::from_millis(200);
/// The share of the rate that lines of lesser levels may use.
const LESSER_SHARE: f64 = 0.5;

/// Starts the logs of a daemon that serves a fleet: bounded lines on standard output.
///
/// # Errors
///
/// Fails if a logger has been set before.
pub fn start(telemetry: &FleetTelemetry, daemon: &DaemonName) -> Result<(), logforth::Error> {
    let stdout = BoundedStdout::start(telemetry.log_lines_per_s);
    // Lines of all daemons are collected in one place: each says whose it is.
    let mut of_daemon = StaticDiagnostic::default();
    of_daemon.insert("daemon", daemon.as_str());
    logforth::starter_log::builder()
        .dispatch(|d| d.diagnostic(of_daemon).append(stdout))
        .try_apply()?;
    log::set_max_level(level(telemetry.log_level));
    Ok(())
}

/// Returns the filter of the logging library for a level of the settings.
pub fn level(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

/// Lines that wait to be written, and how many were left out.
#[derive(Debug)]
pub struct LineBuffer {
    lines_per_s: u32,
    bytes: Vec<u8>,
    left_out: u64,
    second: BootInstant,
    lines: u32,
}

/// Whether a line tells of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It does.
    Failure,
    /// It does not.
    Lesser,
}

impl LineBuffer {
    /// Makes a buffer that takes `lines_per_s` lines a second.
    pub fn new(lines_per_s: u32, now: BootInstant) -> Self {
        Self { lines_per_s, bytes: Vec::new(), left_out: 0, second: now, lines: 0 }
    }

    /// Counts a line; tells whether it may be added.
    pub fn admit(&mut self, kind: Kind, now: BootInstant) -> bool {
        if now.duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.lines = 0;
        }
        let share = match kind {
            Kind::Failure => 1.0,
            Kind::Lesser => LESSER_SHARE,
        };
        let most = f64::from(self.lines_per_s) * share;
        let is_admitted = f64::from(self.lines) < most && self.bytes.len() < BUFFER_MAX;
        if is_admitted {
            self.lines += 1;
        } else {
            self.left_out += 1;
        }
        is_admitted
    }

    /// Adds a line that was admitted.
    pub fn add(&mut self, line: &[u8]) {
        self.bytes.extend_from_slice(line);
        self.bytes.push(b'\n');
    }

    /// Takes what is to be written, and how many lines were left out before it.
    pub fn take(&mut self) -> (Vec<u8>, u64) {
        (std::mem::take(&mut self.bytes), std::mem::take(&mut self.left_out))
    }
}

#[derive(Debug)]
struct Shared {
    buffer: Mutex<LineBuffer>,
    filled: Condvar,
}

/// Writes JSON lines to standard output through a bounded buffer.
pub struct BoundedStdout {
    shared: Arc<Shared>,
    layout: JsonLayout,
}

impl fmt::Debug for BoundedStdout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BoundedStdout").field("shared", &self.shared).finish_non_exhaustive()
    }
}

impl BoundedStdout {
    /// Starts the thread that writes.
    ///
    /// # Panics
    ///
    /// Panics if the system has no thread left, which the start of a daemon can't outlive.
    pub fn start(lines_per_s: u32) -> Self {
        let buffer = LineBuffer::new(lines_per_s, BootInstant::now());
        let shared = Arc::new(Shared { buffer: Mutex::new(buffer), filled: Condvar::new() });
        let writer = Arc::clone(&shared);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_batches(&writer))
            .expect("the system has a thread left at the start");
        Self { shared, layout: JsonLayout::default() }
    }
}

fn write_batches(shared: &Shared) {
    loop {
        {
            let buffer = shared.buffer.lock().expect("no holder of the lock panics");
            let is_empty = |b: &mut LineBuffer| b.bytes.is_empty();
            drop(shared.filled.wait_while(buffer, is_empty));
        }
        thread::sleep(BATCH);
        write_out(shared);
    }
}

/// Splits lines into parts that a pipe takes in whole, so that no reader sees half of a line; a
/// line that is longer is a part of its own.
pub fn parts(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let most = lines.len().min(PIPE_PART);
        let ends = |part: &[u8]| part.iter().rposition(|b| *b == b'\n');
        let end = match ends(&lines[..most]) {
            Some(end) => end + 1,
            None => lines.iter().position(|b| *b == b'\n').map_or(lines.len(), |end| end + 1),
        };
        let (part, rest) = lines.split_at(end);
        lines = rest;
        (!part.is_empty()).then_some(part)
    })
}

fn write_out(shared: &Shared) {
    let (bytes, left_out) = {
        let mut buffer = shared.buffer.lock().expect("no holder of the lock panics");
        buffer.take()
    };
    let mut out = std::io::stdout().lock();
    for part in parts(&bytes) {
        // Nobody can be told that standard output is gone; requests go on.
        let _ = out.write_all(part);
        let _ = out.flush();
    }
    if left_out > 0 {
        // Not through the logger, which would count this line against the rate that left them out.
        let event::Event { number, level, text } = event::FLEET_LOG_DROPPED;
        let _ = writeln!(
            out,
            "{{\"level\":\"{level}\",\"message\":\"{text}\",\"kvs\":{{\"event\":{number},\"lines\":{left_out}}}}}"
        );
    }
    let _ = out.flush();
}

impl Append for BoundedStdout {
    fn append(
        &self,
        record: &record::Record<'_>,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let is_failure = record.level() <= record::Level::Warn;
        let kind = if is_failure { Kind::Failure } else { Kind::Lesser };
        let admitted = {
            let mut buffer = self.shared.buffer.lock().expect("no holder of the lock panics");
            buffer.admit(kind, BootInstant::now())
        };
        if !admitted {
            return Ok(());
        }
        let line = self.layout.format(record, diags)?;
        let mut buffer = self.shared.buffer.lock().expect("no holder of the lock panics");
        buffer.add(&line);
        self.shared.filled.notify_one();
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        write_out(&self.shared);
        Ok(())
    }
}
