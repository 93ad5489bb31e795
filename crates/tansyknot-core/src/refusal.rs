//! Refusals: the errors that callers receive when a request has no full response.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request reached a target, or the target refused before it started.
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
            /// Every reason, in the order of docs/OPERATORS.md.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)*];

            /// Returns the machine-readable code.
            pub const fn code(self) -> &'static str {
                match self { $(Reason::$name => $code,)* }
            }

            /// Returns the HTTP status.
            pub const fn status(self) -> u16 {
                match self { $(Reason::$name => $status,)* }
            }

            /// Returns the human-readable title.
            pub const fn title(self) -> &'static str {
                match self { $(Reason::$name => $title,)* }
            }
        }
    };
}

reasons! {
    /// The request is not valid HTTP, or uses a feature that the daemon does not accept.
    BadRequest = "bad_request", 400, "The request could not be read";
    /// The body is not the JSON document that the interface requires.
    BadBody = "bad_body", 400, "The body could not be read";
    /// The head exceeds the size limit.
    HeadTooLarge = "head_too_large", 431, "The head is too large";
    /// The body exceeds the size limit.
    BodyTooLarge = "body_too_large", 413, "The body is too large";
    /// The request was not received before the timeout.
    SlowSender = "slow_sender", 408, "The request came too slowly";
    /// The key is missing or belongs to no caller.
    UnknownCaller = "unknown_caller", 401, "The key names no caller";
    /// The caller may not use the service.
    NotPermitted = "not_permitted", 403, "The caller may not use the service";
    /// No service or adapter has this name.
    UnknownService = "unknown_service", 404, "No service has this name";
    /// No route has this path and method.
    UnknownRoute = "unknown_route", 404, "No such route";
    /// The service requires an idempotency key and the request has none.
    KeyRequired = "idempotency_key_required", 400, "The service needs an Idempotency-Key";
    /// The idempotency key was used with another request.
    KeyReused = "idempotency_key_reused", 422, "The Idempotency-Key was used with another request";
    /// The first request with this idempotency key has no recorded response.
    KeyInUse = "idempotency_key_in_use", 409, "The first request with this key is not settled";
    /// The caller exceeds its limit of requests in flight or of requests per second.
    CallerLimit = "caller_limit", 429, "The caller is over its limit";
    /// The queue can't serve the request before its deadline.
    Overloaded = "overloaded", 503, "The queue can't serve the request in time";
    /// The deadline passed.
    DeadlinePassed = "deadline_passed", 504, "The deadline passed";
    /// No target can serve the request at present.
    NoTarget = "no_target", 503, "No target can serve the request now";
    /// No replica could be loaded within the limits that the operators set.
    NoCapacity = "no_capacity", 503, "No capacity is left for the service";
    /// The table service, which the request needs, does not respond.
    StoreUnavailable = "store_unavailable", 503, "The platform's store does not answer";
    /// The daemon has no configuration yet.
    NoConfiguration = "no_configuration", 503, "The daemon has no configuration yet";
    /// The daemon is shutting down.
    ShuttingDown = "shutting_down", 503, "The daemon is shutting down";
    /// The daemon has reached its limit of connections.
    TooManyConnections = "too_many_connections", 503, "The daemon has too many connections";
    /// The daemon has no memory left for the body of the request.
    NoMemory = "no_memory", 503, "The daemon has no memory for the request";
    /// The target closed the connection early or sent an invalid response.
    TargetFailed = "target_failed", 502, "The target did not give a whole answer";
    /// The caller's connection closed.
    CallerLeft = "caller_left", 499, "The caller left";
}

/// A typed refusal, final for this request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason of the refusal.
    pub reason: Reason,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Delay before a retry; `None` if a retry of the unchanged request can't succeed.
    pub retry_after: Option<Duration>,
    /// Human-readable details.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that was not run and should not be retried unchanged.
    pub fn not_run(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Creates a refusal of a request that was not run and may be retried after `retry_after`.
    pub fn retry_later(reason: Reason, retry_after: Duration, detail: impl Into<String>) -> Self {
        Self {
            reason,
            outcome: Outcome::NotRun,
            retry_after: Some(retry_after),
            detail: detail.into(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: Reason, detail: impl Into<String>) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None, detail: detail.into() }
    }

    /// Returns the value of the `Retry-After` header: seconds, rounded up, at least one.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after.map(|d| d.as_millis().div_ceil(1000).max(1) as u64)
    }
}
