//! The requests that wait for slots at other daemons, as the planner announces them.

use std::{cmp::Ordering, collections::HashMap, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName},
};
use tansyknot_policy::queue::Rank;

use crate::{dissemination::scheduling::WaitingRequests, fleet::UpdateId};

/// A service and a model; `None` for a service without models.
pub type ModelKey = (ServiceName, Option<ModelName>);

/// How long an announcement, or a daemon's report, is valid: two may be lost in a row.
pub(super) const REPORT_TTL: Duration = Duration::from_millis(900);
/// An announced wait that began within this time of this daemon's own oldest one is taken for it.
/// The ages in messages are too high by the time that the messages were on their way.
const OWN_WAIT_TOLERANCE: Duration = Duration::from_millis(150);

/// The waiting requests of all daemons with one rank.
#[derive(Clone, Copy, Debug)]
struct Announced {
    count: usize,
    oldest: Time,
    at: Time,
}

/// The requests that wait for slots at other daemons.
#[derive(Debug, Default)]
pub struct WaitingElsewhere {
    last_update: UpdateId,
    announced: HashMap<ModelKey, HashMap<Rank, Announced>>,
    /// What this daemon has reported last, which the announcement includes.
    own: HashMap<(ModelKey, Rank), (u16, Time)>,
}

impl WaitingElsewhere {
    /// Records an announcement of the planner, or a part of one. An entry with a count of zero ends
    /// an earlier one.
    pub fn apply(&mut self, update: UpdateId, waiting: &[WaitingRequests], now: Time) {
        if update < self.last_update {
            return;
        }
        self.last_update = update;
        for w in waiting {
            let oldest = now.saturating_sub(Duration::from_millis(w.oldest_ms.into()));
            let announced = Announced { count: w.count.into(), oldest, at: now };
            let key = (w.service.clone(), w.model.clone());
            self.announced.entry(key).or_default().insert(w.rank, announced);
        }
        let is_valid = |a: &Announced| a.count > 0 && now.since(a.at) < REPORT_TTL;
        for ranks in self.announced.values_mut() {
            ranks.retain(|_, announced| is_valid(announced));
        }
        self.announced.retain(|_, ranks| !ranks.is_empty());
    }

    /// Records what this daemon reports of its own waiting requests.
    pub(super) fn set_own(&mut self, own: HashMap<(ModelKey, Rank), (u16, Time)>) {
        self.own = own;
    }

    /// Returns whether waiting requests for a model have been announced.
    pub fn has_waiters(&self, key: &ModelKey) -> bool {
        self.announced.contains_key(key)
    }

    /// Returns how many requests at other daemons are before one with `rank` that waits since
    /// `since`: those with a lower rank number, and those that have waited longer. The arrivals of
    /// the requests with one rank are taken to be spread evenly up to the announcement.
    pub fn ahead(&self, key: &ModelKey, rank: Rank, since: Time, now: Time) -> usize {
        let Some(ranks) = self.announced.get(key) else { return 0 };
        let valid = ranks.iter().filter(|(_, a)| now.since(a.at) < REPORT_TTL);
        let ahead = |(other, a): (&Rank, &Announced)| match (*other).cmp(&rank) {
            Ordering::Less => self.count(key, *other, a),
            Ordering::Equal => older(self.count(key, *other, a), a, since),
            Ordering::Greater => 0,
        };
        valid.map(ahead).sum()
    }

    /// Returns whether the longest announced wait of requests with `rank` is one that this daemon
    /// has reported.
    pub fn is_own(&self, key: &ModelKey, rank: Rank) -> bool {
        let announced = self.announced.get(key).and_then(|ranks| ranks.get(&rank));
        let own = self.own.get(&(key.clone(), rank));
        let is_same = |a: Time, b: Time| a.since(b).max(b.since(a)) < OWN_WAIT_TOLERANCE;
        announced.zip(own).is_some_and(|(a, (_, oldest))| is_same(a.oldest, *oldest))
    }

    /// Returns the number of announced requests that wait at other daemons.
    fn count(&self, key: &ModelKey, rank: Rank, announced: &Announced) -> usize {
        let own = self.own.get(&(key.clone(), rank)).map_or(0, |(count, _)| usize::from(*count));
        announced.count.saturating_sub(own)
    }
}

/// Returns how many of `count` announced requests wait since before `since`.
fn older(count: usize, announced: &Announced, since: Time) -> usize {
    let longer = since.since(announced.oldest).as_secs_f64();
    let all = announced.at.since(announced.oldest).as_secs_f64().max(f64::EPSILON);
    (count as f64 * (longer / all).min(1.0)).ceil() as usize
}
