//! Resolution of commits whose requests or replies are lost.

use CommitFault::{LostReply, LostRequest, Unreachable};
use tansyknot_core::{
    Error,
    table::{ABSENT, Row, Table, Transaction, commit_confirmed},
};
use tansyknot_standins::fake::{CommitFault, FakeTable};
use yare::parameterized;

const KEY: &str = "k";

fn put(value: &str) -> Transaction {
    Transaction::default().put(KEY, ABSENT, value.to_owned())
}

fn is_own_write(row: &Row) -> bool {
    row.value == "mine"
}

#[parameterized(
    no_fault = { &[], true },
    reply_lost = { &[LostReply], true },
    request_lost = { &[LostRequest], true },
    both_lost = { &[LostRequest, LostReply], true },
    replies_lost_to_the_end = { &[LostReply, LostReply, LostReply], true },
    requests_lost_to_the_end = { &[LostRequest, LostRequest, LostRequest], false },
    unreachable = { &[Unreachable], false },
    unreachable_after_a_lost_reply = { &[LostReply, Unreachable, Unreachable], true },
)]
fn commit_is_settled(faults: &[CommitFault], written: bool) {
    let table = FakeTable::default();
    table.script(faults.iter().copied());
    let settled = commit_confirmed(&table, &put("mine"), KEY, is_own_write);
    assert_eq!(settled.is_ok(), written, "{settled:?}");
    let row = table.new_connection().read(KEY).expect("the table is up");
    assert_eq!(row.is_some(), written);
}

#[parameterized(
    no_fault = { &[] },
    reply_lost = { &[LostReply] },
    request_lost = { &[LostRequest] },
)]
fn lost_race_is_reported_as_a_conflict(faults: &[CommitFault]) {
    let table = FakeTable::default();
    table.new_connection().commit(&put("theirs")).expect("the row does not exist");
    table.script(faults.iter().copied());
    let settled = commit_confirmed(&table, &put("mine"), KEY, is_own_write);
    assert!(matches!(settled, Err(Error::Conflict { .. })), "{settled:?}");
}

#[test]
fn unknown_result_is_never_reported_as_a_conflict_or_as_unreachable() {
    let table = FakeTable::default();
    table.script([LostRequest, Unreachable, Unreachable]);
    let settled = commit_confirmed(&table, &put("mine"), KEY, is_own_write);
    assert!(settled.expect_err("nothing was written").may_have_taken_effect());
}
