//! Targets that cut off requests and may have ended.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ServiceName, TargetName},
};

use super::key::{RunKey, SuspectKey};
use crate::target::Target;

/// How long a target that cut off requests and seems to be alive stays suspect: the entry of an
/// ended target expires after three heartbeats, and the update of the list arrives up to a second
/// later.
const SUSPECT_DURATION: Duration = Duration::from_secs(6);
/// When no process listens at the address, the target's end is taken as the cause for requests that
/// were cut off within this time. A request that was cut off earlier failed for another reason, and
/// the target went on running. A target that answers others may run an abandoned request for as long.
const MAX_CUT_OFF_AGE: Duration = Duration::from_secs(2);
/// When a target is checked again, counted from its last cut-off: a listener may be closed last.
const RECHECK_DELAYS: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(400), Duration::from_millis(1500)];
/// The maximum number of suspect targets; a failing zone has fewer.
const MAX_SUSPECT_TARGETS: usize = 128;
/// The maximum number of requests and parts of prompts that are stored for each target: a target has up
/// to 64 slots, for requests with a few parts each.
const MAX_SUSPECTS: usize = 256;

/// The result of a check of a target that cut off requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// No process listens at the target's address.
    Ended,
    /// Another run has taken the target's place, or the target is no longer in the list.
    Gone,
    /// A process listens at the target's address.
    Listening,
    /// The check gave no result.
    Unknown,
}

impl Presence {
    /// Returns whether the target's run has ended.
    pub fn is_end(self) -> bool {
        matches!(self, Presence::Ended | Presence::Gone)
    }

    /// Returns the name that logs use.
    pub fn name(self) -> &'static str {
        match self {
            Presence::Ended => "ended",
            Presence::Gone => "gone",
            Presence::Listening => "listening",
            Presence::Unknown => "unknown",
        }
    }
}

/// Whether a target is to be checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckState {
    /// The caller of the method is to check it.
    Due,
    /// Another thread is checking it.
    InProgress,
    /// It is known to have ended.
    Done,
}

/// The identity of a target that may have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetIdentity {
    /// Its name.
    pub name: TargetName,
    /// The service that it serves.
    pub service: ServiceName,
    /// The address at which it listened.
    pub address: SocketAddr,
}

impl TargetIdentity {
    /// Returns the identity of a target.
    pub fn of(target: &Target) -> Self {
        let (name, service) = (target.name.clone(), target.service.clone());
        Self { name, service, address: target.address }
    }
}

/// A suspect target: it may have ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectTarget {
    /// Its run.
    pub run: RunKey,
    /// Its identity.
    pub identity: TargetIdentity,
    /// Whether it is to be checked again now.
    pub is_check_due: bool,
    /// Whether it has closed no connection early: this daemon has abandoned all of the requests.
    pub has_only_abandoned: bool,
}

/// How the connection of a request ended while the target may have been running the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The target closed it.
    CutOff,
    /// This daemon closed it, or lost the path to the target; the target may run the request on.
    Abandoned,
    /// The target closed it after a response that is complete unless the target has ended.
    Answered,
}

/// A request that a target has cut off or this daemon has abandoned, or a part of its prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspect {
    pub(super) key: SuspectKey,
    /// How long the target had the request, at least.
    pub(super) lived: Duration,
    pub(super) ending: Ending,
    pub(super) ended_at: Time,
}

impl Suspect {
    /// Returns how long the end of the target accuses the request, if that end is found like this.
    fn max_age(&self, presence: Presence) -> Duration {
        match self.ending {
            Ending::CutOff | Ending::Answered if presence == Presence::Ended => MAX_CUT_OFF_AGE,
            // The target may have been unresponsive since then: its answers would have cleared it.
            Ending::CutOff | Ending::Answered | Ending::Abandoned => SUSPECT_DURATION,
        }
    }

    /// Returns whether an answer to a request that was sent at `opened` shows that the target lived on
    /// after this one.
    fn is_cleared_by(&self, opened: Time) -> bool {
        match self.ending {
            Ending::CutOff | Ending::Answered => self.ended_at < opened,
            Ending::Abandoned => self.ended_at + MAX_CUT_OFF_AGE < opened,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct CrashCheck {
    suspects: Vec<Suspect>,
    /// Whether a request's thread is checking the target.
    is_being_checked: bool,
    /// The target's identity, set when the target is to be checked again.
    place: Option<TargetIdentity>,
    rechecks: usize,
    /// When the delays of the rechecks began.
    rechecks_since: Time,
}

impl CrashCheck {
    /// Returns when the connection of the last request ended.
    fn last_ended(&self) -> Time {
        self.suspects.iter().map(|s| s.ended_at).max().unwrap_or_default()
    }

    fn has_only_abandoned(&self) -> bool {
        self.suspects.iter().all(|s| s.ending == Ending::Abandoned)
    }

    fn restart_rechecks(&mut self, now: Time) {
        self.rechecks = 0;
        self.rechecks_since = now;
    }

    /// Returns whether the target is to be checked again, and counts that check as done.
    fn take_recheck(&mut self, now: Time) -> bool {
        let due = RECHECK_DELAYS.get(self.rechecks);
        let is_due = due.is_some_and(|after| now.since(self.rechecks_since) >= *after);
        self.rechecks += usize::from(is_due);
        is_due
    }
}

/// Requests that targets have cut off, or that this daemon has abandoned, while it is unknown whether
/// those targets have ended.
///
/// One thread checks a target for all of its requests: a crash cuts off all requests of a target at
/// once, and a target that resets hundreds of connections should not get hundreds more. A check
/// that finds a listener proves little, because a port may accept connections after the process
/// behind it has ended. So a crash check stays open until the target answers a request that was
/// sent later, or until it expires. A target may still run what was abandoned, so for such requests
/// the answer has to be to one sent some time later.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashChecks {
    open: BTreeMap<RunKey, CrashCheck>,
}

impl CrashChecks {
    /// Adds a request whose connection a target has closed; returns whether the target is to be
    /// checked.
    pub(super) fn add_closed(&mut self, run: RunKey, suspect: Suspect) -> CheckState {
        let now = suspect.ended_at;
        let check = self.push(run, suspect);
        let look = if check.is_being_checked { CheckState::InProgress } else { CheckState::Due };
        check.is_being_checked = true;
        check.restart_rechecks(now);
        look
    }

    /// Adds a request that this daemon has abandoned at a target after `lived`. The target is checked
    /// later, and at a bounded rate: callers that leave are no sign of a crash.
    pub(super) fn add_abandoned(
        &mut self,
        key: SuspectKey,
        run: RunKey,
        lived: Duration,
        place: &TargetIdentity,
        now: Time,
    ) {
        let ending = Ending::Abandoned;
        let check = self.push(run, Suspect { key, lived, ending, ended_at: now });
        check.place.get_or_insert_with(|| place.clone());
        let has_rechecks_left = check.rechecks < RECHECK_DELAYS.len();
        if check.rechecks_since == Time::default() || !has_rechecks_left {
            check.restart_rechecks(now);
        }
    }

    fn push(&mut self, run: RunKey, suspect: Suspect) -> &mut CrashCheck {
        self.expire(suspect.ended_at);
        let check = self.open.entry(run).or_default();
        if check.suspects.len() >= MAX_SUSPECTS {
            check.suspects.remove(0);
        }
        check.suspects.push(suspect);
        check
    }

    /// Returns whether a target is suspect.
    pub(super) fn is_suspect(&self, run: RunKey) -> bool {
        self.open.contains_key(&run)
    }

    /// Returns whether a request's thread is checking a target.
    pub(super) fn is_being_checked(&self, run: RunKey) -> bool {
        self.open.get(&run).is_some_and(|check| check.is_being_checked)
    }

    /// Ends the crash check of a target that has ended; returns the requests that its end may have
    /// cut off.
    pub(super) fn confirm_end(
        &mut self,
        run: RunKey,
        presence: Presence,
        now: Time,
    ) -> Vec<Suspect> {
        let mut suspects = self.open.remove(&run).map_or_else(Vec::new, |check| check.suspects);
        suspects.retain(|s| now.since(s.ended_at) < s.max_age(presence));
        suspects
    }

    /// Removes the abandoned requests that the end of a target accuses, which another daemon has
    /// reported, and returns them. What the target has cut off is left to this daemon's own check.
    pub(super) fn take_abandoned(&mut self, run: RunKey, now: Time) -> Vec<Suspect> {
        let Some(check) = self.open.get_mut(&run) else { return Vec::new() };
        let abandoned = check.suspects.extract_if(.., |s| s.ending == Ending::Abandoned);
        abandoned.filter(|s| now.since(s.ended_at) < SUSPECT_DURATION).collect()
    }

    /// Discards the crash check of a target.
    pub(super) fn discard(&mut self, run: RunKey) {
        self.open.remove(&run);
    }

    /// Records that a check has not shown the end of a target.
    pub(super) fn finish_check(&mut self, run: RunKey) {
        if let Some(check) = self.open.get_mut(&run) {
            check.is_being_checked = false;
        }
    }

    /// Sets the identity of a target that is to be checked again.
    pub(super) fn set_target(&mut self, run: RunKey, place: TargetIdentity) {
        if let Some(check) = self.open.get_mut(&run) {
            check.place = Some(place);
        }
    }

    /// Records that a target has answered a request that was sent at `opened`: it was alive then.
    /// Returns the earlier requests to which it has given complete responses.
    pub(super) fn record_answer(&mut self, run: RunKey, opened: Time) -> Vec<SuspectKey> {
        let Some(check) = self.open.get_mut(&run) else { return Vec::new() };
        let cleared = check.suspects.extract_if(.., |s| s.is_cleared_by(opened));
        let answered = cleared.filter(|s| s.ending == Ending::Answered).map(|s| s.key).collect();
        if check.suspects.is_empty() && !check.is_being_checked {
            self.open.remove(&run);
        }
        answered
    }

    /// Returns whether there are targets to check again.
    pub(super) fn has_rechecks(&self) -> bool {
        self.open.values().any(|check| check.place.is_some())
    }

    /// Returns the targets that are still suspect after a first check.
    pub(super) fn suspect_targets(&mut self, now: Time) -> Vec<SuspectTarget> {
        self.expire(now);
        let unchecked = self.open.iter_mut().filter(|(_, check)| !check.is_being_checked);
        let suspect_target = |(run, check): (&RunKey, &mut CrashCheck)| {
            let identity = check.place.clone()?;
            let has_only_abandoned = check.has_only_abandoned();
            let is_check_due = check.take_recheck(now);
            Some(SuspectTarget { run: *run, identity, is_check_due, has_only_abandoned })
        };
        unchecked.filter_map(suspect_target).collect()
    }

    /// Removes crash checks that have expired, and the oldest ones if there are too many.
    fn expire(&mut self, now: Time) {
        self.open.retain(|_, d| d.is_being_checked || now.since(d.last_ended()) < SUSPECT_DURATION);
        while self.open.len() >= MAX_SUSPECT_TARGETS {
            let unchecked = self.open.iter().filter(|(_, d)| !d.is_being_checked);
            let first = unchecked.min_by_key(|(_, d)| (!d.has_only_abandoned(), d.last_ended()));
            let Some(oldest) = first.map(|(run, _)| *run) else { return };
            self.open.remove(&oldest);
        }
    }
}
