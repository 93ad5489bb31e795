//! A small deployment on loopback: the store and the operator in this process, runners and daemons as
//! processes of their own.

use std::{
    collections::HashMap,
    env, fs,
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tansyknot_adapter_standins::store::{Endpoint, Store};

/// The interval of a runner's check-ins.
pub const CHECK_IN: Duration = Duration::from_millis(1200);
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The record of a run: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().expect("no holder of the lock panics");
        let _ = writeln!(file, "{ms:>7} {text}");
    }
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A child process that is ended when this value is dropped.
pub struct Process {
    child: Child,
    pub lines: mpsc::Receiver<String>,
}

impl Process {
    fn spawn(command: &mut Command, pids: &Path) -> io::Result<Self> {
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let mut file = fs::OpenOptions::new().create(true).append(true).open(pids)?;
        writeln!(file, "{}", child.id())?;
        let stdout = child.stdout.take().expect("standard output is piped");
        let (tx, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let _ = tx.send(line);
            }
        });
        Ok(Self { child, lines })
    }

    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A runner process.
pub struct Runner {
    pub process: Process,
    pub id: String,
    pub address: SocketAddr,
    service: String,
    models: Vec<String>,
}

/// A daemon process.
pub struct Daemon {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

/// What the runners' check-ins say.
type Entries = Arc<Mutex<HashMap<String, Value>>>;

pub struct World {
    pub store: Store,
    pub record: Record,
    endpoint: Endpoint,
    entries: Entries,
    dir: PathBuf,
    peers_port: u16,
}

impl World {
    /// Starts the store, and the check-ins of runners that are added later.
    pub fn start(record: Record) -> io::Result<Self> {
        let dir = PathBuf::from(env::var("CASE_TMP").map_err(io::Error::other)?);
        let store = Store::new();
        let endpoint = store.open_endpoint();
        let entries = Entries::default();
        let (checked, checked_store) = (Arc::clone(&entries), store.clone());
        thread::spawn(move || {
            for n in 0u64.. {
                thread::sleep(CHECK_IN);
                let entries = checked.lock().expect("no holder of the lock panics");
                for (id, entry) in entries.iter() {
                    let mut entry = entry.clone();
                    entry["seq-no"] = json!(n);
                    checked_store.put("servers", id, &entry);
                }
            }
        });
        Ok(Self { store, record, endpoint, entries, dir, peers_port: free_port()? })
    }

    fn pids(&self) -> PathBuf {
        self.dir.join("pids")
    }

    /// Starts a runner process in `mode` and writes its entry.
    pub fn runner(
        &self,
        id: &str,
        service: &str,
        mode: &str,
        models: &[&str],
    ) -> io::Result<Runner> {
        let program = env::current_exe()?;
        let mut command = Command::new(program);
        command.args(["runner", id, mode]);
        let process = Process::spawn(&mut command, &self.pids())?;
        let line = process.lines.recv_timeout(START_TIMEOUT).map_err(io::Error::other)?;
        let address = line.parse().map_err(io::Error::other)?;
        let models = models.iter().map(|m| (*m).to_owned()).collect();
        let runner =
            Runner { process, id: id.to_owned(), address, service: service.to_owned(), models };
        self.check_in(&runner);
        Ok(runner)
    }

    /// Writes a runner's entry, and lets its later check-ins say the same.
    fn check_in(&self, runner: &Runner) {
        let models: Vec<Value> = runner
            .models
            .iter()
            .map(|name| json!({ "name": name, "version": 1, "adapters": [] }))
            .collect();
        let entry = json!({
            "service": runner.service, "address": runner.address.to_string(), "zone": "z1",
            "version": "v1", "slots": 64, "state": "ready", "seq-no": 0, "cold-left-ms": 0,
            "stage": "combined", "models": models, "at-hand": { "in-memory": [], "on-disk": [] },
        });
        self.record.line(&format!("store: entry of {}, at {}", runner.id, runner.address));
        self.store.put("servers", &runner.id, &entry);
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        entries.insert(runner.id.clone(), entry);
    }

    /// Starts daemon number `n` as the deploy file does, on a loopback address of its own.
    pub fn daemon(&self, n: u8) -> io::Result<Daemon> {
        let settings = self.dir.join(format!("daemon-{n}.yaml"));
        fs::write(&settings, self.settings(n))?;
        let mut command = Command::new("target/deploy/tansyknotd");
        command.args(["--serves", "fleet", "--settings"]).arg(&settings);
        let process = Process::spawn(&mut command, &self.pids())?;
        let until = Instant::now() + START_TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = process.lines.recv_timeout(left).map_err(io::Error::other)?;
            let doc: Value = serde_json::from_str(&line).unwrap_or_default();
            let address = |name: &str| doc["kvs"][name].as_str().and_then(|t| t.parse().ok());
            if let (Some(callers), Some(ready)) = (address("callers"), address("ready")) {
                return Ok(Daemon { process, callers, ready });
            }
        }
    }

    /// The template of the deploy file, filled in with the figures of the site astb-permis.
    fn settings(&self, n: u8) -> String {
        let host = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10 + n));
        let (peers, store) = (self.peers_port, self.endpoint.address);
        format!(
            "name: front-{n}\navailability_zone: z1\nlisten:\n  callers: {host}:0\n  ready: {host}:0\n  \
             host: {host}\n  peers_port: {peers}\n  metrics_port: 0\nregions: {{z1: r1}}\n\
             store: {store}\nlink_mbps: 1000.0\nbounds:\n  order_turn: 3000ms\n  retry_ratio: 0.2\n  \
             retry_slack: 52\n  retry_window: 10s\n  leave_within: 2000ms\n  config_within: 2000ms\n  \
             heartbeat: 1200ms\n  recover_within: 3000ms\n  stop_grace: 8s\nscheduling:\n  \
             store_outage: continue\n  weight_store: observed\n  target_choice: expected_time\n  \
             room: tokens\n  admission: ordered\nlimits:\n  idle_timeout: 60s\n"
        )
    }

    /// Waits until every daemon says that it is ready.
    pub fn await_ready(&self, daemons: &[Daemon]) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for daemon in daemons {
            while !is_ready(daemon.ready) {
                if Instant::now() >= until {
                    return Err(io::Error::other("a daemon is not ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let request = "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    crate::client::exchange(address, request.as_bytes(), Duration::from_secs(1))
        .is_ok_and(|answer| answer.status == 200)
}

fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind(("127.0.0.1", 0))?.local_addr()?.port())
}
