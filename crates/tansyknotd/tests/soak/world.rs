//! Daemons as processes, with the stand-ins of the platform and the proxied paths between them.

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
    proxy::{Path, PathState},
};

/// How often a metric is polled while a test waits for its value.
const METRIC_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Default number of daemons in a world.
const DEFAULT_DAEMON_COUNT: u64 = 3;
/// Maximum number of models that an engine loads at once.
pub(crate) const MODELS_AT_ONCE: usize = 2;
/// Number of models that callers request.
pub(crate) const MODEL_COUNT: usize = 4;

/// A runner and the proxied path from daemons to it.
pub(crate) struct ProxiedRunner {
    pub(crate) standin: Runner,
    pub(crate) path: Path,
}

/// The daemons, the stand-ins and the observed outcomes of one seed.
pub(crate) struct World {
    pub(crate) store: Store,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) runners: Vec<ProxiedRunner>,
    pub(crate) outcomes: Mutex<Vec<Outcome>>,
    config_version: AtomicU64,
    clients_stopped: AtomicBool,
}

/// What a caller observed of one request.
#[derive(Clone, Debug)]
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) path: &'static str,
    pub(crate) status: u16,
}

/// A daemon, whose process changes with each restart.
pub(crate) struct Daemon {
    pub(crate) endpoint: Endpoint,
    pub(crate) store_path: Path,
    process: Mutex<Child>,
    callers: Mutex<SocketAddr>,
    metrics: Mutex<SocketAddr>,
    settings: PathBuf,
    /// When the daemon resumed after a pause.
    resume_times: Mutex<Vec<Instant>>,
}

impl World {
    pub(crate) fn start(seed: u64) -> Self {
        Self::start_with(seed, DEFAULT_DAEMON_COUNT)
    }

    /// Starts a world with this number of daemons.
    pub(crate) fn start_with(seed: u64, daemons: u64) -> Self {
        let store = Store::new();
        configuration(1).write(&store);
        let runner = |service: &str, id: &str, models: &[&str]| {
            let standin = Runner::start(&store, service, id, models);
            let path = Path::open(standin.address);
            standin.set_on_disk(&["m0", "m1", "m2", "m3"]);
            standin.set_event_gap(Duration::from_millis(20));
            standin.publish_address(path.address);
            ProxiedRunner { standin, path }
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
            config_version: AtomicU64::new(1),
            clients_stopped: AtomicBool::new(false),
        }
    }

    /// Ends every fault.
    pub(crate) fn end_faults(&self) {
        for d in &self.daemons {
            d.endpoint.set_failure_mode(FailureMode::Normal);
            d.store_path.set(PathState::Open);
            d.signal(Signal::CONT);
        }
        for r in &self.runners {
            r.path.set(PathState::Open);
            r.standin.clear_faults();
        }
    }

    pub(crate) fn change_config(&self) {
        self.write_config(MODEL_COUNT);
    }

    /// Writes the next configuration, with this number of models; returns its version.
    pub(crate) fn write_config(&self, model_count: usize) -> u64 {
        let version = self.config_version.fetch_add(1, Ordering::SeqCst) + 1;
        Configuration { model_count, ..configuration(version) }.write(&self.store);
        version
    }

    pub(crate) fn stop_clients(&self) {
        self.clients_stopped.store(true, Ordering::SeqCst);
    }

    pub(crate) fn are_clients_stopped(&self) -> bool {
        self.clients_stopped.load(Ordering::SeqCst)
    }

    pub(crate) fn record_outcome(&self, outcome: Outcome) {
        self.outcomes.lock().expect("no holder of the lock panics").push(outcome);
    }
}

impl Daemon {
    fn start(store: &Store, seed: u64, n: u64) -> Self {
        let endpoint = store.open_endpoint();
        let store_path = Path::open(endpoint.address);
        let settings = launch::write_settings(&format!("{seed}-d{n}"), store_path.address);
        let started = launch::spawn(&settings);
        Self {
            endpoint,
            store_path,
            process: Mutex::new(started.child),
            callers: Mutex::new(started.callers),
            metrics: Mutex::new(started.metrics),
            settings,
            resume_times: Mutex::default(),
        }
    }

    /// Returns the current address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        *self.callers.lock().expect("no holder of the lock panics")
    }

    /// Returns the current address of the metrics page.
    pub(crate) fn metrics(&self) -> SocketAddr {
        *self.metrics.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.process.lock().expect("no holder of the lock panics");
        send(&child, signal);
    }

    /// Pauses the process for a time, while other faults continue.
    pub(crate) fn pause(&self, duration: Duration) {
        self.signal(Signal::STOP);
        thread::sleep(duration.min(Duration::from_millis(2500)));
        self.signal(Signal::CONT);
        self.resume_times.lock().expect("no holder of the lock panics").push(Instant::now());
    }

    /// Returns when the daemon resumed after its pauses.
    pub(crate) fn resume_times(&self) -> Vec<Instant> {
        self.resume_times.lock().expect("no holder of the lock panics").clone()
    }

    /// Waits until a metric has this value; returns whether it has by `until`.
    pub(crate) fn wait_for_metric(&self, metric: &str, value: u64, until: Instant) -> bool {
        let line = format!("{metric}{{of=\"daemon\"}} {value}\n");
        loop {
            if launch::metrics_page(self.metrics()).contains(&line) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(METRIC_POLL_INTERVAL);
        }
    }

    /// Ends the process in the way of `mode` and starts a new one.
    ///
    /// The lock is held throughout, so that the process that gets the signal is the one that is waited
    /// for. Without this, the second of two concurrent restarts waits for the process that the first has
    /// started, which got no signal.
    pub(crate) fn restart(&self, mode: StopMode) {
        let mut child = self.process.lock().expect("no holder of the lock panics");
        match mode {
            StopMode::Kill => send(&child, Signal::KILL),
            StopMode::Graceful => {
                send(&child, Signal::CONT);
                send(&child, Signal::TERM);
            }
        }
        child.wait().expect("the process ends");
        let next = launch::spawn(&self.settings);
        *child = next.child;
        *self.callers.lock().expect("no holder of the lock panics") = next.callers;
        *self.metrics.lock().expect("no holder of the lock panics") = next.metrics;
    }
}

/// How the process of a daemon is stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StopMode {
    /// Immediately, by `SIGKILL`.
    Kill,
    /// By `SIGTERM`, as an operator stops it.
    Graceful,
}

/// Sends a signal to a process, which may have just ended.
fn send(child: &Child, signal: Signal) {
    let _ = rustix::process::kill_process(Pid::from_child(child), signal);
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let mut child = self.process.lock().expect("no holder of the lock panics");
        // The process may have ended already.
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

pub(crate) fn random_failure_mode(rng: &mut StdRng) -> FailureMode {
    [
        FailureMode::Normal,
        FailureMode::Normal,
        FailureMode::ServiceUnavailable,
        FailureMode::TooManyRequests,
        FailureMode::ClosesConnections,
        FailureMode::DropsWriteResponses,
    ][rng.random_range(0..6)]
}

pub(crate) fn random_fault(rng: &mut StdRng) -> Fault {
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

pub(crate) fn random_order_fault(rng: &mut StdRng) -> Fault {
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
