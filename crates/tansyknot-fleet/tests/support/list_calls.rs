//! A simulated daemon's calls for the list of targets, which take virtual time.

use std::{ops::Range, sync::Arc, time::Duration};

use rand::{Rng, rngs::StdRng};
use tansyknot_core::{Error, Result, clock::Time};
use tansyknot_fleet::{
    backoff,
    follow::{CallOutcome, ListCall, ListResponse, TargetFollower},
    peering::PeerNode,
    state::State,
};

/// The delays after failed calls are the daemon's own, without jitter.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Calls that take longer fail, as with the store's client.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The range of the time that a call takes each way, in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Latency {
    /// To the store.
    pub(crate) request: Range<u64>,
    /// From the store, while other updates arrive.
    pub(crate) response: Range<u64>,
}

/// A call in progress: its request reaches the store at `arrives_at`, which makes the response, and
/// the call ends at `ends_at`.
struct PendingCall {
    call: ListCall,
    arrives_at: Time,
    ends_at: Time,
    response: Option<Result<Option<ListResponse>>>,
}

/// A daemon's calls for the list.
pub(crate) struct ListCalls {
    pub(crate) follower: TargetFollower,
    state: Arc<State>,
    peer_node: Arc<PeerNode>,
    pending: Option<PendingCall>,
    /// The number of consecutive failed calls.
    failures: u32,
    call_at: Time,
    was_planner: bool,
}

impl ListCalls {
    pub(crate) fn new(
        follower: TargetFollower,
        state: Arc<State>,
        peer_node: Arc<PeerNode>,
    ) -> Self {
        let call_at = state.now();
        let (pending, failures, was_planner) = (None, 0, false);
        Self { follower, state, peer_node, pending, failures, call_at, was_planner }
    }

    /// Calls the store for the list when that is due.
    pub(crate) fn step(&mut self, now: Time, latency: Option<&Latency>, rng: &mut StdRng) {
        if let Some(pending) = self.pending.take() {
            self.advance(pending, now);
            return;
        }
        if now < self.call_at {
            return;
        }
        let is_planner = self.peer_node.is_planner();
        let was_planner = std::mem::replace(&mut self.was_planner, is_planner);
        if is_planner && !was_planner {
            self.follower.request_full_read();
        }
        if is_planner || self.state.list_fresh_for(now).is_zero() {
            let mut draw = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
            let arrives_at = now + latency.map_or(Duration::ZERO, |l| draw(l.request.clone()));
            let ends_at = arrives_at + latency.map_or(Duration::ZERO, |l| draw(l.response.clone()));
            let call = self.follower.begin();
            self.advance(PendingCall { call, arrives_at, ends_at, response: None }, now);
        }
    }

    /// Makes the request reach the store, or ends the call, when that is due.
    fn advance(&mut self, mut pending: PendingCall, now: Time) {
        if pending.response.is_none() && now >= pending.arrives_at {
            pending.response = Some(self.follower.request(pending.call));
        }
        let Some(response) = pending.response.take_if(|_| now >= pending.ends_at) else {
            self.pending = Some(pending);
            return;
        };
        let is_late = now.since(pending.call.started_at()) > CALL_TIMEOUT;
        let response = if is_late { Err(Error::unknown("store", "timeout")) } else { response };
        let outcome = self.follower.end(pending.call, response);
        self.failures = if outcome == CallOutcome::Failed { self.failures + 1 } else { 0 };
        self.call_at = now + self.next_call_delay(outcome);
    }

    /// Returns the delay until the next call.
    fn next_call_delay(&self, outcome: CallOutcome) -> Duration {
        match outcome {
            CallOutcome::HistoryLost => Duration::ZERO,
            CallOutcome::Deferred => INITIAL_RETRY_DELAY,
            CallOutcome::Failed => {
                backoff::exponential(INITIAL_RETRY_DELAY, self.failures - 1, MAX_RETRY_DELAY)
            }
            CallOutcome::Succeeded if self.peer_node.is_planner() => {
                self.state.freshness.list_poll_interval
            }
            CallOutcome::Succeeded => self.state.list_poll_interval(),
        }
    }
}
