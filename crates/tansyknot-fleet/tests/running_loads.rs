//! Tests how loads count that run longer than their tasks, or that an earlier planner has ordered.

mod support;

use std::time::Duration;

use support::{
    network::{Network, Node},
    planner::{PlannerHarness, model_use, orders},
    target,
};
use tansyknot_core::name::{ModelName, ServiceName, TargetName, ZoneName};
use tansyknot_fleet::{
    dissemination::{
        announced_loads::AnnouncedLoads,
        changes::ListUpdate,
        datagram,
        message::{Extent, Message, PlannerUpdate},
        scheduling::{LoadInProgress, SchedulingUpdate},
    },
    fleet::{Fleet, TargetRequirements, UpdateId},
    freshness::FreshnessLimits,
    plan::{Planner, Task},
    scheduling::WeightStorePacing,
    target::Target,
    task::TaskOutcome,
};
use tansyknot_policy::weight_store::Capacity;

/// Creates a planner of ten free targets, where requests wait for ten models that are in the weight
/// store only.
fn harness(pacing: WeightStorePacing) -> PlannerHarness {
    let mut harness =
        PlannerHarness::new((0..10).map(|n| target(&format!("t{n}"), &[], &[])).collect());
    harness.planner.set_weight_store_pacing(pacing);
    record_demand(&mut harness);
    harness
}

fn record_demand(harness: &mut PlannerHarness) {
    let uses: Vec<_> = (0..10).map(|n| model_use(&format!("m{n}"), None, 1, 1)).collect();
    harness.record_demand(&uses, Vec::new());
}

/// Starts the loads that the planner orders now; returns their targets. Checks of overdue loads
/// find these running.
fn start_loads(harness: &mut PlannerHarness) -> Vec<TargetName> {
    record_demand(harness);
    let (checks, loads): (Vec<Task>, Vec<Task>) =
        harness.plan().into_iter().partition(|t| t.steps.is_empty());
    for check in checks {
        harness.planner.task_ended(&check.target.name, TaskOutcome::Busy, harness.now);
    }
    let names: Vec<TargetName> = loads.iter().map(|t| t.target.name.clone()).collect();
    names.iter().for_each(|name| harness.planner.load_accepted(name, harness.now));
    names
}

fn advance(harness: &mut PlannerHarness, duration: Duration) {
    harness.now = harness.now + duration;
    let fleet = fleet(harness);
    harness.planner.track_loads(&fleet, harness.now);
}

fn fleet(harness: &PlannerHarness) -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    let targets: Vec<Target> = harness.targets.iter().map(|t| Target::clone(t)).collect();
    fleet.apply_full_list(targets, 1, None, harness.now);
    fleet
}

/// Guards against a planner that stops counting loads that it gave up on, and starts as many more.
#[test]
fn load_counts_until_the_list_shows_its_end() {
    let mut harness = harness(WeightStorePacing::Fixed);
    let started = start_loads(&mut harness);
    assert_eq!(started.len(), 4);
    for name in &started {
        harness.planner.task_ended(name, TaskOutcome::Busy, harness.now);
    }
    advance(&mut harness, Duration::from_secs(11));
    assert!(start_loads(&mut harness).is_empty(), "four loads still run");

    let index = harness.targets.iter().position(|t| t.name == started[0]).expect("it is a target");
    harness.targets[index] = target(started[0].as_str(), &["m0"], &[]).into();
    advance(&mut harness, Duration::from_secs(1));
    assert_eq!(start_loads(&mut harness).len(), 1);
    advance(&mut harness, Duration::from_secs(120));
    assert_eq!(start_loads(&mut harness).len(), 3, "loads that never end count for 120 s");
}

/// Guards against a load that has failed after its task and keeps others from the weight store.
#[test]
fn overdue_load_is_checked_and_no_longer_counts_if_its_target_is_not_busy() {
    let mut harness = harness(WeightStorePacing::Observed);
    let started: Vec<TargetName> = (0..2).flat_map(|_| start_loads(&mut harness)).collect();
    assert_eq!(started.len(), 2);
    harness.now = harness.now + Duration::from_secs(11);
    for name in &started {
        harness.planner.task_ended(name, TaskOutcome::Busy, harness.now);
    }
    assert!(harness.plan().is_empty(), "the loads should end after 12 s");
    advance(&mut harness, Duration::from_secs(2));
    let checks = harness.plan();
    assert!(checks.iter().all(|check| check.steps.is_empty()));
    assert_eq!(checks.len(), 2);
    for name in &started {
        harness.planner.task_ended(name, TaskOutcome::Done, harness.now);
    }
    // Loads that have failed show nothing of the store, so that one more is tried again.
    assert_eq!(start_loads(&mut harness).len(), 2);
}

/// Guards against four loads at once from a store that serves one.
#[test]
fn observed_store_gets_one_load_and_one_to_gather_evidence() {
    let mut harness = harness(WeightStorePacing::Observed);
    let started: usize = (0..5).map(|_| start_loads(&mut harness).len()).sum();
    assert_eq!(started, 2);
    // The second load makes both take twice their 6 s.
    advance(&mut harness, Duration::from_secs(8));
    assert_eq!(harness.planner.weight_store_capacity().slow, Some(2));
    assert!(start_loads(&mut harness).is_empty());
    let due: Vec<u32> =
        harness.planner.loads_in_progress(harness.now).iter().map(|l| l.due_in_ms).collect();
    assert_eq!(due, [4000, 4000]);
}

/// Guards against a new planner that orders targets which execute its predecessor's loads, loads
/// their models again, and starts four more loads from the weight store.
#[test]
fn successor_continues_with_the_announced_loads() {
    let mut harness = harness(WeightStorePacing::Fixed);
    let started = start_loads(&mut harness);
    let (loads, capacity) =
        (harness.planner.loads_in_progress(harness.now), harness.planner.weight_store_capacity());
    assert_eq!(loads.len(), 4);

    harness.planner = Planner::default();
    harness.planner.reset(harness.now);
    let fleet = fleet(&harness);
    harness.planner.adopt_loads(&loads, capacity, harness.now, &fleet, harness.now);
    advance(&mut harness, Duration::from_secs(2));
    assert!(start_loads(&mut harness).is_empty());
    let pending = harness.planner.pending_loads(harness.now);
    assert_eq!(pending.iter().map(|p| p.due_in_ms).max(), Some(4000));

    // They expire at twice their 6 s; until then they count.
    advance(&mut harness, Duration::from_secs(9));
    assert!(start_loads(&mut harness).is_empty());
    advance(&mut harness, Duration::from_secs(1));
    assert_eq!(start_loads(&mut harness).len(), started.len());
}

/// Guards against an adapter or a model from disk that is ordered from a busy target.
#[test]
fn load_waits_for_the_announced_end_at_its_target() {
    let mut harness = PlannerHarness::new(vec![target("t1", &[], &["m5"])]);
    let busy = LoadInProgress {
        target: TargetName::from("t1"),
        model: None,
        is_remote: true,
        age_ms: 1000,
        due_in_ms: 2000,
    };
    let fleet = fleet(&harness);
    harness.planner.adopt_loads(&[busy], Capacity::default(), harness.now, &fleet, harness.now);
    harness.record_demand(&[model_use("m5", None, 1, 1)], Vec::new());
    assert!(harness.plan().is_empty());
    assert_eq!(harness.planner.pending_loads(harness.now)[0].due_in_ms, 2900);
    harness.now = harness.now + Duration::from_secs(2);
    harness.record_demand(&[model_use("m5", None, 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t1 +m5"]);
}

/// Guards against a list that loses the parts of a heartbeat, or is dropped between heartbeats.
#[test]
fn parts_of_the_newest_heartbeat_make_the_announced_list() {
    let now = tansyknot_core::clock::Time::from_millis(1000);
    let part = |model: &str| SchedulingUpdate {
        weight_store: Some(Capacity { full_speed: 2, slow: None }),
        loads_in_progress: vec![LoadInProgress {
            target: TargetName::from("t1"),
            model: Some(ModelName::from(model)),
            is_remote: true,
            age_ms: 0,
            due_in_ms: 6000,
        }],
        ..SchedulingUpdate::default()
    };
    let id = |fence, seq| UpdateId { fence, seq };
    let mut announced = AnnouncedLoads::default();
    announced.record(id(3, 7), &part("m0"), now);
    announced.record(id(3, 7), &part("m1"), now);
    announced.record(id(3, 8), &SchedulingUpdate::default(), now);
    announced.record(id(3, 6), &part("m2"), now);
    assert_eq!((announced.loads().0.len(), announced.capacity().full_speed), (2, 2));
    announced.record(id(4, 1), &part("m3"), now);
    assert_eq!(announced.loads().0, part("m3").loads_in_progress);
}

/// Returns an update of the planner that announces a load of `m9` at `t0`.
fn announcement(planner: &Node, load: LoadInProgress) -> PlannerUpdate {
    let scheduling = SchedulingUpdate {
        weight_store: Some(Capacity::default()),
        loads_in_progress: vec![load],
        ..SchedulingUpdate::default()
    };
    PlannerUpdate {
        fence: planner.lease.fence(),
        planner: "d".into(),
        address: planner.address,
        // The planner's own heartbeats do not replace the announcement.
        seq: u32::MAX,
        extent: Extent::Changes,
        lease_version: 0,
        lease_age_ms: 0,
        stamp_us: None,
        daemons: 0,
        config: 0,
        poison: Default::default(),
        config_age_ms: 0,
        drained_zones: Default::default(),
        list: ListUpdate::default(),
        peers: Vec::new(),
        pending_loads: Vec::new(),
        loads: Vec::new(),
        signals: Vec::new(),
        scheduling,
    }
}

/// Guards against announcements that followers do not keep until one of them becomes the planner.
#[test]
fn daemon_that_becomes_planner_announces_the_loads_of_its_predecessor() {
    let mut network = Network::new(9, 20, Duration::from_secs(2));
    network.run(Duration::from_secs(4));
    let planner = network.planner().expect("there is a planner");
    let (fence, address) = (planner.lease.fence(), planner.address);
    let load = LoadInProgress {
        target: TargetName::from("t0"),
        model: Some(ModelName::from("m9")),
        is_remote: true,
        age_ms: 1000,
        due_in_ms: 20_000,
    };
    let bytes = datagram::encode(&Message::Update(announcement(planner, load)));
    let bytes = bytes.expect("the update fits into a datagram");
    let due = network.now() + Duration::from_secs(20);
    for node in &mut network.nodes {
        node.is_dead = node.address == address;
        if !node.is_dead {
            node.peer_node.handle_datagram(&bytes, address);
        }
    }
    network.run(Duration::from_secs(8));
    assert!(network.planner().is_some_and(|planner| planner.lease.fence() > fence));
    let (service, model) = (ServiceName::from("s"), ModelName::from("m9"));
    let want = TargetRequirements {
        service: &service,
        model: Some(&model),
        adapter: None,
        prefix: None,
        zones: None,
        cache: Default::default(),
        origin: None,
    };
    for node in network.nodes.iter().filter(|node| !node.is_dead) {
        let announced = node.state.fleet().pending_load_due(&want, network.now());
        let announced = announced.expect("the load is announced");
        assert!(announced.since(due).max(due.since(announced)) < Duration::from_millis(100));
    }
}
