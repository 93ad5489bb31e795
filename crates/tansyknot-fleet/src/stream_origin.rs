//! The software that began a stream, at which alone the stream may go on.
//!
//! Targets of one service may run several versions of their software, whose events do not fit
//! together. The version that brought a stream's first event binds all further runs of the stream, also
//! those of later attempts of its caller, at any daemon.
//!
//! A daemon that begins a stream sends its origin to a few others before the first event leaves. One
//! at which the stream is resumed knows the origin itself or asks these daemons. A stream whose origin
//! is not found does not go on, unless its service has had only one version for as long as the stream
//! may have lasted.

pub mod history;
pub mod lookup;
pub mod records;
pub mod routing;

use serde::{Deserialize, Serialize};
use tansyknot_core::name::{ServiceName, SoftwareVersion, TargetName};

use crate::target::Target;
use records::{StreamKey, StreamRecord};

/// Shares the origins of streams with other daemons.
pub trait OriginDirectory: Send + Sync {
    /// Sends the origin of a stream to the daemons that keep it.
    fn publish(&self, record: &StreamRecord);

    /// Asks the daemons that keep the origin of a stream for it, but for those that have replied. Their
    /// replies are recorded in the daemon's state.
    fn query(&self, stream: StreamKey);
}

/// A daemon without others.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl OriginDirectory for NoPeers {
    fn publish(&self, _: &StreamRecord) {}

    fn query(&self, _: StreamKey) {}
}

/// The software that brought the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The service whose target began the stream.
    pub service: ServiceName,
    /// The software of that target.
    pub software: Software,
}

/// The software of a target, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Software {
    /// The version that the target's entry names.
    Version(SoftwareVersion),
    /// The version is not known; only the target itself is known to run it.
    OnlyAt(TargetName),
}

impl Origin {
    /// Returns the origin of a stream that a target begins.
    pub fn of(target: &Target) -> Self {
        Self { service: target.service.clone(), software: Software::of(target) }
    }

    /// Returns whether the stream may go on at a target.
    pub fn allows(&self, target: &Target) -> bool {
        target.service == self.service && self.software.runs_at(target)
    }
}

impl Software {
    /// Returns the software of a target.
    pub fn of(target: &Target) -> Self {
        match &target.software {
            Some(version) => Software::Version(version.clone()),
            None => Software::OnlyAt(target.name.clone()),
        }
    }

    /// Returns whether a target is known to run this software.
    pub fn runs_at(&self, target: &Target) -> bool {
        match self {
            Software::Version(version) => target.software.as_ref() == Some(version),
            Software::OnlyAt(name) => target.name == *name,
        }
    }
}
