//! Follows the operators' configuration.

use std::{sync::Arc, time::Duration};

use tansyknot_core::{Error, clock::Time};

use super::{contact::StoreContact, replay_from};
use crate::{
    access::view,
    dissemination::relays::MAX_FOLLOWERS,
    platform_api::{OperatorUpdate, Store},
    snapshot::{ConfigSnapshot, Snapshot, SnapshotClient, SnapshotRequest},
    state::{ConfigSource, State},
};

/// Maximum time between the state of the store that a response shows and the response's arrival.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(100);
/// Maximum wait of a call while requests need keys: the view that the call proves may be as old as
/// the wait.
const MAX_WAIT_WITH_KEYS: Duration = Duration::from_millis(500);
/// Interval between calls while the store has no configuration. Operators write the first
/// configuration before callers send requests.
const EMPTY_STORE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How long a daemon waits at most until the sender of its updates has an announced configuration.
const MAX_DEFERRAL: Duration = Duration::from_millis(1000);
/// The pause between two questions for it.
const DEFERRAL_PAUSE: Duration = Duration::from_millis(50);

/// Whether another daemon has handed over an announced configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Handover {
    /// The configuration is in force.
    Done,
    /// The other daemon does not have it yet.
    Deferred,
    /// There is nothing to hand over, or nobody to ask.
    Unavailable,
}

/// Follows the operators' configuration.
pub struct ConfigFollower {
    state: Arc<State>,
    store: Arc<dyn Store>,
    version: Option<u64>,
    contact: StoreContact,
    /// Whether the next call returns immediately, with or without a change.
    skips_wait: bool,
    peers: Option<Arc<dyn SnapshotClient>>,
    /// Since when the announced configuration has been left to other daemons.
    deferred_since: Option<Time>,
}

impl ConfigFollower {
    /// Creates a follower that has read nothing yet.
    pub fn new(state: Arc<State>, store: Arc<dyn Store>) -> Self {
        Self {
            state,
            store,
            version: None,
            contact: StoreContact::new("configuration"),
            skips_wait: false,
            peers: None,
            deferred_since: None,
        }
    }

    /// Returns this follower with a client of other daemons, which are asked first.
    #[must_use]
    pub fn with_peers(self, peers: Arc<dyn SnapshotClient>) -> Self {
        Self { peers: Some(peers), ..self }
    }

    /// Makes the next call return immediately, because other daemons wait for the age of this view.
    pub fn skip_next_wait(&mut self) {
        self.skips_wait = true;
    }

    /// Returns how long the next call waits for a change.
    ///
    /// The wait is halved in fleets whose planner sends its updates through relays. The view that a
    /// failed planner published last is then fresher, so that hundreds of daemons need not call the
    /// store before the next planner's updates arrive. With the full wait, the loss of a planner
    /// causes 275 calls from 294 daemons.
    fn wait(&mut self) -> Duration {
        let max_wait = if self.state.requires_keys() { MAX_WAIT_WITH_KEYS } else { Duration::MAX };
        let wait = self.state.freshness.config_wait.min(max_wait);
        match std::mem::take(&mut self.skips_wait) {
            true => Duration::ZERO,
            false if self.state.fleet().daemon_count() > MAX_FOLLOWERS => wait / 2,
            false => wait,
        }
    }

    /// Returns the last moment at which the configuration in force is known to have been the
    /// newest.
    fn known_at(&self) -> Option<Time> {
        let version = self.state.catalog().map_or(0, |c| c.version);
        let followed = self.state.planner_view().config_as_of(version);
        followed.max(self.state.store_contacts().config)
    }

    /// Returns the timeout for a read of the full table: with a configuration in force at least the
    /// wait of a call that follows changes, less at startup.
    fn read_timeout(&self) -> Duration {
        let timeout = self.contact.read_timeout();
        match self.state.catalog() {
            Some(_) => timeout.max(self.state.freshness.config_wait),
            None => timeout,
        }
    }

    fn now(&self) -> Time {
        self.state.now()
    }

    /// Gets a configuration that the planner has announced from the sender of its update.
    ///
    /// A configuration with callers' keys is read from the store: keys do not leave a daemon.
    fn take_from_peer(&mut self) -> Handover {
        let Some(peers) = self.peers.clone().filter(|_| !self.state.requires_keys()) else {
            return Handover::Unavailable;
        };
        let began = self.now();
        let (announced, source) = {
            let view = self.state.planner_view();
            (view.config_version(), view.source(began))
        };
        let own_version = self.state.catalog().map_or(0, |c| c.version);
        let Some(source) = source.filter(|_| announced > own_version) else {
            return Handover::Unavailable;
        };
        match peers.fetch(source, SnapshotRequest::Config(announced)) {
            Ok(Snapshot::Config(snapshot)) => {
                self.apply_snapshot(snapshot, began);
                Handover::Done
            }
            Ok(Snapshot::List(_)) => Handover::Unavailable,
            Err(e) => {
                log::debug!("no configuration from {source}: {e}");
                self.defer(&e, began)
            }
        }
    }

    /// Returns whether a question that failed is to be repeated.
    fn defer(&mut self, error: &Error, began: Time) -> Handover {
        let since = *self.deferred_since.get_or_insert(began);
        let is_due = matches!(error, Error::Busy { .. }) && began.since(since) < MAX_DEFERRAL;
        if is_due { Handover::Deferred } else { Handover::Unavailable }
    }

    fn apply_snapshot(&mut self, snapshot: ConfigSnapshot, began: Time) {
        let ConfigSnapshot { content, store_version, age_ms } = snapshot;
        let as_of = began.saturating_sub(Duration::from_millis(age_ms.into()));
        self.version = self.version.max(Some(store_version));
        self.state.apply_config(content.into(), store_version, as_of, ConfigSource::Daemon);
        let mut contacts = self.state.store_contacts();
        contacts.config = contacts.config.max(Some(as_of));
    }

    /// Makes one call; returns the delay before the next.
    pub fn step(&mut self) -> Duration {
        match self.take_from_peer() {
            Handover::Done => {
                self.deferred_since = None;
                return Duration::ZERO;
            }
            Handover::Deferred => return DEFERRAL_PAUSE,
            Handover::Unavailable => self.deferred_since = None,
        }
        let began = self.state.now();
        let from = replay_from(self.version, self.known_at(), began);
        let wait = self.wait();
        let result = match from {
            Some(version) => self.store.operator_changes(version, wait),
            None => self.store.operator_docs(self.read_timeout()).map(Some),
        };
        self.contact.record(&result, from, &self.state);
        match result {
            Ok(Some(OperatorUpdate { catalog, zones, has_changes, version })) => {
                let watch_wait = from.map(|_| wait);
                let proven_at = view::proven_at(began, watch_wait, has_changes, self.now());
                let shown_at = shown_at(began, watch_wait, has_changes, self.now());
                let is_first = self.version.replace(version).is_none();
                let can_follow = catalog.is_some() || !is_first;
                if let Some(catalog) = catalog {
                    self.state.apply_config(catalog, version, proven_at, ConfigSource::Store);
                }
                self.state.apply_zone_update(zones);
                let in_force = self.state.catalog().map_or(0, |c| c.version);
                self.state.key_view().record_newest(in_force, proven_at);
                // This follows `apply_config`: the age of the configuration in force may be sent to other
                // daemons at any moment.
                self.state.store_contacts().config = Some(shown_at);
                // Before the first configuration there is no version to follow.
                if can_follow { Duration::ZERO } else { EMPTY_STORE_POLL_INTERVAL }
            }
            Ok(None) => {
                self.version = None;
                Duration::ZERO
            }
            Err(_) => self.contact.pause(),
        }
    }
}

/// Returns the moment as of which a response shows the configuration. The response arrived at
/// `now`, to a call that began at `began` and was to wait for `wait`, if any.
///
/// A read of the full table, which may take long on a slow link, shows the state at its start. A
/// call that waits shows the state until shortly before its end. If it brings no change, the
/// response left the store when the wait was over, however long it was in transit.
fn shown_at(began: Time, wait: Option<Duration>, has_changed: bool, now: Time) -> Time {
    let Some(wait) = wait else { return began };
    let latest = now.saturating_sub(MAX_RESPONSE_AGE);
    let shown = if has_changed { latest } else { latest.min(began + wait) };
    began.max(shown)
}
