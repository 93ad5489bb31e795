//! Which daemons use a service, so that news of its replicas goes to them alone.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{DaemonName, ServiceName},
};

/// A daemon that has not used a service for this long hears no news of it.
const INTEREST_SPAN: Duration = Duration::from_secs(60);

/// The daemons that have lately used each service.
#[derive(Debug, Default)]
pub struct Interest {
    services: HashMap<ServiceName, HashMap<DaemonName, Time>>,
}

impl Interest {
    /// Notes that a daemon uses a service.
    pub fn note(&mut self, service: &ServiceName, daemon: &DaemonName, now: Time) {
        self.services.entry(service.clone()).or_default().insert(daemon.clone(), now);
    }

    /// Returns the daemons to tell, and forgets those that are past the span.
    pub fn daemons(&mut self, service: &ServiceName, now: Time) -> Vec<DaemonName> {
        let Some(daemons) = self.services.get_mut(service) else { return Vec::new() };
        daemons.retain(|_, at| now.since(*at) < INTEREST_SPAN);
        let found = daemons.keys().cloned().collect();
        if daemons.is_empty() {
            self.services.remove(service);
        }
        found
    }
}
