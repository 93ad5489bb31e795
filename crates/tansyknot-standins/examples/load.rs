//! Load on the callers' interface: an open loop of streamed completions, measured from when each
//! was due and not from when it could be sent.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clap::Parser;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Longer times count as this.
const LONGEST_US: u64 = 600_000_000;
/// Stack of a stream's thread.
const STACK_BYTES: usize = 128 << 10;

#[derive(Parser)]
struct Args {
    /// Where requests go: a daemon, or an engine directly.
    #[arg(long)]
    to: SocketAddr,
    /// The caller's key.
    #[arg(long, default_value = "demo-key")]
    key: String,
    /// Services, asked in turn.
    #[arg(long, value_delimiter = ',', default_value = "permit-assistant")]
    models: Vec<String>,
    /// Requests a second.
    #[arg(long, default_value_t = 65.0)]
    rate: f64,
    /// How long requests are sent, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Tokens in each answer.
    #[arg(long, default_value_t = 16)]
    tokens: u32,
    /// A word for the output.
    #[arg(long, default_value = "load")]
    name: String,
}

struct Figures {
    first_us: Histogram<u64>,
    gap_us: Histogram<u64>,
}

struct Shared {
    agent: ureq::Agent,
    url: String,
    authorization: String,
    tokens: u32,
    figures: Mutex<Figures>,
    whole: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
}

#[derive(Serialize)]
struct Report {
    name: String,
    requests: u64,
    whole: u64,
    refused: u64,
    broken: u64,
    first_token_p50_ms: f64,
    first_token_p99_ms: f64,
    first_token_max_ms: f64,
    gap_p50_ms: f64,
    gap_p95_ms: f64,
    gap_p99_ms: f64,
}

#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    stream: bool,
    max_tokens: u32,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, 3)
        .expect("three digits are within the library's bounds")
}

impl Shared {
    fn ask(&self, model: &str, due: Instant) {
        let body = Completion { model, stream: true, max_tokens: self.tokens };
        let sent = self
            .agent
            .post(&self.url)
            .header("authorization", &self.authorization)
            .send_json(&body);
        match sent {
            Ok(res) if res.status().as_u16() == 200 => self.read(res, due),
            Ok(_) => drop(self.refused.fetch_add(1, Ordering::Relaxed)),
            Err(_) => drop(self.broken.fetch_add(1, Ordering::Relaxed)),
        }
    }

    fn read(&self, res: ureq::http::Response<ureq::Body>, due: Instant) {
        let mut lines = BufReader::with_capacity(512, res.into_body().into_reader()).lines();
        let mut last: Option<Instant> = None;
        let mut first_us = 0;
        let mut gaps = Vec::with_capacity(self.tokens as usize);
        let mut done = false;
        while let Some(Ok(line)) = lines.next() {
            if !line.starts_with("data: ") {
                continue;
            }
            done = line.ends_with("[DONE]");
            let now = Instant::now();
            match last {
                None => first_us = micros(now - due),
                Some(last) => gaps.push(micros(now - last)),
            }
            last = Some(now);
        }
        let count = if done { &self.whole } else { &self.broken };
        count.fetch_add(1, Ordering::Relaxed);
        let mut figures = self.figures.lock().expect("no holder of the lock panics");
        figures.first_us.saturating_record(first_us);
        gaps.into_iter().for_each(|us| figures.gap_us.saturating_record(us));
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn main() {
    let args = Args::parse();
    let cfg = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .input_buffer_size(4096)
        .output_buffer_size(4096)
        .max_idle_connections(4096)
        .max_idle_connections_per_host(4096)
        .build();
    let shared = Arc::new(Shared {
        agent: cfg.new_agent(),
        url: format!("http://{}/v1/chat/completions", args.to),
        authorization: format!("Bearer {}", args.key),
        tokens: args.tokens,
        figures: Mutex::new(Figures { first_us: histogram(), gap_us: histogram() }),
        whole: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        broken: AtomicU64::new(0),
    });
    let requests = (args.rate * args.seconds) as u64;
    let start = Instant::now() + Duration::from_millis(10);
    let mut threads = Vec::new();
    for i in 0..requests {
        let due = start + Duration::from_secs_f64(i as f64 / args.rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let shared = Arc::clone(&shared);
        let model = args.models[i as usize % args.models.len()].clone();
        let spawned =
            thread::Builder::new().stack_size(STACK_BYTES).spawn(move || shared.ask(&model, due));
        threads.push(spawned.expect("the system has a thread left"));
    }
    for thread in threads {
        // A stream that panicked is missing from the counts, which then do not add up.
        let _ = thread.join();
    }
    report(&args, &shared, requests);
}

fn report(args: &Args, shared: &Shared, requests: u64) {
    let figures = shared.figures.lock().expect("no holder of the lock panics");
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    let report = Report {
        name: args.name.clone(),
        requests,
        whole: shared.whole.load(Ordering::Relaxed),
        refused: shared.refused.load(Ordering::Relaxed),
        broken: shared.broken.load(Ordering::Relaxed),
        first_token_p50_ms: ms(&figures.first_us, 0.5),
        first_token_p99_ms: ms(&figures.first_us, 0.99),
        first_token_max_ms: ms(&figures.first_us, 1.0),
        gap_p50_ms: ms(&figures.gap_us, 0.5),
        gap_p95_ms: ms(&figures.gap_us, 0.95),
        gap_p99_ms: ms(&figures.gap_us, 0.99),
    };
    println!("{}", serde_json::to_string(&report).expect("the report serializes"));
}
