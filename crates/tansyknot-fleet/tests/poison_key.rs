//! Tests which attempts have the same request key, and which sends have the same run key.

mod support;

use std::collections::BTreeSet;

use tansyknot_fleet::{
    poison::key::{RunKey, SuspectKey},
    target::{StartTime, Target},
};
use tansyknot_http::{head, server::Request};
use yare::parameterized;

const HEAD: &str = "POST /query/7?x=1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n\r\n";

fn request(text: &str, body: &str) -> Request {
    let (head, _) = head::parse(text.as_bytes())
        .expect("the head is well-formed")
        .expect("the head is complete");
    Request { head, body: body.as_bytes().to_vec().into() }
}

#[test]
fn headers_that_vary_by_attempt_are_not_part_of_the_key() {
    let first = SuspectKey::of(&request(HEAD, "body"));
    let later =
        HEAD.replace("Attempt-Id: 1", "Attempt-Id: 2\r\nDeadline-Ms: 3\r\nLast-Event-Id: 4");
    assert_eq!(SuspectKey::of(&request(&later, "body")), first);
}

#[parameterized(
    method = { "POST", "PUT", "body" },
    host = { "a.example", "b.example", "body" },
    path = { "/query/7", "/query/8", "body" },
    query = { "x=1", "x=2", "body" },
    body = { "POST", "POST", "other" },
    // One part is longer by the text that the next part lacks.
    boundary = { "/query/7?x=1", "/query/7?x=", "1body" },
)]
fn different_request_has_a_different_key(from: &str, to: &str, body: &str) {
    let first = SuspectKey::of(&request(HEAD, "body"));
    let other = request(&HEAD.replace(from, to), body);
    assert_ne!(SuspectKey::of(&other), first);
}

// A name and a start time that differ by the same amount must not give the same key.
#[test]
fn runs_with_similar_names_and_start_times_have_distinct_keys() {
    let run = |n: u64, start| Target {
        started_at: Some(StartTime(start)),
        ..support::target(&format!("t{n}"), &[], &[])
    };
    let runs = (10..40).flat_map(|n| (10..40).map(move |start| RunKey::of(&run(n, start))));
    assert_eq!(runs.collect::<BTreeSet<RunKey>>().len(), 900);
}

#[test]
fn keys_of_parts_differ_from_those_of_requests_and_between_services() {
    let key = |service: &str, id| SuspectKey::of_part(&service.into(), id);
    let parts = [key("a", 1), key("a", 2), key("b", 1)];
    assert_eq!(parts.iter().collect::<BTreeSet<_>>().len(), 3);
    assert!(parts.iter().all(|part| part.is_part()));
    assert!(!SuspectKey::of(&request(HEAD, "body")).is_part());
}
