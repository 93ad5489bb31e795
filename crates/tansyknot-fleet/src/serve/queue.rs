//! The place of a request in the queue for slots.

use std::time::Duration;

use tansyknot_core::{
    clock::{BootInstant, Time},
    metric,
    name::ServiceName,
};
use tansyknot_policy::queue::{Team, Waiter};

use super::{
    Server,
    access::Identity,
    request::{ActiveRequest, Reason},
};
use crate::{
    admission::{self, ExpectedWait, Place, QueueKey, Turn},
    scheduling::Admission,
    state::State,
};

/// A request's place in a queue, which it leaves when this value is dropped.
pub(super) struct QueuePlace<'s> {
    state: &'s State,
    place: Place,
    waiter: Waiter,
    /// Whether the request is the first, as of the last look.
    is_first: bool,
    /// The number of wake-ups before the last look.
    seen: u64,
    expected: Option<Duration>,
    joined: BootInstant,
}

impl QueuePlace<'_> {
    /// Waits until the request becomes the first, or for `timeout`. If it is the first, waits until
    /// the view of the targets differs from `seen_view` instead.
    pub(super) fn wait(&self, seen_view: u64, timeout: Duration) {
        if self.is_first {
            self.state.targets_changed.wait(seen_view, timeout);
        } else {
            self.place.wakeup.wait(self.seen, timeout);
        }
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.state.admission().leave(&self.place);
    }
}

impl Server {
    /// Returns whether a request may try to get a target now. It joins the queue if other requests
    /// wait in it.
    ///
    /// A request that has been sent before has had its turn: it tries at once, and it does not join,
    /// as a target that others could use may be one that has just failed it.
    pub(super) fn has_turn<'s>(
        &'s self,
        request: &mut ActiveRequest<'_>,
        place: &mut Option<QueuePlace<'s>>,
        now: Time,
    ) -> Result<bool, Reason> {
        if !self.is_queued(request) {
            return Ok(true);
        }
        let key = QueueKey::of(&request.want());
        if place.is_none() && self.state.admission().has_waiters(&key) {
            *place = Some(self.join_queue(request, now));
        }
        if let Some(place) = place {
            place.seen = place.place.wakeup.count();
            let turn = self.state.admission().turn(&place.place, now);
            place.is_first = turn == Turn::First;
            match turn {
                Turn::First => {}
                Turn::Behind => return Ok(false),
                Turn::Displaced => {
                    request.retry_after = place.expected.map(admission::spread);
                    request.note(format_args!("displaced from the queue"));
                    return Err(Reason::NoTargetInTime);
                }
            }
        }
        if !self.state.admission().has_waiters_elsewhere(&key) {
            return Ok(true);
        }
        let free = self.state.fleet().free_places(&request.want(), now);
        let waiter = place.as_ref().map_or_else(|| waiter(request, now), |place| place.waiter);
        let admission = self.state.admission();
        Ok(!admission.leaves_places(&key, waiter.rank, waiter.arrived, free, now))
    }

    /// Adds a request that waits for a slot to the queue, if it is not in it.
    pub(super) fn wait_in_queue<'s>(
        &'s self,
        request: &ActiveRequest<'_>,
        place: &mut Option<QueuePlace<'s>>,
        now: Time,
    ) {
        if place.is_none() && self.is_queued(request) {
            *place = Some(self.join_queue(request, now));
        }
    }

    /// Takes a request out of the queue because it has got a target.
    pub(super) fn leave_queue(
        &self,
        request: &ActiveRequest<'_>,
        place: Option<QueuePlace<'_>>,
        is_found: bool,
    ) {
        let Some(place) = place.filter(|_| is_found) else { return };
        self.state.admission().serve(&place.place);
        let route = ServiceName::new(request.route.name.clone());
        self.recorder.time(metric::WAIT_ACTUAL.name, &route, place.joined.elapsed());
        if let Some(expected) = place.expected {
            self.recorder.time(metric::WAIT_EXPECTED.name, &route, expected);
        }
    }

    /// Returns how much longer a request may wait for a slot; zero if it is not expected to get one
    /// in time.
    ///
    /// The first request is never refused because of its expected wait: any slot that becomes free
    /// is offered to it.
    pub(super) fn remaining_slot_wait(
        &self,
        request: &mut ActiveRequest<'_>,
        place: Option<&mut QueuePlace<'_>>,
        left: Duration,
        now: Time,
    ) -> Duration {
        let Some(place) = place else { return left };
        let Some(ExpectedWait { ahead, time }) = self.expected_wait(request, place, now) else {
            return left;
        };
        place.expected.get_or_insert(time);
        if left > Duration::ZERO && (ahead == 0 || time <= left) {
            return left;
        }
        request.retry_after = Some(admission::spread(time));
        request.note(format_args!("slot in {} ms after {ahead} others", time.as_millis()));
        Duration::ZERO
    }

    fn expected_wait(
        &self,
        request: &ActiveRequest<'_>,
        place: &QueuePlace<'_>,
        now: Time,
    ) -> Option<ExpectedWait> {
        let capacity = self.state.fleet().capacity(&request.want(), now)?;
        let arrived = place.waiter.arrived;
        self.state.admission().expected_wait(&place.place, arrived, capacity, now)
    }

    fn is_queued(&self, request: &ActiveRequest<'_>) -> bool {
        self.state.scheduling.admission == Admission::Ordered && request.sends == 0
    }

    fn join_queue(&self, request: &ActiveRequest<'_>, now: Time) -> QueuePlace<'_> {
        let waiter = waiter(request, now);
        let place = self.state.admission().join(QueueKey::of(&request.want()), waiter);
        QueuePlace {
            state: &self.state,
            seen: 0,
            place,
            waiter,
            is_first: false,
            expected: None,
            joined: BootInstant::now(),
        }
    }
}

/// Returns the attributes of a request that decide its position in the queue.
fn waiter(request: &ActiveRequest<'_>, now: Time) -> Waiter {
    let team = match &request.identity {
        Identity::Team(team) => Team(xxhash_rust::xxh3::xxh3_64(team.name.as_str().as_bytes())),
        Identity::Anybody | Identity::Public => Team::default(),
    };
    let tokens = request.params.tokens.unwrap_or(1);
    let left = request.target_deadline().duration_since(BootInstant::now());
    Waiter {
        rank: request.identity.priority(&request.route),
        team,
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        bytes: request.req.body.len(),
        arrived: now.saturating_sub(request.began.elapsed()),
        deadline: now + left,
    }
}
