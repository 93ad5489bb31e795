//! Keeps the planner's lease: renews it, watches its holder, and takes it when the holder is gone.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tansyknot_core::{clock::Time, event};

use crate::{
    lease::{Claim, Holder, Lease, LeaseOptions, RENEW_EVERY},
    outside::{LeaseRow, PeerAddress, Store, Written},
    state::State,
};

/// A planner heard of this long ago is looked for in the store.
const SILENCE: Duration = Duration::from_millis(1000);
/// How often the row is read while the planner is silent.
const LOOK_EVERY: Duration = Duration::from_millis(400);
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

#[derive(Clone, Copy, Debug)]
struct Heard {
    fence: u64,
    at: Time,
}

impl SharedLease {
    fn lease(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().expect("no holder of the lock panics")
    }

    /// Returns the fencing token if this daemon may send an order now.
    pub fn may_order(&self, now: Time) -> Option<u64> {
        self.lease().may_order(now)
    }

    /// Tells whether this daemon holds the lease, as far as it knows.
    pub fn is_mine(&self) -> bool {
        self.lease().is_mine()
    }

    /// Returns the daemon and address of the planner that the row names.
    pub fn planner(&self) -> Option<(Arc<str>, PeerAddress)> {
        let lease = self.lease();
        lease.holder().map(|h| (Arc::clone(&h.daemon), h.address))
    }

    /// Returns the fencing token that the row names.
    pub fn fence(&self) -> u64 {
        self.lease().holder().map_or(0, |h| h.fence)
    }

    /// Takes in a message of a planner; tells whether it is the newest planner known.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn hear(&self, fence: u64, now: Time) -> bool {
        let mut heard = self.heard.lock().expect("no holder of the lock panics");
        if heard.is_some_and(|h| h.fence > fence) || fence < self.fence() {
            return false;
        }
        *heard = Some(Heard { fence, at: now });
        true
    }

    /// Tells whether the planner that the row names has been heard lately.
    ///
    /// # Panics
    ///
    /// Panics if another thread has panicked with it.
    pub fn is_heard(&self, now: Time) -> bool {
        let heard = *self.heard.lock().expect("no holder of the lock panics");
        heard.is_some_and(|h| h.fence == self.fence() && now.since(h.at) < SILENCE)
    }
}

/// Keeps the lease for one daemon.
pub struct Keeper {
    state: Arc<State>,
    store: Arc<dyn Store>,
    shared: Arc<SharedLease>,
    me: Holder,
    options: LeaseOptions,
}

impl Keeper {
    /// Makes a keeper for the daemon that `me` describes.
    pub fn new(
        state: Arc<State>,
        store: Arc<dyn Store>,
        shared: Arc<SharedLease>,
        me: Holder,
        options: LeaseOptions,
    ) -> Self {
        Self { state, store, shared, me, options }
    }

    /// Renews, reads or takes the row, whichever is due; tells how long to pause.
    pub fn step(&self) -> Duration {
        let now = self.state.now();
        if self.shared.is_mine() {
            return self.renew(now);
        }
        if self.shared.is_heard(now) {
            return IDLE;
        }
        if !self.look() {
            return LOOK_EVERY;
        }
        let now = self.state.now();
        let claim = self.shared.lease().claim(&self.me, self.options, now);
        if let Some(claim) = claim {
            self.write(&claim);
        }
        if self.shared.is_mine() { RENEW_EVERY } else { LOOK_EVERY }
    }

    fn renew(&self, now: Time) -> Duration {
        let claim = self.shared.lease().claim(&self.me, self.options, now);
        let written = claim.is_some_and(|claim| self.write(&claim));
        if written { RENEW_EVERY } else { RETRY }
    }

    /// Reads the row; tells whether the store answered.
    fn look(&self) -> bool {
        let result = self.store.lease();
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

    fn take_in(&self, row: Option<LeaseRow>, now: Time) {
        let before = self.shared.planner();
        let (holder, version) = match row {
            Some(row) => (decode(&row), row.version),
            None => (None, 0),
        };
        self.shared.lease().read(holder, version, now, &self.me.incarnation);
        let after = self.shared.planner();
        if before != after
            && let Some((daemon, address)) = after
        {
            event::FLEET_PLANNER.emit(&[("planner", &daemon), ("address", &address)]);
        }
    }

    /// Writes a claim; tells whether it took effect.
    fn write(&self, claim: &Claim) -> bool {
        let was_mine = self.shared.is_mine();
        let value = encode(&claim.holder);
        let result = self.store.write_lease(claim.expected, &value);
        let now = self.state.now();
        match result {
            Ok(Written::Done(version)) => {
                self.shared.lease().written(claim, version, now);
                if !was_mine {
                    event::FLEET_LEASE_TAKEN
                        .emit(&[("fence", &claim.holder.fence), ("version", &version)]);
                    self.state.demand_changed.raise();
                }
                true
            }
            Ok(Written::Conflict(row)) => {
                self.take_in(row, now);
                if was_mine && !self.shared.is_mine() {
                    event::FLEET_LEASE_LOST.emit(&[("fence", &claim.holder.fence)]);
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
        let released = self.shared.lease().release(&self.me);
        let Some((version, holder)) = released else { return };
        match self.store.write_lease(version, &encode(&holder)) {
            Ok(_) => {}
            Err(e) => log::debug!("the planner's row can't be released: {e}"),
        }
    }
}

fn encode(holder: &Holder) -> Vec<u8> {
    serde_json::to_vec(holder).expect("a holder serializes without failure")
}

/// Decodes the row; one that can't be read counts as a holder that never renews.
fn decode(row: &LeaseRow) -> Option<Holder> {
    match serde_json::from_slice(&row.value) {
        Ok(holder) => Some(holder),
        Err(e) => {
            event::FLEET_BAD_ENTRY.emit(&[("error", &e)]);
            None
        }
    }
}
