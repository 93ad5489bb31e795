//! Targets that signal a rate limit, a retry delay or their removal, while daemons lose the store, reload
//! their settings and receive new configurations. Daemons must follow the signals, and the other
//! targets must serve every request.

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
    proxy::PathState,
    world::{Daemon, World},
};

/// Every daemon has a new target in its list after this time.
const LIST_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// How long targets send their signals.
const SIGNAL_DURATION: Duration = Duration::from_secs(7);
/// Daemons must keep to a rate limit after this time.
const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// The window in which requests are counted against a rate limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// The retry delay that a target signals.
const RETRY_DELAY: Duration = Duration::from_secs(30);
/// Daemons must keep to a retry delay after this time.
const RETRY_DELAY_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of requests that each daemon may send during a retry delay.
const MAX_SENDS_IN_RETRY_DELAY: usize = 2;
/// Daemons must send nothing to a leaving target after this time.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Requests per second that a target with a rate limit accepts.
const LIMIT_PER_S: usize = 1;
/// Maximum number of requests in a window at a target with a rate limit.
const MAX_SENDS_IN_WINDOW: usize = 4 * LIMIT_PER_S * 3 / 2 + 5;
const CALLER_COUNT: usize = 6;

/// Runs one seed and returns the violations.
pub(crate) fn run(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start(seed);
    let [limited, backing_off, leaving] =
        ["i-w1", "i-w2", "i-w3"].map(|id| Runner::start(&world.store, PLAIN, id, &[]));
    let is_over = AtomicBool::new(false);
    let (signalled_at, unserved) = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|n| {
                let (world, is_over) = (&world, &is_over);
                scope.spawn(move || send_requests(world, is_over, seed * 100 + n as u64))
            })
            .collect();
        thread::sleep(LIST_PROPAGATION_TIME);
        limited.set_extra_headers(&[("Server-Limit", &LIMIT_PER_S.to_string())]);
        backing_off.set_retry_delay(Some(RETRY_DELAY));
        leaving.set_extra_headers(&[("Server-Leaving", "1")]);
        let signalled_at = Instant::now();
        while signalled_at.elapsed() < SIGNAL_DURATION {
            thread::sleep(Duration::from_millis(rng.random_range(50..400)));
            let daemon = &world.daemons[rng.random_range(0..world.daemons.len())];
            inject_fault(&world, daemon, &mut rng);
        }
        is_over.store(true, Ordering::SeqCst);
        let unserved: usize =
            callers.into_iter().map(|c| c.join().expect("a caller does not panic")).sum();
        (signalled_at, unserved)
    });
    world.end_faults();
    let mut violations = Vec::new();
    let max_sends = max_in_window(&limited.arrivals(), signalled_at + LIMIT_GRACE);
    if max_sends > MAX_SENDS_IN_WINDOW {
        violations.push(format!(
            "{max_sends} requests in 4 s at a target that accepts {LIMIT_PER_S} per second"
        ));
    }
    let late = |runner: &Runner, after| runner.arrivals().iter().filter(|at| **at > after).count();
    let sends = late(&backing_off, signalled_at + RETRY_DELAY_GRACE);
    if sends > MAX_SENDS_IN_RETRY_DELAY * world.daemons.len() {
        violations.push(format!("{sends} requests at a target in its retry delay"));
    }
    let sends = late(&leaving, signalled_at + LEAVE_GRACE);
    if sends > 0 {
        violations.push(format!("{sends} requests at a leaving target"));
    }
    if unserved > 0 {
        violations.push(format!("{unserved} requests failed although two targets work normally"));
    }
    violations
}

/// Injects a fault into a daemon; no fault excuses a violation.
fn inject_fault(world: &World, daemon: &Daemon, rng: &mut StdRng) {
    match rng.random_range(0..6) {
        0 => daemon.signal(Signal::HUP),
        1 => world.change_config(),
        2 => daemon.store_path.set(PathState::Delayed(Duration::from_millis(60))),
        3 => daemon.store_path.set(PathState::Blocked),
        4 => daemon.store_path.reset_all(),
        _ => daemon.store_path.set(PathState::Open),
    }
}

/// Sends requests over persistent connections until `is_over`; returns the number of failed requests.
fn send_requests(world: &World, is_over: &AtomicBool, seed: u64) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut unserved = 0;
    let mut connections: Vec<_> = world.daemons.iter().map(|_| None).collect();
    for n in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let d = rng.random_range(0..world.daemons.len());
        let stream = connections[d].take().or_else(|| client::connect(world.daemons[d].callers()));
        let id = format!("w{seed}-{n}");
        let exchange =
            stream.and_then(|mut s| Some((client::send(&mut s, "/lookup/", &id, None)?, s)));
        let is_served = exchange.as_ref().is_some_and(|(response, _)| response.status == 200);
        unserved += usize::from(!is_served);
        connections[d] =
            exchange.filter(|(response, _)| response.keeps_connection()).map(|(_, stream)| stream);
        thread::sleep(Duration::from_millis(rng.random_range(1..10)));
    }
    unserved
}

/// Returns the maximum number of arrivals in any window that begins at `from` or later.
fn max_in_window(arrivals: &[Instant], from: Instant) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let within =
        |n: usize| counted[n..].iter().filter(|at| **at < counted[n] + LIMIT_WINDOW).count();
    (0..counted.len()).map(within).max().unwrap_or(0)
}
