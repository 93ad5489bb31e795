//! Daemons as processes, and the stand-ins and paths around them.

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::Child,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};
use rustix::process::{Pid, Signal};
use tansyknot_adapter_standins::{
    operator::{Configuration, MODELS, PLAIN},
    runner::{Fault, Runner},
    store::{Endpoint, FailureMode, Store},
};

use crate::{
    launch,
    proxy::{Path, Weather},
};

/// How often a figure is looked at that is waited for.
const LOOK: Duration = Duration::from_millis(100);
/// Daemons in a world.
const DAEMONS: u64 = 3;
/// Models that an engine holds at once.
pub(crate) const MODELS_AT_ONCE: usize = 2;
/// Models that callers ask for.
pub(crate) const MODEL_COUNT: usize = 4;

/// A runner and the path that daemons take to it.
pub(crate) struct RunnerAt {
    pub(crate) standin: Runner,
    pub(crate) path: Path,
}

/// Everything of one seed.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) runners: Vec<RunnerAt>,
    pub(crate) outcomes: Mutex<Vec<Outcome>>,
    config: AtomicU64,
    over: AtomicBool,
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) path: &'static str,
    pub(crate) status: u16,
}

/// A daemon, whichever process it is now.
pub(crate) struct Daemon {
    pub(crate) endpoint: Endpoint,
    pub(crate) store_path: Path,
    process: Mutex<Child>,
    callers: Mutex<SocketAddr>,
    metrics: Mutex<SocketAddr>,
    settings: PathBuf,
    /// When it went on after a pause.
    thawed: Mutex<Vec<Instant>>,
}

impl World {
    pub(crate) fn start(seed: u64) -> Self {
        Self::start_with(seed, DAEMONS)
    }

    /// Starts a world with so many daemons.
    pub(crate) fn start_with(seed: u64, daemons: u64) -> Self {
        let store = Store::new();
        configuration(1).write(&store);
        let runner = |service: &str, id: &str, models: &[&str]| {
            let standin = Runner::start(&store, service, id, models);
            let path = Path::open(standin.address);
            standin.set_on_disk(&["m0", "m1", "m2", "m3"]);
            standin.set_event_gap(Duration::from_millis(20));
            standin.publish_address(path.address);
            RunnerAt { standin, path }
        };
        let runners = vec![
            runner(MODELS, "i-e1", &["m0", "m1"]),
            runner(MODELS, "i-e2", &["m0"]),
            runner(PLAIN, "i-p1", &[]),
            runner(PLAIN, "i-p2", &[]),
        ];
        let daemons = (0..daemons).map(|n| Daemon::start(&store, seed, n)).collect();
        Self {
            store,
            daemons,
            runners,
            outcomes: Mutex::default(),
            config: AtomicU64::new(1),
            over: AtomicBool::new(false),
        }
    }

    /// Ends every fault.
    pub(crate) fn mend(&self) {
        for d in &self.daemons {
            d.endpoint.set_failure_mode(FailureMode::Normal);
            d.store_path.set(Weather::Fair);
            d.signal(Signal::CONT);
        }
        for r in &self.runners {
            r.path.set(Weather::Fair);
            r.standin.clear_faults();
        }
    }

    pub(crate) fn change_config(&self) {
        self.write_config(MODEL_COUNT);
    }

    /// Writes the next configuration, with so many models; returns its version.
    pub(crate) fn write_config(&self, model_count: usize) -> u64 {
        let version = self.config.fetch_add(1, Ordering::SeqCst) + 1;
        Configuration { model_count, ..configuration(version) }.write(&self.store);
        version
    }

    pub(crate) fn stop_clients(&self) {
        self.over.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    pub(crate) fn saw(&self, outcome: Outcome) {
        self.outcomes.lock().expect("no holder of the lock panics").push(outcome);
    }
}

impl Daemon {
    fn start(store: &Store, seed: u64, n: u64) -> Self {
        let endpoint = store.open_endpoint();
        let store_path = Path::open(endpoint.address);
        let settings = launch::settings(&format!("{seed}-d{n}"), store_path.address);
        let started = launch::spawn(&settings);
        Self {
            endpoint,
            store_path,
            process: Mutex::new(started.child),
            callers: Mutex::new(started.callers),
            metrics: Mutex::new(started.metrics),
            settings,
            thawed: Mutex::default(),
        }
    }

    /// Returns where it takes callers now.
    pub(crate) fn callers(&self) -> SocketAddr {
        *self.callers.lock().expect("no holder of the lock panics")
    }

    /// Returns where its figures are now.
    pub(crate) fn metrics(&self) -> SocketAddr {
        *self.metrics.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.process.lock().expect("no holder of the lock panics");
        send(&child, signal);
    }

    /// Freezes it for a while; other faults go on meanwhile.
    pub(crate) fn pause(&self, span: Duration) {
        self.signal(Signal::STOP);
        thread::sleep(span.min(Duration::from_millis(2500)));
        self.signal(Signal::CONT);
        self.thawed.lock().expect("no holder of the lock panics").push(Instant::now());
    }

    /// Returns when it went on after a pause.
    pub(crate) fn thawed(&self) -> Vec<Instant> {
        self.thawed.lock().expect("no holder of the lock panics").clone()
    }

    /// Waits until a figure has this value; tells whether it has by `until`.
    pub(crate) fn shows(&self, figure: &str, value: u64, until: Instant) -> bool {
        let line = format!("{figure}{{of=\"daemon\"}} {value}\n");
        loop {
            if launch::figures(self.metrics()).contains(&line) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(LOOK);
        }
    }

    /// Ends it by `end` and starts it again.
    ///
    /// The process that is told to end is the one that is waited for: with the lock given back in
    /// between, of two restarts at once the second waited for the process that the first had
    /// started, which nobody had told to end.
    pub(crate) fn restart(&self, end: End) {
        let mut child = self.process.lock().expect("no holder of the lock panics");
        match end {
            End::Kill => send(&child, Signal::KILL),
            End::Stop => {
                send(&child, Signal::CONT);
                send(&child, Signal::TERM);
            }
        }
        child.wait().expect("it ends");
        let next = launch::spawn(&self.settings);
        *child = next.child;
        *self.callers.lock().expect("no holder of the lock panics") = next.callers;
        *self.metrics.lock().expect("no holder of the lock panics") = next.metrics;
    }
}

/// How a daemon's process ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum End {
    /// At once.
    Kill,
    /// As an operator stops it.
    Stop,
}

/// Sends a signal to a process that may have ended a moment ago.
fn send(child: &Child, signal: Signal) {
    let _ = rustix::process::kill_process(Pid::from_child(child), signal);
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let mut child = self.process.lock().expect("no holder of the lock panics");
        // It may have ended already.
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

pub(crate) fn failure_mode(rng: &mut StdRng) -> FailureMode {
    [
        FailureMode::Normal,
        FailureMode::Normal,
        FailureMode::ServiceUnavailable,
        FailureMode::TooManyRequests,
        FailureMode::ClosesConnections,
        FailureMode::DropsWriteResponses,
    ][rng.random_range(0..6)]
}

pub(crate) fn fault(rng: &mut StdRng) -> Fault {
    let all = [
        Fault::RejectsRequest,
        Fault::InternalError,
        Fault::DropsResponse,
        Fault::TruncatesBody,
        Fault::TruncatesStream,
        Fault::WrongAttemptId,
        Fault::InvalidResponse,
        Fault::DuplicateResponse,
        Fault::MissingSeal,
    ];
    all[rng.random_range(0..all.len())]
}

pub(crate) fn order_fault(rng: &mut StdRng) -> Fault {
    [Fault::DropsOrder, Fault::DropsOrderResponse][rng.random_range(0..2)]
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        timeout_ms: 5_000,
        objective_ms: 300,
        gap_ms: 200,
        models_per_engine: MODELS_AT_ONCE,
        model_count: MODEL_COUNT,
    }
}
