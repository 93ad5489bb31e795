//! One attempt: sends the request to a target and reads the head of the response.

use std::{io::Read, sync::Arc, time::Duration};

use tansyknot_core::{
    host::Target,
    name::{AttemptId, RequestId},
};
use ureq::{SendBody, http};

use super::identify::{IdentifiedRequest, ServiceKind};
use crate::{
    http::{
        head,
        response_head::{self, Version},
        server::Request,
    },
    upstream::{self, AttemptHandle},
};

/// Headers that are not forwarded: those for this daemon, and those that the daemon sets itself, so
/// that a caller can't forge them.
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

/// The parameters of an attempt.
pub struct Attempt<'a> {
    /// The request.
    pub req: &'a Request,
    /// The result of its identification.
    pub identified: &'a IdentifiedRequest,
    /// The request's identifier.
    pub request_id: &'a RequestId,
    /// This attempt's identifier.
    pub attempt_id: &'a AttemptId,
    /// The target that the request is sent to.
    pub target: &'a Target,
    /// The time left until the deadline.
    pub time_left: Duration,
    /// The trace context for the target.
    pub traceparent: Option<String>,
    /// Tracks whether bytes have been sent, and aborts the attempt.
    pub handle: &'a Arc<AttemptHandle>,
}

/// A target's response whose head has been read.
pub type TargetResponse = http::Response<ureq::Body>;

/// Why an attempt has no response that may be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was sent.
    NotSent,
    /// The engine does not have the model.
    NotLoaded,
    /// The engine refused the request before it started.
    RefusedToStart,
    /// The deadline passed after bytes may have been sent.
    TimedOut,
    /// The connection failed after bytes may have been sent.
    Broken,
}

impl Failure {
    /// Returns whether the target can't have run the request.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::NotLoaded | Self::RefusedToStart)
    }

    /// Returns the code for logs.
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

/// Sends the request and reads the head of the response.
///
/// # Errors
///
/// The [`Failure`] tells whether the target may have run the request.
pub fn send(agent: &ureq::Agent, attempt: &Attempt<'_>) -> Result<TargetResponse, Failure> {
    let response = upstream::with_handle(attempt.handle, || call(agent, attempt));
    match response {
        Ok(response) => {
            check_head(&attempt.req.head.method, &response)?;
            check_started(attempt.identified.kind, response)
        }
        Err(_) if !attempt.handle.may_have_sent() => Err(Failure::NotSent),
        Err(ureq::Error::Timeout(_)) => Err(Failure::TimedOut),
        Err(_) => Err(Failure::Broken),
    }
}

fn call(agent: &ureq::Agent, attempt: &Attempt<'_>) -> Result<TargetResponse, ureq::Error> {
    let mut reader = attempt.req.body.reader();
    let req = build(attempt, &mut reader)?;
    if attempt.req.body.is_empty() {
        let req = req.map(|_| ());
        let req = agent.configure_request(req).timeout_global(Some(attempt.time_left)).build();
        return agent.run(req);
    }
    agent.run(agent.configure_request(req).timeout_global(Some(attempt.time_left)).build())
}

fn build<'a>(
    attempt: &Attempt<'_>,
    reader: &'a mut dyn Read,
) -> Result<http::Request<SendBody<'a>>, ureq::Error> {
    let uri = format!("http://{}{}", attempt.target.address, attempt.identified.path);
    let mut req = http::Request::builder().method(attempt.req.head.method.as_str()).uri(uri);
    let forwarded = head::end_to_end(&attempt.req.head.headers);
    for (name, value) in forwarded.filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str())) {
        req = req.header(name, value);
    }
    req = req
        .header("x-request-id", attempt.request_id.as_str())
        .header("x-attempt-id", attempt.attempt_id.as_str())
        .header("x-caller", attempt.identified.caller.name.as_str())
        .header("x-priority", attempt.identified.rank().to_string())
        .header("x-deadline-ms", attempt.time_left.as_millis().to_string());
    if let Some(traceparent) = &attempt.traceparent {
        req = req.header("traceparent", traceparent);
    }
    if !attempt.req.body.is_empty() {
        req = req.header("content-length", attempt.req.body.len().to_string());
    }
    Ok(req.body(SendBody::from_reader(reader))?)
}

/// The headers that say where the body ends.
const FRAMING_HEADERS: [http::HeaderName; 3] =
    [http::header::CONNECTION, http::header::CONTENT_LENGTH, http::header::TRANSFER_ENCODING];

/// Fails if a response does not say clearly where its body ends. The HTTP client ignores codings that it
/// does not know, and a length beside chunks.
fn check_head(method: &str, response: &TargetResponse) -> Result<(), Failure> {
    let status = response.status().as_u16();
    if method == "HEAD" {
        return response_head::check_status(status).map_err(|_| Failure::Broken);
    }
    let version = match response.version() {
        http::Version::HTTP_10 => Version::Http10,
        _ => Version::Http11,
    };
    let mut headers = Vec::new();
    for name in &FRAMING_HEADERS {
        for value in response.headers().get_all(name) {
            let value = value.to_str().map_err(|_| Failure::Broken)?;
            headers.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    response_head::framing(version, status, &headers).map(drop).map_err(|_| Failure::Broken)
}

/// Distinguishes an engine's refusal to start a request from a response to relay.
///
/// Engines respond with 404, 429 and 503 only before they start a request. Plain services give no
/// such guarantee, so each of their responses is relayed.
fn check_started(kind: ServiceKind, response: TargetResponse) -> Result<TargetResponse, Failure> {
    match (kind, response.status().as_u16()) {
        (ServiceKind::Model, 404) => Err(Failure::NotLoaded),
        (ServiceKind::Model, 429 | 503) => Err(Failure::RefusedToStart),
        _ => Ok(response),
    }
}

/// The header in which an engine reports its number of requests in flight.
const IN_FLIGHT_HEADER: &str = "x-in-flight";

/// Returns the number of requests in flight that the target reports in its response, if it does.
///
/// The load is reported in responses and not polled, so it is as recent as the traffic and costs
/// nothing without traffic.
pub fn reported_in_flight(response: &TargetResponse) -> Option<u32> {
    response.headers().get(IN_FLIGHT_HEADER)?.to_str().ok()?.parse().ok()
}

/// Requests the remainder of a stream that broke after `event_count` complete events.
///
/// # Errors
///
/// Fails if the engine does not have the remainder.
pub fn resume(
    agent: &ureq::Agent,
    attempt: &Attempt<'_>,
    event_count: u64,
    time_left: Duration,
) -> Result<TargetResponse, Failure> {
    let url = format!("http://{}/v1/streams/{}", attempt.target.address, attempt.attempt_id);
    let call = || {
        let req = agent.get(url).query("after", event_count.to_string());
        req.config().timeout_global(Some(time_left)).build().call()
    };
    match upstream::with_handle(attempt.handle, call) {
        Ok(response) if response.status().as_u16() == 200 => {
            check_head("GET", &response)?;
            Ok(response)
        }
        _ => Err(Failure::Broken),
    }
}
