//! Daemons with a request pipeline but no control loop, and stand-ins for two engines, a plain
//! service, the table service and the list of hosts.
#![allow(dead_code, reason = "each test file uses only a part")]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use tansyknot_config::{
    document,
    objects_in_force::{self, ObjectChange},
};
use tansyknot_control::{
    config::{self, Author, ConfigView},
    directory::ReplicaCache,
    hosts::HostView,
    pools::Pools,
    publish::Publisher,
};
use tansyknot_core::{
    clock::{Clock, SystemClock},
    engine::LoadOrder,
    host::{Fencing, HostState, Target, TargetKind},
    name::{AdapterName, AttemptId, DaemonName, Incarnation, ServiceName, TargetName, ZoneName},
    replica::{ReplicaRow, Slot, SlotState},
    telemetry::NoRecorder,
};
use tansyknot_edge::{
    explain::Explainer,
    gateway::{EngineOrders, Gateway, GatewayDependencies, GatewayOptions},
    http::server::{self, DrainBehaviour, Handler, Lifecycle, ServerOptions},
    watch::CallerWatch,
};
use tansyknot_policy::routing::ZoneTwoChoices;
use tansyknot_standins::{
    engine::{self, Engine, EngineOptions},
    fake::{FakeHosts, FakeTable},
    plain::{self, PlainState},
    server::RunningServer,
};

pub(crate) const KEY: &str = "test-key";

const OBJECTS: &str = "
kind: service
name: permit
labels: {desk: permits}
backend: {model: {checkpoint: permit-8b, memory: 16GB}}
---
kind: adapter
name: permit-wolof
service: permit
---
kind: service
name: once-model
labels: {desk: once}
backend: {model: {checkpoint: once-8b, memory: 16GB}}
---
kind: service
name: registry
labels: {desk: registry}
backend: {plain: {}}
---
kind: service
name: letters
labels: {desk: letters}
backend: {plain: {}}
---
kind: service
name: secret
labels: {desk: secret}
backend: {plain: {}}
---
kind: rule
name: models
services: desk=permits
targets: pool=models
requests: {deadline: 5s, in_flight_per_replica: 8}
---
kind: rule
name: once
services: desk=once
targets: pool=models
requests: {deadline: 5s, repeatability: at_most_once}
---
kind: rule
name: registry
services: desk=registry
targets: pool=plain
requests: {deadline: 5s, repeatability: at_most_once}
---
kind: rule
name: letters
services: desk=letters
targets: pool=plain
requests: {deadline: 5s}
---
kind: caller
name: hauler
key_sha256: HASH
services: desk!=secret
limits: {in_flight: 4}
";

/// The stand-ins for the platform and the targets.
pub(crate) struct TestPlatform {
    pub(crate) table: FakeTable,
    pub(crate) hosts: FakeHosts,
    pub(crate) engines: Vec<Arc<Engine>>,
    pub(crate) plain: Arc<PlainState>,
    running: Vec<RunningServer>,
}

/// A pipeline and its server.
pub(crate) struct TestDaemon {
    pub(crate) address: SocketAddr,
    pub(crate) table: FakeTable,
    pub(crate) lifecycle: Arc<Lifecycle>,
    pub(crate) pools: Arc<Pools>,
    pub(crate) watch: Arc<CallerWatch>,
    pub(crate) explainer: Arc<Explainer>,
    pub(crate) orders: Arc<RecordedOrders>,
}

/// Records the orders that the pipeline issues.
#[derive(Default)]
pub(crate) struct RecordedOrders {
    not_loaded: Mutex<Vec<ServiceName>>,
    pub(crate) cancelled: Mutex<Vec<AttemptId>>,
}

impl EngineOrders for RecordedOrders {
    fn report_not_loaded(&self, service: &ServiceName) {
        self.not_loaded.lock().expect("the lock is not poisoned").push(service.clone());
    }

    fn cancel(&self, _: &Target, attempt: &AttemptId) {
        self.cancelled.lock().expect("the lock is not poisoned").push(attempt.clone());
    }

    fn load_adapter(
        &self,
        _: &Target,
        _: &ServiceName,
        _: &AdapterName,
    ) -> tansyknot_core::Result<()> {
        Ok(())
    }
}

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

impl TestPlatform {
    /// Starts two engines with both models and a plain service.
    pub(crate) fn new() -> Self {
        let mut running = Vec::new();
        let mut engines = Vec::new();
        let mut targets = Vec::new();
        for i in 0..2 {
            let options = EngineOptions {
                first_token: Duration::from_millis(1),
                token_gap: Duration::from_millis(1),
                ..EngineOptions::default()
            };
            let (server, engine) = engine::start(loopback(), options).expect("a port is free");
            for service in ["permit", "once-model"] {
                load_model(&engine, service);
            }
            let name = format!("e{i}");
            targets.push(target(&name, server.address, TargetKind::Engine, "models"));
            running.push(server);
            engines.push(engine);
        }
        let (server, plain) = plain::start(loopback()).expect("a port is free");
        targets.push(target("p0", server.address, TargetKind::Plain, "plain"));
        running.push(server);
        let hosts = FakeHosts::default();
        hosts.state.set(targets);
        let table = FakeTable::default();
        let text = OBJECTS.replace("HASH", &objects_in_force::key_hash(KEY));
        let objects = document::read(&text, "test").expect("the test objects are valid");
        let ops: Vec<ObjectChange> = objects.into_iter().map(ObjectChange::Put).collect();
        let author = Author { name: "test".to_owned(), at_ms: 0 };
        config::apply(&table, 0, &ops, &author).expect("there is no concurrent writer");
        Self { table, hosts, engines, plain, running }
    }

    /// Gives the target at `index` an address that nothing listens on.
    ///
    /// The system never assigns this port. A port that was just free could be taken by another
    /// test's stand-in in the meantime.
    pub(crate) fn disconnect(&self, index: usize) {
        let unused: SocketAddr = ([127, 0, 0, 1], 1).into();
        let mut targets = self.hosts.state.list();
        targets[index].address = unused;
        self.hosts.state.set(targets);
    }

    /// Starts a daemon with default options.
    pub(crate) fn start_daemon(&self) -> TestDaemon {
        self.start_daemon_with(&default_options())
    }

    /// Starts a daemon with these options.
    pub(crate) fn start_daemon_with(&self, options: &ServerOptions) -> TestDaemon {
        let table = self.table.new_connection();
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let config = Arc::new(ConfigView::default());
        config.follow(&table).expect("the table is up");
        let hosts = Arc::new(HostView::default());
        hosts.refresh(&self.hosts, clock.now()).expect("the list is up");
        let directory = Arc::new(ReplicaCache::default());
        for service in ["permit", "once-model"] {
            directory.store(&ServiceName::from(service), 1, &ready_row(), clock.now());
        }
        let pools = Arc::new(Pools::new(Box::new(ZoneTwoChoices::default()), Arc::clone(&clock)));
        let publisher = Arc::new(Publisher {
            config: Arc::clone(&config),
            hosts: Arc::clone(&hosts),
            directory,
            pools: Arc::clone(&pools),
        });
        let lifecycle: Arc<Lifecycle> = Arc::default();
        let watch: Arc<CallerWatch> = Arc::default();
        let explainer: Arc<Explainer> = Arc::default();
        let orders: Arc<RecordedOrders> = Arc::default();
        let parts = GatewayDependencies {
            config,
            hosts,
            pools: Arc::clone(&pools),
            publisher,
            table: Arc::new(table.clone()),
            replicas: Arc::clone(&orders) as Arc<dyn EngineOrders>,
            recorder: Arc::new(NoRecorder),
            clock,
            lifecycle: Arc::clone(&lifecycle),
            explainer: Arc::clone(&explainer),
            watch: Arc::clone(&watch),
            memory: Arc::default(),
        };
        let gateway = GatewayOptions {
            daemon: DaemonName::from("d0"),
            incarnation: Incarnation::from("d0#1"),
            zone: ZoneName::from("z0"),
            max_waiting: 16,
            deadline_max: Duration::from_secs(60),
        };
        let handler: Arc<dyn Handler> = Arc::new(Gateway::new(parts, gateway));
        let listener = TcpListener::bind(loopback()).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (options, server_lifecycle) = (options.clone(), Arc::clone(&lifecycle));
        thread::spawn(move || server::serve(&listener, &options, &handler, &server_lifecycle));
        TestDaemon { address, table, lifecycle, pools, watch, explainer, orders }
    }

    /// Returns how many requests the engines have started.
    pub(crate) fn started(&self) -> usize {
        self.engines.iter().map(|e| e.executed_requests().requests.len()).sum()
    }
}

impl Drop for TestPlatform {
    fn drop(&mut self) {
        self.running.iter().for_each(RunningServer::stop);
    }
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        self.lifecycle.drain();
        self.lifecycle.close();
        let _ = TcpStream::connect(self.address);
    }
}

pub(crate) fn default_options() -> ServerOptions {
    ServerOptions {
        max_head_bytes: 4096,
        max_body_bytes: 64 << 10,
        memory: Arc::default(),
        max_connections: 64,
        head_timeout: Duration::from_secs(5),
        body_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_millis(300),
        write_timeout: Duration::from_secs(5),
        on_drain: DrainBehaviour::CloseIdle,
    }
}

pub(crate) fn load_model(engine: &Arc<Engine>, service: &str) {
    let service = ServiceName::from(service);
    let order = LoadOrder {
        service: service.clone(),
        checkpoint: "c".to_owned(),
        memory_bytes: 1,
        fence: 1,
    };
    engine.models.begin_load(&order).expect("the engine is empty");
    engine.models.finish_load(&service);
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

fn ready_row() -> ReplicaRow {
    let slot = |name: &str| Slot {
        target: TargetName::from(name),
        state: SlotState::Ready,
        fence: 1,
        holder: Incarnation::from("d0#1"),
        token: "t".to_owned(),
        memory_bytes: 1,
        ordering: Vec::new(),
        since_ms: 0,
    };
    ReplicaRow { last_fence: 1, slots: vec![slot("e0"), slot("e1")] }
}

/// Sends bytes on a new connection and returns everything that is received.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the daemon is listening");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the timeout is not zero");
    // The server may refuse the request and close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns a request that closes its connection.
pub(crate) fn request(method_path: &str, headers: &[&str], body: &str) -> Vec<u8> {
    let mut text = format!(
        "{method_path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n",
        body.len()
    );
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Returns a completion request.
pub(crate) fn completion(model: &str, stream: bool, tokens: u32) -> Vec<u8> {
    let body = format!(r#"{{"model":"{model}","stream":{stream},"max_tokens":{tokens}}}"#);
    request("POST /v1/chat/completions", &[], &body)
}

/// Returns the status of a response.
pub(crate) fn status(response: &str) -> u16 {
    let code = response.split(' ').nth(1).and_then(|code| code.parse().ok());
    code.unwrap_or(0)
}

/// Returns the tokens of a streamed response, in order.
pub(crate) fn tokens(response: &str) -> Vec<String> {
    let parts = response.split("\"content\":\"").skip(1);
    parts.filter_map(|p| p.split('"').next()).map(|t| t.trim().to_owned()).collect()
}

/// Returns the expected tokens of a stream with `n` tokens.
pub(crate) fn all_tokens(n: u32) -> Vec<String> {
    (0..n).map(|i| format!("t{i}")).collect()
}
