//! Times a round of planning at several sizes, for docs/CAPACITY.md.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    bounds::Bounds,
    catalog::{Catalog, Engine, Model, Repeatability, Route, Service},
    dissemination::{
        message::{Demand, DemandKey, InFlight, ModelUse},
        planner_view::ReceivedState,
    },
    plan::Planner,
    scheduling::CopyPolicy,
    target::{LoadedModel, Target, TargetState},
};

/// Rounds timed for each size; the median is printed.
const ROUNDS: usize = 15;
/// Requests wait for each model whose number is a multiple of this.
const WAITING_MODEL_STEP: usize = 10;
/// Models on the disk of a target: 1,200 GB at about 62 GB each.
const MODELS_ON_DISK: usize = 19;

/// Numbers of targets and models of a deployment.
#[derive(Clone, Copy)]
struct Size {
    targets: usize,
    models: usize,
}

fn main() {
    let sizes = [(9, 50), (89, 290), (690, 1900), (6900, 1900)];
    println!("copies targets models round_ms tasks");
    for copies in [CopyPolicy::RateSteps, CopyPolicy::ServiceTime] {
        for (targets, models) in sizes {
            let size = Size { targets, models };
            let mut times: Vec<(Duration, usize)> =
                (0..ROUNDS).map(|_| round(size, copies)).collect();
            times.sort();
            let (median, tasks) = times[ROUNDS / 2];
            let median_ms = median.as_secs_f64() * 1000.0;
            println!("{copies:?} {targets} {models} {median_ms:.2} {tasks}");
        }
    }
}

/// Plans one round with new demand; returns its duration and the number of its tasks.
fn round(size: Size, copies: CopyPolicy) -> (Duration, usize) {
    let catalog = catalog(size);
    let targets: Vec<Arc<Target>> = (0..size.targets).map(|n| Arc::new(target(n, size))).collect();
    let now = Time::from_millis(100_000);
    let mut planner = Planner::default();
    planner.set_copy_policy(copies);
    planner.record_demand(demand(size), now);
    let began = Instant::now();
    let tasks = planner.plan(&targets, &|_| Some(now), &catalog, now);
    (began.elapsed(), tasks.len())
}

fn model(n: usize) -> ModelName {
    ModelName::new(format!("m{n}"))
}

fn catalog(size: Size) -> Catalog {
    let definition = |n: usize| Model {
        name: model(n),
        memory_mb: [34_300.0, 65_500.0, 72_700.0][n % 3],
        load_remote: Duration::from_secs(6),
        load_disk: Duration::from_millis(490),
        load_memory: Duration::from_millis(380),
        adapter_mb: 40.0,
    };
    let models: HashMap<ModelName, Model> =
        (0..size.models).map(|n| (model(n), definition(n))).collect();
    let engine = Engine {
        slots: 64,
        cache_tokens: 232_000,
        memory_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_s: 7.7,
        models,
    };
    let name = ServiceName::from("s");
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        repeatability: Repeatability::ResumableStream,
        timeout: Duration::from_secs(13),
        objective: Duration::from_secs(2),
        gap_objective: None,
        priority: 0,
        max_attempts: 2,
        split: vec![(name.clone(), 1)],
        is_public: false,
        regions: None,
    };
    Catalog::new(1, vec![route], vec![Service { name, engine: Some(engine), warm_up: None }])
}

fn target(n: usize, size: Size) -> Target {
    // A quarter of the models is not loaded anywhere.
    let loaded = |m: usize| LoadedModel { model: model(m), adapters: Vec::new() };
    let on_disk = (0..MODELS_ON_DISK).map(|m| model((MODELS_ON_DISK * n + m) % size.models));
    Target {
        name: TargetName::new(format!("t{n}")),
        started_at: None,
        service: ServiceName::from("s"),
        software: None,
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::from("z"),
        state: TargetState::Ready,
        slots: 64,
        models: [2 * n, 2 * n + 1].map(|m| loaded(m % (size.models * 3 / 4))).to_vec(),
        in_memory: Vec::new(),
        on_disk: on_disk.collect(),
        warm_up_left: Duration::ZERO,
        version: 1,
    }
}

/// Returns demand for every model: requests wait for some, and half of the targets have a request in
/// flight.
fn demand(size: Size) -> Demand {
    let model_use = |n: usize| ModelUse {
        key: DemandKey {
            service: ServiceName::from("s"),
            model: model(n),
            adapter: None,
            bounds: Bounds::default(),
        },
        waiting: u16::from(n.is_multiple_of(WAITING_MODEL_STEP)),
        arrived: 1,
    };
    let busy = |n: usize| InFlight {
        target: TargetName::new(format!("t{n}")),
        model: Some(model(2 * n % (size.models * 3 / 4))),
        count: 1,
        tokens: 0,
    };
    Demand {
        daemon: "d".into(),
        incarnation: "r".into(),
        seq: 1,
        zone: "z1".into(),
        link_mbps: None,
        received: ReceivedState::default(),
        models: (0..size.models).map(model_use).collect(),
        poison: Default::default(),
        crashes: Vec::new(),
        signals: Vec::new(),
        scheduling: Default::default(),
        promise: None,
        is_retired: false,
        software: Default::default(),
        in_flight: (0..size.targets).step_by(2).map(busy).collect(),
    }
}
