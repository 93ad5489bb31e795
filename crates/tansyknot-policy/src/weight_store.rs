//! How many loads from the weight store run at full speed, as the durations of loads show it, and
//! whether another load may start.
//!
//! If more loads run than the store supports, all of them slow down proportionally. The durations
//! of loads that ran beside others therefore show both that a number runs at full speed and that a
//! number does not. The tolerances below let it tell up to six loads at full speed from one fewer;
//! if the store supports more, seven run at most.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyknot_core::{clock::Time, name::TargetName};

/// A load that took at most this multiple of its nominal duration ran at full speed. The end of a
/// load is noticed up to 0.4 s late, and a load takes 10 s or more.
const ON_TIME_FACTOR: f64 = 1.15;
/// A load that still runs after this multiple of its nominal duration is slowed down.
const OVERDUE_FACTOR: f64 = 1.25;
/// Loads at full speed by a hypothesis under which a load would have done less than this share of
/// its work when it ended are too few.
const REFUTED_PROGRESS: f64 = 0.85;
/// Loads at full speed by a hypothesis under which a load would have done more than this multiple
/// of its work are too many. The margin covers the delay until the end of a load is noticed.
const MAX_PROGRESS: f64 = 1.1;
/// The largest capacity that is taken over from another observer.
const MAX_CAPACITY: u16 = 64;
/// How long a number of loads counts as too many. Then one further load is tried, as the store may
/// have become faster, or a slow target may have been the reason.
const SLOW_EVIDENCE_TTL: Duration = Duration::from_secs(300);

/// How many loads are known to run at full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// The largest number of concurrent loads that has been seen at full speed.
    pub full_speed: u16,
    /// The smallest number that has been seen to be slower; `None` if none has.
    pub slow: Option<u16>,
}

impl Default for Capacity {
    fn default() -> Self {
        Self { full_speed: 1, slow: None }
    }
}

/// A load that is considered for the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadRequest {
    /// How long it takes at full speed.
    pub nominal: Duration,
    /// How long the requests for the model can wait.
    pub max_wait: Duration,
    /// Whether a target holds the model.
    pub has_copy: bool,
    /// Whether models of which no target has a copy wait for loads from the weight store.
    pub others_wait: bool,
    /// Loads that run, or are about to begin.
    pub running: usize,
}

/// A running load.
#[derive(Clone, Debug)]
struct Load {
    target: TargetName,
    nominal: Duration,
    started_at: Time,
    /// The seconds that it has run while one, two and more loads ran, including itself.
    seconds_beside: Vec<f64>,
    /// Whether all loads that ran beside it are known.
    is_observed: bool,
}

impl Load {
    /// Returns the share of its work that it would have done if `capacity` loads ran at full speed.
    fn progress(&self, capacity: u16) -> f64 {
        let speed = |running: usize| (f64::from(capacity) / running as f64).min(1.0);
        let done_s: f64 =
            self.seconds_beside.iter().enumerate().map(|(i, s)| s * speed(i + 1)).sum();
        done_s / self.nominal.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn most_beside(&self) -> u16 {
        self.seconds_beside.len().try_into().unwrap_or(u16::MAX)
    }

    fn takes_over(&self, factor: f64, now: Time) -> bool {
        now.since(self.started_at) > self.nominal.mul_f64(factor)
    }

    /// Returns the number of loads that its duration shows to run at full speed, if it has ended at
    /// `now`.
    fn full_speed_evidence(&self, now: Time) -> Option<u16> {
        if !self.is_observed || self.takes_over(ON_TIME_FACTOR, now) {
            return None;
        }
        (2..=self.most_beside()).rev().find(|n| self.progress(n - 1) <= REFUTED_PROGRESS)
    }

    /// Returns the largest number of loads that may run at full speed, if the load has taken
    /// `min_factor` times its nominal duration and this shows one. A load that takes longer than if
    /// one load alone ran at full speed has another problem.
    fn slow_evidence(&self, min_factor: f64, now: Time) -> Option<u16> {
        let is_explained = self.progress(1) <= OVERDUE_FACTOR;
        if !self.is_observed || !self.takes_over(min_factor, now) || !is_explained {
            return None;
        }
        let max = (1..=self.most_beside()).rev().find(|n| self.progress(*n) <= MAX_PROGRESS);
        Some(max.unwrap_or(1)).filter(|max| *max < self.most_beside())
    }
}

/// The loads from the weight store that run, and what earlier ones have shown.
#[derive(Clone, Debug, Default)]
pub struct WeightStore {
    loads: Vec<Load>,
    capacity: Capacity,
    slow_seen_at: Time,
    as_of: Time,
}

impl WeightStore {
    /// Continues with what another observer has found.
    pub fn set_capacity(&mut self, capacity: Capacity, now: Time) {
        let full_speed = capacity.full_speed.clamp(1, MAX_CAPACITY);
        let slow = capacity.slow.filter(|slow| *slow > full_speed);
        self.capacity = Capacity { full_speed, slow };
        self.slow_seen_at = now;
    }

    /// Records that a load begins at a target, which takes `nominal` at full speed.
    pub fn begin(&mut self, target: &TargetName, nominal: Duration, now: Time) {
        self.insert(target, nominal, now, true, now);
    }

    /// Records a load that another observer has seen begin at `started_at` and expects to take
    /// `duration`. It is counted but shows nothing, as the loads that ran beside it are not known.
    pub fn adopt(&mut self, target: &TargetName, duration: Duration, started_at: Time, now: Time) {
        self.insert(target, duration, started_at, false, now);
    }

    fn insert(
        &mut self,
        target: &TargetName,
        nominal: Duration,
        started_at: Time,
        is_observed: bool,
        now: Time,
    ) {
        self.remove(target, now);
        let (target, seconds_beside) = (target.clone(), Vec::new());
        self.loads.push(Load { target, nominal, started_at, seconds_beside, is_observed });
    }

    /// Records that the load at a target has completed.
    pub fn complete(&mut self, target: &TargetName, now: Time) {
        let Some(load) = self.remove(target, now) else { return };
        if let Some(full_speed) = load.full_speed_evidence(now) {
            self.capacity.full_speed = self.capacity.full_speed.max(full_speed);
            self.capacity.slow = self.capacity.slow.filter(|slow| *slow > full_speed);
        }
        if let Some(max) = load.slow_evidence(ON_TIME_FACTOR, now) {
            self.capacity =
                Capacity { full_speed: self.capacity.full_speed.min(max), slow: Some(max + 1) };
            self.slow_seen_at = now;
        }
    }

    /// Drops the load at a target, which shows nothing; returns it.
    fn remove(&mut self, target: &TargetName, now: Time) -> Option<Load> {
        self.advance(now);
        let index = self.loads.iter().position(|load| load.target == *target)?;
        Some(self.loads.swap_remove(index))
    }

    /// Drops the load at a target that has failed or whose target has left.
    pub fn discard(&mut self, target: &TargetName, now: Time) {
        self.remove(target, now);
    }

    /// Counts the time until `now` for the running loads. Called before decisions.
    pub fn advance(&mut self, now: Time) {
        let (running, elapsed_s) = (self.loads.len(), now.since(self.as_of).as_secs_f64());
        for load in &mut self.loads {
            load.seconds_beside.resize(load.seconds_beside.len().max(running), 0.0);
            load.seconds_beside[running - 1] += elapsed_s;
        }
        self.as_of = self.as_of.max(now);
    }

    /// Returns the number of running loads.
    pub fn running(&self) -> usize {
        self.loads.len()
    }

    /// Returns what is known of the number of loads at full speed, including what loads show that
    /// are overdue now.
    pub fn capacity(&self) -> Capacity {
        let capacity = self.capacity;
        match self.overdue_evidence() {
            Some(max) => Capacity {
                full_speed: capacity.full_speed.min(max),
                slow: Some(capacity.slow.unwrap_or(u16::MAX).min(max + 1)),
            },
            None => capacity,
        }
    }

    /// Returns the largest number of loads that may run at full speed, if running loads are overdue.
    fn overdue_evidence(&self) -> Option<u16> {
        self.loads.iter().filter_map(|load| load.slow_evidence(OVERDUE_FACTOR, self.as_of)).min()
    }

    /// Returns how long a load that takes `nominal` at full speed takes beside `others`.
    pub fn expected_duration(&self, nominal: Duration, others: usize) -> Duration {
        let running = (others + 1) as f64;
        nominal.mul_f64((running / f64::from(self.capacity().full_speed)).max(1.0))
    }

    /// Returns when the load at a target should end, if the number of loads stays as it is.
    pub fn expected_end(&self, target: &TargetName) -> Option<Time> {
        let load = self.loads.iter().find(|load| load.target == *target)?;
        if !load.is_observed {
            return Some(load.started_at + load.nominal);
        }
        let others = self.loads.len() - 1;
        Some(load.started_at + self.expected_duration(load.nominal, others))
    }

    /// Returns whether a load may start now.
    pub fn may_start(&self, request: &LoadRequest) -> bool {
        if request.running >= self.max_loads() || (request.has_copy && request.others_wait) {
            return false;
        }
        let duration = self.expected_duration(request.nominal, request.running);
        !request.has_copy || duration <= request.max_wait
    }

    /// Returns the number of loads that may run: those known to run at full speed, and one more if
    /// nothing shows that this is too many.
    fn max_loads(&self) -> usize {
        let Capacity { full_speed, slow } = self.capacity();
        let is_recent = self.as_of.since(self.slow_seen_at) < SLOW_EVIDENCE_TTL;
        let is_evident = is_recent || self.overdue_evidence().is_some();
        let is_known_slow = slow == Some(full_speed + 1) && is_evident;
        usize::from(full_speed) + usize::from(!is_known_slow)
    }
}
