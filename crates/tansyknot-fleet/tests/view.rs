//! Tests the view of the targets: entries, overrides of the planner, expiry, and the choice of a target
//! for a request.

mod support;

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use support::{loaded_model, target};
use tansyknot_core::{
    clock::Time,
    name::{AdapterName, ModelName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    dissemination::{
        changes::{Change, ListRead},
        message::{PendingLoad, TargetLoad, TargetOverride},
        planner_view::PlannerView,
    },
    fleet::{self, CacheNeed, Exclusion, Fleet, Pick, TargetRequirements, UpdateId},
    freshness::FreshnessLimits,
    platform_api::TargetChange,
    target::{Removal, StartTime, Target, TargetState},
};
use yare::parameterized;

struct Requirements {
    service: ServiceName,
    model: ModelName,
    adapter: Option<AdapterName>,
}

fn requirements_for(model: &str) -> Requirements {
    Requirements { service: ServiceName::from("s"), model: ModelName::from(model), adapter: None }
}

impl Requirements {
    fn get(&self) -> TargetRequirements<'_> {
        TargetRequirements {
            service: &self.service,
            model: Some(&self.model),
            adapter: self.adapter.as_ref(),
            prefix: None,
            zones: None,
            cache: CacheNeed::default(),
            origin: None,
        }
    }
}

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn fleet(targets: Vec<Target>) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.mark_signals_synced();
    fleet.apply_full_list(targets, 1, None, at(0));
    fleet
}

fn pick(fleet: &mut Fleet, requirements: &Requirements, tried: &[&str], now: Time) -> String {
    let tried: Vec<TargetName> = tried.iter().map(|t| TargetName::from(*t)).collect();
    match fleet.pick(&requirements.get(), &tried, now, &mut StdRng::seed_from_u64(1)) {
        Pick::Target(t) => t.name.to_string(),
        Pick::BackingOff(_) => "backing off".to_owned(),
        Pick::Limited { target, .. } => format!("{} with a permit", target.name),
        Pick::Full => "full".to_owned(),
        Pick::NotLoaded => "not loaded".to_owned(),
        Pick::NoTarget => "no target".to_owned(),
        Pick::Excluded(Exclusion::Drained) => "drained".to_owned(),
        Pick::Excluded(Exclusion::Region) => "outside its regions".to_owned(),
        Pick::Excluded(Exclusion::Software) => "other software".to_owned(),
    }
}

fn newer(mut t: Target, version: u64) -> TargetChange {
    t.version = version;
    TargetChange::Put(Box::new(t))
}

fn override_of(name: &str, revision: u64, models: &[&str]) -> TargetOverride {
    TargetOverride {
        target: TargetName::from(name),
        started_at: None,
        revision,
        state: TargetState::Ready,
        models: models.iter().map(|m| loaded_model(m, &[])).collect(),
    }
}

#[test]
fn request_goes_where_the_model_is() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m1"], &[])]);
    assert_eq!(pick(&mut f, &requirements_for("m1"), &[], at(0)), "t2");
    assert_eq!(pick(&mut f, &requirements_for("m7"), &[], at(0)), "not loaded");
    let other = Requirements { service: ServiceName::from("none"), ..requirements_for("m0") };
    assert_eq!(pick(&mut f, &other, &[], at(0)), "no target");
}

#[test]
fn older_entry_changes_nothing() {
    let mut f = fleet(vec![]);
    f.apply_change(newer(target("t1", &["m1"], &[]), 5), at(0));
    f.apply_change(newer(target("t1", &["m0"], &[]), 4), at(10));
    assert_eq!(pick(&mut f, &requirements_for("m1"), &[], at(20)), "t1");
}

#[test]
fn override_precedes_the_list_until_the_list_agrees_or_it_expires() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.apply_override(&override_of("t1", 1, &["m1"]), 7, at(0));
    // A heartbeat that was written before the order does not bring the old model back.
    f.apply_change(newer(target("t1", &["m0"], &[]), 2), at(100));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(100)), "not loaded");
    assert_eq!(pick(&mut f, &requirements_for("m1"), &[], at(100)), "t1");
    f.expire(at(3_000));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(3_000)), "t1");
}

#[test]
fn override_with_the_newest_fence_and_revision_wins() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.apply_override(&override_of("t1", 2, &["m2"]), 7, at(0));
    f.apply_override(&override_of("t1", 1, &["m1"]), 7, at(1));
    assert_eq!(pick(&mut f, &requirements_for("m2"), &[], at(2)), "t1");
    f.apply_override(&override_of("t1", 1, &["m3"]), 8, at(3));
    assert_eq!(pick(&mut f, &requirements_for("m3"), &[], at(4)), "t1");
}

#[test]
fn leaving_target_gets_nothing() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    let leaving = Target { state: TargetState::Draining, ..target("t1", &["m0"], &[]) };
    f.apply_change(newer(leaving, 2), at(0));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(0)), "no target");
    f.apply_override(&override_of("t1", 1, &["m0"]), 7, at(10));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(20)), "no target");
}

#[test]
fn entry_that_expired_during_an_outage_is_retained_until_it_could_be_back() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.store_returned(at(0), at(0));
    f.apply_full_list(Vec::new(), 2, Some(1), at(10));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(20)), "t1");
    let after = at(0) + fleet::EXPIRY_GRACE;
    f.expire(after);
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], after), "no target");
}

#[test]
fn entry_removed_without_an_outage_is_gone_at_once() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.apply_change(
        TargetChange::Removed(Removal { name: TargetName::from("t1"), version: 2 }),
        at(10),
    );
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(10)), "no target");
}

#[test]
fn target_that_lacks_the_model_is_avoided_for_a_while() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.record_missing_model(&TargetName::from("t1"), &requirements_for("m0").get(), at(0));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(10)), "not loaded");
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(2_000)), "t1");
}

#[test]
fn failing_and_unreachable_targets_are_avoided_as_long_as_there_is_another() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m0"], &[])]);
    f.record_unreachable(&TargetName::from("t1"), at(0));
    for _ in 0..4 {
        assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(10)), "t2");
    }
    assert_eq!(pick(&mut f, &requirements_for("m0"), &["t2"], at(10)), "t1");
}

#[test]
fn dead_target_is_not_asked_again_by_the_request_that_it_failed() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.record_unreachable(&TargetName::from("t1"), at(0));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &["t1"], at(10)), "not loaded");
    assert_eq!(pick(&mut f, &requirements_for("m0"), &["t1"], at(700)), "t1");
}

#[test]
fn full_fleet_takes_nothing_until_a_slot_is_released() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    let requirements = requirements_for("m0");
    let mut taken = 0;
    while pick(&mut f, &requirements, &[], at(0)) == "t1" {
        taken += 1;
    }
    assert_eq!(taken, 16, "eight slots and eight queued requests");
    assert_eq!(pick(&mut f, &requirements, &[], at(0)), "full");
    f.end_request(&TargetName::from("t1"), Some(&requirements.model), 0);
    assert_eq!(pick(&mut f, &requirements, &[], at(0)), "t1");
}

fn update_id(seq: u32) -> UpdateId {
    UpdateId { fence: 1, seq }
}

fn load(target: &str, requests: u16) -> TargetLoad {
    TargetLoad { target: TargetName::from(target), requests, tokens: 0 }
}

#[test]
fn requests_of_other_daemons_count() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m0"], &[])]);
    f.apply_loads(update_id(1), &[load("t1", 6)], &[], at(0));
    for _ in 0..5 {
        assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(0)), "t2");
    }
}

#[test]
fn loads_in_parts_are_merged_and_older_parts_are_dropped() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m0"], &[])]);
    f.apply_loads(update_id(2), &[load("t1", 6)], &[], at(0));
    f.apply_loads(update_id(2), &[load("t2", 9)], &[], at(0));
    f.apply_loads(update_id(1), &[load("t1", 16)], &[], at(0));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(0)), "t1");
    f.apply_loads(update_id(3), &[load("t1", 4)], &[], at(0));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(0)), "t2", "t2 has no load left");
}

#[test]
fn load_changes_leave_other_loads_unchanged() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m0"], &[])]);
    f.apply_loads(update_id(1), &[load("t1", 6), load("t2", 2)], &[], at(0));
    f.apply_load_changes(&[load("t2", 7)], &[], at(0));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(0)), "t1");
}

#[test]
fn every_pending_load_is_recorded() {
    let mut f = fleet(vec![]);
    let pending_load = |n: u32| PendingLoad {
        service: requirements_for("m0").service.clone(),
        model: ModelName::from(format!("m{n}").as_str()),
        due_in_ms: 500,
    };
    let all: Vec<PendingLoad> = (0..30).map(pending_load).collect();
    f.apply_loads(update_id(1), &[], &all[..20], at(0));
    f.apply_loads(update_id(1), &[], &all[20..], at(0));
    for n in 0..30 {
        let requirements = requirements_for(&format!("m{n}"));
        assert_eq!(f.pending_load_due(&requirements.get(), at(100)), Some(at(500)));
    }
    f.apply_loads(update_id(2), &[], &[], at(100));
    assert_eq!(f.pending_load_due(&requirements_for("m0").get(), at(100)), None);
}

#[test]
fn request_that_lacks_an_adapter_does_not_wait_for_another_copy_of_its_model() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    let service = requirements_for("m0").service.clone();
    let pending_load = PendingLoad { service, model: ModelName::from("m0"), due_in_ms: 6000 };
    f.apply_loads(update_id(1), &[], &[pending_load], at(0));
    let adapter = AdapterName::from("a1");
    let base = requirements_for("m0");
    let requirements = TargetRequirements { adapter: Some(&adapter), ..base.get() };
    assert_eq!(f.pending_load_due(&requirements, at(0)), None);
}

#[test]
fn model_uses_are_reported_while_new_or_waiting() {
    let mut f = fleet(vec![]);
    f.count_arrival(&requirements_for("m0").get(), at(0));
    f.begin_waiting(&requirements_for("m1").get(), at(0));
    assert_eq!(f.model_uses(at(100)).len(), 2);
    assert_eq!(f.model_uses(at(1_500)).len(), 1);
    f.end_waiting(&requirements_for("m1").get());
    assert!(f.model_uses(at(1_500) + Duration::from_millis(1)).is_empty());
}

#[parameterized(
    few = { 30 },
    large_fleet = { 3_000 },
)]
fn first_read_is_not_published_but_every_later_change_is(count: usize) {
    let name = |n: usize| target(&format!("t{n}"), &["m0"], &[]);
    let mut f = fleet(vec![]);
    f.apply_full_list((0..count).map(name).collect(), 5, None, at(0));
    let now = ListRead { age: Duration::ZERO, version: 5 };
    let update = f.log.changes_after(0, now, at(0));
    assert!(update.changes.is_empty());
    let mut follower = PlannerView::default();
    follower.apply_list_update(1, update.clone(), at(0));
    assert!(follower.has_gap(), "a follower that has not read the list has to read it");
    let mark = follower.call_mark();
    follower.record_call(mark, 5);
    follower.apply_list_update(1, update, at(0));
    assert!(!follower.has_gap(), "the follower's own store call closes the gap");
    f.apply_full_list((count..2 * count).map(name).collect(), 6, Some(5), at(10));
    let update = f.log.changes_after(1, now, at(10));
    let is_full_read = |(_, change): &(u64, Change)| matches!(change, Change::FullRead(_));
    assert_eq!(
        update.changes.iter().filter(|c| is_full_read(c)).count(),
        1,
        "the list was read in full"
    );
    assert_eq!(update.changes.len() - 1, 2 * count, "as many targets were added as removed");
    assert_eq!(follower.apply_list_update(1, update, at(10)).len() - 1, 2 * count);
}

fn run_of(start: u64, version: u64, models: &[&str]) -> TargetChange {
    let t = target("t1", models, &["m0"]);
    TargetChange::Put(Box::new(Target { started_at: Some(StartTime(start)), version, ..t }))
}

#[test]
fn target_that_starts_again_under_its_name_holds_nothing_of_before() {
    let mut f = fleet(vec![]);
    f.apply_change(run_of(100, 5, &["m0"]), at(0));
    let former =
        TargetOverride { started_at: Some(StartTime(100)), ..override_of("t1", 3, &["m1"]) };
    f.apply_override(&former, 7, at(10));
    f.apply_loads(update_id(1), &[load("t1", 7)], &[], at(10));
    f.apply_change(run_of(200, 6, &[]), at(20));
    assert_eq!(pick(&mut f, &requirements_for("m1"), &[], at(30)), "not loaded");
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(30)), "not loaded");
    // A repeated override of the former run does not apply to the new one.
    f.apply_override(&former, 7, at(40));
    assert_eq!(pick(&mut f, &requirements_for("m1"), &[], at(50)), "not loaded");
    f.apply_override(
        &TargetOverride { started_at: Some(StartTime(200)), ..override_of("t1", 4, &["m2"]) },
        7,
        at(60),
    );
    assert_eq!(pick(&mut f, &requirements_for("m2"), &[], at(70)), "t1");
}

#[parameterized(
    former_run = { run_of(100, 9, &["m1"]), "t1" },
    entry_without_start_time = { newer(target("t1", &["m0"], &[]), 9), "no target" },
)]
fn entry_that_is_not_of_the_run_known_brings_nothing_back(late: TargetChange, after: &str) {
    let mut f = fleet(vec![]);
    f.apply_change(run_of(200, 5, &["m0"]), at(0));
    f.apply_change(late, at(10));
    assert_eq!(pick(&mut f, &requirements_for("m0"), &[], at(20)), after);
    f.apply_change(run_of(200, 10, &["m0"]), at(30));
    assert_eq!(
        pick(&mut f, &requirements_for("m0"), &[], at(40)),
        "t1",
        "its next heartbeat counts"
    );
}

#[test]
fn followers_learn_that_a_target_has_started_again() {
    let mut planner = fleet(vec![]);
    let mut follower = fleet(vec![]);
    for (start, version) in [(100, 5), (200, 6)] {
        planner.apply_change(run_of(start, version, &["m0"]), at(version));
        let update = planner.log.changes_after(version - 5, ListRead::default(), at(version));
        for (_, change) in update.changes {
            follower.apply_update(change, 7, at(version));
        }
    }
    let start = follower.target(&TargetName::from("t1")).and_then(|t| t.started_at);
    assert_eq!(start, Some(StartTime(200)));
}
