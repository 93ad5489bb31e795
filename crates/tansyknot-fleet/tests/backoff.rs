//! Backoff of calls to a store that does not respond.

mod support;

use std::{sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use support::{
    Daemon, state,
    store::{FakeStore, StoreFault},
};
use tansyknot_core::clock::ManualClock;
use tansyknot_fleet::{backoff::Backoff, follow::ConfigFollower};

const MIN_DELAY: Duration = Duration::from_millis(250);
const MAX_DELAY: Duration = Duration::from_secs(1);

#[test]
fn delays_grow_to_the_maximum_and_restart_after_a_success() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(MIN_DELAY, MAX_DELAY);
    let bounds = [MIN_DELAY, MIN_DELAY * 2, MAX_DELAY, MAX_DELAY, MAX_DELAY];
    for bound in bounds {
        let delay = backoff.failed(&mut rng);
        assert!(
            delay <= bound && delay >= bound / 2,
            "a delay of {delay:?} for a bound of {bound:?}"
        );
    }
    backoff.succeeded();
    assert!(backoff.failed(&mut rng) <= MIN_DELAY);
}

#[test]
fn daemons_that_lost_the_store_together_retry_at_different_times() {
    let mut rng = StdRng::seed_from_u64(1);
    let first_delay = |rng: &mut StdRng| Backoff::new(MIN_DELAY, MAX_DELAY).failed(rng);
    let delays: Vec<Duration> = (0..20).map(|_| first_delay(&mut rng)).collect();
    let spread = delays
        .iter()
        .max()
        .expect("there are delays")
        .saturating_sub(*delays.iter().min().expect("there are delays"));
    assert!(spread > MIN_DELAY / 4, "{delays:?}");
}

#[test]
fn unavailable_store_is_called_less_and_less_often() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let daemon = Daemon::new("a", &store, &clock);
    daemon.store.set_fault(StoreFault::Busy);
    let mut calls = 0;
    let mut waited = Duration::ZERO;
    while waited < Duration::from_secs(10) {
        waited += daemon.keeper.step();
        calls += 1;
    }
    assert!(calls <= 18, "{calls} calls in 10 s");
    daemon.store.set_fault(StoreFault::None);
    daemon.maintain_lease();
    assert!(daemon.may_order(), "the store is used again with the first call that it answers");
}

#[test]
fn first_response_after_an_outage_wakes_the_other_calls() {
    let store = FakeStore::new();
    let client = store.client();
    let state = state(&ManualClock::new());
    let mut follower = ConfigFollower::new(Arc::clone(&state), Arc::new(client.clone()));
    follower.step();
    assert!(state.store_contacts().returned_at.is_none(), "the store has always responded");
    client.set_fault(StoreFault::Busy);
    follower.step();
    client.set_fault(StoreFault::None);
    let count_before = state.store_call_due.count();
    follower.step();
    assert!(state.store_contacts().returned_at.is_some());
    assert_ne!(state.store_call_due.count(), count_before);
}
