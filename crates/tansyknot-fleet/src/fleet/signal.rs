//! What targets say of themselves, in the view of the fleet.

use tansyknot_core::{clock::Time, name::TargetName};

use super::{Fleet, Want, member::Member};
use crate::{
    backpressure::{
        Interval, Outcome, Rate, Said, Signal, Signals,
        asks::Permit,
        message::{LimitWord, RunWord},
        word::{Change, Standing},
    },
    poison::key::RunKey,
    target::Target,
};

impl Fleet {
    /// Takes in what an answer of a target says of it; returns what it changes.
    pub fn hear_signals(
        &mut self,
        target: &Target,
        signals: &Signals,
        outcome: Outcome,
        at: Interval,
    ) -> Vec<Change> {
        let run = RunKey::of(target);
        if let Some(m) = self.members.get_mut(&target.name).filter(|m| m.run == run) {
            m.has_answered = true;
            let is_unlimited = signals.limit == Said::Nothing && outcome == Outcome::Ran;
            let is_newer = m.unlimited.is_none_or(|before| at.sent > before.sent);
            if is_unlimited && is_newer {
                m.unlimited = Some(at);
            }
        }
        let changes = self.words.hear(run, signals, outcome, at);
        if changes.contains(&Change::Leaves) {
            self.set_leaving(run);
        }
        changes
    }

    /// Takes in what another daemon knows of targets; tells whether it changes anything.
    pub fn merge_words(&mut self, words: &[RunWord], now: Time) -> bool {
        words.iter().filter(|word| self.merge_word(word, now)).count() > 0
    }

    fn merge_word(&mut self, word: &RunWord, now: Time) -> bool {
        let is_changed = self.words.merge(word, now);
        if is_changed && word.is_leaving {
            self.set_leaving(word.run);
        }
        if is_changed && matches!(word.limit, LimitWord::Named { .. }) {
            // The limit may have ended by an answer to this daemon before it knew of it.
            let member = self.members.values().find(|m| m.run == word.run);
            if let Some(at) = member.and_then(|m| m.unlimited) {
                self.words.hear(word.run, &Signals::default(), Outcome::Ran, at);
            }
        }
        is_changed
    }

    /// Takes in that a planner has told what targets have said, or that this daemon is the planner.
    pub fn told_words(&mut self) {
        self.is_told_words = true;
    }

    /// Tells whether a target takes another request. A daemon that has just started does not know what
    /// targets have said to others, and sends each of them one request first.
    pub(super) fn is_met(&self, m: &Member) -> bool {
        self.is_told_words || m.has_answered || m.own() == 0
    }

    /// Returns what targets have lately said to this daemon.
    pub fn words_heard(&self, now: Time) -> Vec<RunWord> {
        if self.words.is_empty() { Vec::new() } else { self.words.changed_here(now) }
    }

    fn set_leaving(&mut self, run: RunKey) {
        self.members.values_mut().filter(|m| m.run == run).for_each(|m| m.set_leaves(true));
    }

    /// Takes in that there is a planner, which tells what targets have said to this daemon.
    pub fn planner_tells_words(&mut self, now: Time) {
        self.words.planner_tells(now);
    }

    /// Returns what targets have said to this daemon and no planner may have told, and takes it for told.
    pub fn take_untold_words(&mut self, now: Time) -> Vec<RunWord> {
        self.words.take_untold(now)
    }

    /// Returns what targets that are there have said of themselves.
    pub fn words(&self, now: Time) -> Vec<RunWord> {
        if self.words.is_empty() {
            return Vec::new();
        }
        self.words.told_of(self.members.values().map(|m| m.run), now)
    }

    /// Returns what a run has said of itself.
    pub fn word(&self, run: RunKey, now: Time) -> Option<RunWord> {
        self.words.told(run, now)
    }

    /// Returns how much a run takes, if it names a limit.
    pub fn limit(&self, run: RunKey) -> Option<Rate> {
        self.words.limit(run)
    }

    /// Tells whether a run takes a request by its own word as it is sent; one that names a limit takes one
    /// that has a permit.
    pub fn may_send(&self, run: RunKey, permit: Option<Permit>, now: Time) -> bool {
        match self.words.standing_at_send(run, now) {
            Standing::Open => true,
            Standing::Limited(_) => permit.is_some_and(|permit| permit.allows(run, now)),
            Standing::Resting(_) | Standing::Leaving => false,
        }
    }

    /// Returns until when a target wants nothing from this daemon, if it does.
    pub(super) fn rests_until(&self, m: &Member, now: Time) -> Option<Time> {
        match self.words.standing(m.run, now) {
            Standing::Resting(at) => Some(at),
            Standing::Open | Standing::Limited(_) | Standing::Leaving => None,
        }
    }

    /// Returns by which word a target that holds what a request wants is not as good as others.
    pub fn set_aside(&self, want: &Want<'_>, now: Time) -> Option<Signal> {
        if self.words.is_empty() {
            return None;
        }
        let of_service = self.members.values().filter(|m| m.target.service == *want.service);
        let standings =
            of_service.filter(|m| m.holds(want)).map(|m| self.words.standing(m.run, now));
        standings.filter_map(Standing::signal).next()
    }

    /// Returns the targets that name limits.
    pub fn limited(&self) -> Vec<TargetName> {
        if self.words.is_empty() {
            return Vec::new();
        }
        let is_limited = |m: &&Member| self.limit(m.run).is_some();
        self.members.values().filter(is_limited).map(|m| m.target.name.clone()).collect()
    }
}
