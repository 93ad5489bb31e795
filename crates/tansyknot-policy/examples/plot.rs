//! Plots the p99 latency of first requests over idle accelerator hours for each policy.
//!
//! `cargo run --release --example plot -- bench/results/replay.jsonl docs/frontier.svg`

use std::{collections::BTreeMap, path::PathBuf};

use clap::Parser;
use miette::IntoDiagnostic;
use plotters::prelude::*;
use serde::Deserialize;

#[derive(Parser)]
struct Args {
    /// The replay's output, one JSON object per line.
    input: PathBuf,
    /// The SVG file to write.
    output: PathBuf,
}

#[derive(Deserialize)]
struct Line {
    policy: String,
    weight: String,
    idle_accelerator_hours: f64,
    first_request_p99_ms: f64,
}

const SIZE: (u32, u32) = (760, 420);
const COLOURS: [RGBColor; 6] = [
    RGBColor(120, 120, 120),
    RGBColor(170, 120, 50),
    RGBColor(200, 60, 60),
    RGBColor(150, 80, 170),
    RGBColor(20, 120, 190),
    RGBColor(30, 150, 90),
];

/// The points of each series by its name in the legend.
type Series = BTreeMap<String, Vec<(f64, f64)>>;

fn read(args: &Args) -> miette::Result<Series> {
    let text = std::fs::read_to_string(&args.input).into_diagnostic()?;
    let mut series = Series::new();
    for line in text.lines() {
        let line: Line = serde_json::from_str(line).into_diagnostic()?;
        let is_tansyknot = line.policy == "tansyknot";
        if !is_tansyknot && line.weight == "idle" {
            // The baselines ignore the weight; their two runs are identical.
            continue;
        }
        let name = if is_tansyknot { format!("tansyknot, {}", line.weight) } else { line.policy };
        let point = (line.idle_accelerator_hours, line.first_request_p99_ms / 1000.0);
        series.entry(name).or_default().push(point);
    }
    Ok(series)
}

fn draw(series: &Series, args: &Args) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let root = SVGBackend::new(&args.output, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((30.0..1500.0).log_scale(), 0.0..14.0)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours in a day (logarithmic)")
        .y_desc("p99 of first requests, s")
        .draw()?;
    for ((name, points), colour) in series.iter().zip(COLOURS) {
        let dots = points.iter().map(|p| Circle::new(*p, 4, colour.filled()));
        chart
            .draw_series(dots)?
            .label(name)
            .legend(move |(x, y)| Circle::new((x + 8, y), 4, colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn main() -> miette::Result<()> {
    let args = Args::parse();
    let series = read(&args)?;
    draw(&series, &args).map_err(|e| miette::miette!("failed to draw the plot: {e}"))
}
