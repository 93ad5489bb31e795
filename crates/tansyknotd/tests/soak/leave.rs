//! Targets that go without a word while daemons end, freeze and lose the store: nobody takes them
//! for ready after.

use std::{
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tansyknot_adapter_standins::{operator::PLAIN, runner::Runner};

use crate::{
    client,
    proxy::Weather,
    world::{Daemon, End, World},
};

/// Targets that come and go in one run.
const ROUNDS: usize = 12;
/// Every daemon knows the list this long after the last fault.
const CAUGHT_UP: Duration = Duration::from_secs(20);
/// Requests to each daemon at the end. With one target too many among three, as many miss it once
/// in 130 runs.
const ASKED: usize = 12;

/// Lets targets come and go before so many daemons; returns what broke.
pub(crate) fn run(seed: u64, daemons: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start_with(seed, daemons);
    let mut gone: Vec<Runner> = Vec::new();
    thread::scope(|scope| {
        for round in 0..ROUNDS {
            let next = Runner::start(&world.store, PLAIN, &format!("i-l{round}"), &[]);
            for daemon in &world.daemons {
                let seed = rng.random();
                scope.spawn(move || strike(daemon, &mut StdRng::seed_from_u64(seed)));
            }
            thread::sleep(Duration::from_millis(rng.random_range(50..900)));
            if let Some(before) = gone.last() {
                world.store.remove("servers", &before.id);
            }
            gone.push(next);
            thread::sleep(Duration::from_millis(rng.random_range(50..900)));
        }
    });
    world.mend();
    gone.iter().for_each(|runner| world.store.remove("servers", &runner.id));
    // Those that never go are in every view, so that any other one makes too many.
    let listed = world.runners.len();
    let until = Instant::now() + CAUGHT_UP;
    let knows = |d: &Daemon| d.shows("tansyknot_targets", listed as u64, until);
    let behind = world.daemons.iter().enumerate().filter(|(_, d)| !knows(d));
    let mut broken: Vec<String> =
        behind.map(|(n, _)| format!("daemon {n} does not know {listed} targets")).collect();
    broken.extend(ask_all(&world, &gone));
    broken
}

/// Disturbs a daemon, or leaves it alone.
pub(crate) fn strike(daemon: &Daemon, rng: &mut StdRng) {
    let span = Duration::from_millis(rng.random_range(100..2_500));
    match rng.random_range(0..8) {
        0 | 1 => daemon.restart(End::Kill),
        2 => daemon.pause(span),
        3 => {
            daemon.store_path.set(Weather::any(rng));
            thread::sleep(span);
            daemon.store_path.set(Weather::Fair);
        }
        4 => daemon.store_path.set(Weather::Slow(span / 10)),
        5 => daemon.signal(Signal::CONT),
        _ => {}
    }
}

/// Asks every daemon; returns which targets that have gone ran such a request.
fn ask_all(world: &World, gone: &[Runner]) -> Vec<String> {
    for (n, daemon) in world.daemons.iter().enumerate() {
        for k in 0..ASKED {
            let stream = client::connect(daemon.callers());
            stream
                .and_then(|mut s| client::ask(&mut s, "/lookup/", &format!("after-{n}-{k}"), None));
        }
    }
    let ran =
        |r: &Runner| r.executed_requests().into_iter().find(|ran| ran.id.starts_with("after-"));
    let late = gone.iter().filter_map(|r| Some((r.id.clone(), ran(r)?.id)));
    late.map(|(runner, id)| format!("{runner} ran {id} after it had gone")).collect()
}
