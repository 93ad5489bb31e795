//! Probes of unresponsive targets, so that no caller's request has to show whether they respond again.

use std::{sync::Arc, thread, time::Duration};

use tansyknot_core::{metric, telemetry::Recorder};

use crate::{
    paths::Paths, platform_api::Dialect, reachability::Path, state::State, target::Target,
};

/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// The pause between two rounds of probes. A probe that is not answered takes its own timeout in
/// addition.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of targets that are probed at once.
const MAX_CONCURRENT_PROBES: usize = 8;

/// Probes the targets that have become unresponsive to this daemon's requests.
pub struct TargetProbes {
    state: Arc<State>,
    dialect: Arc<dyn Dialect>,
    paths: Paths,
    recorder: Arc<dyn Recorder>,
}

impl TargetProbes {
    /// Creates the probes of the daemon with this state.
    pub fn new(state: Arc<State>, dialect: Arc<dyn Dialect>, recorder: Arc<dyn Recorder>) -> Self {
        let paths = Paths::new(Arc::clone(&state), Arc::clone(&recorder));
        Self { state, dialect, paths, recorder }
    }

    /// Probes unresponsive targets until the process ends.
    pub fn run(&self) {
        let mut seen = 0;
        loop {
            if self.due_targets().is_empty() {
                seen = self.state.targets_unresponsive.wait(seen, Duration::MAX);
            }
            self.probe_due_targets();
            self.state.clock.sleep(PROBE_INTERVAL);
        }
    }

    /// Probes each unresponsive target once.
    pub fn probe_due_targets(&self) {
        for targets in self.due_targets().chunks(MAX_CONCURRENT_PROBES) {
            thread::scope(|scope| {
                for target in targets {
                    scope.spawn(|| self.probe(target));
                }
            });
        }
    }

    /// Returns the targets to probe. A daemon that does not reach a target by itself learns nothing
    /// about it by a probe.
    fn due_targets(&self) -> Vec<Arc<Target>> {
        let mut due = self.state.fleet().targets_to_probe(self.state.now());
        due.retain(|target| self.state.reachability().path(target) == Path::Direct);
        due
    }

    fn probe(&self, target: &Target) {
        let sent = self.state.now();
        self.recorder.count(metric::TARGET_PROBES.name, &target.service, 1);
        let call = self.dialect.liveness_call(target);
        if self.paths.responds(target, &call, PROBE_TIMEOUT) {
            self.state.fleet().record_probe_response(target, sent);
            self.state.targets_changed.notify();
        }
    }
}
