//! Targets of two software versions, and callers that leave their streams and resume them elsewhere,
//! while daemons are killed, suspended and lose the store, and the store comes back from older copies.
//! No stream may hold events of two versions.

use std::{
    collections::BTreeSet,
    io::{BufRead, Write},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_adapter_standins::{
    caller::Request,
    operator::MODELS,
    runner::{EVENTS_PER_STREAM, Runner},
};

use crate::{client, leave, world::World};

const FAULT_DURATION: Duration = Duration::from_secs(10);
const CALLER_COUNT: u64 = 6;
/// Each caller's attempts at one stream.
const ATTEMPTS: usize = 4;
const DEADLINE_MS: u64 = 8_000;

/// What callers have seen.
#[derive(Clone, Debug, Default)]
struct Seen {
    violations: Vec<String>,
    resumed: usize,
    completed: usize,
}

/// Runs one seed and returns the violations, and how many streams were resumed and completed.
pub(crate) fn run(seed: u64) -> (Vec<String>, usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start(seed);
    let newer = ["i-n1", "i-n2"].map(|id| {
        let runner = Runner::start_version(&world.store, MODELS, id, &["m0", "m1"], "v1.1");
        runner.set_event_gap(Duration::from_millis(20));
        runner
    });
    let is_over = AtomicBool::new(false);
    let seen = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|n| {
                let (world, is_over) = (&world, &is_over);
                scope.spawn(move || resume_streams(world, is_over, seed * 100 + n))
            })
            .collect();
        let until = Instant::now() + FAULT_DURATION;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(rng.random_range(50..700)));
            if rng.random_bool(0.2) {
                come_back(&world, &newer, &mut rng);
            }
            let daemon = &world.daemons[rng.random_range(0..world.daemons.len())];
            let fault_seed = rng.random();
            scope.spawn(move || {
                leave::inject_fault(daemon, &mut StdRng::seed_from_u64(fault_seed));
            });
        }
        is_over.store(true, Ordering::SeqCst);
        callers.into_iter().map(|c| c.join().expect("a caller does not panic")).collect::<Vec<_>>()
    });
    world.end_faults();
    let sum = |count: fn(&Seen) -> usize| seen.iter().map(count).sum();
    let violations = seen.iter().flat_map(|s| s.violations.clone()).collect();
    (violations, sum(|s| s.resumed), sum(|s| s.completed))
}

/// Lets the store lose what is written in a moment, and the targets write their entries again.
fn come_back(world: &World, newer: &[Runner], rng: &mut StdRng) {
    let copy = world.store.copy();
    let write_entries = || {
        world.runners.iter().for_each(|r| r.standin.publish_entry());
        newer.iter().for_each(Runner::publish_entry);
    };
    for _ in 0..rng.random_range(0..8) {
        write_entries();
        thread::sleep(Duration::from_millis(50));
    }
    world.store.restore(&copy);
    write_entries();
}

/// Begins streams at random daemons, leaves them and resumes them at others, until `is_over`.
fn resume_streams(world: &World, is_over: &AtomicBool, seed: u64) -> Seen {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut seen = Seen::default();
    for n in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let mut stream =
            Stream { first_attempt: None, tokens: Vec::new(), software: BTreeSet::new() };
        for attempt in 0..ATTEMPTS {
            let daemon = &world.daemons[rng.random_range(0..world.daemons.len())];
            let events = rng.random_range(1..=EVENTS_PER_STREAM as usize);
            let had_begun = stream.first_attempt.is_some();
            let id = format!("q{seed}-{n}-{attempt}");
            if stream.attempt(daemon.callers(), &id, events).is_none() {
                thread::sleep(Duration::from_millis(30));
            }
            seen.resumed += usize::from(had_begun);
            if stream.tokens.len() as u64 == EVENTS_PER_STREAM {
                seen.completed += usize::from(had_begun);
                break;
            }
        }
        let in_order: Vec<u64> = (1..=stream.tokens.len() as u64).collect();
        if stream.software.len() > 1 || stream.tokens != in_order {
            seen.violations.push(format!("q{seed}-{n}: {stream:?}"));
        }
    }
    seen
}

/// A caller's stream over its attempts.
#[derive(Clone, Debug)]
struct Stream {
    /// The attempt that brought the first event.
    first_attempt: Option<String>,
    tokens: Vec<u64>,
    software: BTreeSet<String>,
}

impl Stream {
    /// Makes one attempt and leaves after `events` events; `None` if the daemon can't be reached.
    fn attempt(&mut self, daemon: std::net::SocketAddr, id: &str, events: usize) -> Option<()> {
        let mut connection = client::connect(daemon)?;
        let mut headers = "Connection: close\r\n".to_owned();
        if let Some(first) = &self.first_attempt {
            headers += &format!("Resumes: {first}\r\nLast-Event-Id: {}\r\n", self.tokens.len());
        }
        let req = Request::new("/query/", id, Some("m0"), DEADLINE_MS);
        let text = Request { extra_headers: &headers, ..req }.text();
        connection.get_mut().write_all(text.as_bytes()).ok()?;
        let mut received = 0;
        for line in connection.lines().map_while(Result::ok) {
            if let Some(token) = line.strip_prefix("data: token ") {
                self.tokens.extend(token.parse::<u64>());
                self.first_attempt.get_or_insert_with(|| id.to_owned());
            }
            if let Some(software) = line.strip_prefix("software: ") {
                self.software.insert(software.to_owned());
                received += 1;
                if received >= events {
                    break;
                }
            }
        }
        Some(())
    }
}
