//! Targets that say of themselves what they take, and what came to them.

use std::time::Duration;

use tansyknot_core::clock::Time;
use tansyknot_fleet::{
    backpressure::{Rate, SignalField, Signals},
    target::Target,
};

/// A target that has had nothing to say for this long is known as sound.
const SOUND_AFTER: Duration = Duration::from_secs(2);

/// A request that has come to a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) at: Time,
    pub(super) is_held_to_bounds: bool,
}

/// A span in which a target names one limit, or none.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spell {
    pub(super) limit: Option<f64>,
    pub(super) since: Time,
    /// When an answer came that was surely written in it, and to whom.
    pub(super) known: Option<Known>,
}

/// When a daemon came to know something that it could tell others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Known {
    pub(super) at: Time,
    pub(super) by: usize,
}

/// How a target leaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    pub(super) listed_at: Time,
    pub(super) gone_at: Time,
}

/// One run of a target.
#[derive(Debug)]
pub(super) struct Actor {
    pub(super) entry: Target,
    /// The last one lasts on.
    pub(super) spells: Vec<Spell>,
    pub(super) arrivals: Vec<Arrival>,
    /// When the last answer came that was written before the last spell.
    pub(super) former_until: Time,
    /// Since when it says that it leaves, when the list says so, and when it is gone.
    pub(super) leaving: Option<Leaving>,
    /// Until when it turns all requests away.
    pub(super) rests_until: Time,
    /// When its entry was written after it had lapsed.
    pub(super) back: Time,
    pub(super) lapsed_until: Option<Time>,
}

impl Actor {
    pub(super) fn spell(&self) -> Spell {
        self.spells[self.spells.len() - 1]
    }

    pub(super) fn begin_spell(&mut self, limit: Option<f64>, now: Time) {
        self.spells.push(Spell { limit, since: now, known: None });
    }

    pub(super) fn limit(&self) -> Option<f64> {
        self.spell().limit
    }

    /// Tells whether it is known to take any number of requests.
    pub(super) fn is_sound(&self, now: Time) -> bool {
        let Spell { limit, known, .. } = self.spell();
        let is_known = known.is_some_and(|known| now.since(known.at.max(self.back)) > SOUND_AFTER);
        let is_open = self.leaving.is_none() && now.since(self.rests_until) > SOUND_AFTER;
        limit.is_none() && self.lapsed_until.is_none() && is_known && is_open
    }

    pub(super) fn signals(&self) -> Signals {
        let limit = self.limit().and_then(Rate::new);
        let leaving = self.leaving.map_or(SignalField::Absent, |_| SignalField::Value(()));
        Signals {
            limit: limit.map_or(SignalField::Absent, SignalField::Value),
            leaving,
            retry_delay: SignalField::Absent,
        }
    }
}
