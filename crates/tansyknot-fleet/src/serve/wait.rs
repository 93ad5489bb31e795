//! Waiting for a target: for a load, a free place or a turn, as long as it is of use.

use std::{sync::Arc, time::Duration};

use tansyknot_core::{
    clock::{BootInstant, Time},
    metric,
    name::ServiceName,
};
use tansyknot_http::presence;

use super::{
    Server,
    permit::Turn,
    run::{Reason, Run},
};
use crate::{backpressure::Signal, fleet::Pick, target::Target};

/// How often a waiting request looks whether its caller has left.
const LOOK: Duration = Duration::from_millis(100);
/// A request waits this long at least for word of a load: a demand and its news are on their way,
/// and one of them may be lost and repeated on the next beat.
const WORD_SPAN: Duration = Duration::from_millis(650);
/// A turn that comes within this span needs no copy elsewhere.
const TURN_USUAL: Duration = Duration::from_millis(150);

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    Load,
    Place,
    /// For its turn at a target with a limit, or one that wants rest meanwhile; the first comes at this
    /// moment if that is known.
    Turn(Option<Time>),
    /// For the end of the rest that all targets want.
    Rest(Time),
}

impl Wait {
    /// Returns what the planner could mend, for a request that has waited so long.
    fn lack(self, waited: Duration) -> Option<Lack> {
        match self {
            Wait::Load => Some(Lack::Model),
            Wait::Turn(_) | Wait::Rest(_) if waited >= TURN_USUAL => Some(Lack::Copy),
            Wait::Turn(_) | Wait::Rest(_) | Wait::Place => None,
        }
    }

    /// Returns the signal that holds the request up.
    fn signal(self) -> Option<Signal> {
        match self {
            Wait::Turn(_) => Some(Signal::Limit),
            Wait::Rest(_) => Some(Signal::Rest),
            Wait::Load | Wait::Place => None,
        }
    }

    /// Returns when a rest ends, from now.
    fn ends_in(self, now: Time) -> Option<Duration> {
        match self {
            Wait::Rest(at) => Some(at.since(now)),
            Wait::Load | Wait::Place | Wait::Turn(_) => None,
        }
    }
}

/// What a request lacks that the planner is told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lack {
    /// The model is nowhere.
    Model,
    /// It is only where others go first.
    Copy,
}

impl Lack {
    fn name(self) -> &'static str {
        match self {
            Lack::Model => "a load",
            Lack::Copy => "a turn",
        }
    }
}

impl Server {
    /// Finds a target, waiting for a load, a free place or a turn as long as there is time.
    pub(super) fn find_target(&self, run: &mut Run<'_>) -> Result<Arc<Target>, Reason> {
        let mut lack = None;
        let mut held = None;
        let began = BootInstant::now();
        let found = self.look_for_target(run, &mut lack, &mut held, began);
        self.end_asking(run);
        self.count_backpressure(run, &found, held);
        let waited = began.elapsed();
        run.waited += waited;
        if let Some(lack) = lack {
            self.end_demand(run, lack, waited, found.is_ok());
        }
        found
    }

    fn look_for_target(
        &self,
        run: &mut Run<'_>,
        lack: &mut Option<Lack>,
        held: &mut Option<Signal>,
        began: BootInstant,
    ) -> Result<Arc<Target>, Reason> {
        loop {
            let seen = self.state.targets_changed.count();
            let now = self.state.now();
            if self.is_rejected(run) {
                return Err(Reason::PoisonRequest);
            }
            let pick = self.state.fleet().pick(&run.want(), &run.tried, now, &mut rand::rng());
            let wait = match pick {
                Pick::Target(target) => return Ok(target),
                Pick::Limited { target, or_at } => match self.ask_for_turn(run, &target, now) {
                    Turn::Now => {
                        self.state.fleet().enter(&target.name, run.ask.model.as_ref(), now);
                        return Ok(target);
                    }
                    Turn::Later(at) => {
                        Wait::Turn(at.map(|at| or_at.map_or(at, |or_at| at.min(or_at))))
                    }
                },
                Pick::Resting(at) => Wait::Rest(at),
                Pick::NotLoaded => Wait::Load,
                Pick::Full | Pick::NoTarget => Wait::Place,
            };
            *held = wait.signal();
            if lack.is_none() {
                *lack = wait.lack(began.elapsed());
                lack.iter().for_each(|_| self.begin_demand(run, now));
            }
            if self.lifecycle.is_ending() {
                // Nothing was sent, so another daemon can still serve it.
                return Err(Reason::Stopping);
            }
            let left = self.wait_left(run, wait, now);
            if left.is_zero() {
                return Err(Reason::NoTargetInTime);
            }
            let pause = wait.ends_in(now).unwrap_or(LOOK);
            self.state.targets_changed.wait(seen, left.min(LOOK).min(pause));
            if presence::has_left(run.caller.stream) {
                return Err(Reason::CallerLeft);
            }
        }
    }

    /// Counts a request that signals have held up, sent elsewhere or had rejected.
    fn count_backpressure(
        &self,
        run: &Run<'_>,
        found: &Result<Arc<Target>, Reason>,
        held: Option<Signal>,
    ) {
        let now = self.state.now();
        let (metric, signal) = match (found, held) {
            (Ok(_), Some(signal)) => (metric::SIGNAL_HELD, Some(signal)),
            (Ok(_), None) => {
                (metric::SIGNAL_ELSEWHERE, self.state.fleet().set_aside(&run.want(), now))
            }
            (Err(_), signal) => (metric::SIGNAL_REJECTED, signal),
        };
        if let Some(signal) = signal {
            self.recorder.count(metric.name, &ServiceName::from(signal.name()), 1);
        }
    }

    /// Has the planner know that a request waits for a copy.
    fn begin_demand(&self, run: &Run<'_>, now: Time) {
        self.state.fleet().begin_waiting(&run.want(), now);
        self.state.demand_changed.raise();
    }

    /// Takes in that a request no longer waits for a copy, and whether it has found one.
    fn end_demand(&self, run: &mut Run<'_>, lack: Lack, waited: Duration, has_come: bool) {
        self.state.fleet().end_waiting(&run.want());
        // The planner frees the target for its next load once it sees the request there.
        self.state.demand_changed.raise();
        if has_come && lack == Lack::Model {
            self.state.load_waits().of(&run.want()).observe(waited);
        }
        run.note(format_args!("waited {} ms for {}", waited.as_millis(), lack.name()));
    }

    /// Returns how much longer a request may wait for a target; zero if it would be in vain.
    fn wait_left(&self, run: &mut Run<'_>, wait: Wait, now: Time) -> Duration {
        let left = run.take_by().duration_since(BootInstant::now());
        match wait {
            Wait::Place | Wait::Turn(None) => left,
            Wait::Turn(Some(at)) | Wait::Rest(at) => self.turn_left(run, at.since(now), left, now),
            Wait::Load => self.load_left(run, left, now),
        }
    }

    /// Returns how much longer a request may wait for its turn, or the end of a rest, which should come in
    /// `turn`, or for a copy elsewhere.
    fn turn_left(&self, run: &mut Run<'_>, turn: Duration, left: Duration, now: Time) -> Duration {
        let load = self.state.fleet().expected(&run.want(), now).map(|at| at.since(now));
        let soonest = load.map_or(turn, |load| load.min(turn));
        if soonest <= left {
            return left;
        }
        run.come_back = Some(soonest);
        run.note(format_args!("turn in {} ms", turn.as_millis()));
        Duration::ZERO
    }

    fn load_left(&self, run: &mut Run<'_>, left: Duration, now: Time) -> Duration {
        let expected = self.state.fleet().expected(&run.want(), now);
        if let Some(span) = expected.map(|at| at.since(now)) {
            if span <= left {
                return left;
            }
            run.come_back = Some(span);
            run.note(format_args!("load due in {} ms", span.as_millis()));
            return Duration::ZERO;
        }
        self.unannounced_left(run, left)
    }

    /// Returns how much longer a request may wait for a load that nobody has announced: what loads
    /// took so far bounds the wait.
    fn unannounced_left(&self, run: &mut Run<'_>, left: Duration) -> Duration {
        let waits = *self.state.load_waits().of(&run.want());
        run.come_back = waits.mean();
        let most = waits.most().map_or(left, |most| most.max(WORD_SPAN));
        let left = left.min(most.saturating_sub(run.last_heard().elapsed()));
        if left.is_zero() {
            run.note(format_args!("no load due, others took {} ms at most", most.as_millis()));
        }
        left
    }
}
