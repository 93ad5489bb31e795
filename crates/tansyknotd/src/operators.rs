//! The operators' HTTP interface of a daemon: its status and the explanations of requests, as JSON.

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

/// Threads that serve operators' requests.
const SERVER_THREADS: usize = 2;
/// How often the server checks the stop flag.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The state that the operators' interface shows.
pub struct OperatorApi {
    /// The name of the daemon.
    pub daemon: DaemonName,
    /// The incarnation of the daemon.
    pub incarnation: Incarnation,
    /// The availability zone of the daemon.
    pub zone: ZoneName,
    /// The active configuration.
    pub config: Arc<ConfigView>,
    /// The list of hosts.
    pub hosts: Arc<HostView>,
    /// The pools of targets, with their request queues.
    pub pools: Arc<Pools>,
    /// The replica rows.
    pub directory: Arc<ReplicaCache>,
    /// The state of the drain, and the counts of connections and requests.
    pub lifecycle: Arc<Lifecycle>,
    /// The decisions on the latest requests.
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

impl OperatorApi {
    fn handle(&self, req: &Request) -> Response {
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
            requests: self.lifecycle.requests_in_flight(),
            services: services.into_iter().map(|service| self.service_status(service)).collect(),
            targets: self.hosts.all(),
        }
    }

    fn service_status(&self, service: ServiceName) -> ServiceStatus {
        let demand = self.pools.demand(&service).requests;
        let slots = self.directory.row(&service).map(|row| row.slots).unwrap_or_default();
        ServiceStatus { service, waiting: demand.waiting, in_flight: demand.in_flight, slots }
    }
}

/// Runs the bound operators' server until the flag is set.
pub type BoundServer = Box<dyn FnOnce(&StopFlag) + Send>;

/// Binds the operators' server to `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(
    address: SocketAddr,
    operators: OperatorApi,
) -> Result<(SocketAddr, BoundServer), Box<dyn std::error::Error + Send + Sync>> {
    let server = rouille::Server::new(address, move |req| operators.handle(req))?;
    let server = server.pool_size(SERVER_THREADS);
    let address = server.server_addr();
    let run = move |stop: &StopFlag| {
        while !stop.is_set() {
            server.poll_timeout(STOP_POLL_INTERVAL);
        }
    };
    Ok((address, Box::new(run)))
}
