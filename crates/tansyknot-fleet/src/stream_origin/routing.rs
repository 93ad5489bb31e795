//! Since when no route of streams has been moved to each service.
//!
//! A stream whose origin nobody knows may have begun at another service than the one to which its route
//! leads now.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use tansyknot_core::{clock::Time, name::ServiceName};

/// Digests of the routes of streams that lead to each service.
pub type RouteDigests = BTreeMap<ServiceName, u64>;

/// The routes of streams of the configuration in force, and when one was last moved.
#[derive(Debug, Default)]
pub struct RoutingHistory {
    in_force: Option<RouteDigests>,
    moved_at: HashMap<ServiceName, Time>,
    /// What the last planner had in force when this daemon started, until the daemon has a configuration.
    inherited: Option<RouteDigests>,
    /// Whether the planner's row has been read.
    has_read_row: bool,
}

impl RoutingHistory {
    /// Records that a configuration with these routes is in force.
    pub fn put_in_force(&mut self, digests: RouteDigests, now: Time) {
        let before = self.in_force.take().or(self.inherited.take());
        if let Some(before) = before {
            self.record_changes(&before, &digests, now);
        }
        self.in_force = Some(digests);
    }

    /// Records what the planner's row says at this daemon's start, if it names the routes. Later rows are
    /// ignored.
    pub fn inherit(&mut self, digests: Option<RouteDigests>, now: Time) {
        if std::mem::replace(&mut self.has_read_row, true) {
            return;
        }
        match (digests, self.in_force.clone()) {
            (Some(digests), Some(in_force)) => self.record_changes(&digests, &in_force, now),
            (digests, _) => self.inherited = digests,
        }
    }

    /// Returns for how long no route is known to have been moved to a service; `None` if none is known to
    /// have been moved there.
    pub fn unchanged_for(&self, service: &ServiceName, now: Time) -> Option<Duration> {
        self.moved_at.get(service).map(|at| now.since(*at))
    }

    /// Returns the routes of the configuration in force, if there is one.
    pub fn in_force(&self) -> Option<RouteDigests> {
        self.in_force.clone()
    }

    /// Records the services to which a route may have been moved. A route that is added or removed alone
    /// changes those of one service; one that is moved changes those of another service as well.
    fn record_changes(&mut self, before: &RouteDigests, after: &RouteDigests, now: Time) {
        let services: BTreeSet<&ServiceName> = before.keys().chain(after.keys()).collect();
        let is_changed = |service: &&ServiceName| before.get(*service) != after.get(*service);
        let changed: Vec<&ServiceName> = services.into_iter().filter(is_changed).collect();
        if changed.len() > 1 {
            self.moved_at.extend(changed.into_iter().map(|service| (service.clone(), now)));
        }
    }
}
