//! Waiting for the end of a load.

use std::{sync::atomic::Ordering, time::Duration};

use tansyknot_core::{
    event, metric,
    name::{ModelName, TargetName},
};

use super::{LOAD_POLL_INTERVAL, MAX_LOAD_REPORTS, Progress, StopReason, TaskRunner};

/// Number of checks of the list of targets before reports of the target are requested.
const MAX_LIST_POLLS: u32 = 7;

impl TaskRunner {
    /// Waits until the list of targets, or a report of the target, shows the model as loaded.
    pub(super) fn await_load(
        &self,
        progress: &Progress<'_>,
        model: &ModelName,
        expected: Duration,
    ) -> Result<(), StopReason> {
        let began = self.now();
        self.pause(expected);
        self.overdue_loads.fetch_add(1, Ordering::SeqCst);
        self.state.step_due.notify();
        let result = self.poll_until_loaded(progress, model);
        self.overdue_loads.fetch_sub(1, Ordering::SeqCst);
        result?;
        self.recorder.time(metric::LOAD.name, &progress.target.service, self.now().since(began));
        event::FLEET_TASK_DONE.emit(&[
            ("target", &progress.target.name),
            ("model", model),
            ("expected_ms", &expected.as_millis()),
        ]);
        Ok(())
    }

    /// Polls the list of targets, then reports of the target, until the model is loaded.
    fn poll_until_loaded(
        &self,
        progress: &Progress<'_>,
        model: &ModelName,
    ) -> Result<(), StopReason> {
        for _ in 0..MAX_LIST_POLLS {
            let seen = self.state.targets_changed.count();
            if self.is_listed(&progress.target.name, model) {
                return Ok(());
            }
            self.state.targets_changed.wait(seen, LOAD_POLL_INTERVAL);
        }
        let mut is_busy = false;
        for _ in 0..MAX_LOAD_REPORTS {
            if self.is_listed(&progress.target.name, model) {
                return Ok(());
            }
            match self.targets.report(&progress.target) {
                Ok(report) if report.models.iter().any(|h| h.model == *model) => return Ok(()),
                Ok(report) if !report.busy && report.accepted_orders >= progress.orders => {
                    return Err(StopReason::NotLoaded);
                }
                Ok(report) => is_busy = report.busy,
                // The load may still run; a target that has ended leaves the list.
                Err(_) => return Err(StopReason::StillLoading),
            }
            self.pause(LOAD_POLL_INTERVAL);
        }
        Err(if is_busy { StopReason::StillLoading } else { StopReason::NotLoaded })
    }

    fn is_listed(&self, target: &TargetName, model: &ModelName) -> bool {
        self.state.fleet().lists_model(target, model)
    }
}
