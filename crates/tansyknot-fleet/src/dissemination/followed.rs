//! What a daemon has from the planner in place of calls to the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tansyknot_core::clock::Time;

use super::changes::{Change, ListNews};
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
    /// Whether changes are missing that have been told.
    pub is_missing: bool,
    /// How long ago it heard that planner, in milliseconds.
    pub silent_ms: u32,
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

    /// Takes in news of the list; returns the changes that are new. If one is missing, those
    /// alone that stand for themselves.
    pub fn list(&mut self, fence: u64, news: ListNews, now: Time) -> Vec<Change> {
        if self.fence != fence {
            // What is known of the store stays known under another planner.
            let Self { spans, list_version, list_at, config_version, .. } = *self;
            let list_known_at = list_at.max(self.list_known_at);
            *self = Self { fence, list_version, list_known_at, config_version, ..Self::new(spans) };
        }
        self.heard = now;
        self.newest = self.newest.max(news.newest);
        let Some(number) = self.joins(&news) else {
            self.missing_since.get_or_insert(now);
            let stands_alone = |c: &Change| matches!(c, Change::Note(_));
            return news.changes.into_iter().map(|(_, c)| c).filter(stands_alone).collect();
        };
        self.number = Some(number.max(news.to));
        if number.max(news.to) == self.newest {
            self.missing_since = None;
            let read = now.before(Duration::from_millis(news.age_ms.into()));
            self.list_at = self.list_at.max(Some(read));
            self.list_version = self.list_version.max(news.version);
        }
        let is_new = |(n, _): &(u64, Change)| *n > number;
        news.changes.into_iter().filter(is_new).map(|(_, change)| change).collect()
    }

    /// Returns the number up to which changes are known, if `news` go on from there or earlier.
    ///
    /// A daemon that has followed no number of this planner joins where the list was not newer
    /// than it knows.
    fn joins(&self, news: &ListNews) -> Option<u64> {
        match self.number {
            Some(number) => (number >= news.from).then_some(number),
            None => (self.list_version > 0 && self.list_version >= news.base).then_some(news.from),
        }
    }

    /// Returns what this daemon has of the planner's news.
    pub fn known(&self, now: Time) -> Known {
        Known {
            fence: self.fence,
            number: self.number,
            version: self.list_version,
            is_missing: self.missing_since.is_some(),
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
            self.number = self.number.max(Some(number));
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
