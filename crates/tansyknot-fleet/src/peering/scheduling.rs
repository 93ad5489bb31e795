//! What the planner's heartbeats tell all daemons for scheduling, and its use.

use tansyknot_core::{clock::Time, event, metric};

use super::PeerNode;
use crate::{
    dissemination::{heartbeat::StepReason, scheduling::SchedulingUpdate},
    fleet::UpdateId,
    plan::UnplacedChange,
};

impl PeerNode {
    /// Returns what a heartbeat tells all daemons for scheduling; nothing between heartbeats.
    pub(super) fn scheduling_update(
        &self,
        reason: StepReason,
        update_id: UpdateId,
        now: Time,
    ) -> SchedulingUpdate {
        if reason != StepReason::Heartbeat {
            return SchedulingUpdate::default();
        }
        let conditions = self.state.fleet().announce_conditions(now);
        let waiting = self.waiting_totals().announce(now);
        self.state.admission().elsewhere.apply(update_id, &waiting, now);
        let scheduling = {
            let planner = self.planner();
            SchedulingUpdate {
                weight_store: Some(planner.weight_store_capacity()),
                loads_in_progress: planner.loads_in_progress(now),
                conditions,
                waiting,
                unplaced: planner.unplaced(now),
            }
        };
        // This daemon may become the planner again after a pause.
        self.announced_loads().record(update_id, &scheduling, now);
        self.apply_scheduling(&scheduling, now);
        scheduling
    }

    /// Applies the scheduling part of an update, and wakes the requests that it concerns.
    pub(super) fn apply_scheduling(&self, update: &SchedulingUpdate, now: Time) {
        if self.state.fleet().apply_unplaced(&update.unplaced, now) {
            self.state.targets_changed.notify();
        }
    }

    /// Logs which models have begun or ceased to be without room.
    pub(super) fn report_unplaced(&self) {
        for change in self.planner().take_unplaced_changes() {
            match change {
                UnplacedChange::Began { service, model, reason, waiting, room_in } => {
                    event::FLEET_NO_ROOM.emit(&[
                        ("service", &service),
                        ("model", &model),
                        ("reason", &reason.name()),
                        ("waiting", &waiting),
                        ("room_in_ms", &room_in.as_millis()),
                    ]);
                }
                UnplacedChange::Ended { service, model, reason, lasted, is_placed } => {
                    event::FLEET_NO_ROOM_ENDED.emit(&[
                        ("service", &service),
                        ("model", &model),
                        ("reason", &reason.name()),
                        ("lasted_ms", &lasted.as_millis()),
                        ("outcome", &if is_placed { "loading" } else { "not_requested" }),
                    ]);
                    self.task_runner.recorder.time(metric::NO_ROOM.name, &service, lasted);
                }
            }
        }
    }
}
