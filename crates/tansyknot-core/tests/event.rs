//! The catalogue of events and the page that lists it.

use std::fmt::Write;

use tansyknot_core::{event, refusal::Reason};

const PAGE: &str = include_str!("../../../docs/EVENTS.md");
const OPERATORS: &str = include_str!("../../../docs/OPERATORS.md");

#[test]
fn every_event_is_on_the_page_as_the_code_has_it() {
    let mut missing = String::new();
    for e in event::ALL {
        let row = format!("| {} | {} | {} |", e.number, e.level, e.text);
        if !PAGE.contains(&row) {
            writeln!(missing, "{row}").expect("a string takes text");
        }
    }
    assert!(missing.is_empty(), "docs/EVENTS.md lacks:\n{missing}");
    let rows = PAGE.lines().filter(|l| l.starts_with("| 1")).count();
    assert_eq!(rows, event::ALL.len());
}

#[test]
fn numbers_rise() {
    assert!(event::ALL.windows(2).all(|w| w[0].number < w[1].number));
}

#[test]
fn every_reason_is_on_the_operators_page() {
    let mut missing = String::new();
    for reason in Reason::ALL {
        let row = format!("| `{}` | {} | {} |", reason.code(), reason.status(), reason.title());
        if !OPERATORS.contains(&row) {
            writeln!(missing, "{row}").expect("a string takes text");
        }
    }
    assert!(missing.is_empty(), "docs/OPERATORS.md lacks:\n{missing}");
}
