//! Identification of the team behind a request, and its quota. Both are checked on arrival, before
//! the request waits for anything else.

use std::{sync::Arc, time::Duration};

use tansyknot_core::{clock::Time, metric, name::ServiceName};
use tansyknot_http::head::Head;

use super::{
    Server,
    request::{ActiveRequest, Reason, Refusal},
};
use crate::{
    access::{self, Denied, QuotaDecision, RequestCredentials, team::Team, view::KeyView},
    catalog::{Catalog, Route},
    platform_api::{RequestParams, RequestSender},
    residency::RegionSet,
};

/// Maximum wait of a request for the planner, which keeps the quota accounts. A lost planner is
/// usually replaced by then.
const MAX_QUOTA_WAIT: Duration = Duration::from_millis(2300);
/// Maximum share of a request's time limit spent waiting for the quota decision.
const MAX_QUOTA_WAIT_SHARE: f64 = 0.3;

/// The identity under which a request was sent.
#[derive(Clone, Debug)]
pub(super) enum Identity {
    /// The configuration has no teams.
    Anybody,
    /// The route needs no key.
    Public,
    /// The key belongs to this team.
    Team(Arc<Team>),
}

impl Identity {
    /// Returns the sender that the target receives with the request.
    pub(super) fn sender(&self) -> RequestSender<'_> {
        match self {
            Identity::Anybody => RequestSender::NoTeams,
            Identity::Public => RequestSender::Public,
            Identity::Team(team) => RequestSender::Team(&team.name),
        }
    }

    /// Returns the priority of a request on `route`; the team's priority overrides the route's.
    pub(super) fn priority(&self, route: &Route) -> u8 {
        match self {
            Identity::Team(team) => team.priority.unwrap_or(route.priority),
            Identity::Anybody | Identity::Public => route.priority,
        }
    }

    /// Returns the regions to which a request on `route` is bound, each of which must allow it.
    pub(super) fn residency_bounds<'a>(&'a self, route: &'a Route) -> Vec<&'a RegionSet> {
        let of_team = match self {
            Identity::Team(team) => team.regions.as_ref(),
            Identity::Anybody | Identity::Public => None,
        };
        route.regions.iter().chain(of_team).collect()
    }

    /// Returns the team's name for logs; empty if there is no team.
    pub(super) fn name(&self) -> &str {
        match self {
            Identity::Team(team) => team.name.as_str(),
            Identity::Anybody | Identity::Public => "",
        }
    }
}

/// The units that a request has taken from its team's quota.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    units: f64,
    taken_at: Time,
}

impl Server {
    /// Identifies the team behind a request that arrived at `arrived`.
    pub(super) fn identify(
        &self,
        head: &Head,
        route: &Route,
        catalog: &Catalog,
        view: &KeyView,
        arrived: Time,
    ) -> Result<Identity, Reason> {
        let Some(teams) = &catalog.teams else { return Ok(Identity::Anybody) };
        if route.is_public {
            return Ok(Identity::Public);
        }
        let credentials =
            RequestCredentials { key: self.dialect.key(head), arrived, version: catalog.version };
        let team = access::identify(teams, credentials, view, &self.state.access.view);
        match team {
            Ok(team) => Ok(Identity::Team(team)),
            Err(Denied::UnknownKey) if !self.is_config_outdated(catalog) => Err(Reason::UnknownKey),
            Err(Denied::UnknownKey | Denied::StaleKeys) => Err(Reason::StaleKeys),
        }
    }

    /// Returns whether a newer configuration than `catalog` exists, which may contain the key.
    fn is_config_outdated(&self, catalog: &Catalog) -> bool {
        self.state.planner_view().config_version() > catalog.version
    }

    /// Takes the cost of a request from its team's quota; `time_limit` is the request's time limit.
    pub(super) fn take_quota(
        &self,
        identity: &Identity,
        params: &RequestParams,
        time_limit: Duration,
    ) -> Result<Option<Cost>, Refusal> {
        let Identity::Team(team) = identity else { return Ok(None) };
        let Some(quota) = team.quota else { return Ok(None) };
        let units = quota.cost(params.tokens);
        let max_wait = time_limit.mul_f64(MAX_QUOTA_WAIT_SHARE).min(MAX_QUOTA_WAIT);
        let taken_at = self.state.now();
        let decision = self.quotas.take(&team.name, units, max_wait);
        let label = ServiceName::from(team.name.as_str());
        match decision {
            QuotaDecision::Granted => {
                self.recorder.count(metric::QUOTA_GRANTED.name, &label, 1);
                Ok(Some(Cost { units, taken_at }))
            }
            QuotaDecision::Over { wait } => {
                self.recorder.count(metric::QUOTA_OVER.name, &label, 1);
                Err(Refusal { reason: Reason::OverQuota, retry_after: Some(wait) })
            }
            QuotaDecision::Unknown => {
                self.recorder.count(metric::QUOTA_UNKNOWN.name, &label, 1);
                Err(Refusal { reason: Reason::QuotaUnknown, retry_after: None })
            }
        }
    }

    /// Refunds the cost of a request that no target ran, and charges each further run of it.
    pub(super) fn settle_quota(&self, request: &ActiveRequest<'_>) {
        let (Identity::Team(team), Some(cost)) = (&request.identity, request.cost) else { return };
        let now = self.state.now();
        let mut pending = self.state.pending_quotas();
        match request.runs {
            0 => pending.give_back(&team.name, cost.units, cost.taken_at, now),
            1 => {}
            runs => pending.charge_retries(&team.name, cost.units * f64::from(runs - 1), now),
        }
    }
}
