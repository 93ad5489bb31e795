//! The retry budget's bound over sliding windows.

use std::time::Duration;

use tansyknot_core::clock::Time;
use tansyknot_fleet::budget::{Allotment, Budget, BudgetOptions};
use yare::parameterized;

const OPTIONS: BudgetOptions =
    BudgetOptions { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };

/// Returns the allotment of a daemon that has run for `uptime`, as one of `daemons`.
fn allotment(daemons: usize, uptime: Duration) -> Allotment {
    Allotment { daemons, uptime }
}

/// Takes all retries available at `at` to one of `daemons` that have run for a full window; returns
/// their number.
fn drain(budget: &mut Budget, at: Time, daemons: usize) -> usize {
    let allotment = allotment(daemons, OPTIONS.window);
    (0..1000).take_while(|_| budget.take_retry(at, allotment, &OPTIONS)).count()
}

#[parameterized(
    alone = { 1, 44 },
    six = { 6, 7 },
    seventy = { 70, 0 },
    unknown_number = { 0, 0 },
)]
fn daemons_share_the_slack(daemons: usize, expected: usize) {
    let mut budget = Budget::default();
    assert_eq!(drain(&mut budget, Time::from_millis(0), daemons), expected);
}

#[test]
fn new_daemon_has_the_share_of_the_ratio_that_settled_daemons_leave() {
    let mut budget = Budget::default();
    let now = Time::from_millis(0);
    let fresh = allotment(6, OPTIONS.window - Duration::from_millis(1));
    assert!(!budget.take_retry(now, fresh, &OPTIONS));
    (0..68).for_each(|_| budget.count_first_send(now, fresh, &OPTIONS));
    assert!(budget.take_retry(now, fresh, &OPTIONS) && budget.take_retry(now, fresh, &OPTIONS));
    assert!(!budget.take_retry(now, fresh, &OPTIONS));
}

#[test]
fn all_daemons_together_stay_within_the_bound_in_every_window() {
    const DAEMONS: usize = 6;
    let mut budgets = vec![Budget::default(); DAEMONS];
    let (mut first_sends, mut retry_times) = (Vec::new(), Vec::new());
    for ms in (0..60_000).step_by(20) {
        let now = Time::from_millis(ms);
        let budget = &mut budgets[(ms / 20) as usize % DAEMONS];
        budget.count_first_send(now, allotment(DAEMONS, OPTIONS.window), &OPTIONS);
        first_sends.push(now);
        while budget.take_retry(now, allotment(DAEMONS, OPTIONS.window), &OPTIONS) {
            retry_times.push(now);
        }
    }
    for end in (10_000..60_000).step_by(500) {
        let end = Time::from_millis(end);
        let within = |at: &&Time| **at <= end && end.since(**at) <= OPTIONS.window;
        let retries = retry_times.iter().filter(within).count() as f64;
        let requests = first_sends.iter().filter(within).count() as f64;
        assert!(retries <= requests * OPTIONS.ratio + OPTIONS.slack);
    }
}

#[test]
fn old_sends_leave_the_window() {
    let mut budget = Budget::default();
    assert_eq!(drain(&mut budget, Time::from_millis(0), 1), 44);
    assert_eq!(drain(&mut budget, Time::from_millis(9_000), 1), 0);
    assert_eq!(drain(&mut budget, Time::from_millis(10_001), 1), 44);
}
