//! This daemon's requests that ask whether they may go to targets that name limits.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::clock::Time;

use super::message::{PermitAnswer, PermitVerdict};
use crate::{access::message::Stamp, poison::key::RunKey};

/// How often a request asks: questions and answers may be lost.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// A grant counts for so long after the question that it answers.
const PERMIT_LIFE: Duration = Duration::from_millis(600);

/// The right to send one request to one run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    run: RunKey,
    until: Time,
}

impl Permit {
    /// Tells whether a request may be sent to `run` by it now.
    pub fn allows(&self, run: RunKey, now: Time) -> bool {
        self.run == run && now < self.until
    }
}

/// One request that asks.
#[derive(Clone, Copy, Debug)]
struct Asking {
    run: RunKey,
    asked: Option<Time>,
    permit: Option<Permit>,
    /// When it should be granted, as it was told last.
    expected: Option<Time>,
}

/// How it stands with a request that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It may be sent.
    Granted(Permit),
    /// It has to ask, again or for the first time.
    AskDue,
    /// It waits for its answer.
    Waiting {
        /// When it should be granted, if that was told.
        expected: Option<Time>,
    },
}

/// This daemon's requests that ask.
#[derive(Debug, Default)]
pub struct PendingPermits {
    asking: HashMap<u32, Asking>,
    number: u32,
    /// Drawn by each run of a daemon.
    of_run: u64,
}

impl PendingPermits {
    /// Makes what a run of a daemon has asked that has not asked anything yet. Its questions have
    /// numbers that no earlier run had lately.
    pub fn of_run(of_run: u64) -> Self {
        Self { of_run, number: of_run as u32, ..Self::default() }
    }

    /// Begins to ask for a request; returns its number.
    pub fn begin(&mut self, run: RunKey) -> u32 {
        self.number = self.number.wrapping_add(1);
        let asking = Asking { run, asked: None, permit: None, expected: None };
        self.asking.insert(self.number, asking);
        self.number
    }

    /// Returns how it stands with a request.
    pub fn progress(&self, number: u32, now: Time) -> Progress {
        let Some(asking) = self.asking.get(&number) else { return Progress::AskDue };
        match (asking.permit, asking.asked) {
            (Some(permit), _) if now < permit.until => Progress::Granted(permit),
            (_, Some(at)) if now.since(at) < ASK_EVERY => {
                Progress::Waiting { expected: asking.expected }
            }
            _ => Progress::AskDue,
        }
    }

    /// Takes in that a request asks now; returns the stamp of its question.
    pub fn asked(&mut self, number: u32, now: Time) -> Stamp {
        if let Some(asking) = self.asking.get_mut(&number) {
            asking.asked = Some(now);
        }
        Stamp { run: self.of_run, us: now.as_micros() }
    }

    /// Takes in an answer; tells whether a request waits for it.
    pub fn answered(&mut self, answer: &PermitAnswer, now: Time) -> bool {
        let Some(asked) = answer.stamp.asked_at(self.of_run, now) else { return false };
        let Some(asking) = self.asking.get_mut(&answer.number) else { return false };
        match answer.verdict {
            PermitVerdict::Granted => {
                asking.permit = Some(Permit { run: asking.run, until: asked + PERMIT_LIFE });
            }
            PermitVerdict::Queued { wait_ms } => {
                asking.expected = Some(now + Duration::from_millis(wait_ms.into()));
            }
        }
        true
    }

    /// Ends what a request asks; tells whether it had been granted nothing.
    pub fn end(&mut self, number: u32) -> bool {
        self.asking.remove(&number).is_some_and(|asking| asking.permit.is_none())
    }
}
