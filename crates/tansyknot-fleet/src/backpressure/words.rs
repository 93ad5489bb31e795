//! The words of all targets, by run: an entry of the list that is written again, lapses or comes back
//! changes nothing in them.

use std::collections::HashMap;

use tansyknot_core::clock::Time;

use super::{
    Interval, Outcome, Signals,
    word::{Change, Standing, Word},
};
use crate::poison::key::RunKey;

/// Runs whose words are kept: more than a fleet has targets. Beyond that the one goes first that was
/// heard longest ago, as targets that leave end soon, and one that is there speaks with its next answer.
const RUNS_MOST: usize = 8192;

/// A run's word and when it changed last.
#[derive(Clone, Debug, Default)]
struct Kept {
    word: Word,
    heard: Time,
}

/// What targets have said of themselves.
#[derive(Clone, Debug, Default)]
pub struct Words {
    by_run: HashMap<RunKey, Kept>,
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
        let changes = self.word(run, at.received).hear(signals, outcome, at);
        self.forget();
        changes
    }

    /// Takes in that a request is sent to a run now.
    pub fn sends(&mut self, run: RunKey, now: Time) {
        if let Some(kept) = self.by_run.get_mut(&run) {
            kept.word.sends(now);
        }
    }

    /// Tells whether a run takes a request by its own word.
    pub fn standing(&self, run: RunKey, now: Time) -> Standing {
        self.by_run.get(&run).map_or(Standing::Open, |kept| kept.word.standing(now))
    }

    /// Tells whether no run has said anything.
    pub fn is_empty(&self) -> bool {
        self.by_run.is_empty()
    }

    fn word(&mut self, run: RunKey, now: Time) -> &mut Word {
        let kept = self.by_run.entry(run).or_default();
        kept.heard = kept.heard.max(now);
        &mut kept.word
    }

    fn forget(&mut self) {
        while self.by_run.len() > RUNS_MOST {
            let oldest = self.by_run.iter().min_by_key(|(_, kept)| kept.heard).map(|(run, _)| *run);
            let Some(oldest) = oldest else { return };
            self.by_run.remove(&oldest);
        }
    }
}
