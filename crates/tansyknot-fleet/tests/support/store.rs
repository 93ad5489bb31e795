//! A store with the planner's row and a list that tests set.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use tansyknot_core::{Error, Result, clock::ManualClock};
use tansyknot_fleet::{
    catalog::Catalog,
    platform_api::{RowName, Store, StoreRow, TargetListUpdate, WriteOutcome},
    target::Target,
};

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

impl Row {
    fn found(&self) -> Option<StoreRow> {
        self.value.clone().map(|value| StoreRow { value, version: self.version })
    }
}

/// The list as of a version, which rises with each write.
#[derive(Clone, Default)]
struct List {
    targets: Vec<Target>,
    version: u64,
}

/// A store with the planner's row and a list that tests set.
#[derive(Clone, Default)]
pub(crate) struct FakeStore {
    row: Arc<Mutex<Row>>,
    poison: Arc<Mutex<Row>>,
    list: Arc<Mutex<List>>,
    news: Arc<Mutex<VecDeque<TargetListUpdate>>>,
}

/// One daemon's way to the store.
#[derive(Clone, Default)]
pub(crate) struct Door {
    store: FakeStore,
    fault: Arc<Mutex<StoreFault>>,
    list_calls: Arc<Mutex<u64>>,
    read_within: Arc<Mutex<Vec<Duration>>>,
    followed_from: Arc<Mutex<u64>>,
    way_back: Arc<Mutex<Option<WayBack>>>,
}

/// How long answers to calls that wait are on their way.
#[derive(Clone)]
struct WayBack {
    clock: ManualClock,
    takes: Duration,
}

impl FakeStore {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    pub(crate) fn door(&self) -> Door {
        Door { store: self.clone(), ..Door::default() }
    }

    fn row_of(&self, name: RowName) -> &Mutex<Row> {
        match name {
            RowName::Planner => &self.row,
            RowName::Poison => &self.poison,
        }
    }

    pub(crate) fn set_row(&self, value: &[u8]) {
        let mut row = self.row.lock().expect("no test panics with it");
        row.version += 1;
        row.value = Some(value.to_vec());
    }

    pub(crate) fn set_list(&self, targets: Vec<Target>) {
        let mut list = self.list.lock().expect("no test panics with it");
        list.version += 1;
        let version = list.version;
        list.targets = targets.into_iter().map(|t| Target { version, ..t }).collect();
    }

    pub(crate) fn push_news(&self, news: TargetListUpdate) {
        self.news.lock().expect("no test panics with it").push_back(news);
    }
}

impl Door {
    pub(crate) fn set(&self, fault: StoreFault) {
        *self.fault.lock().expect("no test panics with it") = fault;
    }

    /// Lets calls that wait take their time, and their answers `takes` beside that.
    pub(crate) fn delay(&self, clock: &ManualClock, takes: Duration) {
        let way_back = WayBack { clock: clock.clone(), takes };
        *self.way_back.lock().expect("no test panics with it") = Some(way_back);
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
        Self::answer(fault, (list.targets, list.version.max(1)))
    }

    fn target_changes(&self, version: u64) -> Result<TargetListUpdate> {
        *self.followed_from.lock().expect("no test panics with it") = version;
        *self.list_calls.lock().expect("no test panics with it") += 1;
        let fault = self.pass()?;
        let next = self.store.news.lock().expect("no test panics with it").pop_front();
        let nothing = TargetListUpdate::Changes { changes: Vec::new(), version };
        Self::answer(fault, next.unwrap_or(nothing))
    }

    fn catalog(&self, _within: Duration) -> Result<(Option<Catalog>, u64)> {
        let fault = self.pass()?;
        Self::answer(fault, (None, 1))
    }

    fn catalog_changes(&self, v: u64, wait: Duration) -> Result<Option<(Option<Catalog>, u64)>> {
        let fault = self.pass()?;
        if let Some(way) = &*self.way_back.lock().expect("no test panics with it") {
            way.clock.advance(wait + way.takes);
        }
        Self::answer(fault, Some((None, v)))
    }

    fn row(&self, name: RowName) -> Result<Option<StoreRow>> {
        let fault = self.pass()?;
        let found = self.store.row_of(name).lock().expect("no test panics with it").found();
        Self::answer(fault, found)
    }

    fn write_row(&self, name: RowName, expected: u64, value: &[u8]) -> Result<WriteOutcome> {
        let fault = self.pass()?;
        let mut row = self.store.row_of(name).lock().expect("no test panics with it");
        if row.version != expected {
            return Self::answer(fault, WriteOutcome::Conflict(row.found()));
        }
        row.version += 1;
        row.value = Some(value.to_vec());
        Self::answer(fault, WriteOutcome::Done(row.version))
    }
}
