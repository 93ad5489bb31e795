//! A daemon that serves a fleet of shared targets: its threads, startup and planned stop.

mod pages;
mod scheduling;
mod store_polling;

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{Arc, Mutex, atomic::AtomicBool},
    thread,
    time::Duration,
};

use tansyknot_adapter::{header::PlatformHeaders, runner::RunnerClient, store::StoreClient};
use tansyknot_config::{
    fleet::{FleetSettings, StoreOutage},
    unit::PositiveDuration,
};
use tansyknot_core::{
    clock::{BootInstant, Clock, SystemClock},
    event, name,
};
use tansyknot_fleet::{
    access::{AccessOptions, view::ViewOptions},
    budget::BudgetOptions,
    follow::{ConfigFollower, TargetFollower},
    freshness::{Bounds, FreshnessLimits},
    instrumented_store::InstrumentedStore,
    lease::{LeaseHolder, LeaseOptions},
    lease_keeper::{LeaseKeeper, Reluctance, SharedLease},
    paths::Paths,
    peer_listener::PeerListener,
    peering::{DaemonIdentity, PeerNode},
    platform_api::{Dialect, Store},
    poison::keeper::PoisonKeeper,
    probe::TargetProbes,
    residency::Regions,
    response_buffers::ResponseBuffers,
    serve::Server,
    shutdown::ShutdownPlan,
    snapshot::{
        SnapshotClient, SnapshotProvider,
        tcp::{SnapshotServer, TcpSnapshots},
    },
    state::{State, StateOptions},
    task::TaskRunner,
    tunnel::server::TunnelServer,
};
use tansyknot_http::server::{self, DrainBehaviour, Handler, Lifecycle, ServerOptions};

use crate::{host, metrics_page::PageRecorder};
use pages::{MetricsPage, ReadyPage};

/// How often a stop checks whether requests are in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often it checks whether the aborted requests have been answered.
const ABORT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A daemon with a slower link than this takes the lease over only if no other daemon does so for a
/// while. A planner sends up to 15 Mbit/s to 295 daemons while many of 264 targets change, and its
/// updates use at most a fifth of its link; event 1625 reports their cost.
const MIN_PLANNER_LINK_MBPS: f64 = 60.0;
/// Maximum number of connections to the readiness and metrics pages.
const MAX_PAGE_CONNECTIONS: u32 = 32;

/// A running daemon.
pub struct FleetDaemon {
    lifecycle: Arc<Lifecycle>,
    keeper: Arc<LeaseKeeper>,
    grace: Duration,
}

impl FleetDaemon {
    /// Starts every thread of the daemon.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub fn start(settings: &FleetSettings) -> io::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let budget = BudgetOptions {
            ratio: settings.bounds.retry_ratio,
            slack: settings.bounds.retry_slack,
            window: settings.bounds.retry_window.duration(),
        };
        let freshness = freshness_limits(settings);
        let options = StateOptions { budget, access: access_options(settings), freshness };
        let state = State::new(settings.availability_zone.clone(), options, clock);
        let state = state.with_regions(Regions::new(settings.regions.clone()));
        let state = Arc::new(state.with_scheduling(scheduling::options(&settings.scheduling)));
        let recorder = Arc::new(PageRecorder::default());
        let store = Arc::new(StoreClient::new(settings.store, freshness.config_wait));
        let store: Arc<dyn Store> =
            Arc::new(InstrumentedStore::new(store, Arc::clone(&recorder) as _));
        let lease = Arc::new(SharedLease::default());
        let host = settings.listen.host;
        let socket = UdpSocket::bind(SocketAddr::new(host, settings.listen.peers_port))?;
        let peers = socket.local_addr()?;
        let incarnation: Arc<str> = name::random_id().into();
        let daemon: Arc<str> = settings.name.as_str().into();
        let holder = LeaseHolder {
            daemon: Arc::clone(&daemon),
            incarnation: Arc::clone(&incarnation),
            address: peers,
            fence: 0,
            released: false,
            extends: settings.scheduling.store_outage == StoreOutage::Continue,
            covers: BTreeMap::new(),
            rests: BTreeMap::new(),
            all_rest: 0,
            era: 0,
            software: Default::default(),
            longest_stream_ms: 0,
            stream_routes: None,
        };
        let options = LeaseOptions { handover_interval: settings.bounds.order_turn.duration() };
        let keeper = Arc::new(LeaseKeeper::new(
            Arc::clone(&state),
            Arc::clone(&store),
            Arc::clone(&lease),
            holder,
            options,
            reluctance(settings),
        ));
        let task_runner = Arc::new(TaskRunner {
            state: Arc::clone(&state),
            keeper: Arc::clone(&keeper),
            lease: Arc::clone(&lease),
            targets: Arc::new(RunnerClient),
            recorder: Arc::clone(&recorder) as _,
            daemon,
            overdue_loads: 0.into(),
            ledger: Mutex::default(),
            removal_delay: Mutex::default(),
        });
        let socket = Arc::new(socket);
        let identity = DaemonIdentity {
            daemon: settings.name.as_str().into(),
            incarnation,
            address: peers,
            zone: settings.availability_zone.clone(),
            link_mbps: settings.link_mbps.map(|mbps| mbps as u32),
        };
        let peer_node =
            PeerNode::new(Arc::clone(&state), task_runner, Arc::clone(&socket) as _, identity);
        let peer_node = Arc::new(peer_node);
        let lifecycle = Arc::new(Lifecycle::default());
        let targets_known = Arc::new(AtomicBool::new(false));

        let dialect: Arc<dyn Dialect> = Arc::new(PlatformHeaders);
        let server = Server::new(
            Arc::clone(&state),
            Arc::clone(&dialect),
            Arc::clone(&peer_node) as _,
            Arc::clone(&peer_node) as _,
            Arc::clone(&recorder) as _,
            Arc::clone(&lifecycle),
        );
        let options = host::server_options(&settings.limits, DrainBehaviour::ServeIdle);
        let buffers = ResponseBuffers::new(Arc::clone(&options.memory), options.write_timeout);
        let server = server.with_response_buffers(buffers);
        let server = server.with_origins(Arc::clone(&peer_node) as _);
        let callers =
            serve(settings.listen.callers, options.clone(), Arc::new(server), &lifecycle)?;
        let ready = ReadyPage {
            state: Arc::clone(&state),
            targets_known: Arc::clone(&targets_known),
            lifecycle: Arc::clone(&lifecycle),
            was_ready: AtomicBool::new(false),
        };
        let pages = Arc::new(Lifecycle::default());
        let ready = serve(settings.listen.ready, page_options(&options), Arc::new(ready), &pages)?;
        let metrics = match settings.listen.metrics_port {
            Some(port) => {
                let (state, lease) = (Arc::clone(&state), Arc::clone(&lease));
                let recorder = Arc::clone(&recorder);
                let peer_node = Arc::clone(&peer_node);
                let memory = Arc::clone(&options.memory);
                let page = Arc::new(MetricsPage { recorder, state, lease, peer_node, memory });
                let address = SocketAddr::new(host, port);
                Some(serve(address, page_options(&options), page, &pages)?)
            }
            None => None,
        };

        let poison = Arc::new(PoisonKeeper::new(Arc::clone(&state), Arc::clone(&store)));
        let snapshots: Arc<dyn SnapshotClient> = Arc::new(TcpSnapshots);
        let follower = ConfigFollower::new(Arc::clone(&state), Arc::clone(&store));
        let follower = follower.with_peers(Arc::clone(&snapshots));
        store_polling::follow_config(follower, &state, &peer_node, Arc::clone(&poison));
        store_polling::run_poison_keeper(poison, &state, &peer_node);
        let follower = TargetFollower::new(Arc::clone(&state), store, targets_known);
        let follower = follower.with_peers(snapshots);
        store_polling::follow_targets(follower, &state, &peer_node);
        let tunnels = TunnelServer::new(
            Arc::clone(&state),
            Arc::clone(&lifecycle),
            Arc::clone(&recorder) as _,
        );
        serve_peers(peers, &state, tunnels);
        let paths = Paths::new(Arc::clone(&state), Arc::clone(&recorder) as _);
        spawn("paths", move || paths.run_probes());
        let probes = TargetProbes::new(Arc::clone(&state), dialect, Arc::clone(&recorder) as _);
        spawn("probes", move || probes.run());
        run_lease_keeper(&keeper);
        start_peer_threads(&peer_node, socket);
        event::STARTED.emit(&[
            ("daemon", &settings.name),
            ("zone", &settings.availability_zone),
            ("callers", &callers),
            ("ready", &ready),
            ("metrics", &metrics.map_or_else(String::new, |address| address.to_string())),
        ]);
        let grace = settings.bounds.stop_grace.duration();
        Ok(Self { lifecycle, keeper, grace })
    }

    /// Finishes the requests in flight within the grace period and returns how many were aborted.
    pub fn stop(&self) -> u32 {
        let started_at = BootInstant::now();
        let plan = ShutdownPlan::for_grace_period(self.grace);
        self.lifecycle.drain_until(started_at + plan.abort_after);
        event::DRAIN_BEGUN.emit(&[("busy", &self.lifecycle.requests_in_flight())]);
        self.keeper.release();
        while started_at.elapsed() < plan.abort_after {
            let refuses = started_at.elapsed() >= plan.refuse_after;
            if refuses {
                self.lifecycle.end();
            }
            if refuses && self.lifecycle.requests_in_flight() == 0 {
                break;
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let aborted = self.lifecycle.requests_in_flight();
        self.lifecycle.abort();
        while self.lifecycle.requests_in_flight() > 0 && started_at.elapsed() < plan.exit_after {
            thread::sleep(ABORT_POLL_INTERVAL);
        }
        event::STOPPED.emit(&[("cut", &aborted)]);
        aborted
    }
}

fn freshness_limits(settings: &FleetSettings) -> FreshnessLimits {
    let bounds = &settings.bounds;
    // Drained zones are followed with the configuration.
    let config_within = bounds.config_within.duration();
    let zone_drain_within = bounds.zone_drain_within.map(PositiveDuration::duration);
    FreshnessLimits::from_bounds(&Bounds {
        leave_within: settings.bounds.leave_within.duration(),
        config_within: zone_drain_within.map_or(config_within, |within| within.min(config_within)),
        heartbeat: settings.bounds.heartbeat.duration(),
        recover_within: settings.bounds.recover_within.duration(),
    })
}

fn access_options(settings: &FleetSettings) -> AccessOptions {
    let bounds = &settings.bounds;
    let revoke_within = bounds.revoke_within.filter(|_| bounds.revoke_fail_closed);
    let revoke_within = revoke_within.map(PositiveDuration::duration);
    AccessOptions {
        view: ViewOptions::from_bounds(revoke_within, bounds.config_within.duration()),
        window: bounds.quota_window.duration(),
        overshoot: bounds.quota_overshoot.get(),
        slack: bounds.quota_slack.get(),
    }
}

fn reluctance(settings: &FleetSettings) -> Reluctance {
    match settings.link_mbps {
        Some(mbps) if mbps < MIN_PLANNER_LINK_MBPS => Reluctance::Reluctant,
        _ => Reluctance::None,
    }
}

/// Returns the options of the pages' listeners, whose requests have no body.
fn page_options(callers: &ServerOptions) -> ServerOptions {
    ServerOptions { max_connections: MAX_PAGE_CONNECTIONS, max_body_bytes: 0, ..callers.clone() }
}

fn serve(
    address: SocketAddr,
    options: ServerOptions,
    handler: Arc<dyn Handler>,
    lifecycle: &Arc<Lifecycle>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let lifecycle = Arc::clone(lifecycle);
    spawn("accept", move || {
        if let Err(e) = server::serve(&listener, &options, &handler, &lifecycle) {
            log::error!("the listener on {address} failed: {e}");
        }
    });
    Ok(address)
}

/// Serves snapshots and tunnels to other daemons. Without a free port they read the store, and ask
/// others for tunnels.
fn serve_peers(address: SocketAddr, state: &Arc<State>, tunnels: TunnelServer) {
    let listener = match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(e) => return log::error!("no connections of other daemons at {address}: {e}"),
    };
    let provider = Arc::new(SnapshotProvider::new(Arc::clone(state)));
    let peers = Arc::new(PeerListener::new(SnapshotServer::new(provider), tunnels));
    spawn("listener", move || {
        if let Err(e) = peers.serve(&listener) {
            log::error!("the listener for other daemons failed: {e}");
        }
    });
}

fn run_lease_keeper(keeper: &Arc<LeaseKeeper>) {
    let keeper = Arc::clone(keeper);
    spawn("lease", move || {
        loop {
            thread::sleep(keeper.step());
        }
    });
}

fn start_peer_threads(peer_node: &Arc<PeerNode>, socket: Arc<UdpSocket>) {
    let receiver = Arc::clone(peer_node);
    spawn("peers", move || {
        if let Err(e) = receiver.receive(&socket) {
            log::error!("the peer socket failed: {e}");
        }
    });
    let node = Arc::clone(peer_node);
    spawn("conduct", move || node.run());
    let node = Arc::clone(peer_node);
    spawn("crashes", move || node.run_crash_reports());
    let node = Arc::clone(peer_node);
    spawn("permits", move || node.run_permit_grants());
}

/// Starts a thread that runs as long as the process.
fn spawn(name: &str, f: impl FnOnce() + Send + 'static) {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .expect("a thread can be spawned at startup");
}
