//! What targets have said of themselves, however answers overtake each other.

use std::time::Duration;

use tansyknot_core::clock::Time;
use tansyknot_fleet::{
    backpressure::{
        Interval, Outcome, Rate, SignalField, Signals,
        registry::Registry,
        run_state::{Availability, RunState},
    },
    poison::key::RunKey,
};
use yare::parameterized;

const RUN: RunKey = RunKey(1);

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1000)
}

fn rate(per_s: f64) -> Rate {
    Rate::new(per_s).expect("it is a rate")
}

fn interval(sent_ms: u64, received_ms: u64) -> Interval {
    Interval { sent: at(sent_ms), received: at(received_ms) }
}

fn naming(per_s: f64) -> Signals {
    Signals { limit: SignalField::Value(rate(per_s)), ..Signals::default() }
}

fn resting(ms: u64) -> Signals {
    Signals { retry_delay: SignalField::Value(Duration::from_millis(ms)), ..Signals::default() }
}

const SILENT: Signals = Signals {
    limit: SignalField::Absent,
    leaving: SignalField::Absent,
    retry_delay: SignalField::Absent,
};
const LEAVES: Signals = Signals { leaving: SignalField::Value(()), ..SILENT };

/// Returns the limit after answers in the order in which they came: what each said, if it ran, when
/// its request was sent and when it came.
fn limit_after(answers: &[(Signals, Outcome, Interval)]) -> Option<f64> {
    let mut word = RunState::default();
    for (signals, outcome, at) in answers {
        word.hear(signals, *outcome, *at);
    }
    word.limit().map(|limit| limit.rate.per_s())
}

#[parameterized(
    named = { &[(naming(2.0), Outcome::Ran, interval(0, 9))], Some(2.0) },
    named_by_a_refusal = { &[(naming(2.0), Outcome::NotRun, interval(0, 9))], Some(2.0) },
    ended_by_a_later_answer = {
        &[(naming(2.0), Outcome::Ran, interval(0, 9)), (SILENT, Outcome::Ran, interval(10, 20))], None
    },
    not_ended_by_an_answer_that_it_overtook = {
        &[(naming(2.0), Outcome::Ran, interval(3, 9)), (SILENT, Outcome::Ran, interval(0, 20))],
        Some(2.0)
    },
    not_ended_by_a_refusal = {
        &[(naming(2.0), Outcome::Ran, interval(0, 9)), (SILENT, Outcome::NotRun, interval(10, 20))],
        Some(2.0)
    },
    not_ended_by_a_malformed_one = {
        &[
            (naming(2.0), Outcome::Ran, interval(0, 9)),
            (Signals { limit: SignalField::Malformed, ..SILENT }, Outcome::Ran, interval(10, 20)),
        ],
        Some(2.0)
    },
    lowered_at_once = {
        &[(naming(20.0), Outcome::Ran, interval(3, 9)), (naming(1.0), Outcome::Ran, interval(0, 20))],
        Some(1.0)
    },
    not_lowered_by_an_answer_from_before = {
        &[(naming(20.0), Outcome::Ran, interval(10, 20)), (naming(1.0), Outcome::Ran, interval(0, 9))],
        Some(20.0)
    },
    raised_by_a_later_answer = {
        &[(naming(1.0), Outcome::Ran, interval(0, 9)), (naming(20.0), Outcome::Ran, interval(10, 20))],
        Some(20.0)
    },
    not_raised_by_an_answer_that_it_overtook = {
        &[(naming(1.0), Outcome::Ran, interval(3, 9)), (naming(20.0), Outcome::Ran, interval(0, 20))],
        Some(1.0)
    },
)]
fn limit_in_force(answers: &[(Signals, Outcome, Interval)], expected: Option<f64>) {
    assert_eq!(limit_after(answers), expected);
}

#[parameterized(
    success = { SILENT },
    limit = { naming(5.0) },
    rest = { resting(100) },
)]
fn target_that_leaves_does_not_come_back(later: Signals) {
    let mut words = Registry::default();
    words.apply(RUN, &LEAVES, Outcome::Ran, interval(0, 9));
    words.apply(RUN, &later, Outcome::Ran, interval(10, 20));
    assert_eq!(words.availability(RUN, at(60_000)), Availability::Leaving);
}

#[parameterized(
    success_that_was_on_its_way = { SILENT },
    shorter_rest = { resting(100) },
)]
fn rest_is_not_ended_early(later: Signals) {
    let mut words = Registry::default();
    words.apply(RUN, &resting(3000), Outcome::NotRun, interval(0, 9));
    words.apply(RUN, &later, Outcome::Ran, interval(5, 20));
    assert_eq!(words.availability(RUN, at(2000)), Availability::BackingOff(at(3009)));
}

#[test]
fn after_a_rest_one_request_asks_before_others_come() {
    let mut words = Registry::default();
    words.apply(RUN, &resting(3000), Outcome::NotRun, interval(0, 9));
    assert_eq!(words.availability(RUN, at(3009)), Availability::Open);
    words.record_choice(RUN, at(3010));
    assert_eq!(words.availability(RUN, at(3011)), Availability::BackingOff(at(3510)));
    words.apply(RUN, &SILENT, Outcome::Ran, interval(3010, 3020));
    assert_eq!(words.availability(RUN, at(3021)), Availability::Open);
}

#[test]
fn garbled_rest_of_centuries_ends_within_a_minute() {
    let mut words = Registry::default();
    words.apply(RUN, &resting(u64::from(u32::MAX) * 1000), Outcome::NotRun, interval(0, 0));
    assert_eq!(words.availability(RUN, at(60_000)), Availability::Open);
}

#[test]
fn word_of_one_run_says_nothing_of_another() {
    let mut words = Registry::default();
    words.apply(RUN, &LEAVES, Outcome::Ran, interval(0, 9));
    assert_eq!(words.availability(RunKey(2), at(10)), Availability::Open);
}

#[test]
fn words_are_bounded_and_the_oldest_goes_first() {
    let mut words = Registry::default();
    for n in 0..9000 {
        words.apply(RunKey(n), &LEAVES, Outcome::Ran, interval(n, n));
    }
    assert_eq!(words.availability(RunKey(0), at(9000)), Availability::Open);
    assert_eq!(words.availability(RunKey(8999), at(9000)), Availability::Leaving);
}
