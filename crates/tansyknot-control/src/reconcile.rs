//! The control loop for replicas: observe, decide, order, confirm.
//!
//! Every daemon runs it. The coordinator of a service acts for the service; other daemons follow
//! its row and act only if the coordinator does not. When two daemons act at once, the table's
//! compare-and-swap decides which change takes effect.

mod due;
mod report;
mod reserve;
mod scale;
mod slot;

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use tansyknot_config::{
    object::{Backend, Model, RetentionGoal, Rule},
    objects_in_force::ConfigVersion,
};
use tansyknot_core::{
    Error, Result,
    clock::{Clock, Time},
    engine::Engine,
    name::{DaemonName, Incarnation, ServiceName, TargetName},
    peer::{Peers, ServiceDemand},
    refusal::{Reason, Refusal},
    replica::ReplicaRow,
    table::Table,
};
use tansyknot_policy::{
    placement::Placement,
    retention::{self, Retention, RetentionOptions},
    scaling::{self, ColdWeight, Demand, ReplicaBounds},
};

use crate::{
    claim::{Claim, Watch},
    config::ConfigView,
    directory::ReplicaCache,
    hosts::HostView,
    pools::{LocalDemand, Pools},
    publish::Publisher,
    replicas::{self, Versioned, Writer},
    usage::Usage,
};

/// How long requests wait for a service without slots before a daemon that is not its coordinator
/// acts itself.
const FALLBACK_DELAY: Duration = Duration::from_millis(800);
/// The age at which the demand reported by a peer is dropped.
const REMOTE_DEMAND_LIFETIME: Duration = Duration::from_secs(3);
/// The interval between a coordinator's steps for a service without demand.
const IDLE_STEP_INTERVAL: Duration = Duration::from_secs(1);
/// The first interval at which a daemon that waits for a coordinator reads the row again; it
/// doubles with each read.
const MIN_ROW_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The longest interval at which a daemon that waits for a coordinator reads the row again.
const MAX_ROW_POLL_INTERVAL: Duration = Duration::from_millis(1600);
/// The delay before the next step of a service whose last step failed.
const FAILED_STEP_DELAY: Duration = Duration::from_millis(500);
/// The retry delay that refusals give callers while the table is unavailable.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The components that the control loop uses.
pub struct ReconcilerDependencies {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The engines.
    pub engine: Arc<dyn Engine>,
    /// The list of hosts.
    pub hosts: Arc<HostView>,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The pools of this daemon.
    pub pools: Arc<Pools>,
    /// The cached replica rows.
    pub directory: Arc<ReplicaCache>,
    /// Publishes ready replicas to the pools.
    pub publisher: Arc<Publisher>,
    /// The other daemons.
    pub peers: Arc<dyn Peers>,
    /// The policy that chooses targets for replicas.
    pub placement: Box<dyn Placement>,
    /// The policy that decides how long unused replicas stay.
    pub retention: Box<dyn Retention>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// This run of this daemon.
    pub incarnation: Incarnation,
}

/// The work of this process on one slot that it holds.
#[derive(Clone, Debug)]
struct SlotWork {
    claim: Claim,
    /// Whether the engine has accepted a load order under this claim.
    load_accepted: bool,
    /// When the work on the slot began.
    started_at: Time,
    /// The number of load orders sent for the slot.
    orders_sent: u32,
}

/// The progress of staging a service's checkpoint, that is, of copying it to a target's host by a
/// load before the first request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum StagingState {
    /// The targets have not been queried yet.
    #[default]
    Unknown,
    /// The targets are to be queried again from this time on.
    CheckAfter(Time),
    /// A load for staging was started at this time and no use of its replica is recorded.
    Loading(Time),
    /// A target's host holds the checkpoint.
    Cached,
}

/// The state of this process for one service.
#[derive(Debug, Default)]
struct ServiceState {
    work: HashMap<TargetName, SlotWork>,
    watches: HashMap<TargetName, Watch>,
    draining_since: HashMap<TargetName, Time>,
    checked_at: HashMap<TargetName, Time>,
    /// When the last unanswered load order for each target was sent. An entry outlives the claim,
    /// because the order may still reach the engine.
    unanswered_load_at: HashMap<TargetName, Time>,
    waiting_since: Option<Time>,
    row_poll_interval: Duration,
    staging: StagingState,
    next_step: Time,
}

/// The latest demand that each peer reported for a service and when it was received.
type RemoteDemand = HashMap<DaemonName, (ServiceDemand, Time)>;

/// The accelerators that are used by one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceleratorUse {
    /// The service.
    pub service: ServiceName,
    /// Accelerators with the service's model in any state.
    pub loaded: u32,
    /// Accelerators with a request in flight.
    pub busy: u32,
}

/// The control loop.
pub struct Reconciler {
    parts: ReconcilerDependencies,
    usage: Usage,
    states: Mutex<HashMap<ServiceName, Arc<Mutex<ServiceState>>>>,
    remote_demand: Mutex<HashMap<ServiceName, RemoteDemand>>,
    busy: Mutex<HashSet<ServiceName>>,
    next_full_pass: Mutex<Time>,
    preloaded: Mutex<(ConfigVersion, Vec<ServiceName>)>,
}

/// The model and the rule of a service, as configured by the operators.
#[derive(Clone, Debug)]
struct ModelConfig {
    model: Model,
    rule: Rule,
}

impl ModelConfig {
    fn weight(&self) -> ColdWeight {
        match self.rule.retention.weight {
            RetentionGoal::Cold => ColdWeight::More,
            RetentionGoal::Idle => ColdWeight::Less,
        }
    }

    fn bounds(&self, load_time: Duration) -> ReplicaBounds {
        ReplicaBounds {
            min: self.rule.replicas.min,
            max: self.rule.replicas.max,
            extra_after: scaling::extra_after(self.weight(), load_time),
        }
    }

    fn retention(&self, load_time: Duration) -> RetentionOptions {
        let limits = &self.rule.retention;
        RetentionOptions {
            cold_start_worth: retention::cold_start_worth(self.weight()),
            min_keep: limits.at_least.duration(),
            max_keep: limits.at_most.duration(),
            load_time,
        }
    }
}

impl Reconciler {
    /// Creates a control loop that has not read any state yet.
    pub fn new(parts: ReconcilerDependencies) -> Self {
        Self {
            parts,
            usage: Usage::default(),
            states: Mutex::default(),
            remote_demand: Mutex::default(),
            busy: Mutex::default(),
            next_full_pass: Mutex::default(),
            preloaded: Mutex::default(),
        }
    }

    /// Observes a service and takes the next actions for it.
    ///
    /// # Errors
    ///
    /// Fails if the table does. Waiting requests of a service without an open target are then
    /// refused at once.
    pub fn step(&self, service: &ServiceName) -> Result<()> {
        if !self.has_initial_state() {
            return Ok(());
        }
        let state = self.state(service);
        let mut state = state.lock().expect("no holder of the lock panics");
        let result = self.step_locked(service, &mut state);
        let now = self.parts.clock.now();
        match &result {
            Ok(()) | Err(Error::Conflict { .. }) => {
                if result.is_err() {
                    self.parts.directory.mark_stale(service);
                }
                state.next_step = now + self.next_step_delay(service, &mut state);
                let is_idle = state.work.is_empty() && state.waiting_since.is_none();
                self.set_busy(service, !is_idle);
            }
            Err(e) => {
                state.next_step = now + FAILED_STEP_DELAY;
                self.refuse_cold_requests(service, e);
            }
        }
        match result {
            // A conflict is no failure: the next step reads what the other daemon wrote.
            Err(Error::Conflict { .. }) => Ok(()),
            other => other,
        }
    }

    /// Returns the delay until the next step if no message arrives before.
    fn next_step_delay(&self, service: &ServiceName, state: &mut ServiceState) -> Duration {
        let has_waiting = self.parts.pools.demand(service).requests.waiting > 0;
        let is_coordinator = self.parts.peers.is_coordinator(service);
        if !state.work.is_empty() || (has_waiting && is_coordinator) {
            state.row_poll_interval = MIN_ROW_POLL_INTERVAL;
            return Duration::ZERO;
        }
        if !has_waiting {
            state.row_poll_interval = MIN_ROW_POLL_INTERVAL;
            return IDLE_STEP_INTERVAL;
        }
        // The coordinator sends a message when the row changes; polling covers lost messages.
        let delay = state.row_poll_interval.max(MIN_ROW_POLL_INTERVAL);
        state.row_poll_interval = (delay * 2).min(MAX_ROW_POLL_INTERVAL);
        delay
    }

    /// Returns whether the configuration and the list of hosts have been read; before that, no
    /// decision about replicas is sound.
    fn has_initial_state(&self) -> bool {
        self.parts.config.version() > 0 && self.parts.hosts.has_been_read()
    }

    fn step_locked(&self, service: &ServiceName, state: &mut ServiceState) -> Result<()> {
        let now = self.parts.clock.now();
        let local = self.record_local_demand(service, state, now);
        let model_config = self.model_config(service);
        let mut replicas = self.observe(service, state, &local, now)?;
        let should_act = self.should_act(service, state, &replicas.row, now);
        for target in targets(&replicas.row) {
            self.advance_slot(service, state, &mut replicas, &target, should_act)?;
        }
        if should_act {
            let demand = self.demand(service, &local, model_config.as_ref(), now);
            self.adjust(service, state, &mut replicas, model_config.as_ref(), &demand)?;
            // The load of a newly reserved slot is ordered at once, as callers wait for it.
            for target in targets_without_order(state) {
                self.advance_slot(service, state, &mut replicas, &target, should_act)?;
            }
        }
        Ok(())
    }

    /// Returns the cached row while the service is idle, and otherwise reads the row.
    ///
    /// A change based on an outdated row conflicts, and the next step then reads the row.
    fn observe(
        &self,
        service: &ServiceName,
        state: &ServiceState,
        local: &LocalDemand,
        now: Time,
    ) -> Result<Versioned<ReplicaRow>> {
        let is_idle =
            state.work.is_empty() && state.watches.is_empty() && local.requests.waiting == 0;
        if is_idle
            && !self.parts.directory.needs_read(service, now)
            && let Some(cached) = self.parts.directory.versioned(service)
        {
            return Ok(cached);
        }
        let replicas = replicas::read_replicas(self.parts.table.as_ref(), service)?;
        self.publish(service, &replicas, now);
        Ok(replicas)
    }

    /// Records this daemon's own demand and sends it to the coordinator.
    fn record_local_demand(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        now: Time,
    ) -> LocalDemand {
        let local = self.parts.pools.demand(service);
        if let Some(last) = local.last_use {
            self.usage.record(service, last);
        }
        if local.requests.in_flight > 0 || local.requests.waiting > 0 {
            self.usage.record(service, now);
        }
        if local.requests.waiting == 0 {
            state.waiting_since = None;
        } else {
            state.waiting_since.get_or_insert(now);
            if !self.parts.peers.is_coordinator(service) {
                self.parts.peers.report_demand(service, local.requests);
            }
        }
        local
    }

    fn should_act(
        &self,
        service: &ServiceName,
        state: &ServiceState,
        row: &ReplicaRow,
        now: Time,
    ) -> bool {
        let is_fallback_due = row.slots.is_empty()
            && state.waiting_since.is_some_and(|since| now.since(since) >= FALLBACK_DELAY);
        is_fallback_due || self.parts.peers.is_coordinator(service)
    }

    fn demand(
        &self,
        service: &ServiceName,
        local: &LocalDemand,
        model_config: Option<&ModelConfig>,
        now: Time,
    ) -> Demand {
        let mut remote_demand = self.remote_demand.lock().expect("no holder of the lock panics");
        let mut total = local.requests;
        if let Some(peers) = remote_demand.get_mut(service) {
            peers.retain(|_, (_, at)| now.since(*at) < REMOTE_DEMAND_LIFETIME);
            for (waiting, _) in peers.values() {
                total.waiting += waiting.waiting;
                total.in_flight += waiting.in_flight;
            }
        }
        remote_demand.retain(|_, peers| !peers.is_empty());
        Demand {
            waiting: total.waiting,
            in_flight: total.in_flight,
            per_replica: model_config.map_or(1, |c| c.rule.requests.in_flight_per_replica),
            service_time: local.service_time,
            load_time: local.load_time,
        }
    }

    /// Caches a row and publishes its ready replicas to the pools.
    fn publish(&self, service: &ServiceName, replicas: &Versioned<ReplicaRow>, now: Time) {
        self.parts.directory.store(service, replicas.version, &replicas.row, now);
        self.parts.publisher.publish(service);
    }

    /// Reads the row after a change by this process, publishes it and notifies the peers.
    fn reread(&self, service: &ServiceName, replicas: &mut Versioned<ReplicaRow>) -> Result<()> {
        *replicas = replicas::read_replicas(self.parts.table.as_ref(), service)?;
        self.publish(service, replicas, self.parts.clock.now());
        self.parts.peers.report_change(service);
        Ok(())
    }

    fn model_config(&self, service: &ServiceName) -> Option<ModelConfig> {
        self.parts.config.with(|store| {
            let resolved = store.resolve(service.as_str())?;
            let Backend::Model(model) = &resolved.service.backend else { return None };
            let rule = resolved.rule?.clone();
            Some(ModelConfig { model: model.clone(), rule })
        })
    }

    fn writer(&self) -> Writer {
        Writer { incarnation: self.parts.incarnation.clone(), at_ms: self.parts.clock.wall_ms() }
    }

    /// Refuses requests that wait for a first replica, which can't be loaded while the table is
    /// unavailable.
    fn refuse_cold_requests(&self, service: &ServiceName, e: &Error) {
        if self.parts.pools.demand(service).has_upstream {
            return;
        }
        let refusal =
            Refusal::retry_later(Reason::StoreUnavailable, STORE_RETRY_DELAY, e.to_string());
        self.parts.pools.refuse_waiting(service, &refusal);
    }

    fn state(&self, service: &ServiceName) -> Arc<Mutex<ServiceState>> {
        let mut states = self.states.lock().expect("no holder of the lock panics");
        Arc::clone(states.entry(service.clone()).or_default())
    }
}

fn targets_without_order(state: &ServiceState) -> Vec<TargetName> {
    let new_work =
        state.work.iter().filter(|(_, work)| !work.load_accepted && work.orders_sent == 0);
    new_work.map(|(target, _)| target.clone()).collect()
}

fn targets(row: &ReplicaRow) -> Vec<TargetName> {
    row.slots.iter().map(|slot| slot.target.clone()).collect()
}
