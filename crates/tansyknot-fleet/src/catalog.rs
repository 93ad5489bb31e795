//! The configuration in force: routes, services and the models that their engines may hold.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tansyknot_core::name::{ModelName, ServiceName};

use crate::access::team::Teams;

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events that may be continued after the last one received.
    ResumableStream,
    /// The answer is a stream of events that only one run may produce.
    Stream,
}

impl Repeat {
    /// Tells whether a second run is allowed after a first that may have begun.
    pub fn may_run_again(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::ResumableStream | Repeat::Stream)
    }
}

/// Where requests with a host and a path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name that operators gave it.
    pub name: Arc<str>,
    /// The `Host` header that it is for.
    pub host: Arc<str>,
    /// The start of the path, from slash to slash.
    pub prefix: Arc<str>,
    /// Whether a request may run again.
    pub repeat: Repeat,
    /// A request gets its final answer within this time.
    pub timeout: Duration,
    /// An answer within this time is on time.
    pub objective: Duration,
    /// The longest pause between two events that is still on time.
    pub gap_objective: Option<Duration>,
    /// The rank of its requests; 0 goes first.
    pub priority: u8,
    /// Targets that one request may run on.
    pub attempts_max: u32,
    /// The services that take its requests, and their shares.
    pub split: Vec<(ServiceName, u32)>,
    /// Whether its requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Picks a service by `draw`, a uniformly distributed number.
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut at = draw.checked_rem(total)?;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if at < weight {
                return Some(service);
            }
            at -= weight;
        }
        None
    }
}

/// A model that the engines of a service may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// Engine memory that it takes, in MB.
    pub memory_mb: f64,
    /// How long a load from the weight store takes.
    pub load_remote: Duration,
    /// How long a load from the target's disk takes.
    pub load_disk: Duration,
    /// How long a load from the target's main memory takes.
    pub load_memory: Duration,
    /// Engine memory that one of its adapters takes, in MB.
    pub adapter_mb: f64,
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine's cache holds.
    pub cache_tokens: u64,
    /// Memory of an engine for models and adapters, in MB.
    pub memory_mb: f64,
    /// Adapters that an engine may hold.
    pub adapter_slots: usize,
    /// Loads that the weight store allows a second, over all engines.
    pub loads_per_s: f64,
    /// The models.
    pub models: HashMap<ModelName, Model>,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Its engines' properties; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Its version; a higher one is newer.
    pub version: u64,
    /// The services by name.
    pub services: HashMap<ServiceName, Service>,
    /// The teams whose keys requests need; `None` if they need none.
    pub teams: Option<Teams>,
    /// The routes of each host, the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// The longest objective of the routes that lead to each service.
    longest_objectives: HashMap<ServiceName, Duration>,
}

impl Catalog {
    /// Makes a version of the configuration.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        let mut longest_objectives: HashMap<ServiceName, Duration> = HashMap::new();
        for route in routes {
            for (service, _) in &route.split {
                let longest = longest_objectives.entry(service.clone()).or_default();
                *longest = route.objective.max(*longest);
            }
            by_host.entry(Arc::clone(&route.host)).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self { version, services, teams: None, routes: by_host, longest_objectives }
    }

    /// Returns this version with the teams whose keys requests need.
    #[must_use]
    pub fn with_teams(self, teams: Option<Teams>) -> Self {
        Self { teams, ..self }
    }

    /// Returns the route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|r| path.starts_with(r.prefix.as_ref()))
    }

    /// Returns the longest objective of the routes that lead to a service.
    pub fn longest_objective(&self, service: &ServiceName) -> Duration {
        self.longest_objectives.get(service).copied().unwrap_or_default()
    }

    /// Returns the engine properties of a service; `None` for a plain or unknown one.
    pub fn engine(&self, service: &ServiceName) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }
}
