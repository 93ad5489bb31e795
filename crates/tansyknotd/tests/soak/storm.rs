//! Daemons behind narrow links that are cut off from the store while operators make many changes.

use std::{
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    proxy::Weather,
    world::{Daemon, World},
};

/// Models in the document, which has some 25 kB with them.
const MODELS: usize = 150;
/// The links carry a document in 0.25 s, and forty in ten.
const BYTES_PER_S: u32 = 100_000;
/// Cuts in one run.
const CUTS: usize = 2;
/// The newest version is in force everywhere within this long after a cut: a document takes 0.25 s,
/// the versions of one cut ten to twenty, which no call has.
const CAUGHT_UP: Duration = Duration::from_secs(20);

/// Cuts daemons off while many changes are made; returns what broke.
pub(crate) fn run(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start(seed);
    let mut broken = Vec::new();
    for d in &world.daemons {
        d.store_path.set(Weather::Narrow(BYTES_PER_S));
    }
    for cut in 0..CUTS {
        let cut_off: Vec<&Daemon> = world.daemons.iter().filter(|_| rng.random_bool(0.7)).collect();
        cut_off.iter().for_each(|d| d.store_path.set(Weather::Silent));
        let mut newest = 0;
        for _ in 0..rng.random_range(40..80) {
            newest = world.write_config(MODELS);
            thread::sleep(Duration::from_millis(rng.random_range(5..60)));
        }
        cut_off.iter().for_each(|d| d.store_path.set(Weather::Narrow(BYTES_PER_S)));
        let until = Instant::now() + CAUGHT_UP;
        for (n, daemon) in world.daemons.iter().enumerate() {
            if !daemon.shows("tansyknot_config_version", newest, until) {
                broken.push(format!("cut {cut}: daemon {n} does not have version {newest}"));
            }
        }
    }
    broken
}
