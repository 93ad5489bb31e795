//! Tests of targets that run several versions of their software: the choice of a target for a stream
//! that goes on, and the loads for it.

mod support;

use rand::{SeedableRng, rngs::StdRng};
use support::planner::{PlannerHarness, model_use, orders};
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, SoftwareVersion, TargetName},
};
use tansyknot_fleet::{
    bounds::Bounds,
    dissemination::message::{DemandKey, ModelUse},
    fleet::{CacheNeed, Exclusion, Fleet, Pick, TargetRequirements},
    freshness::FreshnessLimits,
    stream_origin::{Origin, Software},
    target::Target,
};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn running(name: &str, version: Option<&str>, models: &[&str], disk: &[&str]) -> Target {
    Target { software: version.map(SoftwareVersion::from), ..support::target(name, models, disk) }
}

fn origin(software: Software) -> Origin {
    Origin { service: ServiceName::from("s"), software }
}

fn version(version: &str) -> Software {
    Software::Version(SoftwareVersion::from(version))
}

fn pick(fleet: &mut Fleet, model: &str, origin: &Origin) -> String {
    let (service, model) = (ServiceName::from("s"), ModelName::from(model));
    let want = TargetRequirements {
        service: &service,
        model: Some(&model),
        adapter: None,
        prefix: None,
        zones: None,
        cache: CacheNeed::default(),
        origin: Some(origin),
    };
    match fleet.pick(&want, &[], at(0), &mut StdRng::seed_from_u64(1)) {
        Pick::Target(target) => target.name.to_string(),
        Pick::Excluded(Exclusion::Software) => "no such software".to_owned(),
        Pick::NotLoaded => "not loaded".to_owned(),
        other => format!("{other:?}"),
    }
}

#[parameterized(
    only_at_its_version = { version("v1.1"), "m0", "b" },
    model_is_at_another_version = { version("v1"), "m1", "not loaded" },
    version_is_gone = { version("v0"), "m0", "no such software" },
    unknown_version = { Software::OnlyAt(TargetName::from("c")), "m0", "c" },
    target_of_unknown_version_is_gone = { Software::OnlyAt(TargetName::from("d")), "m0",
                                          "no such software" },
)]
fn begun_stream_goes_only_where_its_software_runs(software: Software, model: &str, expected: &str) {
    let mut fleet = Fleet::new("z1".into(), FreshnessLimits::default());
    let targets = vec![
        running("a", Some("v1"), &["m0"], &[]),
        running("b", Some("v1.1"), &["m0", "m1"], &[]),
        running("c", None, &["m0"], &[]),
    ];
    fleet.apply_full_list(targets, 1, None, at(0));
    fleet.mark_signals_synced();
    for _ in 0..6 {
        assert_eq!(pick(&mut fleet, model, &origin(software.clone())), expected);
    }
}

#[test]
fn begun_stream_stays_with_its_service() {
    let mut fleet = Fleet::new("z1".into(), FreshnessLimits::default());
    fleet.apply_full_list(vec![running("a", Some("v1"), &["m0"], &[])], 1, None, at(0));
    let other = Origin { service: ServiceName::from("other"), software: version("v1") };
    assert_eq!(pick(&mut fleet, "m0", &other), "no such software");
}

fn bound_use(model: &str, software: Software) -> ModelUse {
    let ModelUse { key, arrived, .. } = model_use(model, None, 1, 1);
    let bounds = Bounds { zones: None, software: Some(software) };
    ModelUse { key: DemandKey { bounds, ..key }, waiting: 1, arrived }
}

#[test]
fn model_that_a_begun_stream_waits_for_is_loaded_at_its_software() {
    let targets = vec![
        running("t1", Some("v1"), &["m5"], &["m0"]),
        running("t2", Some("v1.1"), &["m1"], &["m5"]),
    ];
    let mut harness = PlannerHarness::new(targets.clone());
    harness.record_demand(&[bound_use("m5", version("v1.1"))], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t2 +m5"], "the copy at v1 does not help");
    let mut harness = PlannerHarness::new(targets);
    harness.record_demand(&[bound_use("m5", version("v1"))], Vec::new());
    assert!(harness.plan().is_empty(), "a copy at v1 is there");
}

#[test]
fn model_that_a_begun_stream_waits_for_is_loaded_anywhere_if_all_software_is_the_same() {
    let mut harness = PlannerHarness::new(vec![
        running("t1", Some("v1"), &["m1"], &["m5"]),
        running("t2", Some("v1"), &["m1"], &[]),
    ]);
    harness.record_demand(&[bound_use("m5", version("v1"))], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t1 +m5"]);
}
