//! The planner's changes to targets, numbered, so that a daemon detects those that it misses.
//!
//! A daemon that has every number up to the newest has the list as of the planner's last call to
//! the store. Changes are not repeated to all daemons: one that misses a number reports it and gets
//! a repair. Beside its number, a change carries the version of the store as of which it holds. A
//! daemon needs the version to follow another planner, which numbers changes on its own.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    ops::Bound,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    clock::Time,
    name::{ServiceName, SoftwareVersion, TargetName, ZoneName},
};

use super::message::{self, TargetOverride};
use crate::target::{LoadedModel, Removal, StartTime, Target, TargetState};

/// How long changes are retained for daemons that were unreachable: the longest network outage or
/// freeze of a daemon after which the store's history is still of use.
const CHANGE_RETENTION: Duration = Duration::from_secs(10);
/// How long the planner's override of a target is included in updates; later, the list shows it.
const OVERRIDE_WINDOW: Duration = Duration::from_millis(1000);

/// An entry of the list of targets, without the fields that only the planner needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The target's name.
    pub name: TargetName,
    /// When its run started, if the target reports it.
    pub started_at: Option<StartTime>,
    /// The service that it serves.
    pub service: ServiceName,
    /// The version of its software, if its entry names one.
    pub software: Option<SoftwareVersion>,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it accepts new requests.
    pub state: TargetState,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The loaded models.
    pub models: Vec<LoadedModel>,
    /// How much longer the target warms up, in milliseconds from when the entry was written.
    pub warm_up_ms: u32,
    /// The version of the entry.
    pub version: u64,
}

impl Entry {
    /// Creates an entry from the fields of a target that serving requests needs.
    pub fn from_target(target: &Target) -> Self {
        Self {
            name: target.name.clone(),
            started_at: target.started_at,
            service: target.service.clone(),
            software: target.software.clone(),
            address: target.address,
            zone: target.zone.clone(),
            state: target.state,
            slots: target.slots,
            models: target.models.clone(),
            warm_up_ms: message::millis(target.warm_up_left),
            version: target.version,
        }
    }

    /// Converts the entry into a target, with the copies of weights that `known` has of its run.
    pub fn into_target(self, known: Option<&Target>) -> Target {
        let known = known.filter(|t| t.started_at == self.started_at);
        Target {
            name: self.name,
            started_at: self.started_at,
            service: self.service,
            software: self.software,
            address: self.address,
            zone: self.zone,
            state: self.state,
            slots: self.slots,
            models: self.models,
            in_memory: known.map(|t| t.in_memory.clone()).unwrap_or_default(),
            on_disk: known.map(|t| t.on_disk.clone()).unwrap_or_default(),
            warm_up_left: Duration::from_millis(self.warm_up_ms.into()),
            version: self.version,
        }
    }

    /// Replaces the loaded models and the version by those of a newer change.
    fn with_models(self, newer: EntryModels) -> Self {
        let EntryModels { models, version, .. } = newer;
        Self { models, version, ..self }
    }

    /// Converts the entry into a change of its loaded models only.
    pub fn into_models_change(self) -> Change {
        let Self { name, models, version, .. } = self;
        Change::Models(EntryModels { name, models, version })
    }

    /// Returns whether the entry equals `target` except for the loaded models and the version.
    pub fn equals_except_models(&self, target: &Target) -> bool {
        let same_models = Entry { models: target.models.clone(), ..self.clone() };
        same_models.equals_except_version(target)
    }

    /// Returns whether the entry equals `target` except for the version and the passage of time in
    /// a warm-up.
    pub fn equals_except_version(&self, target: &Target) -> bool {
        let known = Entry::from_target(target);
        let is_on_course = (self.warm_up_ms == 0) == (known.warm_up_ms == 0)
            && self.warm_up_ms <= known.warm_up_ms;
        let Entry { version, warm_up_ms, .. } = known;
        is_on_course && Entry { version, warm_up_ms, ..self.clone() } == known
    }
}

/// A change that the planner publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An entry of the list is new or has changed.
    Put(Entry),
    /// Only the loaded models of an entry have changed.
    Models(EntryModels),
    /// An entry was removed.
    Removed(Removal),
    /// The planner has changed a target, or has a newer state of it than the list.
    Override(TargetOverride),
    /// The planner has read the full list.
    FullRead(FullRead),
}

/// A read of the full list by a daemon that had it as of an earlier version.
///
/// An entry that was both added and removed in between shows in neither version and cannot be
/// published. A daemon that has read the list itself in between may have such an entry, and reads
/// the list again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullRead {
    /// The version of the store as of which the daemon had the list before.
    pub after: u64,
    /// The version of the store as of which it was read.
    pub version: u64,
}

impl FullRead {
    /// Returns whether a daemon that has read the list as of `version` may miss changes.
    pub fn may_lack_changes(&self, version: u64) -> bool {
        self.after < version && version < self.version
    }

    /// Returns the smallest range of versions that contains the ranges of both reads.
    pub fn merge(self, earlier: Self) -> Self {
        Self { after: earlier.after.min(self.after), version: earlier.version.max(self.version) }
    }
}

/// The loaded models of an entry that was published before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryModels {
    /// The target's name.
    pub name: TargetName,
    /// The loaded models.
    pub models: Vec<LoadedModel>,
    /// The version of the entry.
    pub version: u64,
}

/// The subject of a change: a later change of the same subject replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Subject {
    Entry(TargetName),
    Override(TargetName),
    FullRead,
}

impl Change {
    /// Returns the version of the store that shows the change; 0 if the store does not show it.
    fn version(&self) -> u64 {
        match self {
            Change::Put(entry) => entry.version,
            Change::Models(entry) => entry.version,
            Change::Removed(removal) => removal.version,
            Change::FullRead(read) => read.version,
            Change::Override(_) => 0,
        }
    }

    pub(super) fn subject(&self) -> Subject {
        match self {
            Change::Put(entry) => Subject::Entry(entry.name.clone()),
            Change::Models(entry) => Subject::Entry(entry.name.clone()),
            Change::Removed(removal) => Subject::Entry(removal.name.clone()),
            Change::Override(target_override) => Subject::Override(target_override.target.clone()),
            Change::FullRead(_) => Subject::FullRead,
        }
    }
}

/// The changes with the numbers after `from`, up to and including `to`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// The number before the first change.
    pub from: u64,
    /// The newest version of the store among the changes up to `from`. A daemon that has the list
    /// as of this version or a later one can apply the update without them; with `u64::MAX`, none
    /// can.
    pub base: u64,
    /// The number of the last change.
    pub to: u64,
    /// The number of the newest change of all; other datagrams carry those after `to`.
    pub newest: u64,
    /// How long ago the list was read, in milliseconds.
    pub age_ms: u32,
    /// The version of the store from which to follow the list.
    pub version: u64,
    /// The changes and their numbers. A missing number belongs to a change that a later one has
    /// replaced, or that is no longer relevant.
    pub changes: Vec<(u64, Change)>,
}

impl ListUpdate {
    /// Splits off all changes after the first `count`, as an update that continues from those.
    pub fn split_off(&mut self, count: usize) -> Self {
        let rest = self.changes.split_off(count.min(self.changes.len()));
        let to = self.to;
        if !rest.is_empty() {
            self.to = self.changes.last().map_or(self.from, |(number, _)| *number);
        }
        // A daemon must not begin to follow in the middle of an update.
        let base = if self.to == self.from { self.base } else { u64::MAX };
        Self { from: self.to, base, to, changes: rest, ..self.clone() }
    }
}

/// The planner's last read of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListRead {
    /// How long ago it was.
    pub age: Duration,
    /// The version of the store from which to continue.
    pub version: u64,
}

/// A change that is retained for repairs.
#[derive(Clone, Debug)]
struct LoggedChange {
    at: Time,
    /// The version of the store as of which it holds.
    version: u64,
    change: Change,
}

/// The numbered log of the changes that a daemon has seen.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    last: u64,
    /// Changes up to this number are no longer retained.
    floor: u64,
    /// The newest version of the store among the changes up to `floor`.
    floor_version: u64,
    /// The newest version of the store among all changes.
    newest_version: u64,
    logged: BTreeMap<u64, LoggedChange>,
    latest_numbers: HashMap<Subject, u64>,
    /// Whether the list has not been read yet, so that the changes continue from no version.
    is_unread: bool,
}

impl ChangeLog {
    /// Creates the log of a daemon that has not read the list yet.
    pub fn unread() -> Self {
        Self { is_unread: true, ..Self::default() }
    }

    /// Adds a change that holds as of `version` of the store, and not before its own. It replaces an
    /// earlier change of the same subject.
    pub fn add(&mut self, change: Change, version: u64, now: Time) {
        // While the planner retains a target, its updates name the version of an earlier read.
        let version = version.max(change.version());
        self.last += 1;
        let before = self.latest_numbers.insert(change.subject(), self.last);
        let before = before.and_then(|number| self.logged.remove(&number));
        // A daemon that lacks the replaced change needs the full entry, not only its models.
        let change = match (before.map(|logged| logged.change), change) {
            (Some(Change::Put(entry)), Change::Models(newer)) => {
                Change::Put(entry.with_models(newer))
            }
            (Some(Change::FullRead(earlier)), Change::FullRead(read)) => {
                Change::FullRead(read.merge(earlier))
            }
            (_, change) => change,
        };
        self.newest_version = self.newest_version.max(version);
        self.logged.insert(self.last, LoggedChange { at: now, version, change });
        self.forget(now);
    }

    /// Skips a number, so that daemons that have the list as of a version before `version` query
    /// the store.
    pub fn skip(&mut self, version: u64) {
        self.is_unread = false;
        self.last += 1;
        self.floor = self.last;
        self.newest_version = self.newest_version.max(version);
        self.floor_version = self.newest_version;
        self.logged.clear();
        self.latest_numbers.clear();
    }

    /// Drops changes that have passed their retention.
    fn forget(&mut self, now: Time) {
        while let Some(first) = self.logged.first_entry()
            && now.since(first.get().at) >= CHANGE_RETENTION
        {
            self.floor = *first.key();
            let logged = first.remove();
            self.floor_version = self.floor_version.max(logged.version);
            let subject = logged.change.subject();
            if self.latest_numbers.get(&subject) == Some(&self.floor) {
                self.latest_numbers.remove(&subject);
            }
        }
    }

    /// Returns the number of the last change.
    pub fn last_number(&self) -> u64 {
        self.last
    }

    /// Returns the number of the last change that was added before `at`.
    pub fn number_before(&self, at: Time) -> u64 {
        let later = self.logged.iter().find(|(_, logged)| logged.at >= at);
        later.map_or(self.last, |(number, _)| number - 1)
    }

    /// Returns the number up to which a daemon that has the list as of `version` has every change;
    /// `None` if the log no longer reaches back that far.
    pub fn number_at_version(&self, version: u64) -> Option<u64> {
        if self.is_unread || self.floor_version > version {
            return None;
        }
        let newer = self.logged.iter().find(|(_, logged)| logged.version > version);
        Some(newer.map_or(self.last, |(number, _)| number - 1))
    }

    /// Returns the newest version of the store among the changes up to `number`.
    fn base(&self, number: u64) -> u64 {
        if self.is_unread {
            return u64::MAX;
        }
        if number == self.last {
            return self.newest_version;
        }
        let versions = self.logged.range(..=number).map(|(_, logged)| logged.version);
        versions.fold(self.floor_version, u64::max)
    }

    /// Returns the retained changes after number `after`.
    pub fn changes_after(&mut self, after: u64, read: ListRead, now: Time) -> ListUpdate {
        self.changes_between(after, self.last, read, now)
    }

    /// Returns the retained changes after number `after`, up to and including `to`.
    pub fn changes_between(
        &mut self,
        after: u64,
        to: u64,
        read: ListRead,
        now: Time,
    ) -> ListUpdate {
        self.forget(now);
        let from = after.max(self.floor).min(self.last);
        let to = to.clamp(from, self.last);
        let is_current = |logged: &LoggedChange| match logged.change {
            Change::Override(_) => now.since(logged.at) < OVERRIDE_WINDOW,
            _ => true,
        };
        let changes: Vec<(u64, Change)> = self
            .logged
            .range((Bound::Excluded(from), Bound::Included(to)))
            .filter(|(_, logged)| is_current(logged))
            .map(|(number, logged)| (*number, logged.change.clone()))
            .collect();
        let newest = self.last;
        let (age_ms, base) = (message::millis(read.age), self.base(from));
        ListUpdate { from, base, to, newest, age_ms, version: read.version, changes }
    }
}
