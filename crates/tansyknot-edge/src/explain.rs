//! The decisions about the latest requests, which operators can query.

use std::{
    collections::{HashMap, VecDeque},
    sync::Mutex,
};

use serde::Serialize;
use tansyknot_config::objects_in_force::ConfigVersion;
use tansyknot_core::{
    clock::Time,
    name::{AttemptId, CallerName, DaemonName, RequestId, RuleName, ServiceName, TargetName},
    refusal::{Outcome, Reason},
};

/// The number of requests whose trails are retained.
const MAX_TRAILS: usize = 4096;

/// A decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The key belongs to this caller.
    Identified(CallerName),
    /// This rule is in force for the service.
    Ruled(RuleName),
    /// The request's idempotency key was claimed, so the request runs at most once.
    KeyTaken,
    /// The request waited for a replica.
    Queued,
    /// A target was chosen.
    Placed(TargetName),
    /// An attempt was started.
    Attempted(AttemptId),
    /// The attempt failed before the target started the request.
    NotStarted(&'static str),
    /// The attempt failed after bytes may have been sent.
    Broken(&'static str),
    /// A broken stream was resumed after this many events.
    Resumed(u64),
    /// The full response was sent, with this status.
    Answered(u16),
    /// The request was refused.
    Refused(Reason, Outcome),
}

/// A decision and its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// Microseconds after the request was received.
    pub after_us: u64,
    /// The decision.
    pub decision: Decision,
}

/// All decisions about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Trail {
    /// The request.
    pub request: RequestId,
    /// The daemon that processed the request.
    pub daemon: DaemonName,
    /// The version of the configuration in force at the daemon.
    pub config_version: ConfigVersion,
    /// The service, once it is identified.
    pub service: Option<ServiceName>,
    /// The decisions, in order.
    pub steps: Vec<Step>,
    #[serde(skip)]
    received_at: Time,
}

impl Trail {
    /// Creates the trail of a request received at `now`.
    pub fn new(request: RequestId, daemon: DaemonName, config: ConfigVersion, now: Time) -> Self {
        Self {
            request,
            daemon,
            config_version: config,
            service: None,
            steps: vec![],
            received_at: now,
        }
    }

    /// Adds a decision.
    pub fn add(&mut self, now: Time, decision: Decision) {
        let after_us = u64::try_from(now.since(self.received_at).as_micros()).unwrap_or(u64::MAX);
        self.steps.push(Step { after_us, decision });
    }
}

#[derive(Default)]
struct RecentTrails {
    order: VecDeque<RequestId>,
    trails: HashMap<RequestId, Trail>,
}

/// The trails of the latest requests.
#[derive(Default)]
pub struct Explainer {
    recent: Mutex<RecentTrails>,
}

impl Explainer {
    /// Stores a trail, in place of the oldest if there are too many.
    pub fn record(&self, trail: Trail) {
        let mut recent = self.recent.lock().expect("the lock is not poisoned");
        if recent.order.len() == MAX_TRAILS
            && let Some(oldest) = recent.order.pop_front()
        {
            recent.trails.remove(&oldest);
        }
        recent.order.push_back(trail.request.clone());
        recent.trails.insert(trail.request.clone(), trail);
    }

    /// Returns the trail of a request, if it is still retained.
    pub fn trail(&self, request: &RequestId) -> Option<Trail> {
        self.recent.lock().expect("the lock is not poisoned").trails.get(request).cloned()
    }
}
