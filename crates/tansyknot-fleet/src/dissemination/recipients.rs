//! The recipients of the planner's updates: all daemons, in groups with one relay each, and the
//! daemons that need a repair because updates do not reach them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tansyknot_core::clock::Time;

use super::{
    heartbeat::HEARTBEAT_INTERVAL,
    peers::PeerEntry,
    planner_view::ReceivedState,
    relays::{self, Group, MAX_FOLLOWERS, RelayCandidate},
};

/// A daemon that has sent no demand for this long gets no more updates.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// A daemon that has sent no demand for more than two heartbeats is not used as a relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);
/// The time after which a heartbeat has reached every daemon: two hops of some milliseconds each,
/// through relays that share their processor with requests.
const DELIVERY_TIME: Duration = Duration::from_millis(200);
/// A daemon that misses this many heartbeats in a row gets a repair. Single heartbeats get lost now
/// and then.
const MISSED_HEARTBEAT_LIMIT: usize = 2;
/// Maximum number of daemons that get a repair in one step; others wait for the next step. Sending
/// many repairs at once would delay the updates to all other daemons, which would then need repairs
/// as well.
const MAX_REPAIRS_PER_STEP: usize = MAX_FOLLOWERS;
/// How long a daemon that did not reach its followers is not used as a relay. It may have lost the
/// connection to them and still reach the planner.
const RELAY_EXCLUSION: Duration = Duration::from_secs(4);
/// Minimum time between two repairs of one daemon: the round trip, and the time until the daemon's
/// next step.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

/// A daemon that gets the planner's updates.
#[derive(Clone, Debug)]
struct Peer {
    entry: PeerEntry,
    last_seen: Time,
    known: ReceivedState,
    /// Whether it has sent demand to this planner.
    has_reported: bool,
    /// Whether its last demand showed that it has missed heartbeats.
    misses_heartbeats: bool,
    repaired_at: Option<Time>,
    excluded_until: Time,
}

/// A daemon that lacks changes, and the state from which it needs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Repair {
    /// The daemon.
    pub to: SocketAddr,
    /// The updates that it has received.
    pub known: ReceivedState,
}

/// The daemons that get the planner's updates.
#[derive(Clone, Debug, Default)]
pub struct Recipients {
    peers: BTreeMap<SocketAddr, Peer>,
    groups: Vec<Group>,
    /// When the last heartbeats were sent, the newest first.
    heartbeats: Vec<Time>,
}

impl Recipients {
    /// Starts over with the daemons that an earlier planner has announced.
    pub fn begin(&mut self, entries: Vec<PeerEntry>, now: Time) {
        *self = Self::default();
        for entry in entries {
            self.peers.insert(entry.address, Peer::new(entry, now));
        }
        self.begin_heartbeat(now);
    }

    /// Records demand of a daemon; returns whether the daemon needs a repair.
    pub fn record_demand(
        &mut self,
        entry: PeerEntry,
        known: ReceivedState,
        fence: u64,
        now: Time,
    ) -> bool {
        let address = entry.address;
        let misses_heartbeats = self.has_missed_heartbeats(&known, fence, now);
        let peer = self.peers.entry(address).or_insert_with(|| Peer::new(entry.clone(), now));
        let repaired_at = peer.repaired_at;
        let excluded_until = peer.excluded_until;
        let has_reported = true;
        *peer = Peer {
            entry,
            last_seen: now,
            known,
            has_reported,
            misses_heartbeats,
            repaired_at,
            excluded_until,
        };
        peer.needs_repair(fence, now)
    }

    /// Returns whether a daemon with the state `known` has missed the last heartbeats that should
    /// have reached it.
    fn has_missed_heartbeats(&self, known: &ReceivedState, fence: u64, now: Time) -> bool {
        let last_update =
            now.saturating_sub(Duration::from_millis(known.last_update_age_ms.into()));
        let due =
            self.heartbeats.iter().filter(|heartbeat| now.since(**heartbeat) >= DELIVERY_TIME);
        let missed = due.filter(|heartbeat| **heartbeat > last_update).count();
        known.fence == fence && missed >= MISSED_HEARTBEAT_LIMIT
    }

    /// Begins a heartbeat: removes daemons that have timed out and divides the others into groups,
    /// without relays that do not reach their followers.
    pub fn begin_heartbeat(&mut self, now: Time) {
        self.heartbeats.insert(0, now);
        self.heartbeats.truncate(2 * MISSED_HEARTBEAT_LIMIT);
        self.peers.retain(|_, p| now.since(p.last_seen) < PEER_TIMEOUT);
        self.exclude_failing_relays(now);
        let candidates: Vec<RelayCandidate> =
            self.peers.values().map(|p| p.relay_candidate(now)).collect();
        self.groups = relays::groups(&candidates);
    }

    /// Excludes relays that do not reach their followers. If most relays seem to fail, the
    /// planner's own updates are lost, and other relays would not help.
    fn exclude_failing_relays(&mut self, now: Time) {
        let misses_heartbeats =
            |a: &&SocketAddr| self.peers.get(a).is_some_and(|p| p.misses_heartbeats);
        let fails = |group: &&Group| {
            let missing = group.followers.iter().filter(misses_heartbeats).count();
            missing * 2 > group.followers.len()
        };
        let failing: Vec<SocketAddr> = self.groups.iter().filter(fails).map(|g| g.relay).collect();
        if failing.len() * 2 > self.groups.len() {
            return;
        }
        for relay in failing {
            if let Some(relay) = self.peers.get_mut(&relay) {
                relay.excluded_until = now + RELAY_EXCLUSION;
            }
        }
    }

    /// Returns the groups to which updates are sent.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Returns daemons that need a repair now, those first that have waited longest, and records
    /// the repairs as sent.
    pub fn take_repairs(&mut self, fence: u64, now: Time) -> Vec<Repair> {
        let mut to_repair: Vec<(&SocketAddr, &mut Peer)> =
            self.peers.iter_mut().filter(|(_, p)| p.needs_repair(fence, now)).collect();
        to_repair.sort_by_key(|(_, p)| p.repaired_at);
        to_repair
            .into_iter()
            .take(MAX_REPAIRS_PER_STEP)
            .map(|(to, p)| {
                p.repaired_at = Some(now);
                Repair { to: *to, known: p.known }
            })
            .collect()
    }

    /// Returns the number of daemons.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether there are no daemons.
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
            last_seen: now,
            known: ReceivedState::default(),
            has_reported: false,
            misses_heartbeats: false,
            repaired_at: None,
            excluded_until: Time::default(),
        }
    }

    /// Returns whether the daemon needs a repair now.
    fn needs_repair(&self, fence: u64, now: Time) -> bool {
        let is_due = self.repaired_at.is_none_or(|at| now.since(at) >= REPAIR_INTERVAL);
        let lacks_changes =
            self.known.fence != fence || self.known.missing_to.is_some() || self.misses_heartbeats;
        let has_just_reported = now.since(self.last_seen) < HEARTBEAT_INTERVAL;
        self.has_reported && is_due && lacks_changes && has_just_reported
    }

    fn relay_candidate(&self, now: Time) -> RelayCandidate {
        RelayCandidate {
            address: self.entry.address,
            zone: self.entry.zone.clone(),
            link_mbps: self.entry.link_mbps,
            is_reliable: now.since(self.last_seen) < RELAY_TIMEOUT && now >= self.excluded_until,
        }
    }
}
