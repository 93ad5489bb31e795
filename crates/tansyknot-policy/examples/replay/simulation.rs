//! Simulation of hosts, loads and requests in virtual time, with the daemon's decision functions.

mod loads;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    time::Duration,
};

use rand::{SeedableRng, rngs::StdRng};
use tansyknot_core::{
    clock::Time,
    name::{TargetName, ZoneName},
};
use tansyknot_policy::{
    gaps::Gaps,
    pool::{Arrival, Grant, Pool, PoolOptions, Upstream},
    queue::{Ticket, Waiter},
    retention::{self, RetentionOptions, RetentionPlan},
    routing::ZoneTwoChoices,
    scaling::{self, ColdWeight, Demand, ReplicaBounds},
};

use self::loads::REMOTE_LOAD_US;
use crate::{
    Weight,
    policy::Policy,
    report::{self, Report},
    trace::{Class, Request},
};

const ZONES: usize = 3;
/// Requests that one replica serves concurrently.
const MAX_IN_FLIGHT_PER_REPLICA: u32 = 8;
const FIRST_TOKEN_BASE_US: u64 = 50_000;
const PROMPT_TOKEN_US: u64 = 200;
const OUTPUT_TOKEN_US: u64 = 30_000;
const ADAPTER_LOAD_US: u64 = 200_000;
const MAX_ADAPTERS: usize = 8;
/// Maximum retention of an unused replica, the default of a rule.
const MAX_KEEP: Duration = Duration::from_secs(3600);
/// Minimum retention of an unused replica.
const MIN_KEEP: Duration = Duration::from_secs(10);
/// Shorter gaps are not recorded as idle time, as in the daemon.
const MIN_GAP_US: u64 = 1_000_000;
/// A request is a first request if its service was unused for at least this long.
const FIRST_REQUEST_GAP_US: u64 = 60_000_000;

/// Options of a simulation run.
#[derive(Clone, Copy)]
pub(crate) struct SimulationOptions {
    pub(crate) hosts: usize,
    pub(crate) memory_bytes: u64,
    pub(crate) model_bytes: u64,
    pub(crate) loads_per_s: f64,
    pub(crate) seed: u64,
    pub(crate) weight: Weight,
    pub(crate) replicas: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// Stages the checkpoint of this service or continues with the next one.
    Stage {
        service: usize,
    },
    Finish {
        request: usize,
        host: usize,
    },
    Loaded {
        service: usize,
        host: usize,
    },
    Arrive {
        request: usize,
    },
    /// Checks whether the service needs a load or a removal and refuses expired waiting requests.
    Check {
        service: usize,
    },
}

#[derive(Default)]
struct Host {
    used_bytes: u64,
    loading: u32,
    disk: Vec<usize>,
    memory: Vec<usize>,
}

struct Replica {
    host: usize,
    ready: bool,
    load_started_us: u64,
    active_requests: u32,
    busy_since_us: u64,
    busy_us: u64,
    adapters: Vec<String>,
    /// When the replica last became idle.
    idle_since_us: u64,
}

struct Service {
    pool: Pool,
    replicas: Vec<Replica>,
    gaps: Gaps,
    last_use_us: Option<u64>,
    waiting: HashMap<Ticket, usize>,
    load_us: u64,
    /// Time of the next scheduled check.
    next_check_us: Option<u64>,
}

pub(crate) struct Simulation<'a> {
    requests: &'a [Request],
    options: SimulationOptions,
    policy: Policy,
    names: Vec<&'a str>,
    ids: BTreeMap<&'a str, usize>,
    services: Vec<Service>,
    hosts: Vec<Host>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    now_us: u64,
    next_load_us: u64,
    remote_loads: u32,
    rng: StdRng,
    evicts: bool,
    tally: Report,
    first_ms: Vec<f64>,
    cold_ms: Vec<f64>,
    first_request_ms: Vec<f64>,
    is_cold: Vec<bool>,
    is_first: Vec<bool>,
    /// Services with waiting requests for which no host had enough memory; they are checked again
    /// when a request finishes.
    lacking_memory: Vec<usize>,
}

fn zone(host: usize) -> ZoneName {
    ZoneName::new(format!("z{}", host % ZONES))
}

fn target(host: usize) -> TargetName {
    TargetName::new(format!("h{host}"))
}

fn host_index(target: &TargetName) -> usize {
    target.as_str()[1..].parse().expect("target names come from `target`")
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(requests: &'a [Request], policy: Policy, options: SimulationOptions) -> Self {
        let mut ids = BTreeMap::new();
        let mut names = Vec::new();
        for request in requests {
            ids.entry(request.service.as_str()).or_insert_with(|| {
                names.push(request.service.as_str());
                names.len() - 1
            });
        }
        let pool_options = PoolOptions {
            availability_zone: zone(0),
            max_in_flight_per_upstream: MAX_IN_FLIGHT_PER_REPLICA,
            max_waiting: 512,
        };
        let services = names
            .iter()
            .map(|_| Service {
                pool: Pool::new(pool_options.clone()),
                replicas: Vec::new(),
                gaps: Gaps::default(),
                last_use_us: None,
                waiting: HashMap::new(),
                load_us: REMOTE_LOAD_US,
                next_check_us: None,
            })
            .collect();
        let events = requests
            .iter()
            .enumerate()
            .map(|(request, r)| Reverse((r.at_ms * 1000, Event::Arrive { request })))
            .collect();
        Self {
            requests,
            options,
            policy,
            names,
            ids,
            services,
            hosts: (0..options.hosts).map(|_| Host::default()).collect(),
            events,
            now_us: 0,
            next_load_us: 0,
            remote_loads: 0,
            rng: StdRng::seed_from_u64(options.seed),
            evicts: true,
            tally: Report::default(),
            first_ms: Vec::new(),
            cold_ms: Vec::new(),
            first_request_ms: Vec::new(),
            is_cold: vec![false; requests.len()],
            is_first: vec![false; requests.len()],
            lacking_memory: Vec::new(),
        }
    }

    /// Runs the entire trace and returns the results.
    pub(crate) fn run(mut self, name: &str) -> Report {
        self.evicts = Policy::evicts(name);
        if self.policy.stages && self.options.weight == Weight::Cold {
            self.events.push(Reverse((0, Event::Stage { service: 0 })));
        }
        let end_us = self.requests.last().map_or(0, |r| r.at_ms * 1000);
        while let Some(Reverse((at, event))) = self.events.pop() {
            // After the last arrival, only running and waiting requests are simulated to their end.
            let has_open_requests =
                self.services.iter().any(|s| !s.waiting.is_empty() || s.pool.in_flight() > 0);
            if at > end_us && !has_open_requests {
                break;
            }
            self.now_us = at;
            self.handle(event);
        }
        self.now_us = self.now_us.max(end_us);
        for service in 0..self.services.len() {
            while !self.services[service].replicas.is_empty() {
                self.remove_replica(service, 0);
            }
        }
        self.report(name)
    }

    fn report(mut self, name: &str) -> Report {
        let mut r = self.tally;
        r.policy = name.to_owned();
        r.requests = self.requests.len() as u64;
        r.unaccounted = r.requests - r.served - r.refused;
        r.first_token_p50_ms = report::quantile(&mut self.first_ms, 0.5);
        r.first_token_p99_ms = report::quantile(&mut self.first_ms, 0.99);
        r.cold_first_token_p99_ms = report::quantile(&mut self.cold_ms, 0.99);
        r.first_request_p99_ms = report::quantile(&mut self.first_request_ms, 0.99);
        r
    }

    fn now(&self) -> Time {
        Time::from_micros(self.now_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::Stage { service } => self.stage(service),
            Event::Finish { request, host } => self.finish(request, host),
            Event::Loaded { service, host } => self.finish_load(service, host),
            Event::Check { service } => {
                if self.services[service].next_check_us == Some(self.now_us) {
                    self.services[service].next_check_us = None;
                    self.check(service);
                }
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let r = &self.requests[request];
        let id = self.ids[r.service.as_str()];
        let now = self.now();
        let deadline = now + Duration::from_millis(r.deadline_ms);
        let rank = u8::from(r.class == Class::Batch);
        let s = &mut self.services[id];
        let gap = s.last_use_us.map(|last| self.now_us.saturating_sub(last));
        self.is_first[request] = gap.is_none_or(|gap| gap >= FIRST_REQUEST_GAP_US);
        let is_idle = s.waiting.is_empty() && s.pool.in_flight() == 0;
        if let Some(gap) = gap
            && is_idle
            && gap >= MIN_GAP_US
        {
            s.gaps.record(Duration::from_micros(gap));
        }
        s.last_use_us = Some(self.now_us);
        self.is_cold[request] = !s.pool.has_upstream();
        let routing = ZoneTwoChoices::default();
        let waiter = Waiter::of_one_team(rank, now, deadline);
        let arrival = s.pool.arrive(now, waiter, None, &[], &routing, &mut self.rng);
        for ticket in s.pool.take_displaced() {
            s.waiting.remove(&ticket);
            self.tally.refused += 1;
        }
        match arrival {
            Arrival::Granted(target) => self.start_request(id, request, host_index(&target)),
            Arrival::Queued(ticket) => {
                s.waiting.insert(ticket, request);
                self.check(id);
            }
            Arrival::Refused(_) => self.tally.refused += 1,
        }
    }

    /// Starts to serve a request at a host.
    fn start_request(&mut self, id: usize, request: usize, host: usize) {
        let r = &self.requests[request];
        let now_us = self.now_us;
        let Some(replica) = self.services[id].replicas.iter_mut().find(|x| x.host == host) else {
            return;
        };
        if replica.active_requests == 0 {
            replica.busy_since_us = now_us;
        }
        replica.active_requests += 1;
        let adapter_us = adapter_load_time(replica, &r.adapter);
        let first_us =
            FIRST_TOKEN_BASE_US + adapter_us + u64::from(r.prompt_tokens) * PROMPT_TOKEN_US;
        let end_us = now_us + first_us + u64::from(r.output_tokens) * OUTPUT_TOKEN_US;
        let waited_ms = (now_us + first_us - r.at_ms * 1000) as f64 / 1000.0;
        self.first_ms.push(waited_ms);
        if self.is_cold[request] {
            self.cold_ms.push(waited_ms);
        }
        if self.is_first[request] {
            self.first_request_ms.push(waited_ms);
        }
        self.tally.served += 1;
        if end_us > (r.at_ms + r.deadline_ms) * 1000 {
            self.tally.late += 1;
        }
        self.events.push(Reverse((end_us, Event::Finish { request, host })));
    }

    fn finish(&mut self, request: usize, host: usize) {
        let r = &self.requests[request];
        let id = self.ids[r.service.as_str()];
        let now_us = self.now_us;
        let s = &mut self.services[id];
        s.last_use_us = Some(now_us);
        if let Some(replica) = s.replicas.iter_mut().find(|x| x.host == host) {
            replica.active_requests -= 1;
            if replica.active_requests == 0 {
                replica.busy_us += now_us - replica.busy_since_us;
                replica.idle_since_us = now_us;
            }
        }
        let took = Duration::from_micros(
            FIRST_TOKEN_BASE_US
                + u64::from(r.prompt_tokens) * PROMPT_TOKEN_US
                + u64::from(r.output_tokens) * OUTPUT_TOKEN_US,
        );
        let routing = ZoneTwoChoices::default();
        let grants = s.pool.finish(&target(host), Some(took), &routing, &mut self.rng);
        self.grant(id, grants);
        self.check(id);
        // A replica may have become evictable for services that lack memory.
        for other in std::mem::take(&mut self.lacking_memory) {
            self.check(other);
        }
    }

    fn grant(&mut self, id: usize, grants: Vec<Grant>) {
        for grant in grants {
            if let Some(request) = self.services[id].waiting.remove(&grant.ticket) {
                self.start_request(id, request, host_index(&grant.target));
            }
        }
    }

    fn finish_load(&mut self, id: usize, host: usize) {
        let now_us = self.now_us;
        self.hosts[host].loading -= 1;
        if !self.hosts[host].disk.contains(&id) {
            self.hosts[host].disk.push(id);
            self.remote_loads = self.remote_loads.saturating_sub(1);
        }
        let s = &mut self.services[id];
        if let Some(replica) = s.replicas.iter_mut().find(|x| x.host == host) {
            replica.ready = true;
            replica.idle_since_us = now_us;
            s.load_us = now_us - replica.load_started_us;
            s.pool.record_load(Duration::from_micros(s.load_us));
        }
        if self.services[id].last_use_us.is_none() {
            // The model was loaded only to stage its checkpoint.
            self.remove_replica(id, 0);
            return;
        }
        self.publish(id);
        self.check(id);
    }

    fn publish(&mut self, id: usize) {
        let s = &mut self.services[id];
        let ready = s.replicas.iter().filter(|x| x.ready);
        let upstreams: Vec<Upstream> = ready
            .map(|x| Upstream { target: target(x.host), availability_zone: zone(x.host) })
            .collect();
        let routing = ZoneTwoChoices::default();
        let grants = s.pool.set_upstreams(&upstreams, &routing, &mut self.rng);
        self.grant(id, grants);
    }

    /// Decides on scaling and retention of one service, as a coordinator does in one step.
    fn check(&mut self, id: usize) {
        self.refuse_expired(id);
        let s = &self.services[id];
        let demand = Demand {
            waiting: s.pool.waiting() as u32,
            in_flight: s.pool.in_flight(),
            per_replica: MAX_IN_FLIGHT_PER_REPLICA,
            service_time: s.pool.service_time(),
            load_time: Duration::from_micros(s.load_us),
        };
        // The baselines differ only in retention.
        let weight = if self.policy.bounded { self.weight() } else { ColdWeight::Less };
        let extra_after = scaling::extra_after(weight, demand.load_time);
        let bounds = ReplicaBounds { min: 0, max: self.options.replicas, extra_after };
        let present = s.replicas.len() as u32;
        let plan = self.plan(id);
        let prewarm = self.is_prewarm_time(id, &plan);
        let mut wanted = scaling::wanted(&demand, present, bounds);
        if prewarm {
            wanted = wanted.max(1);
        }
        if wanted > present && !self.load(id, demand.waiting == 0) && demand.waiting > 0 {
            self.lacking_memory.push(id);
        }
        if demand.waiting == 0 && demand.in_flight == 0 && !prewarm {
            self.remove_idle(id, &plan);
        }
        self.schedule(id, &plan);
    }

    /// Refuses the waiting requests that can no longer be served in time.
    fn refuse_expired(&mut self, id: usize) {
        let now = self.now();
        let s = &mut self.services[id];
        for ticket in s.pool.expire(now) {
            if s.waiting.remove(&ticket).is_some() {
                self.tally.refused += 1;
            }
        }
    }

    fn plan(&self, id: usize) -> RetentionPlan {
        let s = &self.services[id];
        let options = RetentionOptions {
            cold_start_worth: retention::cold_start_worth(self.weight()),
            min_keep: MIN_KEEP,
            max_keep: MAX_KEEP,
            load_time: Duration::from_micros(s.load_us),
        };
        let plan = self.policy.retention.plan(&s.gaps, &options);
        debug_assert!(!self.policy.bounded || plan.keep <= MAX_KEEP);
        plan
    }

    fn weight(&self) -> ColdWeight {
        match self.options.weight {
            Weight::Cold => ColdWeight::More,
            Weight::Idle => ColdWeight::Less,
        }
    }

    fn is_prewarm_time(&self, id: usize, plan: &RetentionPlan) -> bool {
        let Some(last_us) = self.services[id].last_use_us else { return false };
        let idle = Duration::from_micros(self.now_us - last_us);
        plan.prewarm.is_some_and(|(from, duration)| idle >= from && idle < from + duration)
    }

    fn remove_idle(&mut self, id: usize, plan: &RetentionPlan) {
        let Some(last_us) = self.services[id].last_use_us else { return };
        let idle = Duration::from_micros(self.now_us - last_us);
        if self.policy.bounded && idle >= MIN_KEEP && self.services[id].replicas.len() > 1 {
            self.remove_extra(id);
        }
        if idle < plan.keep {
            return;
        }
        while let Some(at) =
            self.services[id].replicas.iter().position(|x| x.ready && x.active_requests == 0)
        {
            self.remove_replica(id, at);
        }
        self.publish(id);
    }

    /// Schedules the next check: at the end of the retention, at a bound of the prewarm window, or
    /// in 500 ms while requests wait.
    fn schedule(&mut self, id: usize, plan: &RetentionPlan) {
        let s = &self.services[id];
        let Some(last_us) = s.last_use_us else { return };
        let after = |elapsed: Duration| last_us.saturating_add(elapsed.as_micros() as u64);
        let mut times = Vec::new();
        if !s.replicas.is_empty() {
            times.push(after(plan.keep));
            times.push(after(MIN_KEEP));
        }
        if let Some((from, duration)) = plan.prewarm {
            times.extend([after(from), after(from + duration)]);
        }
        if !s.waiting.is_empty() {
            times.push(self.now_us + 500_000);
        }
        let next = times.into_iter().filter(|t| *t > self.now_us).min();
        self.services[id].next_check_us = next;
        if let Some(at) = next {
            self.events.push(Reverse((at, Event::Check { service: id })));
        }
        debug_assert!(id < self.names.len());
    }
}

/// Returns the time to load the adapter at the replica, zero if it is loaded.
fn adapter_load_time(replica: &mut Replica, adapter: &str) -> u64 {
    if adapter.is_empty() || replica.adapters.iter().any(|a| a == adapter) {
        return 0;
    }
    if replica.adapters.len() == MAX_ADAPTERS {
        replica.adapters.remove(0);
    }
    replica.adapters.push(adapter.to_owned());
    ADAPTER_LOAD_US
}
