//! Free slots and the places beyond them, and the service times that bound the latter.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName},
};

use super::{Fleet, TargetRequirements, member::Member};
use crate::{
    admission::Capacity, dissemination::heartbeat::HEARTBEAT_INTERVAL, estimate::Estimate,
    scheduling::Admission,
};

/// The relative load that a target may have beyond its slots if admission is unordered, or if no
/// service time is known; it queues a few requests.
const MAX_OVERFILL: f64 = 1.0;
/// The minimum number of requests that a target may have beyond its slots if admission is ordered.
/// Without them, a slot is idle from the end of its request until the next one arrives.
const MIN_EXCESS: f64 = 1.0;
/// A model's own service time is used from this number of observations on; before, that of its
/// service is used.
const MIN_OBSERVATIONS: u32 = 3;

/// Free places at the targets that can serve a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreePlaces {
    /// Free slots.
    pub slots: u32,
    /// All free places, including those beyond the slots.
    pub total: u32,
}

/// The times for which requests have occupied slots.
#[derive(Debug, Default)]
pub(super) struct ServiceTimes {
    of_services: HashMap<ServiceName, Estimate>,
    of_models: HashMap<(ServiceName, Option<ModelName>), (u32, Estimate)>,
}

impl ServiceTimes {
    fn observe(&mut self, want: &TargetRequirements<'_>, took: Duration) {
        self.of_services.entry(want.service.clone()).or_default().observe(took);
        let key = (want.service.clone(), want.model.cloned());
        let (observations, estimate) = self.of_models.entry(key).or_default();
        *observations = observations.saturating_add(1);
        estimate.observe(took);
    }

    fn mean(&self, want: &TargetRequirements<'_>) -> Option<Duration> {
        let of_model = self.of_models.get(&(want.service.clone(), want.model.cloned()));
        let of_model = of_model.filter(|(observations, _)| *observations >= MIN_OBSERVATIONS);
        let estimate = of_model.map(|(_, estimate)| estimate);
        estimate.or_else(|| self.of_services.get(want.service)).and_then(Estimate::mean)
    }
}

impl Fleet {
    /// Sets how requests that wait for a slot are admitted.
    pub fn set_admission(&mut self, admission: Admission) {
        self.admission = admission;
    }

    /// Records for how long a request has occupied a slot.
    pub fn observe_service_time(&mut self, want: &TargetRequirements<'_>, took: Duration) {
        self.service_times.observe(want, took);
    }

    /// Returns for how long a request is expected to occupy a slot, if that is known.
    pub fn expected_service_time(&self, want: &TargetRequirements<'_>) -> Option<Duration> {
        self.service_times.mean(want)
    }

    /// Returns the slots of the targets that hold what a request needs, and how long requests occupy
    /// them; `None` if no service time is known.
    pub fn capacity(&self, want: &TargetRequirements<'_>, now: Time) -> Option<Capacity> {
        let service_time = self.service_times.mean(want)?;
        let slots = self.holding(want, now).map(|m| m.target.slots).sum();
        Some(Capacity { slots, service_time })
    }

    /// Returns the free places at the targets that hold what a request needs.
    pub fn free_places(&self, want: &TargetRequirements<'_>, now: Time) -> FreePlaces {
        let service_time = self.service_times.mean(want);
        let mut free = FreePlaces::default();
        for m in self.holding(want, now).filter(|m| now >= m.full_until && m.gets_requests(now)) {
            if let Some(places) = self.brittle_places(m, now) {
                free.slots += places;
                free.total += places;
                continue;
            }
            let requests = m.own_requests() + m.other_requests;
            let slots = m.target.slots;
            let places = self.max_requests(m, service_time).ceil() as u32;
            free.slots += slots.saturating_sub(requests);
            free.total += places.saturating_sub(requests);
        }
        free
    }

    /// Returns whether a target may get another request, by the number of those that it has.
    pub(super) fn has_place(&self, m: &Member, service_time: Option<Duration>, now: Time) -> bool {
        if let Some(places) = self.brittle_places(m, now) {
            return places > 0;
        }
        f64::from(m.own_requests() + m.other_requests) < self.max_requests(m, service_time)
    }

    /// Returns the service time that bounds the requests of a kind beyond the slots of a target;
    /// `None` if the bound is a share of the slots.
    pub(super) fn bounding_service_time(&self, want: &TargetRequirements<'_>) -> Option<Duration> {
        match self.admission {
            Admission::Unordered => None,
            Admission::Ordered => self.service_times.mean(want),
        }
    }

    /// Returns the maximum number of requests at a target. Beyond its slots, these are as many as it
    /// begins within a heartbeat: the ends of other daemons' requests are known after one, and until
    /// then its slots stay busy.
    fn max_requests(&self, m: &Member, service_time: Option<Duration>) -> f64 {
        let slots = f64::from(m.target.slots.max(1));
        let Some(service_time) = service_time else { return slots * (1.0 + MAX_OVERFILL) };
        let heartbeats = HEARTBEAT_INTERVAL.as_secs_f64() / service_time.as_secs_f64().max(1e-3);
        slots + (slots * heartbeats).clamp(MIN_EXCESS, slots * MAX_OVERFILL)
    }
}
