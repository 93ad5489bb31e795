//! Asking the planner about keys and quotas, and answering as the planner.

use std::{net::SocketAddr, time::Duration};

use tansyknot_core::{clock::Time, metric, name::TeamName};

use super::Conductor;
use crate::{
    access::{
        Quotas, Ruling,
        lending::Asked,
        message::{Answer, Question, Take, Taken, Verdict},
        share::SILENT_AFTER,
        team::Teams,
    },
    catalog::Catalog,
    dissemination::message::Message,
};

/// How long a question is waited for before it is asked again: a round trip takes some 3 ms, and a
/// small host may be late by tens.
pub const ANSWER_WITHIN: Duration = Duration::from_millis(100);

/// A planner that is lost is replaced by then. A daemon that nobody answers for longer is cut off, and
/// others can serve its requests.
pub const CUT_OFF_AFTER: Duration = Duration::from_millis(3300);
/// Quotas are kept to by a planner that knew them to be the newest so long ago at most: several of
/// its calls, and less than operators are promised.
const QUOTAS_FRESH: Duration = Duration::from_millis(1500);

impl Conductor {
    /// Tells the planner what this daemon uses of quotas, and asks how old the view of the keys is.
    pub(super) fn ask_planner(&self, now: Time) {
        if !self.state.needs_keys() {
            return;
        }
        let question = self.state.pending().question(now);
        if self.lease.is_valid(now) {
            self.keep_books(&question, now);
            return;
        }
        if let Some(planner) = self.planner_elsewhere() {
            self.send_parts(Message::Question(question), &[planner]);
        }
    }

    /// Returns what the accounts have left, if this is the planner.
    pub fn quotas_left(&self) -> Vec<(TeamName, f64)> {
        let now = self.state.now();
        if self.lease.is_valid(now) { self.books().left(now) } else { Vec::new() }
    }

    /// Returns where the planner hears, if it is another daemon.
    pub(super) fn planner_elsewhere(&self) -> Option<SocketAddr> {
        let (daemon, address) = self.lease.planner()?;
        (daemon != self.me.daemon).then_some(address)
    }

    /// Keeps the planner's books, of which this daemon's own use is a part.
    fn keep_books(&self, question: &Question, now: Time) {
        self.with_teams(|teams, _| {
            let options = &self.state.access;
            let mut books = self.books();
            books.keep(teams, options, now);
            books.hear(self.me.address, &question.uses, teams, options, now);
        });
    }

    /// Does something with the teams in force, if they are known to be of late: a daemon that becomes
    /// the planner as the store answers again may have quotas of long ago.
    fn with_teams<T>(&self, f: impl FnOnce(&Teams, &Catalog) -> T) -> Option<T> {
        let (catalog, view) = self.state.in_force();
        let catalog = catalog?;
        let teams = catalog.teams.as_ref()?;
        let is_fresh = view.age(catalog.version, self.state.now()) < QUOTAS_FRESH;
        is_fresh.then(|| f(teams, &catalog))
    }

    /// Answers another daemon, if this is the planner.
    pub(super) fn take_question(&self, question: &Question, from: SocketAddr, now: Time) {
        if !self.lease.is_valid(now) {
            return;
        }
        let answer = self.with_teams(|teams, catalog| {
            let lent = {
                let mut books = self.books();
                books.hear(from, &question.uses, teams, &self.state.access, now);
                books.lend(from, teams, now)
            };
            let as_of = self.state.key_view().as_of(catalog.version);
            Answer {
                fence: self.lease.fence(),
                stamp: question.stamp,
                config: catalog.version,
                config_age_ms: as_of.map(|at| millis_up(self.state.now().since(at))),
                lent,
            }
        });
        if let Some(answer) = answer {
            self.send_parts(Message::Answer(answer), &[from]);
        }
    }

    /// Takes in an answer of the planner: it was made after the question, however long it, or this
    /// process, has been held up since.
    pub(super) fn take_answer(&self, answer: &Answer, now: Time) {
        let Some(asked) = self.state.pending().asked_at(answer.stamp, now) else { return };
        if let Some(age) = answer.config_age_ms {
            let as_of = asked.before(Duration::from_millis(age.into()));
            self.state.key_view().known(answer.config, as_of);
        }
        if answer.fence >= self.lease.fence() {
            self.state.pending().lent(&answer.lent, answer.fence, asked, now);
        }
    }

    /// Answers a request's question, if this is the planner.
    pub(super) fn take_take(&self, take: &Take, from: SocketAddr, now: Time) {
        if !self.lease.is_valid(now) {
            return;
        }
        let Take { number, ref team, units } = *take;
        let asked = Asked { from, number, team, units: f64::from(units) };
        if let Some(verdict) = self.rule(asked, now) {
            let taken = Taken { number, verdict };
            self.send_parts(Message::Taken(taken), &[from]);
        }
    }

    /// Takes in the answer to a request's question.
    pub(super) fn take_taken(&self, taken: Taken) {
        if self.state.pending().answered(taken.number, taken.verdict) {
            self.state.quota_answered.raise();
        }
    }

    /// Decides as the planner; `None` without a configuration that is known to be new.
    fn rule(&self, asked: Asked<'_>, now: Time) -> Option<Verdict> {
        let options = &self.state.access;
        self.with_teams(|teams, _| self.books().take(asked, teams, options, now))
    }

    /// Asks who keeps the accounts; returns the answer if that is this daemon. Another one's comes to
    /// [`Pending`](crate::access::pending::Pending), if it does.
    pub fn send_take(&self, number: u32, team: &TeamName, units: f64) -> Option<Verdict> {
        let now = self.state.now();
        if self.lease.is_valid(now) {
            return self.rule(Asked { from: self.me.address, number, team, units }, now);
        }
        let take = Take { number, team: team.clone(), units: units as u32 };
        if let Some(planner) = self.planner_elsewhere() {
            self.send_parts(Message::Take(take), &[planner]);
        }
        None
    }

    /// Asks who keeps the accounts once; `None` if nobody answers in time.
    fn ask_once(&self, number: u32, team: &TeamName, units: f64) -> Option<Verdict> {
        let until = self.state.now() + ANSWER_WITHIN;
        if let Some(verdict) = self.send_take(number, team, units) {
            return Some(verdict);
        }
        loop {
            let seen = self.state.quota_answered.count();
            if let Some(verdict) = self.state.pending().answer(number) {
                return Some(verdict);
            }
            let left = until.since(self.state.now());
            if left.is_zero() {
                return None;
            }
            self.state.quota_answered.wait(seen, left);
        }
    }

    /// Takes from what this daemon was lent; tells whether it could.
    fn take_lent(&self, team: &TeamName, units: f64, now: Time) -> bool {
        let is_taken = self.state.pending().take_lent(team, units, rand::random(), now);
        if is_taken {
            self.count(metric::QUOTA_LENT, 1);
        }
        is_taken
    }

    fn ask_until(&self, number: u32, team: &TeamName, units: f64, until: Time) -> Ruling {
        loop {
            let verdict = self.ask_once(number, team, units);
            let now = self.state.now();
            match verdict {
                Some(Verdict::Granted) => {
                    self.state.pending().granted(team, units, now);
                    return Ruling::Granted;
                }
                Some(Verdict::Over { wait_ms }) => {
                    return Ruling::Over { wait: Duration::from_millis(wait_ms.into()) };
                }
                Some(Verdict::Later) => {
                    // The account has what was lent in its books: both would be too much.
                    self.state.pending().ask_again(number);
                    self.state.clock.sleep(ANSWER_WITHIN);
                }
                None if self.take_lent(team, units, now) => return Ruling::Granted,
                None => {}
            }
            if now >= until {
                return Ruling::Unknown;
            }
        }
    }
}

impl Quotas for Conductor {
    fn take(&self, team: &TeamName, units: f64, patience: Duration) -> Ruling {
        let now = self.state.now();
        let (number, silent) = {
            let mut pending = self.state.pending();
            (pending.ask(team, units, now), pending.silent_for(now))
        };
        let is_silent = !self.lease.is_valid(now) && silent >= SILENT_AFTER;
        let ruling = if is_silent && self.take_lent(team, units, now) {
            Ruling::Granted
        } else {
            let left = CUT_OFF_AFTER.saturating_sub(silent);
            self.ask_until(number, team, units, now + patience.min(left))
        };
        self.state.pending().end(number);
        ruling
    }
}

/// Returns a span in milliseconds, rounded up: an age must not be told as less than it is.
fn millis_up(span: Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
