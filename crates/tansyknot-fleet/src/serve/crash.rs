//! Finding out whether a target has ended under a request.

use std::time::Duration;

use tansyknot_core::{
    clock::{BootInstant, Time},
    event, metric,
};

use super::{
    Server,
    run::{Run, Sent},
};
use crate::{
    exchange::{self, Failure},
    poison::{Look, key::RunKey},
    target::Target,
};

/// How long a target may take to show whether anybody listens there. A refusal takes a round trip,
/// 2 ms on the users' networks; requests that it has cut off wait for this before they go elsewhere.
const LOOK_TIMEOUT: Duration = Duration::from_millis(100);

impl Server {
    /// Tells whether a request is not to be sent on.
    pub(super) fn is_rejected(&self, run: &Run<'_>) -> bool {
        !run.is_trial && self.state.poison().is_convicted(run.key)
    }

    /// Takes in what a send over a connection opened at `opened` has shown of the request.
    pub(super) fn examine(&self, run: &Run<'_>, target: &Target, opened: Time, sent: &Sent) {
        let key = RunKey::of(target);
        match sent {
            Sent::Passed(_) => {
                let now = self.state.now();
                self.state.poison().answered(run.key, key, opened, now);
                self.tell_crashes();
            }
            Sent::MayHaveRun(Failure::CutOff) => self.look(run, target, key),
            Sent::Failure(_) | Sent::MayHaveRun(_) | Sent::NotRun(_) => {}
        }
    }

    /// Looks whether a target that cut a request off has ended, unless another thread does, and
    /// waits until it is known.
    ///
    /// The end of a target that leaves was announced, and no request is the cause of it.
    fn look(&self, run: &Run<'_>, target: &Target, key: RunKey) {
        let now = self.state.now();
        if !self.state.fleet().takes_work(&target.name, now) {
            return;
        }
        let look = self.state.poison().cut_off(run.key, key, now);
        match look {
            Look::Due => {
                let presence = exchange::look(target.address, LOOK_TIMEOUT);
                let suspected = self.state.poison().looked(key, presence, self.state.now());
                if suspected > 0 {
                    self.recorder.count(metric::CRASHED.name, &target.service, 1);
                    event::TARGET_CRASHED.emit(&[
                        ("target", &target.name),
                        ("address", &target.address),
                        ("requests", &suspected),
                    ]);
                }
                self.state.poison_changed.raise();
            }
            Look::UnderWay => self.await_look(key),
            Look::Done => self.tell_crashes(),
        }
    }

    fn await_look(&self, key: RunKey) {
        let until = BootInstant::now() + LOOK_TIMEOUT;
        loop {
            let seen = self.state.poison_changed.count();
            let left = until.duration_since(BootInstant::now());
            if left.is_zero() || !self.state.poison().is_looked_at(key) {
                return;
            }
            self.state.poison_changed.wait(seen, left);
        }
    }

    /// Has others be told at once of what has been found, if there is anything.
    fn tell_crashes(&self) {
        let has_untold = self.state.poison().has_untold();
        if has_untold {
            self.state.poison_changed.raise();
        }
    }
}
