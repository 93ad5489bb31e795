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
    peer::ServiceDemand,
    refusal::{Reason, Refusal},
};
use tansyknot_policy::{
    pool::{Arrival, Grant, Pool, PoolOptions, Upstream},
    queue::{Ticket, Waiter},
    routing::Routing,
};

/// The signal that ends the wait of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The request may be sent to this target, where it is already counted as in flight.
    Granted(TargetName),
    /// The request is refused.
    Refused(Refusal),
}

/// The outcome of [`Pools::acquire`].
#[derive(Debug)]
pub enum AcquireOutcome {
    /// The request may be sent to this target, where it is already counted as in flight.
    Granted(TargetName),
    /// The request waits for a signal.
    Queued(Ticket, Receiver<WaitOutcome>),
    /// The request can't be served before its deadline.
    Refused(Refusal),
}

/// A request for a target.
#[derive(Clone, Debug)]
pub struct AcquireRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The request's rank and deadline.
    pub waiter: Waiter,
    /// A hash of the start of the prompt.
    pub prefix: Option<u64>,
    /// Targets at which this request has just failed.
    pub avoid: &'a [TargetName],
}

/// The demand of this daemon's requests for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalDemand {
    /// The numbers of waiting requests and of requests in flight.
    pub requests: ServiceDemand,
    /// The exponential moving average of service times.
    pub service_time: Duration,
    /// The duration of the last load.
    pub load_time: Duration,
    /// Whether the service has an open target.
    pub has_upstream: bool,
    /// When a request last arrived or ended.
    pub last_use: Option<Time>,
}

struct Entry {
    pool: Pool,
    signals: HashMap<Ticket, SyncSender<WaitOutcome>>,
    upstreams_set: bool,
    last_use: Option<Time>,
}

/// A callback for a service whose first request begins to wait.
pub type OnWaiting = Box<dyn Fn(&ServiceName) + Send + Sync>;

/// The pools of all services.
pub struct Pools {
    on_waiting: OnceLock<OnWaiting>,
    entries: Mutex<HashMap<ServiceName, Arc<Mutex<Entry>>>>,
    routing: Box<dyn Routing>,
    clock: Arc<dyn Clock>,
}

impl Pools {
    /// Creates an empty set of pools.
    pub fn new(routing: Box<dyn Routing>, clock: Arc<dyn Clock>) -> Self {
        Self { on_waiting: OnceLock::new(), entries: Mutex::default(), routing, clock }
    }

    /// Sets the callback that runs at once when the first request of a service begins to wait.
    pub fn set_on_waiting(&self, on_waiting: OnWaiting) {
        // The daemon sets it once at startup; a second call has no effect.
        let _ = self.on_waiting.set(on_waiting);
    }

    /// Creates the pool of a service if it has none; returns whether its targets were ever set.
    ///
    /// Until they are, a request must not be refused for lack of targets.
    pub fn ensure_pool(&self, service: &ServiceName, options: &PoolOptions) -> bool {
        let entry = self.entry_or_insert(service, options);
        let entry = entry.lock().expect("no holder of the lock panics");
        entry.upstreams_set
    }

    /// Requests a target; the request is granted one, queued or refused.
    pub fn acquire(
        &self,
        acquire_request: &AcquireRequest<'_>,
        options: PoolOptions,
    ) -> AcquireOutcome {
        let entry = self.entry_or_insert(acquire_request.service, &options);
        let mut entry = entry.lock().expect("no holder of the lock panics");
        let now = self.clock.now();
        entry.pool.set_options(options);
        entry.last_use = Some(now);
        let routing = self.routing.as_ref();
        let arrival = entry.pool.arrive(
            now,
            acquire_request.waiter,
            acquire_request.prefix,
            acquire_request.avoid,
            routing,
            &mut rand::rng(),
        );
        for ticket in entry.pool.take_displaced() {
            let retry_after = entry.pool.service_time();
            entry.refuse(ticket, overloaded(retry_after));
        }
        match arrival {
            Arrival::Granted(target) => AcquireOutcome::Granted(target),
            Arrival::Queued(ticket) => {
                let (tx, rx) = mpsc::sync_channel(1);
                entry.signals.insert(ticket, tx);
                let is_first = entry.pool.waiting() == 1;
                drop(entry);
                if is_first && let Some(on_waiting) = self.on_waiting.get() {
                    on_waiting(acquire_request.service);
                }
                AcquireOutcome::Queued(ticket, rx)
            }
            Arrival::Refused(wait) => AcquireOutcome::Refused(overloaded(wait)),
        }
    }

    /// Removes a waiting request, for instance because its caller has disconnected.
    ///
    /// A target that was granted concurrently is released.
    pub fn abandon(&self, service: &ServiceName, ticket: Ticket, rx: &Receiver<WaitOutcome>) {
        let Some(entry) = self.entry(service) else { return };
        let granted = {
            let mut entry = entry.lock().expect("no holder of the lock panics");
            entry.pool.cancel(ticket);
            entry.signals.remove(&ticket);
            rx.recv_timeout(Duration::ZERO)
        };
        if let Ok(WaitOutcome::Granted(target)) = granted {
            self.release(service, &target, None);
        }
    }

    /// Waits up to `timeout` for a signal.
    pub fn wait(&self, rx: &Receiver<WaitOutcome>, timeout: Duration) -> Option<WaitOutcome> {
        match rx.recv_timeout(timeout) {
            Ok(signal) => Some(signal),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => {
                Some(WaitOutcome::Refused(Refusal::retry_later(
                    Reason::NoCapacity,
                    Duration::from_secs(1),
                    "the queue was closed",
                )))
            }
        }
    }

    /// Ends a granted request; `took` is its service time, set for complete responses only.
    pub fn release(&self, service: &ServiceName, target: &TargetName, took: Option<Duration>) {
        let Some(entry) = self.entry(service) else { return };
        let mut entry = entry.lock().expect("no holder of the lock panics");
        let grants = entry.pool.finish(target, took, self.routing.as_ref(), &mut rand::rng());
        entry.last_use = Some(self.clock.now());
        entry.signal(grants);
    }

    /// Records the requests in flight that a target reported with a response.
    pub fn record_in_flight(&self, service: &ServiceName, target: &TargetName, in_flight: u32) {
        let now = self.clock.now();
        if let Some(entry) = self.entry(service) {
            let mut entry = entry.lock().expect("no holder of the lock panics");
            entry.pool.report(target, in_flight, now);
        }
    }

    /// Closes a target for a service until a call of [`Pools::set_upstreams`] includes it again.
    pub fn close_target(&self, service: &ServiceName, target: &TargetName) {
        if let Some(entry) = self.entry(service) {
            entry.lock().expect("no holder of the lock panics").pool.close(target);
        }
    }

    /// Returns whether a service has an open target that is not in `avoid`.
    pub fn has_other_upstream(&self, service: &ServiceName, avoid: &[TargetName]) -> bool {
        let Some(entry) = self.entry(service) else { return false };
        let entry = entry.lock().expect("no holder of the lock panics");
        entry.pool.has_other_upstream(avoid)
    }

    /// Replaces the targets of a service and grants them to waiting requests.
    pub fn set_upstreams(&self, service: &ServiceName, upstreams: &[Upstream]) {
        let Some(entry) = self.entry(service) else { return };
        let mut entry = entry.lock().expect("no holder of the lock panics");
        let routing = self.routing.as_ref();
        let grants = entry.pool.set_upstreams(upstreams, routing, &mut rand::rng());
        entry.upstreams_set = true;
        entry.signal(grants);
    }

    /// Sets when the first replica of a service is expected to be ready.
    pub fn expect_ready(&self, service: &ServiceName, at: Option<Time>) {
        if let Some(entry) = self.entry(service) {
            entry.lock().expect("no holder of the lock panics").pool.expect_ready(at);
        }
    }

    /// Records the duration of a load of a service.
    pub fn record_load(&self, service: &ServiceName, took: Duration) {
        if let Some(entry) = self.entry(service) {
            entry.lock().expect("no holder of the lock panics").pool.record_load(took);
        }
    }

    /// Refuses every waiting request of a service.
    pub fn refuse_waiting(&self, service: &ServiceName, refusal: &Refusal) {
        let Some(entry) = self.entry(service) else { return };
        let mut entry = entry.lock().expect("no holder of the lock panics");
        let tickets: Vec<Ticket> = entry.signals.keys().copied().collect();
        for ticket in tickets {
            entry.refuse(ticket, refusal.clone());
        }
    }

    /// Refuses every waiting request that can no longer be served before its deadline.
    pub fn refuse_expired(&self) {
        let now = self.clock.now();
        for entry in self.all() {
            let mut entry = entry.1.lock().expect("no holder of the lock panics");
            let load_time = entry.pool.load_time();
            for ticket in entry.pool.expire(now) {
                let detail = "no replica was free in time";
                entry.refuse(
                    ticket,
                    Refusal::retry_later(Reason::DeadlinePassed, load_time, detail),
                );
            }
        }
    }

    /// Returns the demand for a service.
    pub fn demand(&self, service: &ServiceName) -> LocalDemand {
        let Some(entry) = self.entry(service) else { return LocalDemand::default() };
        let entry = entry.lock().expect("no holder of the lock panics");
        LocalDemand {
            requests: ServiceDemand {
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
                upstreams_set: false,
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
                // The channel has capacity for one signal and receives only one, so this neither
                // blocks nor fails: the receiver is dropped only after `abandon` has removed the
                // sender.
                let _ = tx.try_send(WaitOutcome::Granted(grant.target));
            }
        }
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) {
        self.pool.cancel(ticket);
        if let Some(tx) = self.signals.remove(&ticket) {
            let _ = tx.try_send(WaitOutcome::Refused(refusal));
        }
    }
}

fn overloaded(wait: Duration) -> Refusal {
    let detail = format!("the expected wait of {} ms is too long", wait.as_millis());
    Refusal::retry_later(Reason::Overloaded, wait, detail)
}
