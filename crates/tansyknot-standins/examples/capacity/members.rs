//! Costs of the membership and of the messages between daemons, by the number of daemons.

use std::{hint::black_box, net::SocketAddr, sync::Arc};

use rand::{SeedableRng, rngs::StdRng};
use tansyknot_core::{
    clock::{ManualClock, Time},
    name::{DaemonName, ServiceName, ZoneName},
    peer::Peers,
};
use tansyknot_gossip::{
    members::{LocalMember, Members, MembersOptions, Outgoing},
    message::{self, Envelope, Liveness, MemberUpdate, Message, UseEntry},
    node::Node,
};

use crate::slope;

const DAEMONS: &[usize] = &[10, 40, 160, 340];

fn update(i: usize) -> MemberUpdate {
    MemberUpdate {
        daemon: DaemonName::new(format!("region-{}-daemon-{i:03}", i % 6)),
        address: address(i),
        availability_zone: ZoneName::new(format!("zone-{}", i % 14)),
        incarnation: 1_700_000_000_000,
        liveness: Liveness::Alive,
    }
}

fn address(i: usize) -> SocketAddr {
    ([10, 0, (i / 250) as u8, (i % 250) as u8], 7102).into()
}

fn myself(i: usize, address: SocketAddr) -> LocalMember {
    let update = update(i);
    LocalMember {
        daemon: update.daemon,
        address,
        availability_zone: update.availability_zone,
        incarnation: update.incarnation,
    }
}

struct DaemonCosts {
    messages_per_s: f64,
    bytes_per_s: f64,
    us_per_s: f64,
}

/// Simulates the daemons for some virtual seconds. Returns the average costs of one daemon.
fn simulate(count: usize, restarts: usize) -> DaemonCosts {
    const SECONDS: u64 = 20;
    let mut rng = StdRng::seed_from_u64(1);
    let mut daemons: Vec<Members> = (0..count)
        .map(|i| Members::new(myself(i, address(i)), MembersOptions::default()))
        .collect();
    for members in &mut daemons {
        members.join((0..count).map(update), Time::default());
    }
    let (mut messages, mut bytes, mut us) = (0_u64, 0_u64, 0.0);
    for tick in 1..=SECONDS * 10 {
        let now = Time::from_millis(tick * 100);
        if tick == 100 {
            for (i, members) in daemons.iter_mut().enumerate().take(restarts) {
                *members = Members::new(myself(i, address(i)), MembersOptions::default());
                members.join((0..count).map(update), now);
            }
        }
        for i in 0..count {
            let mut queue: Vec<(usize, Outgoing)> = Vec::new();
            us += slope::average_micros(1, || {
                queue.extend(daemons[i].tick(now, &mut rng).into_iter().map(|o| (i, o)));
            });
            while let Some((from, out)) = queue.pop() {
                messages += 1;
                bytes += encoded_bytes(out.message.clone());
                let to = (0..count)
                    .find(|j| address(*j) == out.to)
                    .expect("the address is that of a daemon");
                us += slope::average_micros(1, || {
                    let replies = daemons[to].receive(address(from), out.message.clone(), now);
                    queue.extend(replies.into_iter().map(|o| (to, o)));
                });
            }
        }
    }
    let daemon_seconds = (count as u64 * SECONDS) as f64;
    DaemonCosts {
        messages_per_s: messages as f64 / daemon_seconds,
        bytes_per_s: bytes as f64 / daemon_seconds,
        us_per_s: us / daemon_seconds,
    }
}

/// Size of the IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

fn encoded_bytes(message: Message) -> u64 {
    let envelope = Envelope { from: update(0).daemon, message };
    message::encode(&envelope).map_or(0, |b| b.len() as u64 + HEADER_BYTES)
}

pub(crate) fn measure() {
    slope::measure("membership messages sent by a daemon", "daemons", "messages/s", DAEMONS, |n| {
        simulate(n, 0).messages_per_s
    });
    slope::measure("membership bytes sent by a daemon", "daemons", "bytes/s", DAEMONS, |n| {
        simulate(n, 0).bytes_per_s
    });
    slope::measure("membership processor time", "daemons", "us/s", DAEMONS, |n| {
        simulate(n, 0).us_per_s
    });
    slope::measure(
        "membership bytes with a tenth restarting in 20 s",
        "daemons",
        "bytes/s",
        DAEMONS,
        |n| simulate(n, n / 10).bytes_per_s,
    );
    slope::measure("asking who coordinates a service", "daemons", "us", DAEMONS, |n| {
        let me = myself(0, ([127, 0, 0, 1], 0).into());
        let clock = Arc::new(ManualClock::new());
        let node = Node::bind(me, MembersOptions::default(), clock).expect("a port is free");
        node.join((1..n).map(update).collect());
        let services: Vec<ServiceName> =
            (0..1900).map(|i| ServiceName::new(format!("service-{i:04}"))).collect();
        let query = || {
            black_box(services.iter().filter(|s| node.is_coordinator(s)).count());
        };
        query();
        slope::average_micros(5, query) / 1900.0
    });
    slope::measure(
        "reports of use",
        "services used in a second",
        "bytes/s",
        &[5, 20, 65, 200],
        |n| {
            let entry = |i: usize| UseEntry {
                service: ServiceName::new(format!("service-{i:04}")),
                ago_ms: 300,
                in_flight: 3,
            };
            // With 340 daemons, nearly every service has a different coordinator, so each report is
            // a separate message.
            (0..n).map(|i| encoded_bytes(Message::Use { uses: vec![entry(i)] })).sum::<u64>() as f64
        },
    );
}

/// Measures memory. Runs before the other measurements, since the reuse of freed memory hides later
/// growth.
pub(crate) fn measure_memory() {
    const MEMBERS: &[usize] = &[34_000, 16_000, 4000, 1000];
    slope::measure("membership in memory", "members", "bytes", MEMBERS, |n| {
        let (bytes, members) = slope::memory_growth(|| {
            let mut members = Members::new(myself(0, address(0)), MembersOptions::default());
            let updates = (0..n).map(|i| MemberUpdate {
                daemon: DaemonName::new(format!("region-{}-daemon-{i:05}", i % 6)),
                ..update(i % 250)
            });
            members.join(updates, Time::default());
            members
        });
        std::mem::forget(members);
        bytes
    });
}
