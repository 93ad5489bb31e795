//! Follows the operators' configuration.

use std::{sync::Arc, time::Duration};

use tansyknot_core::{clock::Time, event};

use super::{contact::Contact, replay_from};
use crate::{dissemination::relays::FOLLOWERS_MOST, outside::Store, state::State};

/// An answer shows the store as it was at most this long before it arrived.
const ANSWER_SPAN: Duration = Duration::from_millis(100);
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
        let wait = self.state.spans.config_wait;
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
        if matches!(result, Ok(Some(_))) {
            // A call that waits shows what was so until shortly before its end; a reading of the
            // table, which may take long on a narrow link, what was so at its start.
            let known_at = match from {
                Some(_) => began.max(self.state.now().before(ANSWER_SPAN)),
                None => began,
            };
            self.state.contacts().config = Some(known_at);
        }
        match result {
            Ok(Some((catalog, version))) => {
                let is_first = self.version.is_none();
                self.version = Some(version);
                let Some(catalog) = catalog else {
                    // Before the first configuration there is nothing to follow from.
                    return if is_first { FIRST_LOOK } else { Duration::ZERO };
                };
                let number = catalog.version;
                if self.state.set_catalog(catalog) {
                    event::FLEET_CONFIG.emit(&[("version", &number), ("store_version", &version)]);
                    self.state.view_changed();
                }
                Duration::ZERO
            }
            Ok(None) => {
                self.version = None;
                Duration::ZERO
            }
            Err(_) => self.contact.pause(),
        }
    }
}
