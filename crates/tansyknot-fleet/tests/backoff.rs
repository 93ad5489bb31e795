//! Pauses between calls to a store that does not answer.

mod support;

use std::{sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use support::{
    Daemon, state,
    store::{FakeStore, StoreFault},
};
use tansyknot_core::clock::ManualClock;
use tansyknot_fleet::{backoff::Backoff, follow::ConfigFollower};

const LEAST: Duration = Duration::from_millis(250);
const MOST: Duration = Duration::from_secs(1);

#[test]
fn pauses_grow_to_their_most_and_begin_anew_after_a_success() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut backoff = Backoff::new(LEAST, MOST);
    let bounds = [LEAST, LEAST * 2, MOST, MOST, MOST];
    for bound in bounds {
        let pause = backoff.failed(&mut rng);
        assert!(pause <= bound && pause >= bound / 2, "{pause:?} of {bound:?}");
    }
    backoff.succeeded();
    assert!(backoff.failed(&mut rng) <= LEAST);
}

#[test]
fn daemons_that_lost_the_store_together_ask_it_at_different_moments() {
    let mut rng = StdRng::seed_from_u64(1);
    let first = |rng: &mut StdRng| Backoff::new(LEAST, MOST).failed(rng);
    let pauses: Vec<Duration> = (0..20).map(|_| first(&mut rng)).collect();
    let span =
        pauses.iter().max().expect("some").saturating_sub(*pauses.iter().min().expect("some"));
    assert!(span > LEAST / 4, "{pauses:?}");
}

#[test]
fn store_that_is_away_is_asked_less_and_less() {
    let clock = ManualClock::new();
    let store = FakeStore::new();
    let daemon = Daemon::new("a", &store, &clock);
    daemon.door.set(StoreFault::Busy);
    let mut calls = 0;
    let mut waited = Duration::ZERO;
    while waited < Duration::from_secs(10) {
        waited += daemon.keeper.step();
        calls += 1;
    }
    assert!(calls <= 18, "{calls} calls in 10 s");
    daemon.door.set(StoreFault::None);
    daemon.keep();
    assert!(daemon.may_order(), "a store that is back is used at once");
}

#[test]
fn first_answer_of_a_store_that_was_away_wakes_the_other_calls() {
    let store = FakeStore::new();
    let door = store.door();
    let state = state(&ManualClock::new());
    let mut follower = ConfigFollower::new(Arc::clone(&state), Arc::new(door.clone()));
    follower.step();
    assert!(state.store_contacts().returned_at.is_none(), "it was never away");
    door.set(StoreFault::Busy);
    follower.step();
    door.set(StoreFault::None);
    let seen = state.store_call_due.count();
    follower.step();
    assert!(state.store_contacts().returned_at.is_some());
    assert_ne!(state.store_call_due.count(), seen);
}
