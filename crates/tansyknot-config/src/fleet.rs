//! The settings file of a daemon that serves a fleet of shared targets.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use tansyknot_core::name::{DaemonName, RegionName, ZoneName};
use thiserror::Error;

use crate::{
    settings::LogLevel,
    unit::{DurationSetting, NonNegative, PositiveDuration},
    yaml,
};

/// The settings of a daemon that serves a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// The name of the daemon, unique among all daemons.
    pub name: DaemonName,
    /// The availability zone of its host.
    pub availability_zone: ZoneName,
    /// The addresses that the daemon listens on.
    pub listen: FleetListen,
    /// The region of each availability zone, for routes and teams that are bound to regions.
    #[serde(default)]
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The bandwidth of the host's link in Mbit/s. A daemon on a slow link leaves the
    /// planning to others.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Bounds that the platform sets.
    pub bounds: FleetBounds,
    /// How requests and loads are scheduled.
    #[serde(default)]
    pub scheduling: FleetScheduling,
    /// Limits on the requests of callers.
    #[serde(default)]
    pub limits: crate::settings::Limits,
    /// Settings of the log.
    #[serde(default)]
    pub telemetry: FleetTelemetry,
}

/// The addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetListen {
    /// The HTTP address for callers.
    pub callers: SocketAddr,
    /// The HTTP address of the readiness check, which reports whether the daemon accepts callers.
    pub ready: SocketAddr,
    /// The IP address of the host.
    pub host: IpAddr,
    /// The UDP port for messages between daemons, on the host's address.
    pub peers_port: u16,
    /// The port of the metrics page, on the host's address. Without it, no page is served.
    #[serde(default)]
    pub metrics_port: Option<u16>,
}

/// Bounds that the platform sets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// The minimum interval between orders of two lease holders to one target.
    pub order_turn: DurationSetting,
    /// Retries allowed per request, as a ratio.
    pub retry_ratio: f64,
    /// Retries that all daemons together may send in one window beyond `retry_ratio`.
    pub retry_slack: f64,
    /// The window in which requests and retries are counted.
    pub retry_window: DurationSetting,
    /// The time after which a target that is leaving gets no new requests, counted from the
    /// update of the list.
    pub leave_within: DurationSetting,
    /// The time within which an accepted configuration must be in force.
    pub config_within: DurationSetting,
    /// The time after which a drained availability zone gets no new requests. Without it,
    /// `config_within` applies.
    #[serde(default)]
    pub zone_drain_within: Option<PositiveDuration>,
    /// The interval at which a target renews its entry in the list.
    pub heartbeat: DurationSetting,
    /// The time after a disturbance of a host within which the bounds hold again.
    pub recover_within: DurationSetting,
    /// The time from the stop signal until the process is killed.
    pub stop_grace: DurationSetting,
    /// The time after which every daemon must reject a revoked key.
    #[serde(default)]
    pub revoke_within: Option<PositiveDuration>,
    /// Whether `revoke_within` also applies to daemons that can't receive revocations, which then
    /// reject keys.
    #[serde(default)]
    pub revoke_fail_closed: bool,
    /// The window in which teams' quotas are counted.
    #[serde(default = "quota_window")]
    pub quota_window: PositiveDuration,
    /// What all daemons together may admit beyond a quota, as a fraction of the quota.
    #[serde(default = "quota_overshoot")]
    pub quota_overshoot: NonNegative,
    /// What all daemons together may admit in one window beyond the quota and its
    /// `quota_overshoot`, in the quota's units.
    #[serde(default)]
    pub quota_slack: NonNegative,
}

fn quota_window() -> PositiveDuration {
    PositiveDuration::from_millis(8000)
}

fn quota_overshoot() -> NonNegative {
    NonNegative::from_permille(100)
}

/// The error of settings that set `revoke_fail_closed` but not `revoke_within`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("bounds.revoke_fail_closed needs bounds.revoke_within")]
pub struct MissingRevocationBound;

/// How requests and loads are scheduled. Each setting selects one decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetScheduling {
    /// How many loads from the weight store run at once.
    pub weight_store: WeightStorePacing,
    /// How a target is selected among those that hold a model.
    pub target_choice: TargetChoice,
    /// How requests that wait for a slot are admitted.
    pub admission: Admission,
    /// How the room at a target is counted.
    pub room: RoomAccounting,
    /// How the number of copies of a model is decided.
    pub copies: CopyPolicy,
    /// What the planner does while the store does not respond.
    pub store_outage: StoreOutage,
}

/// What the planner does while the store does not respond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreOutage {
    /// It stops once its lease lapses.
    #[default]
    Stop,
    /// It continues for a while, with the promises of its followers not to take the lease over.
    Continue,
}

/// How many loads from the weight store run at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightStorePacing {
    /// A fixed number.
    #[default]
    Fixed,
    /// As many as the observed durations of loads show to run at full speed.
    Observed,
}

/// How a target is selected among those that hold a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetChoice {
    /// The target with the fewest requests per slot.
    #[default]
    LeastRequests,
    /// The target with the shortest expected time.
    ExpectedTime,
}

/// How requests that wait for a slot are admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// Whichever request asks first.
    #[default]
    Unordered,
    /// From an ordered queue.
    Ordered,
}

/// How the room at a target is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoomAccounting {
    /// In requests.
    #[default]
    Requests,
    /// In requests and in tokens of the target's cache.
    Tokens,
}

/// How the number of copies of a model is decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CopyPolicy {
    /// From steps of the arrival rate, and from the requests in flight.
    #[default]
    RateSteps,
    /// From arrivals, observed service times and slots.
    ServiceTime,
}

/// The log settings of a daemon that serves a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTelemetry {
    /// The minimum severity that is logged.
    pub log_level: LogLevel,
    /// The maximum number of log lines per second. Further lines are counted and dropped.
    pub log_lines_per_s: u32,
}

impl Default for FleetTelemetry {
    fn default() -> Self {
        Self { log_level: LogLevel::Info, log_lines_per_s: 200 }
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns a report with the line of the error and a hint.
pub fn read(text: &str, file: &str) -> miette::Result<FleetSettings> {
    let settings: FleetSettings = yaml::read_one(text, file)?;
    if settings.bounds.revoke_fail_closed && settings.bounds.revoke_within.is_none() {
        return Err(MissingRevocationBound.into());
    }
    Ok(settings)
}
