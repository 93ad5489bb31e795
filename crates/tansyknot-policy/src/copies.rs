//! How many copies of a model serve its demand, and what a further copy is worth to callers.

use std::time::Duration;

/// The share of a target's slots that one of its models may use; the others are left to the
/// target's other models. Together with [`DEVIATIONS`] it gives means of 4.0 of 16 slots and 9.7 of
/// 32; with means of 0.45 of the slots, queries are late more often.
const SLOT_SHARE: f64 = 0.5;
/// Random (Poisson) arrivals rarely exceed their mean by more than this many standard deviations.
const DEVIATIONS: f64 = 2.0;
/// Demand that rises is expected to grow at most by this factor during a load, as a step of demand
/// looks like a slope at first.
const MAX_GROWTH: f64 = 1.5;
/// The fast mean must exceed the slow one by this many standard deviations to count as a rise. With
/// two, a burst of four requests counts as one.
const RISE_DEVIATIONS: f64 = 3.0;
/// The value of a caller who can still be served, but not within the objective, relative to one who
/// can be on time.
const LATE_CALLER_VALUE: f64 = 0.1;
/// The value of a caller whose model has more requests than its copies should run, but not more than
/// their slots, relative to one who finds no slot: the caller is served, but perhaps late.
const CROWDED_CALLER_VALUE: f64 = 0.3;
/// For how long the arrivals after a load count in its favour: about as long as a model that was
/// loaded for waiting callers stays at least.
const ARRIVALS_WINDOW_S: f64 = 1.5;
/// The shortest load time, in seconds, that a value is divided by.
const MIN_LOAD_TIME_S: f64 = 0.1;

/// Returns the largest number of requests in flight at a copy that random arrivals explain.
pub fn max_requests(slots: u32) -> f64 {
    (SLOT_SHARE * f64::from(slots)).max(1.0)
}

/// Returns the mean number of requests that a copy should run, so that the mean and
/// two standard deviations are at most [`max_requests`].
pub fn mean_requests(slots: u32) -> f64 {
    // The solution of m + 2 * sqrt(m) = max.
    let half = DEVIATIONS / 2.0;
    ((half * half + max_requests(slots)).sqrt() - half).powi(2)
}

/// The arrivals of a model, as means over a short and a long time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Arrivals {
    /// The mean rate per second over a short time.
    pub fast: f64,
    /// The time constant of `fast` in seconds.
    pub fast_time_constant_s: f64,
    /// The mean rate per second over a long time.
    pub slow: f64,
    /// The time constant of `slow` in seconds.
    pub slow_time_constant_s: f64,
}

impl Arrivals {
    /// Returns the rate expected after `ahead`: `steady` unless demand rises, otherwise the present
    /// rate continued at its slope.
    ///
    /// An exponential mean of a steadily rising rate lags by its time constant, so that the
    /// difference of two means shows the slope.
    pub fn expected_rate(&self, steady: f64, ahead: Duration) -> f64 {
        // Random arrivals have a variance equal to their expected number.
        let deviation = (self.fast.max(1.0) / (2.0 * self.fast_time_constant_s)).sqrt();
        let rise = self.fast - self.slow;
        if rise <= RISE_DEVIATIONS * deviation {
            return steady;
        }
        let slope = rise / (self.slow_time_constant_s - self.fast_time_constant_s);
        let expected = self.fast + slope * (self.fast_time_constant_s + ahead.as_secs_f64());
        expected.min(MAX_GROWTH * self.fast).max(steady)
    }
}

/// The demand for a model, and the targets that may serve it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CopyDemand {
    /// Expected arrivals per second.
    pub rate: f64,
    /// The mean time of a request at a target, in seconds.
    pub request_time_s: f64,
    /// Requests at targets.
    pub in_flight: u32,
    /// Requests that a target runs at once.
    pub slots: u32,
}

impl CopyDemand {
    /// Returns the mean number of concurrent requests (Little's law), or the least mean that
    /// explains the present number.
    fn concurrent(&self) -> f64 {
        let share = mean_requests(self.slots) / max_requests(self.slots);
        (self.rate * self.request_time_s).max(f64::from(self.in_flight) * share)
    }

    /// Returns the number of copies that the demand needs, at least one.
    pub fn copies(&self) -> usize {
        // The tolerance keeps rounding errors from adding a copy.
        let copies = self.concurrent() / mean_requests(self.slots) - 1e-9;
        (copies.ceil() as usize).max(1)
    }

    /// Returns whether `copies` copies have more requests in flight than random arrivals explain.
    pub fn overloads(&self, copies: usize) -> bool {
        f64::from(self.in_flight) > max_requests(self.slots) * copies as f64
    }

    /// Returns how many callers per second the last of `copies` copies serves, of whom those count
    /// in part who would find a slot at the others; zero if the others can serve all of them.
    pub fn served_by_last_per_s(&self, copies: usize) -> f64 {
        let Some(others) = copies.checked_sub(1) else { return 0.0 };
        let (others, per_copy) = (others as f64, mean_requests(self.slots));
        let left = (self.concurrent() - per_copy * others).clamp(0.0, per_copy);
        let present = (self.rate * self.request_time_s).max(f64::from(self.in_flight));
        let without_slot = (present - f64::from(self.slots) * others).clamp(0.0, left);
        let callers = without_slot + CROWDED_CALLER_VALUE * (left - without_slot);
        callers / self.request_time_s.max(f64::MIN_POSITIVE)
    }
}

/// The callers that a load of a model serves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServedCallers {
    /// Those who wait.
    pub waiting: u32,
    /// Those among them who can be served within their time budget.
    pub in_time: u32,
    /// Those among them who can be served within the objective.
    pub on_time: u32,
    /// How long the first of them has waited.
    pub longest_wait: Duration,
    /// Later callers that the copy serves, per second.
    pub arrivals_per_s: f64,
}

impl ServedCallers {
    /// Returns whether callers wait and none of them can be served within their time budget.
    pub fn are_all_too_late(&self) -> bool {
        self.waiting > 0 && self.in_time == 0
    }

    /// Returns the value of a load: callers served in time, those near the end of `objective`
    /// counted up to twice, per second of load time.
    pub fn load_value(&self, objective: Duration, load_time: Duration) -> f64 {
        let late = self.in_time.saturating_sub(self.on_time);
        let waited = self.longest_wait.as_secs_f64() / objective.as_secs_f64().max(0.001);
        let urgency = 1.0 + waited.min(1.0);
        let waiting = f64::from(self.on_time) * urgency + f64::from(late) * LATE_CALLER_VALUE;
        let callers = waiting + self.arrivals_per_s * ARRIVALS_WINDOW_S;
        callers / load_time.as_secs_f64().max(MIN_LOAD_TIME_S)
    }
}
