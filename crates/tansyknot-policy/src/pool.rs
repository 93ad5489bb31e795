//! The upstreams of one service at one daemon, and the queue of requests that wait for them.

use std::time::Duration;

use rand::RngCore;
use tansyknot_core::{
    clock::Time,
    name::{TargetName, ZoneName},
};

use crate::{
    queue::{QueueLimits, Ticket, WaitQueue, Waiter},
    routing::{Candidate, Routing},
};

/// A replica or a plain target that requests may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The target.
    pub target: TargetName,
    /// Its availability zone.
    pub availability_zone: ZoneName,
}

/// Options of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOptions {
    /// The availability zone of this daemon.
    pub availability_zone: ZoneName,
    /// Maximum number of this daemon's requests in flight at one upstream.
    pub max_in_flight_per_upstream: u32,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
}

/// The decision on a request that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request may be sent to this target now.
    Granted(TargetName),
    /// The request waits in the queue.
    Queued(Ticket),
    /// The request can't be served before its deadline; a retry may succeed after this delay.
    Refused(Duration),
}

/// A waiting request that may be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The target to send it to.
    pub target: TargetName,
}

/// Weight of the newest sample in the exponential moving average of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Service time assumed before the first sample.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(500);
/// Load time assumed before the first sample.
const INITIAL_LOAD_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Member {
    upstream: Upstream,
    in_flight: u32,
    open: bool,
    prefixes: Vec<u64>,
    report: Option<LoadReport>,
}

/// The load that an upstream reported, with the time of the report.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    in_flight: u32,
    at: Time,
}

/// Age from which a load report is ignored. Reports arrive only with responses: without this limit,
/// a report of a high load could keep all requests away from its upstream and never be replaced.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Maximum number of prompt prefix hints stored for each upstream.
const MAX_PREFIXES: usize = 64;

/// The upstreams and the queue of one service.
#[derive(Debug)]
pub struct Pool {
    options: PoolOptions,
    members: Vec<Member>,
    queue: WaitQueue,
    /// Requests that later arrivals have displaced from the full queue.
    displaced: Vec<Ticket>,
    service_time: Duration,
    load_time: Duration,
    ready_at: Option<Time>,
    /// The latest time passed to the pool.
    now: Time,
}

impl Pool {
    /// Creates a pool without upstreams.
    pub fn new(options: PoolOptions) -> Self {
        Self {
            options,
            members: Vec::new(),
            queue: WaitQueue::default(),
            displaced: Vec::new(),
            service_time: INITIAL_SERVICE_TIME,
            load_time: INITIAL_LOAD_TIME,
            ready_at: None,
            now: Time::default(),
        }
    }

    /// Replaces the options; they apply to later requests.
    pub fn set_options(&mut self, options: PoolOptions) {
        self.options = options;
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests sent and not finished.
    pub fn in_flight(&self) -> u32 {
        self.members.iter().map(|m| m.in_flight).sum()
    }

    /// Returns the exponential moving average of service times.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Returns the duration of the last recorded load.
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Returns whether an upstream is open.
    pub fn has_upstream(&self) -> bool {
        self.members.iter().any(|m| m.open)
    }

    /// Returns whether an upstream outside `avoid` is open.
    pub fn has_other_upstream(&self, avoid: &[TargetName]) -> bool {
        self.members.iter().any(|m| m.open && !avoid.contains(&m.upstream.target))
    }

    /// Sets the time at which the first replica is expected, `None` if none is loading.
    pub fn expect_ready(&mut self, at: Option<Time>) {
        self.ready_at = at;
    }

    /// Records the duration of a load.
    pub fn record_load(&mut self, took: Duration) {
        self.load_time = took;
    }

    /// Replaces the set of upstreams and grants waiting requests that they can serve.
    ///
    /// An upstream that is not in the new set is closed at once and removed when its last request
    /// finishes.
    pub fn set_upstreams(
        &mut self,
        upstreams: &[Upstream],
        routing: &dyn Routing,
        rng: &mut dyn RngCore,
    ) -> Vec<Grant> {
        for m in &mut self.members {
            m.open = false;
        }
        for upstream in upstreams {
            match self.members.iter_mut().find(|m| m.upstream.target == upstream.target) {
                Some(m) => {
                    m.upstream = upstream.clone();
                    m.open = true;
                }
                None => self.members.push(Member {
                    upstream: upstream.clone(),
                    in_flight: 0,
                    open: true,
                    prefixes: Vec::new(),
                    report: None,
                }),
            }
        }
        self.remove_closed();
        if self.has_upstream() {
            self.ready_at = None;
        }
        self.grant(routing, rng)
    }

    /// Records the load that an upstream reported with a response.
    pub fn report(&mut self, target: &TargetName, in_flight: u32, now: Time) {
        if let Some(m) = self.members.iter_mut().find(|m| m.upstream.target == *target) {
            m.report = Some(LoadReport { in_flight, at: now });
        }
        self.now = self.now.max(now);
    }

    /// Closes an upstream, for instance after it refused a request as not loaded or could
    /// not be reached.
    pub fn close(&mut self, target: &TargetName) {
        if let Some(m) = self.members.iter_mut().find(|m| m.upstream.target == *target) {
            m.open = false;
        }
        self.remove_closed();
    }

    /// Grants a new request, queues it, or refuses it if it can't be served in time.
    ///
    /// `prefix` is a hash of the start of the prompt; `avoid` lists targets that just failed.
    pub fn arrive(
        &mut self,
        now: Time,
        waiter: Waiter,
        prefix: Option<u64>,
        avoid: &[TargetName],
        routing: &dyn Routing,
        rng: &mut dyn RngCore,
    ) -> Arrival {
        self.now = self.now.max(now);
        self.queue.promote(now);
        if self.queue.is_empty()
            && let Some(target) = self.choose(prefix, avoid, routing, rng)
        {
            return Arrival::Granted(target);
        }
        let wait = self.expected_wait(now, &waiter);
        let in_time = now + wait + self.service_time <= waiter.deadline;
        if !in_time {
            return Arrival::Refused(wait);
        }
        let ticket = self.queue.push(waiter);
        let limits = QueueLimits { max_waiting: self.options.max_waiting, max_bytes: usize::MAX };
        match self.queue.pop_excess(&limits) {
            Some((last, _)) if last == ticket => return Arrival::Refused(wait),
            Some((last, _)) => self.displaced.push(last),
            None => {}
        }
        Arrival::Queued(ticket)
    }

    /// Returns the waiting requests that arrivals of requests before them in the order have removed
    /// from the full queue since the last call.
    pub fn take_displaced(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.displaced)
    }

    /// Ends a granted request at `target` and grants waiting requests that fit now.
    ///
    /// `took` is set for complete responses only; failures say nothing about the service time.
    pub fn finish(
        &mut self,
        target: &TargetName,
        took: Option<Duration>,
        routing: &dyn Routing,
        rng: &mut dyn RngCore,
    ) -> Vec<Grant> {
        if let Some(m) = self.members.iter_mut().find(|m| m.upstream.target == *target) {
            m.in_flight = m.in_flight.saturating_sub(1);
        }
        if let Some(took) = took {
            let old = self.service_time.mul_f64(1.0 - SERVICE_TIME_WEIGHT);
            self.service_time = old + took.mul_f64(SERVICE_TIME_WEIGHT);
        }
        self.remove_closed();
        self.grant(routing, rng)
    }

    /// Removes a waiting request; returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Removes and returns every waiting request whose deadline can no longer be met.
    pub fn expire(&mut self, now: Time) -> Vec<Ticket> {
        self.queue.promote(now);
        let needed = self.service_time.min(INITIAL_SERVICE_TIME);
        let expired = self.queue.unservable(now, needed);
        for ticket in &expired {
            self.queue.remove(*ticket);
        }
        expired
    }

    /// Returns the expected waiting time of a request like `waiter`.
    pub fn expected_wait(&self, now: Time, waiter: &Waiter) -> Duration {
        let open = self.members.iter().filter(|m| m.open).count().max(1) as f64;
        let capacity = open * f64::from(self.options.max_in_flight_per_upstream);
        let rounds = (self.queue.ahead_of(waiter) as f64 + 1.0) / capacity;
        let queue = self.service_time.mul_f64(rounds);
        let load = match self.ready_at {
            Some(at) => at.since(now),
            None if self.has_upstream() => Duration::ZERO,
            None => self.load_time,
        };
        load + queue
    }

    fn grant(&mut self, routing: &dyn Routing, rng: &mut dyn RngCore) -> Vec<Grant> {
        let mut grants = Vec::new();
        while !self.queue.is_empty() {
            let Some(target) = self.choose(None, &[], routing, rng) else { break };
            let Some((ticket, _)) = self.queue.pop() else { break };
            grants.push(Grant { ticket, target });
        }
        grants
    }

    /// Chooses an upstream below its limit and counts the request there.
    fn choose(
        &mut self,
        prefix: Option<u64>,
        avoid: &[TargetName],
        routing: &dyn Routing,
        rng: &mut dyn RngCore,
    ) -> Option<TargetName> {
        let open: Vec<usize> = (0..self.members.len())
            .filter(|&i| self.members[i].open)
            .filter(|&i| !avoid.contains(&self.members[i].upstream.target))
            .collect();
        let candidates: Vec<Candidate> =
            open.iter().map(|&i| self.candidate(&self.members[i], prefix)).collect();
        let chosen = open[routing.choose(&candidates, rng)?];
        let m = &mut self.members[chosen];
        m.in_flight += 1;
        if let Some(prefix) = prefix {
            remember_prefix(&mut m.prefixes, prefix);
        }
        Some(m.upstream.target.clone())
    }

    fn candidate(&self, m: &Member, prefix: Option<u64>) -> Candidate {
        Candidate {
            target: m.upstream.target.clone(),
            same_zone: m.upstream.availability_zone == self.options.availability_zone,
            own_in_flight: m.in_flight,
            reported_in_flight: self.reported_load(m),
            limit: self.options.max_in_flight_per_upstream,
            prefix_cached: prefix.is_some_and(|p| m.prefixes.contains(&p)),
        }
    }

    fn reported_load(&self, m: &Member) -> u32 {
        let fresh = m.report.filter(|r| self.now.since(r.at) < MAX_REPORT_AGE);
        fresh.map_or(0, |r| r.in_flight)
    }

    fn remove_closed(&mut self) {
        self.members.retain(|m| m.open || m.in_flight > 0);
    }
}

fn remember_prefix(prefixes: &mut Vec<u64>, prefix: u64) {
    if prefixes.contains(&prefix) {
        return;
    }
    if prefixes.len() == MAX_PREFIXES {
        prefixes.remove(0);
    }
    prefixes.push(prefix);
}
