//! Who the planner is: a row of the store that its holder renews, and which targets it may order.
//!
//! The row is only ever changed by compare-and-swap. A holder trusts a renewal for [`VALID`] from
//! the moment it was sent, by its own monotonic clock, and sends orders only to targets that the
//! row names. Another daemon takes the row after it has stood unchanged for [`TAKE_AFTER`], which
//! is longer. It may order at once whatever the row did not name, as nobody has ordered that for
//! the platform's span between two holders; what the row named has to wait for that span, counted
//! from the latest moment at which the holder before could have ordered it.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::{clock::Time, name::TargetName};

use crate::outside::PeerAddress;

/// How long a renewal is good for, from the moment it was sent.
pub const VALID: Duration = Duration::from_millis(1300);
/// How long the row must have stood unchanged before another daemon takes it.
pub const TAKE_AFTER: Duration = Duration::from_millis(1500);
/// How often the holder renews.
pub const RENEW_EVERY: Duration = Duration::from_millis(500);
/// Added to the span between orders of two holders, for what the network delays.
const ORDER_MARGIN: Duration = Duration::from_millis(300);

/// Added to the rest after a holder of whom nothing is known: a write to the store may be carried
/// out seconds after it was sent.
const UNKNOWN_MARGIN: Duration = Duration::from_millis(3400);

/// Returns a span in whole milliseconds, as the row has it.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// The value of the planner's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The daemon.
    pub daemon: Arc<str>,
    /// This run of it.
    pub incarnation: Arc<str>,
    /// Where its peers reach it.
    pub address: PeerAddress,
    /// The fencing token; it rises with each change of the holder.
    pub fence: u64,
    /// Whether the holder has stopped sending orders for good.
    pub released: bool,
    /// The targets that it may order, and how long ago it last could when the row was written, in
    /// milliseconds.
    #[serde(default)]
    pub covers: BTreeMap<TargetName, u64>,
    /// Targets that an earlier holder may have ordered, and how long they rest from when the row
    /// was written, in milliseconds.
    #[serde(default)]
    pub rests: BTreeMap<TargetName, u64>,
    /// How long all targets rest from when the row was written, in milliseconds.
    #[serde(default)]
    pub all_rest: u64,
}

/// The span that must lie between the orders of two holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseOptions {
    /// The platform's bound on holders that take turns.
    pub turn: Duration,
}

impl LeaseOptions {
    /// Returns how long a target is left alone after the last order of another holder.
    fn rest(self) -> Duration {
        self.turn + ORDER_MARGIN
    }

    /// Returns how long targets are left alone after a holder of whom nothing is known: its row
    /// may have been renewed by a write that is still under way.
    pub fn unknown_rest(self) -> Duration {
        self.rest() + VALID + UNKNOWN_MARGIN
    }
}

/// What this daemon knows of the planner's row.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    seen: Option<Seen>,
    held: Option<Held>,
}

#[derive(Clone, Debug)]
struct Seen {
    holder: Holder,
    version: u64,
    /// The row has stood unchanged since then, or longer.
    since: Time,
}

#[derive(Clone, Debug, Default)]
struct Held {
    fence: u64,
    renewed: Time,
    /// Targets that the row names, and the last moment at which this holder ordered them.
    covered: HashMap<TargetName, Time>,
    /// Targets of the holder before, and when they may be ordered.
    resting: HashMap<TargetName, Time>,
    /// Nothing may be ordered before this time.
    all_from: Time,
}

impl Held {
    fn is_valid(&self, now: Time) -> bool {
        now < self.renewed + VALID
    }

    fn rests(&self, target: &TargetName, now: Time) -> bool {
        now < self.opens_at(target)
    }

    fn opens_at(&self, target: &TargetName) -> Time {
        self.resting.get(target).map_or(self.all_from, |from| self.all_from.max(*from))
    }
}

/// A row that may be written now, and what becomes of it.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The version that the row must have; 0 if there must be none.
    pub expected: u64,
    /// The value to write.
    pub holder: Holder,
    held: Held,
}

impl Lease {
    /// Takes in the row as it was read at `now`.
    pub fn read(&mut self, holder: Option<Holder>, version: u64, now: Time, me: &Arc<str>) {
        let Some(holder) = holder else {
            *self = Self::default();
            return;
        };
        if holder.incarnation != *me {
            self.held = None;
        }
        let before = self.seen.as_ref().filter(|s| s.version == version);
        let since = before.map_or(now, |s| s.since);
        self.seen = Some(Seen { holder, version, since });
    }

    /// Takes in that the holder says it wrote `version` at `sent`.
    pub fn told(&mut self, fence: u64, version: u64, sent: Time) {
        let Some(seen) = self.seen.as_mut().filter(|s| s.holder.fence == fence) else { return };
        if version > seen.version {
            seen.version = version;
            seen.since = sent;
        } else if version == seen.version {
            seen.since = seen.since.min(sent);
        }
    }

    /// Returns the holder that the row names.
    pub fn holder(&self) -> Option<&Holder> {
        self.seen.as_ref().map(|s| &s.holder)
    }

    /// Returns when another daemon may take the row if it stays as it is.
    pub fn free_at(&self) -> Option<Time> {
        self.seen.as_ref().map(|s| s.since + TAKE_AFTER)
    }

    /// Tells whether this daemon wrote the row last, as far as it knows.
    pub fn is_mine(&self) -> bool {
        self.held.is_some()
    }

    /// Tells whether this daemon is the planner for now.
    pub fn is_valid(&self, now: Time) -> bool {
        self.held.as_ref().is_some_and(|h| h.is_valid(now))
    }

    /// Returns the row's version and when this daemon wrote it.
    pub fn renewed(&self) -> Option<(u64, Time)> {
        Some((self.seen.as_ref()?.version, self.held.as_ref()?.renewed))
    }

    /// Returns the claim that `me` may make now: a renewal, or the row of a holder that is gone.
    /// `targets` are those that the row is to name besides.
    pub fn claim(
        &self,
        me: &Holder,
        options: LeaseOptions,
        targets: &BTreeSet<TargetName>,
        now: Time,
    ) -> Option<Claim> {
        let (expected, mut held) = match (&self.seen, &self.held) {
            (None, _) => (0, Held { fence: 1, ..Held::default() }),
            (Some(seen), Some(held)) => (seen.version, held.clone()),
            (Some(seen), None) => (seen.version, succeed(seen, me, options, now)?),
        };
        held.renewed = now;
        held.resting.retain(|_, from| now < *from);
        held.covered.retain(|_, last| now.since(*last) < options.rest());
        held.covered.extend(targets.iter().map(|target| (target.clone(), now)));
        let holder = Holder { released: false, ..row(&held, me, now) };
        Some(Claim { expected, holder, held })
    }

    /// Takes in that a claim took effect and gave the row this version.
    pub fn written(&mut self, claim: Claim, version: u64) {
        let since = claim.held.renewed;
        self.seen = Some(Seen { holder: claim.holder, version, since });
        self.held = Some(claim.held);
    }

    /// Tells whether `target` could be ordered if the row named it.
    pub fn is_open(&self, target: &TargetName, now: Time) -> bool {
        self.opens_at(target, now).is_some_and(|at| at <= now)
    }

    /// Returns from when `target` could be ordered if the row named it, as far as that is known;
    /// `None` if this daemon is not the planner.
    pub fn opens_at(&self, target: &TargetName, now: Time) -> Option<Time> {
        let held = self.held.as_ref().filter(|h| h.is_valid(now))?;
        Some(held.opens_at(target).max(now))
    }

    /// Returns the fencing token if `target` may be ordered now.
    pub fn may_order(&self, target: &TargetName, now: Time) -> Option<u64> {
        let held = self.held.as_ref()?;
        let allowed =
            held.is_valid(now) && !held.rests(target, now) && held.covered.contains_key(target);
        allowed.then_some(held.fence)
    }

    /// Notes that `target` is ordered now.
    pub fn ordered(&mut self, target: &TargetName, now: Time) {
        if let Some(held) = &mut self.held {
            held.covered.insert(target.clone(), now);
        }
    }

    /// Returns the row that gives the lease up, and forgets that it is held.
    pub fn release(&mut self, me: &Holder, now: Time) -> Option<(u64, Holder)> {
        let held = self.held.take()?;
        let seen = self.seen.as_ref()?;
        let holder = Holder { released: true, ..row(&held, me, now) };
        Some((seen.version, holder))
    }
}

/// What `me` holds when it takes the row of another holder now; `None` if it may not yet.
fn succeed(seen: &Seen, me: &Holder, options: LeaseOptions, now: Time) -> Option<Held> {
    let before = &seen.holder;
    let same_host = before.daemon == me.daemon && before.address.ip() == me.address.ip();
    let is_free = same_host || before.released || now.since(seen.since) >= TAKE_AFTER;
    if !is_free {
        return None;
    }
    let mut held = Held { fence: before.fence + 1, ..Held::default() };
    // The row was written before it was seen, so these end too late rather than too early.
    held.all_from = seen.since + Duration::from_millis(before.all_rest);
    for (target, rest) in &before.rests {
        held.resting.insert(target.clone(), seen.since + Duration::from_millis(*rest));
    }
    for (target, idle) in &before.covers {
        if same_host {
            // An earlier run on this host has ended, and both count as one holder; whoever comes
            // next has to leave alone what that run ordered.
            held.covered.insert(target.clone(), now);
            continue;
        }
        let from = if before.released {
            now + options.rest().saturating_sub(Duration::from_millis(*idle))
        } else {
            seen.since + VALID + options.rest()
        };
        let entry = held.resting.entry(target.clone()).or_default();
        *entry = (*entry).max(from);
    }
    Some(held)
}

/// Returns the row that tells what `me` holds.
fn row(held: &Held, me: &Holder, now: Time) -> Holder {
    let idle = |(target, last): (&TargetName, &Time)| (target.clone(), millis(now.since(*last)));
    let rest = |(target, from): (&TargetName, &Time)| (target.clone(), millis(from.since(now)));
    Holder {
        fence: held.fence,
        covers: held.covered.iter().map(idle).collect(),
        rests: held.resting.iter().map(rest).collect(),
        all_rest: millis(held.all_from.since(now)),
        ..me.clone()
    }
}
