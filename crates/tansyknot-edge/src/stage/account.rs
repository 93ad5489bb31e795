//! Records the end of a request: its metrics, its event and its trail.

use std::time::Duration;

use tansyknot_core::{
    clock::Time,
    event,
    name::ServiceName,
    refusal::{Outcome, Refusal},
    telemetry::Recorder,
};

use crate::explain::{Decision, Explainer, Trail};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The caller has received the full response, with this status.
    Answered(u16),
    /// The request was refused.
    Refused(Refusal),
}

/// The data of a request that is recorded at its end.
#[derive(Clone, Debug)]
pub struct Account {
    /// The decisions about the request.
    pub trail: Trail,
    /// When it was received.
    pub received_at: Time,
    /// When the first part of the response was sent to the caller.
    pub first_part_at: Option<Time>,
    /// Whether it waited for a replica.
    pub queued: bool,
}

/// Records the end of a request.
pub fn record_end(
    recorder: &dyn Recorder,
    explainer: &Explainer,
    mut account: Account,
    end: &Ended,
    now: Time,
) {
    let service = account.trail.service.clone().unwrap_or_else(|| ServiceName::from("none"));
    let total = now.since(account.received_at);
    match end {
        Ended::Answered(status) => {
            account.trail.add(now, Decision::Answered(*status));
            recorder.count("requests.answered", &service, 1);
            recorder.time("request", &service, total);
            record_first_part_time(recorder, &service, &account);
            event::REQUEST_DONE.emit(&[
                ("request", &account.trail.request),
                ("service", &service),
                ("status", status),
                ("total_ms", &total.as_millis()),
            ]);
        }
        Ended::Refused(refusal) => refused(recorder, &service, &mut account, refusal, total, now),
    }
    explainer.record(account.trail);
}

fn record_first_part_time(recorder: &dyn Recorder, service: &ServiceName, account: &Account) {
    let Some(first_part_at) = account.first_part_at else { return };
    let name = if account.queued { "first_token.cold" } else { "first_token.warm" };
    recorder.time(name, service, first_part_at.since(account.received_at));
}

fn refused(
    recorder: &dyn Recorder,
    service: &ServiceName,
    account: &mut Account,
    refusal: &Refusal,
    total: Duration,
    now: Time,
) {
    account.trail.add(now, Decision::Refused(refusal.reason, refusal.outcome));
    let (name, event) = match refusal.outcome {
        Outcome::NotRun => ("requests.refused", event::REQUEST_REFUSED),
        Outcome::Unknown => ("requests.unknown", event::REQUEST_UNKNOWN),
    };
    recorder.count(name, service, 1);
    event.emit(&[
        ("request", &account.trail.request),
        ("service", service),
        ("reason", &refusal.reason.code()),
        ("detail", &refusal.detail),
        ("total_ms", &total.as_millis()),
    ]);
}
