//! Targets that cut requests off and may have ended.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ServiceName, TargetName},
};

use super::key::{RequestKey, RunKey};
use crate::target::Target;

/// A target that cut requests off and seems to be there is doubted this long: the entry of one that
/// has ended goes after three heartbeats, and word of it comes up to a second later.
const DOUBT_SPAN: Duration = Duration::from_secs(6);
/// When nobody listens any more, this is how long ago its end may have cut a request off. One that
/// was cut off before has come to other harm, and the target lived on.
const LOOK_SPAN: Duration = Duration::from_secs(2);
/// When it is looked at again, after the first look: a listener may be closed last.
const LOOKS_AGAIN: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(400), Duration::from_millis(1500)];
/// Targets that are doubted at once at most; a zone that fails has fewer.
const DOUBTED_MOST: usize = 128;
/// Requests that are remembered of each: as many as a target has slots on the users' sites.
const SUSPECTS_MOST: usize = 64;

/// What a look at a target that cut requests off has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// Nobody listens at its address.
    Ended,
    /// Another run has its place, or the list has it no more.
    Gone,
    /// Somebody listens there.
    Listening,
    /// It could not be found out.
    Unknown,
}

impl Presence {
    /// Tells whether the target's run is over.
    pub fn is_end(self) -> bool {
        matches!(self, Presence::Ended | Presence::Gone)
    }
}

/// Whether a target is to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// It is, by who asks.
    Due,
    /// Another thread looks.
    UnderWay,
    /// It is known to have ended.
    Done,
}

/// Who a target is that may have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its name.
    pub name: TargetName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it listened.
    pub address: SocketAddr,
}

impl Place {
    /// Returns who a target is.
    pub fn of(target: &Target) -> Self {
        let (name, service) = (target.name.clone(), target.service.clone());
        Self { name, service, address: target.address }
    }
}

/// A target that is doubted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Doubted {
    /// Its run.
    pub run: RunKey,
    /// Who it is.
    pub place: Place,
    /// Whether it is to be looked at again now.
    pub is_look_due: bool,
}

/// A request that a target has cut off.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspect {
    pub(super) key: RequestKey,
    /// How long the target had it.
    pub(super) lived: Duration,
    cut: Time,
}

#[derive(Clone, Debug, Default)]
struct Doubt {
    suspects: Vec<Suspect>,
    /// Whether a request's thread looks at the target.
    is_looked_at: bool,
    /// Who it is, once a first look has not shown its end.
    place: Option<Place>,
    looks_again: usize,
}

impl Doubt {
    /// Returns when the last request was cut off.
    fn since(&self) -> Time {
        self.suspects.iter().map(|s| s.cut).max().unwrap_or_default()
    }

    /// Tells whether the target is to be looked at again, and takes it for looked at.
    fn take_look(&mut self, now: Time) -> bool {
        let due = LOOKS_AGAIN.get(self.looks_again);
        let is_due = due.is_some_and(|after| now.since(self.since()) >= *after);
        self.looks_again += usize::from(is_due);
        is_due
    }
}

/// The requests that targets have cut off while it is not known whether these have ended.
///
/// One thread looks at a target for all: a crash ends as many requests at once as it had, and
/// targets that reset hundreds of connections are no better served by hundreds more. A look that
/// shows somebody says little: a port may go on accepting after the process behind it has ended. So
/// the doubt stays until the target answers something it was sent later, or its time is over.
#[derive(Clone, Debug, Default)]
pub(super) struct Doubts {
    open: BTreeMap<RunKey, Doubt>,
}

impl Doubts {
    /// Adds a request that a target has cut off after `lived`.
    pub(super) fn add(&mut self, key: RequestKey, run: RunKey, lived: Duration, now: Time) -> Look {
        self.expire(now);
        let doubt = self.open.entry(run).or_default();
        if doubt.suspects.len() < SUSPECTS_MOST {
            doubt.suspects.push(Suspect { key, lived, cut: now });
        }
        let look = if doubt.is_looked_at { Look::UnderWay } else { Look::Due };
        doubt.is_looked_at = true;
        doubt.looks_again = 0;
        look
    }

    /// Tells whether a target is doubted.
    pub(super) fn is_open(&self, run: RunKey) -> bool {
        self.open.contains_key(&run)
    }

    /// Tells whether a request's thread looks at a target.
    pub(super) fn is_looked_at(&self, run: RunKey) -> bool {
        self.open.get(&run).is_some_and(|doubt| doubt.is_looked_at)
    }

    /// Ends the doubt of a target; returns the requests that its end may have cut off.
    pub(super) fn end(&mut self, run: RunKey, presence: Presence, now: Time) -> Vec<Suspect> {
        let span = if presence == Presence::Ended { LOOK_SPAN } else { DOUBT_SPAN };
        let mut suspects = self.open.remove(&run).map_or_else(Vec::new, |doubt| doubt.suspects);
        suspects.retain(|s| now.since(s.cut) < span);
        suspects
    }

    /// Drops the doubt of a target.
    pub(super) fn drop(&mut self, run: RunKey) {
        self.open.remove(&run);
    }

    /// Takes in that a look has not shown a target's end.
    pub(super) fn keep(&mut self, run: RunKey) {
        if let Some(doubt) = self.open.get_mut(&run) {
            doubt.is_looked_at = false;
        }
    }

    /// Says where a target is found that is to be looked at again.
    pub(super) fn place(&mut self, run: RunKey, place: Place) {
        if let Some(doubt) = self.open.get_mut(&run) {
            doubt.place = Some(place);
        }
    }

    /// Takes in that a target has answered what it was sent at `opened`: it was alive then.
    pub(super) fn answered(&mut self, run: RunKey, opened: Time) {
        let Some(doubt) = self.open.get_mut(&run) else { return };
        doubt.suspects.retain(|s| s.cut >= opened);
        if doubt.suspects.is_empty() && !doubt.is_looked_at {
            self.open.remove(&run);
        }
    }

    /// Tells whether there are targets to look after.
    pub(super) fn has_kept(&self) -> bool {
        self.open.values().any(|doubt| doubt.place.is_some())
    }

    /// Returns the targets that are doubted after a first look.
    pub(super) fn kept(&mut self, now: Time) -> Vec<Doubted> {
        self.expire(now);
        let kept = self.open.iter_mut().filter(|(_, doubt)| !doubt.is_looked_at);
        let doubted = |(run, doubt): (&RunKey, &mut Doubt)| {
            let place = doubt.place.clone()?;
            Some(Doubted { run: *run, place, is_look_due: doubt.take_look(now) })
        };
        kept.filter_map(doubted).collect()
    }

    /// Drops doubts whose time is over, and the oldest of too many.
    fn expire(&mut self, now: Time) {
        self.open.retain(|_, d| d.is_looked_at || now.since(d.since()) < DOUBT_SPAN);
        while self.open.len() >= DOUBTED_MOST {
            let kept = self.open.iter().filter(|(_, d)| !d.is_looked_at);
            let Some(oldest) = kept.min_by_key(|(_, d)| d.since()).map(|(run, _)| *run) else {
                return;
            };
            self.open.remove(&oldest);
        }
    }
}
