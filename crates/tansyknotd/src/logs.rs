//! Log lines on standard output, with a bounded rate and without blocking the caller.
//!
//! The thread that logs formats a line, and a writer thread writes the lines in batches. Lines that
//! exceed the rate or the buffer are dropped and counted. Half of the rate is reserved for warnings
//! and errors.

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

/// Maximum size of the buffer; at the highest rate it holds the lines of some seconds.
const MAX_BUFFER_BYTES: usize = 256 << 10;
/// Maximum size of an atomic write to a pipe (POSIX's `PIPE_BUF` on Linux).
const PIPE_BUF_BYTES: usize = 4096;
/// How long lines are collected before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// The share of the rate that lines below the level of warnings may use.
const ROUTINE_SHARE: f64 = 0.5;

/// Starts the logger of a daemon that serves a fleet: rate-limited lines on standard output.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn start(telemetry: &FleetTelemetry, daemon: &DaemonName) -> Result<(), logforth::Error> {
    let stdout = BoundedStdout::start(telemetry.log_lines_per_s);
    // The lines of all daemons are collected in one place, so each line names its daemon.
    let mut daemon_diagnostic = StaticDiagnostic::default();
    daemon_diagnostic.insert("daemon", daemon.as_str());
    logforth::starter_log::builder()
        .dispatch(|d| d.diagnostic(daemon_diagnostic).append(stdout))
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

/// Lines that wait to be written, and the number of dropped lines.
#[derive(Debug)]
pub struct LineBuffer {
    lines_per_s: u32,
    bytes: Vec<u8>,
    dropped: u64,
    window_start: BootInstant,
    lines: u32,
}

/// Whether a line reports a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// A warning or an error.
    Failure,
    /// A line of a lower level.
    Routine,
}

impl LineBuffer {
    /// Creates a buffer that accepts `lines_per_s` lines per second.
    pub fn new(lines_per_s: u32, now: BootInstant) -> Self {
        Self { lines_per_s, bytes: Vec::new(), dropped: 0, window_start: now, lines: 0 }
    }

    /// Counts a line and returns whether it may be added.
    pub fn admit(&mut self, kind: LineKind, now: BootInstant) -> bool {
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.lines = 0;
        }
        let share = match kind {
            LineKind::Failure => 1.0,
            LineKind::Routine => ROUTINE_SHARE,
        };
        let max_lines = f64::from(self.lines_per_s) * share;
        let is_admitted = f64::from(self.lines) < max_lines && self.bytes.len() < MAX_BUFFER_BYTES;
        if is_admitted {
            self.lines += 1;
        } else {
            self.dropped += 1;
        }
        is_admitted
    }

    /// Adds a line that was admitted.
    pub fn add(&mut self, line: &[u8]) {
        self.bytes.extend_from_slice(line);
        self.bytes.push(b'\n');
    }

    /// Takes the bytes to be written and the number of lines dropped since the last call.
    pub fn take(&mut self) -> (Vec<u8>, u64) {
        (std::mem::take(&mut self.bytes), std::mem::take(&mut self.dropped))
    }
}

#[derive(Debug)]
struct Shared {
    buffer: Mutex<LineBuffer>,
    line_added: Condvar,
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
    /// Starts the writer thread.
    ///
    /// # Panics
    ///
    /// Panics if the thread can't be spawned; a daemon can't start without it.
    pub fn start(lines_per_s: u32) -> Self {
        let buffer = LineBuffer::new(lines_per_s, BootInstant::now());
        let shared = Arc::new(Shared { buffer: Mutex::new(buffer), line_added: Condvar::new() });
        let writer_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_batches(&writer_shared))
            .expect("the log writer thread can be spawned");
        Self { shared, layout: JsonLayout::default() }
    }
}

fn write_batches(shared: &Shared) {
    loop {
        {
            let buffer = shared.buffer.lock().expect("no holder of the lock panics");
            let is_empty = |b: &mut LineBuffer| b.bytes.is_empty();
            drop(shared.line_added.wait_while(buffer, is_empty));
        }
        thread::sleep(BATCH_INTERVAL);
        write_buffered(shared);
    }
}

/// Splits lines into chunks that a pipe accepts atomically, so that no reader sees part of a line. A
/// line that exceeds this size is a chunk of its own.
pub fn pipe_chunks(mut lines: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        let max_len = lines.len().min(PIPE_BUF_BYTES);
        let last_newline = |chunk: &[u8]| chunk.iter().rposition(|b| *b == b'\n');
        let end = match last_newline(&lines[..max_len]) {
            Some(end) => end + 1,
            None => lines.iter().position(|b| *b == b'\n').map_or(lines.len(), |end| end + 1),
        };
        let (chunk, rest) = lines.split_at(end);
        lines = rest;
        (!chunk.is_empty()).then_some(chunk)
    })
}

fn write_buffered(shared: &Shared) {
    let (bytes, dropped) = {
        let mut buffer = shared.buffer.lock().expect("no holder of the lock panics");
        buffer.take()
    };
    let mut out = std::io::stdout().lock();
    for chunk in pipe_chunks(&bytes) {
        // A closed standard output can't be reported anywhere; requests continue.
        let _ = out.write_all(chunk);
        let _ = out.flush();
    }
    if dropped > 0 {
        // Bypasses the logger, which would count this line against the rate limit.
        let event::Event { number, level, text } = event::FLEET_LOG_DROPPED;
        let _ = writeln!(
            out,
            "{{\"level\":\"{level}\",\"message\":\"{text}\",\"kvs\":{{\"event\":{number},\"lines\":{dropped}}}}}"
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
        let kind = if is_failure { LineKind::Failure } else { LineKind::Routine };
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
        self.shared.line_added.notify_one();
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        write_buffered(&self.shared);
        Ok(())
    }
}
