//! Numbers of copies of models that the planner loads and retains.

mod support;

use std::{collections::BTreeSet, sync::Arc};

use support::{
    planner::{PlannerHarness, in_flight, model_use, orders},
    target,
};
use tansyknot_fleet::{target::Target, task::TaskOutcome};
use yare::parameterized;

#[test]
fn copies_that_those_who_wait_cannot_use_are_not_counted() {
    let mut harness =
        PlannerHarness::new(vec![target("t1", &["m5"], &[]), target("t2", &[], &["m5"])]);
    harness.record_demand(&[model_use("m5", None, 1, 1)], Vec::new());
    assert!(
        harness.plan().is_empty(),
        "the daemon may not have received the update with the copy yet"
    );
    for _ in 0..4 {
        harness.now = harness.now + std::time::Duration::from_millis(700);
        harness.record_demand(&[model_use("m5", None, 1, 1)], Vec::new());
    }
    assert_eq!(orders(&harness.plan()), ["t2 +m5"]);
}

#[parameterized(
    at_the_share = { 2, 0 },
    above_the_share_of_eight_slots = { 3, 1 },
)]
fn model_gets_another_copy_above_its_share_of_slots_in_use(requests: u16, loads: usize) {
    let mut harness =
        PlannerHarness::new(vec![target("t1", &["m5"], &[]), target("t2", &[], &["m5"])]);
    harness.record_demand(&[model_use("m5", None, 0, 1)], vec![in_flight("t1", "m5", requests)]);
    assert_eq!(harness.plan().len(), loads);
}

#[test]
fn copies_that_a_hot_model_lacks_are_loaded_together() {
    let on_disk = |name: &str| target(name, &[], &["m5"]);
    let mut targets: Vec<Target> = ["t2", "t3", "t4"].map(on_disk).to_vec();
    targets.push(target("t1", &["m5"], &[]));
    let mut harness = PlannerHarness::new(targets);
    harness.record_demand(&[model_use("m5", None, 0, 1)], vec![in_flight("t1", "m5", 7)]);
    let loads: usize = (0..4).map(|_| harness.plan().len()).sum();
    assert_eq!(loads, 2, "seven requests in flight need three copies on engines with eight slots");
}

#[test]
fn frequently_requested_model_without_copies_precedes_an_overloaded_one() {
    let mut harness =
        PlannerHarness::new(vec![target("t1", &["m5"], &[]), target("t2", &[], &["m5", "m6"])]);
    harness.record_demand(&[model_use("m6", None, 0, 1)], Vec::new());
    // Twenty arrivals give a rate above that of a model with two copies.
    harness.record_demand(
        &[model_use("m5", None, 0, 1), model_use("m6", None, 2, 21)],
        vec![in_flight("t1", "m5", 7)],
    );
    assert_eq!(orders(&harness.plan()), ["t2 +m6"]);
}

#[parameterized(
    rare = { 1, 24, 1 },
    warm = { 2, 1, 2 },
    hot = { 10, 1, 3 },
)]
fn frequently_requested_models_have_more_copies(arrived: u32, every: u32, copies: usize) {
    let mut harness =
        PlannerHarness::new((0..5).map(|n| target(&format!("t{n}"), &[], &["m0"])).collect());
    // Twelve seconds, in steps of half a second.
    let mut all_arrived = 1;
    for step in 1..=24 {
        harness.record_demand(&[model_use("m0", None, 1, all_arrived)], Vec::new());
        all_arrived += if step % every == 0 { arrived } else { 0 };
        harness.now = harness.now + std::time::Duration::from_millis(500);
    }
    harness.record_demand(&[model_use("m0", None, 1, all_arrived)], Vec::new());
    let mut holders = BTreeSet::new();
    for _ in 0..6 {
        for task in harness.plan() {
            let name = task.target.name.clone();
            holders.insert(name.to_string());
            harness.planner.task_ended(&name, TaskOutcome::Done, harness.now);
            let at = harness
                .targets
                .iter()
                .position(|t| t.name == name)
                .expect("the task's target is in the list");
            harness.targets[at] = Arc::new(target(name.as_str(), &["m0"], &["m0"]));
        }
    }
    assert_eq!(holders.len(), copies);
}

#[test]
fn copies_without_demand_are_freed_within_three_seconds() {
    let mut harness = PlannerHarness::new(vec![target("t1", &["m0", "m1", "m2"], &["m5"])]);
    let (mut hot, mut warm) = (0, 0);
    // Twenty requests a second for `m0`, which end after twelve seconds, and three for the others.
    for tick in 0..150 {
        hot += if tick < 120 { 2 } else { 0 };
        warm += if tick % 10 < 3 { 1 } else { 0 };
        let uses = [("m0", hot), ("m1", warm), ("m2", warm)].map(|(m, n)| model_use(m, None, 0, n));
        harness.record_demand(&uses, Vec::new());
        harness.now = harness.now + std::time::Duration::from_millis(100);
    }
    harness.record_demand(&[model_use("m5", None, 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t1 -m0", "t1 +m5"]);
}
