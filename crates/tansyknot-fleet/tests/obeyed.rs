//! Which targets take requests after what they have said of themselves, on every way to a target.

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
        Interval, Outcome, Rate, SignalField, Signals,
        message::{LimitSummary, ResponseAges, RunSummary},
    },
    dissemination::message::TargetOverride,
    fleet::{Fleet, Pick, TargetRequirements},
    freshness::FreshnessLimits,
    platform_api::TargetChange,
    poison::key::RunKey,
    target::{Removal, StartTime, Target, TargetState},
};
use yare::parameterized;

const REST: Duration = Duration::from_secs(3);

fn at(ms: u64) -> Time {
    Time::from_millis(100_000 + ms)
}

/// Makes the view of a daemon that has heard a planner, with two targets that hold `m0`.
fn told() -> Fleet {
    let mut fleet = untold();
    fleet.mark_signals_synced();
    fleet
}

fn untold() -> Fleet {
    let mut fleet = Fleet::new(ZoneName::from("z1"), FreshnessLimits::default());
    fleet.apply_full_list(vec![entry("t1", 1), entry("t2", 1)], 1, None, at(0));
    fleet
}

fn entry(name: &str, born: u64) -> Target {
    Target { started_at: Some(StartTime(born)), ..target(name, &["m0"], &[]) }
}

fn put(fleet: &mut Fleet, entry: Target, version: u64, now: Time) {
    fleet.apply_change(TargetChange::Put(Box::new(Target { version, ..entry })), now);
}

/// Takes in an answer of `t1` to a request that was sent a moment before.
fn hear(fleet: &mut Fleet, signals: Signals, outcome: Outcome, now: Time) {
    let interval = Interval { sent: now.saturating_sub(Duration::from_millis(1)), received: now };
    fleet.record_signals(&entry("t1", 1), &signals, outcome, interval);
}

fn naming(per_s: f64) -> Signals {
    Signals {
        limit: Rate::new(per_s).map_or(SignalField::Malformed, SignalField::Value),
        ..Signals::default()
    }
}

fn says_it_leaves() -> Signals {
    Signals { leaving: SignalField::Value(()), ..Signals::default() }
}

fn wants_rest() -> Signals {
    Signals { retry_delay: SignalField::Value(REST), ..Signals::default() }
}

fn name(pick: Pick) -> String {
    match pick {
        Pick::Target(t) => t.name.to_string(),
        Pick::Limited { target, .. } => format!("{} in its turn", target.name),
        Pick::BackingOff(until) => format!("in {} ms", until.since(at(0)).as_millis()),
        Pick::Full => "full".to_owned(),
        Pick::NotLoaded | Pick::NoTarget => "none".to_owned(),
    }
}

fn pick(fleet: &mut Fleet, tried: &[&str], now: Time) -> String {
    let tried: Vec<TargetName> = tried.iter().map(|t| TargetName::from(*t)).collect();
    let (service, model) = (ServiceName::from("s"), ModelName::from("m0"));
    let want =
        TargetRequirements { service: &service, model: Some(&model), adapter: None, prefix: None };
    name(fleet.pick(&want, &tried, now, &mut StdRng::seed_from_u64(1)))
}

fn handover(fleet: &mut Fleet, now: Time) -> Option<String> {
    let (service, model) = (ServiceName::from("s"), ModelName::from("m0"));
    let want =
        TargetRequirements { service: &service, model: Some(&model), adapter: None, prefix: None };
    let tried = [TargetName::from("t2")];
    let picked = fleet.pick_other(&want, &tried, now, &mut StdRng::seed_from_u64(1));
    picked.map(|t| t.name.to_string())
}

/// Returns whom three requests go to.
fn picks(fleet: &mut Fleet, now: Time) -> [String; 3] {
    [(); 3].map(|()| pick(fleet, &[], now))
}

#[parameterized(
    limit = { naming(1.0), Outcome::Ran },
    leaving = { says_it_leaves(), Outcome::Ran },
    rest = { wants_rest(), Outcome::NotRun },
)]
fn others_that_hold_the_model_go_first(signals: Signals, outcome: Outcome) {
    let mut fleet = told();
    hear(&mut fleet, signals, outcome, at(1));
    assert_eq!(picks(&mut fleet, at(2)), ["t2", "t2", "t2"]);
}

#[parameterized(
    limit = { naming(1.0), Outcome::Ran, "t1 in its turn" },
    leaving = { says_it_leaves(), Outcome::Ran, "t2" },
    rest = { wants_rest(), Outcome::NotRun, "t2" },
)]
fn second_send_goes_where_it_is_wanted(signals: Signals, outcome: Outcome, expected: &str) {
    let mut fleet = told();
    hear(&mut fleet, signals, outcome, at(1));
    assert_eq!(pick(&mut fleet, &["t2"], at(2)), expected);
}

#[parameterized(
    limit = { naming(1.0), Outcome::Ran },
    leaving = { says_it_leaves(), Outcome::Ran },
    rest = { wants_rest(), Outcome::NotRun },
)]
fn silent_target_is_kept_where_the_other_one_takes_nothing(signals: Signals, outcome: Outcome) {
    let mut fleet = told();
    assert_eq!(handover(&mut fleet, at(0)), Some("t1".to_owned()));
    hear(&mut fleet, signals, outcome, at(1));
    assert_eq!(handover(&mut fleet, at(2)), None);
}

#[parameterized(
    limit = { naming(1.0), Outcome::Ran },
    leaving = { says_it_leaves(), Outcome::Ran },
    rest = { wants_rest(), Outcome::NotRun },
)]
fn request_that_was_on_its_way_there_is_not_sent(signals: Signals, outcome: Outcome) {
    let mut fleet = told();
    let run = RunKey::of(&entry("t1", 1));
    assert!(fleet.may_send(run, None, at(0)));
    hear(&mut fleet, signals, outcome, at(1));
    assert!(!fleet.may_send(run, None, at(2)));
}

#[test]
fn rest_that_only_one_holds_is_waited_for_until_its_end() {
    let mut fleet = told();
    put(&mut fleet, Target { models: Vec::new(), ..entry("t2", 1) }, 2, at(0));
    hear(&mut fleet, wants_rest(), Outcome::NotRun, at(1));
    assert_eq!(pick(&mut fleet, &[], at(2)), "in 3001 ms");
    assert_eq!(pick(&mut fleet, &[], at(3001)), "t1");
    assert_eq!(pick(&mut fleet, &[], at(3002)), "in 3501 ms", "the others wait for its answer");
}

fn note() -> TargetOverride {
    TargetOverride {
        target: TargetName::from("t1"),
        started_at: Some(StartTime(1)),
        revision: 1,
        state: TargetState::Ready,
        models: entry("t1", 1).models,
    }
}

/// What happens to the entry of a target that has spoken.
#[derive(Clone, Copy, Debug)]
enum Event {
    Unchanged,
    Lapsed,
    Noted,
    ReadAnew,
}

fn happen(fleet: &mut Fleet, event: Event) {
    match event {
        Event::Unchanged => put(fleet, entry("t1", 1), 5, at(5)),
        Event::Noted => fleet.apply_override(&note(), 1, at(5)),
        Event::Lapsed => {
            let removal = Removal { name: TargetName::from("t1"), version: 5 };
            fleet.apply_change(TargetChange::Removed(removal), at(5));
            put(fleet, entry("t1", 1), 6, at(6));
        }
        Event::ReadAnew => {
            let all = ["t1", "t2"].map(|name| Target { version: 5, ..entry(name, 1) });
            fleet.apply_full_list(all.to_vec(), 5, Some(1), at(5));
        }
    }
}

#[parameterized(
    unchanged = { Event::Unchanged },
    lapsed = { Event::Lapsed },
    noted = { Event::Noted },
    read_anew = { Event::ReadAnew },
)]
fn word_outlives_what_happens_to_the_entry(event: Event) {
    for (signals, outcome) in [
        (naming(1.0), Outcome::Ran),
        (says_it_leaves(), Outcome::Ran),
        (wants_rest(), Outcome::NotRun),
    ] {
        let mut fleet = told();
        hear(&mut fleet, signals, outcome, at(1));
        happen(&mut fleet, event);
        assert_eq!(picks(&mut fleet, at(10)), ["t2", "t2", "t2"], "{signals:?}");
    }
}

#[test]
fn another_run_under_the_name_begins_with_a_clean_sheet() {
    let mut fleet = told();
    hear(&mut fleet, says_it_leaves(), Outcome::Ran, at(1));
    put(&mut fleet, entry("t1", 2), 5, at(5));
    assert!(picks(&mut fleet, at(6)).contains(&"t1".to_owned()));
}

#[test]
fn target_that_leaves_is_shown_as_draining_to_plans_and_to_doubts_of_its_end() {
    let mut fleet = told();
    hear(&mut fleet, says_it_leaves(), Outcome::Ran, at(1));
    let name = TargetName::from("t1");
    assert_eq!(fleet.target(&name).map(|t| t.state), Some(TargetState::Draining));
    assert!(!fleet.accepts_work(&name, at(2)));
}

// A planner told of a limit that had ended by an answer to a daemon which had not known of it.
#[test]
fn limit_told_late_is_ended_by_what_this_daemon_has_heard_since() {
    let mut fleet = told();
    hear(&mut fleet, Signals::default(), Outcome::Ran, at(1000));
    let named = Interval { sent: at(100), received: at(200) };
    let limit = LimitSummary::Named { per_s: 1.0, at: ResponseAges::of(named.into(), at(1500)) };
    let word = RunSummary { run: RunKey::of(&entry("t1", 1)), limit, is_leaving: false };
    fleet.merge_signals(&[word], at(1500));
    assert!(fleet.rate_limited().is_empty());
    assert_eq!(fleet.recent_signals(at(1500)).len(), 1, "the planner is told");
}

// It would have sent all that waits to a target that has told others that it takes one a second.
#[test]
fn daemon_that_has_heard_no_planner_sends_a_target_one_request_until_it_answers() {
    let mut fleet = untold();
    assert_eq!(pick(&mut fleet, &["t2"], at(0)), "t1");
    assert_eq!(pick(&mut fleet, &["t2"], at(1)), "full");
    hear(&mut fleet, Signals::default(), Outcome::Ran, at(2));
    assert_eq!(pick(&mut fleet, &["t2"], at(3)), "t1");
}
