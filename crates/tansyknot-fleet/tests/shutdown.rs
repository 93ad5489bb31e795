//! Times of the steps of a graceful shutdown.

use std::time::Duration;

use tansyknot_fleet::shutdown::ShutdownPlan;
use yare::parameterized;

#[parameterized(
    very_short = { 2_000 },
    short = { 4_000 },
    medium = { 8_000 },
    long = { 30_000 },
)]
fn requests_are_cut_in_the_last_sixth_of_the_grace_and_refused_well_before(grace_ms: u64) {
    let grace = Duration::from_millis(grace_ms);
    let plan = ShutdownPlan::for_grace_period(grace);
    assert!(plan.abort_after >= grace * 5 / 6, "{plan:?}");
    assert!(plan.abort_after + Duration::from_millis(150) <= grace, "{plan:?}");
    assert!(plan.refuse_after + Duration::from_millis(500) <= plan.abort_after, "{plan:?}");
    assert!(plan.exit_after > plan.abort_after, "{plan:?}");
    assert!(plan.exit_after + Duration::from_millis(80) <= grace, "{plan:?}");
    assert!(plan.refuse_after <= Duration::from_secs(3), "callers use another daemon by then");
}
