//! Following the planner's reading of the store over a network that loses datagrams.

mod support;

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use support::target;
use tansyknot_core::clock::Time;
use tansyknot_fleet::{
    news::{ChangeLog, Entry, Followed, ListChange, ListRead},
    peer::{self, Message},
    spans::Spans,
};
use yare::parameterized;

const BEAT: Duration = Duration::from_millis(300);
const PART: usize = 4;
/// A reading of this moment.
const FRESH: ListRead = ListRead { age: Duration::ZERO, version: 5 };

fn put(n: u64) -> ListChange {
    let mut t = target(&format!("t{}", n % 7), &["m0"], &[]);
    t.version = n;
    ListChange::Put(Entry::of(&t))
}

/// Returns how long a view of the list is fresh.
fn list_span() -> Duration {
    Spans::default().list
}

#[test]
fn follower_begins_with_a_call_of_its_own() {
    let mut log = ChangeLog::default();
    let mut f = Followed::default();
    let now = Time::from_millis(10_000);
    log.add(put(1), now);
    for part in log.news(0, FRESH, PART, now) {
        assert!(f.list(1, part, now).is_empty());
    }
    assert!(f.list_fresh_for(now).is_zero());
    let mark = f.before_call();
    f.after_call(mark);
    for part in log.news(0, FRESH, PART, now) {
        assert!(f.list(1, part, now).is_empty(), "the call has shown it already");
    }
    assert_eq!(f.list_fresh_for(now), list_span());
}

#[test]
fn new_planner_is_followed_from_a_new_call() {
    let mut log = ChangeLog::default();
    let mut f = Followed::default();
    let now = Time::from_millis(10_000);
    let news = log.news(0, FRESH, PART, now);
    f.list(1, news[0].clone(), now);
    let mark = f.before_call();
    f.list(2, news[0].clone(), now);
    f.after_call(mark);
    assert!(f.list_fresh_for(now).is_zero(), "the call began before this planner was known");
}

#[test]
fn old_view_of_the_planner_is_not_fresh() {
    let mut log = ChangeLog::default();
    let mut f = Followed::default();
    let now = Time::from_millis(10_000);
    let fresh = log.news(0, FRESH, PART, now);
    f.list(1, fresh[0].clone(), now);
    f.after_call(f.before_call());
    let stale = log.news(0, ListRead { age: list_span(), version: 5 }, PART, now);
    f.list(1, stale[0].clone(), now);
    assert!(f.list_fresh_for(now + list_span()).is_zero());
}

#[test]
fn change_that_is_late_causes_no_call_at_once() {
    let mut log = ChangeLog::default();
    let mut f = Followed::default();
    let now = Time::from_millis(10_000);
    f.list(1, log.news(0, FRESH, PART, now)[0].clone(), now);
    f.after_call(f.before_call());
    f.list(1, log.news(0, FRESH, PART, now)[0].clone(), now);
    for n in 1..=7 {
        log.add(put(n), now);
    }
    let parts = log.news(0, FRESH, 3, now);
    assert_eq!(parts.len(), 3);
    f.list(1, parts[0].clone(), now + BEAT);
    f.list(1, parts[2].clone(), now + BEAT);
    assert_eq!(f.list_fresh_for(now + BEAT), list_span() - BEAT);
    let again: usize = parts.into_iter().map(|p| f.list(1, p, now + BEAT * 2).len()).sum();
    assert_eq!(again, 4, "the first part was known");
    assert_eq!(f.list_fresh_for(now + BEAT * 2), list_span());
}

#[test]
fn only_what_has_not_been_told_is_told_between_beats() {
    let mut log = ChangeLog::default();
    let now = Time::from_millis(10_000);
    for n in 1..=6 {
        log.add(put(n), now);
    }
    let parts = log.news(5, FRESH, PART, now);
    assert_eq!((parts.len(), parts[0].from, parts[0].to), (1, 5, 6));
}

#[parameterized(
    calm = { 0.0 },
    lossy = { 0.03 },
    bad = { 0.3 },
    hopeless = { 0.9 },
)]
fn view_that_counts_as_fresh_is_what_the_planner_read(loss: f64) {
    let mut rng = StdRng::seed_from_u64(7);
    let (mut log, mut f) = (ChangeLog::default(), Followed::default());
    let (mut truth, mut view) = (BTreeMap::new(), BTreeMap::new());
    let mut calls = 0;
    let key = |c: &ListChange| match c {
        ListChange::Put(e) => (e.name.clone(), e.version),
        ListChange::Removed(name) => (name.clone(), 0),
    };
    for round in 1..3_000_u64 {
        let now = Time::from_millis(10_000 + round * 300);
        for n in 0..rng.random_range(0..6_u64) {
            // Targets change more than once within a round, too.
            let change = put(round * 10 + n * 3);
            truth.extend([key(&change)]);
            log.add(change, now);
        }
        if rng.random_bool(0.01) {
            log.skip();
        }
        for part in log.news(0, FRESH, PART, now) {
            if !rng.random_bool(loss) {
                view.extend(f.list(1, part, now).iter().map(key));
            }
        }
        if f.list_fresh_for(now) == list_span() {
            assert_eq!(view, truth, "round {round}");
        }
        if f.list_fresh_for(now) < BEAT {
            let mark = f.before_call();
            view.clone_from(&truth);
            f.after_call(mark);
            calls += 1;
        }
    }
    // Without loss only gaps in the numbers cause calls.
    assert!(loss > 0.0 || calls < 60, "{calls} calls");
}

#[test]
fn datagrams_of_other_formats_are_dropped() {
    let demand = Message::Demand {
        daemon: "d".into(),
        incarnation: "r".into(),
        models: Vec::new(),
        in_flight: Vec::new(),
    };
    let bytes = peer::encode(&demand).expect("it is short");
    assert_eq!(peer::decode(&bytes), Some(demand));
    assert_eq!(peer::decode(&[]), None);
    assert_eq!(peer::decode(&[0x11, 1, 2, 3]), None);
    assert_eq!(peer::decode(&bytes[..2]), None);
}
