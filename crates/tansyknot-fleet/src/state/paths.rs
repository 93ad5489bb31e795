//! Changes of the paths to targets, and this daemon's share of the targets that are brittle.

use tansyknot_core::{clock::Time, event};

use super::State;
use crate::{reachability::Transition, target::Target};

impl State {
    /// Records that this daemon has connected to a target.
    pub fn record_connected(&self, target: &Target) {
        let transition = self.reachability().record_connected(target, self.now());
        let Some(Transition::Restored(duration)) = transition else { return };
        let after_ms = duration.as_millis();
        event::PATHS_RESTORED.emit(&[("service", &target.service), ("after_ms", &after_ms)]);
        // Targets that were avoided because of this daemon's links may be selected again.
        self.fleet().clear_suspicion(&target.service);
        self.targets_changed.notify();
    }

    /// Updates this daemon's allowances at the targets of brittle services.
    pub fn update_allowances(&self, now: Time) {
        let has_brittle_services = self.fleet().expire_brittleness(now);
        if !has_brittle_services {
            return;
        }
        let ranking = self.peers().ranking(now);
        self.fleet().set_allowances(&ranking);
    }

    /// Records that this daemon could not connect to a target.
    pub fn record_connect_failure(&self, target: &Target) {
        let targets = self.fleet().target_names(&target.service).len();
        let transition = self.reachability().record_failed(target, targets, self.now());
        if let Some(Transition::CutOff { failed }) = transition {
            event::PATHS_CUT_OFF.emit(&[("service", &target.service), ("failed", &failed)]);
        }
        self.paths_failed.notify();
    }
}
