//! The configuration in force: routes, services and the models that their engines may hold.

pub mod change;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::name::{ModelName, ServiceName};
use tansyknot_http::server::RequestLimits;
use xxhash_rust::xxh3;

use crate::{
    access::team::Teams, fleet::warm_up::WarmUpPolicy, residency::RegionSet,
    stream_origin::routing::RouteDigests,
};

/// Whether a request may be retried after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeatability {
    /// The request is idempotent.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The response is a stream of events that may be resumed after the last received event.
    ResumableStream,
    /// The response is a stream of events that must come from a single run.
    Stream,
}

impl Repeatability {
    /// Returns whether a request may run again after a first run may have begun.
    pub fn allows_retry(self) -> bool {
        matches!(self, Repeatability::Idempotent | Repeatability::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeatability::ResumableStream | Repeatability::Stream)
    }
}

/// The destination and the treatment of requests with a given host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name that operators gave the route.
    pub name: Arc<str>,
    /// The `Host` header that the route matches.
    pub host: Arc<str>,
    /// The path prefix that the route matches, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may be retried.
    pub repeatability: Repeatability,
    /// The time within which a request gets its final response.
    pub timeout: Duration,
    /// The time within which a response is on time.
    pub objective: Duration,
    /// The longest pause between two events that counts as on time.
    pub gap_objective: Option<Duration>,
    /// The priority of the route's requests; 0 goes first.
    pub priority: u8,
    /// The maximum number of targets that one request may run on.
    pub max_attempts: u32,
    /// The services that receive the route's requests, and their weights.
    pub split: Vec<(ServiceName, u32)>,
    /// Whether the route's requests need no key.
    pub is_public: bool,
    /// The regions to which its requests are bound; `None` for no bound.
    pub regions: Option<RegionSet>,
}

impl Route {
    /// Returns whether the route sends requests to a service.
    pub fn leads_to(&self, service: &ServiceName) -> bool {
        self.split.iter().any(|(name, weight)| name == service && *weight > 0)
    }

    /// Returns the services that receive requests of the route.
    pub fn services(&self) -> BTreeSet<&ServiceName> {
        self.split.iter().filter(|(_, weight)| *weight > 0).map(|(name, _)| name).collect()
    }

    /// Returns the service that receives all requests of the route, if there is only one.
    pub fn sole_service(&self) -> Option<&ServiceName> {
        let mut services = self.services().into_iter();
        let service = services.next()?;
        services.next().is_none().then_some(service)
    }

    /// Selects a service by `draw`, a uniformly distributed number, in proportion to the weights.
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
        }
        None
    }
}

/// A model that the engines of a service may hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: ModelName,
    /// Engine memory that it uses, in MB.
    pub memory_mb: f64,
    /// How long a load from the weight store takes.
    pub load_remote: Duration,
    /// How long a load from the target's disk takes.
    pub load_disk: Duration,
    /// How long a load from the target's main memory takes.
    pub load_memory: Duration,
    /// Engine memory that one of its adapters uses, in MB.
    pub adapter_mb: f64,
}

/// The properties that all engines of a service share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine's cache holds.
    pub cache_tokens: u64,
    /// Memory of an engine for models and adapters, in MB.
    pub memory_mb: f64,
    /// Adapters that an engine may hold.
    pub adapter_slots: usize,
    /// Loads per second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// The models.
    pub models: HashMap<ModelName, Model>,
}

/// A service that routes send requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The properties of its engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// How its targets warm up after a start; `None` if they accept any rate at once.
    pub warm_up: Option<WarmUpPolicy>,
}

/// What a version of the configuration contains, if requests need no keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogContent {
    /// Its version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The operators' limits on requests.
    pub limits: RequestLimits,
}

impl From<CatalogContent> for Catalog {
    fn from(content: CatalogContent) -> Self {
        Self::new(content.version, content.routes, content.services).with_limits(content.limits)
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Its version; a higher one is newer.
    pub version: u64,
    /// The services by name.
    pub services: HashMap<ServiceName, Service>,
    /// The teams whose keys requests need; `None` if requests need no key.
    pub teams: Option<Teams>,
    /// The operators' limits on requests.
    pub limits: RequestLimits,
    /// The routes of each host, the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// The longest objective of the routes that lead to each service.
    longest_objectives: HashMap<ServiceName, Duration>,
    /// The longest timeout of the routes that lead to each service.
    longest_timeouts: HashMap<ServiceName, Duration>,
}

impl Catalog {
    /// Creates a version of the configuration.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        let mut longest_objectives: HashMap<ServiceName, Duration> = HashMap::new();
        let mut longest_timeouts: HashMap<ServiceName, Duration> = HashMap::new();
        for route in routes {
            for (service, _) in &route.split {
                let longest = longest_objectives.entry(service.clone()).or_default();
                *longest = route.objective.max(*longest);
                let longest = longest_timeouts.entry(service.clone()).or_default();
                *longest = route.timeout.max(*longest);
            }
            by_host.entry(Arc::clone(&route.host)).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Self {
            version,
            services,
            teams: None,
            limits: RequestLimits::default(),
            routes: by_host,
            longest_objectives,
            longest_timeouts,
        }
    }

    /// Returns the content of this version; `None` if requests need keys.
    pub fn content(&self) -> Option<CatalogContent> {
        self.teams.is_none().then(|| CatalogContent {
            version: self.version,
            routes: self.routes.values().flatten().map(|route| Route::clone(route)).collect(),
            services: self.services.values().cloned().collect(),
            limits: self.limits,
        })
    }

    /// Returns this version with the teams whose keys requests need.
    #[must_use]
    pub fn with_teams(self, teams: Option<Teams>) -> Self {
        Self { teams, ..self }
    }

    /// Returns this version with the operators' limits on requests.
    #[must_use]
    pub fn with_limits(self, limits: RequestLimits) -> Self {
        Self { limits, ..self }
    }

    /// Returns the route of `host` with the longest prefix that `path` starts with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|r| path.starts_with(r.prefix.as_ref()))
    }

    /// Returns the name and the regions of each route and team that is bound to regions.
    pub fn residency_bounds(&self) -> impl Iterator<Item = (&str, &RegionSet)> {
        let routes = self.routes.values().flatten();
        let routes = routes.filter_map(|r| Some((r.name.as_ref(), r.regions.as_ref()?)));
        let teams = self.teams.iter().flat_map(Teams::all);
        routes.chain(teams.filter_map(|t| Some((t.name.as_str(), t.regions.as_ref()?))))
    }

    /// Returns the longest objective of the routes that lead to a service.
    pub fn longest_objective(&self, service: &ServiceName) -> Duration {
        self.longest_objectives.get(service).copied().unwrap_or_default()
    }

    /// Returns the longest timeout of the routes that lead to a service.
    pub fn longest_timeout(&self, service: &ServiceName) -> Duration {
        self.longest_timeouts.get(service).copied().unwrap_or_default()
    }

    /// Returns digests of the routes of streams that lead to each service, each with those below it that
    /// lead elsewhere. They are the same at all daemons.
    pub fn stream_routes(&self) -> RouteDigests {
        let mut lines: BTreeMap<ServiceName, BTreeSet<String>> = BTreeMap::new();
        for routes in self.routes.values() {
            let mut routes: Vec<&Route> = routes.iter().map(Arc::as_ref).collect();
            routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
            for (n, route) in routes.iter().enumerate() {
                if !route.repeatability.is_stream() {
                    continue;
                }
                let services = route.services();
                let below = routes[n + 1..].iter();
                let below = below.take_while(|other| other.prefix.starts_with(&*route.prefix));
                let elsewhere: Vec<&str> = below
                    .filter(|other| other.services() != services)
                    .map(|other| &*other.prefix)
                    .collect();
                let (host, prefix) = (&route.host, &route.prefix);
                let line = format!("{host} {prefix} {services:?} {elsewhere:?}");
                for service in services {
                    lines.entry(service.clone()).or_default().insert(line.clone());
                }
            }
        }
        let digest = |lines: BTreeSet<String>| {
            let text: Vec<String> = lines.into_iter().collect();
            xxh3::xxh3_64(text.join("\n").as_bytes())
        };
        lines.into_iter().map(|(service, lines)| (service, digest(lines))).collect()
    }

    /// Returns the engine properties of a service; `None` for a plain or unknown service.
    pub fn engine(&self, service: &ServiceName) -> Option<&Engine> {
        self.services.get(service)?.engine.as_ref()
    }
}
