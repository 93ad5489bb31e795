//! Selection of the services that need a step.

use tansyknot_config::{
    object::{Backend, RetentionGoal, Rule},
    objects_in_force::ConfigObjects,
};
use tansyknot_core::{Result, clock::Time, name::ServiceName, peer::ServiceDemand, replica};

use super::{IDLE_STEP_INTERVAL, Reconciler};
use crate::{config, replicas};

impl Reconciler {
    /// Returns the services that need a step now.
    ///
    /// Services with pending work are checked at each call, all others once a second.
    pub fn due(&self) -> Vec<ServiceName> {
        let now = self.parts.clock.now();
        let mut services =
            if self.is_full_pass_due(now) { self.all_services() } else { self.busy() };
        services.retain(|service| self.needs_step(service, now));
        services
    }

    fn is_full_pass_due(&self, now: Time) -> bool {
        let mut next = self.next_full_pass.lock().expect("no holder of the lock panics");
        let due = now >= *next;
        if due {
            *next = now + IDLE_STEP_INTERVAL;
        }
        due
    }

    fn busy(&self) -> Vec<ServiceName> {
        self.busy.lock().expect("no holder of the lock panics").iter().cloned().collect()
    }

    fn all_services(&self) -> Vec<ServiceName> {
        let mut services = self.parts.directory.services();
        services.extend(self.parts.pools.services());
        services.extend(self.remote_services());
        services.extend(self.preloaded_services());
        services.sort();
        services.dedup();
        services
    }

    /// Sets whether a service is checked at each call of [`Reconciler::due`] or once a second.
    pub(super) fn set_busy(&self, service: &ServiceName, is_busy: bool) {
        let mut busy = self.busy.lock().expect("no holder of the lock panics");
        if is_busy {
            busy.insert(service.clone());
        } else {
            busy.remove(service);
        }
    }

    pub(super) fn make_due(&self, service: &ServiceName) {
        self.set_busy(service, true);
        let state = self.state(service);
        if let Ok(mut state) = state.try_lock() {
            state.next_step = Time::default();
        }
    }

    fn remote_services(&self) -> Vec<ServiceName> {
        self.remote_demand.lock().expect("no holder of the lock panics").keys().cloned().collect()
    }

    /// Returns the services that are loaded without a request: those with a minimum number of
    /// replicas and those whose checkpoints are staged.
    ///
    /// They are computed once for each configuration version, because that matches each service
    /// against the selector of each rule.
    fn preloaded_services(&self) -> Vec<ServiceName> {
        let version = self.parts.config.version();
        let mut preloaded = self.preloaded.lock().expect("no holder of the lock panics");
        if preloaded.0 != version {
            *preloaded = (version, self.parts.config.with(find_preloaded));
        }
        preloaded.1.clone()
    }

    fn needs_step(&self, service: &ServiceName, now: Time) -> bool {
        let state = self.state(service);
        // A step of the service that is running in another thread needs no second one.
        let Ok(state) = state.try_lock() else { return false };
        if now < state.next_step {
            return false;
        }
        let local = self.parts.pools.demand(service);
        let stale = local.requests != ServiceDemand::default()
            && self.parts.directory.needs_read(service, now);
        stale
            || local.requests.waiting > 0
            || !state.work.is_empty()
            || self.parts.peers.is_coordinator(service)
    }

    /// Reads every replica row, so that services without requests at this daemon are cached too.
    ///
    /// # Errors
    ///
    /// Fails if the table does.
    pub fn read_all_rows(&self) -> Result<()> {
        let now = self.parts.clock.now();
        config::scan_all(self.parts.table.as_ref(), replica::REPLICA_PREFIX, |row| {
            let (service, replicas) = replicas::decode_replicas(&row)?;
            self.parts.directory.store(&service, replicas.version, &replicas.row, now);
            Ok(())
        })
    }

    /// Returns the number of cached replica rows.
    pub fn cached_row_count(&self) -> usize {
        self.parts.directory.services().len()
    }
}

fn find_preloaded(store: &ConfigObjects) -> Vec<ServiceName> {
    let is_preloaded =
        |rule: &Rule| rule.replicas.min > 0 || rule.retention.weight == RetentionGoal::Cold;
    let preloaded = store.services().filter(|service| {
        let is_model = matches!(service.backend, Backend::Model(_));
        is_model && store.rule_for(service).is_some_and(is_preloaded)
    });
    preloaded.map(|service| service.name.clone()).collect()
}
