//! Who may order when: renewals, take-overs, frozen holders and lost answers.

mod support;

use std::{sync::Arc, time::Duration};

use support::{
    Daemon,
    store::{FakeStore, StoreFault},
};
use tansyknot_core::{
    clock::{Clock, ManualClock, Time},
    name::TargetName,
};
use tansyknot_fleet::{lease, lease_keeper::Reluctance};
use yare::parameterized;

/// The platform's bound on turns of two holders, as both sites set it.
const TURN: Duration = Duration::from_millis(3000);

fn advance(clock: &ManualClock, ms: u64) {
    clock.advance(Duration::from_millis(ms));
}

/// Lets `daemons` do what is due for `ms`, in steps of 50 ms.
fn run(clock: &ManualClock, daemons: &[&Daemon], ms: u64) {
    for _ in 0..ms / 50 {
        advance(clock, 50);
        daemons.iter().for_each(|d| d.keep());
    }
}

/// Lets `d` alone do what is due until it may order; returns when that is.
fn until_it_may_order(clock: &ManualClock, d: &Daemon) -> Time {
    for _ in 0..200 {
        run(clock, &[d], 50);
        if may_order(d) {
            return clock.now();
        }
    }
    panic!("the lease is not taken over in 10 s");
}

fn may_order(d: &Daemon) -> bool {
    d.may_order()
}

#[test]
fn first_daemon_orders_at_once_and_the_others_do_not() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    a.keep();
    b.keep();
    assert!(may_order(&a));
    run(&clock, &[&a, &b], 20_000);
    assert!(may_order(&a) && !may_order(&b));
}

#[test]
fn dead_holder_is_replaced_and_its_successor_keeps_the_turn() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    let last = a.last_order_possible();
    let ordered = until_it_may_order(&clock, &b);
    assert!(ordered.since(last) >= TURN, "{:?}", ordered.since(last));
    assert!(ordered.since(last) < TURN + Duration::from_secs(1));
    assert!(b.lease.fence() > a.fence_seen());
}

#[test]
fn frozen_holder_that_wakes_sends_nothing() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    run(&clock, &[&b], 10_000);
    assert!(may_order(&b));
    assert!(!may_order(&a), "its renewal is old by its own clock");
    run(&clock, &[&a, &b], 2_000);
    assert!(may_order(&b) && !may_order(&a));
}

#[test]
fn no_two_daemons_may_order_at_once_whoever_is_cut_off() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let daemons: Vec<Daemon> =
        ["a", "b", "c"].iter().map(|n| Daemon::new(n, &store, &clock)).collect();
    let mut last: Option<(usize, tansyknot_core::clock::Time)> = None;
    for round in 0..4_000_u64 {
        advance(&clock, 50);
        for (n, d) in daemons.iter().enumerate() {
            // A different daemon is cut off, or loses answers, every few seconds.
            let fault = match (round / 130) % 7 {
                k if k as usize == n => StoreFault::Silent,
                k if k as usize == n + 3 => StoreFault::LosesAnswers,
                _ => StoreFault::None,
            };
            d.door.set(fault);
            d.keep();
        }
        let ordering: Vec<usize> = (0..3).filter(|n| may_order(&daemons[*n])).collect();
        assert!(ordering.len() <= 1, "at {round}: {ordering:?}");
        if let Some(n) = ordering.first() {
            if let Some((before, at)) = last
                && before != *n
            {
                assert!(clock.now().since(at) >= TURN, "turns in {:?}", clock.now().since(at));
            }
            last = Some((*n, clock.now()));
        }
    }
    assert!(last.is_some());
}

#[parameterized(
    silent = { StoreFault::Silent },
    refusing = { StoreFault::Busy },
    losing_answers = { StoreFault::LosesAnswers },
)]
fn holder_without_the_store_stops_ordering(fault: StoreFault) {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let a = Daemon::new("a", &store, &clock);
    run(&clock, &[&a], 1_000);
    a.door.set(fault);
    run(&clock, &[&a], 1_700);
    if fault == StoreFault::LosesAnswers {
        // A conflict shows its own row, which is as good as an answer.
        run(&clock, &[&a], 1_000);
        return;
    }
    assert!(!may_order(&a));
    a.door.set(StoreFault::None);
    run(&clock, &[&a], 1_000);
    assert!(may_order(&a), "nobody else took it meanwhile");
}

#[test]
fn new_run_on_the_same_host_orders_at_once() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let a = Daemon::new("a", &store, &clock);
    run(&clock, &[&a], 1_000);
    let again = Daemon::new("a", &store, &clock);
    again.keep();
    assert!(may_order(&again));
    assert!(again.lease.fence() > a.fence_seen());
}

#[test]
fn released_lease_is_taken_without_waiting_for_its_end() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 1_000);
    a.keeper.release();
    let released = clock.now();
    assert!(!may_order(&a));
    // The released daemon drains and takes nothing any more.
    let ordered = until_it_may_order(&clock, &b);
    let span = ordered.since(released);
    assert!(span >= TURN && span < TURN + lease::TAKEOVER_TIMEOUT, "{span:?}");
}

#[test]
fn target_that_nobody_ordered_need_not_wait_for_the_dead_holder() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    let died = clock.now();
    let other = TargetName::from("other");
    while b.keeper.add_target(&other).is_none() && clock.now().since(died) < Duration::from_secs(9)
    {
        run(&clock, &[&b], 50);
    }
    let span = clock.now().since(died);
    assert!(span < lease::TAKEOVER_TIMEOUT + Duration::from_millis(600), "{span:?}");
    assert!(!may_order(&b), "the dead holder may have ordered this one");
}

#[test]
fn span_of_the_first_holder_is_kept_over_two_take_overs() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    let c = Daemon::new("c", &store, &clock);
    run(&clock, &[&a, &b, &c], 2_000);
    let last = a.last_order_possible();
    while !b.lease.is_mine() {
        run(&clock, &[&b], 50);
    }
    b.keeper.release();
    let ordered = until_it_may_order(&clock, &c);
    let span = ordered.since(last);
    assert!(span >= TURN, "{span:?}");
}

#[test]
fn new_run_on_the_same_host_keeps_the_span_of_another_holder() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    let last = a.last_order_possible();
    while !b.lease.is_mine() {
        run(&clock, &[&b], 50);
    }
    let again = Daemon::new("b", &store, &clock);
    let ordered = until_it_may_order(&clock, &again);
    let span = ordered.since(last);
    assert!(span >= TURN, "{span:?}");
}

#[test]
fn orders_of_an_earlier_run_count_for_the_next_holder() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    let last = clock.now();
    let again = Daemon::new("a", &store, &clock);
    // The new run takes the lease and gives it up before it has ordered anything.
    again.keeper.step();
    again.keeper.release();
    let ordered = until_it_may_order(&clock, &b);
    let span = ordered.since(last);
    assert!(span >= TURN, "{span:?}");
}

#[test]
fn reluctant_daemon_plans_only_if_nobody_else_does() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let slow = Daemon::with("s", &store, &clock, Reluctance::Reluctant);
    run(&clock, &[&slow], 500);
    assert!(!slow.lease.is_mine());
    let fast = Daemon::new("f", &store, &clock);
    run(&clock, &[&slow, &fast], 2_000);
    assert!(fast.lease.is_mine() && !slow.lease.is_mine());
    run(&clock, &[&slow], 6_000);
    assert!(slow.lease.is_mine(), "the other one is dead");
}

#[test]
fn row_that_cannot_be_read_is_replaced() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    store.set_row(b"nonsense");
    let a = Daemon::new("a", &store, &clock);
    run(&clock, &[&a], 12_000);
    assert!(may_order(&a));
}

#[test]
fn holders_are_the_same_for_all() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 1_000);
    let planner = b.lease.planner().map(|(daemon, _)| daemon);
    assert_eq!(planner, Some(Arc::from("a")));
}
