//! What the planner tells of targets, numbered, so that whoever misses a change knows it.
//!
//! A daemon that has every number up to the newest knows the list as of the planner's last call.
//! Nothing is repeated for everyone's sake: one that misses a number says so and is told it again.
//! Beside its number a change has the store's version as of which it holds, by which a daemon goes
//! on under another planner, whose numbers are its own.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    ops::Bound,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    clock::Time,
    name::{ServiceName, TargetName, ZoneName},
};

use super::message::{self, TargetNote};
use crate::target::{Born, Held, Removal, Target, TargetState};

/// Changes are kept this long for daemons that were away: the longest that the network or a freeze
/// keeps one away and leaves the store's history of use.
const KEPT_SPAN: Duration = Duration::from_secs(10);
/// A note of what the planner has done is told again for this long; the list shows it later.
const NOTE_SPAN: Duration = Duration::from_millis(1000);

/// An entry of the list without what only the planner needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The target.
    pub name: TargetName,
    /// When its run began, if it says so.
    pub born: Option<Born>,
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
            born: target.born,
            service: target.service.clone(),
            address: target.address,
            zone: target.zone.clone(),
            state: target.state,
            slots: target.slots,
            models: target.models.clone(),
            version: target.version,
        }
    }

    /// Makes a target of the entry, with the copies of weights that are known of its run.
    pub fn into_target(self, known: Option<&Target>) -> Target {
        let known = known.filter(|t| t.born == self.born);
        Target {
            name: self.name,
            born: self.born,
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

    /// Takes in what the target holds now.
    fn with(self, newer: EntryModels) -> Self {
        let EntryModels { models, version, .. } = newer;
        Self { models, version, ..self }
    }

    /// Returns the change of an entry that differs in what it holds alone.
    pub fn into_models(self) -> Change {
        let Self { name, models, version, .. } = self;
        Change::Models(EntryModels { name, models, version })
    }

    /// Tells whether the two differ in what they hold at most.
    pub fn is_same_but_models(&self, target: &Target) -> bool {
        let alike =
            Entry { version: target.version, models: target.models.clone(), ..self.clone() };
        alike == Entry::of(target)
    }

    /// Tells whether requests are treated alike by both.
    pub fn is_same(&self, target: &Target) -> bool {
        Entry { version: target.version, ..self.clone() } == Entry::of(target)
    }
}

/// A change that daemons are told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The entry of the list is new or has changed.
    Put(Entry),
    /// An entry that differs in what it holds alone.
    Models(EntryModels),
    /// The entry is gone.
    Removed(Removal),
    /// The planner has changed the target, or knows of it before the list does.
    Note(TargetNote),
    /// The planner has read the whole list.
    Whole(WholeRead),
}

/// A reading of the whole list by a daemon that knew it as of an earlier version.
///
/// What has come and gone in between shows in neither, so that nobody can be told of it. A daemon
/// that has read the list itself in between may know it, and reads the list again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WholeRead {
    /// The store's version as of which the list was known before.
    pub after: u64,
    /// The store's version as of which it was read.
    pub version: u64,
}

impl WholeRead {
    /// Tells whether changes may be missing to a daemon that has read the list as of `version`.
    pub fn leaves_out(&self, version: u64) -> bool {
        self.after < version && version < self.version
    }

    /// Returns what both readings together leave out.
    pub fn with(self, earlier: Self) -> Self {
        Self { after: earlier.after.min(self.after), version: earlier.version.max(self.version) }
    }
}

/// What an entry that is known holds now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryModels {
    /// The target.
    pub name: TargetName,
    /// The models that it holds.
    pub models: Vec<Held>,
    /// The version of the entry.
    pub version: u64,
}

/// What a later change takes the place of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Subject {
    Entry(TargetName),
    Note(TargetName),
    Whole,
}

impl Change {
    pub(super) fn subject(&self) -> Subject {
        match self {
            Change::Put(entry) => Subject::Entry(entry.name.clone()),
            Change::Models(entry) => Subject::Entry(entry.name.clone()),
            Change::Removed(removal) => Subject::Entry(removal.name.clone()),
            Change::Note(note) => Subject::Note(note.target.clone()),
            Change::Whole(_) => Subject::Whole,
        }
    }
}

/// Changes with the numbers after `from`, up to `to`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNews {
    /// The number before the first change.
    pub from: u64,
    /// The store's version as of which every change up to `from` holds.
    pub base: u64,
    /// The number of the last change.
    pub to: u64,
    /// The number of the newest change of all; other datagrams have what lies between.
    pub newest: u64,
    /// How long ago the list was read, in milliseconds.
    pub age_ms: u32,
    /// The store's version that the list is to be followed from.
    pub version: u64,
    /// The changes and their numbers. A number that is left out belongs to a change that a later
    /// one takes the place of, or that no longer counts.
    pub changes: Vec<(u64, Change)>,
}

impl ListNews {
    /// Takes the changes but the first `count` off, as news that go on from those.
    pub fn split_off(&mut self, count: usize) -> Self {
        let rest = self.changes.split_off(count.min(self.changes.len()));
        let to = self.to;
        if !rest.is_empty() {
            self.to = self.changes.last().map_or(self.from, |(number, _)| *number);
        }
        // Nobody joins in the middle.
        let base = if self.to == self.from { self.base } else { u64::MAX };
        Self { from: self.to, base, to, changes: rest, ..self.clone() }
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

/// A change that may be asked for again.
#[derive(Clone, Debug)]
struct Kept {
    at: Time,
    /// The store's version as of which it holds.
    version: u64,
    change: Change,
}

/// The changes that a daemon has seen, numbered.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    last: u64,
    /// Changes up to this number can't be asked for any more.
    floor: u64,
    /// The store's version as of which all of them hold.
    floor_version: u64,
    /// The newest version of all.
    newest_version: u64,
    kept: BTreeMap<u64, Kept>,
    numbers: HashMap<Subject, u64>,
    /// Whether the list has not been read yet, so that these changes go on from no version.
    is_unread: bool,
}

impl ChangeLog {
    /// Makes the log of a daemon that has not read the list yet.
    pub fn unread() -> Self {
        Self { is_unread: true, ..Self::default() }
    }

    /// Adds a change that holds as of the store's `version`. It takes the place of earlier ones
    /// about the same.
    pub fn add(&mut self, change: Change, version: u64, now: Time) {
        self.last += 1;
        let before = self.numbers.insert(change.subject(), self.last);
        let before = before.and_then(|number| self.kept.remove(&number));
        // Whoever lacks the earlier change lacks more than what an entry holds.
        let change = match (before.map(|kept| kept.change), change) {
            (Some(Change::Put(entry)), Change::Models(newer)) => Change::Put(entry.with(newer)),
            (Some(Change::Whole(earlier)), Change::Whole(read)) => {
                Change::Whole(read.with(earlier))
            }
            (_, change) => change,
        };
        self.newest_version = self.newest_version.max(version);
        self.kept.insert(self.last, Kept { at: now, version, change });
        self.forget(now);
    }

    /// Leaves a number out, so that all who know less of the list than `version` ask the store.
    pub fn skip(&mut self, version: u64) {
        self.is_unread = false;
        self.last += 1;
        self.floor = self.last;
        self.newest_version = self.newest_version.max(version);
        self.floor_version = self.newest_version;
        self.kept.clear();
        self.numbers.clear();
    }

    fn forget(&mut self, now: Time) {
        while let Some(first) = self.kept.first_entry()
            && now.since(first.get().at) >= KEPT_SPAN
        {
            self.floor = *first.key();
            let kept = first.remove();
            self.floor_version = self.floor_version.max(kept.version);
            let subject = kept.change.subject();
            if self.numbers.get(&subject) == Some(&self.floor) {
                self.numbers.remove(&subject);
            }
        }
    }

    /// Returns the number of the last change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns the number of the last change that was added before `at`.
    pub fn number_before(&self, at: Time) -> u64 {
        let later = self.kept.iter().find(|(_, kept)| kept.at >= at);
        later.map_or(self.last, |(number, _)| number - 1)
    }

    /// Returns the last number up to which a daemon knows every change that knows the list as of
    /// `version`; `None` if that can't be told any more.
    pub fn known_at(&self, version: u64) -> Option<u64> {
        if self.is_unread || self.floor_version > version {
            return None;
        }
        let newer = self.kept.iter().find(|(_, kept)| kept.version > version);
        Some(newer.map_or(self.last, |(number, _)| number - 1))
    }

    /// Returns the store's version as of which every change up to `number` holds.
    fn base(&self, number: u64) -> u64 {
        if self.is_unread {
            return u64::MAX;
        }
        if number == self.last {
            return self.newest_version;
        }
        let versions = self.kept.range(..=number).map(|(_, kept)| kept.version);
        versions.fold(self.floor_version, u64::max)
    }

    /// Returns the changes after number `after` that can still be told.
    pub fn news(&mut self, after: u64, read: ListRead, now: Time) -> ListNews {
        self.news_between(after, self.last, read, now)
    }

    /// Returns the changes after number `after`, up to `to`, that can still be told.
    pub fn news_between(&mut self, after: u64, to: u64, read: ListRead, now: Time) -> ListNews {
        self.forget(now);
        let from = after.max(self.floor).min(self.last);
        let to = to.clamp(from, self.last);
        let counts = |kept: &Kept| match kept.change {
            Change::Note(_) => now.since(kept.at) < NOTE_SPAN,
            _ => true,
        };
        let changes: Vec<(u64, Change)> = self
            .kept
            .range((Bound::Excluded(from), Bound::Included(to)))
            .filter(|(_, kept)| counts(kept))
            .map(|(number, kept)| (*number, kept.change.clone()))
            .collect();
        let newest = self.last;
        let (age_ms, base) = (message::millis(read.age), self.base(from));
        ListNews { from, base, to, newest, age_ms, version: read.version, changes }
    }
}
