//! Which services want a step, and when.

use tansyknot_config::{
    object::{Backend, Rule, Weight},
    store::Store,
};
use tansyknot_core::{Result, clock::Time, name::ServiceName, peer::Waiting, replica};

use super::{QUIET_STEP, Reconciler};
use crate::{config, replicas};

impl Reconciler {
    /// Returns the services that want a step now.
    ///
    /// Services that wait for something are looked at each time, all others once a second.
    pub fn due(&self) -> Vec<ServiceName> {
        let now = self.parts.clock.now();
        let mut services = if self.full_look_due(now) { self.all_services() } else { self.busy() };
        services.retain(|service| self.wants_step(service, now));
        services
    }

    fn full_look_due(&self, now: Time) -> bool {
        let mut next = self.next_full_look.lock().expect("no holder of the lock panics");
        let due = now >= *next;
        if due {
            *next = now + QUIET_STEP;
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
        services.extend(self.kept_services());
        services.sort();
        services.dedup();
        services
    }

    /// Marks a service to be looked at each time, or only once a second.
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
        self.remote.lock().expect("no holder of the lock panics").keys().cloned().collect()
    }

    /// Returns the services that are loaded without a request: those that the operators want
    /// kept, and those whose checkpoints are to be brought near.
    ///
    /// They are found once for each version: it takes each service past each rule's selector.
    fn kept_services(&self) -> Vec<ServiceName> {
        let version = self.parts.config.version();
        let mut kept = self.kept.lock().expect("no holder of the lock panics");
        if kept.0 != version {
            *kept = (version, self.parts.config.with(find_kept));
        }
        kept.1.clone()
    }

    fn wants_step(&self, service: &ServiceName, now: Time) -> bool {
        let state = self.state(service);
        // A step that is running in another thread needs no second one.
        let Ok(state) = state.try_lock() else { return false };
        if now < state.next_step {
            return false;
        }
        let local = self.parts.pools.demand(service);
        let stale =
            local.waiting != Waiting::default() && self.parts.directory.needs_read(service, now);
        stale
            || local.waiting.waiting > 0
            || !state.work.is_empty()
            || self.parts.peers.is_coordinator(service)
    }

    /// Reads every replica row, for services that nobody has asked this daemon for.
    ///
    /// # Errors
    ///
    /// Fails if the table does.
    pub fn scan(&self) -> Result<()> {
        let now = self.parts.clock.now();
        config::scan_all(self.parts.table.as_ref(), replica::REPLICA_PREFIX, |row| {
            let (service, replicas) = replicas::decode_replicas(&row)?;
            self.parts.directory.keep(&service, replicas.version, &replicas.row, now);
            Ok(())
        })
    }

    /// Returns the number of replica rows that this daemon has read.
    pub fn known_rows(&self) -> usize {
        self.parts.directory.services().len()
    }
}

fn find_kept(store: &Store) -> Vec<ServiceName> {
    let wanted = |rule: &Rule| rule.replicas.min > 0 || rule.retention.weight == Weight::Cold;
    let kept = store.services().filter(|service| {
        let is_model = matches!(service.backend, Backend::Model(_));
        is_model && store.rule_for(service).is_some_and(wanted)
    });
    kept.map(|service| service.name.clone()).collect()
}
