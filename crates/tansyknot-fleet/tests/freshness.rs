//! How old views may become under other bounds of the platform.

use std::time::Duration;

use tansyknot_fleet::freshness::{Bounds, FreshnessLimits};
use yare::parameterized;

/// What a call to the store and a request on its way may take.
const CALL: Duration = Duration::from_millis(300);

#[parameterized(
    short = { 1000, 1000 },
    both_sites = { 2000, 2000 },
    grown_sites = { 3000, 3000 },
)]
fn views_are_renewed_before_the_bounds_end(leave_ms: u64, config_ms: u64) {
    let (leave, config) = (Duration::from_millis(leave_ms), Duration::from_millis(config_ms));
    let bounds = Bounds { leave_within: leave, config_within: config, ..Bounds::default() };
    let spans = FreshnessLimits::from_bounds(&bounds);
    assert!(spans.max_list_age + CALL <= leave);
    assert!(spans.max_config_age + CALL / 2 <= config);
    assert!(spans.list_poll_interval <= leave / 3);
    assert!(spans.config_wait < spans.max_config_age);
}

#[test]
fn notes_outlive_entries_that_were_written_before_them() {
    let bounds = Bounds { heartbeat: Duration::from_secs(3), ..Bounds::default() };
    assert!(FreshnessLimits::from_bounds(&bounds).override_ttl > Duration::from_secs(6));
}
