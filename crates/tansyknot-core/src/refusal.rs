//! What a caller is told when a request has no whole answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request reached a target, or the target refused before starting.
    NotRun,
    /// Part or all of the request may have run.
    Unknown,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $status:literal, $title:literal;)*) => {
        /// Why a request was refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in the order of the operators' page.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)*];

            /// Returns the code that a program compares.
            pub const fn code(self) -> &'static str {
                match self { $(Reason::$name => $code,)* }
            }

            /// Returns the HTTP status.
            pub const fn status(self) -> u16 {
                match self { $(Reason::$name => $status,)* }
            }

            /// Returns the title that a person reads.
            pub const fn title(self) -> &'static str {
                match self { $(Reason::$name => $title,)* }
            }
        }
    };
}

reasons! {
    /// The bytes are not an HTTP request that the daemon takes.
    BadRequest = "bad_request", 400, "The request could not be read";
    /// The body is not the JSON that the interface asks for.
    BadBody = "bad_body", 400, "The body could not be read";
    /// The head is longer than the daemon takes.
    HeadTooLarge = "head_too_large", 431, "The head is too large";
    /// The body is longer than the daemon takes.
    BodyTooLarge = "body_too_large", 413, "The body is too large";
    /// The sender was slower than the daemon waits.
    SlowSender = "slow_sender", 408, "The request came too slowly";
    /// The key is missing or names no caller.
    UnknownCaller = "unknown_caller", 401, "The key names no caller";
    /// The caller may not use the service.
    NotPermitted = "not_permitted", 403, "The caller may not use the service";
    /// No service or adapter has this name.
    UnknownService = "unknown_service", 404, "No service has this name";
    /// The path or method is not offered.
    UnknownRoute = "unknown_route", 404, "No such route";
    /// The service needs a key for each request and the request has none.
    KeyRequired = "idempotency_key_required", 400, "The service needs an Idempotency-Key";
    /// The key was used with another body.
    KeyReused = "idempotency_key_reused", 422, "The Idempotency-Key was used with another request";
    /// The first request with this key has no recorded answer yet.
    KeyInUse = "idempotency_key_in_use", 409, "The first request with this key is not settled";
    /// The caller has more requests in flight, or faster, than its limit.
    CallerLimit = "caller_limit", 429, "The caller is over its limit";
    /// The waiting queue can't serve the request before its deadline.
    Overloaded = "overloaded", 503, "The queue can't serve the request in time";
    /// The deadline passed.
    DeadlinePassed = "deadline_passed", 504, "The deadline passed";
    /// No target may serve the request now.
    NoTarget = "no_target", 503, "No target can serve the request now";
    /// No replica could be loaded within what the operators decided.
    NoCapacity = "no_capacity", 503, "No capacity is left for the service";
    /// The table service does not answer and the request needs it.
    StoreUnavailable = "store_unavailable", 503, "The platform's store does not answer";
    /// The daemon has no configuration yet.
    NoConfiguration = "no_configuration", 503, "The daemon has no configuration yet";
    /// The daemon is shutting down.
    ShuttingDown = "shutting_down", 503, "The daemon is shutting down";
    /// The daemon has as many connections as it takes.
    TooManyConnections = "too_many_connections", 503, "The daemon has too many connections";
    /// The target broke off or sent nonsense.
    TargetFailed = "target_failed", 502, "The target did not give a whole answer";
    /// The caller's connection closed.
    CallerLeft = "caller_left", 499, "The caller left";
}

/// A typed refusal, final for this request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// When to come back; `None` if coming back unchanged can't help.
    pub retry_after: Option<Duration>,
    /// More for a person to read.
    pub detail: String,
}

impl Refusal {
    /// Makes a refusal of a request that was not run and that need not come back unchanged.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Makes a refusal of a request that was not run and may come back after `retry_after`.
    pub fn later(reason: Reason, retry_after: Duration, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: Some(retry_after),
            detail: detail.into(),
        }
    }

    /// Makes a refusal of a request that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None, detail: detail.into() }
    }

    /// Returns whole seconds for a `Retry-After` header, at least one.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after.map(|d| d.as_millis().div_ceil(1000).max(1) as u64)
    }
}
