//! Leaving targets get no new requests after the bound, and the other targets stay in the list, in
//! whatever order responses of the store and updates of the planner arrive: simulations drawn from
//! seeds, in virtual time.

mod support;

use std::time::Duration;

use support::leaving::{Faults, Simulation};
use yare::parameterized;

/// Bounds after which leaving targets get no new requests: the usual one, that of large deployments,
/// and a shorter one.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
const LEAVE_WITHIN_LARGE: Duration = Duration::from_secs(4);
const LEAVE_WITHIN_SHORT: Duration = Duration::from_millis(1500);
/// Numbers of daemons: few enough to need no relays, and enough to need them.
const SMALL_FLEET: usize = 7;
const LARGE_FLEET: usize = 25;
const RUN_DURATION: Duration = Duration::from_secs(40);

const CALM: Faults = Faults {
    daemons: 0.0,
    full_restarts: 0.0,
    store_outages: 0.0,
    loss: 0.0,
    jitter: 1,
    response_ms: 10,
};
const SLOW_RESPONSES: Faults =
    Faults { daemons: 0.6, full_restarts: 0.1, response_ms: 500, ..CALM };
const DATAGRAM_LOSS: Faults =
    Faults { daemons: 0.6, loss: 0.3, jitter: 120, response_ms: 60, ..CALM };
const OUTAGES: Faults = Faults { daemons: 0.2, store_outages: 0.08, response_ms: 60, ..CALM };
const ALL_FAULTS: Faults = Faults {
    daemons: 0.5,
    full_restarts: 0.05,
    store_outages: 0.05,
    loss: 0.2,
    jitter: 60,
    response_ms: 400,
};

#[parameterized(
    calm = { SMALL_FLEET, LEAVE_WITHIN, CALM },
    slow_responses = { SMALL_FLEET, LEAVE_WITHIN, SLOW_RESPONSES },
    losses = { SMALL_FLEET, LEAVE_WITHIN, DATAGRAM_LOSS },
    outages = { SMALL_FLEET, LEAVE_WITHIN, OUTAGES },
    all = { SMALL_FLEET, LEAVE_WITHIN, ALL_FAULTS },
    all_with_a_short_bound = { SMALL_FLEET, LEAVE_WITHIN_SHORT, ALL_FAULTS },
    all_with_a_long_bound = { SMALL_FLEET, LEAVE_WITHIN_LARGE, ALL_FAULTS },
    all_with_relays = { LARGE_FLEET, LEAVE_WITHIN, ALL_FAULTS },
)]
fn targets_that_left_get_nothing_and_those_that_stay_are_known(
    daemons: usize,
    leave_within: Duration,
    faults: Faults,
) {
    let mut violations = Vec::new();
    for seed in support::seeds("LEAVING_SEEDS", 6) {
        let result = Simulation::new(seed, daemons, leave_within, faults).run(RUN_DURATION);
        violations.extend(result.err().map(|e| format!("seed {seed}: {e}")));
    }
    assert!(violations.is_empty(), "{} seeds failed:\n{}", violations.len(), violations.join("\n"));
}

// A target joined and left between two full reads of planners. The first seed: a daemon called the store
// before its planner's read, and the response arrived after the update of that read. The second: only the
// planner before had sent the target to the others.
#[parameterized(
    response_overtaken_by_a_full_read = { 95, LEAVE_WITHIN, SLOW_RESPONSES },
    target_that_the_next_planner_never_knew = { 171, LEAVE_WITHIN_LARGE, ALL_FAULTS },
)]
fn failed_before(seed: u64, leave_within: Duration, faults: Faults) {
    let result = Simulation::new(seed, SMALL_FLEET, leave_within, faults).run(RUN_DURATION);
    assert_eq!(result, Ok(()));
}
