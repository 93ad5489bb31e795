//! Recording the backpressure signals in the head of an answer.

use tansyknot_core::{
    clock::Time,
    event, metric,
    name::{ServiceName, TargetName},
};

use super::{Server, run::Run};
use crate::{
    backpressure::{Interval, Outcome, Signal, Signals, run_state::Change},
    exchange::AnswerHead,
    outside::Verdict,
    target::Target,
};

impl Server {
    /// Records the signals of a target in its answer to a request that was sent no earlier than `sent`.
    pub(super) fn record_signals(
        &self,
        run: &Run<'_>,
        target: &Target,
        head: &AnswerHead,
        verdict: Verdict,
        sent: Time,
    ) {
        let signals = self.dialect.signals(&run.ask.id, &target.name, head.status, &head.headers);
        let Some(signals) = signals else { return };
        self.report_malformed(&target.name, &signals);
        let outcome = match verdict {
            Verdict::Ran => Outcome::Ran,
            Verdict::NotRun | Verdict::Misdirected { .. } | Verdict::Foreign => Outcome::NotRun,
        };
        let at = Interval { sent, received: self.state.now() };
        let changes = self.state.fleet().hear_signals(target, &signals, outcome, at);
        if !changes.is_empty() {
            // Requests that wait look again, and the planner is told.
            self.state.view_changed();
        }
        changes.into_iter().for_each(|change| self.report(&target.name, change));
    }

    fn report(&self, target: &TargetName, change: Change) {
        let (signal, what) = match change {
            Change::Limited(rate) => (Signal::Limit, rate.to_string()),
            Change::Unlimited => (Signal::Limit, "none".to_owned()),
            Change::Leaves => (Signal::Leaving, "leaves".to_owned()),
            Change::Rests(span) => (Signal::Rest, format!("{} ms", span.as_millis())),
        };
        self.recorder.count(metric::SIGNALS.name, &ServiceName::from(signal.name()), 1);
        event::TARGET_SIGNAL.emit(&[
            ("target", target),
            ("signal", &signal.name()),
            ("what", &what),
        ]);
    }

    fn report_malformed(&self, target: &TargetName, signals: &Signals) {
        for signal in signals.malformed() {
            self.recorder.count(
                metric::SIGNALS_MALFORMED.name,
                &ServiceName::from(signal.name()),
                1,
            );
            if self.malformed.admits(self.state.now()) {
                event::TARGET_SIGNAL_BAD.emit(&[("target", target), ("signal", &signal.name())]);
            }
        }
    }
}
