//! Deciding which requests go to targets that name limits, and asking the daemon that does.
//!
//! That is the planner. While there is none, it is another daemon for each target, the same one for all
//! that know the same daemons.

use std::{net::SocketAddr, time::Duration};

use tansyknot_core::clock::Time;

use super::Conductor;
use crate::{
    access::{message::Stamp, share::SILENT_AFTER},
    backpressure::{
        PermitRequest, Permits,
        message::{PermitAnswer, PermitAsk, PermitEnd, PermitVerdict, RunSummary},
        scheduler::{Ask, Place, Term},
    },
    dissemination::{message::Message, peers},
    poison::key::RunKey,
};

/// A planner that has been silent for so long decides nothing any more: its lease is over.
const FALLBACK_AFTER: Duration = Duration::from_millis(1500);
/// How long to wait for requests that ask while none does.
const IDLE: Duration = Duration::from_secs(60);

/// Who decides about one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decider {
    Me,
    Other(SocketAddr),
    Nobody,
}

impl Conductor {
    /// Returns by which right this daemon decides.
    fn term(&self, now: Time) -> Term {
        let fence = self.lease.fence();
        if self.lease.is_valid(now) {
            return Term::Planner(fence);
        }
        match self.lease.silent_for(now) {
            Some(silent) if silent >= FALLBACK_AFTER && self.knows_others(now) => {
                Term::Fallback(fence)
            }
            Some(_) | None => Term::None,
        }
    }

    /// Tells whether this daemon has had the time to be told of all others: it would take itself for the
    /// one that a target falls to beside another one that does.
    fn knows_others(&self, now: Time) -> bool {
        self.state.runs_for(now) >= peers::TOLD_WITHIN
    }

    fn decider(&self, run: RunKey, now: Time) -> Decider {
        let term = self.term(now);
        let silent = self.lease.silent_for(now);
        if matches!(term, Term::Planner(_)) {
            return Decider::Me;
        }
        if silent.is_some_and(|silent| silent < SILENT_AFTER) {
            return self.planner_elsewhere().map_or(Decider::Nobody, Decider::Other);
        }
        let chosen = self.state.peers().chosen(run.0, now);
        match chosen {
            Some(address) if address != self.me.address => Decider::Other(address),
            Some(_) if matches!(term, Term::Fallback(_)) => Decider::Me,
            Some(_) | None => Decider::Nobody,
        }
    }

    /// Shares the signals that this daemon has received with all others, unless a planner does.
    pub(super) fn share_signals(&self, now: Time) {
        let has_planner = self.lease.silent_for(now).is_some_and(|silent| silent < SILENT_AFTER);
        if has_planner {
            self.state.fleet().signals_are_shared(now);
            return;
        }
        let signals = self.state.fleet().take_unshared_signals(now);
        if !signals.is_empty() {
            self.send_parts(Message::Signals(signals), &self.others());
        }
    }

    /// Takes in signals that another daemon has received.
    pub(super) fn take_signals(&self, signals: &[RunSummary], now: Time) {
        if self.state.fleet().merge_signals(signals, now) {
            self.state.targets_changed.raise();
        }
    }

    /// Answers a request that asks, if this daemon decides.
    pub(super) fn take_permit_ask(&self, ask: &PermitAsk, from: SocketAddr, now: Time) {
        if self.decider(ask.summary.run, now) != Decider::Me {
            return;
        }
        let (is_news, rate) = {
            let mut fleet = self.state.fleet();
            (fleet.merge_signals(&[ask.summary], now), fleet.limit(ask.summary.run))
        };
        if is_news {
            self.state.view_changed();
        }
        let Some(rate) = rate else {
            return self.answer(from, ask.number, ask.stamp, PermitVerdict::Granted);
        };
        let asking = Ask {
            from,
            number: ask.number,
            stamp: ask.stamp,
            priority: ask.priority,
            until: now + Duration::from_millis(ask.left_ms.into()),
        };
        let place = {
            let mut scheduler = self.scheduler();
            scheduler.begin(self.term(now), now);
            scheduler.ask(ask.summary.run, rate, asking, now)
        };
        let verdict = match place {
            Place::Granted => PermitVerdict::Granted,
            Place::Queued(wait) => PermitVerdict::Queued { wait_ms: wait.as_millis() as u32 },
        };
        self.answer(from, ask.number, ask.stamp, verdict);
        self.grant_permits();
        self.state.permits_changed.raise();
    }

    /// Takes in that a request does not wait any more.
    pub(super) fn take_permit_end(&self, end: PermitEnd, from: SocketAddr) {
        self.scheduler().end(end.run, from, end.number);
    }

    /// Takes in the answer to a request of this daemon.
    pub(super) fn take_permit_answer(&self, answer: &PermitAnswer, now: Time) {
        if self.state.permits().answered(answer, now) {
            self.state.targets_changed.raise();
        }
    }

    /// Lets the requests go whose turn it is, if this daemon decides.
    pub fn grant_permits(&self) {
        let now = self.state.now();
        let granted = {
            let mut scheduler = self.scheduler();
            scheduler.begin(self.term(now), now);
            scheduler.grant(&|run| self.state.fleet().limit(run), now)
        };
        for ask in granted {
            self.answer(ask.from, ask.number, ask.stamp, PermitVerdict::Granted);
        }
    }

    /// Lets requests go when it is their turn, until the process ends.
    pub fn grant_permits_on(&self) {
        loop {
            let seen = self.state.permits_changed.count();
            self.grant_permits();
            let next = self.scheduler().next_at();
            let pause = next.map_or(IDLE, |at| at.since(self.state.now()));
            self.state.permits_changed.wait(seen, pause);
        }
    }

    fn answer(&self, to: SocketAddr, number: u32, stamp: Stamp, verdict: PermitVerdict) {
        let answer = PermitAnswer { number, stamp, verdict };
        if to == self.me.address {
            self.take_permit_answer(&answer, self.state.now());
        } else {
            self.send_parts(Message::PermitAnswer(answer), &[to]);
        }
    }
}

impl Permits for Conductor {
    fn ask(&self, request: PermitRequest) {
        let PermitRequest { number, run, priority, left } = request;
        let now = self.state.now();
        let stamp = self.state.permits().asked(number, now);
        let summary = self.state.fleet().summary(run, now);
        let Some(summary) = summary else { return };
        let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        let ask = PermitAsk { number, stamp, summary, priority, left_ms };
        match self.decider(run, now) {
            Decider::Me => self.take_permit_ask(&ask, self.me.address, now),
            Decider::Other(address) => self.send_parts(Message::PermitAsk(ask), &[address]),
            Decider::Nobody => {}
        }
    }

    fn end(&self, number: u32, run: RunKey) {
        let end = PermitEnd { number, run };
        match self.decider(run, self.state.now()) {
            Decider::Me => self.take_permit_end(end, self.me.address),
            Decider::Other(address) => self.send_parts(Message::PermitEnd(end), &[address]),
            Decider::Nobody => {}
        }
    }
}
