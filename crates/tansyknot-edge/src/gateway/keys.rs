//! Idempotency keys: taken before the first byte, settled after the last.

use tansyknot_control::idempotency::{self, KeptAnswer, KeyHandle};
use tansyknot_core::{
    event,
    name::RequestId,
    refusal::{Outcome, Refusal},
};

use super::{Gateway, Run, Written};
use crate::{
    explain::Decision,
    http::respond::Whole,
    stage::{
        admit::{self, KeyVerdict},
        identify::Identified,
    },
};

impl Gateway {
    /// Takes the request's key, if it has one; returns the kept answer if it has run before.
    pub(super) fn take_key(
        &self,
        run: &mut Run<'_>,
        req: &Identified,
        key: &mut Option<KeyHandle>,
    ) -> Result<Option<Whole>, Refusal> {
        let Some(text) = &req.key else { return Ok(None) };
        let table = self.parts.table.as_ref();
        let at_ms = self.parts.clock.wall_ms();
        let body = &run.req.body;
        let incarnation = &self.options.incarnation;
        let verdict = admit::take_key(table, req, text, body, &run.request, incarnation, at_ms)?;
        match verdict {
            KeyVerdict::Run(handle) => {
                run.account.trail.add(self.now(), Decision::KeyTaken);
                *key = Some(handle);
                Ok(None)
            }
            KeyVerdict::Replay(kept) => Ok(Some(replay(kept, &run.request))),
        }
    }

    /// Records in the key's row what became of its request.
    pub(super) fn settle_key(&self, result: &Result<Written, Refusal>, key: Option<KeyHandle>) {
        let Some(handle) = key else { return };
        let table = self.parts.table.as_ref();
        let settled = match result {
            Ok(Written::Nothing(whole)) => idempotency::finish(table, &handle, kept(whole)),
            Ok(Written::Stream(_)) => idempotency::finish(table, &handle, None),
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                idempotency::release(table, &handle)
            }
            // The outcome is unknown, and a started row says just that.
            Ok(Written::Part(_)) | Err(_) => Ok(()),
        };
        if let Err(e) = settled {
            event::KEY_ROW_LEFT.emit(&[("error", &e)]);
        }
    }
}

fn replay(kept: KeptAnswer, request: &RequestId) -> Whole {
    Whole {
        status: kept.status,
        content_type: kept.content_type,
        headers: vec![
            ("x-request-id".to_owned(), request.to_string()),
            ("idempotency-replayed".to_owned(), "true".to_owned()),
        ],
        body: kept.body.into_bytes(),
    }
}

fn kept(whole: &Whole) -> Option<KeptAnswer> {
    if whole.body.len() > idempotency::MAX_KEPT_ANSWER_BYTES {
        return None;
    }
    let body = String::from_utf8(whole.body.clone()).ok()?;
    Some(KeptAnswer { status: whole.status, content_type: whole.content_type.clone(), body })
}
