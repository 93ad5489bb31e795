//! Daemons of a simulation that restart, freeze or lose the store, and the end of their last
//! disturbance.

use std::{ops::Range, time::Duration};

use rand::{Rng, rngs::StdRng};
use tansyknot_core::clock::Time;

use super::network::Network;

pub(crate) struct DaemonFaults {
    /// The number of restarts of each daemon.
    epochs: Vec<u64>,
    disturbed_until: Vec<Time>,
    disconnected_until: Vec<Time>,
}

impl DaemonFaults {
    pub(crate) fn new(daemons: usize) -> Self {
        Self {
            epochs: vec![0; daemons],
            disturbed_until: vec![Time::default(); daemons],
            disconnected_until: vec![Time::default(); daemons],
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.epochs.len()
    }

    pub(crate) fn epoch(&self, n: usize) -> u64 {
        self.epochs[n]
    }

    /// Returns whether a daemon has been undisturbed for `duration`.
    pub(crate) fn is_undisturbed(&self, n: usize, duration: Duration, now: Time) -> bool {
        now.since(self.disturbed_until[n]) >= duration
    }

    /// Returns the index of the daemon that is the planner.
    pub(crate) fn planner(&self, network: &Network) -> Option<usize> {
        let planner = network.planner()?.address;
        (0..self.len()).find(|n| network.nodes[*n].address == planner)
    }

    /// Restarts a daemon, or freezes or disconnects it from the store for a random time in `ms`.
    pub(crate) fn disturb(
        &mut self,
        n: usize,
        ms: Range<u64>,
        network: &mut Network,
        rng: &mut StdRng,
    ) {
        let now = network.now();
        let until = now + Duration::from_millis(rng.random_range(ms));
        match rng.random_range(0..3) {
            0 => return self.restart(n, network),
            1 => network.nodes[n].frozen_until = until,
            _ => self.disconnected_until[n] = until,
        }
        self.extend_disturbance(n, until);
    }

    pub(crate) fn restart(&mut self, n: usize, network: &mut Network) {
        network.restart(n);
        self.epochs[n] += 1;
        self.extend_disturbance(n, network.now());
    }

    pub(crate) fn restart_all(&mut self, network: &mut Network) {
        (0..self.len()).for_each(|n| self.restart(n, network));
    }

    pub(crate) fn extend_disturbance(&mut self, n: usize, until: Time) {
        self.disturbed_until[n] = self.disturbed_until[n].max(until);
    }

    /// Disconnects each daemon from the store until its disconnection ends, all of them until
    /// `all_until`.
    pub(crate) fn update_store_access(&self, all_until: Time, network: &Network) {
        let now = network.now();
        let disconnected_until = self.disconnected_until.iter().map(|until| all_until.max(*until));
        network
            .nodes
            .iter()
            .zip(disconnected_until)
            .for_each(|(node, until)| node.set_disconnected(now < until));
    }
}
