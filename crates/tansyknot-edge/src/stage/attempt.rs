//! One attempt at a target: send the request and read the head of the answer.

use std::{sync::Arc, time::Duration};

use tansyknot_core::{
    host::Target,
    name::{AttemptId, RequestId},
};
use ureq::http;

use super::identify::{Identified, Kind};
use crate::{
    http::{head, server::Request},
    upstream::{self, Wire},
};

/// Headers that end here, and those that the daemon sets itself, so that a caller can't forge them.
const NOT_FORWARDED: &[&str] = &[
    "authorization",
    "expect",
    "host",
    "traceparent",
    "x-attempt-id",
    "x-caller",
    "x-deadline-ms",
    "x-priority",
    "x-request-id",
];

/// What an attempt needs to know.
pub struct Attempt<'a> {
    /// The request.
    pub req: &'a Request,
    /// What is known of it.
    pub identified: &'a Identified,
    /// The request's identifier.
    pub request: &'a RequestId,
    /// This attempt's identifier.
    pub attempt: &'a AttemptId,
    /// Where it goes.
    pub target: &'a Target,
    /// The time left until the deadline.
    pub left: Duration,
    /// The trace context for the target.
    pub traceparent: Option<String>,
    /// The attempt's wire.
    pub wire: &'a Arc<Wire>,
}

/// An answer whose head is there.
pub type Answer = http::Response<ureq::Body>;

/// Why an attempt gave no answer that may be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request has left.
    NotSent,
    /// The engine does not have the model.
    NotLoaded,
    /// The engine refused before it started.
    RefusedToStart,
    /// The deadline passed after bytes had left.
    TimedOut,
    /// The connection failed after bytes had left.
    Broken,
}

impl Failure {
    /// Tells whether the target can't have run the request.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotLoaded | Self::RefusedToStart)
    }

    /// Returns the word for logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotLoaded => "not_loaded",
            Self::RefusedToStart => "refused_to_start",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
        }
    }
}

/// Sends the request and reads the head of the answer.
///
/// # Errors
///
/// Fails with what is known about whether the target has run the request.
pub fn send(agent: &ureq::Agent, attempt: &Attempt<'_>) -> Result<Answer, Failure> {
    let answer = upstream::with_wire(attempt.wire, || call(agent, attempt));
    match answer {
        Ok(answer) => check_started(attempt.identified.kind, answer),
        Err(_) if !attempt.wire.sent() => Err(Failure::NotSent),
        Err(ureq::Error::Timeout(_)) => Err(Failure::TimedOut),
        Err(_) => Err(Failure::Broken),
    }
}

fn call(agent: &ureq::Agent, attempt: &Attempt<'_>) -> Result<Answer, ureq::Error> {
    let req = build(attempt)?;
    if attempt.req.body.is_empty() {
        let req = req.map(|_| ());
        let req = agent.configure_request(req).timeout_global(Some(attempt.left)).build();
        return agent.run(req);
    }
    agent.run(agent.configure_request(req).timeout_global(Some(attempt.left)).build())
}

fn build<'a>(attempt: &Attempt<'a>) -> Result<http::Request<&'a [u8]>, ureq::Error> {
    let uri = format!("http://{}{}", attempt.target.address, attempt.identified.path);
    let mut req = http::Request::builder().method(attempt.req.head.method.as_str()).uri(uri);
    let forwarded = head::end_to_end(&attempt.req.head.headers);
    for (name, value) in forwarded.filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str())) {
        req = req.header(name, value);
    }
    req = req
        .header("x-request-id", attempt.request.as_str())
        .header("x-attempt-id", attempt.attempt.as_str())
        .header("x-caller", attempt.identified.caller.name.as_str())
        .header("x-priority", attempt.identified.rank().to_string())
        .header("x-deadline-ms", attempt.left.as_millis().to_string());
    if let Some(traceparent) = &attempt.traceparent {
        req = req.header("traceparent", traceparent);
    }
    Ok(req.body(attempt.req.body.as_slice())?)
}

/// Tells an engine's refusal to start from an answer.
///
/// Engines answer 404, 429 and 503 only before they start. Of a plain service nothing of the
/// kind is known, so whatever it answers is its answer.
fn check_started(kind: Kind, answer: Answer) -> Result<Answer, Failure> {
    match (kind, answer.status().as_u16()) {
        (Kind::Model, 404) => Err(Failure::NotLoaded),
        (Kind::Model, 429 | 503) => Err(Failure::RefusedToStart),
        _ => Ok(answer),
    }
}

/// The header in which an engine says how many requests it runs.
const IN_FLIGHT_HEADER: &str = "x-in-flight";

/// Returns what the target said of its load with the answer, if it did.
///
/// Load comes with answers and not by polling: it is as fresh as the traffic and costs nothing
/// where there is none.
pub fn reported_in_flight(answer: &Answer) -> Option<u32> {
    answer.headers().get(IN_FLIGHT_HEADER)?.to_str().ok()?.parse().ok()
}

/// Asks the engine for the rest of a stream that broke after `events` whole events.
///
/// # Errors
///
/// Fails if the engine does not have the rest.
pub fn resume(
    agent: &ureq::Agent,
    attempt: &Attempt<'_>,
    events: u64,
    left: Duration,
) -> Result<Answer, Failure> {
    let url = format!("http://{}/v1/streams/{}", attempt.target.address, attempt.attempt);
    let call = || {
        let req = agent.get(url).query("after", events.to_string());
        req.config().timeout_global(Some(left)).build().call()
    };
    match upstream::with_wire(attempt.wire, call) {
        Ok(answer) if answer.status().as_u16() == 200 => Ok(answer),
        _ => Err(Failure::Broken),
    }
}
