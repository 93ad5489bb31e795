//! What makes two attempts the same request.

use std::net::IpAddr;

use tansyknot_fleet::poison::key::RequestKey;
use tansyknot_http::{head, server::Request};
use yare::parameterized;

const HEAD: &str = "POST /query/7?x=1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1\r\n\r\n";
const CALLER: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 9, 0, 1));

fn request(text: &str, body: &str, from: IpAddr) -> Request {
    let (head, _) = head::parse(text.as_bytes()).expect("a proper head").expect("a whole head");
    Request { head, body: body.as_bytes().to_vec(), from }
}

#[test]
fn what_changes_from_attempt_to_attempt_is_no_part_of_it() {
    let first = RequestKey::of(&request(HEAD, "body", CALLER));
    let later =
        HEAD.replace("Attempt-Id: 1", "Attempt-Id: 2\r\nDeadline-Ms: 3\r\nLast-Event-Id: 4");
    assert_eq!(RequestKey::of(&request(&later, "body", CALLER)), first);
}

#[parameterized(
    method = { "POST", "PUT", "body", 1 },
    host = { "a.example", "b.example", "body", 1 },
    path = { "/query/7", "/query/8", "body", 1 },
    query = { "x=1", "x=2", "body", 1 },
    body = { "POST", "POST", "other", 1 },
    caller = { "POST", "POST", "body", 2 },
    // A part that is longer by what the next one lacks.
    border = { "/query/7?x=1", "/query/7?x=", "1body", 1 },
)]
fn request_that_differs_is_another(from: &str, to: &str, body: &str, host: u8) {
    let first = RequestKey::of(&request(HEAD, "body", CALLER));
    let other = request(&HEAD.replace(from, to), body, [10, 9, 0, host].into());
    assert_ne!(RequestKey::of(&other), first);
}
