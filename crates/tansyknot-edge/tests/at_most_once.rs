//! Requests that run at most once, through two daemons, with kills and lost replies between.

mod support;

use support::{Outside, exchange, request, status};
use tansyknot_core::refusal::Reason;
use tansyknot_standins::{fake::CommitFault, plain::PlainFaults};
use yare::parameterized;

fn call(key: &str, body: &str) -> Vec<u8> {
    request("POST /services/registry/record", &[&format!("idempotency-key: {key}")], body)
}

fn code(answer: &str) -> &str {
    let rest = answer.split("\"code\":\"").nth(1).unwrap_or_default();
    rest.split('"').next().unwrap_or_default()
}

#[test]
fn retry_through_another_daemon_gets_the_first_answer() {
    let outside = Outside::new();
    let (first, second) = (outside.front(), outside.front());
    let one = exchange(first.address, &call("k", "load 7"));
    let two = exchange(second.address, &call("k", "load 7"));
    assert_eq!(status(&one), 200);
    assert_eq!(status(&two), 200);
    assert!(two.contains("idempotency-replayed: true"));
    assert!(two.contains("\"runs\":1"));
    assert_eq!(outside.plain.runs("load 7"), 1);
}

#[test]
fn key_with_another_body_is_refused() {
    let outside = Outside::new();
    let front = outside.front();
    exchange(front.address, &call("k", "load 7"));
    let other = exchange(front.address, &call("k", "load 8"));
    assert_eq!(code(&other), Reason::KeyReused.code());
    assert_eq!(outside.plain.runs("load 8"), 0);
}

#[test]
fn answer_lost_after_the_run_is_unknown_and_never_run_again() {
    let outside = Outside::new();
    *outside.plain.faults.lock().expect("no panic") =
        PlainFaults { cut_answers: true, ..PlainFaults::default() };
    let (first, second) = (outside.front(), outside.front());
    let one = exchange(first.address, &call("k", "load 7"));
    assert!(one.contains("\"outcome\":\"unknown\""), "{one}");
    *outside.plain.faults.lock().expect("no panic") = PlainFaults::default();
    let two = exchange(second.address, &call("k", "load 7"));
    assert_eq!(code(&two), Reason::KeyInUse.code());
    assert!(two.contains("\"outcome\":\"unknown\""), "{two}");
    assert_eq!(outside.plain.runs("load 7"), 1);
}

/// What the table loses around the first use of a key, and whether the call then runs.
#[parameterized(
    reply_of_the_row_lost = { &[CommitFault::LostReply], 200, 1 },
    request_of_the_row_lost = { &[CommitFault::LostRequest], 200, 1 },
    table_unreachable = { &[CommitFault::Unreachable], 503, 0 },
    rows_result_unknown = { &[CommitFault::LostRequest, CommitFault::LostRequest, CommitFault::LostRequest], 503, 0 },
    answers_row_lost = { &[CommitFault::None, CommitFault::LostRequest, CommitFault::Unreachable], 200, 1 },
)]
fn lost_table_messages_never_run_a_call_twice(faults: &[CommitFault], expected: u16, runs: u64) {
    let outside = Outside::new();
    let (first, second) = (outside.front(), outside.front());
    first.table.script(faults.iter().copied());
    let one = exchange(first.address, &call("k", "load 7"));
    assert_eq!(status(&one), expected, "{one}");
    assert_eq!(outside.plain.runs("load 7"), runs);
    let _two = exchange(second.address, &call("k", "load 7"));
    assert!(outside.plain.runs("load 7") <= 1);
}

#[test]
fn table_down_refuses_first_runs_at_once_and_says_when_to_come_back() {
    let outside = Outside::new();
    let front = outside.front();
    front.table.set_down(true);
    let answer = exchange(front.address, &call("k", "load 7"));
    assert_eq!(code(&answer), Reason::StoreUnavailable.code());
    assert!(answer.contains("retry-after: 5"), "{answer}");
    assert!(answer.contains("\"outcome\":\"not_run\""));
    assert_eq!(outside.plain.runs("load 7"), 0);
    // Warm traffic that needs no row goes on.
    let warm = exchange(front.address, &support::completion("permit", false, 1));
    assert_eq!(status(&warm), 200);
}

#[test]
fn call_that_was_not_run_frees_its_key() {
    let outside = Outside::new();
    outside.unplug(2);
    let front = outside.front();
    let answer = exchange(front.address, &call("k", "load 7"));
    assert!(answer.contains("\"outcome\":\"not_run\""), "{answer}");
    let rows = outside.table.state.scan("key/", "", 10);
    assert!(rows.is_empty(), "{rows:?}");
}

#[test]
fn daemon_killed_after_the_row_leaves_the_call_unknown() {
    use tansyknot_control::idempotency::{self, KeyUse};
    let outside = Outside::new();
    let front = outside.front();
    // What a daemon that is killed between the row and the first byte leaves behind.
    let body = "load 7";
    let hash = xxhash_rust::xxh3::xxh3_128(format!("registry /record {body}").as_bytes());
    let key = KeyUse {
        caller: &"hauler".into(),
        key_hash: &tansyknot_config::store::key_hash("k"),
        request_hash: &format!("{hash:032x}"),
        request: &"killed".into(),
        incarnation: &"d9#1".into(),
        at_ms: now_ms(),
    };
    idempotency::begin(&outside.table, &key).expect("the table is up");
    let answer = exchange(front.address, &call("k", body));
    assert_eq!(code(&answer), Reason::KeyInUse.code(), "{answer}");
    assert!(answer.contains("\"outcome\":\"unknown\""));
    assert_eq!(outside.plain.runs(body), 0);
}

fn now_ms() -> u64 {
    use tansyknot_core::clock::{Clock, SystemClock};
    SystemClock::new().wall_ms()
}

#[test]
fn two_daemons_at_once_run_the_call_once() {
    let outside = Outside::new();
    *outside.plain.faults.lock().expect("no panic") =
        PlainFaults { slow_ms: 20, ..PlainFaults::default() };
    let fronts = [outside.front(), outside.front(), outside.front()];
    let threads: Vec<_> = fronts
        .iter()
        .map(|front| {
            let address = front.address;
            std::thread::spawn(move || exchange(address, &call("k", "load 7")))
        })
        .collect();
    let answers: Vec<String> = threads.into_iter().map(|t| t.join().expect("no panic")).collect();
    assert_eq!(answers.iter().filter(|a| status(a) == 200).count(), 1, "{answers:?}");
    assert_eq!(outside.plain.runs("load 7"), 1);
}
