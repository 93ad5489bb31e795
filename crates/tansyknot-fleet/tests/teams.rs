//! A key that was taken away is good nowhere, and a quota holds over all daemons, whatever happens to
//! them: runs drawn from seeds, in virtual time.

mod support;

use std::time::Duration;

use support::teams::{Acts, Faults, Outcome, TeamRun};
use yare::parameterized;

const FEW: usize = 9;
const MANY: usize = 71;
const MOST: usize = 295;
const SPAN: Duration = Duration::from_secs(40);
const SHORT_SPAN: Duration = Duration::from_secs(12);

const CALM: Faults =
    Faults { daemons: 0.0, planner: 0.0, herds: 0.0, store: 0.0, loss: 0.0, jitter: 2 };
const PLANNERS: Faults = Faults { planner: 0.15, ..CALM };
const DAEMONS: Faults = Faults { daemons: 0.5, planner: 0.1, loss: 0.05, jitter: 60, ..CALM };
const HERDS: Faults = Faults { herds: 0.08, ..DAEMONS };
const STORE: Faults = Faults { store: 0.08, ..DAEMONS };

const KEYS: Acts = Acts { keys: 0.5, quotas: 0.0, hot: None };
const QUOTAS: Acts = Acts { keys: 0.1, quotas: 0.1, hot: None };
const HOT: Acts = Acts { keys: 0.05, quotas: 0.0, hot: Some((0, 7.5)) };
const HOT_SMALL: Acts = Acts { hot: Some((3, 7.5)), ..HOT };

/// Refused for their quota, of those with room, on days without faults, at most.
const REFUSED_CALM: f64 = 1.0 / 200.0;
/// The same with one team at many times its usual.
const REFUSED_HOT: f64 = 3.0 / 100.0;

fn search(usual: u64, daemons: usize, faults: Faults, acts: Acts, span: Duration) -> Outcome {
    let mut all = Outcome::default();
    for seed in support::seeds("TEAMS_SEEDS", usual) {
        let outcome = TeamRun::new(seed, daemons, faults, acts).run(span);
        all.broken.extend(outcome.broken.iter().take(3).map(|what| format!("seed {seed}: {what}")));
        all.keyed += outcome.keyed;
        all.key_refused += outcome.key_refused;
        all.within += outcome.within;
        all.quota_refused += outcome.quota_refused;
        all.fullest = all.fullest.max(outcome.fullest);
    }
    println!(
        "{} of {} good keys refused; {} of {} within quotas refused; a window had {:.2}",
        all.key_refused, all.keyed, all.quota_refused, all.within, all.fullest
    );
    assert!(all.broken.is_empty(), "{}:\n{}", all.broken.len(), all.broken.join("\n"));
    all
}

#[parameterized(
    keys_calm = { CALM, KEYS },
    keys_planners = { PLANNERS, KEYS },
    keys_daemons = { DAEMONS, KEYS },
    keys_herds = { HERDS, KEYS },
    keys_store = { STORE, KEYS },
    quotas_calm = { CALM, QUOTAS },
    quotas_planners = { PLANNERS, QUOTAS },
    quotas_daemons = { DAEMONS, QUOTAS },
    quotas_herds = { HERDS, QUOTAS },
    quotas_store = { STORE, QUOTAS },
    hot_planners = { PLANNERS, HOT },
    hot_daemons = { DAEMONS, HOT },
    hot_herds = { HERDS, HOT },
    hot_small_planners = { PLANNERS, HOT_SMALL },
    hot_small_herds = { HERDS, HOT_SMALL },
)]
fn keys_and_quotas_hold_whatever_happens(faults: Faults, acts: Acts) {
    search(2, FEW, faults, acts, SPAN);
}

#[parameterized(
    many = { MANY, DAEMONS },
    most = { MOST, STORE },
)]
fn keys_and_quotas_hold_over_many_daemons(daemons: usize, faults: Faults) {
    search(1, daemons, faults, HOT, SHORT_SPAN);
}

#[parameterized(
    usual = { KEYS, REFUSED_CALM },
    hot = { HOT, REFUSED_HOT },
    hot_small = { HOT_SMALL, REFUSED_HOT },
)]
fn what_a_quota_has_room_for_is_taken_where_nothing_fails(acts: Acts, most: f64) {
    let outcome = search(2, MANY, CALM, acts, SHORT_SPAN);
    let share = outcome.quota_refused as f64 / outcome.within as f64;
    assert!(share <= most, "{share:.4} refused");
    assert_eq!(outcome.key_refused, 0, "of {}", outcome.keyed);
}

// A team sends 7.5 times its usual while one of 71 daemons fails each two seconds, and the planner each
// ten; a datagram in twenty is lost. The team had begun to ask everywhere at once just before the planner
// was lost: who is heard first was lent the whole quota, the next one half of it, and so on, 1.7 times the
// quota's rate together, and one window let through 3 in 100 more than it may.
#[test]
fn quota_holds_while_daemons_fail_and_a_team_is_hot() {
    let outcome = TeamRun::new(8, MANY, DAEMONS, HOT).run(SHORT_SPAN);
    assert!(outcome.fullest <= 1.0, "a window had {:.3} of what it may", outcome.fullest);
}
