//! The account of a team's quota over all daemons, which the planner maintains.

use std::{collections::VecDeque, time::Duration};

use tansyknot_core::clock::Time;

use super::{AccessOptions, team::Quota};

/// Recent use is recorded in steps of this length.
const STEP_LENGTH: Duration = Duration::from_millis(50);
/// The longest wait that is reported to a team over its quota.
const MAX_WAIT: Duration = Duration::from_secs(4);

/// Time constant by which refused units decay: callers retry refused requests within about this
/// time, ahead of requests that are refused now.
const REFUSED_DECAY: Duration = Duration::from_secs(2);
/// An account that was opened this recently does not refuse requests, and lets the daemons retry
/// them: all requests that waited for the account arrive at once.
const OPENING_PERIOD: Duration = Duration::from_millis(1500);
/// The fraction of the allowance beyond a quota that a new account starts with, so that a team that
/// uses little is not refused at once. The platform's allowance serves other purposes too.
const OPENING_FRACTION: f64 = 0.05;
/// The fraction of the slack that is added to the burst, because daemons and callers see the same
/// use at different times.
const HEADROOM_FRACTION: f64 = 0.15;

/// Returns the units that may be used within a window beyond a quota.
fn overuse_allowance(quota: &Quota, options: &AccessOptions) -> f64 {
    let quota_units = quota.rate * options.window.as_secs_f64() + quota.burst;
    quota_units * options.overshoot + options.slack
}

/// The units used within one step.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: Time,
    used: f64,
}

/// The result of taking units from an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithdrawalOutcome {
    /// The units are taken.
    Taken,
    /// The account has too few units; it should have enough after this time.
    Over(Duration),
    /// The account has too few units, and was opened too recently to refuse the request.
    Opening,
}

/// The account of one team.
///
/// The account fills at the quota's rate up to its burst. Recent use is recorded by time, so that
/// units that are given back count as if they had never been taken. A new account needs no data
/// from the previous planner: it starts nearly empty, so that two accounts, one after the other,
/// grant only what the rate yields.
#[derive(Clone, Debug)]
pub struct Account {
    quota: Quota,
    /// The most units that the account can contain.
    capacity: f64,
    window: Duration,
    opened: Time,
    /// The time of the last step that is no longer recorded, and the units left then.
    left_at: Time,
    left: f64,
    steps: VecDeque<Step>,
    /// Units that were refused recently; they decay with their age.
    refused: f64,
    refused_at: Time,
}

impl Account {
    /// Opens an account at `now`.
    pub fn open(quota: Quota, options: &AccessOptions, now: Time) -> Self {
        let left = (overuse_allowance(&quota, options) * OPENING_FRACTION).min(quota.burst);
        Self {
            quota,
            capacity: quota.burst + options.slack * HEADROOM_FRACTION,
            window: options.window,
            opened: now,
            left_at: now,
            left,
            steps: VecDeque::new(),
            refused: 0.0,
            refused_at: now,
        }
    }

    /// Replaces the quota. The units left are carried over, up to the new capacity.
    pub fn set_quota(&mut self, quota: Quota, options: &AccessOptions, now: Time) {
        if self.quota != quota {
            let new = Self::open(quota, options, now);
            let left = self.left(now).clamp(0.0, new.capacity);
            *self = Self { left, opened: self.opened, ..new };
        }
    }

    /// Returns the units left; negative if more were charged than the account had.
    pub fn left(&self, now: Time) -> f64 {
        let (at, left) = self.steps.iter().fold((self.left_at, self.left), |(at, left), step| {
            (at.max(step.at), self.filled(left, step.at.since(at)) - step.used)
        });
        self.filled(left, now.since(at))
    }

    fn filled(&self, left: f64, elapsed: Duration) -> f64 {
        (left + self.quota.rate * elapsed.as_secs_f64()).min(self.capacity)
    }

    /// Takes `units`. A request for more than the burst can't accumulate its units, and is granted
    /// once the account is full. A request for more than a whole window yields is never granted:
    /// the team's other requests would be refused until the account has refilled its stated units.
    pub fn take(&mut self, units: f64, now: Time) -> WithdrawalOutcome {
        self.drop_old_steps(now);
        if units > self.quota.rate * self.window.as_secs_f64() + self.capacity {
            return WithdrawalOutcome::Over(MAX_WAIT);
        }
        let lacking = units.min(self.capacity) - self.left(now);
        if lacking <= 0.0 {
            self.charge(units, now);
            return WithdrawalOutcome::Taken;
        }
        if now.since(self.opened) < OPENING_PERIOD {
            return WithdrawalOutcome::Opening;
        }
        let ahead = self.refuse(units, now);
        let wait = Duration::try_from_secs_f64((lacking + ahead) / self.quota.rate);
        WithdrawalOutcome::Over(wait.unwrap_or(MAX_WAIT).min(MAX_WAIT))
    }

    /// Records that `units` are refused; returns the recently refused units that are expected to be
    /// retried first.
    fn refuse(&mut self, units: f64, now: Time) -> f64 {
        let elapsed = now.since(self.refused_at).as_secs_f64() / REFUSED_DECAY.as_secs_f64();
        let ahead = self.refused * (-elapsed).exp();
        (self.refused, self.refused_at) = (ahead + units, now);
        ahead
    }

    /// Charges `units` that have already been used, even if fewer are left.
    pub fn charge(&mut self, units: f64, now: Time) {
        let at =
            Time::from_micros(now.as_micros() - now.as_micros() % STEP_LENGTH.as_micros() as u64);
        match self.steps.back_mut() {
            Some(last) if last.at >= at => last.used += units,
            _ => self.steps.push_back(Step { at: at.max(self.left_at), used: units }),
        }
    }

    /// Gives back `units` that were taken `age` ago and not used. They were charged to the step of
    /// that time or, if the report took long to arrive, to an earlier one.
    pub fn give_back(&mut self, units: f64, age: Duration, now: Time) {
        let taken = now.saturating_sub(age);
        let mut units = units;
        for step in self.steps.iter_mut().rev().filter(|step| step.at <= taken) {
            let returned = units.min(step.used.max(0.0));
            step.used -= returned;
            units -= returned;
            if units <= 0.0 {
                return;
            }
        }
    }

    fn drop_old_steps(&mut self, now: Time) {
        let window_start = now.saturating_sub(self.window);
        while let Some(step) = self.steps.front().copied()
            && step.at < window_start
        {
            self.left = self.filled(self.left, step.at.since(self.left_at)) - step.used;
            self.left_at = self.left_at.max(step.at);
            self.steps.pop_front();
        }
    }
}
