//! What a daemon has asked and used of quotas and not been answered or told yet.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::{clock::Time, name::TeamName};

use super::{
    message::{Back, Lent, Question, Stamp, TeamUse, Verdict},
    share::Share,
};

/// How fast the rate that requests ask for follows them.
const RATE_SPAN: Duration = Duration::from_secs(2);
/// A team that asked for nothing for as long is not told of any more.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
/// Amounts of a team that are given back in one message at most.
const BACK_MOST: usize = 3;
/// Teams that a message tells of at most, those that use most: it has to fit into a datagram.
const TEAMS_MOST: usize = 20;
/// How long before its end a request was taken at most for what it took to be given back.
const BACK_SPAN: Duration = Duration::from_secs(8);

/// What this daemon uses of one team's quota.
#[derive(Debug)]
struct Use {
    /// Units a second, of late.
    per_s: f64,
    at: Time,
    again: f64,
    lent: f64,
    back: Vec<(f64, Time)>,
    share: Option<Share>,
}

impl Use {
    fn new(now: Time) -> Self {
        Self { per_s: 0.0, at: now, again: 0.0, lent: 0.0, back: Vec::new(), share: None }
    }

    /// Returns the units a second that are asked for, of late.
    fn rate(&self, now: Time) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / RATE_SPAN.as_secs_f64()).exp()
    }

    /// Returns what the planner is told, and takes it for told.
    fn tell(&mut self, team: &TeamName, now: Time) -> TeamUse {
        TeamUse {
            team: team.clone(),
            per_s: self.rate(now) as u32,
            again: std::mem::take(&mut self.again) as u32,
            lent: std::mem::take(&mut self.lent) as u32,
            back: self.back.drain(..).map(|(units, taken)| back(units, now.since(taken))).collect(),
        }
    }

    fn asked(&mut self, units: f64, now: Time) {
        self.per_s = self.rate(now) + units / RATE_SPAN.as_secs_f64();
        self.at = now;
    }
}

/// This daemon's side of all quotas.
#[derive(Debug, Default)]
pub struct Pending {
    uses: HashMap<TeamName, Use>,
    /// Questions of requests that wait, and their answers.
    questions: HashMap<u32, Option<Verdict>>,
    number: u32,
    /// Drawn by each run of a daemon.
    run: u64,
    /// When the last question was asked that a planner has answered.
    heard: Option<Time>,
}

impl Pending {
    /// Makes what a run of a daemon has asked that has not asked anything yet. Its questions have numbers
    /// that no earlier run had lately.
    pub fn of_run(run: u64) -> Self {
        Self { run, number: run as u32, ..Self::default() }
    }

    /// Returns when an answered question was asked, if this run did.
    pub fn asked_at(&self, stamp: Stamp, now: Time) -> Option<Time> {
        stamp.asked_at(self.run, now)
    }

    /// Returns how long ago the last question was asked that a planner has answered; a daemon that has
    /// just started begins with that.
    pub fn silent_for(&mut self, now: Time) -> Duration {
        now.since(*self.heard.get_or_insert(now))
    }

    /// Begins a question of a request of `units`; returns its number.
    pub fn ask(&mut self, team: &TeamName, units: f64, now: Time) -> u32 {
        self.of(team, now).asked(units, now);
        self.number = self.number.wrapping_add(1);
        self.questions.insert(self.number, None);
        self.number
    }

    /// Takes an answer in; tells whether somebody waits for it.
    pub fn answered(&mut self, number: u32, verdict: Verdict) -> bool {
        let question = self.questions.get_mut(&number);
        question.is_some_and(|answer| answer.replace(verdict).is_none())
    }

    /// Returns the answer to a question, if it is there.
    pub fn answer(&self, number: u32) -> Option<Verdict> {
        self.questions.get(&number).copied().flatten()
    }

    /// Has a question asked again.
    pub fn ask_again(&mut self, number: u32) {
        self.questions.insert(number, None);
    }

    /// Ends a question.
    pub fn end(&mut self, number: u32) {
        self.questions.remove(&number);
    }

    /// Takes `units` of what this daemon was lent; tells whether there was enough.
    pub fn take_lent(&mut self, team: &TeamName, units: f64, draw: f64, now: Time) -> bool {
        let of = self.of(team, now);
        let is_taken = of.share.as_mut().is_some_and(|share| share.take(units, draw, now));
        of.lent += if is_taken { units } else { 0.0 };
        is_taken
    }

    /// Takes in that the account has granted `units`.
    pub fn granted(&mut self, team: &TeamName, units: f64, now: Time) {
        if let Some(share) = self.of(team, now).share.as_mut() {
            share.granted(units, now);
        }
    }

    /// Gives back `units` that were taken at `taken`, as no target has run the request.
    pub fn give_back(&mut self, team: &TeamName, units: f64, taken: Time, now: Time) {
        let of = self.of(team, now);
        if now.since(taken) >= BACK_SPAN {
            return;
        }
        let is_full = of.back.len() >= BACK_MOST;
        match of.back.last_mut().filter(|_| is_full) {
            Some((sum, at)) => (*sum, *at) = (*sum + units, taken.min(*at)),
            None => of.back.push((units, taken)),
        }
    }

    /// Takes in that second sends have taken `units` beyond what was asked for.
    pub fn again(&mut self, team: &TeamName, units: f64, now: Time) {
        self.of(team, now).again += units;
    }

    /// Takes in what the planner with `fence` has lent for a question of `asked`.
    pub fn lent(&mut self, lent: &[Lent], fence: u64, asked: Time, now: Time) {
        self.heard = self.heard.max(Some(asked));
        for Lent { team, rate } in lent {
            let rate = f64::from(*rate);
            let of = self.of(team, now);
            let share = of.share.get_or_insert_with(|| Share::new(rate, fence, asked, now));
            share.renew(rate, fence, asked, now);
        }
    }

    /// Returns the question of a beat, and takes what it says for told.
    pub fn question(&mut self, now: Time) -> Question {
        self.uses.retain(|_, u| now.since(u.at) < FORGOTTEN_AFTER);
        let mut most_used: Vec<(&TeamName, &mut Use)> = self.uses.iter_mut().collect();
        most_used.sort_by(|(_, a), (_, b)| b.rate(now).total_cmp(&a.rate(now)));
        let told = most_used.into_iter().take(TEAMS_MOST).map(|(team, u)| u.tell(team, now));
        let uses = told.collect();
        Question { stamp: Stamp { run: self.run, us: now.as_micros() }, uses }
    }

    fn of(&mut self, team: &TeamName, now: Time) -> &mut Use {
        self.uses.entry(team.clone()).or_insert_with(|| Use::new(now))
    }
}

fn back(units: f64, age: Duration) -> Back {
    Back { units: units as u32, age_ms: age.as_millis() as u32 }
}
