//! The software versions that the targets of each service have run.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    clock::Time,
    name::{ServiceName, SoftwareVersion},
};

use crate::target::Target;

/// How long a version of a service that has gone is remembered: longer than a stream may last.
pub(crate) const RETENTION: Duration = Duration::from_secs(120);

/// The only version that a service's targets run, and for how long they have run no other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoleVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// For how long it has been the only one, in milliseconds.
    pub for_ms: u64,
}

/// The sole versions of the services that have one.
pub type SoleVersions = BTreeMap<ServiceName, SoleVersion>;

/// The versions whose targets have gone, and since when a daemon has seen every version.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When the last target of a version of a service went. `None` stands for an unknown version.
    gone: HashMap<ServiceName, HashMap<Option<SoftwareVersion>, Time>>,
    /// Since when the view of the targets has been current without a break.
    current_since: Option<Time>,
    /// What an earlier planner knew when this daemon started. Only daemons begin streams, so nothing that
    /// happened while there was none matters.
    inherited: Option<SoleVersions>,
    /// Whether the planner's row has been read.
    has_read_row: bool,
    /// What other daemons have reported since this daemon's view was last broken, and when.
    reported: HashMap<ServiceName, (SoleVersion, Time)>,
}

impl SoftwareHistory {
    /// Records what the planner's row says at this daemon's start. Later rows are ignored: this daemon's
    /// own view may have had a break since its start.
    pub fn inherit(&mut self, versions: SoleVersions) {
        if !std::mem::replace(&mut self.has_read_row, true) {
            self.inherited = Some(versions);
        }
    }

    /// Records that a target has gone.
    pub fn record_gone(&mut self, target: &Target, now: Time) {
        let versions = self.gone.entry(target.service.clone()).or_default();
        versions.insert(target.software.clone(), now);
    }

    /// Records what another daemon knows, whose view may have been current for longer.
    pub fn record_report(&mut self, versions: &SoleVersions, now: Time) {
        for (service, sole) in versions {
            let known_ms = self.reported_ms(service, &sole.version, None, now);
            if sole.for_ms > known_ms {
                self.reported.insert(service.clone(), (sole.clone(), now));
            }
        }
    }

    /// Records whether the view of the targets is current. Versions may have come and gone unseen
    /// while it was not.
    pub fn record_view(&mut self, is_current: bool, now: Time) {
        if !is_current && self.current_since.take().is_some() {
            self.inherited = None;
            self.reported.clear();
        }
        if is_current {
            self.current_since.get_or_insert(now);
        }
        self.gone.retain(|_, versions| {
            versions.retain(|_, at| now.since(*at) < RETENTION);
            !versions.is_empty()
        });
    }

    /// Returns the version of all targets of a service, and for how long it is known to have been the
    /// only one. `present` are the versions of the targets that it has.
    pub fn sole_version<'a>(
        &self,
        service: &ServiceName,
        mut present: impl Iterator<Item = Option<&'a SoftwareVersion>>,
        now: Time,
    ) -> Option<SoleVersion> {
        let current_since = self.current_since?;
        let sole = present.next()??;
        if !present.all(|version| version == Some(sole)) {
            return None;
        }
        let gone = self.gone.get(service).into_iter().flatten();
        let last_other = gone.filter(|(v, _)| v.as_ref() != Some(sole)).map(|(_, at)| *at).max();
        let for_ms = match last_other {
            Some(at) => now.since(at.max(current_since)).as_millis() as u64,
            None => now.since(current_since).as_millis() as u64 + self.inherited_ms(service, sole),
        };
        let for_ms = for_ms.max(self.reported_ms(service, sole, last_other, now));
        let for_ms = for_ms.min(RETENTION.as_millis() as u64);
        Some(SoleVersion { version: sole.clone(), for_ms })
    }

    /// Returns for how long another daemon has known `version` as the only one of a service, unless one
    /// has gone at `last_other`, after its report.
    fn reported_ms(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        last_other: Option<Time>,
        now: Time,
    ) -> u64 {
        let Some((sole, at)) = self.reported.get(service) else { return 0 };
        let is_valid = sole.version == *version && last_other.is_none_or(|other| other < *at);
        if is_valid { sole.for_ms + now.since(*at).as_millis() as u64 } else { 0 }
    }

    /// Returns for how long an earlier planner knew `version` as the only one of a service.
    fn inherited_ms(&self, service: &ServiceName, version: &SoftwareVersion) -> u64 {
        let Some(versions) = &self.inherited else { return 0 };
        versions.get(service).filter(|sole| sole.version == *version).map_or(0, |sole| sole.for_ms)
    }
}
