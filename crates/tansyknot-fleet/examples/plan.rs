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
    catalog::{Catalog, Engine, Model, Repeatability, Route, Service},
    dissemination::{
        message::{Demand, InFlight, ModelUse},
        planner_view::ReceivedState,
    },
    plan::Planner,
    target::{LoadedModel, Target, TargetState},
};

/// Rounds timed for each size; the middle one is printed.
const ROUNDS: usize = 15;
/// One model in this many is waited for.
const WAITED_EVERY: usize = 10;
/// Models on the disk of a target: 1,200 GB of some 62 GB each.
const ON_DISK: usize = 19;

/// Targets and models of a deployment.
#[derive(Clone, Copy)]
struct Size {
    targets: usize,
    models: usize,
}

fn main() {
    let sizes = [(9, 50), (89, 290), (690, 1900), (6900, 1900)];
    println!("targets models round_ms tasks");
    for (targets, models) in sizes {
        let size = Size { targets, models };
        let mut times: Vec<(Duration, usize)> = (0..ROUNDS).map(|_| round(size)).collect();
        times.sort();
        let (middle, tasks) = times[ROUNDS / 2];
        println!("{targets} {models} {:.2} {tasks}", middle.as_secs_f64() * 1000.0);
    }
}

/// Plans one round with fresh demand; returns how long it took and how many tasks it made.
fn round(size: Size) -> (Duration, usize) {
    let catalog = catalog(size);
    let targets: Vec<Arc<Target>> = (0..size.targets).map(|n| Arc::new(target(n, size))).collect();
    let now = Time::from_millis(100_000);
    let mut planner = Planner::default();
    planner.record_demand(demand(size), now);
    let began = Instant::now();
    let tasks = planner.plan(&targets, &|_| Some(now), &catalog, now);
    (began.elapsed(), tasks.len())
}

fn model(n: usize) -> ModelName {
    ModelName::new(format!("m{n}"))
}

fn catalog(size: Size) -> Catalog {
    let about = |n: usize| Model {
        name: model(n),
        memory_mb: [34_300.0, 65_500.0, 72_700.0][n % 3],
        load_remote: Duration::from_secs(6),
        load_disk: Duration::from_millis(490),
        load_memory: Duration::from_millis(380),
        adapter_mb: 40.0,
    };
    let models: HashMap<ModelName, Model> =
        (0..size.models).map(|n| (model(n), about(n))).collect();
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
    };
    Catalog::new(1, vec![route], vec![Service { name, engine: Some(engine) }])
}

fn target(n: usize, size: Size) -> Target {
    // A quarter of the models is nowhere.
    let held = |m: usize| LoadedModel { model: model(m), adapters: Vec::new() };
    let on_disk = (0..ON_DISK).map(|m| model((ON_DISK * n + m) % size.models));
    Target {
        name: TargetName::new(format!("t{n}")),
        started_at: None,
        service: ServiceName::from("s"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: ZoneName::from("z"),
        state: TargetState::Ready,
        slots: 64,
        models: [2 * n, 2 * n + 1].map(|m| held(m % (size.models * 3 / 4))).to_vec(),
        in_memory: Vec::new(),
        on_disk: on_disk.collect(),
        version: 1,
    }
}

/// Every model is asked for; some are waited for, and half of the targets have a request.
fn demand(size: Size) -> Demand {
    let one = |n: usize| ModelUse {
        service: ServiceName::from("s"),
        model: model(n),
        adapter: None,
        waiting: u16::from(n.is_multiple_of(WAITED_EVERY)),
        arrived: 1,
    };
    let busy = |n: usize| InFlight {
        target: TargetName::new(format!("t{n}")),
        model: Some(model(2 * n % (size.models * 3 / 4))),
        count: 1,
    };
    Demand {
        daemon: "d".into(),
        incarnation: "r".into(),
        seq: 1,
        zone: "z1".into(),
        link_mbps: None,
        received: ReceivedState::default(),
        models: (0..size.models).map(one).collect(),
        poison: Default::default(),
        crashes: Vec::new(),
        signals: Vec::new(),
        in_flight: (0..size.targets).step_by(2).map(busy).collect(),
    }
}
