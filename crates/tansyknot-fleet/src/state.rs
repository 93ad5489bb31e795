//! What the threads of a daemon share: the configuration in force and the view of the targets.

use std::{
    collections::HashMap,
    sync::{Arc, Condvar, Mutex, MutexGuard, RwLock},
    time::Duration,
};

use tansyknot_core::{
    clock::{Clock, Time},
    name::{ServiceName, ZoneName},
};

use crate::{
    access::{AccessOptions, pending::Pending, view::KeyView},
    backpressure::pending::PendingPermits,
    budget::{Budget, BudgetOptions, Part, Retries},
    catalog::Catalog,
    dissemination::{followed::Followed, peers::Peers},
    estimate::Estimate,
    fleet::{Fleet, Want},
    poison::{Merged, Poison, evidence::Evidence, key::RequestKey},
    spans::Spans,
};

/// A daemon has read the configuration this long after its start, if the store answers: some
/// 100 ms on the users' hosts.
const START_USUAL: Duration = Duration::from_millis(500);

/// Calls a second for the list of targets that daemons without a planner make together, as long as
/// their views stay fresh enough. Nine daemons ask each 0.6 s so, as often as a planner does.
const LIST_CALLS_PER_S: f64 = 15.0;

/// A moment that other threads wait for.
#[derive(Debug, Default)]
pub struct Signal {
    count: Mutex<u64>,
    changed: Condvar,
}

impl Signal {
    /// Wakes all who wait.
    pub fn raise(&self) {
        *self.count.lock().expect("no holder of the lock panics") += 1;
        self.changed.notify_all();
    }

    /// Waits up to `span` for a raise after `seen`; returns the count for the next wait.
    pub fn wait(&self, seen: u64, span: Duration) -> u64 {
        let count = self.count.lock().expect("no holder of the lock panics");
        let (count, _) = self
            .changed
            .wait_timeout_while(count, span, |count| *count == seen)
            .expect("no holder of the lock panics");
        *count
    }

    /// Returns the count of raises.
    pub fn count(&self) -> u64 {
        *self.count.lock().expect("no holder of the lock panics")
    }
}

/// When calls began that the store answered last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contacts {
    /// For the list of targets.
    pub list: Option<Time>,
    /// For the configuration.
    pub config: Option<Time>,
    /// Whether the last call that followed the store had no answer.
    pub is_lost: bool,
    /// When the store last answered again after calls that failed.
    pub returned: Option<Time>,
}

/// How long requests have waited for loads that came.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadWaits {
    models: Estimate,
    adapters: Estimate,
}

impl LoadWaits {
    /// Returns what is known of loads of the kind that a request waits for: an adapter's takes
    /// some ms, a model's seconds.
    pub fn of(&mut self, want: &Want<'_>) -> &mut Estimate {
        match want.adapter {
            Some(_) => &mut self.adapters,
            None => &mut self.models,
        }
    }
}

/// What the threads of a daemon share.
pub struct State {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Raised when the view of the targets has changed or a place has become free.
    pub targets_changed: Signal,
    /// Raised when a request begins to wait for a load.
    pub demand_changed: Signal,
    /// Raised when a look at a target has ended, there is something to tell of poison requests, or
    /// one is convicted.
    pub poison_changed: Signal,
    /// Raised when a question about a quota is answered.
    pub quota_answered: Signal,
    /// Raised when a request asks whether it may go to a target that names a limit, at the daemon that
    /// decides.
    pub permits_changed: Signal,
    /// Raised when a call to the store may be due: by the planner's news, or as it answers again.
    pub call_due: Signal,
    fleet: Mutex<Fleet>,
    followed: Mutex<Followed>,
    peers: Mutex<Peers>,
    poison: Mutex<Poison>,
    key_view: Mutex<KeyView>,
    pending: Mutex<Pending>,
    permits: Mutex<PendingPermits>,
    contacts: Mutex<Contacts>,
    catalog: RwLock<Option<Arc<Catalog>>>,
    budgets: Mutex<HashMap<ServiceName, Budget>>,
    load_waits: Mutex<LoadWaits>,
    budget_options: BudgetOptions,
    /// Bounds on keys and quotas.
    pub access: AccessOptions,
    /// How old views may become.
    pub spans: Spans,
    started: Time,
}

/// Bounds that the threads keep together.
#[derive(Clone, Copy, Debug)]
pub struct StateOptions {
    /// Bounds on second sends.
    pub budget: BudgetOptions,
    /// Bounds on keys and quotas.
    pub access: AccessOptions,
    /// How old views may become.
    pub spans: Spans,
}

impl State {
    /// Makes the state of a daemon in `zone` that knows nothing yet.
    pub fn new(zone: ZoneName, options: StateOptions, clock: Arc<dyn Clock>) -> Self {
        let StateOptions { budget, access, spans } = options;
        let started = clock.now();
        Self {
            clock,
            targets_changed: Signal::default(),
            demand_changed: Signal::default(),
            poison_changed: Signal::default(),
            quota_answered: Signal::default(),
            permits_changed: Signal::default(),
            call_due: Signal::default(),
            fleet: Mutex::new(Fleet::new(zone, spans)),
            followed: Mutex::new(Followed::new(spans)),
            peers: Mutex::default(),
            poison: Mutex::new(Poison::new(started)),
            key_view: Mutex::default(),
            pending: Mutex::new(Pending::of_run(rand::random())),
            permits: Mutex::new(PendingPermits::of_run(rand::random())),
            contacts: Mutex::default(),
            catalog: RwLock::new(None),
            budgets: Mutex::default(),
            load_waits: Mutex::default(),
            budget_options: budget,
            access,
            spans,
            started,
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the view of the targets.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().expect("no holder of the lock panics")
    }

    /// Returns what the planner has told in place of calls to the store.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn followed(&self) -> MutexGuard<'_, Followed> {
        self.followed.lock().expect("no holder of the lock panics")
    }

    /// Returns the daemons that the planner has told of.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().expect("no holder of the lock panics")
    }

    /// Returns what is known of requests under which targets have crashed.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn poison(&self) -> MutexGuard<'_, Poison> {
        self.poison.lock().expect("no holder of the lock panics")
    }

    /// Returns the view of the keys.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn key_view(&self) -> MutexGuard<'_, KeyView> {
        self.key_view.lock().expect("no holder of the lock panics")
    }

    /// Returns what has been asked and used of quotas.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().expect("no holder of the lock panics")
    }

    /// Returns the requests that ask whether they may go to targets that name limits.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn permits(&self) -> MutexGuard<'_, PendingPermits> {
        self.permits.lock().expect("no holder of the lock panics")
    }

    /// Returns how long this daemon has run.
    pub fn runs_for(&self, now: Time) -> Duration {
        now.since(self.started)
    }

    /// Returns the configuration in force, and the view of its keys.
    pub fn in_force(&self) -> (Option<Arc<Catalog>>, KeyView) {
        let view = self.key_view();
        (self.catalog(), *view)
    }

    /// Brings a configuration in force unless it is older, which was the newest as of a moment; tells
    /// whether it was newer.
    pub fn put_in_force(&self, catalog: Catalog, as_of: Time) -> bool {
        let mut view = self.key_view();
        let version = catalog.version;
        let is_newer = self.set_catalog(catalog);
        view.in_force(version, as_of);
        is_newer
    }

    /// Tells whether this daemon can tell which keys hold, if requests need one.
    pub fn knows_keys(&self) -> bool {
        self.keys_age().is_none_or(|age| age <= self.access.view.good_for)
    }

    /// Returns how long the view of the keys is fresh enough without a call.
    pub fn keys_fresh_for(&self) -> Duration {
        let left = |age| self.access.view.ask_after().saturating_sub(age);
        self.keys_age().map_or(Duration::MAX, left)
    }

    /// Tells whether requests need keys, as far as is known.
    pub fn needs_keys(&self) -> bool {
        self.catalog().is_some_and(|c| c.teams.is_some())
    }

    /// Returns how old the view of the keys is, if requests need any.
    fn keys_age(&self) -> Option<Duration> {
        let (catalog, view) = self.in_force();
        let catalog = catalog.filter(|c| c.teams.is_some())?;
        Some(view.age(catalog.version, self.now()))
    }

    /// Begins a trial of a convicted request, if it falls to this daemon and there may be one.
    pub fn begin_trial(&self, key: RequestKey) -> bool {
        let now = self.now();
        let falls_to_me = self.peers().falls_to_me(key.short(), now);
        falls_to_me && self.poison().begin_trial(key, now)
    }

    /// Takes in what another daemon knows of such requests; returns what that one lacks, and whether
    /// a request is convicted by it. Requests that wait for a target look again then. What clears one
    /// here is told to others at once.
    pub fn merge_poison(&self, evidence: &[Evidence]) -> Merged {
        let now = self.now();
        let (merged, has_untold) = {
            let mut poison = self.poison();
            (poison.merge(evidence, now), poison.has_untold())
        };
        if merged.convicts {
            self.targets_changed.raise();
        }
        if merged.convicts || has_untold {
            self.poison_changed.raise();
        }
        merged
    }

    /// Returns when calls began that the store answered last.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn contacts(&self) -> MutexGuard<'_, Contacts> {
        self.contacts.lock().expect("no holder of the lock panics")
    }

    /// Returns how often the list is asked for without news of it: rarer where many daemons do.
    pub fn list_pace(&self) -> Duration {
        let fair = Duration::from_secs_f64(self.fleet().daemons() as f64 / LIST_CALLS_PER_S);
        fair.clamp(self.spans.list_pace, self.spans.list)
    }

    /// Returns how long the view of the list is fresh enough without a call.
    pub fn list_fresh_for(&self, now: Time) -> Duration {
        let is_gapped = self.fleet().is_gapped();
        if is_gapped { Duration::ZERO } else { self.followed().list_fresh_for(now) }
    }

    /// Returns how long version `mine` of the configuration is fresh enough without a call: by the
    /// planner's news, or by this daemon's own last call if the planner has told of no newer one.
    pub fn config_fresh_for(&self, mine: u64) -> Duration {
        let now = self.now();
        let own = self.contacts().config;
        let keys = self.keys_fresh_for();
        let followed = self.followed();
        let own = own.filter(|_| followed.config_version() <= mine);
        let own_left =
            own.map_or(Duration::ZERO, |at| self.spans.config.saturating_sub(now.since(at)));
        followed.config_fresh_for(mine, now).max(own_left).min(keys)
    }

    /// Wakes the requests that wait for a target, and the planner, as the view has changed.
    pub fn view_changed(&self) {
        self.targets_changed.raise();
        self.demand_changed.raise();
    }

    /// Takes in that the store does not answer.
    pub fn store_lost(&self) {
        self.contacts().is_lost = true;
    }

    /// Takes in that the store answers again, so that calls that pause since a failure are made.
    pub fn store_returned(&self) {
        {
            let mut contacts = self.contacts();
            contacts.is_lost = false;
            contacts.returned = Some(self.now());
        }
        self.call_due.raise();
    }

    /// Tells whether the store does not answer, or has not within a usual start.
    pub fn store_is_away(&self) -> bool {
        let starts = self.catalog().is_none() && self.now().since(self.started) > START_USUAL;
        starts || self.contacts().is_lost
    }

    /// Returns how long requests have waited for loads that came.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn load_waits(&self) -> MutexGuard<'_, LoadWaits> {
        self.load_waits.lock().expect("no holder of the lock panics")
    }

    /// Returns the configuration in force.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.read().expect("no holder of the lock panics").clone()
    }

    /// Brings a configuration in force unless it is older; tells whether it was newer.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn set_catalog(&self, catalog: Catalog) -> bool {
        let mut current = self.catalog.write().expect("no holder of the lock panics");
        let is_newer = current.as_ref().is_none_or(|c| c.version < catalog.version);
        if is_newer {
            *current = Some(Arc::new(catalog));
        }
        is_newer
    }

    /// Counts the first send of a request to a service.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn count_first_send(&self, service: &ServiceName) {
        let now = self.now();
        let part = self.budget_part(now);
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        budgets.entry(service.clone()).or_default().first(now, part, &self.budget_options);
    }

    /// Takes a second send from the retry budget; tells whether there was one left.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn take_second_send(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let part = self.budget_part(now);
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        budgets.entry(service.clone()).or_default().take(now, part, &self.budget_options)
    }

    fn budget_part(&self, now: Time) -> Part {
        Part { daemons: self.fleet().daemons(), running: now.since(self.started) }
    }

    /// Returns what this daemon has spent of each service's retry budget, and may spend.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn retries(&self) -> Vec<(ServiceName, Retries)> {
        let now = self.now();
        let part = self.budget_part(now);
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        let retries = |budget: &mut Budget| budget.retries(now, part, &self.budget_options);
        budgets.iter_mut().map(|(service, budget)| (service.clone(), retries(budget))).collect()
    }
}
