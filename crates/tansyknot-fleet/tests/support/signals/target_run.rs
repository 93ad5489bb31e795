//! Runs of simulated targets, their signals and the requests that they received.

use std::time::Duration;

use tansyknot_core::clock::Time;
use tansyknot_fleet::{
    backpressure::{Rate, SignalField, Signals},
    target::Target,
};

/// A target that has sent no restricting signal for this long counts as unrestricted.
const UNRESTRICTED_AFTER: Duration = Duration::from_secs(2);

/// A request that a target has received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) at: Time,
    pub(super) must_meet_bounds: bool,
}

/// A period in which a target signals one limit, or none.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitPeriod {
    pub(super) limit: Option<f64>,
    pub(super) since: Time,
    /// When a response arrived that was certainly written in it, and at which daemon.
    pub(super) receipt: Option<Receipt>,
}

/// When a daemon received something that it could send to others.
#[derive(Clone, Copy, Debug)]
pub(super) struct Receipt {
    pub(super) at: Time,
    pub(super) by: usize,
}

/// The times of a target that leaves.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leaving {
    pub(super) listed_at: Time,
    pub(super) gone_at: Time,
}

/// One run of a target.
#[derive(Debug)]
pub(super) struct TargetRun {
    pub(super) entry: Target,
    /// The last one is the current period.
    pub(super) periods: Vec<LimitPeriod>,
    pub(super) arrivals: Vec<Arrival>,
    /// When the last response arrived that was written before the current period.
    pub(super) former_received_at: Time,
    /// When the list shows that it leaves, and when it is gone, once it signals that it leaves.
    pub(super) leaving: Option<Leaving>,
    /// Until when it rejects all requests.
    pub(super) rejects_until: Time,
    /// When its entry was last written after it had expired.
    pub(super) restored_at: Time,
    pub(super) expired_until: Option<Time>,
}

impl TargetRun {
    pub(super) fn period(&self) -> LimitPeriod {
        self.periods[self.periods.len() - 1]
    }

    pub(super) fn begin_period(&mut self, limit: Option<f64>, now: Time) {
        self.periods.push(LimitPeriod { limit, since: now, receipt: None });
    }

    pub(super) fn limit(&self) -> Option<f64> {
        self.period().limit
    }

    /// Returns whether daemons have received that it accepts any number of requests.
    pub(super) fn is_unrestricted(&self, now: Time) -> bool {
        let LimitPeriod { limit, receipt, .. } = self.period();
        let is_received = receipt.is_some_and(|receipt| {
            now.since(receipt.at.max(self.restored_at)) > UNRESTRICTED_AFTER
        });
        let accepts_requests =
            self.leaving.is_none() && now.since(self.rejects_until) > UNRESTRICTED_AFTER;
        limit.is_none() && self.expired_until.is_none() && is_received && accepts_requests
    }

    pub(super) fn signals(&self) -> Signals {
        let limit = self.limit().and_then(Rate::new);
        let leaving = self.leaving.map_or(SignalField::Absent, |_| SignalField::Value(()));
        Signals {
            limit: limit.map_or(SignalField::Absent, SignalField::Value),
            leaving,
            ..Signals::default()
        }
    }
}
