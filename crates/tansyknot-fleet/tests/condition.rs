//! Tests how daemons share their observations of targets, and what depends on them, in virtual time.

mod support;

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};
use support::{
    network::Network,
    planner::{PlannerHarness, model_use, orders},
    target,
};
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName},
};
use tansyknot_fleet::{
    condition::{Conditions, ReceivedReport, interval::IntervalMeter},
    dissemination::scheduling::{Observation, ObservedOutcome, SchedulingReport},
    fleet::{Fleet, Pick, TargetRequirements},
    platform_api::TargetChange,
    scheduling::TargetChoice,
    target::StartTime,
};
use yare::parameterized;

const HEARTBEAT: Duration = Duration::from_millis(300);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn name(n: usize) -> TargetName {
    TargetName::new(format!("t{n}"))
}

fn stream(n: usize, interval_ms: u32) -> Observation {
    let outcome = ObservedOutcome::Stream { event_interval_us: interval_ms * 1000 };
    Observation { target: name(n), model: Some(ModelName::from("m0")), outcome }
}

/// A daemon that observes targets, and the planner that receives its reports.
struct Pair {
    service: ServiceName,
    daemon: Conditions,
    planner: Conditions,
    now: Time,
}

impl Pair {
    fn new() -> Self {
        let (daemon, planner) = (Conditions::default(), Conditions::default());
        let now = Time::from_millis(100_000);
        Self { service: ServiceName::from("s"), daemon, planner, now }
    }

    /// Observes targets 0 to 4, of which target 0 takes `slow_ms` between events, and target 4
    /// fails.
    fn observe(&mut self, slow_ms: u32) {
        let mut observations = vec![stream(0, slow_ms)];
        observations.extend((1..4).map(|n| stream(n, 20)));
        observations.push(Observation { outcome: ObservedOutcome::Failed, ..stream(4, 0) });
        for observation in observations {
            self.daemon.observe(&self.service, observation, 1, self.now);
        }
    }

    fn receive(&mut self, report: &SchedulingReport) {
        let (daemon, incarnation): (Arc<str>, Arc<str>) = ("d1".into(), "run-1".into());
        let received = ReceivedReport { daemon: &daemon, incarnation: &incarnation, report };
        self.planner.record_report(received, |_| Some(&self.service), self.now);
    }

    fn heartbeat(&mut self, slow_ms: u32) -> HashMap<TargetName, u16> {
        self.now = self.now + HEARTBEAT;
        self.observe(slow_ms);
        let report = self.daemon.report(self.now);
        self.receive(&report);
        let announced = self.planner.announce(self.now);
        announced.into_iter().map(|c| (c.target, c.slowness_permille)).collect()
    }
}

/// Guards against observations that count twice because reports repeat them, or not at all because
/// a datagram was lost or arrived late.
#[test]
fn each_observation_counts_once_although_datagrams_are_lost() {
    let (mut once, mut lossy) = (Pair::new(), Pair::new());
    let mut delayed = None;
    for round in 0..20 {
        for pair in [&mut once, &mut lossy] {
            pair.now = pair.now + HEARTBEAT;
            pair.observe(80);
        }
        let report = once.daemon.report(once.now);
        let (_, newest) = report.observations.split_at(report.observations.len() - 5);
        once.receive(&part(1 + round * 5, newest));
        let report = lossy.daemon.report(lossy.now);
        match round % 3 {
            // Lost.
            0 => {}
            // Two parts that arrive in the wrong order, the first after the next report.
            1 => {
                let cut = report.observations.len() - 5;
                let (first, second) = report.observations.split_at(cut);
                lossy.receive(&part(report.first_observation + cut as u32, second));
                delayed = Some(part(report.first_observation, first));
            }
            _ => {
                lossy.receive(&report);
                delayed.take().iter().for_each(|part| lossy.receive(part));
            }
        }
    }
    let report = lossy.daemon.report(lossy.now);
    lossy.receive(&report);
    let failures = [once, lossy].map(|mut pair| {
        pair.planner.announce(pair.now);
        pair.planner.condition(&name(4), false, pair.now).failures
    });
    assert!((failures[0] - failures[1]).abs() < 0.02, "{failures:?}");
}

fn part(first_observation: u32, observations: &[Observation]) -> SchedulingReport {
    let observations = observations.to_vec();
    SchedulingReport { first_observation, observations, ..SchedulingReport::default() }
}

/// Guards against announcements that fill the datagrams of each heartbeat, and against a slow
/// target that is announced only with the next full list.
#[test]
fn differing_targets_are_announced_each_second_and_large_changes_at_once() {
    let mut pair = Pair::new();
    let steady: Vec<usize> = (0..20).map(|_| pair.heartbeat(20).len()).collect();
    assert!(steady[8..].iter().filter(|n| **n > 0).count() <= 4, "{steady:?}");
    while !pair.heartbeat(20).contains_key(&name(4)) {}
    let next = pair.heartbeat(200);
    assert!(next.get(&name(0)).is_some_and(|slowness| *slowness > 1250), "{next:?}");
    let differing = [name(0), name(4)];
    for announced in (0..8).map(|_| pair.heartbeat(200)) {
        assert!(announced.keys().all(|target| differing.contains(target)), "{announced:?}");
    }
}

/// Guards against conditions of a planner that is gone, which would stay for ever.
#[test]
fn announced_condition_expires_and_own_observations_remain() {
    let mut pair = Pair::new();
    (0..10).for_each(|_| drop(pair.heartbeat(80)));
    let conditions = pair.planner.announce(pair.now + ms(1000));
    let mut other = Conditions::default();
    other.receive(&conditions, pair.now);
    assert!(other.condition(&name(0), false, pair.now).slowness > 2.0);
    // A daemon that becomes the planner continues with what it has received.
    let mut successor = Conditions::default();
    successor.receive(&conditions, pair.now);
    successor.begin_announcing(|_| Some(&pair.service), pair.now);
    let announced = successor.announce(pair.now);
    assert!(announced.iter().any(|c| c.target == name(0) && c.slowness_permille > 2000));
    let later = pair.now + Duration::from_secs(5);
    assert_eq!(other.condition(&name(0), false, later).slowness, 1.0);
    assert!(
        pair.daemon.condition(&name(0), false, pair.now).slowness > 2.0,
        "no planner has announced it"
    );
}

/// Guards against many requests that measure an idle slow target at the same time.
#[test]
fn idle_slow_target_is_measured_by_one_request() {
    let mut pair = Pair::new();
    (0..10).for_each(|_| drop(pair.heartbeat(80)));
    let mut idle_since = 0;
    while pair.planner.condition(&name(0), false, pair.now).slowness > 1.5 {
        pair.now = pair.now + HEARTBEAT;
        pair.planner.announce(pair.now);
        idle_since += 1;
    }
    assert!(idle_since < 30, "{idle_since} heartbeats");
    assert!(pair.planner.condition(&name(0), true, pair.now).slowness > 1.9);
    pair.now = pair.now + Duration::from_secs(4);
    pair.planner.announce(pair.now);
    assert!(pair.planner.condition(&name(0), true, pair.now).slowness < 1.5);
    // The planner still places no hot models there.
    assert!(pair.planner.placement_slowness()[&name(0)] > 2.5);
}

/// Guards against streams that count as slow because the prompts of other requests interrupt them,
/// and against a slow target that shows only when its streams end.
#[test]
fn median_interval_ignores_pauses_and_is_available_during_the_stream() {
    let mut meter = IntervalMeter::default();
    let gaps = [20, 20, 20, 300, 20, 20, 20, 300];
    let medians: Vec<Duration> = gaps.iter().filter_map(|gap| meter.record(ms(*gap), 1)).collect();
    assert_eq!(medians, [ms(20)]);
    assert_eq!(meter.take_median(), None, "a stream of few events shows nothing");
    assert_eq!(meter.record(ms(800), 4), Some(ms(200)), "events that arrive together");
}

fn fleet(choice: TargetChoice, now: Time) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.set_target_choice(choice);
    fleet.mark_signals_synced();
    fleet.apply_full_list(
        (0..4).map(|n| target(&format!("t{n}"), &["m0"], &[])).collect(),
        1,
        None,
        now,
    );
    fleet
}

fn picks_of(fleet: &mut Fleet, at: &TargetName, now: Time) -> usize {
    let (service, model) = (ServiceName::from("s"), ModelName::from("m0"));
    let (adapter, prefix, zones) = (None, None, None);
    let want = TargetRequirements {
        service: &service,
        model: Some(&model),
        adapter,
        prefix,
        zones,
        cache: Default::default(),
        origin: None,
    };
    let mut rng = StdRng::seed_from_u64(2);
    let picked = (0..8).filter_map(|_| match fleet.pick(&want, &[], now, &mut rng) {
        Pick::Target(t) => Some(t.name.clone()),
        _ => None,
    });
    picked.filter(|name| name == at).count()
}

/// Guards against a choice by time with the default setting, and against one that ignores the
/// conditions or keeps those of a run that has ended.
#[parameterized(
    by_requests = { TargetChoice::LeastRequests, 2 },
    by_time = { TargetChoice::ExpectedTime, 0 },
)]
fn slow_target_is_picked(choice: TargetChoice, expected: usize) {
    let now = Time::from_millis(100_000);
    let mut fleet = fleet(choice, now);
    let model = ModelName::from("m0");
    for _ in 0..5 {
        (0..4).for_each(|n| {
            fleet.observe_stream(&name(n), Some(&model), ms(if n == 0 { 90 } else { 20 }), now);
        });
    }
    assert_eq!(picks_of(&mut fleet, &name(0), now), expected);
    for (run, version) in [(1, 2), (2, 3)] {
        let mut restarted = target("t0", &["m0"], &[]);
        (restarted.started_at, restarted.version) = (Some(StartTime(run)), version);
        fleet.apply_change(TargetChange::Put(Box::new(restarted)), now);
    }
    assert_eq!(fleet.condition(&name(0), now).slowness, 1.0);
}

/// Guards against hot models at slow targets, and against slow targets that are left empty.
#[parameterized(hot = { 60, "t1 +m5" }, rare = { 1, "t0 +m5" })]
fn model_is_placed_by_its_rate(arrivals: u32, expected: &str) {
    // The slow target has the weights in memory, the fast one on its disk.
    let mut slow = target("t0", &["m0"], &[]);
    slow.in_memory = vec![ModelName::from("m5")];
    let mut harness = PlannerHarness::new(vec![slow, target("t1", &["m0"], &["m5"])]);
    harness.planner.set_slowness(HashMap::from([(name(0), 2.4)]));
    harness.record_demand(&[model_use("m5", None, 0, 1)], Vec::new());
    harness.record_demand(&[model_use("m5", None, 1, 1 + arrivals)], Vec::new());
    assert_eq!(orders(&harness.plan()), [expected]);
}

/// Guards against observations that do not reach the other daemons, also with lost datagrams and
/// after the planner has died.
#[test]
fn all_daemons_learn_of_a_slow_target() {
    let mut network = Network::new(9, 6, ms(2000));
    network.loss = 0.1;
    network
        .nodes
        .iter()
        .for_each(|n| n.state.fleet().set_target_choice(TargetChoice::ExpectedTime));
    let run = |network: &mut Network, seconds: u64| {
        for _ in 0..seconds * 5 {
            network.run(ms(200));
            let now = network.now();
            // Each daemon but the last observes one target at a time.
            for (by, node) in network.nodes.iter().enumerate().take(8).filter(|(_, n)| !n.is_dead) {
                let at = (by + (now.since(Time::default()).as_millis() / 200) as usize) % 6;
                let interval = ms(if at == 2 { 80 } else { 20 });
                node.state.fleet().observe_stream(&name(at), None, interval, now);
            }
        }
    };
    let slowness = |network: &Network| {
        let condition = network.nodes[8].state.fleet().condition(&name(2), network.now());
        condition.slowness
    };
    run(&mut network, 10);
    assert!(slowness(&network) > 2.5, "{}", slowness(&network));
    let planner = network.planner().expect("there is a planner").address;
    let dead = network.nodes.iter_mut().find(|n| n.address == planner).expect("it is a node");
    dead.is_dead = true;
    run(&mut network, 10);
    assert!(network.planner().is_some());
    assert!(slowness(&network) > 2.5, "{}", slowness(&network));
    let slow = network.nodes[8].state.fleet().slow_targets(network.now());
    assert!(slow <= 2, "{slow} targets are announced as slow");
}
