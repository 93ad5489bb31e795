//! Tests which daemons relay the planner's updates, and which ones the planner sends to directly.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use tansyknot_core::clock::Time;
use tansyknot_fleet::dissemination::{
    peers::{self, PeerEntry, Peers},
    planner_view::ReceivedState,
    recipients::Recipients,
    relays::{self, Group, MAX_FOLLOWERS, RelayCandidate},
};
use yare::parameterized;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
const FENCE: u64 = 7;

fn address(n: usize) -> SocketAddr {
    let (high, low) = ((n / 250) as u8, (n % 250) as u8);
    ([10, 0, high, low], 7000).into()
}

/// Returns the entry of daemon `n`, in one of five zones. Five in every twenty of the first hundred
/// daemons have a good link.
fn entry(n: usize) -> PeerEntry {
    let zone = format!("z{}", n % 5).as_str().into();
    let link_mbps = Some(if n % 20 < 5 && n < 100 { 200 } else { 20 });
    PeerEntry { address: address(n), zone, link_mbps }
}

fn candidate(n: usize, is_reliable: bool) -> RelayCandidate {
    let PeerEntry { address, zone, link_mbps } = entry(n);
    RelayCandidate { address, zone, link_mbps, is_reliable }
}

/// Returns the daemons that the groups reach, and asserts that each is reached once.
fn reached(groups: &[Group]) -> BTreeSet<SocketAddr> {
    let all: Vec<SocketAddr> =
        groups.iter().flat_map(|g| g.followers.iter().copied().chain([g.relay])).collect();
    let set: BTreeSet<SocketAddr> = all.iter().copied().collect();
    assert_eq!(set.len(), all.len(), "no daemon is reached twice");
    set
}

#[parameterized(
    nine = { 8, 8 },
    twenty = { 20, 20 },
    seventy_seven = { 76, 5 },
    three_hundred = { 294, 15 },
    three_hundred_forty = { 339, 20 },
)]
fn every_daemon_is_reached_once_and_sends_are_bounded(daemons: usize, sends: usize) {
    let candidates: Vec<RelayCandidate> = (0..daemons).map(|n| candidate(n, true)).collect();
    let groups = relays::groups(&candidates);
    assert_eq!(reached(&groups).len(), daemons);
    assert_eq!(groups.len(), sends);
    assert!(groups.iter().all(|g| g.followers.len() <= MAX_FOLLOWERS));
}

#[test]
fn relays_are_in_the_zone_of_their_followers_and_have_its_best_links() {
    let candidates: Vec<RelayCandidate> = (0..294).map(|n| candidate(n, true)).collect();
    let zone = |a: &SocketAddr| candidates.iter().find(|s| s.address == *a).map(|s| s.zone.clone());
    for group in relays::groups(&candidates) {
        assert_eq!(group.link_mbps, Some(200));
        assert!(group.followers.iter().all(|a| zone(a) == zone(&group.relay)));
    }
}

#[test]
fn daemons_without_a_reliable_relay_are_sent_updates_directly() {
    let candidates: Vec<RelayCandidate> = (0..100).map(|n| candidate(n, n % 5 != 0)).collect();
    let groups = relays::groups(&candidates);
    assert_eq!(reached(&groups).len(), 100);
    let alone = groups.iter().filter(|g| g.followers.is_empty()).count();
    assert_eq!(alone, 20, "zone z0 has no reliable daemon");
}

fn received(last_update_age_ms: u32) -> ReceivedState {
    ReceivedState {
        fence: FENCE,
        number: Some(3),
        version: 9,
        missing_to: None,
        last_update_age_ms,
    }
}

/// Returns recipients that have all reported their demand at `now`.
fn recipients_at(daemons: usize, now: Time) -> Recipients {
    let mut recipients = Recipients::default();
    for n in 0..daemons {
        recipients.record_demand(entry(n), received(0), FENCE, now);
    }
    recipients.begin_heartbeat(now);
    recipients
}

/// Records the demand of all daemons. Those that `is_lost` selects report that they have missed the
/// updates of `missed` heartbeats.
fn record_demands(
    recipients: &mut Recipients,
    is_lost: impl Fn(usize) -> bool,
    missed: u32,
    now: Time,
) {
    for n in 0..294 {
        let update_age = if is_lost(n) { HEARTBEAT_INTERVAL * missed } else { Duration::ZERO };
        recipients.record_demand(entry(n), received(update_age.as_millis() as u32), FENCE, now);
    }
}

#[test]
fn relay_whose_followers_are_not_reached_is_replaced() {
    let mut now = Time::from_millis(10_000);
    let mut recipients = recipients_at(294, now);
    let lost = recipients.groups()[0].clone();
    let is_lost = |n| lost.followers.contains(&address(n));
    let mut repairs = Vec::new();
    // The relay itself still reports to the planner.
    for heartbeat in 1..=3 {
        now = now + HEARTBEAT_INTERVAL;
        record_demands(&mut recipients, is_lost, heartbeat, now);
        repairs.push(recipients.take_repairs(FENCE, now).len());
        recipients.begin_heartbeat(now);
    }
    assert_eq!(repairs, [0, 0, lost.followers.len()]);
    let relays: BTreeSet<SocketAddr> =
        recipients.groups().iter().filter(|g| !g.followers.is_empty()).map(|g| g.relay).collect();
    assert!(!relays.contains(&lost.relay));
    assert_eq!(reached(recipients.groups()).len(), 294);
}

#[test]
fn late_planner_considers_no_daemon_lost() {
    let begin = Time::from_millis(10_000);
    let mut recipients = recipients_at(294, begin);
    // The planner sends nothing for 1 s.
    let now = begin + Duration::from_millis(1_000);
    record_demands(&mut recipients, |_| true, 3, now);
    assert!(recipients.take_repairs(FENCE, now).is_empty());
}

#[test]
fn relays_stay_if_no_daemon_is_reached() {
    let mut now = Time::from_millis(10_000);
    let mut recipients = recipients_at(294, now);
    let before = recipients.groups().to_vec();
    for heartbeat in 1..=4 {
        now = now + HEARTBEAT_INTERVAL;
        record_demands(&mut recipients, |_| true, heartbeat, now);
        assert!(recipients.take_repairs(FENCE, now).len() <= MAX_FOLLOWERS);
        recipients.begin_heartbeat(now);
    }
    assert_eq!(recipients.groups(), before);
}

#[test]
fn unresponsive_relay_is_replaced_within_three_heartbeats() {
    let begin = Time::from_millis(10_000);
    let mut recipients = recipients_at(294, begin);
    let lost = recipients.groups()[0].relay;
    for heartbeat in 1..=3 {
        let now = begin + HEARTBEAT_INTERVAL * heartbeat;
        let others = (0..294).filter(|n| address(*n) != lost);
        others.for_each(|n| {
            recipients.record_demand(entry(n), received(0), FENCE, now);
        });
        recipients.begin_heartbeat(now);
    }
    let group = recipients.groups().iter().find(|g| g.relay == lost);
    assert!(group.is_none_or(|g| g.followers.is_empty()));
}

#[test]
fn daemon_with_a_gap_is_sent_one_repair_per_pause() {
    let now = Time::from_millis(10_000);
    let mut recipients = recipients_at(30, now);
    let with_gap = ReceivedState { missing_to: Some(4), ..received(0) };
    assert!(recipients.record_demand(entry(3), with_gap, FENCE, now));
    assert_eq!(recipients.take_repairs(FENCE, now).len(), 1);
    assert!(!recipients.record_demand(entry(3), with_gap, FENCE, now + Duration::from_millis(50)));
    assert!(recipients.record_demand(entry(3), with_gap, FENCE, now + Duration::from_millis(150)));
}

#[test]
fn next_planner_has_all_recipients() {
    let now = Time::from_millis(10_000);
    let entries: Vec<PeerEntry> = (0..294).map(entry).collect();
    let mut peers = Peers::default();
    for heartbeat in 0..17 {
        peers::heartbeat_slice(&entries, heartbeat)
            .into_iter()
            .for_each(|entry| peers.add(entry, now));
    }
    let mut recipients = Recipients::default();
    recipients.begin(peers.all(now).cloned().collect(), now);
    assert_eq!(reached(recipients.groups()).len(), 294);
}

#[test]
fn daemons_with_good_links_check_an_unresponsive_planner_first() {
    let now = Time::from_millis(10_000);
    let mut peers = Peers::default();
    (0..295).for_each(|n| peers.add(entry(n), now));
    let mut ranks: Vec<(usize, Option<u32>)> =
        (0..295).map(|n| (peers.rank_of(address(n), now), entry(n).link_mbps)).collect();
    ranks.sort();
    let first: Vec<usize> = ranks.iter().map(|(rank, _)| *rank).collect();
    assert_eq!(first, (0..295).collect::<Vec<usize>>(), "each daemon has a rank of its own");
    assert!(ranks[..25].iter().all(|(_, link)| *link == Some(200)));
}

#[test]
fn daemon_without_peers_checks_at_once() {
    assert_eq!(Peers::default().rank_of(address(1), Time::from_millis(10_000)), 0);
}
