//! The planner's sums of the requests that wait for slots at all daemons.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use tansyknot_core::clock::Time;
use tansyknot_policy::queue::Rank;

use super::elsewhere::{ModelKey, REPORT_TTL};
use crate::dissemination::{
    message::{self, Demand},
    scheduling::WaitingRequests,
};

/// Maximum number of entries in a list of waiting requests; about 35 bytes each.
const MAX_ENTRIES: usize = 128;

/// One daemon's waiting requests, as it has reported them last.
#[derive(Debug)]
struct Report {
    incarnation: Arc<str>,
    seq: u32,
    at: Time,
    /// The number of requests, and when the oldest began to wait.
    waiting: Vec<((ModelKey, Rank), (u16, Time))>,
}

/// The requests that wait at all daemons.
#[derive(Debug, Default)]
pub struct WaitingTotals {
    reports: HashMap<Arc<str>, Report>,
    /// What was announced, and when it last had waiting requests.
    announced: HashMap<(ModelKey, Rank), Time>,
}

impl WaitingTotals {
    /// Records a daemon's report, or a part of one: a newer report replaces the recorded one, a
    /// further part of the newest adds to it.
    pub fn record(&mut self, demand: &Demand, now: Time) {
        let entry = |w: &WaitingRequests| {
            let oldest = now.saturating_sub(Duration::from_millis(w.oldest_ms.into()));
            (((w.service.clone(), w.model.clone()), w.rank), (w.count, oldest))
        };
        let waiting = demand.scheduling.waiting.iter().map(entry);
        match self.reports.get_mut(&demand.daemon).filter(|r| r.incarnation == demand.incarnation) {
            Some(report) if report.seq > demand.seq => {}
            Some(report) if report.seq == demand.seq => report.waiting.extend(waiting),
            _ => {
                let report = Report {
                    incarnation: Arc::clone(&demand.incarnation),
                    seq: demand.seq,
                    at: now,
                    waiting: waiting.collect(),
                };
                self.reports.insert(Arc::clone(&demand.daemon), report);
            }
        }
    }

    /// Drops all reports, as another daemon is the planner now.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns what to announce. Requests that have stopped waiting are announced with a count of
    /// zero for as long as the last announcement of them is valid.
    pub fn announce(&mut self, now: Time) -> Vec<WaitingRequests> {
        self.reports.retain(|_, report| now.since(report.at) < REPORT_TTL);
        self.announced.retain(|_, at| now.since(*at) < REPORT_TTL);
        let mut sums: HashMap<&(ModelKey, Rank), (u16, Time)> = HashMap::new();
        for (key, (count, oldest)) in self.reports.values().flat_map(|r| &r.waiting) {
            let sum = sums.entry(key).or_insert((0, *oldest));
            *sum = (sum.0.saturating_add(*count), sum.1.min(*oldest));
        }
        let mut waiting: Vec<WaitingRequests> = sums
            .iter()
            .map(|(key, (count, oldest))| entry(key, *count, now.since(*oldest)))
            .collect();
        keep_most_significant(&mut waiting);
        let kept: HashSet<(ModelKey, Rank)> =
            waiting.iter().map(|w| ((w.service.clone(), w.model.clone()), w.rank)).collect();
        let ended = self.announced.keys().filter(|key| !kept.contains(*key));
        waiting.extend(ended.map(|key| entry(key, 0, Duration::ZERO)));
        waiting.truncate(MAX_ENTRIES);
        self.announced.extend(kept.into_iter().map(|key| (key, now)));
        waiting
    }
}

fn entry(key: &(ModelKey, Rank), count: u16, age: Duration) -> WaitingRequests {
    let ((service, model), rank) = key;
    WaitingRequests {
        service: service.clone(),
        model: model.clone(),
        rank: *rank,
        count,
        oldest_ms: message::millis(age),
    }
}

/// Limits a list to the entries with the most waiting requests.
pub(super) fn keep_most_significant(waiting: &mut Vec<WaitingRequests>) {
    waiting.sort_by(|a, b| {
        let by_count = b.count.cmp(&a.count).then(b.oldest_ms.cmp(&a.oldest_ms));
        by_count.then_with(|| (&a.service, &a.model, a.rank).cmp(&(&b.service, &b.model, b.rank)))
    });
    waiting.truncate(MAX_ENTRIES);
}
