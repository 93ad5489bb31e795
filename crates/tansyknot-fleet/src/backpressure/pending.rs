//! This daemon's requests that wait for permits to go to targets that name limits.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::clock::Time;

use super::message::{PermitReply, PermitVerdict};
use crate::{access::message::Stamp, poison::key::RunKey};

/// How often a permit request is sent until it is answered: requests and replies may be lost.
const PERMIT_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// How long a permit is valid, counted from when its request was sent.
const PERMIT_LIFETIME: Duration = Duration::from_millis(600);

/// The right to send one request to one run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    run: RunKey,
    until: Time,
}

impl Permit {
    /// Returns whether the permit allows sending a request to `run` now.
    pub fn allows(&self, run: RunKey, now: Time) -> bool {
        self.run == run && now < self.until
    }
}

/// One request that waits for a permit.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    run: RunKey,
    sent_at: Option<Time>,
    permit: Option<Permit>,
    /// When the permit is expected, by the latest reply.
    expected: Option<Time>,
}

/// The state of a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The permit is granted.
    Granted(Permit),
    /// The permit request has to be sent, for the first time or again.
    SendDue,
    /// The permit request waits for its reply.
    Waiting {
        /// When the permit is expected, if a reply has stated it.
        expected: Option<Time>,
    },
}

/// This daemon's requests that wait for permits.
#[derive(Debug, Default)]
pub struct PendingPermits {
    requests: HashMap<u32, PendingRequest>,
    number: u32,
    /// A random number that identifies this run of the daemon.
    daemon_run: u64,
}

impl PendingPermits {
    /// Creates the state of a daemon's run that has asked for nothing yet. Its requests have
    /// numbers that no earlier run used recently.
    pub fn of_run(daemon_run: u64) -> Self {
        Self { daemon_run, number: daemon_run as u32, ..Self::default() }
    }

    /// Registers a request for a permit; returns its number.
    pub fn begin(&mut self, run: RunKey) -> u32 {
        self.number = self.number.wrapping_add(1);
        let request = PendingRequest { run, sent_at: None, permit: None, expected: None };
        self.requests.insert(self.number, request);
        self.number
    }

    /// Returns the state of a permit request.
    pub fn progress(&self, number: u32, now: Time) -> Progress {
        let Some(request) = self.requests.get(&number) else { return Progress::SendDue };
        match (request.permit, request.sent_at) {
            (Some(permit), _) if now < permit.until => Progress::Granted(permit),
            (_, Some(at)) if now.since(at) < PERMIT_REQUEST_INTERVAL => {
                Progress::Waiting { expected: request.expected }
            }
            _ => Progress::SendDue,
        }
    }

    /// Records that a permit request is sent now; returns the stamp of its message.
    pub fn record_sent(&mut self, number: u32, now: Time) -> Stamp {
        if let Some(request) = self.requests.get_mut(&number) {
            request.sent_at = Some(now);
        }
        Stamp { run: self.daemon_run, us: now.as_micros() }
    }

    /// Applies a reply; returns whether a request waits for it.
    pub fn apply_reply(&mut self, answer: &PermitReply, now: Time) -> bool {
        let Some(sent_at) = answer.stamp.sent_at(self.daemon_run, now) else { return false };
        let Some(request) = self.requests.get_mut(&answer.number) else { return false };
        match answer.verdict {
            PermitVerdict::Granted => {
                request.permit =
                    Some(Permit { run: request.run, until: sent_at + PERMIT_LIFETIME });
            }
            PermitVerdict::Queued { wait_ms } => {
                request.expected = Some(now + Duration::from_millis(wait_ms.into()));
            }
        }
        true
    }

    /// Removes a permit request; returns whether it had not been granted.
    pub fn end(&mut self, number: u32) -> bool {
        self.requests.remove(&number).is_some_and(|request| request.permit.is_none())
    }
}
