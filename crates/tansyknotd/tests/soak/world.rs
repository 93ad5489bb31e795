//! Daemons as processes, and the stand-ins and paths around them.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};
use rustix::process::{Pid, Signal};
use serde_json::Value;
use tansyknot_adapter_standins::{
    operator::{Configuration, MODELS, PLAIN},
    runner::{Fault, Runner},
    store::{Door, Mood, Store},
};

use crate::proxy::{Path, Weather};

/// A daemon that does not say within this long that it has started has failed.
const START: Duration = Duration::from_secs(20);
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
    pub(crate) door: Door,
    pub(crate) store_path: Path,
    process: Mutex<Child>,
    callers: Mutex<SocketAddr>,
    settings: PathBuf,
    /// When it went on after a pause.
    thawed: Mutex<Vec<Instant>>,
}

impl World {
    pub(crate) fn start(seed: u64) -> Self {
        let store = Store::new();
        configuration(1).write(&store);
        let runner = |service: &str, id: &str, models: &[&str]| {
            let standin = Runner::start(&store, service, id, models);
            let path = Path::open(standin.address);
            standin.set_on_disk(&["m0", "m1", "m2", "m3"]);
            standin.set_gap(Duration::from_millis(20));
            standin.enter_at(path.address);
            RunnerAt { standin, path }
        };
        let runners = vec![
            runner(MODELS, "i-e1", &["m0", "m1"]),
            runner(MODELS, "i-e2", &["m0"]),
            runner(PLAIN, "i-p1", &[]),
            runner(PLAIN, "i-p2", &[]),
        ];
        let daemons = (0..DAEMONS).map(|n| Daemon::start(&store, seed, n)).collect();
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
            d.door.set_mood(Mood::Fine);
            d.store_path.set(Weather::Fair);
            d.signal(Signal::CONT);
        }
        for r in &self.runners {
            r.path.set(Weather::Fair);
            r.standin.clear_faults();
        }
    }

    pub(crate) fn change_config(&self) {
        let version = self.config.fetch_add(1, Ordering::SeqCst) + 1;
        configuration(version).write(&self.store);
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
        let door = store.door();
        let store_path = Path::open(door.address);
        let file = format!("tansyknot-soak-{}-{seed}-{n}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = format!(
            "name: d{n}\navailability_zone: z1\nlisten:\n  callers: 127.0.0.1:0\n  \
             ready: 127.0.0.1:0\n  host: 127.0.0.1\n  peers_port: 0\nstore: {}\nbounds:\n  \
             order_turn: 3000ms\n  retry_ratio: 0.2\n  retry_slack: 200\n  retry_window: 10s\n  \
             stop_grace: 8s\n",
            store_path.address
        );
        std::fs::write(&settings, text).expect("the temporary directory takes files");
        let (child, callers) = spawn(&settings);
        Self {
            door,
            store_path,
            process: Mutex::new(child),
            callers: Mutex::new(callers),
            settings,
            thawed: Mutex::default(),
        }
    }

    /// Returns where it takes callers now.
    pub(crate) fn callers(&self) -> SocketAddr {
        *self.callers.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.process.lock().expect("no holder of the lock panics");
        // It may have ended a moment ago.
        let _ = rustix::process::kill_process(Pid::from_child(&child), signal);
    }

    pub(crate) fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Stops it as an operator does; a stop that takes longer than its grace is killed.
    pub(crate) fn stop(&self) {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
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

    /// Ends it by `end` and starts it again.
    pub(crate) fn restart(&self, end: fn(&Self)) {
        end(self);
        let mut child = self.process.lock().expect("no holder of the lock panics");
        child.wait().expect("it ends");
        let (next, callers) = spawn(&self.settings);
        *child = next;
        *self.callers.lock().expect("no holder of the lock panics") = callers;
    }
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

fn spawn(settings: &std::path::Path) -> (Child, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tansyknotd"))
        .args(["--serves", "fleet", "--settings"])
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let stdout = child.stdout.take().expect("it was piped");
    let (tx, rx) = mpsc::channel();
    let keep = std::env::var("SOAK_LOGS").is_ok();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if keep {
                eprintln!("{line}");
            }
            // Nobody waits for lines once the daemon has started.
            let _ = tx.send(line);
        }
    });
    let callers = callers_of(&rx);
    (child, callers)
}

/// Waits for the line that says where a daemon takes callers.
fn callers_of(rx: &mpsc::Receiver<String>) -> SocketAddr {
    loop {
        let line = rx.recv_timeout(START).expect("the daemon says that it has started");
        let doc: Value = serde_json::from_str(&line).unwrap_or_default();
        if let Some(callers) = doc["kvs"]["callers"].as_str() {
            return callers.parse().expect("an address");
        }
    }
}

pub(crate) fn mood(rng: &mut StdRng) -> Mood {
    [Mood::Fine, Mood::Fine, Mood::Busy, Mood::TooMany, Mood::Closing, Mood::LosesAnswers]
        [rng.random_range(0..6)]
}

pub(crate) fn fault(rng: &mut StdRng) -> Fault {
    let all = [
        Fault::Full,
        Fault::Error,
        Fault::LosesAnswer,
        Fault::Truncates,
        Fault::BreaksOff,
        Fault::Foreign,
        Fault::Babbles,
        Fault::Extra,
        Fault::NoReceipt,
    ];
    all[rng.random_range(0..all.len())]
}

pub(crate) fn order_fault(rng: &mut StdRng) -> Fault {
    [Fault::DropsOrder, Fault::LosesOrderAnswer][rng.random_range(0..2)]
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        timeout_ms: 5_000,
        objective_ms: 300,
        gap_ms: 200,
        models_at_once: MODELS_AT_ONCE,
        models: MODEL_COUNT,
    }
}
