//! Teams, their keys and their quotas, as the operators configure them.

use std::{collections::HashMap, sync::Arc};

use tansyknot_core::{
    key::{KeyDigest, Keyring},
    name::TeamName,
};
use thiserror::Error;

use crate::residency::RegionSet;

/// The unit that a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as the number of tokens that it states.
    Tokens,
}

/// A limit on a team's use, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The unit that is counted.
    pub unit: Unit,
    /// Units a second.
    pub rate: f64,
    /// The units that may be used at once.
    pub burst: f64,
    /// The units of a request that states no number of tokens.
    pub default_units: f64,
}

impl Quota {
    /// Returns the units of a request that states `tokens`.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match (self.unit, tokens) {
            (Unit::Requests, _) => 1.0,
            (Unit::Tokens, Some(tokens)) => tokens as f64,
            (Unit::Tokens, None) => self.default_units,
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// The priority of its requests, which replaces their route's.
    pub priority: Option<u8>,
    /// Its quota; `None` for no limit.
    pub quota: Option<Quota>,
    /// The regions to which its requests are bound; `None` for no bound.
    pub regions: Option<RegionSet>,
}

/// A team and the digests of its keys.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// The team.
    pub team: Team,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why a set of teams is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TeamsError {
    /// Two teams have the same name.
    #[error("team {0} is there twice")]
    DuplicateName(TeamName),
    /// Two teams have the same key, or one team has a key twice.
    #[error("a key of team {0} is also a key of team {1}")]
    DuplicateKey(TeamName, TeamName),
    /// A key is empty.
    #[error("team {0} has an empty key")]
    EmptyKey(TeamName),
    /// A number of a quota is negative or not finite.
    #[error("the quota of team {0} has a number that is negative or not finite")]
    BadQuota(TeamName),
}

/// The teams of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    by_name: HashMap<TeamName, Arc<Team>>,
    ring: Keyring<Arc<Team>>,
}

impl Teams {
    /// Creates the teams of a version.
    ///
    /// # Errors
    ///
    /// Fails if a name or key occurs twice, a key is empty, or a quota is malformed.
    pub fn new(entries: Vec<TeamEntry>) -> Result<Self, TeamsError> {
        let mut all = Self::default();
        let empty = KeyDigest::of("");
        for TeamEntry { team, keys } in entries {
            let name = team.name.clone();
            let numbers = team.quota.map(|q| [q.rate, q.burst, q.default_units]);
            if numbers.is_some_and(|all| all.iter().any(|n| !n.is_finite() || *n < 0.0)) {
                return Err(TeamsError::BadQuota(name));
            }
            let team = Arc::new(team);
            for key in keys {
                if key == empty {
                    return Err(TeamsError::EmptyKey(name));
                }
                if let Some(other) = all.ring.insert(key, Arc::clone(&team)) {
                    return Err(TeamsError::DuplicateKey(name, other.name.clone()));
                }
            }
            if all.by_name.insert(name.clone(), team).is_some() {
                return Err(TeamsError::DuplicateName(name));
            }
        }
        Ok(all)
    }

    /// Returns the team that has a key.
    pub fn holder(&self, key: &str) -> Option<&Arc<Team>> {
        self.ring.find(key)
    }

    /// Returns all teams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.by_name.values()
    }

    /// Returns the quota of a team, if the team exists and has one.
    pub fn quota(&self, team: &TeamName) -> Option<Quota> {
        self.by_name.get(team)?.quota
    }
}
