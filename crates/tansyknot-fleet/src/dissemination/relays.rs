//! The choice of relays, which forward the planner's updates to their followers.
//!
//! The planner alone makes this choice and puts the recipients into each datagram. Relays thus keep
//! no state, and a lost relay is left out from the next datagram on.

use std::{collections::BTreeMap, net::SocketAddr};

use tansyknot_core::name::ZoneName;
use xxhash_rust::xxh3;

/// Maximum number of followers of a relay, and of daemons that a planner serves without relays.
/// Their addresses, 8 bytes each, fit into a datagram beside the update. A planner of 340 daemons
/// then sends 17 datagrams instead of 339, and so does each relay: about the square root of the
/// fleet, which minimizes the load of the busiest sender.
pub const MAX_FOLLOWERS: usize = 20;

/// A daemon that gets updates and may be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The address at which it receives messages.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The rate of its network link in Mbit/s, if known.
    pub link_mbps: Option<u32>,
    /// Whether it is reliable enough to be a relay.
    pub is_reliable: bool,
}

/// A daemon to which the planner sends updates itself, and the followers to which it relays them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The daemon to which the planner sends updates.
    pub relay: SocketAddr,
    /// The rate of its network link in Mbit/s, if known.
    pub link_mbps: Option<u32>,
    /// Its followers, in the same zone.
    pub followers: Vec<SocketAddr>,
}

impl Group {
    /// Creates a group without followers.
    fn alone(candidate: &RelayCandidate) -> Self {
        Self { relay: candidate.address, link_mbps: candidate.link_mbps, followers: Vec::new() }
    }
}

/// Divides `candidates` into groups, so that no daemon sends more than [`MAX_FOLLOWERS`] datagrams
/// for one update, as long as there are enough reliable relays. An update crosses zones once per
/// group.
///
/// The relays of a zone are its daemons with the best links. Among equal links a hash decides, so
/// that relays stay the same under another planner.
pub fn groups(candidates: &[RelayCandidate]) -> Vec<Group> {
    if candidates.len() <= MAX_FOLLOWERS {
        return candidates.iter().map(Group::alone).collect();
    }
    let mut zones: BTreeMap<&ZoneName, Vec<&RelayCandidate>> = BTreeMap::new();
    for candidate in candidates {
        zones.entry(&candidate.zone).or_default().push(candidate);
    }
    zones.into_values().flat_map(groups_of_zone).collect()
}

fn groups_of_zone(mut candidates: Vec<&RelayCandidate>) -> Vec<Group> {
    candidates.sort_by_key(|candidate| {
        let link = candidate.link_mbps.unwrap_or(u32::MAX);
        (!candidate.is_reliable, std::cmp::Reverse(link), rank(candidate.address))
    });
    let reliable = candidates.iter().filter(|candidate| candidate.is_reliable).count();
    let wanted = candidates.len().div_ceil(1 + MAX_FOLLOWERS);
    if reliable == 0 {
        return candidates.into_iter().map(Group::alone).collect();
    }
    let followers = candidates.split_off(wanted.min(reliable));
    let mut groups: Vec<Group> = candidates.into_iter().map(Group::alone).collect();
    let relays = groups.len();
    // If there are too few reliable relays, the planner sends updates to the rest itself.
    let relayed = followers.len().min(relays * MAX_FOLLOWERS);
    for (n, candidate) in followers.iter().take(relayed).enumerate() {
        groups[n % relays].followers.push(candidate.address);
    }
    groups.extend(followers[relayed..].iter().map(|candidate| Group::alone(candidate)));
    groups
}

/// Returns the rank of a daemon, which is the same at every daemon.
pub fn rank(address: SocketAddr) -> u64 {
    rank_for(address, 0)
}

/// Returns the rank of a daemon for `hash`, which is the same at every daemon. Each `hash` gives
/// another order.
pub fn rank_for(address: SocketAddr, hash: u64) -> u64 {
    rank_text(&address.to_string(), hash)
}

/// Returns [`rank_for`] the daemon whose address is written as `address`.
pub(super) fn rank_text(address: &str, hash: u64) -> u64 {
    xxh3::xxh3_64_with_seed(address.as_bytes(), hash)
}
