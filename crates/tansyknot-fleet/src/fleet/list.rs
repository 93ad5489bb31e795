//! Applies the list of targets to the daemon's view, and tracks the store's version that the view
//! reflects.
//!
//! Responses of the store and updates of the planner arrive in any order. Each carries the store's
//! version that it reflects, and data older than the view's data of a target is ignored. The
//! version that is advertised to other daemons covers only changes that have been sent to them, and
//! no deferred removal.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::Time,
    event,
    name::{ModelName, SoftwareVersion, TargetName},
};

use super::{
    Fleet,
    member::{DeferredRemoval, Member},
};
use crate::{
    dissemination::{
        changes::{Change, Entry, EntryModels, FullRead, ListRead},
        message,
    },
    platform_api::TargetChange,
    store_version,
    target::{self, Removal, Target, TargetState},
};

/// How long after the store's return an entry that expired during its outage may take to reappear.
/// The platform specifies about two seconds.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(2300);
/// How long a removed target is remembered. This exceeds the longest read of the list, 14 pages of
/// 2 s each at 6,900 targets.
const REMOVED_RETENTION: Duration = Duration::from_secs(30);

/// The most entries of a list that one response of the store has room for.
const MAX_SHORT_LIST: usize = 500;

/// A read of the list as it is advertised to other daemons.
#[derive(Clone, Copy, Debug)]
struct AdvertisedRead {
    version: u64,
    /// When the call of the read began.
    at: Time,
}

/// Where a daemon has a change from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeSource {
    /// Its own call to the store.
    Store,
    /// An update of the planner, which logs what it reads itself.
    Planner,
}

/// A target that was removed from the list.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemovedTarget {
    /// The store's version as of which the target is known to be absent.
    version: u64,
    at: Time,
}

/// The status of a target in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListStatus {
    /// The target has an entry.
    Listed,
    /// The target reports that it is draining.
    Draining,
    /// The target has no entry, or another target has its address.
    Removed,
}

/// How far the view follows the list.
#[derive(Debug, Default)]
pub(super) struct ListState {
    /// The newest version of the store that any part of the view reflects.
    version: u64,
    /// The first known version of the store's present era, if an earlier era was known. An entry up to
    /// this version may be from the copy from which the store came back.
    era_began_at: u64,
    /// The last read from which no removal is deferred.
    advertised: Option<AdvertisedRead>,
    /// The version as of which this daemon last read the list itself.
    read_version: u64,
    /// The planner whose updates are applied, by its fencing token, and the newest version that any part
    /// of the view reflected before the first of them.
    followed: (u64, u64),
    /// The combined range of the full reads that the planner has published.
    full_read: Option<FullRead>,
    /// Whether changes may be missing that no daemon can supply.
    is_gapped: bool,
    /// Until when entries that disappear are taken for expired and not for removed.
    assume_expired_until: Time,
    /// The version of the first response since the store's return, if it has arrived.
    store_return_version: Option<u64>,
}

impl Fleet {
    /// Records that the store responds again after an outage. The last failed call began at
    /// `last_failed_call`.
    ///
    /// The store may have been available throughout, with only this daemon disconnected. The
    /// recovery time, after which the daemon must meet the bounds again, is therefore counted from
    /// that call at the earliest, and removed entries are retained no longer than that.
    pub fn store_returned(&mut self, last_failed_call: Time, now: Time) {
        self.list.assume_expired_until =
            (now + EXPIRY_GRACE).min(last_failed_call + self.spans.recovery);
        self.list.store_return_version = None;
    }

    /// Raises the store's version that the view reflects, before changes of that version are
    /// applied.
    pub fn raise_list_version(&mut self, version: u64) {
        if self.is_later_era(version) {
            self.list.era_began_at = version;
        }
        self.list.version = self.list.version.max(version);
    }

    /// Returns whether a version shows that the store has come back from an older copy since the view
    /// was last changed.
    pub fn is_later_era(&self, version: u64) -> bool {
        self.list.version != 0
            && store_version::era(version) > store_version::era(self.list.version)
    }

    /// Records that updates of the planner with `fence` are applied from now on. What the view has
    /// received before, that planner may not have.
    pub fn begin_updates(&mut self, fence: u64) {
        if self.list.followed.0 != fence {
            self.list.followed = (fence, self.list.version);
        }
    }

    /// Returns whether the view may have entries that a planner's full read shows neither as added nor
    /// as removed.
    fn may_lack_removals(&self, read: &FullRead) -> bool {
        let (_, version_before) = self.list.followed;
        let is_beyond_planner =
            read.after < version_before && self.list.read_version < read.version;
        is_beyond_planner || read.may_lack_changes(self.list.read_version)
    }

    /// Returns the newest version of the store that any part of the view reflects.
    pub fn list_version(&self) -> u64 {
        self.list.version
    }

    /// Records that a call which began at `began` returned the list as of `version`, and that its
    /// result has been applied.
    ///
    /// The read is advertised to other daemons only if no removal is deferred: they take it for the
    /// complete list at that time, and query the store themselves once it is too old.
    pub fn complete_read(&mut self, version: u64, began: Time) {
        self.raise_list_version(version);
        self.list.read_version = version;
        // The planner may have published its full read while this older response was in flight.
        self.list.is_gapped |=
            self.list.full_read.is_some_and(|read| read.may_lack_changes(version));
        self.list.store_return_version.get_or_insert(version);
        if self.members.values().all(|m| m.deferred_removal.is_none()) {
            self.list.advertised = Some(AdvertisedRead { version, at: began });
        }
    }

    /// Returns the read of the list that is advertised to other daemons.
    pub fn advertised_read(&self, now: Time) -> ListRead {
        match self.list.advertised {
            Some(read) => ListRead { age: now.since(read.at), version: read.version },
            None => ListRead { age: Duration::MAX, version: 0 },
        }
    }

    /// Applies the full list, which was read as of `version`.
    ///
    /// The response may be older than the view: entries that were added since do not count as
    /// missing, and entries that were removed since are not restored.
    ///
    /// `known` is the version of the list that the view reflected before, if any.
    pub fn apply_full_list(
        &mut self,
        targets: Vec<Target>,
        version: u64,
        known: Option<u64>,
        now: Time,
    ) {
        self.raise_list_version(version);
        let is_first = self.members.is_empty();
        let named: BTreeSet<TargetName> = targets.iter().map(|t| t.name.clone()).collect();
        let missing = self.members.keys().filter(|name| !named.contains(*name));
        let missing: Vec<Removal> =
            missing.map(|name| Removal { name: name.clone(), version }).collect();
        let mut changes: Vec<Change> =
            targets.into_iter().filter_map(|target| self.put(target, now)).collect();
        changes.extend(missing.into_iter().filter_map(|removal| self.remove_entry(removal, now)));
        self.list.is_gapped = false;
        if is_first {
            // Changes before this read are not known here and can't be sent to other daemons.
            self.log.skip(self.list.version);
            let states = self.members.values_mut().map(|m| (&m.target, &mut m.logged_state));
            states.for_each(|(target, logged_state)| *logged_state = Some(target.state));
            event::FLEET_LIST_READ
                .emit(&[("targets", &self.members.len()), ("changes", &changes.len())]);
            return;
        }
        let after = known.unwrap_or(0);
        if after < version {
            changes.push(Change::FullRead(FullRead { after, version }));
        }
        self.log_changes(changes, now);
    }

    /// Applies one change of the list.
    pub fn apply_change(&mut self, change: TargetChange, now: Time) {
        let change = match change {
            TargetChange::Put(target) => self.put(*target, now),
            TargetChange::Removed(removal) => self.remove_entry(removal, now),
        };
        self.log_changes(change, now);
    }

    /// Logs changes and adds them to the log that is sent to other daemons if this one is the
    /// planner.
    fn log_changes(&mut self, changes: impl IntoIterator<Item = Change>, now: Time) {
        self.log_changes_as_of(self.list.version, changes, ChangeSource::Store, now);
    }

    fn log_changes_as_of(
        &mut self,
        version: u64,
        changes: impl IntoIterator<Item = Change>,
        source: ChangeSource,
        now: Time,
    ) {
        for change in changes {
            self.log_state(&change, source);
            self.log.add(change, version, now);
        }
    }

    /// Logs that a target was added, changed its state or was removed. Targets that are ready are
    /// logged by the daemon that has read them, and not by each that has received them.
    fn log_state(&mut self, change: &Change, source: ChangeSource) {
        match change {
            Change::Models(_) | Change::Override(_) | Change::FullRead(_) => {}
            Change::Put(entry) => {
                let Some(m) = self.members.get_mut(&entry.name) else { return };
                let is_known = m.logged_state.replace(entry.state) == Some(entry.state);
                let is_expected =
                    source == ChangeSource::Planner && entry.state == TargetState::Ready;
                if is_known || is_expected {
                    return;
                }
                event::FLEET_TARGET.emit(&[
                    ("target", &entry.name),
                    ("service", &entry.service),
                    ("software", &entry.software.as_ref().map_or("", SoftwareVersion::as_str)),
                    ("address", &entry.address),
                    ("state", &entry.state.name()),
                    ("version", &entry.version),
                ]);
            }
            Change::Removed(removal) => {
                event::FLEET_TARGET.emit(&[
                    ("target", &removal.name),
                    ("state", &"gone"),
                    ("version", &removal.version),
                ]);
            }
        }
    }

    /// Applies an entry; returns the change if it matters to requests.
    fn put(&mut self, mut target: Target, now: Time) -> Option<Change> {
        let Some(m) = self.members.get_mut(&target.name) else {
            return self.insert_entry(target, now);
        };
        let is_same_run = target::may_be_same_run(m.entry.started_at, target.started_at);
        if is_same_run && m.entry.state == TargetState::Draining {
            // A run that drains does not return to service, whatever an older copy of its entry says.
            target.state = TargetState::Draining;
        }
        let entry = Entry::from_target(&target);
        let is_of_former_run = m.entry.started_at > target.started_at.or(m.entry.started_at);
        let is_gone = m.deferred_removal.is_some_and(|deferred| deferred.version >= target.version);
        if m.entry.version > target.version || is_of_former_run || is_gone {
            return None;
        }
        if m.entry.started_at.is_some() && target.started_at.is_none() {
            // The earlier entry had a start time: another writer has replaced it by one that
            // describes no target.
            return self.remove_entry(Removal { name: target.name, version: target.version }, now);
        }
        let has_changed = m.deferred_removal.is_some() || !entry.equals_except_version(&m.entry);
        let differs_in_models =
            m.deferred_removal.is_none() && entry.equals_except_models(&m.entry);
        let (before, born) = (m.run, m.entry.started_at);
        if !target::may_be_same_run(born, target.started_at) {
            self.conditions.forget(&target.name);
        }
        if m.entry.software != target.software {
            self.software.record_gone(&m.entry, now);
        }
        m.set_entry(target, now);
        if m.run != before && born.is_none() {
            // The same run, whose entry now includes its start time.
            self.backpressure.rename(before, m.run);
        }
        m.set_draining(self.backpressure.is_leaving(m.run));
        if m.entry.state == TargetState::Draining && has_changed {
            m.log_departure(now);
        }
        self.warm_ups.record_entry(m.run, &m.entry.service, m.entry.warm_up_left, now);
        has_changed.then(|| {
            if differs_in_models { entry.into_models_change() } else { Change::Put(entry) }
        })
    }

    /// Adds a target that is not tracked, unless its entry is older than its removal or than a read
    /// of the list that did not include it.
    fn insert_entry(&mut self, target: Target, now: Time) -> Option<Change> {
        let removed = self.removed_targets.get(&target.name);
        let absent_as_of =
            removed.map_or(self.list.read_version, |r| r.version.max(self.list.read_version));
        if target.version <= absent_as_of {
            return None;
        }
        if removed.is_some() && target.version <= self.list.era_began_at {
            // The copy from which the store came back may list targets that have gone since.
            return None;
        }
        let entry = Entry::from_target(&target);
        if let Some(removed) = removed {
            event::FLEET_TARGET_BACK.emit(&[
                ("target", &entry.name),
                ("version", &entry.version),
                ("gone_version", &removed.version),
                ("state", &entry.state.name()),
            ]);
            self.removed_targets.remove(&target.name);
        }
        self.conditions.forget(&target.name);
        let warm_up_left = target.warm_up_left;
        let mut member = Member::new(target);
        self.warm_ups.record_entry(member.run, &entry.service, warm_up_left, now);
        member.set_draining(self.backpressure.is_leaving(member.run));
        self.members.insert(entry.name.clone(), member);
        Some(Change::Put(entry))
    }

    /// Applies the removal of an entry; returns the change unless the removal is deferred.
    fn remove_entry(&mut self, removal: Removal, now: Time) -> Option<Change> {
        let Some(until) = self.retained_until(&removal, now) else {
            return self.drop_member(removal, now);
        };
        let m = self.members.get_mut(&removal.name)?;
        if m.deferred_removal.is_none() {
            m.deferred_removal = Some(DeferredRemoval { at: until, version: removal.version });
            event::FLEET_TARGET_KEPT.emit(&[
                ("target", &removal.name),
                ("version", &removal.version),
                ("for_ms", &until.since(now).as_millis()),
            ]);
        }
        None
    }

    /// Returns until when a target without an entry is retained; `None` if the entry can't have
    /// expired during a store outage.
    ///
    /// A target whose entry was absent when the store returned is retained for as long as the entry
    /// may take to reappear. If an entry disappears later, the target may also be leaving, so it is
    /// retained only for the maximum age of a view less the time between two reads. It is not
    /// retained at all if its entry was written after the return, as such an entry has not expired.
    fn retained_until(&self, removal: &Removal, now: Time) -> Option<Time> {
        let m = self.members.get(&removal.name)?;
        if now >= self.list.assume_expired_until || m.entry.version > removal.version {
            return None;
        }
        match self.list.store_return_version {
            Some(version) if m.entry.version > version => None,
            Some(version) if removal.version > version => {
                let max_retention =
                    self.spans.max_list_age.saturating_sub(self.spans.list_poll_interval);
                Some(self.list.assume_expired_until.min(now + max_retention))
            }
            _ => Some(self.list.assume_expired_until),
        }
    }

    /// Drops a target whose entry was removed, unless the entry is newer than the removal. The
    /// removal of an untracked target is remembered too, as an older response may still be in
    /// flight.
    fn drop_member(&mut self, removal: Removal, now: Time) -> Option<Change> {
        let known = self.members.get(&removal.name);
        if known.is_some_and(|m| m.entry.version > removal.version) {
            return None;
        }
        let before = self.removed_targets.get(&removal.name).map_or(0, |removed| removed.version);
        let removed = RemovedTarget { version: removal.version.max(before), at: now };
        self.removed_targets.insert(removal.name.clone(), removed);
        let known = self.members.remove(&removal.name);
        if let Some(m) = &known {
            m.log_departure(now);
            self.software.record_gone(&m.entry, now);
        }
        let was_known = known.is_some();
        // Daemons that read the list while the target had an entry must receive the removal.
        (was_known || before < removal.version).then_some(Change::Removed(removal))
    }

    /// Returns whether the list is longer than what the store returns at once.
    pub fn has_long_list(&self) -> bool {
        self.members.len() > MAX_SHORT_LIST
    }

    /// Returns every entry, with what is left of its warm-up.
    pub fn entries(&self, now: Time) -> Vec<Entry> {
        let entry = |m: &Member| {
            let left = self.warm_ups.left_by_entry(m.run, now);
            Entry { warm_up_ms: message::millis(left), ..Entry::from_target(&m.entry) }
        };
        self.members.values().map(entry).collect()
    }

    /// Returns whether a target accepts new work, as far as this daemon knows.
    pub fn accepts_work(&self, target: &TargetName, now: Time) -> bool {
        self.members.get(target).is_some_and(|m| m.takes_work(now))
    }

    /// Returns how many requests of this daemon a target has.
    pub fn own_requests(&self, target: &TargetName) -> u32 {
        self.members.get(target).map_or(0, Member::own_requests)
    }

    /// Returns the status in the list of a target that may have ended.
    pub fn list_status(&self, target: &TargetName, address: SocketAddr) -> ListStatus {
        let Some(m) = self.members.get(target) else { return ListStatus::Removed };
        let is_later = |other: &Member| {
            other.entry.address == address && other.entry.version > m.entry.version
        };
        if m.target.state == TargetState::Draining {
            ListStatus::Draining
        } else if self.members.values().any(is_later) {
            ListStatus::Removed
        } else {
            ListStatus::Listed
        }
    }

    /// Returns the targets whose entries are gone and that are retained for now.
    pub fn retained(&self) -> impl Iterator<Item = &TargetName> {
        self.members.iter().filter(|(_, m)| m.deferred_removal.is_some()).map(|(name, _)| name)
    }

    /// Returns whether changes may be missing that no daemon can supply, until the full list is
    /// read.
    pub fn has_gap(&self) -> bool {
        self.list.is_gapped
    }

    /// Applies a change that the planner with `fence` has published.
    pub fn apply_update(&mut self, change: Change, fence: u64, now: Time) {
        let change = match change {
            Change::Put(entry) => {
                let known = self.members.get(&entry.name).map(|m| Arc::clone(&m.target));
                self.put(entry.into_target(known.as_deref()), now)
            }
            Change::Models(entry) => self.put_models(entry, now),
            // The planner has already waited for entries that expired during a store outage.
            Change::Removed(removal) => self.drop_member(removal, now),
            Change::Override(target_override) => {
                self.apply_override(&target_override, fence, now);
                None
            }
            Change::FullRead(read) => {
                self.list.is_gapped |= self.may_lack_removals(&read);
                let earlier = self.list.full_read.unwrap_or(read);
                self.list.full_read = Some(read.merge(earlier));
                Some(Change::FullRead(read))
            }
        };
        self.log_changes_as_of(self.list.version, change, ChangeSource::Planner, now);
    }

    fn put_models(&mut self, entry: EntryModels, now: Time) -> Option<Change> {
        let EntryModels { name, models, version } = entry;
        let known = Target::clone(&self.members.get(&name)?.entry);
        self.put(Target { models, version, ..known }, now)
    }

    /// Drops targets whose entries expired during a store outage and did not reappear.
    pub(super) fn expire_removals(&mut self, now: Time) {
        let deferred_removals =
            self.members.values().filter_map(|m| Some((m, m.deferred_removal?)));
        let due: Vec<Removal> = deferred_removals
            .filter(|(_, deferred)| now >= deferred.at)
            .map(|(m, deferred)| Removal { name: m.target.name.clone(), version: deferred.version })
            .collect();
        for removal in due {
            let change = self.drop_member(removal, now);
            // Daemons that read the list after the entry expired have not received its removal.
            self.log_changes_as_of(self.list.version + 1, change, ChangeSource::Store, now);
        }
        self.removed_targets.retain(|_, removed| now.since(removed.at) < REMOVED_RETENTION);
    }

    /// Returns whether the list entry of a target, without overrides, includes a model.
    pub fn lists_model(&self, target: &TargetName, model: &ModelName) -> bool {
        self.members.get(target).is_some_and(|m| m.entry.loaded_model(model).is_some())
    }
}
