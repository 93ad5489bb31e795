//! Requested models that get no room, as the planner has announced.

use std::time::Duration;

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName},
};

use super::{Fleet, TargetRequirements};
use crate::dissemination::scheduling::UnplacedModel;

/// How long an announcement is valid: three heartbeats, as two may be lost.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(900);

/// The planner's announcement that a model gets no room.
#[derive(Clone, Copy, Debug)]
pub(super) struct Announcement {
    /// When room is expected.
    room_at: Time,
    valid_until: Time,
}

impl Fleet {
    /// Records that models get no room; returns whether there are any.
    pub fn apply_unplaced(&mut self, models: &[UnplacedModel], now: Time) -> bool {
        self.unplaced.retain(|_, announcement| now < announcement.valid_until);
        for unplaced in models {
            let key: (ServiceName, ModelName) = (unplaced.service.clone(), unplaced.model.clone());
            let room_at = now + Duration::from_millis(unplaced.retry_in_ms.into());
            let valid_until = now + ANNOUNCEMENT_TTL;
            self.unplaced.insert(key, Announcement { room_at, valid_until });
        }
        !models.is_empty()
    }

    /// Returns when room is expected for the model of a request, if the planner has announced that
    /// it gets none now and no target holds it.
    pub fn room_expected_at(&self, want: &TargetRequirements<'_>, now: Time) -> Option<Time> {
        let model = want.model?;
        // Announcements concern requests that may use all targets.
        let is_bound = want.zones.is_some() || !self.all_run_origin(want);
        if is_bound || self.ready(want, now).any(|m| m.target.holds(model, None)) {
            return None;
        }
        let announcement = self.unplaced.get(&(want.service.clone(), model.clone()))?;
        (now < announcement.valid_until).then_some(announcement.room_at)
    }

    /// Returns how many models get no room, according to valid announcements.
    pub fn unplaced_count(&self, now: Time) -> usize {
        self.unplaced.values().filter(|announcement| now < announcement.valid_until).count()
    }
}
