//! Publishes the targets of each service to its pool, from the replica row, the list of hosts and
//! the rule.

use std::sync::Arc;

use tansyknot_config::object::Backend;
use tansyknot_core::{
    host::{Target, TargetKind},
    name::ServiceName,
    replica::SlotState,
};
use tansyknot_policy::pool::Upstream;

use crate::{config::ConfigView, directory::ReplicaCache, hosts::HostView, pools::Pools};

/// Updates the pools from the replica rows and the list of hosts.
pub struct Publisher {
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The list of hosts.
    pub hosts: Arc<HostView>,
    /// The cached replica rows.
    pub directory: Arc<ReplicaCache>,
    /// The pools to update.
    pub pools: Arc<Pools>,
}

impl Publisher {
    /// Updates the targets of one service.
    pub fn publish(&self, service: &ServiceName) {
        let targets = self.plain_targets(service).unwrap_or_else(|| self.ready_targets(service));
        let upstreams: Vec<Upstream> = targets
            .into_iter()
            .map(|target| Upstream {
                target: target.name,
                availability_zone: target.availability_zone,
            })
            .collect();
        self.pools.set_upstreams(service, &upstreams);
    }

    /// Updates the targets of every service that has had a request, after the list has changed.
    pub fn publish_all(&self) {
        for service in self.pools.services() {
            self.publish(&service);
        }
    }

    /// Returns the live targets of a plain service, or `None` if `service` is not a plain one.
    fn plain_targets(&self, service: &ServiceName) -> Option<Vec<Target>> {
        let selector = self.config.with(|store| {
            let resolved = store.resolve(service.as_str())?;
            let plain = matches!(resolved.service.backend, Backend::Plain(_));
            plain.then(|| resolved.rule.map(|rule| rule.targets.clone()))
        })?;
        let selected = selector.map(|selector| self.hosts.select(&selector)).unwrap_or_default();
        Some(selected.into_iter().filter(|t| t.kind == TargetKind::Plain).collect())
    }

    /// Returns the live targets that have a ready replica of the service's model.
    fn ready_targets(&self, service: &ServiceName) -> Vec<Target> {
        let Some(row) = self.directory.row(service) else { return Vec::new() };
        let ready = row.slots.iter().filter(|slot| slot.state == SlotState::Ready);
        ready.filter_map(|slot| self.hosts.live_target(&slot.target)).collect()
    }
}
