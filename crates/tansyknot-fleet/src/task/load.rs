//! Seeing that a load is done.

use std::{sync::atomic::Ordering, time::Duration};

use tansyknot_core::{
    event, metric,
    name::{ModelName, TargetName},
};

use super::{LOAD_LOOK, LOAD_REPORTS, Orders, Progress, Stopped};

/// Looks at the list before a load that should be done is looked for in a report.
const LIST_LOOKS: u32 = 7;

impl Orders {
    /// Waits until the list of targets, or the target itself, says that the model is there.
    pub(super) fn await_load(
        &self,
        progress: &Progress,
        model: &ModelName,
        takes: Duration,
    ) -> Result<(), Stopped> {
        let began = self.now();
        self.pause(takes);
        self.due.fetch_add(1, Ordering::SeqCst);
        self.state.demand_changed.raise();
        let loaded = self.look_for(progress, model);
        self.due.fetch_sub(1, Ordering::SeqCst);
        if loaded {
            self.recorder.time(
                metric::LOAD.name,
                &progress.target.service,
                self.now().since(began),
            );
            event::FLEET_TASK_DONE.emit(&[
                ("target", &progress.target.name),
                ("model", model),
                ("expected_ms", &takes.as_millis()),
            ]);
            return Ok(());
        }
        Err(Stopped::NotLoaded)
    }

    fn look_for(&self, progress: &Progress, model: &ModelName) -> bool {
        for _ in 0..LIST_LOOKS {
            let seen = self.state.targets_changed.count();
            if self.is_listed(&progress.target.name, model) {
                return true;
            }
            self.state.targets_changed.wait(seen, LOAD_LOOK);
        }
        for _ in 0..LOAD_REPORTS {
            if self.is_listed(&progress.target.name, model) {
                return true;
            }
            match self.targets.report(&progress.target) {
                Ok(report) if report.models.iter().any(|h| h.model == *model) => return true,
                Ok(report) if !report.busy && report.orders >= progress.orders => return false,
                Ok(_) => {}
                Err(_) => return false,
            }
            self.pause(LOAD_LOOK);
        }
        false
    }

    fn is_listed(&self, target: &TargetName, model: &ModelName) -> bool {
        self.state.fleet().lists(target, model)
    }
}
