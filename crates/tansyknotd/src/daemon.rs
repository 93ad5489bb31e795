//! A daemon that serves services: its wiring, startup and planned stop.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use tansyknot_config::settings::Settings;
use tansyknot_control::{
    config::ConfigView,
    directory::ReplicaCache,
    hosts::HostView,
    pools::Pools,
    publish::Publisher,
    reconcile::{self, Reconciler},
    replicas,
};
use tansyknot_core::{
    clock::{BootInstant, Clock, SystemClock},
    engine::Engine,
    event,
    name::Incarnation,
    peer::{PeerListener, Peers},
    replica::DaemonRow,
    table::Table,
    telemetry::Recorder,
};
use tansyknot_edge::{
    explain::Explainer,
    gateway::{self, Gateway, GatewayOptions},
    http::{
        memory::RequestMemory,
        server::{self, DrainBehaviour, Handler, Lifecycle, ServerOptions},
    },
    watch::CallerWatch,
};
use tansyknot_gossip::{
    members::{LocalMember, MembersOptions},
    node::Node,
};
use tansyknot_platform::{engine::HttpEngine, host::HttpHostList, table::HttpTable};
use tansyknot_policy::{
    placement::NearestCheckpoint, retention::LeastCost, routing::ZoneTwoChoices,
};

use crate::{
    control::{self, Control},
    host,
    loops::StopFlag,
    operators::{self, OperatorApi},
    replicas::EngineReplicas,
    telemetry,
};

/// Delay between attempts to register with the table.
const REGISTRATION_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// How often a drain checks whether it is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How the drain of a daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Every request in flight got its response.
    Complete,
    /// This many requests were aborted.
    Aborted(u32),
}

/// Requests the stop of a daemon, from any thread.
#[derive(Clone)]
pub struct Stopper {
    signals: Arc<AtomicU32>,
    lifecycle: Arc<Lifecycle>,
}

impl Stopper {
    /// Handles a signal: the first starts the drain, the second aborts it.
    pub fn signal(&self) {
        self.signals.fetch_add(1, Ordering::SeqCst);
        self.lifecycle.drain();
    }
}

/// A running daemon.
pub struct Daemon {
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address of the operators' interface.
    pub operators: SocketAddr,
    settings: Settings,
    incarnation: Incarnation,
    table: Arc<dyn Table>,
    stopper: Stopper,
    stop_loops: Arc<StopFlag>,
    threads: Vec<JoinHandle<()>>,
}

/// The components that most parts of a daemon share.
struct Shared {
    clock: Arc<dyn Clock>,
    table: Arc<dyn Table>,
    engine: Arc<dyn Engine>,
    hosts: Arc<HostView>,
    config: Arc<ConfigView>,
    pools: Arc<Pools>,
    directory: Arc<ReplicaCache>,
    publisher: Arc<Publisher>,
    node: Arc<Node>,
    recorder: Arc<dyn Recorder>,
    lifecycle: Arc<Lifecycle>,
    explainer: Arc<Explainer>,
    watch: Arc<CallerWatch>,
    incarnation: Incarnation,
}

impl Shared {
    fn new(settings: &Settings) -> io::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let timeout = settings.platform.timeout.duration();
        let hosts = Arc::new(HostView::default());
        let config = Arc::new(ConfigView::default());
        let directory = Arc::new(ReplicaCache::default());
        let routing = Box::new(ZoneTwoChoices::default());
        let pools = Arc::new(Pools::new(routing, Arc::clone(&clock)));
        let publisher = Publisher {
            config: Arc::clone(&config),
            hosts: Arc::clone(&hosts),
            directory: Arc::clone(&directory),
            pools: Arc::clone(&pools),
        };
        let recorder = telemetry::recorder(&settings.telemetry).map_err(io::Error::other)?;
        Ok(Self {
            table: Arc::new(HttpTable::new(settings.platform.table, timeout)),
            engine: Arc::new(HttpEngine::new(timeout)),
            hosts,
            config,
            pools,
            directory,
            publisher: Arc::new(publisher),
            node: Arc::new(bind_node(settings, &clock)?),
            recorder: Arc::from(recorder),
            lifecycle: Arc::default(),
            explainer: Arc::default(),
            watch: Arc::default(),
            incarnation: replicas::new_incarnation(settings.name.as_str()),
            clock,
        })
    }

    fn reconciler(&self) -> Arc<Reconciler> {
        Arc::new(Reconciler::new(reconcile::ReconcilerDependencies {
            table: Arc::clone(&self.table),
            engine: Arc::clone(&self.engine),
            hosts: Arc::clone(&self.hosts),
            config: Arc::clone(&self.config),
            pools: Arc::clone(&self.pools),
            directory: Arc::clone(&self.directory),
            publisher: Arc::clone(&self.publisher),
            peers: Arc::clone(&self.node) as Arc<dyn Peers>,
            placement: Box::new(NearestCheckpoint),
            retention: Box::new(LeastCost),
            clock: Arc::clone(&self.clock),
            incarnation: self.incarnation.clone(),
        }))
    }

    fn gateway(
        &self,
        settings: &Settings,
        reconciler: &Arc<Reconciler>,
        memory: &Arc<RequestMemory>,
    ) -> Gateway {
        let replicas = EngineReplicas::new(
            Arc::clone(reconciler),
            Arc::clone(&self.engine),
            Arc::clone(&self.clock),
        );
        let dependencies = gateway::GatewayDependencies {
            config: Arc::clone(&self.config),
            hosts: Arc::clone(&self.hosts),
            pools: Arc::clone(&self.pools),
            publisher: Arc::clone(&self.publisher),
            table: Arc::clone(&self.table),
            replicas: Arc::new(replicas),
            recorder: Arc::clone(&self.recorder),
            clock: Arc::clone(&self.clock),
            lifecycle: Arc::clone(&self.lifecycle),
            explainer: Arc::clone(&self.explainer),
            watch: Arc::clone(&self.watch),
            memory: Arc::clone(memory),
        };
        let options = GatewayOptions {
            daemon: settings.name.clone(),
            incarnation: self.incarnation.clone(),
            zone: settings.availability_zone.clone(),
            max_waiting: settings.limits.waiting_per_service as usize,
            deadline_max: settings.limits.deadline_max.duration(),
        };
        Gateway::new(dependencies, options)
    }

    fn operators(&self, settings: &Settings) -> OperatorApi {
        OperatorApi {
            daemon: settings.name.clone(),
            incarnation: self.incarnation.clone(),
            zone: settings.availability_zone.clone(),
            config: Arc::clone(&self.config),
            hosts: Arc::clone(&self.hosts),
            pools: Arc::clone(&self.pools),
            directory: Arc::clone(&self.directory),
            lifecycle: Arc::clone(&self.lifecycle),
            explainer: Arc::clone(&self.explainer),
        }
    }

    fn control(&self, settings: &Settings, reconciler: &Arc<Reconciler>) -> Control {
        let timeout = settings.platform.timeout.duration();
        Control {
            table: Arc::clone(&self.table),
            host_list: Arc::new(HttpHostList::new(
                settings.platform.hosts,
                &settings.platform.hosts_query,
                timeout,
            )),
            hosts: Arc::clone(&self.hosts),
            config: Arc::clone(&self.config),
            pools: Arc::clone(&self.pools),
            publisher: Arc::clone(&self.publisher),
            reconciler: Arc::clone(reconciler),
            node: Arc::clone(&self.node),
            watch: Arc::clone(&self.watch),
            recorder: Arc::clone(&self.recorder),
            clock: Arc::clone(&self.clock),
        }
    }
}

impl Daemon {
    /// Binds every address and starts every thread.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn start(settings: &Settings) -> io::Result<Self> {
        let shared = Shared::new(settings)?;
        let stop_loops = Arc::new(StopFlag::default());
        let listener = TcpListener::bind(settings.listen.callers)?;
        let callers = listener.local_addr()?;
        let (operators, operators_server) =
            operators::bind(settings.listen.operators, shared.operators(settings))
                .map_err(io::Error::other)?;
        let reconciler = shared.reconciler();
        shared.node.set_listener(Arc::clone(&reconciler) as Arc<dyn PeerListener>);
        let control = Arc::new(shared.control(settings, &reconciler));
        let options = host::server_options(&settings.limits, DrainBehaviour::CloseIdle);
        let gateway: Arc<dyn Handler> =
            Arc::new(shared.gateway(settings, &reconciler, &options.memory));

        let mut threads = vec![
            serve_callers(listener, options, gateway, &shared.lifecycle),
            serve_operators(operators_server, &stop_loops),
        ];
        let registration =
            register_then_control(settings, &shared, operators, control, &stop_loops);
        threads.push(registration);
        event::STARTED.emit(&[
            ("daemon", &settings.name),
            ("incarnation", &shared.incarnation),
            ("callers", &callers),
            ("operators", &operators),
        ]);
        Ok(Self {
            callers,
            operators,
            settings: settings.clone(),
            incarnation: shared.incarnation,
            table: shared.table,
            stopper: Stopper { signals: Arc::default(), lifecycle: shared.lifecycle },
            stop_loops,
            threads,
        })
    }

    /// Returns a handle that stops the daemon.
    pub fn stopper(&self) -> Stopper {
        self.stopper.clone()
    }

    /// Runs until a stop is requested, drains, and returns how the drain ended.
    pub fn run_until_stopped(self) -> DrainOutcome {
        while self.stopper.signals.load(Ordering::SeqCst) == 0 {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        event::DRAIN_BEGUN.emit(&[("requests", &self.stopper.lifecycle.requests_in_flight())]);
        let outcome = self.drain();
        self.stop_loops.set();
        for thread in self.threads {
            // A panic in one thread must not prevent the others from being joined.
            let _ = thread.join();
        }
        // No order of this incarnation can be in flight once all threads have ended.
        let _ = replicas::deregister_daemon(
            self.table.as_ref(),
            self.settings.name.as_str(),
            &self.incarnation,
        );
        event::STOPPED.emit(&[("daemon", &self.settings.name)]);
        outcome
    }

    /// Accepts requests for the linger time, closes the listener and waits for requests in flight.
    fn drain(&self) -> DrainOutcome {
        let lifecycle = &self.stopper.lifecycle;
        let started_at = BootInstant::now();
        let linger = self.settings.drain.linger.duration();
        while started_at.elapsed() < linger && !self.is_abort_requested() {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        lifecycle.close();
        // The accept loop checks the lifecycle only after a connection, so one is opened here.
        drop(TcpStream::connect(self.callers));
        let timeout = self.settings.drain.timeout.duration();
        loop {
            let busy = lifecycle.requests_in_flight();
            if busy == 0 {
                return DrainOutcome::Complete;
            }
            if started_at.elapsed() >= timeout || self.is_abort_requested() {
                event::DRAIN_CUT.emit(&[("requests", &busy)]);
                return DrainOutcome::Aborted(busy);
            }
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    fn is_abort_requested(&self) -> bool {
        self.stopper.signals.load(Ordering::SeqCst) > 1
    }
}

fn bind_node(settings: &Settings, clock: &Arc<dyn Clock>) -> io::Result<Node> {
    let local_member = LocalMember {
        daemon: settings.name.clone(),
        address: settings.listen.peers,
        availability_zone: settings.availability_zone.clone(),
        incarnation: clock.wall_ms(),
    };
    Node::bind(local_member, MembersOptions::default(), Arc::clone(clock))
}

fn serve_callers(
    listener: TcpListener,
    options: ServerOptions,
    gateway: Arc<dyn Handler>,
    lifecycle: &Arc<Lifecycle>,
) -> JoinHandle<()> {
    let lifecycle = Arc::clone(lifecycle);
    spawn("callers", move || {
        // The listener fails only if the system closes it. The platform then finds that the daemon
        // does not respond, and replaces the host.
        let _ = server::serve(&listener, &options, &gateway, &lifecycle);
    })
}

fn serve_operators(server: operators::BoundServer, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let stop = Arc::clone(stop);
    spawn("operators", move || server(&stop))
}

/// Registers this incarnation, and only then starts the control loop.
///
/// An unregistered incarnation must not order loads, as other daemons detect its end by its row.
fn register_then_control(
    settings: &Settings,
    shared: &Shared,
    operators: SocketAddr,
    control: Arc<Control>,
    stop: &Arc<StopFlag>,
) -> JoinHandle<()> {
    let row = DaemonRow {
        incarnation: shared.incarnation.clone(),
        peer_address: shared.node.address().unwrap_or(settings.listen.peers),
        operators_address: operators,
        availability_zone: settings.availability_zone.clone(),
    };
    let name = settings.name.clone();
    let table = Arc::clone(&shared.table);
    let refresh = settings.refresh.clone();
    let stop = Arc::clone(stop);
    spawn("control", move || {
        while replicas::register_daemon(table.as_ref(), name.as_str(), &row).is_err() {
            if stop.wait(REGISTRATION_RETRY_INTERVAL) {
                return;
            }
        }
        for thread in control::start(&control, &refresh, &stop) {
            // A panic in one thread must not prevent the others from being joined.
            let _ = thread.join();
        }
    })
}

fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .expect("a thread can be spawned at startup")
}
