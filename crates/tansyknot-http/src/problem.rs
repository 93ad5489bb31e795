//! Refusals as `application/problem+json` documents (RFC 9457).

use serde::Serialize;
use tansyknot_core::{
    name::RequestId,
    refusal::{Outcome, Refusal},
};

use crate::respond::FullResponse;

/// The content type of refusals.
pub const CONTENT_TYPE: &str = "application/problem+json";

#[derive(Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    code: &'a str,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a RequestId>,
    /// The error object that clients of the OpenAI API read.
    error: ErrorMember<'a>,
}

#[derive(Serialize)]
struct ErrorMember<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
    outcome: Outcome,
}

fn document(refusal: &Refusal, request: Option<&RequestId>) -> String {
    let code = refusal.reason.code();
    let problem = Problem {
        kind: format!("urn:tansyknot:refusal:{code}"),
        title: refusal.reason.title(),
        status: refusal.reason.status(),
        detail: &refusal.detail,
        code,
        outcome: refusal.outcome,
        retry_after_s: refusal.retry_after_s(),
        request_id: request,
        error: ErrorMember {
            message: refusal.reason.title(),
            kind: "refusal",
            code,
            outcome: refusal.outcome,
        },
    };
    serde_json::to_string(&problem).expect("a problem document always serializes")
}

/// Creates the response to a refused request.
pub fn response(refusal: &Refusal, request: Option<&RequestId>) -> FullResponse {
    let mut headers = Vec::new();
    if let Some(s) = refusal.retry_after_s() {
        headers.push(("retry-after".to_owned(), s.to_string()));
    }
    if let Some(request) = request {
        headers.push(("x-request-id".to_owned(), request.to_string()));
    }
    FullResponse {
        status: refusal.reason.status(),
        content_type: CONTENT_TYPE.to_owned(),
        headers,
        body: document(refusal, request).into_bytes(),
    }
}

/// Creates the last event of a stream that could not be completed.
pub fn error_event(refusal: &Refusal, request: &RequestId) -> Vec<u8> {
    format!("event: error\ndata: {}\n\n", document(refusal, Some(request))).into_bytes()
}
