//! One target as a daemon sees it: its entry, the planner's note, and what requests have shown.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{AdapterName, ModelName},
};

use super::Want;
use crate::{
    backpressure::Interval,
    dissemination::message::TargetNote,
    poison::key::RunKey,
    target::{self, Target, TargetState},
};

/// A target's word that it does not hold a model stands this long against an unchanged entry.
const MISSING_SPAN: Duration = Duration::from_millis(1500);

/// A target and this daemon's experience with it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    /// The entry of the list.
    pub(super) entry: Arc<Target>,
    /// The same, with what a note says in place of what the entry does.
    pub(super) target: Arc<Target>,
    /// The run that it is in.
    pub(super) run: RunKey,
    /// Whether that run has signalled that it drains.
    pub(super) leaves: bool,
    pub(super) note: Option<Noted>,
    /// This daemon's requests there, by model.
    pub(super) in_flight: HashMap<Option<ModelName>, u16>,
    /// Whether it has answered a request of this daemon.
    pub(super) has_answered: bool,
    /// Its answer without a limit that was asked for last.
    pub(super) unlimited: Option<Interval>,
    /// Requests of the other daemons there, as the planner told last.
    pub(super) others: u32,
    /// Not chosen before this time, unless there is no other.
    pub(super) suspect_until: Time,
    pub(super) suspicions: u32,
    /// Not chosen before this time.
    pub(super) full_until: Time,
    /// Models that it said it does not hold, and when.
    pub(super) missing: HashMap<(ModelName, Option<AdapterName>), Time>,
    pub(super) failures: f64,
    /// The state that was logged last.
    pub(super) logged: Option<TargetState>,
    /// The entry is gone and may have lapsed while the store was away.
    pub(super) lapse: Option<Lapse>,
}

/// A removal that is held back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lapse {
    /// The entry is dropped at this time.
    pub(super) at: Time,
    /// The store's version as of which it is gone.
    pub(super) version: u64,
}

/// A note of the planner that goes before the list.
#[derive(Clone, Debug)]
pub(super) struct Noted {
    pub(super) note: TargetNote,
    pub(super) fence: u64,
    pub(super) until: Time,
}

impl Member {
    pub(super) fn new(target: Target) -> Self {
        let entry = Arc::new(target);
        Self {
            run: RunKey::of(&entry),
            leaves: false,
            target: Arc::clone(&entry),
            entry,
            note: None,
            in_flight: HashMap::new(),
            has_answered: false,
            unlimited: None,
            others: 0,
            suspect_until: Time::default(),
            suspicions: 0,
            full_until: Time::default(),
            missing: HashMap::new(),
            failures: 0.0,
            logged: None,
            lapse: None,
        }
    }

    /// Takes in a newer entry of the list. What was believed of an earlier run is dropped, but for
    /// this daemon's requests there, which end by themselves.
    pub(super) fn set_entry(&mut self, entry: Target, now: Time) {
        if !target::may_be_same_run(self.entry.born, entry.born) {
            let (in_flight, logged) = (std::mem::take(&mut self.in_flight), self.logged);
            *self = Self { in_flight, logged, ..Self::new(entry) };
            return;
        }
        // An entry that was written before the target began to leave does not undo a note of it.
        let agrees = |n: &TargetNote| n.models == entry.models && n.state == entry.state;
        let is_past = |n: &Noted| now >= n.until || agrees(&n.note);
        self.note.take_if(|n| is_past(n));
        self.entry = Arc::new(entry);
        self.run = RunKey::of(&self.entry);
        self.lapse = None;
        self.show();
    }

    /// Takes in a note of the planner with `fence`, which goes before the list until `until`.
    pub(super) fn set_note(&mut self, note: &TargetNote, fence: u64, until: Time) {
        let is_older = |n: &Noted| (n.fence, n.note.revision) > (fence, note.revision);
        let is_of_this_run = target::may_be_same_run(self.entry.born, note.born);
        if !is_of_this_run || self.note.as_ref().is_some_and(is_older) {
            return;
        }
        self.note = Some(Noted { note: note.clone(), fence, until });
        self.show();
    }

    /// Lets the list count again once a note is old.
    pub(super) fn expire_note(&mut self, now: Time) {
        if self.note.take_if(|n| now >= n.until).is_some() {
            self.show();
        }
    }

    /// Takes in whether the run drains by its own signal.
    pub(super) fn set_leaves(&mut self, leaves: bool) {
        if self.leaves != leaves {
            self.leaves = leaves;
            self.show();
        }
    }

    /// Makes the target anew of the entry, the note and its own signal.
    fn show(&mut self) {
        let noted = self.note.as_ref().map(|n| &n.note);
        // A target that leaves does not come back under this name.
        let leaves = self.leaves || noted.is_some_and(|n| n.state == TargetState::Draining);
        if noted.is_none() && !leaves {
            return self.replace(Arc::clone(&self.entry));
        }
        let mut target = Target::clone(&self.entry);
        if let Some(note) = noted {
            target.models.clone_from(&note.models);
        }
        if leaves {
            target.state = TargetState::Draining;
        }
        self.replace(Arc::new(target));
    }

    fn replace(&mut self, target: Arc<Target>) {
        if self.target.models != target.models {
            self.missing.clear();
        }
        self.target = target;
    }

    /// Tells whether the target takes new work.
    pub(super) fn takes_work(&self, now: Time) -> bool {
        self.target.is_ready() && self.lapse.is_none_or(|lapse| now < lapse.at)
    }

    pub(super) fn own(&self) -> u32 {
        self.in_flight.values().map(|n| u32::from(*n)).sum()
    }

    pub(super) fn is_missing(&self, want: &Want<'_>, now: Time) -> bool {
        let Some(model) = want.model else { return false };
        let within = |adapter: Option<&AdapterName>| {
            let key = (model.clone(), adapter.cloned());
            self.missing.get(&key).is_some_and(|at| now.since(*at) < MISSING_SPAN)
        };
        within(None) || (want.adapter.is_some() && within(want.adapter))
    }

    pub(super) fn holds(&self, want: &Want<'_>) -> bool {
        want.model.is_none_or(|m| self.target.holds(m, want.adapter))
    }

    pub(super) fn load(&self) -> f64 {
        f64::from(self.own() + self.others) / f64::from(self.target.slots.max(1))
    }
}
