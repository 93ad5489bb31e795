//! Searches for requests that reach a drained zone too late, or a target that warms up too often,
//! while daemons and planners come and go. The runs are drawn from seeds and use virtual time.

mod support;

use std::time::Duration;

use support::zones::{Faults, Simulation};
use yare::parameterized;

/// Number of daemons of a small site.
const SMALL_SITE: usize = 7;
const LARGE_SITE: usize = 77;
const LARGEST_SITE: usize = 340;
const DURATION: Duration = Duration::from_secs(40);
const SHORT_DURATION: Duration = Duration::from_secs(14);
/// Minimum share of requests that are served where no daemon fails.
const MIN_SERVED: f64 = 0.9;

const CALM: Faults = Faults {
    drains: 0.2,
    starts: 0.2,
    daemons: 0.0,
    planner: 0.0,
    full_restarts: 0.0,
    loss: 0.0,
    jitter: 10,
};
const DAEMONS: Faults = Faults { daemons: 0.6, ..CALM };
const PLANNERS: Faults = Faults { planner: 0.2, ..CALM };
const LOSSES: Faults = Faults { loss: 0.2, jitter: 120, ..CALM };
const ALL: Faults = Faults {
    drains: 0.4,
    starts: 0.4,
    daemons: 0.4,
    planner: 0.1,
    full_restarts: 0.03,
    loss: 0.1,
    jitter: 60,
};

fn search(default_seeds: u64, daemons: usize, faults: Faults, duration: Duration) -> f64 {
    let mut violations = Vec::new();
    let (mut requests, mut served, mut refused, mut fullest) = (0, 0, 0, 0);
    let mut latest = Duration::ZERO;
    for seed in support::seeds("ZONES_SEEDS", default_seeds) {
        let result = Simulation::new(seed, daemons, faults).run(duration);
        violations.extend(result.violations.iter().map(|what| format!("seed {seed}: {what}")));
        requests += result.requests;
        served += result.served;
        refused += result.refused;
        fullest = fullest.max(result.fullest);
        latest = latest.max(result.latest_send);
    }
    println!(
        "{served} of {requests} served, {refused} refused; fullest second {fullest}; \
         last send into a drained zone after {latest:?}"
    );
    violations.truncate(20);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    served as f64 / requests as f64
}

#[parameterized(
    calm = { SMALL_SITE, CALM, DURATION },
    many_calm = { LARGE_SITE, CALM, SHORT_DURATION },
    most_calm = { LARGEST_SITE, CALM, SHORT_DURATION },
)]
fn drains_and_warm_ups_are_kept_and_others_serve(
    daemons: usize,
    faults: Faults,
    duration: Duration,
) {
    let served = search(if daemons == SMALL_SITE { 6 } else { 2 }, daemons, faults, duration);
    assert!(served >= MIN_SERVED, "{served:.2} served");
}

#[parameterized(
    losses = { SMALL_SITE, LOSSES, DURATION },
    daemons_that_fail = { SMALL_SITE, DAEMONS, DURATION },
    planners_that_fail = { SMALL_SITE, PLANNERS, DURATION },
    all = { SMALL_SITE, ALL, DURATION },
    many_all = { LARGE_SITE, ALL, SHORT_DURATION },
    most_all = { LARGEST_SITE, ALL, SHORT_DURATION },
)]
fn drains_and_warm_ups_are_kept_under_faults(daemons: usize, faults: Faults, duration: Duration) {
    search(if daemons == SMALL_SITE { 6 } else { 1 }, daemons, faults, duration);
}
