//! One request on its way, how long it may wait, and how it ends.

use std::{fmt::Write as _, ops::RangeInclusive, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::BootInstant,
    metric,
    name::{ServiceName, TargetName},
};
use tansyknot_http::{
    respond::{After, Whole},
    server::Request,
};

use super::{
    access::{Asker, Cost},
    permit::Asking,
};
use crate::{
    backpressure::pending::Permit,
    catalog::Route,
    exchange::Failure,
    fleet::{Prefix, Want},
    outside::Ask,
    poison::key::RequestKey,
    relay::{CallerSide, EventRelay},
    target::Target,
};

/// A request is given up this long before its time is over, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Callers leave a stream that is silent this long at least.
const LEAVE_LEAST: Duration = Duration::from_secs(2);
/// They leave a stream after this many times its objective, if that is longer.
const LEAVE_OBJECTIVES: u32 = 4;
/// They leave a stream after this many times its gap objective, if that is longer.
const LEAVE_GAPS: u32 = 8;
/// Kept back from the time after which a caller leaves: a first event has to be made.
const LEAVE_MARGIN: Duration = Duration::from_millis(100);
/// When to come back if no target was free in time.
const RETRY_LATER: Duration = Duration::from_millis(500);
/// When to come back to a daemon that has no configuration yet.
const RETRY_START: Duration = Duration::from_millis(300);
/// When to come back while the store is away, in milliseconds: its outages last some seconds, and
/// those who come back before its return are refused again. They don't come back all at once.
const RETRY_STORE_MS: RangeInclusive<u64> = 1500..=2500;

/// Why a request ends without a target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// The daemon stops and could not finish it in time.
    Stopping,
    /// No route has this host and path.
    NoRoute,
    /// Nobody holds its key, or it has none.
    UnknownKey,
    /// This daemon can't tell whether its key holds.
    StaleKeys,
    /// Its team's quota is used up.
    OverQuota,
    /// Nobody answers who keeps the accounts of quotas.
    QuotaUnknown,
    /// Targets have crashed under it.
    PoisonRequest,
    /// Its time passed before a target could take it.
    NoTargetInTime,
    /// Targets refused it and no further send is allowed.
    RefusedByTargets,
    /// Its time passed while a target had it.
    NoAnswerInTime,
    /// Targets failed it, or its answer broke off before any of it was passed on.
    TargetFailed,
    /// Its stream broke off after a part was passed on.
    StreamBroken,
    /// The caller has left.
    CallerLeft,
}

impl Reason {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoConfiguration => "no_configuration",
            Reason::Stopping => metric::STOPPING.name,
            Reason::NoRoute => "no_route",
            Reason::UnknownKey => "unknown_key",
            Reason::StaleKeys => "stale_keys",
            Reason::OverQuota => "over_quota",
            Reason::QuotaUnknown => "quota_unknown",
            Reason::PoisonRequest => metric::POISON_REQUEST.name,
            Reason::NoTargetInTime => metric::NO_TARGET_IN_TIME.name,
            Reason::RefusedByTargets => metric::REFUSED_BY_TARGETS.name,
            Reason::NoAnswerInTime => metric::NO_ANSWER_IN_TIME.name,
            Reason::TargetFailed => metric::TARGET_FAILED.name,
            Reason::StreamBroken => metric::STREAM_BROKEN.name,
            Reason::CallerLeft => metric::CALLER_LEFT.name,
        }
    }

    /// Tells whether callers bring it about as often as they like: with wrong keys, or beyond a quota.
    pub(super) fn comes_in_floods(self) -> bool {
        matches!(self, Reason::UnknownKey | Reason::OverQuota)
    }

    pub(super) fn status(self) -> u16 {
        match self {
            Reason::UnknownKey => 401,
            Reason::NoRoute => 404,
            Reason::OverQuota => 429,
            Reason::NoConfiguration
            | Reason::Stopping
            | Reason::StaleKeys
            | Reason::QuotaUnknown
            // It has not run and won't: who is rejected by mistake loses this attempt and no more.
            | Reason::PoisonRequest
            | Reason::NoTargetInTime
            | Reason::RefusedByTargets => 503,
            Reason::NoAnswerInTime => 504,
            Reason::TargetFailed | Reason::StreamBroken | Reason::CallerLeft => 502,
        }
    }

    /// Returns when to come back, if the request has not run. A poison request is not invited.
    pub(super) fn retry_after(self, store_is_away: bool) -> Option<Duration> {
        match self {
            Reason::NoConfiguration | Reason::NoTargetInTime | Reason::StaleKeys
                if store_is_away =>
            {
                Some(Duration::from_millis(rand::random_range(RETRY_STORE_MS)))
            }
            Reason::NoConfiguration | Reason::StaleKeys | Reason::QuotaUnknown => Some(RETRY_START),
            Reason::Stopping => Some(Duration::ZERO),
            Reason::NoTargetInTime | Reason::RefusedByTargets => Some(RETRY_LATER),
            _ => None,
        }
    }
}

/// Why a request is refused on its arrival.
pub(super) struct Refused {
    pub(super) reason: Reason,
    /// When to come back, if that is known better than by the reason.
    pub(super) come_back: Option<Duration>,
}

impl From<Reason> for Refused {
    fn from(reason: Reason) -> Self {
        Self { reason, come_back: None }
    }
}

/// How a request ended.
pub(super) enum Ended {
    /// A target's whole answer was passed on.
    Answered { status: u16, after: After },
    /// It ends for this reason; nothing has been sent to the caller.
    Refused(Reason),
    /// The connection must be closed.
    Cut(Reason),
}

/// What became of one send.
pub(super) enum Sent {
    /// The answer has been passed on.
    Passed(u16),
    /// The target's own failure, whole; another run may do better.
    Failure(Whole),
    /// It was not run.
    NotRun(NotRun),
    /// It may have run.
    MayHaveRun(Failure),
}

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotRun {
    /// It could not be reached.
    Unreachable,
    /// It refused, and has told so.
    Refused,
    /// This daemon has rejected the request, and nothing was sent.
    Rejected,
    /// By its own word the target takes no request any more as the connection stands; nothing was sent.
    Withheld,
}

/// One request on its way.
pub(super) struct Run<'a> {
    pub(super) req: &'a Request,
    pub(super) key: RequestKey,
    /// Whether it goes to a target once although it is convicted.
    pub(super) is_trial: bool,
    pub(super) ask: Ask,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) asker: Asker,
    /// What was taken of its team's quota.
    pub(super) cost: Option<Cost>,
    pub(super) caller: CallerSide<'a>,
    pub(super) began: BootInstant,
    pub(super) until: BootInstant,
    /// Whether its first send is counted in the retry budget.
    pub(super) is_counted: bool,
    pub(super) sends: u32,
    /// Sends of which a target may have seen a byte: these count against the retry budget.
    pub(super) arrivals: u32,
    pub(super) runs: u32,
    /// Where it goes on after a silent target.
    pub(super) next: Option<Arc<Target>>,
    /// What it asks of a target that names a limit while it waits.
    pub(super) asking: Option<Asking>,
    /// What allows it to go there.
    pub(super) permit: Option<Permit>,
    pub(super) may_have_run: bool,
    pub(super) tried: Vec<TargetName>,
    pub(super) relay: EventRelay,
    pub(super) fallback: Option<Whole>,
    pub(super) waited: Duration,
    /// When a load should be done for which the request can't wait.
    pub(super) come_back: Option<Duration>,
    pub(super) trail: String,
}

impl Run<'_> {
    pub(super) fn want(&self) -> Want<'_> {
        Want {
            service: &self.service,
            model: self.ask.model.as_ref(),
            adapter: self.ask.adapter.as_ref(),
            prefix: self.prefix(),
        }
    }

    fn prefix(&self) -> Option<Prefix> {
        let parts = &self.ask.shared_parts;
        let tokens = parts.iter().map(|part| part.tokens).sum();
        parts.last().map(|part| Prefix { id: part.id, tokens })
    }

    pub(super) fn note(&mut self, text: std::fmt::Arguments<'_>) {
        let at = self.began.elapsed().as_millis();
        // Writing to a string does not fail.
        let _ = write!(self.trail, "{at}:{text};");
    }

    pub(super) fn is_repeatable(&self) -> bool {
        self.route.repeat.may_run_again()
    }

    pub(super) fn may_run_again(&self) -> bool {
        self.is_repeatable() && self.runs < self.route.attempts_max
    }

    pub(super) fn give_up_at(&self) -> BootInstant {
        self.until.checked_sub(ANSWER_MARGIN).unwrap_or(self.until)
    }

    /// Returns when a target must have taken the request: callers leave a silent stream early.
    pub(super) fn take_by(&self) -> BootInstant {
        if !self.route.repeat.is_stream() {
            return self.give_up_at();
        }
        let gap = self.route.gap_objective.unwrap_or(Duration::ZERO);
        let patience = LEAVE_LEAST
            .max(self.route.objective * LEAVE_OBJECTIVES)
            .max(gap * LEAVE_GAPS)
            .saturating_sub(LEAVE_MARGIN);
        self.give_up_at().min(self.last_heard() + patience)
    }

    /// Returns when the caller last had a sign of life: its stream's last event, or its request.
    pub(super) fn last_heard(&self) -> BootInstant {
        self.relay.last_at.unwrap_or(self.began)
    }
}
