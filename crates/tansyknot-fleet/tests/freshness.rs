//! Maximum ages of views under different bounds of the platform.

use std::time::Duration;

use tansyknot_fleet::freshness::{Bounds, FreshnessLimits};
use yare::parameterized;

/// Time that a call to the store and the sending of a request may take.
const CALL_AND_SEND_TIME: Duration = Duration::from_millis(300);

#[parameterized(
    one_second = { 1000, 1000 },
    two_seconds = { 2000, 2000 },
    three_seconds = { 3000, 3000 },
)]
fn views_are_renewed_before_the_bounds_end(leave_ms: u64, config_ms: u64) {
    let (leave, config) = (Duration::from_millis(leave_ms), Duration::from_millis(config_ms));
    let bounds = Bounds { leave_within: leave, config_within: config, ..Bounds::default() };
    let limits = FreshnessLimits::from_bounds(&bounds);
    assert!(limits.max_list_age + CALL_AND_SEND_TIME <= leave);
    assert!(limits.max_config_age + CALL_AND_SEND_TIME / 2 <= config);
    assert!(limits.list_poll_interval <= leave / 3);
    assert!(limits.config_wait < limits.max_config_age);
}

#[test]
fn overrides_outlive_entries_that_were_written_before_them() {
    let bounds = Bounds { heartbeat: Duration::from_secs(3), ..Bounds::default() };
    assert!(FreshnessLimits::from_bounds(&bounds).override_ttl > Duration::from_secs(6));
}
