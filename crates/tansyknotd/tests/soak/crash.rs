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
/// The longest time from the arrival of a request to the crash under it.
const MAX_CRASH_DELAY: Duration = Duration::from_millis(400);
/// Daemons list targets as they are after this time, `leave_within` of their settings.
const LIST_DELAY: Duration = Duration::from_secs(2);

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
        delay: Duration::from_millis(rng.random_range(10..MAX_CRASH_DELAY.as_millis() as u64)),
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
    // Silent targets restart last. Before they are listed anew, a daemon that has just started may have
    // to refuse a request for want of retries.
    thread::sleep(MAX_CRASH_DELAY + crash::MAX_RESTART_TIME + LIST_DELAY);
    for (n, daemon) in world.daemons.iter().enumerate() {
        let refusal = send_harmless(daemon).err();
        violations.extend(refusal.map(|r| format!("daemon {n} does not serve others: {r}")));
    }
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

/// Sends a harmless request to a daemon.
///
/// # Errors
///
/// Returns what was received instead of a response of a target.
fn send_harmless(daemon: &Daemon) -> Result<(), String> {
    let stream = client::connect(daemon.callers());
    let response = stream.and_then(|mut s| client::send(&mut s, "/lookup/x", "other", None));
    match response {
        Some(response) if response.status == 200 => Ok(()),
        Some(response) => Err(format!("{} {}", response.status, response.body)),
        None => Err("no response".to_owned()),
    }
}
