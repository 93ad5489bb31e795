//! Daemons of a run that start again, freeze or lose the store, and since when they are sound.

use std::{ops::Range, time::Duration};

use rand::{Rng, rngs::StdRng};
use tansyknot_core::clock::Time;

use super::network::Network;

pub(crate) struct Hosts {
    /// The run that each daemon is in.
    epochs: Vec<u64>,
    disturbed: Vec<Time>,
    cut_until: Vec<Time>,
}

impl Hosts {
    pub(crate) fn new(daemons: usize) -> Self {
        Self {
            epochs: vec![0; daemons],
            disturbed: vec![Time::default(); daemons],
            cut_until: vec![Time::default(); daemons],
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.epochs.len()
    }

    pub(crate) fn epoch(&self, n: usize) -> u64 {
        self.epochs[n]
    }

    /// Tells whether a daemon has been undisturbed for `span`.
    pub(crate) fn is_sound(&self, n: usize, span: Duration, now: Time) -> bool {
        now.since(self.disturbed[n]) >= span
    }

    /// Returns the daemon that is the planner.
    pub(crate) fn planner(&self, network: &Network) -> Option<usize> {
        let planner = network.planner()?.address;
        (0..self.len()).find(|n| network.nodes[*n].address == planner)
    }

    /// Has a daemon start again, or freeze or lose the store for as many milliseconds.
    pub(crate) fn disturb(
        &mut self,
        n: usize,
        ms: Range<u64>,
        network: &mut Network,
        rng: &mut StdRng,
    ) {
        let now = network.clock_now();
        let until = now + Duration::from_millis(rng.random_range(ms));
        match rng.random_range(0..3) {
            0 => return self.restart(n, network),
            1 => network.nodes[n].frozen_until = until,
            _ => self.cut_until[n] = until,
        }
        self.disturbed_until(n, until);
    }

    pub(crate) fn restart(&mut self, n: usize, network: &mut Network) {
        network.restart(n);
        self.epochs[n] += 1;
        self.disturbed_until(n, network.clock_now());
    }

    pub(crate) fn restart_all(&mut self, network: &mut Network) {
        (0..self.len()).for_each(|n| self.restart(n, network));
    }

    pub(crate) fn disturbed_until(&mut self, n: usize, until: Time) {
        self.disturbed[n] = self.disturbed[n].max(until);
    }

    /// Cuts daemons off from the store as long as that is to last, all of them until `all_until`.
    pub(crate) fn cut(&self, all_until: Time, network: &Network) {
        let now = network.clock_now();
        let cut_until = self.cut_until.iter().map(|until| all_until.max(*until));
        network.nodes.iter().zip(cut_until).for_each(|(node, until)| node.cut(now < until));
    }
}
