//! The words of all targets, by run: an entry of the list that is written again, lapses or comes back
//! changes nothing in them.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tansyknot_core::clock::Time;

use super::{
    Interval, Outcome, Rate, Signals,
    message::{LimitWord, RunWord},
    word::{Change, Standing, Word},
};
use crate::poison::key::RunKey;

/// Runs whose words are kept: more than a fleet has targets. Beyond that the one goes first that was
/// heard longest ago, as targets that leave end soon, and one that is there speaks with its next answer.
const RUNS_MOST: usize = 8192;
/// What an answer to this daemon has changed is told to the planner for so long, as datagrams get lost.
const TOLD_FOR: Duration = Duration::from_secs(3);
/// While there is no planner others are told directly, so often.
const TELLINGS: u32 = 3;
/// Words in one message at most, those that changed last.
const TOLD_MOST: usize = 64;

/// A run's word.
#[derive(Clone, Debug, Default)]
struct Kept {
    word: Word,
    heard: Time,
    /// When it changed last.
    changed: Time,
    /// When an answer to this daemon changed it last.
    changed_here: Option<Time>,
}

impl Kept {
    /// Tells whether an answer to this daemon has changed it lately.
    fn is_new(&self, now: Time) -> bool {
        self.changed_here.is_some_and(|at| now.since(at) < TOLD_FOR)
    }
}

/// What targets have said of themselves.
#[derive(Clone, Debug, Default)]
pub struct Words {
    by_run: HashMap<RunKey, Kept>,
    /// Runs whose words answers to this daemon have changed, and how often others are to be told yet.
    untold: BTreeMap<RunKey, u32>,
}

impl Words {
    /// Takes in what an answer of a run says; returns what it changes.
    pub fn hear(
        &mut self,
        run: RunKey,
        signals: &Signals,
        outcome: Outcome,
        at: Interval,
    ) -> Vec<Change> {
        if *signals == Signals::default() && !self.by_run.contains_key(&run) {
            return Vec::new();
        }
        let kept = self.kept(run, at.received);
        let changes = kept.word.hear(signals, outcome, at);
        if !changes.is_empty() {
            kept.changed = at.received;
            kept.changed_here = Some(at.received);
            self.untold.insert(run, TELLINGS);
        }
        self.forget();
        changes
    }

    /// Takes in what another daemon knows; tells whether it changes anything.
    pub fn merge(&mut self, word: &RunWord, now: Time) -> bool {
        if word.limit == LimitWord::Unknown && !word.is_leaving {
            return false;
        }
        let kept = self.kept(word.run, now);
        let is_changed = kept.word.merge(word, now);
        if is_changed {
            kept.changed = now;
        }
        self.forget();
        is_changed
    }

    /// Returns what answers to this daemon have changed lately.
    pub fn changed_here(&self, now: Time) -> Vec<RunWord> {
        newest(self.by_run.iter().filter(|(_, kept)| kept.is_new(now)), now)
    }

    /// Forgets what a planner has had the time to tell.
    pub fn planner_tells(&mut self, now: Time) {
        let by_run = &self.by_run;
        self.untold.retain(|run, _| by_run.get(run).is_some_and(|kept| kept.is_new(now)));
    }

    /// Returns what answers to this daemon have changed and no planner may have told, and takes it for
    /// told once.
    pub fn take_untold(&mut self, now: Time) -> Vec<RunWord> {
        self.planner_tells(now);
        let untold = self.told_of(self.untold.keys().copied(), now);
        self.untold.values_mut().for_each(|left| *left -= 1);
        self.untold.retain(|_, left| *left > 0);
        untold
    }

    /// Returns what is known of these runs.
    pub fn told_of(&self, runs: impl Iterator<Item = RunKey>, now: Time) -> Vec<RunWord> {
        let known = runs.filter_map(|run| self.by_run.get_key_value(&run));
        newest(known, now)
    }

    /// Returns what is known of a run.
    pub fn told(&self, run: RunKey, now: Time) -> Option<RunWord> {
        self.by_run.get(&run).map(|kept| kept.word.told(run, now))
    }

    /// Returns how much a run takes, if it names a limit.
    pub fn limit(&self, run: RunKey) -> Option<Rate> {
        self.by_run.get(&run)?.word.limit().map(|limit| limit.rate)
    }

    /// Tells whether a run has said that it leaves.
    pub fn is_leaving(&self, run: RunKey) -> bool {
        self.by_run.get(&run).is_some_and(|kept| kept.word.is_leaving())
    }

    /// Has the words of one run count for a name under which it is known from now on.
    pub fn rename(&mut self, run: RunKey, to: RunKey) {
        if let Some(kept) = self.by_run.remove(&run) {
            self.by_run.insert(to, kept);
        }
    }

    /// Takes in that a request is meant for a run now.
    pub fn sends(&mut self, run: RunKey, now: Time) {
        if let Some(kept) = self.by_run.get_mut(&run) {
            kept.word.sends(now);
        }
    }

    /// Tells whether another request may be meant for a run by its own word.
    pub fn standing(&self, run: RunKey, now: Time) -> Standing {
        self.by_run.get(&run).map_or(Standing::Open, |kept| kept.word.standing(now))
    }

    /// Tells whether a run takes a request that was meant for it before.
    pub fn standing_at_send(&self, run: RunKey, now: Time) -> Standing {
        self.by_run.get(&run).map_or(Standing::Open, |kept| kept.word.standing_at_send(now))
    }

    /// Tells whether no run has said anything.
    pub fn is_empty(&self) -> bool {
        self.by_run.is_empty()
    }

    fn kept(&mut self, run: RunKey, now: Time) -> &mut Kept {
        let kept = self.by_run.entry(run).or_default();
        kept.heard = kept.heard.max(now);
        kept
    }

    fn forget(&mut self) {
        while self.by_run.len() > RUNS_MOST {
            let oldest = self.by_run.iter().min_by_key(|(_, kept)| kept.heard).map(|(run, _)| *run);
            let Some(oldest) = oldest else { return };
            self.by_run.remove(&oldest);
        }
    }
}

/// Returns what others are told of these runs, those first that changed last.
fn newest<'a>(kept: impl Iterator<Item = (&'a RunKey, &'a Kept)>, now: Time) -> Vec<RunWord> {
    let mut kept: Vec<(&RunKey, &Kept)> = kept.collect();
    kept.sort_by_key(|(run, kept)| (Reverse(kept.changed), **run));
    kept.truncate(TOLD_MOST);
    let words = kept.into_iter().map(|(run, kept)| kept.word.told(*run, now));
    words.filter(|word| word.limit != LimitWord::Unknown || word.is_leaving).collect()
}
