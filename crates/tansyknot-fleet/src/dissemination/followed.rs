//! What a daemon has from the planner in place of calls to the store.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::clock::Time;

use super::changes::{Change, ListNews, Subject};
use crate::spans::Spans;

/// What a daemon needs to join a planner's numbers comes within this span, two beats, or can't be
/// told.
const REPAIR_SPAN: Duration = Duration::from_millis(600);

/// What a daemon tells the planner of the news that it has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The planner that it follows.
    pub fence: u64,
    /// Every change up to this number is known.
    pub number: Option<u64>,
    /// The store's version as of which the list is known.
    pub version: u64,
    /// Changes are missing up to this number, if any.
    pub missing_to: Option<u64>,
    /// How long ago it heard that planner, in milliseconds.
    pub silent_ms: u32,
}

/// Changes that have come before earlier ones. They count at once, as a later change of a target
/// takes the place of earlier ones, and an earlier one that comes late must not undo it.
#[derive(Clone, Debug, Default)]
struct Ahead {
    /// The numbers known, each span by the number before its first.
    spans: BTreeMap<u64, u64>,
    /// The number of the last change of each target among them.
    applied: HashMap<Subject, u64>,
}

impl Ahead {
    /// Takes in that the numbers after `from` up to `to` are known.
    fn add(&mut self, from: u64, to: u64) {
        let end = self.spans.entry(from).or_default();
        *end = (*end).max(to);
    }

    /// Returns up to which number all is known, if it is up to `number` without these.
    fn join(&mut self, mut number: u64) -> u64 {
        while let Some(span) = self.spans.first_entry()
            && *span.key() <= number
        {
            number = number.max(span.remove());
        }
        if self.spans.is_empty() {
            self.applied.clear();
        }
        number
    }

    /// Tells whether a change is newer than what is known of its target, and takes it for known.
    fn is_news(&mut self, number: u64, change: &Change) -> bool {
        let known = self.applied.entry(change.subject()).or_default();
        let is_news = number > *known;
        *known = (*known).max(number);
        is_news
    }

    /// Returns the number before the first span.
    fn begin(&self) -> Option<u64> {
        self.spans.first_key_value().map(|(from, _)| *from)
    }
}

/// What a daemon has from the planner in place of calls of its own.
#[derive(Clone, Debug, Default)]
pub struct Followed {
    spans: Spans,
    fence: u64,
    heard: Time,
    /// Every change up to this number is known.
    number: Option<u64>,
    /// A call that begins now makes every change up to this number known.
    newest: u64,
    /// Since when changes are missing that have been told.
    missing_since: Option<Time>,
    /// Changes known beyond the first that is missing.
    ahead: Ahead,
    list_at: Option<Time>,
    /// The same by calls, or under an earlier planner.
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

    /// Takes in news of the list; returns the changes that are new. A daemon that can't join the
    /// planner's numbers yet takes in those alone that stand for themselves.
    pub fn list(&mut self, fence: u64, news: ListNews, now: Time) -> Vec<Change> {
        if self.fence != fence {
            // What is known of the store stays known under another planner.
            let Self { spans, list_version, list_at, config_version, .. } = *self;
            let list_known_at = list_at.max(self.list_known_at);
            *self = Self { fence, list_version, list_known_at, config_version, ..Self::new(spans) };
        }
        self.heard = now;
        self.newest = self.newest.max(news.newest);
        let Some(number) = self.number.or_else(|| self.joins(&news)) else {
            self.missing_since.get_or_insert(now);
            let stands_alone = |c: &Change| matches!(c, Change::Note(_));
            return news.changes.into_iter().map(|(_, c)| c).filter(stands_alone).collect();
        };
        let changes = self.newer(number, news.changes);
        self.ahead.add(news.from, news.to);
        let number = self.ahead.join(number);
        self.number = Some(number);
        if number == self.newest {
            self.missing_since = None;
            let read = now.before(Duration::from_millis(news.age_ms.into()));
            self.list_at = self.list_at.max(Some(read));
            self.list_version = self.list_version.max(news.version);
        } else if self.ahead.begin().is_some() {
            self.missing_since.get_or_insert(now);
        }
        changes
    }

    /// Returns the changes that are not known yet, where all up to `number` are.
    fn newer(&mut self, number: u64, changes: Vec<(u64, Change)>) -> Vec<Change> {
        let ahead = &mut self.ahead;
        let is_new = |(n, change): &(u64, Change)| *n > number && ahead.is_news(*n, change);
        changes.into_iter().filter(is_new).map(|(_, change)| change).collect()
    }

    /// Returns the number from which `news` are followed by a daemon that has followed none of this
    /// planner: it joins where the list was not newer than it knows.
    fn joins(&self, news: &ListNews) -> Option<u64> {
        (self.list_version > 0 && self.list_version >= news.base).then_some(news.from)
    }

    /// Returns what this daemon has of the planner's news.
    pub fn known(&self, now: Time) -> Known {
        Known {
            fence: self.fence,
            number: self.number,
            version: self.list_version,
            missing_to: self.missing_since.map(|_| self.ahead.begin().unwrap_or(self.newest)),
            silent_ms: super::message::millis(now.since(self.heard)),
        }
    }

    /// Tells whether changes are missing that have been told.
    pub fn is_missing(&self) -> bool {
        self.missing_since.is_some()
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

    /// Returns the store's version as of which the list is known, 0 if none.
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

    /// Takes in that a call that began at `mark` has shown the list as of `version`.
    pub fn after_call(&mut self, mark: (u64, u64), version: u64) {
        let (fence, number) = mark;
        self.list_version = self.list_version.max(version);
        if fence == self.fence {
            let number = self.ahead.join(self.number.unwrap_or(0).max(number));
            self.number = Some(number);
            if number == self.newest {
                self.missing_since = None;
            }
        }
    }

    /// Returns how long the view of the list is fresh enough without a call.
    ///
    /// A change that is missing may still come: until then the view is as old as the last moment
    /// at which none was missing. A daemon that can't join this planner's numbers soon asks the
    /// store.
    pub fn list_fresh_for(&self, now: Time) -> Duration {
        let known = self
            .list_known_at()
            .map_or(Duration::ZERO, |at| self.spans.list.saturating_sub(now.since(at)));
        match (self.missing_since, self.number) {
            (Some(since), None) => known.min(REPAIR_SPAN.saturating_sub(now.since(since))),
            _ => known,
        }
    }

    /// Returns how long version `mine` of the configuration is fresh enough without a call.
    pub fn config_fresh_for(&self, mine: u64, now: Time) -> Duration {
        let at = self.config_known_at(mine);
        at.map_or(Duration::ZERO, |at| self.spans.config.saturating_sub(now.since(at)))
    }
}
