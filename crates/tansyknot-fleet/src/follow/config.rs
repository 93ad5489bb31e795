//! Follows the operators' configuration.

use std::{sync::Arc, time::Duration};

use tansyknot_core::{clock::Time, event};

use super::{contact::Contact, replay_from};
use crate::{
    access::view, catalog::Catalog, dissemination::relays::FOLLOWERS_MOST, outside::Store,
    state::State,
};

/// An answer shows the store as it was at most this long before it arrived.
const ANSWER_SPAN: Duration = Duration::from_millis(100);
/// How long a call waits at most where requests need keys: what it shows is as old as it waits.
const KEYS_WAIT: Duration = Duration::from_millis(500);
/// How often a store without any configuration is looked at: operators write the first one before
/// callers come.
const FIRST_LOOK: Duration = Duration::from_millis(250);

/// Follows the operators' configuration.
pub struct ConfigFollower {
    state: Arc<State>,
    store: Arc<dyn Store>,
    version: Option<u64>,
    contact: Contact,
    /// Whether the next call is answered at once, change or not.
    is_hasty: bool,
}

impl ConfigFollower {
    /// Makes a follower that has read nothing yet.
    pub fn new(state: Arc<State>, store: Arc<dyn Store>) -> Self {
        Self {
            state,
            store,
            version: None,
            contact: Contact::new("configuration"),
            is_hasty: false,
        }
    }

    /// Has the next call be answered at once: others wait to hear how fresh this view is.
    pub fn hurry(&mut self) {
        self.is_hasty = true;
    }

    /// Returns how long the next call waits for a change.
    ///
    /// Where relays pass the planner's news on, it asks twice as often: if it is lost, the view that
    /// it has told is so much fresher, and hundreds of daemons need not ask before the next one tells
    /// them (275 calls of 294 daemons on one such loss without it).
    fn wait(&mut self) -> Duration {
        let most = if self.state.needs_keys() { KEYS_WAIT } else { Duration::MAX };
        let wait = self.state.spans.config_wait.min(most);
        match std::mem::take(&mut self.is_hasty) {
            true => Duration::ZERO,
            false if self.state.fleet().daemons() > FOLLOWERS_MOST => wait / 2,
            false => wait,
        }
    }

    /// Returns the last moment as of which the configuration in force was the newest.
    fn known_at(&self) -> Option<Time> {
        let mine = self.state.catalog().map_or(0, |c| c.version);
        let told = self.state.followed().config_known_at(mine);
        told.max(self.state.contacts().config)
    }

    /// Returns how long the reading of the table may take: with a configuration in force as long
    /// as a call that waits for changes, at a start less.
    fn read_within(&self) -> Duration {
        let within = self.contact.read_within();
        match self.state.catalog() {
            Some(_) => within.max(self.state.spans.config_wait),
            None => within,
        }
    }

    fn now(&self) -> Time {
        self.state.now()
    }

    /// Puts a configuration in force, if it is newer.
    fn apply(&self, catalog: Catalog, store_version: u64, as_of: Time) {
        let version = catalog.version;
        if self.state.put_in_force(catalog, as_of) {
            event::FLEET_CONFIG.emit(&[("version", &version), ("store_version", &store_version)]);
            self.state.view_changed();
        }
    }

    /// Makes one call; tells how long to pause before the next.
    pub fn step(&mut self) -> Duration {
        let began = self.state.now();
        let from = replay_from(self.version, self.known_at(), began);
        let wait = self.wait();
        let result = match from {
            Some(version) => self.store.catalog_changes(version, wait),
            None => self.store.catalog(self.read_within()).map(Some),
        };
        self.contact.take(&result, from, &self.state);
        match result {
            Ok(Some((catalog, version))) => {
                let wait_of = from.map(|_| wait);
                let proven_at = view::proven_at(began, wait_of, catalog.is_some(), self.now());
                let shown_at = shown_at(began, wait_of, catalog.is_some(), self.now());
                let is_first = self.version.replace(version).is_none();
                let has_begun = catalog.is_some() || !is_first;
                if let Some(catalog) = catalog {
                    self.apply(catalog, version, proven_at);
                }
                let in_force = self.state.catalog().map_or(0, |c| c.version);
                self.state.key_view().known(in_force, proven_at);
                // Only now: others may be told at any moment how fresh the one in force is.
                self.state.contacts().config = Some(shown_at);
                // Before the first configuration there is nothing to follow from.
                if has_begun { Duration::ZERO } else { FIRST_LOOK }
            }
            Ok(None) => {
                self.version = None;
                Duration::ZERO
            }
            Err(_) => self.contact.pause(),
        }
    }
}

/// Returns the moment as of which an answer shows the configuration that has come `now` to a call
/// of `began`, which was to wait for `wait` if it did.
///
/// A reading of the table, which may take long on a narrow link, shows what was so at its start. A
/// call that waits shows what was so until shortly before its end; if it brings nothing, it has left
/// the store when its wait was over, however long it was on its way since.
fn shown_at(began: Time, wait: Option<Duration>, has_changed: bool, now: Time) -> Time {
    let Some(wait) = wait else { return began };
    let latest = now.before(ANSWER_SPAN);
    let shown = if has_changed { latest } else { latest.min(began + wait) };
    began.max(shown)
}
