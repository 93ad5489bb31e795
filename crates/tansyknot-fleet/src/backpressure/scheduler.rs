//! Schedules requests to targets that name limits: one daemon decides for all others, one request
//! at a time.
//!
//! No permits are lent in advance, so that none are left over at a daemon that ends, pauses or is
//! disconnected, and hundreds of daemons together obey a rate of less than one a second.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use tansyknot_core::clock::Time;

use super::Rate;
use crate::{access::message::Stamp, poison::key::RunKey};

/// The fraction of a limit that is granted: requests arrive closer together than they were granted.
const GRANTED_FRACTION: f64 = 0.95;
/// The fraction of a limit that is granted without a planner: two daemons with different lists of
/// peers may both grant permits for a target.
const FALLBACK_FRACTION: f64 = GRANTED_FRACTION / 2.0;
/// A grant that is late by up to this much does not delay the following grants.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);
/// A permit request that is not repeated within this time is dropped.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// How long grants are stored. A grant may have been lost, and a request that is repeated within
/// this time is granted again.
const GRANT_RETENTION: Duration = Duration::from_millis(500);
/// A daemon that granted permits before may continue for this long, until it receives a message
/// from the one that grants them now.
const HANDOVER_DELAY: Duration = Duration::from_millis(500);
/// The maximum number of requests that wait for one target; beyond it, the last one in order is
/// dropped.
const MAX_WAITING: usize = 1024;

/// The authority under which a daemon schedules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Term {
    /// The daemon has none.
    #[default]
    None,
    /// The daemon is the planner with this fencing token.
    Planner(u64),
    /// The planner with this fencing token is gone, and no other has taken over.
    Fallback(u64),
}

impl Term {
    /// Returns the interval between two requests to a target that accepts `rate`.
    fn interval(self, rate: Rate) -> Duration {
        let fraction = match self {
            Term::None | Term::Planner(_) => GRANTED_FRACTION,
            Term::Fallback(_) => FALLBACK_FRACTION,
        };
        Duration::from_secs_f64(1.0 / (rate.per_s() * fraction))
    }
}

/// A permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The address of the daemon that sent it.
    pub from: SocketAddr,
    /// Identifies the request at that daemon.
    pub number: u32,
    /// When it was sent, by that daemon's clock.
    pub stamp: Stamp,
    /// The priority of the request; 0 goes first.
    pub priority: u8,
    /// Until when the request can wait.
    pub until: Time,
}

impl QueuedRequest {
    /// Returns the sort key: requests go by priority, and within one priority those that can wait
    /// the shortest go first.
    fn sort_key(&self) -> (u8, Time, SocketAddr, u32) {
        (self.priority, self.until, self.from, self.number)
    }

    fn is_of(&self, from: SocketAddr, number: u32) -> bool {
        self.from == from && self.number == number
    }
}

/// The result of a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The permit was granted before, but the reply may have been lost.
    Granted,
    /// The request is queued, and is granted after this time if no other requests arrive.
    Queued(Duration),
}

/// The requests for one run of a target.
#[derive(Clone, Debug)]
struct Queue {
    /// When the last request was granted, or should have been.
    last_grant: Time,
    interval: Duration,
    waiting: Vec<(QueuedRequest, Time)>,
}

impl Queue {
    fn remove_expired(&mut self, now: Time) {
        let is_live = |(ask, last_seen): &(QueuedRequest, Time)| {
            now.since(*last_seen) < REQUEST_TIMEOUT && now < ask.until
        };
        self.waiting.retain(is_live);
    }

    /// Returns when the next request may be granted.
    fn next_grant(&self) -> Time {
        self.last_grant + self.interval
    }

    /// Removes and returns the first request, if one may be granted now.
    fn grant(&mut self, now: Time) -> Option<QueuedRequest> {
        if now < self.next_grant() {
            return None;
        }
        let keys = self.waiting.iter().enumerate().map(|(n, (ask, _))| (ask.sort_key(), n));
        let (_, first) = keys.min()?;
        self.last_grant = self.next_grant().max(now.saturating_sub(MAX_CATCH_UP));
        Some(self.waiting.swap_remove(first).0)
    }

    fn count_ahead(&self, ask: &QueuedRequest) -> usize {
        self.waiting.iter().filter(|(other, _)| other.sort_key() < ask.sort_key()).count()
    }
}

/// The queues of all targets that name limits.
#[derive(Debug, Default)]
pub struct Scheduler {
    term: Term,
    term_start: Time,
    queues: HashMap<RunKey, Queue>,
    /// Recent grants, the oldest first.
    granted: VecDeque<(Time, SocketAddr, u32)>,
}

impl Scheduler {
    /// Begins to schedule under `term`; drops what was decided under another one.
    pub fn begin(&mut self, term: Term, now: Time) {
        if self.term != term {
            *self = Self { term, term_start: now, ..Self::default() };
        }
    }

    /// Queues a permit request for a run that accepts `rate`.
    pub fn enqueue(&mut self, run: RunKey, rate: Rate, ask: QueuedRequest, now: Time) -> Admission {
        self.remove_expired(now);
        if self.granted.iter().any(|(_, from, number)| ask.is_of(*from, *number)) {
            return Admission::Granted;
        }
        let interval = self.term.interval(rate);
        let opens_at = match self.term {
            Term::None => now,
            Term::Planner(_) | Term::Fallback(_) => {
                now.max(self.term_start + HANDOVER_DELAY.max(interval))
            }
        };
        let new = || Queue {
            last_grant: opens_at.saturating_sub(interval),
            interval,
            waiting: Vec::new(),
        };
        let queue = self.queues.entry(run).or_insert_with(new);
        queue.interval = interval;
        queue.remove_expired(now);
        queue.waiting.retain(|(other, _)| !other.is_of(ask.from, ask.number));
        queue.waiting.push((ask, now));
        if queue.waiting.len() > MAX_WAITING {
            queue.waiting.sort_by_key(|(ask, _)| Reverse(ask.sort_key()));
            queue.waiting.swap_remove(0);
        }
        Admission::Queued(queue.next_grant().since(now) + interval * queue.count_ahead(&ask) as u32)
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, run: RunKey, from: SocketAddr, number: u32) {
        if let Some(queue) = self.queues.get_mut(&run) {
            queue.waiting.retain(|(ask, _)| !ask.is_of(from, number));
        }
    }

    /// Removes and returns the requests that are granted now; for a run without a limit, all of
    /// them.
    pub fn grant(
        &mut self,
        rate: &dyn Fn(RunKey) -> Option<Rate>,
        now: Time,
    ) -> Vec<QueuedRequest> {
        let mut granted = Vec::new();
        for (run, queue) in &mut self.queues {
            queue.remove_expired(now);
            match rate(*run) {
                Some(rate) => {
                    queue.interval = self.term.interval(rate);
                    while let Some(ask) = queue.grant(now) {
                        granted.push(ask);
                    }
                }
                None => granted.extend(queue.waiting.drain(..).map(|(ask, _)| ask)),
            }
        }
        self.granted.extend(granted.iter().map(|ask| (now, ask.from, ask.number)));
        self.queues.retain(|_, queue| !queue.waiting.is_empty() || now < queue.next_grant());
        granted
    }

    /// Returns when the next request may be granted; `None` if none waits.
    pub fn next_at(&self) -> Option<Time> {
        self.queues.values().filter(|queue| !queue.waiting.is_empty()).map(Queue::next_grant).min()
    }

    fn remove_expired(&mut self, now: Time) {
        while self.granted.front().is_some_and(|(at, _, _)| now.since(*at) >= GRANT_RETENTION) {
            self.granted.pop_front();
        }
    }
}
