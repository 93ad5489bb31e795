//! An open-loop load generator of streamed completions on the callers' interface. Latencies count
//! from the time at which a request is due, so that delays of the generator itself are included.

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

/// Maximum recorded time. Longer times count as this one.
const MAX_RECORDED_US: u64 = 600_000_000;
/// Stack size of the thread of a stream.
const STACK_BYTES: usize = 128 << 10;

#[derive(Parser)]
struct Args {
    /// The address of a daemon, or of an engine for direct requests.
    #[arg(long)]
    to: SocketAddr,
    /// The caller's key.
    #[arg(long, default_value = "demo-key")]
    key: String,
    /// The services, which get requests in turn.
    #[arg(long, value_delimiter = ',', default_value = "permit-assistant")]
    models: Vec<String>,
    /// The number of requests per second.
    #[arg(long, default_value_t = 65.0)]
    rate: f64,
    /// The time for which requests are sent, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The number of tokens in each response.
    #[arg(long, default_value_t = 16)]
    tokens: u32,
    /// The name of the run in the output.
    #[arg(long, default_value = "load")]
    name: String,
}

struct Latencies {
    first_us: Histogram<u64>,
    gap_us: Histogram<u64>,
}

struct LoadState {
    agent: ureq::Agent,
    url: String,
    authorization: String,
    tokens: u32,
    latencies: Mutex<Latencies>,
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
    Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)
        .expect("three significant digits are supported")
}

impl LoadState {
    fn send_request(&self, model: &str, due: Instant) {
        let body = Completion { model, stream: true, max_tokens: self.tokens };
        let sent = self
            .agent
            .post(&self.url)
            .header("authorization", &self.authorization)
            .send_json(&body);
        match sent {
            Ok(res) if res.status().as_u16() == 200 => self.read_stream(res, due),
            Ok(_) => drop(self.refused.fetch_add(1, Ordering::Relaxed)),
            Err(_) => drop(self.broken.fetch_add(1, Ordering::Relaxed)),
        }
    }

    fn read_stream(&self, res: ureq::http::Response<ureq::Body>, due: Instant) {
        let mut lines = BufReader::with_capacity(512, res.into_body().into_reader()).lines();
        let mut last: Option<Instant> = None;
        let mut first_us = 0;
        let mut gaps = Vec::with_capacity(self.tokens as usize);
        let mut is_complete = false;
        while let Some(Ok(line)) = lines.next() {
            if !line.starts_with("data: ") {
                continue;
            }
            is_complete = line.ends_with("[DONE]");
            let now = Instant::now();
            match last {
                None => first_us = micros(now - due),
                Some(last) => gaps.push(micros(now - last)),
            }
            last = Some(now);
        }
        let count = if is_complete { &self.whole } else { &self.broken };
        count.fetch_add(1, Ordering::Relaxed);
        let mut latencies = self.latencies.lock().expect("no holder of the lock panics");
        latencies.first_us.saturating_record(first_us);
        gaps.into_iter().for_each(|us| latencies.gap_us.saturating_record(us));
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
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
    let shared = Arc::new(LoadState {
        agent: cfg.new_agent(),
        url: format!("http://{}/v1/chat/completions", args.to),
        authorization: format!("Bearer {}", args.key),
        tokens: args.tokens,
        latencies: Mutex::new(Latencies { first_us: histogram(), gap_us: histogram() }),
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
        let spawned = thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn(move || shared.send_request(&model, due));
        threads.push(spawned.expect("the system can start another thread"));
    }
    for thread in threads {
        // A panicked stream is missing from the counts, which then do not add up to the requests.
        let _ = thread.join();
    }
    report(&args, &shared, requests);
}

fn report(args: &Args, shared: &LoadState, requests: u64) {
    let latencies = shared.latencies.lock().expect("no holder of the lock panics");
    let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    let report = Report {
        name: args.name.clone(),
        requests,
        whole: shared.whole.load(Ordering::Relaxed),
        refused: shared.refused.load(Ordering::Relaxed),
        broken: shared.broken.load(Ordering::Relaxed),
        first_token_p50_ms: ms(&latencies.first_us, 0.5),
        first_token_p99_ms: ms(&latencies.first_us, 0.99),
        first_token_max_ms: ms(&latencies.first_us, 1.0),
        gap_p50_ms: ms(&latencies.gap_us, 0.5),
        gap_p95_ms: ms(&latencies.gap_us, 0.95),
        gap_p99_ms: ms(&latencies.gap_us, 0.99),
    };
    println!("{}", serde_json::to_string(&report).expect("the report serializes"));
}
