//! What was decided for each of the latest requests, for operators who ask why.

use std::{
    collections::{HashMap, VecDeque},
    sync::Mutex,
};

use serde::Serialize;
use tansyknot_config::store::ConfigVersion;
use tansyknot_core::{
    clock::Time,
    name::{AttemptId, CallerName, DaemonName, RequestId, RuleName, ServiceName, TargetName},
    refusal::{Outcome, Reason},
};

/// Requests remembered.
const REMEMBERED: usize = 4096;

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The key named this caller.
    Identified(CallerName),
    /// This rule is in force for the service.
    Ruled(RuleName),
    /// The request carries a key and runs at most once.
    KeyTaken,
    /// The request waited for a replica.
    Queued,
    /// A target was chosen.
    Placed(TargetName),
    /// An attempt was begun.
    Attempted(AttemptId),
    /// The attempt failed before the target started.
    NotStarted(&'static str),
    /// The attempt failed after bytes had left.
    Broken(&'static str),
    /// A broken stream was taken up again after this many events.
    Resumed(u64),
    /// The whole answer was given.
    Answered(u16),
    /// The request was refused.
    Refused(Reason, Outcome),
}

/// A decision and when it was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Microseconds after the request was received.
    pub after_us: u64,
    /// What was decided.
    pub decision: Decision,
}

/// All decisions for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Trail {
    /// The request.
    pub request: RequestId,
    /// The daemon that decided.
    pub daemon: DaemonName,
    /// The version of the configuration it had in force.
    pub config_version: ConfigVersion,
    /// The service, once known.
    pub service: Option<ServiceName>,
    /// The decisions in order.
    pub steps: Vec<Step>,
    #[serde(skip)]
    began: Time,
}

impl Trail {
    /// Begins the trail of a request.
    pub fn new(request: RequestId, daemon: DaemonName, config: ConfigVersion, now: Time) -> Self {
        Self { request, daemon, config_version: config, service: None, steps: vec![], began: now }
    }

    /// Adds a decision.
    pub fn add(&mut self, now: Time, decision: Decision) {
        let after_us = u64::try_from(now.since(self.began).as_micros()).unwrap_or(u64::MAX);
        self.steps.push(Step { after_us, decision });
    }
}

#[derive(Default)]
struct Kept {
    order: VecDeque<RequestId>,
    trails: HashMap<RequestId, Trail>,
}

/// The trails of the latest requests.
#[derive(Default)]
pub struct Explainer {
    kept: Mutex<Kept>,
}

impl Explainer {
    /// Keeps a trail in place of the oldest.
    pub fn keep(&self, trail: Trail) {
        let mut kept = self.kept.lock().expect("no holder of the lock panics");
        if kept.order.len() == REMEMBERED
            && let Some(oldest) = kept.order.pop_front()
        {
            kept.trails.remove(&oldest);
        }
        kept.order.push_back(trail.request.clone());
        kept.trails.insert(trail.request.clone(), trail);
    }

    /// Returns the trail of a request that is still remembered.
    pub fn trail(&self, request: &RequestId) -> Option<Trail> {
        self.kept.lock().expect("no holder of the lock panics").trails.get(request).cloned()
    }
}
