//! Demand for models as reported by daemons: waiting requests, since when they wait, and arrival
//! rates.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{clock::Time, name::TargetName};
use tansyknot_policy::copies::Arrivals;

use super::{Planner, rate_mean::RateMean};
use crate::dissemination::message::{Demand as DemandReport, DemandKey, InFlight, TargetLoad};

/// A daemon that has sent no message for this long no longer counts.
pub const DAEMON_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a daemon's report of waiting requests is valid. The daemon repeats it while they wait.
const WAITING_REPORT_TTL: Duration = Duration::from_millis(900);
/// The time constant of the slow mean of arrivals, in seconds. Rare models are requested every 3 s.
pub(super) const SLOW_TIME_CONSTANT_S: f64 = 6.0;
/// The time constant, in seconds, of a fast mean that bounds the slow one, so that demand that
/// moves to other models is seen within one or two seconds. Without it, unneeded copies stay for
/// about 10 s, which costs 0.013 of the requests' worth.
const FAST_TIME_CONSTANT_S: f64 = 1.0;
/// How far the slow mean may lie from the fast one, in standard deviations of the fast one.
const MAX_FAST_DEVIATIONS: f64 = 2.0;

#[derive(Clone, Debug)]
pub(super) struct Demand {
    /// When each waiting request was first reported, the oldest first.
    waiting_since: VecDeque<Time>,
    slow: RateMean,
    fast: RateMean,
}

impl Default for Demand {
    fn default() -> Self {
        let (slow, fast) = (
            RateMean::with_time_constant(SLOW_TIME_CONSTANT_S),
            RateMean::with_time_constant(FAST_TIME_CONSTANT_S),
        );
        Self { waiting_since: VecDeque::new(), slow, fast }
    }
}

impl Demand {
    fn add(&mut self, arrived: u32, now: Time) {
        self.slow.add(arrived, now);
        self.fast.add(arrived, now);
    }

    /// Records that the waiting requests of a daemon changed from `before` to `after`.
    fn change_waiting(&mut self, before: u16, after: u16, now: Time) {
        let others = self.waiting().saturating_sub(before.into());
        self.set_waiting(others + u32::from(after), now);
    }

    /// Sets the number of waiting requests. Those that have waited longest are removed first, as a
    /// load serves all of them and callers leave in order of arrival.
    fn set_waiting(&mut self, count: u32, now: Time) {
        let count = count as usize;
        let excess = self.waiting_since.len().saturating_sub(count);
        self.waiting_since.drain(..excess);
        self.waiting_since.resize(count, now);
    }

    /// Returns how many requests wait.
    pub(super) fn waiting(&self) -> u32 {
        self.waiting_since.len() as u32
    }

    /// Returns how many requests have waited for less than `max_age`.
    pub(super) fn waiting_within(&self, max_age: Duration, now: Time) -> u32 {
        let is_within = |since: &&Time| now.since(**since) < max_age;
        self.waiting_since.iter().rev().take_while(is_within).count() as u32
    }

    /// Returns how long the oldest request has waited; zero if none waits.
    pub(super) fn longest_wait(&self, now: Time) -> Duration {
        self.waiting_since.front().map_or(Duration::ZERO, |since| now.since(*since))
    }

    /// Returns the arrivals per second: the slow mean, bounded by the fast one.
    pub(super) fn rate_at(&self, now: Time) -> f64 {
        let fast = self.fast.rate_at(now);
        // Random (Poisson) arrivals have a variance equal to their expected number.
        let deviation =
            (fast.max(1.0 / FAST_TIME_CONSTANT_S) / (2.0 * FAST_TIME_CONSTANT_S)).sqrt();
        let margin = MAX_FAST_DEVIATIONS * deviation;
        self.slow.rate_at(now).clamp((fast - margin).max(0.0), fast + margin)
    }

    /// Returns the arrivals per second over a long time.
    pub(super) fn slow_rate_at(&self, now: Time) -> f64 {
        self.slow.rate_at(now)
    }

    /// Returns the arrivals per second that are expected after `ahead`: more than
    /// [`Demand::rate_at`] if demand rises.
    pub(super) fn expected_rate(&self, ahead: Duration, now: Time) -> f64 {
        let arrivals = Arrivals {
            fast: self.fast.rate_at(now),
            fast_time_constant_s: FAST_TIME_CONSTANT_S,
            slow: self.slow.rate_at(now),
            slow_time_constant_s: SLOW_TIME_CONSTANT_S,
        };
        arrivals.expected_rate(self.rate_at(now), ahead)
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Daemon {
    incarnation: Arc<str>,
    seq: u32,
    last_seen: Time,
    arrived: HashMap<DemandKey, u32>,
    pub(super) waiting: HashMap<DemandKey, (u16, Time)>,
    pub(super) in_flight: Vec<InFlight>,
}

impl Daemon {
    fn is_unresponsive(&self, now: Time) -> bool {
        now.since(self.last_seen) >= DAEMON_TIMEOUT
    }

    /// Records requests at targets: a newer report replaces the recorded one, and a further part of
    /// the newest report adds to it.
    fn update_in_flight(&mut self, seq: u32, in_flight: Vec<InFlight>) {
        if seq == self.seq {
            self.in_flight.extend(in_flight);
        } else if seq > self.seq {
            self.seq = seq;
            self.in_flight = in_flight;
        }
    }
}

impl Planner {
    /// Records a daemon's report of its demand, or a part of one.
    pub fn record_demand(&mut self, report: DemandReport, now: Time) {
        let Self { daemons, demand: totals, .. } = self;
        let daemon = daemons.entry(report.daemon).or_default();
        if daemon.incarnation != report.incarnation {
            for (key, (before, _)) in daemon.waiting.drain() {
                totals.entry(key).or_default().change_waiting(before, 0, now);
            }
            *daemon =
                Daemon { incarnation: report.incarnation, last_seen: now, ..Daemon::default() };
        }
        daemon.last_seen = now;
        daemon.update_in_flight(report.seq, report.in_flight);
        for u in &report.models {
            let key = u.key.clone();
            let before = daemon.arrived.insert(key.clone(), u.arrived);
            // Arrivals that a daemon counted before its first report to this planner came at
            // unknown times.
            let arrived = match before {
                Some(before) => u.arrived.saturating_sub(before),
                None => u.arrived.min(1),
            };
            let waiting_before = daemon.waiting.insert(key.clone(), (u.waiting, now));
            let waiting_before = waiting_before.map_or(0, |(waiting, _)| waiting);
            let total = totals.entry(key).or_default();
            total.add(arrived, now);
            total.change_waiting(waiting_before, u.waiting, now);
        }
        if self.daemons.values().any(|d| d.is_unresponsive(now)) {
            self.expire(now);
        }
    }

    /// Drops expired reports. This runs once per round and not for each report: 295 daemons send
    /// about 1,500 reports per second, and each run visits the data of all daemons.
    pub(super) fn expire(&mut self, now: Time) {
        self.daemons.retain(|_, d| !d.is_unresponsive(now));
        let mut sums: HashMap<&DemandKey, u32> = HashMap::new();
        for daemon in self.daemons.values_mut() {
            daemon.waiting.retain(|_, (_, at)| now.since(*at) < WAITING_REPORT_TTL);
            for (key, (waiting, _)) in &daemon.waiting {
                *sums.entry(key).or_default() += u32::from(*waiting);
            }
        }
        for (key, d) in &mut self.demand {
            d.set_waiting(sums.get(key).copied().unwrap_or(0), now);
        }
    }

    /// Returns the number of daemons that have reported recently.
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns all daemons' requests at targets.
    pub fn loads(&self) -> Vec<TargetLoad> {
        let mut sums: HashMap<TargetName, (u16, u32)> = HashMap::new();
        for f in self.daemons.values().flat_map(|d| &d.in_flight) {
            let (requests, tokens) = sums.entry(f.target.clone()).or_default();
            *requests = requests.saturating_add(f.count);
            *tokens = tokens.saturating_add(f.tokens);
        }
        sums.into_iter()
            .map(|(target, (requests, tokens))| TargetLoad { target, requests, tokens })
            .collect()
    }

    pub(super) fn rate(&self, key: &DemandKey, now: Time) -> f64 {
        self.demand.get(key).map_or(0.0, |d| d.rate_at(now))
    }
}
