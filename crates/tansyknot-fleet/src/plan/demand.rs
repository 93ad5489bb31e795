//! What daemons ask of models: who waits, since when, and how often models are asked for.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tansyknot_core::{clock::Time, name::TargetName};

use super::{Key, Planner};
use crate::peer::{Demand as Told, InFlight, TargetLoad};

/// A daemon that has been silent this long no longer counts.
pub const DAEMON_SPAN: Duration = Duration::from_secs(2);
/// What a daemon said of waiting requests counts this long; it repeats it while they wait.
const WAITING_SPAN: Duration = Duration::from_millis(900);
/// The time constant of the running mean of arrivals.
const RATE_SPAN_S: f64 = 6.0;

#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    pub(super) waiting: u32,
    /// Since when requests have waited without a break.
    pub(super) waiting_since: Option<Time>,
    rate: f64,
    at: Time,
}

impl Demand {
    fn decay(&mut self, now: Time) {
        self.rate *= (-now.since(self.at).as_secs_f64() / RATE_SPAN_S).exp();
        self.at = now;
    }

    fn add(&mut self, arrived: u32, now: Time) {
        self.decay(now);
        self.rate += f64::from(arrived) / RATE_SPAN_S;
    }

    pub(super) fn rate_at(&self, now: Time) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / RATE_SPAN_S).exp()
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Daemon {
    incarnation: Arc<str>,
    beat: u32,
    heard: Time,
    arrived: HashMap<Key, u32>,
    pub(super) waiting: HashMap<Key, (u16, Time)>,
    pub(super) in_flight: Vec<InFlight>,
}

impl Daemon {
    /// Takes in requests at targets: a whole that is newer, or one more part of the newest.
    fn take_in_flight(&mut self, beat: u32, in_flight: Vec<InFlight>) {
        if beat == self.beat {
            self.in_flight.extend(in_flight);
        } else if beat > self.beat {
            self.beat = beat;
            self.in_flight = in_flight;
        }
    }
}

impl Planner {
    /// Takes in what a daemon asks for, or a part of that.
    pub fn hear(&mut self, demand: Told, now: Time) {
        let known = self.daemons.entry(demand.daemon).or_default();
        if known.incarnation != demand.incarnation {
            *known = Daemon { incarnation: demand.incarnation, heard: now, ..Daemon::default() };
        }
        known.heard = now;
        known.take_in_flight(demand.beat, demand.in_flight);
        for u in &demand.models {
            let key = (u.service.clone(), u.model.clone(), u.adapter.clone());
            let before = known.arrived.insert(key.clone(), u.arrived);
            // What a daemon counted before this planner heard of it came at an unknown time.
            let arrived = match before {
                Some(before) => u.arrived.saturating_sub(before),
                None => u.arrived.min(1),
            };
            known.waiting.insert(key.clone(), (u.waiting, now));
            self.demand.entry(key).or_default().add(arrived, now);
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Time) {
        self.daemons.retain(|_, d| now.since(d.heard) < DAEMON_SPAN);
        for d in self.demand.values_mut() {
            d.waiting = 0;
        }
        for daemon in self.daemons.values_mut() {
            daemon.waiting.retain(|_, (_, at)| now.since(*at) < WAITING_SPAN);
            for (key, (waiting, _)) in &daemon.waiting {
                if let Some(d) = self.demand.get_mut(key) {
                    d.waiting += u32::from(*waiting);
                }
            }
        }
        for d in self.demand.values_mut() {
            d.waiting_since = (d.waiting > 0).then(|| d.waiting_since.unwrap_or(now));
        }
    }

    /// Returns the daemons heard of lately.
    pub fn daemons(&self) -> usize {
        self.daemons.len()
    }

    /// Returns all daemons' requests at targets.
    pub fn loads(&self) -> Vec<TargetLoad> {
        let mut sums: HashMap<TargetName, u16> = HashMap::new();
        for f in self.daemons.values().flat_map(|d| &d.in_flight) {
            let sum = sums.entry(f.target.clone()).or_default();
            *sum = sum.saturating_add(f.count);
        }
        sums.into_iter().map(|(target, requests)| TargetLoad { target, requests }).collect()
    }

    pub(super) fn rate(&self, key: &Key, now: Time) -> f64 {
        self.demand.get(key).map_or(0.0, |d| d.rate_at(now))
    }
}
