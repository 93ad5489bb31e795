//! Requests that crash targets are soon known to all daemons, and innocent requests that were in
//! flight at the crashed targets are not rejected: simulations drawn from seeds, in virtual time.

mod support;

use std::time::Duration;

use support::crashes::{Callers, CrashSimulation, Faults};
use yare::parameterized;

/// Numbers of daemons.
const SMALL_FLEET: usize = 7;
const LARGE_FLEET: usize = 77;
const LARGEST_FLEET: usize = 295;
const RUN_DURATION: Duration = Duration::from_secs(30);
const SHORT_RUN_DURATION: Duration = Duration::from_secs(8);

const CALM: Faults = Faults {
    poison_requests: 1,
    target_exits: 0.0,
    target_resets: 0.0,
    daemons: 0.0,
    full_restarts: 0.0,
    loss: 0.0,
    jitter: 1,
};
const SEVERAL_POISONS: Faults =
    Faults { poison_requests: 4, target_resets: 1.0, target_exits: 0.2, ..CALM };
const DATAGRAM_LOSS: Faults = Faults { loss: 0.3, jitter: 120, ..SEVERAL_POISONS };
const DAEMON_FAILURES: Faults = Faults { daemons: 0.6, loss: 0.1, jitter: 60, ..SEVERAL_POISONS };
const FLEET_RESTARTS: Faults = Faults { full_restarts: 0.1, ..DAEMON_FAILURES };
const TARGET_KILLS: Faults =
    Faults { poison_requests: 0, target_exits: 3.0, target_resets: 2.0, ..CALM };

/// Callers whose innocent requests all differ.
const DISTINCT_REQUESTS: Callers =
    Callers { innocent_per_s: 60.0, innocent_keys: 1 << 60, repeat_after_ms: 80..400 };
/// Callers that poll: they send the same twenty innocent requests again and again.
const POLLS: Callers = Callers { innocent_keys: 20, ..DISTINCT_REQUESTS };

fn check_seeds(
    default_count: u64,
    daemons: usize,
    faults: Faults,
    callers: Callers,
    duration: Duration,
) {
    let mut violations = Vec::new();
    let (mut innocent, mut rejected, mut sends_after_third_crash) = (0, 0, 0);
    for seed in support::seeds("CRASHES_SEEDS", default_count) {
        let outcome = CrashSimulation::new(seed, daemons, faults, callers.clone()).run(duration);
        violations
            .extend(outcome.violations.iter().map(|violation| format!("seed {seed}: {violation}")));
        let rejects = (outcome.rejected > 0).then(|| format!("seed {seed}: {}", outcome.rejected));
        violations.extend(rejects.map(|count| format!("{count} innocent requests rejected")));
        innocent += outcome.innocent;
        rejected += outcome.rejected;
        sends_after_third_crash = sends_after_third_crash.max(outcome.sends_after_third_crash);
    }
    println!(
        "{rejected} of {innocent} innocent requests rejected; {sends_after_third_crash} sends after the third crash"
    );
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}

#[parameterized(
    calm = { SMALL_FLEET, CALM, DISTINCT_REQUESTS },
    several = { SMALL_FLEET, SEVERAL_POISONS, DISTINCT_REQUESTS },
    several_beside_polls = { SMALL_FLEET, SEVERAL_POISONS, POLLS },
    losses = { SMALL_FLEET, DATAGRAM_LOSS, DISTINCT_REQUESTS },
    daemons_that_fail = { SMALL_FLEET, DAEMON_FAILURES, DISTINCT_REQUESTS },
    all_daemons_that_end = { SMALL_FLEET, FLEET_RESTARTS, DISTINCT_REQUESTS },
    all_daemons_that_end_beside_polls = { SMALL_FLEET, FLEET_RESTARTS, POLLS },
    targets_that_are_killed = { SMALL_FLEET, TARGET_KILLS, DISTINCT_REQUESTS },
    targets_that_are_killed_under_polls = { SMALL_FLEET, TARGET_KILLS, POLLS },
)]
fn poison_is_stopped_and_others_are_served(daemons: usize, faults: Faults, callers: Callers) {
    check_seeds(6, daemons, faults, callers, RUN_DURATION);
}

#[parameterized(
    many_calm = { LARGE_FLEET, CALM },
    many_troubled = { LARGE_FLEET, FLEET_RESTARTS },
    most_calm = { LARGEST_FLEET, CALM },
    most_troubled = { LARGEST_FLEET, DAEMON_FAILURES },
)]
fn poison_is_stopped_before_many_daemons(daemons: usize, faults: Faults) {
    check_seeds(1, daemons, faults, DISTINCT_REQUESTS, SHORT_RUN_DURATION);
}

// All daemons end every ten seconds and lose their records of recently answered requests. Then four
// poison requests crash every target while the same twenty innocent requests are in flight at most
// targets. Some of these are convicted, and rejected for seconds until a trial clears them.
#[test]
fn polls_are_served_after_all_daemons_have_ended() {
    let outcome = CrashSimulation::new(29, SMALL_FLEET, FLEET_RESTARTS, POLLS).run(RUN_DURATION);
    assert_eq!(outcome.rejected, 0, "innocent requests rejected, of {}", outcome.innocent);
}
