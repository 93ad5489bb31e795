//! Tests how a daemon follows the planner's copy of the target list over a network that loses
//! datagrams.

mod support;

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use support::target;
use tansyknot_core::clock::Time;
use tansyknot_fleet::{
    bounds::Bounds,
    dissemination::{
        changes::{Change, ChangeLog, Entry, ListRead, ListUpdate},
        datagram,
        message::{
            Demand, DemandKey, Extent, InFlight, Message, ModelUse, PlannerUpdate, TargetLoad,
        },
        planner_view::{PlannerView, ReceivedState},
    },
    freshness::FreshnessLimits,
    target::Removal,
};
use yare::parameterized;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const CHANGES_PER_PART: usize = 4;
/// A list read of age zero.
const FRESH: ListRead = ListRead { age: Duration::ZERO, version: 5 };

fn put(n: u64) -> Change {
    let mut t = target(&format!("t{}", n % 7), &["m0"], &[]);
    t.version = n;
    Change::Put(Entry::from_target(&t))
}

/// Returns the planner's list update in parts of at most `max_changes` changes, as datagrams carry
/// them.
fn parts(log: &mut ChangeLog, read: ListRead, max_changes: usize, now: Time) -> Vec<ListUpdate> {
    let mut rest = log.changes_after(0, read, now);
    let mut parts = Vec::new();
    while rest.changes.len() > max_changes {
        let next = rest.split_off(max_changes);
        parts.push(std::mem::replace(&mut rest, next));
    }
    parts.push(rest);
    parts
}

/// Returns how long a view of the list counts as fresh.
fn max_list_age() -> Duration {
    FreshnessLimits::default().max_list_age
}

#[test]
fn follower_is_not_fresh_before_its_own_store_call() {
    let mut log = ChangeLog::default();
    let mut f = PlannerView::default();
    let now = Time::from_millis(10_000);
    log.add(put(1), 1, now);
    for part in parts(&mut log, FRESH, CHANGES_PER_PART, now) {
        assert!(f.apply_list_update(1, part, now).is_empty());
    }
    assert!(f.list_fresh_for(now).is_zero());
    let mark = f.call_mark();
    f.record_call(mark, 0);
    for part in parts(&mut log, FRESH, CHANGES_PER_PART, now) {
        assert!(f.apply_list_update(1, part, now).is_empty(), "the store call covered this change");
    }
    assert_eq!(f.list_fresh_for(now), max_list_age());
}

#[test]
fn new_planner_is_followed_only_after_a_new_store_call() {
    let mut log = ChangeLog::default();
    let mut f = PlannerView::default();
    let now = Time::from_millis(10_000);
    let updates = parts(&mut log, FRESH, CHANGES_PER_PART, now);
    f.apply_list_update(1, updates[0].clone(), now);
    let mark = f.call_mark();
    f.apply_list_update(2, updates[0].clone(), now);
    f.record_call(mark, 0);
    assert!(
        f.list_fresh_for(now).is_zero(),
        "the store call began before the new planner's first update"
    );
}

#[test]
fn old_view_of_the_planner_is_not_fresh() {
    let mut log = ChangeLog::default();
    let mut f = PlannerView::default();
    let now = Time::from_millis(10_000);
    let fresh = parts(&mut log, FRESH, CHANGES_PER_PART, now);
    f.apply_list_update(1, fresh[0].clone(), now);
    let mark = f.call_mark();
    f.record_call(mark, 0);
    let stale =
        parts(&mut log, ListRead { age: max_list_age(), version: 5 }, CHANGES_PER_PART, now);
    f.apply_list_update(1, stale[0].clone(), now);
    assert!(f.list_fresh_for(now + max_list_age()).is_zero());
}

#[test]
fn late_change_causes_no_immediate_store_call() {
    let mut log = ChangeLog::default();
    let mut f = PlannerView::default();
    let now = Time::from_millis(10_000);
    f.apply_list_update(1, parts(&mut log, FRESH, CHANGES_PER_PART, now)[0].clone(), now);
    let mark = f.call_mark();
    f.record_call(mark, 0);
    f.apply_list_update(1, parts(&mut log, FRESH, CHANGES_PER_PART, now)[0].clone(), now);
    for n in 1..=7 {
        log.add(put(n), n, now);
    }
    let sent = parts(&mut log, FRESH, 3, now);
    assert_eq!(sent.len(), 3);
    let first = f.apply_list_update(1, sent[0].clone(), now + HEARTBEAT_INTERVAL).len();
    let third = f.apply_list_update(1, sent[2].clone(), now + HEARTBEAT_INTERVAL).len();
    assert_eq!((first, third), (3, 1), "received changes apply at once");
    assert_eq!(f.list_fresh_for(now + HEARTBEAT_INTERVAL), max_list_age() - HEARTBEAT_INTERVAL);
    let applied: usize = sent
        .into_iter()
        .map(|p| f.apply_list_update(1, p, now + HEARTBEAT_INTERVAL * 2).len())
        .sum();
    assert_eq!(applied, 3, "the other parts were applied before");
    assert_eq!(f.list_fresh_for(now + HEARTBEAT_INTERVAL * 2), max_list_age());
}

#[test]
fn only_unsent_changes_are_sent_between_heartbeats() {
    let mut log = ChangeLog::default();
    let now = Time::from_millis(10_000);
    for n in 1..=6 {
        log.add(put(n), n, now);
    }
    let update = log.changes_after(5, FRESH, now);
    assert_eq!((update.changes.len(), update.from, update.to), (1, 5, 6));
}

/// A planner's fencing token, its change log and the number of the last change that it sent.
struct Planner {
    fence: u64,
    log: ChangeLog,
    last_sent: u64,
}

impl Planner {
    /// Creates a planner that has read the list as of `version`.
    fn new(fence: u64, version: u64) -> Self {
        let mut log = ChangeLog::default();
        log.skip(version);
        let last_sent = log.last_number();
        Self { fence, log, last_sent }
    }

    /// Returns the changes that the planner sends to a daemon with the received state `known`.
    fn repair(&mut self, known: ReceivedState, read: ListRead, now: Time) -> ListUpdate {
        let number = known.number.filter(|_| known.fence == self.fence);
        let after = number.or_else(|| self.log.number_at_version(known.version));
        let to = number.and(known.missing_to).unwrap_or(self.log.last_number());
        self.log.changes_between(after.unwrap_or(self.log.last_number()), to, read, now)
    }
}

#[parameterized(
    no_faults = { 0.0, 0.0 },
    lossy = { 0.03, 0.0 },
    heavy_loss = { 0.3, 0.02 },
    nearly_all_lost = { 0.9, 0.02 },
    planners_change = { 0.0, 0.05 },
)]
fn view_that_counts_as_fresh_is_what_the_planner_read(loss: f64, planner_change_probability: f64) {
    let mut rng = StdRng::seed_from_u64(7);
    // The next planner has received the same changes as the current one.
    let (mut planner, mut next) = (Planner::new(1, 1), Planner::new(2, 1));
    let mut f = PlannerView::default();
    let (mut truth, mut view) = (BTreeMap::new(), BTreeMap::new());
    let (mut calls, mut planner_changes) = (0, 0);
    let key = |c: &Change| match c {
        Change::Put(e) => (e.name.clone(), e.version),
        Change::Models(e) => (e.name.clone(), e.version),
        Change::Removed(removal) => (removal.name.clone(), 0),
        Change::Override(update) => panic!("unexpected override: {update:?}"),
        Change::FullRead(read) => panic!("unexpected full read: {read:?}"),
    };
    let mark = f.call_mark();
    f.record_call(mark, 1);
    for round in 1..3_000_u64 {
        let now = Time::from_millis(10_000 + round * 300);
        let version = round * 100;
        for n in 0..rng.random_range(0..6_u64) {
            // A target may change more than once in a round.
            let change = put(round * 10 + n * 3);
            truth.extend([key(&change)]);
            planner.log.add(change.clone(), version, now);
            next.log.add(change, version, now);
        }
        if rng.random_bool(planner_change_probability) {
            let fence = next.fence + 1;
            planner = std::mem::replace(&mut next, Planner::new(fence, version));
            planner.last_sent = planner.log.last_number();
            planner_changes += 1;
        }
        let read = ListRead { age: Duration::ZERO, version };
        let last_sent = std::mem::replace(&mut planner.last_sent, planner.log.last_number());
        let mut unsent = vec![planner.log.changes_after(last_sent, read, now)];
        while let Some(mut part) = unsent.pop() {
            while part.changes.len() > 2 {
                unsent.push(part.split_off(2));
            }
            if !rng.random_bool(loss) {
                view.extend(f.apply_list_update(planner.fence, part, now).iter().map(key));
            }
        }
        let known = f.received_state(now);
        if known.missing_to.is_some() && !rng.random_bool(loss) {
            let repair = planner.repair(known, read, now);
            if !rng.random_bool(loss) {
                view.extend(f.apply_list_update(planner.fence, repair, now).iter().map(key));
            }
        }
        if f.list_fresh_for(now) == max_list_age() {
            assert_eq!(view, truth, "round {round}");
        }
        if f.list_fresh_for(now) < HEARTBEAT_INTERVAL {
            let mark = f.call_mark();
            view.clone_from(&truth);
            f.record_call(mark, version);
            calls += 1;
        }
    }
    // Without loss the follower needs no store call, not even when the planner changes.
    assert!(loss > 0.0 || calls <= 1, "{calls} store calls, {planner_changes} planner changes");
    assert!(loss > 0.03 || calls < 30, "{calls} store calls");
}

fn demand(models: usize, in_flight: usize) -> Demand {
    let name = |n: usize| format!("a-name-of-ordinary-length-{n}");
    let model = |n| ModelUse {
        key: DemandKey {
            service: "service".into(),
            model: name(n).as_str().into(),
            adapter: None,
            bounds: Bounds::default(),
        },
        waiting: 1,
        arrived: 300,
    };
    let one = |n| InFlight { target: name(n).as_str().into(), model: None, count: 2, tokens: 0 };
    Demand {
        daemon: "d".into(),
        incarnation: "r".into(),
        seq: 7,
        zone: "z1".into(),
        link_mbps: None,
        received: ReceivedState::default(),
        models: (0..models).map(model).collect(),
        in_flight: (0..in_flight).map(one).collect(),
        poison: Default::default(),
        crashes: Vec::new(),
        signals: Vec::new(),
        scheduling: Default::default(),
        promise: None,
        is_retired: false,
        software: Default::default(),
    }
}

#[parameterized(
    nothing = { 0, 0 },
    short = { 3, 3 },
    many_models = { 200, 0 },
    many_targets = { 0, 300 },
    both = { 90, 120 },
)]
fn long_demand_is_split_into_datagrams_that_add_up_to_it(models: usize, in_flight: usize) {
    let full = demand(models, in_flight);
    let parts = datagram::datagrams(Message::Demand(full.clone()));
    let mut received = demand(0, 0);
    for bytes in &parts {
        assert!(bytes.len() <= datagram::MAX_BYTES);
        let Some(Message::Demand(part)) = datagram::decode(bytes) else {
            panic!("not a demand message")
        };
        assert_eq!(part.seq, full.seq);
        received.models.extend(part.models);
        received.in_flight.extend(part.in_flight);
    }
    assert_eq!(received, full);
    assert!(parts.len() <= 1 + (models + in_flight) / 10, "{} datagrams", parts.len());
}

/// Returns an update with the loads of `targets` targets, of which target `n` has `n` requests.
fn update_with_loads(targets: u16) -> PlannerUpdate {
    let load = |n: u16| TargetLoad {
        target: format!("target-{n}").as_str().into(),
        requests: n,
        tokens: 0,
    };
    PlannerUpdate {
        fence: 1,
        planner: "p".into(),
        address: ([10, 0, 0, 1], 7000).into(),
        seq: 9,
        extent: Extent::Full,
        lease_version: 1,
        lease_age_ms: 0,
        stamp_us: None,
        daemons: 1,
        config: 1,
        poison: Default::default(),
        config_age_ms: 0,
        drained_zones: Default::default(),
        list: ListUpdate::default(),
        peers: Vec::new(),
        pending_loads: Vec::new(),
        loads: (1..=targets).map(load).collect(),
        signals: Vec::new(),
        scheduling: Default::default(),
    }
}

#[parameterized(
    small_site = { 12, 12 },
    large_site = { 90, 90 },
    three_thousand_targets = { 3_000, 260 },
)]
fn sent_loads_are_limited_to_the_fullest_targets(targets: u16, sent: usize) {
    let mut update = update_with_loads(targets);
    update.trim();
    assert_eq!(update.loads.len(), sent);
    assert_eq!(update.loads[0].requests, targets, "the fullest target is included");
}

#[test]
fn follower_does_not_join_in_the_middle_of_an_update() {
    let mut log = ChangeLog::default();
    log.skip(10);
    let now = Time::from_millis(10_000);
    for n in 11..=14 {
        log.add(put(n), n, now);
    }
    let mut first = log.changes_after(1, ListRead { age: Duration::ZERO, version: 14 }, now);
    let second = first.split_off(2);
    let mut f = PlannerView::default();
    let mark = f.call_mark();
    f.record_call(mark, 10);
    assert!(f.apply_list_update(1, second.clone(), now).is_empty());
    assert!(f.has_gap());
    assert_eq!(f.apply_list_update(1, first, now).len(), 2);
    assert_eq!(f.apply_list_update(1, second, now).len(), 2);
    assert!(!f.has_gap());
}

#[test]
fn daemon_with_an_older_list_than_the_planners_first_does_not_join() {
    let mut log = ChangeLog::default();
    log.skip(10);
    let now = Time::from_millis(10_000);
    assert_eq!(log.number_at_version(9), None);
    let mut f = PlannerView::default();
    let mark = f.call_mark();
    f.record_call(mark, 9);
    f.apply_list_update(
        1,
        log.changes_after(0, ListRead { age: Duration::ZERO, version: 12 }, now),
        now,
    );
    assert!(f.has_gap());
    assert_eq!(f.list_version(), 9);
}

#[test]
fn model_change_is_sent_as_full_entry_to_a_daemon_without_the_entry() {
    let mut log = ChangeLog::default();
    let now = Time::from_millis(10_000);
    let entry = Entry::from_target(&target("t1", &["m0"], &[]));
    let mut newer = target("t1", &["m1"], &[]);
    newer.version = 2;
    log.add(Change::Put(entry), 1, now);
    log.add(Entry::from_target(&newer).into_models_change(), 2, now);
    let update = log.changes_after(0, FRESH, now);
    assert_eq!(update.changes, vec![(2, Change::Put(Entry::from_target(&newer)))]);
}

#[test]
fn long_update_is_applied_from_all_its_datagrams() {
    let mut log = ChangeLog::default();
    let mut f = PlannerView::default();
    let now = Time::from_millis(10_000);
    f.apply_list_update(1, log.changes_after(0, FRESH, now), now);
    let mark = f.call_mark();
    f.record_call(mark, 0);
    for n in 1..=200 {
        let mut t = target(&format!("target-{n}"), &["m0"], &[]);
        t.version = n;
        log.add(Change::Put(Entry::from_target(&t)), n, now);
    }
    let update = PlannerUpdate { list: log.changes_after(0, FRESH, now), ..update_with_loads(200) };
    let (mut changes, mut loads) = (0, 0);
    for bytes in datagram::datagrams(Message::Update(update)) {
        assert!(bytes.len() <= datagram::MAX_BYTES);
        let Some(Message::Update(part)) = datagram::decode(&bytes) else {
            panic!("not a planner update")
        };
        loads += part.loads.len();
        changes += f.apply_list_update(part.fence, part.list, now).len();
    }
    assert_eq!((changes, loads), (200, 200));
    assert_eq!(f.list_fresh_for(now), max_list_age());
}

#[test]
fn datagrams_of_other_formats_are_dropped() {
    let demand = Message::Demand(demand(0, 0));
    let bytes = datagram::encode(&demand).expect("the message fits a datagram");
    assert_eq!(datagram::decode(&bytes), Some(demand));
    assert_eq!(datagram::decode(&[]), None);
    assert_eq!(datagram::decode(&[0x11, 1, 2, 3]), None);
    assert_eq!(datagram::decode(&bytes[..2]), None);
}

#[test]
fn late_change_does_not_undo_a_newer_one_of_its_target() {
    let (mut log, mut f) = (ChangeLog::default(), PlannerView::default());
    let now = Time::from_millis(10_000);
    f.apply_list_update(1, log.changes_after(0, FRESH, now), now);
    let mark = f.call_mark();
    f.record_call(mark, 0);
    log.add(put(7), 7, now);
    let late = log.changes_after(0, FRESH, now);
    log.add(Change::Removed(Removal { name: target("t0", &[], &[]).name, version: 8 }), 8, now);
    let newer = log.changes_after(1, FRESH, now);
    assert_eq!(f.apply_list_update(1, newer, now).len(), 1);
    assert_eq!(f.received_state(now).missing_to, Some(1));
    assert!(f.apply_list_update(1, late, now).is_empty(), "the target stays removed");
    assert!(!f.has_gap());
}

#[test]
fn only_missing_changes_are_sent_again() {
    let (mut log, mut f) = (ChangeLog::default(), PlannerView::default());
    let now = Time::from_millis(10_000);
    f.apply_list_update(1, log.changes_after(0, FRESH, now), now);
    let mark = f.call_mark();
    f.record_call(mark, 0);
    for n in 1..=6 {
        log.add(put(n), n, now);
        if n != 2 && n != 3 {
            f.apply_list_update(1, log.changes_between(n - 1, n, FRESH, now), now);
        }
    }
    let known = f.received_state(now);
    assert_eq!((known.number, known.missing_to), (Some(1), Some(3)));
    let repair = log.changes_between(1, 3, FRESH, now);
    assert_eq!(repair.changes.len(), 2);
    f.apply_list_update(1, repair, now);
    assert_eq!(f.received_state(now).number, Some(6));
    assert!(!f.has_gap());
}

#[test]
fn new_planner_starts_at_changes_that_others_may_lack() {
    let mut log = ChangeLog::default();
    for n in 1..=6 {
        log.add(put(n), n, Time::from_millis(10_000 + n * 1_000));
    }
    assert_eq!(log.number_before(Time::from_millis(14_500)), 4);
    assert_eq!(log.number_before(Time::from_millis(20_000)), 6);
}
