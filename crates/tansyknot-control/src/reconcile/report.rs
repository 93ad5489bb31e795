//! What this daemon says to its peers about services, and what it hears from them.

use std::time::Duration;

use tansyknot_core::{
    name::{DaemonName, ServiceName},
    peer::{PeerListener, ServiceUse, Waiting},
};

use super::{AcceleratorUse, Reconciler};

/// Uses are reported once a second; this takes up a late round.
const REPORT_SPAN: Duration = Duration::from_millis(1500);

impl Reconciler {
    /// Tells the coordinators which services this daemon uses.
    pub fn report_use(&self) {
        let now = self.parts.clock.now();
        let mut uses = Vec::new();
        for service in self.parts.pools.services() {
            let local = self.parts.pools.demand(&service);
            let Some(last) = local.last_use else { continue };
            let in_flight = local.waiting.in_flight;
            let ago = if in_flight > 0 { Duration::ZERO } else { now.since(last) };
            if ago >= REPORT_SPAN {
                continue;
            }
            if self.parts.peers.is_coordinator(&service) {
                self.usage.record(&service, now.before(ago));
            } else {
                uses.push(ServiceUse { service, ago, in_flight });
            }
        }
        if !uses.is_empty() {
            self.parts.peers.used(&uses);
        }
    }

    /// Returns the accelerators that hold the services this daemon coordinates.
    ///
    /// A replica counts as one accelerator; it is busy while it has a request.
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

    fn hear_waiting(&self, service: &ServiceName, daemon: &DaemonName, waiting: Waiting) {
        let now = self.parts.clock.now();
        let mut remote = self.remote.lock().expect("no holder of the lock panics");
        remote.entry(service.clone()).or_default().insert(daemon.clone(), (waiting, now));
    }
}

impl PeerListener for Reconciler {
    fn hear_demand(&self, service: &ServiceName, daemon: &DaemonName, waiting: Waiting) {
        self.hear_waiting(service, daemon, waiting);
        self.usage.record(service, self.parts.clock.now());
        self.make_due(service);
    }

    fn hear_use(&self, daemon: &DaemonName, uses: &[ServiceUse]) {
        let now = self.parts.clock.now();
        for used in uses {
            self.usage.record(&used.service, now.before(used.ago));
            let waiting = Waiting { waiting: 0, in_flight: used.in_flight };
            self.hear_waiting(&used.service, daemon, waiting);
        }
    }

    fn hear_change(&self, service: &ServiceName) {
        self.parts.directory.mark_stale(service);
        self.make_due(service);
    }
}
