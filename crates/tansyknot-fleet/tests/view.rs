//! The view of the targets: entries, notes of the planner, lapses, and who takes a request.

mod support;

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use support::{held, target};
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
    fleet::{self, Fleet, Pick, TargetRequirements, UpdateId},
    freshness::FreshnessLimits,
    platform_api::TargetChange,
    target::{Removal, StartTime, Target, TargetState},
};
use yare::parameterized;

struct Wants {
    service: ServiceName,
    model: ModelName,
    adapter: Option<AdapterName>,
}

fn wants(model: &str) -> Wants {
    Wants { service: ServiceName::from("s"), model: ModelName::from(model), adapter: None }
}

impl Wants {
    fn get(&self) -> TargetRequirements<'_> {
        TargetRequirements {
            service: &self.service,
            model: Some(&self.model),
            adapter: self.adapter.as_ref(),
            prefix: None,
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

fn pick(fleet: &mut Fleet, want: &Wants, tried: &[&str], now: Time) -> String {
    let tried: Vec<TargetName> = tried.iter().map(|t| TargetName::from(*t)).collect();
    match fleet.pick(&want.get(), &tried, now, &mut StdRng::seed_from_u64(1)) {
        Pick::Target(t) => t.name.to_string(),
        Pick::BackingOff(_) => "resting".to_owned(),
        Pick::Limited { target, .. } => format!("{} in its turn", target.name),
        Pick::Full => "full".to_owned(),
        Pick::NotLoaded => "not loaded".to_owned(),
        Pick::NoTarget => "no target".to_owned(),
    }
}

fn newer(mut t: Target, version: u64) -> TargetChange {
    t.version = version;
    TargetChange::Put(Box::new(t))
}

fn note(name: &str, revision: u64, models: &[&str]) -> TargetOverride {
    TargetOverride {
        target: TargetName::from(name),
        started_at: None,
        revision,
        state: TargetState::Ready,
        models: models.iter().map(|m| held(m, &[])).collect(),
    }
}

#[test]
fn request_goes_where_the_model_is() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m1"], &[])]);
    assert_eq!(pick(&mut f, &wants("m1"), &[], at(0)), "t2");
    assert_eq!(pick(&mut f, &wants("m7"), &[], at(0)), "not loaded");
    let other = Wants { service: ServiceName::from("none"), ..wants("m0") };
    assert_eq!(pick(&mut f, &other, &[], at(0)), "no target");
}

#[test]
fn older_entry_changes_nothing() {
    let mut f = fleet(vec![]);
    f.apply_change(newer(target("t1", &["m1"], &[]), 5), at(0));
    f.apply_change(newer(target("t1", &["m0"], &[]), 4), at(10));
    assert_eq!(pick(&mut f, &wants("m1"), &[], at(20)), "t1");
}

#[test]
fn planners_note_goes_before_the_list_until_the_list_agrees_or_it_is_old() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.apply_override(&note("t1", 1, &["m1"]), 7, at(0));
    // A heartbeat that was written before the order does not bring the old model back.
    f.apply_change(newer(target("t1", &["m0"], &[]), 2), at(100));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(100)), "not loaded");
    assert_eq!(pick(&mut f, &wants("m1"), &[], at(100)), "t1");
    f.expire(at(3_000));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(3_000)), "t1");
}

#[test]
fn notes_that_overtake_each_other_are_told_apart() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.apply_override(&note("t1", 2, &["m2"]), 7, at(0));
    f.apply_override(&note("t1", 1, &["m1"]), 7, at(1));
    assert_eq!(pick(&mut f, &wants("m2"), &[], at(2)), "t1");
    f.apply_override(&note("t1", 1, &["m3"]), 8, at(3));
    assert_eq!(pick(&mut f, &wants("m3"), &[], at(4)), "t1");
}

#[test]
fn leaving_target_gets_nothing() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    let leaving = Target { state: TargetState::Draining, ..target("t1", &["m0"], &[]) };
    f.apply_change(newer(leaving, 2), at(0));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(0)), "no target");
    f.apply_override(&note("t1", 1, &["m0"]), 7, at(10));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(20)), "no target");
}

#[test]
fn entry_that_lapsed_while_the_store_was_away_stays_until_it_would_be_back() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.store_returned(at(0), at(0));
    f.apply_full_list(Vec::new(), 2, Some(1), at(10));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(20)), "t1");
    let after = at(0) + fleet::EXPIRY_GRACE;
    f.expire(after);
    assert_eq!(pick(&mut f, &wants("m0"), &[], after), "no target");
}

#[test]
fn entry_that_is_removed_in_calm_is_gone_at_once() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.apply_change(
        TargetChange::Removed(Removal { name: TargetName::from("t1"), version: 2 }),
        at(10),
    );
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(10)), "no target");
}

#[test]
fn target_that_said_it_lacks_the_model_is_left_alone_for_a_while() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.record_missing_model(&TargetName::from("t1"), &wants("m0").get(), at(0));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(10)), "not loaded");
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(2_000)), "t1");
}

#[test]
fn failing_and_unreachable_targets_are_avoided_as_long_as_there_is_another() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m0"], &[])]);
    f.record_unreachable(&TargetName::from("t1"), at(0));
    for _ in 0..4 {
        assert_eq!(pick(&mut f, &wants("m0"), &[], at(10)), "t2");
    }
    assert_eq!(pick(&mut f, &wants("m0"), &["t2"], at(10)), "t1");
}

#[test]
fn dead_target_is_not_asked_again_by_the_request_that_it_failed() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    f.record_unreachable(&TargetName::from("t1"), at(0));
    assert_eq!(pick(&mut f, &wants("m0"), &["t1"], at(10)), "not loaded");
    assert_eq!(pick(&mut f, &wants("m0"), &["t1"], at(700)), "t1");
}

#[test]
fn full_fleet_takes_nothing_and_a_place_that_is_given_back_is_used() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    let want = wants("m0");
    let mut taken = 0;
    while pick(&mut f, &want, &[], at(0)) == "t1" {
        taken += 1;
    }
    assert_eq!(taken, 16, "its eight slots and as many waiting");
    assert_eq!(pick(&mut f, &want, &[], at(0)), "full");
    f.end_request(&TargetName::from("t1"), Some(&want.model));
    assert_eq!(pick(&mut f, &want, &[], at(0)), "t1");
}

fn news(seq: u32) -> UpdateId {
    UpdateId { fence: 1, seq }
}

fn load(target: &str, requests: u16) -> TargetLoad {
    TargetLoad { target: TargetName::from(target), requests }
}

#[test]
fn requests_of_other_daemons_count() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m0"], &[])]);
    f.apply_loads(news(1), &[load("t1", 6)], &[], at(0));
    for _ in 0..5 {
        assert_eq!(pick(&mut f, &wants("m0"), &[], at(0)), "t2");
    }
}

#[test]
fn loads_in_parts_make_a_whole_and_older_parts_are_dropped() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m0"], &[])]);
    f.apply_loads(news(2), &[load("t1", 6)], &[], at(0));
    f.apply_loads(news(2), &[load("t2", 9)], &[], at(0));
    f.apply_loads(news(1), &[load("t1", 16)], &[], at(0));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(0)), "t1");
    f.apply_loads(news(3), &[load("t1", 4)], &[], at(0));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(0)), "t2", "nothing is left at it");
}

#[test]
fn changes_of_loads_leave_the_others_as_they_were_told() {
    let mut f = fleet(vec![target("t1", &["m0"], &[]), target("t2", &["m0"], &[])]);
    f.apply_loads(news(1), &[load("t1", 6), load("t2", 2)], &[], at(0));
    f.apply_load_changes(&[load("t2", 7)], &[], at(0));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(0)), "t1");
}

#[test]
fn every_model_that_comes_is_known() {
    let mut f = fleet(vec![]);
    let coming = |n: u32| PendingLoad {
        service: wants("m0").service.clone(),
        model: ModelName::from(format!("m{n}").as_str()),
        due_in_ms: 500,
    };
    let all: Vec<PendingLoad> = (0..30).map(coming).collect();
    f.apply_loads(news(1), &[], &all[..20], at(0));
    f.apply_loads(news(1), &[], &all[20..], at(0));
    for n in 0..30 {
        let want = wants(&format!("m{n}"));
        assert_eq!(f.pending_load_due(&want.get(), at(100)), Some(at(500)));
    }
    f.apply_loads(news(2), &[], &[], at(100));
    assert_eq!(f.pending_load_due(&wants("m0").get(), at(100)), None);
}

#[test]
fn request_that_lacks_an_adapter_does_not_wait_for_another_copy_of_its_model() {
    let mut f = fleet(vec![target("t1", &["m0"], &[])]);
    let service = wants("m0").service.clone();
    let coming = PendingLoad { service, model: ModelName::from("m0"), due_in_ms: 6000 };
    f.apply_loads(news(1), &[], &[coming], at(0));
    let adapter = AdapterName::from("a1");
    let wants = wants("m0");
    let want = TargetRequirements { adapter: Some(&adapter), ..wants.get() };
    assert_eq!(f.pending_load_due(&want, at(0)), None);
}

#[test]
fn uses_are_told_while_they_are_new_or_wait() {
    let mut f = fleet(vec![]);
    f.count_arrival(&wants("m0").get(), at(0));
    f.begin_waiting(&wants("m1").get(), at(0));
    assert_eq!(f.model_uses(at(100)).len(), 2);
    assert_eq!(f.model_uses(at(1_500)).len(), 1);
    f.end_waiting(&wants("m1").get());
    assert!(f.model_uses(at(1_500) + Duration::from_millis(1)).is_empty());
}

#[parameterized(
    few = { 30 },
    a_large_fleets = { 3_000 },
)]
fn first_reading_is_told_to_nobody_and_every_change_after_it_to_all(read: usize) {
    let name = |n: usize| target(&format!("t{n}"), &["m0"], &[]);
    let mut f = fleet(vec![]);
    f.apply_full_list((0..read).map(name).collect(), 5, None, at(0));
    let now = ListRead { age: Duration::ZERO, version: 5 };
    let news = f.log.changes_after(0, now, at(0));
    assert!(news.changes.is_empty());
    let mut follower = PlannerView::default();
    follower.apply_list_update(1, news.clone(), at(0));
    assert!(follower.has_gap(), "whoever has not read the list must");
    let mark = follower.call_mark();
    follower.record_call(mark, 5);
    follower.apply_list_update(1, news, at(0));
    assert!(!follower.has_gap(), "a call of its own makes up for it");
    f.apply_full_list((read..2 * read).map(name).collect(), 6, Some(5), at(10));
    let news = f.log.changes_after(1, now, at(10));
    let is_whole = |(_, change): &(u64, Change)| matches!(change, Change::FullRead(_));
    assert_eq!(news.changes.iter().filter(|c| is_whole(c)).count(), 1, "it was read whole");
    assert_eq!(news.changes.len() - 1, 2 * read, "as many came as went");
    assert_eq!(follower.apply_list_update(1, news, at(10)).len() - 1, 2 * read);
}

fn run_of(born: u64, version: u64, models: &[&str]) -> TargetChange {
    let t = target("t1", models, &["m0"]);
    TargetChange::Put(Box::new(Target { started_at: Some(StartTime(born)), version, ..t }))
}

#[test]
fn target_that_starts_again_under_its_name_holds_nothing_of_before() {
    let mut f = fleet(vec![]);
    f.apply_change(run_of(100, 5, &["m0"]), at(0));
    let noted = TargetOverride { started_at: Some(StartTime(100)), ..note("t1", 3, &["m1"]) };
    f.apply_override(&noted, 7, at(10));
    f.apply_loads(news(1), &[load("t1", 7)], &[], at(10));
    f.apply_change(run_of(200, 6, &[]), at(20));
    assert_eq!(pick(&mut f, &wants("m1"), &[], at(30)), "not loaded");
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(30)), "not loaded");
    // The planner's note of the former run, told again, is not about this one.
    f.apply_override(&noted, 7, at(40));
    assert_eq!(pick(&mut f, &wants("m1"), &[], at(50)), "not loaded");
    f.apply_override(
        &TargetOverride { started_at: Some(StartTime(200)), ..note("t1", 4, &["m2"]) },
        7,
        at(60),
    );
    assert_eq!(pick(&mut f, &wants("m2"), &[], at(70)), "t1");
}

#[parameterized(
    former_run = { run_of(100, 9, &["m1"]), "t1" },
    writer_that_says_no_start = { newer(target("t1", &["m0"], &[]), 9), "no target" },
)]
fn entry_that_is_not_of_the_run_known_brings_nothing_back(late: TargetChange, after: &str) {
    let mut f = fleet(vec![]);
    f.apply_change(run_of(200, 5, &["m0"]), at(0));
    f.apply_change(late, at(10));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(20)), after);
    f.apply_change(run_of(200, 10, &["m0"]), at(30));
    assert_eq!(pick(&mut f, &wants("m0"), &[], at(40)), "t1", "its next heartbeat counts");
}

#[test]
fn followers_learn_that_a_target_has_started_again() {
    let mut planner = fleet(vec![]);
    let mut follower = fleet(vec![]);
    for (born, version) in [(100, 5), (200, 6)] {
        planner.apply_change(run_of(born, version, &["m0"]), at(version));
        let news = planner.log.changes_after(version - 5, ListRead::default(), at(version));
        for (_, change) in news.changes {
            follower.apply_update(change, 7, at(version));
        }
    }
    let born = follower.target(&TargetName::from("t1")).and_then(|t| t.started_at);
    assert_eq!(born, Some(StartTime(200)));
}
