//! What daemons tell each other about services, and who coordinates which.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::name::{DaemonName, ServiceName};

/// Requests of one daemon for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Requests that are being served.
    pub in_flight: u32,
}

/// The use of one service by one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceUse {
    /// The service.
    pub service: ServiceName,
    /// How long ago it was last used.
    pub ago: Duration,
    /// Requests that are being served.
    pub in_flight: u32,
}

/// Reaches the coordinators of services. Every message may be lost.
pub trait Peers: Send + Sync {
    /// Tells whether this daemon coordinates `service`.
    fn is_coordinator(&self, service: &ServiceName) -> bool;

    /// Tells the coordinator of `service` what this daemon has waiting.
    fn wake(&self, service: &ServiceName, waiting: Waiting);

    /// Tells the coordinators of services that they were used.
    fn used(&self, uses: &[ServiceUse]);

    /// Tells the daemons that use `service` that its replica row has changed.
    fn changed(&self, service: &ServiceName);
}

/// Takes in what peers say.
pub trait PeerListener: Send + Sync {
    /// A peer has requests waiting for a service.
    fn hear_demand(&self, service: &ServiceName, daemon: &DaemonName, waiting: Waiting);

    /// A peer has used services.
    fn hear_use(&self, daemon: &DaemonName, uses: &[ServiceUse]);

    /// The replica row of a service has changed.
    fn hear_change(&self, service: &ServiceName);
}

/// A daemon without peers coordinates everything.
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

/// Returns the coordinator of `service` among `daemons`: the highest rendezvous hash.
///
/// Two daemons whose views of the membership differ may both act; the table arbitrates.
pub fn coordinator<'a>(
    service: &ServiceName,
    daemons: impl Iterator<Item = &'a DaemonName>,
) -> Option<&'a DaemonName> {
    let seed = xxh3::xxh3_64(service.as_str().as_bytes());
    daemons.max_by_key(|d| (xxh3::xxh3_64_with_seed(d.as_str().as_bytes(), seed), *d))
}
