//! Keeps the planner's lease: renews it, watches its holder, and takes it when the holder is gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tansyknot_core::{clock::Time, event, name::TargetName};

use crate::{
    backoff::Backoff,
    lease::{self, Claim, Holder, Lease, LeaseOptions, RENEW_EVERY},
    outside::{OwnRow, PeerAddress, RowName, Store, Written},
    state::State,
};

/// A planner heard of this long ago is looked for in the store.
const SILENCE: Duration = Duration::from_millis(800);
/// How often the row is read while the planner is silent.
const LOOK_EVERY: Duration = Duration::from_millis(350);
/// How much later than the one before each daemon looks for a silent planner: a reading of the row
/// takes some 4 ms, and whoever finds the row free takes it and tells all within a beat.
const LOOK_STEP: Duration = Duration::from_millis(100);
/// The longest that a daemon leaves a silent planner to others: all may have lost it but this one.
const LOOK_TURN_MOST: Duration = Duration::from_secs(3);
/// The longest pause between calls that the store does not answer.
const PAUSE_MOST: Duration = Duration::from_millis(1000);
/// How often the planner's messages are looked for.
const IDLE: Duration = Duration::from_millis(200);
/// How soon a renewal without an answer is tried again.
const RETRY: Duration = Duration::from_millis(150);

/// The lease as this daemon's threads share it.
#[derive(Debug, Default)]
pub struct SharedLease {
    lease: Mutex<Lease>,
    heard: Mutex<Option<Heard>>,
}

/// The planner that was heard last.
#[derive(Clone, Debug)]
struct Heard {
    told: Told,
    at: Time,
}

/// What a planner says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Its fencing token.
    pub fence: u64,
    /// Its name.
    pub daemon: Arc<str>,
    /// Where demand reaches it.
    pub address: PeerAddress,
    /// The version of the row that it wrote last.
    pub version: u64,
    /// When it sent that write.
    pub sent: Time,
}

impl SharedLease {
    fn lease(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().expect("no holder of the lock panics")
    }

    /// Returns the fencing token if this daemon may order `target` now.
    pub fn may_order(&self, target: &TargetName, now: Time) -> Option<u64> {
        self.lease().may_order(target, now)
    }

    /// Tells whether this daemon could order `target` if the row named it.
    pub fn is_open(&self, target: &TargetName, now: Time) -> bool {
        self.lease().is_open(target, now)
    }

    /// Returns from when this daemon could order `target`; `None` if it is not the planner.
    pub fn opens_at(&self, target: &TargetName, now: Time) -> Option<Time> {
        self.lease().opens_at(target, now)
    }

    /// Notes that this daemon orders `target` now.
    pub fn ordered(&self, target: &TargetName, now: Time) {
        self.lease().ordered(target, now);
    }

    /// Tells whether this daemon is the planner for now.
    pub fn is_valid(&self, now: Time) -> bool {
        self.lease().is_valid(now)
    }

    /// Returns the row's version and when this daemon wrote it.
    pub fn renewed(&self) -> Option<(u64, Time)> {
        self.lease().renewed()
    }

    /// Tells whether this daemon holds the lease, as far as it knows.
    pub fn is_mine(&self) -> bool {
        self.lease().is_mine()
    }

    fn heard(&self) -> MutexGuard<'_, Option<Heard>> {
        self.heard.lock().expect("no holder of the lock panics")
    }

    /// Returns the daemon and address of the newest planner known: the one that the row names, or
    /// one that has taken the row since it was read here.
    pub fn planner(&self) -> Option<(Arc<str>, PeerAddress)> {
        let row = self.row_fence();
        let heard = self.heard().as_ref().map(|h| h.told.clone()).filter(|told| told.fence > row);
        if let Some(told) = heard {
            return Some((told.daemon, told.address));
        }
        let lease = self.lease();
        lease.holder().map(|h| (Arc::clone(&h.daemon), h.address))
    }

    /// Returns the fencing token of the newest planner known.
    pub fn fence(&self) -> u64 {
        let heard = self.heard().as_ref().map_or(0, |h| h.told.fence);
        heard.max(self.row_fence())
    }

    /// Returns the fencing token that the row names.
    fn row_fence(&self) -> u64 {
        self.lease().holder().map_or(0, |h| h.fence)
    }

    /// Takes in a message of a planner; tells whether it is the newest planner known.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn hear(&self, told: Told, now: Time) -> bool {
        let mut heard = self.heard();
        let is_older = heard.as_ref().is_some_and(|h| h.told.fence > told.fence);
        if is_older || told.fence < self.row_fence() {
            return false;
        }
        self.lease().told(told.fence, told.version, told.sent);
        *heard = Some(Heard { told, at: now });
        true
    }

    /// Takes in what the last planner heard has said of the row, which has been read since.
    fn recall(&self) {
        if let Some(Heard { told, .. }) = self.heard().as_ref() {
            self.lease().told(told.fence, told.version, told.sent);
        }
    }

    /// Returns for how long the newest planner known has been silent; `None` if it was never heard.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn silent_for(&self, now: Time) -> Option<Duration> {
        let (fence, at) = self.heard().as_ref().map(|h| (h.told.fence, h.at))?;
        (fence >= self.row_fence()).then(|| now.since(at))
    }

    /// Returns when another daemon may take the row that was read last, if it stays as it is.
    fn free_at(&self) -> Option<Time> {
        self.lease().free_at()
    }
}

/// Whether a daemon leaves the lease to others if it can: a planner needs a good link and
/// processor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reluctance {
    /// It takes the lease as soon as it may.
    #[default]
    None,
    /// It takes the lease only if nobody else has for a while.
    Reluctant,
}

/// How long a reluctant daemon leaves the lease to others: a look at the row and a claim each take
/// some 0.5 s where the store takes 60 times its usual time. With 0.9 s a host of 0.12 cores and
/// 20 Mbit/s took it among 295 on such a day, whose rounds took up to 171 ms instead of 18.
const RELUCTANT_SPAN: Duration = Duration::from_millis(2000);

/// Keeps the lease for one daemon.
pub struct Keeper {
    state: Arc<State>,
    store: Arc<dyn Store>,
    shared: Arc<SharedLease>,
    me: Holder,
    options: LeaseOptions,
    reluctance: Reluctance,
    /// Since when the lease could be taken.
    free_since: Mutex<Option<Time>>,
    /// Pauses between renewals, and between looks, that the store does not answer.
    renewals: Mutex<Backoff>,
    looks: Mutex<Backoff>,
    /// Held while the row is read or written, so that this daemon does one thing at a time to it.
    calling: Mutex<()>,
    /// Targets that the next write is to name.
    wanted: Mutex<BTreeSet<TargetName>>,
}

impl Keeper {
    /// Makes a keeper for the daemon that `me` describes.
    pub fn new(
        state: Arc<State>,
        store: Arc<dyn Store>,
        shared: Arc<SharedLease>,
        me: Holder,
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
            renewals: Mutex::new(Backoff::new(RETRY, PAUSE_MOST)),
            looks: Mutex::new(Backoff::new(LOOK_EVERY, PAUSE_MOST)),
            calling: Mutex::default(),
            wanted: Mutex::default(),
        }
    }

    /// Renews, reads or takes the row, whichever is due; tells how long to pause.
    pub fn step(&self) -> Duration {
        let now = self.state.now();
        if !self.shared.is_mine()
            && let Some(left) = self.leaves_it_for(now)
        {
            return left.min(IDLE);
        }
        let _calling = self.calling();
        if self.shared.is_mine() {
            let renewed = self.claim();
            return pause(&self.renewals, renewed, RENEW_EVERY);
        }
        let answered = self.look();
        let pause = pause(&self.looks, answered, self.next_look(now));
        if !answered {
            return pause;
        }
        if self.is_willing() {
            self.claim();
        }
        if self.shared.is_mine() { RENEW_EVERY } else { pause }
    }

    /// Returns for how long this daemon need not look at the row: it hears the planner, or others
    /// look first where many have lost it. `None` if it is to look now.
    fn leaves_it_for(&self, now: Time) -> Option<Duration> {
        let silent = self.shared.silent_for(now)?;
        let before = self.state.peers().before(self.me.address, now);
        let turn = LOOK_STEP.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX));
        let left = (SILENCE + turn.min(LOOK_TURN_MOST)).saturating_sub(silent);
        (!left.is_zero()).then_some(left)
    }

    /// Returns when to look at the row again: as soon as it may be taken, if that is sooner.
    fn next_look(&self, now: Time) -> Duration {
        let free_in = self.shared.free_at().map(|at| at.since(now));
        free_in.filter(|span| !span.is_zero()).map_or(LOOK_EVERY, |span| span.min(LOOK_EVERY))
    }

    /// Tells whether this daemon takes the lease if it may.
    fn is_willing(&self) -> bool {
        if self.reluctance == Reluctance::None {
            return true;
        }
        let now = self.state.now();
        let none = BTreeSet::new();
        let may = self.shared.lease().claim(&self.me, self.options, &none, now).is_some();
        let mut since = self.free_since.lock().expect("no holder of the lock panics");
        *since = may.then(|| since.unwrap_or(now));
        since.is_some_and(|since| now.since(since) >= RELUCTANT_SPAN)
    }

    /// Has the row name `target`, if this daemon is the planner; returns the fencing token if the
    /// target may be ordered then.
    pub fn cover(&self, target: &TargetName) -> Option<u64> {
        let fence = self.shared.may_order(target, self.state.now());
        if fence.is_some() {
            return fence;
        }
        if !self.shared.is_open(target, self.state.now()) {
            return None;
        }
        self.wanted().insert(target.clone());
        let _calling = self.calling();
        // Another task's write may have named this target too.
        let fence = self.shared.may_order(target, self.state.now());
        if fence.is_none() && self.shared.is_mine() {
            self.claim();
        }
        self.shared.may_order(target, self.state.now())
    }

    fn calling(&self) -> MutexGuard<'_, ()> {
        self.calling.lock().expect("no holder of the lock panics")
    }

    fn wanted(&self) -> MutexGuard<'_, BTreeSet<TargetName>> {
        self.wanted.lock().expect("no holder of the lock panics")
    }

    /// Makes the claim that this daemon may make now; tells whether it took effect.
    fn claim(&self) -> bool {
        let now = self.state.now();
        let targets = std::mem::take(&mut *self.wanted());
        let claim = self.shared.lease().claim(&self.me, self.options, &targets, now);
        claim.is_some_and(|claim| self.write(claim))
    }

    /// Reads the row; tells whether the store answered.
    fn look(&self) -> bool {
        let result = self.store.row(RowName::Planner);
        let now = self.state.now();
        match result {
            Ok(row) => {
                self.take_in(row, now);
                true
            }
            Err(e) => {
                log::debug!("the planner's row can't be read: {e}");
                false
            }
        }
    }

    fn take_in(&self, row: Option<OwnRow>, now: Time) {
        let before = self.shared.planner();
        let (holder, version) = match row {
            Some(row) => (Some(decode(&row, self.options)), row.version),
            None => (None, 0),
        };
        self.shared.lease().read(holder, version, now, &self.me.incarnation);
        self.shared.recall();
        let after = self.shared.planner();
        if before != after
            && let Some((daemon, address)) = after
        {
            event::FLEET_PLANNER.emit(&[("planner", &daemon), ("address", &address)]);
        }
    }

    /// Writes a claim; tells whether it took effect.
    fn write(&self, claim: Claim) -> bool {
        let was_mine = self.shared.is_mine();
        let fence = claim.holder.fence;
        let value = encode(&claim.holder);
        let result = self.store.write_row(RowName::Planner, claim.expected, &value);
        let now = self.state.now();
        match result {
            Ok(Written::Done(version)) => {
                if !was_mine {
                    event::FLEET_LEASE_TAKEN.emit(&[
                        ("fence", &claim.holder.fence),
                        ("version", &version),
                        ("resting", &claim.holder.rests.len()),
                    ]);
                }
                self.shared.lease().written(claim, version);
                if !was_mine {
                    self.state.demand_changed.raise();
                    self.state.call_due.raise();
                }
                true
            }
            Ok(Written::Conflict(row)) => {
                self.take_in(row, now);
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

    /// Gives the lease up, if it is held, so that another daemon need not wait for its end.
    pub fn release(&self) {
        let _calling = self.calling();
        let now = self.state.now();
        let released = self.shared.lease().release(&self.me, now);
        let Some((version, holder)) = released else { return };
        match self.store.write_row(RowName::Planner, version, &encode(&holder)) {
            Ok(_) => {}
            Err(e) => log::debug!("the planner's row can't be released: {e}"),
        }
    }
}

/// Returns the pause after a call: `regular` if it had an answer.
fn pause(backoff: &Mutex<Backoff>, answered: bool, regular: Duration) -> Duration {
    let mut backoff = backoff.lock().expect("no holder of the lock panics");
    if answered {
        backoff.succeeded();
        return regular;
    }
    backoff.failed(&mut rand::rng())
}

fn encode(holder: &Holder) -> Vec<u8> {
    serde_json::to_vec(holder).expect("a holder serializes without failure")
}

/// Decodes the row; one that can't be read counts as that of an unknown holder.
///
/// Versions of the store rise with every write, and no token was ever above them.
fn decode(row: &OwnRow, options: LeaseOptions) -> Holder {
    serde_json::from_slice(&row.value).unwrap_or_else(|e| {
        event::FLEET_BAD_ENTRY.emit(&[("error", &e)]);
        Holder {
            daemon: "unknown".into(),
            incarnation: "unknown".into(),
            address: (std::net::Ipv4Addr::UNSPECIFIED, 0).into(),
            fence: row.version,
            released: false,
            covers: BTreeMap::new(),
            rests: BTreeMap::new(),
            // Nobody knows what it has ordered, or when it can last.
            all_rest: lease::millis(options.unknown_rest()),
        }
    })
}
