//! What a team has used of its quota and has left, over all daemons: an account that the planner keeps.

use std::{collections::VecDeque, time::Duration};

use tansyknot_core::clock::Time;

use super::{AccessOptions, team::Quota};

/// What is used is remembered in steps of this length.
const STEP: Duration = Duration::from_millis(50);
/// The longest that who is over its quota is told to stay away.
const WAIT_MOST: Duration = Duration::from_secs(4);

/// Who was refused comes back within about so long, and is ahead of who is refused now.
const REFUSED_SPAN: Duration = Duration::from_secs(2);
/// An account that was opened so lately does not refuse: who asks may ask again, as those who waited
/// for it all ask at once.
const OPENS_WITHIN: Duration = Duration::from_millis(1500);
/// What the platform allows beyond a quota is for several purposes. This part of it is there when an
/// account is opened, so that a team that uses little is not refused at once.
const OPENING: f64 = 0.05;
/// This part of the slack is added to the burst, for what daemons and callers see at other times.
const HEADROOM: f64 = 0.15;

/// Returns what may be used within a window beyond a quota.
fn beyond(quota: &Quota, options: &AccessOptions) -> f64 {
    let within = quota.rate * options.window.as_secs_f64() + quota.burst;
    within * options.overshoot + options.slack
}

/// What was used within one step.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: Time,
    used: f64,
}

/// What became of taking from an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is taken.
    Taken,
    /// There is not enough; there should be after so long.
    Over(Duration),
    /// There is not enough yet, as the account has just been opened.
    Opening,
}

/// The account of one team.
///
/// It fills at the quota's rate up to its burst. What was used lately is remembered by its time, so that
/// what is given back counts as if it had never been taken. Who kept it before, and what was used then,
/// need not be known: it begins nearly empty, and the rate alone is what two accounts may give one after
/// the other.
#[derive(Clone, Debug)]
pub struct Account {
    quota: Quota,
    /// What it holds at most.
    most: f64,
    window: Duration,
    opened: Time,
    /// The time of the last step that is not remembered, and what was left then.
    since: Time,
    left: f64,
    steps: VecDeque<Step>,
    /// What was refused lately, of which the older counts less.
    refused: f64,
    refused_at: Time,
}

impl Account {
    /// Opens an account at `now`.
    pub fn open(quota: Quota, options: &AccessOptions, now: Time) -> Self {
        let left = (beyond(&quota, options) * OPENING).min(quota.burst);
        Self {
            quota,
            most: quota.burst + options.slack * HEADROOM,
            window: options.window,
            opened: now,
            since: now,
            left,
            steps: VecDeque::new(),
            refused: 0.0,
            refused_at: now,
        }
    }

    /// Goes on with another quota: what is left stays, as far as it may.
    pub fn set_quota(&mut self, quota: Quota, options: &AccessOptions, now: Time) {
        if self.quota != quota {
            let new = Self::open(quota, options, now);
            let left = self.left(now).clamp(0.0, new.most);
            *self = Self { left, opened: self.opened, ..new };
        }
    }

    /// Returns what is left.
    pub fn left(&self, now: Time) -> f64 {
        let (at, left) = self.steps.iter().fold((self.since, self.left), |(at, left), step| {
            (at.max(step.at), self.filled(left, step.at.since(at)) - step.used)
        });
        self.filled(left, now.since(at))
    }

    fn filled(&self, left: f64, span: Duration) -> f64 {
        (left + self.quota.rate * span.as_secs_f64()).min(self.most)
    }

    /// Takes `units`. What is more than the burst can't be saved up, and is taken once the account is
    /// full; what is more than a whole window's is never taken: one request would block its team for as
    /// long as it says.
    pub fn take(&mut self, units: f64, now: Time) -> Outcome {
        self.forget(now);
        if units > self.quota.rate * self.window.as_secs_f64() + self.most {
            return Outcome::Over(WAIT_MOST);
        }
        let lacking = units.min(self.most) - self.left(now);
        if lacking <= 0.0 {
            self.charge(units, now);
            return Outcome::Taken;
        }
        if now.since(self.opened) < OPENS_WITHIN {
            return Outcome::Opening;
        }
        let ahead = self.refuse(units, now);
        let wait = Duration::try_from_secs_f64((lacking + ahead) / self.quota.rate);
        Outcome::Over(wait.unwrap_or(WAIT_MOST).min(WAIT_MOST))
    }

    /// Takes in that `units` are refused; returns those that were refused lately and come back first.
    fn refuse(&mut self, units: f64, now: Time) -> f64 {
        let span = now.since(self.refused_at).as_secs_f64() / REFUSED_SPAN.as_secs_f64();
        let ahead = self.refused * (-span).exp();
        (self.refused, self.refused_at) = (ahead + units, now);
        ahead
    }

    /// Takes `units` that have been used whatever is left.
    pub fn charge(&mut self, units: f64, now: Time) {
        let at = Time::from_micros(now.as_micros() - now.as_micros() % STEP.as_micros() as u64);
        match self.steps.back_mut() {
            Some(last) if last.at >= at => last.used += units,
            _ => self.steps.push_back(Step { at: at.max(self.since), used: units }),
        }
    }

    /// Gives back `units` that were taken `age` ago and not used. What was taken is in the step of that
    /// time, or, where it was long on its way, in one before.
    pub fn give_back(&mut self, units: f64, age: Duration, now: Time) {
        let taken = now.before(age);
        let mut units = units;
        for step in self.steps.iter_mut().rev().filter(|step| step.at <= taken) {
            let back = units.min(step.used.max(0.0));
            step.used -= back;
            units -= back;
            if units <= 0.0 {
                return;
            }
        }
    }

    fn forget(&mut self, now: Time) {
        let begin = now.before(self.window);
        while let Some(step) = self.steps.front().copied()
            && step.at < begin
        {
            self.left = self.filled(self.left, step.at.since(self.since)) - step.used;
            self.since = self.since.max(step.at);
            self.steps.pop_front();
        }
    }
}
