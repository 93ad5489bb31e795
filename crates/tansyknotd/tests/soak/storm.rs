//! Daemons behind slow links lose the connection to the store while operators change the configuration
//! many times.

use std::{
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    proxy::PathState,
    world::{Daemon, World},
};

/// Models in the configuration document, which has about 25 kB with them.
const MODEL_COUNT: usize = 150;
/// The bandwidth of the links. It carries one document in 0.25 s, and forty in 10 s.
const BYTES_PER_S: u32 = 100_000;
/// Number of outages in one run.
const OUTAGES: usize = 2;
/// Every daemon must have the newest version within this time after an outage. One document takes
/// 0.25 s; all versions of one outage take 10 to 20 s, which exceeds the timeout of a call.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(20);

/// Disconnects daemons while many changes are made; returns the violations.
pub(crate) fn run(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start(seed);
    let mut violations = Vec::new();
    for d in &world.daemons {
        d.store_path.set(PathState::Throttled(BYTES_PER_S));
    }
    for outage in 0..OUTAGES {
        let disconnected: Vec<&Daemon> =
            world.daemons.iter().filter(|_| rng.random_bool(0.7)).collect();
        disconnected.iter().for_each(|d| d.store_path.set(PathState::Blocked));
        let mut newest = 0;
        for _ in 0..rng.random_range(40..80) {
            newest = world.write_config(MODEL_COUNT);
            thread::sleep(Duration::from_millis(rng.random_range(5..60)));
        }
        disconnected.iter().for_each(|d| d.store_path.set(PathState::Throttled(BYTES_PER_S)));
        let until = Instant::now() + CATCH_UP_TIMEOUT;
        for (n, daemon) in world.daemons.iter().enumerate() {
            if !daemon.wait_for_metric("tansyknot_config_version", newest, until) {
                violations
                    .push(format!("outage {outage}: daemon {n} does not have version {newest}"));
            }
        }
    }
    violations
}
