//! A request under which targets crash comes again and again while daemons end, freeze and lose the
//! store: once that is over nobody sends it on, and others are served.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_adapter_standins::{
    crash::{self, CrashLog},
    operator::PLAIN,
};

use crate::{
    client, leave,
    world::{Daemon, World},
};

const TARGETS: usize = 5;
/// All daemons know the list this long after their start.
const START: Duration = Duration::from_secs(20);
/// How long faults strike.
const FAULTS: Duration = Duration::from_secs(7);
/// Daemons that nothing disturbs know of a third crash this long after it.
const CONTACT: Duration = Duration::from_secs(3);
/// How long the request goes on coming after that, and how often it may reach a target then.
const AFTER: Duration = Duration::from_secs(3);
const LATE_SENDS: usize = 3;
/// Targets that have crashed are back within this span.
const BACK: Duration = Duration::from_secs(2);

/// Plays one seed; returns what broke.
pub(crate) fn run(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = World::start(seed);
    // All targets of the service crash under the request, so that none of them can clear it.
    let others = world.runners.iter().map(|runner| &runner.standin);
    let others: Vec<_> = others.filter(|r| r.serves(PLAIN)).collect();
    others.iter().for_each(|r| world.store.remove("servers", &r.id));
    let known = (world.runners.len() - others.len()) as u64;
    let until = Instant::now() + START;
    let knows = |d: &&Daemon| d.shows("tansyknot_targets", known, until);
    if world.daemons.iter().filter(knows).count() < world.daemons.len() {
        return vec!["a daemon does not know that targets have gone".to_owned()];
    }
    let record = Arc::new(CrashLog::default());
    (0..TARGETS).for_each(|_| crash::start(&world.store, &record));
    thread::scope(|scope| {
        let until = Instant::now() + FAULTS;
        while Instant::now() < until {
            let daemon = &world.daemons[rng.random_range(0..world.daemons.len())];
            let strike = rng.random();
            scope.spawn(move || leave::strike(daemon, &mut StdRng::seed_from_u64(strike)));
            ask_for(&world, &mut rng, Duration::from_millis(700));
        }
    });
    world.mend();
    ask_for(&world, &mut rng, CONTACT);
    let before = record.arrivals().len();
    ask_for(&world, &mut rng, AFTER);
    let late = record.arrivals().len() - before;
    let mut broken = Vec::new();
    if record.crashes().len() >= 3 && late > LATE_SENDS {
        broken.push(format!("{late} late sends, {} crashes", record.crashes().len()));
    }
    thread::sleep(BACK);
    let unserved = world.daemons.iter().enumerate().filter(|(_, d)| !serves(d));
    broken.extend(unserved.map(|(n, _)| format!("daemon {n} does not serve others")));
    broken
}

/// Has the request come again for a while, at any daemon.
fn ask_for(world: &World, rng: &mut StdRng, span: Duration) {
    let until = Instant::now() + span;
    while Instant::now() < until {
        let callers = world.daemons[rng.random_range(0..world.daemons.len())].callers();
        let id = format!("p-{:x}", rng.random::<u64>());
        thread::spawn(move || {
            // What the caller gets is not looked at; a daemon that has ended gives nothing.
            let stream = client::connect(callers);
            drop(stream.and_then(|mut s| client::ask(&mut s, "/lookup/crash", &id, None)));
        });
        thread::sleep(Duration::from_millis(rng.random_range(40..200)));
    }
}

/// Tells whether a daemon serves a request that harms nobody.
fn serves(daemon: &Daemon) -> bool {
    let stream = client::connect(daemon.callers());
    let answer = stream.and_then(|mut s| client::ask(&mut s, "/lookup/x", "other", None));
    answer.is_some_and(|answer| answer.status == 200)
}
