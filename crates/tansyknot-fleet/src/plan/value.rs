//! The value of loads under scarcity: callers served in time per second of load time.

use tansyknot_core::name::ModelName;
use tansyknot_policy::copies::ServedCallers;

use super::{
    MIN_DISPLACED_RATE_PER_S, ORDER_OVERHEAD, Planner, Round, SETTLE_TIMEOUT, eviction::Eviction,
    needed_copies, place::EVICTION_LOSS_S, round::ModelView,
};
use crate::scheduling::CopyPolicy;

/// By how much the value of a further copy must exceed that of the copies evicted for it. Both vary
/// with random arrivals, and two requested models would take each other's copies in turn.
const EXCHANGE_MARGIN: f64 = 1.5;

impl Planner {
    /// Returns the urgency of loading another copy of a model; zero if it has enough copies. It is
    /// below one for a load that serves no caller in time, and for a copy that is only needed if a
    /// target is lost.
    pub(super) fn load_value(&self, round: &Round<'_>, model: &ModelName, view: &ModelView) -> f64 {
        let pending_loads = self.pending_load_count(round, model);
        let total_copies = view.copies + pending_loads;
        let is_displaced = view.rate > MIN_DISPLACED_RATE_PER_S && self.displaced.contains(model);
        let serves_waiting = match total_copies {
            0 => view.all_waiting() > 0,
            _ => self.has_unusable_copies(model, view, pending_loads),
        };
        let is_needed = match total_copies {
            0 => serves_waiting || is_displaced,
            _ => serves_waiting || total_copies < needed_copies(round, view),
        };
        if !is_needed {
            return 0.0;
        }
        let served_per_s = round.copy_demand(view).served_by_last_per_s(total_copies + 1);
        let arrivals_per_s = round.copy_value_per_s(view, total_copies + 1);
        let waiting = if serves_waiting { waiting_callers(view) } else { ServedCallers::default() };
        let callers = ServedCallers { arrivals_per_s, ..waiting };
        let load_time = round.load_time(model) + ORDER_OVERHEAD;
        let value = callers.load_value(round.scope.objective, load_time);
        if callers.are_all_too_late() || (!serves_waiting && served_per_s == 0.0) {
            // Positive, and below any other value.
            return (1.0 + value) / (2.0 + value);
        }
        1.0 + value
    }

    /// Returns whether a load is worth its eviction: a further copy, or one that drains a copy in
    /// use, must serve more callers than the evicted copies do.
    pub(super) fn is_worth(
        &self,
        round: &Round<'_>,
        model: &ModelName,
        eviction: &Eviction,
    ) -> bool {
        if round.copies == CopyPolicy::RateSteps || eviction.victims.is_empty() {
            return true;
        }
        let view = round.model(model);
        let total_copies = view.copies + self.pending_load_count(round, model);
        if total_copies == 0 && eviction.drain_s == 0.0 {
            return true;
        }
        let waiting_per_s = match total_copies {
            0 => f64::from(view.in_time) / SETTLE_TIMEOUT.as_secs_f64(),
            _ => 0.0,
        };
        let gain_per_s = waiting_per_s + round.copy_value_per_s(&view, total_copies + 1);
        let margin = if total_copies == 0 { 1.0 } else { EXCHANGE_MARGIN };
        gain_per_s * EVICTION_LOSS_S > eviction.models_loss_s * margin
    }

    /// Returns whether a model may be loaded from the weight store: a further copy only if the
    /// present ones are overloaded, or if the weight store runs no load.
    pub(super) fn may_use_weight_store(&self, round: &Round<'_>, model: &ModelName) -> bool {
        let view = round.model(model);
        round.copies == CopyPolicy::RateSteps
            || view.copies == 0
            || round.copy_demand(&view).overloads(view.copies)
            || !self.pending.values().any(|p| p.is_remote)
    }
}

fn waiting_callers(view: &ModelView) -> ServedCallers {
    ServedCallers {
        waiting: view.all_waiting(),
        in_time: view.in_time,
        on_time: view.on_time,
        longest_wait: view.longest_wait,
        arrivals_per_s: 0.0,
    }
}
