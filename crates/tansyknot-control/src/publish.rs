//! Opens the targets of a service to requests: what the row, the list of hosts and the rule allow.

use std::sync::Arc;

use tansyknot_config::object::Backend;
use tansyknot_core::{
    host::{Target, TargetKind},
    name::ServiceName,
    replica::SlotState,
};
use tansyknot_policy::pool::Upstream;

use crate::{config::ConfigView, directory::Directory, hosts::HostView, pools::Pools};

/// Keeps the pools in step with the replica rows and the list of hosts.
pub struct Publisher {
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The list of hosts.
    pub hosts: Arc<HostView>,
    /// The replica rows as last read.
    pub directory: Arc<Directory>,
    /// The pools to fill.
    pub pools: Arc<Pools>,
}

impl Publisher {
    /// Sets the targets of one service.
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

    /// Sets the targets of every service that has had a request, after the list has changed.
    pub fn publish_all(&self) {
        for service in self.pools.services() {
            self.publish(&service);
        }
    }

    /// Returns the live targets of a plain service, `None` if it is not one.
    fn plain_targets(&self, service: &ServiceName) -> Option<Vec<Target>> {
        let selector = self.config.with(|store| {
            let resolved = store.resolve(service.as_str())?;
            let plain = matches!(resolved.service.backend, Backend::Plain(_));
            plain.then(|| resolved.rule.map(|rule| rule.targets.clone()))
        })?;
        let chosen = selector.map(|selector| self.hosts.select(&selector)).unwrap_or_default();
        Some(chosen.into_iter().filter(|t| t.kind == TargetKind::Plain).collect())
    }

    /// Returns the live targets with a ready replica of a model.
    fn ready_targets(&self, service: &ServiceName) -> Vec<Target> {
        let Some(row) = self.directory.row(service) else { return Vec::new() };
        let ready = row.slots.iter().filter(|slot| slot.state == SlotState::Ready);
        ready.filter_map(|slot| self.hosts.live_target(&slot.target)).collect()
    }
}
