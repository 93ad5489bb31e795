//! Reports on the use of services that are sent to peers and received from them.

use std::time::Duration;

use tansyknot_core::{
    name::{DaemonName, ServiceName},
    peer::{PeerListener, ServiceDemand, ServiceUse},
};

use super::{AcceleratorUse, Reconciler};

/// The age up to which a use is reported. Reports are sent once a second; the margin covers a late
/// one.
const REPORT_WINDOW: Duration = Duration::from_millis(1500);

impl Reconciler {
    /// Reports the services that this daemon uses to their coordinators.
    pub fn report_use(&self) {
        let now = self.parts.clock.now();
        let mut uses = Vec::new();
        for service in self.parts.pools.services() {
            let local = self.parts.pools.demand(&service);
            let Some(last) = local.last_use else { continue };
            let in_flight = local.requests.in_flight;
            let since_last_use = if in_flight > 0 { Duration::ZERO } else { now.since(last) };
            if since_last_use >= REPORT_WINDOW {
                continue;
            }
            if self.parts.peers.is_coordinator(&service) {
                self.usage.record(&service, now.saturating_sub(since_last_use));
            } else {
                uses.push(ServiceUse { service, since_last_use, in_flight });
            }
        }
        if !uses.is_empty() {
            self.parts.peers.report_use(&uses);
        }
    }

    /// Returns the accelerators of the services that this daemon coordinates.
    ///
    /// A replica counts as one accelerator, which is busy while it has a request in flight.
    pub fn accelerators(&self) -> Vec<AcceleratorUse> {
        let now = self.parts.clock.now();
        let mut uses = Vec::new();
        for service in self.parts.directory.services() {
            if !self.parts.peers.is_coordinator(&service) {
                continue;
            }
            let Some(row) = self.parts.directory.row(&service) else { continue };
            let loaded = u32::try_from(row.slots.len()).unwrap_or(u32::MAX);
            if loaded > 0 {
                let local = self.parts.pools.demand(&service);
                let demand = self.demand(&service, &local, None, now);
                let busy = demand.in_flight.min(loaded);
                uses.push(AcceleratorUse { service, loaded, busy });
            }
        }
        uses
    }

    fn record_remote_demand(
        &self,
        service: &ServiceName,
        daemon: &DaemonName,
        waiting: ServiceDemand,
    ) {
        let now = self.parts.clock.now();
        let mut remote_demand = self.remote_demand.lock().expect("no holder of the lock panics");
        remote_demand.entry(service.clone()).or_default().insert(daemon.clone(), (waiting, now));
    }
}

impl PeerListener for Reconciler {
    fn receive_demand(&self, service: &ServiceName, daemon: &DaemonName, waiting: ServiceDemand) {
        self.record_remote_demand(service, daemon, waiting);
        self.usage.record(service, self.parts.clock.now());
        self.make_due(service);
    }

    fn receive_use(&self, daemon: &DaemonName, uses: &[ServiceUse]) {
        let now = self.parts.clock.now();
        for used in uses {
            self.usage.record(&used.service, now.saturating_sub(used.since_last_use));
            let waiting = ServiceDemand { waiting: 0, in_flight: used.in_flight };
            self.record_remote_demand(&used.service, daemon, waiting);
        }
    }

    fn receive_change(&self, service: &ServiceName) {
        self.parts.directory.mark_stale(service);
        self.make_due(service);
    }
}
