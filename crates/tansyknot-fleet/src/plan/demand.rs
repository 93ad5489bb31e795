//! What daemons ask of models: who waits, since when, and how often models are asked for.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{clock::Time, name::TargetName};

use super::{Key, Planner, mean::Mean};
use crate::dissemination::message::{Demand as Told, InFlight, TargetLoad};

/// A daemon that has been silent this long no longer counts.
pub const DAEMON_SPAN: Duration = Duration::from_secs(2);
/// What a daemon said of waiting requests counts this long; it repeats it while they wait.
const WAITING_SPAN: Duration = Duration::from_millis(900);
/// The time constant of the running mean of arrivals, in seconds: rare models of the users' sites
/// are asked for every 3 s.
const RATE_SPAN_S: f64 = 6.0;
/// The time constant of a second mean, in seconds, which bounds the first one, so that demand that
/// moves to other models is seen in a second or two; without it copies stayed some 10 s: 0.013 of
/// worth over 30 days (docs/ACCOUNT.md).
const FAST_SPAN_S: f64 = 1.0;
/// Standard deviations of the second mean that the first one may lie beside it.
const FAST_DEVIATIONS: f64 = 2.0;

#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// When each request that waits was first heard of, the oldest first.
    waiting: VecDeque<Time>,
    slow: Mean,
    fast: Mean,
}

impl Default for Demand {
    fn default() -> Self {
        let (slow, fast) = (Mean::over(RATE_SPAN_S), Mean::over(FAST_SPAN_S));
        Self { waiting: VecDeque::new(), slow, fast }
    }
}

impl Demand {
    fn add(&mut self, arrived: u32, now: Time) {
        self.slow.add(arrived, now);
        self.fast.add(arrived, now);
    }

    /// Takes in that a daemon has `after` requests that wait, which had `before`.
    fn change_waiting(&mut self, before: u16, after: u16, now: Time) {
        let others = self.waiting().saturating_sub(before.into());
        self.set_waiting(others + u32::from(after), now);
    }

    /// Takes in how many requests wait now. Those that have waited longest leave first, as a load
    /// serves all of them and callers leave in the order in which they came.
    fn set_waiting(&mut self, count: u32, now: Time) {
        let count = count as usize;
        let gone = self.waiting.len().saturating_sub(count);
        self.waiting.drain(..gone);
        self.waiting.resize(count, now);
    }

    /// Returns how many requests wait.
    pub(super) fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns how many of them have waited for less than `span`.
    pub(super) fn waiting_within(&self, span: Duration, now: Time) -> u32 {
        let is_within = |since: &&Time| now.since(**since) < span;
        self.waiting.iter().rev().take_while(is_within).count() as u32
    }

    /// Returns how long the first of them has waited; zero if there is none.
    pub(super) fn waited(&self, now: Time) -> Duration {
        self.waiting.front().map_or(Duration::ZERO, |since| now.since(*since))
    }

    /// Returns arrivals a second: the slow mean, unless the fast one shows that it has moved.
    pub(super) fn rate_at(&self, now: Time) -> f64 {
        let fast = self.fast.at(now);
        // Arrivals that come at random vary as their number does.
        let deviation = (fast.max(1.0 / FAST_SPAN_S) / (2.0 * FAST_SPAN_S)).sqrt();
        let beside = FAST_DEVIATIONS * deviation;
        self.slow.at(now).clamp((fast - beside).max(0.0), fast + beside)
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
    fn is_silent(&self, now: Time) -> bool {
        now.since(self.heard) >= DAEMON_SPAN
    }

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
        let Self { daemons, demand: wanted, .. } = self;
        let known = daemons.entry(demand.daemon).or_default();
        if known.incarnation != demand.incarnation {
            for (key, (before, _)) in known.waiting.drain() {
                wanted.entry(key).or_default().change_waiting(before, 0, now);
            }
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
            let waited = known.waiting.insert(key.clone(), (u.waiting, now));
            let waited = waited.map_or(0, |(waiting, _)| waiting);
            let of_all = wanted.entry(key).or_default();
            of_all.add(arrived, now);
            of_all.change_waiting(waited, u.waiting, now);
        }
        if self.daemons.values().any(|d| d.is_silent(now)) {
            self.forget(now);
        }
    }

    /// Drops what was said too long ago. Once a round and not with each demand: 295 daemons send
    /// some 1500 a second, and this goes over what all of them said.
    pub(super) fn forget(&mut self, now: Time) {
        self.daemons.retain(|_, d| !d.is_silent(now));
        let mut sums: HashMap<&Key, u32> = HashMap::new();
        for daemon in self.daemons.values_mut() {
            daemon.waiting.retain(|_, (_, at)| now.since(*at) < WAITING_SPAN);
            for (key, (waiting, _)) in &daemon.waiting {
                *sums.entry(key).or_default() += u32::from(*waiting);
            }
        }
        for (key, d) in &mut self.demand {
            d.set_waiting(sums.get(key).copied().unwrap_or(0), now);
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
