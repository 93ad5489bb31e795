//! Messages between daemons about services, and the choice of a service's coordinator.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::name::{DaemonName, ServiceName};

/// The number of requests for one service at one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
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
    pub ago: Duration,
    /// Requests in progress.
    pub in_flight: u32,
}

/// Sends messages to the coordinators of services. Any message may be lost.
pub trait Peers: Send + Sync {
    /// Returns whether this daemon coordinates `service`.
    fn is_coordinator(&self, service: &ServiceName) -> bool;

    /// Reports to the coordinator of `service` the requests that wait and run at this daemon.
    fn wake(&self, service: &ServiceName, waiting: Waiting);

    /// Reports the use of services to their coordinators.
    fn used(&self, uses: &[ServiceUse]);

    /// Notifies the daemons that use `service` that its replica row has changed.
    fn changed(&self, service: &ServiceName);
}

/// Receives the messages of peers.
pub trait PeerListener: Send + Sync {
    /// Handles a peer's report of the requests that wait for a service.
    fn hear_demand(&self, service: &ServiceName, daemon: &DaemonName, waiting: Waiting);

    /// Handles a peer's report that it has used services.
    fn hear_use(&self, daemon: &DaemonName, uses: &[ServiceUse]);

    /// Handles a notice that the replica row of a service has changed.
    fn hear_change(&self, service: &ServiceName);
}

/// The [`Peers`] of a daemon without peers, which coordinates every service itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Alone;

impl Peers for Alone {
    fn is_coordinator(&self, _: &ServiceName) -> bool {
        true
    }

    fn wake(&self, _: &ServiceName, _: Waiting) {}

    fn used(&self, _: &[ServiceUse]) {}

    fn changed(&self, _: &ServiceName) {}
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
