//! The threads that carry the control loop: follow, observe, step.

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

/// Threads that take steps; a step waits for the table and for engines.
const STEPPERS: usize = 8;
/// How often a thread without a step to take looks whether to stop.
const STOP_LOOK: Duration = Duration::from_millis(100);
/// How often it is looked whether every replica row is to be read.
const SCAN_LOOK: Duration = Duration::from_secs(10);
/// Every replica row is read at most this often.
const SCAN_EVERY: Duration = Duration::from_secs(30);
/// And no more often than once in this long for each row: a row has about 350 bytes on its way,
/// so that reading them all takes 2.5 KB/s of a daemon's 19.
const SCAN_EACH_ROW: Duration = Duration::from_millis(140);
/// Without a change of the membership the rows are read this many times less often.
const SCAN_QUIET: u32 = 4;
/// How often callers with an attempt under way are looked at.
const WATCH_EVERY: Duration = Duration::from_millis(200);
/// How often old rows of idempotency keys are looked for.
const SWEEP_EVERY: Duration = Duration::from_secs(60);
/// How often the table is asked for daemons that this one does not know, at first.
const JOIN_EVERY: Duration = Duration::from_secs(10);
/// And after this many rounds, one round in as many: news of members spreads by itself then, and
/// the table only joins parts that have lost each other.
const JOIN_FIRST: u32 = 6;
/// One later round in this many asks the table.
const JOIN_LATER: u32 = 30;
/// How often the use of services is reported to their coordinators.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// Old rows deleted at once.
const SWEEP_ROWS: usize = 200;

/// What the threads work with.
pub struct Control {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The platform's list of hosts.
    pub host_list: Arc<dyn HostList>,
    /// The list as last read.
    pub hosts: Arc<HostView>,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The pools.
    pub pools: Arc<Pools>,
    /// Opens targets to requests.
    pub publisher: Arc<Publisher>,
    /// The control loop.
    pub reconciler: Arc<Reconciler>,
    /// The other daemons.
    pub node: Arc<Node>,
    /// The callers with an attempt under way.
    pub watch: Arc<CallerWatch>,
    /// Where figures go.
    pub recorder: Arc<dyn Recorder>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
}

/// Logs when something outside stops answering and when it answers again.
#[derive(Debug)]
pub struct Availability {
    down: Event,
    up: Option<Event>,
    is_up: bool,
}

impl Availability {
    /// Makes a watch over something that is taken to answer.
    pub fn new(down: Event, up: Option<Event>) -> Self {
        Self { down, up, is_up: true }
    }

    /// Takes in the result of a call.
    pub fn note<T>(&mut self, result: &Result<T, Error>) {
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
/// Panics if the system has no thread left.
pub fn start(
    control: &Arc<Control>,
    refresh: &Refresh,
    stop: &Arc<StopFlag>,
) -> Vec<JoinHandle<()>> {
    let (tx, rx) = mpsc::channel();
    let rx = Arc::new(Mutex::new(rx));
    nudge(control, &tx);
    let mut threads = vec![
        follow_config(control, refresh, stop),
        follow_hosts(control, refresh, stop),
        schedule(control, refresh, stop, tx),
        scan(control, stop),
        watch(control, stop),
        sweep(control, stop),
        peers(control, stop),
        join(control, stop),
        report_use(control, stop),
    ];
    for _ in 0..STEPPERS {
        threads.push(stepper(control, &rx, stop));
    }
    threads
}

/// Has a step taken at once for a service whose first request begins to wait.
fn nudge(control: &Arc<Control>, tx: &Sender<ServiceName>) {
    let tx = Mutex::new(tx.clone());
    let reconciler = Arc::downgrade(&control.reconciler);
    control.pools.set_on_waiting(Box::new(move |service| {
        if let Some(reconciler) = reconciler.upgrade() {
            reconciler.receive_change(service);
        }
        // Without steppers the daemon is stopping, and the request is given up at its deadline.
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
    loops::every("config", refresh.config.duration(), stop, move || {
        let followed = control.config.follow(control.table.as_ref());
        table.note(&followed);
        if matches!(followed, Ok(FollowOutcome::Applied(_))) {
            // A rule may now choose other targets for plain services.
            control.publisher.publish_all();
        }
    })
}

fn follow_hosts(control: &Arc<Control>, refresh: &Refresh, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    let mut list = Availability::new(event::HOSTS_DOWN, None);
    loops::every("hosts", refresh.hosts.duration(), stop, move || {
        let refreshed = control.hosts.refresh(control.host_list.as_ref(), control.clock.now());
        list.note(&refreshed);
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
    loops::every("schedule", refresh.replicas.duration(), stop, move || {
        control.pools.refuse_expired();
        for service in control.reconciler.due() {
            // The steppers outlive this loop or end with it.
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
    let take = move || rx.lock().expect("no holder of the lock panics").recv_timeout(STOP_LOOK);
    thread::Builder::new()
        .name("step".to_owned())
        .spawn(move || {
            while !stop.is_set() {
                let Ok(service) = take() else { continue };
                // A failed step has given up what it must; the config loop logs the table's state.
                let _ = control.reconciler.step(&service);
            }
        })
        .expect("the system has a thread left at the start")
}

fn scan(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    let mut seen = None;
    loops::every("scan", SCAN_LOOK, stop, move || {
        let (epoch, now) = (control.node.epoch(), control.clock.now());
        let rows = u32::try_from(control.reconciler.cached_row_count()).unwrap_or(u32::MAX);
        let pause = SCAN_EVERY.max(SCAN_EACH_ROW.saturating_mul(rows));
        // After a change a daemon may coordinate services that it has never heard of.
        let is_due = seen.is_none_or(|(old, at)| {
            let factor = if old == epoch { SCAN_QUIET } else { 1 };
            now.since(at) >= pause * factor
        });
        // The next round reads what this one could not.
        if is_due && control.reconciler.read_all_rows().is_ok() {
            seen = Some((epoch, now));
        }
    })
}

fn watch(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    loops::every("watch", WATCH_EVERY, stop, move || {
        control.watch.check();
    })
}

fn sweep(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    // One daemon sweeps: the coordinator of a name that no service can have.
    let sweeper = ServiceName::from("/sweep");
    loops::every("sweep", SWEEP_EVERY, stop, move || {
        if !control.node.is_coordinator(&sweeper) {
            return;
        }
        let at_ms = control.clock.wall_ms();
        while let Ok(1..) = idempotency::sweep(control.table.as_ref(), at_ms, SWEEP_ROWS) {}
    })
}

/// Receives datagrams and moves the membership's rounds on.
fn peers(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    loops::every("peers", Duration::ZERO, stop, move || control.node.poll())
}

/// Takes in the daemons that the table lists.
fn join(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    let mut round = 0;
    loops::every("join", JOIN_EVERY, stop, move || {
        round += 1;
        if round > JOIN_FIRST && !round.is_multiple_of(JOIN_LATER) {
            return;
        }
        // Without the table the members that are known stay.
        let Ok(daemons) = replicas::read_daemons(control.table.as_ref()) else { return };
        let updates = daemons.into_iter().map(|(daemon, row)| MemberUpdate {
            daemon: DaemonName::from(daemon.as_str()),
            address: row.peer_address,
            availability_zone: row.availability_zone,
            // The member itself knows its number; any word of its own goes before this.
            incarnation: 0,
            liveness: Liveness::Alive,
        });
        control.node.join(updates.collect());
    })
}

/// Counts the accelerator time since the last round.
fn record_accelerators(recorder: &dyn Recorder, used: &AcceleratorUse) {
    let ms = u64::try_from(REPORT_EVERY.as_millis()).unwrap_or(u64::MAX);
    let idle = used.loaded - used.busy;
    recorder.count("accelerator.loaded_ms", &used.service, u64::from(used.loaded) * ms);
    recorder.count("accelerator.busy_ms", &used.service, u64::from(used.busy) * ms);
    recorder.count("accelerator.idle_ms", &used.service, u64::from(idle) * ms);
}

fn report_use(control: &Arc<Control>, stop: &Arc<StopFlag>) -> JoinHandle<()> {
    let control = Arc::clone(control);
    loops::every("report", REPORT_EVERY, stop, move || {
        control.reconciler.report_use();
        for used in control.reconciler.accelerators() {
            record_accelerators(control.recorder.as_ref(), &used);
        }
    })
}
