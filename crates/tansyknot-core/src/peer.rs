//! Messages between daemons about services, and the choice of a service's coordinator.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::name::{DaemonName, ServiceName};

/// The number of requests for one service at one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceDemand {
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Requests in progress.
    pub in_flight: u32,
}

/// One daemon's use of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUse {
    /// The service.
    pub service: ServiceName,
    /// Time since the last use.
    pub since_last_use: Duration,
    /// Requests in progress.
    pub in_flight: u32,
}

/// Sends messages to the coordinators of services. Any message may be lost.
pub trait Peers: Send + Sync {
    /// Returns whether this daemon coordinates `service`.
    fn is_coordinator(&self, service: &ServiceName) -> bool;

    /// Reports to the coordinator of `service` the requests that wait and run at this daemon.
    fn report_demand(&self, service: &ServiceName, waiting: ServiceDemand);

    /// Reports the use of services to their coordinators.
    fn report_use(&self, uses: &[ServiceUse]);

    /// Notifies the daemons that use `service` that its replica row has changed.
    fn report_change(&self, service: &ServiceName);
}

/// Receives the messages of peers.
pub trait PeerListener: Send + Sync {
    /// Handles a peer's report of the requests that wait for a service.
    fn receive_demand(&self, service: &ServiceName, daemon: &DaemonName, waiting: ServiceDemand);

    /// Handles a peer's report that it has used services.
    fn receive_use(&self, daemon: &DaemonName, uses: &[ServiceUse]);

    /// Handles a notice that the replica row of a service has changed.
    fn receive_change(&self, service: &ServiceName);
}

/// The [`Peers`] of a daemon without peers, which coordinates every service itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl Peers for NoPeers {
    fn is_coordinator(&self, _: &ServiceName) -> bool {
        true
    }

    fn report_demand(&self, _: &ServiceName, _: ServiceDemand) {}

    fn report_use(&self, _: &[ServiceUse]) {}

    fn report_change(&self, _: &ServiceName) {}
}

/// Returns the coordinator of `service`: the daemon with the highest rendezvous hash.
///
/// Two daemons whose views of the membership differ may both act as coordinator. The conditions of
/// table transactions resolve such conflicts.
pub fn coordinator<'a>(
    service: &ServiceName,
    daemons: impl Iterator<Item = &'a DaemonName>,
) -> Option<&'a DaemonName> {
    let seed = xxh3::xxh3_64(service.as_str().as_bytes());
    daemons.max_by_key(|d| (xxh3::xxh3_64_with_seed(d.as_str().as_bytes(), seed), *d))
}
