//! Who passes the planner's news on, and whom the planner tells itself.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use tansyknot_core::clock::Time;
use tansyknot_fleet::dissemination::{
    peers::{self, PeerEntry, Peers},
    planner_view::ReceivedState,
    recipients::Recipients,
    relays::{self, Group, MAX_FOLLOWERS, RelayCandidate},
};
use yare::parameterized;

const BEAT: Duration = Duration::from_millis(300);
const FENCE: u64 = 7;

fn address(n: usize) -> SocketAddr {
    let (high, low) = ((n / 250) as u8, (n % 250) as u8);
    ([10, 0, high, low], 7000).into()
}

/// Returns the entry of a daemon: five zones, one link in twenty is good.
fn entry(n: usize) -> PeerEntry {
    let zone = format!("z{}", n % 5).as_str().into();
    let link_mbps = Some(if n % 20 < 5 && n < 100 { 200 } else { 20 });
    PeerEntry { address: address(n), zone, link_mbps }
}

fn seat(n: usize, is_reliable: bool) -> RelayCandidate {
    let PeerEntry { address, zone, link_mbps } = entry(n);
    RelayCandidate { address, zone, link_mbps, is_reliable }
}

/// Returns everyone that groups reach, each once.
fn reached(groups: &[Group]) -> BTreeSet<SocketAddr> {
    let all: Vec<SocketAddr> =
        groups.iter().flat_map(|g| g.followers.iter().copied().chain([g.relay])).collect();
    let set: BTreeSet<SocketAddr> = all.iter().copied().collect();
    assert_eq!(set.len(), all.len(), "nobody is told twice");
    set
}

#[parameterized(
    nine = { 8, 8 },
    twenty = { 20, 20 },
    seventy_seven = { 76, 5 },
    three_hundred = { 294, 15 },
    the_target = { 339, 20 },
)]
fn everyone_is_told_once_and_nobody_sends_much(daemons: usize, sends: usize) {
    let seats: Vec<RelayCandidate> = (0..daemons).map(|n| seat(n, true)).collect();
    let groups = relays::groups(&seats);
    assert_eq!(reached(&groups).len(), daemons);
    assert_eq!(groups.len(), sends);
    assert!(groups.iter().all(|g| g.followers.len() <= MAX_FOLLOWERS));
}

#[test]
fn relays_are_of_the_zone_and_have_its_best_links() {
    let seats: Vec<RelayCandidate> = (0..294).map(|n| seat(n, true)).collect();
    let zone = |a: &SocketAddr| seats.iter().find(|s| s.address == *a).map(|s| s.zone.clone());
    for group in relays::groups(&seats) {
        assert_eq!(group.link_mbps, Some(200));
        assert!(group.followers.iter().all(|a| zone(a) == zone(&group.relay)));
    }
}

#[test]
fn daemons_without_a_sound_relay_are_told_directly() {
    let seats: Vec<RelayCandidate> = (0..100).map(|n| seat(n, n % 5 != 0)).collect();
    let groups = relays::groups(&seats);
    assert_eq!(reached(&groups).len(), 100);
    let alone = groups.iter().filter(|g| g.followers.is_empty()).count();
    assert_eq!(alone, 20, "zone z0 has no sound daemon");
}

fn known(last_update_age_ms: u32) -> ReceivedState {
    ReceivedState {
        fence: FENCE,
        number: Some(3),
        version: 9,
        missing_to: None,
        last_update_age_ms,
    }
}

/// Returns an audience that all of `daemons` have spoken to at `now`.
fn audience(daemons: usize, now: Time) -> Recipients {
    let mut audience = Recipients::default();
    for n in 0..daemons {
        audience.record_demand(entry(n), known(0), FENCE, now);
    }
    audience.begin_heartbeat(now);
    audience
}

/// Lets a beat pass after which those whom `is_lost` names have not heard `beats` of them.
fn speak(audience: &mut Recipients, is_lost: impl Fn(usize) -> bool, beats: u32, now: Time) {
    for n in 0..294 {
        let silent = if is_lost(n) { BEAT * beats } else { Duration::ZERO };
        audience.record_demand(entry(n), known(silent.as_millis() as u32), FENCE, now);
    }
}

#[test]
fn relay_whose_followers_are_not_reached_is_replaced() {
    let mut now = Time::from_millis(10_000);
    let mut audience = audience(294, now);
    let lost = audience.groups()[0].clone();
    let is_lost = |n| lost.followers.contains(&address(n));
    let mut told = Vec::new();
    // It speaks to the planner all the same.
    for beat in 1..=3 {
        now = now + BEAT;
        speak(&mut audience, is_lost, beat, now);
        told.push(audience.take_repairs(FENCE, now).len());
        audience.begin_heartbeat(now);
    }
    assert_eq!(told, [0, 0, lost.followers.len()]);
    let relays: BTreeSet<SocketAddr> =
        audience.groups().iter().filter(|g| !g.followers.is_empty()).map(|g| g.relay).collect();
    assert!(!relays.contains(&lost.relay));
    assert_eq!(reached(audience.groups()).len(), 294);
}

#[test]
fn planner_that_was_late_takes_nobody_for_lost() {
    let begin = Time::from_millis(10_000);
    let mut audience = audience(294, begin);
    // It tells nothing for a second.
    let now = begin + Duration::from_millis(1_000);
    speak(&mut audience, |_| true, 3, now);
    assert!(audience.take_repairs(FENCE, now).is_empty());
}

#[test]
fn relays_stay_if_nobody_is_reached() {
    let mut now = Time::from_millis(10_000);
    let mut audience = audience(294, now);
    let before = audience.groups().to_vec();
    for beat in 1..=4 {
        now = now + BEAT;
        speak(&mut audience, |_| true, beat, now);
        assert!(audience.take_repairs(FENCE, now).len() <= MAX_FOLLOWERS);
        audience.begin_heartbeat(now);
    }
    assert_eq!(audience.groups(), before);
}

#[test]
fn relay_that_falls_silent_is_passed_over_within_three_beats() {
    let begin = Time::from_millis(10_000);
    let mut audience = audience(294, begin);
    let lost = audience.groups()[0].relay;
    for beat in 1..=3 {
        let now = begin + BEAT * beat;
        let others = (0..294).filter(|n| address(*n) != lost);
        others.for_each(|n| {
            audience.record_demand(entry(n), known(0), FENCE, now);
        });
        audience.begin_heartbeat(now);
    }
    let group = audience.groups().iter().find(|g| g.relay == lost);
    assert!(group.is_none_or(|g| g.followers.is_empty()));
}

#[test]
fn daemon_that_lacks_something_is_told_once_each_pause() {
    let now = Time::from_millis(10_000);
    let mut audience = audience(30, now);
    let lacks = ReceivedState { missing_to: Some(4), ..known(0) };
    assert!(audience.record_demand(entry(3), lacks, FENCE, now));
    assert_eq!(audience.take_repairs(FENCE, now).len(), 1);
    assert!(!audience.record_demand(entry(3), lacks, FENCE, now + Duration::from_millis(50)));
    assert!(audience.record_demand(entry(3), lacks, FENCE, now + Duration::from_millis(150)));
}

#[test]
fn next_planner_knows_whom_to_tell() {
    let now = Time::from_millis(10_000);
    let entries: Vec<PeerEntry> = (0..294).map(entry).collect();
    let mut peers = Peers::default();
    for beat in 0..17 {
        peers::heartbeat_slice(&entries, beat).into_iter().for_each(|entry| peers.add(entry, now));
    }
    let mut audience = Recipients::default();
    audience.begin(peers.all(now).cloned().collect(), now);
    assert_eq!(reached(audience.groups()).len(), 294);
}

#[test]
fn few_look_for_a_silent_planner_first_and_they_have_good_links() {
    let now = Time::from_millis(10_000);
    let mut peers = Peers::default();
    (0..295).for_each(|n| peers.add(entry(n), now));
    let mut turns: Vec<(usize, Option<u32>)> =
        (0..295).map(|n| (peers.rank_of(address(n), now), entry(n).link_mbps)).collect();
    turns.sort();
    let first: Vec<usize> = turns.iter().map(|(turn, _)| *turn).collect();
    assert_eq!(first, (0..295).collect::<Vec<usize>>(), "each has a turn of its own");
    assert!(turns[..25].iter().all(|(_, link)| *link == Some(200)));
}

#[test]
fn daemon_that_knows_nobody_looks_at_once() {
    assert_eq!(Peers::default().rank_of(address(1), Time::from_millis(10_000)), 0);
}
