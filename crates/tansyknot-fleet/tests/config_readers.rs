//! Tests that an accepted change of the configuration is in force everywhere within half of its
//! bound, whichever daemon has lost the store, its network or its processor.

mod support;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use support::{catalog, network::Network, seeds};
use tansyknot_core::clock::Time;
use tansyknot_fleet::catalog::{Catalog, Route};
use yare::parameterized;

/// Half of the bound within which an accepted change must be in force.
const MAX_DELAY: Duration = Duration::from_millis(1000);
/// The bound itself.
const CONFIG_WITHIN: Duration = Duration::from_millis(2000);
/// The time after a disturbance within which a daemon must meet its bounds again.
const RECOVER_WITHIN: Duration = Duration::from_millis(3000);
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(50);
/// The time after which a daemon that has lost its network or processor counts as replaced, and a
/// change must be in force in time again at those that followed it.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// What is lost at a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The store refuses the daemon's calls.
    Refused,
    /// The daemon's calls to the store have no response.
    Silent,
    /// The daemon has no processor time.
    Frozen,
    /// No datagram from or to the daemon arrives.
    CutOff,
}

/// Returns version `version` of the configuration, which has added one route to the version before.
fn version(version: u64) -> Catalog {
    let base = catalog();
    let route = base.route("h", "/x").expect("the configuration has a route");
    let added = (1..=version).map(|n| Route {
        name: format!("r{n}").into(),
        prefix: format!("/added-{n}/").into(),
        ..Route::clone(route)
    });
    let routes = std::iter::once(Route::clone(route)).chain(added).collect();
    Catalog::new(version, routes, base.services.values().cloned().collect())
}

struct Trial {
    network: Network,
    accepted: BTreeMap<u64, Time>,
    lost: Vec<SocketAddr>,
    /// Daemons that have got back what they had lost, and when they must meet the bound again.
    recovering: BTreeMap<SocketAddr, Time>,
    worst: Duration,
}

impl Trial {
    fn new(daemons: usize) -> Self {
        let mut network = Network::new(daemons, 3, Duration::from_secs(3));
        network.extend_leases();
        network.share_snapshots();
        network.store.configure(version(1));
        network.run(Duration::from_secs(6));
        Self {
            network,
            accepted: BTreeMap::new(),
            lost: Vec::new(),
            recovering: BTreeMap::new(),
            worst: Duration::ZERO,
        }
    }

    fn lose(&mut self, n: usize, loss: Loss) {
        let now = self.network.now();
        let node = &mut self.network.nodes[n];
        self.lost.push(node.address);
        match loss {
            Loss::Refused => node.set_disconnected(true),
            Loss::Silent => node.set_silent(true),
            Loss::Frozen => node.frozen_until = now + Duration::from_secs(60),
            Loss::CutOff => _ = self.network.isolated.insert(node.address),
        }
    }

    /// Gives a daemon back what it has lost. It must meet the bound again once it has had time to
    /// recover.
    fn regain(&mut self, n: usize, loss: Loss) {
        let now = self.network.now();
        let node = &mut self.network.nodes[n];
        match loss {
            Loss::Refused => node.set_disconnected(false),
            Loss::Silent => node.set_silent(false),
            Loss::Frozen => node.frozen_until = now,
            Loss::CutOff => _ = self.network.isolated.remove(&node.address),
        }
        self.lost.retain(|address| *address != node.address);
        self.recovering.insert(node.address, now + RECOVER_WITHIN);
    }

    /// Returns the index of the planner.
    fn planner(&self) -> usize {
        let planner = self.network.planner().expect("a daemon holds the lease").address;
        self.network.nodes.iter().position(|n| n.address == planner).expect("it is a daemon")
    }

    /// Makes changes for `duration`, and records the longest time from a change to its being in
    /// force, over the daemons that have lost nothing.
    fn change_for(&mut self, duration: Duration) {
        let until = self.network.now() + duration;
        let mut next_change = self.network.now();
        while self.network.now() < until {
            let now = self.network.now();
            if now >= next_change {
                let next = self.network.store.config_version() + 1;
                self.network.store.configure(version(next));
                self.accepted.insert(next, now);
                next_change = now + CHANGE_INTERVAL;
            }
            self.network.run(STEP);
            self.check();
        }
    }

    fn check(&mut self) {
        let now = self.network.now();
        let is_recovering = |a: &SocketAddr| self.recovering.get(a).is_some_and(|at| now < *at);
        let sound = self.network.nodes.iter().filter(|n| !self.lost.contains(&n.address));
        let sound = sound.filter(|n| !is_recovering(&n.address));
        for node in sound {
            let in_force = node.state.catalog().map_or(0, |c| c.version);
            let oldest_missing = self.accepted.range(in_force + 1..).next();
            let delay = oldest_missing.map_or(Duration::ZERO, |(_, at)| now.since(*at));
            self.worst = self.worst.max(delay);
        }
    }

    /// Checks that all sound daemons have the content of the newest version, not its number alone.
    fn check_content(&mut self) {
        self.network.run(2 * MAX_DELAY);
        let newest = version(self.network.store.config_version());
        let content = |c: &Catalog| {
            let mut content = c.content().expect("no keys are needed");
            content.routes.sort_by(|a, b| a.name.cmp(&b.name));
            content
        };
        for node in self.network.nodes.iter().filter(|n| !self.lost.contains(&n.address)) {
            let in_force: Arc<Catalog> = node.state.catalog().expect("a configuration is in force");
            assert_eq!(content(&in_force), content(&newest), "{}", node.address);
        }
    }
}

#[parameterized(
    refused_7 = { 7, Loss::Refused },
    refused_90 = { 90, Loss::Refused },
    silent_7 = { 7, Loss::Silent },
    silent_90 = { 90, Loss::Silent },
    frozen_7 = { 7, Loss::Frozen },
    frozen_90 = { 90, Loss::Frozen },
    cut_off_7 = { 7, Loss::CutOff },
    cut_off_90 = { 90, Loss::CutOff },
)]
fn change_is_in_force_in_time_while_the_planner_alone_has_lost(daemons: usize, loss: Loss) {
    let mut trial = Trial::new(daemons);
    let planner = trial.planner();
    trial.lose(planner, loss);
    trial.change_for(Duration::from_secs(9));
    assert!(trial.worst <= MAX_DELAY, "{:?} after it was accepted", trial.worst);
    trial.check_content();
}

#[parameterized(
    refused = { Loss::Refused },
    silent = { Loss::Silent },
    frozen = { Loss::Frozen },
    cut_off = { Loss::CutOff },
)]
fn change_is_in_force_in_time_while_two_planners_in_a_row_have_lost(loss: Loss) {
    let mut trial = Trial::new(30);
    let planner = trial.planner();
    trial.lose(planner, loss);
    trial.change_for(SETTLING_TIME);
    let planner = trial.planner();
    if !trial.lost.contains(&trial.network.nodes[planner].address) {
        trial.lose(planner, loss);
    }
    trial.change_for(SETTLING_TIME);
    assert!(trial.worst <= MAX_DELAY, "{:?} after it was accepted", trial.worst);
    trial.check_content();
}

/// The number of daemons that have lost something at the same time.
const MAX_LOST: usize = 2;
const RUN_DURATION: Duration = Duration::from_secs(30);

/// Makes random daemons, the planner more often than others, lose something for some seconds, while
/// datagrams are lost and delayed and the configuration changes. Returns the worst delay at daemons that
/// have had everything for a while.
fn change_under_random_losses(seed: u64, daemons: usize) -> Duration {
    let mut trial = Trial::new(daemons);
    let mut rng = StdRng::seed_from_u64(seed);
    trial.network.rng = StdRng::seed_from_u64(seed);
    trial.network.loss = [0.0, 0.05, 0.2][rng.random_range(0..3)];
    trial.network.jitter = [0, 100][rng.random_range(0..2)];
    let mut lost: Vec<(usize, Loss, Time)> = Vec::new();
    let until = trial.network.now() + RUN_DURATION;
    while trial.network.now() < until {
        let now = trial.network.now();
        for (n, loss, _) in lost.extract_if(.., |(_, _, ends_at)| *ends_at <= now) {
            trial.regain(n, loss);
        }
        let planner = trial.network.planner().map(|p| p.address);
        let planner = trial.network.nodes.iter().position(|n| Some(n.address) == planner);
        let any = rng.random_range(0..daemons);
        let n = planner.filter(|_| rng.random_bool(0.5)).unwrap_or(any);
        if lost.len() < MAX_LOST && !lost.iter().any(|(other, ..)| *other == n) {
            let kinds = [Loss::Refused, Loss::Silent, Loss::Frozen, Loss::CutOff];
            let loss = kinds[rng.random_range(0..kinds.len())];
            trial.lose(n, loss);
            lost.push((n, loss, now + Duration::from_millis(rng.random_range(1_000..7_000))));
        }
        trial.change_for(Duration::from_millis(rng.random_range(500..2_000)));
    }
    trial.worst
}

#[parameterized(
    seven = { 7, 6 },
    thirty = { 30, 2 },
)]
fn change_is_in_force_in_time_under_random_losses(daemons: usize, default_seeds: u64) {
    for seed in seeds("READERS_SEEDS", default_seeds) {
        let worst = change_under_random_losses(seed, daemons);
        assert!(worst <= CONFIG_WITHIN, "seed {seed}: {worst:?} after it was accepted");
        println!("seed {seed}: {worst:?}");
    }
}
