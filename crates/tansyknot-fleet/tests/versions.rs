//! Tests as of which store version a view applies what it receives, and how long it retains entries that
//! may have expired.

mod support;

use std::time::Duration;

use support::{loaded_model, target};
use tansyknot_core::{
    clock::Time,
    name::{TargetName, ZoneName},
};
use tansyknot_fleet::{
    dissemination::{
        changes::{Change, Entry, FullRead, ListRead},
        message::TargetOverride,
        planner_view::PlannerView,
    },
    fleet::{EXPIRY_GRACE, Fleet},
    freshness::FreshnessLimits,
    platform_api::TargetChange,
    target::{Removal, Target, TargetState},
};
use yare::parameterized;

const FENCE: u64 = 7;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn entry(name: &str, version: u64) -> Target {
    Target { version, ..target(name, &["m0"], &[]) }
}

fn put(name: &str, version: u64) -> TargetChange {
    TargetChange::Put(Box::new(entry(name, version)))
}

fn removal(name: &str, version: u64) -> Removal {
    Removal { name: TargetName::from(name), version }
}

/// Returns a view that has read `t1`, of version 5, as of version 10.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.apply_full_list(vec![entry("t1", 5)], 10, None, at(0));
    fleet.complete_read(10, at(0));
    fleet
}

/// Returns the view after a store outage, with the list read again as of version 20.
fn fleet_after_outage() -> Fleet {
    let mut fleet = fleet();
    fleet.store_returned(at(3_900), at(4_000));
    fleet.apply_full_list(vec![entry("t1", 5)], 20, Some(10), at(4_000));
    fleet.complete_read(20, at(4_000));
    fleet
}

fn accepts_work(fleet: &Fleet, name: &str, now: Time) -> bool {
    fleet.accepts_work(&TargetName::from(name), now)
}

#[parameterized(
    older_than_the_read = { 9, false },
    newer = { 11, true },
)]
fn entry_missing_from_a_read_counts_if_it_is_newer(version: u64, counts: bool) {
    let mut fleet = fleet();
    let received = Entry::from_target(&entry("t2", version));
    fleet.apply_update(Change::Put(received), FENCE, at(10));
    assert_eq!(accepts_work(&fleet, "t2", at(10)), counts);
}

#[parameterized(
    older = { 4, true },
    newer = { 6, false },
)]
fn removal_counts_if_it_is_newer_than_the_entry(version: u64, stays: bool) {
    let mut fleet = fleet();
    fleet.apply_update(Change::Removed(removal("t1", version)), FENCE, at(10));
    assert_eq!(accepts_work(&fleet, "t1", at(10)), stays);
}

#[test]
fn entry_written_before_a_target_began_to_leave_does_not_undo_a_note_of_it() {
    let mut fleet = fleet();
    let target_override = TargetOverride {
        target: TargetName::from("t1"),
        started_at: None,
        revision: 1,
        state: TargetState::Draining,
        models: vec![loaded_model("m0", &[])],
    };
    fleet.apply_override(&target_override, FENCE, at(10));
    assert!(!accepts_work(&fleet, "t1", at(10)));
    fleet.apply_change(put("t1", 11), at(20));
    assert!(!accepts_work(&fleet, "t1", at(20)));
}

// Another daemon may have read the list while it still had the target.
#[test]
fn removal_of_an_unknown_target_is_published() {
    let mut fleet = fleet();
    let before = fleet.log.last_number();
    fleet.apply_change(TargetChange::Removed(removal("t2", 12)), at(10));
    let update = fleet.log.changes_after(before, ListRead::default(), at(10));
    assert_eq!(update.changes, vec![(before + 1, Change::Removed(removal("t2", 12)))]);
}

#[test]
fn planner_that_has_not_read_the_list_is_not_followed() {
    let mut follower = PlannerView::default();
    let mark = follower.call_mark();
    follower.record_call(mark, 9);
    let mut log = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default()).log;
    follower.apply_list_update(FENCE, log.changes_after(0, ListRead::default(), at(0)), at(0));
    assert!(follower.has_gap());
    assert_eq!(log.number_at_version(9), None);
    log.skip(9);
    follower.apply_list_update(FENCE, log.changes_after(0, ListRead::default(), at(0)), at(0));
    assert!(!follower.has_gap());
}

#[parameterized(
    before = { 8, false },
    as_of_the_version_before = { 12, false },
    in_between = { 13, true },
    as_of_the_full_read = { 20, false },
)]
fn daemon_that_read_the_list_between_two_reads_of_its_planner_reads_it_again(
    version: u64,
    has_gap: bool,
) {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.apply_full_list(vec![entry("t1", 5)], version, None, at(0));
    fleet.complete_read(version, at(0));
    let full_read = FullRead { after: 12, version: 20 };
    fleet.apply_update(Change::FullRead(full_read), FENCE, at(10));
    assert_eq!(fleet.has_gap(), has_gap);
    fleet.apply_full_list(vec![entry("t1", 5)], 21, Some(version), at(20));
    assert!(!fleet.has_gap());
}

// The store made the response between the planner's two reads, and it arrived after the update about the
// second one.
#[parameterized(
    in_between = { 13, true },
    as_of_the_full_read = { 20, false },
)]
fn response_in_flight_during_the_planners_full_read_is_read_again(version: u64, has_gap: bool) {
    let mut fleet = fleet();
    fleet.apply_update(Change::FullRead(FullRead { after: 12, version: 20 }), FENCE, at(10));
    assert!(!fleet.has_gap());
    fleet.apply_change(put("t2", 13), at(20));
    fleet.complete_read(version, at(5));
    assert_eq!(fleet.has_gap(), has_gap);
}

#[test]
fn entry_gone_after_an_outage_is_retained_until_it_could_be_back() {
    let mut fleet = fleet();
    fleet.store_returned(at(3_900), at(4_000));
    fleet.apply_full_list(Vec::new(), 20, Some(10), at(4_000));
    fleet.complete_read(20, at(4_000));
    let end = at(4_000) + EXPIRY_GRACE;
    assert!(accepts_work(&fleet, "t1", end.saturating_sub(Duration::from_millis(1))));
    assert!(!accepts_work(&fleet, "t1", end));
    assert_eq!(
        fleet.advertised_read(end).version,
        10,
        "the version of a read is not advertised while an entry is retained"
    );
}

// A host that was disconnected is held to the bounds again 3 s after its return, counted from its last
// failed store call at the earliest.
#[test]
fn nothing_is_kept_once_the_daemon_is_held_to_the_bounds_again() {
    let mut fleet = fleet();
    fleet.store_returned(at(2_500), at(4_000));
    fleet.apply_full_list(Vec::new(), 20, Some(10), at(4_000));
    assert!(accepts_work(&fleet, "t1", at(5_000)));
    assert!(!accepts_work(&fleet, "t1", at(5_500)));
}

#[test]
fn entry_removed_after_an_outage_is_retained_for_less_than_the_maximum_list_age() {
    let mut fleet = fleet_after_outage();
    fleet.apply_change(TargetChange::Removed(removal("t1", 21)), at(4_600));
    assert!(accepts_work(&fleet, "t1", at(4_700)));
    let limits = FreshnessLimits::default();
    let end = at(4_600) + (limits.max_list_age - limits.list_poll_interval);
    assert!(!accepts_work(&fleet, "t1", end));
}

#[test]
fn entry_that_was_written_since_the_stores_return_has_not_lapsed() {
    let mut fleet = fleet_after_outage();
    fleet.apply_change(put("t1", 21), at(4_300));
    fleet.apply_change(TargetChange::Removed(removal("t1", 22)), at(4_600));
    assert!(!accepts_work(&fleet, "t1", at(4_600)));
}

#[test]
fn older_entry_does_not_restore_a_removed_one() {
    let mut fleet = fleet_after_outage();
    fleet.apply_change(TargetChange::Removed(removal("t1", 23)), at(4_600));
    fleet.apply_change(put("t1", 22), at(4_610));
    fleet.expire(at(9_000));
    assert!(!accepts_work(&fleet, "t1", at(9_000)));
    fleet.apply_change(put("t1", 24), at(9_010));
    assert!(accepts_work(&fleet, "t1", at(9_010)), "a newer entry counts");
}

// The planner advertises its read before the outage as long as it retains a target, so that its updates
// name a lower version than their changes have.
#[parameterized(
    draining = { Change::Put(Entry::from_target(&Target {
        state: TargetState::Draining, ..entry("t1", 19)
    })) },
    gone = { Change::Removed(removal("t1", 19)) },
)]
fn change_received_with_an_older_version_counts_as_known_by_who_read_the_list_before_it(
    change: Change,
) {
    let mut fleet = fleet();
    let before = fleet.log.last_number();
    fleet.apply_update(change, FENCE, at(100));
    assert_eq!(fleet.log.number_at_version(18), Some(before));
    assert_eq!(fleet.log.number_at_version(19), Some(before + 1));
}

// A target joined and was removed while the next planner missed the updates of the one before. That
// planner's read of the full list shows neither.
#[parameterized(
    planner_had_less = { 11, true },
    planner_had_as_much = { 12, false },
)]
fn target_that_only_the_planner_before_knew_is_kept_for_good(planner_had: u64, needs_read: bool) {
    let mut fleet = fleet();
    fleet.begin_updates(FENCE);
    fleet.raise_list_version(12);
    fleet.apply_update(Change::Put(Entry::from_target(&entry("t2", 12))), FENCE, at(100));
    fleet.begin_updates(FENCE + 1);
    fleet.raise_list_version(20);
    let read = FullRead { after: planner_had, version: 20 };
    fleet.apply_update(Change::FullRead(read), FENCE + 1, at(2_000));
    assert_eq!(fleet.has_gap(), needs_read);
}
