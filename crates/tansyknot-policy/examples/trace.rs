//! Generates an arrival trace of a permit desk and a nursery placement office.
//!
//! `cargo run --release --example trace -- --seed 1 > trace.csv`

use std::io::{self, BufWriter, Write};

use clap::Parser;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Milliseconds in an hour.
const HOUR_MS: f64 = 3_600_000.0;

#[derive(Parser)]
struct Args {
    /// Seed of the random generator.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of services.
    #[arg(long, default_value_t = 50)]
    services: usize,
    /// Length of the trace in hours.
    #[arg(long, default_value_t = 24.0)]
    hours: f64,
}

/// The arrival pattern of the requests for a service.
#[derive(Clone, Copy)]
enum Pattern {
    /// Most services: long, heavy-tailed gaps between small groups of requests.
    Sparse { scale_ms: f64 },
    /// Requests during office hours.
    Office { per_hour: f64 },
    /// Requests at a fixed interval, for instance for a report.
    Periodic { every_ms: f64 },
    /// Overnight reviews: many consecutive requests.
    Batch { count: usize },
}

struct Row {
    at_ms: u64,
    service: usize,
    batch: bool,
    burst: bool,
}

fn pattern(service: usize, rng: &mut StdRng) -> Pattern {
    match service % 10 {
        0 => Pattern::Office { per_hour: rng.random_range(40.0..240.0) },
        1 => Pattern::Office { per_hour: rng.random_range(5.0..30.0) },
        2 => Pattern::Periodic { every_ms: rng.random_range(10.0..90.0) * 60_000.0 },
        3 => Pattern::Batch { count: rng.random_range(100..400) },
        _ => Pattern::Sparse { scale_ms: rng.random_range(60_000.0..900_000.0) },
    }
}

/// Returns the relative request rate at a time of day: low at night, two peaks in office hours.
fn activity(at_ms: f64) -> f64 {
    let hour = (at_ms / HOUR_MS) % 24.0;
    let peak = |centre: f64| (-((hour - centre) / 2.0).powi(2)).exp();
    0.02 + peak(10.0) + 0.8 * peak(15.5)
}

fn exponential(mean: f64, rng: &mut StdRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns a Pareto sample with a finite mean: most are short, a few very long.
fn heavy_tailed(scale: f64, rng: &mut StdRng) -> f64 {
    const SHAPE: f64 = 1.2;
    scale / (1.0 - rng.random::<f64>()).powf(1.0 / SHAPE)
}

fn arrivals(service: usize, end_ms: f64, rng: &mut StdRng, rows: &mut Vec<Row>) {
    let mut push = |at: f64, batch: bool, burst: bool| {
        if at < end_ms {
            rows.push(Row { at_ms: at as u64, service, batch, burst });
        }
    };
    match pattern(service, rng) {
        Pattern::Office { per_hour } => {
            let mut at = 0.0;
            while at < end_ms {
                at += exponential(HOUR_MS / per_hour, rng);
                if rng.random::<f64>() < activity(at).min(1.0) {
                    push(at, false, false);
                }
            }
        }
        Pattern::Periodic { every_ms } => {
            let mut at = rng.random_range(0.0..every_ms);
            while at < end_ms {
                let jitter = rng.random_range(-5_000.0..5_000.0);
                push((at + jitter).max(0.0), false, false);
                at += every_ms;
            }
        }
        Pattern::Batch { count } => {
            let mut at = rng.random_range(0.0..5.0) * HOUR_MS;
            for _ in 0..count {
                push(at, true, false);
                at += exponential(8_000.0, rng);
            }
        }
        Pattern::Sparse { scale_ms } => {
            let mut at = 0.0;
            while at < end_ms {
                at += heavy_tailed(scale_ms, rng) / activity(at).max(0.1);
                let group_size = rng.random_range(1..5);
                // Occasionally, many routers send their first requests at the same time.
                let burst = rng.random::<f64>() < 0.05;
                let count = if burst { rng.random_range(10..40) } else { group_size };
                let mut request_at = at;
                for _ in 0..count {
                    push(request_at, false, burst);
                    request_at +=
                        if burst { exponential(50.0, rng) } else { exponential(15_000.0, rng) };
                }
                at = request_at;
            }
        }
    }
}

fn main() {
    let args = Args::parse();
    let mut rng = StdRng::seed_from_u64(args.seed);
    let mut rows = Vec::new();
    for service in 0..args.services {
        arrivals(service, args.hours * HOUR_MS, &mut rng, &mut rows);
    }
    rows.sort_by_key(|r| (r.at_ms, r.service));
    if let Err(e) = write(&rows, &mut rng)
        && e.kind() != io::ErrorKind::BrokenPipe
    {
        eprintln!("failed to write the trace: {e}");
    }
}

fn write(rows: &[Row], rng: &mut StdRng) -> io::Result<()> {
    let mut out = BufWriter::new(io::stdout().lock());
    writeln!(out, "at_ms,caller,service,adapter,prompt_tokens,output_tokens,class,deadline_ms")?;
    for row in rows {
        let adapter = match rng.random_range(0..3) {
            0 => format!("m{:02}-a{}", row.service, rng.random_range(0..2)),
            _ => String::new(),
        };
        let (class, deadline_ms) = if row.batch { ("batch", 600_000) } else { ("desk", 60_000) };
        let output = if row.burst { 60 } else { rng.random_range(20..250) };
        writeln!(
            out,
            "{},c{},m{:02},{adapter},{},{output},{class},{deadline_ms}",
            row.at_ms,
            rng.random_range(0..20),
            row.service,
            rng.random_range(50..1500),
        )?;
    }
    out.flush()
}
