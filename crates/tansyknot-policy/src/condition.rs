//! The condition of targets: how slow each is and how often it fails, estimated from what requests
//! show.
//!
//! The time between two events of a stream depends on the target, on the model and on the service.
//! The estimate separates them: log(interval) = base of the service + slowness of the target + pace
//! of the model. A fast model at a slow target therefore still reveals the target's slowness.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName},
};

/// The time constant, in seconds, with which evidence of a target's slowness loses weight. A target
/// that turns slow shows so within 2 s, and one without observations is typical again after 10 s.
const SLOWNESS_TIME_CONSTANT_S: f64 = 2.0;
/// The time constant, in seconds, with which evidence of failures loses weight. Failures are rarer
/// than events, so that a share of them needs a longer window.
const FAILURE_TIME_CONSTANT_S: f64 = 5.0;
/// The weight, in observations, of the assumption that a target is as fast as a typical one. A
/// single new observation then counts for 80%.
const TYPICAL_WEIGHT: f64 = 0.25;
/// The weight, in observations, of the assumption that a target does not fail. A single failure
/// then shows a share of 0.2.
const NO_FAILURE_WEIGHT: f64 = 4.0;
/// The maximum share of one source in the evidence on a target for which others have some.
const MAX_SOURCE_SHARE: f64 = 0.25;
/// The weight from which a source counts as having evidence on a target: an observation in the last
/// 1.4 s.
const MIN_SOURCE_WEIGHT: f64 = 0.5;
/// The weight of the newest observation in the base of a service, once there are many.
const BASE_GAIN: f64 = 0.01;
/// The weight of the newest observation in the pace of a model, once there are many: a target that
/// turns slow must not be taken for a change of its models.
const PACE_GAIN: f64 = 0.03;
/// The maximum of a residual, as a factor of the interval. Greater ones are pauses or false.
const MAX_RESIDUAL_FACTOR: f64 = 10.0;
/// Evidence of less weight is dropped.
const NEGLIGIBLE_WEIGHT: f64 = 1e-3;
/// The relative error of sums of weights that is due to rounding.
const ROUNDING: f64 = 1e-9;
/// How long the pace of a model is retained without observations.
const PACE_RETENTION: Duration = Duration::from_secs(600);
/// The minimum number of recently observed targets whose median is typical. With fewer, the earlier
/// median stays in use, so that a single slow target that is measured again does not become typical.
const MIN_TYPICAL_TARGETS: usize = 3;
/// How long the typical slowness of a service's targets, to which each is compared, stays in use.
const TYPICAL_AGE: Duration = Duration::from_millis(250);

/// What one request showed about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target streamed a response, with this time between two events.
    Stream(Duration),
    /// The target answered, which shows nothing about its speed.
    Answered,
    /// The target failed the request.
    Failed,
}

/// One observation of a target.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// Who observed it.
    pub source: &'a Arc<str>,
    /// The service.
    pub service: &'a ServiceName,
    /// The target.
    pub target: &'a TargetName,
    /// The model that the request used.
    pub model: Option<&'a ModelName>,
    /// What the request showed.
    pub outcome: Outcome,
}

/// The condition of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// The time that the target takes for work, relative to a typical target of its service.
    pub slowness: f64,
    /// The share of requests that it fails.
    pub failures: f64,
}

impl Condition {
    /// The condition of a target of which nothing else is known.
    pub const TYPICAL: Self = Self { slowness: 1.0, failures: 0.0 };
}

/// The condition of a target, as it is estimated from observations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The condition.
    pub condition: Condition,
    /// The slowness as the evidence shows it, without the assumption that the target is typical.
    pub observed_slowness: f64,
    /// The weight of the evidence on the target's slowness, in observations made now.
    pub weight: f64,
}

/// A mean of values whose weights decay.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingMean {
    weight: f64,
    sum: f64,
    as_of: Time,
}

impl DecayingMean {
    fn add(&mut self, value: f64, time_constant_s: f64, now: Time) {
        let factor = self.factor(time_constant_s, now);
        self.weight = self.weight * factor + 1.0;
        self.sum = self.sum * factor + value;
        self.as_of = self.as_of.max(now);
    }

    fn factor(&self, time_constant_s: f64, now: Time) -> f64 {
        (-now.since(self.as_of).as_secs_f64() / time_constant_s).exp()
    }

    fn weight_at(&self, time_constant_s: f64, now: Time) -> f64 {
        self.weight * self.factor(time_constant_s, now)
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { 0.0 }
    }
}

/// A mean whose gain decreases with each value down to a minimum.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    mean: f64,
    count: u32,
    last: Time,
}

impl RunningMean {
    fn add_residual(&mut self, residual: f64, prior_count: u32, min_gain: f64, now: Time) {
        self.count = self.count.saturating_add(1);
        let gain = 1.0 / f64::from(self.count.saturating_add(prior_count));
        self.mean += residual * gain.max(min_gain);
        self.last = now;
    }
}

/// The evidence of one source on a target.
#[derive(Clone, Copy, Debug, Default)]
struct SourceEvidence {
    slowness: DecayingMean,
    failures: DecayingMean,
}

/// The evidence on one target.
#[derive(Clone, Debug)]
struct TargetEvidence {
    service: ServiceName,
    sources: BTreeMap<Arc<str>, SourceEvidence>,
}

/// A mean over sources, and its weight.
#[derive(Clone, Copy, Debug)]
struct WeightedMean {
    mean: f64,
    weight: f64,
}

impl WeightedMean {
    /// Returns the mean with the assumption, of this weight, that it is `typical`.
    fn with_prior(self, typical: f64, weight: f64) -> f64 {
        typical + (self.mean - typical) * self.weight / (self.weight + weight)
    }
}

impl TargetEvidence {
    fn slowness(&self, now: Time) -> WeightedMean {
        self.mean(|source| source.slowness, SLOWNESS_TIME_CONSTANT_S, now)
    }

    fn failures(&self, now: Time) -> WeightedMean {
        self.mean(|source| source.failures, FAILURE_TIME_CONSTANT_S, now)
    }

    fn mean(
        &self,
        part: impl Fn(&SourceEvidence) -> DecayingMean,
        time_constant_s: f64,
        now: Time,
    ) -> WeightedMean {
        if self.sources.len() == 1 {
            // A daemon's own table has one source; its decisions use many targets.
            let part = self.sources.values().map(part).next().unwrap_or_default();
            return WeightedMean {
                mean: part.mean(),
                weight: part.weight_at(time_constant_s, now),
            };
        }
        let parts: Vec<DecayingMean> = self.sources.values().map(part).collect();
        let mut weights: Vec<f64> =
            parts.iter().map(|p| p.weight_at(time_constant_s, now)).collect();
        let max_weight = max_source_weight(&weights);
        weights.iter_mut().for_each(|w| *w = w.min(max_weight));
        let weight: f64 = weights.iter().sum();
        if weight <= 0.0 {
            return WeightedMean { mean: 0.0, weight: 0.0 };
        }
        let sum: f64 = parts.iter().zip(&weights).map(|(p, w)| p.mean() * w).sum();
        WeightedMean { mean: sum / weight, weight }
    }

    fn is_negligible(&self, now: Time) -> bool {
        self.sources.values().all(|s| s.is_negligible(now))
    }
}

impl SourceEvidence {
    fn is_negligible(&self, now: Time) -> bool {
        self.slowness.weight_at(SLOWNESS_TIME_CONSTANT_S, now) < NEGLIGIBLE_WEIGHT
            && self.failures.weight_at(FAILURE_TIME_CONSTANT_S, now) < NEGLIGIBLE_WEIGHT
    }
}

/// Returns the weight to which each source is limited, so that none exceeds its share of the total.
/// Fewer than four sources with evidence share it equally.
fn max_source_weight(weights: &[f64]) -> f64 {
    let sources = weights.iter().filter(|w| **w >= MIN_SOURCE_WEIGHT).count();
    if sources < 2 {
        return f64::INFINITY;
    }
    let share = MAX_SOURCE_SHARE.max(1.0 / sources as f64);
    let mut sorted = weights.to_vec();
    sorted.sort_unstable_by(|a, b| b.total_cmp(a));
    if sorted[0] <= share * sorted.iter().sum::<f64>() {
        return f64::INFINITY;
    }
    for limited in 1..sorted.len() {
        // The limit at which `limited` sources have exactly their share each.
        let rest: f64 = sorted[limited..].iter().sum();
        let limit = share * rest / (1.0 - share * limited as f64);
        if limit * (1.0 + ROUNDING) >= sorted[limited] {
            return limit;
        }
    }
    f64::INFINITY
}

/// The typical slowness of a service's targets, to which each is compared.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalSlowness {
    log: f64,
    at: Option<Time>,
}

/// The base of a service, and the pace of its models.
#[derive(Clone, Debug, Default)]
struct ServicePace {
    base: RunningMean,
    models: HashMap<ModelName, RunningMean>,
    typical: TypicalSlowness,
}

impl ServicePace {
    fn pace(&self, model: Option<&ModelName>) -> f64 {
        model.and_then(|m| self.models.get(m)).map_or(0.0, |pace| pace.mean)
    }
}

/// Estimates the condition of targets from the observations of one or more sources.
#[derive(Clone, Debug, Default)]
pub struct ConditionTable {
    services: HashMap<ServiceName, ServicePace>,
    targets: HashMap<TargetName, TargetEvidence>,
}

impl ConditionTable {
    /// Records an observation.
    pub fn observe(&mut self, observation: Observation<'_>, now: Time) {
        let residual = match observation.outcome {
            Outcome::Stream(interval) if interval > Duration::ZERO => {
                Some(self.residual(&observation, interval, now))
            }
            _ => None,
        };
        let failed = f64::from(u8::from(observation.outcome == Outcome::Failed));
        let evidence = self.evidence(observation.service, observation.target);
        let source = evidence.sources.entry(Arc::clone(observation.source)).or_default();
        source.failures.add(failed, FAILURE_TIME_CONSTANT_S, now);
        if let Some(residual) = residual {
            source.slowness.add(residual, SLOWNESS_TIME_CONSTANT_S, now);
        }
        self.update_typical(observation.service, now);
    }

    /// Records a condition that was estimated elsewhere as evidence of one observation.
    pub fn seed(
        &mut self,
        source: &Arc<str>,
        service: &ServiceName,
        target: &TargetName,
        condition: Condition,
        now: Time,
    ) {
        let typical = self.services.get(service).map_or(0.0, |s| s.typical.log);
        let evidence = self.evidence(service, target);
        let source = evidence.sources.entry(Arc::clone(source)).or_default();
        source.failures.add(condition.failures, FAILURE_TIME_CONSTANT_S, now);
        let slowness = condition.slowness.max(f64::MIN_POSITIVE).ln();
        source.slowness.add(typical + slowness, SLOWNESS_TIME_CONSTANT_S, now);
    }

    fn evidence(&mut self, service: &ServiceName, target: &TargetName) -> &mut TargetEvidence {
        self.targets.entry(target.clone()).or_insert_with(|| TargetEvidence {
            service: service.clone(),
            sources: BTreeMap::new(),
        })
    }

    /// Updates the base of the service and the pace of the model, and returns what remains of the
    /// interval for the target.
    fn residual(&mut self, observation: &Observation<'_>, interval: Duration, now: Time) -> f64 {
        let slowness = self.raw_slowness(observation.target, now);
        let max = MAX_RESIDUAL_FACTOR.ln();
        let service = self.services.entry(observation.service.clone()).or_default();
        let log_interval = interval.as_secs_f64().ln();
        if service.base.count == 0 {
            service.base.mean = log_interval;
        }
        let error = |service: &ServicePace| {
            let expected = service.base.mean + service.pace(observation.model);
            (log_interval - expected - slowness).clamp(-max, max)
        };
        let residual = error(service);
        service.base.add_residual(residual, 0, BASE_GAIN, now);
        if let Some(model) = observation.model {
            let residual = error(service);
            let pace = service.models.entry(model.clone()).or_default();
            // The first observation is shared by the model and its target.
            pace.add_residual(residual, 1, PACE_GAIN, now);
        }
        let residual = log_interval - service.base.mean - service.pace(observation.model);
        residual.clamp(-max, max)
    }

    /// Returns the logarithm of a target's slowness relative to the base of its service.
    fn raw_slowness(&self, target: &TargetName, now: Time) -> f64 {
        let Some(evidence) = self.targets.get(target) else { return 0.0 };
        evidence.slowness(now).with_prior(self.typical_log(&evidence.service), TYPICAL_WEIGHT)
    }

    fn typical_log(&self, service: &ServiceName) -> f64 {
        self.services.get(service).map_or(0.0, |s| s.typical.log)
    }

    /// Recomputes the typical slowness of a service's targets, their median, if it is too old.
    fn update_typical(&mut self, service: &ServiceName, now: Time) {
        let Some(pace) = self.services.get(service) else { return };
        if pace.typical.at.is_some_and(|at| now.since(at) < TYPICAL_AGE) {
            return;
        }
        let of_service = self.targets.values().filter(|e| e.service == *service);
        let observed = of_service.map(|e| e.slowness(now));
        let mut logs: Vec<f64> =
            observed.filter(|m| m.weight >= NEGLIGIBLE_WEIGHT).map(|m| m.mean).collect();
        if logs.len() < MIN_TYPICAL_TARGETS {
            return;
        }
        // Of an even number of targets, the faster half is typical.
        let middle = (logs.len() - 1) / 2;
        let log = *logs.select_nth_unstable_by(middle, f64::total_cmp).1;
        if let Some(pace) = self.services.get_mut(service) {
            pace.typical = TypicalSlowness { log, at: Some(now) };
        }
    }

    /// Returns the condition of a target, which is typical without recent observations.
    pub fn condition(&self, target: &TargetName, now: Time) -> Condition {
        self.estimate(target, now).map_or(Condition::TYPICAL, |estimate| estimate.condition)
    }

    /// Returns the condition of a target, and its evidence; `None` without recent observations.
    pub fn estimate(&self, target: &TargetName, now: Time) -> Option<Estimate> {
        self.targets.get(target).map(|evidence| self.estimate_of(evidence, now))
    }

    fn estimate_of(&self, evidence: &TargetEvidence, now: Time) -> Estimate {
        let typical = self.typical_log(&evidence.service);
        let slowness = evidence.slowness(now);
        let log = slowness.with_prior(typical, TYPICAL_WEIGHT) - typical;
        let failures = evidence.failures(now).with_prior(0.0, NO_FAILURE_WEIGHT);
        let condition = Condition { slowness: log.exp(), failures };
        let observed_slowness = (slowness.mean - typical).exp();
        Estimate { condition, observed_slowness, weight: slowness.weight }
    }

    /// Returns the conditions of all targets with recent observations, and their evidence.
    pub fn estimates(&self, now: Time) -> impl Iterator<Item = (&TargetName, Estimate)> {
        self.targets.iter().map(move |(target, e)| (target, self.estimate_of(e, now)))
    }

    /// Drops the evidence on a target, for instance because it has restarted.
    pub fn forget(&mut self, target: &TargetName) {
        self.targets.remove(target);
    }

    /// Drops evidence that has lost its weight.
    pub fn expire(&mut self, now: Time) {
        for evidence in self.targets.values_mut() {
            evidence.sources.retain(|_, source| !source.is_negligible(now));
        }
        self.targets.retain(|_, evidence| !evidence.is_negligible(now));
        for service in self.services.values_mut() {
            service.models.retain(|_, pace| now.since(pace.last) < PACE_RETENTION);
        }
    }
}
