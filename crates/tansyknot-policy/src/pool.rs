//! The replicas of one service as one daemon uses them, and the requests that wait for them.

use std::time::Duration;

use rand::RngCore;
use tansyknot_core::{
    clock::Time,
    name::{TargetName, ZoneName},
};

use crate::{
    queue::{Ticket, WaitQueue, Waiter},
    routing::{Candidate, Routing},
};

/// A replica, or a plain target, that requests may be sent to.
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
    /// Requests in flight that one upstream takes from this daemon.
    pub per_upstream: u32,
    /// Requests that may wait.
    pub waiting_max: usize,
}

/// What becomes of a request that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It may be sent now.
    Granted(TargetName),
    /// It waits.
    Queued(Ticket),
    /// It can't be served before its deadline; it may come back after the span.
    Refused(Duration),
}

/// A waiting request that may be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Which one.
    pub ticket: Ticket,
    /// Where to.
    pub target: TargetName,
}

/// The share of the newest sample in the running mean of service times.
const SERVICE_TIME_SHARE: f64 = 0.1;
/// Service time assumed before the first sample.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(500);
/// Load time assumed before the first sample.
const FIRST_LOAD_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Member {
    upstream: Upstream,
    in_flight: u32,
    open: bool,
    prefixes: Vec<u64>,
    report: Option<LoadReport>,
}

/// What an upstream said of its load, and when.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    in_flight: u32,
    at: Time,
}

/// A report says nothing any more after this long: one that kept requests away would never be
/// replaced by a newer one.
const REPORT_SPAN: Duration = Duration::from_secs(2);

/// Prefix hints remembered for each upstream.
const PREFIXES: usize = 64;

/// The pool of one service.
#[derive(Debug)]
pub struct Pool {
    options: PoolOptions,
    members: Vec<Member>,
    queue: WaitQueue,
    service_time: Duration,
    load_time: Duration,
    ready_at: Option<Time>,
    /// The latest time that the pool has heard of.
    now: Time,
}

impl Pool {
    /// Makes a pool without upstreams.
    pub fn new(options: PoolOptions) -> Self {
        Self {
            options,
            members: Vec::new(),
            queue: WaitQueue::default(),
            service_time: FIRST_SERVICE_TIME,
            load_time: FIRST_LOAD_TIME,
            ready_at: None,
            now: Time::default(),
        }
    }

    /// Changes the options for requests to come.
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

    /// Returns the running mean of service times.
    pub fn service_time(&self) -> Duration {
        self.service_time
    }

    /// Returns the time that the last loads took.
    pub fn load_time(&self) -> Duration {
        self.load_time
    }

    /// Tells whether an upstream is open.
    pub fn has_upstream(&self) -> bool {
        self.members.iter().any(|m| m.open)
    }

    /// Tells whether an upstream is open that is not among `avoid`.
    pub fn has_upstream_besides(&self, avoid: &[TargetName]) -> bool {
        self.members.iter().any(|m| m.open && !avoid.contains(&m.upstream.target))
    }

    /// Says that the first replica is expected at `at`, or that none is on its way.
    pub fn expect_ready(&mut self, at: Option<Time>) {
        self.ready_at = at;
    }

    /// Records how long a load took.
    pub fn record_load(&mut self, took: Duration) {
        self.load_time = took;
    }

    /// Replaces the set of upstreams and grants what waits for them.
    ///
    /// One that has gone is closed at once and forgotten when its last request finishes.
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
        self.forget_closed();
        if self.has_upstream() {
            self.ready_at = None;
        }
        self.grant(routing, rng)
    }

    /// Takes in what an upstream said of its load with an answer.
    pub fn report(&mut self, target: &TargetName, in_flight: u32, now: Time) {
        if let Some(m) = self.members.iter_mut().find(|m| m.upstream.target == *target) {
            m.report = Some(LoadReport { in_flight, at: now });
        }
        self.now = self.now.max(now);
    }

    /// Closes one upstream, for instance because it refused as not loaded or leaving.
    pub fn close(&mut self, target: &TargetName) {
        if let Some(m) = self.members.iter_mut().find(|m| m.upstream.target == *target) {
            m.open = false;
        }
        self.forget_closed();
    }

    /// Takes a request in: grants it, queues it, or refuses it if it can't be served in time.
    ///
    /// `prefix` is a hash of the start of the prompt, and `avoid` a target that just failed.
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
        if self.queue.is_empty()
            && let Some(target) = self.choose(prefix, avoid, routing, rng)
        {
            return Arrival::Granted(target);
        }
        let wait = self.expected_wait(now, &waiter);
        let in_time = now + wait + self.service_time <= waiter.deadline;
        if !in_time || self.queue.len() >= self.options.waiting_max {
            return Arrival::Refused(wait);
        }
        Arrival::Queued(self.queue.push(waiter))
    }

    /// Ends a request at `target` that was granted, and grants what waits for the room.
    ///
    /// `took` is given for whole answers only; failures say nothing about service time.
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
            let old = self.service_time.mul_f64(1.0 - SERVICE_TIME_SHARE);
            self.service_time = old + took.mul_f64(SERVICE_TIME_SHARE);
        }
        self.forget_closed();
        self.grant(routing, rng)
    }

    /// Takes a waiter out; tells whether it was still waiting.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Takes out every waiter whose deadline can't be met any more.
    pub fn expire(&mut self, now: Time) -> Vec<Ticket> {
        let needed = self.service_time.min(FIRST_SERVICE_TIME);
        let late = self.queue.hopeless(now, needed);
        for ticket in &late {
            self.queue.remove(*ticket);
        }
        late
    }

    /// Returns how long a request like `waiter` would wait.
    pub fn expected_wait(&self, now: Time, waiter: &Waiter) -> Duration {
        let open = self.members.iter().filter(|m| m.open).count().max(1) as f64;
        let at_once = open * f64::from(self.options.per_upstream);
        let turns = (self.queue.ahead_of(waiter) as f64 + 1.0) / at_once;
        let queue = self.service_time.mul_f64(turns);
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

    /// Chooses an upstream with room and counts the request there.
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
            reported_in_flight: self.reported(m),
            limit: self.options.per_upstream,
            prefix_cached: prefix.is_some_and(|p| m.prefixes.contains(&p)),
        }
    }

    fn reported(&self, m: &Member) -> u32 {
        let fresh = m.report.filter(|r| self.now.since(r.at) < REPORT_SPAN);
        fresh.map_or(0, |r| r.in_flight)
    }

    fn forget_closed(&mut self) {
        self.members.retain(|m| m.open || m.in_flight > 0);
    }
}

fn remember_prefix(prefixes: &mut Vec<u64>, prefix: u64) {
    if prefixes.contains(&prefix) {
        return;
    }
    if prefixes.len() == PREFIXES {
        prefixes.remove(0);
    }
    prefixes.push(prefix);
}
