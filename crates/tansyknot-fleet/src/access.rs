//! Access control for requests: identifies the team of a request, checks its key, and charges the
//! team's quota, before the request waits for anything. Has no threads or sockets.
//!
//! `serve` calls this module. `conduct` exchanges its messages with the planner.

pub mod account;
pub mod lending;
pub mod message;
pub mod pending;
pub mod share;
pub mod team;
pub mod view;

use std::{sync::Arc, time::Duration};

use tansyknot_core::{clock::Time, name::TeamName};

use self::{
    team::{Team, Teams},
    view::{KeyView, ViewOptions},
};

/// Why a request is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No team has the key, or the request has none.
    UnknownKey,
    /// This daemon's view of the keys is too old to decide.
    StaleKeys,
}

/// The facts by which a request is identified.
#[derive(Clone, Copy, Debug)]
pub struct RequestCredentials<'a> {
    /// The key that the request carries.
    pub key: Option<&'a str>,
    /// When the request had arrived. It was sent no later, and its key has to be valid when it is
    /// sent: a request that then waits for a load is not checked again.
    pub arrived: Time,
    /// The version of the configuration that `Teams` belongs to.
    pub version: u64,
}

/// Returns the team that sent a request.
///
/// # Errors
///
/// Fails if no team has the key, or if this daemon's view of the keys is too old to decide.
pub fn identify(
    teams: &Teams,
    claim: RequestCredentials<'_>,
    view: &KeyView,
    options: &ViewOptions,
) -> Result<Arc<Team>, Denied> {
    let age = view.age(claim.version, claim.arrived);
    match claim.key.and_then(|key| teams.holder(key)) {
        Some(team) if age <= options.accept_known_for => Ok(Arc::clone(team)),
        None if age <= options.reject_unknown_for => Err(Denied::UnknownKey),
        Some(_) | None => Err(Denied::StaleKeys),
    }
}

/// The result of charging a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The quota had enough units, and they are taken.
    Granted,
    /// The quota has too few units.
    Over {
        /// The expected time until the quota has enough units.
        wait: Duration,
    },
    /// The planner, which maintains the accounts, has not replied.
    Unknown,
}

/// Charges the quotas of teams, over all daemons.
pub trait Quotas: Send + Sync {
    /// Takes `units` of a team's quota; waits for the planner's reply for at most `timeout`.
    fn take(&self, team: &TeamName, units: f64, timeout: Duration) -> QuotaDecision;
}

/// Bounds on keys and quotas, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccessOptions {
    /// How old a view of the keys may be.
    pub view: ViewOptions,
    /// The window in which the use of a quota is counted.
    pub window: Duration,
    /// What may be used beyond a quota, as a fraction of it.
    pub overshoot: f64,
    /// The units that may be used beyond quota and overshoot.
    pub slack: f64,
}

impl Default for AccessOptions {
    fn default() -> Self {
        Self {
            view: ViewOptions::default(),
            window: Duration::from_secs(8),
            overshoot: 0.1,
            slack: 0.0,
        }
    }
}
