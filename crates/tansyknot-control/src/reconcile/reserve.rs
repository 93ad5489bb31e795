//! Reservation of a replica: chooses a target, checks the limit and the memory, and commits.

use rand::seq::IndexedRandom;
use tansyknot_core::{
    Error, Result,
    engine::{EngineStatus, ModelState, Tier},
    event,
    host::{Target, TargetKind},
    name::{ServiceName, TargetName, ZoneName},
    replica::{MemoryRow, ReplicaRow},
};
use tansyknot_policy::{
    placement::{PlacementCandidate, PlacementRequirements},
    staging::Staging,
};

use super::{ModelConfig, Reconciler, ServiceState, SlotWork};
use crate::{
    claim::Claim,
    replicas::{self, ReserveError, ReserveRequest, Versioned},
};

/// The most targets that are queried for a placement; a random sample if more are eligible.
const MAX_QUERIED_TARGETS: usize = 12;

/// A target with its memory row and engine status, as read for a placement.
struct Candidate {
    target: Target,
    memory: Versioned<MemoryRow>,
    status: EngineStatus,
}

impl Candidate {
    /// Returns the bytes in use beyond the reservations, for instance after the table lost rows.
    fn unexplained_bytes(&self) -> u64 {
        self.status.used_bytes.saturating_sub(self.memory.row.reserved_bytes())
    }

    fn total_bytes(&self) -> u64 {
        self.target.memory_bytes.min(self.status.memory_bytes)
    }

    fn place(&self, service: &ServiceName) -> PlacementCandidate {
        let taken = self.memory.row.reserved_bytes().saturating_add(self.unexplained_bytes());
        let loading = self.status.models.iter().filter(|m| m.state == ModelState::Loading);
        PlacementCandidate {
            target: self.target.name.clone(),
            availability_zone: self.target.availability_zone.clone(),
            free_bytes: self.total_bytes().saturating_sub(taken),
            tier: self.status.tier(service),
            loading: u32::try_from(loading.count()).unwrap_or(u32::MAX),
            in_flight: self.status.models.iter().map(|m| m.in_flight).sum(),
        }
    }
}

/// The outcome of [`Reconciler::reserve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReserveOutcome {
    /// A replica is reserved.
    Reserved,
    /// Another daemon changed the rows concurrently; the next step retries.
    Conflicted,
    /// No target has enough memory left.
    NoRoom,
    /// No target that matches the rule's selector is listed and responds.
    NoTarget,
}

impl Reconciler {
    /// Reserves one more replica on the best target; the load order is sent separately.
    pub(super) fn reserve(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        model_config: &ModelConfig,
    ) -> Result<ReserveOutcome> {
        let candidates = self.query_targets(model_config)?;
        if candidates.is_empty() {
            return Ok(ReserveOutcome::NoTarget);
        }
        let need = need(&replicas.row, model_config, &candidates);
        let places: Vec<PlacementCandidate> = candidates.iter().map(|c| c.place(service)).collect();
        let Some(best) = self.parts.placement.rank(&need, &places).first().copied() else {
            return Ok(ReserveOutcome::NoRoom);
        };
        self.reserve_at(service, state, replicas, model_config, &candidates[best])
    }

    /// Queries the targets for the nearest checkpoint of a service, the running loads and whether
    /// there is room for a replica.
    pub(super) fn read_staging(
        &self,
        service: &ServiceName,
        model_config: &ModelConfig,
    ) -> Result<Staging> {
        let candidates = self.query_targets(model_config)?;
        let places: Vec<PlacementCandidate> = candidates.iter().map(|c| c.place(service)).collect();
        let need = need(&ReplicaRow::default(), model_config, &candidates);
        Ok(Staging {
            nearest: places.iter().map(|p| p.tier).min().unwrap_or(Tier::Remote),
            loading: places.iter().map(|p| p.loading).sum(),
            has_room: !self.parts.placement.rank(&need, &places).is_empty(),
        })
    }

    fn reserve_at(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        model_config: &ModelConfig,
        candidate: &Candidate,
    ) -> Result<ReserveOutcome> {
        let reserve = ReserveRequest {
            service,
            target: &candidate.target.name,
            memory_bytes: model_config.model.reserved_bytes(),
            target_bytes: candidate.total_bytes(),
            unexplained_bytes: candidate.unexplained_bytes(),
            limit: model_config.rule.replicas.max,
            head_row: self.parts.config.head_row(),
        };
        match replicas::check_reserve(&reserve, &replicas.row, &candidate.memory.row) {
            Ok(()) => {}
            Err(ReserveError::NoRoom) => return Ok(ReserveOutcome::NoRoom),
            Err(ReserveError::AtLimit | ReserveError::AlreadyPlaced) => {
                return Ok(ReserveOutcome::Conflicted);
            }
        }
        let requested_at = self.parts.clock.now();
        let table = self.parts.table.as_ref();
        let row =
            match replicas::reserve(table, &reserve, replicas, &candidate.memory, &self.writer()) {
                Ok(row) => row,
                Err(Error::Conflict { .. }) => return Ok(ReserveOutcome::Conflicted),
                Err(e) => return Err(e),
            };
        let claim = Claim::new(row.last_fence, requested_at);
        let work =
            SlotWork { claim, load_accepted: false, started_at: requested_at, orders_sent: 0 };
        state.work.insert(candidate.target.name.clone(), work);
        event::REPLICA_RESERVED.emit(&[
            ("service", service),
            ("target", &candidate.target.name),
            ("fence", &row.last_fence),
            ("config", &self.parts.config.version()),
        ]);
        self.reread(service, replicas)?;
        Ok(ReserveOutcome::Reserved)
    }

    /// Queries the targets that match the rule's selector; one that does not respond is left out.
    fn query_targets(&self, model_config: &ModelConfig) -> Result<Vec<Candidate>> {
        let mut eligible = self.parts.hosts.select(&model_config.rule.targets);
        eligible.retain(|t| t.kind == TargetKind::Engine);
        let sample: Vec<Target> =
            eligible.choose_multiple(&mut rand::rng(), MAX_QUERIED_TARGETS).cloned().collect();
        let mut candidates = Vec::with_capacity(sample.len());
        for target in sample {
            let Ok(status) = self.parts.engine.status(&target) else { continue };
            let memory = replicas::read_memory(self.parts.table.as_ref(), &target.name)?;
            candidates.push(Candidate { target, memory, status });
        }
        Ok(candidates)
    }
}

fn need(
    row: &ReplicaRow,
    model_config: &ModelConfig,
    candidates: &[Candidate],
) -> PlacementRequirements {
    let zone = |name: &TargetName| -> Option<ZoneName> {
        let found = candidates.iter().find(|c| c.target.name == *name);
        found.map(|c| c.target.availability_zone.clone())
    };
    PlacementRequirements {
        memory_bytes: model_config.model.reserved_bytes(),
        occupied_zones: row.slots.iter().filter_map(|s| zone(&s.target)).collect(),
        occupied_targets: row.slots.iter().map(|s| s.target.clone()).collect(),
    }
}
