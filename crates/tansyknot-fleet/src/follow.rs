//! Follows the platform's store: the operators' configuration and the list of targets.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tansyknot_core::{Error, Result, clock::Time, event};

use crate::{
    backoff::{self, Backoff},
    outside::{Store, TargetNews},
    state::State,
    target::Target,
};

/// An answer shows the store as it was at most this long before it arrived.
const ANSWER_SPAN: Duration = Duration::from_millis(100);
/// The first pause after a call that the store did not answer.
const RETRY_FIRST: Duration = Duration::from_millis(250);
/// The longest one. Entries that lapsed with the store away count for 2.3 s from the first answer
/// on, so the return must not be noticed much later than it comes.
const RETRY_MOST: Duration = Duration::from_millis(1000);

/// How long the first reading of a table may take: the platform gives 4 ms for an answer, 60 times
/// that on its slow days, and a store that is silent is asked anew. When each reading might take
/// 2 s, a start during an outage noticed the store's return 1.4 s late (logs of a day on which
/// all daemons were killed).
const READ_FIRST: Duration = Duration::from_millis(400);
/// How long a reading may take in the end; each may take twice as long as the one before. Some
/// 120 kB at 94 targets take 0.1 s over an idle link of 10 Mbit/s.
const READ_MOST: Duration = Duration::from_millis(2000);

/// Changes are asked for one by one only after a version that was the newest within this span;
/// whoever knows less reads the table. The answer to the former is every version in between, the
/// time of a call does not grow with it, and what came of a call that failed is lost: two daemons
/// that had been cut off for 12 s asked for the same 4 MB for 8 s more, over links of 10 Mbit/s
/// (docs/incidents). Three versions of 95 kB a second make 0.7 MB in this span, 0.6 s of such a
/// link; a call that waits for changes takes up to 1.5 s, so that daemons in contact replay.
const REPLAY_MOST: Duration = Duration::from_millis(2500);

/// Returns the version after which to ask for changes, `None` to read the table, for a follower
/// that has `version`, which it knows to have been the newest at `known_at`.
fn replay_from(version: Option<u64>, known_at: Option<Time>, now: Time) -> Option<u64> {
    let is_recent = known_at.is_some_and(|at| now.since(at) <= REPLAY_MOST);
    version.filter(|_| is_recent)
}

/// Tells once that the store is lost, and once that it is back.
#[derive(Debug)]
struct Contact {
    what: &'static str,
    lost: bool,
    /// Calls that failed in a row.
    failures: u32,
    backoff: Backoff,
}

impl Contact {
    fn new(what: &'static str) -> Self {
        Self { what, lost: false, failures: 0, backoff: Backoff::new(RETRY_FIRST, RETRY_MOST) }
    }

    /// Returns how long the next reading of a whole table may take.
    fn read_within(&self) -> Duration {
        backoff::grown(READ_FIRST, self.failures, READ_MOST)
    }

    /// Takes in how a call that asked for changes after `from`, or for all, ended; tells whether
    /// the store has just come back.
    fn take<T>(&mut self, result: &Result<T>, from: Option<u64>, state: &State) -> bool {
        self.failures = if result.is_ok() { 0 } else { self.failures + 1 };
        if result.is_ok() {
            self.backoff.succeeded();
        }
        match result {
            Ok(_) if self.lost => {
                self.lost = false;
                event::FLEET_STORE_BACK.emit(&[("for", &self.what)]);
                state.store_returned();
                true
            }
            Err(e) if !self.lost => {
                self.lost = true;
                event::FLEET_STORE_LOST.emit(&[("for", &self.what), ("error", e)]);
                state.store_lost();
                false
            }
            Err(e) => {
                self.tell_failures(e, from);
                false
            }
            Ok(_) => false,
        }
    }

    /// Logs the second failure in a row, the fourth, the eighth and so on.
    fn tell_failures(&self, e: &Error, from: Option<u64>) {
        if !self.failures.is_power_of_two() {
            return;
        }
        let from = from.map_or_else(|| "all".to_owned(), |version| version.to_string());
        event::FLEET_STORE_STILL_LOST.emit(&[
            ("for", &self.what),
            ("failures", &self.failures),
            ("from", &from),
            ("error", e),
        ]);
    }
}

/// Follows the operators' configuration.
pub struct ConfigFollower {
    state: Arc<State>,
    store: Arc<dyn Store>,
    version: Option<u64>,
    contact: Contact,
}

impl ConfigFollower {
    /// Makes a follower that has read nothing yet.
    pub fn new(state: Arc<State>, store: Arc<dyn Store>) -> Self {
        Self { state, store, version: None, contact: Contact::new("configuration") }
    }

    /// Returns the last moment as of which the configuration in force was the newest.
    fn known_at(&self) -> Option<Time> {
        let mine = self.state.catalog().map_or(0, |c| c.version);
        let told = self.state.followed().config_known_at(mine);
        told.max(self.state.contacts().config)
    }

    /// Returns how long the reading of the table may take: with a configuration in force as long
    /// as a call that waits for changes, at a start less.
    fn read_within(&self) -> Duration {
        let within = self.contact.read_within();
        match self.state.catalog() {
            Some(_) => within.max(self.state.spans.config_wait),
            None => within,
        }
    }

    /// Makes one call; tells how long to pause before the next.
    pub fn step(&mut self) -> Duration {
        let began = self.state.now();
        let from = replay_from(self.version, self.known_at(), began);
        let result = match from {
            Some(version) => self.store.catalog_changes(version, self.state.spans.config_wait),
            None => self.store.catalog(self.read_within()).map(Some),
        };
        self.contact.take(&result, from, &self.state);
        if matches!(result, Ok(Some(_))) {
            // A call that waits shows what was so until shortly before its end; a reading of the
            // table, which may take long on a narrow link, what was so at its start.
            let known_at = match from {
                Some(_) => began.max(self.state.now().before(ANSWER_SPAN)),
                None => began,
            };
            self.state.contacts().config = Some(known_at);
        }
        match result {
            Ok(Some((catalog, version))) => {
                let is_first = self.version.is_none();
                self.version = Some(version);
                let Some(catalog) = catalog else {
                    // Before the first configuration there is nothing to follow from.
                    return if is_first { RETRY_FIRST } else { Duration::ZERO };
                };
                let number = catalog.version;
                if self.state.set_catalog(catalog) {
                    event::FLEET_CONFIG.emit(&[("version", &number), ("store_version", &version)]);
                    self.state.targets_changed.raise();
                    self.state.demand_changed.raise();
                }
                Duration::ZERO
            }
            Ok(None) => {
                self.version = None;
                Duration::ZERO
            }
            Err(_) => self.contact.backoff.failed(&mut rand::rng()),
        }
    }
}

/// What the store has answered of the list.
enum ListAnswer {
    /// All of it, and the version to follow it from.
    Whole {
        /// Every target.
        targets: Vec<Target>,
        /// The version to go on from.
        version: u64,
    },
    /// What came of asking for changes.
    News(TargetNews),
}

/// Follows the list of targets.
pub struct TargetFollower {
    state: Arc<State>,
    store: Arc<dyn Store>,
    version: Option<u64>,
    contact: Contact,
    known: Arc<AtomicBool>,
}

impl TargetFollower {
    /// Makes a follower that has read nothing yet; `known` is set once the list has been read.
    pub fn new(state: Arc<State>, store: Arc<dyn Store>, known: Arc<AtomicBool>) -> Self {
        Self { state, store, version: None, contact: Contact::new("targets"), known }
    }

    /// Has the next call read the whole list, with what news leave out.
    pub fn read_anew(&mut self) {
        self.version = None;
    }

    /// Returns the last moment as of which the list was known.
    fn known_at(&self) -> Option<Time> {
        self.state.followed().list_known_at().max(self.state.contacts().list)
    }

    /// Tells whether the list has been unknown for so long that entries may have lapsed with the
    /// store away. If news have kept it known, it is this daemon alone that lost the store.
    fn may_have_lapsed(&self, now: Time) -> bool {
        self.known_at().is_none_or(|at| now.since(at) >= self.state.spans.lapse)
    }

    /// Returns how long to pause after a call that failed.
    pub fn pause(&mut self) -> Duration {
        self.contact.backoff.failed(&mut rand::rng())
    }

    /// Makes a call, or two if the store has forgotten what came since the last one; tells
    /// whether the store answered.
    pub fn step(&mut self) -> bool {
        let began = self.state.now();
        let mark = {
            let followed = self.state.followed();
            // What the planner has told need not be asked for, and may be forgotten by the store.
            self.version = self.version.map(|own| own.max(followed.list_version()));
            followed.before_call()
        };
        let from = replay_from(self.version, self.known_at(), began);
        let result = self.ask(from);
        let now = self.state.now();
        // Before the answer is taken in: an entry that it lacks may have lapsed with the store away.
        if self.contact.take(&result, from, &self.state) && self.may_have_lapsed(now) {
            self.state.fleet().store_returned(now);
        }
        let Ok(answer) = result else { return false };
        let (version, mut is_changed) = match answer {
            ListAnswer::Whole { targets, version } => {
                self.state.fleet().set_all(targets, now);
                (version, true)
            }
            ListAnswer::News(TargetNews::Changes { changes, version }) => {
                let is_changed = !changes.is_empty();
                let mut fleet = self.state.fleet();
                changes.into_iter().for_each(|change| fleet.apply(change, now));
                (version, is_changed)
            }
            ListAnswer::News(TargetNews::HistoryLost) => {
                // The view is old already: the whole list is read at once.
                self.read_anew();
                return self.step();
            }
        };
        self.state.fleet().expire(now);
        self.version = Some(version);
        self.state.followed().after_call(mark);
        {
            let mut contacts = self.state.contacts();
            contacts.list = Some(began);
            contacts.list_version = version;
        }
        is_changed |= !self.known.swap(true, Ordering::SeqCst);
        if is_changed {
            self.state.targets_changed.raise();
            self.state.demand_changed.raise();
        }
        true
    }

    /// Asks for the changes after `from`, or for the whole list.
    fn ask(&self, from: Option<u64>) -> Result<ListAnswer> {
        match from {
            Some(version) => self.store.target_changes(version).map(ListAnswer::News),
            None => {
                let whole = self.store.targets(self.contact.read_within());
                whole.map(|(targets, version)| ListAnswer::Whole { targets, version })
            }
        }
    }
}
