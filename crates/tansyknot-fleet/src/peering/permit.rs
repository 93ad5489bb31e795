//! Permits for requests to targets with a limit: granting them, and requesting them from the daemon
//! that grants them.
//!
//! The planner grants permits. While there is no planner, one daemon does so for each target;
//! daemons that have the same list of peers choose the same one.

use std::{net::SocketAddr, time::Duration};

use tansyknot_core::clock::Time;

use super::PeerNode;
use crate::{
    access::{message::Stamp, share::UNRESPONSIVE_AFTER},
    backpressure::{
        PermitRequest, Permits,
        message::{PermitCancel, PermitQuery, PermitReply, PermitVerdict, RunSummary},
        scheduler::{Admission, QueuedRequest, Term},
    },
    dissemination::{message::Message, peers},
    poison::key::RunKey,
};

/// A planner that has sent no message for this long grants no permits, as its lease has ended.
const FALLBACK_AFTER: Duration = Duration::from_millis(1500);
/// How long to wait for a permit query if none is queued.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// The daemon that grants permits for one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decider {
    Me,
    Other(SocketAddr),
    Nobody,
}

impl PeerNode {
    /// Returns the term under which this daemon may grant permits.
    fn term(&self, now: Time) -> Term {
        let fence = self.lease.fence();
        if self.lease.is_valid(now) {
            return Term::Planner(fence);
        }
        match self.lease.time_since_message(now) {
            Some(silent) if silent >= FALLBACK_AFTER && self.has_full_peer_list(now) => {
                Term::Fallback(fence)
            }
            Some(_) | None => Term::None,
        }
    }

    /// Returns whether this daemon has run long enough to have received the addresses of all
    /// others. With an incomplete list, it could choose itself for a target that falls to another
    /// daemon.
    fn has_full_peer_list(&self, now: Time) -> bool {
        self.state.uptime(now) >= peers::PEER_LIST_PERIOD
    }

    /// Returns the daemon that grants permits for the target's run.
    fn decider(&self, run: RunKey, now: Time) -> Decider {
        let term = self.term(now);
        let silent = self.lease.time_since_message(now);
        if matches!(term, Term::Planner(_)) {
            return Decider::Me;
        }
        if silent.is_some_and(|silent| silent < UNRESPONSIVE_AFTER) {
            return self.remote_planner().map_or(Decider::Nobody, Decider::Other);
        }
        let chosen = self.state.peers().assigned_to(run.0, now);
        match chosen {
            Some(address) if address != self.me.address => Decider::Other(address),
            Some(_) if matches!(term, Term::Fallback(_)) => Decider::Me,
            Some(_) | None => Decider::Nobody,
        }
    }

    /// Sends the signals that this daemon has received to all others, unless a planner does so.
    pub(super) fn share_signals(&self, now: Time) {
        let has_planner =
            self.lease.time_since_message(now).is_some_and(|silent| silent < UNRESPONSIVE_AFTER);
        if has_planner {
            self.state.fleet().mark_signals_shared(now);
            return;
        }
        let signals = self.state.fleet().take_unshared_signals(now);
        if !signals.is_empty() {
            self.send_parts(Message::Signals(signals), &self.other_daemons());
        }
    }

    /// Merges signals that another daemon has received.
    pub(super) fn handle_signals(&self, signals: &[RunSummary], now: Time) {
        if self.state.fleet().merge_signals(signals, now) {
            self.state.targets_changed.notify();
        }
    }

    /// Replies to a permit query, if this daemon grants permits for the target.
    pub(super) fn handle_permit_query(&self, query: &PermitQuery, from: SocketAddr, now: Time) {
        if self.decider(query.summary.run, now) != Decider::Me {
            return;
        }
        let (has_new_signal, rate) = {
            let mut fleet = self.state.fleet();
            let has_new_signal = fleet.merge_signals(&[query.summary], now);
            let rate = fleet.rate_limit(query.summary.run, now);
            if rate.is_none() && !fleet.has_run(query.summary.run) {
                // Without its entry, this daemon does not know whether the target warms up.
                return;
            }
            (has_new_signal, rate)
        };
        if has_new_signal {
            self.state.notify_view_changed();
        }
        let Some(rate) = rate else {
            return self.reply(from, query.number, query.stamp, PermitVerdict::Granted);
        };
        let queued_query = QueuedRequest {
            from,
            number: query.number,
            stamp: query.stamp,
            priority: query.priority,
            until: now + Duration::from_millis(query.left_ms.into()),
        };
        let admission = {
            let mut scheduler = self.scheduler();
            scheduler.begin(self.term(now), now);
            scheduler.enqueue(query.summary.run, rate, queued_query, now)
        };
        let verdict = match admission {
            Admission::Granted => PermitVerdict::Granted,
            Admission::Queued(wait) => PermitVerdict::Queued { wait_ms: wait.as_millis() as u32 },
        };
        self.reply(from, query.number, query.stamp, verdict);
        self.grant_permits();
        self.state.permits_changed.notify();
    }

    /// Removes a request that no longer waits for a permit from the queue.
    pub(super) fn handle_permit_cancel(&self, end: PermitCancel, from: SocketAddr) {
        self.scheduler().cancel(end.run, from, end.number);
    }

    /// Handles the reply to a permit query of this daemon.
    pub(super) fn handle_permit_reply(&self, reply: &PermitReply, now: Time) {
        if self.state.permits().apply_reply(reply, now) {
            self.state.targets_changed.notify();
        }
    }

    /// Grants the permits that are due, if this daemon grants permits.
    pub fn grant_permits(&self) {
        let now = self.state.now();
        let granted = {
            let mut scheduler = self.scheduler();
            scheduler.begin(self.term(now), now);
            scheduler.grant(&|run| self.state.fleet().rate_limit(run, now), now)
        };
        for query in granted {
            self.reply(query.from, query.number, query.stamp, PermitVerdict::Granted);
        }
    }

    /// Grants permits as they become due, until the process ends.
    pub fn run_permit_grants(&self) {
        loop {
            let seen = self.state.permits_changed.count();
            self.grant_permits();
            let next = self.scheduler().next_at();
            let max_wait = next.map_or(IDLE_WAIT, |at| at.since(self.state.now()));
            self.state.permits_changed.wait(seen, max_wait);
        }
    }

    fn reply(&self, to: SocketAddr, number: u32, stamp: Stamp, verdict: PermitVerdict) {
        let reply = PermitReply { number, stamp, verdict };
        if to == self.me.address {
            self.handle_permit_reply(&reply, self.state.now());
        } else {
            self.send_parts(Message::PermitReply(reply), &[to]);
        }
    }
}

impl Permits for PeerNode {
    fn request(&self, request: PermitRequest) {
        let PermitRequest { number, run, priority, time_left } = request;
        let now = self.state.now();
        let stamp = self.state.permits().record_sent(number, now);
        let summary = self.state.fleet().signal_summary(run, now);
        let left_ms = u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX);
        let query = PermitQuery { number, stamp, summary, priority, left_ms };
        match self.decider(run, now) {
            Decider::Me => self.handle_permit_query(&query, self.me.address, now),
            Decider::Other(address) => self.send_parts(Message::PermitQuery(query), &[address]),
            Decider::Nobody => {}
        }
    }

    fn cancel(&self, number: u32, run: RunKey) {
        let end = PermitCancel { number, run };
        match self.decider(run, self.state.now()) {
            Decider::Me => self.handle_permit_cancel(end, self.me.address),
            Decider::Other(address) => self.send_parts(Message::PermitCancel(end), &[address]),
            Decider::Nobody => {}
        }
    }
}
