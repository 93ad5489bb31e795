//! Requests that run at most once, sent through two daemons, with lost messages and a killed daemon.

mod support;

use support::{TestPlatform, exchange, request, status};
use tansyknot_core::refusal::Reason;
use tansyknot_standins::{fake::CommitFault, plain::PlainFaults};
use yare::parameterized;

fn call(key: &str, body: &str) -> Vec<u8> {
    request("POST /services/registry/record", &[&format!("idempotency-key: {key}")], body)
}

fn code(response: &str) -> &str {
    let rest = response.split("\"code\":\"").nth(1).unwrap_or_default();
    rest.split('"').next().unwrap_or_default()
}

#[test]
fn retry_through_another_daemon_gets_the_first_answer() {
    let platform = TestPlatform::new();
    let (first, second) = (platform.start_daemon(), platform.start_daemon());
    let first_response = exchange(first.address, &call("k", "load 7"));
    let second_response = exchange(second.address, &call("k", "load 7"));
    assert_eq!(status(&first_response), 200);
    assert_eq!(status(&second_response), 200);
    assert!(second_response.contains("idempotency-replayed: true"));
    assert!(second_response.contains("\"runs\":1"));
    assert_eq!(platform.plain.executions_of("load 7"), 1);
}

#[test]
fn key_with_another_body_is_refused() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    exchange(daemon.address, &call("k", "load 7"));
    let other = exchange(daemon.address, &call("k", "load 8"));
    assert_eq!(code(&other), Reason::KeyReused.code());
    assert_eq!(platform.plain.executions_of("load 8"), 0);
}

#[test]
fn answer_lost_after_the_run_is_unknown_and_never_run_again() {
    let platform = TestPlatform::new();
    *platform.plain.faults.lock().expect("the lock is not poisoned") =
        PlainFaults { cut_answers: true, ..PlainFaults::default() };
    let (first, second) = (platform.start_daemon(), platform.start_daemon());
    let first_response = exchange(first.address, &call("k", "load 7"));
    assert!(first_response.contains("\"outcome\":\"unknown\""), "{first_response}");
    *platform.plain.faults.lock().expect("the lock is not poisoned") = PlainFaults::default();
    let second_response = exchange(second.address, &call("k", "load 7"));
    assert_eq!(code(&second_response), Reason::KeyInUse.code());
    assert!(second_response.contains("\"outcome\":\"unknown\""), "{second_response}");
    assert_eq!(platform.plain.executions_of("load 7"), 1);
}

/// Each case lists the faults of the table during the first use of a key, and whether the call runs.
#[parameterized(
    reply_of_the_row_lost = { &[CommitFault::LostReply], 200, 1 },
    request_of_the_row_lost = { &[CommitFault::LostRequest], 200, 1 },
    table_unreachable = { &[CommitFault::Unreachable], 503, 0 },
    rows_result_unknown = { &[CommitFault::LostRequest, CommitFault::LostRequest, CommitFault::LostRequest], 503, 0 },
    answers_row_lost = { &[CommitFault::None, CommitFault::LostRequest, CommitFault::Unreachable], 200, 1 },
)]
fn lost_table_messages_never_run_a_call_twice(faults: &[CommitFault], expected: u16, runs: u64) {
    let platform = TestPlatform::new();
    let (first, second) = (platform.start_daemon(), platform.start_daemon());
    first.table.script(faults.iter().copied());
    let first_response = exchange(first.address, &call("k", "load 7"));
    assert_eq!(status(&first_response), expected, "{first_response}");
    assert_eq!(platform.plain.executions_of("load 7"), runs);
    let _second_response = exchange(second.address, &call("k", "load 7"));
    assert!(platform.plain.executions_of("load 7") <= 1);
}

#[test]
fn table_down_refuses_first_runs_at_once_and_says_when_to_come_back() {
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    daemon.table.set_unreachable(true);
    let response = exchange(daemon.address, &call("k", "load 7"));
    assert_eq!(code(&response), Reason::StoreUnavailable.code());
    assert!(response.contains("retry-after: 5"), "{response}");
    assert!(response.contains("\"outcome\":\"not_run\""));
    assert_eq!(platform.plain.executions_of("load 7"), 0);
    // Requests to loaded models need no row and are still served.
    let warm = exchange(daemon.address, &support::completion("permit", false, 1));
    assert_eq!(status(&warm), 200);
}

#[test]
fn call_that_was_not_run_frees_its_key() {
    let platform = TestPlatform::new();
    platform.disconnect(2);
    let daemon = platform.start_daemon();
    let response = exchange(daemon.address, &call("k", "load 7"));
    assert!(response.contains("\"outcome\":\"not_run\""), "{response}");
    let rows = platform.table.state.scan("key/", "", 10);
    assert!(rows.is_empty(), "{rows:?}");
}

#[test]
fn daemon_killed_after_the_row_leaves_the_call_unknown() {
    use tansyknot_control::idempotency::{self, KeyUse};
    let platform = TestPlatform::new();
    let daemon = platform.start_daemon();
    // The row that a daemon leaves if it is killed after it wrote the row and before it sends a byte.
    let body = "load 7";
    let hash = xxhash_rust::xxh3::xxh3_128(format!("registry /record {body}").as_bytes());
    let key = KeyUse {
        caller: &"hauler".into(),
        key_hash: &tansyknot_config::objects_in_force::key_hash("k"),
        request_hash: &format!("{hash:032x}"),
        request: &"killed".into(),
        incarnation: &"d9#1".into(),
        at_ms: now_ms(),
    };
    idempotency::begin(&platform.table, &key).expect("the table is up");
    let response = exchange(daemon.address, &call("k", body));
    assert_eq!(code(&response), Reason::KeyInUse.code(), "{response}");
    assert!(response.contains("\"outcome\":\"unknown\""));
    assert_eq!(platform.plain.executions_of(body), 0);
}

fn now_ms() -> u64 {
    use tansyknot_core::clock::{Clock, SystemClock};
    SystemClock::new().wall_ms()
}

#[test]
fn two_daemons_at_once_run_the_call_once() {
    let platform = TestPlatform::new();
    *platform.plain.faults.lock().expect("the lock is not poisoned") =
        PlainFaults { slow_ms: 20, ..PlainFaults::default() };
    let daemons = [platform.start_daemon(), platform.start_daemon(), platform.start_daemon()];
    let threads: Vec<_> = daemons
        .iter()
        .map(|daemon| {
            let address = daemon.address;
            std::thread::spawn(move || exchange(address, &call("k", "load 7")))
        })
        .collect();
    let responses: Vec<String> =
        threads.into_iter().map(|t| t.join().expect("the thread does not panic")).collect();
    assert_eq!(responses.iter().filter(|a| status(a) == 200).count(), 1, "{responses:?}");
    assert_eq!(platform.plain.executions_of("load 7"), 1);
}
