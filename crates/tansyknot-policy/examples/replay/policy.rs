//! The policies that the replay compares, by name.

use std::time::Duration;

use miette::miette;
use tansyknot_policy::retention::{FixedTtl, LeastCost, Retention};

/// A retention time longer than any trace.
const FOREVER: Duration = Duration::from_secs(10 * 365 * 86_400);

/// A policy for retention and staging.
pub(crate) struct Policy {
    /// Decides how long unused replicas stay loaded.
    pub(crate) retention: Box<dyn Retention>,
    /// Whether the retention time has the bounds of the daemon's rules.
    pub(crate) bounded: bool,
    /// Whether checkpoints are staged before the first request for their model.
    pub(crate) stages: bool,
}

impl Policy {
    /// The names of all policies.
    pub(crate) const NAMES: &[&str] =
        &["never_unload", "fixed_ttl_60s", "fixed_ttl_600s", "lru_on_demand", "tansyknot"];

    /// Returns the policy called `name`.
    pub(crate) fn by_name(name: &str) -> miette::Result<Self> {
        let fixed =
            |ttl| Self { retention: Box::new(FixedTtl(ttl)), bounded: false, stages: false };
        match name {
            // Both keep models until memory is needed; with enough memory they are the same.
            "never_unload" | "lru_on_demand" => Ok(fixed(FOREVER)),
            "fixed_ttl_60s" => Ok(fixed(Duration::from_secs(60))),
            "fixed_ttl_600s" => Ok(fixed(Duration::from_secs(600))),
            "tansyknot" => Ok(Self { retention: Box::new(LeastCost), bounded: true, stages: true }),
            _ => Err(miette!(help = "--list prints the names", "unknown policy {name:?}")),
        }
    }

    /// Returns whether the policy called `name` evicts idle replicas to load others.
    pub(crate) fn evicts(name: &str) -> bool {
        name != "never_unload"
    }
}
