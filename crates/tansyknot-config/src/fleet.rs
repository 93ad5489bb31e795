//! The settings of a daemon that serves a fleet of shared targets.

use std::net::{IpAddr, SocketAddr};

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use tansyknot_core::name::{DaemonName, ZoneName};
use thiserror::Error;

use crate::{
    settings::LogLevel,
    unit::{Amount, Period, Span},
    yaml,
};

/// Settings of a daemon that serves a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// The name of the daemon; no other may have it.
    pub name: DaemonName,
    /// The availability zone of its host.
    pub availability_zone: ZoneName,
    /// Where it listens.
    pub listen: FleetListen,
    /// The platform's store.
    pub store: SocketAddr,
    /// The host's link, in Mbit/s. Daemons on slow links leave the planning to others.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Bounds that the platform sets.
    pub bounds: FleetBounds,
    /// Bounds on what callers send.
    #[serde(default)]
    pub limits: crate::settings::Limits,
    /// Logs.
    #[serde(default)]
    pub telemetry: FleetTelemetry,
}

/// Listeners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetListen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// Says whether the daemon takes callers.
    pub ready: SocketAddr,
    /// The host's address.
    pub host: IpAddr,
    /// UDP for the other daemons, on the host's address.
    pub peers_port: u16,
    /// The metrics page, on the host's address; none if it is left out.
    #[serde(default)]
    pub metrics_port: Option<u16>,
}

/// Bounds that the platform sets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetBounds {
    /// Orders of two holders to one target lie this far apart.
    pub order_turn: Span,
    /// Second sends for each first one.
    pub retry_ratio: f64,
    /// Second sends beyond that in one window, over all daemons.
    pub retry_slack: f64,
    /// The window in which sends are counted.
    pub retry_window: Span,
    /// A target that leaves must get nothing new this long after the list says so.
    pub leave_within: Span,
    /// A configuration must be in force this long after it was accepted.
    pub config_within: Span,
    /// How often a target renews its entry in the list.
    pub heartbeat: Span,
    /// A host that was disturbed keeps the bounds again this long after that.
    pub recover_within: Span,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Span,
    /// A key that was taken away must be good nowhere after this time.
    #[serde(default)]
    pub revoke_within: Option<Period>,
    /// Whether that holds for daemons too that can't know of it: they refuse keys then.
    #[serde(default)]
    pub revoke_fail_closed: bool,
    /// The window in which teams' quotas are counted.
    #[serde(default = "quota_window")]
    pub quota_window: Period,
    /// What all daemons together may let through beyond a quota, as a share of it.
    #[serde(default = "quota_overshoot")]
    pub quota_overshoot: Amount,
    /// What they may let through beyond that in one window, in the quota's units.
    #[serde(default)]
    pub quota_slack: Amount,
}

fn quota_window() -> Period {
    Period::from_millis(8000)
}

fn quota_overshoot() -> Amount {
    Amount::from_permille(100)
}

/// Bounds that contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error, Diagnostic)]
#[error("bounds.revoke_fail_closed needs bounds.revoke_within")]
pub struct NoRevocationBound;

/// Logs of a daemon that serves a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTelemetry {
    /// The least serious level that is written.
    pub log_level: LogLevel,
    /// Lines a second; further ones are counted and left out.
    pub log_lines_per_s: u32,
}

impl Default for FleetTelemetry {
    fn default() -> Self {
        Self { log_level: LogLevel::Info, log_lines_per_s: 200 }
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// Fails with a report that shows the line and a hint.
pub fn read(text: &str, file: &str) -> miette::Result<FleetSettings> {
    let settings: FleetSettings = yaml::read_one(text, file)?;
    if settings.bounds.revoke_fail_closed && settings.bounds.revoke_within.is_none() {
        return Err(NoRevocationBound.into());
    }
    Ok(settings)
}
