//! The targets of a service to which requests are bound.

use serde::{Deserialize, Serialize};
use tansyknot_core::name::SoftwareVersion;

use crate::{residency::ZoneSet, stream_origin::Software, target::Target};

/// What a target of a service must have to serve requests, beside their model.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Bounds {
    /// The only zones in which the requests may be served; `None` for all.
    pub zones: Option<ZoneSet>,
    /// The only software at which they may be served; `None` for all.
    pub software: Option<Software>,
}

impl Bounds {
    /// Returns whether all targets may serve the requests.
    pub fn is_unbound(&self) -> bool {
        self.zones.is_none() && self.software.is_none()
    }

    /// Returns whether a target may serve the requests.
    pub fn allows(&self, target: &Target) -> bool {
        let allows_zone = self.zones.as_ref().is_none_or(|zones| zones.contains(&target.zone));
        allows_zone && self.software.as_ref().is_none_or(|software| software.runs_at(target))
    }

    /// Returns these bounds without one that holds for all targets, as they all run `sole` if it is
    /// given.
    #[must_use]
    pub fn among(&self, sole: Option<&SoftwareVersion>) -> Self {
        let is_sole = |software: &Software| match software {
            Software::Version(version) => Some(version) == sole,
            Software::OnlyAt(_) => false,
        };
        let software = self.software.clone().filter(|software| !is_sole(software));
        Self { zones: self.zones.clone(), software }
    }
}
