//! What this daemon observes of targets, and the conditions of targets that all daemons share.
//!
//! Each daemon numbers its observations and reports them to the planner, which announces the targets
//! that differ from typical ones. Without a planner, a daemon uses its own observations only.

pub mod interval;
mod reporter;

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    event,
    name::{ServiceName, TargetName},
};
use tansyknot_policy::condition::{self, Condition, ConditionTable, Outcome};

use crate::{
    dissemination::scheduling::{Observation, ObservedOutcome, SchedulingReport, TargetCondition},
    estimate::Estimate,
};

use reporter::Reporter;

/// How long an observation is reported, so that a lost datagram loses none: three heartbeats.
const REPORT_WINDOW: Duration = Duration::from_millis(900);
/// The most observations that all daemons report within [`REPORT_WINDOW`]: at about 30 bytes each,
/// the planner receives 400 KB/s.
const MAX_REPORTED_BY_ALL: usize = 4000;
/// The most observations of one daemon within [`REPORT_WINDOW`]; the planner remembers as many
/// numbers.
const MAX_REPORTED: usize = reporter::MAX_REMEMBERED;
/// The most observations of one daemon in a large fleet.
const MIN_REPORTED: usize = 4;
/// How long the planner remembers which observations of a daemon it has counted.
const REPORTER_RETENTION: Duration = Duration::from_secs(10);
/// The interval at which all conditions are announced.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1000);
/// The most conditions in one announcement, at about 17 bytes each.
const MAX_ANNOUNCED: usize = 128;
/// A condition is announced if its slowness differs from typical by this factor.
const MIN_ANNOUNCED_FACTOR: f64 = 1.1;
/// A condition is announced if this share of requests fails.
const MIN_ANNOUNCED_FAILURES: f64 = 0.02;
/// A condition is announced immediately if its slowness changes by this factor.
const URGENT_FACTOR: f64 = 1.25;
/// A condition is announced immediately if its share of failures changes by this much, which costs
/// about as much as [`URGENT_FACTOR`].
const URGENT_FAILURES: f64 = 0.1;
/// How long a condition is used without an update.
const CONDITION_TTL: Duration = Duration::from_secs(5);
/// How long the greatest announced slowness counts for a target that has requests. The slowness of
/// an idle target falls without observations: one request then measures it, and others stay away
/// until its observation has reached all daemons, after up to 0.7 s and two heartbeats.
const SLOWNESS_HOLD: Duration = Duration::from_secs(4);
/// The weight, in observations, of the announced condition beside this daemon's own observations.
/// The announcement includes the older ones of these.
const ANNOUNCED_WEIGHT: f64 = 3.0;
/// The slowness from which a target is logged as slow.
const LOGGED_SLOWNESS: f64 = 1.5;
/// The slowness below which a target is no longer logged as slow.
const LOGGED_RECOVERY: f64 = 1.25;
/// The weight of observations without which a target is not logged as recovered, and its slowness
/// for placement does not change: it may only have had no requests.
const MIN_EVIDENCE_WEIGHT: f64 = 0.5;
/// How long the slowness of a target counts for placement without new observations. Slow targets
/// have few requests, and must not look typical to the planner between them.
const PLACEMENT_MEMORY: Duration = Duration::from_secs(60);
/// The time of a request before the first one has ended.
const INITIAL_REQUEST_TIME: Duration = Duration::from_secs(1);

/// A daemon's report of observations.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReport<'a> {
    /// The daemon.
    pub daemon: &'a Arc<str>,
    /// The identifier of its run.
    pub incarnation: &'a Arc<str>,
    /// The report.
    pub report: &'a SchedulingReport,
}

/// A condition that the planner has announced.
#[derive(Clone, Debug)]
struct Announced {
    condition: Condition,
    at: Time,
    /// The announced values of the slowness within [`SLOWNESS_HOLD`], and when each arrived.
    recent: Vec<(f64, Time)>,
}

impl Announced {
    fn new(condition: Condition, before: Option<Self>, now: Time) -> Self {
        let mut recent = before.map_or_else(Vec::new, |before| before.recent);
        recent.retain(|(_, at)| now.since(*at) < SLOWNESS_HOLD);
        recent.push((condition.slowness, now));
        Self { condition, at: now, recent }
    }

    /// Returns the condition as it counts for a further request.
    fn for_next_request(&self, is_in_use: bool) -> Condition {
        let held = self.recent.iter().map(|(slowness, _)| *slowness).fold(0.0, f64::max);
        let slowness = if is_in_use { held } else { self.condition.slowness };
        Condition { slowness, ..self.condition }
    }
}

/// The observations of this daemon, the conditions that the planner has announced and, at the
/// planner, the observations of all daemons.
#[derive(Debug)]
pub struct Conditions {
    /// The name of this daemon as a source.
    me: Arc<str>,
    /// The number of the next observation.
    next_number: u32,
    recent: VecDeque<(Time, Observation)>,
    own: ConditionTable,
    request_times: HashMap<ServiceName, Estimate>,
    announced: HashMap<TargetName, Announced>,
    /// When the planner last sent an update.
    updated_at: Option<Time>,
    all: ConditionTable,
    reporters: HashMap<Arc<str>, Reporter>,
    /// The conditions that this daemon has announced as the planner.
    published: HashMap<TargetName, Condition>,
    published_at: Option<Time>,
    /// The observed slowness of targets for placement, at the planner, and when it was observed.
    placement: HashMap<TargetName, (f64, Time)>,
    logged: BTreeSet<TargetName>,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            me: Arc::from("self"),
            next_number: 1,
            recent: VecDeque::new(),
            own: ConditionTable::default(),
            request_times: HashMap::new(),
            announced: HashMap::new(),
            updated_at: None,
            all: ConditionTable::default(),
            reporters: HashMap::new(),
            published: HashMap::new(),
            published_at: None,
            placement: HashMap::new(),
            logged: BTreeSet::new(),
        }
    }
}

impl Conditions {
    /// Records what a request of this daemon showed. `daemons` share the number of observations
    /// that are reported.
    pub fn observe(
        &mut self,
        service: &ServiceName,
        observation: Observation,
        daemons: usize,
        now: Time,
    ) {
        let me = Arc::clone(&self.me);
        self.own.observe(to_policy(&me, service, &observation), now);
        self.forget_reported(now);
        let max = (MAX_REPORTED_BY_ALL / daemons.max(1)).clamp(MIN_REPORTED, MAX_REPORTED);
        if self.recent.len() < max {
            self.recent.push_back((now, observation));
            self.next_number += 1;
        }
    }

    fn forget_reported(&mut self, now: Time) {
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) >= REPORT_WINDOW) {
            self.recent.pop_front();
        }
    }

    /// Records how long a request took that a target answered.
    pub fn record_request_time(&mut self, service: &ServiceName, duration: Duration) {
        self.request_times.entry(service.clone()).or_default().observe(duration);
    }

    /// Returns the usual time of a request to a service.
    pub fn request_time(&self, service: &ServiceName) -> Duration {
        let mean = self.request_times.get(service).and_then(Estimate::mean);
        mean.unwrap_or(INITIAL_REQUEST_TIME)
    }

    /// Returns the report of this daemon's recent observations, without waiting requests.
    pub fn report(&mut self, now: Time) -> SchedulingReport {
        self.own.expire(now);
        self.forget_reported(now);
        let observations: Vec<Observation> = self.recent.iter().map(|(_, o)| o.clone()).collect();
        let first_observation = self.next_number - observations.len() as u32;
        SchedulingReport { first_observation, observations, ..SchedulingReport::default() }
    }

    /// Counts the observations of a report that were not counted before. `service_of` returns the
    /// service of a target; observations of unknown targets are ignored.
    pub fn record_report<'a>(
        &mut self,
        received: ReceivedReport<'_>,
        service_of: impl Fn(&TargetName) -> Option<&'a ServiceName>,
        now: Time,
    ) {
        let ReceivedReport { daemon, incarnation, report } = received;
        if report.observations.is_empty() {
            return;
        }
        let first = report.first_observation;
        let new = || Reporter::new(incarnation, first, now);
        let reporter = self.reporters.entry(Arc::clone(daemon)).or_insert_with(new);
        if reporter.incarnation != *incarnation {
            *reporter = new();
        }
        reporter.last_report = now;
        for (number, observation) in (first..).zip(&report.observations) {
            if reporter.count(number)
                && let Some(service) = service_of(&observation.target)
            {
                self.all.observe(to_policy(daemon, service, observation), now);
            }
        }
    }

    /// Begins to announce conditions as the new planner, with those that the previous planner
    /// announced as the first evidence.
    pub fn begin_announcing<'a>(
        &mut self,
        service_of: impl Fn(&TargetName) -> Option<&'a ServiceName>,
        now: Time,
    ) {
        self.all = ConditionTable::default();
        self.reporters.clear();
        self.published.clear();
        self.published_at = None;
        self.placement.clear();
        let previous: Arc<str> = Arc::from("previous planner");
        self.announced.retain(|_, a| now.since(a.at) < CONDITION_TTL);
        for (target, announced) in &self.announced {
            self.published.insert(target.clone(), announced.condition);
            self.placement.insert(target.clone(), (announced.condition.slowness, now));
            if let Some(service) = service_of(target) {
                self.all.seed(&previous, service, target, announced.condition, now);
            }
        }
    }

    /// Returns the conditions to announce with a heartbeat, and applies them to this daemon.
    pub fn announce(&mut self, now: Time) -> Vec<TargetCondition> {
        self.all.expire(now);
        self.reporters.retain(|_, r| now.since(r.last_report) < REPORTER_RETENTION);
        self.update_placement(now);
        let is_due = self.published_at.is_none_or(|at| now.since(at) >= ANNOUNCEMENT_INTERVAL);
        let mut changed = self.changed_conditions(is_due, now);
        changed.sort_by(|(_, a), (_, b)| significance(*b).total_cmp(&significance(*a)));
        changed.truncate(MAX_ANNOUNCED);
        if is_due {
            self.published_at = Some(now);
            self.published.clear();
        }
        let conditions: Vec<TargetCondition> =
            changed.iter().map(|(target, condition)| to_message(target, *condition)).collect();
        for (target, condition) in changed {
            self.log_condition(&target, condition, now);
            self.published.insert(target, condition);
        }
        self.receive(&conditions, now);
        conditions
    }

    fn update_placement(&mut self, now: Time) {
        self.placement.retain(|_, (_, at)| now.since(*at) < PLACEMENT_MEMORY);
        let observed = self.all.estimates(now).filter(|(_, e)| e.weight >= MIN_EVIDENCE_WEIGHT);
        let observed = observed.map(|(target, e)| (target.clone(), (e.observed_slowness, now)));
        self.placement.extend(observed);
    }

    /// Returns the slowness of targets for the placement of models, at the planner: the last that
    /// was observed.
    pub fn placement_slowness(&self) -> HashMap<TargetName, f64> {
        let slowness =
            |(target, (slowness, _)): (&TargetName, &(f64, Time))| (target.clone(), *slowness);
        self.placement.iter().map(slowness).collect()
    }

    /// Returns the conditions that differ from typical or were announced before, if `is_all` is
    /// set; else those that have changed much since they were announced.
    fn changed_conditions(&self, is_all: bool, now: Time) -> Vec<(TargetName, Condition)> {
        let mut current: HashMap<TargetName, Condition> = self
            .published
            .iter()
            .filter(|(_, published)| differs(**published))
            .map(|(target, _)| (target.clone(), self.all.condition(target, now)))
            .collect();
        let differing = self.all.estimates(now).filter(|(_, e)| differs(e.condition));
        current.extend(differing.map(|(target, e)| (target.clone(), e.condition)));
        let is_urgent = |target: &TargetName, condition: Condition| {
            let published = self.published.get(target).copied().unwrap_or(Condition::TYPICAL);
            factor(condition.slowness / published.slowness) >= URGENT_FACTOR
                || (condition.failures - published.failures).abs() >= URGENT_FAILURES
        };
        current.retain(|target, condition| is_all || is_urgent(target, *condition));
        current.into_iter().collect()
    }

    fn log_condition(&mut self, target: &TargetName, condition: Condition, now: Time) {
        let Condition { slowness, failures } = condition;
        let is_bad = slowness >= LOGGED_SLOWNESS || failures >= URGENT_FAILURES;
        let is_good = slowness < LOGGED_RECOVERY
            && failures < URGENT_FAILURES
            && self.all.estimate(target, now).is_some_and(|e| e.weight >= MIN_EVIDENCE_WEIGHT);
        let fields: &[event::Field<'_>] = &[
            ("target", target),
            ("slowness", &format_args!("{slowness:.2}")),
            ("failures", &format_args!("{failures:.2}")),
        ];
        if is_bad && self.logged.insert(target.clone()) {
            event::TARGET_SLOW.emit(fields);
        } else if is_good && self.logged.remove(target) {
            event::TARGET_RECOVERED.emit(fields);
        }
    }

    /// Records that an update of the planner has arrived.
    pub fn record_update(&mut self, now: Time) {
        self.updated_at = Some(now);
        self.announced.retain(|_, a| now.since(a.at) < CONDITION_TTL);
    }

    /// Records conditions that the planner has announced. A target that is not among them keeps its
    /// condition until that expires.
    pub fn receive(&mut self, conditions: &[TargetCondition], now: Time) {
        self.record_update(now);
        for message in conditions {
            let before = self.announced.remove(&message.target);
            let announced = Announced::new(from_message(message), before, now);
            self.announced.insert(message.target.clone(), announced);
        }
    }

    /// Returns the condition of a target as it counts for a further request: what the planner has
    /// announced, and this daemon's own newest observations. `is_in_use` is whether the target has
    /// requests.
    pub fn condition(&self, target: &TargetName, is_in_use: bool, now: Time) -> Condition {
        let own = self.own.estimate(target, now);
        let announced = self.announced_condition(target, is_in_use, now);
        match (announced, own) {
            (Some(announced), Some(own)) => merge(announced, own),
            (Some(announced), None) => announced,
            (None, own) => own.map_or(Condition::TYPICAL, |own| own.condition),
        }
    }

    /// Returns the announced condition of a target; `None` if there is no planner.
    fn announced_condition(
        &self,
        target: &TargetName,
        is_in_use: bool,
        now: Time,
    ) -> Option<Condition> {
        let is_fresh = |at: Time| now.since(at) < CONDITION_TTL;
        self.updated_at.filter(|at| is_fresh(*at))?;
        let announced = self.announced.get(target).filter(|a| is_fresh(a.at));
        Some(announced.map_or(Condition::TYPICAL, |a| a.for_next_request(is_in_use)))
    }

    /// Returns the targets that are announced as slow or failing.
    pub fn slow_targets(&self, now: Time) -> impl Iterator<Item = (&TargetName, Condition)> {
        let is_fresh = move |a: &Announced| now.since(a.at) < CONDITION_TTL;
        let is_slow = |c: &Condition| {
            c.slowness >= MIN_ANNOUNCED_FACTOR || c.failures >= MIN_ANNOUNCED_FAILURES
        };
        let fresh = self.announced.iter().filter(move |(_, a)| is_fresh(a));
        fresh.map(|(target, a)| (target, a.condition)).filter(move |(_, c)| is_slow(c))
    }

    /// Drops what is known of a target that has restarted or was removed.
    pub fn forget(&mut self, target: &TargetName) {
        self.own.forget(target);
        self.all.forget(target);
        self.announced.remove(target);
        self.placement.remove(target);
    }
}

/// Merges this daemon's own observations into an announced condition.
fn merge(announced: Condition, own: condition::Estimate) -> Condition {
    let share = own.weight / (own.weight + ANNOUNCED_WEIGHT);
    let ratio = own.condition.slowness / announced.slowness;
    Condition {
        slowness: announced.slowness * ratio.powf(share),
        // A failure that this daemon has seen counts at once.
        failures: announced.failures.max(own.condition.failures),
    }
}

fn to_policy<'a>(
    source: &'a Arc<str>,
    service: &'a ServiceName,
    observation: &'a Observation,
) -> condition::Observation<'a> {
    let outcome = match observation.outcome {
        ObservedOutcome::Stream { event_interval_us } => {
            Outcome::Stream(Duration::from_micros(event_interval_us.into()))
        }
        ObservedOutcome::Answered => Outcome::Answered,
        ObservedOutcome::Failed => Outcome::Failed,
    };
    let (target, model) = (&observation.target, observation.model.as_ref());
    condition::Observation { source, service, target, model, outcome }
}

fn to_message(target: &TargetName, condition: Condition) -> TargetCondition {
    // Both values are far below the maximum of the type, to which the conversion saturates.
    let permille = |value: f64| (value * 1000.0).round() as u16;
    TargetCondition {
        target: target.clone(),
        slowness_permille: permille(condition.slowness).max(1),
        failures_permille: permille(condition.failures),
    }
}

fn from_message(message: &TargetCondition) -> Condition {
    Condition {
        slowness: f64::from(message.slowness_permille.max(1)) / 1000.0,
        failures: f64::from(message.failures_permille) / 1000.0,
    }
}

/// Returns a ratio, or its inverse if that is greater.
fn factor(ratio: f64) -> f64 {
    ratio.max(ratio.recip())
}

fn differs(condition: Condition) -> bool {
    factor(condition.slowness) >= MIN_ANNOUNCED_FACTOR
        || condition.failures >= MIN_ANNOUNCED_FAILURES
}

/// Returns how much a condition matters to the choice of targets.
fn significance(condition: Condition) -> f64 {
    factor(condition.slowness).ln() + condition.failures
}
