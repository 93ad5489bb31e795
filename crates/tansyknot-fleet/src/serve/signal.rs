//! Recording of the backpressure signals in the head of a response.

use tansyknot_core::{
    clock::Time,
    event, metric,
    name::{ServiceName, TargetName},
};
use tansyknot_http::response_head::ResponseHead;

use super::{Server, request::ActiveRequest};
use crate::{
    backpressure::{Interval, RunOutcome, Signal, Signals, run_state::SignalChange},
    platform_api::ResponseClass,
    target::Target,
};

impl Server {
    /// Records the signals in a target's response to a request that was sent no earlier than
    /// `sent`.
    pub(super) fn record_signals(
        &self,
        request: &ActiveRequest<'_>,
        target: &Target,
        head: &ResponseHead,
        class: ResponseClass,
        sent: Time,
    ) {
        let signals =
            self.dialect.signals(&request.params.id, &target.name, head.status, &head.headers);
        let Some(signals) = signals else { return };
        self.record_malformed(&target.name, &signals);
        let outcome = match class {
            ResponseClass::Ran => RunOutcome::Ran,
            ResponseClass::NotRun => RunOutcome::Refused,
            ResponseClass::Misdirected { .. } | ResponseClass::Unverified => RunOutcome::NotRun,
        };
        let at = Interval { sent, received: self.state.now() };
        let changes = self.state.fleet().record_signals(target, &signals, outcome, at);
        if !changes.is_empty() {
            // Wakes waiting requests, and triggers the report to the planner.
            self.state.notify_view_changed();
        }
        changes.into_iter().for_each(|change| self.record_change(&target.name, change));
    }

    fn record_change(&self, target: &TargetName, change: SignalChange) {
        let (signal, what) = match change {
            SignalChange::Limited(rate) => (Signal::Limit, rate.to_string()),
            SignalChange::Unlimited => (Signal::Limit, "none".to_owned()),
            SignalChange::Leaves => (Signal::Leaving, "leaves".to_owned()),
            SignalChange::BacksOff(delay) => {
                (Signal::RetryDelay, format!("{} ms", delay.as_millis()))
            }
            SignalChange::Brittle(max) => (Signal::Brittle, format!("{max} refusals a second")),
            SignalChange::Sound => (Signal::Brittle, "none".to_owned()),
        };
        self.recorder.count(metric::SIGNALS.name, &ServiceName::from(signal.name()), 1);
        event::TARGET_SIGNAL.emit(&[
            ("target", target),
            ("signal", &signal.name()),
            ("what", &what),
        ]);
    }

    fn record_malformed(&self, target: &TargetName, signals: &Signals) {
        for signal in signals.malformed() {
            self.recorder.count(
                metric::SIGNALS_MALFORMED.name,
                &ServiceName::from(signal.name()),
                1,
            );
            if self.malformed_logs.admits(self.state.now()) {
                event::TARGET_SIGNAL_BAD.emit(&[("target", target), ("signal", &signal.name())]);
            }
        }
    }
}
