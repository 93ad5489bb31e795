//! Targets that get no task for a while: they execute an order of an earlier task or of another
//! planner, or tasks have failed there.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::{clock::Time, name::TargetName};

use crate::backoff;

/// How long a target gets no task after a failed one, or after one that found the target busy with
/// an order whose end is unknown. Each further such task doubles the delay.
const MIN_DELAY: Duration = Duration::from_millis(700);
/// The longest such delay. A load from a slow weight store can take a minute, and a task that asks
/// for its end fails.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// How long after a delay the count of failed tasks is kept. A target that gets no task for longer
/// starts again at the shortest delay.
const COUNT_RETENTION: Duration = Duration::from_secs(10);

/// Why a target gets no task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Its last task has failed.
    Failure,
    /// It executes an order that should end at the end of the delay.
    BusyUntil,
    /// It executes an order whose end is unknown.
    Busy,
}

#[derive(Clone, Copy, Debug)]
struct Occupation {
    cause: Cause,
    until: Time,
    /// The consecutive tasks that failed or found the target busy.
    count: u32,
}

/// The targets that get no task for a while.
#[derive(Clone, Debug, Default)]
pub(super) struct OccupiedTargets {
    by_name: HashMap<TargetName, Occupation>,
}

impl OccupiedTargets {
    /// Records that a task has failed at a target.
    pub(super) fn record_failure(&mut self, target: &TargetName, now: Time) {
        self.delay_next_task(target, Cause::Failure, now);
    }

    /// Records that a target executes an order that should end at `expected_end`, if that is known
    /// and not over.
    pub(super) fn record_busy(
        &mut self,
        target: &TargetName,
        expected_end: Option<Time>,
        now: Time,
    ) {
        match expected_end.filter(|end| *end > now) {
            Some(until) => {
                let occupation = Occupation { cause: Cause::BusyUntil, until, count: 0 };
                self.by_name.insert(target.clone(), occupation);
            }
            None => self.delay_next_task(target, Cause::Busy, now),
        }
    }

    fn delay_next_task(&mut self, target: &TargetName, cause: Cause, now: Time) {
        let count = self.by_name.get(target).map_or(0, |o| o.count);
        let until = now + backoff::exponential(MIN_DELAY, count, MAX_DELAY);
        let occupation = Occupation { cause, until, count: count.saturating_add(1) };
        self.by_name.insert(target.clone(), occupation);
    }

    /// Records that a target executes orders.
    pub(super) fn record_success(&mut self, target: &TargetName) {
        self.by_name.remove(target);
    }

    /// Drops the targets that have had no failed task for a while.
    pub(super) fn expire(&mut self, now: Time) {
        self.by_name.retain(|_, o| now < o.until + COUNT_RETENTION);
    }

    /// Returns how long a target gets no task; `None` if it may get one.
    pub(super) fn delay(&self, target: &TargetName, now: Time) -> Option<Duration> {
        self.active(target, now).map(|o| o.until.since(now))
    }

    /// Returns whether a target executes an order whose end is unknown, so that no load should wait
    /// for it.
    pub(super) fn is_busy_for_unknown_time(&self, target: &TargetName, now: Time) -> bool {
        self.active(target, now).is_some_and(|o| o.cause == Cause::Busy)
    }

    /// Returns the targets that execute an order, and how long each gets no task.
    pub(super) fn busy(&self, now: Time) -> impl Iterator<Item = (&TargetName, Duration)> {
        let is_busy = move |o: &Occupation| o.cause != Cause::Failure && now < o.until;
        self.by_name
            .iter()
            .filter(move |(_, o)| is_busy(o))
            .map(move |(n, o)| (n, o.until.since(now)))
    }

    fn active(&self, target: &TargetName, now: Time) -> Option<&Occupation> {
        self.by_name.get(target).filter(|o| now < o.until)
    }
}
