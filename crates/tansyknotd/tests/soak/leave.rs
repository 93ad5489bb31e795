//! Targets are removed without a signal while daemons end, pause and lose the store. Afterwards no daemon
//! may send requests to them.

use std::{
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tansyknot_adapter_standins::{operator::PLAIN, runner::Runner};

use crate::{
    client,
    proxy::PathState,
    world::{Daemon, StopMode, World},
};

/// Number of targets that are added and removed in one run.
const TARGET_COUNT: usize = 12;
/// Every daemon must have the current list within this time after the last fault.
const LIST_TIMEOUT: Duration = Duration::from_secs(20);
/// Requests to each daemon at the end. If a daemon lists two targets and one removed target, all of
/// these requests miss the removed target once in 130 runs.
const REQUESTS_PER_DAEMON: usize = 12;

/// Adds and removes targets in front of a number of daemons; returns the violations.
pub(crate) fn run(seed: u64, daemons: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start_with(seed, daemons);
    let mut removed: Vec<Runner> = Vec::new();
    thread::scope(|scope| {
        for round in 0..TARGET_COUNT {
            let next = Runner::start(&world.store, PLAIN, &format!("i-l{round}"), &[]);
            for daemon in &world.daemons {
                let seed = rng.random();
                scope.spawn(move || inject_fault(daemon, &mut StdRng::seed_from_u64(seed)));
            }
            thread::sleep(Duration::from_millis(rng.random_range(50..900)));
            if let Some(before) = removed.last() {
                world.store.remove("servers", &before.id);
            }
            removed.push(next);
            thread::sleep(Duration::from_millis(rng.random_range(50..900)));
        }
    });
    world.end_faults();
    removed.iter().for_each(|runner| world.store.remove("servers", &runner.id));
    // The runners of the world are never removed and always listed, so a higher count means that a
    // removed target is still listed.
    let listed = world.runners.len();
    let until = Instant::now() + LIST_TIMEOUT;
    let has_current_list =
        |d: &Daemon| d.wait_for_metric("tansyknot_targets", listed as u64, until);
    let outdated = world.daemons.iter().enumerate().filter(|(_, d)| !has_current_list(d));
    let mut violations: Vec<String> = outdated
        .map(|(n, _)| format!("daemon {n} does not list exactly {listed} targets"))
        .collect();
    violations.extend(send_to_all(&world, &removed));
    violations
}

/// Injects a random fault into a daemon, or none.
pub(crate) fn inject_fault(daemon: &Daemon, rng: &mut StdRng) {
    let duration = Duration::from_millis(rng.random_range(100..2_500));
    match rng.random_range(0..8) {
        0 | 1 => daemon.restart(StopMode::Kill),
        2 => daemon.pause(duration),
        3 => {
            daemon.store_path.set(PathState::random(rng));
            thread::sleep(duration);
            daemon.store_path.set(PathState::Open);
        }
        4 => daemon.store_path.set(PathState::Delayed(duration / 10)),
        5 => daemon.signal(Signal::CONT),
        _ => {}
    }
}

/// Sends requests to every daemon; returns which removed targets ran one of them.
fn send_to_all(world: &World, removed: &[Runner]) -> Vec<String> {
    for (n, daemon) in world.daemons.iter().enumerate() {
        for k in 0..REQUESTS_PER_DAEMON {
            let stream = client::connect(daemon.callers());
            stream.and_then(|mut s| {
                client::send(&mut s, "/lookup/", &format!("after-{n}-{k}"), None)
            });
        }
    }
    let ran =
        |r: &Runner| r.executed_requests().into_iter().find(|ran| ran.id.starts_with("after-"));
    let late = removed.iter().filter_map(|r| Some((r.id.clone(), ran(r)?.id)));
    late.map(|(runner, id)| format!("{runner} ran {id} after its removal")).collect()
}
