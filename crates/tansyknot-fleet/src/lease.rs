//! The planner's lease: a row of the store that the planner renews, and that names the targets to
//! which it may send orders.
//!
//! The row is only changed by compare-and-swap. A holder relies on a renewal for [`LEASE_DURATION`]
//! from the moment it was sent, by its own monotonic clock, and sends orders only to targets that
//! the row names. Another daemon takes the row over after it has stayed unchanged for
//! [`TAKEOVER_TIMEOUT`], which is longer. The new holder may send orders immediately to targets
//! that the row did not name: no holder has sent them any for the interval that the platform
//! requires between the orders of two holders. Targets that the row named have a cooldown of that
//! interval, counted from the latest moment at which the previous holder could have sent them an
//! order.
//!
//! A store that comes back from an older copy may name a former holder in the row. A holder whose lease
//! is valid writes its row again at once. Others wait as for any row that they see for the first time,
//! take the holder for an unknown one, and observe the cooldown of all targets. The fencing token
//! contains the store's era, so that no token of a lost holder is used again.
//!
//! A holder whose row says that it extends its lease continues beyond [`LEASE_DURATION`] while the
//! store does not respond, as long as all its followers promise not to take the row over (see
//! [`promise`]).

pub mod promise;
mod takeover;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::{clock::Time, name::TargetName};

use crate::{
    platform_api::PeerAddress,
    store_version,
    stream_origin::{history::SoleVersions, routing::RouteDigests},
};

use promise::{EXTENSION_LIMIT, MadePromise, PROMISE_DURATION, Promise, ReceivedPromises};

/// How long a renewal is valid, from the moment it was sent.
pub const LEASE_DURATION: Duration = Duration::from_millis(1300);
/// How long the row must have stayed unchanged before another daemon takes it over.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which the holder renews the row.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// How long a daemon has held the lease before it extends it. By then it has heard from every
/// daemon that it can reach.
const MIN_TERM_BEFORE_EXTENSION: Duration = Duration::from_secs(3);
/// How long a takeover without a response may still take effect.
const LATE_TAKEOVER_LIMIT: Duration = EXTENSION_LIMIT;
/// Added to the interval between the orders of two holders, for delays in the network.
const NETWORK_MARGIN: Duration = Duration::from_millis(300);

/// Added to the cooldown after an unknown holder: the store may execute a write seconds after it
/// was sent.
const LATE_WRITE_MARGIN: Duration = Duration::from_millis(3400);

/// Returns a duration in whole milliseconds, the unit of the row.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The value of the planner's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The name of the holding daemon.
    pub daemon: Arc<str>,
    /// The daemon's incarnation.
    pub incarnation: Arc<str>,
    /// The address at which its peers reach it.
    pub address: PeerAddress,
    /// The fencing token, which rises with each change of the holder.
    pub fence: u64,
    /// Whether the holder has stopped sending orders for good.
    pub released: bool,
    /// Whether the holder may extend its lease with the promises of its followers. A daemon's own
    /// identity has this set if it does so as the holder.
    #[serde(default)]
    pub extends: bool,
    /// The targets to which the holder may send orders. Each has the time in milliseconds, as of
    /// the writing of the row, since the holder last added it to the row or sent it an order.
    #[serde(default)]
    pub covers: BTreeMap<TargetName, u64>,
    /// Targets to which an earlier holder may have sent orders, each with its remaining cooldown in
    /// milliseconds when the row was written.
    #[serde(default)]
    pub rests: BTreeMap<TargetName, u64>,
    /// The remaining cooldown of all targets in milliseconds when the row was written.
    #[serde(default)]
    pub all_rest: u64,
    /// The era of the store in which the row was written.
    #[serde(default)]
    pub era: u64,
    /// The software of the services that run one version, as of the writing of the row. It tells
    /// daemons that start while no other is left at which software a resumed stream began.
    #[serde(default)]
    pub software: SoleVersions,
    /// The longest time in milliseconds for which any caller could resume its stream, as far as the
    /// holder knows. It tells the same daemons for how long a service must have run one version.
    #[serde(default)]
    pub longest_stream_ms: u64,
    /// The routes of streams that lead to each service; none in rows of earlier builds.
    #[serde(default)]
    pub stream_routes: Option<RouteDigests>,
}

/// The interval that must pass between the orders of two holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// The platform's minimum interval between the orders of successive holders.
    pub handover_interval: Duration,
}

impl LeaseOptions {
    /// Returns the cooldown of a target after the last order of another holder.
    fn cooldown(self) -> Duration {
        self.handover_interval + NETWORK_MARGIN
    }

    /// Returns the cooldown of all targets after an unknown holder, whose row may have been renewed
    /// by a write that is still in transit.
    pub fn unknown_holder_cooldown(self) -> Duration {
        self.cooldown() + LEASE_DURATION + LATE_WRITE_MARGIN
    }
}

/// This daemon's view of the planner's row, and the lease if this daemon holds it.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    seen: Option<ObservedRow>,
    held: Option<HeldLease>,
    /// The last promise that this daemon has made.
    made: Option<MadePromise>,
    /// The promises of this daemon's followers.
    received: ReceivedPromises,
    /// The last write that takes the row over, if its outcome is not known.
    takeover: Option<Takeover>,
    /// Whether this daemon takes the row over no more.
    is_retired: bool,
    /// The highest fencing token that this daemon knows of any holder.
    highest_fence: u64,
}

#[derive(Clone, Debug)]
struct ObservedRow {
    holder: LeaseHolder,
    version: u64,
    /// The row has stayed unchanged at least since this time.
    since: Time,
}

#[derive(Clone, Debug, Default)]
struct HeldLease {
    fence: u64,
    /// When this daemon took the row over.
    since: Time,
    renewed: Time,
    /// Whether the row says that the lease may be extended.
    extends: bool,
    /// Targets that the row names, each with the last time at which this holder added it to the row
    /// or sent it an order.
    covered: HashMap<TargetName, Time>,
    /// Targets of earlier holders, each with the end of its cooldown.
    cooldown_ends: HashMap<TargetName, Time>,
    /// End of the cooldown of all targets.
    all_cooldown_end: Time,
    /// End of the cooldown of all targets for other daemons. An earlier incarnation on this host may
    /// have sent orders to targets that its row did not name.
    others_cooldown_end: Time,
}

impl HeldLease {
    /// Returns whether the last renewal is valid.
    fn is_renewed(&self, now: Time) -> bool {
        now < self.lapses_at()
    }

    /// Returns when the last renewal stops being valid.
    fn lapses_at(&self) -> Time {
        self.renewed + LEASE_DURATION
    }

    fn is_cooling_down(&self, target: &TargetName, now: Time) -> bool {
        now < self.cooldown_end(target)
    }

    fn cooldown_end(&self, target: &TargetName) -> Time {
        self.cooldown_ends
            .get(target)
            .map_or(self.all_cooldown_end, |end| self.all_cooldown_end.max(*end))
    }
}

/// A write of the row that this daemon may make now, and the lease that it holds if the write
/// succeeds.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The version that the row must have; 0 if there must be no row.
    pub expected_version: u64,
    /// The value to write.
    pub holder: LeaseHolder,
    held: HeldLease,
}

impl Lease {
    /// Records the row as it was read at `now`.
    pub fn record_row(
        &mut self,
        holder: Option<LeaseHolder>,
        version: u64,
        now: Time,
        me: &Arc<str>,
    ) {
        let Some(holder) = holder else {
            let (is_retired, highest_fence) = (self.is_retired, self.highest_fence);
            *self = Self { is_retired, highest_fence, ..Self::default() };
            return;
        };
        self.highest_fence = self.highest_fence.max(holder.fence);
        if holder.incarnation != *me && !self.is_held_beyond(&holder, version, now) {
            self.held = None;
        }
        // A write that expected another version can't take effect any more.
        self.takeover.take_if(|t| t.expected_version != version);
        let before = self.seen.as_ref().filter(|s| s.version == version);
        let since = before.map_or(now, |s| s.since);
        self.seen = Some(ObservedRow { holder, version, since });
    }

    /// Returns whether this daemon holds a valid lease that is newer than the row, which is a copy from
    /// an earlier era.
    fn is_held_beyond(&self, holder: &LeaseHolder, version: u64, now: Time) -> bool {
        let is_newer = self.held.as_ref().is_some_and(|h| h.fence > holder.fence);
        is_newer && is_copy(holder, version) && self.is_valid(now)
    }

    /// Records a fencing token that some holder has used.
    pub fn record_fence(&mut self, fence: u64) {
        self.highest_fence = self.highest_fence.max(fence);
    }

    /// Returns a fencing token that no holder has used, for a row that is read as of `version`.
    fn next_fence(&self, version: u64) -> u64 {
        self.highest_fence.max(store_version::pack(store_version::era(version), 0)) + 1
    }

    /// Records that the holder reported that it sent its write of `version` at `sent`.
    pub fn record_renewal(&mut self, fence: u64, version: u64, sent: Time) {
        let Some(seen) = self.seen.as_mut().filter(|s| s.holder.fence == fence) else { return };
        if version > seen.version {
            seen.version = version;
            seen.since = sent;
        } else if version == seen.version {
            seen.since = seen.since.min(sent);
        }
    }

    /// Returns the holder that the row names.
    pub fn holder(&self) -> Option<&LeaseHolder> {
        self.seen.as_ref().map(|s| &s.holder)
    }

    /// Returns when another daemon may take the row over if it stays unchanged.
    pub fn free_from(&self) -> Option<Time> {
        self.seen.as_ref().map(|s| s.since + TAKEOVER_TIMEOUT)
    }

    /// Returns whether this daemon wrote the row last, according to its own view.
    pub fn is_mine(&self) -> bool {
        self.held.is_some()
    }

    /// Returns whether this daemon holds a valid lease at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        self.held.as_ref().is_some_and(|h| h.is_renewed(now)) || self.is_extended(now)
    }

    /// Returns whether this daemon holds the lease only by the promises of its followers.
    pub fn is_extended(&self, now: Time) -> bool {
        self.held.as_ref().is_some_and(|h| {
            h.extends
                && !h.is_renewed(now)
                && now < h.renewed + EXTENSION_LIMIT
                && self.received.all_hold(now)
        })
    }

    /// Returns whether the holder's last renewal lapsed before all its followers made their last
    /// promises: they know that it may send orders to targets that the row does not name.
    fn is_extension_known(&self, held: &HeldLease, now: Time) -> bool {
        self.is_extended(now) && self.received.all_count_from(held.lapses_at(), now)
    }

    /// Returns whether the row of this daemon says that it extends its lease.
    pub fn extends(&self) -> bool {
        self.held.as_ref().is_some_and(|h| h.extends)
    }

    /// Makes a promise to a holder, whose last message arrived at `message.heard_at`. Returns `None`
    /// if this daemon can't keep one.
    pub fn promise(&mut self, message: &HolderMessage, now: Time) -> Option<Promise> {
        let is_replaced = self.holder().is_some_and(|h| h.fence > message.fence);
        if self.held.is_some() || is_replaced || self.has_unresolved_takeover(now) {
            return None;
        }
        let HolderMessage { fence, stamp_us, has_lapsed, heard_at } = *message;
        let before = self.made.filter(|made| made.fence == fence);
        let until = heard_at + PROMISE_DURATION;
        let made = MadePromise {
            fence,
            until: before.map_or(until, |made| made.until.max(until)),
            unnamed_until: if has_lapsed { Some(until) } else { None }
                .max(before.and_then(|made| made.unnamed_until)),
            is_acknowledged: before.is_some_and(|made| made.is_acknowledged),
        };
        self.made = Some(made);
        Some(Promise { fence, stamp_us, needs_acknowledgement: !made.is_acknowledged })
    }

    /// Records that the holder with `fence` has received a promise of this daemon.
    pub fn record_acknowledgement(&mut self, fence: u64) {
        if let Some(made) = self.made.as_mut().filter(|made| made.fence == fence) {
            made.is_acknowledged = true;
        }
    }

    /// Records a message of a follower, and its promise if it makes one; returns whether the
    /// promise is to be acknowledged.
    pub fn record_promise(
        &mut self,
        daemon: &Arc<str>,
        incarnation: &Arc<str>,
        promise: Option<Promise>,
    ) -> bool {
        let Some(held) = &self.held else { return false };
        let promise = promise.filter(|p| p.fence == held.fence);
        let stamp = promise.map(|p| Time::from_micros(p.stamp_us));
        self.received.record(daemon, incarnation, stamp);
        promise.is_some_and(|p| p.needs_acknowledgement)
    }

    /// Records that a follower takes the row over no more.
    pub fn record_retirement(&mut self, daemon: &str) {
        self.received.remove(daemon);
    }

    /// Records that this daemon takes the row over no more.
    pub fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Returns whether this daemon takes the row over no more. A takeover without a response may
    /// still take effect.
    pub fn is_retired(&self, now: Time) -> bool {
        self.is_retired && !self.has_unresolved_takeover(now)
    }

    fn has_unresolved_takeover(&self, now: Time) -> bool {
        self.takeover.is_some_and(|t| now.since(t.sent) < LATE_TAKEOVER_LIMIT)
    }

    /// Records that this daemon sends the write of a claim. If it takes the row over, this daemon
    /// makes no promise until the outcome is known. A target that the row will no longer name gets
    /// no order from here on.
    pub fn begin_write(&mut self, claim: &Claim) {
        if let Some(held) = &mut self.held {
            held.covered.retain(|target, _| claim.held.covered.contains_key(target));
        } else {
            let (sent, expected_version) = (claim.held.renewed, claim.expected_version);
            self.takeover = Some(Takeover { sent, expected_version });
        }
    }

    /// Records that the outcome of the takeover is known.
    pub fn end_takeover(&mut self) {
        self.takeover = None;
    }

    /// Returns the row's version and when this daemon sent its last renewal; `None` if it does not
    /// hold the lease.
    pub fn renewed(&self) -> Option<(u64, Time)> {
        Some((self.seen.as_ref()?.version, self.held.as_ref()?.renewed))
    }

    /// Returns the claim that `me` may make now: a renewal, or the takeover of a free row. The row
    /// names `targets` in addition.
    pub fn claim(
        &self,
        me: &LeaseHolder,
        options: LeaseOptions,
        targets: &BTreeSet<TargetName>,
        now: Time,
    ) -> Option<Claim> {
        let (expected_version, mut held) = match (&self.seen, &self.held) {
            (None, _) => (0, self.first_lease(options, now)),
            (Some(seen), Some(held)) => (seen.version, self.renewed_lease(held, seen)),
            (Some(_), None) if self.is_retired => return None,
            (Some(seen), None) => (seen.version, self.take_over(seen, me, options, now)?),
        };
        held.extends = me.extends && now.since(held.since) >= MIN_TERM_BEFORE_EXTENSION;
        held.renewed = now;
        held.cooldown_ends.retain(|_, end| now < *end);
        held.covered.retain(|_, last| now.since(*last) < options.cooldown());
        held.covered.extend(targets.iter().map(|target| (target.clone(), now)));
        let era = store_version::era(expected_version);
        let holder = LeaseHolder { released: false, era, ..to_row(&held, me, now) };
        Some(Claim { expected_version, holder, held })
    }

    /// Returns the lease of a daemon that finds no row.
    fn first_lease(&self, options: LeaseOptions, now: Time) -> HeldLease {
        let mut held = HeldLease { fence: self.next_fence(0), since: now, ..HeldLease::default() };
        if self.highest_fence > 0 {
            // The row of an earlier holder is gone.
            held.all_cooldown_end = now + options.unknown_holder_cooldown();
        }
        held
    }

    /// Returns a held lease as it is renewed: with a new fencing token if the row is of a later era.
    fn renewed_lease(&self, held: &HeldLease, seen: &ObservedRow) -> HeldLease {
        let era_began_at = store_version::pack(store_version::era(seen.version), 0);
        let fence =
            if held.fence < era_began_at { self.next_fence(seen.version) } else { held.fence };
        HeldLease { fence, ..held.clone() }
    }

    /// Records that the write of a claim succeeded and gave the row this version.
    pub fn record_claim(&mut self, claim: Claim, version: u64) {
        let Claim { holder, mut held, .. } = claim;
        self.record_fence(held.fence);
        match self.held.take().filter(|before| before.since == held.since) {
            // Orders may have been sent while the row was written.
            Some(before) => {
                let sent = held.renewed;
                for (target, last) in before.covered.into_iter().filter(|(_, at)| *at > sent) {
                    let latest = held.covered.entry(target).or_insert(last);
                    *latest = (*latest).max(last);
                }
            }
            None => self.received = ReceivedPromises::default(),
        }
        self.seen = Some(ObservedRow { holder, version, since: held.renewed });
        self.held = Some(held);
    }

    /// Returns whether this daemon is the planner and the cooldown of `target` is over.
    pub fn is_cooldown_over(&self, target: &TargetName, now: Time) -> bool {
        self.cooldown_end(target, now).is_some_and(|at| at <= now)
    }

    /// Returns when the cooldown of `target` ends, `now` if it is over; `None` if this daemon is
    /// not the planner, or can't add the target to the row because the store does not respond.
    pub fn cooldown_end(&self, target: &TargetName, now: Time) -> Option<Time> {
        let held = self.held.as_ref()?;
        let may_add = held.is_renewed(now) || self.is_extension_known(held, now);
        let is_allowed = may_add || (self.is_extended(now) && held.covered.contains_key(target));
        is_allowed.then(|| held.cooldown_end(target).max(now))
    }

    /// Returns the fencing token if this daemon may send orders to `target` now.
    pub fn may_order(&self, target: &TargetName, now: Time) -> Option<u64> {
        let held = self.held.as_ref()?;
        let is_covered = held.covered.contains_key(target) || self.is_extension_known(held, now);
        let allowed = self.is_valid(now) && !held.is_cooling_down(target, now) && is_covered;
        allowed.then_some(held.fence)
    }

    /// Records that an order is sent to `target` now.
    pub fn record_order(&mut self, target: &TargetName, now: Time) {
        if let Some(held) = &mut self.held {
            held.covered.insert(target.clone(), now);
        }
    }

    /// Drops the lease if it is held; returns the version that the row must have and the value that
    /// releases it.
    pub fn release(&mut self, me: &LeaseHolder, now: Time) -> Option<(u64, LeaseHolder)> {
        let held = self.held.take()?;
        let seen = self.seen.as_ref()?;
        let era = store_version::era(seen.version);
        let holder = LeaseHolder { released: true, era, ..to_row(&held, me, now) };
        Some((seen.version, holder))
    }
}

/// Returns whether a row that is read as of `version` was written in an earlier era.
fn is_copy(holder: &LeaseHolder, version: u64) -> bool {
    holder.era != store_version::era(version)
}

/// A message of a holder that asks for promises.
#[derive(Clone, Copy, Debug)]
pub struct HolderMessage {
    /// The holder's fencing token.
    pub fence: u64,
    /// The time of the message in microseconds of the holder's clock.
    pub stamp_us: u64,
    /// Whether the holder's last renewal had lapsed at that time.
    pub has_lapsed: bool,
    /// When the message arrived.
    pub heard_at: Time,
}

/// A write that takes the row over.
#[derive(Clone, Copy, Debug)]
struct Takeover {
    sent: Time,
    expected_version: u64,
}

/// Returns the row that describes the lease of `me`.
fn to_row(held: &HeldLease, me: &LeaseHolder, now: Time) -> LeaseHolder {
    let idle = |(target, last): (&TargetName, &Time)| (target.clone(), millis(now.since(*last)));
    let cooldown = |(target, end): (&TargetName, &Time)| (target.clone(), millis(end.since(now)));
    LeaseHolder {
        fence: held.fence,
        covers: held.covered.iter().map(idle).collect(),
        rests: held.cooldown_ends.iter().map(cooldown).collect(),
        all_rest: millis(held.all_cooldown_end.max(held.others_cooldown_end).since(now)),
        ..me.clone()
    }
}
