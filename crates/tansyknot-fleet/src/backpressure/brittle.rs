//! Brittleness of one run of a target, whose responses may be received out of order.

use std::time::Duration;

use tansyknot_core::clock::Time;

use super::{
    ResponseId,
    message::{BrittleSummary, ResponseAges},
};

/// A target that has named its brittleness in no response for this long is no longer brittle: it
/// names it in all of them.
pub(crate) const BRITTLE_TTL: Duration = Duration::from_secs(10);

/// What is known of the brittleness of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Brittleness {
    named: Option<Named>,
    /// The response that ended the last brittleness.
    ended: Option<ResponseId>,
}

/// The newest response that names the brittleness.
#[derive(Clone, Copy, Debug)]
struct Named {
    max_refusals: u32,
    response: ResponseId,
    /// When the target last refused a request.
    refused: Option<Time>,
}

impl Brittleness {
    /// Returns whether the run is brittle.
    pub(super) fn is_brittle(&self, now: Time) -> bool {
        self.named.is_some_and(|named| now.since(named.response.at.received) < BRITTLE_TTL)
    }

    /// Returns when the run last refused a request while it was brittle.
    pub(super) fn last_refusal(&self) -> Option<Time> {
        self.named?.refused
    }

    /// Applies a response that names the brittleness; returns whether that is new. `refused` is the
    /// time of a refusal.
    pub(super) fn apply_named(
        &mut self,
        max_refusals: u32,
        response: ResponseId,
        refused: Option<Time>,
    ) -> bool {
        if self.ended.is_some_and(|ended| response.at.received < ended.at.sent) {
            return false;
        }
        let before = self.named;
        let is_newer = |n: Named| response.at.received >= n.response.at.received;
        let newest = before.filter(|n| !is_newer(*n));
        let last_refusal = before.and_then(|n| n.refused).max(refused);
        let is_refused_again = last_refusal > before.and_then(|n| n.refused);
        self.named = Some(Named {
            max_refusals: newest.map_or(max_refusals, |n| n.max_refusals),
            response: newest.map_or(response, |n| n.response),
            refused: last_refusal,
        });
        let is_lapsed =
            |n: Named| response.at.received.since(n.response.at.received) >= BRITTLE_TTL;
        before.is_none_or(|n| is_lapsed(n) || n.max_refusals != max_refusals) || is_refused_again
    }

    /// Applies a response that does not name it. It ends the brittleness only if its request was
    /// sent after the newest response that names it was received.
    pub(super) fn apply_absent(&mut self, response: ResponseId) -> bool {
        let ended = self.named.take_if(|named| response.at.sent > named.response.at.received);
        if ended.is_some() || self.ended.is_some_and(|ended| response.at.sent > ended.at.sent) {
            self.ended = Some(response);
        }
        ended.is_some()
    }

    /// Merges what another daemon knows; returns whether it changes anything.
    pub(super) fn merge(&mut self, summary: BrittleSummary, now: Time) -> bool {
        match summary {
            BrittleSummary::Unknown => false,
            BrittleSummary::Named { max_refusals, at, refused_ms } => {
                let ago = |ms: u32| now.saturating_sub(Duration::from_millis(ms.into()));
                self.apply_named(max_refusals, at.to_response_id(now), refused_ms.map(ago))
            }
            BrittleSummary::Ended(at) => self.apply_absent(at.to_response_id(now)),
        }
    }

    /// Returns what other daemons are told.
    pub(super) fn summary(&self, now: Time) -> BrittleSummary {
        let ms = |at: Time| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        match (self.named.filter(|_| self.is_brittle(now)), self.ended) {
            (Some(named), _) => BrittleSummary::Named {
                max_refusals: named.max_refusals,
                at: ResponseAges::of(named.response, now),
                refused_ms: named.refused.map(ms),
            },
            (None, Some(ended)) if now.since(ended.at.received) < BRITTLE_TTL => {
                BrittleSummary::Ended(ResponseAges::of(ended, now))
            }
            (None, _) => BrittleSummary::Unknown,
        }
    }
}
