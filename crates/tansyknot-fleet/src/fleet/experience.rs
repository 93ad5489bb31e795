//! What requests have shown of targets.

use std::time::Duration;

use tansyknot_core::{clock::Time, name::TargetName};

use super::{Fleet, Want};
use crate::backoff;

/// A target that could not be reached is left alone for this long at first.
const SUSPECT_FIRST: Duration = Duration::from_millis(600);
/// A target that can't be reached is left alone for this long at most.
const SUSPECT_MOST: Duration = Duration::from_secs(4);
/// A target that refused as full is left alone for this long.
const FULL_SPAN: Duration = Duration::from_millis(250);
/// The share of the newest result in a target's running mean of failures.
const FAILURE_SHARE: f64 = 0.2;

impl Fleet {
    /// Takes in that a target answered a request.
    pub fn succeeded(&mut self, target: &TargetName) {
        let Some(m) = self.members.get_mut(target) else { return };
        m.suspicions = 0;
        m.suspect_until = Time::default();
        m.failures *= 1.0 - FAILURE_SHARE;
    }

    /// Takes in that a target failed a request that it ran.
    pub fn failed(&mut self, target: &TargetName) {
        let Some(m) = self.members.get_mut(target) else { return };
        m.failures = m.failures * (1.0 - FAILURE_SHARE) + FAILURE_SHARE;
    }

    /// Takes in that a target could not be reached or has fallen silent.
    pub fn unreachable(&mut self, target: &TargetName, now: Time) {
        let Some(m) = self.members.get_mut(target) else { return };
        m.suspect_until = now + backoff::grown(SUSPECT_FIRST, m.suspicions, SUSPECT_MOST);
        m.suspicions += 1;
    }

    /// Takes in that a target refused a request because it is full.
    pub fn full(&mut self, target: &TargetName, now: Time) {
        if let Some(m) = self.members.get_mut(target) {
            m.full_until = now + FULL_SPAN;
        }
    }

    /// Takes in that a target does not hold what a request wanted.
    pub fn missing(&mut self, target: &TargetName, want: &Want<'_>, now: Time) {
        let Some(model) = want.model else { return };
        if let Some(m) = self.members.get_mut(target) {
            m.missing.insert((model.clone(), want.adapter.cloned()), now);
        }
    }

    /// Takes in that another target has the address.
    pub fn replaced(&mut self, target: &TargetName, now: Time) {
        if let Some(m) = self.members.get_mut(target) {
            m.suspicions = m.suspicions.max(2);
            m.suspect_until = now + SUSPECT_MOST;
        }
    }
}
