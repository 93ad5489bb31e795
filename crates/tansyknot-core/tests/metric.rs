//! The metrics match the table of the documentation.

use std::{collections::BTreeSet, fmt::Write};

use tansyknot_core::metric;

const METRICS_PAGE: &str = include_str!("../../../docs/METRICS.md");

#[test]
fn every_metric_matches_its_row_in_the_documentation() {
    let mut missing = String::new();
    for m in metric::ALL {
        let row = format!("| `{}` | {} | {} |", m.series(), m.of, m.text);
        if !METRICS_PAGE.contains(&row) {
            writeln!(missing, "{row}").expect("writing to a string can't fail");
        }
    }
    assert!(missing.is_empty(), "docs/METRICS.md lacks:\n{missing}");
    let rows = METRICS_PAGE.lines().filter(|l| l.starts_with("| `")).count();
    assert_eq!(rows, metric::ALL.len());
}

#[test]
fn names_of_series_are_unique() {
    let names: BTreeSet<String> = metric::ALL.iter().map(metric::Metric::series).collect();
    assert_eq!(names.len(), metric::ALL.len());
}
