//! Follows the list of targets.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tansyknot_core::{Result, clock::Time, event};

use super::{contact::Contact, replay_from};
use crate::{
    outside::{Store, TargetChange, TargetNews},
    state::State,
    target::Target,
};

/// What the store has answered of the list, and the version to go on from.
pub enum Answer {
    /// Every target.
    Whole(Vec<Target>, u64),
    /// What has changed.
    Changes(Vec<TargetChange>, u64),
}

impl Answer {
    /// Returns the store's version as of which it was made.
    fn version(&self) -> u64 {
        match self {
            Answer::Whole(_, version) | Answer::Changes(_, version) => *version,
        }
    }
}

/// A call about the list that has begun, and what was known when it did.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    began: Time,
    /// What the planner had told by then.
    mark: (u64, u64),
    /// The version after which it asks for changes, `None` for the whole list.
    from: Option<u64>,
}

impl Call {
    /// Returns when it began.
    pub fn began(&self) -> Time {
        self.began
    }
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The view is as of the call.
    Answered,
    /// The store did not answer.
    Failed,
    /// The store has forgotten what came since the last call: the whole list is to be read at once.
    HistoryLost,
}

/// Follows the list of targets.
pub struct TargetFollower {
    state: Arc<State>,
    store: Arc<dyn Store>,
    /// The version as of which the list is known.
    version: Option<u64>,
    /// Whether the next call reads the whole list.
    reads_anew: bool,
    /// When the last call began that failed.
    failed_at: Time,
    contact: Contact,
    known: Arc<AtomicBool>,
}

impl TargetFollower {
    /// Makes a follower that has read nothing yet; `known` is set once the list has been read.
    pub fn new(state: Arc<State>, store: Arc<dyn Store>, known: Arc<AtomicBool>) -> Self {
        Self {
            state,
            store,
            version: None,
            reads_anew: false,
            failed_at: Time::default(),
            contact: Contact::new("targets"),
            known,
        }
    }

    /// Has the next call read the whole list, with what news leave out.
    pub fn read_anew(&mut self) {
        self.reads_anew = true;
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
    pub fn pause(&self) -> Duration {
        self.contact.pause()
    }

    /// Makes a call, or two if the store has forgotten what came since the last one; tells
    /// whether the store answered.
    pub fn step(&mut self) -> bool {
        loop {
            let call = self.begin();
            let result = self.ask(call);
            match self.end(call, result) {
                Outcome::Answered => return true,
                Outcome::Failed => return false,
                Outcome::HistoryLost => {}
            }
        }
    }

    /// Begins a call.
    pub fn begin(&mut self) -> Call {
        let began = self.state.now();
        let mark = {
            let followed = self.state.followed();
            // What the planner has told need not be asked for, and may be forgotten by the store.
            self.version = self.version.map(|own| own.max(followed.list_version()));
            followed.before_call()
        };
        let is_whole = self.reads_anew || self.state.fleet().is_gapped();
        let version = self.version.filter(|_| !is_whole);
        Call { began, mark, from: replay_from(version, self.known_at(), began) }
    }

    /// Takes in what came of a call.
    pub fn end(&mut self, call: Call, result: Result<Option<Answer>>) -> Outcome {
        let now = self.state.now();
        // Before the answer is taken in: an entry that it lacks may have lapsed with the store away.
        if self.contact.take(&result, call.from, &self.state) && self.may_have_lapsed(now) {
            self.state.fleet().store_returned(self.failed_at, now);
        }
        let answer = match result {
            Ok(Some(answer)) => answer,
            Ok(None) => {
                self.read_anew();
                return Outcome::HistoryLost;
            }
            Err(_) => {
                self.failed_at = call.began;
                return Outcome::Failed;
            }
        };
        let is_news = self.apply(answer, call.began, now);
        self.state.followed().after_call(call.mark, self.version.unwrap_or(0));
        let is_first = !self.known.swap(true, Ordering::SeqCst);
        if is_news || is_first {
            self.state.view_changed();
        }
        Outcome::Answered
    }

    /// Takes in the answer to a call that began at `began`; tells whether anything may have
    /// changed.
    fn apply(&mut self, answer: Answer, began: Time, now: Time) -> bool {
        let mut fleet = self.state.fleet();
        let known = fleet.list_version();
        if answer.version() < known {
            event::FLEET_ANSWER_OLDER.emit(&[
                ("version", &answer.version()),
                ("known", &known),
                ("took_ms", &now.since(began).as_millis()),
            ]);
        }
        let (version, is_news) = match answer {
            Answer::Whole(targets, version) => {
                fleet.set_all(targets, version, self.version, now);
                self.reads_anew = false;
                (version, true)
            }
            Answer::Changes(changes, version) => {
                let is_news = !changes.is_empty();
                fleet.set_list_version(version);
                changes.into_iter().for_each(|change| fleet.apply(change, now));
                (version, is_news)
            }
        };
        fleet.expire(now);
        fleet.read(version, began);
        drop(fleet);
        self.version = Some(version);
        self.state.contacts().list = Some(began);
        is_news
    }

    /// Asks the store for what a call is about: the changes after a version, or the whole list;
    /// `None` if the store has forgotten so far back.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or answers nonsense.
    pub fn ask(&self, call: Call) -> Result<Option<Answer>> {
        let Some(from) = call.from else {
            let (targets, version) = self.store.targets(self.contact.read_within())?;
            return Ok(Some(Answer::Whole(targets, version)));
        };
        Ok(match self.store.target_changes(from)? {
            TargetNews::Changes { changes, version } => Some(Answer::Changes(changes, version)),
            TargetNews::HistoryLost => None,
        })
    }
}
