//! The mean time that requests for a model spend at a target, by Little's law.

use std::collections::HashMap;

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName},
};

use super::{
    demand::SLOW_TIME_CONSTANT_S,
    round::{REQUEST_TIME_BOUNDS_S, Round},
};

/// The requests that the mean time over all models of a service counts for in the mean of one
/// model: the mean of a few requests is unreliable.
const PRIOR_REQUESTS: f64 = 3.0;
/// A mean below this number of requests is dropped. It has no effect beside [`PRIOR_REQUESTS`].
const MIN_MEAN_IN_FLIGHT: f64 = 1e-3;

/// The mean number of requests in flight for each model, over the same time as the slow mean of its
/// arrivals.
#[derive(Debug, Default)]
pub(super) struct InFlightMeans {
    means: HashMap<(ServiceName, ModelName), f64>,
    /// When the means of a service were last updated.
    as_of: HashMap<ServiceName, Time>,
}

impl InFlightMeans {
    /// Drops all means.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds the requests that a round over all zones of a service sees in flight.
    pub(super) fn observe(&mut self, round: &Round<'_>) {
        let (service, now) = (round.scope.service, round.scope.now);
        let Some(before) = self.as_of.insert(service.clone(), now) else { return };
        let kept = (-now.since(before).as_secs_f64() / SLOW_TIME_CONSTANT_S).exp();
        self.means.iter_mut().filter(|((s, _), _)| s == service).for_each(|(_, m)| *m *= kept);
        for (model, view) in round.models().filter(|(_, view)| view.in_flight > 0) {
            let mean = self.means.entry((service.clone(), model.clone())).or_default();
            *mean += f64::from(view.in_flight) * (1.0 - kept);
        }
        self.means.retain(|_, mean| *mean > MIN_MEAN_IN_FLIGHT);
    }

    /// Returns the mean time of a request for a model at a target, in seconds, where `slow_rate`
    /// are the model's arrivals per second over a long time and `usual_s` is the mean over all
    /// models.
    pub(super) fn request_time_s(
        &self,
        service: &ServiceName,
        model: &ModelName,
        slow_rate: f64,
        usual_s: f64,
    ) -> f64 {
        let mean = self.means.get(&(service.clone(), model.clone())).copied().unwrap_or(0.0);
        let total_s = mean * SLOW_TIME_CONSTANT_S + PRIOR_REQUESTS * usual_s;
        let time_s = total_s / (slow_rate * SLOW_TIME_CONSTANT_S + PRIOR_REQUESTS);
        time_s.clamp(*REQUEST_TIME_BOUNDS_S.start(), *REQUEST_TIME_BOUNDS_S.end())
    }
}
