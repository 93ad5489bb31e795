//! Small fakes of the platform's interfaces, without sockets and without waits.

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

/// What happens to one commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitFault {
    /// Nothing: it goes through.
    None,
    /// It takes effect and its reply is lost.
    LostReply,
    /// It is lost before it takes effect, and the caller can't tell.
    LostRequest,
    /// The table can't be reached.
    Unreachable,
}

/// What another process does between a daemon's reads and its next commit.
pub type BeforeCommit = Box<dyn FnOnce() + Send>;

/// A fake of the table service. Clones share the rows but have faults of their own, as
/// daemons with paths of their own to the table have.
#[derive(Clone, Default)]
pub struct FakeTable {
    /// The rows.
    pub state: Arc<TableState>,
    down: Arc<AtomicBool>,
    commits: Arc<Mutex<VecDeque<CommitFault>>>,
    before_commit: Arc<Mutex<Option<BeforeCommit>>>,
}

impl FakeTable {
    /// Makes a path to the rows of a table that may also have a server.
    #[must_use]
    pub fn over(state: &Arc<TableState>) -> Self {
        Self { state: Arc::clone(state), ..Self::default() }
    }

    /// Makes another path to the same rows.
    #[must_use]
    pub fn another_path(&self) -> Self {
        Self::over(&self.state)
    }

    /// Cuts this path or mends it.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Scripts what happens to the next commits on this path.
    pub fn script(&self, faults: impl IntoIterator<Item = CommitFault>) {
        self.commits.lock().expect("no holder of the lock panics").extend(faults);
    }

    /// Has reads answer from the state of this many commits ago.
    pub fn set_stale(&self, commits: usize) {
        self.state.faults.lock().expect("no holder of the lock panics").stale_commits = commits;
    }

    /// Has `f` run before the next commit on this path, after the daemon has read.
    pub fn set_before_commit(&self, f: BeforeCommit) {
        *self.before_commit.lock().expect("no holder of the lock panics") = Some(f);
    }

    /// Forgets what was to run before the next commit.
    pub fn clear_before_commit(&self) {
        *self.before_commit.lock().expect("no holder of the lock panics") = None;
    }

    fn check_up(&self) -> Result<()> {
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
        self.check_up()?;
        Ok(self.state.read(|rows| rows.get(key).cloned()))
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        self.check_up()?;
        Ok(self.state.scan(prefix, after, limit))
    }

    fn commit(&self, txn: &Transaction) -> Result<()> {
        self.check_up()?;
        let before = self.before_commit.lock().expect("no holder of the lock panics").take();
        if let Some(before) = before {
            before();
        }
        let fault = self.commits.lock().expect("no holder of the lock panics").pop_front();
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

/// The most that engines ever had at once, counted after each order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Models of one service on all engines.
    pub replicas: BTreeMap<ServiceName, usize>,
    /// Memory in use on one engine, in bytes.
    pub used_bytes: BTreeMap<TargetName, u64>,
}

/// A load order that is still on its way.
struct HeldOrder {
    target: TargetName,
    order: LoadOrder,
    sent: Time,
}

/// Fakes of model engines. Loads finish when a test says so.
#[derive(Default)]
pub struct FakeEngines {
    engines: Mutex<BTreeMap<TargetName, Arc<Models>>>,
    observed: Mutex<Observed>,
    held: Mutex<Vec<HeldOrder>>,
    clock: OnceLock<ManualClock>,
    hold: AtomicBool,
    silent: Mutex<Vec<TargetName>>,
    lose_replies: AtomicBool,
}

impl FakeEngines {
    /// Adds an engine, in place of one of the same name: a restarted one has no models.
    pub fn add(&self, target: &TargetName, memory_bytes: u64, fencing: Fencing) {
        let models = Arc::new(Models::new(memory_bytes, fencing));
        self.engines.lock().expect("no holder of the lock panics").insert(target.clone(), models);
    }

    /// Has load orders held on their way, as those of a holder that was frozen while it sent.
    pub fn hold_loads(&self, hold: bool) {
        self.hold.store(hold, Ordering::SeqCst);
    }

    /// Delivers the held orders; returns what the engines answered.
    pub fn deliver_held(&self) -> Vec<Result<()>> {
        let held: Vec<_> =
            self.held.lock().expect("no holder of the lock panics").drain(..).collect();
        held.into_iter().map(|h| self.begin_load(&h.target, &h.order)).collect()
    }

    /// Sets the clock by which held orders grow old.
    pub fn set_clock(&self, clock: ManualClock) {
        // A test sets it once; a second call would change nothing.
        let _ = self.clock.set(clock);
    }

    /// Drops held orders that were sent more than `lifetime` ago, as their connections are.
    pub fn drop_old_orders(&self, lifetime: Duration) {
        let now = self.now();
        let mut held = self.held.lock().expect("no holder of the lock panics");
        held.retain(|h| now.since(h.sent) < lifetime);
    }

    fn now(&self) -> Time {
        self.clock.get().map(Clock::now).unwrap_or_default()
    }

    /// Has orders take effect while their replies are lost.
    pub fn lose_replies(&self, lose: bool) {
        self.lose_replies.store(lose, Ordering::SeqCst);
    }

    /// Has an engine answer nothing, or answer again.
    pub fn set_silent(&self, target: &TargetName, silent: bool) {
        let mut all = self.silent.lock().expect("no holder of the lock panics");
        all.retain(|t| t != target);
        if silent {
            all.push(target.clone());
        }
    }

    /// Finishes every load that has begun.
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
    /// Panics if there is no such engine.
    pub fn models(&self, target: &TargetName) -> Arc<Models> {
        let engines = self.engines.lock().expect("no holder of the lock panics");
        Arc::clone(engines.get(target).expect("the test has added the engine"))
    }

    /// Returns how many engines have the model of a service in any state.
    pub fn loaded(&self, service: &ServiceName) -> usize {
        self.all().iter().filter(|m| m.status().model(service).is_some()).count()
    }

    /// Returns the most that was ever there at once.
    pub fn observed(&self) -> Observed {
        self.observed.lock().expect("no holder of the lock panics").clone()
    }

    fn all(&self) -> Vec<Arc<Models>> {
        let engines = self.engines.lock().expect("no holder of the lock panics");
        engines.values().cloned().collect()
    }

    fn reach(&self, target: &Target) -> Result<Arc<Models>> {
        let silent = self.silent.lock().expect("no holder of the lock panics");
        if silent.contains(&target.name) {
            return Err(Error::unknown("engine", "no answer"));
        }
        drop(silent);
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
        let replicas = self.loaded(service);
        let used = models.status().used_bytes;
        let mut observed = self.observed.lock().expect("no holder of the lock panics");
        let most = observed.replicas.entry(service.clone()).or_default();
        *most = (*most).max(replicas);
        let most = observed.used_bytes.entry(target.clone()).or_default();
        *most = (*most).max(used);
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
        Ok(self.reach(target)?.status())
    }

    fn load(&self, target: &Target, order: &LoadOrder) -> Result<()> {
        self.reach(target)?;
        if self.hold.load(Ordering::SeqCst) {
            let mut held = self.held.lock().expect("no holder of the lock panics");
            let (target, order) = (target.name.clone(), order.clone());
            held.push(HeldOrder { target, order, sent: self.now() });
            return Err(Error::unknown("engine", "the sender is frozen"));
        }
        let result = self.begin_load(&target.name, order);
        self.reply(result)
    }

    fn unload(&self, target: &Target, order: &UnloadOrder) -> Result<()> {
        let result = self.reach(target)?.unload(order).map_err(order_error);
        self.reply(result)
    }

    fn load_adapter(
        &self,
        target: &Target,
        service: &ServiceName,
        adapter: &AdapterName,
    ) -> Result<()> {
        self.reach(target)?.load_adapter(service, adapter).map_err(order_error)
    }

    fn cancel(&self, target: &Target, _: &AttemptId) -> Result<()> {
        self.reach(target).map(drop)
    }
}

/// A fake of the list of hosts.
#[derive(Default)]
pub struct FakeHosts {
    /// The list.
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
