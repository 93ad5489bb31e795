//! Bringing a checkpoint near the engines before it is asked for.
//!
//! The tail of cold starts is the first load of a model from the weight store. A model that was
//! loaded once and removed again leaves its checkpoint on the host's disk, which costs some
//! accelerator seconds and saves every later first request the way to the weight store.

use tansyknot_core::engine::Tier;

/// Loads that may run at once for staging; the others of the weight store's four are left to
/// requests that wait.
const LOADS_AT_ONCE: u32 = 4;

/// What the decision looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Staging {
    /// Where the nearest checkpoint lies among the allowed targets.
    pub nearest: Tier,
    /// Loads that run at the targets asked.
    pub loading: u32,
    /// Whether the best place is free without removing anything.
    pub has_room: bool,
}

/// Tells whether a model that nobody asks for should be loaded once now.
pub fn wants_staging(staging: &Staging) -> bool {
    staging.nearest == Tier::Remote && staging.loading < LOADS_AT_ONCE && staging.has_room
}
