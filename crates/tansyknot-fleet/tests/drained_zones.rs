//! Tests that new requests and orders go to no target in a drained zone, by whichever way a daemon
//! learns of the drain.

mod support;

use std::collections::HashSet;

use rand::{SeedableRng, rngs::StdRng};
use support::{
    planner::{PlannerHarness, model_use, orders},
    target,
};
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, ZoneName},
};
use tansyknot_fleet::{
    fleet::{CacheNeed, Exclusion, Fleet, Pick, TargetRequirements},
    freshness::FreshnessLimits,
    target::Target,
    zone_drain::{DrainedZones, ZoneChange, ZoneDrains, ZoneUpdate},
};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn zones(names: &[&str], version: u64) -> DrainedZones {
    DrainedZones { version, zones: names.iter().map(|z| ZoneName::from(*z)).collect() }
}

fn change(zone: &str, is_drained: bool, version: u64) -> ZoneChange {
    ZoneChange { zone: ZoneName::from(zone), is_drained, version }
}

fn drained(drains: &ZoneDrains) -> Vec<&str> {
    drains.current().zones.iter().map(|z| z.as_str()).collect()
}

fn in_zone(name: &str, zone: &str, model: &str) -> Target {
    Target { zone: ZoneName::from(zone), ..target(name, &[model], &[]) }
}

fn pick(fleet: &mut Fleet, model: &str) -> Pick {
    let (service, model) = (ServiceName::from("s"), ModelName::from(model));
    let requirements = TargetRequirements {
        service: &service,
        model: Some(&model),
        adapter: None,
        prefix: None,
        zones: None,
        cache: CacheNeed::default(),
        origin: None,
    };
    fleet.pick(&requirements, &[], at(0), &mut StdRng::seed_from_u64(1))
}

fn fleet(targets: Vec<Target>) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.mark_signals_synced();
    fleet.apply_full_list(targets, 1, None, at(0));
    fleet
}

#[test]
fn older_state_of_the_zones_does_not_undo_a_newer_one() {
    let mut drains = ZoneDrains::default();
    drains.replace(zones(&["z1", "z2"], 20));
    assert!(drains.replace(zones(&[], 10)).is_empty());
    assert!(drains.apply(ZoneUpdate::All(zones(&["z3"], 20))).is_empty());
    // A response to a call that began before the planner's update.
    drains.apply(ZoneUpdate::Changes(vec![change("z1", false, 15), change("z2", false, 25)], 30));
    assert_eq!((drained(&drains), drains.changed_at()), (vec!["z1"], 30));
}

#[test]
fn both_ways_of_learning_name_the_zones_that_change() {
    let mut drains = ZoneDrains::default();
    let first = drains.apply(ZoneUpdate::Changes(vec![change("z1", true, 4)], 9));
    assert_eq!((first.drained, first.returned), (vec![ZoneName::from("z1")], vec![]));
    let second = drains.replace(zones(&["z2"], 12));
    let (z1, z2) = (ZoneName::from("z1"), ZoneName::from("z2"));
    assert_eq!((second.drained, second.returned), (vec![z2], vec![z1]));
    assert!(drains.replace(zones(&["z2"], 14)).is_empty());
    assert_eq!(drains.changed_at(), 12, "the same set is no change");
}

#[test]
fn request_goes_to_a_zone_that_is_not_drained() {
    let mut fleet = fleet(vec![in_zone("t1", "z1", "m0"), in_zone("t2", "z2", "m0")]);
    fleet.replace_drained_zones(zones(&["z1"], 2), at(0));
    for _ in 0..5 {
        assert!(matches!(pick(&mut fleet, "m0"), Pick::Target(t) if t.name.as_str() == "t2"));
    }
}

#[parameterized(
    one_of_two = { &["z1"], "m1", "t2" },
    all = { &["z1", "z2"], "m1", "drained" },
    model_only_there = { &["z1"], "m0", "not loaded" },
)]
fn request_for_a_drained_zone_is_not_held_back(drained: &[&str], model: &str, expected: &str) {
    let mut fleet = fleet(vec![in_zone("t1", "z1", "m0"), in_zone("t2", "z2", "m1")]);
    fleet.replace_drained_zones(zones(drained, 2), at(0));
    let found = match pick(&mut fleet, model) {
        Pick::Target(t) => t.name.to_string(),
        Pick::Excluded(Exclusion::Drained) => "drained".to_owned(),
        Pick::Excluded(Exclusion::Region) => "outside its regions".to_owned(),
        Pick::Excluded(Exclusion::Software) => "other software".to_owned(),
        Pick::NotLoaded => "not loaded".to_owned(),
        other => format!("{other:?}"),
    };
    assert_eq!(found, expected);
}

#[test]
fn requested_model_is_loaded_elsewhere_before_a_request_waits() {
    let left = vec![target("t2", &["m1"], &["m0", "m5"])];
    let mut harness = PlannerHarness::new(left);
    harness.record_demand(&[model_use("m0", None, 0, 1)], Vec::new());
    assert!(harness.plan().is_empty(), "a model that is loaded nowhere waits for a request");
    harness.planner.set_displaced(HashSet::from(["m0", "m5"].map(ModelName::from)));
    assert_eq!(orders(&harness.plan()), ["t2 +m0"], "nobody asks for m5");
}

#[test]
fn models_of_drained_zones_are_told_to_the_planner() {
    let mut fleet = fleet(vec![in_zone("t1", "z1", "m0"), in_zone("t2", "z2", "m1")]);
    assert!(fleet.models_in_drained_zones(at(0)).is_empty());
    fleet.replace_drained_zones(zones(&["z2"], 2), at(0));
    assert_eq!(fleet.models_in_drained_zones(at(0)), HashSet::from([ModelName::from("m1")]));
}
