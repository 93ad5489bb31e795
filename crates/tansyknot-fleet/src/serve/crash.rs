//! Finding out whether a target has ended under a request.

use tansyknot_core::clock::{BootInstant, Time};

use super::{
    Server,
    run::{Run, Sent},
};
use crate::{
    exchange::{self, Failure, LOOK_TIMEOUT},
    poison::{self, Look, Place, Presence, key::RunKey},
    target::Target,
};

impl Server {
    /// Tells whether a request is not to be sent on.
    pub(super) fn is_rejected(&self, run: &Run<'_>) -> bool {
        !run.is_trial && self.state.poison().is_convicted(run.key)
    }

    /// Takes in what a send over a connection opened at `opened` has shown of the request.
    pub(super) fn examine(&self, run: &Run<'_>, target: &Target, opened: Time, sent: &Sent) {
        match sent {
            Sent::Passed(_) => {
                let now = self.state.now();
                self.state.poison().answered(run.key, RunKey::of(target), opened, now);
                self.tell_crashes();
            }
            Sent::MayHaveRun(Failure::CutOff) => self.look(run, target, opened),
            Sent::Failure(_) | Sent::MayHaveRun(_) | Sent::NotRun(_) => {}
        }
    }

    /// Looks whether a target that cut a request off has ended, unless another thread does, and
    /// waits until it is known.
    ///
    /// The end of a target that leaves was announced, and no request is the cause of it.
    fn look(&self, run: &Run<'_>, target: &Target, opened: Time) {
        let key = RunKey::of(target);
        let now = self.state.now();
        if !self.state.fleet().takes_work(&target.name, now) {
            return;
        }
        let look = self.state.poison().cut_off(run.key, key, opened, now);
        match look {
            Look::Due => {
                let presence = exchange::look(target.address, LOOK_TIMEOUT);
                self.take_look(target, key, presence);
            }
            Look::UnderWay => self.await_look(key),
            Look::Done => self.tell_crashes(),
        }
    }

    fn take_look(&self, target: &Target, key: RunKey, presence: Presence) {
        let place = Place::of(target);
        let suspected = {
            let mut poison = self.state.poison();
            let suspected = poison.looked(key, presence, self.state.now());
            if !presence.is_end() {
                poison.doubt(key, place.clone());
            }
            suspected
        };
        poison::report_end(self.recorder.as_ref(), &place, suspected);
        self.state.poison_changed.raise();
    }

    /// Takes in that another run is at a target's address: what it cut off may have been its end.
    pub(super) fn is_succeeded(&self, target: &Target) {
        let run = RunKey::of(target);
        let is_doubted = self.state.poison().is_doubted(run);
        if is_doubted {
            self.take_look(target, run, Presence::Gone);
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
