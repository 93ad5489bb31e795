//! The order in which waiting requests are served: class, then deadline, then arrival.

use std::collections::BTreeMap;

use tansyknot_core::clock::Time;

/// Identifies a waiting request within one queue.
pub type Ticket = u64;

/// How urgent a request is; lower values go first.
pub type Rank = u8;

/// The attributes of a waiting request that decide its position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The rank of the request's class.
    pub rank: Rank,
    /// When the complete response is due.
    pub deadline: Time,
}

/// A queue ordered by rank, deadline and arrival.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    next: Ticket,
    order: BTreeMap<(Rank, Time, Ticket), ()>,
    waiters: BTreeMap<Ticket, Waiter>,
}

impl WaitQueue {
    /// Adds a waiter and returns its ticket.
    pub fn push(&mut self, waiter: Waiter) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        self.order.insert((waiter.rank, waiter.deadline, ticket), ());
        self.waiters.insert(ticket, waiter);
        ticket
    }

    /// Removes and returns the first waiter.
    pub fn pop(&mut self) -> Option<(Ticket, Waiter)> {
        let ((_, _, ticket), ()) = self.order.pop_first()?;
        let waiter = self.waiters.remove(&ticket)?;
        Some((ticket, waiter))
    }

    /// Removes a waiter from any position; returns `None` if it is no longer waiting.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiter> {
        let waiter = self.waiters.remove(&ticket)?;
        self.order.remove(&(waiter.rank, waiter.deadline, ticket));
        Some(waiter)
    }

    /// Returns how many waiters would be served before a new one like `waiter`.
    pub fn ahead_of(&self, waiter: &Waiter) -> usize {
        self.order.range(..(waiter.rank, waiter.deadline, Ticket::MAX)).count()
    }

    /// Returns the number of waiters.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the tickets of the waiters that can no longer be served in time: those with
    /// `deadline < now + needed`.
    pub fn unservable(&self, now: Time, needed: std::time::Duration) -> Vec<Ticket> {
        let late = |w: &Waiter| w.deadline < now + needed;
        self.waiters.iter().filter(|(_, w)| late(w)).map(|(t, _)| *t).collect()
    }
}
