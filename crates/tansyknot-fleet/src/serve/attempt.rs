//! One send of a request: the exchange with a target, and what its end says of the target.

use std::time::Duration;

use tansyknot_core::{
    clock::{BootInstant, Time},
    metric,
};
use tansyknot_http::respond::Whole;

use super::{
    SENDS_MAX, Server,
    handover::Handover,
    run::{NotRun, Run, Sent},
    write,
};
use crate::{
    exchange::{AnswerHead, Exchange, Failure},
    outside::{Forward, Verdict},
    relay::{self, Patience},
    target::Target,
};

/// A repeatable request is sent elsewhere after this many times its objective without an answer.
const FIRST_PATIENCE: f64 = 2.0;
/// The least time that a target has for the head of its answer or the first event.
const PATIENCE_LEAST: Duration = Duration::from_millis(400);
/// The share of the time left that a first attempt may take if there is another one.
const FIRST_SHARE: f64 = 0.5;
/// A stream that can go on elsewhere is cut after this many times its gap objective of silence.
const GAP_PATIENCE: f64 = 2.5;
/// The gap objective of a route that names none.
const DEFAULT_GAP: Duration = Duration::from_secs(1);

impl Server {
    /// Sends a request to a target and passes its answer on.
    pub(super) fn send(&self, run: &mut Run<'_>, target: &Target) -> Sent {
        let request = self.request(run, target);
        let until = run.give_up_at();
        let began = self.state.now();
        // Word of it may have come while a target was waited for.
        let may_send = || !self.is_rejected(run) && self.is_taken(run, target);
        let caller = Some(run.caller.stream);
        let opened = Exchange::open(target.address, &request, caller, until, &may_send);
        let sent = match opened {
            Ok(exchange) => {
                run.note(format_args!("{} sent", target.name));
                run.arrivals += 1;
                self.answer(run, target, exchange, began)
            }
            Err(Failure::CallerLeft) => Sent::MayHaveRun(Failure::CallerLeft),
            Err(Failure::NotAllowed) if self.is_rejected(run) => Sent::NotRun(NotRun::Rejected),
            Err(Failure::NotAllowed) => Sent::NotRun(NotRun::Withheld),
            Err(f) if f.nothing_sent() => {
                run.note(format_args!("{} {f}", target.name));
                Sent::NotRun(NotRun::Unreachable)
            }
            Err(f) => {
                run.note(format_args!("{} {f} while it was sent", target.name));
                run.arrivals += 1;
                run.runs += 1;
                Sent::MayHaveRun(f)
            }
        };
        self.learn(run, target, &sent);
        self.examine(run, target, began, &sent);
        sent
    }

    /// Takes the answer of a target. Where the request may go elsewhere, a silent target is let
    /// go as soon as another one has a place.
    fn answer(
        &self,
        run: &mut Run<'_>,
        target: &Target,
        exchange: Exchange<'_>,
        began: Time,
    ) -> Sent {
        if !may_go_elsewhere(run) {
            return self.receive(run, target, exchange, began);
        }
        let handover = Handover::new(&self.state, run, target);
        let sent = self.receive(run, target, exchange.decided_by(&handover), began);
        run.next = handover.into_next();
        sent
    }

    fn request(&self, run: &Run<'_>, target: &Target) -> Vec<u8> {
        let head = &run.req.head;
        let to = Forward {
            target: &target.name,
            left: run.until.duration_since(BootInstant::now()),
            urgency: run.asker.priority(&run.route).min(9),
            sender: run.asker.sender(),
            resume_after: run.relay.last_id.as_deref(),
        };
        let mut buf = Vec::with_capacity(512 + run.req.body.len());
        buf.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        for (name, value) in self.dialect.forward(head, &to) {
            buf.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        if !run.req.body.is_empty() || head.has_body() {
            buf.extend_from_slice(format!("content-length: {}\r\n", run.req.body.len()).as_bytes());
        }
        buf.extend_from_slice(b"\r\n");
        buf.extend_from_slice(&run.req.body);
        buf
    }

    fn receive(
        &self,
        run: &mut Run<'_>,
        target: &Target,
        mut exchange: Exchange<'_>,
        began: Time,
    ) -> Sent {
        let patience = self.patience(run);
        let control = exchange.control();
        control.wait_until(patience.first);
        let head = match exchange.head() {
            Ok(head) => head,
            Err(f) => {
                run.note(format_args!("{} {f}", target.name));
                run.runs += 1;
                return Sent::MayHaveRun(f);
            }
        };
        let verdict = self.dialect.judge(&run.ask.id, &target.name, head.status, &head.headers);
        self.record_signals(run, target, &head, verdict, began);
        match verdict {
            Verdict::Ran => {}
            Verdict::Foreign => {
                run.note(format_args!("{} foreign answer", target.name));
                run.runs += 1;
                return Sent::MayHaveRun(Failure::Foreign);
            }
            Verdict::NotRun => {
                run.note(format_args!("{} not run, {}", target.name, head.status));
                self.state.fleet().full(&target.name, self.state.now());
                return Sent::NotRun(NotRun::Refused);
            }
            Verdict::Misdirected { same_target } => {
                run.note(format_args!("{} misdirected", target.name));
                let now = self.state.now();
                if same_target {
                    self.state.fleet().missing(&target.name, &run.want(), now);
                } else {
                    self.state.fleet().replaced(&target.name, now);
                    self.is_succeeded(target);
                }
                return Sent::NotRun(NotRun::Refused);
            }
        }
        run.runs += 1;
        let passed = if relay::is_stream(&head) && head.status == 200 {
            let body = exchange.body(&head);
            run.relay
                .pass(&head, body, &control, run.caller, patience)
                .map(|()| Sent::Passed(head.status))
        } else {
            control.wait_until(patience.first);
            relay::read_whole(&head, exchange.body(&head), &control)
                .and_then(|whole| self.pass_whole(run, &head, whole))
        };
        match passed {
            Ok(sent) => {
                run.note(format_args!("{} {}", target.name, head.status));
                sent
            }
            Err(f) => {
                let events = run.relay.events;
                run.note(format_args!("{} {f} after {events} events", target.name));
                Sent::MayHaveRun(f)
            }
        }
    }

    fn pass_whole(
        &self,
        run: &mut Run<'_>,
        head: &AnswerHead,
        whole: Whole,
    ) -> Result<Sent, Failure> {
        if run.relay.has_begun() {
            // The rest of a stream can't be continued with this.
            return Err(Failure::Malformed);
        }
        if head.status >= 500 {
            return Ok(Sent::Failure(whole));
        }
        if matches!(head.status, 408 | 421 | 429) {
            // Only a target that says so has not run the request.
            return Err(Failure::Malformed);
        }
        write(run, &whole).map_err(|_| Failure::CallerLeft)?;
        Ok(Sent::Passed(head.status))
    }

    /// Says how long a target may be silent before the request is sent elsewhere.
    fn patience(&self, run: &Run<'_>) -> Patience {
        let now = BootInstant::now();
        let until = run.give_up_at();
        if !may_go_elsewhere(run) {
            return Patience { first: until, gap: until.duration_since(now), until };
        }
        let left = until.duration_since(now);
        let first = run.route.objective.mul_f64(FIRST_PATIENCE).max(PATIENCE_LEAST);
        let gap = run.route.gap_objective.unwrap_or(DEFAULT_GAP).mul_f64(GAP_PATIENCE);
        Patience { first: now + first.min(left.mul_f64(FIRST_SHARE)), gap, until }
    }

    /// Takes what a send has shown into the view of the target.
    fn learn(&self, run: &Run<'_>, target: &Target, sent: &Sent) {
        if let Sent::MayHaveRun(Failure::CutOff) = sent {
            self.recorder.count(metric::CUT_OFF.name, &target.service, 1);
        }
        let now = self.state.now();
        let mut fleet = self.state.fleet();
        match sent {
            Sent::Passed(_) => fleet.succeeded(&target.name),
            Sent::Failure(_) => fleet.failed(&target.name),
            Sent::MayHaveRun(Failure::CallerLeft) => {}
            Sent::MayHaveRun(Failure::Silent) => {
                fleet.failed(&target.name);
                if run.is_repeatable() {
                    fleet.unreachable(&target.name, now);
                }
            }
            Sent::MayHaveRun(_) => fleet.failed(&target.name),
            Sent::NotRun(NotRun::Unreachable) => fleet.unreachable(&target.name, now),
            Sent::NotRun(NotRun::Refused | NotRun::Rejected | NotRun::Withheld) => {}
        }
    }
}

/// Tells whether a request that a target has now may still be sent to another one.
fn may_go_elsewhere(run: &Run<'_>) -> bool {
    run.is_repeatable() && run.runs + 1 < run.route.attempts_max && run.sends + 1 < SENDS_MAX
}
