//! Maintains the planner's lease: renews it, monitors its holder, and takes it over when the holder
//! is gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tansyknot_core::{clock::Time, event, name::TargetName};

use crate::{
    backoff::Backoff,
    lease::{
        self, Claim, HolderMessage, Lease, LeaseHolder, LeaseOptions, RENEW_INTERVAL,
        promise::{MAX_SILENCE, Promise},
    },
    platform_api::{PeerAddress, RowName, Store, StoreRow, WriteOutcome},
    state::State,
    store_version,
    stream_origin::history::SoleVersions,
};

/// A daemon reads the lease row once it has received no message from the planner for this long.
const PLANNER_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between reads of the row while the planner is unresponsive.
const ROW_POLL_INTERVAL: Duration = Duration::from_millis(350);
/// Delay between one daemon's first read of the row and the next daemon's once the planner is
/// unresponsive. A read takes about 4 ms, and the daemon that finds the row free takes it over and
/// informs all others within one heartbeat interval.
const ROW_POLL_STAGGER: Duration = Duration::from_millis(100);
/// Upper bound of the sum of these delays: the daemons ahead of this one may all be unable to read
/// the row.
const MAX_ROW_POLL_STAGGER: Duration = Duration::from_secs(3);
/// Maximum delay between calls while the store does not respond.
const MAX_STORE_BACKOFF: Duration = Duration::from_millis(1000);
/// Maximum interval between checks for the planner's last message.
const PLANNER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Initial delay before a failed renewal is retried.
const MIN_RENEWAL_BACKOFF: Duration = Duration::from_millis(150);

/// The lease and the last status of the planner, shared by this daemon's threads.
#[derive(Debug, Default)]
pub struct SharedLease {
    lease: Mutex<Lease>,
    last_message: Mutex<Option<LastMessage>>,
}

/// The last message of a planner, and when it arrived.
#[derive(Clone, Debug)]
struct LastMessage {
    status: PlannerStatus,
    at: Time,
}

/// The status that a planner publishes of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerStatus {
    /// Its fencing token.
    pub fence: u64,
    /// Its name.
    pub daemon: Arc<str>,
    /// The address to which daemons report demand.
    pub address: PeerAddress,
    /// The version of the row after its last write.
    pub version: u64,
    /// When it sent that write.
    pub sent: Time,
    /// The time of this status in microseconds of the planner's clock, if its row says that it
    /// extends its lease.
    pub stamp_us: Option<u64>,
    /// Whether its last renewal had lapsed at that time.
    pub has_lapsed: bool,
}

impl SharedLease {
    fn lease(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().expect("no holder of the lock panics")
    }

    /// Returns the fencing token if this daemon may send orders to `target` now.
    pub fn may_order(&self, target: &TargetName, now: Time) -> Option<u64> {
        self.lease().may_order(target, now)
    }

    /// Returns whether this daemon is the planner and the cooldown of `target` is over.
    pub fn is_cooldown_over(&self, target: &TargetName, now: Time) -> bool {
        self.lease().is_cooldown_over(target, now)
    }

    /// Returns when the cooldown of `target` ends; `None` if this daemon is not the planner.
    pub fn cooldown_end(&self, target: &TargetName, now: Time) -> Option<Time> {
        self.lease().cooldown_end(target, now)
    }

    /// Records that this daemon sends an order to `target` now.
    pub fn record_order(&self, target: &TargetName, now: Time) {
        self.lease().record_order(target, now);
    }

    /// Returns whether this daemon holds a valid lease at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        self.lease().is_valid(now)
    }

    /// Returns the row's version and when this daemon sent its last renewal; `None` if it does not
    /// hold the lease.
    pub fn last_renewal(&self) -> Option<(u64, Time)> {
        self.lease().renewed()
    }

    /// Returns whether this daemon wrote the row last, according to its own view.
    pub fn is_mine(&self) -> bool {
        self.lease().is_mine()
    }

    fn last_message(&self) -> MutexGuard<'_, Option<LastMessage>> {
        self.last_message.lock().expect("no holder of the lock panics")
    }

    /// Returns the name and address of the newest known planner: the one that the row names, or one
    /// that has taken the row over since this daemon last read it.
    pub fn planner(&self) -> Option<(Arc<str>, PeerAddress)> {
        let row = self.row_fence();
        let newer = self
            .last_message()
            .as_ref()
            .map(|m| m.status.clone())
            .filter(|status| status.fence > row);
        if let Some(status) = newer {
            return Some((status.daemon, status.address));
        }
        let lease = self.lease();
        lease.holder().map(|h| (Arc::clone(&h.daemon), h.address))
    }

    /// Returns the fencing token of the newest known planner.
    pub fn fence(&self) -> u64 {
        let received = self.last_message().as_ref().map_or(0, |m| m.status.fence);
        received.max(self.row_fence())
    }

    /// Returns the fencing token of the row.
    fn row_fence(&self) -> u64 {
        self.lease().holder().map_or(0, |h| h.fence)
    }

    /// Records a message of a planner; returns whether that is the newest known planner.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn record_message(&self, status: PlannerStatus, now: Time) -> bool {
        let mut last = self.last_message();
        let is_older = last.as_ref().is_some_and(|m| m.status.fence > status.fence);
        if is_older || status.fence < self.row_fence() {
            return false;
        }
        let mut lease = self.lease();
        lease.record_fence(status.fence);
        lease.record_renewal(status.fence, status.version, status.sent);
        drop(lease);
        *last = Some(LastMessage { status, at: now });
        true
    }

    /// Applies the planner's last status to the view of the row, which has been read since the
    /// status arrived.
    fn reapply_status(&self) {
        if let Some(LastMessage { status, .. }) = self.last_message().as_ref() {
            self.lease().record_renewal(status.fence, status.version, status.sent);
        }
    }

    /// Returns the time since the last message of the newest known planner; `None` if it has sent
    /// none.
    ///
    /// # Panics
    ///
    /// Panics if the lock is poisoned.
    pub fn time_since_message(&self, now: Time) -> Option<Duration> {
        let (fence, at) = self.last_message().as_ref().map(|m| (m.status.fence, m.at))?;
        (fence >= self.row_fence()).then(|| now.since(at))
    }

    /// Returns when another daemon may take the row over if it stays unchanged.
    fn free_from(&self) -> Option<Time> {
        self.lease().free_from()
    }

    /// Returns whether this daemon is the planner only by the promises of its followers.
    pub fn is_extended(&self, now: Time) -> bool {
        self.lease().is_extended(now)
    }

    /// Returns the stamp of a message that this daemon sends as the planner now, in microseconds;
    /// `None` if its row does not say that it extends its lease.
    pub fn stamp_us(&self, now: Time) -> Option<u64> {
        self.lease().extends().then(|| now.as_micros())
    }

    /// Makes a promise to the planner, if it asks for promises, has sent a message recently, and
    /// this daemon can keep one.
    pub fn promise(&self, now: Time) -> Option<Promise> {
        let last = self.last_message();
        let LastMessage { status, at } = last.as_ref()?;
        let stamp_us = status.stamp_us.filter(|_| now.since(*at) < MAX_SILENCE)?;
        let (fence, has_lapsed) = (status.fence, status.has_lapsed);
        self.lease().promise(&HolderMessage { fence, stamp_us, has_lapsed, heard_at: *at }, now)
    }

    /// Records a message of a follower, and its promise if it makes one; returns whether the
    /// promise is to be acknowledged.
    pub fn record_promise(
        &self,
        daemon: &Arc<str>,
        incarnation: &Arc<str>,
        promise: Option<Promise>,
    ) -> bool {
        self.lease().record_promise(daemon, incarnation, promise)
    }

    /// Records that a follower takes the row over no more.
    pub fn record_retirement(&self, daemon: &str) {
        self.lease().record_retirement(daemon);
    }

    /// Records that the planner with `fence` has received a promise of this daemon.
    pub fn record_acknowledgement(&self, fence: u64) {
        self.lease().record_acknowledgement(fence);
    }

    /// Returns whether this daemon takes the row over no more.
    pub fn is_retired(&self, now: Time) -> bool {
        self.lease().is_retired(now)
    }
}

/// Whether a daemon leaves the lease to others where possible: a planner needs a fast link and
/// processor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reluctance {
    /// The daemon takes the lease over as soon as it is free.
    #[default]
    None,
    /// The daemon takes the lease over only if no other daemon has done so for a while.
    Reluctant,
}

/// How long a reluctant daemon leaves a free lease to others: time for one of them to read the row and
/// claim it, also while the store is slow.
const RELUCTANT_DELAY: Duration = Duration::from_millis(2000);

/// A daemon that has reached no engine by itself for this long, while another one does, is not the
/// planner: the next one may send orders after about 1 s, and to most targets after their cooldown.
const YIELD_AFTER: Duration = Duration::from_millis(1000);

/// Maintains the lease for one daemon.
pub struct LeaseKeeper {
    state: Arc<State>,
    store: Arc<dyn Store>,
    shared: Arc<SharedLease>,
    me: LeaseHolder,
    options: LeaseOptions,
    reluctance: Reluctance,
    /// Since when the lease has been free.
    free_since: Mutex<Option<Time>>,
    /// Backoff between failed renewals.
    renewal_backoff: Mutex<Backoff>,
    /// Backoff between failed reads of the row.
    poll_backoff: Mutex<Backoff>,
    /// Held while the row is read or written, so that this daemon makes one call for it at a time.
    row_access: Mutex<()>,
    /// Targets that the next write of the row adds.
    added_targets: Mutex<BTreeSet<TargetName>>,
}

impl LeaseKeeper {
    /// Creates a keeper for the daemon that `me` describes.
    pub fn new(
        state: Arc<State>,
        store: Arc<dyn Store>,
        shared: Arc<SharedLease>,
        me: LeaseHolder,
        options: LeaseOptions,
        reluctance: Reluctance,
    ) -> Self {
        Self {
            state,
            store,
            shared,
            me,
            options,
            reluctance,
            free_since: Mutex::default(),
            renewal_backoff: Mutex::new(Backoff::new(MIN_RENEWAL_BACKOFF, MAX_STORE_BACKOFF)),
            poll_backoff: Mutex::new(Backoff::new(ROW_POLL_INTERVAL, MAX_STORE_BACKOFF)),
            row_access: Mutex::default(),
            added_targets: Mutex::default(),
        }
    }

    /// Renews, reads or takes over the row, whichever is due; returns the delay before the next
    /// step.
    pub fn step(&self) -> Duration {
        let now = self.state.now();
        if !self.shared.is_mine()
            && let Some(left) = self.poll_due_in(now)
        {
            return left.min(PLANNER_CHECK_INTERVAL);
        }
        let is_cut_off = self.is_cut_off(now);
        if is_cut_off && self.shared.is_mine() && !self.shared.is_extended(now) {
            self.yield_lease();
            return ROW_POLL_INTERVAL;
        }
        let _row_access = self.row_access();
        if self.shared.is_mine() {
            // A holder whose lease has lapsed may have been replaced, and the store may have come back
            // from a copy and given the row's version to another holder.
            let has_read = self.shared.is_valid(now) || self.poll_row();
            let renewed = has_read && self.shared.is_mine() && self.claim();
            return pause(&self.renewal_backoff, renewed, RENEW_INTERVAL);
        }
        let has_responded = self.poll_row();
        let pause = pause(&self.poll_backoff, has_responded, self.next_poll_delay(now));
        if !has_responded {
            return pause;
        }
        if !is_cut_off && self.is_willing_to_take_over() {
            self.claim();
        }
        if self.shared.is_mine() { RENEW_INTERVAL } else { pause }
    }

    /// Returns how long this daemon need not read the row, because the planner is responsive or
    /// other daemons are to read the row first; `None` if the read is due now.
    fn poll_due_in(&self, now: Time) -> Option<Duration> {
        let elapsed = self.shared.time_since_message(now)?;
        let before = self.state.peers().rank_of(self.me.address, now);
        let stagger = ROW_POLL_STAGGER.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX));
        let left = (PLANNER_TIMEOUT + stagger.min(MAX_ROW_POLL_STAGGER)).saturating_sub(elapsed);
        (!left.is_zero()).then_some(left)
    }

    /// Returns the delay before the next read of the row: the poll interval, or less if the row
    /// becomes free sooner.
    fn next_poll_delay(&self, now: Time) -> Duration {
        let free_in = self.shared.free_from().map(|at| at.since(now));
        free_in
            .filter(|delay| !delay.is_zero())
            .map_or(ROW_POLL_INTERVAL, |delay| delay.min(ROW_POLL_INTERVAL))
    }

    /// Returns whether this daemon takes the lease over once it is free. A reluctant daemon waits
    /// for [`RELUCTANT_DELAY`] first.
    fn is_willing_to_take_over(&self) -> bool {
        if self.reluctance == Reluctance::None {
            return true;
        }
        let now = self.state.now();
        let none = BTreeSet::new();
        let is_free = self.shared.lease().claim(&self.me, self.options, &none, now).is_some();
        let mut since = self.free_since.lock().expect("no holder of the lock panics");
        *since = is_free.then(|| since.unwrap_or(now));
        since.is_some_and(|since| now.since(since) >= RELUCTANT_DELAY)
    }

    /// Adds `target` to the row if this daemon is the planner; returns the fencing token if this
    /// daemon may then send orders to the target.
    pub fn add_target(&self, target: &TargetName) -> Option<u64> {
        let fence = self.shared.may_order(target, self.state.now());
        if fence.is_some() {
            return fence;
        }
        let now = self.state.now();
        // The row can't be written while the lease is extended.
        if !self.shared.is_cooldown_over(target, now) || self.shared.is_extended(now) {
            return None;
        }
        self.added_targets().insert(target.clone());
        let _row_access = self.row_access();
        // The write of another task may have added this target as well.
        let fence = self.shared.may_order(target, self.state.now());
        if fence.is_none() && self.shared.is_mine() {
            self.claim();
        }
        self.shared.may_order(target, self.state.now())
    }

    fn row_access(&self) -> MutexGuard<'_, ()> {
        self.row_access.lock().expect("no holder of the lock panics")
    }

    fn added_targets(&self) -> MutexGuard<'_, BTreeSet<TargetName>> {
        self.added_targets.lock().expect("no holder of the lock panics")
    }

    /// Makes the claim that this daemon may make now, if any; returns whether it succeeded.
    fn claim(&self) -> bool {
        let now = self.state.now();
        let targets = std::mem::take(&mut *self.added_targets());
        // The view of the targets is locked before the lease, as by the planner.
        let me = self.identity();
        let claim = {
            let mut lease = self.shared.lease();
            let claim = lease.claim(&me, self.options, &targets, now);
            claim.iter().for_each(|claim| lease.begin_write(claim));
            claim
        };
        claim.is_some_and(|claim| self.write(claim))
    }

    /// Returns this daemon's identity as the holder. A planner that can't reach the store can't keep
    /// quotas or confirm keys, and leaves both to a successor.
    fn identity(&self) -> LeaseHolder {
        let extends = self.me.extends && !self.state.requires_keys();
        let software = self.state.sole_versions_on_routes();
        let longest_stream_ms = lease::millis(self.state.longest_stream());
        let stream_routes = self.state.origins().routing.in_force();
        LeaseHolder { extends, software, longest_stream_ms, stream_routes, ..self.me.clone() }
    }

    /// Reads the row; returns whether the store responded.
    fn poll_row(&self) -> bool {
        let result = self.store.row(RowName::Planner);
        let now = self.state.now();
        match result {
            Ok(row) => {
                self.record_row(row, now);
                true
            }
            Err(e) => {
                log::debug!("the planner's row can't be read: {e}");
                false
            }
        }
    }

    fn record_row(&self, row: Option<StoreRow>, now: Time) {
        let before = self.shared.planner();
        let (holder, version) = match row {
            Some(row) => {
                let holder = decode(&row, self.options);
                self.inherit_software(&holder, row.version);
                (Some(holder), row.version)
            }
            None => (None, 0),
        };
        self.shared.lease().record_row(holder, version, now, &self.me.incarnation);
        self.shared.reapply_status();
        let after = self.shared.planner();
        if before != after
            && let Some((daemon, address)) = after
        {
            event::FLEET_PLANNER.emit(&[("planner", &daemon), ("address", &address)]);
        }
    }

    /// Takes over what an earlier planner knew of streams, and of the software unless the row is an older
    /// copy.
    fn inherit_software(&self, holder: &LeaseHolder, version: u64) {
        let is_current = holder.era == store_version::era(version);
        let software = if is_current { holder.software.clone() } else { SoleVersions::new() };
        self.state.fleet().inherit_software(software);
        self.state.record_longest_stream(Duration::from_millis(holder.longest_stream_ms));
        let now = self.state.now();
        self.state.origins().routing.inherit(holder.stream_routes.clone(), now);
    }

    /// Writes a claim; returns whether it succeeded.
    fn write(&self, claim: Claim) -> bool {
        let was_mine = self.shared.is_mine();
        let fence = claim.holder.fence;
        let value = encode(&claim.holder);
        let result = self.store.write_row(RowName::Planner, claim.expected_version, &value);
        let now = self.state.now();
        match result {
            Ok(WriteOutcome::Done(version)) => {
                self.shared.lease().end_takeover();
                if !was_mine {
                    event::FLEET_LEASE_TAKEN.emit(&[
                        ("fence", &claim.holder.fence),
                        ("version", &version),
                        ("resting", &claim.holder.rests.len()),
                    ]);
                }
                self.shared.lease().record_claim(claim, version);
                if !was_mine {
                    self.state.step_due.notify();
                    self.state.store_call_due.notify();
                }
                true
            }
            Ok(WriteOutcome::Conflict(row)) => {
                self.shared.lease().end_takeover();
                self.record_row(row, now);
                if was_mine && !self.shared.is_mine() {
                    event::FLEET_LEASE_LOST.emit(&[("fence", &fence)]);
                }
                false
            }
            Err(e) => {
                log::debug!("the planner's row can't be written: {e}");
                false
            }
        }
    }

    /// Returns whether this daemon has reached no engine for [`YIELD_AFTER`] while another daemon
    /// reaches targets.
    fn is_cut_off(&self, now: Time) -> bool {
        let Some(catalog) = self.state.catalog() else { return false };
        let mut engines = catalog.services.values().filter(|s| s.engine.is_some()).peekable();
        if engines.peek().is_none() {
            return false;
        }
        let names = engines.map(|s| &s.name);
        let is_cut_off = self.state.reachability().is_cut_off_for(names, YIELD_AFTER, now);
        is_cut_off && self.state.tunnel_peers().proven(now).is_some()
    }

    /// Leaves the lease to another daemon, and may take it over again later.
    fn yield_lease(&self) {
        event::FLEET_LEASE_YIELDED.emit(&[("fence", &self.shared.fence())]);
        let _row_access = self.row_access();
        let me = self.identity();
        let released = self.shared.lease().release(&me, self.state.now());
        self.write_released(released);
    }

    /// Releases the lease if this daemon holds it, so that another daemon need not wait until it
    /// expires. This daemon takes it over no more if planners extend their lease.
    pub fn release(&self) {
        let _row_access = self.row_access();
        let now = self.state.now();
        let me = self.identity();
        let released = {
            let mut lease = self.shared.lease();
            if self.me.extends {
                lease.retire();
            }
            lease.release(&me, now)
        };
        self.write_released(released);
    }

    fn write_released(&self, released: Option<(u64, LeaseHolder)>) {
        let Some((version, holder)) = released else { return };
        match self.store.write_row(RowName::Planner, version, &encode(&holder)) {
            Ok(_) => {}
            Err(e) => log::debug!("the planner's row can't be released: {e}"),
        }
    }
}

/// Returns the delay after a call: `regular` if the store responded, else the backoff.
fn pause(backoff: &Mutex<Backoff>, has_responded: bool, regular: Duration) -> Duration {
    let mut backoff = backoff.lock().expect("no holder of the lock panics");
    if has_responded {
        backoff.succeeded();
        return regular;
    }
    backoff.failed(&mut rand::rng())
}

fn encode(holder: &LeaseHolder) -> Vec<u8> {
    serde_json::to_vec(holder).expect("a holder serializes without failure")
}

/// Decodes the row; a row that cannot be decoded counts as that of an unknown holder.
///
/// The row's version serves as the unknown holder's fencing token: packed versions rise with
/// every write, and a fencing token of an era rises more slowly than its versions.
fn decode(row: &StoreRow, options: LeaseOptions) -> LeaseHolder {
    serde_json::from_slice(&row.value).unwrap_or_else(|e| {
        event::FLEET_BAD_ENTRY.emit(&[("error", &e)]);
        LeaseHolder {
            daemon: "unknown".into(),
            incarnation: "unknown".into(),
            address: (std::net::Ipv4Addr::UNSPECIFIED, 0).into(),
            fence: row.version,
            released: false,
            extends: false,
            covers: BTreeMap::new(),
            rests: BTreeMap::new(),
            // It is unknown to which targets this holder has sent orders, and until when it can.
            all_rest: lease::millis(options.unknown_holder_cooldown()),
            era: store_version::era(row.version),
            software: SoleVersions::new(),
            longest_stream_ms: 0,
            stream_routes: None,
        }
    })
}
