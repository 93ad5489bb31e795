//! The settings file of a daemon.

use std::net::SocketAddr;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use tansyknot_core::name::{DaemonName, ZoneName};
use thiserror::Error;

use crate::{
    unit::{Bytes, DurationSetting},
    yaml,
};

/// The settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the daemon, unique among all daemons.
    pub name: DaemonName,
    /// The availability zone of its host.
    pub availability_zone: ZoneName,
    /// The addresses that the daemon listens on.
    pub listen: Listen,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// Limits on connections and requests of callers.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of a graceful shutdown.
    #[serde(default)]
    pub drain: Drain,
    /// The intervals at which state is refreshed.
    #[serde(default)]
    pub refresh: Refresh,
    /// Settings of logs, metrics and spans.
    #[serde(default)]
    pub telemetry: Telemetry,
}

/// The addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The HTTP address for callers.
    pub callers: SocketAddr,
    /// The HTTP address for operators, which must not be reachable from public networks.
    pub operators: SocketAddr,
    /// The UDP address for messages between daemons.
    pub peers: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the table service.
    pub table: SocketAddr,
    /// The address of the service that lists the hosts.
    pub hosts: SocketAddr,
    /// A filter for the list of hosts, such as `region=dakar`. The daemon uses matching hosts only.
    #[serde(default)]
    pub hosts_query: String,
    /// The timeout of a call to the table service or the list of hosts.
    #[serde(default = "Platform::default_timeout")]
    pub timeout: DurationSetting,
}

impl Platform {
    fn default_timeout() -> DurationSetting {
        DurationSetting::from_secs(2)
    }
}

/// Limits on connections and requests of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of a request's head.
    pub head: Bytes,
    /// The maximum size of a request's body.
    pub body: Bytes,
    /// The memory of the host, of which connections and requests get their shares.
    pub memory: Bytes,
    /// The number of descriptors that the process may have; by default, what the system allows.
    pub descriptors: Option<u32>,
    /// The maximum number of connections, if memory and descriptors allow as many. Each one uses a
    /// thread.
    pub connections: u32,
    /// The timeout for receiving a head or a body.
    pub receive_timeout: DurationSetting,
    /// The timeout of an idle connection between requests.
    pub idle_timeout: DurationSetting,
    /// The timeout of a write to a caller.
    pub write_timeout: DurationSetting,
    /// The maximum size of the responses that a daemon holds for its callers together; by default,
    /// what a share of `memory` for requests and responses leaves.
    pub response_buffers: Option<Bytes>,
    /// The maximum number of requests that wait for one service.
    pub waiting_per_service: u32,
    /// The maximum deadline, and the default for requests without a deadline of their own or of a
    /// rule.
    pub deadline_max: DurationSetting,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: Bytes::new(16 << 10),
            body: Bytes::new(4 << 20),
            // The smallest host.
            memory: Bytes::new(120 << 20),
            descriptors: None,
            connections: 4096,
            receive_timeout: DurationSetting::from_secs(10),
            idle_timeout: DurationSetting::from_secs(60),
            write_timeout: DurationSetting::from_secs(10),
            response_buffers: None,
            waiting_per_service: 512,
            deadline_max: DurationSetting::from_secs(3600),
        }
    }
}

/// Settings of a graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// The time that requests in flight have to finish, counted from the stop signal and including
    /// `linger`. Requests still in flight after it are aborted.
    pub timeout: DurationSetting,
    /// The time after the stop signal for which the daemon still accepts connections and requests.
    /// Its health check fails meanwhile, so that the load balancer takes it out of rotation.
    pub linger: DurationSetting,
}

impl Default for Drain {
    fn default() -> Self {
        Self { timeout: DurationSetting::from_secs(300), linger: DurationSetting::from_millis(500) }
    }
}

/// The intervals at which state is refreshed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Refresh {
    /// The interval of checks for a new version of the configuration.
    pub config: DurationSetting,
    /// The interval of reads of the list of hosts.
    pub hosts: DurationSetting,
    /// The interval of the control loop for replicas.
    pub replicas: DurationSetting,
}

impl Default for Refresh {
    fn default() -> Self {
        Self {
            config: DurationSetting::from_secs(1),
            hosts: DurationSetting::from_secs(1),
            replicas: DurationSetting::from_millis(50),
        }
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON document per line.
    #[default]
    Json,
    /// Text for people.
    Text,
}

/// The minimum severity that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Events of interest to operators, warnings and errors.
    #[default]
    Info,
    /// All of the above and one line per request.
    Debug,
}

/// Settings of logs, metrics and spans.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// The format of log lines on standard error.
    pub log_format: LogFormat,
    /// The minimum severity that is logged.
    pub log_level: LogLevel,
    /// The UDP address of a StatsD collector for metrics.
    pub statsd: Option<SocketAddr>,
    /// Whether spans are written to standard output, as one JSON line each.
    pub spans: bool,
}

/// A semantic error in settings that parse.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SettingsError {
    /// Two listeners share an address.
    #[error("listen.{a} and listen.{b} are the same address")]
    #[diagnostic(help("give each listener a port of its own"))]
    SameAddress {
        /// The name of one listener.
        a: &'static str,
        /// The name of the other listener.
        b: &'static str,
    },
    /// A bound that must be positive is zero.
    #[error("{field} is zero")]
    #[diagnostic(help("omit it for the default, or give a positive value"))]
    Zero {
        /// The field.
        field: &'static str,
    },
    /// The refresh interval is too long for a configuration to be in force within 4 s.
    #[error("refresh.config is above 2s")]
    #[diagnostic(help("an accepted configuration must be in force everywhere within 4 s"))]
    ConfigRefreshTooSlow,
    /// The refresh interval is too long for a leaving target to be excluded from new requests in
    /// time.
    #[error("refresh.hosts is above 2s")]
    #[diagnostic(help("a leaving target must get no new requests after a few seconds"))]
    HostsRefreshTooSlow,
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns a report with the line of the error and a hint.
pub fn read(text: &str, file: &str) -> miette::Result<Settings> {
    let settings: Settings = yaml::read_one(text, file)?;
    check(&settings)?;
    Ok(settings)
}

/// Maximum refresh interval at which the bounds in docs/PROMISES.md hold.
const MAX_REFRESH_INTERVAL: DurationSetting = DurationSetting::from_secs(2);

fn check(s: &Settings) -> Result<(), SettingsError> {
    let listen = &s.listen;
    if listen.callers == listen.operators && listen.callers.port() != 0 {
        return Err(SettingsError::SameAddress { a: "callers", b: "operators" });
    }
    let zero = |field| Err(SettingsError::Zero { field });
    match &s.limits {
        l if l.head.get() == 0 => return zero("limits.head"),
        l if l.body.get() == 0 => return zero("limits.body"),
        l if l.memory.get() == 0 => return zero("limits.memory"),
        l if l.descriptors == Some(0) => return zero("limits.descriptors"),
        l if l.connections == 0 => return zero("limits.connections"),
        l if l.receive_timeout.duration().is_zero() => return zero("limits.receive_timeout"),
        l if l.idle_timeout.duration().is_zero() => return zero("limits.idle_timeout"),
        l if l.write_timeout.duration().is_zero() => return zero("limits.write_timeout"),
        l if l.deadline_max.duration().is_zero() => return zero("limits.deadline_max"),
        _ => {}
    }
    if s.refresh.replicas.duration().is_zero() {
        return zero("refresh.replicas");
    }
    if s.refresh.config > MAX_REFRESH_INTERVAL {
        return Err(SettingsError::ConfigRefreshTooSlow);
    }
    if s.refresh.hosts > MAX_REFRESH_INTERVAL {
        return Err(SettingsError::HostsRefreshTooSlow);
    }
    Ok(())
}
