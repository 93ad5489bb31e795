//! The daemons of the fleet as the planner tells of them, so that the next one knows whom to tell
//! and most of them need not look for it.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tansyknot_core::{clock::Time, name::ZoneName};

use super::{pace::BEAT, relays};

/// All daemons are told of once within this span, some with each beat; a daemon that has started
/// could then take the lease with the fleet at hand.
pub const TOLD_WITHIN: Duration = Duration::from_secs(5);
/// A daemon that has not been told of for longer is forgotten: two rounds may have been lost.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(16);
/// A daemon with less than this share of the best link known leaves the lease to others.
const GOOD_LINK_SHARE: f64 = 0.5;

/// A daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// Where it hears.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its link in Mbit/s, if it is known.
    pub link_mbps: Option<u32>,
}

/// The daemons that this one knows of.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    me: Option<SocketAddr>,
    known: BTreeMap<SocketAddr, (PeerEntry, Time)>,
}

impl Peers {
    /// Says where this daemon itself hears.
    pub fn set_me(&mut self, address: SocketAddr) {
        self.me = Some(address);
    }

    /// Tells whether this daemon is the one among those known that `hash` falls to.
    pub fn falls_to_me(&self, hash: u64, now: Time) -> bool {
        let Some(me) = self.me else { return true };
        let weight = |address: &SocketAddr| (relays::rank_for(*address, hash), *address);
        self.all(now).all(|peer| weight(&peer.address) <= weight(&me))
    }

    /// Returns the one of all daemons known that `hash` falls to; `None` if no other one is known.
    pub fn chosen(&self, hash: u64, now: Time) -> Option<SocketAddr> {
        let me = self.me?;
        let others = self.all(now).map(|p| p.address).filter(|address| *address != me);
        let weight = |address: &SocketAddr| (relays::rank_for(*address, hash), *address);
        let best = others.max_by_key(weight)?;
        Some(if weight(&best) > weight(&me) { best } else { me })
    }

    /// Takes in that a daemon is there.
    pub fn add(&mut self, entry: PeerEntry, now: Time) {
        self.known.insert(entry.address, (entry, now));
    }

    /// Returns the daemons told of lately.
    pub fn all(&self, now: Time) -> impl Iterator<Item = &PeerEntry> {
        let is_recent = move |at: &Time| now.since(*at) < FORGOTTEN_AFTER;
        self.known.values().filter(move |(_, at)| is_recent(at)).map(|(entry, _)| entry)
    }

    /// Forgets the daemons that have not been told of for long.
    pub fn forget(&mut self, now: Time) {
        self.known.retain(|_, (_, at)| now.since(*at) < FORGOTTEN_AFTER);
    }

    /// Returns how many daemons should look for a silent planner before `me` does: those with good
    /// links first, in the order of a hash. 0 if nobody is known.
    pub fn before(&self, me: SocketAddr, now: Time) -> usize {
        let Some((mine, _)) = self.known.get(&me) else { return 0 };
        let best = self.all(now).filter_map(|p| p.link_mbps).max().map(f64::from);
        let is_poor = |p: &PeerEntry| {
            let (Some(link), Some(best)) = (p.link_mbps, best) else { return false };
            f64::from(link) < best * GOOD_LINK_SHARE
        };
        let order = |p: &PeerEntry| (is_poor(p), relays::rank(p.address));
        let own = order(mine);
        self.all(now).filter(|p| order(p) < own).count()
    }
}

/// Returns the part of `entries` that is told with beat `beat`.
pub fn slice(entries: &[PeerEntry], beat: u64) -> Vec<PeerEntry> {
    let beats = (TOLD_WITHIN.as_millis() / BEAT.as_millis()) as usize;
    let size = entries.len().div_ceil(beats).max(1);
    let parts = entries.len().div_ceil(size).max(1);
    let part = (beat % parts as u64) as usize;
    entries.chunks(size).nth(part).unwrap_or_default().to_vec()
}
