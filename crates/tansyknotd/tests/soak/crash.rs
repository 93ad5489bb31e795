//! A poison request, under which targets crash, is repeated while daemons end, pause and lose the store.
//! After the faults no daemon may send it to targets, and other requests must be served.

use std::{
    io::Write,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_adapter_standins::{
    caller::Request,
    crash::{self, CRASH_PART, CrashLog, CrashOptions, CrashSequence},
    operator::PLAIN,
};

use crate::{
    client, leave,
    world::{Daemon, World},
};

const TARGETS: usize = 5;
/// Every daemon must have the list of targets within this time after its start.
const LIST_TIMEOUT: Duration = Duration::from_secs(20);
/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(7);
/// Daemons without faults have received the report of a third crash after this time.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// How long the request is repeated after the propagation time.
const REPEAT_DURATION: Duration = Duration::from_secs(3);
/// Maximum number of sends to targets in that time.
const MAX_LATE_SENDS: usize = 3;
/// Crashed targets have restarted after this time.
const TARGET_RESTART_TIME: Duration = Duration::from_secs(2);

/// What crashes the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// One request, which is repeated.
    Request,
    /// A part of the prompts of requests of which no two are alike.
    Part,
}

impl Cause {
    /// Returns the number of crashes after which it must be known.
    fn allowed_crashes(self) -> usize {
        match self {
            Cause::Request => 3,
            Cause::Part => 5,
        }
    }
}

/// Draws how targets end under the request. Parts of prompts are convicted by targets that close their
/// connections before a response.
fn crash_options(rng: &mut StdRng, cause: Cause) -> CrashOptions {
    if cause == Cause::Part {
        return CrashOptions::default();
    }
    const SEQUENCES: [CrashSequence; 4] = [
        CrashSequence::PortClosesFirst,
        CrashSequence::PortStaysOpen,
        CrashSequence::InUnframedResponse,
        CrashSequence::Silence,
    ];
    CrashOptions {
        sequence: SEQUENCES[rng.random_range(0..SEQUENCES.len())],
        delay: Duration::from_millis(rng.random_range(10..400)),
        is_brittle: rng.random_bool(0.3),
        ..CrashOptions::default()
    }
}

/// Runs one seed and returns the violations.
pub(crate) fn run(seed: u64, cause: Cause) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start(seed);
    // All targets of the service must crash under the request, so that none of them can clear it. The
    // targets that don't crash are removed.
    let others = world.runners.iter().map(|runner| &runner.standin);
    let others: Vec<_> = others.filter(|r| r.serves(PLAIN)).collect();
    others.iter().for_each(|r| world.store.remove("servers", &r.id));
    let listed = (world.runners.len() - others.len()) as u64;
    let until = Instant::now() + LIST_TIMEOUT;
    let has_list = |d: &&Daemon| d.wait_for_metric("tansyknot_targets", listed, until);
    if world.daemons.iter().filter(has_list).count() < world.daemons.len() {
        return vec!["a daemon still lists removed targets".to_owned()];
    }
    let options = crash_options(&mut rng, cause);
    let crash_log = Arc::new(CrashLog::with_options(options));
    (0..TARGETS).for_each(|_| crash::start(&world.store, &crash_log));
    thread::scope(|scope| {
        let until = Instant::now() + FAULT_DURATION;
        while Instant::now() < until {
            let daemon = &world.daemons[rng.random_range(0..world.daemons.len())];
            let fault_seed = rng.random();
            scope
                .spawn(move || leave::inject_fault(daemon, &mut StdRng::seed_from_u64(fault_seed)));
            send_for(&world, &mut rng, cause, Duration::from_millis(700));
        }
    });
    world.end_faults();
    send_for(&world, &mut rng, cause, PROPAGATION_TIME);
    let before = crash_log.arrivals().len();
    send_for(&world, &mut rng, cause, REPEAT_DURATION);
    let late = crash_log.arrivals().len() - before;
    let mut violations = Vec::new();
    if crash_log.crashes().len() >= cause.allowed_crashes() && late > MAX_LATE_SENDS {
        let crashes = crash_log.crashes().len();
        violations.push(format!("{late} late sends, {crashes} crashes, {options:?}"));
    }
    thread::sleep(TARGET_RESTART_TIME);
    let unserved = world.daemons.iter().enumerate().filter(|(_, d)| !serves_harmless(d));
    violations.extend(unserved.map(|(n, _)| format!("daemon {n} does not serve other requests")));
    violations
}

/// Sends harmful requests for a time, to random daemons.
fn send_for(world: &World, rng: &mut StdRng, cause: Cause, duration: Duration) {
    let until = Instant::now() + duration;
    while Instant::now() < until {
        let callers = world.daemons[rng.random_range(0..world.daemons.len())].callers();
        let id = format!("p-{:x}", rng.random::<u64>());
        // Callers that wait for a response, and callers that leave.
        let patience =
            rng.random_bool(0.5).then(|| Duration::from_millis(rng.random_range(20..200)));
        thread::spawn(move || {
            // The response is not checked; a daemon that has ended sends none.
            let stream = client::connect(callers);
            let prompt = format!("Prompt-Prefix: aa:20,{CRASH_PART}:10,{}:5\r\n", &id[2..]);
            let path = format!("/lookup/{id}");
            let (path, extra_headers) = match cause {
                Cause::Request => ("/lookup/crash", ""),
                Cause::Part => (path.as_str(), prompt.as_str()),
            };
            let req = Request { extra_headers, ..Request::new(path, &id, None, 4_000) };
            match patience {
                None => drop(stream.and_then(|mut s| client::send_request(&mut s, &req))),
                Some(patience) => {
                    let sent = stream.and_then(|mut s| {
                        s.get_mut().write_all(req.text().as_bytes()).ok().map(|()| s)
                    });
                    thread::sleep(patience);
                    drop(sent);
                }
            }
        });
        thread::sleep(Duration::from_millis(rng.random_range(40..200)));
    }
}

/// Returns whether a daemon serves a harmless request.
fn serves_harmless(daemon: &Daemon) -> bool {
    let stream = client::connect(daemon.callers());
    let response = stream.and_then(|mut s| client::send(&mut s, "/lookup/x", "other", None));
    response.is_some_and(|response| response.status == 200)
}
