//! Idempotency keys: at most one run for each key, under lost messages and concurrent retries.

use tansyknot_control::idempotency::{self, BeginOutcome, KeyUse, StoredResponse};
use tansyknot_core::name::{CallerName, Incarnation, RequestId};
use tansyknot_standins::fake::{CommitFault, FakeTable};
use yare::parameterized;

const DAY_MS: u64 = 86_400_000;

struct KeyedRequest {
    caller: CallerName,
    request: RequestId,
    incarnation: Incarnation,
    body: &'static str,
    at_ms: u64,
}

impl KeyedRequest {
    fn new(daemon: &str, request: &str) -> Self {
        Self {
            caller: CallerName::from("hauler"),
            request: RequestId::from(request),
            incarnation: Incarnation::new(format!("{daemon}#1")),
            body: "body",
            at_ms: 100 * DAY_MS,
        }
    }

    fn begin(&self, table: &FakeTable) -> tansyknot_core::Result<BeginOutcome> {
        let key = KeyUse {
            caller: &self.caller,
            key_hash: "k",
            request_hash: self.body,
            request: &self.request,
            incarnation: &self.incarnation,
            at_ms: self.at_ms,
        };
        idempotency::begin(table, &key)
    }
}

fn expect_fresh(begin: tansyknot_core::Result<BeginOutcome>) -> idempotency::KeyHandle {
    match begin {
        Ok(BeginOutcome::Fresh(handle)) => handle,
        other => panic!("expected a first use of the key, got {other:?}"),
    }
}

fn response() -> StoredResponse {
    StoredResponse { status: 200, content_type: "text/plain".to_owned(), body: "done".to_owned() }
}

#[test]
fn second_daemon_finds_the_key_started_by_the_first() {
    let table = FakeTable::default();
    let _first = expect_fresh(KeyedRequest::new("d0", "r0").begin(&table));
    let second = KeyedRequest::new("d1", "r1").begin(&table.new_connection());
    assert_eq!(second, Ok(BeginOutcome::Started(RequestId::from("r0"))));
}

#[test]
fn retry_is_given_the_first_answer() {
    let table = FakeTable::default();
    let first = expect_fresh(KeyedRequest::new("d0", "r0").begin(&table));
    idempotency::finish(&table, &first, Some(response())).expect("up");
    let second = KeyedRequest::new("d1", "r1").begin(&table);
    assert_eq!(second, Ok(BeginOutcome::Done(Some(response()))));
}

#[test]
fn key_with_another_request_is_refused() {
    let table = FakeTable::default();
    let _first = expect_fresh(KeyedRequest::new("d0", "r0").begin(&table));
    let other = KeyedRequest { body: "other", ..KeyedRequest::new("d1", "r1") };
    assert_eq!(other.begin(&table), Ok(BeginOutcome::Reused));
}

#[test]
fn keys_of_different_callers_are_independent() {
    let table = FakeTable::default();
    let _first = expect_fresh(KeyedRequest::new("d0", "r0").begin(&table));
    let caller = CallerName::from("other");
    let _second =
        expect_fresh(KeyedRequest { caller, ..KeyedRequest::new("d0", "r1") }.begin(&table));
}

#[test]
fn released_key_may_run() {
    let table = FakeTable::default();
    let first = expect_fresh(KeyedRequest::new("d0", "r0").begin(&table));
    idempotency::release(&table, &first).expect("up");
    let _second = expect_fresh(KeyedRequest::new("d1", "r1").begin(&table));
    // A late release by the first user of the key must not release the second use.
    idempotency::release(&table, &first).expect("up");
    let third = KeyedRequest::new("d2", "r2").begin(&table);
    assert_eq!(third, Ok(BeginOutcome::Started(RequestId::from("r1"))));
}

#[parameterized(
    reply_lost = { CommitFault::LostReply, true },
    request_lost = { CommitFault::LostRequest, true },
    unreachable = { CommitFault::Unreachable, false },
)]
fn lost_messages_never_give_a_key_twice(fault: CommitFault, first_is_fresh: bool) {
    let table = FakeTable::default();
    table.script([fault]);
    let first = KeyedRequest::new("d0", "r0").begin(&table);
    let second = KeyedRequest::new("d1", "r1").begin(&table.new_connection());
    let is_fresh =
        |b: &tansyknot_core::Result<BeginOutcome>| matches!(b, Ok(BeginOutcome::Fresh(_)));
    assert_eq!(is_fresh(&first), first_is_fresh);
    assert_eq!(is_fresh(&second), !first_is_fresh);
}

#[test]
fn lost_write_of_the_answer_leaves_the_key_started() {
    let table = FakeTable::default();
    let first = expect_fresh(KeyedRequest::new("d0", "r0").begin(&table));
    table.script([CommitFault::LostRequest, CommitFault::Unreachable]);
    assert!(idempotency::finish(&table, &first, Some(response())).is_err());
    let second = KeyedRequest::new("d1", "r1").begin(&table);
    assert_eq!(second, Ok(BeginOutcome::Started(RequestId::from("r0"))));
}

#[parameterized(
    first_clock_ahead = { 101 * DAY_MS, 101 * DAY_MS - 1 },
    second_clock_ahead = { 101 * DAY_MS - 1, 101 * DAY_MS },
    a_day_later = { 100 * DAY_MS, 101 * DAY_MS },
)]
fn midnight_between_two_daemons_gives_the_key_once(first_ms: u64, second_ms: u64) {
    let table = FakeTable::default();
    let rival = table.new_connection();
    let other = KeyedRequest { at_ms: second_ms, ..KeyedRequest::new("d1", "r1") };
    table.set_before_commit(Box::new(move || drop(expect_fresh(other.begin(&rival)))));
    let first = KeyedRequest { at_ms: first_ms, ..KeyedRequest::new("d0", "r0") }.begin(&table);
    assert_eq!(first, Ok(BeginOutcome::Started(RequestId::from("r1"))));
}

#[test]
fn sweep_deletes_only_rows_past_their_days() {
    let table = FakeTable::default();
    let _old = expect_fresh(KeyedRequest::new("d0", "r0").begin(&table));
    let new = KeyedRequest { at_ms: 102 * DAY_MS, ..KeyedRequest::new("d0", "r1") };
    let _new = expect_fresh(new.begin(&table));
    assert_eq!(idempotency::sweep(&table, 102 * DAY_MS, 10), Ok(0));
    assert_eq!(idempotency::sweep(&table, 103 * DAY_MS, 10), Ok(1));
    assert_eq!(new.begin(&table), Ok(BeginOutcome::Started(RequestId::from("r1"))));
}
