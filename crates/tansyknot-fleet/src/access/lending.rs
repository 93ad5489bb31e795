//! The planner's books: an account for each team, and what each daemon may use without asking.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tansyknot_core::{clock::Time, event, name::TeamName};

use super::{
    AccessOptions,
    account::{Account, Outcome},
    message::{Lent, TeamUse, Verdict},
    share::{LIFE, SILENT_AFTER},
    team::Teams,
};

/// The share of a quota that is lent: the rest is for what shares have saved up, and for daemons that
/// hear of the next planner later than others.
const LENT: f64 = 0.65;
/// All daemons count as using this part of a quota at least. Where a team begins to ask everywhere at
/// once, or the books are new, who is heard first would be lent the quota whole, and so would the next.
const USED_LEAST: f64 = 0.5;
/// Of what is lent, the part that all daemons have alike, whatever they have used.
const ALIKE: f64 = 0.1;
/// Answers that are remembered, so that a question that is asked twice is counted once.
const ANSWERS_KEPT: Duration = Duration::from_millis(1000);
/// At most as many of them: a thousand questions a second.
const ANSWERS_MOST: usize = 2048;
/// Daemons have told what they used of an earlier planner's shares by this time after books are opened.
const SETTLED_AFTER: Duration = Duration::from_millis(1500);
/// Books that were not kept for as long are those of a planner that was away.
const KEPT_FOR: Duration = Duration::from_millis(1500);
/// How often it is logged of a team that requests are refused for its quota.
const REFUSALS_LOGGED: Duration = Duration::from_secs(1);

/// What became of a team's questions since it was logged last.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    granted: f64,
    refused: f64,
    logged: Time,
}

/// What is known of one daemon.
#[derive(Debug, Default)]
struct Borrower {
    heard: Time,
    /// Units a second of each team, as it says.
    uses: HashMap<TeamName, f64>,
    /// Units a second that it was lent last.
    lent: HashMap<TeamName, f64>,
    /// Until when its silence has been put down.
    charged: Time,
}

/// A request that asks for a part of its team's quota.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// Where its daemon hears.
    pub from: SocketAddr,
    /// Names the question at that daemon.
    pub number: u32,
    /// The team.
    pub team: &'a TeamName,
    /// What it takes.
    pub units: f64,
}

/// The accounts of all teams, and what daemons were lent of them, as one planner keeps them.
#[derive(Debug, Default)]
pub struct Books {
    /// The fencing token of the planner that keeps them.
    fence: u64,
    opened: Time,
    kept: Time,
    accounts: HashMap<TeamName, Account>,
    borrowers: HashMap<SocketAddr, Borrower>,
    /// What all borrowers use, in units a second.
    used: HashMap<TeamName, f64>,
    answers: HashMap<(SocketAddr, u32), (Verdict, Time)>,
    tallies: HashMap<TeamName, Tally>,
}

impl Books {
    /// Opens new books for the planner with `fence`, unless these are its own: those of an earlier time
    /// lack what was used since.
    pub fn begin(&mut self, fence: u64, now: Time) {
        if self.fence != fence || now.since(self.kept) >= KEPT_FOR {
            *self = Self { fence, opened: now, kept: now, ..Self::default() };
        }
    }

    /// Decides on a request.
    pub fn take(
        &mut self,
        asked: Asked<'_>,
        teams: &Teams,
        options: &AccessOptions,
        now: Time,
    ) -> Verdict {
        let Asked { from, number, team, units } = asked;
        if let Some((verdict, _)) = self.answers.get(&(from, number)) {
            return *verdict;
        }
        let outcome = match self.account(team, teams, options, now) {
            Some(account) => account.take(units, now),
            None => Outcome::Taken,
        };
        let verdict = match outcome {
            Outcome::Taken => Verdict::Granted,
            Outcome::Over(wait) => Verdict::Over { wait_ms: wait.as_millis() as u32 },
            Outcome::Opening => return Verdict::Later,
        };
        let tally = self.tallies.entry(team.clone()).or_default();
        match verdict {
            Verdict::Granted => tally.granted += units,
            Verdict::Over { .. } => tally.refused += units,
            Verdict::Later => {}
        }
        self.remember((from, number), verdict, now);
        verdict
    }

    fn log_refusals(&mut self, now: Time) {
        for (team, tally) in &mut self.tallies {
            if now.since(tally.logged) < REFUSALS_LOGGED {
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

    fn remember(&mut self, question: (SocketAddr, u32), verdict: Verdict, now: Time) {
        if self.answers.len() >= ANSWERS_MOST {
            self.answers.retain(|_, (_, at)| now.since(*at) < ANSWERS_KEPT);
        }
        if self.answers.len() < ANSWERS_MOST {
            self.answers.insert(question, (verdict, now));
        }
    }

    /// Takes in what a daemon says of its use.
    pub fn hear(
        &mut self,
        from: SocketAddr,
        uses: &[TeamUse],
        teams: &Teams,
        options: &AccessOptions,
        now: Time,
    ) {
        let borrower = self.borrowers.entry(from).or_default();
        (borrower.heard, borrower.charged) = (now, now);
        for (team, per_s) in borrower.uses.drain() {
            *self.used.entry(team).or_default() -= per_s;
        }
        for item in uses {
            let per_s = f64::from(item.per_s);
            borrower.uses.insert(item.team.clone(), per_s);
            *self.used.entry(item.team.clone()).or_default() += per_s;
        }
        let is_settled = now.since(self.opened) >= SETTLED_AFTER;
        for item in uses {
            let Some(account) = self.account(&item.team, teams, options, now) else { continue };
            account.charge(f64::from(item.again), now);
            // What was lent before the books were opened is not theirs.
            if is_settled {
                account.charge(f64::from(item.lent), now);
            }
            for back in &item.back {
                let age = Duration::from_millis(back.age_ms.into());
                account.give_back(f64::from(back.units), age, now);
            }
        }
    }

    /// Returns what a daemon may use without asking.
    pub fn lend(&mut self, to: SocketAddr, teams: &Teams, now: Time) -> Vec<Lent> {
        let count = self.borrowers.len().max(1) as f64;
        let Some(borrower) = self.borrowers.get(&to) else { return Vec::new() };
        let lent = |team: &TeamName, own: f64| {
            let rate = teams.quota(team)?.rate;
            let all = self.used.get(team).copied().unwrap_or(0.0).max(rate * USED_LEAST);
            let part = ALIKE / count + (1.0 - ALIKE) * own / all;
            Some((team.clone(), rate * LENT * part))
        };
        let lent: HashMap<TeamName, f64> =
            borrower.uses.iter().filter_map(|(team, own)| lent(team, *own)).collect();
        let told = lent.iter().map(|(team, rate)| Lent { team: team.clone(), rate: *rate as u32 });
        let told = told.collect();
        if let Some(borrower) = self.borrowers.get_mut(&to) {
            borrower.lent = lent;
            borrower.heard = now;
        }
        told
    }

    /// Opens the accounts of new teams, puts down what daemons that are silent may use of their shares,
    /// and forgets those whose shares are over.
    pub fn keep(&mut self, teams: &Teams, options: &AccessOptions, now: Time) {
        self.kept = now;
        self.accounts.retain(|team, _| teams.quota(team).is_some());
        for team in teams.all() {
            self.account(&team.name, teams, options, now);
        }
        self.tallies.retain(|team, _| self.accounts.contains_key(team));
        self.log_refusals(now);
        self.charge_silent(teams, options, now);
    }

    fn charge_silent(&mut self, teams: &Teams, options: &AccessOptions, now: Time) {
        let mut used: Vec<(TeamName, f64)> = Vec::new();
        for b in self.borrowers.values_mut() {
            if now.since(b.heard) < SILENT_AFTER {
                continue;
            }
            let until = now.min(b.heard + SILENT_AFTER + LIFE);
            let span = until.since(b.charged).as_secs_f64();
            b.charged = b.charged.max(until);
            used.extend(b.lent.iter().map(|(team, rate)| (team.clone(), rate * span)));
        }
        for (team, units) in used {
            if let Some(account) = self.account(&team, teams, options, now) {
                account.charge(units, now);
            }
        }
        self.borrowers.retain(|_, b| now.since(b.heard) < SILENT_AFTER + LIFE);
        self.used.clear();
        for (team, per_s) in self.borrowers.values().flat_map(|b| &b.uses) {
            *self.used.entry(team.clone()).or_default() += per_s;
        }
    }

    /// Returns what the accounts have left.
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
