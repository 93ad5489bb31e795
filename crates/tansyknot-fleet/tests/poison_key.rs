//! What makes two attempts the same request, and two sends go to the same run of a target.

mod support;

use std::collections::BTreeSet;

use tansyknot_fleet::{
    poison::key::{RequestKey, RunKey},
    target::{StartTime, Target},
};
use tansyknot_http::{head, server::Request};
use yare::parameterized;

const HEAD: &str = "POST /query/7?x=1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n\r\n";

fn request(text: &str, body: &str) -> Request {
    let (head, _) = head::parse(text.as_bytes()).expect("a proper head").expect("a whole head");
    Request { head, body: body.as_bytes().to_vec() }
}

#[test]
fn what_changes_from_attempt_to_attempt_is_no_part_of_it() {
    let first = RequestKey::of(&request(HEAD, "body"));
    let later =
        HEAD.replace("Attempt-Id: 1", "Attempt-Id: 2\r\nDeadline-Ms: 3\r\nLast-Event-Id: 4");
    assert_eq!(RequestKey::of(&request(&later, "body")), first);
}

#[parameterized(
    method = { "POST", "PUT", "body" },
    host = { "a.example", "b.example", "body" },
    path = { "/query/7", "/query/8", "body" },
    query = { "x=1", "x=2", "body" },
    body = { "POST", "POST", "other" },
    // A part that is longer by what the next one lacks.
    border = { "/query/7?x=1", "/query/7?x=", "1body" },
)]
fn request_that_differs_is_another(from: &str, to: &str, body: &str) {
    let first = RequestKey::of(&request(HEAD, "body"));
    let other = request(&HEAD.replace(from, to), body);
    assert_ne!(RequestKey::of(&other), first);
}

// A name and a start that differ by the same amount had one key.
#[test]
fn runs_of_targets_that_are_numbered_alike_have_keys_of_their_own() {
    let run = |n: u64, born| Target {
        started_at: Some(StartTime(born)),
        ..support::target(&format!("t{n}"), &[], &[])
    };
    let runs = (10..40).flat_map(|n| (10..40).map(move |born| RunKey::of(&run(n, born))));
    assert_eq!(runs.collect::<BTreeSet<RunKey>>().len(), 900);
}
