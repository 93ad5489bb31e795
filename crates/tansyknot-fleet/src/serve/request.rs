//! State of one request while it is served, its time limits, and its outcomes.

use std::{
    cell::OnceCell, fmt::Write as _, ops::RangeInclusive, rc::Rc, sync::Arc, time::Duration,
};

use tansyknot_core::{
    clock::BootInstant,
    metric,
    name::{ServiceName, TargetName},
};
use tansyknot_http::{respond::ConnectionAction, server::Request};

use super::{
    access::{Cost, Identity},
    permit::OpenPermitRequest,
};
use crate::{
    backpressure::pending::Permit,
    catalog::Route,
    exchange::{BodyEnd, Failure},
    fleet::{CacheNeed, PromptPrefix, TargetRequirements},
    platform_api::RequestParams,
    poison::key::RequestSuspects,
    residency::ZoneSet,
    response_buffers::Reservation,
    response_relay::{CallerConnection, EventRelay, TargetResponse},
    stream_origin::Origin,
    target::Target,
};

/// A request is given up this long before its deadline, so that the response arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// Callers close a stream after at least this long without an event.
const MIN_CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Callers wait this multiple of the route's objective, if that is longer.
const CALLER_IDLE_OBJECTIVES: u32 = 4;
/// Callers wait this multiple of the route's gap objective, if that is longer.
const CALLER_IDLE_GAPS: u32 = 8;
/// Time reserved before the caller closes the stream, in which the target produces its first event.
const FIRST_EVENT_MARGIN: Duration = Duration::from_millis(100);
/// `Retry-After` if no target was available in time.
const RETRY_AFTER_NO_TARGET: Duration = Duration::from_millis(500);
/// `Retry-After` if no daemon reaches the targets, in milliseconds. Such outages last seconds, and the
/// random delay spreads the retries.
const RETRY_AFTER_UNREACHABLE_MS: RangeInclusive<u64> = 500..=1500;
/// `Retry-After` if the daemon lacks what it needs to decide: its configuration, current keys or
/// quota accounts.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(300);
/// `Retry-After` during a store outage, in milliseconds. Outages last a few seconds, and requests
/// sent again before the end are refused again; the random delay spreads the retries.
const RETRY_AFTER_STORE_OUTAGE_MS: RangeInclusive<u64> = 1500..=2500;

/// Why a request ends without a full response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// The daemon is shutting down and could not finish the request in time.
    Stopping,
    /// No route matches the host and path.
    NoRoute,
    /// No route matches, but a newer configuration may have one.
    StaleConfiguration,
    /// The key belongs to no team, or the request has none.
    UnknownKey,
    /// This daemon's view of the keys is too old to decide whether the key is valid.
    StaleKeys,
    /// The team's quota is used up.
    OverQuota,
    /// The planner, which keeps the quota accounts, does not respond.
    QuotaUnknown,
    /// The request, or a part of its prompt, is convicted: targets have crashed while they had it.
    PoisonRequest,
    /// All targets of the service are in drained availability zones.
    ZonesDrained,
    /// No target of the service is in a region that the request is bound to.
    RegionUnavailable,
    /// No target of the service can hold the request in its cache.
    TooLarge,
    /// It is not known which software began the stream that the request resumes.
    OriginUnknown,
    /// No target that can serve the rest of the stream runs the software that began it.
    SoftwareUnavailable,
    /// Neither this daemon nor another one reaches a target of the service.
    TargetsUnreachable,
    /// The time limit passed before a target could accept the request.
    NoTargetInTime,
    /// Targets refused the request and no further send is allowed.
    RefusedByTargets,
    /// The time limit passed while a target had the request.
    NoAnswerInTime,
    /// Targets failed the request, or the response broke off before any of it was relayed.
    TargetFailed,
    /// The stream broke off after a part of it was relayed.
    StreamBroken,
    /// The caller has left.
    CallerLeft,
    /// The caller does not read its response.
    CallerStalled,
    /// The daemon has no memory left for the response, whose target has run the request.
    NoBuffer,
}

impl Reason {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoConfiguration => "no_configuration",
            Reason::Stopping => metric::STOPPING.name,
            Reason::NoRoute => "no_route",
            Reason::StaleConfiguration => "stale_configuration",
            Reason::UnknownKey => "unknown_key",
            Reason::StaleKeys => "stale_keys",
            Reason::OverQuota => "over_quota",
            Reason::QuotaUnknown => "quota_unknown",
            Reason::PoisonRequest => metric::POISON_REQUEST.name,
            Reason::ZonesDrained => metric::ZONES_DRAINED.name,
            Reason::RegionUnavailable => metric::REGION_UNAVAILABLE.name,
            Reason::TooLarge => "too_large",
            Reason::OriginUnknown => "origin_unknown",
            Reason::SoftwareUnavailable => metric::SOFTWARE_UNAVAILABLE.name,
            Reason::TargetsUnreachable => metric::TARGETS_UNREACHABLE.name,
            Reason::NoTargetInTime => metric::NO_TARGET_IN_TIME.name,
            Reason::RefusedByTargets => metric::REFUSED_BY_TARGETS.name,
            Reason::NoAnswerInTime => metric::NO_ANSWER_IN_TIME.name,
            Reason::TargetFailed => metric::TARGET_FAILED.name,
            Reason::StreamBroken => metric::STREAM_BROKEN.name,
            Reason::CallerLeft => metric::CALLER_LEFT.name,
            Reason::CallerStalled => metric::CALLER_STALLED.name,
            Reason::NoBuffer => metric::NO_BUFFER.name,
        }
    }

    /// Returns whether callers can cause this refusal at any rate: with wrong keys, beyond a quota or
    /// with too large requests.
    pub(super) fn may_flood_logs(self) -> bool {
        matches!(self, Reason::UnknownKey | Reason::OverQuota | Reason::TooLarge)
    }

    pub(super) fn status(self) -> u16 {
        match self {
            Reason::UnknownKey => 401,
            Reason::NoRoute => 404,
            Reason::OverQuota => 429,
            Reason::NoConfiguration
            | Reason::Stopping
            | Reason::StaleConfiguration
            | Reason::StaleKeys
            | Reason::QuotaUnknown
            // The request has not run and will not: a caller whose request is rejected by mistake
            // loses only this attempt.
            | Reason::PoisonRequest
            | Reason::ZonesDrained
            | Reason::RegionUnavailable
            | Reason::TooLarge
            | Reason::OriginUnknown
            | Reason::SoftwareUnavailable
            | Reason::TargetsUnreachable
            | Reason::NoTargetInTime
            | Reason::RefusedByTargets => 503,
            Reason::NoAnswerInTime => 504,
            Reason::TargetFailed
            | Reason::StreamBroken
            | Reason::CallerLeft
            | Reason::CallerStalled
            | Reason::NoBuffer => 502,
        }
    }

    /// Returns the `Retry-After` of a request that has not run; a poison request, a request that is
    /// too large and a stream that can't go on get none.
    pub(super) fn retry_after(self, is_store_unavailable: bool) -> Option<Duration> {
        match self {
            Reason::NoConfiguration
            | Reason::StaleConfiguration
            | Reason::NoTargetInTime
            | Reason::StaleKeys
                if is_store_unavailable =>
            {
                Some(Duration::from_millis(rand::random_range(RETRY_AFTER_STORE_OUTAGE_MS)))
            }
            Reason::NoConfiguration
            | Reason::StaleConfiguration
            | Reason::StaleKeys
            | Reason::QuotaUnknown => Some(RETRY_AFTER_NOT_READY),
            Reason::TargetsUnreachable => {
                Some(Duration::from_millis(rand::random_range(RETRY_AFTER_UNREACHABLE_MS)))
            }
            Reason::Stopping => Some(Duration::ZERO),
            Reason::ZonesDrained
            | Reason::RegionUnavailable
            | Reason::NoTargetInTime
            | Reason::RefusedByTargets => Some(RETRY_AFTER_NO_TARGET),
            _ => None,
        }
    }
}

/// A refusal of a request on arrival.
pub(super) struct Refusal {
    pub(super) reason: Reason,
    /// The `Retry-After`, if it is more precise than the default of the reason.
    pub(super) retry_after: Option<Duration>,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self { reason, retry_after: None }
    }
}

/// How a request ended.
pub(super) enum Ended {
    /// A target's full response was relayed.
    Answered { status: u16, after: ConnectionAction },
    /// The request is refused; nothing has been sent to the caller yet.
    Refused(Reason),
    /// The caller's connection must be closed.
    Aborted(Reason),
}

/// The outcome of one send.
pub(super) enum SendOutcome {
    /// The response was relayed, with this status.
    Relayed(u16),
    /// The target responded with an error of its own; another attempt may succeed.
    ServerError(TargetResponse),
    /// The target did not run the request.
    NotRun(NotRun),
    /// The target may have run the request.
    MayHaveRun(Failure),
}

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotRun {
    /// The target could not be reached.
    Unreachable,
    /// The target responded that it did not run the request.
    Refused,
    /// This daemon rejected the request as convicted; nothing was sent.
    Rejected,
    /// The target's signals no longer allowed a request once the connection was open; nothing was
    /// sent.
    Withheld,
}

/// A request that is being served.
pub(super) struct ActiveRequest<'a> {
    pub(super) req: &'a Request,
    pub(super) suspects: RequestSuspects,
    /// Whether the next send is the one trial of the request, or of a part of its prompt.
    pub(super) is_trial: bool,
    pub(super) params: RequestParams,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) identity: Identity,
    /// The only zones in which the request may be served; `None` for all.
    pub(super) zones: Option<ZoneSet>,
    /// The tokens that it keeps in the cache of its target.
    pub(super) cache: CacheNeed,
    /// The software that brought the first event of its stream, once one has arrived.
    pub(super) origin: Rc<OnceCell<Origin>>,
    /// The units taken from the team's quota.
    pub(super) cost: Option<Cost>,
    pub(super) caller: CallerConnection<'a>,
    pub(super) began: BootInstant,
    pub(super) deadline: BootInstant,
    /// Whether the first send is counted in the retry budget.
    pub(super) is_first_send_counted: bool,
    pub(super) sends: u32,
    /// Sends of which a target may have received a byte; a send after one of these needs a retry
    /// from the budget.
    pub(super) transmissions: u32,
    /// Sends that a target ran or may have run.
    pub(super) runs: u32,
    /// The target for the next send, found while the last one was unresponsive.
    pub(super) next_target: Option<Arc<Target>>,
    /// The pending permit request at a target with a limit.
    pub(super) permit_request: Option<OpenPermitRequest>,
    /// The permit for a target with a limit.
    pub(super) permit: Option<Permit>,
    pub(super) may_have_run: bool,
    /// What ended the body of the last response.
    pub(super) body_end: BodyEnd,
    pub(super) tried: Vec<TargetName>,
    pub(super) relay: EventRelay,
    /// The bytes of responses that the daemon holds for it.
    pub(super) buffer: Reservation,
    /// The last error response of a target, relayed if no later send succeeds.
    pub(super) fallback: Option<TargetResponse>,
    pub(super) waited: Duration,
    /// Expected time until a load or permit that the request cannot wait for, sent as
    /// `Retry-After`.
    pub(super) retry_after: Option<Duration>,
    pub(super) trail: String,
}

impl ActiveRequest<'_> {
    pub(super) fn want(&self) -> TargetRequirements<'_> {
        TargetRequirements {
            service: &self.service,
            model: self.params.model.as_ref(),
            adapter: self.params.adapter.as_ref(),
            prefix: self.prefix(),
            zones: self.zones.as_ref(),
            cache: self.cache,
            origin: self.origin.get(),
        }
    }

    fn prefix(&self) -> Option<PromptPrefix> {
        let parts = &self.params.shared_parts;
        let tokens = parts.iter().map(|part| part.tokens).sum();
        parts.last().map(|part| PromptPrefix { id: part.id, tokens })
    }

    pub(super) fn note(&mut self, text: std::fmt::Arguments<'_>) {
        let at = self.began.elapsed().as_millis();
        // Writing to a `String` cannot fail.
        let _ = write!(self.trail, "{at}:{text};");
    }

    pub(super) fn is_repeatable(&self) -> bool {
        self.route.repeatability.allows_retry()
    }

    pub(super) fn may_run_again(&self) -> bool {
        self.is_repeatable() && self.runs < self.route.max_attempts && !self.relay.lacks_id.get()
    }

    pub(super) fn give_up_at(&self) -> BootInstant {
        self.deadline.checked_sub(RESPONSE_MARGIN).unwrap_or(self.deadline)
    }

    /// Returns the time by which a target must have accepted the request: callers close an idle
    /// stream before its deadline.
    pub(super) fn target_deadline(&self) -> BootInstant {
        if !self.route.repeatability.is_stream() {
            return self.give_up_at();
        }
        let gap = self.route.gap_objective.unwrap_or(Duration::ZERO);
        let idle_timeout = MIN_CALLER_IDLE_TIMEOUT
            .max(self.route.objective * CALLER_IDLE_OBJECTIVES)
            .max(gap * CALLER_IDLE_GAPS)
            .saturating_sub(FIRST_EVENT_MARGIN);
        self.give_up_at().min(self.last_activity() + idle_timeout)
    }

    /// Returns the time of the last event sent to the caller, or else the arrival of the request.
    pub(super) fn last_activity(&self) -> BootInstant {
        self.relay.last_at.unwrap_or(self.began)
    }
}
