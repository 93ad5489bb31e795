//! Limits of each caller, and at most one run for each idempotency key.

use std::{collections::HashMap, sync::Mutex, time::Duration};

use tansyknot_config::object::{Caller, CallerLimits};
use tansyknot_config::store;
use tansyknot_control::idempotency::{self, Begin, KeptAnswer, KeyHandle, KeyUse};
use tansyknot_core::{
    Error,
    clock::Time,
    name::{CallerName, Incarnation, RequestId},
    refusal::{Outcome, Reason, Refusal},
    table::Table,
};
use tansyknot_policy::{
    budget::RetryBudget,
    meter::{Meter, MeterOptions},
};

use super::identify::Identified;

/// When a caller that is over its limit of requests in flight should come back.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);
/// When a caller should come back for the answer of a request under way.
const KEY_RETRY: Duration = Duration::from_secs(2);
/// When a caller should come back while the table is away.
const STORE_RETRY: Duration = Duration::from_secs(5);

struct CallerState {
    meter: Meter,
    in_flight: u32,
    retries: RetryBudget,
}

/// What each caller has in flight at this daemon.
#[derive(Default)]
pub struct CallerGate {
    callers: Mutex<HashMap<CallerName, CallerState>>,
}

/// A request counted against its caller; dropping it ends the count.
pub struct Permit<'a> {
    gate: &'a CallerGate,
    caller: CallerName,
}

impl CallerGate {
    /// Counts a request of `caller`.
    ///
    /// # Errors
    ///
    /// Fails if the caller is over one of its limits.
    pub fn enter(&self, caller: &Caller, now: Time) -> Result<Permit<'_>, Refusal> {
        let options = meter_options(&caller.limits);
        let mut callers = self.callers.lock().expect("no holder of the lock panics");
        let state = callers.entry(caller.name.clone()).or_insert_with(|| CallerState {
            meter: Meter::new(options, now),
            in_flight: 0,
            retries: RetryBudget::default(),
        });
        state.meter.set_options(options);
        if state.in_flight >= caller.limits.in_flight {
            let detail = format!("{} requests are in flight", state.in_flight);
            return Err(Refusal::later(Reason::CallerLimit, IN_FLIGHT_RETRY, detail));
        }
        if let Err(wait) = state.meter.take(1.0, now) {
            let detail = format!("over {} requests a second", caller.limits.rate_per_s);
            return Err(Refusal::later(Reason::CallerLimit, wait, detail));
        }
        state.in_flight += 1;
        Ok(Permit { gate: self, caller: caller.name.clone() })
    }
}

impl Permit<'_> {
    /// Takes one retry from the caller's budget.
    pub fn take_retry(&self) -> bool {
        self.with(|state| state.retries.take()).unwrap_or(false)
    }

    /// Counts a success, which earns a part of a retry.
    pub fn success(&self) {
        self.with(|state| state.retries.success());
    }

    fn with<T>(&self, f: impl FnOnce(&mut CallerState) -> T) -> Option<T> {
        let mut callers = self.gate.callers.lock().expect("no holder of the lock panics");
        callers.get_mut(&self.caller).map(f)
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.with(|state| state.in_flight = state.in_flight.saturating_sub(1));
    }
}

fn meter_options(limits: &CallerLimits) -> MeterOptions {
    MeterOptions { rate_per_s: f64::from(limits.rate_per_s), burst: f64::from(limits.burst) }
}

/// What an idempotency key allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The request may be sent once.
    Run(KeyHandle),
    /// The request has run; this was its answer.
    Replay(KeptAnswer),
}

/// Takes the key of a request before its first byte leaves.
///
/// # Errors
///
/// Fails if the key was used otherwise, its request is not settled, or the table is away. This
/// request has not run in any of these cases; the first one with the key may have.
pub fn take_key(
    table: &dyn Table,
    req: &Identified,
    key: &str,
    body: &[u8],
    request: &RequestId,
    incarnation: &Incarnation,
    at_ms: u64,
) -> Result<KeyVerdict, Refusal> {
    let key_hash = store::key_hash(key);
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
        Ok(Begin::Fresh(handle)) => Ok(KeyVerdict::Run(handle)),
        Ok(Begin::Done(Some(answer))) => Ok(KeyVerdict::Replay(answer)),
        Ok(Begin::Done(None)) => Err(Refusal::unknown(
            Reason::KeyInUse,
            "the first request with this key has run; its answer was too long to keep",
        )),
        Ok(Begin::Started(first)) => Err(Refusal {
            reason: Reason::KeyInUse,
            outcome: Outcome::Unknown,
            retry_after: Some(KEY_RETRY),
            detail: format!("request {first} took this key and has no recorded answer"),
        }),
        Ok(Begin::Reused) => {
            Err(Refusal::not_run(Reason::KeyReused, "the first request had another body or path"))
        }
        Err(e) => Err(store_refusal(&e)),
    }
}

fn store_refusal(e: &Error) -> Refusal {
    Refusal::later(Reason::StoreUnavailable, STORE_RETRY, e.to_string())
}

fn request_hash(req: &Identified, body: &[u8]) -> String {
    let mut text = format!("{} {} ", req.service, req.path).into_bytes();
    text.extend_from_slice(body);
    let hash = xxhash_rust::xxh3::xxh3_128(&text);
    format!("{hash:032x}")
}
