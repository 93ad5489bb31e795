//! Guards against daemons that keep an outdated configuration although the store responds to them.
//!
//! A daemon loses the store for 12 s while operators make three changes a second. Then it requests all
//! changes since its last version, and the store sends every version of the document in between,
//! 95 kB each. Over a narrow link this response takes longer than the timeout of the call, because
//! the length of a row's history has no bound. The daemon discards the partial response and requests
//! the same again, until the store no longer has that part of the history. In a deployment of 77
//! daemons, two of them refused requests for routes accepted long before with 404 for 9 s.

mod support;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicBool},
    time::Duration,
};

use support::{operator_update, state, target};
use tansyknot_core::{
    Error, Result,
    clock::{Clock, ManualClock, Time},
    name::TargetName,
};
use tansyknot_fleet::{
    catalog::Catalog,
    follow::{ConfigFollower, TargetFollower},
    platform_api::{
        OperatorUpdate, RowName, Store, StoreRow, TargetChange, TargetListUpdate, WriteOutcome,
    },
    state::State,
    target::Target,
};

/// Transfer time of a document, or of a hundred entries, over the daemon's link: 95 kB at 10 Mbit/s.
const DOCUMENT_TRANSFER_TIME: Duration = Duration::from_millis(80);
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long the store keeps the history of a row.
const HISTORY_RETENTION: Duration = Duration::from_secs(20);
/// Interval between changes during the outage: three changes a second.
const OUTAGE_CHANGE_INTERVAL: Duration = Duration::from_millis(333);
const CALM_CHANGE_INTERVAL: Duration = Duration::from_millis(800);
const OUTAGE_DURATION: Duration = Duration::from_secs(12);
/// An accepted change must be in force after this time.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(3);
/// Entries that take as long to transfer as one document.
const ENTRIES_PER_DOCUMENT: usize = 100;

#[derive(Default)]
struct Rows {
    /// When each version of the document was accepted; the first is version 1.
    accepted: Vec<Time>,
    targets: Vec<Target>,
    /// Every change of an entry, with the store's version after it.
    changes: VecDeque<(u64, TargetChange)>,
    version: u64,
    is_unavailable: bool,
}

/// A store behind a narrow link: responses take time in proportion to their size.
struct NarrowStore {
    clock: ManualClock,
    rows: Mutex<Rows>,
}

impl NarrowStore {
    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().expect("no test panics while it holds the lock")
    }

    /// Adds a version of the document, as a change by operators does.
    fn accept(&self) {
        let now = self.clock.now();
        self.rows().accepted.push(now);
    }

    /// Renews the entry of target `n`.
    fn renew(&self, n: usize) {
        let mut rows = self.rows();
        rows.version += 1;
        let version = rows.version;
        let entry = &mut rows.targets[n];
        entry.version = version;
        let change = TargetChange::Put(Box::new(entry.clone()));
        rows.changes.push_back((version, change));
    }

    /// Lets the transfer time of a response with `documents` pass.
    ///
    /// # Errors
    ///
    /// Fails if the transfer takes longer than the timeout of a call, or if the store is unavailable.
    fn send(&self, documents: usize) -> Result<()> {
        if self.rows().is_unavailable {
            self.clock.advance(CALL_TIMEOUT);
            return Err(Error::unknown("store", "timeout"));
        }
        let duration =
            DOCUMENT_TRANSFER_TIME * u32::try_from(documents).expect("there are few documents");
        self.clock.advance(duration.min(CALL_TIMEOUT));
        if duration > CALL_TIMEOUT {
            return Err(Error::unknown("store", "timeout in the response"));
        }
        Ok(())
    }

    fn document(&self) -> (Option<Catalog>, u64) {
        let version = self.rows().accepted.len() as u64;
        let catalog = (version > 0).then(|| Catalog::new(version, Vec::new(), Vec::new()));
        (catalog, version)
    }
}

impl Store for NarrowStore {
    fn targets(&self, _: Duration) -> Result<(Vec<Target>, u64)> {
        let (targets, version) = {
            let rows = self.rows();
            (rows.targets.clone(), rows.version)
        };
        self.send(targets.len().div_ceil(ENTRIES_PER_DOCUMENT))?;
        Ok((targets, version))
    }

    fn target_changes(&self, version: u64) -> Result<TargetListUpdate> {
        let (changes, newest) = {
            let rows = self.rows();
            let is_newer = |(at, _): &&(u64, TargetChange)| *at > version;
            let changes: Vec<_> = rows.changes.iter().filter(is_newer).cloned().collect();
            (changes, rows.version)
        };
        self.send(changes.len().div_ceil(ENTRIES_PER_DOCUMENT))?;
        let changes = changes.into_iter().map(|(_, change)| change).collect();
        Ok(TargetListUpdate::Changes { changes, version: newest })
    }

    fn operator_docs(&self, _: Duration) -> Result<OperatorUpdate> {
        self.send(1)?;
        let (catalog, version) = self.document();
        Ok(operator_update(catalog, version))
    }

    fn operator_changes(&self, version: u64, _: Duration) -> Result<Option<OperatorUpdate>> {
        let known = usize::try_from(version).expect("there are few versions");
        let (new_versions, is_history_lost) = {
            let rows = self.rows();
            let next = rows.accepted.get(known);
            let age = next.map_or(Duration::ZERO, |at| self.clock.now().since(*at));
            (rows.accepted.len() - known, age > HISTORY_RETENTION)
        };
        if is_history_lost {
            self.send(0)?;
            return Ok(None);
        }
        self.send(new_versions)?;
        let (catalog, version) = self.document();
        Ok(Some(operator_update(catalog.filter(|_| new_versions > 0), version)))
    }

    fn row(&self, _: RowName) -> Result<Option<StoreRow>> {
        Ok(None)
    }

    fn write_row(&self, _: RowName, _: u64, _: &[u8]) -> Result<WriteOutcome> {
        Ok(WriteOutcome::Conflict(None))
    }
}

struct Rig {
    clock: ManualClock,
    store: Arc<NarrowStore>,
    state: Arc<State>,
}

impl Rig {
    fn new() -> Self {
        let clock = ManualClock::new();
        clock.advance(Duration::from_secs(60));
        let store = NarrowStore { clock: clock.clone(), rows: Mutex::default() };
        let state = state(&clock);
        Self { clock, store: Arc::new(store), state }
    }

    fn config_follower(&self) -> ConfigFollower {
        let mut follower = ConfigFollower::new(Arc::clone(&self.state), self.store() as _);
        self.store.accept();
        follower.step();
        assert_eq!(self.in_force(), 1);
        follower
    }

    fn store(&self) -> Arc<NarrowStore> {
        Arc::clone(&self.store)
    }

    fn in_force(&self) -> u64 {
        self.state.catalog().map_or(0, |c| c.version)
    }

    /// Makes one call and waits until the next is due; meanwhile operators make a change every
    /// `change_interval`.
    fn step(&self, follower: &mut ConfigFollower, change_interval: Duration) {
        let mut last = *self.store.rows().accepted.last().expect("a version was accepted");
        let pause = follower.step();
        self.clock.advance(pause.max(Duration::from_millis(10)));
        while self.clock.now().since(last) >= change_interval {
            last = last + change_interval;
            self.store.rows().accepted.push(last);
        }
    }

    /// Returns the version that must be in force: the newest that was accepted longer ago than the
    /// bound.
    fn due(&self) -> u64 {
        let now = self.clock.now();
        let rows = self.store.rows();
        rows.accepted.iter().filter(|at| now.since(**at) > MAX_CONFIG_DELAY).count() as u64
    }
}

#[test]
fn daemon_that_was_cut_off_during_many_changes_has_the_newest_in_force_in_time() {
    let rig = Rig::new();
    let mut follower = rig.config_follower();
    rig.store.rows().is_unavailable = true;
    let outage_began = rig.clock.now();
    while rig.clock.now().since(outage_began) < OUTAGE_DURATION {
        rig.step(&mut follower, OUTAGE_CHANGE_INTERVAL);
    }
    rig.store.rows().is_unavailable = false;
    let restored_at = rig.clock.now();
    while rig.clock.now().since(restored_at) < HISTORY_RETENTION {
        rig.step(&mut follower, CALM_CHANGE_INTERVAL);
        let since = rig.clock.now().since(restored_at);
        if since > MAX_CONFIG_DELAY {
            let (in_force, due) = (rig.in_force(), rig.due());
            assert!(
                in_force >= due,
                "version {in_force} in force {since:?} after the outage, {due} due"
            );
        }
    }
}

#[test]
fn paused_daemon_has_the_newest_configuration_after_its_next_call() {
    let rig = Rig::new();
    let mut follower = rig.config_follower();
    for _ in 0..30 {
        rig.clock.advance(OUTAGE_CHANGE_INTERVAL);
        rig.store.accept();
    }
    follower.step();
    assert_eq!(rig.in_force(), 31);
}

#[test]
fn list_that_changed_much_during_an_outage_is_current_after_the_next_call() {
    let rig = Rig::new();
    for n in 0..90 {
        rig.store.rows().targets.push(target(&format!("t{n}"), &[], &[]));
    }
    let has_read = Arc::new(AtomicBool::new(false));
    let mut follower = TargetFollower::new(Arc::clone(&rig.state), rig.store() as _, has_read);
    assert!(follower.step());
    rig.store.rows().is_unavailable = true;
    for round in 0..16 {
        (0..90).for_each(|n| rig.store.renew(n));
        // The daemon keeps retrying, so its last failed call is just before the store is back.
        if round % 4 == 3 {
            assert!(!follower.step());
        }
        rig.clock.advance(Duration::from_secs(1));
    }
    rig.store.rows().targets.truncate(89);
    rig.store.rows().is_unavailable = false;
    assert!(follower.step(), "the response arrives within the timeout of a call");
    let gone = TargetName::from("t89");
    assert!(rig.state.fleet().target(&gone).is_some(), "it may have expired during the outage");
    rig.clock.advance(Duration::from_secs(5));
    assert!(follower.step());
    assert!(rig.state.fleet().target(&gone).is_none());
}
