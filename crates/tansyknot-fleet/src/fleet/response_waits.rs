//! This daemon's requests that a target has not begun to answer, and whether the target is
//! responsive.
//!
//! The kernel of a target accepts connections and requests on its behalf, also while the target
//! reads none of them. Only the beginning of a response shows that it does.

use std::{collections::BTreeMap, time::Duration};

use tansyknot_core::{clock::Time, event, name::TargetName};

use super::{Fleet, member::Member};
use crate::poison::key::RunKey;

/// Identifies a request that waits for the beginning of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseWait(u64);

/// How a wait for the beginning of a response has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// The target has sent something, or has closed the connection.
    Responded,
    /// This daemon has given the request up.
    Abandoned,
}

/// A request that waits for the beginning of its response.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at: Time,
    /// How long a responsive target may take.
    limit: Duration,
}

/// The requests that a target has not begun to answer.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseWaits {
    sent: BTreeMap<ResponseWait, SentRequest>,
    last_response: Time,
    /// Whether a request was abandoned after its limit, and the target has not responded since.
    has_abandoned: bool,
    was_unresponsive: bool,
}

impl ResponseWaits {
    /// Returns whether the target has begun no response for longer than a responsive one takes,
    /// although requests wait for one.
    pub(super) fn is_unresponsive(&self, now: Time) -> bool {
        self.has_abandoned || self.sent.values().any(|sent| self.is_overdue(sent, now))
    }

    /// A target that responds to other requests is busy, and not unresponsive.
    fn is_overdue(&self, sent: &SentRequest, now: Time) -> bool {
        now.since(sent.at.max(self.last_response)) >= sent.limit
    }

    /// Returns the number of requests that wait.
    pub(super) fn count(&self) -> usize {
        self.sent.len()
    }

    fn oldest(&self) -> Option<Time> {
        self.sent.values().map(|sent| sent.at).min()
    }

    fn end(&mut self, wait: ResponseWait, end: WaitEnd, now: Time) {
        let Some(sent) = self.sent.remove(&wait) else { return };
        match end {
            WaitEnd::Responded => {
                self.last_response = now;
                self.has_abandoned = false;
            }
            WaitEnd::Abandoned => self.has_abandoned |= self.is_overdue(&sent, now),
        }
    }
}

impl Fleet {
    /// Records that a request was sent to a run of a target, which takes at most `limit` to begin a
    /// response if it is responsive. `None` if the run is not known.
    pub fn begin_response_wait(
        &mut self,
        target: &TargetName,
        run: RunKey,
        limit: Duration,
        now: Time,
    ) -> Option<ResponseWait> {
        let m = self.members.get_mut(target).filter(|m| m.run == run)?;
        self.last_response_wait += 1;
        let wait = ResponseWait(self.last_response_wait);
        m.response_waits.sent.insert(wait, SentRequest { at: now, limit });
        Some(wait)
    }

    /// Records that a request waits no longer for the beginning of its response; returns whether its
    /// target has become responsive by that.
    pub fn end_response_wait(
        &mut self,
        target: &TargetName,
        wait: ResponseWait,
        end: WaitEnd,
        now: Time,
    ) -> bool {
        let Some(m) = self.members.get_mut(target) else { return false };
        let was_unresponsive = m.response_waits.is_unresponsive(now);
        m.response_waits.end(wait, end, now);
        m.log_responsiveness(now);
        was_unresponsive && !m.response_waits.is_unresponsive(now)
    }

    /// Logs targets that have become unresponsive.
    pub fn log_unresponsive_targets(&mut self, now: Time) {
        self.members.values_mut().for_each(|m| m.log_responsiveness(now));
    }

    /// Returns the number of targets that are unresponsive.
    pub fn unresponsive_targets(&self, now: Time) -> usize {
        self.members.values().filter(|m| m.response_waits.is_unresponsive(now)).count()
    }
}

impl Member {
    fn log_responsiveness(&mut self, now: Time) {
        let is_unresponsive = self.response_waits.is_unresponsive(now);
        if std::mem::replace(&mut self.response_waits.was_unresponsive, is_unresponsive)
            == is_unresponsive
        {
            return;
        }
        let event =
            if is_unresponsive { event::TARGET_UNRESPONSIVE } else { event::TARGET_RESPONSIVE };
        event.emit(&[
            ("target", &self.target.name),
            ("waiting", &self.response_waits.count()),
            ("oldest_ms", &self.oldest_wait_ms(now)),
        ]);
    }

    /// Logs that the target leaves while requests wait for the beginning of their responses.
    pub(super) fn log_departure(&self, now: Time) {
        if self.response_waits.count() > 0 {
            event::TARGET_LEFT_REQUESTS.emit(&[
                ("target", &self.target.name),
                ("waiting", &self.response_waits.count()),
                ("oldest_ms", &self.oldest_wait_ms(now)),
            ]);
        }
    }

    fn oldest_wait_ms(&self, now: Time) -> u128 {
        self.response_waits.oldest().map_or(0, |at| now.since(at).as_millis())
    }
}
