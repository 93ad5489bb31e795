//! What is told to whom, in which datagrams.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tansyknot_core::{
    clock::Time,
    metric,
    name::{ModelName, ServiceName, TargetName},
};

use super::Conductor;
use crate::{
    dissemination::{
        audience::{Audience, Repair},
        changes::{Change, ListNews},
        datagram,
        message::{Coming, Extent, Forward, Message, News, TargetLoad, millis},
        pace::{self, Occasion},
        peers::{self, PeerEntry},
        relays::Group,
    },
    fleet::Whole,
};

/// Loads that are told in full also between two beats if they are no more than this for all
/// daemons together: some 7 KB. Nine daemons and targets have 81, the grown sites 6,900, where
/// they took half of all bytes between zones.
const ENTRIES_ANYWAY: usize = 500;
/// A load that differs by fewer requests is not told anew before the beat. Loads on beats alone
/// were too old at 77 daemons: requests with an objective of 0.3 s were in time in 0.87 of the
/// cases, not 0.91 (two days). All loads with each change took twice the bytes between zones.
const LOAD_STEP: u16 = 2;
/// Loads told anew before the beat at most, those that differ most: half a datagram. At 264 targets
/// nearly all differ each time, and took a third of all bytes to each daemon.
const LOADS_BETWEEN: usize = 40;
/// A new planner begins with what it has learnt within this span: all have heard earlier changes
/// from the planner before, which was there until 1.5 to 2.3 s ago. Who has not says so.
const UNTOLD_SPAN: Duration = Duration::from_millis(3000);
/// A new planner is told for so long what it need not have heard: a few beats, as datagrams get lost.
const PLANNER_NEW: Duration = Duration::from_millis(1000);
/// Times at which a model should be there that differ by less are not told anew before the beat.
const SAME_TIME: Duration = Duration::from_millis(200);

/// What this daemon has told as the planner.
#[derive(Default)]
pub(super) struct Told {
    /// The revisions told.
    notes: HashMap<TargetName, u64>,
    /// The number of the last change, and the configuration's version.
    versions: (u64, u64),
    /// The number of the last demand or news.
    beat: u32,
    /// How many beats have been told.
    beats: u64,
    /// The links of this daemon or of relays have had their share of news until then.
    links_busy_until: Time,
    /// Whether something new waits until then.
    is_pending: bool,
    /// When models should be there, as it was told last.
    coming: HashMap<(ServiceName, ModelName), Time>,
    /// The requests at each target, as they were told last.
    loads: HashMap<TargetName, u16>,
    pub(super) audience: Audience,
    pub(super) was_planner: bool,
    /// The fencing token of the planner that is told, and since when.
    planner: (u64, Time),
}

impl Told {
    /// Returns the number of the next demand or news.
    pub(super) fn next_beat(&mut self) -> u32 {
        self.beat += 1;
        self.beat
    }

    /// Tells whether the planner with `fence` is told for the first few times.
    pub(super) fn is_planner_new(&mut self, fence: u64, now: Time) -> bool {
        if self.planner.0 != fence {
            self.planner = (fence, now);
        }
        now.since(self.planner.1) < PLANNER_NEW
    }

    /// Takes in that this daemon is not the planner: nothing waits to be told.
    pub(super) fn end(&mut self) {
        self.was_planner = false;
        self.is_pending = false;
    }

    /// Returns how long to wait until something new may be told; a long time if nothing waits.
    pub(super) fn left(&self, now: Time) -> Duration {
        if self.is_pending { self.links_busy_until.since(now) } else { Duration::MAX }
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

    /// Returns the loads that have changed most since they were told, those of targets that have
    /// no requests any more with them.
    fn new_loads(&mut self, loads: Vec<TargetLoad>) -> Vec<TargetLoad> {
        let mut now: HashMap<TargetName, u16> = HashMap::with_capacity(loads.len());
        now.extend(loads.into_iter().map(|load| (load.target, load.requests)));
        let gone = self.loads.keys().filter(|target| !now.contains_key(*target));
        let gone: Vec<TargetName> = gone.cloned().collect();
        now.extend(gone.into_iter().map(|target| (target, 0)));
        let differs = |(target, requests): (TargetName, u16)| {
            let told = self.loads.get(&target).copied().unwrap_or(0);
            (told.abs_diff(requests), TargetLoad { target, requests })
        };
        let mut news: Vec<(u16, TargetLoad)> = now.into_iter().map(differs).collect();
        news.retain(|(difference, load)| {
            *difference >= LOAD_STEP || (load.requests == 0 && *difference > 0)
        });
        news.sort_by_key(|(difference, _)| std::cmp::Reverse(*difference));
        news.truncate(LOADS_BETWEEN);
        let news: Vec<TargetLoad> = news.into_iter().map(|(_, load)| load).collect();
        self.loads.extend(news.iter().map(|load| (load.target.clone(), load.requests)));
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
    /// Begins to tell the daemons that are known from the planner before.
    pub(super) fn begin_telling(&self, now: Time) {
        let known: Vec<PeerEntry> = self.state.peers().all(now).cloned().collect();
        let others = known.into_iter().filter(|p| p.address != self.me.address).collect();
        let since = self.state.fleet().log.number_before(now.before(UNTOLD_SPAN));
        let mut told = self.told();
        told.notes.clear();
        told.versions = (since, 0);
        told.audience.begin(others, now);
    }

    /// Tells all daemons what is new, on a beat with all loads, and those that lack something
    /// what they lack.
    pub(super) fn send_news(&self, occasion: Occasion, now: Time) {
        self.log_notes(now);
        if self.is_due(occasion, now) {
            self.tell_all(occasion, now);
        }
        let repairs = self.told().audience.repairs(self.lease.fence(), now);
        for repair in repairs {
            self.repair(repair, now);
        }
    }

    /// Numbers what this daemon has done to targets since it was told last.
    fn log_notes(&self, now: Time) {
        let mut fleet = self.state.fleet();
        let notes = fleet.notes();
        let mut told = self.told();
        for note in notes {
            let before = told.notes.insert(note.target.clone(), note.revision);
            if before != Some(note.revision) {
                // It holds whatever the list says, and a daemon that joins can do without it.
                fleet.log.add(Change::Note(note), 0, now);
            }
        }
    }

    /// Tells whether there is something to tell now. Something new waits while links have had
    /// their share; a beat does not.
    fn is_due(&self, occasion: Occasion, now: Time) -> bool {
        let newest = self.newest();
        let mut told = self.told();
        if occasion == Occasion::Beat {
            return true;
        }
        told.is_pending = told.versions != newest;
        told.is_pending && now >= told.links_busy_until
    }

    /// Returns the number of the last change, and the version of the configuration.
    fn newest(&self) -> (u64, u64) {
        let list = self.state.fleet().log.last();
        (list, self.state.catalog().map_or(0, |c| c.version))
    }

    fn tell_all(&self, occasion: Occasion, now: Time) {
        let newest = self.newest();
        let (after, beat, peers, count) = {
            let mut told = self.told();
            let (after, _) = std::mem::replace(&mut told.versions, newest);
            told.is_pending = false;
            let peers = if occasion == Occasion::Beat { self.beat(&mut told, now) } else { vec![] };
            (after, told.next_beat(), peers, told.audience.len())
        };
        let (daemons, loads, coming) = {
            let planner = self.planner();
            (planner.daemons(), planner.loads(), planner.coming(now))
        };
        let whole = Whole { fence: self.lease.fence(), beat };
        {
            let mut fleet = self.state.fleet();
            fleet.set_daemons(daemons);
            fleet.note_loads(whole, &loads, &coming, now);
        }
        let extent = extent(occasion, loads.len() * count);
        let (loads, coming) = self.told().choose(extent, loads, coming, now);
        let list = self.changes_between(after, u64::MAX, now);
        let signals = self.state.fleet().known_signals(now);
        let mut news = News { extent, peers, coming, loads, signals, ..self.news(beat, list, now) };
        news.trim();
        let parts = datagram::datagrams(Message::News(news));
        let groups = self.told().audience.groups().to_vec();
        let busy = groups.iter().map(|group| self.send_to_group(&parts, group, beat)).max();
        let bytes: usize = parts.iter().map(Vec::len).sum();
        let own = pace::span_on_link(bytes * groups.len(), self.me.link_mbps);
        self.told().links_busy_until = now + own.max(busy.unwrap_or_default());
    }

    /// Begins a beat; returns the daemons that it tells of.
    fn beat(&self, told: &mut Told, now: Time) -> Vec<PeerEntry> {
        told.beats += 1;
        told.audience.regroup(now);
        let mut entries = told.audience.entries();
        let (address, zone) = (self.me.address, self.me.zone.clone());
        entries.push(PeerEntry { address, zone, link_mbps: self.me.link_mbps });
        let mut known = self.state.peers();
        entries.iter().for_each(|entry| known.add(entry.clone(), now));
        known.forget(now);
        peers::slice(&entries, told.beats)
    }

    /// Returns news that say how fresh this daemon's views are, and nothing of loads.
    fn news(&self, beat: u32, list: ListNews, now: Time) -> News {
        let contacts = *self.state.contacts();
        let renewed = self.lease.renewed();
        let daemons = self.planner().daemons();
        News {
            fence: self.lease.fence(),
            planner: self.me.daemon.clone(),
            address: self.me.address,
            beat,
            extent: Extent::Changes,
            lease_version: renewed.map_or(0, |(version, _)| version),
            lease_age_ms: millis(age(renewed.map(|(_, at)| at), now)),
            daemons: u16::try_from(daemons).unwrap_or(u16::MAX),
            poison: self.state.poison().digest(),
            config: self.state.catalog().map_or(0, |c| c.version),
            config_age_ms: millis(age(contacts.config, now)),
            list,
            peers: Vec::new(),
            coming: Vec::new(),
            loads: Vec::new(),
            signals: Vec::new(),
        }
    }

    /// Returns the changes after number `after`, up to `to`.
    fn changes_between(&self, after: u64, to: u64, now: Time) -> ListNews {
        let mut fleet = self.state.fleet();
        let read = fleet.told(now);
        fleet.log.news_between(after, to, read, now)
    }

    /// Sends `parts` to the relay of a group, with those that they are for; returns how long the
    /// relay's link is taken by them.
    fn send_to_group(&self, parts: &[Vec<u8>], group: &Group, beat: u32) -> Duration {
        let mut followers = group.followers.clone();
        // A link that is full drops what is sent last; that is another one each time.
        let turn = beat as usize % followers.len().max(1);
        followers.rotate_left(turn);
        for part in parts {
            if group.followers.is_empty() {
                self.send_bytes(part, group.relay);
                continue;
            }
            let forward = Forward { to: followers.clone(), datagram: part.clone() };
            match datagram::encode(&Message::Forward(forward)) {
                Some(bytes) => self.send_bytes(&bytes, group.relay),
                None => log::warn!("news to a relay are longer than a datagram"),
            }
        }
        let bytes: usize = parts.iter().map(Vec::len).sum();
        pace::span_on_link(bytes * group.followers.len(), group.link_mbps)
    }

    /// Tells one daemon what it lacks.
    fn repair(&self, repair: Repair, now: Time) {
        let fence = self.lease.fence();
        let (after, to) = {
            let fleet = self.state.fleet();
            let last = fleet.log.last();
            match repair.known.number.filter(|_| repair.known.fence == fence) {
                Some(number) => (number, repair.known.missing_to.unwrap_or(last)),
                None => (fleet.log.known_at(repair.known.version).unwrap_or(last), last),
            }
        };
        let beat = self.told().beat;
        let list = self.changes_between(after, to, now);
        self.send_parts(Message::News(self.news(beat, list, now)), &[repair.to]);
    }

    /// Sends a message, in as many datagrams as it takes, to each of `to`.
    pub(super) fn send_parts(&self, message: Message, to: &[SocketAddr]) {
        let parts = datagram::datagrams(message);
        for to in to {
            parts.iter().for_each(|bytes| self.send_bytes(bytes, *to));
        }
    }

    /// Sends a datagram to another daemon.
    pub(super) fn send_bytes(&self, bytes: &[u8], to: SocketAddr) {
        self.account().sent.add(bytes.len());
        self.count(metric::PEER_BYTES_OUT, bytes.len());
        if let Err(e) = self.peers.send(bytes, to) {
            log::debug!("a datagram to {to} was not sent: {e}");
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
