//! Whom the planner tells: the daemons, in groups with a relay each, and those that the groups do
//! not reach.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tansyknot_core::clock::Time;

use super::{
    followed::Known,
    pace::BEAT,
    peers::PeerEntry,
    relays::{self, FOLLOWERS_MOST, Group, Seat},
};

/// A daemon that has been silent this long is not told any more.
const SPAN: Duration = Duration::from_secs(2);
/// A daemon that has been silent for more than two beats is no relay.
const SOUND_SPAN: Duration = Duration::from_millis(700);
/// A beat has reached everyone this long after it was told: two hops of some ms each, and relays
/// that share their processor with requests.
const ON_THE_WAY: Duration = Duration::from_millis(200);
/// A daemon that lacks as many beats in a row is told directly. One is lost now and then.
const BEATS_LACKED: usize = 2;
/// Daemons that are told something of their own at once. The others wait for the next step: if many
/// lack something, a planner that told all of them at once would not speak to anyone else
/// meanwhile, and more would lack something then.
const REPAIRS_AT_ONCE: usize = FOLLOWERS_MOST;
/// A daemon whose followers were not reached is no relay for this long; it may be cut off from them
/// and not from the planner.
const DISTRUST_SPAN: Duration = Duration::from_secs(4);
/// What is missing at a daemon is sent to it again no sooner than this: the way there and back,
/// and what the daemon's own pace adds.
const REPAIR_PAUSE: Duration = Duration::from_millis(100);

/// A daemon that is told.
#[derive(Clone, Debug)]
struct Peer {
    entry: PeerEntry,
    heard: Time,
    known: Known,
    /// Whether it has spoken to this planner.
    has_spoken: bool,
    /// Whether it lacked beats that it should have heard when it spoke last.
    is_unreached: bool,
    repaired: Option<Time>,
    distrusted_until: Time,
}

/// What a daemon lacks, from where it is to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repair {
    /// The daemon.
    pub to: SocketAddr,
    /// What it has.
    pub known: Known,
}

/// The daemons that the planner tells.
#[derive(Clone, Debug, Default)]
pub struct Audience {
    peers: BTreeMap<SocketAddr, Peer>,
    groups: Vec<Group>,
    /// When the last beats were told, the newest first.
    beats: Vec<Time>,
}

impl Audience {
    /// Begins with the daemons that an earlier planner has told of.
    pub fn begin(&mut self, entries: Vec<PeerEntry>, now: Time) {
        *self = Self::default();
        for entry in entries {
            self.peers.insert(entry.address, Peer::new(entry, now));
        }
        self.regroup(now);
    }

    /// Takes in that a daemon has spoken; tells whether it needs an answer of its own.
    pub fn hear(&mut self, entry: PeerEntry, known: Known, fence: u64, now: Time) -> bool {
        let address = entry.address;
        let is_unreached = self.lacks_beats(&known, fence, now);
        let peer = self.peers.entry(address).or_insert_with(|| Peer::new(entry.clone(), now));
        let repaired = peer.repaired;
        let distrusted_until = peer.distrusted_until;
        let has_spoken = true;
        *peer =
            Peer { entry, heard: now, known, has_spoken, is_unreached, repaired, distrusted_until };
        peer.lacks(fence, now)
    }

    /// Tells whether a daemon that knows this now has not heard the last beats on their way.
    fn lacks_beats(&self, known: &Known, fence: u64, now: Time) -> bool {
        let last = now.before(Duration::from_millis(known.silent_ms.into()));
        let due = self.beats.iter().filter(|beat| now.since(**beat) >= ON_THE_WAY);
        let lacked = due.filter(|beat| **beat > last).count();
        known.fence == fence && lacked >= BEATS_LACKED
    }

    /// Begins a beat: forgets silent daemons and divides the others into groups, without relays
    /// that do not reach theirs.
    pub fn regroup(&mut self, now: Time) {
        self.beats.insert(0, now);
        self.beats.truncate(2 * BEATS_LACKED);
        self.peers.retain(|_, p| now.since(p.heard) < SPAN);
        self.distrust(now);
        let seats: Vec<Seat> = self.peers.values().map(|p| p.seat(now)).collect();
        self.groups = relays::groups(&seats);
    }

    /// Passes relays over that do not reach theirs. If that seems so of most, it is the planner
    /// that is not heard, and other relays would not help.
    fn distrust(&mut self, now: Time) {
        let is_unreached = |a: &&SocketAddr| self.peers.get(a).is_some_and(|p| p.is_unreached);
        let fails = |group: &&Group| {
            let unreached = group.followers.iter().filter(is_unreached).count();
            unreached * 2 > group.followers.len()
        };
        let failing: Vec<SocketAddr> = self.groups.iter().filter(fails).map(|g| g.relay).collect();
        if failing.len() * 2 > self.groups.len() {
            return;
        }
        for relay in failing {
            if let Some(relay) = self.peers.get_mut(&relay) {
                relay.distrusted_until = now + DISTRUST_SPAN;
            }
        }
    }

    /// Returns whom to tell what is new.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns some of the daemons that lack what others have been told, those first that have
    /// waited longest, and takes them for told again.
    pub fn repairs(&mut self, fence: u64, now: Time) -> Vec<Repair> {
        let mut lacking: Vec<(&SocketAddr, &mut Peer)> =
            self.peers.iter_mut().filter(|(_, p)| p.lacks(fence, now)).collect();
        lacking.sort_by_key(|(_, p)| p.repaired);
        lacking
            .into_iter()
            .take(REPAIRS_AT_ONCE)
            .map(|(to, p)| {
                p.repaired = Some(now);
                Repair { to: *to, known: p.known }
            })
            .collect()
    }

    /// Returns how many daemons there are.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the daemons.
    pub fn entries(&self) -> Vec<PeerEntry> {
        self.peers.values().map(|p| p.entry.clone()).collect()
    }
}

impl Peer {
    fn new(entry: PeerEntry, now: Time) -> Self {
        Self {
            entry,
            heard: now,
            known: Known::default(),
            has_spoken: false,
            is_unreached: false,
            repaired: None,
            distrusted_until: Time::default(),
        }
    }

    /// Tells whether it is to be told something of its own now.
    fn lacks(&self, fence: u64, now: Time) -> bool {
        let is_due = self.repaired.is_none_or(|at| now.since(at) >= REPAIR_PAUSE);
        let lacks =
            self.known.fence != fence || self.known.missing_to.is_some() || self.is_unreached;
        let has_just_spoken = now.since(self.heard) < BEAT;
        self.has_spoken && is_due && lacks && has_just_spoken
    }

    fn seat(&self, now: Time) -> Seat {
        Seat {
            address: self.entry.address,
            zone: self.entry.zone.clone(),
            link_mbps: self.entry.link_mbps,
            is_sound: now.since(self.heard) < SOUND_SPAN && now >= self.distrusted_until,
        }
    }
}
