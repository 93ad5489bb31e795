//! The objects that operators write: services, adapters, rules and callers.

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    label::{Labels, Selector},
    name::{AdapterName, CallerName, RuleName, ServiceName},
};

use crate::unit::{Bytes, Span};

/// A service that callers name in their requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that callers use.
    pub name: ServiceName,
    /// Labels that rules and callers select by.
    #[serde(default)]
    pub labels: Labels,
    /// What answers its requests.
    pub backend: Backend,
}

/// What answers the requests of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Backend {
    /// A model that engines load and remove.
    Model(Model),
    /// A plain HTTP service that is always there.
    Plain(Plain),
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The checkpoint, as the weight store names it.
    pub checkpoint: String,
    /// Memory that the model takes on an engine.
    pub memory: Bytes,
    /// Memory kept for adapters beside each replica.
    #[serde(default)]
    pub adapter_memory: Bytes,
}

impl Model {
    /// Returns the bytes that one replica reserves: the model and its pool of adapters.
    pub fn reserved_bytes(&self) -> u64 {
        self.memory.get().saturating_add(self.adapter_memory.get())
    }
}

/// A plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {}

/// An adapter that is loaded beside the model of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name that callers use as a model.
    pub name: AdapterName,
    /// The service whose model it adapts.
    pub service: ServiceName,
}

/// What the operators decided for the services that a selector chooses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The name of the rule.
    pub name: RuleName,
    /// The services that it is for.
    pub services: Selector,
    /// The targets that may serve them.
    pub targets: Selector,
    /// Among rules that match a service, the highest rank is in force; then the first name.
    #[serde(default)]
    pub rank: i32,
    /// How many replicas there may be.
    #[serde(default)]
    pub replicas: Replicas,
    /// How long an unused replica stays.
    #[serde(default)]
    pub retention: Retention,
    /// How requests are treated.
    #[serde(default)]
    pub requests: Requests,
}

/// How many replicas of a model there may be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Replicas {
    /// No more than this, at any instant.
    pub max: u32,
    /// Kept loaded also without requests.
    pub min: u32,
}

impl Default for Replicas {
    fn default() -> Self {
        Self { max: 1, min: 0 }
    }
}

/// What weighs more when the two measures pull apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Weight {
    /// Short cold-start tails.
    #[default]
    Cold,
    /// Few idle accelerator hours.
    Idle,
}

/// How long an unused replica stays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retention {
    /// What weighs more.
    pub weight: Weight,
    /// An unused replica stays at least this long.
    pub at_least: Span,
    /// An unused replica stays at most this long.
    pub at_most: Span,
}

impl Default for Retention {
    fn default() -> Self {
        Self { weight: Weight::Cold, at_least: Span::from_secs(10), at_most: Span::from_secs(3600) }
    }
}

/// The class of a request; a desk request goes before a batch request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Someone waits for the answer.
    #[default]
    Desk,
    /// The answer may come much later.
    Batch,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// The request is idempotent.
    #[default]
    Repeatable,
    /// The request runs at most once.
    AtMostOnce,
}

/// Whether requests that run at most once must carry an `Idempotency-Key`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyDemand {
    /// A request without a key is taken as a request of its own.
    #[default]
    Optional,
    /// A request without a key is refused.
    Required,
}

/// How requests are treated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// The class.
    pub class: Class,
    /// The deadline of a request that names none.
    pub deadline: Span,
    /// Requests in flight that one replica or plain target takes from one daemon.
    pub in_flight_per_replica: u32,
    /// Whether a request may run again.
    pub repeatability: Repeatability,
    /// Whether a key is required.
    pub idempotency_key: KeyDemand,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            class: Class::Desk,
            deadline: Span::from_secs(60),
            in_flight_per_replica: 64,
            repeatability: Repeatability::Repeatable,
            idempotency_key: KeyDemand::Optional,
        }
    }
}

/// A caller and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The name of the caller.
    pub name: CallerName,
    /// The SHA-256 of its key, as 64 hexadecimal digits.
    pub key_sha256: String,
    /// The services that it may use.
    #[serde(default)]
    pub services: Selector,
    /// Its limits at each daemon.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// Limits of a caller at each daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Requests in flight at once.
    pub in_flight: u32,
    /// Requests a second, averaged over the burst.
    pub rate_per_s: u32,
    /// Requests that may come at once after a pause.
    pub burst: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { in_flight: 2000, rate_per_s: 2000, burst: 4000 }
    }
}

/// Any object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// A service.
    Service(Service),
    /// An adapter.
    Adapter(Adapter),
    /// A rule.
    Rule(Rule),
    /// A caller.
    Caller(Caller),
}

/// The kind and name of an object, as `service/permit-assistant`.
pub type ObjectKey = String;

impl Object {
    /// Returns the kind and name of the object.
    pub fn key(&self) -> ObjectKey {
        match self {
            Object::Service(s) => format!("service/{}", s.name),
            Object::Adapter(a) => format!("adapter/{}", a.name),
            Object::Rule(r) => format!("rule/{}", r.name),
            Object::Caller(c) => format!("caller/{}", c.name),
        }
    }
}
