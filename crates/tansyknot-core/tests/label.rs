//! Parsing and matching of label selectors.

use tansyknot_core::label::{Labels, Selector, SelectorError};
use yare::parameterized;

fn labels() -> Labels {
    [("zone".into(), "north".into()), ("tier".into(), "gold".into())].into()
}

#[parameterized(
    empty = { "", true },
    equal = { "zone=north", true },
    not_equal = { "zone!=north", false },
    other_value = { "zone=south", false },
    missing_key_is_not_equal = { "rack!=r1", true },
    exists = { "tier", true },
    not_there = { "!rack", true },
    there = { "!tier", false },
    one_of = { "zone in (south, north)", true },
    none_of = { "zone notin (south,east)", true },
    all_terms_hold = { "zone=north, tier in (gold,silver), !rack", true },
    one_term_fails = { "zone=north,tier=silver", false },
)]
fn selector_matches(text: &str, expected: bool) {
    let selector = Selector::parse(text).expect("the selector is valid");
    assert_eq!(selector.matches(&labels()), expected);
}

#[parameterized(
    no_key = { "=x" },
    no_value = { "zone=" },
    open_list = { "zone in (a" },
    empty_list = { "zone in ()" },
    bad_character = { "zone=a b" },
    trailing_comma = { "zone=a," },
)]
fn malformed_selector_is_refused(text: &str) {
    let parsed: Result<Selector, SelectorError> = Selector::parse(text);
    assert!(parsed.is_err());
}
