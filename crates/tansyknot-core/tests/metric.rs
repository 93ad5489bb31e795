//! The catalogue of figures and the page that lists it.

use std::{collections::BTreeSet, fmt::Write};

use tansyknot_core::metric;

const PAGE: &str = include_str!("../../../docs/METRICS.md");

#[test]
fn every_figure_is_on_the_page_as_the_code_has_it() {
    let mut missing = String::new();
    for m in metric::ALL {
        let row = format!("| `{}` | {} | {} |", m.series(), m.of, m.text);
        if !PAGE.contains(&row) {
            writeln!(missing, "{row}").expect("a string takes text");
        }
    }
    assert!(missing.is_empty(), "docs/METRICS.md lacks:\n{missing}");
    let rows = PAGE.lines().filter(|l| l.starts_with("| `")).count();
    assert_eq!(rows, metric::ALL.len());
}

#[test]
fn series_have_names_of_their_own() {
    let names: BTreeSet<String> = metric::ALL.iter().map(metric::Metric::series).collect();
    assert_eq!(names.len(), metric::ALL.len());
}
