//! Identification of a request: its caller, service, rule and deadline.

use std::{io::BufReader, time::Duration};

use serde::Deserialize;
use tansyknot_config::{
    object::{Backend, Caller, KeyRequirement, Repeatability, Rule},
    objects_in_force::{self, ConfigObjects},
};
use tansyknot_core::{
    clock::Time,
    key,
    name::{AdapterName, ServiceName},
    refusal::{Reason, Refusal},
};
use tansyknot_policy::queue::Rank;

use crate::http::{body::Body, head::Head, server::Request};

/// The `Retry-After` of a daemon that has no configuration yet.
const CONFIG_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What a path requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// A completion by a model. The path is forwarded.
    Completion,
    /// The list of models.
    Models,
    /// The health check: whether the daemon accepts requests.
    Health,
    /// A call of a plain service.
    Plain {
        /// The service.
        service: ServiceName,
        /// The path and query that are forwarded to the service.
        path: String,
    },
}

/// The kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// A model on an engine.
    Model,
    /// A plain service.
    Plain,
}

/// A request with its attributes before admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdentifiedRequest {
    /// The caller.
    pub caller: Caller,
    /// The service.
    pub service: ServiceName,
    /// The adapter, if the caller named one.
    pub adapter: Option<AdapterName>,
    /// The kind of the service.
    pub kind: ServiceKind,
    /// The rule in force for the service.
    pub rule: Rule,
    /// The time by which the full response must be received.
    pub deadline: Time,
    /// The idempotency key, if the caller sent one and the service runs requests at most once.
    pub key: Option<String>,
    /// The path and query that are forwarded to the target.
    pub path: String,
    /// A hash of the start of the prompt.
    pub prefix: Option<u64>,
}

impl IdentifiedRequest {
    /// Returns the rank of the request's priority class.
    pub fn rank(&self) -> Rank {
        self.rule.requests.class as Rank
    }

    /// Returns whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.rule.requests.repeatability == Repeatability::Repeatable
    }
}

/// The fields of a completion's body that the daemon reads.
#[derive(Deserialize)]
struct CompletionBody {
    model: String,
}

/// Returns the route for the method and path of a request.
///
/// # Errors
///
/// Fails if no route has the method and path.
pub fn route(head: &Head) -> Result<Route, Refusal> {
    match (head.method.as_str(), head.path.as_str()) {
        ("POST", "/v1/chat/completions" | "/v1/completions") => Ok(Route::Completion),
        ("GET", "/v1/models") => Ok(Route::Models),
        ("GET", "/healthz") => Ok(Route::Health),
        (_, path) => plain_route(path, &head.query).ok_or_else(|| {
            let detail = format!("{} {} is not offered", head.method, head.path);
            Refusal::not_run(Reason::UnknownRoute, detail)
        }),
    }
}

fn plain_route(path: &str, query: &str) -> Option<Route> {
    let rest = path.strip_prefix("/services/")?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return None;
    }
    let query = if query.is_empty() { String::new() } else { format!("?{query}") };
    Some(Route::Plain { service: ServiceName::from(service), path: format!("/{path}{query}") })
}

/// Returns the caller that the request's key belongs to.
///
/// # Errors
///
/// Fails if there is no configuration, the request has no key, or no caller has the key.
pub fn caller(store: &ConfigObjects, head: &Head) -> Result<Caller, Refusal> {
    if store.version() == 0 {
        let detail = "no configuration has been read since the start";
        return Err(Refusal::retry_later(Reason::NoConfiguration, CONFIG_RETRY_AFTER, detail));
    }
    let unknown = |detail: &str| Refusal::not_run(Reason::UnknownCaller, detail);
    let value = head.header("authorization").ok_or_else(|| unknown("there is no key"))?;
    let key = key::bearer_token(value).ok_or_else(|| unknown("the key is not a bearer token"))?;
    let caller = store.caller(&objects_in_force::key_hash(key));
    caller.cloned().ok_or_else(|| unknown("no caller has this key"))
}

/// Determines the service of a request, the rule in force and the deadline.
///
/// # Errors
///
/// Fails if the service does not exist or is not permitted, if no rule is in force for it, or if the
/// request is invalid.
pub fn identify(
    store: &ConfigObjects,
    caller: Caller,
    route: &Route,
    req: &Request,
    now: Time,
    deadline_max: Duration,
) -> Result<IdentifiedRequest, Refusal> {
    let (name, path) = match route {
        Route::Plain { service, path } => (service.to_string(), path.clone()),
        _ => (completion_model(&req.body)?, req.head.path.clone()),
    };
    let unknown = || Refusal::not_run(Reason::UnknownService, format!("{name:?} is not there"));
    let resolved = store.resolve(&name).ok_or_else(unknown)?;
    let kind = match resolved.service.backend {
        Backend::Model(_) => ServiceKind::Model,
        Backend::Plain(_) => ServiceKind::Plain,
    };
    let route_kind =
        if matches!(route, Route::Plain { .. }) { ServiceKind::Plain } else { ServiceKind::Model };
    if kind != route_kind {
        return Err(unknown());
    }
    if !caller.services.matches(&resolved.service.labels) {
        let detail = format!("{} may not use {name}", caller.name);
        return Err(Refusal::not_run(Reason::NotPermitted, detail));
    }
    let no_rule = || Refusal::not_run(Reason::NoCapacity, format!("no rule is for {name}"));
    let rule = resolved.rule.ok_or_else(no_rule)?.clone();
    let deadline = now + deadline(&req.head, &rule, deadline_max)?;
    let key = idempotency_key(&req.head, &rule)?;
    Ok(IdentifiedRequest {
        caller,
        service: resolved.service.name.clone(),
        adapter: resolved.adapter,
        kind,
        rule,
        deadline,
        key,
        path,
        prefix: (kind == ServiceKind::Model).then(|| prefix_hash(&req.body)),
    })
}

fn completion_model(body: &Body) -> Result<String, Refusal> {
    let mut parts = body.parts();
    let parsed: Result<CompletionBody, _> = match (parts.next(), parts.next()) {
        (first, None) => serde_json::from_slice(first.unwrap_or_default()),
        _ => serde_json::from_reader(BufReader::new(body.reader())),
    };
    parsed.map(|body| body.model).map_err(|e| Refusal::not_run(Reason::BadBody, e.to_string()))
}

/// Length of the prefix of a body that is hashed. It covers the system prompt and the first words.
const PREFIX_BYTES: usize = 512;

fn prefix_hash(body: &Body) -> u64 {
    let first = body.parts().next().unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&first[..first.len().min(PREFIX_BYTES)])
}

fn deadline(head: &Head, rule: &Rule, max: Duration) -> Result<Duration, Refusal> {
    let Some(text) = head.header("x-deadline-ms") else {
        return Ok(rule.requests.deadline.duration().min(max));
    };
    let bad = || Refusal::not_run(Reason::BadRequest, "x-deadline-ms is not a number of ms");
    let ms: u64 = text.parse().map_err(|_| bad())?;
    Ok(Duration::from_millis(ms).min(max))
}

/// Longer idempotency keys are refused.
const MAX_KEY_BYTES: usize = 255;

fn idempotency_key(head: &Head, rule: &Rule) -> Result<Option<String>, Refusal> {
    if rule.requests.repeatability == Repeatability::Repeatable {
        return Ok(None);
    }
    match head.header("idempotency-key") {
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            let detail = format!("a key has 1 to {MAX_KEY_BYTES} bytes");
            Err(Refusal::not_run(Reason::BadRequest, detail))
        }
        Some(key) => Ok(Some(key.to_owned())),
        None if rule.requests.idempotency_key == KeyRequirement::Required => {
            Err(Refusal::not_run(Reason::KeyRequired, "send an Idempotency-Key header"))
        }
        None => Ok(None),
    }
}
