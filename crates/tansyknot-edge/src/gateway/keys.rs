//! Idempotency keys. A key is claimed before the first byte of its request is sent to a target, and
//! its row is updated with the outcome after the last attempt.

use tansyknot_control::idempotency::{self, KeyHandle, StoredResponse};
use tansyknot_core::{
    event,
    name::RequestId,
    refusal::{Outcome, Refusal},
};

use super::{ActiveRequest, CallerResponse, Gateway};
use crate::{
    explain::Decision,
    http::respond::FullResponse,
    stage::{
        admit::{self, KeyVerdict},
        identify::IdentifiedRequest,
        relay::WholeResponse,
    },
};

impl Gateway {
    /// Claims the request's idempotency key, if it has one. Returns the stored response if a request
    /// with the key has run before.
    pub(super) fn take_key(
        &self,
        active: &mut ActiveRequest<'_>,
        req: &IdentifiedRequest,
        key: &mut Option<KeyHandle>,
    ) -> Result<Option<FullResponse>, Refusal> {
        let Some(key_text) = &req.key else { return Ok(None) };
        let table = self.parts.table.as_ref();
        let at_ms = self.parts.clock.wall_ms();
        let body = &active.req.body;
        let incarnation = &self.options.incarnation;
        let verdict =
            admit::take_key(table, req, key_text, body, &active.request_id, incarnation, at_ms)?;
        match verdict {
            KeyVerdict::Run(handle) => {
                active.account.trail.add(self.now(), Decision::KeyTaken);
                *key = Some(handle);
                Ok(None)
            }
            KeyVerdict::Replay(kept) => Ok(Some(replay(kept, &active.request_id))),
        }
    }

    /// Records the outcome of the request in the row of its key.
    pub(super) fn settle_key(
        &self,
        result: &Result<CallerResponse, Refusal>,
        key: Option<KeyHandle>,
    ) {
        let Some(handle) = key else { return };
        let table = self.parts.table.as_ref();
        let settled = match result {
            Ok(CallerResponse::Pending(whole)) => {
                idempotency::finish(table, &handle, stored_response(whole))
            }
            Ok(CallerResponse::Streamed(_) | CallerResponse::Local(_)) => {
                idempotency::finish(table, &handle, None)
            }
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                idempotency::release(table, &handle)
            }
            // The outcome is unknown, which the row's state "started" already means.
            Ok(CallerResponse::Partial(_)) | Err(_) => Ok(()),
        };
        if let Err(e) = settled {
            event::KEY_ROW_LEFT.emit(&[("error", &e)]);
        }
    }
}

fn replay(kept: StoredResponse, request_id: &RequestId) -> FullResponse {
    FullResponse {
        status: kept.status,
        content_type: kept.content_type,
        headers: vec![
            ("x-request-id".to_owned(), request_id.to_string()),
            ("idempotency-replayed".to_owned(), "true".to_owned()),
        ],
        body: kept.body.into_bytes(),
    }
}

fn stored_response(whole: &WholeResponse) -> Option<StoredResponse> {
    if whole.body.len() > idempotency::MAX_STORED_RESPONSE_BYTES {
        return None;
    }
    let body = String::from_utf8(whole.body.contiguous()).ok()?;
    Some(StoredResponse { status: whole.status, content_type: whole.content_type.clone(), body })
}
