//! The software versions that the targets of each service have run.

use std::{collections::HashMap, time::Duration};

use tansyknot_core::{
    clock::Time,
    name::{ServiceName, SoftwareVersion},
};

use crate::target::Target;

/// How long a version of a service that has gone is remembered: longer than a stream may last.
const RETENTION: Duration = Duration::from_secs(120);

/// The versions whose targets have gone, and since when a daemon has seen every version.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When the last target of a version of a service went. `None` stands for an unknown version.
    gone: HashMap<ServiceName, HashMap<Option<SoftwareVersion>, Time>>,
    /// Since when the view of the targets has been current without a break.
    current_since: Option<Time>,
}

impl SoftwareHistory {
    /// Records that a target has gone.
    pub fn record_gone(&mut self, target: &Target, now: Time) {
        let versions = self.gone.entry(target.service.clone()).or_default();
        versions.insert(target.software.clone(), now);
    }

    /// Records whether the view of the targets is current. Versions may have come and gone unseen
    /// while it was not.
    pub fn record_view(&mut self, is_current: bool, now: Time) {
        self.current_since = is_current.then(|| self.current_since.unwrap_or(now));
        self.gone.retain(|_, versions| {
            versions.retain(|_, at| now.since(*at) < RETENTION);
            !versions.is_empty()
        });
    }

    /// Returns the version of all targets that a service has had within `period`, if it is known to
    /// be only one. `present` are the versions of the targets that it has.
    pub fn sole_version<'a>(
        &self,
        service: &ServiceName,
        mut present: impl Iterator<Item = Option<&'a SoftwareVersion>>,
        period: Duration,
        now: Time,
    ) -> Option<SoftwareVersion> {
        if period > RETENTION || now.since(self.current_since?) < period {
            return None;
        }
        let sole = present.next()??;
        let gone = self.gone.get(service).into_iter().flatten();
        let mut gone = gone.filter(|(_, at)| now.since(**at) <= period).map(|(v, _)| v.as_ref());
        let is_sole = present.all(|v| v == Some(sole)) && gone.all(|v| v == Some(sole));
        is_sole.then(|| sole.clone())
    }
}
