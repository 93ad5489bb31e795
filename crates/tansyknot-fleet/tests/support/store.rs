//! A fake store with the planner's row, the row of poison requests and a list of targets.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use super::operator_update;
use tansyknot_core::{Error, Result, clock::ManualClock};
use tansyknot_fleet::{
    platform_api::{OperatorUpdate, RowName, Store, StoreRow, TargetListUpdate, WriteOutcome},
    target::Target,
};

/// How the store responds to one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum StoreFault {
    /// Calls succeed.
    #[default]
    None,
    /// Calls do not reach the store and time out.
    Unresponsive,
    /// The store refuses calls.
    Busy,
    /// The store executes calls, and their responses are lost.
    LosesResponses,
}

#[derive(Default)]
struct Row {
    value: Option<Vec<u8>>,
    version: u64,
}

impl Row {
    fn store_row(&self) -> Option<StoreRow> {
        self.value.clone().map(|value| StoreRow { value, version: self.version })
    }
}

/// The list of targets; its version rises with each write.
#[derive(Clone, Default)]
struct List {
    targets: Vec<Target>,
    version: u64,
}

/// A store with both rows and a list that tests set.
#[derive(Clone, Default)]
pub(crate) struct FakeStore {
    row: Arc<Mutex<Row>>,
    poison: Arc<Mutex<Row>>,
    list: Arc<Mutex<List>>,
    updates: Arc<Mutex<VecDeque<TargetListUpdate>>>,
    /// The most targets that one response has room for; any number if unset.
    max_short_list: Arc<Mutex<Option<usize>>>,
}

/// One daemon's client of the store.
#[derive(Clone, Default)]
pub(crate) struct StoreClient {
    store: FakeStore,
    fault: Arc<Mutex<StoreFault>>,
    list_calls: Arc<Mutex<u64>>,
    read_timeouts: Arc<Mutex<Vec<Duration>>>,
    last_requested_version: Arc<Mutex<u64>>,
    response_delay: Arc<Mutex<Option<ResponseDelay>>>,
}

/// The time that responses to long-poll calls take.
#[derive(Clone)]
struct ResponseDelay {
    clock: ManualClock,
    transit: Duration,
}

impl FakeStore {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    pub(crate) fn client(&self) -> StoreClient {
        StoreClient { store: self.clone(), ..StoreClient::default() }
    }

    fn row_of(&self, name: RowName) -> &Mutex<Row> {
        match name {
            RowName::Planner => &self.row,
            RowName::Poison => &self.poison,
        }
    }

    pub(crate) fn set_row(&self, value: &[u8]) {
        let mut row = self.row.lock().expect("the lock is not poisoned");
        row.version += 1;
        row.value = Some(value.to_vec());
    }

    pub(crate) fn set_list(&self, targets: Vec<Target>) {
        let mut list = self.list.lock().expect("the lock is not poisoned");
        list.version += 1;
        let version = list.version;
        list.targets = targets.into_iter().map(|t| Target { version, ..t }).collect();
    }

    /// Sets the most targets that one response has room for.
    pub(crate) fn set_max_short_list(&self, count: usize) {
        *self.max_short_list.lock().expect("the lock is not poisoned") = Some(count);
    }

    pub(crate) fn push_update(&self, update: TargetListUpdate) {
        self.updates.lock().expect("the lock is not poisoned").push_back(update);
    }
}

impl StoreClient {
    pub(crate) fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().expect("the lock is not poisoned") = fault;
    }

    /// Makes each long-poll call advance the clock by its wait and, for its response, by `transit`.
    pub(crate) fn delay_long_polls(&self, clock: &ManualClock, transit: Duration) {
        let response_delay = ResponseDelay { clock: clock.clone(), transit };
        *self.response_delay.lock().expect("the lock is not poisoned") = Some(response_delay);
    }

    /// Returns the number of calls for the list.
    pub(crate) fn list_calls(&self) -> u64 {
        *self.list_calls.lock().expect("the lock is not poisoned")
    }

    /// Returns the timeout of each full read of the list.
    pub(crate) fn read_timeouts(&self) -> Vec<Duration> {
        self.read_timeouts.lock().expect("the lock is not poisoned").clone()
    }

    /// Returns the version after which changes of the list were last requested.
    pub(crate) fn last_requested_version(&self) -> u64 {
        *self.last_requested_version.lock().expect("the lock is not poisoned")
    }

    fn check_fault(&self) -> Result<StoreFault> {
        match *self.fault.lock().expect("the lock is not poisoned") {
            StoreFault::Unresponsive => Err(Error::unknown("store", "silent")),
            StoreFault::Busy => Err(Error::busy("store", "busy")),
            other => Ok(other),
        }
    }

    fn respond<T>(fault: StoreFault, value: T) -> Result<T> {
        match fault {
            StoreFault::LosesResponses => Err(Error::unknown("store", "no response")),
            _ => Ok(value),
        }
    }
}

impl Store for StoreClient {
    fn targets(&self, within: Duration) -> Result<(Vec<Target>, u64)> {
        self.read_timeouts.lock().expect("the lock is not poisoned").push(within);
        *self.list_calls.lock().expect("the lock is not poisoned") += 1;
        let fault = self.check_fault()?;
        let list = self.store.list.lock().expect("the lock is not poisoned").clone();
        Self::respond(fault, (list.targets, list.version.max(1)))
    }

    fn short_list(&self, within: Duration) -> Result<Option<(Vec<Target>, u64)>> {
        let max = *self.store.max_short_list.lock().expect("the lock is not poisoned");
        let (targets, version) = self.targets(within)?;
        Ok(max.is_none_or(|max| targets.len() <= max).then_some((targets, version)))
    }

    fn target_changes(&self, version: u64) -> Result<TargetListUpdate> {
        *self.last_requested_version.lock().expect("the lock is not poisoned") = version;
        *self.list_calls.lock().expect("the lock is not poisoned") += 1;
        let fault = self.check_fault()?;
        let next = self.store.updates.lock().expect("the lock is not poisoned").pop_front();
        let no_changes = TargetListUpdate::Changes { changes: Vec::new(), version };
        Self::respond(fault, next.unwrap_or(no_changes))
    }

    fn operator_docs(&self, _within: Duration) -> Result<OperatorUpdate> {
        let fault = self.check_fault()?;
        Self::respond(fault, operator_update(None, 1))
    }

    fn operator_changes(&self, v: u64, wait: Duration) -> Result<Option<OperatorUpdate>> {
        let fault = self.check_fault()?;
        if let Some(response_delay) =
            &*self.response_delay.lock().expect("the lock is not poisoned")
        {
            response_delay.clock.advance(wait + response_delay.transit);
        }
        Self::respond(fault, Some(operator_update(None, v)))
    }

    fn row(&self, name: RowName) -> Result<Option<StoreRow>> {
        let fault = self.check_fault()?;
        let found = self.store.row_of(name).lock().expect("the lock is not poisoned").store_row();
        Self::respond(fault, found)
    }

    fn write_row(&self, name: RowName, expected: u64, value: &[u8]) -> Result<WriteOutcome> {
        let fault = self.check_fault()?;
        let mut row = self.store.row_of(name).lock().expect("the lock is not poisoned");
        if row.version != expected {
            return Self::respond(fault, WriteOutcome::Conflict(row.store_row()));
        }
        row.version += 1;
        row.value = Some(value.to_vec());
        Self::respond(fault, WriteOutcome::Done(row.version))
    }
}
