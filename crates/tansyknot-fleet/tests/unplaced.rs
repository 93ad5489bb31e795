//! Tests what daemons know of requested models that get no room.

mod support;

use std::time::Duration;

use support::{network::Network, target};
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    dissemination::scheduling::UnplacedModel,
    fleet::{Fleet, TargetRequirements},
    freshness::FreshnessLimits,
    residency::ZoneSet,
    scheduling::{CopyPolicy, SchedulingOptions},
};

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn want<'a>(service: &'a ServiceName, model: &'a ModelName) -> TargetRequirements<'a> {
    TargetRequirements {
        service,
        model: Some(model),
        adapter: None,
        prefix: None,
        zones: None,
        cache: Default::default(),
        origin: None,
    }
}

/// Guards against refusals by an announcement that is no longer repeated, for a model that a target
/// holds, or for requests that it does not concern.
#[test]
fn announcement_holds_for_three_heartbeats_and_for_missing_models_only() {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.mark_signals_synced();
    fleet.apply_full_list(vec![target("t1", &["m0"], &[])], 1, None, at(0));
    let (service, held, missing, other) =
        (ServiceName::from("s"), "m0".into(), "m5".into(), "m6".into());
    let unplaced = [&held, &missing].map(|model: &ModelName| UnplacedModel {
        service: service.clone(),
        model: model.clone(),
        retry_in_ms: 4000,
    });
    assert!(fleet.apply_unplaced(&unplaced, at(0)));
    assert_eq!(fleet.unplaced_count(at(0)), 2);
    assert_eq!(fleet.room_expected_at(&want(&service, &missing), at(899)), Some(at(4000)));
    assert_eq!(fleet.room_expected_at(&want(&service, &missing), at(900)), None);
    assert_eq!(fleet.room_expected_at(&want(&service, &held), at(0)), None);
    assert_eq!(fleet.room_expected_at(&want(&service, &other), at(0)), None);
    let zones = ZoneSet::new([ZoneName::from("z1")].into());
    let bound = TargetRequirements { zones: Some(&zones), ..want(&service, &missing) };
    assert_eq!(fleet.room_expected_at(&bound, at(0)), None);
    assert!(!fleet.apply_unplaced(&[], at(900)) && fleet.unplaced_count(at(900)) == 0);
}

/// Guards against daemons whose callers wait for a model that gets no room, because its
/// announcement does not reach them, and against announcements by default.
#[test]
fn all_daemons_are_told_which_model_gets_no_room() {
    for copies in [CopyPolicy::ServiceTime, CopyPolicy::RateSteps] {
        let mut network = Network::new(5, 0, Duration::from_secs(1));
        network.scheduling = SchedulingOptions { copies, ..SchedulingOptions::default() };
        (0..5).for_each(|n| network.restart(n));
        network.store.configure(support::catalog());
        network.store.put(target("t0", &["m0", "m1", "m2"], &["m5"]));
        network.run(Duration::from_secs(8));
        let (service, model) = (ServiceName::from("s"), "m5".into());
        let target = TargetName::from("t0");
        {
            // Each loaded model has so many requests that it does not become idle.
            let mut fleet = network.nodes[1].state.fleet();
            for loaded in ["m0", "m1", "m2"].map(ModelName::from) {
                (0..4).for_each(|_| fleet.begin_request(&target, Some(&loaded), 0, network.now()));
            }
        }
        let told = |network: &Network| {
            let now = network.now();
            let is_told = |n: &&support::network::Node| {
                n.state.fleet().room_expected_at(&want(&service, &model), now).is_some()
            };
            network.nodes.iter().filter(is_told).count()
        };
        for _ in 0..20 {
            let fleet = || network.nodes[1].state.fleet();
            for loaded in ["m0", "m1", "m2"].map(ModelName::from) {
                fleet().count_arrival(&want(&service, &loaded), network.now());
            }
            network.run(Duration::from_millis(100));
        }
        assert_eq!(told(&network), 0, "nobody waits");
        network.nodes[2].state.fleet().begin_waiting(&want(&service, &model), network.now());
        network.run(Duration::from_millis(800));
        let expected = if copies == CopyPolicy::ServiceTime { 5 } else { 0 };
        assert_eq!(told(&network), expected, "{copies:?}");
        network.nodes[2].state.fleet().end_waiting(&want(&service, &model));
        network.run(Duration::from_millis(1900));
        assert_eq!(told(&network), 0, "the request has left");
    }
}
