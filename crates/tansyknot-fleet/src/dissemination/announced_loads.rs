//! The loads that the planner has announced last, for the daemon that becomes the next planner.

use tansyknot_core::clock::Time;
use tansyknot_policy::weight_store::Capacity;

use super::scheduling::{LoadInProgress, SchedulingUpdate};
use crate::fleet::UpdateId;

/// The loads that the planner has announced last.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedLoads {
    update: UpdateId,
    received_at: Time,
    capacity: Capacity,
    loads: Vec<LoadInProgress>,
}

impl AnnouncedLoads {
    /// Records the loads of an update. A newer heartbeat replaces what is recorded, a further part
    /// of the newest one adds to it, and other updates are ignored.
    pub fn record(&mut self, update: UpdateId, scheduling: &SchedulingUpdate, now: Time) {
        let Some(capacity) = scheduling.weight_store else { return };
        if update < self.update {
            return;
        }
        if update > self.update {
            *self = Self { update, received_at: now, capacity, loads: Vec::new() };
        }
        self.loads.extend_from_slice(&scheduling.loads_in_progress);
    }

    /// Returns the loads, and when they were received.
    pub fn loads(&self) -> (&[LoadInProgress], Time) {
        (&self.loads, self.received_at)
    }

    /// Returns what the planner knew of the weight store.
    pub fn capacity(&self) -> Capacity {
        self.capacity
    }
}
