//! Tests that daemons get the configuration and long lists from each other, and the store is read
//! where no daemon has them.

mod support;

use std::{
    collections::VecDeque,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, atomic::AtomicBool},
    thread,
    time::Duration,
};

use support::{catalog, network::Network, state, store::FakeStore, target};
use tansyknot_core::{
    Error, Result,
    clock::{Clock, ManualClock, SystemClock},
    key::KeyDigest,
    name::ZoneName,
    telemetry::NoRecorder,
};
use tansyknot_fleet::{
    access::{
        AccessOptions,
        team::{Team, TeamEntry, Teams},
    },
    budget::BudgetOptions,
    catalog::Catalog,
    dissemination::{
        changes::{ChangeLog, Entry, ListRead},
        datagram,
        planner_view::PlannerView,
    },
    follow::{ConfigFollower, TargetFollower},
    freshness::FreshnessLimits,
    peer_listener::PeerListener,
    snapshot::{
        ConfigSnapshot, ListSnapshot, Snapshot, SnapshotClient, SnapshotProvider, SnapshotRequest,
        tcp::{SnapshotServer, TcpSnapshots},
    },
    state::{ConfigRead, State, StateOptions},
    target::Target,
    tunnel::server::TunnelServer,
    zone_drain::DrainedZones,
};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn source() -> SocketAddr {
    ([10, 0, 0, 1], 7000).into()
}

/// A daemon that hands out prepared replies and remembers what it was asked for.
#[derive(Default)]
struct FakePeer {
    replies: Mutex<VecDeque<Snapshot>>,
    requests: Mutex<Vec<SnapshotRequest>>,
}

impl FakePeer {
    fn with(snapshot: Snapshot) -> Arc<Self> {
        let peer = Self::default();
        peer.replies.lock().expect("the lock is not poisoned").push_back(snapshot);
        Arc::new(peer)
    }

    fn requests(&self) -> Vec<SnapshotRequest> {
        self.requests.lock().expect("the lock is not poisoned").clone()
    }
}

impl SnapshotClient for FakePeer {
    fn fetch(&self, from: SocketAddr, request: SnapshotRequest) -> Result<Snapshot> {
        assert_eq!(from, source());
        self.requests.lock().expect("the lock is not poisoned").push(request);
        let reply = self.replies.lock().expect("the lock is not poisoned").pop_front();
        reply.ok_or_else(|| Error::busy("peer", "nothing"))
    }
}

fn started_clock() -> ManualClock {
    let clock = ManualClock::new();
    clock.advance(60 * SECOND);
    clock
}

/// Makes a daemon receive an update that announces a configuration.
fn receive_update(state: &State, config: u64) {
    let now = state.now();
    let read = ListRead { age: Duration::ZERO, version: 0 };
    let mut view = state.planner_view();
    view.apply_list_update(1, ChangeLog::default().changes_after(0, read, now), now);
    view.record_source(source(), source(), now);
    view.record_config(config, Duration::ZERO, now);
}

/// Returns a daemon that has read a configuration and a list from the store.
fn informed_daemon(clock: &ManualClock, catalog: Catalog, targets: Vec<Target>) -> Arc<State> {
    let state = state(clock);
    let version = catalog.version;
    state.put_in_force(catalog, state.now());
    state.fleet().apply_full_list(targets, 40, None, state.now());
    state.fleet().complete_read(40, state.now());
    state.planner_view().record_list(40);
    let mut contacts = state.store_contacts();
    contacts.config = Some(clock.now());
    contacts.list = Some(clock.now());
    contacts.config_read = Some(ConfigRead { version, store_version: 30 });
    drop(contacts);
    state
}

fn decode(provider: &SnapshotProvider, request: SnapshotRequest) -> Option<Snapshot> {
    let encoded = provider.current(request)?;
    Some(postcard::from_bytes(&encoded.bytes).expect("the snapshot decodes"))
}

fn config_of(provider: &SnapshotProvider) -> ConfigSnapshot {
    match decode(provider, SnapshotRequest::Config(1)) {
        Some(Snapshot::Config(config)) => config,
        other => panic!("no configuration: {other:?}"),
    }
}

#[test]
fn announced_configuration_comes_from_the_sender_of_the_update() {
    let clock = started_clock();
    let informed = informed_daemon(&clock, catalog(), Vec::new());
    let peer = FakePeer::with(Snapshot::Config(config_of(&SnapshotProvider::new(informed))));
    let (state, store) = (state(&clock), FakeStore::new().client());
    receive_update(&state, 1);
    let follower = ConfigFollower::new(Arc::clone(&state), Arc::new(store));
    let mut follower = follower.with_peers(Arc::clone(&peer) as _);
    follower.step();
    assert_eq!(peer.requests(), [SnapshotRequest::Config(1)]);
    let in_force = state.catalog().expect("the configuration is in force");
    assert_eq!((in_force.version, in_force.services.len()), (1, 1));
    assert!(in_force.route("h", "/x").is_some());
    let read = state.store_contacts().config_read;
    assert_eq!(read, Some(ConfigRead { version: 1, store_version: 30 }));
}

#[parameterized(
    not_announced = { 0 },
    nobody_has_it = { 7 },
)]
fn configuration_is_read_from_the_store_where_no_daemon_helps(announced: u64) {
    let clock = started_clock();
    let peer = Arc::new(FakePeer::default());
    let (state, store) = (state(&clock), FakeStore::new().client());
    receive_update(&state, announced);
    let follower = ConfigFollower::new(Arc::clone(&state), Arc::new(store));
    let mut follower = follower.with_peers(Arc::clone(&peer) as _);
    let began = state.now();
    while state.store_contacts().config.is_none() {
        let pause = follower.step();
        clock.advance(pause);
        receive_update(&state, announced);
    }
    let waited = state.now().since(began);
    assert_eq!(peer.requests().is_empty(), announced == 0);
    assert!(waited <= if announced == 0 { SECOND / 2 } else { 2 * SECOND }, "{waited:?}");
}

#[test]
fn configuration_with_keys_is_not_handed_out() {
    let clock = started_clock();
    let team = Team { name: "alpha".into(), priority: None, quota: None, regions: None };
    let teams = Teams::new(vec![TeamEntry { team, keys: vec![KeyDigest::of("secret")] }]);
    let with_keys = catalog().with_teams(Some(teams.expect("the team is valid")));
    let informed = informed_daemon(&clock, with_keys, Vec::new());
    assert!(SnapshotProvider::new(informed).current(SnapshotRequest::Config(1)).is_none());
}

#[test]
fn drained_zones_come_with_the_configuration_of_another_daemon() {
    let clock = started_clock();
    let informed = informed_daemon(&clock, catalog(), Vec::new());
    let zones = DrainedZones { version: 30, zones: [ZoneName::from("z1")].into() };
    informed.apply_published_zones(zones.clone());
    let peer = FakePeer::with(Snapshot::Config(config_of(&SnapshotProvider::new(informed))));
    let (state, store) = (state(&clock), FakeStore::new().client());
    receive_update(&state, 1);
    let follower = ConfigFollower::new(Arc::clone(&state), Arc::new(store));
    follower.with_peers(peer).step();
    assert_eq!(*state.fleet().zone_drains().current(), zones);
}

#[test]
fn older_configuration_than_asked_for_is_not_handed_out() {
    let clock = started_clock();
    let provider = SnapshotProvider::new(informed_daemon(&clock, catalog(), Vec::new()));
    assert!(provider.current(SnapshotRequest::Config(2)).is_none());
}

#[test]
fn view_from_a_snapshot_is_as_old_as_the_other_daemons_when_it_was_asked() {
    let clock = started_clock();
    let informed = informed_daemon(&clock, catalog(), vec![target("t1", &["m0"], &[])]);
    clock.advance(SECOND);
    let provider = SnapshotProvider::new(informed);
    let Some(Snapshot::List(list)) = decode(&provider, SnapshotRequest::List) else {
        panic!("no list")
    };
    assert_eq!((list.age_ms, list.version, list.entries.len()), (1000, 40, 1));
    let Snapshot::List(aged) = Snapshot::List(list).aged(Duration::from_millis(200)) else {
        panic!("not a list")
    };
    assert_eq!(aged.age_ms, 1200);
    assert_eq!(config_of(&provider).age_ms, 1000);
}

/// A store whose list is too long for one response.
fn long_list(count: usize) -> (FakeStore, Vec<Target>) {
    let targets: Vec<Target> = (0..count).map(|n| target(&format!("t{n}"), &["m0"], &[])).collect();
    let store = FakeStore::new();
    store.set_list(targets.clone());
    store.set_max_short_list(count - 1);
    (store, targets)
}

#[test]
fn long_list_comes_from_another_daemon_and_is_no_newer_than_that_daemons() {
    let clock = started_clock();
    let (store, targets) = long_list(20);
    let entries = targets.iter().map(Entry::from_target).collect();
    let list = ListSnapshot { entries, version: 40, age_ms: 300 };
    let peer = FakePeer::with(Snapshot::List(list));
    let (state, client) = (state(&clock), store.client());
    receive_update(&state, 0);
    let has_read = Arc::new(AtomicBool::new(false));
    let follower = TargetFollower::new(Arc::clone(&state), Arc::new(client.clone()), has_read);
    let mut follower = follower.with_peers(Arc::clone(&peer) as _);
    let began = state.now();
    assert!(follower.step());
    assert_eq!(client.list_calls(), 1, "one response shows that the list is long");
    assert_eq!(state.fleet().targets().count(), 20);
    let expected = began.saturating_sub(Duration::from_millis(300));
    assert_eq!(state.store_contacts().list, Some(expected));
    assert_eq!(state.planner_view().list_version(), 40);
    assert!(
        state.planner_view().has_gap()
            || state.planner_view().received_state(began).number.is_none()
    );
}

#[test]
fn short_list_is_read_from_the_store() {
    let clock = started_clock();
    let (store, _) = long_list(5);
    store.set_max_short_list(10);
    let peer = Arc::new(FakePeer::default());
    let (state, client) = (state(&clock), store.client());
    receive_update(&state, 0);
    let has_read = Arc::new(AtomicBool::new(false));
    let follower = TargetFollower::new(Arc::clone(&state), Arc::new(client), has_read);
    assert!(follower.with_peers(Arc::clone(&peer) as _).step());
    assert!(peer.requests().is_empty());
    assert_eq!(state.fleet().targets().count(), 5);
}

#[test]
fn long_list_that_no_daemon_has_is_read_from_the_store_after_a_while() {
    let clock = started_clock();
    let (store, _) = long_list(20);
    let peer = Arc::new(FakePeer::default());
    let (state, client) = (state(&clock), store.client());
    let has_read = Arc::new(AtomicBool::new(false));
    let follower = TargetFollower::new(Arc::clone(&state), Arc::new(client.clone()), has_read);
    let mut follower = follower.with_peers(Arc::clone(&peer) as _);
    let began = state.now();
    while !follower.step() {
        assert!(!state.store_contacts().is_lost, "a list that is left to others is no failure");
        clock.advance(Duration::from_millis(250));
        receive_update(&state, 0);
    }
    let waited = state.now().since(began);
    assert!((3 * SECOND..6 * SECOND).contains(&waited), "{waited:?}");
    assert_eq!(state.fleet().targets().count(), 20);
}

#[test]
fn planner_reads_the_fields_that_other_daemons_lack_from_the_store() {
    let clock = started_clock();
    let (store, _) = long_list(20);
    let peer = Arc::new(FakePeer::default());
    let state = state(&clock);
    receive_update(&state, 0);
    let has_read = Arc::new(AtomicBool::new(false));
    let follower = TargetFollower::new(Arc::clone(&state), Arc::new(store.client()), has_read);
    let mut follower = follower.with_peers(Arc::clone(&peer) as _);
    follower.request_full_read();
    assert!(follower.step());
    assert!(peer.requests().is_empty());
}

#[test]
fn daemon_that_may_lack_changes_hands_out_no_list() {
    let clock = started_clock();
    let informed = informed_daemon(&clock, catalog(), vec![target("t1", &["m0"], &[])]);
    let provider = SnapshotProvider::new(Arc::clone(&informed));
    clock.advance(10 * SECOND);
    assert!(provider.current(SnapshotRequest::List).is_none(), "the list is too old");
    informed.store_contacts().list = Some(clock.now());
    assert!(provider.current(SnapshotRequest::List).is_some());
}

fn system_state() -> Arc<State> {
    let budget = BudgetOptions { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };
    let (access, freshness) = (AccessOptions::default(), FreshnessLimits::default());
    let options = StateOptions { budget, access, freshness };
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    Arc::new(State::new(ZoneName::from("z1"), options, clock))
}

/// Serves a daemon's snapshots; returns their address.
fn serve(state: &Arc<State>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let provider = Arc::new(SnapshotProvider::new(Arc::clone(state)));
    let tunnels = TunnelServer::new(Arc::clone(state), Arc::default(), Arc::new(NoRecorder));
    let peers = Arc::new(PeerListener::new(SnapshotServer::new(provider), tunnels));
    thread::spawn(move || peers.serve(&listener));
    address
}

#[test]
fn snapshot_waits_until_the_asked_daemon_has_it() {
    let state = system_state();
    let address = serve(&state);
    let asking = thread::spawn(move || TcpSnapshots.fetch(address, SnapshotRequest::Config(1)));
    state.put_in_force(catalog(), state.now());
    let mut contacts = state.store_contacts();
    contacts.config = Some(state.now());
    contacts.config_read = Some(ConfigRead { version: 1, store_version: 30 });
    drop(contacts);
    let snapshot = asking.join().expect("the client does not panic").expect("there is a reply");
    assert!(matches!(snapshot, Snapshot::Config(c) if c.content.version == 1));
}

#[test]
fn daemon_without_a_snapshot_or_with_another_protocol_is_a_typed_failure() {
    let address = serve(&system_state());
    let missing = TcpSnapshots.fetch(address, SnapshotRequest::Config(1));
    assert!(matches!(missing, Err(Error::Busy { .. })), "{missing:?}");
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a loopback port is free");
    let other = listener.local_addr().expect("a listener has an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let _ = stream.write_all(&[0xFF; 64]);
    });
    assert!(TcpSnapshots.fetch(other, SnapshotRequest::List).is_err());
}

#[test]
fn malformed_requests_leave_the_server_as_it_was() {
    let address = serve(&system_state());
    let other_build = [2, 0, 0, 0, datagram::FORMAT - 1, 1];
    let malformed = [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[4, 0, 0, 0, 9, 9, 9, 9],
        &[1, 0, 0, 0, 1],
        &other_build,
        &[],
    ];
    for bytes in malformed {
        let mut stream = TcpStream::connect(address).expect("the server listens");
        stream.write_all(bytes).expect("the server reads");
        drop(stream);
    }
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream.write_all(&[2, 0, 0, 0, datagram::FORMAT, 1]).expect("the server reads");
    let mut reply = [0; 4];
    stream.read_exact(&mut reply).expect("the server replies");
    assert_eq!(reply, [0; 4], "it has no list yet");
}

#[parameterized(
    seven = { 7 },
    seventy_seven = { 77 },
    nine_hundred_eighty_four = { 984 },
)]
fn change_of_the_configuration_is_read_from_the_store_by_four_daemons_however_many_there_are(
    daemons: usize,
) {
    let mut network = Network::new(daemons, 3, 5 * SECOND);
    network.share_snapshots();
    network.store.configure(catalog());
    network.run(SECOND * 4);
    network.store.take_calls();
    network.store.configure(Catalog::new(2, Vec::new(), Vec::new()));
    network.run(SECOND);
    let versions = network.nodes.iter().map(|n| n.state.catalog().map_or(0, |c| c.version));
    assert_eq!(versions.filter(|version| *version == 2).count(), daemons);
    let calls = network.store.take_calls();
    let count = |kind| calls.get(kind).copied().unwrap_or(0);
    assert!(count("config_changes") <= 4 * 5, "{calls:?}");
    assert!(count("config_documents") + count("all_config") <= 4, "{calls:?}");
}

#[test]
fn source_is_the_relay_as_long_as_it_sends_updates() {
    let clock = started_clock();
    let now = clock.now();
    let (planner, relay) = (([10, 0, 0, 9], 7000).into(), source());
    let mut view = PlannerView::new(FreshnessLimits::default());
    assert_eq!(view.source(now), None);
    view.record_source(relay, planner, now);
    view.record_source(planner, planner, now + SECOND / 2);
    assert_eq!(view.source(now + SECOND / 2), Some(relay), "a repair comes from the planner");
    assert_eq!(view.source(now + SECOND), None);
    view.record_source(planner, planner, now + SECOND);
    assert_eq!(view.source(now + SECOND), Some(planner));
    let read = ListRead { age: Duration::ZERO, version: 0 };
    view.apply_list_update(9, ChangeLog::default().changes_after(0, read, now), now + SECOND);
    assert_eq!(view.source(now + SECOND), Some(planner), "also under a new planner");
}
