//! Tests which targets get requests after the signals that they sent, on every path by which a request
//! reaches a target.

mod support;

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use support::target;
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    backpressure::{
        Interval, Rate, RunOutcome, SignalField, Signals,
        message::{BrittleSummary, LimitSummary, ResponseAges, RunSummary},
    },
    dissemination::message::TargetOverride,
    fleet::{CacheNeed, Fleet, Pick, TargetRequirements},
    freshness::FreshnessLimits,
    platform_api::TargetChange,
    poison::key::RunKey,
    target::{Removal, StartTime, Target, TargetState},
};
use yare::parameterized;

const RETRY_DELAY: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

/// Returns the view of a daemon that has received the planner's signals, with two targets that have
/// loaded `m0`.
fn synced_fleet() -> Fleet {
    let mut fleet = unsynced_fleet();
    fleet.mark_signals_synced();
    fleet
}

fn unsynced_fleet() -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.apply_full_list(vec![entry("t1", 1), entry("t2", 1)], 1, None, at(0));
    fleet
}

fn entry(name: &str, start: u64) -> Target {
    Target { started_at: Some(StartTime(start)), ..target(name, &["m0"], &[]) }
}

fn put(fleet: &mut Fleet, entry: Target, version: u64, now: Time) {
    fleet.apply_change(TargetChange::Put(Box::new(Target { version, ..entry })), now);
}

/// Records a response of `t1` to a request that was sent 1 ms before.
fn record_response(fleet: &mut Fleet, signals: Signals, outcome: RunOutcome, now: Time) {
    let interval = Interval { sent: now.saturating_sub(Duration::from_millis(1)), received: now };
    fleet.record_signals(&entry("t1", 1), &signals, outcome, interval);
}

fn limit_signal(per_s: f64) -> Signals {
    Signals {
        limit: Rate::new(per_s).map_or(SignalField::Malformed, SignalField::Value),
        ..Signals::default()
    }
}

fn leaving_signal() -> Signals {
    Signals { leaving: SignalField::Value(()), ..Signals::default() }
}

fn retry_delay_signal() -> Signals {
    Signals { retry_delay: SignalField::Value(RETRY_DELAY), ..Signals::default() }
}

fn describe(pick: Pick) -> String {
    match pick {
        Pick::Target(t) => t.name.to_string(),
        Pick::Limited { target, .. } => format!("{} with a permit", target.name),
        Pick::BackingOff(until) => format!("in {} ms", until.since(at(0)).as_millis()),
        Pick::Full => "full".to_owned(),
        Pick::NotLoaded | Pick::NoTarget | Pick::Excluded(_) => "none".to_owned(),
    }
}

fn pick(fleet: &mut Fleet, tried: &[&str], now: Time) -> String {
    let tried: Vec<TargetName> = tried.iter().map(|t| TargetName::from(*t)).collect();
    let (service, model) = (ServiceName::from("s"), ModelName::from("m0"));
    let requirements = TargetRequirements {
        service: &service,
        model: Some(&model),
        adapter: None,
        prefix: None,
        zones: None,
        cache: CacheNeed::default(),
        origin: None,
    };
    describe(fleet.pick(&requirements, &tried, now, &mut StdRng::seed_from_u64(1)))
}

fn pick_other(fleet: &mut Fleet, now: Time) -> Option<String> {
    let (service, model) = (ServiceName::from("s"), ModelName::from("m0"));
    let requirements = TargetRequirements {
        service: &service,
        model: Some(&model),
        adapter: None,
        prefix: None,
        zones: None,
        cache: CacheNeed::default(),
        origin: None,
    };
    let tried = [TargetName::from("t2")];
    let picked = fleet.pick_other(&requirements, &tried, now, &mut StdRng::seed_from_u64(1));
    picked.map(|t| t.name.to_string())
}

/// Returns the picks for three requests.
fn picks(fleet: &mut Fleet, now: Time) -> [String; 3] {
    [(); 3].map(|()| pick(fleet, &[], now))
}

#[parameterized(
    limit = { limit_signal(1.0), RunOutcome::Ran },
    leaving = { leaving_signal(), RunOutcome::Ran },
    rest = { retry_delay_signal(), RunOutcome::NotRun },
)]
fn others_that_hold_the_model_go_first(signals: Signals, outcome: RunOutcome) {
    let mut fleet = synced_fleet();
    record_response(&mut fleet, signals, outcome, at(1));
    assert_eq!(picks(&mut fleet, at(2)), ["t2", "t2", "t2"]);
}

#[parameterized(
    limit = { limit_signal(1.0), RunOutcome::Ran, "t1 with a permit" },
    leaving = { leaving_signal(), RunOutcome::Ran, "t2" },
    rest = { retry_delay_signal(), RunOutcome::NotRun, "t2" },
)]
fn retry_respects_the_signals_of_the_other_target(
    signals: Signals,
    outcome: RunOutcome,
    expected: &str,
) {
    let mut fleet = synced_fleet();
    record_response(&mut fleet, signals, outcome, at(1));
    assert_eq!(pick(&mut fleet, &["t2"], at(2)), expected);
}

#[parameterized(
    limit = { limit_signal(1.0), RunOutcome::Ran },
    leaving = { leaving_signal(), RunOutcome::Ran },
    rest = { retry_delay_signal(), RunOutcome::NotRun },
)]
fn silent_target_is_kept_where_the_other_one_takes_nothing(signals: Signals, outcome: RunOutcome) {
    let mut fleet = synced_fleet();
    assert_eq!(pick_other(&mut fleet, at(0)), Some("t1".to_owned()));
    record_response(&mut fleet, signals, outcome, at(1));
    assert_eq!(pick_other(&mut fleet, at(2)), None);
}

#[parameterized(
    limit = { limit_signal(1.0), RunOutcome::Ran },
    leaving = { leaving_signal(), RunOutcome::Ran },
    rest = { retry_delay_signal(), RunOutcome::NotRun },
)]
fn request_that_was_on_its_way_there_is_not_sent(signals: Signals, outcome: RunOutcome) {
    let mut fleet = synced_fleet();
    let t1 = entry("t1", 1);
    assert!(fleet.may_send(&t1, None, at(0)));
    record_response(&mut fleet, signals, outcome, at(1));
    assert!(!fleet.may_send(&t1, None, at(2)));
}

#[parameterized(
    draining = { TargetChange::Put(Box::new(Target {
        state: TargetState::Draining, version: 2, ..entry("t1", 1)
    })) },
    gone = { TargetChange::Removed(Removal { name: TargetName::from("t1"), version: 2 }) },
    another_run = { TargetChange::Put(Box::new(Target { version: 2, ..entry("t1", 2) })) },
)]
fn request_on_its_way_to_a_target_that_leaves_meanwhile_is_sent(change: TargetChange) {
    let mut fleet = synced_fleet();
    let t1 = entry("t1", 1);
    assert!(fleet.may_send(&t1, None, at(0)));
    fleet.apply_change(change, at(1));
    assert!(!fleet.may_send(&t1, None, at(2)));
}

#[test]
fn rest_that_only_one_holds_is_waited_for_until_its_end() {
    let mut fleet = synced_fleet();
    put(&mut fleet, Target { models: Vec::new(), ..entry("t2", 1) }, 2, at(0));
    record_response(&mut fleet, retry_delay_signal(), RunOutcome::NotRun, at(1));
    assert_eq!(pick(&mut fleet, &[], at(2)), "in 3001 ms");
    assert_eq!(pick(&mut fleet, &[], at(3001)), "t1");
    assert_eq!(
        pick(&mut fleet, &[], at(3002)),
        "in 3501 ms",
        "other requests wait for the first one's response"
    );
}

fn ready_override() -> TargetOverride {
    TargetOverride {
        target: TargetName::from("t1"),
        started_at: Some(StartTime(1)),
        revision: 1,
        state: TargetState::Ready,
        models: entry("t1", 1).models,
    }
}

/// What happens to the entry of a target after it sent a signal.
#[derive(Clone, Copy, Debug)]
enum Event {
    Unchanged,
    Expired,
    Overridden,
    FullRead,
}

fn apply_event(fleet: &mut Fleet, event: Event) {
    match event {
        Event::Unchanged => put(fleet, entry("t1", 1), 5, at(5)),
        Event::Overridden => fleet.apply_override(&ready_override(), 1, at(5)),
        Event::Expired => {
            let removal = Removal { name: TargetName::from("t1"), version: 5 };
            fleet.apply_change(TargetChange::Removed(removal), at(5));
            put(fleet, entry("t1", 1), 6, at(6));
        }
        Event::FullRead => {
            let all = ["t1", "t2"].map(|name| Target { version: 5, ..entry(name, 1) });
            fleet.apply_full_list(all.to_vec(), 5, Some(1), at(5));
        }
    }
}

#[parameterized(
    unchanged = { Event::Unchanged },
    expired = { Event::Expired },
    overridden = { Event::Overridden },
    full_read = { Event::FullRead },
)]
fn word_outlives_what_happens_to_the_entry(event: Event) {
    for (signals, outcome) in [
        (limit_signal(1.0), RunOutcome::Ran),
        (leaving_signal(), RunOutcome::Ran),
        (retry_delay_signal(), RunOutcome::NotRun),
    ] {
        let mut fleet = synced_fleet();
        record_response(&mut fleet, signals, outcome, at(1));
        apply_event(&mut fleet, event);
        assert_eq!(picks(&mut fleet, at(10)), ["t2", "t2", "t2"], "{signals:?}");
    }
}

#[test]
fn new_run_under_the_name_starts_without_signals() {
    let mut fleet = synced_fleet();
    record_response(&mut fleet, leaving_signal(), RunOutcome::Ran, at(1));
    put(&mut fleet, entry("t1", 2), 5, at(5));
    assert!(picks(&mut fleet, at(6)).contains(&"t1".to_owned()));
}

#[test]
fn target_that_leaves_is_shown_as_draining_to_plans_and_to_doubts_of_its_end() {
    let mut fleet = synced_fleet();
    record_response(&mut fleet, leaving_signal(), RunOutcome::Ran, at(1));
    let name = TargetName::from("t1");
    assert_eq!(fleet.target(&name).map(|t| t.state), Some(TargetState::Draining));
    assert!(!fleet.accepts_work(&name, at(2)));
}

// Guards against a limit that outlasts its end: the planner sends it after this daemon, which did not
// have the limit, received a response that ends it.
#[test]
fn late_limit_is_ended_by_a_response_received_before() {
    let mut fleet = synced_fleet();
    record_response(&mut fleet, Signals::default(), RunOutcome::Ran, at(1000));
    let limit_interval = Interval { sent: at(100), received: at(200) };
    let limit =
        LimitSummary::Named { per_s: 1.0, at: ResponseAges::of(limit_interval.into(), at(1500)) };
    let run = RunKey::of(&entry("t1", 1));
    let brittle = BrittleSummary::Unknown;
    let summary = RunSummary { run, limit, is_leaving: false, brittle };
    fleet.merge_signals(&[summary], at(1500));
    assert!(fleet.rate_limited(at(2)).is_empty());
    assert_eq!(fleet.recent_signals(at(1500)).len(), 1, "the response is reported to the planner");
}

// Without the planner's signals a daemon could send its whole queue to a target that has limited the
// other daemons to one request per second.
#[test]
fn daemon_without_planner_sends_a_target_one_request_until_its_response() {
    let mut fleet = unsynced_fleet();
    assert_eq!(pick(&mut fleet, &["t2"], at(0)), "t1");
    assert_eq!(pick(&mut fleet, &["t2"], at(1)), "full");
    record_response(&mut fleet, Signals::default(), RunOutcome::Ran, at(2));
    assert_eq!(pick(&mut fleet, &["t2"], at(3)), "t1");
}
