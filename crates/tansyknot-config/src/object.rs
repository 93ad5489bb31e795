//! The objects of the configuration: services, adapters, rules and callers.

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    label::{Labels, Selector},
    name::{AdapterName, CallerName, RuleName, ServiceName},
};

use crate::unit::{Bytes, DurationSetting};

/// A service that callers name in their requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name that callers use in their requests.
    pub name: ServiceName,
    /// Labels that the selectors of rules and callers match.
    #[serde(default)]
    pub labels: Labels,
    /// What serves its requests.
    pub backend: Backend,
}

/// What serves the requests of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Backend {
    /// A model that engines load and remove.
    Model(Model),
    /// A plain HTTP service that needs no loading.
    Plain(Plain),
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name of the checkpoint in the weight store.
    pub checkpoint: String,
    /// Memory that the model uses on an engine.
    pub memory: Bytes,
    /// Memory reserved for adapters beside each replica.
    #[serde(default)]
    pub adapter_memory: Bytes,
}

impl Model {
    /// Returns the bytes that one replica reserves for the model and its adapters.
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
    /// The name that callers give as the model.
    pub name: AdapterName,
    /// The service whose model it adapts.
    pub service: ServiceName,
}

/// A policy for the services that a selector matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The name of the rule.
    pub name: RuleName,
    /// The services that the rule applies to.
    pub services: Selector,
    /// The targets that may serve them.
    pub targets: Selector,
    /// Of the rules that match a service, the one with the highest rank is in force; of equal
    /// ranks, the one with the first name.
    #[serde(default)]
    pub rank: i32,
    /// Bounds on the number of replicas.
    #[serde(default)]
    pub replicas: Replicas,
    /// How long an unused replica stays loaded.
    #[serde(default)]
    pub retention: Retention,
    /// Settings for the requests of a service.
    #[serde(default)]
    pub requests: Requests,
}

/// Bounds on the number of replicas of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Replicas {
    /// The maximum number of replicas at any instant.
    pub max: u32,
    /// The number of replicas that stay loaded without requests.
    pub min: u32,
}

impl Default for Replicas {
    fn default() -> Self {
        Self { max: 1, min: 0 }
    }
}

/// Which goal has priority where cold starts and idle accelerators conflict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetentionGoal {
    /// Few and short cold starts, which determine the highest latencies.
    #[default]
    Cold,
    /// Few idle accelerator hours.
    Idle,
}

/// How long an unused replica stays loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retention {
    /// Which goal has priority.
    pub weight: RetentionGoal,
    /// The minimum time that an unused replica stays loaded.
    pub at_least: DurationSetting,
    /// The maximum time that an unused replica stays loaded.
    pub at_most: DurationSetting,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            weight: RetentionGoal::Cold,
            at_least: DurationSetting::from_secs(10),
            at_most: DurationSetting::from_secs(3600),
        }
    }
}

/// The priority class of a request; desk requests are served before batch requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// An interactive request: a person waits for the response.
    #[default]
    Desk,
    /// A request whose response may be delayed.
    Batch,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// The request is idempotent.
    #[default]
    Repeatable,
    /// The request must be executed at most once.
    AtMostOnce,
}

/// Whether at-most-once requests must have an `Idempotency-Key` header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRequirement {
    /// A request without a key is a separate request.
    #[default]
    Optional,
    /// A request without a key is rejected.
    Required,
}

/// Settings for the requests of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// The priority class.
    pub class: RequestClass,
    /// The deadline of a request that does not set one.
    pub deadline: DurationSetting,
    /// The maximum of requests in flight from one daemon to one replica or plain target.
    pub in_flight_per_replica: u32,
    /// Whether a request may be executed more than once.
    pub repeatability: Repeatability,
    /// Whether an idempotency key is required.
    pub idempotency_key: KeyRequirement,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            class: RequestClass::Desk,
            deadline: DurationSetting::from_secs(60),
            in_flight_per_replica: 64,
            repeatability: Repeatability::Repeatable,
            idempotency_key: KeyRequirement::Optional,
        }
    }
}

/// A caller and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// The name of the caller.
    pub name: CallerName,
    /// The SHA-256 hash of the caller's key, as 64 hexadecimal digits.
    pub key_sha256: String,
    /// The services that the caller may use.
    #[serde(default)]
    pub services: Selector,
    /// The limits that each daemon enforces.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// Limits of a caller, enforced by each daemon separately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// The maximum number of requests in flight.
    pub in_flight: u32,
    /// The sustained rate in requests per second.
    pub rate_per_s: u32,
    /// The number of requests that may arrive at once after an idle period.
    pub burst: u32,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { in_flight: 2000, rate_per_s: 2000, burst: 4000 }
    }
}

/// An object of any kind.
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

/// The kind and name of an object, such as `service/permit-assistant`.
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
