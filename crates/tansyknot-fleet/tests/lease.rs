//! Which daemon may send orders: renewals, takeovers, frozen holders and lost responses.

mod support;

use std::{
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use support::{
    Daemon, catalog,
    store::{FakeStore, StoreFault},
    target,
};
use tansyknot_core::{
    clock::{Clock, ManualClock, Time},
    name::TargetName,
};
use tansyknot_fleet::{lease, lease_keeper::Reluctance};
use yare::parameterized;

/// The platform's lower bound on the time between the orders of two successive holders.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(3000);

fn advance(clock: &ManualClock, ms: u64) {
    clock.advance(Duration::from_millis(ms));
}

/// Lets `daemons` maintain the lease for `ms`, in steps of 50 ms.
fn run(clock: &ManualClock, daemons: &[&Daemon], ms: u64) {
    for _ in 0..ms / 50 {
        advance(clock, 50);
        daemons.iter().for_each(|d| d.maintain_lease());
    }
}

/// Lets only `d` maintain the lease until it may send orders; returns that time.
fn until_it_may_order(clock: &ManualClock, d: &Daemon) -> Time {
    for _ in 0..200 {
        run(clock, &[d], 50);
        if may_order(d) {
            return clock.now();
        }
    }
    panic!("the lease is not taken over within 10 s");
}

fn may_order(d: &Daemon) -> bool {
    d.may_order()
}

#[test]
fn first_daemon_orders_at_once_and_the_others_do_not() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    a.maintain_lease();
    b.maintain_lease();
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
    let last = a.last_order_time();
    let may_order_at = until_it_may_order(&clock, &b);
    assert!(may_order_at.since(last) >= HANDOVER_INTERVAL, "{:?}", may_order_at.since(last));
    assert!(may_order_at.since(last) < HANDOVER_INTERVAL + Duration::from_secs(1));
    assert!(b.lease.fence() > a.last_order_fence());
}

#[test]
fn frozen_holder_that_wakes_sends_nothing() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    run(&clock, &[&b], 10_000);
    assert!(may_order(&b));
    assert!(!may_order(&a), "its renewal is too old by its own clock");
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
            // Every few seconds, another daemon loses the store or the responses to its calls.
            let fault = match (round / 130) % 7 {
                k if k as usize == n => StoreFault::Unresponsive,
                k if k as usize == n + 3 => StoreFault::LosesResponses,
                _ => StoreFault::None,
            };
            d.store.set_fault(fault);
            d.maintain_lease();
        }
        let ordering: Vec<usize> = (0..3).filter(|n| may_order(&daemons[*n])).collect();
        assert!(ordering.len() <= 1, "several daemons may order in round {round}: {ordering:?}");
        if let Some(n) = ordering.first() {
            if let Some((before, at)) = last
                && before != *n
            {
                assert!(
                    clock.now().since(at) >= HANDOVER_INTERVAL,
                    "handover within {:?}",
                    clock.now().since(at)
                );
            }
            last = Some((*n, clock.now()));
        }
    }
    assert!(last.is_some());
}

#[parameterized(
    silent = { StoreFault::Unresponsive },
    refusing = { StoreFault::Busy },
    losing_answers = { StoreFault::LosesResponses },
)]
fn holder_without_the_store_stops_ordering(fault: StoreFault) {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let a = Daemon::new("a", &store, &clock);
    run(&clock, &[&a], 1_000);
    a.store.set_fault(fault);
    run(&clock, &[&a], 1_700);
    if fault == StoreFault::LosesResponses {
        // After a lost response, a conflict returns the daemon's own row, which confirms its write.
        run(&clock, &[&a], 1_000);
        return;
    }
    assert!(!may_order(&a));
    a.store.set_fault(StoreFault::None);
    run(&clock, &[&a], 1_000);
    assert!(may_order(&a), "no other daemon has taken the lease over");
}

#[test]
fn new_run_on_the_same_host_orders_at_once() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let a = Daemon::new("a", &store, &clock);
    run(&clock, &[&a], 1_000);
    let new_run = Daemon::new("a", &store, &clock);
    new_run.maintain_lease();
    assert!(may_order(&new_run));
    assert!(new_run.lease.fence() > a.last_order_fence());
}

#[test]
fn released_lease_is_taken_without_waiting_for_its_end() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 1_000);
    a.keeper.release();
    let released_at = clock.now();
    assert!(!may_order(&a));
    // The daemon that released the lease drains and does not take it again.
    let may_order_at = until_it_may_order(&clock, &b);
    let elapsed = may_order_at.since(released_at);
    assert!(
        elapsed >= HANDOVER_INTERVAL && elapsed < HANDOVER_INTERVAL + lease::TAKEOVER_TIMEOUT,
        "{elapsed:?}"
    );
}

#[test]
fn target_without_orders_need_not_wait_for_the_dead_holder() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    let died_at = clock.now();
    let other = TargetName::from("other");
    while b.keeper.add_target(&other).is_none()
        && clock.now().since(died_at) < Duration::from_secs(9)
    {
        run(&clock, &[&b], 50);
    }
    let elapsed = clock.now().since(died_at);
    assert!(elapsed < lease::TAKEOVER_TIMEOUT + Duration::from_millis(600), "{elapsed:?}");
    assert!(!may_order(&b), "the dead holder may have sent orders to this target");
}

#[test]
fn span_of_the_first_holder_is_kept_over_two_take_overs() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    let c = Daemon::new("c", &store, &clock);
    run(&clock, &[&a, &b, &c], 2_000);
    let last = a.last_order_time();
    while !b.lease.is_mine() {
        run(&clock, &[&b], 50);
    }
    b.keeper.release();
    let may_order_at = until_it_may_order(&clock, &c);
    let elapsed = may_order_at.since(last);
    assert!(elapsed >= HANDOVER_INTERVAL, "{elapsed:?}");
}

#[test]
fn new_run_on_the_same_host_keeps_the_handover_interval_of_another_holder() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    let last = a.last_order_time();
    while !b.lease.is_mine() {
        run(&clock, &[&b], 50);
    }
    let new_run = Daemon::new("b", &store, &clock);
    let may_order_at = until_it_may_order(&clock, &new_run);
    let elapsed = may_order_at.since(last);
    assert!(elapsed >= HANDOVER_INTERVAL, "{elapsed:?}");
}

#[test]
fn orders_of_an_earlier_run_count_for_the_next_holder() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    let last = clock.now();
    let new_run = Daemon::new("a", &store, &clock);
    // The new run takes the lease and releases it before it has sent an order.
    new_run.keeper.step();
    new_run.keeper.release();
    let may_order_at = until_it_may_order(&clock, &b);
    let elapsed = may_order_at.since(last);
    assert!(elapsed >= HANDOVER_INTERVAL, "{elapsed:?}");
}

#[test]
fn reluctant_daemon_plans_only_if_nobody_else_does() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let slow = Daemon::with_reluctance("s", &store, &clock, Reluctance::Reluctant);
    run(&clock, &[&slow], 500);
    assert!(!slow.lease.is_mine());
    let fast = Daemon::new("f", &store, &clock);
    run(&clock, &[&slow, &fast], 2_000);
    assert!(fast.lease.is_mine() && !slow.lease.is_mine());
    run(&clock, &[&slow], 6_000);
    assert!(slow.lease.is_mine(), "the other daemon has stopped");
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
fn other_daemons_know_the_name_of_the_holder() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 1_000);
    let planner = b.lease.planner().map(|(daemon, _)| daemon);
    assert_eq!(planner, Some(Arc::from("a")));
}

/// Lets `d` find that it reaches no engine, and that the daemon at `helper` does.
fn cut_off(d: &Daemon, helper: u8) {
    d.state.set_catalog(catalog());
    for name in ["t1", "t2", "t3"] {
        d.state.reachability().record_failed(&target(name, &[], &[]), 9, d.clock.now());
    }
    d.state.tunnel_peers().record_opened(([10, 0, 0, helper], 7000).into(), d.clock.now());
}

#[test]
fn planner_that_is_cut_off_from_all_engines_leaves_the_lease_to_another_daemon() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    assert!(may_order(&a));
    cut_off(&a, b'b');
    run(&clock, &[&a, &b], 900);
    assert!(may_order(&a), "the cut may end at once");
    // The tunnels of its callers' requests show that the other daemon reaches engines.
    let last = a.last_order_time();
    for _ in 0..10 {
        a.state.tunnel_peers().record_opened(([10, 0, 0, b'b'], 7000).into(), clock.now());
        run(&clock, &[&a, &b], 500);
        assert!(!may_order(&a) || !may_order(&b));
    }
    assert!(may_order(&b) && !may_order(&a));
    assert!(clock.now().since(last) >= HANDOVER_INTERVAL);
    a.state.reachability().record_connected(&target("t1", &[], &[]), clock.now());
    run(&clock, &[&a], 10_000);
    assert!(may_order(&a), "it may take the lease over again");
}

#[test]
fn planner_keeps_the_lease_while_no_other_daemon_is_known_to_reach_engines() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let (a, b) = (Daemon::new("a", &store, &clock), Daemon::new("b", &store, &clock));
    run(&clock, &[&a, &b], 2_000);
    cut_off(&a, b'b');
    advance(&clock, 2_500);
    run(&clock, &[&a, &b], 3_000);
    assert!(may_order(&a) && !may_order(&b));
}

// The planner asks for the lease while it holds the lock of the targets.
#[test]
fn renewal_does_not_hold_the_lease_while_it_waits_for_the_view_of_the_targets() {
    let (clock, store) = (ManualClock::default(), FakeStore::new());
    let daemon = Daemon::new("a", &store, &clock);
    run(&clock, &[&daemon], 100);
    let (state, keeper) = (Arc::clone(&daemon.state), Arc::clone(&daemon.keeper));
    let (tx, rx) = mpsc::channel();
    let fleet = state.fleet();
    let renewal = thread::spawn(move || keeper.step());
    // Long enough for the renewal to reach the lock.
    thread::sleep(Duration::from_millis(100));
    let (lease, now) = (Arc::clone(&daemon.lease), clock.now());
    thread::spawn(move || tx.send(lease.is_valid(now)));
    let is_valid = rx.recv_timeout(Duration::from_secs(20));
    drop(fleet);
    assert_eq!(is_valid, Ok(true), "the lease is locked");
    renewal.join().expect("the renewal ends");
}
