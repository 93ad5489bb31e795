//! The daemons that use each service. They and the service's coordinator receive a message when its
//! replica row changes.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{DaemonName, ServiceName},
};

/// A daemon that has not used a service for this long receives no messages about changes of its
/// replica row.
const INTEREST_TTL: Duration = Duration::from_secs(60);

/// The daemons that have recently used each service.
#[derive(Debug, Default)]
pub struct Interest {
    services: HashMap<ServiceName, HashMap<DaemonName, Time>>,
}

impl Interest {
    /// Records that a daemon uses a service.
    pub fn record_use(&mut self, service: &ServiceName, daemon: &DaemonName, now: Time) {
        self.services.entry(service.clone()).or_default().insert(daemon.clone(), now);
    }

    /// Returns the daemons that recently used the service, and removes expired ones.
    pub fn daemons(&mut self, service: &ServiceName, now: Time) -> Vec<DaemonName> {
        let Some(daemons) = self.services.get_mut(service) else { return Vec::new() };
        daemons.retain(|_, at| now.since(*at) < INTEREST_TTL);
        let recent = daemons.keys().cloned().collect();
        if daemons.is_empty() {
            self.services.remove(service);
        }
        recent
    }
}
