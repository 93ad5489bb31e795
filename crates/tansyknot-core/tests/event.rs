//! The events and reasons match the tables of the documentation.

use std::fmt::Write;

use tansyknot_core::{event, refusal::Reason};

const EVENTS_PAGE: &str = include_str!("../../../docs/EVENTS.md");
const OPERATORS_PAGE: &str = include_str!("../../../docs/OPERATORS.md");

#[test]
fn every_event_matches_its_row_in_the_documentation() {
    let mut missing = String::new();
    for e in event::ALL {
        let row = format!("| {} | {} | {} |", e.number, e.level, e.text);
        if !EVENTS_PAGE.contains(&row) {
            writeln!(missing, "{row}").expect("writing to a string can't fail");
        }
    }
    assert!(missing.is_empty(), "docs/EVENTS.md lacks:\n{missing}");
    let rows = EVENTS_PAGE.lines().filter(|l| l.starts_with("| 1")).count();
    assert_eq!(rows, event::ALL.len());
}

#[test]
fn event_numbers_increase() {
    assert!(event::ALL.windows(2).all(|w| w[0].number < w[1].number));
}

#[test]
fn every_reason_matches_its_row_in_the_documentation() {
    let mut missing = String::new();
    for reason in Reason::ALL {
        let row = format!("| `{}` | {} | {} |", reason.code(), reason.status(), reason.title());
        if !OPERATORS_PAGE.contains(&row) {
            writeln!(missing, "{row}").expect("writing to a string can't fail");
        }
    }
    assert!(missing.is_empty(), "docs/OPERATORS.md lacks:\n{missing}");
}
