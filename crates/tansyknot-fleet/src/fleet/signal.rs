//! What targets say of themselves, in the view of the fleet.

use super::Fleet;
use crate::{
    backpressure::{Interval, Outcome, Signals, word::Change},
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
        self.words.hear(RunKey::of(target), signals, outcome, at)
    }
}
