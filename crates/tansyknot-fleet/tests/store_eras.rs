//! Tests of what outlives a store that comes back from an older copy.

mod support;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{TargetName, ZoneName},
};
use tansyknot_fleet::{
    fleet::Fleet,
    freshness::FreshnessLimits,
    lease::{Lease, LeaseHolder, LeaseOptions},
    platform_api::TargetChange,
    store_version,
    target::{Removal, Target, TargetState},
    zone_drain::{DrainedZones, ZoneChange, ZoneDrains, ZoneUpdate},
};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

#[test]
fn version_of_a_later_era_is_always_higher() {
    assert!(store_version::pack(2, 1) > store_version::pack(1, 1 << 39));
    assert!(store_version::pack(1, 8) > store_version::pack(1, 7));
    assert_eq!(store_version::pack(0, 7), 7, "a store without eras");
    let packed = store_version::pack(3, 7);
    assert_eq!((store_version::era(packed), store_version::within_era(packed)), (3, 7));
}

fn entry(name: &str, state: TargetState, version: u64) -> Target {
    Target { state, version, ..support::target(name, &[], &[]) }
}

/// Creates the view of a daemon that has followed the list up to version 100 of era 1: `a` drains,
/// `gone` has gone, and `b` is ready.
fn fleet() -> Fleet {
    let version = |n| store_version::pack(1, n);
    let mut fleet = Fleet::new("z1".into(), FreshnessLimits::default());
    let entries = ["a", "b", "gone"].map(|name| entry(name, TargetState::Ready, version(90)));
    fleet.apply_full_list(entries.into(), version(95), None, at(0));
    fleet.complete_read(version(95), at(0));
    let draining = entry("a", TargetState::Draining, version(97));
    fleet.apply_change(TargetChange::Put(Box::new(draining)), at(10));
    let removal = Removal { name: "gone".into(), version: version(99) };
    fleet.apply_change(TargetChange::Removed(removal), at(20));
    fleet.raise_list_version(version(100));
    fleet
}

fn read_copy(fleet: &mut Fleet, names: &[&str], now: Time) {
    let version = |n| store_version::pack(2, n);
    let entries = names.iter().map(|name| entry(name, TargetState::Ready, version(90)));
    assert!(fleet.is_later_era(version(92)));
    fleet.store_returned(now, now);
    fleet.apply_full_list(entries.collect(), version(92), None, now);
    fleet.complete_read(version(92), now);
}

fn ready(fleet: &Fleet, now: Time) -> BTreeSet<String> {
    let names = fleet.targets().map(|t| t.name.clone()).collect::<Vec<TargetName>>();
    names.iter().filter(|n| fleet.accepts_work(n, now)).map(ToString::to_string).collect()
}

#[test]
fn run_that_drains_or_is_gone_does_not_come_back_with_an_older_copy() {
    let mut fleet = fleet();
    read_copy(&mut fleet, &["a", "b", "gone"], at(1_000));
    assert_eq!(ready(&fleet, at(1_000)), ["b".to_owned()].into());
}

#[test]
fn change_with_a_lower_version_of_a_later_era_counts() {
    let mut fleet = fleet();
    read_copy(&mut fleet, &["a", "b"], at(1_000));
    let draining = entry("b", TargetState::Draining, store_version::pack(2, 93));
    fleet.apply_change(TargetChange::Put(Box::new(draining)), at(1_100));
    assert!(ready(&fleet, at(1_100)).is_empty());
}

#[test]
fn answer_of_the_old_era_after_one_of_the_new_changes_nothing() {
    let mut fleet = fleet();
    read_copy(&mut fleet, &["a", "b"], at(1_000));
    let late = vec![entry("c", TargetState::Ready, store_version::pack(1, 98))];
    fleet.apply_full_list(late, store_version::pack(1, 99), None, at(1_100));
    assert_eq!(ready(&fleet, at(1_100)), ["b".to_owned()].into());
}

#[test]
fn target_that_the_copy_lacks_serves_until_it_has_written_its_entry_again() {
    let mut fleet = fleet();
    read_copy(&mut fleet, &["a"], at(1_000));
    assert_eq!(ready(&fleet, at(2_900)), ["b".to_owned()].into());
    fleet.expire(at(4_000));
    assert!(ready(&fleet, at(4_000)).is_empty(), "it has not written its entry in time");
}

#[test]
fn target_that_was_taken_for_gone_is_back_once_it_writes_its_entry() {
    let mut fleet = fleet();
    read_copy(&mut fleet, &["a", "b", "gone"], at(1_000));
    let written = entry("gone", TargetState::Ready, store_version::pack(2, 96));
    fleet.apply_change(TargetChange::Put(Box::new(written)), at(1_500));
    assert!(ready(&fleet, at(1_500)).contains("gone"));
}

#[test]
fn drained_zone_stays_drained_until_operators_return_it() {
    let zones = |names: &[&str]| names.iter().map(|name| ZoneName::from(*name)).collect();
    let drained = |era, version, names| DrainedZones {
        version: store_version::pack(era, version),
        zones: zones(names),
    };
    let mut drains = ZoneDrains::default();
    drains.replace(drained(1, 90, &["z1"]));
    drains.replace(drained(2, 40, &["z2"]));
    assert!(drains.contains(&"z1".into()) && drains.contains(&"z2".into()));
    let version = store_version::pack(2, 45);
    let returned = ZoneChange { zone: "z1".into(), is_drained: false, version };
    drains.apply(ZoneUpdate::Changes(vec![returned], version));
    assert!(!drains.contains(&"z1".into()) && drains.contains(&"z2".into()));
}

const OPTIONS: LeaseOptions = LeaseOptions { handover_interval: Duration::from_secs(3) };

fn holder(name: &str) -> LeaseHolder {
    LeaseHolder {
        daemon: name.into(),
        incarnation: format!("{name}-1").as_str().into(),
        address: ([127, 0, 0, name.len() as u8], 7).into(),
        fence: 0,
        released: false,
        extends: false,
        covers: Default::default(),
        rests: Default::default(),
        all_rest: 0,
        era: 0,
        software: Default::default(),
        longest_stream_ms: 0,
        stream_routes: None,
    }
}

/// Claims the row as of a version, with a write that succeeds; returns the row.
fn claim(lease: &mut Lease, me: &LeaseHolder, version: u64, now: Time) -> Option<LeaseHolder> {
    let claim = lease.claim(me, OPTIONS, &BTreeSet::new(), now)?;
    let row = claim.holder.clone();
    lease.record_claim(claim, version);
    Some(row)
}

fn read(lease: &mut Lease, row: &LeaseHolder, version: u64, me: &LeaseHolder, now: Time) {
    lease.record_row(Some(row.clone()), version, now, &Arc::clone(&me.incarnation));
}

/// The lease of `d1`, and then of `dd2`, whose takeover the store loses.
fn lost_takeover() -> (Lease, Lease, LeaseHolder, LeaseHolder, LeaseHolder) {
    let version = |n| store_version::pack(1, n);
    let (first, second) = (holder("d1"), holder("dd2"));
    let (mut a, mut b) = (Lease::default(), Lease::default());
    claim(&mut a, &first, version(10), at(0));
    let copy = claim(&mut a, &first, version(12), at(500)).expect("it holds the lease");
    read(&mut b, &copy, version(12), &second, at(600));
    let row = claim(&mut b, &second, version(20), at(2_500)).expect("the row is free");
    assert!(row.fence > copy.fence);
    read(&mut a, &row, version(20), &first, at(2_600));
    assert!(!a.is_mine());
    (a, b, first, second, copy)
}

// The row names the former holder, whose next token would be that of the lost one.
#[test]
fn former_holder_that_the_copy_names_does_not_order_with_the_token_of_the_lost_one() {
    let (mut a, mut b, first, second, copy) = lost_takeover();
    let version = |n| store_version::pack(2, n);
    read(&mut a, &copy, version(12), &first, at(3_000));
    assert!(a.claim(&first, OPTIONS, &BTreeSet::new(), at(3_000)).is_none(), "it waits");
    read(&mut b, &copy, version(12), &second, at(3_000));
    assert!(b.is_mine(), "its lease is valid");
    let row = claim(&mut b, &second, version(13), at(3_100)).expect("it writes its row again");
    assert_eq!((row.daemon.as_ref(), row.era), ("dd2", 2));
    read(&mut a, &row, version(13), &first, at(3_200));
    assert!(a.claim(&first, OPTIONS, &BTreeSet::new(), at(3_200)).is_none());
}

#[parameterized(
    former_holder = { true },
    another_daemon_that_knows_neither = { false },
)]
fn token_and_cooldown_after_the_loss_of_a_holder_that_does_not_return(is_former: bool) {
    let (a, mut b, first, second, copy) = lost_takeover();
    let lost = claim(&mut b, &second, store_version::pack(1, 22), at(3_000)).expect("it renews");
    let other = holder("ddd3");
    let (mut lease, me) = if is_former { (a, first) } else { (Lease::default(), other) };
    let version = store_version::pack(2, 12);
    read(&mut lease, &copy, version, &me, at(3_100));
    assert!(lease.claim(&me, OPTIONS, &BTreeSet::new(), at(4_500)).is_none());
    read(&mut lease, &copy, version, &me, at(4_700));
    let row = claim(&mut lease, &me, store_version::pack(2, 13), at(4_700)).expect("it is free");
    assert!(row.fence > lost.fence, "{} after {}", row.fence, lost.fence);
    // The lost holder's lease ended at 4.3 s, and it may have ordered any target until then.
    assert!(!lease.is_cooldown_over(&"t".into(), at(7_500)));
}

#[test]
fn two_returns_in_a_row_give_no_token_twice() {
    let (_, mut b, _, second, copy) = lost_takeover();
    let mut fences = Vec::new();
    for era in 2..5 {
        let now = at(3_000 + era * 100);
        read(&mut b, &copy, store_version::pack(era, 12), &second, now);
        fences.push(claim(&mut b, &second, store_version::pack(era, 13), now).map(|row| row.fence));
    }
    assert!(fences.iter().all(Option::is_some));
    assert!(fences.windows(2).all(|pair| pair[0] < pair[1]), "{fences:?}");
}
