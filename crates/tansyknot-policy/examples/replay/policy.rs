//! The policies by name.

use std::time::Duration;

use miette::miette;
use tansyknot_policy::retention::{FixedSpan, LeastCost, Retention};

/// Longer than any trace.
const FOREVER: Duration = Duration::from_secs(10 * 365 * 86_400);

/// A policy: how long unused replicas stay.
pub(crate) struct Policy {
    /// How long unused replicas stay.
    pub(crate) retention: Box<dyn Retention>,
    /// Whether the span is bounded as the daemon's rules bound it.
    pub(crate) bounded: bool,
    /// Whether checkpoints are brought near before they are asked for.
    pub(crate) stages: bool,
}

impl Policy {
    /// Every policy's name.
    pub(crate) const NAMES: &[&str] =
        &["never_unload", "fixed_ttl_60s", "fixed_ttl_600s", "lru_on_demand", "tansyknot"];

    /// Returns a policy.
    pub(crate) fn by_name(name: &str) -> miette::Result<Self> {
        let fixed =
            |span| Self { retention: Box::new(FixedSpan(span)), bounded: false, stages: false };
        match name {
            // Both keep models until memory is needed; with enough of it they are the same.
            "never_unload" | "lru_on_demand" => Ok(fixed(FOREVER)),
            "fixed_ttl_60s" => Ok(fixed(Duration::from_secs(60))),
            "fixed_ttl_600s" => Ok(fixed(Duration::from_secs(600))),
            "tansyknot" => Ok(Self { retention: Box::new(LeastCost), bounded: true, stages: true }),
            _ => Err(miette!(help = "--list names them", "there is no policy {name:?}")),
        }
    }

    /// Tells whether replicas may be removed to make room for others.
    pub(crate) fn evicts(name: &str) -> bool {
        name != "never_unload"
    }
}
