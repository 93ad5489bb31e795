//! The threads of the control loop: they follow the configuration, observe the platform and take
//! reconciliation steps.

use std::{
    sync::{
        Arc, Mutex,
        mpsc::{self, Receiver, Sender},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use tansyknot_config::settings::Refresh;
use tansyknot_control::{
    config::{ConfigView, FollowOutcome},
    hosts::HostView,
    idempotency,
    pools::Pools,
    publish::Publisher,
    reconcile::{AcceleratorUse, Reconciler},
    replicas,
};
use tansyknot_core::{
    Error,
    clock::Clock,
    event::{self, Event},
    host::HostList,
    name::{DaemonName, ServiceName},
    peer::{PeerListener, Peers},
    table::Table,
    telemetry::Recorder,
};
use tansyknot_edge::watch::CallerWatch;
use tansyknot_gossip::{
    message::{Liveness, MemberUpdate},
    node::Node,
};

use crate::loops::{self, StopFlag};

/// Several threads take steps, as each step blocks on the table and on engines.
const STEP_THREADS: usize = 8;
/// How often an idle step thread checks the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often the scan loop checks whether a full scan of the replica rows is due.
const SCAN_CHECK_INTERVAL: Duration = Duration::from_secs(10);
const MIN_SCAN_INTERVAL: Duration = Duration::from_secs(30);
/// The scan interval is at least this long per row. A row takes about 350 bytes on the wire, so full
/// scans use at most 2.5 KB/s of a daemon's 19 KB/s.
const SCAN_INTERVAL_PER_ROW: Duration = Duration::from_millis(140);
/// Multiplies the scan interval while the membership does not change.
const QUIET_SCAN_FACTOR: u32 = 4;
/// How often it is checked whether callers with an attempt in progress are still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How often expired rows of idempotency keys are deleted.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// How often the table's list of daemons is read during the first rounds.
const JOIN_INTERVAL: Duration = Duration::from_secs(10);
/// Rounds that each read the table. After them gossip spreads changes of the membership, and the
/// table only serves to rejoin partitions.
const INITIAL_JOIN_ROUNDS: u32 = 6;
/// Rounds between two reads of the table after the initial rounds.
const LATER_JOIN_PERIOD: u32 = 30;
/// How often the usage of services is reported to their coordinators.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of expired rows deleted in one call.
const MAX_SWEPT_ROWS: usize = 200;

/// The components that the control threads use.
pub struct Control {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The platform's list of hosts.
    pub host_list: Arc<dyn HostList>,
    /// The list of hosts as last read.
    pub hosts: Arc<HostView>,
    /// The active configuration.
    pub config: Arc<ConfigView>,
    /// The pools of targets, with their request queues.
    pub pools: Arc<Pools>,
    /// Publishes targets to the pools.
    pub publisher: Arc<Publisher>,
    /// Takes the reconciliation steps.
    pub reconciler: Arc<Reconciler>,
    /// The membership of daemons.
    pub node: Arc<Node>,
    /// The callers with an attempt in progress.
    pub watch: Arc<CallerWatch>,
    /// The recorder of metrics.
    pub recorder: Arc<dyn Recorder>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// Logs when an external service becomes unavailable and when it recovers.
#[derive(Debug)]
pub struct Availability {
    down: Event,
    up: Option<Event>,
    is_up: bool,
}

impl Availability {
    /// Creates the state of a service that is assumed to be available.
    pub fn new(down: Event, up: Option<Event>) -> Self {
        Self { down, up, is_up: true }
    }

    /// Records the result of a call, and logs a change of availability.
    pub fn record<T>(&mut self, result: &Result<T, Error>) {
        match result {
            Ok(_) if !self.is_up => {
                self.is_up = true;
                if let Some(up) = self.up {
                    up.emit(&[]);
                }
            }
            Err(e) if self.is_up => {
                self.is_up = false;
                self.down.emit(&[("error", e)]);
            }
            _ => {}
        }
    }
}

/// Starts every thread of the control loop.
///
/// # Panics
///
/// Panics if a thread can't be spawned.
pub fn start(
    control: &Arc<Control>,
    refresh: &Refresh,
    stop: &Arc<StopFlag>,
) -> Vec<JoinHandle<()>> {
    let (tx, rx) = mpsc::channel();
    let rx = Arc::new(Mutex::new(rx));
    step_on_waiting_request(control, &tx);
    let mut threads = vec![
        follow_config(control, refresh, stop),
        follow_hosts(control, refresh, stop),
        schedule(control, refresh, stop, tx),
        scan_rows(control, stop),
        watch_callers(control, stop),
        sweep_idempotency_keys(control, stop),
        poll_peers(control, stop),
        join_listed_daemons(control, stop),
        report_use(control, stop),
    ];
    for _ in 0..STEP_THREADS {
        threads.push(stepper(control, &rx, stop));
    }
    threads
}

/// Schedules an immediate step for a service when its first request starts to wait.
fn step_on_waiting_request(control: &Arc<Control>, tx: &Sender<ServiceName>) {
    let tx = Mutex::new(tx.clone());
    let reconciler = Arc::downgrade(&control.reconciler);
    control.pools.set_on_waiting(Box::new(move |service| {
        if let Some(reconciler) = reconciler.upgrade() {
            reconciler.receive_change(service);
        }
        // The send fails only while the daemon stops; the request then fails at its deadline.
        let _ = tx.lock().expect("no holder of the lock panics").send(service.clone());
    }));
}

fn follow_config(
    control: &Arc<Control>,
    refresh: &Refresh,
    stop: &Arc<StopFlag>,
) -> JoinHandle<()> {
    let control = Arc::clone(control);
    let mut table = Availability::new(event::TABLE_DOWN, Some(event::TABLE_UP));
    loops::spawn_periodic("config", refresh.config.duration(), stop, move || {
        let followed = control.config.follow(control.table.as_ref());
        table.record(&followed);
        if matches!(followed, Ok(FollowOutcome::Applied(_))) {
            // A changed rule may select other targets for plain services.
            control.publisher.publish_all();
        }
    })
}

fn follow_hosts(control: &Arc<Control>, refresh: &Refresh, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    let mut list = Availability::new(event::HOSTS_DOWN, None);
    loops::spawn_periodic("hosts", refresh.hosts.duration(), stop, move || {
        let refreshed = control.hosts.refresh(control.host_list.as_ref(), control.clock.now());
        list.record(&refreshed);
        if refreshed == Ok(true) {
            control.publisher.publish_all();
        }
    })
}

fn schedule(
    control: &Arc<Control>,
    refresh: &Refresh,
    stop: &Arc<StopFlag>,
    tx: Sender<ServiceName>,
) -> JoinHandle<()> {
    let control = Arc::clone(control);
    loops::spawn_periodic("schedule", refresh.replicas.duration(), stop, move || {
        control.pools.refuse_expired();
        for service in control.reconciler.due() {
            // The send fails only after the step threads have stopped, when no step is needed.
            let _ = tx.send(service);
        }
    })
}

fn stepper(
    control: &Arc<Control>,
    rx: &Arc<Mutex<Receiver<ServiceName>>>,
    stop: &Arc<StopFlag>,
) -> JoinHandle<()> {
    let control = Arc::clone(control);
    let rx = Arc::clone(rx);
    let stop = Arc::clone(stop);
    let next_service =
        move || rx.lock().expect("no holder of the lock panics").recv_timeout(STOP_CHECK_INTERVAL);
    thread::Builder::new()
        .name("step".to_owned())
        .spawn(move || {
            while !stop.is_set() {
                let Ok(service) = next_service() else { continue };
                // A failed step releases what it must by itself; the configuration loop logs the
                // availability of the table.
                let _ = control.reconciler.step(&service);
            }
        })
        .expect("a step thread can be spawned at startup")
}

fn scan_rows(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    let mut last_scan = None;
    loops::spawn_periodic("scan", SCAN_CHECK_INTERVAL, stop, move || {
        let (epoch, now) = (control.node.epoch(), control.clock.now());
        let rows = u32::try_from(control.reconciler.cached_row_count()).unwrap_or(u32::MAX);
        let interval = MIN_SCAN_INTERVAL.max(SCAN_INTERVAL_PER_ROW.saturating_mul(rows));
        // After a change of the membership this daemon may coordinate services that it has no row of.
        let is_due = last_scan.is_none_or(|(old, at)| {
            let factor = if old == epoch { QUIET_SCAN_FACTOR } else { 1 };
            now.since(at) >= interval * factor
        });
        // A failed scan is retried in the next round.
        if is_due && control.reconciler.read_all_rows().is_ok() {
            last_scan = Some((epoch, now));
        }
    })
}

fn watch_callers(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    loops::spawn_periodic("watch", CALLER_CHECK_INTERVAL, stop, move || {
        control.watch.check();
    })
}

fn sweep_idempotency_keys(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    // Only one daemon sweeps: the coordinator of a name that no service can have.
    let sweeper = ServiceName::from("/sweep");
    loops::spawn_periodic("sweep", SWEEP_INTERVAL, stop, move || {
        if !control.node.is_coordinator(&sweeper) {
            return;
        }
        let at_ms = control.clock.wall_ms();
        while let Ok(1..) = idempotency::sweep(control.table.as_ref(), at_ms, MAX_SWEPT_ROWS) {}
    })
}

/// Receives datagrams and runs the rounds of the membership protocol.
fn poll_peers(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    loops::spawn_periodic("peers", Duration::ZERO, stop, move || control.node.poll())
}

/// Adds the daemons that the table lists to the membership.
fn join_listed_daemons(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    let mut round = 0;
    loops::spawn_periodic("join", JOIN_INTERVAL, stop, move || {
        round += 1;
        if round > INITIAL_JOIN_ROUNDS && !round.is_multiple_of(LATER_JOIN_PERIOD) {
            return;
        }
        // If the table can't be read, the membership stays as it is.
        let Ok(daemons) = replicas::read_daemons(control.table.as_ref()) else { return };
        let updates = daemons.into_iter().map(|(daemon, row)| MemberUpdate {
            daemon: DaemonName::from(daemon.as_str()),
            address: row.peer_address,
            availability_zone: row.availability_zone,
            // Only the member knows its incarnation; any message of its own overrides this update.
            incarnation: 0,
            liveness: Liveness::Alive,
        });
        control.node.join(updates.collect());
    })
}

/// Records the accelerator time of one report interval.
fn record_accelerators(recorder: &dyn Recorder, usage: &AcceleratorUse) {
    let ms = u64::try_from(REPORT_INTERVAL.as_millis()).unwrap_or(u64::MAX);
    let idle = usage.loaded - usage.busy;
    recorder.count("accelerator.loaded_ms", &usage.service, u64::from(usage.loaded) * ms);
    recorder.count("accelerator.busy_ms", &usage.service, u64::from(usage.busy) * ms);
    recorder.count("accelerator.idle_ms", &usage.service, u64::from(idle) * ms);
}

fn report_use(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    loops::spawn_periodic("report", REPORT_INTERVAL, stop, move || {
        control.reconciler.report_use();
        for usage in control.reconciler.accelerators() {
            record_accelerators(control.recorder.as_ref(), &usage);
        }
    })
}
