//! State shared by the threads of a daemon: the configuration in force, the view of the targets,
//! and the views of peers, keys and quotas.

mod contacts;
mod notifier;
mod operators;
mod origins;
mod paths;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tansyknot_core::{
    clock::{Clock, Time},
    name::{ServiceName, ZoneName},
};

use crate::{
    access::{AccessOptions, pending::PendingQuotas, view::KeyView},
    admission::Admission,
    backpressure::pending::PendingPermits,
    budget::{Allotment, Budget, BudgetOptions, Retries},
    catalog::Catalog,
    dissemination::{peers::Peers, planner_view::PlannerView},
    estimate::Estimate,
    fleet::{Fleet, TargetRequirements},
    freshness::FreshnessLimits,
    poison::{
        Merged, Poison,
        evidence::Evidence,
        key::{RequestSuspects, SuspectKey},
    },
    reachability::Reachability,
    residency::Regions,
    scheduling::SchedulingOptions,
    tunnel::peers::TunnelPeers,
};

pub use contacts::{ConfigRead, ConfigSource, Contacts};
pub use notifier::Notifier;
pub use origins::Origins;

/// A daemon has read the configuration within this time after its start if the store responds; the
/// read usually takes about 100 ms.
const USUAL_STARTUP: Duration = Duration::from_millis(500);

/// Calls per second for the list of targets that all daemons without a planner make together, as
/// long as their views stay fresh enough. Nine daemons then each read the list every 0.6 s, as
/// often as a planner does.
const LIST_CALLS_PER_S: f64 = 15.0;

/// Estimates of how long requests wait for loads that succeed.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadWaits {
    models: Estimate,
    adapters: Estimate,
}

impl LoadWaits {
    /// Returns the estimate for the kind of load that a request waits for: loading an adapter takes
    /// milliseconds, loading a model takes seconds.
    pub fn of(&mut self, want: &TargetRequirements<'_>) -> &mut Estimate {
        match want.adapter {
            Some(_) => &mut self.adapters,
            None => &mut self.models,
        }
    }
}

/// State shared by the threads of a daemon.
pub struct State {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Raised when the view of the targets has changed or a slot has become free.
    pub targets_changed: Notifier,
    /// Raised when this daemon is to run a step before its next heartbeat, for example because a
    /// request begins to wait for a load, the view of the targets has changed or a task has ended.
    pub step_due: Notifier,
    /// Raised when a crash check of a target has ended, evidence about poison requests is to be
    /// sent, or a request is convicted.
    pub poison_changed: Notifier,
    /// Raised when the reply to a quota request has arrived.
    pub quota_reply_received: Notifier,
    /// Raised at the daemon that grants permits when it receives a permit query.
    pub permits_changed: Notifier,
    /// Raised when another daemon has replied to a question about the origin of a stream.
    pub origins_changed: Notifier,
    /// Raised when a direct path to a target has failed.
    pub paths_failed: Notifier,
    /// Raised while targets are unresponsive to this daemon's requests.
    pub targets_unresponsive: Notifier,
    /// Raised when a call to the store may be due: after an update from the planner, or when the
    /// store responds again.
    pub store_call_due: Notifier,
    is_config_reader: AtomicBool,
    fleet: Mutex<Fleet>,
    admission: Mutex<Admission>,
    planner_view: Mutex<PlannerView>,
    peers: Mutex<Peers>,
    reachability: Mutex<Reachability>,
    tunnel_peers: Mutex<TunnelPeers>,
    origins: Mutex<Origins>,
    poison: Mutex<Poison>,
    key_view: Mutex<KeyView>,
    pending_quotas: Mutex<PendingQuotas>,
    permits: Mutex<PendingPermits>,
    contacts: Mutex<Contacts>,
    catalog: RwLock<Option<Arc<Catalog>>>,
    budgets: Mutex<HashMap<ServiceName, Budget>>,
    load_waits: Mutex<LoadWaits>,
    budget_options: BudgetOptions,
    /// Limits for keys and quotas.
    pub access: AccessOptions,
    /// Maximum ages of the views.
    pub freshness: FreshnessLimits,
    /// The region of each availability zone.
    pub regions: Regions,
    /// How requests and loads are scheduled.
    pub scheduling: SchedulingOptions,
    started: Time,
}

/// Limits that the threads of a daemon enforce together.
#[derive(Clone, Copy, Debug)]
pub struct StateOptions {
    /// Limits on retries.
    pub budget: BudgetOptions,
    /// Limits for keys and quotas.
    pub access: AccessOptions,
    /// Maximum ages of the views.
    pub freshness: FreshnessLimits,
}

impl State {
    /// Creates the initial state of a daemon in `zone`, with empty views.
    pub fn new(zone: ZoneName, options: StateOptions, clock: Arc<dyn Clock>) -> Self {
        let StateOptions { budget, access, freshness } = options;
        let started = clock.now();
        Self {
            clock,
            targets_changed: Notifier::default(),
            step_due: Notifier::default(),
            poison_changed: Notifier::default(),
            quota_reply_received: Notifier::default(),
            permits_changed: Notifier::default(),
            origins_changed: Notifier::default(),
            paths_failed: Notifier::default(),
            targets_unresponsive: Notifier::default(),
            store_call_due: Notifier::default(),
            fleet: Mutex::new(Fleet::new(zone, freshness)),
            admission: Mutex::default(),
            planner_view: Mutex::new(PlannerView::new(freshness)),
            peers: Mutex::default(),
            reachability: Mutex::default(),
            tunnel_peers: Mutex::default(),
            origins: Mutex::default(),
            poison: Mutex::new(Poison::new(started)),
            key_view: Mutex::default(),
            pending_quotas: Mutex::new(PendingQuotas::of_run(rand::random())),
            permits: Mutex::new(PendingPermits::of_run(rand::random())),
            is_config_reader: AtomicBool::default(),
            contacts: Mutex::default(),
            catalog: RwLock::new(None),
            budgets: Mutex::default(),
            load_waits: Mutex::default(),
            budget_options: budget,
            access,
            freshness,
            regions: Regions::default(),
            scheduling: SchedulingOptions::default(),
            started,
        }
    }

    /// Returns this state with the region of each availability zone.
    #[must_use]
    pub fn with_regions(self, regions: Regions) -> Self {
        Self { regions, ..self }
    }

    /// Returns this state with options for scheduling.
    ///
    /// # Panics
    ///
    /// Panics if the lock of the fleet is poisoned.
    #[must_use]
    pub fn with_scheduling(self, scheduling: SchedulingOptions) -> Self {
        let mut fleet = self.fleet.into_inner().expect("no holder of the lock panics");
        fleet.set_target_choice(scheduling.target_choice);
        fleet.set_admission(scheduling.admission);
        let fleet = Mutex::new(fleet.with_room(scheduling.room));
        Self { scheduling, fleet, ..self }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the view of the targets.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    /// Returns the queues of requests that wait for slots. The view of the targets must not be locked
    /// meanwhile.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn admission(&self) -> MutexGuard<'_, Admission> {
        self.admission.lock().expect("no holder of the lock panics")
    }

    /// Returns the view received from the planner, which replaces calls to the store.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn planner_view(&self) -> MutexGuard<'_, PlannerView> {
        self.planner_view.lock().expect("no holder of the lock panics")
    }

    /// Returns the daemons that the planner has announced.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().expect("no holder of the lock panics")
    }

    /// Returns which targets this daemon can connect to by itself.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn reachability(&self) -> MutexGuard<'_, Reachability> {
        self.reachability.lock().expect("no holder of the lock panics")
    }

    /// Returns the daemons through which this one connects to targets. No other lock but that of the
    /// peers may be held meanwhile.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn tunnel_peers(&self) -> MutexGuard<'_, TunnelPeers> {
        self.tunnel_peers.lock().expect("no holder of the lock panics")
    }

    /// Returns the origins of streams that callers may resume. No other lock may be held meanwhile.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn origins(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().expect("no holder of the lock panics")
    }

    /// Returns the evidence about requests under which targets have crashed.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn poison(&self) -> MutexGuard<'_, Poison> {
        self.poison.lock().expect("no holder of the lock panics")
    }

    /// Returns the view of the keys.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn key_view(&self) -> MutexGuard<'_, KeyView> {
        self.key_view.lock().expect("no holder of the lock panics")
    }

    /// Returns the pending quota requests and the quota use that is not reported yet.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn pending_quotas(&self) -> MutexGuard<'_, PendingQuotas> {
        self.pending_quotas.lock().expect("no holder of the lock panics")
    }

    /// Returns the pending permit requests for targets that announce limits.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn permits(&self) -> MutexGuard<'_, PendingPermits> {
        self.permits.lock().expect("no holder of the lock panics")
    }

    /// Returns the time since this daemon started.
    pub fn uptime(&self, now: Time) -> Duration {
        now.since(self.started)
    }

    /// Returns the configuration in force, and the view of its keys.
    pub fn active_catalog_and_keys(&self) -> (Option<Arc<Catalog>>, KeyView) {
        let view = self.key_view();
        (self.catalog(), *view)
    }

    /// Returns whether the view of the keys is fresh enough to validate them; `true` if requests
    /// need no key.
    pub fn keys_are_fresh(&self) -> bool {
        self.keys_age().is_none_or(|age| age <= self.access.view.accept_known_for)
    }

    /// Returns how long the view of the keys stays fresh enough without a call to the store.
    pub fn keys_fresh_for(&self) -> Duration {
        let left = |age| self.access.view.refresh_after().saturating_sub(age);
        self.keys_age().map_or(Duration::MAX, left)
    }

    /// Returns whether requests need keys under the configuration in force.
    pub fn requires_keys(&self) -> bool {
        self.catalog().is_some_and(|c| c.teams.is_some())
    }

    /// Returns the age of the view of the keys; `None` if requests need no key.
    fn keys_age(&self) -> Option<Duration> {
        let (catalog, view) = self.active_catalog_and_keys();
        let catalog = catalog.filter(|c| c.teams.is_some())?;
        Some(view.age(catalog.version, self.now()))
    }

    /// Begins the trial of a convicted request or part with a request of these suspects, if the
    /// trial is assigned to this daemon and allowed now; returns whether it did.
    pub fn begin_trial(&self, key: SuspectKey, suspects: &RequestSuspects) -> bool {
        let now = self.now();
        let is_assigned = self.peers().is_assigned_to_me(key.short_hash(), now);
        let mut poison = self.poison();
        is_assigned && poison.may_try(key, suspects) && poison.begin_trial(key, now)
    }

    /// Merges another daemon's evidence about poison requests; returns the evidence that the other
    /// daemon lacks, and whether the merge convicts a request. Waiting requests are checked again
    /// after a conviction. Evidence that clears a request here is sent to the other daemons
    /// immediately.
    pub fn merge_poison(&self, evidence: &[Evidence]) -> Merged {
        let now = self.now();
        let (merged, has_unsent) = {
            let mut poison = self.poison();
            (poison.merge(evidence, now), poison.has_unsent())
        };
        if merged.convicts {
            self.targets_changed.notify();
        }
        if merged.convicts || has_unsent {
            self.poison_changed.notify();
        }
        merged
    }

    /// Returns the state of the contact with the store.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn store_contacts(&self) -> MutexGuard<'_, Contacts> {
        self.contacts.lock().expect("no holder of the lock panics")
    }

    /// Returns the interval between calls for the list while there are no updates from a planner.
    /// It grows with the number of daemons.
    pub fn list_poll_interval(&self) -> Duration {
        let interval =
            Duration::from_secs_f64(self.fleet().daemon_count() as f64 / LIST_CALLS_PER_S);
        interval.clamp(self.freshness.list_poll_interval, self.freshness.max_list_age)
    }

    /// Returns the last moment as of which the list is known.
    pub fn list_as_of(&self) -> Option<Time> {
        let from_planner = self.planner_view().list_as_of();
        from_planner.max(self.store_contacts().list)
    }

    /// Returns how long the view of the list stays fresh enough without a call to the store.
    pub fn list_fresh_for(&self, now: Time) -> Duration {
        let has_gap = self.fleet().has_gap();
        if has_gap { Duration::ZERO } else { self.planner_view().list_fresh_for(now) }
    }

    /// Returns how long version `own_version` of the configuration stays fresh enough without a
    /// call to the store.
    pub fn config_fresh_for(&self, own_version: u64) -> Duration {
        let now = self.now();
        let keys = self.keys_fresh_for();
        let fresh_for = self.config_known_at(own_version).map_or(Duration::ZERO, |at| {
            self.freshness.max_config_age.saturating_sub(now.since(at))
        });
        fresh_for.min(keys)
    }

    /// Returns whether this daemon follows the operators' configuration at the store for all
    /// daemons.
    pub fn is_config_reader(&self) -> bool {
        self.is_config_reader.load(Ordering::Relaxed)
    }

    /// Decides again whether this daemon follows the configuration at the store for all daemons.
    pub fn update_config_reader(&self, now: Time) {
        let is_reader = {
            let mut peers = self.peers();
            let me = peers.local_address();
            me.is_some_and(|me| peers.config_readers(now).contains(&me))
        };
        if self.is_config_reader.swap(is_reader, Ordering::Relaxed) != is_reader {
            self.store_call_due.notify();
        }
    }

    /// Wakes the requests that wait for a target, and the planner, after a change of the view.
    pub fn notify_view_changed(&self) {
        self.targets_changed.notify();
        self.step_due.notify();
    }

    /// Records that the store does not respond.
    pub fn store_lost(&self) {
        self.store_contacts().is_lost = true;
    }

    /// Records that the store responds again, and wakes the threads that delay their calls after a
    /// failure.
    pub fn store_returned(&self) {
        {
            let mut contacts = self.store_contacts();
            contacts.is_lost = false;
            contacts.returned_at = Some(self.now());
        }
        self.store_call_due.notify();
    }

    /// Returns whether the store does not respond, or has not responded within the usual startup
    /// time.
    pub fn store_is_unavailable(&self) -> bool {
        let is_starting_late =
            self.catalog().is_none() && self.now().since(self.started) > USUAL_STARTUP;
        is_starting_late || self.store_contacts().is_lost
    }

    /// Returns the estimates of how long requests wait for loads.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn load_waits(&self) -> MutexGuard<'_, LoadWaits> {
        self.load_waits.lock().expect("no holder of the lock panics")
    }

    /// Returns the configuration in force.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.read().expect("no holder of the lock panics").clone()
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it was.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn set_catalog(&self, catalog: Catalog) -> bool {
        let mut current = self.catalog.write().expect("no holder of the lock panics");
        let is_newer = current.as_ref().is_none_or(|c| c.version < catalog.version);
        if is_newer {
            let routes = catalog.stream_routes();
            *current = Some(Arc::new(catalog));
            // Whoever reads the catalog finds its routes recorded.
            let now = self.now();
            self.origins().routing.put_in_force(routes, now);
        }
        is_newer
    }

    /// Counts the first attempt of a request to a service.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn count_first_send(&self, service: &ServiceName) {
        let now = self.now();
        let share = self.budget_allotment(now);
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        budgets.entry(service.clone()).or_default().count_first_send(
            now,
            share,
            &self.budget_options,
        );
    }

    /// Takes one retry from the service's retry budget; returns whether one was left.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let share = self.budget_allotment(now);
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        budgets.entry(service.clone()).or_default().take_retry(now, share, &self.budget_options)
    }

    fn budget_allotment(&self, now: Time) -> Allotment {
        Allotment { daemons: self.fleet().daemon_count(), uptime: now.since(self.started) }
    }

    /// Returns what this daemon has spent of each service's retry budget, and its allowance.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn retries(&self) -> Vec<(ServiceName, Retries)> {
        let now = self.now();
        let share = self.budget_allotment(now);
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        let retries = |budget: &mut Budget| budget.retries(now, share, &self.budget_options);
        budgets.iter_mut().map(|(service, budget)| (service.clone(), retries(budget))).collect()
    }
}
