//! What is told to whom, in which datagrams.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName},
};

use super::Conductor;
use crate::{
    fleet::Whole,
    news::ListRead,
    pace::Occasion,
    peer::{self, Coming, Extent, Message, News, TargetLoad, TargetNote, millis},
    plan::DAEMON_SPAN,
};

/// Loads that are told in full also between two beats if they are no more than this for all
/// daemons together: some 7 KB. Nine daemons and targets have 81, the grown sites 6,900, where
/// they took half of all bytes between zones.
const ENTRIES_ANYWAY: usize = 500;
/// A load that differs by fewer requests is not told anew before the beat. Loads on beats alone
/// were too old at 77 daemons: requests with an objective of 0.3 s were in time in 0.87 of the
/// cases, not 0.91 (two days). All loads with each change took twice the bytes between zones.
const LOAD_STEP: u16 = 2;
/// Times at which a model should be there that differ by less are not told anew before the beat.
const SAME_TIME: Duration = Duration::from_millis(200);
/// News of a target is repeated this long, as datagrams get lost.
const NOTE_SPAN: Duration = Duration::from_millis(700);

/// What this daemon has told as the planner.
#[derive(Default)]
pub(super) struct Told {
    /// The revisions told, and when first.
    notes: HashMap<TargetName, (u64, Time)>,
    /// The number of the last change of the list, and the configuration's version.
    versions: (u64, u64),
    /// The number of the last demand or news.
    beat: u32,
    /// When models should be there, as it was told last.
    coming: HashMap<(ServiceName, ModelName), Time>,
    /// The requests at each target, as they were told last.
    loads: HashMap<TargetName, u16>,
    pub(super) peers: HashMap<SocketAddr, Time>,
    pub(super) was_planner: bool,
}

impl Told {
    /// Returns the number of the next demand or news.
    pub(super) fn next_beat(&mut self) -> u32 {
        self.beat += 1;
        self.beat
    }

    /// Returns what is told of loads and of models that come, and keeps it as told.
    fn choose(
        &mut self,
        extent: Extent,
        loads: Vec<TargetLoad>,
        coming: Vec<Coming>,
        now: Time,
    ) -> (Vec<TargetLoad>, Vec<Coming>) {
        match extent {
            Extent::All => {
                self.loads = loads.iter().map(|l| (l.target.clone(), l.requests)).collect();
                self.coming = coming.iter().map(|c| (c.key(), c.due(now))).collect();
                (loads, coming)
            }
            Extent::Changes => (self.new_loads(loads), self.new_coming(coming, now)),
        }
    }

    /// Returns the loads that have changed since they were told, those of targets that have no
    /// requests any more with them.
    fn new_loads(&mut self, loads: Vec<TargetLoad>) -> Vec<TargetLoad> {
        let mut before = std::mem::take(&mut self.loads);
        let mut news = Vec::new();
        for load in loads {
            let told = before.remove(&load.target).unwrap_or(0);
            let is_news = told.abs_diff(load.requests) >= LOAD_STEP;
            self.loads.insert(load.target.clone(), if is_news { load.requests } else { told });
            news.extend(is_news.then_some(load));
        }
        news.extend(before.into_keys().map(|target| TargetLoad { target, requests: 0 }));
        news
    }

    /// Returns the models that come for which nothing or another time has been told.
    fn new_coming(&mut self, coming: Vec<Coming>, now: Time) -> Vec<Coming> {
        let is_news = |c: &Coming| {
            let at = c.due(now);
            let told = self.coming.get(&c.key());
            told.is_none_or(|told| at.since(*told).max(told.since(at)) >= SAME_TIME)
        };
        let news: Vec<Coming> = coming.into_iter().filter(is_news).collect();
        self.coming.extend(news.iter().map(|c| (c.key(), c.due(now))));
        news
    }
}

impl Conductor {
    /// Tells all daemons what is new, or on a beat all that may have been lost.
    pub(super) fn send_news(&self, occasion: Occasion, now: Time) {
        let mut notes = self.state.fleet().notes();
        let (after, beat, peers): (u64, u32, Vec<SocketAddr>) = {
            let mut told = self.told();
            let list = self.state.fleet().log.last();
            let config = self.state.catalog().map_or(0, |c| c.version);
            // Between two beats only what is new is told; a beat repeats what may have been lost.
            let after = match occasion {
                Occasion::Beat => 0,
                Occasion::Change => told.versions.0,
            };
            let has_changed = keep_news(&mut told, &mut notes, occasion, now)
                | (std::mem::replace(&mut told.versions, (list, config)) != (list, config));
            if occasion == Occasion::Change && !has_changed {
                return;
            }
            told.peers.retain(|_, heard| now.since(*heard) < DAEMON_SPAN);
            (after, told.next_beat(), told.peers.keys().copied().collect())
        };
        let (daemons, loads, coming) = {
            let planner = self.planner();
            (planner.daemons(), planner.loads(), planner.coming(now))
        };
        let fence = self.lease.fence();
        let contacts = *self.state.contacts();
        let list = {
            let mut fleet = self.state.fleet();
            fleet.set_daemons(daemons);
            fleet.note_loads(Whole { fence, beat }, &loads, &coming, now);
            let read = ListRead { age: age(contacts.list, now), version: contacts.list_version };
            fleet.log.news(after, read, now)
        };
        let extent = extent(occasion, loads.len() * peers.len());
        let (loads, coming) = self.told().choose(extent, loads, coming, now);
        let renewed = self.lease.renewed();
        let mut news = News {
            fence,
            beat,
            extent,
            lease_version: renewed.map_or(0, |(version, _)| version),
            lease_age_ms: millis(age(renewed.map(|(_, at)| at), now)),
            daemons: u16::try_from(daemons).unwrap_or(u16::MAX),
            config: self.state.catalog().map_or(0, |c| c.version),
            config_age_ms: millis(age(contacts.config, now)),
            list,
            targets: notes,
            coming,
            loads,
        };
        news.trim(peers.len());
        self.send(Message::News(news), &peers);
    }

    /// Sends a message to each of `peers`, in as many datagrams as it takes.
    pub(super) fn send(&self, message: Message, peers: &[SocketAddr]) {
        let parts = peer::datagrams(message);
        for peer in peers {
            for bytes in &parts {
                if let Err(e) = self.socket.send_to(bytes, peer) {
                    log::debug!("a datagram to {peer} was not sent: {e}");
                }
            }
        }
    }
}

/// Returns what is told of loads that make `entries` for all daemons together.
fn extent(occasion: Occasion, entries: usize) -> Extent {
    match occasion {
        Occasion::Change if entries > ENTRIES_ANYWAY => Extent::Changes,
        _ => Extent::All,
    }
}

/// Returns how long ago `at` was; without one, longer than anything counts.
fn age(at: Option<Time>, now: Time) -> Duration {
    at.map_or(Duration::MAX, |at| now.since(at))
}

/// Keeps the notes that have not been told for long; tells whether one is new.
fn keep_news(told: &mut Told, notes: &mut Vec<TargetNote>, occasion: Occasion, now: Time) -> bool {
    let mut has_changed = false;
    notes.retain(|n| {
        let known = told.notes.get(&n.target).filter(|(revision, _)| *revision == n.revision);
        let Some((_, first)) = known else {
            told.notes.insert(n.target.clone(), (n.revision, now));
            has_changed = true;
            return true;
        };
        occasion == Occasion::Beat && now.since(*first) < NOTE_SPAN
    });
    has_changed
}
