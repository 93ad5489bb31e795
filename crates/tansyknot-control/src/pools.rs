//! The pools of all services, shared between request threads and the control loop.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, OnceLock,
        mpsc::{self, Receiver, RecvTimeoutError, SyncSender},
    },
    time::Duration,
};

use tansyknot_core::{
    clock::{Clock, Time},
    name::{ServiceName, TargetName},
    peer::Waiting,
    refusal::{Reason, Refusal},
};
use tansyknot_policy::{
    pool::{Arrival, Grant, Pool, PoolOptions, Upstream},
    queue::{Ticket, Waiter},
    routing::Routing,
};

/// What a waiting request is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Signal {
    /// It may be sent to this target, where it is already counted.
    Granted(TargetName),
    /// It is given up; this is its final answer.
    Refused(Refusal),
}

/// What becomes of a request that asks for a target.
#[derive(Debug)]
pub enum Acquired {
    /// It may be sent to this target, where it is already counted.
    Granted(TargetName),
    /// It waits for a signal.
    Queued(Ticket, Receiver<Signal>),
    /// It can't be served in time.
    Refused(Refusal),
}

/// A request for a target.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its rank and deadline.
    pub waiter: Waiter,
    /// A hash of the start of the prompt.
    pub prefix: Option<u64>,
    /// Targets that have just failed this request.
    pub avoid: &'a [TargetName],
}

/// The demand for a service as this daemon sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalDemand {
    /// Requests that wait and that are being served.
    pub waiting: Waiting,
    /// The running mean of service times.
    pub service_time: Duration,
    /// How long a load took.
    pub load_time: Duration,
    /// Whether a replica is open.
    pub has_upstream: bool,
    /// The last arrival.
    pub last_use: Option<Time>,
}

struct Entry {
    pool: Pool,
    signals: HashMap<Ticket, SyncSender<Signal>>,
    published: bool,
    last_use: Option<Time>,
}

/// Told of a service whose first request begins to wait.
pub type OnWaiting = Box<dyn Fn(&ServiceName) + Send + Sync>;

/// The pools of all services.
pub struct Pools {
    on_waiting: OnceLock<OnWaiting>,
    entries: Mutex<HashMap<ServiceName, Arc<Mutex<Entry>>>>,
    routing: Box<dyn Routing>,
    clock: Arc<dyn Clock>,
}

impl Pools {
    /// Makes an empty set of pools.
    pub fn new(routing: Box<dyn Routing>, clock: Arc<dyn Clock>) -> Self {
        Self { on_waiting: OnceLock::new(), entries: Mutex::default(), routing, clock }
    }

    /// Sets who is told, at once, of a service whose first request begins to wait.
    pub fn set_on_waiting(&self, on_waiting: OnWaiting) {
        // The daemon sets it once at the start; a second call would change nothing.
        let _ = self.on_waiting.set(on_waiting);
    }

    /// Makes the pool of a service if there is none; tells whether its targets were ever set.
    ///
    /// A request must not be refused for want of targets that are only not yet set.
    pub fn prepare(&self, service: &ServiceName, options: &PoolOptions) -> bool {
        let entry = self.entry_or_insert(service, options);
        let entry = entry.lock().expect("no holder of the lock panics");
        entry.published
    }

    /// Asks for a target.
    pub fn acquire(&self, ask: &Ask<'_>, options: PoolOptions) -> Acquired {
        let entry = self.entry_or_insert(ask.service, &options);
        let mut entry = entry.lock().expect("no holder of the lock panics");
        let now = self.clock.now();
        entry.pool.set_options(options);
        entry.last_use = Some(now);
        let routing = self.routing.as_ref();
        let arrival =
            entry.pool.arrive(now, ask.waiter, ask.prefix, ask.avoid, routing, &mut rand::rng());
        match arrival {
            Arrival::Granted(target) => Acquired::Granted(target),
            Arrival::Queued(ticket) => {
                let (tx, rx) = mpsc::sync_channel(1);
                entry.signals.insert(ticket, tx);
                let is_first = entry.pool.waiting() == 1;
                drop(entry);
                if is_first && let Some(on_waiting) = self.on_waiting.get() {
                    on_waiting(ask.service);
                }
                Acquired::Queued(ticket, rx)
            }
            Arrival::Refused(wait) => Acquired::Refused(overloaded(wait)),
        }
    }

    /// Takes a waiting request out, for instance since its caller has left.
    ///
    /// A grant that came in the same moment is given back.
    pub fn abandon(&self, service: &ServiceName, ticket: Ticket, rx: &Receiver<Signal>) {
        let Some(entry) = self.entry(service) else { return };
        let granted = {
            let mut entry = entry.lock().expect("no holder of the lock panics");
            entry.pool.leave(ticket);
            entry.signals.remove(&ticket);
            rx.recv_timeout(Duration::ZERO)
        };
        if let Ok(Signal::Granted(target)) = granted {
            self.release(service, &target, None);
        }
    }

    /// Waits up to `span` for a signal.
    pub fn wait(&self, rx: &Receiver<Signal>, span: Duration) -> Option<Signal> {
        match rx.recv_timeout(span) {
            Ok(signal) => Some(signal),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => Some(Signal::Refused(Refusal::later(
                Reason::NoCapacity,
                Duration::from_secs(1),
                "the queue was closed",
            ))),
        }
    }

    /// Ends a request that was granted; `took` is given for whole answers only.
    pub fn release(&self, service: &ServiceName, target: &TargetName, took: Option<Duration>) {
        let Some(entry) = self.entry(service) else { return };
        let mut entry = entry.lock().expect("no holder of the lock panics");
        let grants = entry.pool.finish(target, took, self.routing.as_ref(), &mut rand::rng());
        entry.last_use = Some(self.clock.now());
        entry.signal(grants);
    }

    /// Takes in what a target said of its load with an answer.
    pub fn report(&self, service: &ServiceName, target: &TargetName, in_flight: u32) {
        let now = self.clock.now();
        if let Some(entry) = self.entry(service) {
            let mut entry = entry.lock().expect("no holder of the lock panics");
            entry.pool.report(target, in_flight, now);
        }
    }

    /// Closes a target for a service, until the next [`Pools::set_upstreams`] has it.
    pub fn close(&self, service: &ServiceName, target: &TargetName) {
        if let Some(entry) = self.entry(service) {
            entry.lock().expect("no holder of the lock panics").pool.close(target);
        }
    }

    /// Tells whether a service has an open target that is not among `avoid`.
    pub fn has_upstream_besides(&self, service: &ServiceName, avoid: &[TargetName]) -> bool {
        let Some(entry) = self.entry(service) else { return false };
        let entry = entry.lock().expect("no holder of the lock panics");
        entry.pool.has_upstream_besides(avoid)
    }

    /// Replaces the targets of a service and grants what waits for them.
    pub fn set_upstreams(&self, service: &ServiceName, upstreams: &[Upstream]) {
        let Some(entry) = self.entry(service) else { return };
        let mut entry = entry.lock().expect("no holder of the lock panics");
        let routing = self.routing.as_ref();
        let grants = entry.pool.set_upstreams(upstreams, routing, &mut rand::rng());
        entry.published = true;
        entry.signal(grants);
    }

    /// Says when the first replica of a service is expected.
    pub fn expect_ready(&self, service: &ServiceName, at: Option<Time>) {
        if let Some(entry) = self.entry(service) {
            entry.lock().expect("no holder of the lock panics").pool.expect_ready(at);
        }
    }

    /// Records how long a load of a service took.
    pub fn record_load(&self, service: &ServiceName, took: Duration) {
        if let Some(entry) = self.entry(service) {
            entry.lock().expect("no holder of the lock panics").pool.record_load(took);
        }
    }

    /// Gives up every waiting request of a service, at once.
    pub fn refuse_waiting(&self, service: &ServiceName, refusal: &Refusal) {
        let Some(entry) = self.entry(service) else { return };
        let mut entry = entry.lock().expect("no holder of the lock panics");
        let tickets: Vec<Ticket> = entry.signals.keys().copied().collect();
        for ticket in tickets {
            entry.refuse(ticket, refusal.clone());
        }
    }

    /// Gives up every waiting request that can't be served before its deadline any more.
    pub fn expire(&self) {
        let now = self.clock.now();
        for entry in self.all() {
            let mut entry = entry.1.lock().expect("no holder of the lock panics");
            let load_time = entry.pool.load_time();
            for ticket in entry.pool.expire(now) {
                let detail = "no replica was free in time";
                entry.refuse(ticket, Refusal::later(Reason::DeadlinePassed, load_time, detail));
            }
        }
    }

    /// Returns the demand for a service.
    pub fn demand(&self, service: &ServiceName) -> LocalDemand {
        let Some(entry) = self.entry(service) else { return LocalDemand::default() };
        let entry = entry.lock().expect("no holder of the lock panics");
        LocalDemand {
            waiting: Waiting {
                waiting: u32::try_from(entry.pool.waiting()).unwrap_or(u32::MAX),
                in_flight: entry.pool.in_flight(),
            },
            service_time: entry.pool.service_time(),
            load_time: entry.pool.load_time(),
            has_upstream: entry.pool.has_upstream(),
            last_use: entry.last_use,
        }
    }

    /// Returns every service that has had a request.
    pub fn services(&self) -> Vec<ServiceName> {
        self.all().into_iter().map(|(service, _)| service).collect()
    }

    /// Returns the number of requests in flight for all services.
    pub fn in_flight(&self) -> u32 {
        let count = |entry: &Arc<Mutex<Entry>>| {
            entry.lock().expect("no holder of the lock panics").pool.in_flight()
        };
        self.all().iter().map(|(_, entry)| count(entry)).sum()
    }

    fn all(&self) -> Vec<(ServiceName, Arc<Mutex<Entry>>)> {
        let entries = self.entries.lock().expect("no holder of the lock panics");
        entries.iter().map(|(s, e)| (s.clone(), Arc::clone(e))).collect()
    }

    fn entry(&self, service: &ServiceName) -> Option<Arc<Mutex<Entry>>> {
        self.entries.lock().expect("no holder of the lock panics").get(service).cloned()
    }

    fn entry_or_insert(&self, service: &ServiceName, options: &PoolOptions) -> Arc<Mutex<Entry>> {
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        let entry = entries.entry(service.clone()).or_insert_with(|| {
            let pool = Pool::new(options.clone());
            Arc::new(Mutex::new(Entry {
                pool,
                signals: HashMap::new(),
                published: false,
                last_use: None,
            }))
        });
        Arc::clone(entry)
    }
}

impl Entry {
    fn signal(&mut self, grants: Vec<Grant>) {
        for grant in grants {
            if let Some(tx) = self.signals.remove(&grant.ticket) {
                // The channel holds one signal and gets one, so this neither blocks nor fails:
                // the receiver is dropped only after `abandon` has removed the sender.
                let _ = tx.try_send(Signal::Granted(grant.target));
            }
        }
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        self.pool.leave(ticket);
        if let Some(tx) = self.signals.remove(&ticket) {
            let _ = tx.try_send(Signal::Refused(refusal));
        }
    }
}

fn overloaded(wait: Duration) -> Refusal {
    let detail = format!("the expected wait of {} ms is too long", wait.as_millis());
    Refusal::later(Reason::Overloaded, wait, detail)
}
