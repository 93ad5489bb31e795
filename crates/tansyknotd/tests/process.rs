//! Daemons as processes: kills, freezes, planned stops, an outage of the table.

mod support;

use std::thread;

use rustix::process::Signal;
use support::{Platform, get, is_whole, post, stream};
use tansyknot_core::{
    host::{Fencing, HostState},
    name::TargetName,
};
use yare::parameterized;

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn burst_of_first_requests_at_three_daemons_loads_once(fencing: Fencing) {
    let platform = Platform::new(fencing);
    let daemons: Vec<_> = (0..3).map(|i| platform.daemon(&format!("d{i}"))).collect();
    let callers: Vec<_> = daemons.iter().map(|d| d.callers).collect();
    let threads: Vec<_> = (0..30)
        .map(|i| {
            let address = callers[i % 3];
            thread::spawn(move || stream(address, 3))
        })
        .collect();
    for thread in threads {
        let answer = thread.join().expect("no panic");
        assert!(is_whole(&answer), "{answer}");
    }
    assert_eq!(platform.loaded(), 1);
    let loads: u64 = platform.engines.iter().map(|e| e.models.peaks().loads).sum();
    assert_eq!(loads, 1);
}

#[test]
fn planned_stop_under_load_cuts_no_request() {
    let platform = Platform::new(Fencing::Checked);
    let mut daemon = platform.daemon("d0");
    assert!(is_whole(&stream(daemon.callers, 1)));
    let address = daemon.callers;
    let threads: Vec<_> = (0..20).map(|_| thread::spawn(move || stream(address, 200))).collect();
    let running =
        || platform.engines.iter().map(|e| e.executed_requests().requests.len()).sum::<usize>();
    while running() < 21 {
        thread::yield_now();
    }
    daemon.signal(Signal::TERM);
    for thread in threads {
        let answer = thread.join().expect("no panic");
        assert!(is_whole(&answer), "a request was cut");
    }
    assert_eq!(daemon.wait().code(), Some(0));
    assert!(platform.table.scan("daemon/", "", 10).is_empty());
}

#[test]
fn second_signal_ends_at_once_and_says_so() {
    let platform = Platform::new(Fencing::Checked);
    let mut daemon = platform.daemon("d0");
    assert!(is_whole(&stream(daemon.callers, 1)));
    let address = daemon.callers;
    let cut = thread::spawn(move || stream(address, 100_000));
    while platform.engines.iter().map(|e| e.executed_requests().requests.len()).sum::<usize>() < 2 {
        thread::yield_now();
    }
    daemon.signal(Signal::TERM);
    while get(address, "/healthz").contains("200 OK") {
        thread::yield_now();
    }
    daemon.signal(Signal::TERM);
    assert_eq!(daemon.wait().code(), Some(3));
    let answer = cut.join().expect("no panic");
    assert!(!is_whole(&answer) && !answer.ends_with("0\r\n\r\n"));
}

#[test]
fn killed_daemon_costs_at_most_a_retry_through_another() {
    let platform = Platform::new(Fencing::Checked);
    let mut first = platform.daemon("d0");
    let second = platform.daemon("d1");
    assert!(is_whole(&stream(first.callers, 1)));
    first.signal(Signal::KILL);
    first.wait();
    assert_eq!(stream(first.callers, 1), "");
    assert!(is_whole(&stream(second.callers, 1)));
    assert_eq!(platform.loaded(), 1);
}

/// The daemon dies after the target has run the call and before the caller has its answer.
#[test]
fn call_of_a_killed_daemon_is_never_run_again() {
    let platform = Platform::new(Fencing::Checked);
    let mut first = platform.daemon("d0");
    let second = platform.daemon("d1");
    platform.plain.faults.lock().expect("no panic").hold = true;
    let address = first.callers;
    let call = |address| post(address, "/services/registry/x", "idempotency-key: k\r\n", "load 7");
    let cut = thread::spawn(move || call(address));
    while platform.plain.executions_of("load 7") == 0 {
        thread::yield_now();
    }
    first.signal(Signal::KILL);
    first.wait();
    assert_eq!(cut.join().expect("no panic"), "");
    platform.plain.faults.lock().expect("no panic").hold = false;
    let answer = call(second.callers);
    assert!(answer.contains("\"outcome\":\"unknown\""), "{answer}");
    assert_eq!(platform.plain.executions_of("load 7"), 1);
}

#[test]
fn frozen_daemon_does_not_stop_the_others() {
    let platform = Platform::new(Fencing::Checked);
    let first = platform.daemon("d0");
    let second = platform.daemon("d1");
    assert!(is_whole(&stream(first.callers, 1)));
    first.signal(Signal::STOP);
    for _ in 0..5 {
        assert!(is_whole(&stream(second.callers, 1)));
    }
    first.signal(Signal::CONT);
    assert!(is_whole(&stream(first.callers, 1)));
    assert_eq!(platform.loaded(), 1);
}

#[test]
fn table_away_leaves_warm_requests_and_refuses_what_needs_it() {
    let platform = Platform::new(Fencing::Checked);
    let daemon = platform.daemon("d0");
    assert!(is_whole(&stream(daemon.callers, 1)));
    platform.table.faults.lock().expect("no panic").down = true;
    for _ in 0..3 {
        assert!(is_whole(&stream(daemon.callers, 1)));
    }
    let call = || post(daemon.callers, "/services/registry/x", "idempotency-key: k\r\n", "load 7");
    let refused = call();
    assert!(refused.contains("\"code\":\"store_unavailable\""), "{refused}");
    assert!(refused.contains("\"outcome\":\"not_run\""));
    assert_eq!(platform.plain.executions_of("load 7"), 0);
    platform.table.faults.lock().expect("no panic").down = false;
    assert!(call().contains("200 OK"));
    assert_eq!(platform.plain.executions_of("load 7"), 1);
}

#[test]
fn leaving_target_gets_no_new_request_and_finishes_its_own() {
    let platform = Platform::new(Fencing::Checked);
    let daemon = platform.daemon("d0");
    assert!(is_whole(&stream(daemon.callers, 1)));
    let at = platform
        .engines
        .iter()
        .position(|e| !e.executed_requests().requests.is_empty())
        .expect("one ran");
    let address = daemon.callers;
    let long = thread::spawn(move || stream(address, 300));
    while platform.engines[at].executed_requests().requests.len() < 2 {
        thread::yield_now();
    }
    platform.hosts.set_state(&TargetName::new(format!("e{at}")), Some(HostState::Leaving));
    // Requests go on; as soon as one has been served elsewhere, none goes back.
    while platform.engines[1 - at].executed_requests().requests.is_empty() {
        stream(daemon.callers, 1);
    }
    let before = platform.engines[at].executed_requests().requests.len();
    for _ in 0..5 {
        assert!(is_whole(&stream(daemon.callers, 1)));
    }
    assert_eq!(platform.engines[at].executed_requests().requests.len(), before);
    assert!(is_whole(&long.join().expect("no panic")));
}
