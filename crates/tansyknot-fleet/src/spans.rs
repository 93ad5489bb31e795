//! How old a daemon's views may become, worked out from the platform's bounds.

use std::time::Duration;

/// What the platform promises and asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// A target that leaves must get nothing new this long after its entry says so.
    pub leave_within: Duration,
    /// A configuration must be in force this long after it was accepted.
    pub config_within: Duration,
    /// How often a target renews its entry.
    pub heartbeat: Duration,
    /// A host that was disturbed keeps the bounds again this long after that.
    pub recover_within: Duration,
}

impl Default for Bounds {
    /// Returns the bounds of the users' two sites.
    fn default() -> Self {
        Self {
            leave_within: Duration::from_secs(2),
            config_within: Duration::from_secs(2),
            heartbeat: Duration::from_millis(1200),
            recover_within: Duration::from_secs(3),
        }
    }
}

/// The share of the time to a target's leaving for which a view of the list is fresh; the rest is
/// for a call, and for requests that are on their way.
const LIST_SHARE: f64 = 0.65;
/// The share of it after which a planner, or a daemon without news, asks for the list again.
const LIST_PACE_SHARE: f64 = 0.3;
/// The longest pause between two such calls: targets that come and go are learnt of by them.
const LIST_PACE_MOST: Duration = Duration::from_millis(600);
/// The share of the time to a configuration's being in force for which a view of it is fresh.
const CONFIG_SHARE: f64 = 0.8;
/// The share of it for which a call that follows the configuration waits for a change.
const CONFIG_WAIT_SHARE: f64 = 0.5;
/// Entries are up to this many heartbeats old.
const ENTRY_HEARTBEATS: u32 = 2;
/// An entry lapses three heartbeats after its last one, which is up to one before an outage.
const LAPSE_HEARTBEATS: u32 = 2;
/// What the store and the way take beside that.
const ENTRY_MARGIN: Duration = Duration::from_millis(100);

/// What a removal that was kept back takes to be told and picked up by requests.
const RECOVER_MARGIN: Duration = Duration::from_millis(100);

/// How old views may become.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spans {
    /// A daemon whose view of the list is older asks the store itself.
    pub list: Duration,
    /// How often the list is asked for without news of it.
    pub list_pace: Duration,
    /// A daemon whose view of the configuration is older asks the store itself.
    pub config: Duration,
    /// How long a call that follows the configuration waits for a change.
    pub config_wait: Duration,
    /// A note of the planner goes before the list this long.
    pub note: Duration,
    /// Entries may have lapsed if the store was away for longer.
    pub lapse: Duration,
    /// A daemon that has lost the store is held to the bounds again this long after.
    pub recover: Duration,
}

impl Spans {
    /// Works the spans out from the platform's bounds.
    pub fn of(bounds: &Bounds) -> Self {
        Self {
            list: bounds.leave_within.mul_f64(LIST_SHARE),
            list_pace: bounds.leave_within.mul_f64(LIST_PACE_SHARE).min(LIST_PACE_MOST),
            config: bounds.config_within.mul_f64(CONFIG_SHARE),
            config_wait: bounds.config_within.mul_f64(CONFIG_WAIT_SHARE),
            lapse: bounds.heartbeat * LAPSE_HEARTBEATS,
            recover: bounds.recover_within.saturating_sub(RECOVER_MARGIN),
            note: bounds.heartbeat * ENTRY_HEARTBEATS + ENTRY_MARGIN,
        }
    }
}

impl Default for Spans {
    fn default() -> Self {
        Self::of(&Bounds::default())
    }
}
