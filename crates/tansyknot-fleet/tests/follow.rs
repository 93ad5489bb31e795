//! Following the list and the configuration by calls to the store and by the planner's updates.

mod support;

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use support::{
    state,
    store::{FakeStore, StoreClient, StoreFault},
    target,
};
use tansyknot_core::{
    clock::{ManualClock, Time},
    name::TargetName,
};
use tansyknot_fleet::{
    dissemination::{
        changes::{ChangeLog, ListRead},
        planner_view::PlannerView,
    },
    follow::{ConfigFollower, TargetFollower},
    platform_api::{TargetChange, TargetListUpdate},
    state::State,
    target::Removal,
};

/// An outage of the store during which entries may expire: three heartbeats.
const OUTAGE: Duration = Duration::from_millis(3600);

/// A follower of the list, with its store, clock and state.
struct Rig {
    store: FakeStore,
    client: StoreClient,
    clock: ManualClock,
    state: Arc<State>,
    follower: TargetFollower,
}

fn rig() -> Rig {
    let store = FakeStore::new();
    let client = store.client();
    let clock = ManualClock::new();
    let state = state(&clock);
    let has_read = Arc::new(AtomicBool::new(false));
    let follower = TargetFollower::new(Arc::clone(&state), Arc::new(client.clone()), has_read);
    Rig { store, client, clock, state, follower }
}

#[test]
fn list_is_read_at_once_when_the_store_has_forgotten() {
    let Rig { store, client, state, mut follower, .. } = rig();
    store.set_list(vec![target("t1", &[], &[])]);
    assert!(follower.step());
    store.set_list(vec![target("t2", &[], &[])]);
    store.push_update(TargetListUpdate::HistoryLost);
    assert!(follower.step());
    assert!(state.fleet().target(&TargetName::from("t2")).is_some());
    assert!(state.fleet().target(&TargetName::from("t1")).is_none());
    assert_eq!(client.list_calls(), 3);
}

#[test]
fn reading_that_fails_is_given_more_time_and_the_first_is_short() {
    let Rig { client, mut follower, .. } = rig();
    client.set_fault(StoreFault::Unresponsive);
    for _ in 0..4 {
        assert!(!follower.step());
    }
    let timeouts = client.read_timeouts();
    assert!(
        timeouts[0] <= Duration::from_millis(500),
        "a starting daemon soon notices that the store is back"
    );
    assert!(timeouts.windows(2).all(|w| w[0] < w[1]));
    assert!(
        timeouts[3] >= Duration::from_secs(2),
        "a long list has time to arrive over a busy link"
    );
}

#[test]
fn call_goes_on_from_what_the_planner_has_told() {
    let Rig { client, state, mut follower, .. } = rig();
    assert!(follower.step());
    let now = state.now();
    let read = ListRead { age: Duration::ZERO, version: 77 };
    let update = ChangeLog::default().changes_after(0, read, now);
    for _ in 0..2 {
        state.planner_view().apply_list_update(1, update.clone(), now);
        let mark = state.planner_view().call_mark();
        state.planner_view().record_call(mark, 0);
    }
    assert!(follower.step());
    assert_eq!(client.last_requested_version(), 77);
}

// Updates publish the age of the planner's view of the configuration to all daemons, so a response
// that took long to arrive must not count as fresh.
#[test]
fn view_of_the_configuration_is_as_old_as_the_answer_that_shows_it() {
    let Rig { client, clock, state, .. } = rig();
    let mut follower = ConfigFollower::new(Arc::clone(&state), Arc::new(client.clone()));
    follower.step();
    let transit_time = Duration::from_millis(500);
    client.delay_long_polls(&clock, transit_time);
    follower.step();
    let as_of = state.store_contacts().config.expect("the store has responded");
    assert!(state.now().since(as_of) >= transit_time);
}

#[test]
fn view_is_retained_while_the_store_is_unavailable() {
    let Rig { store, client, clock, state, mut follower } = rig();
    store.set_list(vec![target("t1", &[], &[])]);
    assert!(follower.step());
    clock.advance(OUTAGE);
    client.set_fault(StoreFault::Unresponsive);
    assert!(!follower.step());
    assert!(state.fleet().target(&TargetName::from("t1")).is_some());
    client.set_fault(StoreFault::None);
    let removal = TargetChange::Removed(Removal { name: TargetName::from("t1"), version: 9 });
    store.push_update(TargetListUpdate::Changes { changes: vec![removal], version: 9 });
    assert!(follower.step());
    assert!(
        state.fleet().target(&TargetName::from("t1")).is_some(),
        "it may have expired during the outage"
    );
}

#[test]
fn entry_that_goes_after_a_call_that_failed_is_gone_if_news_kept_the_view_fresh() {
    let Rig { store, client, clock, state, mut follower } = rig();
    store.set_list(vec![target("t1", &[], &[])]);
    assert!(follower.step());
    client.set_fault(StoreFault::Unresponsive);
    assert!(!follower.step(), "only this daemon lost the store");
    client.set_fault(StoreFault::None);
    let mut log = ChangeLog::default();
    for _ in 0..20 {
        clock.advance(Duration::from_millis(500));
        let update =
            log.changes_after(0, ListRead { age: Duration::ZERO, version: 1 }, state.now());
        state.planner_view().apply_list_update(1, update, state.now());
        let mark = state.planner_view().call_mark();
        state.planner_view().record_call(mark, 0);
    }
    clock.advance(Duration::from_millis(1900));
    let removal = TargetChange::Removed(Removal { name: TargetName::from("t1"), version: 9 });
    store.push_update(TargetListUpdate::Changes { changes: vec![removal], version: 9 });
    assert!(follower.step());
    assert!(state.fleet().target(&TargetName::from("t1")).is_none());
}

#[test]
fn calls_go_on_from_what_was_known_when_the_planner_changes() {
    let mut view = PlannerView::default();
    let now = Time::from_millis(10_000);
    let mut log = ChangeLog::default();
    for _ in 0..2 {
        view.apply_list_update(
            1,
            log.changes_after(0, ListRead { age: Duration::ZERO, version: 77 }, now),
            now,
        );
        let mark = view.call_mark();
        view.record_call(mark, 0);
    }
    assert_eq!(view.list_version(), 77);
    view.apply_list_update(
        2,
        log.changes_after(0, ListRead { age: Duration::ZERO, version: 0 }, now),
        now,
    );
    assert_eq!(view.list_version(), 77);
}
