//! The daemons of the fleet as the planner announces them, so that the next planner has its
//! recipients at once and most daemons need not search for the planner.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::{clock::Time, name::ZoneName};
use xxhash_rust::xxh3;

use super::{heartbeat::HEARTBEAT_INTERVAL, relays};

/// The planner announces every daemon once within this time, some of them with each heartbeat. A
/// daemon that started this long ago has the full list, and thus its recipients if it becomes the
/// planner.
pub const PEER_LIST_PERIOD: Duration = Duration::from_secs(5);
/// A daemon that was not announced for this long is removed. Two rounds of announcements may be
/// lost.
const PEER_EXPIRY: Duration = Duration::from_secs(16);
/// A daemon whose link has less than this share of the best known link's rate lets others take the
/// lease first.
const GOOD_LINK_SHARE: f64 = 0.5;

/// The number of daemons that follow the operators' configuration at the store, besides the planner. Two
/// of them, or one and the planner, may have lost the store at the same time.
const CONFIG_READERS: usize = 3;
/// How often they are chosen anew.
const CONFIG_READERS_INTERVAL: Duration = Duration::from_millis(1000);

/// The address, zone and link of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// The address at which it receives messages.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The rate of its network link in Mbit/s, if known.
    pub link_mbps: Option<u32>,
}

/// The daemons that were announced to this one.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    local_address: Option<SocketAddr>,
    announced: BTreeMap<SocketAddr, (PeerEntry, Time)>,
    /// The daemons that follow the configuration at the store, and when they were chosen.
    config_readers: Option<(Vec<SocketAddr>, Time)>,
}

impl Peers {
    /// Sets this daemon's own address.
    pub fn set_local_address(&mut self, address: SocketAddr) {
        self.local_address = Some(address);
    }

    /// Returns this daemon's own address.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.local_address
    }

    /// Returns whether this daemon is the one of all known daemons that ranks highest for `hash`.
    pub fn is_assigned_to_me(&self, hash: u64, now: Time) -> bool {
        let Some(me) = self.local_address else { return true };
        let weight = |address: &SocketAddr| (relays::rank_for(*address, hash), *address);
        self.all(now).all(|peer| weight(&peer.address) <= weight(&me))
    }

    /// Returns the one of all known daemons that ranks highest for `hash`; `None` if this daemon
    /// knows no other.
    pub fn assigned_to(&self, hash: u64, now: Time) -> Option<SocketAddr> {
        let me = self.local_address?;
        let others = self.all(now).map(|p| p.address).filter(|address| *address != me);
        let weight = |address: &SocketAddr| (relays::rank_for(*address, hash), *address);
        let best = others.max_by_key(weight)?;
        Some(if weight(&best) > weight(&me) { best } else { me })
    }

    /// Returns the `count` other daemons that rank highest for `hash`.
    pub fn highest_ranked(&self, hash: u64, count: usize, now: Time) -> Vec<SocketAddr> {
        let others = self.all(now).map(|p| p.address).filter(|a| Some(*a) != self.local_address);
        let mut ranked: Vec<(u64, SocketAddr)> =
            others.map(|address| (relays::rank_for(address, hash), address)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().take(count).map(|(_, address)| address).collect()
    }

    /// Returns the ranking of this daemon among those that are known now.
    pub fn ranking(&self, now: Time) -> Ranking {
        let others = self.all(now).map(|p| p.address).filter(|a| Some(*a) != self.local_address);
        let others: Vec<String> = others.map(|address| address.to_string()).collect();
        let me = self.local_address.map_or_else(String::new, |address| address.to_string());
        let id = xxh3::xxh3_64_with_seed(others.concat().as_bytes(), relays::rank_text(&me, 0));
        Ranking { id, me, others }
    }

    /// Records the announcement of a daemon.
    pub fn add(&mut self, entry: PeerEntry, now: Time) {
        self.announced.insert(entry.address, (entry, now));
    }

    /// Returns the daemons whose last announcement has not expired.
    pub fn all(&self, now: Time) -> impl Iterator<Item = &PeerEntry> {
        let is_recent = move |at: &Time| now.since(*at) < PEER_EXPIRY;
        self.announced.values().filter(move |(_, at)| is_recent(at)).map(|(entry, _)| entry)
    }

    /// Removes the daemons whose last announcement has expired.
    pub fn forget(&mut self, now: Time) {
        self.announced.retain(|_, (_, at)| now.since(*at) < PEER_EXPIRY);
    }

    /// Returns how many daemons come before this one, by [`Peers::rank_of`].
    pub fn own_rank(&self, now: Time) -> usize {
        self.local_address.map_or(0, |me| self.rank_of(me, now))
    }

    /// Returns how many daemons should check on an unresponsive planner before `me` does: those
    /// with good links come first, in the order of a hash. Returns 0 if `me` is not known.
    pub fn rank_of(&self, me: SocketAddr, now: Time) -> usize {
        let Some((own_entry, _)) = self.announced.get(&me) else { return 0 };
        let is_poor = self.poor_links(now);
        let order = |p: &PeerEntry| (is_poor(p), relays::rank(p.address));
        let own = order(own_entry);
        self.all(now).filter(|p| order(p) < own).count()
    }

    /// Returns the daemons that follow the operators' configuration at the store for all daemons:
    /// in different zones if possible, those with good links first, in the order of a hash.
    pub fn config_readers(&mut self, now: Time) -> &[SocketAddr] {
        let is_current = |at: &Time| now.since(*at) < CONFIG_READERS_INTERVAL;
        if !self.config_readers.as_ref().is_some_and(|(_, at)| is_current(at)) {
            self.config_readers = Some((self.choose_config_readers(now), now));
        }
        self.config_readers.as_ref().map_or(&[], |(readers, _)| readers)
    }

    fn choose_config_readers(&self, now: Time) -> Vec<SocketAddr> {
        let is_poor = self.poor_links(now);
        let order = |p: &&PeerEntry| (is_poor(p), relays::rank(p.address));
        let mut peers: Vec<&PeerEntry> = self.all(now).collect();
        peers.sort_by_cached_key(order);
        let mut chosen_in_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        let mut ranked: Vec<_> = peers
            .into_iter()
            .map(|p| {
                let before = chosen_in_zone.entry(&p.zone).or_default();
                *before += 1;
                (is_poor(p), *before, p.address)
            })
            .collect();
        // The sort is stable, so that the hash still decides among equals.
        ranked.sort_by_key(|(is_poor, before, _)| (*is_poor, *before));
        ranked.into_iter().map(|(_, _, address)| address).take(CONFIG_READERS).collect()
    }

    /// Returns a function that tells whether a daemon's link is much slower than the best one.
    fn poor_links(&self, now: Time) -> impl Fn(&PeerEntry) -> bool {
        let best = self.all(now).filter_map(|p| p.link_mbps).max().map(f64::from);
        move |p| {
            let (Some(link), Some(best)) = (p.link_mbps, best) else { return false };
            f64::from(link) < best * GOOD_LINK_SHARE
        }
    }
}

/// Ranks this daemon among the others, in another order for each hash.
#[derive(Clone, Debug)]
pub struct Ranking {
    /// Identifies the daemons that are ranked.
    pub id: u64,
    me: String,
    others: Vec<String>,
}

impl Ranking {
    /// Returns the number of daemons, including this one.
    pub fn daemons(&self) -> usize {
        self.others.len() + 1
    }

    /// Returns how many daemons come before this one for `hash`.
    pub fn count_before(&self, hash: u64) -> usize {
        let own = (relays::rank_text(&self.me, hash), &self.me);
        let is_before = |other: &&String| (relays::rank_text(other, hash), *other) > own;
        self.others.iter().filter(is_before).count()
    }
}

/// Returns the part of `entries` that is announced with heartbeat number `heartbeat`.
pub fn heartbeat_slice(entries: &[PeerEntry], heartbeat: u64) -> Vec<PeerEntry> {
    let heartbeats = (PEER_LIST_PERIOD.as_millis() / HEARTBEAT_INTERVAL.as_millis()) as usize;
    let size = entries.len().div_ceil(heartbeats).max(1);
    let parts = entries.len().div_ceil(size).max(1);
    let part = (heartbeat % parts as u64) as usize;
    entries.chunks(size).nth(part).unwrap_or_default().to_vec()
}
