//! Planners that continue while the store does not respond, with the promises of their followers.

mod support;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use support::{HANDOVER_INTERVAL, network::Network, seeds};
use tansyknot_core::{clock::Time, name::TargetName};
use tansyknot_fleet::lease;
use yare::parameterized;

const DAEMONS: usize = 7;
const TARGETS: usize = 6;
const LEAVE_WITHIN: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(20);

/// Sends an order to each target whenever a daemon may, and checks that the orders of two daemons
/// to one target are far enough apart.
struct Orders {
    network: Network,
    last: BTreeMap<TargetName, (SocketAddr, Time)>,
    /// How many orders were sent.
    count: u64,
    /// The share of steps in which a daemon sends an order to a target, in hundredths.
    percent: u32,
}

impl Orders {
    fn new(percent: u32) -> Self {
        let mut network = Network::new(DAEMONS, TARGETS, LEAVE_WITHIN);
        network.extend_leases();
        Self { network, last: BTreeMap::new(), count: 0, percent }
    }

    fn run(&mut self, duration: Duration) {
        let until = self.network.now() + duration;
        while self.network.now() < until {
            self.network.run(STEP);
            self.send();
        }
    }

    fn send(&mut self) {
        let now = self.network.now();
        for n in 0..TARGETS {
            let target = TargetName::new(format!("t{n}"));
            for node in self.network.nodes.iter().filter(|n| n.runs_at(now)) {
                if !self.network.rng.random_ratio(self.percent, 100) {
                    continue;
                }
                let may_order = node.add_target(&target);
                if may_order.is_none() {
                    continue;
                }
                node.lease.record_order(&target, now);
                let before = self.last.insert(target.clone(), (node.address, now));
                self.count += 1;
                let Some((other, at)) = before.filter(|(other, _)| *other != node.address) else {
                    continue;
                };
                let gap = now.since(at);
                assert!(
                    gap >= HANDOVER_INTERVAL,
                    "{target}: {other}, then {} after {gap:?}",
                    node.address
                );
            }
        }
    }

    fn planner(&self) -> usize {
        let now = self.network.now();
        let is_planner = |n: &support::network::Node| !n.is_dead && n.lease.is_valid(now);
        self.network.nodes.iter().position(is_planner).expect("there is a planner")
    }

    fn set_store(&self, is_down: bool) {
        self.network.nodes.iter().for_each(|n| n.set_disconnected(is_down));
    }

    /// Returns how many orders are sent within `duration`.
    fn orders_in(&mut self, duration: Duration) -> u64 {
        let before = self.count;
        self.run(duration);
        self.count - before
    }
}

#[test]
fn planner_orders_through_an_outage_of_the_store() {
    let mut orders = Orders::new(50);
    orders.run(Duration::from_secs(10));
    let planner = orders.planner();
    orders.set_store(true);
    orders.run(Duration::from_secs(2));
    assert!(orders.orders_in(Duration::from_secs(5)) > 100, "orders stop without the store");
    assert_eq!(orders.planner(), planner);
    orders.set_store(false);
    orders.run(Duration::from_secs(3));
    assert_eq!(orders.planner(), planner, "the planner keeps the lease once the store is back");
}

#[test]
fn planner_that_alone_loses_the_store_continues() {
    let mut orders = Orders::new(50);
    orders.run(Duration::from_secs(10));
    let planner = orders.planner();
    orders.network.nodes[planner].set_disconnected(true);
    orders.run(Duration::from_secs(2));
    assert!(orders.orders_in(Duration::from_secs(5)) > 100);
    assert_eq!(orders.planner(), planner);
}

#[test]
fn extension_ends_within_its_limit() {
    let mut orders = Orders::new(50);
    orders.run(Duration::from_secs(10));
    orders.set_store(true);
    orders.run(Duration::from_secs(11));
    assert_eq!(orders.orders_in(Duration::from_secs(5)), 0, "the lease outlasts the limit");
}

#[test]
fn planner_without_a_follower_that_it_has_heard_from_stops() {
    let mut orders = Orders::new(50);
    orders.run(Duration::from_secs(10));
    let planner = orders.planner();
    let lost = (planner + 1) % DAEMONS;
    let address = orders.network.nodes[lost].address;
    orders.network.isolated.insert(address);
    (0..DAEMONS)
        .filter(|n| *n != lost)
        .for_each(|n| orders.network.nodes[n].set_disconnected(true));
    orders.run(Duration::from_secs(2));
    let sent_by = |orders: &Orders| orders.last.values().map(|(from, _)| *from).collect::<Vec<_>>();
    let planner_address = orders.network.nodes[planner].address;
    let before = orders.count;
    orders.run(Duration::from_secs(8));
    // The isolated follower reaches the store, takes the lease over and orders, after the interval.
    assert!(orders.count > before && sent_by(&orders).iter().all(|from| *from != planner_address));
}

#[test]
fn planner_that_dies_is_replaced_as_soon_as_without_extensions() {
    let mut orders = Orders::new(50);
    orders.run(Duration::from_secs(10));
    let planner = orders.planner();
    orders.network.nodes[planner].is_dead = true;
    orders.run(Duration::from_secs(4));
    assert!(orders.orders_in(Duration::from_secs(2)) > 0, "no orders 6 s after a planner's death");
}

#[test]
fn all_daemons_that_restart_have_a_planner_within_seconds() {
    let mut orders = Orders::new(50);
    orders.run(Duration::from_secs(10));
    (0..DAEMONS).for_each(|n| orders.network.restart(n));
    orders.run(Duration::from_secs(3));
    assert!(orders.orders_in(Duration::from_secs(3)) > 0);
}

#[parameterized(
    frequent_orders = { 60 },
    rare_orders = { 3 },
)]
fn orders_of_two_daemons_stay_apart_under_random_faults(percent: u32) {
    for seed in seeds("EXTENSION_SEEDS", 6) {
        let mut orders = Orders::new(percent);
        orders.network.rng = StdRng::seed_from_u64(seed);
        let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
        orders.network.loss = [0.0, 0.03, 0.2][rng.random_range(0..3)];
        orders.network.jitter = [0, 150][rng.random_range(0..2)];
        orders.network.queues_for_frozen = rng.random_bool(0.5);
        orders.run(Duration::from_secs(6));
        for _ in 0..12 {
            disturb(&mut orders, &mut rng);
            let ms = rng.random_range(300..5_000);
            orders.run(Duration::from_millis(ms));
            if rng.random_bool(0.5) {
                orders.set_store(false);
                orders.network.isolated.clear();
            }
        }
    }
}

/// Brings about one fault.
fn disturb(orders: &mut Orders, rng: &mut StdRng) {
    let now = orders.network.now();
    let any = rng.random_range(0..orders.network.nodes.len());
    let is_planner = |n: &support::network::Node| !n.is_dead && n.lease.is_valid(now);
    let planner = orders.network.nodes.iter().position(is_planner);
    let node = planner.filter(|_| rng.random_bool(0.5)).unwrap_or(any);
    match rng.random_range(0..8) {
        0 => orders.set_store(true),
        1 => orders.network.nodes[node].set_disconnected(true),
        2 => {
            let address = orders.network.nodes[node].address;
            orders.network.isolated.insert(address);
        }
        3 => {
            // A follower is separated from the others, which lose the store.
            let address = orders.network.nodes[any].address;
            orders.set_store(true);
            orders.network.nodes[any].set_disconnected(false);
            orders.network.isolated.insert(address);
        }
        4 => {
            let ms = rng.random_range(500..6_000);
            orders.network.nodes[node].frozen_until = now + Duration::from_millis(ms);
        }
        5 => orders.network.restart(node),
        6 => (0..orders.network.nodes.len()).for_each(|n| orders.network.restart(n)),
        _ => orders.network.add_nodes(1),
    }
}

/// Guards against a planner that goes on although the takeover of a daemon that stops may still take
/// effect in the store.
#[test]
fn daemon_that_stops_after_a_takeover_without_response_is_not_retired_yet() {
    let now = Time::from_millis(100_000);
    let mut lease = lease::Lease::default();
    let me = holder("me");
    let options = lease::LeaseOptions { handover_interval: HANDOVER_INTERVAL };
    let claim = lease.claim(&me, options, &Default::default(), now).expect("there is no row");
    lease.begin_write(&claim);
    lease.retire();
    assert!(!lease.is_retired(now + Duration::from_secs(1)));
    assert!(lease.is_retired(now + lease::promise::EXTENSION_LIMIT));
    lease.record_row(Some(holder("other")), 7, now + Duration::from_secs(2), &me.incarnation);
    assert!(lease.is_retired(now + Duration::from_secs(2)));
}

fn holder(name: &str) -> lease::LeaseHolder {
    lease::LeaseHolder {
        daemon: name.into(),
        incarnation: name.into(),
        address: ([10, 0, 0, 9], 7000).into(),
        fence: 1,
        released: false,
        extends: true,
        covers: Default::default(),
        rests: Default::default(),
        all_rest: 0,
        era: 0,
        software: Default::default(),
        longest_stream_ms: 0,
        stream_routes: None,
    }
}
