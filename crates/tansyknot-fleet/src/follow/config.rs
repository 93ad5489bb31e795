//! Follows the operators' configuration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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

/// How long a daemon waits for the notice of an announced version before it asks for the version.
const NOTICE_WAIT: Duration = Duration::from_millis(100);
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
    /// Since when an announced version has been left to other daemons.
    deferred_since: Option<Time>,
    /// The number of questions to other daemons since then.
    questions: usize,
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
            questions: 0,
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

    /// Gets a configuration that was announced from another daemon: the sender of its updates, then
    /// those that follow the configuration at the store. Any version newer than this daemon's will
    /// do: with changes in quick succession, another daemon may never have the newest one yet.
    ///
    /// A configuration with callers' keys is read from the store: keys do not leave a daemon.
    fn take_from_peer(&mut self) -> Handover {
        let Some(peers) = self.peers.clone().filter(|_| !self.state.requires_keys()) else {
            return Handover::Unavailable;
        };
        let began = self.now();
        let own_version = self.state.catalog().map_or(0, |c| c.version);
        if self.state.planner_view().config_version() <= own_version || self.reads_for_others() {
            return Handover::Unavailable;
        }
        let since = *self.deferred_since.get_or_insert(began);
        if own_version > 0 && began.since(since) < NOTICE_WAIT {
            return Handover::Deferred;
        }
        let sources = self.sources(began);
        if sources.is_empty() || began.since(since) >= self.state.freshness.max_config_deferral {
            return Handover::Unavailable;
        }
        let source = sources[self.questions % sources.len()];
        self.questions += 1;
        match peers.fetch(source, SnapshotRequest::Config(own_version + 1)) {
            Ok(Snapshot::Config(snapshot)) => {
                self.apply_snapshot(snapshot, began);
                Handover::Done
            }
            Ok(Snapshot::List(_)) => Handover::Unavailable,
            Err(e) => {
                log::debug!("no configuration from {source}: {e}");
                let may_have_it_later = matches!(e, Error::Busy { .. }) || sources.len() > 1;
                if may_have_it_later { Handover::Deferred } else { Handover::Unavailable }
            }
        }
    }

    /// Returns whether this daemon follows the store for others, and the store responds.
    fn reads_for_others(&self) -> bool {
        self.state.is_config_reader() && !self.contact.is_lost()
    }

    /// Returns the daemons that may hand the configuration over, the most suitable first.
    fn sources(&self, now: Time) -> Vec<SocketAddr> {
        let relay = self.state.planner_view().source(now);
        let mut peers = self.state.peers();
        let me = peers.local_address();
        let readers = peers.config_readers(now).iter().copied();
        relay.into_iter().chain(readers.filter(|a| Some(*a) != me && Some(*a) != relay)).collect()
    }

    fn apply_snapshot(&mut self, snapshot: ConfigSnapshot, began: Time) {
        let ConfigSnapshot { content, store_version, drained_zones, age_ms } = snapshot;
        let as_of = began.saturating_sub(Duration::from_millis(age_ms.into()));
        self.version = self.version.max(Some(store_version));
        self.state.apply_config(content.into(), store_version, as_of, ConfigSource::Daemon);
        self.state.apply_published_zones(drained_zones);
        let mut contacts = self.state.store_contacts();
        contacts.config = contacts.config.max(Some(as_of));
    }

    fn end_deferral(&mut self) {
        self.deferred_since = None;
        self.questions = 0;
    }

    /// Makes one call; returns the delay before the next.
    pub fn step(&mut self) -> Duration {
        match self.take_from_peer() {
            Handover::Done => {
                self.end_deferral();
                return Duration::ZERO;
            }
            Handover::Deferred => return DEFERRAL_PAUSE,
            Handover::Unavailable => self.end_deferral(),
        }
        let began = self.state.now();
        // A notice may have brought a newer version than the last call.
        let read = self.state.store_contacts().config_read;
        self.version = self.version.max(read.map(|read| read.store_version));
        let in_force = self.state.catalog().map_or(0, |c| c.version);
        let from = replay_from(self.version, self.state.config_known_at(in_force), began);
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
