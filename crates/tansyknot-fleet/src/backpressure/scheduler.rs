//! Which requests go to targets that name limits: one daemon decides for all of them, one by one.
//!
//! Nothing is lent out in advance, so that nothing is left over at a daemon that ends, freezes or is cut
//! off, and a rate of less than one a second is kept by hundreds of daemons.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use tansyknot_core::clock::Time;

use super::Rate;
use crate::{access::message::Stamp, poison::key::RunKey};

/// The share of a limit that is granted: requests arrive closer together than they were let go.
const GRANTED_SHARE: f64 = 0.95;
/// The same without a planner: two daemons may differ in whom they know, and both decide.
const FALLBACK_SHARE: f64 = GRANTED_SHARE / 2.0;
/// A grant that was due so long ago is made up for.
const CARRIED: Duration = Duration::from_millis(100);
/// A request that has not asked again for so long is not there any more.
const ASK_LIFE: Duration = Duration::from_millis(500);
/// A grant may have been lost: a request that asks again within this span is told it again.
const GRANT_KEPT: Duration = Duration::from_millis(500);
/// Another daemon that decided before may go on for so long, until it hears of this one.
const HANDOVER: Duration = Duration::from_millis(500);
/// Requests that wait for one target at most; the last in rank goes first.
const WAITING_MOST: usize = 1024;

/// By which right a daemon decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Term {
    /// By none.
    #[default]
    None,
    /// It is the planner with this fencing token.
    Planner(u64),
    /// The planner with this fencing token has gone and no other one has come.
    Fallback(u64),
}

impl Term {
    /// Returns how long after a request the next one may go to a target that takes `rate`.
    fn interval(self, rate: Rate) -> Duration {
        let share = match self {
            Term::None | Term::Planner(_) => GRANTED_SHARE,
            Term::Fallback(_) => FALLBACK_SHARE,
        };
        Duration::from_secs_f64(1.0 / (rate.per_s() * share))
    }
}

/// A request that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Where its daemon hears.
    pub from: SocketAddr,
    /// Names it there.
    pub number: u32,
    /// When it asked, by that daemon's clock.
    pub stamp: Stamp,
    /// The rank of the request; 0 goes first.
    pub priority: u8,
    /// Until when it can wait.
    pub until: Time,
}

impl Ask {
    /// Requests of a higher rank go first, and of one rank those that can't wait.
    fn order(&self) -> (u8, Time, SocketAddr, u32) {
        (self.priority, self.until, self.from, self.number)
    }

    fn is_of(&self, from: SocketAddr, number: u32) -> bool {
        self.from == from && self.number == number
    }
}

/// What becomes of a request that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It was granted before, and may not have heard.
    Granted,
    /// It has a place in the queue and is granted after so long if nobody else comes.
    Queued(Duration),
}

/// Requests for one run of a target.
#[derive(Clone, Debug)]
struct Queue {
    /// When the last one went, or should have gone.
    last: Time,
    interval: Duration,
    waiting: Vec<(Ask, Time)>,
}

impl Queue {
    fn forget(&mut self, now: Time) {
        let is_there = |(ask, heard): &(Ask, Time)| now.since(*heard) < ASK_LIFE && now < ask.until;
        self.waiting.retain(is_there);
    }

    /// Returns when the next one may go.
    fn next(&self) -> Time {
        self.last + self.interval
    }

    /// Takes the request that goes next out, if one may go.
    fn grant(&mut self, now: Time) -> Option<Ask> {
        if now < self.next() {
            return None;
        }
        let orders = self.waiting.iter().enumerate().map(|(n, (ask, _))| (ask.order(), n));
        let (_, first) = orders.min()?;
        self.last = self.next().max(now.before(CARRIED));
        Some(self.waiting.swap_remove(first).0)
    }

    fn ahead(&self, ask: &Ask) -> usize {
        self.waiting.iter().filter(|(other, _)| other.order() < ask.order()).count()
    }
}

/// The queues of all targets that name limits.
#[derive(Debug, Default)]
pub struct Scheduler {
    term: Term,
    opened: Time,
    queues: HashMap<RunKey, Queue>,
    /// What was granted lately, the oldest first.
    granted: VecDeque<(Time, SocketAddr, u32)>,
}

impl Scheduler {
    /// Goes on by this right, with nothing of what was decided by another one.
    pub fn begin(&mut self, term: Term, now: Time) {
        if self.term != term {
            *self = Self { term, opened: now, ..Self::default() };
        }
    }

    /// Takes in that a request asks for a run that takes `rate`.
    pub fn ask(&mut self, run: RunKey, rate: Rate, ask: Ask, now: Time) -> Place {
        self.forget(now);
        if self.granted.iter().any(|(_, from, number)| ask.is_of(*from, *number)) {
            return Place::Granted;
        }
        let interval = self.term.interval(rate);
        let opens = match self.term {
            Term::None => now,
            Term::Planner(_) | Term::Fallback(_) => now.max(self.opened + HANDOVER.max(interval)),
        };
        let new = || Queue { last: opens.before(interval), interval, waiting: Vec::new() };
        let queue = self.queues.entry(run).or_insert_with(new);
        queue.interval = interval;
        queue.forget(now);
        queue.waiting.retain(|(other, _)| !other.is_of(ask.from, ask.number));
        queue.waiting.push((ask, now));
        if queue.waiting.len() > WAITING_MOST {
            queue.waiting.sort_by_key(|(ask, _)| Reverse(ask.order()));
            queue.waiting.swap_remove(0);
        }
        Place::Queued(queue.next().since(now) + interval * queue.ahead(&ask) as u32)
    }

    /// Takes in that a request does not wait any more.
    pub fn end(&mut self, run: RunKey, from: SocketAddr, number: u32) {
        if let Some(queue) = self.queues.get_mut(&run) {
            queue.waiting.retain(|(ask, _)| !ask.is_of(from, number));
        }
    }

    /// Returns the requests that go now; all of them where the limit has ended.
    pub fn grant(&mut self, rate: &dyn Fn(RunKey) -> Option<Rate>, now: Time) -> Vec<Ask> {
        let mut granted = Vec::new();
        for (run, queue) in &mut self.queues {
            queue.forget(now);
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
        self.queues.retain(|_, queue| !queue.waiting.is_empty() || now < queue.next());
        granted
    }

    /// Returns when the next request may go; `None` if none waits.
    pub fn next_at(&self) -> Option<Time> {
        self.queues.values().filter(|queue| !queue.waiting.is_empty()).map(Queue::next).min()
    }

    fn forget(&mut self, now: Time) {
        while self.granted.front().is_some_and(|(at, _, _)| now.since(*at) >= GRANT_KEPT) {
            self.granted.pop_front();
        }
    }
}
