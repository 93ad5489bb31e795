//! Requests that wait for a slot at a target: the order in which this daemon's requests try to get
//! one, and the requests that wait at other daemons.
//!
//! Requests that need slots of the same targets form one queue. Only the first tries to get a
//! target, and wakes the next one when it leaves the queue. The queues consist of the requests that
//! wait, so there is no state to recover.

pub mod elsewhere;
pub mod totals;

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    name::{AdapterName, ModelName, ServiceName},
};
use tansyknot_policy::queue::{QueueLimits, Rank, Ticket, WaitQueue, Waiter};

use crate::{
    bounds::Bounds,
    dissemination::{heartbeat::HEARTBEAT_INTERVAL, message, scheduling::WaitingRequests},
    fleet::{FreePlaces, TargetRequirements},
    state::Notifier,
};

use elsewhere::{ModelKey, WaitingElsewhere};

/// Maximum number of requests that wait for slots at a daemon. Each of them occupies a thread.
const MAX_WAITING: usize = 2048;
/// Maximum size of the bodies of waiting requests; a quarter of the memory of the smallest hosts.
const MAX_WAITING_BYTES: usize = 30_000_000;
/// `Retry-After` values are lengthened at random by up to this share, so that callers that were
/// refused together do not return together.
const RETRY_SPREAD: f64 = 0.25;

/// Identifies the requests that wait for slots of the same targets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QueueKey {
    service: ServiceName,
    model: Option<ModelName>,
    adapter: Option<AdapterName>,
    bounds: Bounds,
}

impl QueueKey {
    /// Returns the key of the queue in which a request waits.
    pub fn of(want: &TargetRequirements<'_>) -> Self {
        Self {
            service: want.service.clone(),
            model: want.model.cloned(),
            adapter: want.adapter.cloned(),
            bounds: want.bounds(),
        }
    }

    fn model_key(&self) -> ModelKey {
        (self.service.clone(), self.model.clone())
    }
}

/// The place of a request in a queue.
#[derive(Clone, Debug)]
pub struct Place {
    key: QueueKey,
    ticket: Ticket,
    /// Raised when the request becomes the first, or is displaced.
    pub wakeup: Arc<Notifier>,
}

/// Whether a request may try to get a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It may, as no other request is before it.
    First,
    /// Other requests are before it.
    Behind,
    /// It has been removed from the queue, which is beyond its bounds.
    Displaced,
}

/// The expected wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedWait {
    /// The number of requests that are expected to get a slot before it, at all daemons.
    pub ahead: usize,
    /// The time until it gets a slot.
    pub time: Duration,
}

/// The capacity of the targets that can serve the requests of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The number of slots of all targets.
    pub slots: u32,
    /// The mean time that a request occupies a slot.
    pub service_time: Duration,
}

#[derive(Debug, Default)]
struct SlotQueue {
    queue: WaitQueue,
    wakeups: HashMap<Ticket, Arc<Notifier>>,
    /// The waiter that was first when the queue last changed.
    leader: Option<Ticket>,
}

impl SlotQueue {
    /// Wakes the first waiter if another one was first before.
    fn wake_first(&mut self) {
        let first = self.queue.first();
        if self.leader != first {
            self.leader = first;
            first.and_then(|ticket| self.wakeups.get(&ticket)).into_iter().for_each(|w| w.notify());
        }
    }

    fn holds(&self, place: &Place) -> bool {
        self.wakeups.get(&place.ticket).is_some_and(|wakeup| Arc::ptr_eq(wakeup, &place.wakeup))
    }
}

/// The queues of a daemon's requests that wait for slots.
#[derive(Debug)]
pub struct Admission {
    queues: HashMap<QueueKey, SlotQueue>,
    limits: QueueLimits,
    waiting: usize,
    bytes: usize,
    /// The requests that wait at other daemons.
    pub elsewhere: WaitingElsewhere,
}

impl Default for Admission {
    fn default() -> Self {
        Self::new(QueueLimits { max_waiting: MAX_WAITING, max_bytes: MAX_WAITING_BYTES })
    }
}

impl Admission {
    /// Creates empty queues with bounds on all of them together.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            queues: HashMap::new(),
            limits,
            waiting: 0,
            bytes: 0,
            elsewhere: WaitingElsewhere::default(),
        }
    }

    /// Returns whether requests wait in a queue.
    pub fn has_waiters(&self, key: &QueueKey) -> bool {
        self.queues.contains_key(key)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Adds a request to a queue. Beyond the bounds, the last request of the longest queue is
    /// displaced, which may be this one.
    pub fn join(&mut self, key: QueueKey, waiter: Waiter) -> Place {
        let slot_queue = self.queues.entry(key.clone()).or_default();
        let wakeup = Arc::new(Notifier::default());
        let ticket = slot_queue.queue.push(waiter);
        slot_queue.wakeups.insert(ticket, Arc::clone(&wakeup));
        self.waiting += 1;
        self.bytes += waiter.bytes;
        while self.waiting > self.limits.max_waiting || self.bytes > self.limits.max_bytes {
            self.displace_last();
        }
        Place { key, ticket, wakeup }
    }

    /// Returns whether a request may try to get a target now, and wakes the first one if it is
    /// another one than before.
    pub fn turn(&mut self, place: &Place, now: Time) -> Turn {
        let Some(slot_queue) = self.queues.get_mut(&place.key).filter(|q| q.holds(place)) else {
            return Turn::Displaced;
        };
        slot_queue.queue.promote(now);
        slot_queue.wake_first();
        if slot_queue.leader == Some(place.ticket) { Turn::First } else { Turn::Behind }
    }

    /// Removes a request that has got a target, charges its team, and wakes the next one.
    pub fn serve(&mut self, place: &Place) {
        self.end(place, WaitQueue::serve);
    }

    /// Removes a request that no longer waits for a slot, and wakes the next one.
    pub fn leave(&mut self, place: &Place) {
        self.end(place, WaitQueue::remove);
    }

    fn end(&mut self, place: &Place, end: impl FnOnce(&mut WaitQueue, Ticket) -> Option<Waiter>) {
        let Entry::Occupied(mut entry) = self.queues.entry(place.key.clone()) else { return };
        let slot_queue = entry.get_mut();
        if !slot_queue.holds(place) {
            return;
        }
        slot_queue.wakeups.remove(&place.ticket);
        if let Some(waiter) = end(&mut slot_queue.queue, place.ticket) {
            self.waiting -= 1;
            self.bytes -= waiter.bytes;
        }
        slot_queue.wake_first();
        if slot_queue.queue.is_empty() {
            entry.remove();
        }
    }

    /// Returns whether requests are known to wait at other daemons for slots of the same model.
    pub fn has_waiters_elsewhere(&self, key: &QueueKey) -> bool {
        self.elsewhere.has_waiters(&key.model_key())
    }

    /// Returns whether a free place at a target is left to requests that wait at other daemons:
    /// those with a lower rank number, or that have waited longer by more than a heartbeat.
    ///
    /// A free slot is never left to them, as it would stay idle until they know of it. What is left
    /// are places at targets that have enough requests for the next heartbeat.
    pub fn leaves_places(
        &self,
        key: &QueueKey,
        rank: Rank,
        arrived: Time,
        free: FreePlaces,
        now: Time,
    ) -> bool {
        if free.slots > 0 {
            return false;
        }
        let queue = self.queues.get(key).map(|q| &q.queue);
        let rank = queue.and_then(|q| q.counts().next()).map_or(rank, |(first, _)| first.min(rank));
        let oldest =
            queue.and_then(|q| q.oldest(rank)).map_or(arrived, |oldest| oldest.min(arrived));
        let model_key = key.model_key();
        let since = if self.elsewhere.is_own(&model_key, rank) {
            // No request elsewhere has waited longer than one of this daemon had.
            Time::default()
        } else {
            oldest.saturating_sub(HEARTBEAT_INTERVAL)
        };
        let ahead = self.elsewhere.ahead(&model_key, rank, since, now);
        ahead > 0 && ahead >= free.total as usize
    }

    /// Returns how long a request is expected to wait; `None` if it no longer waits or there are no
    /// slots.
    pub fn expected_wait(
        &self,
        place: &Place,
        arrived: Time,
        capacity: Capacity,
        now: Time,
    ) -> Option<ExpectedWait> {
        let slot_queue = self.queues.get(&place.key).filter(|q| q.holds(place))?;
        let here = slot_queue.queue.position(place.ticket)?;
        let rank = slot_queue.queue.rank(place.ticket)?;
        let ahead = here + self.elsewhere.ahead(&place.key.model_key(), rank, arrived, now);
        if capacity.slots == 0 {
            return None;
        }
        let rounds = (ahead as f64 + 1.0) / f64::from(capacity.slots);
        Some(ExpectedWait { ahead, time: capacity.service_time.mul_f64(rounds) })
    }

    /// Returns the requests that wait at this daemon, for the planner.
    pub fn report(&mut self, now: Time) -> Vec<WaitingRequests> {
        let mut sums: HashMap<(ModelKey, Rank), (u16, Time)> = HashMap::new();
        for (key, slot_queue) in &self.queues {
            for (rank, count) in slot_queue.queue.counts() {
                let oldest = slot_queue.queue.oldest(rank).unwrap_or(now);
                let sum = sums.entry((key.model_key(), rank)).or_insert((0, oldest));
                sum.0 = sum.0.saturating_add(u16::try_from(count).unwrap_or(u16::MAX));
                sum.1 = sum.1.min(oldest);
            }
        }
        let mut waiting: Vec<WaitingRequests> = sums
            .iter()
            .map(|(((service, model), rank), (count, oldest))| WaitingRequests {
                service: service.clone(),
                model: model.clone(),
                rank: *rank,
                count: *count,
                oldest_ms: message::millis(now.since(*oldest)),
            })
            .collect();
        self.elsewhere.set_own(sums);
        totals::keep_most_significant(&mut waiting);
        waiting
    }

    /// Displaces the last waiter of the queue with the most waiters, or the largest bodies if only
    /// their bound is exceeded.
    fn displace_last(&mut self) {
        let is_count_exceeded = self.waiting > self.limits.max_waiting;
        let size = |q: &SlotQueue| if is_count_exceeded { q.queue.len() } else { q.queue.bytes() };
        let longest = self.queues.iter().max_by_key(|(_, q)| size(q)).map(|(key, _)| key.clone());
        let Some(slot_queue) = longest.as_ref().and_then(|key| self.queues.get_mut(key)) else {
            return;
        };
        let Some((ticket, waiter)) = slot_queue.queue.pop_last() else { return };
        self.waiting -= 1;
        self.bytes -= waiter.bytes;
        slot_queue.wakeups.remove(&ticket).into_iter().for_each(|wakeup| wakeup.notify());
        slot_queue.wake_first();
        if slot_queue.queue.is_empty() {
            longest.and_then(|key| self.queues.remove(&key));
        }
    }
}

/// Returns the `Retry-After` for an expected wait, lengthened at random by up to a quarter.
pub fn spread(wait: Duration) -> Duration {
    wait.mul_f64(1.0 + rand::random_range(0.0..=RETRY_SPREAD))
}
