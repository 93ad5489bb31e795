//! Measurement of a cost at several sizes, with the least-squares line and its residual.

use std::{fs, time::Instant};

use serde::Serialize;

/// The cost of a mechanism as a linear function of a size.
#[derive(Serialize)]
pub(crate) struct Slope {
    mechanism: &'static str,
    against: &'static str,
    unit: &'static str,
    sizes: Vec<f64>,
    values: Vec<f64>,
    slope: f64,
    intercept: f64,
    /// The root mean square of the distances from the line, relative to the mean value.
    residual: f64,
}

/// Evaluates `f` at each size and prints the linear fit.
pub(crate) fn measure(
    mechanism: &'static str,
    against: &'static str,
    unit: &'static str,
    sizes: &[usize],
    mut f: impl FnMut(usize) -> f64,
) {
    let values: Vec<f64> = sizes.iter().map(|size| f(*size)).collect();
    let sizes: Vec<f64> = sizes.iter().map(|size| *size as f64).collect();
    let (slope, intercept) = fit(&sizes, &values);
    let residual = residual(&sizes, &values, slope, intercept);
    let line = Slope { mechanism, against, unit, sizes, values, slope, intercept, residual };
    println!("{}", serde_json::to_string(&line).expect("the slope serializes"));
}

fn fit(x: &[f64], y: &[f64]) -> (f64, f64) {
    let n = x.len() as f64;
    let (mean_x, mean_y) = (x.iter().sum::<f64>() / n, y.iter().sum::<f64>() / n);
    let covariance: f64 = x.iter().zip(y).map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = x.iter().map(|x| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}

fn residual(x: &[f64], y: &[f64], slope: f64, intercept: f64) -> f64 {
    let n = x.len() as f64;
    let square = |(x, y): (&f64, &f64)| (y - (slope * x + intercept)).powi(2);
    let rms = (x.iter().zip(y).map(square).sum::<f64>() / n).sqrt();
    let mean = y.iter().sum::<f64>() / n;
    if mean.abs() < f64::EPSILON { 0.0 } else { rms / mean.abs() }
}

/// Returns the average time of a call of `f` over `times` calls, in microseconds.
pub(crate) fn average_micros(times: usize, mut f: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..times {
        f();
    }
    started.elapsed().as_secs_f64() * 1e6 / times as f64
}

/// Returns the growth of resident memory in bytes during a call of `f`, and the value it returns.
pub(crate) fn memory_growth<T>(f: impl FnOnce() -> T) -> (f64, T) {
    let before = resident_bytes();
    let value = f();
    (resident_bytes() - before, value)
}

fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
