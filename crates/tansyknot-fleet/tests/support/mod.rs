//! A store, targets and daemons that live in one thread and in virtual time.
#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tansyknot_core::{
    Error, Result,
    clock::{Clock, ManualClock, Time},
    name::{ModelName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    budget::BudgetOptions,
    catalog::{Catalog, Engine, Model, Repeat, Route, Service},
    keep::{Keeper, Reluctance, SharedLease},
    lease::{Holder, LeaseOptions},
    outside::{
        Action, LeaseRow, Order, Ordered, Store, TargetChange, TargetNews, Targets, Written,
    },
    spans::Spans,
    state::{State, StateOptions},
    target::{Held, Report, Target, TargetState},
};

/// The bound on turns that both sites set.
pub(crate) const TURN: Duration = Duration::from_millis(3000);

/// How the store treats one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreFault {
    /// It answers.
    #[default]
    None,
    /// Nothing arrives there.
    Silent,
    /// It refuses.
    Busy,
    /// It does what it is told and does not answer.
    LosesAnswers,
}

#[derive(Default)]
struct Row {
    value: Option<Vec<u8>>,
    version: u64,
}

/// A store with the planner's row and a list that tests set.
#[derive(Clone, Default)]
pub(crate) struct FakeStore {
    row: Arc<Mutex<Row>>,
    list: Arc<Mutex<Vec<Target>>>,
    news: Arc<Mutex<VecDeque<TargetNews>>>,
}

/// One daemon's way to the store.
#[derive(Clone, Default)]
pub(crate) struct Door {
    store: FakeStore,
    fault: Arc<Mutex<StoreFault>>,
    list_calls: Arc<Mutex<u64>>,
    read_within: Arc<Mutex<Vec<Duration>>>,
    followed_from: Arc<Mutex<u64>>,
}

impl FakeStore {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    pub(crate) fn door(&self) -> Door {
        Door { store: self.clone(), ..Door::default() }
    }

    pub(crate) fn set_row(&self, value: &[u8]) {
        let mut row = self.row.lock().expect("no test panics with it");
        row.version += 1;
        row.value = Some(value.to_vec());
    }

    pub(crate) fn set_list(&self, targets: Vec<Target>) {
        *self.list.lock().expect("no test panics with it") = targets;
    }

    pub(crate) fn push_news(&self, news: TargetNews) {
        self.news.lock().expect("no test panics with it").push_back(news);
    }
}

impl Door {
    pub(crate) fn set(&self, fault: StoreFault) {
        *self.fault.lock().expect("no test panics with it") = fault;
    }

    /// Returns how often the list was asked for.
    pub(crate) fn list_calls(&self) -> u64 {
        *self.list_calls.lock().expect("no test panics with it")
    }

    /// Returns how long each reading of the list was given.
    pub(crate) fn read_within(&self) -> Vec<Duration> {
        self.read_within.lock().expect("no test panics with it").clone()
    }

    /// Returns the version that the list was followed from last.
    pub(crate) fn followed_from(&self) -> u64 {
        *self.followed_from.lock().expect("no test panics with it")
    }

    fn pass(&self) -> Result<StoreFault> {
        match *self.fault.lock().expect("no test panics with it") {
            StoreFault::Silent => Err(Error::unknown("store", "silent")),
            StoreFault::Busy => Err(Error::busy("store", "busy")),
            other => Ok(other),
        }
    }

    fn answer<T>(fault: StoreFault, value: T) -> Result<T> {
        match fault {
            StoreFault::LosesAnswers => Err(Error::unknown("store", "no answer")),
            _ => Ok(value),
        }
    }
}

impl Store for Door {
    fn targets(&self, within: Duration) -> Result<(Vec<Target>, u64)> {
        self.read_within.lock().expect("no test panics with it").push(within);
        *self.list_calls.lock().expect("no test panics with it") += 1;
        let fault = self.pass()?;
        let list = self.store.list.lock().expect("no test panics with it").clone();
        Self::answer(fault, (list, 1))
    }

    fn target_changes(&self, version: u64) -> Result<TargetNews> {
        *self.followed_from.lock().expect("no test panics with it") = version;
        *self.list_calls.lock().expect("no test panics with it") += 1;
        let fault = self.pass()?;
        let next = self.store.news.lock().expect("no test panics with it").pop_front();
        let nothing = TargetNews::Changes { changes: Vec::new(), version };
        Self::answer(fault, next.unwrap_or(nothing))
    }

    fn catalog(&self, _within: Duration) -> Result<(Option<Catalog>, u64)> {
        let fault = self.pass()?;
        Self::answer(fault, (None, 1))
    }

    fn catalog_changes(&self, v: u64, _: Duration) -> Result<Option<(Option<Catalog>, u64)>> {
        let fault = self.pass()?;
        Self::answer(fault, Some((None, v)))
    }

    fn lease(&self) -> Result<Option<LeaseRow>> {
        let fault = self.pass()?;
        let row = self.store.row.lock().expect("no test panics with it");
        let found = row.value.clone().map(|value| LeaseRow { value, version: row.version });
        Self::answer(fault, found)
    }

    fn write_lease(&self, expected: u64, value: &[u8]) -> Result<Written> {
        let fault = self.pass()?;
        let mut row = self.store.row.lock().expect("no test panics with it");
        if row.version != expected {
            let current = row.value.clone().map(|value| LeaseRow { value, version: row.version });
            return Self::answer(fault, Written::Conflict(current));
        }
        row.version += 1;
        row.value = Some(value.to_vec());
        Self::answer(fault, Written::Done(row.version))
    }
}

/// A daemon's share in the lease.
pub(crate) struct Daemon {
    pub(crate) clock: ManualClock,
    pub(crate) door: Door,
    pub(crate) state: Arc<State>,
    pub(crate) lease: Arc<SharedLease>,
    pub(crate) keeper: Arc<Keeper>,
    due: RefCell<Time>,
    ordered: RefCell<Option<(Time, u64)>>,
}

impl Daemon {
    pub(crate) fn new(name: &str, store: &FakeStore, clock: &ManualClock) -> Self {
        Self::with(name, store, clock, Reluctance::None)
    }

    pub(crate) fn with(
        name: &str,
        store: &FakeStore,
        clock: &ManualClock,
        reluctance: Reluctance,
    ) -> Self {
        let door = store.door();
        let state = state(clock);
        let lease = Arc::new(SharedLease::default());
        // Every daemon has a host of its own.
        let host = name.bytes().next().unwrap_or(1);
        let me = Holder {
            daemon: name.into(),
            incarnation: tansyknot_core::name::random_id().into(),
            address: ([10, 0, 0, host], 7000).into(),
            fence: 0,
            released: false,
            covers: Default::default(),
            rests: Default::default(),
            all_rest: 0,
        };
        let keeper = Arc::new(Keeper::new(
            Arc::clone(&state),
            Arc::new(door.clone()),
            Arc::clone(&lease),
            me,
            LeaseOptions { turn: TURN },
            reluctance,
        ));
        Self {
            clock: clock.clone(),
            door,
            state,
            lease,
            keeper,
            due: RefCell::new(Time::default()),
            ordered: RefCell::new(None),
        }
    }

    /// Does what is due of the lease, and notes whether an order could be sent.
    pub(crate) fn keep(&self) {
        if self.clock.now() >= *self.due.borrow() {
            let pause = self.keeper.step();
            *self.due.borrow_mut() = self.clock.now() + pause;
        }
        if self.may_order() {
            // It orders whenever it may.
            self.lease.ordered(&TargetName::from("t"), self.clock.now());
            *self.ordered.borrow_mut() = Some((self.clock.now(), self.lease.fence()));
        }
    }

    /// Tells whether it may order the target `t`, which it has the row name.
    pub(crate) fn may_order(&self) -> bool {
        self.keeper.cover(&TargetName::from("t")).is_some()
    }

    /// Returns the last moment at which it could order if it is not asked any more.
    pub(crate) fn last_order_possible(&self) -> Time {
        let t = TargetName::from("t");
        let mut at = self.clock.now();
        while self.lease.may_order(&t, at + Duration::from_millis(10)).is_some() {
            at = at + Duration::from_millis(10);
        }
        at
    }

    /// Returns the fencing token of its last possible order.
    pub(crate) fn fence_seen(&self) -> u64 {
        self.ordered.borrow().map_or(0, |(_, fence)| fence)
    }
}

/// Makes the shared state of a daemon in zone `z1`.
pub(crate) fn state(clock: &ManualClock) -> Arc<State> {
    let budget = BudgetOptions { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    let options = StateOptions { budget, spans: Spans::default() };
    Arc::new(State::new(ZoneName::from("z1"), options, Arc::new(clock.clone())))
}

/// Makes a ready target of service `s` with these models; all of `disk` lie on its disk.
pub(crate) fn target(name: &str, models: &[&str], disk: &[&str]) -> Target {
    let names = |list: &[&str]| list.iter().map(|m| ModelName::from(*m)).collect();
    Target {
        name: TargetName::from(name),
        service: ServiceName::from("s"),
        address: ([127, 0, 0, 1], 9).into(),
        zone: ZoneName::from("z1"),
        state: TargetState::Ready,
        slots: 8,
        models: models.iter().map(|m| held(m, &[])).collect(),
        in_memory: Vec::new(),
        on_disk: names(disk),
        version: 1,
    }
}

/// Makes a held model with adapters.
pub(crate) fn held(model: &str, adapters: &[&str]) -> Held {
    Held { model: ModelName::from(model), adapters: adapters.iter().map(|a| (*a).into()).collect() }
}

/// Makes a configuration of service `s` with models `m0` to `m9`; an engine holds three.
pub(crate) fn catalog() -> Catalog {
    let model = |n: u32| Model {
        name: ModelName::new(format!("m{n}")),
        // Two are small.
        memory_mb: if n < 8 { 70_000.0 } else { 34_000.0 },
        load_remote: Duration::from_secs(6),
        load_disk: Duration::from_millis(800),
        load_memory: Duration::from_millis(450),
        adapter_mb: 60.0,
    };
    let models: HashMap<ModelName, Model> =
        (0..10).map(model).map(|m| (m.name.clone(), m)).collect();
    let engine = Engine {
        slots: 8,
        cache_tokens: 90_000,
        memory_mb: 212_000.0,
        adapter_slots: 2,
        loads_per_s: 3.1,
        models,
    };
    let service = Service { name: ServiceName::from("s"), engine: Some(engine) };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        repeat: Repeat::Stream,
        timeout: Duration::from_secs(25),
        objective: Duration::from_millis(2500),
        gap_objective: None,
        priority: 0,
        attempts_max: 1,
        split: vec![(ServiceName::from("s"), 1)],
    };
    Catalog::new(1, vec![route], vec![service])
}

/// How a target answers the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderFault {
    /// The order is lost on the way.
    Lost,
    /// It is carried out at once and not answered.
    AnswerLost,
    /// It is not answered, and carried out when the next order comes, before it.
    Late,
    /// Another order is under way.
    Busy,
}

/// A target's engine.
#[derive(Default)]
pub(crate) struct Engine1 {
    pub(crate) models: Vec<Held>,
    pub(crate) orders: u64,
    pub(crate) faults: VecDeque<OrderFault>,
    pub(crate) late: Option<Order>,
    pub(crate) most_models: usize,
}

/// One target that carries out orders at once.
#[derive(Clone, Default)]
pub(crate) struct FakeTarget {
    engine: Arc<Mutex<Engine1>>,
    /// Where its entry in the list is told.
    told: Option<(Arc<State>, Target)>,
}

impl FakeTarget {
    pub(crate) fn new(models: &[&str]) -> Self {
        let fake = Self::default();
        fake.engine().models = models.iter().map(|m| held(m, &[])).collect();
        fake.engine().most_models = models.len();
        fake
    }

    /// Makes a target that is in the list of `state`.
    pub(crate) fn listed(state: &Arc<State>, target: &Target) -> Self {
        let fake = Self { told: Some((Arc::clone(state), target.clone())), ..Self::default() };
        fake.engine().models.clone_from(&target.models);
        fake.engine().most_models = target.models.len();
        state.fleet().set_all(vec![target.clone()], state.now());
        fake
    }

    fn tell(&self, engine: &Engine1) {
        let Some((state, target)) = &self.told else { return };
        let version = 1 + engine.orders;
        let target = Target { models: engine.models.clone(), version, ..target.clone() };
        let now = state.now();
        state.fleet().apply(TargetChange::Put(Box::new(target)), now);
        state.targets_changed.raise();
    }

    pub(crate) fn engine(&self) -> MutexGuard<'_, Engine1> {
        self.engine.lock().expect("no test panics with it")
    }

    /// Returns the names of the models that it holds.
    pub(crate) fn models(&self) -> Vec<String> {
        self.engine().models.iter().map(|h| h.model.to_string()).collect()
    }
}

impl Engine1 {
    fn carry_out(&mut self, order: &Order) -> Ordered {
        if order.expected != self.orders {
            return Ordered::Conflict;
        }
        match &order.action {
            Action::Load { model, adapter: None } => {
                self.models.push(Held { model: model.clone(), adapters: Vec::new() });
            }
            Action::Remove { model, adapter: None } => self.models.retain(|h| h.model != *model),
            Action::Load { model, adapter: Some(adapter) } => {
                let found = self.models.iter_mut().find(|h| h.model == *model);
                found.expect("the model is there").adapters.push(adapter.clone());
            }
            Action::Remove { model, adapter: Some(adapter) } => {
                let found = self.models.iter_mut().find(|h| h.model == *model);
                found.expect("the model is there").adapters.retain(|a| a != adapter);
            }
        }
        self.orders += 1;
        self.most_models = self.most_models.max(self.models.len());
        Ordered::Accepted
    }
}

impl Targets for FakeTarget {
    fn order(&self, _: &Target, order: &Order, allowed: &dyn Fn() -> bool) -> Result<Ordered> {
        if !allowed() {
            return Err(Error::unreachable("target", "not allowed"));
        }
        let mut engine = self.engine();
        if let Some(late) = engine.late.take() {
            engine.carry_out(&late);
        }
        let fault = engine.faults.pop_front();
        let result = match fault {
            None => Ok(engine.carry_out(order)),
            Some(OrderFault::Busy) => Ok(Ordered::Conflict),
            Some(OrderFault::Lost) => Err(Error::unknown("target", "no answer")),
            Some(OrderFault::AnswerLost) => {
                engine.carry_out(order);
                Err(Error::unknown("target", "no answer"))
            }
            Some(OrderFault::Late) => {
                engine.late = Some(order.clone());
                Err(Error::unknown("target", "no answer"))
            }
        };
        self.tell(&engine);
        result
    }

    fn report(&self, _: &Target) -> Result<Report> {
        let engine = self.engine();
        Ok(Report { busy: false, orders: engine.orders, models: engine.models.clone() })
    }
}
