//! Tests that a request that is bound to regions is served, and its model loaded, only there.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::{SeedableRng, rngs::StdRng};
use support::{
    planner::{PlannerHarness, model_use, orders},
    target,
};
use tansyknot_core::{
    clock::Time,
    name::{ModelName, RegionName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    bounds::Bounds,
    dissemination::message::{DemandKey, ModelUse},
    fleet::{CacheNeed, Exclusion, Fleet, Pick, TargetRequirements},
    freshness::FreshnessLimits,
    residency::{RegionSet, Regions, ZoneSet},
    target::Target,
    zone_drain::DrainedZones,
};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

/// Returns the regions of zones `z1` and `z2` in `north` and `z3` in `south`.
fn regions() -> Regions {
    let pairs = [("z1", "north"), ("z2", "north"), ("z3", "south")];
    let by_zone = pairs.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)));
    Regions::new(BTreeMap::from(by_zone))
}

fn region_set(names: &[&str]) -> RegionSet {
    names.iter().map(|name| RegionName::from(*name)).collect()
}

fn zone_set(names: &[&str]) -> ZoneSet {
    Arc::new(names.iter().map(|name| ZoneName::from(*name)).collect())
}

fn in_zone(name: &str, zone: &str, models: &[&str], disk: &[&str]) -> Target {
    Target { zone: ZoneName::from(zone), ..target(name, models, disk) }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.mark_signals_synced();
    let targets = vec![in_zone("t1", "z1", &["m0"], &[]), in_zone("t3", "z3", &["m0"], &[])];
    fleet.apply_full_list(targets, 1, None, at(0));
    fleet
}

fn pick(fleet: &mut Fleet, zones: Option<&ZoneSet>) -> String {
    let (service, model) = (ServiceName::from("s"), ModelName::from("m0"));
    let want = TargetRequirements {
        service: &service,
        model: Some(&model),
        adapter: None,
        prefix: None,
        zones,
        cache: CacheNeed::default(),
        origin: None,
    };
    match fleet.pick(&want, &[], at(0), &mut StdRng::seed_from_u64(1)) {
        Pick::Target(t) => t.name.to_string(),
        Pick::Excluded(Exclusion::Drained) => "drained".to_owned(),
        Pick::Excluded(Exclusion::Region) => "outside its regions".to_owned(),
        Pick::Excluded(Exclusion::Software) => "other software".to_owned(),
        other => format!("{other:?}"),
    }
}

fn bound_use(model: &str, waiting: u16, zones: &ZoneSet) -> ModelUse {
    let ModelUse { key, arrived, .. } = model_use(model, None, waiting, 1);
    let bounds = Bounds { zones: Some(Arc::clone(zones)), software: None };
    ModelUse { key: DemandKey { bounds, ..key }, waiting, arrived }
}

#[parameterized(
    route = { &[&["north"]], &["z1", "z2"] },
    route_and_team = { &[&["north", "south"], &["south"]], &["z3"] },
    nothing_in_common = { &[&["north"], &["south"]], &[] },
    unknown_region = { &[&["east"]], &[] },
    empty_list = { &[&[]], &[] },
)]
fn every_bound_counts(bounds: &[&[&str]], expected: &[&str]) {
    let sets: Vec<RegionSet> = bounds.iter().map(|names| region_set(names)).collect();
    let allowed = regions().allowed_zones(&sets.iter().collect::<Vec<_>>());
    assert_eq!(allowed, Some(zone_set(expected)));
}

#[test]
fn request_without_a_bound_may_go_anywhere() {
    assert_eq!(regions().allowed_zones(&[]), None);
}

#[test]
fn unknown_regions_of_a_bound_are_told() {
    let set = region_set(&["north", "east"]);
    let unknown: BTreeSet<_> = regions().unknown(&set).cloned().collect();
    assert_eq!(unknown, region_set(&["east"]));
}

#[test]
fn bound_request_goes_to_a_target_in_its_regions_only() {
    let mut fleet = fleet();
    let south = zone_set(&["z3"]);
    for _ in 0..5 {
        assert_eq!(pick(&mut fleet, Some(&south)), "t3", "also if another target has less load");
    }
}

#[parameterized(
    no_target_there = { &["z2"], &[], "outside its regions" },
    nothing_allowed = { &[], &[], "outside its regions" },
    drained_there = { &["z3"], &["z3"], "drained" },
)]
fn request_without_a_target_in_its_regions_is_not_held(
    allowed: &[&str],
    drained: &[&str],
    expected: &str,
) {
    let mut fleet = fleet();
    let zones = drained.iter().map(|zone| ZoneName::from(*zone)).collect();
    fleet.replace_drained_zones(DrainedZones { version: 2, zones }, at(0));
    assert_eq!(pick(&mut fleet, Some(&zone_set(allowed))), expected);
}

#[test]
fn model_that_bound_requests_wait_for_is_loaded_in_their_regions() {
    let mut harness = PlannerHarness::new(vec![
        in_zone("t1", "z1", &["m5"], &["m0"]),
        in_zone("t3", "z3", &["m1"], &["m5"]),
    ]);
    harness.record_demand(&[bound_use("m5", 1, &zone_set(&["z3"]))], Vec::new());
    let planned = harness.plan();
    assert_eq!(orders(&planned), ["t3 +m5"], "the copy in z1 does not help");
    harness.planner.task_ended(
        &TargetName::from("t3"),
        tansyknot_fleet::task::TaskOutcome::Failed,
        harness.now,
    );
    harness.record_demand(&[bound_use("m5", 1, &zone_set(&["z9"]))], Vec::new());
    assert!(harness.plan().is_empty(), "there is no target in z9");
}

#[test]
fn free_demand_counts_copies_everywhere() {
    let mut harness = PlannerHarness::new(vec![
        in_zone("t1", "z1", &["m5"], &[]),
        in_zone("t3", "z3", &["m1"], &["m5"]),
    ]);
    let uses = [bound_use("m1", 0, &zone_set(&["z3"])), model_use("m5", None, 1, 1)];
    harness.record_demand(&uses, Vec::new());
    assert!(harness.plan().is_empty());
}
