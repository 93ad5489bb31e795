//! Staging: loading a checkpoint onto a host before the first request for its model.
//!
//! The slowest cold starts are first loads of a model from the weight store. Loading a model
//! once and removing it again leaves its checkpoint on the host's disk. This costs a few
//! accelerator seconds and spares every later cold start the read from the weight store.

use tansyknot_core::engine::Tier;

/// Staging starts no load while this many loads run: the weight store serves four at full speed,
/// and loads for waiting requests come first.
const MAX_CONCURRENT_LOADS: u32 = 4;

/// Input of the staging decision for one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Staging {
    /// The nearest tier that holds the checkpoint at any allowed target.
    pub nearest: Tier,
    /// Loads that run at the queried targets.
    pub loading: u32,
    /// Whether a target has enough free memory without removing another model.
    pub has_room: bool,
}

/// Returns whether an unused model should be loaded once now to stage its checkpoint.
pub fn wants_staging(staging: &Staging) -> bool {
    staging.nearest == Tier::Remote && staging.loading < MAX_CONCURRENT_LOADS && staging.has_room
}
