//! Who asks, whether the key still holds, and what the team may use: decided before a request waits
//! for anything, without threads or sockets.
//!
//! `serve` asks, `conduct` carries the questions to the planner and its answers back.

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

/// Why a request with a key, or without one, is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Nobody holds the key, or there is none.
    UnknownKey,
    /// This daemon's view is too old to tell.
    StaleKeys,
}

/// What is known of a request when it is judged.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// The key that it came with.
    pub key: Option<&'a str>,
    /// When it had arrived. It was sent no later, and what counts is when it was sent: one that waits
    /// for a load after that is not judged again.
    pub arrived: Time,
    /// The version of the configuration that `Teams` is of.
    pub version: u64,
}

/// Finds the team that a request is of.
///
/// # Errors
///
/// Fails if nobody holds the key, or this daemon can't tell.
pub fn identify(
    teams: &Teams,
    claim: Claim<'_>,
    view: &KeyView,
    options: &ViewOptions,
) -> Result<Arc<Team>, Denied> {
    let age = view.age(claim.version, claim.arrived);
    match claim.key.and_then(|key| teams.holder(key)) {
        Some(team) if age <= options.good_for => Ok(Arc::clone(team)),
        None if age <= options.settled_for => Err(Denied::UnknownKey),
        Some(_) | None => Err(Denied::StaleKeys),
    }
}

/// What became of taking from a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// There was enough.
    Granted,
    /// There was not.
    Over {
        /// When there should be.
        wait: Duration,
    },
    /// Nobody has answered who keeps the accounts.
    Unknown,
}

/// Takes from the quotas of teams, over all daemons.
pub trait Quotas: Send + Sync {
    /// Takes `units`, waiting for who keeps the accounts for `patience` at most.
    fn take(&self, team: &TeamName, units: f64, patience: Duration) -> Ruling;
}

/// Bounds on keys and quotas, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccessOptions {
    /// How old a view of the keys may be.
    pub view: ViewOptions,
    /// The window in which a quota is counted.
    pub window: Duration,
    /// What may be used beyond a quota, as a share of it.
    pub overshoot: f64,
    /// What may be used beyond that.
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
