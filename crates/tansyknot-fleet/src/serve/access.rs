//! Who asks, and whether their quota has room: asked before a request waits for anything.

use std::{sync::Arc, time::Duration};

use tansyknot_core::{clock::Time, metric, name::ServiceName};
use tansyknot_http::head::Head;

use super::{
    Server,
    run::{Reason, Refused, Run},
};
use crate::{
    access::{self, Claim, Denied, Ruling, team::Team, view::KeyView},
    catalog::{Catalog, Route},
    outside::{Ask, Sender},
};

/// Who keeps the accounts is waited for this long at most: a planner that is lost is replaced by then.
const PATIENCE_MOST: Duration = Duration::from_millis(2300);
/// The part of a request's time that this may take.
const PATIENCE_SHARE: f64 = 0.3;

/// Whose request it is.
#[derive(Clone, Debug)]
pub(super) enum Asker {
    /// There are no teams.
    Anybody,
    /// Its route needs no key.
    Public,
    /// A team.
    Team(Arc<Team>),
}

impl Asker {
    /// Returns what a target is told.
    pub(super) fn sender(&self) -> Sender<'_> {
        match self {
            Asker::Anybody => Sender::Anybody,
            Asker::Public => Sender::Public,
            Asker::Team(team) => Sender::Team(&team.name),
        }
    }

    /// Returns the rank of a request on `route`: its team's goes first.
    pub(super) fn priority(&self, route: &Route) -> u8 {
        match self {
            Asker::Team(team) => team.priority.unwrap_or(route.priority),
            Asker::Anybody | Asker::Public => route.priority,
        }
    }

    /// Returns the name that logs use.
    pub(super) fn name(&self) -> &str {
        match self {
            Asker::Team(team) => team.name.as_str(),
            Asker::Anybody | Asker::Public => "",
        }
    }
}

/// What was taken of a quota for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    units: f64,
    taken: Time,
}

impl Server {
    /// Finds out whose request it is that had arrived at `arrived`.
    pub(super) fn identify(
        &self,
        head: &Head,
        route: &Route,
        catalog: &Catalog,
        view: &KeyView,
        arrived: Time,
    ) -> Result<Asker, Reason> {
        let Some(teams) = &catalog.teams else { return Ok(Asker::Anybody) };
        if route.is_public {
            return Ok(Asker::Public);
        }
        let claim = Claim { key: self.dialect.key(head), arrived, version: catalog.version };
        let team = access::identify(teams, claim, view, &self.state.access.view);
        match team {
            Ok(team) => Ok(Asker::Team(team)),
            Err(Denied::UnknownKey) if !self.is_behind(catalog) => Err(Reason::UnknownKey),
            Err(Denied::UnknownKey | Denied::StaleKeys) => Err(Reason::StaleKeys),
        }
    }

    /// Tells whether a newer configuration is known of, which may have the key.
    fn is_behind(&self, catalog: &Catalog) -> bool {
        self.state.followed().config_version() > catalog.version
    }

    /// Takes what a request costs from its team's quota; `allowed` is how long it may take.
    pub(super) fn take_quota(
        &self,
        asker: &Asker,
        ask: &Ask,
        allowed: Duration,
    ) -> Result<Option<Cost>, Refused> {
        let Asker::Team(team) = asker else { return Ok(None) };
        let Some(quota) = team.quota else { return Ok(None) };
        let units = quota.cost(ask.tokens);
        let patience = allowed.mul_f64(PATIENCE_SHARE).min(PATIENCE_MOST);
        let taken = self.state.now();
        let ruling = self.quotas.take(&team.name, units, patience);
        let of = ServiceName::from(team.name.as_str());
        match ruling {
            Ruling::Granted => {
                self.recorder.count(metric::QUOTA_GRANTED.name, &of, 1);
                Ok(Some(Cost { units, taken }))
            }
            Ruling::Over { wait } => {
                self.recorder.count(metric::QUOTA_OVER.name, &of, 1);
                Err(Refused { reason: Reason::OverQuota, come_back: Some(wait) })
            }
            Ruling::Unknown => {
                self.recorder.count(metric::QUOTA_UNKNOWN.name, &of, 1);
                Err(Refused { reason: Reason::QuotaUnknown, come_back: None })
            }
        }
    }

    /// Gives back what a request cost that no target has run, and puts down what second sends of it
    /// cost.
    pub(super) fn settle(&self, run: &Run<'_>) {
        let (Asker::Team(team), Some(cost)) = (&run.asker, run.cost) else { return };
        let now = self.state.now();
        let mut pending = self.state.pending();
        match run.runs {
            0 => pending.give_back(&team.name, cost.units, cost.taken, now),
            1 => {}
            more => pending.again(&team.name, cost.units * f64::from(more - 1), now),
        }
    }
}
