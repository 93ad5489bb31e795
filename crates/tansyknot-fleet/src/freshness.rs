//! Maximum ages of a daemon's views, derived from the platform's bounds.

use std::time::Duration;

/// The platform's guarantees and requirements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum time from when a target's entry shows that it is draining until it gets no new
    /// requests.
    pub leave_within: Duration,
    /// The time within which an accepted configuration must be in force.
    pub config_within: Duration,
    /// The interval at which a target renews its entry.
    pub heartbeat: Duration,
    /// The time after a disturbance within which a host must meet the bounds again.
    pub recover_within: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            leave_within: Duration::from_secs(2),
            config_within: Duration::from_secs(2),
            heartbeat: Duration::from_millis(1200),
            recover_within: Duration::from_secs(3),
        }
    }
}

/// The share of `leave_within` for which a view of the list is fresh. The rest is for a call to the
/// store, and for requests that are being sent.
const LIST_FRESH_SHARE: f64 = 0.65;
/// The share of `leave_within` after which a planner, or a daemon without updates, polls the list.
const LIST_POLL_SHARE: f64 = 0.3;
/// Maximum interval between two such polls, by which new and removed targets are found.
const MAX_LIST_POLL_INTERVAL: Duration = Duration::from_millis(600);
/// The share of `config_within` for which a view of the configuration is fresh.
const CONFIG_FRESH_SHARE: f64 = 0.8;
/// The share of `config_within` for which a call that follows the configuration may wait.
const CONFIG_WAIT_SHARE: f64 = 0.5;
/// The share of `config_within` for which an announced version is left to other daemons, before a call
/// to the store. Both together take less than half of the bound.
const CONFIG_DEFERRAL_SHARE: f64 = 0.25;
/// How long an override takes precedence over the list, in heartbeats: the maximum age of an entry.
const OVERRIDE_HEARTBEATS: u32 = 2;
/// The length of an outage of the store, in heartbeats, after which entries may have expired. An
/// entry expires three heartbeats after its last renewal, which may be up to one heartbeat before
/// the outage.
const EXPIRY_HEARTBEATS: u32 = 2;
/// Added to the duration of an override, for the delays of the store and the network.
const OVERRIDE_MARGIN: Duration = Duration::from_millis(100);

/// The time that a deferred removal takes to be published and to reach requests.
const RECOVER_MARGIN: Duration = Duration::from_millis(100);

/// Maximum ages of views, and intervals of calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Maximum age of the view of the list, beyond which a daemon queries the store.
    pub max_list_age: Duration,
    /// The interval at which the list is polled if no updates of it arrive.
    pub list_poll_interval: Duration,
    /// Maximum age of the view of the configuration, beyond which a daemon queries the store.
    pub max_config_age: Duration,
    /// Age of the view of the configuration beyond which it may lack a change that must be in force.
    pub config_within: Duration,
    /// How long a call that follows the configuration waits for a change.
    pub config_wait: Duration,
    /// How long an announced version of the configuration is left to other daemons.
    pub max_config_deferral: Duration,
    /// How long an override of the planner precedes the list.
    pub override_ttl: Duration,
    /// The length of an outage of the store beyond which entries may have expired.
    pub expiry: Duration,
    /// The time after an outage of the store at which a daemon must meet the bounds again.
    pub recovery: Duration,
}

impl FreshnessLimits {
    /// Derives the limits from the platform's bounds.
    pub fn from_bounds(bounds: &Bounds) -> Self {
        Self {
            max_list_age: bounds.leave_within.mul_f64(LIST_FRESH_SHARE),
            list_poll_interval: bounds
                .leave_within
                .mul_f64(LIST_POLL_SHARE)
                .min(MAX_LIST_POLL_INTERVAL),
            max_config_age: bounds.config_within.mul_f64(CONFIG_FRESH_SHARE),
            config_within: bounds.config_within,
            config_wait: bounds.config_within.mul_f64(CONFIG_WAIT_SHARE),
            max_config_deferral: bounds.config_within.mul_f64(CONFIG_DEFERRAL_SHARE),
            expiry: bounds.heartbeat * EXPIRY_HEARTBEATS,
            recovery: bounds.recover_within.saturating_sub(RECOVER_MARGIN),
            override_ttl: bounds.heartbeat * OVERRIDE_HEARTBEATS + OVERRIDE_MARGIN,
        }
    }
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self::from_bounds(&Bounds::default())
    }
}
