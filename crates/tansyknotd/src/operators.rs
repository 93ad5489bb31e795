//! The operators' interface of a daemon: status and explanations, by HTTP and JSON.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rouille::{Request, Response};
use serde::Serialize;
use tansyknot_config::objects_in_force::ConfigVersion;
use tansyknot_control::{
    config::ConfigView, directory::ReplicaCache, hosts::HostView, pools::Pools,
};
use tansyknot_core::{
    host::Target,
    name::{DaemonName, Incarnation, RequestId, ServiceName, ZoneName},
    replica::Slot,
};
use tansyknot_edge::{explain::Explainer, http::server::Lifecycle};

use crate::loops::StopFlag;

/// Threads that answer operators.
const THREADS: usize = 2;
/// How often the server looks whether to stop.
const POLL: Duration = Duration::from_millis(250);

/// What operators may look at.
pub struct Operators {
    /// The name of the daemon.
    pub daemon: DaemonName,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The list of hosts.
    pub hosts: Arc<HostView>,
    /// The pools.
    pub pools: Arc<Pools>,
    /// The replica rows.
    pub directory: Arc<ReplicaCache>,
    /// How far the stop is.
    pub lifecycle: Arc<Lifecycle>,
    /// The decisions for the latest requests.
    pub explainer: Arc<Explainer>,
}

#[derive(Serialize)]
struct Status {
    daemon: DaemonName,
    incarnation: Incarnation,
    availability_zone: ZoneName,
    config_version: ConfigVersion,
    draining: bool,
    connections: u32,
    requests: u32,
    services: Vec<ServiceStatus>,
    targets: Vec<Target>,
}

#[derive(Serialize)]
struct ServiceStatus {
    service: ServiceName,
    waiting: u32,
    in_flight: u32,
    slots: Vec<Slot>,
}

impl Operators {
    fn answer(&self, req: &Request) -> Response {
        let url = req.url();
        match url.as_str() {
            "/status" => Response::json(&self.status()),
            path => match path.strip_prefix("/explain/") {
                Some(request) => self.explain(&RequestId::from(request)),
                None => Response::empty_404(),
            },
        }
    }

    fn explain(&self, request: &RequestId) -> Response {
        match self.explainer.trail(request) {
            Some(trail) => Response::json(&trail),
            None => Response::empty_404(),
        }
    }

    fn status(&self) -> Status {
        let mut services = self.directory.services();
        services.extend(self.pools.services());
        services.sort();
        services.dedup();
        Status {
            daemon: self.daemon.clone(),
            incarnation: self.incarnation.clone(),
            availability_zone: self.zone.clone(),
            config_version: self.config.version(),
            draining: self.lifecycle.is_draining(),
            connections: self.lifecycle.connections(),
            requests: self.lifecycle.busy(),
            services: services.into_iter().map(|service| self.service_status(service)).collect(),
            targets: self.hosts.all(),
        }
    }

    fn service_status(&self, service: ServiceName) -> ServiceStatus {
        let waiting = self.pools.demand(&service).waiting;
        let slots = self.directory.row(&service).map(|row| row.slots).unwrap_or_default();
        ServiceStatus { service, waiting: waiting.waiting, in_flight: waiting.in_flight, slots }
    }
}

/// The operators' server, bound and ready to run.
pub type BoundServer = Box<dyn FnOnce(&StopFlag) + Send>;

/// Binds the operators' server to `address`.
///
/// # Errors
///
/// Fails if the address can't be taken.
pub fn bind(
    address: SocketAddr,
    operators: Operators,
) -> Result<(SocketAddr, BoundServer), Box<dyn std::error::Error + Send + Sync>> {
    let server = rouille::Server::new(address, move |req| operators.answer(req))?;
    let server = server.pool_size(THREADS);
    let address = server.server_addr();
    let run = move |stop: &StopFlag| {
        while !stop.is_set() {
            server.poll_timeout(POLL);
        }
    };
    Ok((address, Box::new(run)))
}
