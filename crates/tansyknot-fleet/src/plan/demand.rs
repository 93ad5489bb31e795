//! What daemons ask of models: who waits, since when, and how often models are asked for.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, TargetName},
};

use super::{Key, Planner};
use crate::peer::{InFlight, ModelUse};

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
    heard: Time,
    arrived: HashMap<Key, u32>,
    pub(super) waiting: HashMap<Key, (u16, Time)>,
    pub(super) in_flight: Vec<InFlight>,
}

impl Planner {
    /// Takes in what a daemon asks for.
    pub fn hear(
        &mut self,
        daemon: &Arc<str>,
        incarnation: &Arc<str>,
        uses: &[ModelUse],
        in_flight: Vec<InFlight>,
        now: Time,
    ) {
        let known = self.daemons.entry(Arc::clone(daemon)).or_default();
        let is_first = known.incarnation != *incarnation;
        if is_first {
            *known =
                Daemon { incarnation: Arc::clone(incarnation), heard: now, ..Daemon::default() };
        }
        known.heard = now;
        known.in_flight = in_flight;
        for u in uses {
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
    pub fn in_flight(&self) -> Vec<InFlight> {
        let mut sums: HashMap<(TargetName, Option<ModelName>), u16> = HashMap::new();
        for f in self.daemons.values().flat_map(|d| &d.in_flight) {
            *sums.entry((f.target.clone(), f.model.clone())).or_default() += f.count;
        }
        let all = sums.into_iter();
        all.map(|((target, model), count)| InFlight { target, model, count }).collect()
    }

    pub(super) fn rate(&self, key: &Key, now: Time) -> f64 {
        self.demand.get(key).map_or(0.0, |d| d.rate_at(now))
    }
}
