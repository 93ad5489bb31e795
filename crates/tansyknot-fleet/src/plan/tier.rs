//! The storage tiers of model weights.

use std::time::Duration;

use tansyknot_core::name::ModelName;

use crate::{catalog::Model, target::Target};

/// The nearest storage from which a target can load the weights of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// In the target's main memory.
    Memory,
    /// On the target's disk.
    Disk,
    /// In the weight store only.
    Remote,
}

impl Tier {
    /// Returns the nearest storage from which `target` can load `model`.
    pub fn of(target: &Target, model: &ModelName) -> Self {
        if target.in_memory.contains(model) {
            Tier::Memory
        } else if target.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Remote
        }
    }

    /// Returns how long a load of `model` takes from this storage.
    pub fn load_time(self, model: &Model) -> Duration {
        match self {
            Tier::Memory => model.load_memory,
            Tier::Disk => model.load_disk,
            Tier::Remote => model.load_remote,
        }
    }
}
