//! Daemons as processes: kills, pauses, planned stops and an outage of the table.

mod support;

use std::thread;

use rustix::process::Signal;
use support::{Platform, get, is_complete, post, request_stream};
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
            thread::spawn(move || request_stream(address, 3))
        })
        .collect();
    for thread in threads {
        let response = thread.join().expect("no thread panics");
        assert!(is_complete(&response), "{response}");
    }
    assert_eq!(platform.loaded_engine_count(), 1);
    let loads: u64 = platform.engines.iter().map(|e| e.models.peaks().loads).sum();
    assert_eq!(loads, 1);
}

#[test]
fn planned_stop_under_load_cuts_no_request() {
    let platform = Platform::new(Fencing::Checked);
    let mut daemon = platform.daemon("d0");
    assert!(is_complete(&request_stream(daemon.callers, 1)));
    let address = daemon.callers;
    let threads: Vec<_> =
        (0..20).map(|_| thread::spawn(move || request_stream(address, 200))).collect();
    let running =
        || platform.engines.iter().map(|e| e.executed_requests().requests.len()).sum::<usize>();
    while running() < 21 {
        thread::yield_now();
    }
    daemon.signal(Signal::TERM);
    for thread in threads {
        let response = thread.join().expect("no thread panics");
        assert!(is_complete(&response), "a request was aborted");
    }
    assert_eq!(daemon.wait().code(), Some(0));
    assert!(platform.table.scan("daemon/", "", 10).is_empty());
}

#[test]
fn second_signal_ends_at_once_and_says_so() {
    let platform = Platform::new(Fencing::Checked);
    let mut daemon = platform.daemon("d0");
    assert!(is_complete(&request_stream(daemon.callers, 1)));
    let address = daemon.callers;
    let aborted = thread::spawn(move || request_stream(address, 100_000));
    while platform.engines.iter().map(|e| e.executed_requests().requests.len()).sum::<usize>() < 2 {
        thread::yield_now();
    }
    daemon.signal(Signal::TERM);
    while get(address, "/healthz").contains("200 OK") {
        thread::yield_now();
    }
    daemon.signal(Signal::TERM);
    assert_eq!(daemon.wait().code(), Some(3));
    let response = aborted.join().expect("no thread panics");
    assert!(!is_complete(&response) && !response.ends_with("0\r\n\r\n"));
}

#[test]
fn killed_daemon_costs_at_most_a_retry_through_another() {
    let platform = Platform::new(Fencing::Checked);
    let mut first = platform.daemon("d0");
    let second = platform.daemon("d1");
    assert!(is_complete(&request_stream(first.callers, 1)));
    first.signal(Signal::KILL);
    first.wait();
    assert_eq!(request_stream(first.callers, 1), "");
    assert!(is_complete(&request_stream(second.callers, 1)));
    assert_eq!(platform.loaded_engine_count(), 1);
}

/// The daemon is killed after the target has run the call and before the caller has the response.
#[test]
fn call_of_a_killed_daemon_is_never_run_again() {
    let platform = Platform::new(Fencing::Checked);
    let mut first = platform.daemon("d0");
    let second = platform.daemon("d1");
    platform.plain.faults.lock().expect("no thread panics").hold = true;
    let address = first.callers;
    let call = |address| post(address, "/services/registry/x", "idempotency-key: k\r\n", "load 7");
    let aborted = thread::spawn(move || call(address));
    while platform.plain.executions_of("load 7") == 0 {
        thread::yield_now();
    }
    first.signal(Signal::KILL);
    first.wait();
    assert_eq!(aborted.join().expect("no thread panics"), "");
    platform.plain.faults.lock().expect("no thread panics").hold = false;
    let response = call(second.callers);
    assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
    assert_eq!(platform.plain.executions_of("load 7"), 1);
}

#[test]
fn frozen_daemon_does_not_stop_the_others() {
    let platform = Platform::new(Fencing::Checked);
    let first = platform.daemon("d0");
    let second = platform.daemon("d1");
    assert!(is_complete(&request_stream(first.callers, 1)));
    first.signal(Signal::STOP);
    for _ in 0..5 {
        assert!(is_complete(&request_stream(second.callers, 1)));
    }
    first.signal(Signal::CONT);
    assert!(is_complete(&request_stream(first.callers, 1)));
    assert_eq!(platform.loaded_engine_count(), 1);
}

#[test]
fn table_away_leaves_warm_requests_and_refuses_what_needs_it() {
    let platform = Platform::new(Fencing::Checked);
    let daemon = platform.daemon("d0");
    assert!(is_complete(&request_stream(daemon.callers, 1)));
    platform.table.faults.lock().expect("no thread panics").down = true;
    for _ in 0..3 {
        assert!(is_complete(&request_stream(daemon.callers, 1)));
    }
    let call = || post(daemon.callers, "/services/registry/x", "idempotency-key: k\r\n", "load 7");
    let refused = call();
    assert!(refused.contains("\"code\":\"store_unavailable\""), "{refused}");
    assert!(refused.contains("\"outcome\":\"not_run\""));
    assert_eq!(platform.plain.executions_of("load 7"), 0);
    platform.table.faults.lock().expect("no thread panics").down = false;
    assert!(call().contains("200 OK"));
    assert_eq!(platform.plain.executions_of("load 7"), 1);
}

#[test]
fn leaving_target_gets_no_new_request_and_finishes_its_own() {
    let platform = Platform::new(Fencing::Checked);
    let daemon = platform.daemon("d0");
    assert!(is_complete(&request_stream(daemon.callers, 1)));
    let leaving = platform
        .engines
        .iter()
        .position(|e| !e.executed_requests().requests.is_empty())
        .expect("an engine has run the request");
    let address = daemon.callers;
    let long_request = thread::spawn(move || request_stream(address, 300));
    while platform.engines[leaving].executed_requests().requests.len() < 2 {
        thread::yield_now();
    }
    platform.hosts.set_state(&TargetName::new(format!("e{leaving}")), Some(HostState::Leaving));
    // Requests continue; once one of them has run on the other engine, none returns to this one.
    while platform.engines[1 - leaving].executed_requests().requests.is_empty() {
        request_stream(daemon.callers, 1);
    }
    let before = platform.engines[leaving].executed_requests().requests.len();
    for _ in 0..5 {
        assert!(is_complete(&request_stream(daemon.callers, 1)));
    }
    assert_eq!(platform.engines[leaving].executed_requests().requests.len(), before);
    assert!(is_complete(&long_request.join().expect("no thread panics")));
}
