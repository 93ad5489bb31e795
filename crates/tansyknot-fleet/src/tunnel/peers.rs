//! Choice of the daemon through which a connection is opened.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rand::{Rng, seq::IndexedRandom};
use tansyknot_core::{clock::Time, name::ZoneName};

use crate::dissemination::peers::PeerEntry;

/// A daemon that has recently opened a connection is preferred for this long.
const PROVEN_DURATION: Duration = Duration::from_secs(2);
/// A daemon that could not help is not asked for this long.
const AVOID_DURATION: Duration = Duration::from_secs(1);
/// A daemon without room for a tunnel is not asked for this long.
const BUSY_DURATION: Duration = Duration::from_millis(250);
/// The load, in tunnels, that a daemon in another availability zone is charged.
const CROSS_ZONE_TUNNELS: u32 = 1;
/// Entries without a tunnel are dropped after this long.
const EXPIRY: Duration = Duration::from_secs(16);

/// Why a daemon could not open a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unhelpful {
    /// It did not respond, or reaches no target itself.
    Unreachable,
    /// It had no room.
    Busy,
}

/// What this daemon knows of other daemons as its way to the targets.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    peers: HashMap<SocketAddr, Peer>,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    tunnels: u32,
    proven_until: Time,
    avoided_until: Time,
    used_at: Time,
}

impl TunnelPeers {
    /// Chooses one of `candidates` that is not in `tried`: the one with the fewest tunnels of this
    /// daemon among those that have recently helped and one more, so that load spreads.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = &'a PeerEntry>,
        zone: Option<&ZoneName>,
        tried: &[SocketAddr],
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let (proven, others): (Vec<&PeerEntry>, Vec<&PeerEntry>) = candidates
            .filter(|c| !tried.contains(&c.address) && !self.is_avoided(c.address, now))
            .partition(|c| self.is_proven(c.address, now));
        let cost = |c: &&PeerEntry| {
            let distance = if zone == Some(&c.zone) { 0 } else { CROSS_ZONE_TUNNELS };
            self.peers.get(&c.address).map_or(0, |p| p.tunnels) + distance
        };
        let near: Vec<&PeerEntry> =
            others.iter().copied().filter(|c| zone == Some(&c.zone)).collect();
        let unproven = near.choose(rng).or_else(|| others.choose(rng)).copied();
        proven.into_iter().chain(unproven).min_by_key(cost).map(|c| c.address)
    }

    /// Returns the daemon that has helped most recently.
    pub fn proven(&self, now: Time) -> Option<SocketAddr> {
        let proven = self.peers.iter().filter(|(_, p)| now < p.proven_until);
        proven.max_by_key(|(_, p)| p.proven_until).map(|(address, _)| *address)
    }

    /// Records that a daemon has opened a tunnel.
    pub fn record_opened(&mut self, address: SocketAddr, now: Time) {
        self.peers.retain(|_, p| p.tunnels > 0 || now.since(p.used_at) < EXPIRY);
        let peer = self.peers.entry(address).or_default();
        peer.tunnels += 1;
        peer.proven_until = now + PROVEN_DURATION;
        peer.avoided_until = Time::default();
        peer.used_at = now;
    }

    /// Records that a tunnel through a daemon has ended.
    pub fn record_closed(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.tunnels = peer.tunnels.saturating_sub(1);
        }
    }

    /// Records that a daemon could not help.
    pub fn record_unhelpful(&mut self, address: SocketAddr, reason: Unhelpful, now: Time) {
        let peer = self.peers.entry(address).or_default();
        peer.proven_until = Time::default();
        peer.used_at = now;
        peer.avoided_until = now
            + match reason {
                Unhelpful::Unreachable => AVOID_DURATION,
                Unhelpful::Busy => BUSY_DURATION,
            };
    }

    /// Records that another daemon has named this one as helpful, unless it has failed here.
    pub fn record_hint(&mut self, address: SocketAddr, now: Time) {
        let peer = self.peers.entry(address).or_default();
        if now >= peer.avoided_until {
            peer.proven_until = now + PROVEN_DURATION;
            peer.used_at = now;
        }
    }

    fn is_avoided(&self, address: SocketAddr, now: Time) -> bool {
        self.peers.get(&address).is_some_and(|p| now < p.avoided_until)
    }

    fn is_proven(&self, address: SocketAddr, now: Time) -> bool {
        self.peers.get(&address).is_some_and(|p| now < p.proven_until)
    }
}
