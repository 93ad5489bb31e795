//! A daemon that serves a fleet of shared targets: its threads, its start and its planned stop.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use tansyknot_adapter::{header::PlatformHeaders, runner::Runners, store::RowStore};
use tansyknot_config::fleet::FleetSettings;
use tansyknot_core::{
    clock::{Clock, SystemClock, Time},
    event, metric,
    name::{self, ServiceName},
    telemetry::Recorder,
};
use tansyknot_fleet::{
    budget::BudgetOptions,
    conduct::Conductor,
    counted::CountedStore,
    follow::{ConfigFollower, TargetFollower},
    keep::{Keeper, Reluctance, SharedLease},
    lease::{Holder, LeaseOptions},
    outside::Store,
    serve::Server,
    spans::{Bounds, Spans},
    state::{State, StateOptions},
    stop::StopPlan,
    task::Orders,
};
use tansyknot_http::{
    respond::{self, After, Whole},
    server::{self, Handler, KeptConnections, Lifecycle, Request, ServerOptions},
};

use crate::page::PageRecorder;

/// How often the list of targets is followed while a load should be done.
const FOLLOW_LOADS: Duration = Duration::from_millis(90);
/// How often the stop looks whether requests are under way.
const STOP_LOOK: Duration = Duration::from_millis(50);
/// A planner with 70 daemons sends some 25 Mbit/s while many targets change (docs/ROUNDS.md).
const PLANNER_MBPS: f64 = 60.0;
/// Connections to the pages of readiness and metrics.
const PAGE_CONNECTIONS: u32 = 32;

/// A running daemon.
pub struct FleetDaemon {
    lifecycle: Arc<Lifecycle>,
    keeper: Arc<Keeper>,
    grace: Duration,
}

/// Answers whether the daemon takes callers.
struct ReadyPage {
    state: Arc<State>,
    targets_known: Arc<AtomicBool>,
    lifecycle: Arc<Lifecycle>,
    was_ready: AtomicBool,
}

impl ReadyPage {
    fn is_ready(&self) -> bool {
        let Some(catalog) = self.state.catalog() else { return false };
        let is_ready = !self.lifecycle.is_draining() && self.targets_known.load(Ordering::SeqCst);
        if is_ready && !self.was_ready.swap(true, Ordering::SeqCst) {
            let targets = self.state.fleet().targets().count();
            event::FLEET_READY.emit(&[("config", &catalog.version), ("targets", &targets)]);
        }
        is_ready
    }
}

impl Handler for ReadyPage {
    fn handle(&self, _: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        let status = if self.is_ready() { 200 } else { 503 };
        text(stream, status, String::new(), after)
    }
}

struct MetricsPage {
    recorder: Arc<PageRecorder>,
    state: Arc<State>,
    lease: Arc<SharedLease>,
}

impl MetricsPage {
    /// Takes what a daemon believes now into the figures.
    fn look(&self) {
        let daemon = ServiceName::from("daemon");
        let now = self.state.now();
        let age = |at: Option<Time>| at.map_or(-1.0, |at| now.since(at).as_secs_f64());
        let contacts = *self.state.contacts();
        let gauges = [
            (metric::IS_PLANNER, f64::from(u8::from(self.lease.is_valid(now)))),
            (metric::FENCE, self.lease.fence() as f64),
            (metric::CONFIG_VERSION, self.state.catalog().map_or(0, |c| c.version) as f64),
            (metric::TARGETS, self.state.fleet().targets().count() as f64),
            (metric::LIST_CALL_AGE, age(contacts.list)),
            (metric::CONFIG_CALL_AGE, age(contacts.config)),
        ];
        for (gauge, value) in gauges {
            self.recorder.gauge(gauge.name, &daemon, value);
        }
    }
}

impl Handler for MetricsPage {
    fn handle(&self, _: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        self.look();
        text(stream, 200, self.recorder.page(), after)
    }
}

fn text(stream: &mut TcpStream, status: u16, body: String, after: After) -> io::Result<After> {
    let content_type = "text/plain; charset=utf-8".to_owned();
    let whole = Whole { status, content_type, headers: Vec::new(), body: body.into_bytes() };
    respond::write_whole(stream, &whole, after)?;
    Ok(after)
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
        let spans = spans(settings);
        let options = StateOptions { budget, spans };
        let state = Arc::new(State::new(settings.availability_zone.clone(), options, clock));
        let recorder = Arc::new(PageRecorder::default());
        let store = Arc::new(RowStore::new(settings.store, spans.config_wait));
        let store: Arc<dyn Store> = Arc::new(CountedStore::new(store, Arc::clone(&recorder) as _));
        let lease = Arc::new(SharedLease::default());
        let host = settings.listen.host;
        let socket = UdpSocket::bind(SocketAddr::new(host, settings.listen.peers_port))?;
        let peers = socket.local_addr()?;
        let incarnation: Arc<str> = name::random_id().into();
        let daemon: Arc<str> = settings.name.as_str().into();
        let me = Holder {
            daemon: Arc::clone(&daemon),
            incarnation: Arc::clone(&incarnation),
            address: peers,
            fence: 0,
            released: false,
            covers: BTreeMap::new(),
            rests: BTreeMap::new(),
            all_rest: 0,
        };
        let options = LeaseOptions { turn: settings.bounds.order_turn.duration() };
        let keeper = Arc::new(Keeper::new(
            Arc::clone(&state),
            Arc::clone(&store),
            Arc::clone(&lease),
            me,
            options,
            reluctance(settings),
        ));
        let orders = Arc::new(Orders {
            state: Arc::clone(&state),
            keeper: Arc::clone(&keeper),
            lease: Arc::clone(&lease),
            targets: Arc::new(Runners),
            recorder: Arc::clone(&recorder) as _,
            daemon,
            due: 0.into(),
            ledger: Mutex::default(),
        });
        let conductor = Arc::new(Conductor::new(Arc::clone(&state), orders, socket, incarnation));
        let lifecycle = Arc::new(Lifecycle::default());
        let targets_known = Arc::new(AtomicBool::new(false));

        let dialect = Arc::new(PlatformHeaders);
        let server = Server::new(
            Arc::clone(&state),
            dialect,
            Arc::clone(&recorder) as _,
            Arc::clone(&lifecycle),
        );
        let callers =
            serve(settings.listen.callers, caller_options(settings), Arc::new(server), &lifecycle)?;
        let ready = ReadyPage {
            state: Arc::clone(&state),
            targets_known: Arc::clone(&targets_known),
            lifecycle: Arc::clone(&lifecycle),
            was_ready: AtomicBool::new(false),
        };
        let pages = Arc::new(Lifecycle::default());
        let ready = serve(settings.listen.ready, page_options(settings), Arc::new(ready), &pages)?;
        let metrics = match settings.listen.metrics_port {
            Some(port) => {
                let (state, lease) = (Arc::clone(&state), Arc::clone(&lease));
                let page = Arc::new(MetricsPage { recorder, state, lease });
                let address = SocketAddr::new(host, port);
                Some(serve(address, page_options(settings), page, &pages)?)
            }
            None => None,
        };

        let follower = ConfigFollower::new(Arc::clone(&state), Arc::clone(&store));
        follow_config(follower, &state, &conductor);
        let follower = TargetFollower::new(Arc::clone(&state), store, targets_known);
        follow_targets(follower, &state, &conductor);
        keep(&keeper);
        converse(&conductor);
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

    /// Finishes what is in flight and returns how many requests were cut.
    pub fn stop(&self) -> u32 {
        let began = Instant::now();
        self.lifecycle.drain();
        event::DRAIN_BEGUN.emit(&[("busy", &self.lifecycle.busy())]);
        self.keeper.release();
        let plan = StopPlan::of(self.grace);
        while began.elapsed() < plan.cut_after {
            let refuses = began.elapsed() >= plan.refuse_after;
            if refuses {
                self.lifecycle.end();
            }
            if refuses && self.lifecycle.busy() == 0 {
                break;
            }
            thread::sleep(STOP_LOOK);
        }
        let cut = self.lifecycle.busy();
        event::STOPPED.emit(&[("cut", &cut)]);
        cut
    }
}

fn spans(settings: &FleetSettings) -> Spans {
    Spans::of(&Bounds {
        leave_within: settings.bounds.leave_within.duration(),
        config_within: settings.bounds.config_within.duration(),
        heartbeat: settings.bounds.heartbeat.duration(),
    })
}

fn reluctance(settings: &FleetSettings) -> Reluctance {
    match settings.link_mbps {
        Some(mbps) if mbps < PLANNER_MBPS => Reluctance::Reluctant,
        _ => Reluctance::None,
    }
}

fn caller_options(settings: &FleetSettings) -> ServerOptions {
    let limits = &settings.limits;
    ServerOptions {
        head_bytes: limits.head.get(),
        body_bytes: limits.body.get(),
        connections: limits.connections,
        receive_timeout: limits.receive_timeout.duration(),
        idle_timeout: limits.idle_timeout.duration(),
        write_timeout: limits.write_timeout.duration(),
        kept: KeptConnections::ServedWhileDraining,
    }
}

fn page_options(settings: &FleetSettings) -> ServerOptions {
    ServerOptions { connections: PAGE_CONNECTIONS, ..caller_options(settings) }
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

fn follow_config(mut follower: ConfigFollower, state: &Arc<State>, conductor: &Arc<Conductor>) {
    let (state, conductor) = (Arc::clone(state), Arc::clone(conductor));
    spawn("config", move || {
        loop {
            let began = state.now();
            let pause = follower.step();
            pause_calls(&state, began, pause);
            await_config_call(&state, &conductor);
        }
    });
}

/// Waits for the pause after a call that began at `began`, or until the store has answered
/// another call since then.
fn pause_calls(state: &State, began: Time, pause: Duration) {
    let until = state.now() + pause;
    loop {
        let seen = state.call_due.count();
        let left = until.since(state.now());
        let has_returned = state.contacts().returned.is_some_and(|at| at > began);
        if left.is_zero() || has_returned {
            return;
        }
        state.call_due.wait(seen, left);
    }
}

/// Waits as long as the planner's news of the configuration are fresh.
fn await_config_call(state: &State, conductor: &Conductor) {
    loop {
        let seen = state.call_due.count();
        let mine = state.catalog().map_or(0, |c| c.version);
        let left = state.followed().config_fresh_for(mine, state.now());
        if conductor.is_planner() || mine == 0 || left.is_zero() {
            return;
        }
        state.call_due.wait(seen, left);
    }
}

fn follow_targets(mut follower: TargetFollower, state: &Arc<State>, conductor: &Arc<Conductor>) {
    let (state, conductor) = (Arc::clone(state), Arc::clone(conductor));
    spawn("targets", move || {
        let mut was_planner = false;
        loop {
            let is_planner = conductor.is_planner();
            if is_planner && !was_planner {
                follower.read_anew();
            }
            was_planner = is_planner;
            let began = state.now();
            if !follower.step() {
                pause_calls(&state, began, follower.pause());
                await_list_call(&state, &conductor, Duration::ZERO);
            } else if conductor.is_planner() {
                pause_planner(&state, &conductor);
            } else {
                // Without fresh news the list is read at the pace of a planner.
                await_list_call(&state, &conductor, state.spans.list_pace);
            }
        }
    });
}

/// Waits until the list is to be followed again, sooner if a load is due.
fn pause_planner(state: &State, conductor: &Conductor) {
    let began = Instant::now();
    let mut seen = state.demand_changed.count();
    loop {
        let pace = state.spans.list_pace;
        let span = if conductor.awaits_load() { pace.min(FOLLOW_LOADS) } else { pace };
        let left = span.saturating_sub(began.elapsed());
        if left.is_zero() {
            return;
        }
        seen = state.demand_changed.wait(seen, left);
    }
}

/// Waits at least for `least`, and as long as the planner's news of the list are fresh.
fn await_list_call(state: &State, conductor: &Conductor, least: Duration) {
    let until = state.now() + least;
    loop {
        let seen = state.call_due.count();
        let now = state.now();
        let left = state.followed().list_fresh_for(now).max(until.since(now));
        if conductor.is_planner() || left.is_zero() {
            return;
        }
        state.call_due.wait(seen, left);
    }
}

fn keep(keeper: &Arc<Keeper>) {
    let keeper = Arc::clone(keeper);
    spawn("lease", move || {
        loop {
            thread::sleep(keeper.step());
        }
    });
}

fn converse(conductor: &Arc<Conductor>) {
    let rx = Arc::clone(conductor);
    spawn("peers", move || {
        if let Err(e) = rx.receive() {
            log::error!("the peers' socket failed: {e}");
        }
    });
    let tx = Arc::clone(conductor);
    spawn("conduct", move || tx.conduct());
}

/// Starts a thread that lives as long as the process.
fn spawn(name: &str, f: impl FnOnce() + Send + 'static) {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .expect("the system has a thread left at the start");
}
