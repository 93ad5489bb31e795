//! Reserving a replica: choose a place, check limit and memory, commit, order.

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
    placement::{Need, Place},
    staging::Staging,
};

use super::{Decided, Reconciler, ServiceState, SlotWork};
use crate::{
    claim::Claim,
    replicas::{self, Reserve, Unreserved, Versioned},
};

/// Targets that are asked before a placement, chosen at random if there are more.
const ASKED: usize = 12;

/// A target with what was read of it for a placement.
struct Asked {
    target: Target,
    memory: Versioned<MemoryRow>,
    status: EngineStatus,
}

impl Asked {
    /// Returns bytes in use that no reservation explains, for instance after a lost table.
    fn unexplained_bytes(&self) -> u64 {
        self.status.used_bytes.saturating_sub(self.memory.row.reserved_bytes())
    }

    fn total_bytes(&self) -> u64 {
        self.target.memory_bytes.min(self.status.memory_bytes)
    }

    fn place(&self, service: &ServiceName) -> Place {
        let taken = self.memory.row.reserved_bytes().saturating_add(self.unexplained_bytes());
        let loading = self.status.models.iter().filter(|m| m.state == ModelState::Loading);
        Place {
            target: self.target.name.clone(),
            availability_zone: self.target.availability_zone.clone(),
            free_bytes: self.total_bytes().saturating_sub(taken),
            tier: self.status.tier(service),
            loading: u32::try_from(loading.count()).unwrap_or(u32::MAX),
            in_flight: self.status.models.iter().map(|m| m.in_flight).sum(),
        }
    }
}

/// What became of a wish for a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placed {
    /// A replica is reserved.
    Reserved,
    /// Other daemons changed the rows meanwhile; the next step tries again.
    Raced,
    /// No target has room.
    NoRoom,
    /// No target that the operators' selector chooses is there or answers.
    NoTarget,
}

impl Reconciler {
    /// Reserves one more replica on the best place and leaves the order to the next step.
    pub(super) fn reserve(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        decided: &Decided,
    ) -> Result<Placed> {
        let asked = self.ask_targets(decided)?;
        if asked.is_empty() {
            return Ok(Placed::NoTarget);
        }
        let need = need(&replicas.row, decided, &asked);
        let places: Vec<Place> = asked.iter().map(|a| a.place(service)).collect();
        let Some(best) = self.parts.placement.order(&need, &places).first().copied() else {
            return Ok(Placed::NoRoom);
        };
        self.reserve_at(service, state, replicas, decided, &asked[best])
    }

    /// Asks how near the checkpoint of a service lies, and whether a load would be in the way.
    pub(super) fn look_at_stage(
        &self,
        service: &ServiceName,
        decided: &Decided,
    ) -> Result<Staging> {
        let asked = self.ask_targets(decided)?;
        let places: Vec<Place> = asked.iter().map(|a| a.place(service)).collect();
        let need = need(&ReplicaRow::default(), decided, &asked);
        Ok(Staging {
            nearest: places.iter().map(|p| p.tier).min().unwrap_or(Tier::Remote),
            loading: places.iter().map(|p| p.loading).sum(),
            has_room: !self.parts.placement.order(&need, &places).is_empty(),
        })
    }

    fn reserve_at(
        &self,
        service: &ServiceName,
        state: &mut ServiceState,
        replicas: &mut Versioned<ReplicaRow>,
        decided: &Decided,
        asked: &Asked,
    ) -> Result<Placed> {
        let reserve = Reserve {
            service,
            target: &asked.target.name,
            memory_bytes: decided.model.reserved_bytes(),
            target_bytes: asked.total_bytes(),
            unexplained_bytes: asked.unexplained_bytes(),
            limit: decided.rule.replicas.max,
            head_row: self.parts.config.head_row(),
        };
        match replicas::check_reserve(&reserve, &replicas.row, &asked.memory.row) {
            Ok(()) => {}
            Err(Unreserved::NoRoom) => return Ok(Placed::NoRoom),
            Err(Unreserved::AtLimit | Unreserved::AlreadyThere) => return Ok(Placed::Raced),
        }
        let before = self.parts.clock.now();
        let table = self.parts.table.as_ref();
        let row = match replicas::reserve(table, &reserve, replicas, &asked.memory, &self.writer())
        {
            Ok(row) => row,
            Err(Error::Conflict { .. }) => return Ok(Placed::Raced),
            Err(e) => return Err(e),
        };
        let claim = Claim::new(row.last_fence, before);
        let work = SlotWork { claim, ordered: false, began: before, orders: 0 };
        state.work.insert(asked.target.name.clone(), work);
        event::REPLICA_RESERVED.emit(&[
            ("service", service),
            ("target", &asked.target.name),
            ("fence", &row.last_fence),
            ("config", &self.parts.config.version()),
        ]);
        self.reread(service, replicas)?;
        Ok(Placed::Reserved)
    }

    /// Asks the targets that the rule's selector chooses; one that does not answer is left out.
    fn ask_targets(&self, decided: &Decided) -> Result<Vec<Asked>> {
        let mut chosen = self.parts.hosts.select(&decided.rule.targets);
        chosen.retain(|t| t.kind == TargetKind::Engine);
        let sample: Vec<Target> =
            chosen.choose_multiple(&mut rand::rng(), ASKED).cloned().collect();
        let mut asked = Vec::with_capacity(sample.len());
        for target in sample {
            let Ok(status) = self.parts.engine.status(&target) else { continue };
            let memory = replicas::read_memory(self.parts.table.as_ref(), &target.name)?;
            asked.push(Asked { target, memory, status });
        }
        Ok(asked)
    }
}

fn need(row: &ReplicaRow, decided: &Decided, asked: &[Asked]) -> Need {
    let zone = |name: &TargetName| -> Option<ZoneName> {
        let found = asked.iter().find(|a| a.target.name == *name);
        found.map(|a| a.target.availability_zone.clone())
    };
    Need {
        memory_bytes: decided.model.reserved_bytes(),
        zones_taken: row.slots.iter().filter_map(|s| zone(&s.target)).collect(),
        targets_taken: row.slots.iter().map(|s| s.target.clone()).collect(),
    }
}
