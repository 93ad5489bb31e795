//! Requests that crash targets are soon known to all daemons, and innocent requests that were in
//! flight at the crashed targets are not rejected: simulations drawn from seeds, in virtual time.

mod support;

use std::time::Duration;

use support::crashes::{Callers, CrashSimulation, Ending, Faults};
use yare::parameterized;

/// Numbers of daemons.
const SMALL_FLEET: usize = 7;
const LARGE_FLEET: usize = 77;
const LARGEST_FLEET: usize = 295;
const RUN_DURATION: Duration = Duration::from_secs(30);
const SHORT_RUN_DURATION: Duration = Duration::from_secs(8);

const CALM: Faults = Faults {
    poison_requests: 1,
    poison_parts: 0,
    has_prompts: false,
    comes_first: false,
    endings: &[Ending::Closes],
    sound_targets: 0,
    leaving_callers: 0.0,
    unframed_responses: 0.0,
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

const HARMFUL_PART: Faults =
    Faults { poison_requests: 0, poison_parts: 1, has_prompts: true, ..CALM };
const FIRST_PART: Faults = Faults { comes_first: true, ..HARMFUL_PART };
const SEVERAL_PARTS: Faults =
    Faults { poison_parts: 3, target_resets: 1.0, target_exits: 0.2, ..HARMFUL_PART };
const PARTS_AND_LOSS: Faults = Faults { loss: 0.3, jitter: 120, ..SEVERAL_PARTS };
const PARTS_AND_DAEMONS: Faults = Faults { daemons: 0.6, loss: 0.1, jitter: 60, ..SEVERAL_PARTS };
const PARTS_AND_RESTARTS: Faults = Faults { full_restarts: 0.1, ..PARTS_AND_DAEMONS };

/// All ways in which targets end under requests.
const ENDINGS: &[Ending] = &[
    Ending::Closes,
    Ending::ClosesAfterResponse,
    Ending::AfterCallerLeft,
    Ending::AfterHandover,
    Ending::FallsSilent,
];
const RESPONSE_WITHOUT_LENGTH: Faults =
    Faults { endings: &[Ending::ClosesAfterResponse], unframed_responses: 0.5, ..CALM };
const CALLERS_THAT_LEAVE: Faults =
    Faults { endings: &[Ending::AfterCallerLeft], leaving_callers: 0.2, ..CALM };
const HANDOVERS: Faults = Faults { endings: &[Ending::AfterHandover], ..CALM };
const SILENT_TARGETS: Faults = Faults { endings: &[Ending::FallsSilent], ..CALM };
const TWO_VERSIONS: Faults = Faults { sound_targets: 4, ..CALM };
const ANY_ENDING: Faults = Faults {
    endings: ENDINGS,
    leaving_callers: 0.1,
    unframed_responses: 0.2,
    sound_targets: 2,
    poison_requests: 2,
    ..CALM
};
const ANY_ENDING_AND_LOSS: Faults = Faults { loss: 0.3, jitter: 120, ..ANY_ENDING };
const ANY_ENDING_AND_DAEMONS: Faults = Faults { daemons: 0.6, loss: 0.1, jitter: 60, ..ANY_ENDING };
const ANY_ENDING_AND_RESTARTS: Faults = Faults { full_restarts: 0.1, ..ANY_ENDING_AND_DAEMONS };
const ANY_ENDING_AND_PARTS: Faults =
    Faults { poison_requests: 1, poison_parts: 1, has_prompts: true, ..ANY_ENDING };
const KILLS_BESIDE_LEAVING_CALLERS: Faults =
    Faults { leaving_callers: 0.3, unframed_responses: 0.2, ..TARGET_KILLS };

const TARGET_KILLS_UNDER_PROMPTS: Faults = Faults { has_prompts: true, ..TARGET_KILLS };

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
    check_seeds_of("CRASHES_SEEDS", default_count, daemons, faults, callers, duration);
}

fn check_seeds_of(
    variable: &str,
    default_count: u64,
    daemons: usize,
    faults: Faults,
    callers: Callers,
    duration: Duration,
) {
    let mut violations = Vec::new();
    let (mut innocent, mut rejected, mut sends_after_third_crash) = (0, 0, 0);
    for seed in support::seeds(variable, default_count) {
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
    targets_that_are_killed_under_prompts = { SMALL_FLEET, TARGET_KILLS_UNDER_PROMPTS, DISTINCT_REQUESTS },
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

/// The share of innocent requests that must not be rejected once a harmful part is known.
const MIN_ACCEPTED_SHARE: f64 = 0.95;

#[parameterized(
    calm = { SMALL_FLEET, HARMFUL_PART, RUN_DURATION },
    first = { SMALL_FLEET, FIRST_PART, RUN_DURATION },
    several = { SMALL_FLEET, SEVERAL_PARTS, RUN_DURATION },
    losses = { SMALL_FLEET, PARTS_AND_LOSS, RUN_DURATION },
    daemons_that_fail = { SMALL_FLEET, PARTS_AND_DAEMONS, RUN_DURATION },
    all_daemons_that_end = { SMALL_FLEET, PARTS_AND_RESTARTS, RUN_DURATION },
    many_calm = { LARGE_FLEET, HARMFUL_PART, SHORT_RUN_DURATION },
)]
fn harmful_part_is_stopped_and_requests_that_share_the_others_are_served(
    daemons: usize,
    faults: Faults,
    duration: Duration,
) {
    let mut violations = Vec::new();
    let mut totals = (0, 0, 0, 0);
    for seed in support::seeds("PARTS_SEEDS", if daemons == SMALL_FLEET { 6 } else { 1 }) {
        let outcome = CrashSimulation::new(seed, daemons, faults, DISTINCT_REQUESTS).run(duration);
        violations.extend(outcome.violations.iter().map(|v| format!("seed {seed}: {v}")));
        let min_accepted = MIN_ACCEPTED_SHARE * outcome.later_innocent as f64;
        let accepted = (outcome.later_innocent - outcome.later_rejected) as f64;
        if accepted < min_accepted {
            let (rejected, all) = (outcome.later_rejected, outcome.later_innocent);
            violations.push(format!("seed {seed}: {rejected} of {all} rejected once it is known"));
        }
        totals.0 += outcome.innocent;
        totals.1 += outcome.rejected;
        totals.2 += outcome.later_rejected;
        totals.3 = totals.3.max(outcome.sends_after_third_crash);
    }
    println!(
        "{} of {} innocent requests rejected, {} once it is known; {} sends after the conviction",
        totals.1, totals.0, totals.2, totals.3
    );
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}

// All daemons end every ten seconds and lose their records of recently answered requests. Then four
// poison requests crash every target while the same twenty innocent requests are in flight at most
// targets. Some of these are convicted, and rejected for seconds until a trial clears them.
#[test]
fn polls_are_served_after_all_daemons_have_ended() {
    let outcome = CrashSimulation::new(29, SMALL_FLEET, FLEET_RESTARTS, POLLS).run(RUN_DURATION);
    assert_eq!(outcome.rejected, 0, "innocent requests rejected, of {}", outcome.innocent);
}

#[parameterized(
    response_without_length = { SMALL_FLEET, RESPONSE_WITHOUT_LENGTH },
    callers_that_leave = { SMALL_FLEET, CALLERS_THAT_LEAVE },
    handovers = { SMALL_FLEET, HANDOVERS },
    silent_targets = { SMALL_FLEET, SILENT_TARGETS },
    two_versions = { SMALL_FLEET, TWO_VERSIONS },
    any = { SMALL_FLEET, ANY_ENDING },
    any_and_losses = { SMALL_FLEET, ANY_ENDING_AND_LOSS },
    any_and_daemons_that_fail = { SMALL_FLEET, ANY_ENDING_AND_DAEMONS },
    any_and_all_daemons_that_end = { SMALL_FLEET, ANY_ENDING_AND_RESTARTS },
    any_beside_a_harmful_part = { SMALL_FLEET, ANY_ENDING_AND_PARTS },
    kills_beside_leaving_callers = { SMALL_FLEET, KILLS_BESIDE_LEAVING_CALLERS },
    many_daemons = { LARGE_FLEET, ANY_ENDING },
    most_daemons = { LARGEST_FLEET, ANY_ENDING },
)]
fn poison_is_stopped_however_targets_end_under_it(daemons: usize, faults: Faults) {
    let (seeds, duration) =
        if daemons == SMALL_FLEET { (6, RUN_DURATION) } else { (1, SHORT_RUN_DURATION) };
    check_seeds_of("ENDINGS_SEEDS", seeds, daemons, faults, DISTINCT_REQUESTS, duration);
}
