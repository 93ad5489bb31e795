//! Tests of what daemons know of the origins of streams.

mod support;

use std::{sync::Arc, time::Duration};

use tansyknot_core::{
    clock::{ManualClock, Time},
    name::{ServiceName, SoftwareVersion},
};
use tansyknot_fleet::{
    dissemination::{datagram, message::Message},
    fleet::Fleet,
    freshness::FreshnessLimits,
    stream_origin::{
        Origin, Software,
        history::{SoleVersion, SoleVersions},
        lookup::{Lookups, Progress},
        records::{Known, StreamKey, StreamRecord, StreamRecords},
        routing::{RouteDigests, RoutingHistory},
    },
    target::{Removal, Target},
};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

fn origin(version: &str) -> Origin {
    Origin {
        service: ServiceName::from("s"),
        software: Software::Version(SoftwareVersion::from(version)),
    }
}

fn record(attempt: &str, version: &str, lifetime_ms: u32) -> StreamRecord {
    StreamRecord { stream: StreamKey::of_attempt(attempt), origin: origin(version), lifetime_ms }
}

fn known(records: &StreamRecords, attempt: &str, now: Time) -> Option<Known> {
    records.get(StreamKey::of_attempt(attempt), now)
}

#[test]
fn origin_is_known_as_long_as_the_stream_may_be_resumed() {
    let mut records = StreamRecords::default();
    records.add(record("a", "v1", 5_000), at(0));
    let expected = Some(Known::Origin(Arc::new(origin("v1"))));
    assert_eq!(known(&records, "a", at(4_999)), expected);
    assert_eq!(known(&records, "a", at(5_000)), None);
    assert_eq!(known(&records, "b", at(0)), None);
    let sent = records.record(StreamKey::of_attempt("a"), at(2_000)).expect("it is known");
    assert_eq!(sent.lifetime_ms, 3_000, "another daemon keeps it no longer");
}

// Two callers that use one identifier must not go on with each other's software.
#[parameterized(
    same_software = { "v1", Some(true) },
    other_software = { "v1.1", Some(false) },
)]
fn origin_of_two_streams_with_one_identifier(second: &str, is_origin: Option<bool>) {
    let mut records = StreamRecords::default();
    records.add(record("a", "v1", 5_000), at(0));
    records.add(record("a", second, 5_000), at(10));
    let known = known(&records, "a", at(20));
    assert_eq!(known.map(|known| matches!(known, Known::Origin(_))), is_origin);
}

#[test]
fn rush_of_streams_does_not_pass_the_bound_on_memory() {
    let mut records = StreamRecords::with_capacity(100);
    for n in 0..10_000 {
        records.add(record(&format!("a{n}"), &format!("v{}", n % 7), 60_000), at(n));
        assert!(records.len() <= 100);
    }
    assert!(known(&records, "a9999", at(10_000)).is_some());
    assert!(known(&records, "a9900", at(10_000)).is_some());
    assert!(known(&records, "a9899", at(10_000)).is_none(), "the oldest are dropped");
}

#[test]
fn expired_origins_take_no_memory() {
    let mut records = StreamRecords::default();
    for n in 0..1_000 {
        records.add(record(&format!("a{n}"), "v1", 1_000), at(n));
    }
    records.add(record("last", "v1", 1_000), at(10_000));
    assert_eq!(records.len(), 1);
}

#[test]
fn question_is_open_until_all_keepers_have_replied() {
    let stream = StreamKey::of_attempt("a");
    let keepers: Vec<_> = (1..=3).map(|port| ([127, 0, 0, 1], port).into()).collect();
    let mut lookups = Lookups::default();
    lookups.begin(stream);
    assert_eq!(lookups.record_asked(stream, keepers.clone()), keepers);
    assert!(lookups.record_unknown(stream, keepers[0]));
    assert_eq!(lookups.progress(stream), Progress::Waiting);
    assert_eq!(lookups.record_asked(stream, keepers.clone()), keepers[1..], "only these are asked");
    for keeper in &keepers[1..] {
        assert!(lookups.record_unknown(stream, *keeper));
    }
    assert_eq!(lookups.progress(stream), Progress::Unknown);
    lookups.end(stream);
    assert!(!lookups.record_unknown(stream, keepers[0]), "no request waits for it");
}

fn running(name: &str, version: Option<&str>) -> Target {
    Target { software: version.map(SoftwareVersion::from), ..support::target(name, &[], &[]) }
}

/// Returns the sole version of a service within 10 s, as a daemon that has followed the list for
/// `followed_ms` knows it. One target of `gone` has left `gone_ms` ago.
fn sole_version(
    present: &[Option<&str>],
    gone: Option<&str>,
    gone_ms: u64,
    followed_ms: u64,
) -> Option<SoftwareVersion> {
    let mut fleet = Fleet::new("z1".into(), FreshnessLimits::default());
    let name = |n: usize| format!("t{n}");
    let targets = present.iter().enumerate().map(|(n, version)| running(&name(n), *version));
    let targets = targets.chain([running("gone", gone)]).collect();
    let now = at(60_000);
    fleet.apply_full_list(targets, 1, None, at(0));
    let removal = Removal { name: "gone".into(), version: 2 };
    let removed = tansyknot_fleet::platform_api::TargetChange::Removed(removal);
    fleet.apply_change(removed, now.saturating_sub(Duration::from_millis(gone_ms)));
    fleet.record_software_view(true, now.saturating_sub(Duration::from_millis(followed_ms)));
    let sole = fleet.sole_software(&ServiceName::from("s"), now)?;
    (sole.for_ms >= 10_000).then_some(sole.version)
}

#[parameterized(
    one_version = { &[Some("v1"), Some("v1")], Some("v1"), 1_000, 30_000, true },
    two_versions = { &[Some("v1"), Some("v1.1")], Some("v1"), 1_000, 30_000, false },
    unknown_version = { &[Some("v1"), None], Some("v1"), 1_000, 30_000, false },
    another_one_has_just_gone = { &[Some("v1")], Some("v1.1"), 9_000, 30_000, false },
    another_one_is_long_gone = { &[Some("v1")], Some("v1.1"), 11_000, 30_000, true },
    unknown_one_has_just_gone = { &[Some("v1")], None, 9_000, 30_000, false },
    daemon_has_just_started = { &[Some("v1")], Some("v1"), 1_000, 9_000, false },
    no_target = { &[], Some("v1"), 1_000, 30_000, false },
)]
fn stream_of_unknown_origin_goes_on_only_if_there_was_one_version(
    present: &[Option<&str>],
    gone: Option<&str>,
    gone_ms: u64,
    followed_ms: u64,
    is_sole: bool,
) {
    let sole = sole_version(present, gone, gone_ms, followed_ms);
    assert_eq!(sole, is_sole.then(|| SoftwareVersion::from("v1")));
}

#[test]
fn daemon_with_an_old_view_of_the_targets_knows_no_sole_version() {
    let clock = ManualClock::default();
    let state = support::state(&clock);
    let service = ServiceName::from("s");
    let read_list = || {
        state.fleet().apply_full_list(vec![running("t", Some("v1"))], 1, None, state.now());
        state.store_contacts().list = Some(state.now());
        state.record_software_view(state.now());
    };
    for _ in 0..20 {
        read_list();
        clock.advance(Duration::from_millis(500));
    }
    assert_eq!(state.sole_software(&service), Some("v1".into()));
    clock.advance(Duration::from_secs(3));
    assert_eq!(state.sole_software(&service), None, "another version may have come meanwhile");
    state.record_origin(record("a", "v1", 20_000));
    state.record_software_view(state.now());
    read_list();
    assert_eq!(state.sole_software(&service), None, "versions may have come and gone meanwhile");
}

/// Guards against a caller whose deadline has streams of unknown origin refused for good.
#[test]
fn deadline_beyond_all_streams_counts_as_the_longest_one() {
    let clock = ManualClock::default();
    let state = support::state(&clock);
    let service = ServiceName::from("s");
    state.record_origin(record("a", "v1", 3_600_000));
    for _ in 0..260 {
        state.fleet().apply_full_list(vec![running("t", Some("v1"))], 1, None, state.now());
        state.store_contacts().list = Some(state.now());
        state.record_software_view(state.now());
        clock.advance(Duration::from_millis(500));
    }
    assert_eq!(state.sole_software(&service), Some("v1".into()));
}

// All daemons may end at once; the planner's row says what the last planner knew.
#[parameterized(
    same_version = { "v1", true, true },
    another_version = { "v1.1", true, false },
    view_that_was_broken_since = { "v1", false, false },
)]
fn daemon_that_starts_alone_continues_what_the_last_planner_knew(
    version: &str,
    is_unbroken: bool,
    is_known: bool,
) {
    let sole = SoleVersion { version: version.into(), for_ms: 30_000 };
    let versions = SoleVersions::from([(ServiceName::from("s"), sole)]);
    let mut fleet = Fleet::new("z1".into(), FreshnessLimits::default());
    fleet.inherit_software(versions.clone());
    fleet.apply_full_list(vec![running("t", Some("v1"))], 1, None, at(0));
    fleet.record_software_view(true, at(100));
    if !is_unbroken {
        fleet.record_software_view(false, at(150));
        fleet.inherit_software(versions);
        fleet.record_software_view(true, at(160));
    }
    let sole = fleet.sole_software(&ServiceName::from("s"), at(200)).expect("it has one version");
    assert_eq!(sole.for_ms >= 30_000, is_known, "{sole:?}");
}

// A planner that has lost the store has not seen the targets for a while; its followers have.
#[test]
fn planner_whose_view_was_broken_goes_by_what_its_followers_report() {
    let service = ServiceName::from("s");
    let versions = |version: &str, for_ms| {
        let sole = SoleVersion { version: version.into(), for_ms };
        SoleVersions::from([(ServiceName::from("s"), sole)])
    };
    let mut fleet = Fleet::new("z1".into(), FreshnessLimits::default());
    fleet.apply_full_list(vec![running("t", Some("v1"))], 1, None, at(0));
    fleet.record_software_view(true, at(0));
    fleet.record_software_view(false, at(1_000));
    fleet.record_software_view(true, at(2_000));
    let for_ms = |fleet: &Fleet, now| fleet.sole_software(&service, now).map(|sole| sole.for_ms);
    assert_eq!(for_ms(&fleet, at(3_000)), Some(1_000));
    fleet.record_software_report(&versions("v1", 20_000), at(3_000));
    fleet.record_software_report(&versions("v1", 10_000), at(3_500));
    assert_eq!(for_ms(&fleet, at(4_000)), Some(21_000));
    fleet.record_software_view(false, at(5_000));
    fleet.record_software_view(true, at(6_000));
    assert_eq!(for_ms(&fleet, at(7_000)), Some(1_000), "both views may have gaps now");
    fleet.record_software_report(&versions("v1.1", 20_000), at(7_000));
    assert_eq!(for_ms(&fleet, at(7_000)), Some(1_000), "it saw other targets");
}

// Daemons of another build must drop these messages, not misread them.
#[test]
fn message_of_another_format_is_dropped() {
    let message = Message::StreamBegan(record("a", "v1", 5_000));
    let mut bytes = datagram::encode(&message).expect("it fits");
    assert_eq!(datagram::decode(&bytes), Some(message));
    bytes[0] = bytes[0].wrapping_sub(1);
    assert_eq!(datagram::decode(&bytes), None);
}

/// Returns digests of the routes of the services `a` and `b`.
fn routes(a: u64, b: u64) -> RouteDigests {
    [("a".into(), a), ("b".into(), b)].into()
}

#[parameterized(
    same_routes = { Some(routes(1, 2)), None },
    added_to_b = { Some(routes(1, 3)), None },
    b_is_new = { Some([("a".into(), 1)].into()), None },
    moved_from_a_to_b = { Some(routes(4, 3)), Some(900) },
    moved_from_another_service_to_b = { Some([("a".into(), 1), ("c".into(), 3)].into()), Some(900) },
    row_of_an_earlier_build = { None, None },
)]
fn routes_that_were_moved_while_all_daemons_were_gone_are_new(
    in_row: Option<RouteDigests>,
    b_unchanged_ms: Option<u64>,
) {
    for reads_row_first in [true, false] {
        let mut history = RoutingHistory::default();
        let inherit = |history: &mut RoutingHistory| history.inherit(in_row.clone(), at(100));
        if reads_row_first {
            inherit(&mut history);
        }
        history.put_in_force(routes(1, 2), at(100));
        if !reads_row_first {
            inherit(&mut history);
        }
        // Rows that are read later are of daemons that have this configuration, or will.
        history.inherit(Some(routes(7, 7)), at(500));
        let unchanged = |service: &str| {
            let service = ServiceName::from(service);
            history.unchanged_for(&service, at(1_000)).map(|d| d.as_millis() as u64)
        };
        assert_eq!(unchanged("b"), b_unchanged_ms);
    }
}

#[test]
fn routes_that_another_configuration_moves_are_new() {
    let mut history = RoutingHistory::default();
    history.put_in_force(routes(1, 2), at(0));
    history.put_in_force(routes(1, 3), at(200));
    let unchanged = |history: &RoutingHistory, service: &str| {
        history.unchanged_for(&ServiceName::from(service), at(1_000))
    };
    assert_eq!(unchanged(&history, "b"), None, "a route was added");
    history.put_in_force(routes(4, 5), at(400));
    history.put_in_force(routes(4, 5), at(700));
    assert_eq!(unchanged(&history, "b"), Some(Duration::from_millis(600)));
    assert_eq!(history.in_force(), Some(routes(4, 5)));
}
