//! Targets that say that they take little, want rest, or leave, before daemons that lose the store, read
//! their settings again and get new configurations: they get what they have said, and others serve.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use rustix::process::Signal;
use tansyknot_adapter_standins::{operator::PLAIN, runner::Runner};

use crate::{
    client,
    proxy::Weather,
    world::{Daemon, World},
};

/// All daemons know of a new target this long after it has come.
const KNOWN: Duration = Duration::from_secs(3);
/// How long targets speak.
const SPEAKS: Duration = Duration::from_secs(7);
/// The users' bounds: on a limit from this span after it was named, in each window; on rests from half a
/// second after; on leavings.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const REST: Duration = Duration::from_secs(30);
const REST_FROM: Duration = Duration::from_millis(500);
const REST_SENDS: usize = 2;
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
/// Requests a second that a target takes, and the most in a window.
const LIMIT: usize = 1;
const LIMIT_MOST: usize = 4 * LIMIT * 3 / 2 + 5;
const CALLERS: usize = 6;

/// Plays one seed; returns what broke.
pub(crate) fn run(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start(seed);
    let [limited, resting, leaving] =
        ["i-w1", "i-w2", "i-w3"].map(|id| Runner::start(&world.store, PLAIN, id, &[]));
    let is_over = AtomicBool::new(false);
    let (spoken, refused) = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| {
                let (world, is_over) = (&world, &is_over);
                scope.spawn(move || ask_on(world, is_over, seed * 100 + n as u64))
            })
            .collect();
        thread::sleep(KNOWN);
        limited.set_extra_headers(&[("Server-Limit", &LIMIT.to_string())]);
        resting.set_retry_delay(Some(REST));
        leaving.set_extra_headers(&[("Server-Leaving", "1")]);
        let spoken = Instant::now();
        while spoken.elapsed() < SPEAKS {
            thread::sleep(Duration::from_millis(rng.random_range(50..400)));
            let daemon = &world.daemons[rng.random_range(0..world.daemons.len())];
            strike(&world, daemon, &mut rng);
        }
        is_over.store(true, Ordering::SeqCst);
        let refused: usize =
            callers.into_iter().map(|c| c.join().expect("a caller does not panic")).sum();
        (spoken, refused)
    });
    world.mend();
    let mut broken = Vec::new();
    let most = most_within(&limited.arrivals(), spoken + CONTACT);
    if most > LIMIT_MOST {
        broken.push(format!("{most} requests in 4 s at a target that takes {LIMIT} a second"));
    }
    let late = |runner: &Runner, after| runner.arrivals().iter().filter(|at| **at > after).count();
    let sends = late(&resting, spoken + REST_FROM);
    if sends > REST_SENDS * world.daemons.len() {
        broken.push(format!("{sends} requests at a target that wants rest"));
    }
    let sends = late(&leaving, spoken + LEAVE_WITHIN);
    if sends > 0 {
        broken.push(format!("{sends} requests at a target that leaves"));
    }
    if refused > 0 {
        broken.push(format!("{refused} requests without a success though two targets are sound"));
    }
    broken
}

/// Disturbs a daemon as no excuse for anything.
fn strike(world: &World, daemon: &Daemon, rng: &mut StdRng) {
    match rng.random_range(0..6) {
        0 => daemon.signal(Signal::HUP),
        1 => world.change_config(),
        2 => daemon.store_path.set(Weather::Slow(Duration::from_millis(60))),
        3 => daemon.store_path.set(Weather::Silent),
        4 => daemon.store_path.reset_all(),
        _ => daemon.store_path.set(Weather::Fair),
    }
}

/// Asks all the while over kept connections; returns how often it got no success.
fn ask_on(world: &World, is_over: &AtomicBool, seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut refused = 0;
    let mut kept: Vec<_> = world.daemons.iter().map(|_| None).collect();
    for n in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let d = rng.random_range(0..world.daemons.len());
        let stream = kept[d].take().or_else(|| client::connect(world.daemons[d].callers()));
        let id = format!("w{seed}-{n}");
        let asked = stream.and_then(|mut s| Some((client::ask(&mut s, "/lookup/", &id, None)?, s)));
        let is_served = asked.as_ref().is_some_and(|(answer, _)| answer.status == 200);
        refused += usize::from(!is_served);
        kept[d] = asked.filter(|(answer, _)| answer.keeps_connection()).map(|(_, stream)| stream);
        thread::sleep(Duration::from_millis(rng.random_range(1..10)));
    }
    refused
}

/// Returns the most arrivals in a window that begins at `from` or later.
fn most_within(arrivals: &[Instant], from: Instant) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let within = |n: usize| counted[n..].iter().filter(|at| **at < counted[n] + WINDOW).count();
    (0..counted.len()).map(within).max().unwrap_or(0)
}
