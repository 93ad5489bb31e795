//! Tests of the membership in virtual time and of the decoding of arbitrary datagrams.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use tansyknot_core::{
    clock::Time,
    name::{DaemonName, ServiceName, ZoneName},
    peer,
};
use tansyknot_gossip::{
    members::{LocalMember, Members, MembersOptions, Outgoing},
    message::{self, DatagramError, Envelope, Liveness, MemberUpdate, Message, UseEntry},
};
use yare::parameterized;

fn address(i: usize) -> SocketAddr {
    ([127, 0, 0, 1], 10_000 + u16::try_from(i).expect("few daemons")).into()
}

fn name(i: usize) -> DaemonName {
    DaemonName::new(format!("d{i}"))
}

fn update(i: usize) -> MemberUpdate {
    MemberUpdate {
        daemon: name(i),
        address: address(i),
        availability_zone: ZoneName::from("z"),
        incarnation: 0,
        liveness: Liveness::Alive,
    }
}

struct Network {
    daemons: BTreeMap<usize, Members>,
    /// Daemons that neither send nor receive.
    isolated: Vec<usize>,
    now: Time,
    rng: StdRng,
    sent: u64,
}

impl Network {
    fn new(count: usize) -> Self {
        let mut daemons = BTreeMap::new();
        for i in 0..count {
            daemons.insert(i, member(i, 1));
        }
        for members in daemons.values_mut() {
            members.join((0..count).map(update), Time::default());
        }
        Self {
            daemons,
            isolated: Vec::new(),
            now: Time::default(),
            rng: StdRng::seed_from_u64(1),
            sent: 0,
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + Duration::from_millis(100);
            let ids: Vec<usize> = self.daemons.keys().copied().collect();
            for i in ids {
                if self.isolated.contains(&i) {
                    continue;
                }
                let members = self.daemons.get_mut(&i).expect("the daemon is in the network");
                let out = members.tick(self.now, &mut self.rng);
                self.deliver(i, out);
            }
        }
    }

    fn deliver(&mut self, from: usize, out: Vec<Outgoing>) {
        let mut queue: Vec<(usize, Outgoing)> = out.into_iter().map(|o| (from, o)).collect();
        while let Some((from, o)) = queue.pop() {
            self.sent += 1;
            let to = usize::from(o.to.port()) - 10_000;
            if self.isolated.contains(&to) {
                continue;
            }
            let Some(members) = self.daemons.get_mut(&to) else { continue };
            let replies = members.receive(address(from), o.message, self.now);
            queue.extend(replies.into_iter().map(|a| (to, a)));
        }
    }

    fn alive_at(&self, i: usize) -> usize {
        self.daemons[&i].alive().count()
    }
}

fn member(i: usize, incarnation: u64) -> Members {
    let me = LocalMember {
        daemon: name(i),
        address: address(i),
        availability_zone: ZoneName::from("z"),
        incarnation,
    };
    Members::new(me, MembersOptions::default())
}

#[parameterized(three = { 3 }, seven = { 7 }, forty = { 40 })]
fn dead_daemon_is_known_dead_by_all(count: usize) {
    let mut network = Network::new(count);
    network.run(Duration::from_secs(10));
    assert!((0..count).all(|i| network.alive_at(i) == count));
    network.isolated.push(0);
    network.run(Duration::from_secs(30 + count as u64));
    assert!((1..count).all(|i| network.alive_at(i) == count - 1));
}

#[test]
fn frozen_daemon_that_wakes_is_alive_again() {
    let mut network = Network::new(7);
    network.run(Duration::from_secs(5));
    network.isolated.push(3);
    network.run(Duration::from_secs(20));
    assert_eq!(network.alive_at(0), 6);
    network.isolated.clear();
    network.run(Duration::from_secs(30));
    assert!((0..7).all(|i| network.alive_at(i) == 7));
}

#[test]
fn restarted_daemon_is_alive_again_under_its_higher_number() {
    let mut network = Network::new(5);
    network.run(Duration::from_secs(5));
    network.daemons.insert(2, member(2, 1000));
    network
        .daemons
        .get_mut(&2)
        .expect("the daemon is in the network")
        .join((0..5).map(update), network.now);
    network.run(Duration::from_secs(30));
    assert!((0..5).all(|i| network.alive_at(i) == 5));
}

#[test]
fn load_of_a_daemon_does_not_grow_with_the_membership() {
    let per_daemon = |count: usize| {
        let mut network = Network::new(count);
        network.run(Duration::from_secs(20));
        network.sent as f64 / count as f64 / 20.0
    };
    let (few, many) = (per_daemon(5), per_daemon(80));
    assert!(many <= few * 1.2, "{few} messages a second at 5, {many} at 80");
}

#[test]
fn daemons_with_the_same_view_agree_on_coordinators_and_share_services_evenly() {
    let names: Vec<DaemonName> = (0..7).map(name).collect();
    let mut counts = BTreeMap::new();
    for i in 0..1400 {
        let service = ServiceName::new(format!("s{i}"));
        let chosen = peer::coordinator(&service, names.iter()).expect("there are daemons");
        let again = peer::coordinator(&service, names.iter().rev()).expect("there are daemons");
        assert_eq!(chosen, again);
        *counts.entry(chosen.clone()).or_insert(0) += 1;
    }
    assert!(counts.values().all(|n| (140..260).contains(n)), "{counts:?}");
}

fn envelope(message: Message) -> Envelope {
    Envelope { from: name(1), message }
}

#[test]
fn longest_message_fits_in_a_datagram() {
    let long = "x".repeat(120);
    let entry = || UseEntry {
        service: ServiceName::from(long.as_str()),
        ago_ms: u32::MAX,
        in_flight: u32::MAX,
    };
    let uses = Message::Use { uses: (0..9).map(|_| entry()).collect() };
    assert!(message::encode(&envelope(uses)).is_ok());
}

#[test]
fn datagrams_of_another_kind_are_dropped() {
    let good =
        message::encode(&envelope(Message::RowChanged { service: "s".into() })).expect("short");
    assert!(message::decode(&good).is_ok());
    let mut version = good.clone();
    version[1] = 9;
    assert_eq!(message::decode(&version), Err(DatagramError::UnsupportedVersion(9)));
    let mut longer = good.clone();
    longer.push(0);
    assert_eq!(message::decode(&longer), Err(DatagramError::Malformed));
    assert_eq!(message::decode(&good[..good.len() - 1]), Err(DatagramError::Malformed));
    assert_eq!(message::decode(b"GET / HTTP/1.1"), Err(DatagramError::BadMagic));
    assert_eq!(message::decode(&[0; 2000]), Err(DatagramError::TooLong));
    assert_eq!(message::decode(&[]), Err(DatagramError::BadMagic));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_decoded_or_dropped(mut bytes in prop::collection::vec(any::<u8>(), 0..1300)) {
        let _ = message::decode(&bytes);
        // Bytes after a valid magic and version byte reach the document's parser.
        if bytes.len() > 2 {
            bytes[0] = 0xd7;
            bytes[1] = message::VERSION;
            if let Ok(envelope) = message::decode(&bytes) {
                let mut members = member(0, 1);
                members.receive(address(1), envelope.message, Time::default());
            }
        }
    }
}
