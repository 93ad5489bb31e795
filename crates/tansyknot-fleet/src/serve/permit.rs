//! Waiting for the turn of a request at a target that names a limit.

use tansyknot_core::clock::{BootInstant, Time};

use super::{Server, run::Run};
use crate::{
    backpressure::{PermitRequest, pending::Progress},
    poison::key::RunKey,
    target::Target,
};

/// A request that asks whether it may go to a run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Asking {
    number: u32,
    run: RunKey,
}

/// Whether a request may go to a target with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// It may.
    Now,
    /// It waits, until this moment if it has been told one.
    Later(Option<Time>),
}

impl Server {
    /// Asks whether a request may go to a target, if that is due.
    pub(super) fn ask_for_turn(&self, run: &mut Run<'_>, target: &Target, now: Time) -> Turn {
        let of = RunKey::of(target);
        if run.asking.is_some_and(|asking| asking.run != of) {
            self.end_asking(run);
        }
        let begin = || Asking { number: self.state.permits().begin(of), run: of };
        let Asking { number, .. } = *run.asking.get_or_insert_with(begin);
        let progress = self.state.permits().progress(number, now);
        if progress == Progress::AskDue {
            let left = run.take_by().duration_since(BootInstant::now());
            let priority = run.asker.priority(&run.route);
            self.permits.ask(PermitRequest { number, run: of, priority, left });
        }
        let progress = self.state.permits().progress(number, now);
        match progress {
            Progress::Granted(permit) => {
                run.permit = Some(permit);
                Turn::Now
            }
            Progress::Waiting { expected } => Turn::Later(expected),
            Progress::AskDue => Turn::Later(None),
        }
    }

    /// Takes back what a request asks, if it does.
    pub(super) fn end_asking(&self, run: &mut Run<'_>) {
        let Some(Asking { number, run: of }) = run.asking.take() else { return };
        let is_unanswered = self.state.permits().end(number);
        if is_unanswered {
            self.permits.end(number, of);
        }
    }

    /// Tells whether the signals of a target still allow a request now that the connection stands.
    pub(super) fn is_taken(&self, run: &Run<'_>, target: &Target) -> bool {
        let now = self.state.now();
        self.state.fleet().may_send(RunKey::of(target), run.permit, now)
    }
}
