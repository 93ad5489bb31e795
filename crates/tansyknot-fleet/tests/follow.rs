//! Following the list by calls and by the planner's news.

mod support;

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use support::{
    state,
    store::{Door, FakeStore, StoreFault},
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

/// An outage of the store in which entries may lapse: three heartbeats.
const OUTAGE: Duration = Duration::from_millis(3600);

/// A follower of a store's list, and what it shares.
struct Rig {
    store: FakeStore,
    door: Door,
    clock: ManualClock,
    state: Arc<State>,
    follower: TargetFollower,
}

fn rig() -> Rig {
    let store = FakeStore::new();
    let door = store.door();
    let clock = ManualClock::new();
    let state = state(&clock);
    let known = Arc::new(AtomicBool::new(false));
    let follower = TargetFollower::new(Arc::clone(&state), Arc::new(door.clone()), known);
    Rig { store, door, clock, state, follower }
}

#[test]
fn list_is_read_at_once_when_the_store_has_forgotten() {
    let Rig { store, door, state, mut follower, .. } = rig();
    store.set_list(vec![target("t1", &[], &[])]);
    assert!(follower.step());
    store.set_list(vec![target("t2", &[], &[])]);
    store.push_news(TargetListUpdate::HistoryLost);
    assert!(follower.step());
    assert!(state.fleet().target(&TargetName::from("t2")).is_some());
    assert!(state.fleet().target(&TargetName::from("t1")).is_none());
    assert_eq!(door.list_calls(), 3);
}

#[test]
fn reading_that_fails_is_given_more_time_and_the_first_is_short() {
    let Rig { door, mut follower, .. } = rig();
    door.set(StoreFault::Silent);
    for _ in 0..4 {
        assert!(!follower.step());
    }
    let within = door.read_within();
    assert!(within[0] <= Duration::from_millis(500), "a start notices the store's return soon");
    assert!(within.windows(2).all(|w| w[0] < w[1]));
    assert!(within[3] >= Duration::from_secs(2), "a long list over a busy link arrives");
}

#[test]
fn call_goes_on_from_what_the_planner_has_told() {
    let Rig { door, state, mut follower, .. } = rig();
    assert!(follower.step());
    let now = state.now();
    let read = ListRead { age: Duration::ZERO, version: 77 };
    let news = ChangeLog::default().changes_after(0, read, now);
    for _ in 0..2 {
        state.planner_view().apply_list_update(1, news.clone(), now);
        let mark = state.planner_view().call_mark();
        state.planner_view().record_call(mark, 0);
    }
    assert!(follower.step());
    assert_eq!(door.followed_from(), 77);
}

// News say to all daemons how old the planner's view of the configuration is: an answer that was long
// on its way must not count as young.
#[test]
fn view_of_the_configuration_is_as_old_as_the_answer_that_shows_it() {
    let Rig { door, clock, state, .. } = rig();
    let mut follower = ConfigFollower::new(Arc::clone(&state), Arc::new(door.clone()));
    follower.step();
    let on_its_way = Duration::from_millis(500);
    door.delay(&clock, on_its_way);
    follower.step();
    let shown_at = state.store_contacts().config.expect("the store has answered");
    assert!(state.now().since(shown_at) >= on_its_way);
}

#[test]
fn store_that_is_away_leaves_the_view() {
    let Rig { store, door, clock, state, mut follower } = rig();
    store.set_list(vec![target("t1", &[], &[])]);
    assert!(follower.step());
    clock.advance(OUTAGE);
    door.set(StoreFault::Silent);
    assert!(!follower.step());
    assert!(state.fleet().target(&TargetName::from("t1")).is_some());
    door.set(StoreFault::None);
    let gone = TargetChange::Removed(Removal { name: TargetName::from("t1"), version: 9 });
    store.push_news(TargetListUpdate::Changes { changes: vec![gone], version: 9 });
    assert!(follower.step());
    assert!(
        state.fleet().target(&TargetName::from("t1")).is_some(),
        "it may have lapsed while the store was away"
    );
}

#[test]
fn entry_that_goes_after_a_call_that_failed_is_gone_if_news_kept_the_view_fresh() {
    let Rig { store, door, clock, state, mut follower } = rig();
    store.set_list(vec![target("t1", &[], &[])]);
    assert!(follower.step());
    door.set(StoreFault::Silent);
    assert!(!follower.step(), "this daemon alone lost the store");
    door.set(StoreFault::None);
    let mut log = ChangeLog::default();
    for _ in 0..20 {
        clock.advance(Duration::from_millis(500));
        let news = log.changes_after(0, ListRead { age: Duration::ZERO, version: 1 }, state.now());
        state.planner_view().apply_list_update(1, news, state.now());
        let mark = state.planner_view().call_mark();
        state.planner_view().record_call(mark, 0);
    }
    clock.advance(Duration::from_millis(1900));
    let gone = TargetChange::Removed(Removal { name: TargetName::from("t1"), version: 9 });
    store.push_news(TargetListUpdate::Changes { changes: vec![gone], version: 9 });
    assert!(follower.step());
    assert!(state.fleet().target(&TargetName::from("t1")).is_none());
}

#[test]
fn calls_go_on_from_what_was_known_when_the_planner_changes() {
    let mut followed = PlannerView::default();
    let now = Time::from_millis(10_000);
    let mut log = ChangeLog::default();
    for _ in 0..2 {
        followed.apply_list_update(
            1,
            log.changes_after(0, ListRead { age: Duration::ZERO, version: 77 }, now),
            now,
        );
        let mark = followed.call_mark();
        followed.record_call(mark, 0);
    }
    assert_eq!(followed.list_version(), 77);
    followed.apply_list_update(
        2,
        log.changes_after(0, ListRead { age: Duration::ZERO, version: 0 }, now),
        now,
    );
    assert_eq!(followed.list_version(), 77);
}
