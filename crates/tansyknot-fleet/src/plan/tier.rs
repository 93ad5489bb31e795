//! Where the weights of a model lie.

use std::time::Duration;

use tansyknot_core::name::ModelName;

use crate::{catalog::Model, target::Target};

/// Where the weights of a model lie, as seen from a target.
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
    /// Returns where the weights of `model` lie for `target`.
    pub fn of(target: &Target, model: &ModelName) -> Self {
        if target.in_memory.contains(model) {
            Tier::Memory
        } else if target.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Remote
        }
    }

    /// Returns how long the load of `model` takes.
    pub fn load_time(self, model: &Model) -> Duration {
        match self {
            Tier::Memory => model.load_memory,
            Tier::Disk => model.load_disk,
            Tier::Remote => model.load_remote,
        }
    }
}
