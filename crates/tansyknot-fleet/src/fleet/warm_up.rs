//! Targets that warm up: after a start, a target accepts only a low rate of requests.
//!
//! The rate holds over all daemons, so a request to such a target needs a permit, as for a target
//! that signals a rate limit.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    clock::Time,
    name::{ServiceName, TargetName},
};

use super::Fleet;
use crate::{
    backpressure::{Rate, run_state::Availability},
    catalog::{Catalog, Service},
    poison::key::RunKey,
};

/// How the targets of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUpPolicy {
    /// The requests that a target accepts from all daemons while it warms up.
    pub rate: Rate,
    /// How long a target warms up after a start.
    pub duration: Duration,
}

/// The warm-up of one run.
#[derive(Clone, Debug)]
struct WarmUp {
    service: ServiceName,
    /// Until when the run warms up by its newest entry.
    by_entry: Time,
    /// Until when the run may warm up because its zone has returned to service.
    after_drain: Time,
}

impl WarmUp {
    fn until(&self) -> Time {
        self.by_entry.max(self.after_drain)
    }
}

/// The warm-ups of all targets.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmUps {
    policies: HashMap<ServiceName, WarmUpPolicy>,
    runs: HashMap<RunKey, WarmUp>,
}

impl WarmUps {
    /// Records the time that an entry of `run` gives for the rest of its warm-up.
    pub(super) fn record_entry(
        &mut self,
        run: RunKey,
        service: &ServiceName,
        left: Duration,
        now: Time,
    ) {
        if left.is_zero() {
            if let Some(warm_up) = self.runs.get_mut(&run) {
                warm_up.by_entry = Time::default();
            }
            return;
        }
        self.warm_up(run, service).by_entry = now + left;
    }

    /// Records that the zone of `run` has returned to service.
    pub(super) fn begin_after_drain(&mut self, run: RunKey, service: &ServiceName, now: Time) {
        let Some(policy) = self.policies.get(service) else { return };
        let until = now + policy.duration;
        self.warm_up(run, service).after_drain = until;
    }

    fn warm_up(&mut self, run: RunKey, service: &ServiceName) -> &mut WarmUp {
        self.runs.entry(run).or_insert_with(|| WarmUp {
            service: service.clone(),
            by_entry: Time::default(),
            after_drain: Time::default(),
        })
    }

    /// Returns the rate that `run` accepts, if it warms up.
    pub(super) fn rate(&self, run: RunKey, now: Time) -> Option<Rate> {
        let warm_up = self.runs.get(&run)?;
        let policy = self.policies.get(&warm_up.service)?;
        (now < warm_up.until()).then_some(policy.rate)
    }

    /// Returns how much longer `run` warms up by its entry.
    pub(super) fn left_by_entry(&self, run: RunKey, now: Time) -> Duration {
        self.runs.get(&run).map_or(Duration::ZERO, |warm_up| warm_up.by_entry.since(now))
    }

    /// Returns whether no target warms up.
    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Drops warm-ups that have ended.
    pub(super) fn expire(&mut self, now: Time) {
        self.runs.retain(|_, warm_up| now < warm_up.until());
    }
}

impl Fleet {
    /// Sets how the targets of each service warm up, as a configuration states it.
    pub fn set_warm_up_policies(&mut self, catalog: &Catalog) {
        let policy =
            |(name, service): (&ServiceName, &Service)| Some((name.clone(), service.warm_up?));
        self.warm_ups.policies = catalog.services.iter().filter_map(policy).collect();
    }

    /// Returns the rate of requests that a run accepts from all daemons, if it limits them.
    pub fn rate_limit(&self, run: RunKey, now: Time) -> Option<Rate> {
        let signalled = self.backpressure.limit(run);
        lower(signalled, self.warm_ups.rate(run, now))
    }

    /// Returns the targets that limit the rate of requests.
    pub fn rate_limited(&self, now: Time) -> Vec<TargetName> {
        if self.backpressure.is_empty() && self.warm_ups.is_empty() {
            return Vec::new();
        }
        let limited = self.members.values().filter(|m| self.rate_limit(m.run, now).is_some());
        limited.map(|m| m.target.name.clone()).collect()
    }

    /// Returns whether this daemon knows a target with this run.
    pub fn has_run(&self, run: RunKey) -> bool {
        self.members.values().any(|m| m.run == run)
    }

    /// Applies the warm-up of a run to what its signals allow.
    pub(super) fn with_warm_up(
        &self,
        availability: Availability,
        run: RunKey,
        now: Time,
    ) -> Availability {
        let Some(warm_up) = self.warm_ups.rate(run, now) else { return availability };
        match availability {
            Availability::Open => Availability::Limited(warm_up),
            Availability::Limited(rate) if warm_up < rate => Availability::Limited(warm_up),
            other => other,
        }
    }
}

fn lower(a: Option<Rate>, b: Option<Rate>) -> Option<Rate> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b < a { b } else { a }),
        (a, b) => a.or(b),
    }
}
