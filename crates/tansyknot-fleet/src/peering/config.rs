//! Notices of the operators' configuration: the planner and the daemons that follow it at the store
//! send each new version to all others, so that no daemon depends on a single one that may have
//! lost the store.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use tansyknot_core::clock::Time;

use super::PeerNode;
use crate::{
    catalog::{Catalog, change::CatalogChange},
    dissemination::{
        datagram,
        message::{ConfigNotice, Message, millis},
    },
    state::ConfigSource,
};

/// How long a version stays one that a notice can be applied to. A daemon that is further behind has
/// missed the notices of several senders and asks for the whole configuration.
const BASE_RETENTION: Duration = Duration::from_secs(3);
/// The maximum number of versions that a notice can be applied to.
const MAX_BASES: usize = 8;
/// Without an update of the planner for this long, all daemons get the age of the configuration
/// from those that follow it at the store.
const PLANNER_SILENCE: Duration = Duration::from_millis(500);

/// The versions of the configuration that this daemon has had in force, and which it has sent.
#[derive(Default)]
pub(super) struct RecentVersions {
    /// Each version and when it was recorded, the newest last.
    versions: VecDeque<(Arc<Catalog>, Time)>,
    sent: u64,
}

impl RecentVersions {
    /// Records the version in force.
    fn record(&mut self, catalog: &Arc<Catalog>, now: Time) {
        if self.versions.back().is_none_or(|(newest, _)| newest.version < catalog.version) {
            self.versions.push_back((Arc::clone(catalog), now));
        }
        // The newest version is the base of the next one, however old it is.
        let expires = |at: Time| now.since(at) >= BASE_RETENTION;
        while self.versions.len() > 2 && self.versions.front().is_some_and(|(_, at)| expires(*at))
            || self.versions.len() > MAX_BASES
        {
            self.versions.pop_front();
        }
    }

    /// Returns the versions before `version`, the oldest first.
    fn before(&self, version: u64) -> Vec<Arc<Catalog>> {
        let versions = self.versions.iter().map(|(catalog, _)| catalog);
        versions.filter(|catalog| catalog.version < version).cloned().collect()
    }

    /// Returns whether `version` has not been sent yet, and records it as sent.
    fn take_unsent(&mut self, version: u64) -> bool {
        let is_unsent = version > self.sent;
        self.sent = self.sent.max(version);
        is_unsent
    }
}

impl PeerNode {
    /// Sends the version in force to all daemons, if this daemon follows the configuration at the
    /// store and has not sent that version yet.
    pub fn publish_config(&self) {
        if !self.follows_store() {
            return;
        }
        let Some(catalog) = self.state.catalog() else { return };
        let now = self.state.now();
        let bases = {
            let mut recent = self.recent_versions();
            recent.record(&catalog, now);
            let is_unsent = recent.take_unsent(catalog.version);
            is_unsent.then(|| recent.before(catalog.version))
        };
        let Some(bases) = bases else { return };
        if let Some(bytes) = self.encode_notice(&bases, &catalog, now) {
            let to = self.other_daemons();
            to.into_iter().for_each(|to| self.send_bytes(&bytes, to));
        }
    }

    /// Sends the age of the configuration in force, with which others need not ask the store: to the
    /// planner, which sends it to all, or to all daemons if the planner is silent.
    pub(super) fn publish_config_age(&self, now: Time) {
        if !self.state.is_config_reader() || self.is_planner() {
            return;
        }
        let Some(catalog) = self.state.catalog() else { return };
        let silence = self.lease.time_since_message(now);
        let has_planner = silence.is_some_and(|silence| silence < PLANNER_SILENCE);
        let to: Vec<SocketAddr> = match self.remote_planner().filter(|_| has_planner) {
            Some(planner) => vec![planner],
            None => self.other_daemons(),
        };
        if let Some(bytes) = self.encode_notice(&[], &catalog, now) {
            to.into_iter().for_each(|to| self.send_bytes(&bytes, to));
        }
    }

    /// Applies a notice of a daemon that follows the configuration at the store.
    pub(super) fn handle_config_notice(&self, notice: ConfigNotice, from: SocketAddr, now: Time) {
        let age = Duration::from_millis(notice.age_ms.into());
        let as_of = now.saturating_sub(age);
        if let Some(change) = &notice.change {
            self.apply_change(change, notice.store_version, as_of);
        }
        let own_version = self.state.catalog().map_or(0, |c| c.version);
        self.state.planner_view().record_config(notice.version, age, now);
        self.state.apply_published_zones(notice.drained_zones);
        if own_version < notice.version {
            log::debug!("version {} of the notice of {from} is not in force", notice.version);
            self.state.store_call_due.notify();
        }
    }

    /// Puts a change in force that applies to the version in force.
    fn apply_change(&self, change: &CatalogChange, store_version: u64, as_of: Time) {
        let Some(base) = self.state.catalog().filter(|c| c.version < change.version) else {
            return;
        };
        if let Some(catalog) = change.apply(&base) {
            self.state.apply_config(catalog, store_version, as_of, ConfigSource::Notice);
        }
        if self.follows_store()
            && let Some(catalog) = self.state.catalog()
        {
            self.recent_versions().record(&catalog, as_of);
        }
    }

    /// Encodes the notice of a version, with the change from as many of `bases` as there is room for;
    /// `None` if it is not known how old the view of this version is.
    fn encode_notice(
        &self,
        bases: &[Arc<Catalog>],
        catalog: &Catalog,
        now: Time,
    ) -> Option<Vec<u8>> {
        let read = self.state.store_contacts().config_read;
        let store_version = read.filter(|read| read.version == catalog.version)?.store_version;
        let as_of = self.state.config_known_at(catalog.version)?;
        let drained_zones = self.state.fleet().zone_drains().current().clone();
        let encode = |bases: &[Arc<Catalog>]| {
            datagram::encode(&Message::ConfigNotice(ConfigNotice {
                version: catalog.version,
                age_ms: millis(now.since(as_of)),
                store_version,
                drained_zones: drained_zones.clone(),
                change: CatalogChange::between(bases, catalog),
            }))
        };
        (0..=bases.len()).find_map(|oldest| encode(&bases[oldest..]))
    }

    /// Returns whether this daemon follows the configuration at the store for all daemons.
    fn follows_store(&self) -> bool {
        self.is_planner() || self.state.is_config_reader()
    }
}
