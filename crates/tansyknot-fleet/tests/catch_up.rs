//! Followers that were away while many changes were made, behind a narrow link.
//!
//! What users saw: two daemons of 77 refused requests with 404 for 9 s, though the routes had been
//! accepted long before and the store answered these daemons. The order of events: a daemon is cut
//! off from the store; operators make three changes a second for 12 s; the cut ends; the daemon
//! asks for all changes since its last version; the store sends every version of the document in
//! between, 95 kB each, and the daemon's link does not carry them in the time of one call; what has
//! come is thrown away, and the daemon asks for the same again, until the store has forgotten so
//! far back. The evidence: the link of the daemon was full, the store counted its calls as
//! answered, and 1617 said `timeout: global after 819124 bytes of the answer` with the eighth
//! failure in a row, still asking from the version that it had when the cut began.
//!
//! The cause: time for a call is bounded and an answer is not, if it is the history of a row.

mod support;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicBool},
    time::Duration,
};

use support::{state, target};
use tansyknot_core::{
    Error, Result,
    clock::{Clock, ManualClock, Time},
    name::TargetName,
};
use tansyknot_fleet::{
    catalog::Catalog,
    follow::{ConfigFollower, TargetFollower},
    platform_api::{RowName, Store, StoreRow, TargetChange, TargetListUpdate, WriteOutcome},
    state::State,
    target::Target,
};

/// A document or a hundred entries on the daemon's link: 95 kB at 10 Mbit/s.
const DOCUMENT: Duration = Duration::from_millis(80);
/// The time of one call.
const CALL: Duration = Duration::from_millis(1000);
/// The store's history.
const HISTORY: Duration = Duration::from_secs(20);
/// Three changes a second.
const BUSY: Duration = Duration::from_millis(333);
const CALM: Duration = Duration::from_millis(800);
const CUT: Duration = Duration::from_secs(12);
/// A change is to be in force this long after it was accepted.
const BOUND: Duration = Duration::from_secs(3);
/// Entries that a link carries in the time of one document.
const ENTRIES: usize = 100;

#[derive(Default)]
struct Rows {
    /// When each version of the document was accepted; the first is version 1.
    accepted: Vec<Time>,
    targets: Vec<Target>,
    /// Every change of an entry, the store's version with it.
    changes: VecDeque<(u64, TargetChange)>,
    version: u64,
    is_cut: bool,
}

/// A store behind a link on which answers take time.
struct NarrowStore {
    clock: ManualClock,
    rows: Mutex<Rows>,
}

impl NarrowStore {
    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().expect("no test panics with it")
    }

    /// Lets the operators make a change.
    fn accept(&self) {
        let now = self.clock.now();
        self.rows().accepted.push(now);
    }

    /// Lets a target renew its entry.
    fn renew(&self, n: usize) {
        let mut rows = self.rows();
        rows.version += 1;
        let version = rows.version;
        let entry = &mut rows.targets[n];
        entry.version = version;
        let change = TargetChange::Put(Box::new(entry.clone()));
        rows.changes.push_back((version, change));
    }

    /// Sends an answer of so many documents; it fails if they take longer than a call may.
    fn send(&self, documents: usize) -> Result<()> {
        if self.rows().is_cut {
            self.clock.advance(CALL);
            return Err(Error::unknown("store", "timeout"));
        }
        let span = DOCUMENT * u32::try_from(documents).expect("they are few");
        self.clock.advance(span.min(CALL));
        if span > CALL {
            return Err(Error::unknown("store", "timeout in the answer"));
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
        self.send(targets.len().div_ceil(ENTRIES))?;
        Ok((targets, version))
    }

    fn target_changes(&self, version: u64) -> Result<TargetListUpdate> {
        let (changes, newest) = {
            let rows = self.rows();
            let is_news = |(at, _): &&(u64, TargetChange)| *at > version;
            let changes: Vec<_> = rows.changes.iter().filter(is_news).cloned().collect();
            (changes, rows.version)
        };
        self.send(changes.len().div_ceil(ENTRIES))?;
        let changes = changes.into_iter().map(|(_, change)| change).collect();
        Ok(TargetListUpdate::Changes { changes, version: newest })
    }

    fn catalog(&self, _: Duration) -> Result<(Option<Catalog>, u64)> {
        self.send(1)?;
        Ok(self.document())
    }

    fn catalog_changes(&self, version: u64, _: Duration) -> Result<Option<(Option<Catalog>, u64)>> {
        let known = usize::try_from(version).expect("versions are few");
        let (news, is_forgotten) = {
            let rows = self.rows();
            let next = rows.accepted.get(known);
            let age = next.map_or(Duration::ZERO, |at| self.clock.now().since(*at));
            (rows.accepted.len() - known, age > HISTORY)
        };
        if is_forgotten {
            self.send(0)?;
            return Ok(None);
        }
        self.send(news)?;
        let (catalog, version) = self.document();
        Ok(Some((catalog.filter(|_| news > 0), version)))
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

    /// Makes one call; the operators make a change each `gap` meanwhile and until the next one.
    fn step(&self, follower: &mut ConfigFollower, gap: Duration) {
        let mut last = *self.store.rows().accepted.last().expect("there is one");
        let pause = follower.step();
        self.clock.advance(pause.max(Duration::from_millis(10)));
        while self.clock.now().since(last) >= gap {
            last = last + gap;
            self.store.rows().accepted.push(last);
        }
    }

    /// Returns the version that must be in force: the newest that is older than the bound.
    fn due(&self) -> u64 {
        let now = self.clock.now();
        let rows = self.store.rows();
        rows.accepted.iter().filter(|at| now.since(**at) > BOUND).count() as u64
    }
}

#[test]
fn daemon_that_was_cut_off_during_many_changes_has_the_newest_in_force_in_time() {
    let rig = Rig::new();
    let mut follower = rig.config_follower();
    rig.store.rows().is_cut = true;
    let began = rig.clock.now();
    while rig.clock.now().since(began) < CUT {
        rig.step(&mut follower, BUSY);
    }
    rig.store.rows().is_cut = false;
    let healed = rig.clock.now();
    while rig.clock.now().since(healed) < HISTORY {
        rig.step(&mut follower, CALM);
        let since = rig.clock.now().since(healed);
        if since > BOUND {
            let (in_force, due) = (rig.in_force(), rig.due());
            assert!(in_force >= due, "{in_force} in force {since:?} after the cut, {due} due");
        }
    }
}

#[test]
fn daemon_that_stood_still_during_many_changes_has_the_newest_with_its_next_answer() {
    let rig = Rig::new();
    let mut follower = rig.config_follower();
    for _ in 0..30 {
        rig.clock.advance(BUSY);
        rig.store.accept();
    }
    follower.step();
    assert_eq!(rig.in_force(), 31);
}

#[test]
fn list_that_changed_much_while_the_daemon_was_cut_off_is_known_with_the_next_answer() {
    let rig = Rig::new();
    for n in 0..90 {
        rig.store.rows().targets.push(target(&format!("t{n}"), &[], &[]));
    }
    let known = Arc::new(AtomicBool::new(false));
    let mut follower = TargetFollower::new(Arc::clone(&rig.state), rig.store() as _, known);
    assert!(follower.step());
    rig.store.rows().is_cut = true;
    for round in 0..16 {
        (0..90).for_each(|n| rig.store.renew(n));
        // The last one fails just before the store is back: a daemon that lost it calls on.
        if round % 4 == 3 {
            assert!(!follower.step());
        }
        rig.clock.advance(Duration::from_secs(1));
    }
    rig.store.rows().targets.truncate(89);
    rig.store.rows().is_cut = false;
    assert!(follower.step(), "the answer comes in the time of a call");
    let gone = TargetName::from("t89");
    assert!(rig.state.fleet().target(&gone).is_some(), "it may have lapsed with the store away");
    rig.clock.advance(Duration::from_secs(5));
    assert!(follower.step());
    assert!(rig.state.fleet().target(&gone).is_none());
}
