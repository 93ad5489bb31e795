//! Passing an answer on: whole, or as a stream that is taken up again if it breaks.

use fastrace::prelude::Span;
use tansyknot_core::refusal::{Reason, Refusal};

use super::{Gateway, Run, Tried, Written, caller_left};
use crate::{
    explain::Decision,
    problem,
    stage::{
        attempt::{self, Answer, Attempt, Failure},
        identify::Kind,
        relay::{self, End, Ending, EventRelay},
    },
};

/// Times that a broken stream is taken up again.
const MAX_RESUMES: u32 = 2;

impl Gateway {
    pub(super) fn relay(
        &self,
        run: &mut Run<'_>,
        attempt: &Attempt<'_>,
        answer: Answer,
    ) -> Result<Tried, Refusal> {
        let _span = Span::enter_with_parent("relay", &run.span);
        if relay::is_stream(&answer) {
            return self.relay_stream(run, attempt, answer);
        }
        match relay::read_whole(answer, &run.request) {
            Ok(whole) => {
                run.account.first_part = Some(self.now());
                Ok(Tried::Written(Written::Nothing(whole)))
            }
            Err(_) if attempt.wire.is_cut() => Err(caller_left()),
            Err(_) if self.now() >= attempt.identified.deadline => {
                Ok(Tried::Failed(Failure::TimedOut))
            }
            Err(_) => Ok(Tried::Failed(Failure::Broken)),
        }
    }

    fn relay_stream(
        &self,
        run: &mut Run<'_>,
        attempt: &Attempt<'_>,
        answer: Answer,
    ) -> Result<Tried, Refusal> {
        let ending = match attempt.identified.kind {
            Kind::Model => Ending::Done,
            Kind::Plain => Ending::EndOfBody,
        };
        let status = answer.status().as_u16();
        let mut events = EventRelay::new(ending);
        let http_1_1 = run.req.head.http_1_1;
        let begun = events.begin(&answer, &run.request, run.stream, http_1_1, run.after);
        begun.map_err(|_| caller_left())?;
        let mut answer = Some(answer);
        for resumes in 0..=MAX_RESUMES {
            let Some(part) = answer.take() else { break };
            let clock = &self.parts.clock;
            let first = &mut run.account.first_part;
            let end = events.pass(part, || {
                first.get_or_insert_with(|| clock.now());
            });
            match end {
                End::Whole => {
                    events.finish();
                    return Ok(Tried::Written(Written::Stream(status)));
                }
                End::CallerLeft => {
                    attempt.wire.cut();
                    return Err(caller_left());
                }
                End::Broken if attempt.wire.is_cut() => return Err(caller_left()),
                End::Broken if resumes < MAX_RESUMES => {
                    answer = self.resume(run, attempt, events.events);
                }
                End::Broken => {}
            }
        }
        Ok(Tried::Written(self.abort(run, attempt, events)))
    }

    /// Asks for the rest of a broken stream, if the engine keeps it and time is left.
    fn resume(&self, run: &mut Run<'_>, attempt: &Attempt<'_>, events: u64) -> Option<Answer> {
        if attempt.identified.kind == Kind::Plain {
            return None;
        }
        let left = attempt.identified.deadline.since(self.now());
        if left.is_zero() {
            return None;
        }
        let rest = attempt::resume(&self.pooled, attempt, events, left).ok()?;
        run.account.trail.add(self.now(), Decision::Resumed(events));
        Some(rest)
    }

    /// Ends a stream that can't be completed with an error event.
    fn abort(&self, run: &Run<'_>, attempt: &Attempt<'_>, events: EventRelay) -> Written {
        let late = self.now() >= attempt.identified.deadline;
        let reason = if late { Reason::DeadlinePassed } else { Reason::TargetFailed };
        let detail = format!("the stream broke after {} events", events.events);
        let refusal = Refusal::unknown(reason, detail);
        events.abort(&problem::error_event(&refusal, &run.request));
        Written::Part(refusal)
    }
}
