//! In-process fakes of the platform's interfaces, without sockets and without delays.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tansyknot_core::{
    Error, Result,
    clock::{Clock, ManualClock, Time},
    engine::{Engine, EngineStatus, LoadOrder, ModelState, UnloadOrder},
    host::{Fencing, HostList, Target},
    name::{AdapterName, AttemptId, ServiceName, TargetName},
    table::{Row, Table, Transaction},
};

use crate::{
    engine::models::{Models, OrderError},
    hosts::HostsState,
    table::TableState,
};

/// The fault of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitFault {
    /// No fault: the commit is executed.
    None,
    /// The commit takes effect and the reply is lost.
    LostReply,
    /// The request is lost before it takes effect. The caller can't distinguish this from a lost
    /// reply.
    LostRequest,
    /// The table is unreachable.
    Unreachable,
}

/// An action of another process between a daemon's reads and its next commit.
pub type BeforeCommit = Box<dyn FnOnce() + Send>;

/// A connection to a fake of the table service. Clones share rows and faults. A connection from
/// [`FakeTable::new_connection`] shares only the rows, like a daemon with its own network path.
#[derive(Clone, Default)]
pub struct FakeTable {
    /// The rows, shared by all connections.
    pub state: Arc<TableState>,
    down: Arc<AtomicBool>,
    commit_faults: Arc<Mutex<VecDeque<CommitFault>>>,
    before_commit: Arc<Mutex<Option<BeforeCommit>>>,
}

impl FakeTable {
    /// Creates a connection to the rows of a table, which may also have a server.
    #[must_use]
    pub fn with_state(state: &Arc<TableState>) -> Self {
        Self { state: Arc::clone(state), ..Self::default() }
    }

    /// Creates another connection to the same rows, with its own faults.
    #[must_use]
    pub fn new_connection(&self) -> Self {
        Self::with_state(&self.state)
    }

    /// Makes the table unreachable over this connection, or reachable again.
    pub fn set_unreachable(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Sets the faults of the next commits on this connection.
    pub fn script(&self, faults: impl IntoIterator<Item = CommitFault>) {
        self.commit_faults.lock().expect("no holder of the lock panics").extend(faults);
    }

    /// Makes reads return the state of this many commits ago.
    pub fn set_stale(&self, commits: usize) {
        self.state.faults.lock().expect("no holder of the lock panics").stale_commits = commits;
    }

    /// Sets an action to run before the next commit on this connection, after the daemon's reads.
    pub fn set_before_commit(&self, f: BeforeCommit) {
        *self.before_commit.lock().expect("no holder of the lock panics") = Some(f);
    }

    /// Removes the action that would run before the next commit.
    pub fn clear_before_commit(&self) {
        *self.before_commit.lock().expect("no holder of the lock panics") = None;
    }

    fn check_reachable(&self) -> Result<()> {
        if self.down.load(Ordering::SeqCst) {
            return Err(Error::unreachable("table", "down"));
        }
        Ok(())
    }

    fn apply(&self, txn: &Transaction) -> Result<()> {
        self.state.commit(txn).map_err(|key| Error::Conflict { key })
    }
}

impl Table for FakeTable {
    fn read(&self, key: &str) -> Result<Option<Row>> {
        self.check_reachable()?;
        Ok(self.state.read(|rows| rows.get(key).cloned()))
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        self.check_reachable()?;
        Ok(self.state.scan(prefix, after, limit))
    }

    fn commit(&self, txn: &Transaction) -> Result<()> {
        self.check_reachable()?;
        let before = self.before_commit.lock().expect("no holder of the lock panics").take();
        if let Some(before) = before {
            before();
        }
        let fault = self.commit_faults.lock().expect("no holder of the lock panics").pop_front();
        match fault.unwrap_or(CommitFault::None) {
            CommitFault::None => self.apply(txn),
            CommitFault::LostReply => {
                self.apply(txn)?;
                Err(Error::unknown("table", "the reply was lost"))
            }
            CommitFault::LostRequest => Err(Error::unknown("table", "the request was lost")),
            CommitFault::Unreachable => Err(Error::unreachable("table", "no route")),
        }
    }
}

/// Maximum values over the engines, updated after each load order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedMaxima {
    /// The number of models of a service on all engines.
    pub replicas: BTreeMap<ServiceName, usize>,
    /// The memory in use on an engine, in bytes.
    pub used_bytes: BTreeMap<TargetName, u64>,
}

/// A load order that is held back before delivery.
struct HeldOrder {
    target: TargetName,
    order: LoadOrder,
    sent: Time,
}

/// Fakes of model engines. Loads finish when the test calls [`FakeEngines::finish_loads`].
#[derive(Default)]
pub struct FakeEngines {
    engines: Mutex<BTreeMap<TargetName, Arc<Models>>>,
    observed: Mutex<ObservedMaxima>,
    held: Mutex<Vec<HeldOrder>>,
    clock: OnceLock<ManualClock>,
    hold: AtomicBool,
    unresponsive: Mutex<Vec<TargetName>>,
    lose_replies: AtomicBool,
}

impl FakeEngines {
    /// Adds an engine. It replaces one of the same name, like a restarted engine without models.
    pub fn add(&self, target: &TargetName, memory_bytes: u64, fencing: Fencing) {
        let models = Arc::new(Models::new(memory_bytes, fencing));
        self.engines.lock().expect("no holder of the lock panics").insert(target.clone(), models);
    }

    /// Holds load orders back, like those of a lease holder that is paused while it sends them.
    pub fn hold_loads(&self, hold: bool) {
        self.hold.store(hold, Ordering::SeqCst);
    }

    /// Delivers the held orders and returns the replies of the engines.
    pub fn deliver_held_loads(&self) -> Vec<Result<()>> {
        let held: Vec<_> =
            self.held.lock().expect("no holder of the lock panics").drain(..).collect();
        held.into_iter().map(|h| self.begin_load(&h.target, &h.order)).collect()
    }

    /// Sets the clock for the age of held orders.
    pub fn set_clock(&self, clock: ManualClock) {
        // A test sets the clock once. Further calls have no effect.
        let _ = self.clock.set(clock);
    }

    /// Drops held orders that were sent at least `lifetime` ago, as their connections are closed.
    pub fn drop_held_older_than(&self, lifetime: Duration) {
        let now = self.now();
        let mut held = self.held.lock().expect("no holder of the lock panics");
        held.retain(|h| now.since(h.sent) < lifetime);
    }

    fn now(&self) -> Time {
        self.clock.get().map(Clock::now).unwrap_or_default()
    }

    /// Makes orders take effect while their replies are lost.
    pub fn lose_replies(&self, lose: bool) {
        self.lose_replies.store(lose, Ordering::SeqCst);
    }

    /// Makes an engine unresponsive, or responsive again.
    pub fn set_unresponsive(&self, target: &TargetName, unresponsive: bool) {
        let mut unresponsive_targets =
            self.unresponsive.lock().expect("no holder of the lock panics");
        unresponsive_targets.retain(|t| t != target);
        if unresponsive {
            unresponsive_targets.push(target.clone());
        }
    }

    /// Finishes every load in progress.
    pub fn finish_loads(&self) {
        for models in self.all() {
            for model in models.status().models {
                if model.state == ModelState::Loading {
                    models.finish_load(&model.service);
                }
            }
        }
    }

    /// Returns the models of one engine.
    ///
    /// # Panics
    ///
    /// Panics if there is no engine of this name.
    pub fn models(&self, target: &TargetName) -> Arc<Models> {
        let engines = self.engines.lock().expect("no holder of the lock panics");
        Arc::clone(engines.get(target).expect("the test has added the engine"))
    }

    /// Returns the number of engines that have the model of a service in any state.
    pub fn engines_with_model(&self, service: &ServiceName) -> usize {
        self.all().iter().filter(|m| m.status().model(service).is_some()).count()
    }

    /// Returns the maximum values over the engines.
    pub fn maxima(&self) -> ObservedMaxima {
        self.observed.lock().expect("no holder of the lock panics").clone()
    }

    fn all(&self) -> Vec<Arc<Models>> {
        let engines = self.engines.lock().expect("no holder of the lock panics");
        engines.values().cloned().collect()
    }

    fn connect(&self, target: &Target) -> Result<Arc<Models>> {
        let unresponsive = self.unresponsive.lock().expect("no holder of the lock panics");
        if unresponsive.contains(&target.name) {
            return Err(Error::unknown("engine", "no reply"));
        }
        drop(unresponsive);
        let engines = self.engines.lock().expect("no holder of the lock panics");
        let found = engines.get(&target.name).cloned();
        found.ok_or_else(|| Error::unreachable("engine", "gone"))
    }

    fn begin_load(&self, target: &TargetName, order: &LoadOrder) -> Result<()> {
        let models = self.models(target);
        let result = models.begin_load(order).map(drop).map_err(order_error);
        self.observe(&order.service, target, &models);
        result
    }

    fn observe(&self, service: &ServiceName, target: &TargetName, models: &Models) {
        let replicas = self.engines_with_model(service);
        let used = models.status().used_bytes;
        let mut observed = self.observed.lock().expect("no holder of the lock panics");
        let max = observed.replicas.entry(service.clone()).or_default();
        *max = (*max).max(replicas);
        let max = observed.used_bytes.entry(target.clone()).or_default();
        *max = (*max).max(used);
    }

    fn reply(&self, result: Result<()>) -> Result<()> {
        if self.lose_replies.load(Ordering::SeqCst) {
            return Err(Error::unknown("engine", "the reply was lost"));
        }
        result
    }
}

fn order_error(e: OrderError) -> Error {
    match e {
        OrderError::StaleFence(seen) => Error::StaleFence { seen },
        OrderError::OutOfMemory => Error::OutOfMemory,
        OrderError::Busy => Error::busy("engine", "busy"),
    }
}

impl Engine for FakeEngines {
    fn status(&self, target: &Target) -> Result<EngineStatus> {
        Ok(self.connect(target)?.status())
    }

    fn load(&self, target: &Target, order: &LoadOrder) -> Result<()> {
        self.connect(target)?;
        if self.hold.load(Ordering::SeqCst) {
            let mut held = self.held.lock().expect("no holder of the lock panics");
            let (target, order) = (target.name.clone(), order.clone());
            held.push(HeldOrder { target, order, sent: self.now() });
            return Err(Error::unknown("engine", "the order is held back"));
        }
        let result = self.begin_load(&target.name, order);
        self.reply(result)
    }

    fn unload(&self, target: &Target, order: &UnloadOrder) -> Result<()> {
        let result = self.connect(target)?.unload(order).map_err(order_error);
        self.reply(result)
    }

    fn load_adapter(
        &self,
        target: &Target,
        service: &ServiceName,
        adapter: &AdapterName,
    ) -> Result<()> {
        self.connect(target)?.load_adapter(service, adapter).map_err(order_error)
    }

    fn cancel(&self, target: &Target, _: &AttemptId) -> Result<()> {
        self.connect(target).map(drop)
    }
}

/// A fake of the list of hosts.
#[derive(Default)]
pub struct FakeHosts {
    /// The state of the list.
    pub state: HostsState,
}

impl HostList for FakeHosts {
    fn list(&self) -> Result<Option<Vec<Target>>> {
        if self.state.faults.lock().expect("no holder of the lock panics").down {
            return Err(Error::unreachable("list of hosts", "down"));
        }
        Ok(Some(self.state.list()))
    }
}
