//! The health of targets, as the outcomes of this daemon's requests show it.

use std::time::Duration;

use tansyknot_core::{clock::Time, name::TargetName};

use super::{Fleet, TargetRequirements};
use crate::backoff;

/// How long a target is avoided after the first failure to reach it. Each further failure doubles
/// the duration.
const INITIAL_SUSPECT_DURATION: Duration = Duration::from_millis(600);
/// The longest time for which an unreachable target is avoided.
const MAX_SUSPECT_DURATION: Duration = Duration::from_secs(4);
/// How long a target is avoided after it refused a request because it was full.
const FULL_TARGET_DURATION: Duration = Duration::from_millis(250);
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
}
