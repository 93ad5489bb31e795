//! How daemons share what one of them reads of the store, so that not all of them ask it.
//!
//! The planner numbers each change of the list that matters to requests and sends it to all. A
//! daemon that has every number up to the newest knows the list as of the planner's last call;
//! one that misses a number, or whose planner has no fresh view, asks the store itself.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    clock::Time,
    name::{ServiceName, TargetName, ZoneName},
};

use crate::{
    peer,
    spans::Spans,
    target::{Held, Target, TargetState},
};

/// Changes are repeated this long, as datagrams get lost: three beats.
const CHANGE_SPAN: Duration = Duration::from_millis(950);

/// An entry of the list without what only the planner needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The target.
    pub name: TargetName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub state: TargetState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The models that it holds.
    pub models: Vec<Held>,
    /// The version of the entry.
    pub version: u64,
}

impl Entry {
    /// Takes what requests need of a target.
    pub fn of(target: &Target) -> Self {
        Self {
            name: target.name.clone(),
            service: target.service.clone(),
            address: target.address,
            zone: target.zone.clone(),
            state: target.state,
            slots: target.slots,
            models: target.models.clone(),
            version: target.version,
        }
    }

    /// Makes a target of the entry, with the copies of weights that are known of it.
    pub fn into_target(self, known: Option<&Target>) -> Target {
        Target {
            name: self.name,
            service: self.service,
            address: self.address,
            zone: self.zone,
            state: self.state,
            slots: self.slots,
            models: self.models,
            in_memory: known.map(|t| t.in_memory.clone()).unwrap_or_default(),
            on_disk: known.map(|t| t.on_disk.clone()).unwrap_or_default(),
            version: self.version,
        }
    }

    /// Tells whether requests are treated alike by both.
    pub fn is_same(&self, target: &Target) -> bool {
        Entry { version: target.version, ..self.clone() } == Entry::of(target)
    }
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChange {
    /// The entry is new or has changed.
    Put(Entry),
    /// The entry is gone.
    Removed(TargetName),
}

impl ListChange {
    /// Returns the target that the change is about.
    pub fn target(&self) -> &TargetName {
        match self {
            ListChange::Put(entry) => &entry.name,
            ListChange::Removed(name) => name,
        }
    }
}

/// Changes with the numbers after `from`, up to `to`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNews {
    /// The number before the first change.
    pub from: u64,
    /// The number of the last change.
    pub to: u64,
    /// The number of the newest change of all; other datagrams have what lies between.
    pub newest: u64,
    /// How long ago the list was read, in milliseconds.
    pub age_ms: u32,
    /// The store's version that the list is to be followed from.
    pub version: u64,
    /// The changes and their numbers. A number that is left out belongs to a target that a later
    /// change is about.
    pub changes: Vec<(u64, ListChange)>,
}

impl ListNews {
    /// Takes the changes but the first `count` off, as news that go on from those.
    pub fn split_off(&mut self, count: usize) -> Self {
        let rest = self.changes.split_off(count.min(self.changes.len()));
        let to = self.to;
        if !rest.is_empty() {
            self.to = self.changes.last().map_or(self.from, |(number, _)| *number);
        }
        Self { from: self.to, to, changes: rest, ..self.clone() }
    }
}

/// The planner's last reading of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListRead {
    /// How long ago it was.
    pub age: Duration,
    /// The store's version to go on from.
    pub version: u64,
}

/// The changes that a daemon has seen in the list, numbered.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    last: u64,
    /// Changes up to this number are not repeated any more.
    floor: u64,
    kept: VecDeque<(u64, Time, ListChange)>,
}

impl ChangeLog {
    /// Adds a change, which takes the place of earlier ones of the same target.
    pub fn add(&mut self, change: ListChange, now: Time) {
        self.last += 1;
        self.kept.retain(|(_, _, earlier)| earlier.target() != change.target());
        self.kept.push_back((self.last, now, change));
        self.forget(now);
    }

    /// Leaves a number out, so that all who follow ask the store.
    pub fn skip(&mut self) {
        self.last += 1;
        self.floor = self.last;
        self.kept.clear();
    }

    fn forget(&mut self, now: Time) {
        let is_old = |at: &Time| now.since(*at) >= CHANGE_SPAN;
        while let Some((number, at, _)) = self.kept.front()
            && is_old(at)
        {
            self.floor = *number;
            self.kept.pop_front();
        }
    }

    /// Returns the number of the last change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns the changes after number `after` that are still repeated.
    pub fn news(&mut self, after: u64, read: ListRead, now: Time) -> ListNews {
        self.forget(now);
        let age_ms = peer::millis(read.age);
        let changes: Vec<(u64, ListChange)> = self
            .kept
            .iter()
            .filter(|(number, _, _)| *number > after)
            .map(|(number, _, change)| (*number, change.clone()))
            .collect();
        let newest = self.last;
        // Numbers that were left out before the oldest change kept are unknown to who lacks them.
        let from = if changes.is_empty() { newest } else { after.max(self.floor) };
        ListNews { from, to: newest, newest, age_ms, version: read.version, changes }
    }
}

/// What a daemon has from the planner in place of calls of its own.
#[derive(Clone, Debug, Default)]
pub struct Followed {
    spans: Spans,
    fence: u64,
    /// Every change up to this number is known.
    number: Option<u64>,
    /// A call that begins now makes every change up to this number known.
    newest: u64,
    list_at: Option<Time>,
    /// The same under an earlier planner.
    list_known_at: Option<Time>,
    list_version: u64,
    config_at: Option<Time>,
    config_version: u64,
}

impl Followed {
    /// Makes a view that is fresh for `spans`, with no news yet.
    pub fn new(spans: Spans) -> Self {
        Self { spans, ..Self::default() }
    }

    /// Takes in news of the list; returns the changes that are new, or none if one is missing.
    pub fn list(&mut self, fence: u64, news: ListNews, now: Time) -> Vec<ListChange> {
        if self.fence != fence {
            // What is known of the store stays known under another planner.
            let Self { spans, list_version, list_at, config_version, .. } = *self;
            let list_known_at = list_at.or(self.list_known_at);
            *self = Self { fence, list_version, list_known_at, config_version, ..Self::new(spans) };
        }
        self.newest = self.newest.max(news.newest);
        let Some(number) = self.number.filter(|n| *n >= news.from) else { return Vec::new() };
        self.number = Some(number.max(news.to));
        let read = now.before(Duration::from_millis(news.age_ms.into()));
        if number.max(news.to) == self.newest {
            self.list_at = self.list_at.max(Some(read));
            self.list_version = self.list_version.max(news.version);
        }
        let is_new = |(n, _): &(u64, ListChange)| *n > number;
        news.changes.into_iter().filter(is_new).map(|(_, change)| change).collect()
    }

    /// Takes in how old the planner's view of the configuration is, and its version.
    pub fn config(&mut self, version: u64, age: Duration, now: Time) {
        self.config_version = self.config_version.max(version);
        self.config_at = self.config_at.max(Some(now.before(age)));
    }

    /// Returns the last moment as of which the planner had no newer configuration than `mine`;
    /// `None` if it has one now.
    pub fn config_known_at(&self, mine: u64) -> Option<Time> {
        self.config_at.filter(|_| mine >= self.config_version)
    }

    /// Returns the newest version of the configuration that the planner has told of, 0 if none.
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Returns the store's version up to which the list is known by news, 0 if none.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns the last moment as of which the list was known by news.
    pub fn list_known_at(&self) -> Option<Time> {
        self.list_at.max(self.list_known_at)
    }

    /// Returns the number that a call that begins now will make known.
    pub fn before_call(&self) -> (u64, u64) {
        (self.fence, self.newest)
    }

    /// Takes in that a call that began at `mark` has succeeded.
    pub fn after_call(&mut self, mark: (u64, u64)) {
        let (fence, number) = mark;
        if fence == self.fence {
            self.number = self.number.max(Some(number));
        }
    }

    /// Returns how long the view of the list is fresh enough without a call.
    ///
    /// A change that is missing may still come: until then the view is as old as the last moment
    /// at which none was missing.
    pub fn list_fresh_for(&self, now: Time) -> Duration {
        self.list_at.map_or(Duration::ZERO, |at| self.spans.list.saturating_sub(now.since(at)))
    }

    /// Returns how long version `mine` of the configuration is fresh enough without a call.
    pub fn config_fresh_for(&self, mine: u64, now: Time) -> Duration {
        let at = self.config_known_at(mine);
        at.map_or(Duration::ZERO, |at| self.spans.config.saturating_sub(now.since(at)))
    }
}
