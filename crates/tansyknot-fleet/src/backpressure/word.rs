//! What one run of a target has said of itself, however its answers overtake each other.

use std::time::Duration;

use tansyknot_core::clock::Time;

use super::{Interval, Outcome, REST_MOST, Rate, Said, Signals};

/// A target whose rest is over gets one request each so long, until it has answered one.
const PROBE_EVERY: Duration = Duration::from_millis(500);

/// A limit, and the newest answer that names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// How much the target takes.
    pub rate: Rate,
    /// When it was named last.
    pub named: Interval,
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

/// Whether a target takes a request of this daemon by its own word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It does.
    Open,
    /// It does if the request is one of so many a second.
    Limited(Rate),
    /// It does from then on.
    Resting(Time),
    /// It never does again.
    Leaving,
}

/// What one run of a target has said of itself.
#[derive(Clone, Debug, Default)]
pub struct Word {
    limit: Option<Limit>,
    /// The answer that ended the last limit.
    ended: Option<Interval>,
    is_leaving: bool,
    rest: Option<Rest>,
}

impl Word {
    /// Takes in what an answer says; returns what it changes.
    pub fn hear(&mut self, signals: &Signals, outcome: Outcome, at: Interval) -> Vec<Change> {
        let mut changes = Vec::new();
        changes.extend(match (signals.limit, outcome) {
            (Said::Value(rate), _) => self.limit_named(rate, at),
            (Said::Nothing, Outcome::Ran) => self.limit_ended(at),
            (Said::Nothing, Outcome::NotRun) | (Said::Malformed, _) => None,
        });
        changes.extend(matches!(signals.leaving, Said::Value(())).then(|| self.leave()).flatten());
        match signals.rest {
            Said::Value(span) => changes.extend(self.rest_for(span, at.received)),
            Said::Nothing | Said::Malformed => self.answered(at),
        }
        changes
    }

    /// Takes in a limit. A higher one counts only if it is surely the newer word.
    pub fn limit_named(&mut self, rate: Rate, at: Interval) -> Option<Change> {
        let known = self.limit;
        if known.is_some_and(|known| rate > known.rate && at.sent <= known.named.received) {
            return None;
        }
        let is_newest = known.is_none_or(|known| at.received > known.named.received);
        let named = known.filter(|_| !is_newest).map_or(at, |known| known.named);
        self.limit = Some(Limit { rate, named });
        let is_news = known.is_none_or(|known| known.rate != rate);
        is_news.then_some(Change::Limited(rate))
    }

    /// Takes in an answer without a limit. It ends one only if its request was sent after the last
    /// answer with the limit had come: any other may have been written before that.
    pub fn limit_ended(&mut self, at: Interval) -> Option<Change> {
        self.limit.take_if(|limit| at.sent > limit.named.received)?;
        self.ended = Some(at);
        Some(Change::Unlimited)
    }

    /// Takes in that the target leaves, which it can't take back.
    pub fn leave(&mut self) -> Option<Change> {
        let was_leaving = std::mem::replace(&mut self.is_leaving, true);
        (!was_leaving).then_some(Change::Leaves)
    }

    /// Takes in a rest. A shorter one does not end a longer one: nothing was sent that could be a newer
    /// word.
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

    /// Takes in that a request is sent now.
    pub fn sends(&mut self, now: Time) {
        if let Some(rest) = self.rest.as_mut().filter(|rest| now >= rest.until) {
            rest.probed = Some(now);
        }
    }

    /// Tells whether the target takes a request by its own word.
    pub fn standing(&self, now: Time) -> Standing {
        let probe_at = |rest: Rest| match rest.probed {
            Some(at) => at + PROBE_EVERY,
            None => rest.until,
        };
        match (self.is_leaving, self.rest.map(probe_at), self.limit) {
            (true, _, _) => Standing::Leaving,
            (false, Some(open_at), _) if now < open_at => Standing::Resting(open_at),
            (false, _, Some(limit)) => Standing::Limited(limit.rate),
            (false, _, None) => Standing::Open,
        }
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Option<Limit> {
        self.limit
    }

    /// Returns the answer that ended the last limit, if none is in force.
    pub fn ended(&self) -> Option<Interval> {
        self.ended.filter(|_| self.limit.is_none())
    }

    /// Tells whether the target leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
