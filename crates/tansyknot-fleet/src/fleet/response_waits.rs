//! This daemon's requests that a target has not begun to answer, and whether the target is
//! responsive.
//!
//! The kernel of a target accepts connections and requests on its behalf, also while the target
//! reads none of them. Only the beginning of a response shows that it does. A request that waits in a
//! target's listen queue can't be taken back, so a target that keeps a request waiting for too long
//! gets no other one until it responds: to that request, or to a probe.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tansyknot_core::{clock::Time, event, name::TargetName};

use super::{Fleet, member::Member};
use crate::{poison::key::RunKey, target::Target};

/// Identifies a request that waits for the beginning of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseWait(u64);

/// How long a target may take to begin a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLimits {
    /// The time within which the response is on time.
    pub objective: Duration,
    /// The longest time that a responsive target takes.
    pub longest: Duration,
}

/// How a wait for the beginning of a response has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitEnd {
    /// The target has sent something, or has closed the connection.
    Responded,
    /// This daemon has given the request up.
    Abandoned,
}

/// Whether a target gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Responsiveness {
    /// The target begins responses in time, as far as this daemon knows.
    Responsive,
    /// The target has kept a request waiting for longer than the objective of its route; it gets
    /// further ones only if there is no other target.
    Silent,
    /// The target was unresponsive and has responded to a probe; it gets one request at a time until
    /// it begins a response.
    Recovering,
    /// The target gets no request.
    Unresponsive,
}

/// A request that waits for the beginning of its response.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    at: Time,
    limits: ResponseLimits,
}

/// The requests that a target has not begun to answer.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseWaits {
    sent: BTreeMap<ResponseWait, SentRequest>,
    last_response: Time,
    /// Whether a request was abandoned after its limit, and the target has not responded since.
    has_abandoned: bool,
    /// When the last probe was sent to which the target has responded.
    probed_at: Option<Time>,
    was_unresponsive: bool,
}

impl ResponseWaits {
    /// Returns whether the target has begun no response for longer than a responsive one takes,
    /// although requests wait for one.
    pub(super) fn is_unresponsive(&self, now: Time) -> bool {
        self.has_abandoned || self.sent.values().any(|sent| self.is_overdue(sent, now))
    }

    /// Returns whether the target gets requests.
    pub(super) fn responsiveness(&self, now: Time) -> Responsiveness {
        if !self.is_unresponsive(now) {
            let is_silent = |sent: &SentRequest| self.silence(sent, now) >= sent.limits.objective;
            let is_silent = self.sent.values().any(is_silent);
            return if is_silent { Responsiveness::Silent } else { Responsiveness::Responsive };
        }
        let is_sent_since = |probed: &Time| self.sent.values().any(|sent| sent.at >= *probed);
        match self.probed_at.filter(|probed| !is_sent_since(probed)) {
            Some(_) => Responsiveness::Recovering,
            None => Responsiveness::Unresponsive,
        }
    }

    /// Returns for how long requests have waited since the target last began a response; no response
    /// to another request is expected sooner.
    pub(super) fn silent_for(&self, now: Time) -> Duration {
        self.sent.values().map(|sent| self.silence(sent, now)).max().unwrap_or_default()
    }

    /// Returns for how long a request has waited without any response of the target. One that responds
    /// to other requests is busy, and not unresponsive.
    fn silence(&self, sent: &SentRequest, now: Time) -> Duration {
        now.since(sent.at.max(self.last_response))
    }

    fn is_overdue(&self, sent: &SentRequest, now: Time) -> bool {
        self.silence(sent, now) >= sent.limits.longest
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
                self.probed_at = None;
            }
            WaitEnd::Abandoned if self.is_overdue(&sent, now) => {
                self.has_abandoned = true;
                // A request that followed the probe has shown more than the probe.
                self.probed_at.take_if(|probed| sent.at >= *probed);
            }
            WaitEnd::Abandoned => {}
        }
    }
}

impl Fleet {
    /// Records that a request was sent to a run of a target. `None` if the run is not known.
    pub fn begin_response_wait(
        &mut self,
        target: &TargetName,
        run: RunKey,
        limits: ResponseLimits,
        now: Time,
    ) -> Option<ResponseWait> {
        let m = self.members.get_mut(target).filter(|m| m.run == run)?;
        self.last_response_wait += 1;
        let wait = ResponseWait(self.last_response_wait);
        m.response_waits.sent.insert(wait, SentRequest { at: now, limits });
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

    /// Logs targets that have become unresponsive; returns whether there are any.
    pub fn log_unresponsive_targets(&mut self, now: Time) -> bool {
        self.members.values_mut().for_each(|m| m.log_responsiveness(now));
        self.unresponsive_targets(now) > 0
    }

    /// Returns the unresponsive targets that have responded to no probe.
    pub fn targets_to_probe(&self, now: Time) -> Vec<Arc<Target>> {
        let is_due = |m: &&Member| {
            m.response_waits.is_unresponsive(now)
                && m.response_waits.probed_at.is_none()
                && m.takes_work(now)
        };
        self.members.values().filter(is_due).map(|m| Arc::clone(&m.target)).collect()
    }

    /// Records that a target has responded to a probe that was sent at `sent`.
    pub fn record_probe_response(&mut self, target: &Target, sent: Time) {
        let run = RunKey::of(target);
        if let Some(m) = self.members.get_mut(&target.name).filter(|m| m.run == run) {
            // A request that has followed an earlier probe shows more than another probe.
            m.response_waits.probed_at.get_or_insert(sent);
        }
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
