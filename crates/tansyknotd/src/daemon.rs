//! A daemon: everything wired together, its start and its planned stop.

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

use tansyknot_config::settings::{Limits, Settings};
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
    http::server::{self, DrainBehaviour, Handler, Lifecycle, ServerOptions},
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
    loops::StopFlag,
    operators::{self, Operators},
    replicas::EngineReplicas,
    telemetry,
};

/// How often the registration is tried until the table takes it.
const REGISTER_EVERY: Duration = Duration::from_millis(500);
/// How often a drain looks whether it is over.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// How a daemon has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// Every request in flight was answered.
    Whole,
    /// This many requests were cut.
    Cut(u32),
}

/// Tells a daemon to stop, from any thread.
#[derive(Clone)]
pub struct Stopper {
    signals: Arc<AtomicU32>,
    lifecycle: Arc<Lifecycle>,
}

impl Stopper {
    /// Takes in a signal: the first begins the drain, the second ends it at once.
    pub fn signal(&self) {
        self.signals.fetch_add(1, Ordering::SeqCst);
        self.lifecycle.drain();
    }
}

/// A running daemon.
pub struct Daemon {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    settings: Settings,
    incarnation: Incarnation,
    table: Arc<dyn Table>,
    stopper: Stopper,
    stop_loops: Arc<StopFlag>,
    threads: Vec<JoinHandle<()>>,
}

/// What most parts of a daemon share.
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

    fn gateway(&self, settings: &Settings, reconciler: &Arc<Reconciler>) -> Gateway {
        let replicas = EngineReplicas::new(
            Arc::clone(reconciler),
            Arc::clone(&self.engine),
            Arc::clone(&self.clock),
        );
        let parts = gateway::GatewayDependencies {
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
        };
        let options = GatewayOptions {
            daemon: settings.name.clone(),
            incarnation: self.incarnation.clone(),
            zone: settings.availability_zone.clone(),
            max_waiting: settings.limits.waiting_per_service as usize,
            deadline_max: settings.limits.deadline_max.duration(),
        };
        Gateway::new(parts, options)
    }

    fn operators(&self, settings: &Settings) -> Operators {
        Operators {
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
    /// Fails if an address can't be taken.
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
        let gateway: Arc<dyn Handler> = Arc::new(shared.gateway(settings, &reconciler));

        let mut threads = vec![
            serve_callers(listener, &settings.limits, gateway, &shared.lifecycle),
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

    /// Returns what tells the daemon to stop.
    pub fn stopper(&self) -> Stopper {
        self.stopper.clone()
    }

    /// Runs until told to stop, drains, and says how it went.
    pub fn run_until_stopped(self) -> Stopped {
        while self.stopper.signals.load(Ordering::SeqCst) == 0 {
            thread::sleep(DRAIN_LOOK);
        }
        event::DRAIN_BEGUN.emit(&[("requests", &self.stopper.lifecycle.busy())]);
        let stopped = self.drain();
        self.stop_loops.set();
        for thread in self.threads {
            // A loop that has panicked must not keep the others from ending.
            let _ = thread.join();
        }
        // Only now can no order of this run be on its way any more.
        let _ = replicas::deregister_daemon(
            self.table.as_ref(),
            self.settings.name.as_str(),
            &self.incarnation,
        );
        event::STOPPED.emit(&[("daemon", &self.settings.name)]);
        stopped
    }

    /// Takes requests for a moment more, closes the listener and waits for what is in flight.
    fn drain(&self) -> Stopped {
        let lifecycle = &self.stopper.lifecycle;
        let began = BootInstant::now();
        let linger = self.settings.drain.linger.duration();
        while began.elapsed() < linger && !self.is_hurried() {
            thread::sleep(DRAIN_LOOK);
        }
        lifecycle.close();
        // The accept loop looks at the lifecycle after each connection.
        drop(TcpStream::connect(self.callers));
        let timeout = self.settings.drain.timeout.duration();
        loop {
            let busy = lifecycle.busy();
            if busy == 0 {
                return Stopped::Whole;
            }
            if began.elapsed() >= timeout || self.is_hurried() {
                event::DRAIN_CUT.emit(&[("requests", &busy)]);
                return Stopped::Cut(busy);
            }
            thread::sleep(DRAIN_LOOK);
        }
    }

    fn is_hurried(&self) -> bool {
        self.stopper.signals.load(Ordering::SeqCst) > 1
    }
}

fn bind_node(settings: &Settings, clock: &Arc<dyn Clock>) -> io::Result<Node> {
    let me = LocalMember {
        daemon: settings.name.clone(),
        address: settings.listen.peers,
        availability_zone: settings.availability_zone.clone(),
        incarnation: clock.wall_ms(),
    };
    Node::bind(me, MembersOptions::default(), Arc::clone(clock))
}

fn serve_callers(
    listener: TcpListener,
    limits: &Limits,
    gateway: Arc<dyn Handler>,
    lifecycle: &Arc<Lifecycle>,
) -> JoinHandle<()> {
    let options = ServerOptions {
        max_head_bytes: limits.head.get(),
        max_body_bytes: limits.body.get(),
        max_connections: limits.connections,
        receive_timeout: limits.receive_timeout.duration(),
        idle_timeout: limits.idle_timeout.duration(),
        write_timeout: limits.write_timeout.duration(),
        on_drain: DrainBehaviour::CloseIdle,
    };
    let lifecycle = Arc::clone(lifecycle);
    spawn("callers", move || {
        // The listener fails only if the system takes it away; the platform then sees a daemon
        // that does not answer and replaces the host.
        let _ = server::serve(&listener, &options, &gateway, &lifecycle);
    })
}

fn serve_operators(server: operators::BoundServer, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let stop = Arc::clone(stop);
    spawn("operators", move || server(&stop))
}

/// Registers this run, and only then starts the control loop.
///
/// An unregistered run must not order loads: its row is how others learn that it is gone.
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
            if stop.wait(REGISTER_EVERY) {
                return;
            }
        }
        for thread in control::start(&control, &refresh, &stop) {
            // A loop that has panicked must not keep the others from ending.
            let _ = thread.join();
        }
    })
}

fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .expect("the system has a thread left at the start")
}
