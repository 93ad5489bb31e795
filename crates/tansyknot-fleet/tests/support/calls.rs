//! A daemon's calls for the list, which take time while other things happen.

use std::{ops::Range, sync::Arc, time::Duration};

use rand::{Rng, rngs::StdRng};
use tansyknot_core::{Error, Result, clock::Time};
use tansyknot_fleet::{
    backoff,
    follow::{CallOutcome, ListCall, ListResponse, TargetFollower},
    peering::PeerNode,
    state::State,
};

/// The pauses after calls that fail are those of the daemon, undrawn.
const RETRY_FIRST: Duration = Duration::from_millis(250);
const RETRY_MOST: Duration = Duration::from_millis(1000);
/// Calls that take longer fail, as those of the store's client do.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a call takes each way, in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Latency {
    /// To the store.
    pub(crate) there: Range<u64>,
    /// Back, while other news arrive.
    pub(crate) back: Range<u64>,
}

/// A call that is under way: it reaches the store, is answered there, and the answer comes back.
struct Pending {
    call: ListCall,
    asked_at: Time,
    ends_at: Time,
    answer: Option<Result<Option<ListResponse>>>,
}

/// A daemon's calls for the list.
pub(crate) struct Calls {
    pub(crate) follower: TargetFollower,
    state: Arc<State>,
    conductor: Arc<PeerNode>,
    pending: Option<Pending>,
    /// Calls that failed in a row.
    failures: u32,
    call_at: Time,
    was_planner: bool,
}

impl Calls {
    pub(crate) fn new(
        follower: TargetFollower,
        state: Arc<State>,
        conductor: Arc<PeerNode>,
    ) -> Self {
        let call_at = state.now();
        let (pending, failures, was_planner) = (None, 0, false);
        Self { follower, state, conductor, pending, failures, call_at, was_planner }
    }

    /// Asks the store for the list when that is due.
    pub(crate) fn step(&mut self, now: Time, latency: Option<&Latency>, rng: &mut StdRng) {
        if let Some(pending) = self.pending.take() {
            self.go_on(pending, now);
            return;
        }
        if now < self.call_at {
            return;
        }
        let is_planner = self.conductor.is_planner();
        let was_planner = std::mem::replace(&mut self.was_planner, is_planner);
        if is_planner && !was_planner {
            self.follower.request_full_read();
        }
        if is_planner || self.state.list_fresh_for(now).is_zero() {
            let mut draw = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
            let asked_at = now + latency.map_or(Duration::ZERO, |l| draw(l.there.clone()));
            let ends_at = asked_at + latency.map_or(Duration::ZERO, |l| draw(l.back.clone()));
            let call = self.follower.begin();
            self.go_on(Pending { call, asked_at, ends_at, answer: None }, now);
        }
    }

    /// Has a call reach the store, or its answer come back, when that is due.
    fn go_on(&mut self, mut pending: Pending, now: Time) {
        if pending.answer.is_none() && now >= pending.asked_at {
            pending.answer = Some(self.follower.request(pending.call));
        }
        let Some(answer) = pending.answer.take_if(|_| now >= pending.ends_at) else {
            self.pending = Some(pending);
            return;
        };
        let is_late = now.since(pending.call.started_at()) > CALL_TIMEOUT;
        let answer = if is_late { Err(Error::unknown("store", "timeout")) } else { answer };
        let outcome = self.follower.end(pending.call, answer);
        self.failures = if outcome == CallOutcome::Failed { self.failures + 1 } else { 0 };
        self.call_at = now + self.pause(outcome);
    }

    /// Returns how long to pause after a call.
    fn pause(&self, outcome: CallOutcome) -> Duration {
        match outcome {
            CallOutcome::HistoryLost => Duration::ZERO,
            CallOutcome::Failed => backoff::exponential(RETRY_FIRST, self.failures - 1, RETRY_MOST),
            CallOutcome::Succeeded if self.conductor.is_planner() => {
                self.state.spans.list_poll_interval
            }
            CallOutcome::Succeeded => self.state.list_poll_interval(),
        }
    }
}
