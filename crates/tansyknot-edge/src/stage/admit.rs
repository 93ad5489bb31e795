//! Admission: the limits of each caller, and at most one execution for each idempotency key. The
//! key is claimed after the first placement, so that a request refused before it leaves no row.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use tansyknot_config::object::{Caller, CallerLimits};
use tansyknot_config::objects_in_force;
use tansyknot_control::idempotency::{self, BeginOutcome, KeyHandle, KeyUse, StoredResponse};
use tansyknot_core::{
    Error,
    clock::Time,
    name::{CallerName, Incarnation, RequestId},
    refusal::{Outcome, Reason, Refusal},
    table::Table,
};
use tansyknot_policy::{
    budget::RetryBudget,
    token_bucket::{TokenBucket, TokenBucketOptions},
};

use xxhash_rust::xxh3;

use super::identify::IdentifiedRequest;
use crate::http::body::Body;

/// The `Retry-After` for a caller over its limit of requests in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The `Retry-After` while the first request with the same idempotency key is in progress.
const KEY_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The `Retry-After` while the table service is unavailable.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(5);

struct CallerState {
    token_bucket: TokenBucket,
    in_flight: u32,
    retries: RetryBudget,
}

/// Enforces the limits of each caller at this daemon.
#[derive(Default)]
pub struct CallerGate {
    callers: Mutex<HashMap<CallerName, CallerState>>,
}

/// A request counted against its caller's limits. Dropping the permit removes it from the count.
pub struct Permit<'a> {
    gate: &'a CallerGate,
    caller: CallerName,
}

impl CallerGate {
    /// Counts a request of `caller` against its limits.
    ///
    /// # Errors
    ///
    /// Fails if the caller exceeds one of its limits.
    pub fn enter(&self, caller: &Caller, now: Time) -> Result<Permit<'_>, Refusal> {
        let options = token_bucket_options(&caller.limits);
        let mut callers = self.callers.lock().expect("the lock is not poisoned");
        let state = callers.entry(caller.name.clone()).or_insert_with(|| CallerState {
            token_bucket: TokenBucket::new(options, now),
            in_flight: 0,
            retries: RetryBudget::default(),
        });
        state.token_bucket.set_options(options);
        if state.in_flight >= caller.limits.in_flight {
            let detail = format!("{} requests are in flight", state.in_flight);
            return Err(Refusal::retry_later(Reason::CallerLimit, IN_FLIGHT_RETRY_AFTER, detail));
        }
        if let Err(wait) = state.token_bucket.take(1.0, now) {
            let detail = format!("over {} requests a second", caller.limits.rate_per_s);
            return Err(Refusal::retry_later(Reason::CallerLimit, wait, detail));
        }
        state.in_flight += 1;
        Ok(Permit { gate: self, caller: caller.name.clone() })
    }
}

impl Permit<'_> {
    /// Takes one retry from the caller's retry budget. Returns whether it had one left.
    pub fn take_retry(&self) -> bool {
        self.with(|state| state.retries.take()).unwrap_or(false)
    }

    /// Counts a success, which adds a fraction of a retry to the budget.
    pub fn success(&self) {
        self.with(|state| state.retries.record_success());
    }

    fn with<T>(&self, f: impl FnOnce(&mut CallerState) -> T) -> Option<T> {
        let mut callers = self.gate.callers.lock().expect("the lock is not poisoned");
        callers.get_mut(&self.caller).map(f)
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.with(|state| state.in_flight = state.in_flight.saturating_sub(1));
    }
}

fn token_bucket_options(limits: &CallerLimits) -> TokenBucketOptions {
    TokenBucketOptions { rate_per_s: f64::from(limits.rate_per_s), burst: f64::from(limits.burst) }
}

/// The result of claiming an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The request may be sent once.
    Run(KeyHandle),
    /// The request has run before, with this response.
    Replay(StoredResponse),
}

/// Claims the idempotency key of a request before its first byte is sent.
///
/// # Errors
///
/// Fails if the key was used with another request, the outcome of its first request is not
/// recorded, or the table service is unavailable. This request has not run in any of these cases;
/// the first request with the key may have.
pub fn take_key(
    table: &dyn Table,
    req: &IdentifiedRequest,
    key: &str,
    body: &Body,
    request: &RequestId,
    incarnation: &Incarnation,
    at_ms: u64,
) -> Result<KeyVerdict, Refusal> {
    let key_hash = objects_in_force::key_hash(key);
    let request_hash = request_hash(req, body);
    let key_use = KeyUse {
        caller: &req.caller.name,
        key_hash: &key_hash,
        request_hash: &request_hash,
        request,
        incarnation,
        at_ms,
    };
    match idempotency::begin(table, &key_use) {
        Ok(BeginOutcome::Fresh(handle)) => Ok(KeyVerdict::Run(handle)),
        Ok(BeginOutcome::Done(Some(response))) => Ok(KeyVerdict::Replay(response)),
        Ok(BeginOutcome::Done(None)) => Err(Refusal::unknown(
            Reason::KeyInUse,
            "the first request with this key has run; its answer was too long to keep",
        )),
        Ok(BeginOutcome::Started(first)) => Err(Refusal {
            reason: Reason::KeyInUse,
            outcome: Outcome::Unknown,
            retry_after: Some(KEY_RETRY_AFTER),
            detail: format!("request {first} took this key and has no recorded answer"),
        }),
        Ok(BeginOutcome::Reused) => {
            Err(Refusal::not_run(Reason::KeyReused, "the first request had another body or path"))
        }
        Err(e) => Err(store_refusal(&e)),
    }
}

fn store_refusal(e: &Error) -> Refusal {
    Refusal::retry_later(Reason::StoreUnavailable, STORE_RETRY_AFTER, e.to_string())
}

fn request_hash(req: &IdentifiedRequest, body: &Body) -> String {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(format!("{} {} ", req.service, req.path).as_bytes());
    body.parts().for_each(|part| hasher.update(part));
    format!("{:032x}", hasher.digest128())
}
