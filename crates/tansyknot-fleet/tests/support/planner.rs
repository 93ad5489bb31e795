//! A planner that receives demand and plans in virtual time.

use std::sync::Arc;

use tansyknot_core::{
    clock::Time,
    name::{AdapterName, ModelName, ServiceName, TargetName},
};
use tansyknot_fleet::{
    bounds::Bounds,
    dissemination::{
        message::{Demand, DemandKey, InFlight, ModelUse},
        planner_view::ReceivedState,
    },
    plan::{Planner, Task},
    platform_api::Action,
    target::Target,
};

use super::catalog;

/// Creates the demand of one daemon for a model.
pub(crate) fn model_use(
    model: &str,
    adapter: Option<&str>,
    waiting: u16,
    arrived: u32,
) -> ModelUse {
    let key = DemandKey {
        service: ServiceName::from("s"),
        model: ModelName::from(model),
        adapter: adapter.map(AdapterName::from),
        bounds: Bounds::default(),
    };
    ModelUse { key, waiting, arrived }
}

/// Creates the count of requests of one daemon in flight at a target.
pub(crate) fn in_flight(target: &str, model: &str, count: u16) -> InFlight {
    InFlight {
        target: TargetName::from(target),
        model: Some(ModelName::from(model)),
        count,
        tokens: 0,
    }
}

/// A planner, its targets and the current time.
pub(crate) struct PlannerHarness {
    pub(crate) planner: Planner,
    pub(crate) targets: Vec<Arc<Target>>,
    pub(crate) now: Time,
    pub(crate) seq: u32,
}

impl PlannerHarness {
    pub(crate) fn new(targets: Vec<Target>) -> Self {
        let targets = targets.into_iter().map(Arc::new).collect();
        Self { planner: Planner::default(), targets, now: Time::from_millis(100_000), seq: 0 }
    }

    pub(crate) fn record_demand(&mut self, uses: &[ModelUse], in_flight: Vec<InFlight>) {
        self.record_demand_from("d", uses, in_flight);
    }

    pub(crate) fn record_demand_from(
        &mut self,
        daemon: &str,
        uses: &[ModelUse],
        in_flight: Vec<InFlight>,
    ) {
        self.seq += 1;
        let demand = Demand {
            daemon: daemon.into(),
            incarnation: "run-1".into(),
            seq: self.seq,
            zone: "z1".into(),
            link_mbps: None,
            received: ReceivedState::default(),
            models: uses.to_vec(),
            in_flight,
            poison: Default::default(),
            crashes: Vec::new(),
            signals: Vec::new(),
            scheduling: Default::default(),
            promise: None,
            is_retired: false,
            software: Default::default(),
        };
        self.planner.record_demand(demand, self.now);
    }

    pub(crate) fn plan(&mut self) -> Vec<Task> {
        self.planner.plan(&self.targets, &|_| Some(self.now), &catalog(), self.now)
    }
}

/// Formats the orders of tasks as `target +model` and `target -model`.
pub(crate) fn orders(tasks: &[Task]) -> Vec<String> {
    let format_order = |t: &Task, action: &Action| match action {
        Action::Load { model, adapter: None } => format!("{} +{model}", t.target.name),
        Action::Remove { model, adapter: None } => format!("{} -{model}", t.target.name),
        Action::Load { model, adapter: Some(a) } => format!("{} +{model}/{a}", t.target.name),
        Action::Remove { model, adapter: Some(a) } => format!("{} -{model}/{a}", t.target.name),
    };
    tasks.iter().flat_map(|t| t.steps.iter().map(|s| format_order(t, &s.action))).collect()
}
