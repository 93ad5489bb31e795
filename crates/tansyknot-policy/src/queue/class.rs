//! The waiters of one rank, which teams share by start-time fair queueing.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashMap},
};

use tansyknot_core::clock::Time;

use super::{
    Team, Ticket, Waiter,
    sorted_list::{Key, SortedList},
};

/// The waiters of one team.
#[derive(Clone, Debug)]
struct Backlog {
    /// The team's virtual service: the start tag of its next request.
    start: u64,
    /// The cost of all its waiters.
    tokens: u64,
    waiters: SortedList,
}

impl Backlog {
    /// Returns the team's virtual service once all its waiters are served.
    fn end(&self) -> u64 {
        self.start + self.tokens
    }

    /// Returns the mean cost of a waiter, at least 1.
    fn mean_tokens(&self) -> u64 {
        (self.tokens / self.waiters.len().max(1) as u64).max(1)
    }

    /// Returns how many waiters are expected to be served before one of another team with `key` and
    /// the start tag `tag`.
    fn ahead_of(&self, tag: u64, key: &Key) -> usize {
        let Some(head) = self.waiters.first() else { return 0 };
        let Some(lead) = tag.checked_sub(self.start) else { return 0 };
        let mean = self.mean_tokens();
        let is_ahead_in_tie = lead.is_multiple_of(mean) && head < *key;
        let before = lead.div_ceil(mean) + u64::from(is_ahead_in_tie);
        usize::try_from(before).unwrap_or(usize::MAX).min(self.waiters.len())
    }
}

/// The waiters of one rank.
#[derive(Clone, Debug, Default)]
pub(super) struct Class {
    /// The start tag of the request served last.
    virtual_time: u64,
    teams: HashMap<Team, Backlog>,
    /// Teams with waiters by their start tags, and at equal tags by their first waiters.
    order: BTreeMap<(u64, Key), Team>,
    /// Teams with waiters by their virtual service once all are served.
    ends: BTreeSet<(u64, Team)>,
    /// Teams without waiters whose virtual service is ahead of the virtual time.
    idle: BTreeSet<(u64, Team)>,
    arrivals: BTreeSet<(Time, Ticket)>,
}

impl Class {
    pub(super) fn len(&self) -> usize {
        self.arrivals.len()
    }

    pub(super) fn first(&self) -> Option<Ticket> {
        self.order.first_key_value().map(|((_, (_, ticket)), _)| *ticket)
    }

    /// Returns the last waiter in the order.
    pub(super) fn last(&self) -> Option<Ticket> {
        let (_, team) = self.ends.last()?;
        self.teams.get(team)?.waiters.last().map(|(_, ticket)| ticket)
    }

    /// Returns the earliest arrival among the waiters.
    pub(super) fn oldest(&self) -> Option<Time> {
        self.arrivals.first().map(|(at, _)| *at)
    }

    pub(super) fn insert(&mut self, ticket: Ticket, waiter: &Waiter) {
        self.arrivals.insert((waiter.arrived, ticket));
        self.update(waiter.team, |backlog| {
            backlog.tokens += cost(waiter);
            backlog.waiters.insert((waiter.deadline, ticket));
        });
    }

    /// Removes a waiter without charging its team.
    pub(super) fn remove(&mut self, ticket: Ticket, waiter: &Waiter) {
        self.arrivals.remove(&(waiter.arrived, ticket));
        self.update(waiter.team, |backlog| {
            backlog.tokens -= cost(waiter);
            backlog.waiters.remove(&(waiter.deadline, ticket));
        });
        self.forget_idle();
    }

    /// Removes a waiter and charges its team.
    pub(super) fn serve(&mut self, ticket: Ticket, waiter: &Waiter) {
        if let Some(((start, (_, first)), _)) = self.order.first_key_value()
            && *first == ticket
        {
            self.virtual_time = self.virtual_time.max(*start);
        }
        self.update(waiter.team, |backlog| backlog.start += cost(waiter));
        self.remove(ticket, waiter);
    }

    /// Returns how many waiters are expected to be served before one of `team` with `key`.
    pub(super) fn ahead(&self, team: Team, key: Key, visits: &Cell<u64>) -> usize {
        let own = self.teams.get(&team);
        let position = own.map_or(0, |backlog| backlog.waiters.position(&key, visits));
        let start = own.map_or(0, |backlog| backlog.start).max(self.virtual_time);
        let tag = start + own.map_or(0, |backlog| backlog.mean_tokens() * position as u64);
        visits.set(visits.get() + self.teams.len() as u64);
        let others = self.teams.iter().filter(|(other, _)| **other != team);
        position + others.map(|(_, backlog)| backlog.ahead_of(tag, &key)).sum::<usize>()
    }

    /// Changes a team's backlog and its position among the teams.
    fn update(&mut self, team: Team, change: impl FnOnce(&mut Backlog)) {
        let new = Backlog { start: 0, tokens: 0, waiters: SortedList::default() };
        let backlog = self.teams.entry(team).or_insert(new);
        match backlog.waiters.first() {
            Some(first) => {
                self.order.remove(&(backlog.start, first));
                self.ends.remove(&(backlog.end(), team));
            }
            None => {
                self.idle.remove(&(backlog.start, team));
                backlog.start = backlog.start.max(self.virtual_time);
            }
        }
        change(backlog);
        match backlog.waiters.first() {
            Some(first) => {
                self.order.insert((backlog.start, first), team);
                self.ends.insert((backlog.end(), team));
            }
            None => {
                self.idle.insert((backlog.start, team));
            }
        }
    }

    /// Drops the teams without waiters that would start at the virtual time.
    fn forget_idle(&mut self) {
        if self.order.is_empty() {
            *self = Self::default();
            return;
        }
        while let Some((start, team)) = self.idle.first().copied()
            && start <= self.virtual_time
        {
            self.idle.remove(&(start, team));
            self.teams.remove(&team);
        }
    }
}

/// Returns what a waiter costs its team, at least 1.
fn cost(waiter: &Waiter) -> u64 {
    u64::from(waiter.tokens.max(1))
}
