//! A follower's state from the planner's updates, which replaces its own calls to the store.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::clock::Time;

use super::changes::{Change, ListUpdate, Subject};
use crate::freshness::FreshnessLimits;

/// How long a daemon waits for the changes that it needs to join a planner's numbering: two
/// heartbeats. After that, the planner cannot send them.
const JOIN_TIMEOUT: Duration = Duration::from_millis(600);

/// A daemon that has sent no update for this long, some heartbeats, is not asked for snapshots.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a daemon reports to the planner of the updates that it has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceivedState {
    /// The fencing token of the planner that it follows.
    pub fence: u64,
    /// The daemon has every change up to this number.
    pub number: Option<u64>,
    /// The version of the store as of which the daemon has the list.
    pub version: u64,
    /// The number up to which changes are missing, if any are.
    pub missing_to: Option<u64>,
    /// How long ago the daemon last received an update of that planner, in milliseconds.
    pub last_update_age_ms: u32,
}

/// Changes that have arrived before earlier ones. They apply at once, as a later change of a target
/// replaces earlier ones; an earlier change that arrives late must not undo it.
#[derive(Clone, Debug, Default)]
struct OutOfOrder {
    /// The ranges of received numbers: the last number of each range, by the number before its
    /// first.
    ranges: BTreeMap<u64, u64>,
    /// The number of the last applied change of each subject among them.
    applied: HashMap<Subject, u64>,
}

impl OutOfOrder {
    /// Records that the numbers after `from`, up to and including `to`, have been received.
    fn add(&mut self, from: u64, to: u64) {
        let end = self.ranges.entry(from).or_default();
        *end = (*end).max(to);
    }

    /// Removes the ranges that continue from `number`, and returns the number up to which no change
    /// is missing.
    fn join(&mut self, mut number: u64) -> u64 {
        while let Some(range) = self.ranges.first_entry()
            && *range.key() <= number
        {
            number = number.max(range.remove());
        }
        if self.ranges.is_empty() {
            self.applied.clear();
        }
        number
    }

    /// Returns whether a change is newer than the last one of its subject, and records it.
    fn is_newer(&mut self, number: u64, change: &Change) -> bool {
        let last_applied = self.applied.entry(change.subject()).or_default();
        let is_newer = number > *last_applied;
        *last_applied = (*last_applied).max(number);
        is_newer
    }

    /// Returns the number before the first range.
    fn first_start(&self) -> Option<u64> {
        self.ranges.first_key_value().map(|(from, _)| *from)
    }
}

/// A follower's state from the planner's updates.
#[derive(Clone, Debug, Default)]
pub struct PlannerView {
    spans: FreshnessLimits,
    fence: u64,
    last_seen: Time,
    /// The daemon has every change up to this number.
    number: Option<u64>,
    /// The number of the newest change that the planner has announced. A call to the store that
    /// begins now returns every change up to it.
    newest: u64,
    /// Since when published changes are missing.
    missing_since: Option<Time>,
    /// Changes received beyond the first missing one.
    out_of_order: OutOfOrder,
    /// As of when the list is complete by updates of this planner.
    list_as_of: Option<Time>,
    /// As of when the list was complete under earlier planners.
    earlier_list_as_of: Option<Time>,
    list_version: u64,
    config_as_of: Option<Time>,
    config_version: u64,
    /// The daemon that sends this one its updates, and when it last did.
    source: Option<(SocketAddr, Time)>,
}

impl PlannerView {
    /// Creates a view that stays fresh for `spans`, before any update.
    pub fn new(spans: FreshnessLimits) -> Self {
        Self { spans, ..Self::default() }
    }

    /// Records an update of the list; returns the changes that are new. A daemon that cannot join
    /// the planner's numbering yet accepts only changes that do not depend on earlier ones.
    pub fn apply_list_update(&mut self, fence: u64, update: ListUpdate, now: Time) -> Vec<Change> {
        if self.fence != fence {
            // State that came from the store stays valid under another planner.
            let Self { spans, list_version, list_as_of, source, .. } = *self;
            let Self { config_version, config_as_of, .. } = *self;
            let earlier_list_as_of = list_as_of.max(self.earlier_list_as_of);
            *self = Self {
                fence,
                list_version,
                earlier_list_as_of,
                config_version,
                config_as_of,
                source,
                ..Self::new(spans)
            };
        }
        self.last_seen = now;
        self.newest = self.newest.max(update.newest);
        let Some(number) = self.number.or_else(|| self.join_number(&update)) else {
            self.missing_since.get_or_insert(now);
            let is_independent = |c: &Change| matches!(c, Change::Override(_));
            return update.changes.into_iter().map(|(_, c)| c).filter(is_independent).collect();
        };
        let changes = self.new_changes(number, update.changes);
        self.out_of_order.add(update.from, update.to);
        let number = self.out_of_order.join(number);
        self.number = Some(number);
        if number == self.newest {
            self.missing_since = None;
            let read_at = now.saturating_sub(Duration::from_millis(update.age_ms.into()));
            self.list_as_of = self.list_as_of.max(Some(read_at));
            self.list_version = self.list_version.max(update.version);
        } else if self.out_of_order.first_start().is_some() {
            self.missing_since.get_or_insert(now);
        }
        changes
    }

    /// Returns the changes that were not received yet, where all up to `number` were.
    fn new_changes(&mut self, number: u64, changes: Vec<(u64, Change)>) -> Vec<Change> {
        let out_of_order = &mut self.out_of_order;
        let is_new = |(n, change): &(u64, Change)| *n > number && out_of_order.is_newer(*n, change);
        changes.into_iter().filter(is_new).map(|(_, change)| change).collect()
    }

    /// Returns the number from which a daemon that has not followed this planner yet can follow
    /// `update`: the list at that number must not be newer than the daemon's.
    fn join_number(&self, update: &ListUpdate) -> Option<u64> {
        (self.list_version > 0 && self.list_version >= update.base).then_some(update.from)
    }

    /// Returns what this daemon has received of the planner's updates.
    pub fn received_state(&self, now: Time) -> ReceivedState {
        ReceivedState {
            fence: self.fence,
            number: self.number,
            version: self.list_version,
            missing_to: self
                .missing_since
                .map(|_| self.out_of_order.first_start().unwrap_or(self.newest)),
            last_update_age_ms: super::message::millis(now.since(self.last_seen)),
        }
    }

    /// Records that `from` has sent an update of the planner with the address `planner`. The planner
    /// itself also sends repairs to daemons that have a relay; that stays their source.
    pub fn record_source(&mut self, from: SocketAddr, planner: SocketAddr, now: Time) {
        let is_repair = from == planner && self.source(now).is_some_and(|source| source != planner);
        if !is_repair {
            self.source = Some((from, now));
        }
    }

    /// Returns the daemon that sends this one its updates, if it did so recently.
    pub fn source(&self, now: Time) -> Option<SocketAddr> {
        let (source, at) = self.source?;
        (now.since(at) < SOURCE_TIMEOUT).then_some(source)
    }

    /// Records that the list is complete as of `version` of the store by another daemon's list.
    pub fn record_list(&mut self, version: u64) {
        self.list_version = self.list_version.max(version);
    }

    /// Returns whether published changes are missing.
    pub fn has_gap(&self) -> bool {
        self.missing_since.is_some()
    }

    /// Records that `version` of the configuration was the newest `age` ago, as a daemon reports that
    /// has it from the store.
    pub fn record_config(&mut self, version: u64, age: Duration, now: Time) {
        self.config_version = self.config_version.max(version);
        self.config_as_of = self.config_as_of.max(Some(now.saturating_sub(age)));
    }

    /// Returns the last moment as of which no newer configuration than `own_version` was reported;
    /// `None` if one has been.
    pub fn config_as_of(&self, own_version: u64) -> Option<Time> {
        self.config_as_of.filter(|_| own_version >= self.config_version)
    }

    /// Returns the newest reported version of the configuration, 0 if none.
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// Returns the version of the store as of which the daemon has the list, 0 if none.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns the last moment as of which updates gave the daemon the complete list.
    pub fn list_as_of(&self) -> Option<Time> {
        self.list_as_of.max(self.earlier_list_as_of)
    }

    /// Returns the planner's fencing token, and the number up to which a call to the store that
    /// begins now returns every change.
    pub fn call_mark(&self) -> (u64, u64) {
        (self.fence, self.newest)
    }

    /// Records that a call to the store that began at `mark` has returned the list as of `version`.
    pub fn record_call(&mut self, mark: (u64, u64), version: u64) {
        let (fence, number) = mark;
        self.list_version = self.list_version.max(version);
        if fence == self.fence {
            let number = self.out_of_order.join(self.number.unwrap_or(0).max(number));
            self.number = Some(number);
            if number == self.newest {
                self.missing_since = None;
            }
        }
    }

    /// Returns how long the view of the list stays fresh without a call to the store.
    ///
    /// A missing change may still arrive. Until then, the view is as old as the last moment at
    /// which none was missing. A daemon that cannot join this planner's numbering soon queries the
    /// store.
    pub fn list_fresh_for(&self, now: Time) -> Duration {
        let fresh_for = self
            .list_as_of()
            .map_or(Duration::ZERO, |at| self.spans.max_list_age.saturating_sub(now.since(at)));
        match (self.missing_since, self.number) {
            (Some(since), None) => fresh_for.min(JOIN_TIMEOUT.saturating_sub(now.since(since))),
            _ => fresh_for,
        }
    }

    /// Returns how long version `own_version` of the configuration stays fresh without a call to
    /// the store.
    pub fn config_fresh_for(&self, own_version: u64, now: Time) -> Duration {
        let at = self.config_as_of(own_version);
        at.map_or(Duration::ZERO, |at| self.spans.max_config_age.saturating_sub(now.since(at)))
    }
}
