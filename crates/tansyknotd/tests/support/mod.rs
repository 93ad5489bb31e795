//! Daemons as child processes, with stand-ins of the platform in the test process.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::{
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::Arc,
    thread,
    time::Duration,
};

use rustix::process::{Pid, Signal};
use tansyknot_config::{
    document,
    objects_in_force::{self, ObjectChange},
};
use tansyknot_control::config::{self, Author};
use tansyknot_core::{
    host::{Fencing, HostState, Target, TargetKind},
    name::{TargetName, ZoneName},
};
use tansyknot_standins::{
    engine::{self, Engine, EngineOptions},
    fake::FakeTable,
    hosts::{self, HostsState},
    plain::{self, PlainState},
    server::RunningServer,
    table::{self, TableState},
};

pub(crate) const KEY: &str = "test-key";

const OBJECTS: &str = "
kind: service
name: permit
labels: {desk: permits}
backend: {model: {checkpoint: permit-8b, memory: 16GB}}
---
kind: service
name: registry
labels: {desk: registry}
backend: {plain: {}}
---
kind: rule
name: models
services: desk=permits
targets: pool=models
replicas: {max: 1}
# Staging is off, so that loads can be counted.
retention: {weight: idle}
requests: {deadline: 30s}
---
kind: rule
name: registry
services: desk=registry
targets: pool=plain
requests: {deadline: 30s, repeatability: at_most_once, idempotency_key: required}
---
kind: caller
name: hauler
key_sha256: HASH
";

pub(crate) struct Platform {
    pub(crate) table: Arc<TableState>,
    pub(crate) hosts: Arc<HostsState>,
    pub(crate) engines: Vec<Arc<Engine>>,
    pub(crate) plain: Arc<PlainState>,
    table_address: SocketAddr,
    hosts_address: SocketAddr,
    running: Vec<RunningServer>,
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

impl Platform {
    /// Starts the platform with two engines, a plain service and the default objects.
    pub(crate) fn new(fencing: Fencing) -> Self {
        let (table_server, table) = table::start(loopback()).expect("a port is free");
        let (hosts_server, hosts) = hosts::start(loopback()).expect("a port is free");
        let (plain_server, plain) = plain::start(loopback()).expect("a port is free");
        let mut targets = vec![target("p0", plain_server.address, TargetKind::Plain, "plain")];
        let (table_address, hosts_address) = (table_server.address, hosts_server.address);
        let mut running = vec![table_server, hosts_server, plain_server];
        let mut engines = Vec::new();
        for i in 0..2 {
            let options = EngineOptions {
                fencing,
                disk_load: Duration::from_millis(30),
                first_token: Duration::from_millis(2),
                token_gap: Duration::from_millis(5),
                ..EngineOptions::default()
            };
            let (server, engine) = engine::start(loopback(), options).expect("a port is free");
            let mut engine_target =
                target(&format!("e{i}"), server.address, TargetKind::Engine, "models");
            engine_target.fencing = fencing;
            targets.push(engine_target);
            running.push(server);
            engines.push(engine);
        }
        hosts.set(targets);
        let text = OBJECTS.replace("HASH", &objects_in_force::key_hash(KEY));
        let objects = document::read(&text, "test").expect("the objects of the tests are valid");
        let ops: Vec<ObjectChange> = objects.into_iter().map(ObjectChange::Put).collect();
        let author = Author { name: "test".to_owned(), at_ms: 0 };
        let fake = FakeTable::with_state(&table);
        config::apply(&fake, 0, &ops, &author).expect("no other author writes the configuration");
        Self { table, hosts, engines, plain, table_address, hosts_address, running }
    }

    /// Lists another address for the plain service.
    pub(crate) fn move_plain(&self, address: SocketAddr) {
        let mut targets = self.hosts.list();
        let plain = targets.iter_mut().filter(|target| target.kind == TargetKind::Plain);
        plain.for_each(|target| target.address = address);
        self.hosts.set(targets);
    }

    /// Lists further engines at these addresses, before the others.
    pub(crate) fn add_engines(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let engine = |(n, address)| target(&format!("a{n}"), address, TargetKind::Engine, "models");
        let engines = addresses.enumerate().map(engine);
        self.hosts.set(engines.chain(self.hosts.list()).collect());
    }

    /// Starts a daemon as a child process and waits until it is ready.
    pub(crate) fn daemon(&self, name: &str) -> DaemonProcess {
        self.daemon_with(name, "")
    }

    /// Starts a daemon with `more_settings` in addition to the usual ones.
    pub(crate) fn daemon_with(&self, name: &str, more_settings: &str) -> DaemonProcess {
        let (table, hosts) = (self.table_address, self.hosts_address);
        let daemon = DaemonProcess::start(name, table, hosts, more_settings);
        daemon.wait_until_ready();
        daemon
    }

    /// Returns the number of engines that have a model in any state.
    pub(crate) fn loaded_engine_count(&self) -> usize {
        self.engines.iter().filter(|e| !e.models.status().models.is_empty()).count()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.running.iter().for_each(RunningServer::stop);
    }
}

fn target(name: &str, address: SocketAddr, kind: TargetKind, pool: &str) -> Target {
    Target {
        name: TargetName::from(name),
        address,
        availability_zone: ZoneName::from("z0"),
        state: HostState::Live,
        kind,
        memory_bytes: 80_000_000_000,
        fencing: Fencing::Checked,
        labels: [("pool".into(), pool.into())].into(),
    }
}

pub(crate) struct DaemonProcess {
    child: Child,
    pub(crate) callers: SocketAddr,
    settings: PathBuf,
}

impl DaemonProcess {
    fn start(name: &str, table: SocketAddr, hosts: SocketAddr, more_settings: &str) -> Self {
        let text = format!(
            "name: {name}\navailability_zone: z0\n\
             listen: {{callers: 127.0.0.1:0, operators: 127.0.0.1:0, peers: 127.0.0.1:0}}\n\
             platform: {{table: {table}, hosts: {hosts}}}\n\
             refresh: {{config: 100ms, hosts: 100ms, replicas: 20ms}}\n\
             drain: {{linger: 50ms, timeout: 60s}}\n{more_settings}"
        );
        let file = format!("tansyknotd-{}-{}-{name}.yaml", std::process::id(), table.port());
        let settings = env::temp_dir().join(file);
        fs::write(&settings, text).expect("the temporary directory is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_tansyknotd"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon's binary can be started");
        let mut lines =
            BufReader::new(child.stderr.take().expect("standard error is piped")).lines();
        let started = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("1001"))
            .expect("the daemon logs that it has started");
        // The pipe must be read to the end: a full pipe would block the daemon.
        thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        let callers = field(&started, "callers").parse().expect("the field is an address");
        Self { child, callers, settings }
    }

    fn wait_until_ready(&self) {
        while !get(self.callers, "/healthz").contains("200 OK") {
            thread::yield_now();
        }
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process is a child of this one").is_none()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal).expect("the child has not been waited for");
    }

    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process is a child of this one")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns a field of a JSON log line.
fn field(line: &str, name: &str) -> String {
    let start =
        line.find(&format!("\"{name}\":\"")).expect("the line has the field") + name.len() + 4;
    let rest = &line[start..];
    rest[..rest.find('"').expect("the field has a closing quote")].to_owned()
}

pub(crate) fn get(address: SocketAddr, path: &str) -> String {
    exchange(address, &format!("GET {path} HTTP/1.1\r\nconnection: close\r\n\r\n"))
}

/// Sends text on a new connection and returns the response; it is empty if the connection is refused.
pub(crate) fn exchange(address: SocketAddr, text: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    let _ = stream.write_all(text.as_bytes());
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

pub(crate) fn post(address: SocketAddr, path: &str, headers: &str, body: &str) -> String {
    exchange(
        address,
        &format!(
            "POST {path} HTTP/1.1\r\nconnection: close\r\nauthorization: Bearer {KEY}\r\n\
             {headers}content-length: {}\r\n\r\n{body}",
            body.len()
        ),
    )
}

pub(crate) fn request_stream(address: SocketAddr, tokens: u32) -> String {
    let body = format!(r#"{{"model":"permit","stream":true,"max_tokens":{tokens}}}"#);
    post(address, "/v1/chat/completions", "", &body)
}

pub(crate) fn is_complete(response: &str) -> bool {
    response.contains("200 OK") && response.contains("[DONE]") && response.ends_with("0\r\n\r\n")
}
