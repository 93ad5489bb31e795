//! Waiting for a target: for a load, or a free place, as long as it is of use.

use std::{sync::Arc, time::Duration};

use tansyknot_core::clock::{BootInstant, Time};
use tansyknot_http::presence;

use super::{
    Server,
    run::{Reason, Run},
};
use crate::{fleet::Pick, target::Target};

/// How often a waiting request looks whether its caller has left.
const LOOK: Duration = Duration::from_millis(100);
/// A request waits this long at least for word of a load: a demand and its news are on their way,
/// and one of them may be lost and repeated on the next beat.
const WORD_SPAN: Duration = Duration::from_millis(650);

impl Server {
    /// Finds a target, waiting for a load or a free place as long as there is time.
    pub(super) fn find_target(&self, run: &mut Run<'_>) -> Result<Arc<Target>, Reason> {
        let mut waits_for_load = false;
        let began = BootInstant::now();
        let found = loop {
            let seen = self.state.targets_changed.count();
            let now = self.state.now();
            if self.is_rejected(run) {
                break Err(Reason::PoisonRequest);
            }
            let mut fleet = self.state.fleet();
            let pick = fleet.pick(&run.want(), &run.tried, now, &mut rand::rng());
            if let Pick::Target(target) = pick {
                break Ok(target);
            }
            if matches!(pick, Pick::NotLoaded) && !waits_for_load {
                waits_for_load = true;
                fleet.begin_waiting(&run.want(), now);
                drop(fleet);
                self.state.demand_changed.raise();
            } else {
                drop(fleet);
            }
            if self.lifecycle.is_ending() {
                // Nothing was sent, so another daemon can still serve it.
                break Err(Reason::Stopping);
            }
            let left = self.wait_left(run, matches!(pick, Pick::NotLoaded), now);
            if left.is_zero() {
                break Err(Reason::NoTargetInTime);
            }
            self.state.targets_changed.wait(seen, left.min(LOOK));
            if presence::has_left(run.caller.stream) {
                break Err(Reason::CallerLeft);
            }
        };
        let waited = began.elapsed();
        run.waited += waited;
        if waits_for_load {
            self.end_wait_for_load(run, waited, found.is_ok());
        }
        found
    }

    /// Takes in that a request no longer waits for a load, and whether the load came.
    fn end_wait_for_load(&self, run: &mut Run<'_>, waited: Duration, has_come: bool) {
        self.state.fleet().end_waiting(&run.want());
        // The planner frees the target for its next load once it sees the request there.
        self.state.demand_changed.raise();
        if has_come {
            self.state.load_waits().of(&run.want()).observe(waited);
        }
        run.note(format_args!("waited {} ms for a load", waited.as_millis()));
    }

    /// Returns how much longer a request may wait for a target; zero if it would be in vain.
    fn wait_left(&self, run: &mut Run<'_>, for_load: bool, now: Time) -> Duration {
        let left = run.take_by().duration_since(BootInstant::now());
        if !for_load {
            return left;
        }
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
