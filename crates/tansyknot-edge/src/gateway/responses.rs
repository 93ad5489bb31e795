//! Relays responses to callers: in full, or as a stream that is resumed if it breaks.

use fastrace::prelude::Span;
use tansyknot_core::refusal::{Reason, Refusal};

use super::{ActiveRequest, AttemptOutcome, CallerResponse, Gateway, caller_left};
use crate::{
    explain::Decision,
    problem,
    stage::{
        attempt::{self, Attempt, Failure, TargetResponse},
        identify::ServiceKind,
        relay::{self, EndMarker, EventRelay, ReadFailure, StreamEnd},
    },
};

/// The maximum number of resumptions of a broken stream.
const MAX_RESUMES: u32 = 2;

impl Gateway {
    pub(super) fn relay(
        &self,
        active: &mut ActiveRequest<'_>,
        attempt: &Attempt<'_>,
        response: TargetResponse,
    ) -> Result<AttemptOutcome, Refusal> {
        let _span = Span::enter_with_parent("relay", &active.span);
        if relay::is_stream(&response) {
            return self.relay_stream(active, attempt, response);
        }
        match relay::read_whole(response, &active.request_id, &mut active.share) {
            Ok(whole) => {
                active.account.first_part_at = Some(self.now());
                Ok(AttemptOutcome::Responded(CallerResponse::Pending(whole)))
            }
            Err(ReadFailure::NoRoom) => Err(no_room()),
            Err(_) if attempt.handle.is_aborted() => Err(caller_left()),
            Err(_) if self.now() >= attempt.identified.deadline => {
                Ok(AttemptOutcome::Failed(Failure::TimedOut))
            }
            Err(_) => Ok(AttemptOutcome::Failed(Failure::Broken)),
        }
    }

    fn relay_stream(
        &self,
        active: &mut ActiveRequest<'_>,
        attempt: &Attempt<'_>,
        response: TargetResponse,
    ) -> Result<AttemptOutcome, Refusal> {
        let end_marker = match attempt.identified.kind {
            ServiceKind::Model => EndMarker::DoneEvent,
            ServiceKind::Plain => EndMarker::EndOfBody,
        };
        let status = response.status().as_u16();
        let mut relay = EventRelay::new(end_marker);
        let http_1_1 = active.req.head.http_1_1;
        let started =
            relay.begin(&response, &active.request_id, active.stream, http_1_1, active.after);
        started.map_err(|_| caller_left())?;
        let mut response = Some(response);
        for resumes in 0..=MAX_RESUMES {
            let Some(part) = response.take() else { break };
            let clock = &self.parts.clock;
            let first_part_at = &mut active.account.first_part_at;
            let end = relay.relay(part, &mut active.share, || {
                first_part_at.get_or_insert_with(|| clock.now());
            });
            match end {
                StreamEnd::Complete => {
                    relay.finish();
                    return Ok(AttemptOutcome::Responded(CallerResponse::Streamed(status)));
                }
                StreamEnd::CallerLeft => {
                    attempt.handle.abort();
                    return Err(caller_left());
                }
                StreamEnd::Broken if attempt.handle.is_aborted() => return Err(caller_left()),
                StreamEnd::Broken if resumes < MAX_RESUMES => {
                    response = self.resume(active, attempt, relay.event_count);
                }
                StreamEnd::Broken => {}
            }
        }
        Ok(AttemptOutcome::Responded(self.abort(active, attempt, relay)))
    }

    /// Requests the remainder of a broken stream, if the engine retains it and time is left.
    fn resume(
        &self,
        active: &mut ActiveRequest<'_>,
        attempt: &Attempt<'_>,
        event_count: u64,
    ) -> Option<TargetResponse> {
        if attempt.identified.kind == ServiceKind::Plain {
            return None;
        }
        let time_left = attempt.identified.deadline.since(self.now());
        if time_left.is_zero() {
            return None;
        }
        let remainder =
            attempt::resume(&self.pooled_agent, attempt, event_count, time_left).ok()?;
        active.account.trail.add(self.now(), Decision::Resumed(event_count));
        Some(remainder)
    }

    /// Sends an error event as the end of a stream that can't be completed.
    fn abort(
        &self,
        active: &ActiveRequest<'_>,
        attempt: &Attempt<'_>,
        relay: EventRelay,
    ) -> CallerResponse {
        let is_late = self.now() >= attempt.identified.deadline;
        let reason = if is_late { Reason::DeadlinePassed } else { Reason::TargetFailed };
        let detail = format!("the stream broke after {} events", relay.event_count);
        let refusal = Refusal::unknown(reason, detail);
        relay.abort(&problem::error_event(&refusal, &active.request_id));
        CallerResponse::Partial(refusal)
    }
}

/// Another run's response would find no room either, so the request is not sent again.
fn no_room() -> Refusal {
    Refusal::unknown(Reason::TargetFailed, "the daemon has no memory for the response")
}
