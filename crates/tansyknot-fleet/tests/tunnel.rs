//! Tests of tunnels between daemons: the framing, and the choice of the daemon.

use std::net::SocketAddr;

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_core::{clock::Time, name::ZoneName};
use tansyknot_fleet::{
    dissemination::peers::PeerEntry,
    tunnel::{
        frame::{self, Decoder, End},
        peers::{TunnelPeers, Unhelpful},
    },
};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

#[parameterized(closed = { End::Closed }, reset = { End::Reset })]
fn content_and_end_survive_any_split(end: End) {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let content: Vec<u8> = (0..rng.random_range(0..5000)).map(|_| rng.random()).collect();
        let mut sent = Vec::new();
        let mut rest = content.as_slice();
        while !rest.is_empty() {
            let (part, tail) = rest.split_at(rng.random_range(1..=rest.len()));
            frame::write_data(&mut sent, part).expect("a buffer can be written");
            rest = tail;
        }
        frame::write_end(&mut sent, end).expect("a buffer can be written");
        let (mut decoder, mut received, mut rest) = (Decoder::default(), Vec::new(), &sent[..]);
        while !rest.is_empty() {
            assert_eq!(decoder.end(), None, "seed {seed}");
            let (part, tail) = rest.split_at(rng.random_range(1..=rest.len()));
            let mut part = part.to_vec();
            let length = decoder.decode(&mut part).expect("the frames are valid");
            received.extend_from_slice(&part[..length]);
            rest = tail;
        }
        assert_eq!((received, decoder.end()), (content, Some(end)), "seed {seed}");
    }
}

#[test]
fn frame_that_is_too_long_is_rejected() {
    let mut bytes = 20_000_u32.to_le_bytes();
    assert!(Decoder::default().decode(&mut bytes).is_err());
}

fn peer(n: u8, zone: &str) -> PeerEntry {
    let address = ([10, 0, 0, n], 7000).into();
    PeerEntry { address, zone: ZoneName::from(zone), link_mbps: None }
}

fn choose(peers: &TunnelPeers, entries: &[PeerEntry], ms: u64) -> Option<SocketAddr> {
    let zone = ZoneName::from("z1");
    let mut rng = StdRng::seed_from_u64(ms);
    peers.choose(entries.iter(), Some(&zone), &[], at(ms), &mut rng)
}

#[test]
fn tunnels_spread_over_the_daemons_that_can_help() {
    let entries: Vec<PeerEntry> = (0..8).map(|n| peer(n, "z1")).collect();
    let mut peers = TunnelPeers::default();
    let mut opened = [0; 8];
    for ms in 0..400 {
        let address = choose(&peers, &entries, ms).expect("some daemon can be asked");
        let n = entries.iter().position(|e| e.address == address).expect("it is known");
        if n < 4 {
            peers.record_unhelpful(address, Unhelpful::Unreachable, at(ms));
        } else {
            peers.record_opened(address, at(ms));
            opened[n] += 1;
        }
    }
    let used = &opened[4..];
    let (least, most) = (used.iter().min(), used.iter().max());
    assert!(opened[..4].iter().all(|n| *n == 0));
    assert!(most <= least.map(|n| n + 2).as_ref(), "{opened:?}");
}

#[test]
fn daemon_that_another_one_has_named_is_asked_first() {
    let entries: Vec<PeerEntry> = (0..200).map(|n| peer(n, "z2")).collect();
    let mut peers = TunnelPeers::default();
    for entry in &entries[..199] {
        peers.record_unhelpful(entry.address, Unhelpful::Unreachable, at(0));
    }
    peers.record_hint(entries[199].address, at(1));
    assert_eq!(choose(&peers, &entries, 2), Some(entries[199].address));
    peers.record_hint(entries[0].address, at(3));
    assert_eq!(choose(&peers, &entries, 4), Some(entries[199].address), "it has failed here");
}

#[test]
fn daemon_of_the_same_zone_is_asked_first() {
    let entries = [peer(1, "z2"), peer(2, "z1"), peer(3, "z2")];
    assert_eq!(choose(&TunnelPeers::default(), &entries, 0), Some(entries[1].address));
}

#[parameterized(
    unreachable = { Unhelpful::Unreachable, 900, 1100 },
    busy = { Unhelpful::Busy, 200, 300 },
)]
fn daemon_that_could_not_help_is_asked_again_later(reason: Unhelpful, avoided: u64, asked: u64) {
    let entries = [peer(1, "z1")];
    let mut peers = TunnelPeers::default();
    peers.record_unhelpful(entries[0].address, reason, at(0));
    assert_eq!(choose(&peers, &entries, avoided), None);
    assert_eq!(choose(&peers, &entries, asked), Some(entries[0].address));
}
