//! Teams, their keys and their quotas, as the operators wrote them.

use std::{collections::HashMap, sync::Arc};

use tansyknot_core::{
    key::{KeyDigest, Keyring},
    name::TeamName,
};
use thiserror::Error;

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
    /// Each request is one.
    #[default]
    Requests,
    /// A request is the tokens that it says it takes.
    Tokens,
}

/// What a team may use, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub rate: f64,
    /// Units beyond that at once.
    pub burst: f64,
    /// The units of a request that does not say how many tokens it takes.
    pub plain: f64,
}

impl Quota {
    /// Returns the units of a request that says it takes `tokens`.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match (self.unit, tokens) {
            (Unit::Requests, _) => 1.0,
            (Unit::Tokens, Some(tokens)) => tokens as f64,
            (Unit::Tokens, None) => self.plain,
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// The rank of its requests, in place of their route's.
    pub priority: Option<u8>,
    /// What it may use; `None` for no limit.
    pub quota: Option<Quota>,
}

/// A team and the digests of its keys.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// The team.
    pub team: Team,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
}

/// Why teams can't be put in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TeamsError {
    /// Two teams have one name.
    #[error("team {0} is there twice")]
    NameTwice(TeamName),
    /// Two teams, or one twice, have the same key.
    #[error("a key of team {0} is also a key of team {1}")]
    KeyTwice(TeamName, TeamName),
    /// A key is empty.
    #[error("team {0} has an empty key")]
    EmptyKey(TeamName),
    /// A number of a quota is negative or none.
    #[error("the quota of team {0} has a number that is negative or none")]
    BadQuota(TeamName),
}

/// The teams of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    by_name: HashMap<TeamName, Arc<Team>>,
    ring: Keyring<Arc<Team>>,
}

impl Teams {
    /// Makes the teams of a version.
    ///
    /// # Errors
    ///
    /// Fails if a name or key is there twice, a key is empty, or a quota is malformed.
    pub fn new(entries: Vec<TeamEntry>) -> Result<Self, TeamsError> {
        let mut all = Self::default();
        let empty = KeyDigest::of("");
        for TeamEntry { team, keys } in entries {
            let name = team.name.clone();
            let numbers = team.quota.map(|q| [q.rate, q.burst, q.plain]);
            if numbers.is_some_and(|all| all.iter().any(|n| !n.is_finite() || *n < 0.0)) {
                return Err(TeamsError::BadQuota(name));
            }
            let team = Arc::new(team);
            for key in keys {
                if key == empty {
                    return Err(TeamsError::EmptyKey(name));
                }
                if let Some(other) = all.ring.insert(key, Arc::clone(&team)) {
                    return Err(TeamsError::KeyTwice(name, other.name.clone()));
                }
            }
            if all.by_name.insert(name.clone(), team).is_some() {
                return Err(TeamsError::NameTwice(name));
            }
        }
        Ok(all)
    }

    /// Returns the team that holds a key.
    pub fn holder(&self, key: &str) -> Option<&Arc<Team>> {
        self.ring.find(key)
    }

    /// Returns all teams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.by_name.values()
    }

    /// Returns the quota of a team, if it is there and has one.
    pub fn quota(&self, team: &TeamName) -> Option<Quota> {
        self.by_name.get(team)?.quota
    }
}
