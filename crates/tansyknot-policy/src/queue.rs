//! The order in which waiting requests are served: rank, then the team that has received the least,
//! then deadline, then arrival.
//!
//! Teams share each rank by start-time fair queueing: a team's virtual service grows by the tokens
//! of each of its requests that is served, and a team that was idle starts at the virtual time of
//! the request served last. With one team, the order is rank, deadline and arrival.

mod class;
mod sorted_list;

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use tansyknot_core::clock::Time;

use class::Class;

/// Identifies a waiting request within one queue. Tickets rise in the order of arrival.
pub type Ticket = u64;

/// How urgent a request is; lower values go first.
pub type Rank = u8;

/// The share of its budget that a waiter has left when it first moves up by one rank.
const PROMOTION_SHARE: f64 = 0.1;
/// The minimum time that a waiter has left when it first moves up. Slots become free at intervals
/// of tens of milliseconds, and the request then still has to reach its target.
const MIN_PROMOTION_TIME: Duration = Duration::from_millis(250);
/// The minimum time between two moves of a waiter; hardly a slot becomes free in less.
const MIN_PROMOTION_INTERVAL: Duration = Duration::from_millis(20);

/// Identifies the team that shares capacity with others, for example by a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Team(pub u64);

/// The attributes of a waiting request that decide its position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The rank of the request's class.
    pub rank: Rank,
    /// The team whose share the request uses.
    pub team: Team,
    /// What the request costs its team.
    pub tokens: u32,
    /// The size of its body.
    pub bytes: usize,
    /// When the request arrived.
    pub arrived: Time,
    /// When it must be assigned to a target, or when its complete response is due.
    pub deadline: Time,
}

impl Waiter {
    /// Creates a waiter where all requests belong to one team and cost the same.
    pub fn of_one_team(rank: Rank, arrived: Time, deadline: Time) -> Self {
        Self { rank, team: Team::default(), tokens: 1, bytes: 0, arrived, deadline }
    }

    /// Returns when the waiter first moves up by one rank if others overtake it.
    fn promotion_at(&self) -> Time {
        let budget = self.deadline.since(self.arrived);
        self.deadline.saturating_sub(budget.mul_f64(PROMOTION_SHARE).max(MIN_PROMOTION_TIME))
    }
}

/// Bounds on the requests that wait in one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Maximum size of their bodies together.
    pub max_bytes: usize,
}

/// A waiter, and the rank that it has reached.
#[derive(Clone, Copy, Debug)]
struct Entry {
    waiter: Waiter,
    rank: Rank,
    promotion_at: Time,
}

/// The waiting requests of one kind.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    next: Ticket,
    entries: HashMap<Ticket, Entry>,
    classes: BTreeMap<Rank, Class>,
    deadlines: BTreeSet<(Time, Ticket)>,
    /// When each waiter moves up by one rank, unless it is in `late`.
    promotions: BTreeSet<(Time, Ticket)>,
    /// Waiters that move up by one rank once a later arrival has been served.
    late: BTreeSet<Ticket>,
    /// The latest arrival that has been served.
    last_served: Option<Ticket>,
    bytes: usize,
    visits: Cell<u64>,
}

impl WaitQueue {
    /// Adds a waiter and returns its ticket.
    pub fn push(&mut self, waiter: Waiter) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        self.insert(
            ticket,
            Entry { waiter, rank: waiter.rank, promotion_at: waiter.promotion_at() },
        );
        ticket
    }

    /// Returns the waiter that is to be served next.
    pub fn first(&self) -> Option<Ticket> {
        self.classes.values().find_map(Class::first)
    }

    /// Removes a waiter because it is served, and charges its team.
    pub fn serve(&mut self, ticket: Ticket) -> Option<Waiter> {
        let entry = self.take(ticket, Class::serve)?;
        self.last_served = self.last_served.max(Some(ticket));
        Some(entry.waiter)
    }

    /// Removes and returns the first waiter, and charges its team.
    pub fn pop(&mut self) -> Option<(Ticket, Waiter)> {
        let ticket = self.first()?;
        Some((ticket, self.serve(ticket)?))
    }

    /// Removes a waiter from any position; returns `None` if it is no longer waiting.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.take(ticket, Class::remove).map(|entry| entry.waiter)
    }

    /// Removes and returns the last waiter in the order if the queue is beyond its limits.
    pub fn pop_excess(&mut self, limits: &QueueLimits) -> Option<(Ticket, Waiter)> {
        let is_excessive = self.len() > limits.max_waiting || self.bytes > limits.max_bytes;
        if is_excessive { self.pop_last() } else { None }
    }

    /// Removes and returns the last waiter in the order.
    pub fn pop_last(&mut self) -> Option<(Ticket, Waiter)> {
        let ticket = self.classes.values().rev().find_map(Class::last)?;
        Some((ticket, self.remove(ticket)?))
    }

    /// Moves up the waiters that run out of time while later arrivals are served. A waiter moves up
    /// by one rank when a tenth of its budget is left, and again each time that the rest has
    /// halved.
    pub fn promote(&mut self, now: Time) {
        while let Some((at, ticket)) = self.promotions.first().copied().filter(|(at, _)| *at <= now)
        {
            self.promotions.remove(&(at, ticket));
            self.late.insert(ticket);
        }
        let Some(last_served) = self.last_served else { return };
        while let Some(ticket) = self.late.first().copied().filter(|ticket| *ticket < last_served) {
            self.late.remove(&ticket);
            self.move_up(ticket, now);
        }
    }

    /// Returns how many waiters are expected to be served before a new one like `waiter`. With
    /// several teams in its rank, the number is computed from the mean cost of each team's requests.
    pub fn ahead_of(&self, waiter: &Waiter) -> usize {
        self.ahead(waiter, waiter.rank, Ticket::MAX)
    }

    /// Returns how many waiters are expected to be served before a waiting one; `None` if it no
    /// longer waits.
    pub fn position(&self, ticket: Ticket) -> Option<usize> {
        let entry = self.entries.get(&ticket)?;
        Some(self.ahead(&entry.waiter, entry.rank, ticket))
    }

    /// Returns the number of waiters.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the size of the bodies of all waiters.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the ranks that have waiters, in order, with the number of waiters of each. The rank
    /// is the one that they have reached.
    pub fn counts(&self) -> impl Iterator<Item = (Rank, usize)> {
        let count = |(rank, class): (&Rank, &Class)| (*rank, class.len());
        self.classes.iter().map(count).filter(|(_, count)| *count > 0)
    }

    /// Returns the earliest arrival among the waiters that have reached `rank`.
    pub fn oldest(&self, rank: Rank) -> Option<Time> {
        self.classes.get(&rank).and_then(Class::oldest)
    }

    /// Returns the rank that a waiter has reached; `None` if it no longer waits.
    pub fn rank(&self, ticket: Ticket) -> Option<Rank> {
        self.entries.get(&ticket).map(|entry| entry.rank)
    }

    /// Returns the tickets of the waiters that can no longer be served in time: those with
    /// `deadline < now + needed`.
    pub fn unservable(&self, now: Time, needed: Duration) -> Vec<Ticket> {
        self.deadlines.range(..(now + needed, 0)).map(|(_, ticket)| *ticket).collect()
    }

    /// Returns the number of groups of waiters that were visited to compute positions. It bounds
    /// the cost of decisions without a clock.
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    fn ahead(&self, waiter: &Waiter, rank: Rank, ticket: Ticket) -> usize {
        let before: usize = self.classes.range(..rank).map(|(_, class)| class.len()).sum();
        let in_class =
            |class: &Class| class.ahead(waiter.team, (waiter.deadline, ticket), &self.visits);
        before + self.classes.get(&rank).map_or(0, in_class)
    }

    fn insert(&mut self, ticket: Ticket, entry: Entry) {
        let Entry { waiter, rank, promotion_at } = entry;
        self.classes.entry(rank).or_default().insert(ticket, &waiter);
        self.deadlines.insert((waiter.deadline, ticket));
        self.promotions.insert((promotion_at, ticket));
        self.bytes += waiter.bytes;
        self.entries.insert(ticket, entry);
    }

    /// Removes a waiter from all indices, and from its class by `take_from`.
    fn take(
        &mut self,
        ticket: Ticket,
        take_from: impl FnOnce(&mut Class, Ticket, &Waiter),
    ) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        if let Some(class) = self.classes.get_mut(&entry.rank) {
            take_from(class, ticket, &entry.waiter);
        }
        self.deadlines.remove(&(entry.waiter.deadline, ticket));
        self.promotions.remove(&(entry.promotion_at, ticket));
        self.late.remove(&ticket);
        self.bytes -= entry.waiter.bytes;
        Some(entry)
    }

    /// Moves a waiter to the next rank that has had waiters, and sets when it moves up again.
    fn move_up(&mut self, ticket: Ticket, now: Time) {
        let Some(mut entry) = self.take(ticket, Class::remove) else { return };
        if let Some((rank, _)) = self.classes.range(..entry.rank).next_back() {
            entry.rank = *rank;
        }
        let left = entry.waiter.deadline.since(now);
        entry.promotion_at = now + (left / 2).max(MIN_PROMOTION_INTERVAL);
        self.insert(ticket, entry);
    }
}
