//! Usage reports and quota requests to the planner, and the planner's replies.

use std::{net::SocketAddr, time::Duration};

use tansyknot_core::{clock::Time, metric, name::TeamName};

use super::PeerNode;
use crate::{
    access::{
        QuotaDecision, Quotas,
        lending::QuotaWithdrawal,
        message::{QuotaReply, QuotaRequest, UsageReply, UsageReport, Verdict},
        share::UNRESPONSIVE_AFTER,
        team::Teams,
    },
    catalog::Catalog,
    dissemination::message::Message,
};

/// How long to wait for a reply before a request is retried: a round trip takes about 3 ms, and a
/// small host may add tens of milliseconds.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Requests no longer wait for the planner once it has replied to no usage report that was sent
/// within this time. Replacing a lost planner usually takes less, so the daemon is probably
/// disconnected from the planner, and other daemons can serve its requests.
pub const MAX_PLANNER_OUTAGE: Duration = Duration::from_millis(3300);
/// Maximum age of the planner's view of the configuration for it to enforce quotas: several of its
/// calls to the store, and less than the bound promised to operators.
const MAX_QUOTA_AGE: Duration = Duration::from_millis(1500);

impl PeerNode {
    /// Reports this daemon's quota usage to the planner, and queries the age of the planner's view
    /// of the keys.
    pub(super) fn send_usage_report(&self, now: Time) {
        if !self.state.requires_keys() {
            return;
        }
        let report = self.state.pending_quotas().take_report(now);
        if self.lease.is_valid(now) {
            self.record_own_usage(&report, now);
            return;
        }
        if let Some(planner) = self.remote_planner() {
            self.send_parts(Message::UsageReport(report), &[planner]);
        }
    }

    /// Returns the units left in each team's quota account, if this daemon is the planner.
    pub fn remaining_quotas(&self) -> Vec<(TeamName, f64)> {
        let now = self.state.now();
        if self.lease.is_valid(now) { self.quota_accounts().left(now) } else { Vec::new() }
    }

    /// Returns the planner's address, if the planner is another daemon.
    pub(super) fn remote_planner(&self) -> Option<SocketAddr> {
        let (daemon, address) = self.lease.planner()?;
        (daemon != self.me.daemon).then_some(address)
    }

    /// Updates the planner's quota accounts and adds this daemon's own usage to them.
    fn record_own_usage(&self, report: &UsageReport, now: Time) {
        self.with_fresh_teams(|teams, _| {
            let options = &self.state.access;
            let mut quota_accounts = self.quota_accounts();
            quota_accounts.maintain(teams, options, now);
            quota_accounts.record_use(self.me.address, &report.uses, teams, options, now);
        });
    }

    /// Calls `f` with the teams in force, if the view of the configuration is fresh: a daemon that
    /// becomes the planner just as the store returns may have outdated quotas.
    fn with_fresh_teams<T>(&self, f: impl FnOnce(&Teams, &Catalog) -> T) -> Option<T> {
        let (catalog, view) = self.state.active_catalog_and_keys();
        let catalog = catalog?;
        let teams = catalog.teams.as_ref()?;
        let is_fresh = view.age(catalog.version, self.state.now()) < MAX_QUOTA_AGE;
        is_fresh.then(|| f(teams, &catalog))
    }

    /// Handles and replies to the usage report of another daemon, if this daemon is the planner.
    pub(super) fn handle_usage_report(&self, report: &UsageReport, from: SocketAddr, now: Time) {
        if !self.lease.is_valid(now) {
            return;
        }
        let reply = self.with_fresh_teams(|teams, catalog| {
            let lent = {
                let mut quota_accounts = self.quota_accounts();
                quota_accounts.record_use(from, &report.uses, teams, &self.state.access, now);
                quota_accounts.lend(from, teams, now)
            };
            let as_of = self.state.key_view().as_of(catalog.version);
            UsageReply {
                fence: self.lease.fence(),
                stamp: report.stamp,
                config: catalog.version,
                config_age_ms: as_of.map(|at| millis_rounded_up(self.state.now().since(at))),
                lent,
            }
        });
        if let Some(reply) = reply {
            self.send_parts(Message::UsageReply(reply), &[from]);
        }
    }

    /// Handles the planner's reply to a usage report. Ages count from when the report was sent: the
    /// reply was made after that, however long it or this process was delayed since.
    pub(super) fn handle_usage_reply(&self, reply: &UsageReply, now: Time) {
        let Some(sent_at) = self.state.pending_quotas().sent_at(reply.stamp, now) else { return };
        if let Some(age) = reply.config_age_ms {
            let as_of = sent_at.saturating_sub(Duration::from_millis(age.into()));
            self.state.key_view().record_newest(reply.config, as_of);
        }
        if reply.fence >= self.lease.fence() {
            self.state.pending_quotas().renew_shares(&reply.lent, reply.fence, sent_at, now);
        }
    }

    /// Replies to a quota request, if this daemon is the planner.
    pub(super) fn handle_quota_request(&self, request: &QuotaRequest, from: SocketAddr, now: Time) {
        if !self.lease.is_valid(now) {
            return;
        }
        let QuotaRequest { number, ref team, units } = *request;
        let withdrawal = QuotaWithdrawal { from, number, team, units: f64::from(units) };
        if let Some(verdict) = self.decide_quota(withdrawal, now) {
            let quota_reply = QuotaReply { number, verdict };
            self.send_parts(Message::QuotaReply(quota_reply), &[from]);
        }
    }

    /// Handles the reply to a quota request.
    pub(super) fn handle_quota_reply(&self, quota_reply: QuotaReply) {
        if self.state.pending_quotas().record_verdict(quota_reply.number, quota_reply.verdict) {
            self.state.quota_reply_received.notify();
        }
    }

    /// Decides a quota request as the planner; `None` if the view of the configuration is too old.
    fn decide_quota(&self, withdrawal: QuotaWithdrawal<'_>, now: Time) -> Option<Verdict> {
        let options = &self.state.access;
        self.with_fresh_teams(|teams, _| {
            self.quota_accounts().take(withdrawal, teams, options, now)
        })
    }

    /// Requests units of a quota. Returns the verdict if this daemon is the planner; the reply of
    /// another planner arrives in
    /// [`PendingQuotas`](crate::access::pending::PendingQuotas), unless it is lost.
    pub fn request_quota(&self, number: u32, team: &TeamName, units: f64) -> Option<Verdict> {
        let now = self.state.now();
        if self.lease.is_valid(now) {
            return self
                .decide_quota(QuotaWithdrawal { from: self.me.address, number, team, units }, now);
        }
        let request = QuotaRequest { number, team: team.clone(), units: units as u32 };
        if let Some(planner) = self.remote_planner() {
            self.send_parts(Message::QuotaRequest(request), &[planner]);
        }
        None
    }

    /// Sends one quota request; `None` if no reply arrives in time.
    fn request_once(&self, number: u32, team: &TeamName, units: f64) -> Option<Verdict> {
        let until = self.state.now() + REPLY_TIMEOUT;
        if let Some(verdict) = self.request_quota(number, team, units) {
            return Some(verdict);
        }
        loop {
            let seen = self.state.quota_reply_received.count();
            if let Some(verdict) = self.state.pending_quotas().verdict(number) {
                return Some(verdict);
            }
            let left = until.since(self.state.now());
            if left.is_zero() {
                return None;
            }
            self.state.quota_reply_received.wait(seen, left);
        }
    }

    /// Takes units from the quota lent to this daemon; returns whether enough was left.
    fn take_lent(&self, team: &TeamName, units: f64, now: Time) -> bool {
        let is_taken = self.state.pending_quotas().take_lent(team, units, rand::random(), now);
        if is_taken {
            self.count_metric(metric::QUOTA_LENT, 1);
        }
        is_taken
    }

    /// Retries a quota request until it is decided or `until` has passed.
    fn request_until(
        &self,
        number: u32,
        team: &TeamName,
        units: f64,
        until: Time,
    ) -> QuotaDecision {
        loop {
            let verdict = self.request_once(number, team, units);
            let now = self.state.now();
            match verdict {
                Some(Verdict::Granted) => {
                    self.state.pending_quotas().deduct_granted(team, units, now);
                    return QuotaDecision::Granted;
                }
                Some(Verdict::Over { wait_ms }) => {
                    return QuotaDecision::Over { wait: Duration::from_millis(wait_ms.into()) };
                }
                Some(Verdict::Later) => {
                    // The account already covers the lent units: using both would exceed the quota.
                    self.state.pending_quotas().clear_verdict(number);
                    self.state.clock.sleep(REPLY_TIMEOUT);
                }
                None if self.take_lent(team, units, now) => return QuotaDecision::Granted,
                None => {}
            }
            if now >= until {
                return QuotaDecision::Unknown;
            }
        }
    }
}

impl Quotas for PeerNode {
    fn take(&self, team: &TeamName, units: f64, timeout: Duration) -> QuotaDecision {
        let now = self.state.now();
        let (number, silent) = {
            let mut pending = self.state.pending_quotas();
            (pending.begin(team, units, now), pending.unanswered_for(now))
        };
        let is_planner_unresponsive = !self.lease.is_valid(now) && silent >= UNRESPONSIVE_AFTER;
        let decision = if is_planner_unresponsive && self.take_lent(team, units, now) {
            QuotaDecision::Granted
        } else {
            let outage_left = MAX_PLANNER_OUTAGE.saturating_sub(silent);
            self.request_until(number, team, units, now + timeout.min(outage_left))
        };
        self.state.pending_quotas().end(number);
        decision
    }
}

/// Returns a duration in milliseconds, rounded up: an age must not be reported as less than it is.
fn millis_rounded_up(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
