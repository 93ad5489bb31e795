//! Randomized faults against real daemons, checked from what callers and runners see.
//!
//! CI runs a few seeds. By hand: `SOAK_SEEDS=1..51 cargo test -p tansyknotd --test soak -- --nocapture`;
//! `SOAK_DAEMONS=20` sets how many processes the targets come and go before.
//! A seed fixes the faults and requests, not the scheduling. Seeds that ever failed stay in
//! `failed_before`, with the cause.
#![cfg(feature = "services")]

mod backpressure;
mod check;
mod client;
mod crash;
#[path = "../launch/mod.rs"]
mod launch;
mod leave;
mod proxy;
mod storm;
mod world;

use std::{
    ops::Range,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use world::{End, World};
use yare::parameterized;

/// How long faults strike.
const FAULTS: Duration = Duration::from_secs(12);
/// Callers that ask all the while.
const CLIENTS: u64 = 6;

fn soak(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start(seed);
    let broken = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let world = &world;
                scope.spawn(move || client::run(world, seed * 100 + n))
            })
            .collect();
        let until = Instant::now() + FAULTS;
        let mut strikes = Vec::new();
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(rng.random_range(50..900)));
            let (world, seed) = (&world, rng.random());
            // Faults overlap: a stop may take seconds.
            strikes.push(scope.spawn(move || strike(world, &mut StdRng::seed_from_u64(seed))));
        }
        for s in strikes {
            s.join().expect("a fault does not panic");
        }
        world.mend();
        let mut broken = check::recovery(&world);
        world.stop_clients();
        for c in clients {
            broken.extend(c.join().expect("a client does not panic"));
        }
        broken
    });
    let broken = [broken, check::promises(&world)].concat();
    assert!(broken.is_empty(), "seed {seed}:\n{}", broken.join("\n"));
}

/// Lets one fault strike or end; faults overlap.
fn strike(world: &World, rng: &mut StdRng) {
    let daemon = &world.daemons[rng.random_range(0..world.daemons.len())];
    let runner = rng.random_range(0..world.runners.len());
    match rng.random_range(0..13) {
        0 => daemon.restart(End::Kill),
        1 => daemon.restart(End::Stop),
        2 => daemon.pause(Duration::from_millis(rng.random_range(50..5_000))),
        3 => daemon.endpoint.set_failure_mode(world::failure_mode(rng)),
        4 => daemon.store_path.set(proxy::Weather::any(rng)),
        5 => daemon.store_path.reset_all(),
        6 | 7 => world.runners[runner].path.set(proxy::Weather::any(rng)),
        8 => world.runners[runner].path.reset_all(),
        9 | 10 => {
            world.runners[runner].standin.queue_faults(&[world::fault(rng), world::fault(rng)]);
        }
        11 => world.runners[runner].standin.queue_order_faults(&[world::order_fault(rng)]),
        _ => world.change_config(),
    }
}

/// Returns the seeds that were asked for, else `usual`.
fn seeds(usual: Range<u64>) -> Range<u64> {
    let Ok(seeds) = std::env::var("SOAK_SEEDS") else { return usual };
    let (from, to) = seeds.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    let number = |text: &str| text.parse::<u64>().expect("SOAK_SEEDS is FROM..TO");
    number(from)..number(to)
}

/// Returns how many daemons were asked for, else `usual`.
fn daemons(usual: u64) -> u64 {
    let Ok(daemons) = std::env::var("SOAK_DAEMONS") else { return usual };
    daemons.parse().expect("SOAK_DAEMONS is a number")
}

#[test]
fn seeds_of_this_run() {
    for seed in seeds(1..3) {
        soak(seed);
        println!("seed {seed}: held");
    }
}

// A daemon that asks for every version since its own does not get them over a narrow link in the
// time of a call, however often it asks.
#[test]
fn daemons_that_were_cut_off_have_the_newest_configuration() {
    for seed in seeds(1..2) {
        let broken = storm::run(seed);
        assert!(broken.is_empty(), "seed {seed}:\n{}", broken.join("\n"));
        println!("seed {seed}: caught up");
    }
}

// Daemons took targets for ready that had gone, for good: an older answer of the store had brought
// them back, or their planner had held the removal back and ended.
#[test]
fn targets_that_went_are_known_to_have_gone() {
    for seed in seeds(1..2) {
        let broken = leave::run(seed, daemons(6));
        assert!(broken.is_empty(), "seed {seed}:\n{}", broken.join("\n"));
        println!("seed {seed}: known");
    }
}

// Daemons handed a request that ends targets to one target after the other, for good.
#[test]
fn poison_request_is_stopped_under_faults() {
    for seed in seeds(1..2) {
        let broken = crash::run(seed);
        assert!(broken.is_empty(), "seed {seed}:\n{}", broken.join("\n"));
        println!("seed {seed}: stopped");
    }
}

// Daemons heard nothing of what targets say of themselves, and sent as much as before.
#[test]
fn targets_get_what_they_have_said_they_take() {
    for seed in seeds(1..3) {
        let broken = backpressure::run(seed);
        assert!(broken.is_empty(), "seed {seed}:\n{}", broken.join("\n"));
        println!("seed {seed}: heard");
    }
}

// With these, daemons sent requests to a target 20 s after it had gone.
#[parameterized(
    one_daemon = { 9 },
    one_daemon_again = { 16 },
    two_daemons = { 24 },
)]
fn targets_that_went_were_taken_for_ready(seed: u64) {
    assert_eq!(leave::run(seed, 6), Vec::<String>::new());
}

// Each let two holders take turns within 3 s: a new run on the planner's host freed targets that
// rested for the holder before, and forgot what its own earlier run had ordered.
#[parameterized(
    rest_forgotten_over_a_restart = { 12 },
    rest_forgotten_over_a_restart_again = { 41 },
    rest_forgotten_over_two_restarts = { 52 },
    rest_forgotten_by_two_milliseconds = { 58 },
)]
fn failed_before(seed: u64) {
    soak(seed);
}
