//! The health of targets, as the outcomes of this daemon's requests show it.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName},
};
use tansyknot_policy::{choice, condition::Condition};

use super::{Fleet, TargetRequirements};
use crate::{
    backoff,
    condition::ReceivedReport,
    dissemination::scheduling::{Observation, ObservedOutcome, SchedulingReport, TargetCondition},
    scheduling::TargetChoice,
};

/// How long a target is avoided after the first failure to reach it. Each further failure doubles
/// the duration.
const INITIAL_SUSPECT_DURATION: Duration = Duration::from_millis(600);
/// The longest time for which an unreachable target is avoided.
const MAX_SUSPECT_DURATION: Duration = Duration::from_secs(4);
/// How long a target is avoided after it refused a request because it was full.
const FULL_TARGET_DURATION: Duration = Duration::from_millis(250);
/// The exponent with which the load of a target is removed from the interval of its events. How much
/// load slows streams down differs between platforms. With 1, a busy target would look fast where it
/// is less than [`choice::time_factor`], and nothing would balance the loads; with 0, the cost of a
/// busy target would have its load twice.
const LOAD_CORRECTION: f64 = 0.5;
/// The weight of the newest result in the moving average of a target's failures.
const FAILURE_EWMA_WEIGHT: f64 = 0.2;

impl Fleet {
    /// Records that a target responded to a request.
    pub fn record_success(&mut self, target: &TargetName) {
        let Some(m) = self.members.get_mut(target) else { return };
        m.suspect_count = 0;
        m.suspect_until = Time::default();
        m.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT;
    }

    /// Records that a target failed a request that it ran.
    pub fn record_failure(&mut self, target: &TargetName) {
        let Some(m) = self.members.get_mut(target) else { return };
        m.failure_rate = m.failure_rate * (1.0 - FAILURE_EWMA_WEIGHT) + FAILURE_EWMA_WEIGHT;
    }

    /// Records that a target could not be reached or has become unresponsive.
    pub fn record_unreachable(&mut self, target: &TargetName, now: Time) {
        let Some(m) = self.members.get_mut(target) else { return };
        m.suspect_until = now
            + backoff::exponential(INITIAL_SUSPECT_DURATION, m.suspect_count, MAX_SUSPECT_DURATION);
        m.suspect_count += 1;
    }

    /// Ends the time for which the targets of a service are avoided after failures to reach them.
    pub fn clear_suspicion(&mut self, service: &ServiceName) {
        for m in self.members.values_mut().filter(|m| m.target.service == *service) {
            m.suspect_count = 0;
            m.suspect_until = Time::default();
        }
    }

    /// Records that a target refused a request because it is full.
    pub fn record_full(&mut self, target: &TargetName, now: Time) {
        if let Some(m) = self.members.get_mut(target) {
            m.full_until = now + FULL_TARGET_DURATION;
        }
    }

    /// Records that a target does not hold the model or adapter that a request needs.
    pub fn record_missing_model(
        &mut self,
        target: &TargetName,
        want: &TargetRequirements<'_>,
        now: Time,
    ) {
        let Some(model) = want.model else { return };
        if let Some(m) = self.members.get_mut(target) {
            m.missing_models.insert((model.clone(), want.adapter.cloned()), now);
        }
    }

    /// Records that another target has the address of `target`.
    pub fn record_replaced(&mut self, target: &TargetName, now: Time) {
        if let Some(m) = self.members.get_mut(target) {
            m.suspect_count = m.suspect_count.max(2);
            m.suspect_until = now + MAX_SUSPECT_DURATION;
        }
    }

    fn chooses_by_time(&self) -> bool {
        self.target_choice == TargetChoice::ExpectedTime
    }

    /// Records the median time between the events of a stream, or a part of one.
    pub fn observe_stream(
        &mut self,
        target: &TargetName,
        model: Option<&ModelName>,
        interval: Duration,
        now: Time,
    ) {
        let Some(m) = self.members.get(target) else { return };
        // The other requests at the target slow the stream down, too.
        let load_factor = choice::time_factor(m.load().min(1.0)).powf(LOAD_CORRECTION);
        let alone = interval.div_f64(load_factor);
        let event_interval_us = u32::try_from(alone.as_micros()).unwrap_or(u32::MAX).max(1);
        self.observe(target, model, ObservedOutcome::Stream { event_interval_us }, now);
    }

    /// Records what a request showed about its target.
    pub fn observe(
        &mut self,
        target: &TargetName,
        model: Option<&ModelName>,
        outcome: ObservedOutcome,
        now: Time,
    ) {
        let Some(m) = self.members.get(target).filter(|_| self.chooses_by_time()) else { return };
        let observation = Observation { target: target.clone(), model: model.cloned(), outcome };
        self.conditions.observe(&m.target.service, observation, self.daemon_count, now);
    }

    /// Records how long a request took that a target answered.
    pub fn record_request_time(&mut self, service: &ServiceName, duration: Duration) {
        if self.chooses_by_time() {
            self.conditions.record_request_time(service, duration);
        }
    }

    /// Returns the report of this daemon's recent observations, without waiting requests.
    pub fn observation_report(&mut self, now: Time) -> SchedulingReport {
        self.conditions.report(now)
    }

    /// Records a daemon's report of its observations, at the planner.
    pub fn record_report(&mut self, received: ReceivedReport<'_>, now: Time) {
        let members = &self.members;
        let service_of = |target: &TargetName| members.get(target).map(|m| &m.target.service);
        self.conditions.record_report(received, service_of, now);
    }

    /// Begins to announce the conditions of targets as the new planner.
    pub fn begin_announcing_conditions(&mut self, now: Time) {
        let members = &self.members;
        let service_of = |target: &TargetName| members.get(target).map(|m| &m.target.service);
        self.conditions.begin_announcing(service_of, now);
    }

    /// Returns the conditions that the planner announces with a heartbeat.
    pub fn announce_conditions(&mut self, now: Time) -> Vec<TargetCondition> {
        if self.chooses_by_time() { self.conditions.announce(now) } else { Vec::new() }
    }

    /// Records an update of the planner, with the conditions that it announces.
    pub fn receive_conditions(&mut self, conditions: &[TargetCondition], now: Time) {
        self.conditions.receive(conditions, now);
    }

    /// Returns the condition of a target as this daemon knows it.
    pub fn condition(&self, target: &TargetName, now: Time) -> Condition {
        let is_in_use = self.members.get(target).is_some_and(|m| m.load() > 0.0);
        self.conditions.condition(target, is_in_use, now)
    }

    /// Returns the slowness of targets for the placement of models, at the planner; empty if targets
    /// are not selected by time.
    pub fn placement_slowness(&self) -> HashMap<TargetName, f64> {
        if self.chooses_by_time() { self.conditions.placement_slowness() } else { HashMap::new() }
    }

    /// Returns the number of targets that are announced as slow or failing.
    pub fn slow_targets(&self, now: Time) -> usize {
        self.conditions.slow_targets(now).count()
    }
}
