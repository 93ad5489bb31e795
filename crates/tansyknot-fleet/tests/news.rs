//! Following the planner's reading of the store over a network that loses datagrams.

mod support;

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use support::target;
use tansyknot_core::clock::Time;
use tansyknot_fleet::{
    news::{ChangeLog, Entry, Followed, ListChange, ListNews, ListRead},
    peer::{self, Demand, Extent, InFlight, Message, ModelUse, News, TargetLoad},
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

/// Returns the planner's news in parts of at most `most` changes, as datagrams have them.
fn parts(log: &mut ChangeLog, read: ListRead, most: usize, now: Time) -> Vec<ListNews> {
    let mut rest = log.news(0, read, now);
    let mut parts = Vec::new();
    while rest.changes.len() > most {
        let next = rest.split_off(most);
        parts.push(std::mem::replace(&mut rest, next));
    }
    parts.push(rest);
    parts
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
    for part in parts(&mut log, FRESH, PART, now) {
        assert!(f.list(1, part, now).is_empty());
    }
    assert!(f.list_fresh_for(now).is_zero());
    let mark = f.before_call();
    f.after_call(mark);
    for part in parts(&mut log, FRESH, PART, now) {
        assert!(f.list(1, part, now).is_empty(), "the call has shown it already");
    }
    assert_eq!(f.list_fresh_for(now), list_span());
}

#[test]
fn new_planner_is_followed_from_a_new_call() {
    let mut log = ChangeLog::default();
    let mut f = Followed::default();
    let now = Time::from_millis(10_000);
    let news = parts(&mut log, FRESH, PART, now);
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
    let fresh = parts(&mut log, FRESH, PART, now);
    f.list(1, fresh[0].clone(), now);
    f.after_call(f.before_call());
    let stale = parts(&mut log, ListRead { age: list_span(), version: 5 }, PART, now);
    f.list(1, stale[0].clone(), now);
    assert!(f.list_fresh_for(now + list_span()).is_zero());
}

#[test]
fn change_that_is_late_causes_no_call_at_once() {
    let mut log = ChangeLog::default();
    let mut f = Followed::default();
    let now = Time::from_millis(10_000);
    f.list(1, parts(&mut log, FRESH, PART, now)[0].clone(), now);
    f.after_call(f.before_call());
    f.list(1, parts(&mut log, FRESH, PART, now)[0].clone(), now);
    for n in 1..=7 {
        log.add(put(n), now);
    }
    let told = parts(&mut log, FRESH, 3, now);
    assert_eq!(told.len(), 3);
    f.list(1, told[0].clone(), now + BEAT);
    f.list(1, told[2].clone(), now + BEAT);
    assert_eq!(f.list_fresh_for(now + BEAT), list_span() - BEAT);
    let again: usize = told.into_iter().map(|p| f.list(1, p, now + BEAT * 2).len()).sum();
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
    let news = log.news(5, FRESH, now);
    assert_eq!((news.changes.len(), news.from, news.to), (1, 5, 6));
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
        for part in parts(&mut log, FRESH, PART, now) {
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

fn demand(models: usize, in_flight: usize) -> Demand {
    let name = |n: usize| format!("a-name-of-ordinary-length-{n}");
    let model = |n| ModelUse {
        service: "service".into(),
        model: name(n).as_str().into(),
        adapter: None,
        waiting: 1,
        arrived: 300,
    };
    let one = |n| InFlight { target: name(n).as_str().into(), model: None, count: 2 };
    Demand {
        daemon: "d".into(),
        incarnation: "r".into(),
        beat: 7,
        models: (0..models).map(model).collect(),
        in_flight: (0..in_flight).map(one).collect(),
    }
}

#[parameterized(
    nothing = { 0, 0 },
    short = { 3, 3 },
    many_models = { 200, 0 },
    many_targets = { 0, 300 },
    both = { 90, 120 },
)]
fn long_demand_comes_in_datagrams_that_make_the_whole(models: usize, in_flight: usize) {
    let whole = demand(models, in_flight);
    let parts = peer::datagrams(Message::Demand(whole.clone()));
    let mut got = demand(0, 0);
    for bytes in &parts {
        assert!(bytes.len() <= peer::MAX_BYTES);
        let Some(Message::Demand(part)) = peer::decode(bytes) else { panic!("it is no demand") };
        assert_eq!(part.beat, whole.beat);
        got.models.extend(part.models);
        got.in_flight.extend(part.in_flight);
    }
    assert_eq!(got, whole);
    assert!(parts.len() <= 1 + (models + in_flight) / 10, "{} datagrams", parts.len());
}

/// Returns news of as many targets with requests, one more at each.
fn news(targets: u16) -> News {
    let load = |n: u16| TargetLoad { target: format!("target-{n}").as_str().into(), requests: n };
    News {
        fence: 1,
        beat: 9,
        extent: Extent::All,
        lease_version: 1,
        lease_age_ms: 0,
        daemons: 1,
        config: 1,
        config_age_ms: 0,
        list: ListNews::default(),
        targets: Vec::new(),
        coming: Vec::new(),
        loads: (1..=targets).map(load).collect(),
    }
}

#[parameterized(
    a_site_of_today = { 7, 12, 12 },
    a_grown_site = { 69, 90, 90 },
    three_hundred_daemons = { 300, 3_000, 24 },
)]
fn fullest_targets_are_told_within_a_bound(peers: usize, targets: u16, told: usize) {
    let mut news = news(targets);
    news.trim(peers);
    assert_eq!(news.loads.len(), told);
    assert_eq!(news.loads[0].requests, targets, "the fullest is among them");
}

#[test]
fn long_news_come_in_datagrams_that_are_followed_to_the_end() {
    let mut log = ChangeLog::default();
    let mut f = Followed::default();
    let now = Time::from_millis(10_000);
    f.list(1, log.news(0, FRESH, now), now);
    f.after_call(f.before_call());
    for n in 1..=200 {
        let mut t = target(&format!("target-{n}"), &["m0"], &[]);
        t.version = n;
        log.add(ListChange::Put(Entry::of(&t)), now);
    }
    let news = News { list: log.news(0, FRESH, now), ..news(200) };
    let (mut changes, mut loads) = (0, 0);
    for bytes in peer::datagrams(Message::News(news)) {
        assert!(bytes.len() <= peer::MAX_BYTES);
        let Some(Message::News(part)) = peer::decode(&bytes) else { panic!("it is no news") };
        loads += part.loads.len();
        changes += f.list(part.fence, part.list, now).len();
    }
    assert_eq!((changes, loads), (200, 200));
    assert_eq!(f.list_fresh_for(now), list_span());
}

#[test]
fn datagrams_of_other_formats_are_dropped() {
    let demand = Message::Demand(demand(0, 0));
    let bytes = peer::encode(&demand).expect("it is short");
    assert_eq!(peer::decode(&bytes), Some(demand));
    assert_eq!(peer::decode(&[]), None);
    assert_eq!(peer::decode(&[0x11, 1, 2, 3]), None);
    assert_eq!(peer::decode(&bytes[..2]), None);
}
