//! Tests the state that follows from a target's signals, also when responses arrive out of order.

use std::time::Duration;

use tansyknot_core::clock::Time;
use tansyknot_fleet::{
    backpressure::{
        Interval, Rate, RunOutcome, SignalField, Signals,
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
    Rate::new(per_s).expect("the rate is valid")
}

fn interval(sent_ms: u64, received_ms: u64) -> Interval {
    Interval { sent: at(sent_ms), received: at(received_ms) }
}

fn limit_signal(per_s: f64) -> Signals {
    Signals { limit: SignalField::Value(rate(per_s)), ..Signals::default() }
}

fn retry_delay_signal(ms: u64) -> Signals {
    Signals { retry_delay: SignalField::Value(Duration::from_millis(ms)), ..Signals::default() }
}

const NO_SIGNALS: Signals = Signals {
    limit: SignalField::Absent,
    leaving: SignalField::Absent,
    retry_delay: SignalField::Absent,
    brittle: SignalField::Absent,
};
const LEAVING: Signals = Signals { leaving: SignalField::Value(()), ..NO_SIGNALS };

/// Returns the limit after `responses` in the order of their arrival. Each has its signals, its outcome
/// and the interval from the send of the request to the arrival.
fn limit_after(responses: &[(Signals, RunOutcome, Interval)]) -> Option<f64> {
    let mut state = RunState::default();
    for (signals, outcome, at) in responses {
        state.apply(signals, *outcome, *at);
    }
    state.limit().map(|limit| limit.rate.per_s())
}

#[parameterized(
    named = { &[(limit_signal(2.0), RunOutcome::Ran, interval(0, 9))], Some(2.0) },
    named_by_a_refusal = { &[(limit_signal(2.0), RunOutcome::NotRun, interval(0, 9))], Some(2.0) },
    ended_by_a_later_response = {
        &[
            (limit_signal(2.0), RunOutcome::Ran, interval(0, 9)),
            (NO_SIGNALS, RunOutcome::Ran, interval(10, 20)),
        ],
        None
    },
    not_ended_by_a_response_that_it_overtook = {
        &[
            (limit_signal(2.0), RunOutcome::Ran, interval(3, 9)),
            (NO_SIGNALS, RunOutcome::Ran, interval(0, 20)),
        ],
        Some(2.0)
    },
    not_ended_by_a_refusal = {
        &[
            (limit_signal(2.0), RunOutcome::Ran, interval(0, 9)),
            (NO_SIGNALS, RunOutcome::NotRun, interval(10, 20)),
        ],
        Some(2.0)
    },
    not_ended_by_a_malformed_one = {
        &[
            (limit_signal(2.0), RunOutcome::Ran, interval(0, 9)),
            (Signals { limit: SignalField::Malformed, ..NO_SIGNALS }, RunOutcome::Ran, interval(10, 20)),
        ],
        Some(2.0)
    },
    lowered_at_once = {
        &[
            (limit_signal(20.0), RunOutcome::Ran, interval(3, 9)),
            (limit_signal(1.0), RunOutcome::Ran, interval(0, 20)),
        ],
        Some(1.0)
    },
    not_lowered_by_an_earlier_response = {
        &[
            (limit_signal(20.0), RunOutcome::Ran, interval(10, 20)),
            (limit_signal(1.0), RunOutcome::Ran, interval(0, 9)),
        ],
        Some(20.0)
    },
    raised_by_a_later_response = {
        &[
            (limit_signal(1.0), RunOutcome::Ran, interval(0, 9)),
            (limit_signal(20.0), RunOutcome::Ran, interval(10, 20)),
        ],
        Some(20.0)
    },
    not_raised_by_a_response_that_it_overtook = {
        &[
            (limit_signal(1.0), RunOutcome::Ran, interval(3, 9)),
            (limit_signal(20.0), RunOutcome::Ran, interval(0, 20)),
        ],
        Some(1.0)
    },
)]
fn limit_in_force(responses: &[(Signals, RunOutcome, Interval)], expected: Option<f64>) {
    assert_eq!(limit_after(responses), expected);
}

#[parameterized(
    success = { NO_SIGNALS },
    limit = { limit_signal(5.0) },
    retry_delay = { retry_delay_signal(100) },
)]
fn leaving_target_stays_leaving(later: Signals) {
    let mut registry = Registry::default();
    registry.apply(RUN, &LEAVING, RunOutcome::Ran, interval(0, 9));
    registry.apply(RUN, &later, RunOutcome::Ran, interval(10, 20));
    assert_eq!(registry.availability(RUN, at(60_000)), Availability::Leaving);
}

#[parameterized(
    success_in_flight = { NO_SIGNALS },
    shorter_retry_delay = { retry_delay_signal(100) },
)]
fn rest_is_not_ended_early(later: Signals) {
    let mut registry = Registry::default();
    registry.apply(RUN, &retry_delay_signal(3000), RunOutcome::NotRun, interval(0, 9));
    registry.apply(RUN, &later, RunOutcome::Ran, interval(5, 20));
    assert_eq!(registry.availability(RUN, at(2000)), Availability::BackingOff(at(3009)));
}

#[test]
fn after_a_rest_one_request_asks_before_others_come() {
    let mut registry = Registry::default();
    registry.apply(RUN, &retry_delay_signal(3000), RunOutcome::NotRun, interval(0, 9));
    assert_eq!(registry.availability(RUN, at(3009)), Availability::Open);
    registry.record_choice(RUN, at(3010));
    assert_eq!(registry.availability(RUN, at(3011)), Availability::BackingOff(at(3510)));
    registry.apply(RUN, &NO_SIGNALS, RunOutcome::Ran, interval(3010, 3020));
    assert_eq!(registry.availability(RUN, at(3021)), Availability::Open);
}

#[test]
fn excessive_retry_delay_ends_within_a_minute() {
    let mut registry = Registry::default();
    registry.apply(
        RUN,
        &retry_delay_signal(u64::from(u32::MAX) * 1000),
        RunOutcome::NotRun,
        interval(0, 0),
    );
    assert_eq!(registry.availability(RUN, at(60_000)), Availability::Open);
}

#[test]
fn signals_of_one_run_do_not_apply_to_another() {
    let mut registry = Registry::default();
    registry.apply(RUN, &LEAVING, RunOutcome::Ran, interval(0, 9));
    assert_eq!(registry.availability(RunKey(2), at(10)), Availability::Open);
}

#[test]
fn registry_is_bounded_and_drops_the_oldest_run() {
    let mut registry = Registry::default();
    for n in 0..9000 {
        registry.apply(RunKey(n), &LEAVING, RunOutcome::Ran, interval(n, n));
    }
    assert_eq!(registry.availability(RunKey(0), at(9000)), Availability::Open);
    assert_eq!(registry.availability(RunKey(8999), at(9000)), Availability::Leaving);
}
