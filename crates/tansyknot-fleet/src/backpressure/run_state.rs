//! The backpressure state of one run of a target, whose responses may be received out of order.

use std::time::Duration;

use tansyknot_core::clock::Time;

use super::{
    Interval, MAX_RETRY_DELAY, Rate, ResponseId, RunOutcome, Signal, SignalField, Signals,
    brittle::Brittleness,
    message::{LimitSummary, ResponseAges, RunSummary},
};
use crate::poison::key::RunKey;

/// After a retry delay, a target gets one request per this interval until it has responded to one.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The time in transit by which a response that another daemon has shared may appear younger than
/// it is.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(100);
/// How long the end of a limit is sent to other daemons. A daemon that missed it learns of it from
/// the next response.
const ENDED_SEND_DURATION: Duration = Duration::from_secs(10);

/// A limit, and the newest response that names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The rate that the target accepts.
    pub rate: Rate,
    /// The newest response that named the limit.
    pub named: ResponseId,
}

/// A retry delay that a target has requested. It is dropped once the target responds to a request
/// that was sent after the delay.
#[derive(Clone, Copy, Debug)]
struct RetryDelay {
    until: Time,
    /// When a request was last sent after the delay.
    probed: Option<Time>,
}

/// A change of a run's state by a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalChange {
    /// The target limits its rate to this.
    Limited(Rate),
    /// The target no longer has a rate limit.
    Unlimited,
    /// The target is draining.
    Leaves,
    /// The target accepts no requests for this long.
    BacksOff(Duration),
    /// The target crashes if it has to refuse more than this many requests within a second, or has
    /// refused one while that holds.
    Brittle(u32),
    /// The target is no longer brittle.
    Sound,
}

/// Whether the signals of a target allow a request of this daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// They allow it.
    Open,
    /// They allow it if the request has a permit; the target accepts this rate.
    Limited(Rate),
    /// They allow it from this time on.
    BackingOff(Time),
    /// They never allow it again.
    Leaving,
}

impl Availability {
    /// Returns the signal that restricts requests to the target.
    pub fn signal(self) -> Option<Signal> {
        match self {
            Availability::Open => None,
            Availability::Limited(_) => Some(Signal::Limit),
            Availability::BackingOff(_) => Some(Signal::RetryDelay),
            Availability::Leaving => Some(Signal::Leaving),
        }
    }
}

/// The backpressure state of one run of a target.
#[derive(Clone, Debug, Default)]
pub struct RunState {
    limit: Option<Limit>,
    /// The response that ended the last limit.
    ended: Option<ResponseId>,
    is_leaving: bool,
    retry_delay: Option<RetryDelay>,
    brittleness: Brittleness,
}

impl RunState {
    /// Applies the signals of a response; returns what they change.
    pub fn apply(
        &mut self,
        signals: &Signals,
        outcome: RunOutcome,
        at: Interval,
    ) -> Vec<SignalChange> {
        let mut changes = Vec::new();
        changes.extend(match (signals.limit, outcome) {
            (SignalField::Value(rate), _) => self.apply_limit(rate, at.into()),
            (SignalField::Absent, RunOutcome::Ran) => self.apply_no_limit(at.into()),
            (SignalField::Absent, RunOutcome::Refused | RunOutcome::NotRun)
            | (SignalField::Malformed, _) => None,
        });
        changes.extend(
            matches!(signals.leaving, SignalField::Value(())).then(|| self.set_leaving()).flatten(),
        );
        changes.extend(self.apply_brittle(signals.brittle, outcome, at));
        match signals.retry_delay {
            SignalField::Value(duration) => {
                changes.extend(self.set_retry_delay(duration, at.received));
            }
            SignalField::Absent | SignalField::Malformed => self.end_probing(at),
        }
        changes
    }

    fn apply_brittle(
        &mut self,
        brittle: SignalField<u32>,
        outcome: RunOutcome,
        at: Interval,
    ) -> Option<SignalChange> {
        match (brittle, outcome) {
            (SignalField::Value(max_refusals), _) => {
                let refused = (outcome == RunOutcome::Refused).then_some(at.received);
                let is_new = self.brittleness.apply_named(max_refusals, at.into(), refused);
                is_new.then_some(SignalChange::Brittle(max_refusals))
            }
            (SignalField::Absent, RunOutcome::Ran) => {
                self.brittleness.apply_absent(at.into()).then_some(SignalChange::Sound)
            }
            (SignalField::Absent, RunOutcome::Refused | RunOutcome::NotRun)
            | (SignalField::Malformed, _) => None,
        }
    }

    /// Returns whether the target is brittle.
    pub fn is_brittle(&self, now: Time) -> bool {
        self.brittleness.is_brittle(now)
    }

    /// Returns when the target last refused a request while it was brittle.
    pub fn last_refusal(&self) -> Option<Time> {
        self.brittleness.last_refusal()
    }

    /// Applies a limit, unless its response is certainly older than the newest one known. A higher
    /// limit counts only if its response is certainly newer.
    fn apply_limit(&mut self, rate: Rate, answer: ResponseId) -> Option<SignalChange> {
        let current = self.limit;
        let newest = current.map(|current| current.named).or(self.ended);
        let is_repeated = newest.is_some_and(|newest| newest.id == answer.id);
        if is_repeated || newest.is_some_and(|newest| answer.at.received < newest.at.sent) {
            return None;
        }
        let is_newer = |current: Limit| answer.at.sent > current.named.at.received;
        if current.is_some_and(|current| rate > current.rate && !is_newer(current)) {
            return None;
        }
        let is_later = |current: Limit| answer.at.received > current.named.at.received;
        let named =
            current.filter(|current| !is_later(*current)).map_or(answer, |current| current.named);
        self.limit = Some(Limit { rate, named });
        let is_changed = current.is_none_or(|current| current.rate != rate);
        is_changed.then_some(SignalChange::Limited(rate))
    }

    /// Applies a response without a limit. It ends a limit only if its request was sent after the
    /// newest response with the limit was received: any other response may have been written before
    /// that one.
    fn apply_no_limit(&mut self, answer: ResponseId) -> Option<SignalChange> {
        let ended = self.limit.take_if(|limit| answer.at.sent > limit.named.at.received);
        let is_newer = |ended: ResponseId| ended.id != answer.id && answer.at.sent > ended.at.sent;
        if ended.is_some() || self.ended().is_some_and(is_newer) {
            self.ended = Some(answer);
        }
        ended.map(|_| SignalChange::Unlimited)
    }

    /// Merges the signals that another daemon has sent; returns whether they change anything.
    pub fn merge(&mut self, summary: &RunSummary, now: Time) -> bool {
        let limit = match summary.limit {
            LimitSummary::Unknown => None,
            LimitSummary::Named { per_s, at } => {
                Rate::new(per_s).and_then(|rate| self.apply_limit(rate, at.to_response_id(now)))
            }
            LimitSummary::Ended(at) => {
                let ResponseId { id, at: Interval { sent, received } } = at.to_response_id(now);
                self.apply_no_limit(ResponseId {
                    id,
                    at: Interval { sent: sent.saturating_sub(TRANSIT_ALLOWANCE), received },
                })
            }
        };
        let draining = if summary.is_leaving { self.set_leaving() } else { None };
        let is_brittleness_changed = self.brittleness.merge(summary.brittle, now);
        limit.is_some() || draining.is_some() || is_brittleness_changed
    }

    /// Returns the signals for other daemons.
    pub fn summary(&self, run: RunKey, now: Time) -> RunSummary {
        let named = self.limit.map(|limit| LimitSummary::Named {
            per_s: limit.rate.per_s(),
            at: ResponseAges::of(limit.named, now),
        });
        let is_recent = |ended: &ResponseId| now.since(ended.at.received) < ENDED_SEND_DURATION;
        let ended =
            self.ended().filter(is_recent).map(|at| LimitSummary::Ended(ResponseAges::of(at, now)));
        let limit = named.or(ended).unwrap_or(LimitSummary::Unknown);
        let brittle = self.brittleness.summary(now);
        RunSummary { run, limit, is_leaving: self.is_leaving, brittle }
    }

    /// Records that the target is draining, which is final.
    fn set_leaving(&mut self) -> Option<SignalChange> {
        let was_leaving = std::mem::replace(&mut self.is_leaving, true);
        (!was_leaving).then_some(SignalChange::Leaves)
    }

    /// Applies a retry delay. A shorter one does not replace a longer one: no request is sent
    /// during a delay, so its response is not newer than the one that set the longer delay.
    fn set_retry_delay(&mut self, duration: Duration, now: Time) -> Option<SignalChange> {
        let duration = duration.min(MAX_RETRY_DELAY);
        let until = now + duration;
        if duration.is_zero()
            || self.retry_delay.is_some_and(|retry_delay| until <= retry_delay.until)
        {
            return None;
        }
        self.retry_delay = Some(RetryDelay { until, probed: None });
        Some(SignalChange::BacksOff(duration))
    }

    /// Applies a response without a retry delay. It ends the probing after a delay if its request
    /// was sent after the delay.
    fn end_probing(&mut self, at: Interval) {
        self.retry_delay.take_if(|retry_delay| at.sent >= retry_delay.until);
    }

    /// Records that a request has chosen the target.
    pub fn record_choice(&mut self, now: Time) {
        if let Some(retry_delay) =
            self.retry_delay.as_mut().filter(|retry_delay| now >= retry_delay.until)
        {
            retry_delay.probed = Some(now);
        }
    }

    /// Returns whether the signals allow another request to choose the target. After a retry delay,
    /// requests go one by one until one is answered.
    pub fn availability(&self, now: Time) -> Availability {
        self.availability_from(now, |retry_delay| match retry_delay.probed {
            Some(at) => at + PROBE_INTERVAL,
            None => retry_delay.until,
        })
    }

    /// Returns whether the signals still allow a request that has chosen the target.
    pub fn availability_at_send(&self, now: Time) -> Availability {
        self.availability_from(now, |retry_delay| retry_delay.until)
    }

    fn availability_from(&self, now: Time, open_at: impl Fn(&RetryDelay) -> Time) -> Availability {
        match (self.is_leaving, self.retry_delay.as_ref().map(open_at), self.limit) {
            (true, _, _) => Availability::Leaving,
            (false, Some(open_at), _) if now < open_at => Availability::BackingOff(open_at),
            (false, _, Some(limit)) => Availability::Limited(limit.rate),
            (false, _, None) => Availability::Open,
        }
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<Limit> {
        self.limit
    }

    /// Returns the response that ended the last limit, if no limit is in force.
    fn ended(&self) -> Option<ResponseId> {
        self.ended.filter(|_| self.limit.is_none())
    }

    /// Returns whether the target is draining.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
