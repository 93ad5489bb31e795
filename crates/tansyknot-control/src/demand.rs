//! What a daemon asks of the coordinator of a service, and who that is.

use std::time::Duration;

use tansyknot_core::name::{DaemonName, ServiceName};
use xxhash_rust::xxh3;

/// Requests of one daemon for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Requests that wait for a replica.
    pub waiting: u32,
    /// Requests that are being served.
    pub in_flight: u32,
}

/// Reaches the coordinators of services.
pub trait Peers: Send + Sync {
    /// Tells whether this daemon coordinates `service`.
    fn is_coordinator(&self, service: &ServiceName) -> bool;

    /// Tells the coordinator of `service` what this daemon has waiting. Messages may be lost.
    fn wake(&self, service: &ServiceName, waiting: Waiting);

    /// Tells the coordinator that `service` was used `ago` before now.
    fn used(&self, service: &ServiceName, ago: Duration);

    /// Tells daemons that the replica row of `service` has changed.
    fn changed(&self, service: &ServiceName);
}

/// A daemon without peers coordinates everything.
#[derive(Clone, Copy, Debug, Default)]
pub struct Alone;

impl Peers for Alone {
    fn is_coordinator(&self, _: &ServiceName) -> bool {
        true
    }

    fn wake(&self, _: &ServiceName, _: Waiting) {}

    fn used(&self, _: &ServiceName, _: Duration) {}

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
