//! A daemon's side of all quotas: its requests that wait for the planner, and its use since the
//! last report.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::{clock::Time, name::TeamName};

use super::{
    message::{LentShare, ReturnedUnits, Stamp, TeamUse, UsageReport, Verdict},
    share::Share,
};

/// The time constant of the average rate that requests ask for.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(2);
/// A team without requests for this long is no longer reported.
const IDLE_TEAM_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum number of amounts given back for a team in one message.
const MAX_RETURNED_AMOUNTS: usize = 3;
/// The maximum number of teams in one message, those with the most use: the message has to fit into
/// a datagram.
const MAX_REPORTED_TEAMS: usize = 20;
/// Units are given back only if they were taken less than this long ago.
const MAX_RETURN_AGE: Duration = Duration::from_secs(8);

/// This daemon's use of one team's quota.
#[derive(Debug)]
struct Usage {
    /// Units a second, averaged over the last seconds, as of `at`.
    per_s: f64,
    at: Time,
    retried: f64,
    lent: f64,
    back: Vec<(f64, Time)>,
    share: Option<Share>,
}

impl Usage {
    fn new(now: Time) -> Self {
        Self { per_s: 0.0, at: now, retried: 0.0, lent: 0.0, back: Vec::new(), share: None }
    }

    /// Returns the average units a second that are asked for.
    fn rate(&self, now: Time) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Returns the report to the planner, and resets the amounts that it contains.
    fn take_report(&mut self, team: &TeamName, now: Time) -> TeamUse {
        TeamUse {
            team: team.clone(),
            per_s: self.rate(now) as u32,
            retried: std::mem::take(&mut self.retried) as u32,
            lent: std::mem::take(&mut self.lent) as u32,
            returned: self
                .back
                .drain(..)
                .map(|(units, taken)| returned_units(units, now.since(taken)))
                .collect(),
        }
    }

    fn record_request(&mut self, units: f64, now: Time) {
        self.per_s = self.rate(now) + units / RATE_TIME_CONSTANT.as_secs_f64();
        self.at = now;
    }
}

/// This daemon's side of all quotas.
#[derive(Debug, Default)]
pub struct PendingQuotas {
    uses: HashMap<TeamName, Usage>,
    /// The requests that wait, by number, and their verdicts.
    requests: HashMap<u32, Option<Verdict>>,
    number: u32,
    /// A random number that identifies this run of the daemon.
    run: u64,
    /// When the last report was sent that a planner has replied to.
    last_answered_report: Option<Time>,
}

impl PendingQuotas {
    /// Creates the state of a daemon's run that has asked for nothing yet. Its requests have
    /// numbers that no earlier run used recently.
    pub fn of_run(run: u64) -> Self {
        Self { run, number: run as u32, ..Self::default() }
    }

    /// Returns when the report was sent that a reply belongs to, if this run sent it.
    pub fn sent_at(&self, stamp: Stamp, now: Time) -> Option<Time> {
        stamp.sent_at(self.run, now)
    }

    /// Returns how long ago the last report was sent that a planner has replied to. Without a
    /// reply, the time counts from the first call.
    pub fn unanswered_for(&mut self, now: Time) -> Duration {
        now.since(*self.last_answered_report.get_or_insert(now))
    }

    /// Registers a request for `units`; returns its number.
    pub fn begin(&mut self, team: &TeamName, units: f64, now: Time) -> u32 {
        self.usage(team, now).record_request(units, now);
        self.number = self.number.wrapping_add(1);
        self.requests.insert(self.number, None);
        self.number
    }

    /// Records a verdict; returns whether a request was waiting for it.
    pub fn record_verdict(&mut self, number: u32, verdict: Verdict) -> bool {
        let request = self.requests.get_mut(&number);
        request.is_some_and(|answer| answer.replace(verdict).is_none())
    }

    /// Returns the verdict on a request, if it has arrived.
    pub fn verdict(&self, number: u32) -> Option<Verdict> {
        self.requests.get(&number).copied().flatten()
    }

    /// Clears the verdict on a request, so that it can be sent again.
    pub fn clear_verdict(&mut self, number: u32) {
        self.requests.insert(number, None);
    }

    /// Removes a request.
    pub fn end(&mut self, number: u32) {
        self.requests.remove(&number);
    }

    /// Takes `units` of this daemon's share; returns whether the share allows it.
    pub fn take_lent(&mut self, team: &TeamName, units: f64, draw: f64, now: Time) -> bool {
        let usage = self.usage(team, now);
        let is_taken = usage.share.as_mut().is_some_and(|share| share.take(units, draw, now));
        usage.lent += if is_taken { units } else { 0.0 };
        is_taken
    }

    /// Deducts from this daemon's share `units` that the account has granted.
    pub fn deduct_granted(&mut self, team: &TeamName, units: f64, now: Time) {
        if let Some(share) = self.usage(team, now).share.as_mut() {
            share.deduct_granted(units, now);
        }
    }

    /// Records `units` that were taken at `taken` and are given back, because no target has run the
    /// request.
    pub fn give_back(&mut self, team: &TeamName, units: f64, taken: Time, now: Time) {
        let usage = self.usage(team, now);
        if now.since(taken) >= MAX_RETURN_AGE {
            return;
        }
        let is_full = usage.back.len() >= MAX_RETURNED_AMOUNTS;
        match usage.back.last_mut().filter(|_| is_full) {
            Some((sum, at)) => (*sum, *at) = (*sum + units, taken.min(*at)),
            None => usage.back.push((units, taken)),
        }
    }

    /// Records that retries have taken `units` beyond what was asked for.
    pub fn charge_retries(&mut self, team: &TeamName, units: f64, now: Time) {
        self.usage(team, now).retried += units;
    }

    /// Records the shares that the planner with `fence` has lent in reply to a report sent at
    /// `requested_at`.
    pub fn renew_shares(&mut self, lent: &[LentShare], fence: u64, requested_at: Time, now: Time) {
        self.last_answered_report = self.last_answered_report.max(Some(requested_at));
        for LentShare { team, rate } in lent {
            let rate = f64::from(*rate);
            let usage = self.usage(team, now);
            let share =
                usage.share.get_or_insert_with(|| Share::new(rate, fence, requested_at, now));
            share.renew(rate, fence, requested_at, now);
        }
    }

    /// Returns the report for a heartbeat, and resets the amounts that it contains.
    pub fn take_report(&mut self, now: Time) -> UsageReport {
        self.uses.retain(|_, u| now.since(u.at) < IDLE_TEAM_TIMEOUT);
        let mut most_used: Vec<(&TeamName, &mut Usage)> = self.uses.iter_mut().collect();
        most_used.sort_by(|(_, a), (_, b)| b.rate(now).total_cmp(&a.rate(now)));
        let reported = most_used
            .into_iter()
            .take(MAX_REPORTED_TEAMS)
            .map(|(team, u)| u.take_report(team, now));
        let uses = reported.collect();
        UsageReport { stamp: Stamp { run: self.run, us: now.as_micros() }, uses }
    }

    fn usage(&mut self, team: &TeamName, now: Time) -> &mut Usage {
        self.uses.entry(team.clone()).or_insert_with(|| Usage::new(now))
    }
}

fn returned_units(units: f64, age: Duration) -> ReturnedUnits {
    ReturnedUnits { units: units as u32, age_ms: age.as_millis() as u32 }
}
