//! The backpressure state of one run of a target, whose answers may overtake each other.

use std::time::Duration;

use tansyknot_core::clock::Time;

use super::{
    Answer, Interval, Outcome, REST_MOST, Rate, Said, Signal, Signals,
    message::{Ages, LimitSummary, RunSummary},
};
use crate::poison::key::RunKey;

/// A target whose rest is over gets one request each so long, until it has answered one.
const PROBE_EVERY: Duration = Duration::from_millis(500);
/// An answer that another daemon has shared seems younger than it is by its time on the way.
const TRANSIT: Duration = Duration::from_millis(100);
/// The end of a limit is told for so long. Who has missed it is told by the next answer.
const ENDED_TOLD: Duration = Duration::from_secs(10);

/// A limit, and the newest answer that names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// How much the target takes.
    pub rate: Rate,
    /// The answer that named it last.
    pub named: Answer,
}

/// A rest that a target has asked for, until the target has answered a request that was sent after it.
#[derive(Clone, Copy, Debug)]
struct Rest {
    until: Time,
    /// When a request was sent after it.
    probed: Option<Time>,
}

/// What has changed by an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The target takes this much.
    Limited(Rate),
    /// It takes as much as any other again.
    Unlimited,
    /// It leaves.
    Leaves,
    /// It wants nothing for so long.
    Rests(Duration),
}

/// Whether the signals of a target allow a request of this daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// They do.
    Open,
    /// They do if the request has a permit; so many go a second.
    Limited(Rate),
    /// They do from then on.
    Resting(Time),
    /// They never do again.
    Leaving,
}

impl Availability {
    /// Returns the signal by which a target takes less than others.
    pub fn signal(self) -> Option<Signal> {
        match self {
            Availability::Open => None,
            Availability::Limited(_) => Some(Signal::Limit),
            Availability::Resting(_) => Some(Signal::Rest),
            Availability::Leaving => Some(Signal::Leaving),
        }
    }
}

/// The backpressure state of one run of a target.
#[derive(Clone, Debug, Default)]
pub struct RunState {
    limit: Option<Limit>,
    /// The answer that ended the last limit.
    ended: Option<Answer>,
    is_leaving: bool,
    rest: Option<Rest>,
}

impl RunState {
    /// Takes in the signals of an answer; returns what they change.
    pub fn hear(&mut self, signals: &Signals, outcome: Outcome, at: Interval) -> Vec<Change> {
        let mut changes = Vec::new();
        changes.extend(match (signals.limit, outcome) {
            (Said::Value(rate), _) => self.limit_named(rate, at.into()),
            (Said::Nothing, Outcome::Ran) => self.limit_ended(at.into()),
            (Said::Nothing, Outcome::NotRun) | (Said::Malformed, _) => None,
        });
        changes.extend(matches!(signals.leaving, Said::Value(())).then(|| self.leave()).flatten());
        match signals.rest {
            Said::Value(span) => changes.extend(self.rest_for(span, at.received)),
            Said::Nothing | Said::Malformed => self.answered(at),
        }
        changes
    }

    /// Takes in a limit, unless it is surely older than what is known. A higher one counts only if it is
    /// surely newer.
    fn limit_named(&mut self, rate: Rate, answer: Answer) -> Option<Change> {
        let known = self.limit;
        let newest = known.map(|known| known.named).or(self.ended);
        let is_known = newest.is_some_and(|newest| newest.id == answer.id);
        if is_known || newest.is_some_and(|newest| answer.at.received < newest.at.sent) {
            return None;
        }
        let is_newer = |known: Limit| answer.at.sent > known.named.at.received;
        if known.is_some_and(|known| rate > known.rate && !is_newer(known)) {
            return None;
        }
        let is_later = |known: Limit| answer.at.received > known.named.at.received;
        let named = known.filter(|known| !is_later(*known)).map_or(answer, |known| known.named);
        self.limit = Some(Limit { rate, named });
        let is_news = known.is_none_or(|known| known.rate != rate);
        is_news.then_some(Change::Limited(rate))
    }

    /// Takes in an answer without a limit. It ends one only if its request was sent after the last
    /// answer with the limit had come: any other may have been written before that.
    fn limit_ended(&mut self, answer: Answer) -> Option<Change> {
        let ended = self.limit.take_if(|limit| answer.at.sent > limit.named.at.received);
        let is_newer = |ended: Answer| ended.id != answer.id && answer.at.sent > ended.at.sent;
        if ended.is_some() || self.ended().is_some_and(is_newer) {
            self.ended = Some(answer);
        }
        ended.map(|_| Change::Unlimited)
    }

    /// Takes in what another daemon has heard; tells whether it changes anything.
    pub fn merge(&mut self, summary: &RunSummary, now: Time) -> bool {
        let limit = match summary.limit {
            LimitSummary::Unknown => None,
            LimitSummary::Named { per_s, at } => {
                Rate::new(per_s).and_then(|rate| self.limit_named(rate, at.answer(now)))
            }
            LimitSummary::Ended(at) => {
                let Answer { id, at: Interval { sent, received } } = at.answer(now);
                self.limit_ended(Answer {
                    id,
                    at: Interval { sent: sent.before(TRANSIT), received },
                })
            }
        };
        let leaves = if summary.is_leaving { self.leave() } else { None };
        limit.is_some() || leaves.is_some()
    }

    /// Returns what other daemons are told of it.
    pub fn told(&self, run: RunKey, now: Time) -> RunSummary {
        let named = self.limit.map(|limit| LimitSummary::Named {
            per_s: limit.rate.per_s(),
            at: Ages::of(limit.named, now),
        });
        let is_news = |ended: &Answer| now.since(ended.at.received) < ENDED_TOLD;
        let ended = self.ended().filter(is_news).map(|at| LimitSummary::Ended(Ages::of(at, now)));
        let limit = named.or(ended).unwrap_or(LimitSummary::Unknown);
        RunSummary { run, limit, is_leaving: self.is_leaving }
    }

    /// Takes in that the target leaves, which it can't take back.
    fn leave(&mut self) -> Option<Change> {
        let was_leaving = std::mem::replace(&mut self.is_leaving, true);
        (!was_leaving).then_some(Change::Leaves)
    }

    /// Takes in a rest. A shorter one does not end a longer one: nothing was sent whose answer
    /// could be newer.
    fn rest_for(&mut self, span: Duration, now: Time) -> Option<Change> {
        let span = span.min(REST_MOST);
        let until = now + span;
        if span.is_zero() || self.rest.is_some_and(|rest| until <= rest.until) {
            return None;
        }
        self.rest = Some(Rest { until, probed: None });
        Some(Change::Rests(span))
    }

    /// Takes in an answer that asks for no rest: it ends the probing after one, if it was sent then.
    fn answered(&mut self, at: Interval) {
        self.rest.take_if(|rest| at.sent >= rest.until);
    }

    /// Takes in that a request has chosen the target.
    pub fn sends(&mut self, now: Time) {
        if let Some(rest) = self.rest.as_mut().filter(|rest| now >= rest.until) {
            rest.probed = Some(now);
        }
    }

    /// Tells whether the signals allow another request to choose the target: after a rest requests come
    /// one by one until one is answered.
    pub fn availability(&self, now: Time) -> Availability {
        self.availability_from(now, |rest| match rest.probed {
            Some(at) => at + PROBE_EVERY,
            None => rest.until,
        })
    }

    /// Tells whether the signals still allow a request that has chosen the target.
    pub fn availability_at_send(&self, now: Time) -> Availability {
        self.availability_from(now, |rest| rest.until)
    }

    fn availability_from(&self, now: Time, open_at: impl Fn(&Rest) -> Time) -> Availability {
        match (self.is_leaving, self.rest.as_ref().map(open_at), self.limit) {
            (true, _, _) => Availability::Leaving,
            (false, Some(open_at), _) if now < open_at => Availability::Resting(open_at),
            (false, _, Some(limit)) => Availability::Limited(limit.rate),
            (false, _, None) => Availability::Open,
        }
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<Limit> {
        self.limit
    }

    /// Returns the answer that ended the last limit, if none is in force.
    fn ended(&self) -> Option<Answer> {
        self.ended.filter(|_| self.limit.is_none())
    }

    /// Tells whether the target leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
