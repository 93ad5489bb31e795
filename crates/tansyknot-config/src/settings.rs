//! The settings file of a daemon.

use std::net::SocketAddr;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use tansyknot_core::name::{DaemonName, ZoneName};
use thiserror::Error;

use crate::{
    unit::{Bytes, Span},
    yaml,
};

/// The settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the daemon, of its own among all daemons.
    pub name: DaemonName,
    /// The availability zone that its host stands in.
    pub availability_zone: ZoneName,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub limits: Limits,
    /// How a planned stop goes.
    #[serde(default)]
    pub drain: Drain,
    /// How often state is refreshed.
    #[serde(default)]
    pub refresh: Refresh,
    /// Where logs, metrics and spans go.
    #[serde(default)]
    pub telemetry: Telemetry,
}

/// Where a daemon listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators; keep it off public networks.
    pub operators: SocketAddr,
    /// UDP for peers.
    pub peers: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The table service.
    pub table: SocketAddr,
    /// The list of hosts.
    pub hosts: SocketAddr,
    /// A query for the list of hosts, such as `region=dakar`; a daemon then knows only those.
    #[serde(default)]
    pub hosts_query: String,
    /// How long a call to either may take.
    #[serde(default = "Platform::default_timeout")]
    pub timeout: Span,
}

impl Platform {
    fn default_timeout() -> Span {
        Span::from_secs(2)
    }
}

/// Bounds on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The head of a request.
    pub head: Bytes,
    /// The body of a request.
    pub body: Bytes,
    /// Connections at once; each takes a thread.
    pub connections: u32,
    /// How long a head or body may take to arrive.
    pub receive_timeout: Span,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Span,
    /// How long a write to a caller may block.
    pub write_timeout: Span,
    /// Requests that may wait for one service.
    pub waiting_per_service: u32,
    /// How long a request may take if neither it nor a rule says; also the longest deadline.
    pub deadline_max: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: Bytes::new(16 << 10),
            body: Bytes::new(4 << 20),
            connections: 4096,
            receive_timeout: Span::from_secs(10),
            idle_timeout: Span::from_secs(60),
            write_timeout: Span::from_secs(10),
            waiting_per_service: 512,
            deadline_max: Span::from_secs(3600),
        }
    }
}

/// How a planned stop goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// Requests in flight get this long before the process ends all the same.
    pub timeout: Span,
    /// New requests are still refused politely for at least this long, for the balancer.
    pub linger: Span,
}

impl Default for Drain {
    fn default() -> Self {
        Self { timeout: Span::from_secs(300), linger: Span::from_millis(500) }
    }
}

/// How often state is refreshed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Refresh {
    /// The version of the configuration.
    pub config: Span,
    /// The list of hosts.
    pub hosts: Span,
    /// The control loop for replicas.
    pub replicas: Span,
}

impl Default for Refresh {
    fn default() -> Self {
        Self {
            config: Span::from_secs(1),
            hosts: Span::from_secs(1),
            replicas: Span::from_millis(50),
        }
    }
}

/// The layout of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON document a line.
    #[default]
    Json,
    /// For people.
    Text,
}

/// The least serious level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// What operators want to know.
    #[default]
    Info,
    /// A line for each request.
    Debug,
}

/// Where logs, metrics and spans go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Telemetry {
    /// The layout of log lines on standard error.
    pub log_format: LogFormat,
    /// The least serious level that is logged.
    pub log_level: LogLevel,
    /// A StatsD collector for metrics, by UDP.
    pub statsd: Option<SocketAddr>,
    /// Whether spans are written, a JSON line each, to standard output.
    pub spans: bool,
}

/// A contradiction in settings that parse.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SettingsError {
    /// Two listeners share an address.
    #[error("listen.{a} and listen.{b} are the same address")]
    #[diagnostic(help("give each listener a port of its own"))]
    SameAddress {
        /// One listener.
        a: &'static str,
        /// The other.
        b: &'static str,
    },
    /// A bound that must be positive is zero.
    #[error("{field} is zero")]
    #[diagnostic(help("leave it out for the default, or give a positive value"))]
    Zero {
        /// The field.
        field: &'static str,
    },
    /// The configuration would not be in force within 4 s.
    #[error("refresh.config is above 2s")]
    #[diagnostic(help("an accepted configuration must be in force everywhere within 4 s"))]
    RefreshTooSlow,
    /// A leaving target would receive work for too long.
    #[error("refresh.hosts is above 2s")]
    #[diagnostic(help("a leaving target must get no new work after a few seconds"))]
    HostsTooSlow,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails with a report that shows the line and a hint.
pub fn read(text: &str, file: &str) -> miette::Result<Settings> {
    let settings: Settings = yaml::read_one(text, file)?;
    check(&settings)?;
    Ok(settings)
}

/// The slowest refresh that keeps the bounds of docs/PROMISES.md.
const SLOWEST_REFRESH: Span = Span::from_secs(2);

fn check(s: &Settings) -> Result<(), SettingsError> {
    let listen = &s.listen;
    if listen.callers == listen.operators && listen.callers.port() != 0 {
        return Err(SettingsError::SameAddress { a: "callers", b: "operators" });
    }
    let zero = |field| Err(SettingsError::Zero { field });
    match &s.limits {
        l if l.head.get() == 0 => return zero("limits.head"),
        l if l.body.get() == 0 => return zero("limits.body"),
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
    if s.refresh.config > SLOWEST_REFRESH {
        return Err(SettingsError::RefreshTooSlow);
    }
    if s.refresh.hosts > SLOWEST_REFRESH {
        return Err(SettingsError::HostsTooSlow);
    }
    Ok(())
}
