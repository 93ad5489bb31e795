//! What a daemon knows of the targets, and which of them takes a request.

mod experience;
pub mod list;
mod member;
mod pick;
mod signal;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::{
    clock::Time,
    event,
    name::{AdapterName, ModelName, ServiceName, TargetName, ZoneName},
};

use crate::{
    backpressure::registry::Registry,
    dissemination::{
        changes::ChangeLog,
        message::{Coming, InFlight, ModelUse, TargetLoad, TargetNote},
    },
    spans::Spans,
    target::Target,
};

pub use list::LAPSE_GRACE;
use list::{Gone, ListState};
use member::Member;

/// A use is told to the planner for this long, as datagrams get lost.
const USES_TOLD: Duration = Duration::from_millis(1000);
/// Uses remembered of models; a model asked for before that counts as not asked for.
const USES_KEPT: Duration = Duration::from_secs(30);

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model; `None` for a plain service.
    pub model: Option<&'a ModelName>,
    /// The adapter.
    pub adapter: Option<&'a AdapterName>,
    /// What its prompt begins with that other prompts do too.
    pub prefix: Option<Prefix>,
}

/// The start of a prompt that it shares with others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// A hash of its last part.
    pub id: u64,
    /// The length of all of it in tokens.
    pub tokens: u32,
}

/// What becomes of a request that looks for a target.
#[derive(Clone, Debug)]
pub enum Pick {
    /// It goes to this target, where it has been counted.
    Target(Arc<Target>),
    /// It goes to this target, which names a limit, once it has a permit.
    Limited {
        /// The target.
        target: Arc<Target>,
        /// When one that wants rest takes requests again, if there is one.
        or_at: Option<Time>,
    },
    /// Every target that holds the model is full.
    Full,
    /// Every target that holds the model wants rest, the first of them until then.
    Resting(Time),
    /// No target holds the model.
    NotLoaded,
    /// No target of the service is there.
    NoTarget,
}

/// The parts of news that make a whole, the newest last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Whole {
    /// The planner's fencing token.
    pub fence: u64,
    /// The number of the news.
    pub beat: u32,
}

/// Requests for a model.
#[derive(Clone, Debug, Default)]
struct Use {
    waiting: u16,
    arrived: u32,
    last: Time,
}

type UseKey = (ServiceName, ModelName, Option<AdapterName>);

/// Everything that a daemon knows of the targets.
#[derive(Debug, Default)]
pub struct Fleet {
    zone: Option<ZoneName>,
    spans: Spans,
    members: BTreeMap<TargetName, Member>,
    gone: BTreeMap<TargetName, Gone>,
    list: ListState,
    uses: BTreeMap<UseKey, Use>,
    /// The planner's news that loads and coming models were taken from last.
    whole: Whole,
    /// When models that are being loaded should be there.
    coming: HashMap<(ServiceName, ModelName), Time>,
    /// The most daemons that the planner has counted.
    daemons: usize,
    /// The backpressure signals of targets.
    backpressure: Registry,
    /// Whether a planner has shared the signals that other daemons have received.
    has_synced_signals: bool,
    /// What the other daemons are told if this one is the planner.
    pub log: ChangeLog,
}

impl Fleet {
    /// Makes the view of a daemon in `zone`.
    pub fn new(zone: ZoneName, spans: Spans) -> Self {
        Self { zone: Some(zone), spans, log: ChangeLog::unread(), ..Self::default() }
    }

    /// Returns the most daemons that a planner has counted since this daemon started, 0 if it has
    /// not been told yet.
    pub fn daemons(&self) -> usize {
        self.daemons
    }

    /// Takes in how many daemons the planner counts. A lower number is not taken: a new planner
    /// counts from nothing, and one that is cut off counts those it still hears, while the others
    /// may spend their parts of the retry budgets all the same.
    pub fn set_daemons(&mut self, daemons: usize) {
        if daemons > self.daemons {
            event::FLEET_DAEMONS.emit(&[("daemons", &daemons), ("before", &self.daemons)]);
            self.daemons = daemons;
        }
    }

    /// Returns the availability zone of the daemon itself.
    pub fn zone(&self) -> Option<&ZoneName> {
        self.zone.as_ref()
    }

    /// Forgets what no longer counts: entries that lapsed and did not come back, notes and uses.
    pub fn expire(&mut self, now: Time) {
        self.expire_lapses(now);
        self.members.values_mut().for_each(|m| m.expire_note(now));
        self.uses.retain(|_, u| u.waiting > 0 || now.since(u.last) < USES_KEPT);
    }

    /// Takes in what the planner with `fence` has done to a target that this daemon knows too.
    pub fn note(&mut self, note: &TargetNote, fence: u64, now: Time) {
        let until = now + self.spans.note;
        if let Some(m) = self.members.get_mut(&note.target) {
            m.set_note(note, fence, until);
        }
    }

    /// Returns the notes that go before the list.
    pub fn notes(&self) -> Vec<TargetNote> {
        self.members.values().filter_map(|m| m.note.as_ref()).map(|n| n.note.clone()).collect()
    }

    /// Returns a target by its name.
    pub fn target(&self, name: &TargetName) -> Option<&Arc<Target>> {
        self.members.get(name).map(|m| &m.target)
    }

    /// Takes in all daemons' requests at targets and which models are being loaded: a whole that
    /// is newer than what is known, or one more part of the newest.
    pub fn note_loads(&mut self, whole: Whole, loads: &[TargetLoad], coming: &[Coming], now: Time) {
        if whole < self.whole {
            return;
        }
        if whole > self.whole {
            self.whole = whole;
            self.coming.clear();
            self.members.values_mut().for_each(|m| m.others = 0);
        }
        self.note_changes(loads, coming, now);
    }

    /// Takes in loads that have changed, and models that are being loaded beside those that are
    /// known.
    pub fn note_changes(&mut self, loads: &[TargetLoad], coming: &[Coming], now: Time) {
        for load in loads {
            if let Some(m) = self.members.get_mut(&load.target) {
                // This daemon's own requests are not part of what others have there.
                m.others = u32::from(load.requests).saturating_sub(m.own());
            }
        }
        self.coming.extend(coming.iter().map(|c| (c.key(), c.due(now))));
    }

    /// Returns when the model of a request should be there, if it is nowhere and is being loaded
    /// or is about to be. A request that lacks an adapter of a model that is there is not told to
    /// wait for another copy of that model.
    pub fn expected(&self, want: &Want<'_>, now: Time) -> Option<Time> {
        let model = want.model?;
        let is_open = |m: &Member| self.limit(m.run).is_none();
        if self.ready(want, now).any(|m| m.target.holds(model, None) && is_open(m)) {
            return None;
        }
        self.coming.get(&(want.service.clone(), model.clone())).copied()
    }

    /// Returns the targets of all services.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.members.values().map(|m| &m.target)
    }

    /// Tells whether `target` is left alone after a failure.
    pub fn is_suspect(&self, target: &TargetName, now: Time) -> bool {
        self.members.get(target).is_some_and(|m| now < m.suspect_until)
    }

    /// Counts a request that has arrived.
    pub fn arrived(&mut self, want: &Want<'_>, now: Time) {
        for key in use_keys(want) {
            let u = self.uses.entry(key).or_default();
            u.arrived += 1;
            u.last = now;
        }
    }

    /// Counts a request that begins to wait for a load.
    pub fn begin_waiting(&mut self, want: &Want<'_>, now: Time) {
        let Some(key) = use_keys(want).pop() else { return };
        let u = self.uses.entry(key).or_default();
        u.waiting += 1;
        u.last = now;
    }

    /// Counts a request that no longer waits for a load.
    pub fn end_waiting(&mut self, want: &Want<'_>) {
        let Some(key) = use_keys(want).pop() else { return };
        if let Some(u) = self.uses.get_mut(&key) {
            u.waiting = u.waiting.saturating_sub(1);
        }
    }

    /// Returns what this daemon asks of models, and has asked lately.
    pub fn uses(&self, now: Time) -> Vec<ModelUse> {
        let one = |((service, model, adapter), u): (&UseKey, &Use)| ModelUse {
            service: service.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
            waiting: u.waiting,
            arrived: u.arrived,
        };
        let is_news = |u: &Use| u.waiting > 0 || now.since(u.last) < USES_TOLD;
        self.uses.iter().filter(|(_, u)| is_news(u)).map(one).collect()
    }

    /// Returns this daemon's requests at targets.
    pub fn in_flight(&self) -> Vec<InFlight> {
        let mut all = Vec::new();
        for m in self.members.values() {
            for (model, count) in m.in_flight.iter().filter(|(_, n)| **n > 0) {
                let target = m.target.name.clone();
                all.push(InFlight { target, model: model.clone(), count: *count });
            }
        }
        all
    }

    /// Counts a request out that was counted in by [`Fleet::pick`].
    pub fn leave(&mut self, target: &TargetName, model: Option<&ModelName>) {
        let Some(m) = self.members.get_mut(target) else { return };
        let Some(count) = m.in_flight.get_mut(&model.cloned()) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            m.in_flight.remove(&model.cloned());
        }
    }
}

fn use_keys(want: &Want<'_>) -> Vec<UseKey> {
    let Some(model) = want.model else { return Vec::new() };
    let key =
        |adapter: Option<&AdapterName>| (want.service.clone(), model.clone(), adapter.cloned());
    let mut keys = vec![key(None)];
    if want.adapter.is_some() {
        keys.push(key(want.adapter));
    }
    keys
}
