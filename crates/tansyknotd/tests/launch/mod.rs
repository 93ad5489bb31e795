//! Starts daemons that serve a fleet, each as a process of its own.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    fs::OpenOptions,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal};
use serde_json::Value;

/// A condition that does not hold within this time has failed.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// A daemon that does not log its start within this time has failed.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A daemon process that has logged its addresses.
pub(crate) struct StartedDaemon {
    pub(crate) child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// The number of settings files that this process has written. It makes their names unique, as two
/// tests may use one daemon name.
static SETTINGS_FILE_COUNT: AtomicU64 = AtomicU64::new(0);

/// Writes the settings file of a daemon on loopback; the caller removes it.
pub(crate) fn write_settings(name: &str, store: SocketAddr) -> PathBuf {
    let n = SETTINGS_FILE_COUNT.fetch_add(1, Ordering::SeqCst);
    let file = format!("tansyknot-fleet-{name}-{}-{n}.yaml", std::process::id());
    let path = std::env::temp_dir().join(file);
    let text = format!(
        "name: {name}\navailability_zone: z1\nlisten:\n  callers: 127.0.0.1:0\n  \
         ready: 127.0.0.1:0\n  host: 127.0.0.1\n  peers_port: 0\n  \
         metrics_port: 0\nstore: {store}\nbounds:\n  \
         order_turn: 3000ms\n  retry_ratio: 0.2\n  retry_slack: 200\n  retry_window: 10s\n  \
         leave_within: 2s\n  config_within: 2s\n  heartbeat: 1200ms\n  \
         recover_within: 3s\n  stop_grace: 8s\n"
    );
    std::fs::write(&path, text).expect("the temporary directory is writable");
    path
}

/// Starts a daemon and waits until it has logged its addresses. If `SOAK_LOGS` is set, its log lines
/// are copied to standard error.
pub(crate) fn spawn(settings: &Path) -> StartedDaemon {
    spawn_command(Command::new(env!("CARGO_BIN_EXE_tansyknotd")), settings)
}

/// Starts a daemon that may have at most so many descriptors.
fn spawn_with_descriptors(settings: &Path, descriptors: u32) -> StartedDaemon {
    let mut command = Command::new("sh");
    let script = format!("ulimit -n {descriptors} && exec \"$@\"");
    command.args(["-c", &script, "sh", env!("CARGO_BIN_EXE_tansyknotd")]);
    spawn_command(command, settings)
}

fn spawn_command(mut command: Command, settings: &Path) -> StartedDaemon {
    let mut child = command
        .args(["--serves", "fleet", "--settings"])
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let stdout = child.stdout.take().expect("standard output is piped");
    let (tx, rx) = mpsc::channel();
    let copies_lines = std::env::var("SOAK_LOGS").is_ok();
    thread::spawn(move || {
        // Lines are read to the end, so that a full pipe never blocks the daemon.
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if copies_lines {
                eprintln!("{line}");
            }
            // The receiver is dropped once the daemon has started.
            let _ = tx.send(line);
        }
    });
    let [callers, ready, metrics] = addresses(&rx);
    StartedDaemon { child, callers, ready, metrics }
}

/// Sends `text` to a daemon and returns its response up to the end of the connection.
pub(crate) fn send(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    stream.write_all(text.as_bytes()).expect("the daemon accepts the request");
    let mut response = Vec::new();
    // A reset also ends the response.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns the metrics page of a daemon.
pub(crate) fn metrics_page(metrics: SocketAddr) -> String {
    send(metrics, "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
}

/// Waits for the log line that contains the addresses of a daemon.
fn addresses(rx: &mpsc::Receiver<String>) -> [SocketAddr; 3] {
    loop {
        let line = rx.recv_timeout(START_TIMEOUT).expect("the daemon logs that it has started");
        let doc: Value = serde_json::from_str(&line).unwrap_or_default();
        let address = |name: &str| doc["kvs"][name].as_str().and_then(|text| text.parse().ok());
        let parsed = [address("callers"), address("ready"), address("metrics")];
        if let [Some(callers), Some(ready), Some(metrics)] = parsed {
            return [callers, ready, metrics];
        }
    }
}

/// A daemon that is ready for callers, until it is dropped.
pub(crate) struct Daemon {
    pub(crate) child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    settings: PathBuf,
}

impl Daemon {
    pub(crate) fn start(name: &str, store: SocketAddr) -> Self {
        Self::start_with(name, store, "")
    }

    /// Starts a daemon with `more_settings` in addition to the usual ones.
    pub(crate) fn start_with(name: &str, store: SocketAddr, more_settings: &str) -> Self {
        Self::start_by(spawn, name, store, more_settings)
    }

    /// Starts a daemon that may have at most so many descriptors.
    pub(crate) fn start_with_descriptors(name: &str, store: SocketAddr, descriptors: u32) -> Self {
        Self::start_by(|path| spawn_with_descriptors(path, descriptors), name, store, "")
    }

    fn start_by(
        spawn: impl Fn(&Path) -> StartedDaemon,
        name: &str,
        store: SocketAddr,
        more_settings: &str,
    ) -> Self {
        let settings = write_settings(name, store);
        let mut file =
            OpenOptions::new().append(true).open(&settings).expect("the settings file exists");
        file.write_all(more_settings.as_bytes()).expect("the settings file is writable");
        let StartedDaemon { child, callers, ready, metrics } = spawn(&settings);
        let daemon = Self { child, callers, ready, metrics, settings };
        wait_until(|| {
            send(daemon.ready, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n").contains("200")
        });
        daemon
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the daemon's process exists");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Waits until a condition holds.
pub(crate) fn wait_until(holds: impl Fn() -> bool) {
    let until = Instant::now() + CONDITION_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "the condition did not hold in time");
        thread::sleep(Duration::from_millis(10));
    }
}
