//! Tests that targets that warm up get no request without a permit, and for how long.

mod support;

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use support::{catalog, target};
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    backpressure::{Interval, Rate, RunOutcome, SignalField, Signals},
    catalog::Catalog,
    dissemination::changes::{Change, Entry},
    fleet::{CacheNeed, Fleet, Pick, TargetRequirements, warm_up::WarmUpPolicy},
    freshness::FreshnessLimits,
    platform_api::TargetChange,
    poison::key::RunKey,
    target::{StartTime, Target},
    zone_drain::DrainedZones,
};

const RATE_PER_S: f64 = 9.5;
const DURATION: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

/// Returns the configuration, with a warm-up of its service.
fn configuration() -> Catalog {
    let mut catalog = catalog();
    let rate = Rate::new(RATE_PER_S).expect("the rate is valid");
    for service in catalog.services.values_mut() {
        service.warm_up = Some(WarmUpPolicy { rate, duration: DURATION });
    }
    catalog
}

fn fleet(targets: Vec<Target>) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.mark_signals_synced();
    fleet.set_warm_up_policies(&configuration());
    fleet.apply_full_list(targets, 1, None, at(0));
    fleet
}

fn entry(name: &str, left_ms: u64) -> Target {
    let warm_up_left = Duration::from_millis(left_ms);
    Target { started_at: Some(StartTime(1)), warm_up_left, ..target(name, &["m0"], &[]) }
}

fn put(fleet: &mut Fleet, entry: Target, version: u64, now: Time) {
    fleet.apply_change(TargetChange::Put(Box::new(Target { version, ..entry })), now);
}

fn rate_of(fleet: &Fleet, name: &str, now: Time) -> Option<f64> {
    let run = RunKey::of(fleet.target(&TargetName::from(name)).expect("the target is listed"));
    fleet.rate_limit(run, now).map(Rate::per_s)
}

fn pick(fleet: &mut Fleet, now: Time) -> String {
    let (service, model) = (ServiceName::from("s"), ModelName::from("m0"));
    let requirements = TargetRequirements {
        service: &service,
        model: Some(&model),
        adapter: None,
        prefix: None,
        zones: None,
        cache: CacheNeed::default(),
        origin: None,
    };
    match fleet.pick(&requirements, &[], now, &mut StdRng::seed_from_u64(1)) {
        Pick::Target(t) => t.name.to_string(),
        Pick::Limited { target, .. } => format!("{} with a permit", target.name),
        other => format!("{other:?}"),
    }
}

#[test]
fn new_target_gets_no_request_without_a_permit_until_it_has_warmed_up() {
    let mut fleet = fleet(vec![entry("t1", 3000)]);
    assert_eq!(pick(&mut fleet, at(10)), "t1 with a permit");
    let t1 = entry("t1", 0);
    assert!(!fleet.may_send(&t1, None, at(2_999)));
    assert!(fleet.may_send(&t1, None, at(3_000)));
    assert_eq!(pick(&mut fleet, at(3_000)), "t1");
}

#[test]
fn warm_target_goes_first() {
    let mut fleet = fleet(vec![entry("t1", 3000), entry("t2", 0)]);
    for _ in 0..8 {
        assert_eq!(pick(&mut fleet, at(10)), "t2");
    }
}

#[test]
fn entry_of_a_running_target_that_warms_up_again_counts() {
    let mut fleet = fleet(vec![entry("t1", 0)]);
    assert_eq!(rate_of(&fleet, "t1", at(10)), None);
    put(&mut fleet, entry("t1", 2_000), 2, at(20));
    assert_eq!(rate_of(&fleet, "t1", at(2_019)), Some(RATE_PER_S));
    put(&mut fleet, entry("t1", 0), 3, at(1_200));
    assert_eq!(rate_of(&fleet, "t1", at(1_200)), None, "a newer entry ends the warm-up");
}

#[test]
fn lower_one_of_both_limits_counts() {
    let mut fleet = fleet(vec![entry("t1", 3_000)]);
    let signal = |per_s: f64| Signals {
        limit: Rate::new(per_s).map_or(SignalField::Malformed, SignalField::Value),
        ..Signals::default()
    };
    let at_ms = |ms: u64| Interval { sent: at(ms), received: at(ms + 1) };
    fleet.record_signals(&entry("t1", 0), &signal(2.0), RunOutcome::Ran, at_ms(0));
    assert_eq!(rate_of(&fleet, "t1", at(10)), Some(2.0));
    fleet.record_signals(&entry("t1", 0), &signal(50.0), RunOutcome::Ran, at_ms(20));
    assert_eq!(rate_of(&fleet, "t1", at(30)), Some(RATE_PER_S));
    assert_eq!(rate_of(&fleet, "t1", at(3_000)), Some(50.0));
}

#[test]
fn targets_of_a_zone_that_returns_warm_up_whatever_their_entries_say() {
    let mut fleet = fleet(vec![entry("t1", 0)]);
    let zones = |names: &[&str], version| DrainedZones {
        version,
        zones: names.iter().map(|z| ZoneName::from(*z)).collect(),
    };
    fleet.replace_drained_zones(zones(&["z1"], 2), at(0));
    fleet.replace_drained_zones(zones(&[], 3), at(8_000));
    put(&mut fleet, entry("t1", 0), 4, at(8_100));
    assert_eq!(rate_of(&fleet, "t1", at(10_999)), Some(RATE_PER_S));
    assert_eq!(rate_of(&fleet, "t1", at(11_000)), None);
}

#[test]
fn followers_get_a_warm_up_when_it_begins_and_ends_and_not_each_step_of_it() {
    let published = |known: u64, newer: u64| {
        let known = entry("t1", known);
        !Entry::from_target(&entry("t1", newer)).equals_except_version(&known)
    };
    assert!(published(0, 3_000));
    assert!(!published(3_000, 1_800));
    assert!(published(600, 0));
    assert!(published(600, 3_000), "a target may warm up again");
    let mut follower = fleet(vec![entry("t1", 0)]);
    let put = Change::Put(Entry::from_target(&Target { version: 2, ..entry("t1", 3_000) }));
    follower.apply_update(put, 1, at(50));
    assert_eq!(rate_of(&follower, "t1", at(3_049)), Some(RATE_PER_S));
}
