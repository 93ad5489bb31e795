//! The planner's quota accounts: one for each team, and the share of each quota that a daemon may
//! use without asking the planner.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tansyknot_core::{clock::Time, event, name::TeamName};

use super::{
    AccessOptions,
    account::{Account, WithdrawalOutcome},
    message::{LentShare, TeamUse, Verdict},
    share::{SHARE_LIFETIME, UNRESPONSIVE_AFTER},
    team::Teams,
};

/// The fraction of a quota that is lent. The remainder covers what shares have saved up, and
/// daemons that learn of the next planner later than others.
const LENT_FRACTION: f64 = 0.65;
/// The lowest use by all daemons, as a fraction of a quota, that shares are computed from. Without
/// it, when a team begins to send requests everywhere at once or the accounts are new, the first
/// daemon to report would be lent the full quota, and so would the next.
const MIN_USED_FRACTION: f64 = 0.5;
/// The fraction of the lent units that is divided equally among all daemons, whatever they have
/// used.
const EQUAL_FRACTION: f64 = 0.1;
/// How long verdicts are stored, so that a repeated request is counted once.
const VERDICT_RETENTION: Duration = Duration::from_millis(1000);
/// The maximum number of stored verdicts, enough for a thousand requests a second.
const MAX_VERDICTS: usize = 2048;
/// By this time after the accounts are opened, daemons have reported what they used of an earlier
/// planner's shares.
const SETTLING_PERIOD: Duration = Duration::from_millis(1500);
/// Accounts that were not maintained for this long are replaced by new ones: the planner was
/// absent.
const MAX_MAINTENANCE_GAP: Duration = Duration::from_millis(1500);
/// How often the refusals for a team's quota are logged.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The units granted and refused to a team since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    granted: f64,
    refused: f64,
    logged: Time,
}

/// What the planner has recorded of one daemon.
#[derive(Debug, Default)]
struct Borrower {
    last_seen: Time,
    /// The units a second that it reports for each team.
    uses: HashMap<TeamName, f64>,
    /// The units a second of each team that it was last lent.
    lent: HashMap<TeamName, f64>,
    /// The time up to which its use while unresponsive has been charged.
    charged_until: Time,
}

/// A request for units of a team's quota.
#[derive(Clone, Copy, Debug)]
pub struct QuotaWithdrawal<'a> {
    /// The address of the daemon that sent the request.
    pub from: SocketAddr,
    /// The number of the request at that daemon.
    pub number: u32,
    /// The team.
    pub team: &'a TeamName,
    /// The units that it takes.
    pub units: f64,
}

/// The accounts of all teams and the shares that daemons were lent, as one planner maintains them.
#[derive(Debug, Default)]
pub struct QuotaAccounts {
    /// The fencing token of the planner that maintains the accounts.
    fence: u64,
    opened: Time,
    maintained_at: Time,
    accounts: HashMap<TeamName, Account>,
    borrowers: HashMap<SocketAddr, Borrower>,
    /// The use by all daemons together, in units a second.
    used: HashMap<TeamName, f64>,
    verdicts: HashMap<(SocketAddr, u32), (Verdict, Time)>,
    tallies: HashMap<TeamName, Tally>,
}

impl QuotaAccounts {
    /// Opens new accounts for the planner with `fence`, unless the current ones are its own and
    /// were maintained recently: older ones lack what was used since.
    pub fn begin(&mut self, fence: u64, now: Time) {
        if self.fence != fence || now.since(self.maintained_at) >= MAX_MAINTENANCE_GAP {
            *self = Self { fence, opened: now, maintained_at: now, ..Self::default() };
        }
    }

    /// Decides whether a request gets its units.
    pub fn take(
        &mut self,
        withdrawal: QuotaWithdrawal<'_>,
        teams: &Teams,
        options: &AccessOptions,
        now: Time,
    ) -> Verdict {
        let QuotaWithdrawal { from, number, team, units } = withdrawal;
        if let Some((verdict, _)) = self.verdicts.get(&(from, number)) {
            return *verdict;
        }
        let outcome = match self.account(team, teams, options, now) {
            Some(account) => account.take(units, now),
            None => WithdrawalOutcome::Taken,
        };
        let verdict = match outcome {
            WithdrawalOutcome::Taken => Verdict::Granted,
            WithdrawalOutcome::Over(wait) => Verdict::Over { wait_ms: wait.as_millis() as u32 },
            WithdrawalOutcome::Opening => return Verdict::Later,
        };
        let tally = self.tallies.entry(team.clone()).or_default();
        match verdict {
            Verdict::Granted => tally.granted += units,
            Verdict::Over { .. } => tally.refused += units,
            Verdict::Later => {}
        }
        self.store_verdict((from, number), verdict, now);
        verdict
    }

    fn log_refusals(&mut self, now: Time) {
        for (team, tally) in &mut self.tallies {
            if now.since(tally.logged) < REFUSAL_LOG_INTERVAL {
                continue;
            }
            let Tally { granted, refused, logged } = std::mem::take(tally);
            tally.logged = now;
            if refused > 0.0 {
                let left = self.accounts.get(team).map_or(0.0, |account| account.left(now));
                event::QUOTA_REFUSES.emit(&[
                    ("team", team),
                    ("granted", &granted),
                    ("refused", &refused),
                    ("left", &left.round()),
                    ("ms", &now.since(logged).as_millis()),
                ]);
            }
        }
    }

    fn store_verdict(&mut self, request: (SocketAddr, u32), verdict: Verdict, now: Time) {
        if self.verdicts.len() >= MAX_VERDICTS {
            self.verdicts.retain(|_, (_, at)| now.since(*at) < VERDICT_RETENTION);
        }
        if self.verdicts.len() < MAX_VERDICTS {
            self.verdicts.insert(request, (verdict, now));
        }
    }

    /// Records the use that a daemon reports.
    pub fn record_use(
        &mut self,
        from: SocketAddr,
        uses: &[TeamUse],
        teams: &Teams,
        options: &AccessOptions,
        now: Time,
    ) {
        let borrower = self.borrowers.entry(from).or_default();
        (borrower.last_seen, borrower.charged_until) = (now, now);
        for (team, per_s) in borrower.uses.drain() {
            *self.used.entry(team).or_default() -= per_s;
        }
        for item in uses {
            let per_s = f64::from(item.per_s);
            borrower.uses.insert(item.team.clone(), per_s);
            *self.used.entry(item.team.clone()).or_default() += per_s;
        }
        let is_settled = now.since(self.opened) >= SETTLING_PERIOD;
        for item in uses {
            let Some(account) = self.account(&item.team, teams, options, now) else { continue };
            account.charge(f64::from(item.retried), now);
            // Units that were lent before the accounts were opened don't belong to them.
            if is_settled {
                account.charge(f64::from(item.lent), now);
            }
            for back in &item.returned {
                let age = Duration::from_millis(back.age_ms.into());
                account.give_back(f64::from(back.units), age, now);
            }
        }
    }

    /// Returns the shares that a daemon may use without asking the planner.
    pub fn lend(&mut self, to: SocketAddr, teams: &Teams, now: Time) -> Vec<LentShare> {
        let count = self.borrowers.len().max(1) as f64;
        let Some(borrower) = self.borrowers.get(&to) else { return Vec::new() };
        let lent = |team: &TeamName, own: f64| {
            let rate = teams.quota(team)?.rate;
            let all_used =
                self.used.get(team).copied().unwrap_or(0.0).max(rate * MIN_USED_FRACTION);
            let allotment = EQUAL_FRACTION / count + (1.0 - EQUAL_FRACTION) * own / all_used;
            Some((team.clone(), rate * LENT_FRACTION * allotment))
        };
        let lent: HashMap<TeamName, f64> =
            borrower.uses.iter().filter_map(|(team, own)| lent(team, *own)).collect();
        let shares =
            lent.iter().map(|(team, rate)| LentShare { team: team.clone(), rate: *rate as u32 });
        let shares = shares.collect();
        if let Some(borrower) = self.borrowers.get_mut(&to) {
            borrower.lent = lent;
            borrower.last_seen = now;
        }
        shares
    }

    /// Opens the accounts of new teams, charges the shares of unresponsive daemons, and removes
    /// daemons whose shares have expired.
    pub fn maintain(&mut self, teams: &Teams, options: &AccessOptions, now: Time) {
        self.maintained_at = now;
        self.accounts.retain(|team, _| teams.quota(team).is_some());
        for team in teams.all() {
            self.account(&team.name, teams, options, now);
        }
        self.tallies.retain(|team, _| self.accounts.contains_key(team));
        self.log_refusals(now);
        self.charge_unresponsive(teams, options, now);
    }

    fn charge_unresponsive(&mut self, teams: &Teams, options: &AccessOptions, now: Time) {
        let mut used: Vec<(TeamName, f64)> = Vec::new();
        for b in self.borrowers.values_mut() {
            if now.since(b.last_seen) < UNRESPONSIVE_AFTER {
                continue;
            }
            let until = now.min(b.last_seen + UNRESPONSIVE_AFTER + SHARE_LIFETIME);
            let elapsed = until.since(b.charged_until).as_secs_f64();
            b.charged_until = b.charged_until.max(until);
            used.extend(b.lent.iter().map(|(team, rate)| (team.clone(), rate * elapsed)));
        }
        for (team, units) in used {
            if let Some(account) = self.account(&team, teams, options, now) {
                account.charge(units, now);
            }
        }
        self.borrowers.retain(|_, b| now.since(b.last_seen) < UNRESPONSIVE_AFTER + SHARE_LIFETIME);
        self.used.clear();
        for (team, per_s) in self.borrowers.values().flat_map(|b| &b.uses) {
            *self.used.entry(team.clone()).or_default() += per_s;
        }
    }

    /// Returns the units left in each account.
    pub fn left(&self, now: Time) -> Vec<(TeamName, f64)> {
        self.accounts.iter().map(|(team, account)| (team.clone(), account.left(now))).collect()
    }

    /// Returns the account of a team; `None` if it has no quota.
    fn account(
        &mut self,
        team: &TeamName,
        teams: &Teams,
        options: &AccessOptions,
        now: Time,
    ) -> Option<&mut Account> {
        let Some(quota) = teams.quota(team) else {
            self.accounts.remove(team);
            return None;
        };
        let open = || Account::open(quota, options, now);
        let account = self.accounts.entry(team.clone()).or_insert_with(open);
        account.set_quota(quota, options, now);
        Some(account)
    }
}
