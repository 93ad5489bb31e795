//! Tests which orders the planner gives for which demand.

mod support;

use std::{collections::BTreeSet, sync::Arc};

use support::{
    catalog, loaded_model,
    planner::{PlannerHarness, in_flight, model_use, orders},
    target,
};
use tansyknot_core::name::{ModelName, ServiceName, TargetName};
use tansyknot_fleet::{
    dissemination::message::ModelUse,
    plan::used_mb,
    platform_api::Action,
    target::{Target, TargetState},
    task::TaskOutcome,
};
use yare::parameterized;

#[test]
fn nothing_is_ordered_without_demand() {
    let mut harness = PlannerHarness::new(vec![target("t1", &["m0"], &["m1"])]);
    assert!(harness.plan().is_empty());
}

#[test]
fn model_is_loaded_where_its_weights_are_nearest() {
    let mut memory = target("t3", &["m0"], &["m5"]);
    memory.in_memory = vec![ModelName::from("m5")];
    let mut harness = PlannerHarness::new(vec![
        target("t1", &["m0"], &[]),
        target("t2", &["m0"], &["m5"]),
        memory,
    ]);
    harness.record_demand(&[model_use("m5", None, 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t3 +m5"]);
}

#[test]
fn least_requested_model_is_evicted() {
    let mut harness = PlannerHarness::new(vec![target("t1", &["m0", "m1", "m2"], &["m5"])]);
    harness.record_demand(
        &[model_use("m0", None, 0, 1), model_use("m1", None, 0, 1), model_use("m2", None, 0, 1)],
        vec![],
    );
    harness.record_demand(
        &[model_use("m0", None, 0, 9), model_use("m2", None, 0, 5), model_use("m5", None, 2, 2)],
        Vec::new(),
    );
    assert_eq!(orders(&harness.plan()), ["t1 -m1", "t1 +m5"]);
}

#[test]
fn model_in_use_is_not_evicted() {
    let mut harness = PlannerHarness::new(vec![target("t1", &["m0", "m1", "m2"], &["m5"])]);
    let in_flight =
        vec![in_flight("t1", "m0", 1), in_flight("t1", "m1", 1), in_flight("t1", "m2", 1)];
    harness.record_demand(&[model_use("m5", None, 1, 1)], in_flight);
    assert!(harness.plan().is_empty());
}

#[test]
fn loaded_model_is_not_evicted_before_its_first_request() {
    let mut harness = PlannerHarness::new(vec![target("t1", &["m0", "m1"], &["m5", "m6"])]);
    harness.record_demand(
        &[model_use("m5", None, 1, 1)],
        vec![in_flight("t1", "m0", 1), in_flight("t1", "m1", 1)],
    );
    assert_eq!(orders(&harness.plan()), ["t1 +m5"]);
    harness.planner.task_ended(&TargetName::from("t1"), TaskOutcome::Done, harness.now);
    harness.targets[0] = Arc::new(target("t1", &["m0", "m1", "m5"], &["m5", "m6"]));

    let others = || vec![in_flight("t1", "m0", 1), in_flight("t1", "m1", 1)];
    let demand = [model_use("m5", None, 0, 1), model_use("m6", None, 1, 1)];
    harness.record_demand(&demand, others());
    assert!(harness.plan().is_empty(), "waiting daemons may not have received the load yet");
    let with_its_request = [others(), vec![in_flight("t1", "m5", 1)]].concat();
    harness.record_demand(&demand, with_its_request);
    assert!(harness.plan().is_empty(), "m5 is in use");
    harness.record_demand(&demand, others());
    assert_eq!(orders(&harness.plan()), ["t1 -m5", "t1 +m6"]);
}

#[test]
fn briefly_busy_target_is_preferred_to_the_weight_store() {
    let near = target("t1", &["m0", "m1", "m2"], &["m5"]);
    let mut harness = PlannerHarness::new(vec![near, target("t2", &[], &[])]);
    let in_use = vec![in_flight("t1", "m0", 1), in_flight("t1", "m1", 1), in_flight("t1", "m2", 1)];
    harness.record_demand(&[model_use("m5", None, 1, 1), model_use("m0", None, 0, 1)], in_use);
    assert!(harness.plan().is_empty(), "a load from the weight store takes six seconds");
    harness.record_demand(&[model_use("m5", None, 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()).last().map(String::as_str), Some("t1 +m5"));
}

#[test]
fn target_that_loads_all_the_time_is_not_blocked_by_a_load_from_the_weight_store() {
    // Both targets are free. t1 has loaded two models per second, and a load from the weight store takes
    // 6 s.
    let mut harness =
        PlannerHarness::new(vec![target("t1", &[], &["m5", "m6"]), target("t2", &["m0"], &[])]);
    for n in 0..6 {
        let (model, other) = if n % 2 == 0 { ("m5", "m6") } else { ("m6", "m5") };
        harness.record_demand(
            &[model_use(model, None, 1, n + 1), model_use(other, None, 0, n)],
            Vec::new(),
        );
        assert_eq!(orders(&harness.plan()), [format!("t1 +{model}")]);
        harness.planner.task_ended(&TargetName::from("t1"), TaskOutcome::Replan, harness.now);
        harness.now = harness.now + std::time::Duration::from_millis(500);
    }
    harness.record_demand(&[model_use("m7", None, 1, 1), model_use("m6", None, 0, 6)], Vec::new());
    assert_eq!(
        orders(&harness.plan()),
        ["t2 +m7"],
        "t1 comes first in the list and is as free as t2"
    );
}

#[test]
fn target_that_soon_finishes_its_load_is_waited_for() {
    let near = target("t1", &[], &["m5", "m6"]);
    let mut harness = PlannerHarness::new(vec![near, target("t2", &[], &[])]);
    harness.record_demand(&[model_use("m5", None, 1, 1), model_use("m6", None, 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t1 +m5"], "m6 is not loaded from the weight store");
}

#[parameterized(
    one_large = { 5, &["t1 -m1", "t1 +m5"] },
    two_small = { 20, &["t1 -m8", "t1 -m9", "t1 +m5"] },
)]
fn set_of_models_with_the_least_demand_is_evicted(arrivals_of_large: u32, expected: &[&str]) {
    let mut harness = PlannerHarness::new(vec![target("t1", &["m0", "m1", "m8", "m9"], &["m5"])]);
    harness.record_demand(&["m0", "m1", "m8", "m9"].map(|m| model_use(m, None, 0, 1)), Vec::new());
    let large = [model_use("m0", None, 0, 30), model_use("m1", None, 0, arrivals_of_large)];
    let small = ["m8", "m9"].map(|m| model_use(m, None, 0, 5));
    harness.record_demand(&[large, small].concat(), Vec::new());
    harness.record_demand(&[model_use("m5", None, 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()), expected);
}

#[test]
fn requests_that_can_be_on_time_go_before_those_that_are_late() {
    let mut harness = PlannerHarness::new(vec![target("t1", &[], &["m5", "m6"])]);
    harness.record_demand(&[model_use("m5", None, 9, 9)], Vec::new());
    // The objective is 2.5 s and a load from disk takes 0.8 s.
    for _ in 0..3 {
        harness.now = harness.now + std::time::Duration::from_millis(800);
        harness.record_demand(&[model_use("m5", None, 9, 9)], Vec::new());
    }
    harness.record_demand(&[model_use("m5", None, 9, 9), model_use("m6", None, 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t1 +m6"]);
}

#[test]
fn late_requests_do_not_delay_a_new_one_for_their_model() {
    let mut harness = PlannerHarness::new(vec![target("t1", &[], &["m5", "m6"])]);
    for _ in 0..4 {
        harness
            .record_demand(&[model_use("m5", None, 1, 1), model_use("m6", None, 5, 5)], Vec::new());
        harness.now = harness.now + std::time::Duration::from_millis(800);
    }
    harness.record_demand(&[model_use("m5", None, 2, 2), model_use("m6", None, 5, 5)], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t1 +m5"]);
}

#[test]
fn burst_at_many_daemons_loads_a_model_once() {
    let mut harness =
        PlannerHarness::new(vec![target("t1", &[], &["m5"]), target("t2", &[], &["m5"])]);
    for daemon in ["a", "b", "c", "d"] {
        let uses = [model_use("m5", None, 3, 3)];
        harness.record_demand_from(daemon, &uses, Vec::new());
    }
    assert_eq!(harness.plan().len(), 1);
    assert!(harness.plan().is_empty(), "the load is in progress");
}

#[test]
fn engine_is_never_planned_beyond_its_memory() {
    let mut harness = PlannerHarness::new(vec![target("t1", &["m0", "m1"], &["m5", "m6", "m7"])]);
    let uses: Vec<ModelUse> = (2..10).map(|n| model_use(&format!("m{n}"), None, 1, 1)).collect();
    harness.record_demand(&uses, Vec::new());
    let tasks = harness.plan();
    let engine =
        catalog().engine(&ServiceName::from("s")).cloned().expect("the service has an engine");
    let mut models: BTreeSet<String> = ["m0".to_owned(), "m1".to_owned()].into();
    for step in tasks.iter().flat_map(|t| &t.steps) {
        match &step.action {
            Action::Load { model, .. } => models.insert(model.to_string()),
            Action::Remove { model, .. } => models.remove(model.as_str()),
        };
        let names: Vec<&str> = models.iter().map(String::as_str).collect();
        assert!(used_mb(&engine, &target("t1", &names, &[])) <= engine.memory_mb);
    }
    assert_eq!(tasks.len(), 1, "one task per target at a time");
}

#[test]
fn loads_from_the_weight_store_keep_below_its_limit() {
    let mut harness =
        PlannerHarness::new((0..10).map(|n| target(&format!("t{n}"), &[], &[])).collect());
    let uses: Vec<ModelUse> = (0..10).map(|n| model_use(&format!("m{n}"), None, 1, 1)).collect();
    harness.record_demand(&uses, Vec::new());
    let mut started = 0;
    for _ in 0..10 {
        for _ in harness.plan() {
            harness.planner.count_remote_load(harness.now);
            started += 1;
        }
    }
    // The platform allows 20 loads in 5 s, and two successive planners may each start theirs in one
    // window.
    assert!((1..=10).contains(&started), "{started}");
}

#[test]
fn queued_load_is_announced_after_the_one_in_progress() {
    let mut harness = PlannerHarness::new(vec![target("t1", &[], &["m5", "m6"])]);
    harness.record_demand(&[model_use("m5", None, 2, 2), model_use("m6", None, 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t1 +m5"]);
    let due = |harness: &PlannerHarness, model: &str| {
        let pending = harness.planner.pending_loads(harness.now);
        pending.iter().find(|c| c.model.as_str() == model).map(|c| c.due_in_ms)
    };
    let (first, second) = (due(&harness, "m5"), due(&harness, "m6"));
    // A load from disk takes 0.8 s, and each order adds 0.1 s.
    assert_eq!((first, second), (Some(900), Some(1800)));
    harness.planner.task_ended(&TargetName::from("t1"), TaskOutcome::Replan, harness.now);
    harness.record_demand(&[model_use("m5", None, 0, 2), model_use("m6", None, 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t1 +m6"]);
    assert_eq!(due(&harness, "m6"), Some(900), "no load is in progress before it");
}

#[test]
fn draining_and_unreachable_targets_get_no_order() {
    let mut leaving = target("t1", &[], &["m5"]);
    leaving.state = TargetState::Draining;
    let mut harness = PlannerHarness::new(vec![leaving, target("t2", &[], &["m5"])]);
    harness.record_demand(&[model_use("m5", None, 1, 1)], Vec::new());
    let opens_at = |name: &TargetName| (name.as_str() != "t2").then_some(harness.now);
    assert!(harness.planner.plan(&harness.targets, &opens_at, &catalog(), harness.now).is_empty());
}

#[test]
fn model_on_a_target_in_cooldown_counts_as_loaded() {
    let mut harness =
        PlannerHarness::new(vec![target("t1", &["m5"], &[]), target("t2", &[], &["m5", "m6"])]);
    let (now, cooldown_end) = (harness.now, harness.now + std::time::Duration::from_secs(2));
    let opens_at = |name: &TargetName| Some(if name.as_str() == "t1" { cooldown_end } else { now });
    harness.record_demand(&[model_use("m5", None, 1, 1), model_use("m6", None, 1, 1)], Vec::new());
    let tasks = harness.planner.plan(&harness.targets, &opens_at, &catalog(), harness.now);
    assert_eq!(orders(&tasks), ["t2 +m6"]);
}

#[test]
fn adapter_is_loaded_where_its_model_has_fewest_adapters() {
    let full = Target { models: vec![loaded_model("m0", &["a1", "a2"])], ..target("t1", &[], &[]) };
    let mut harness =
        PlannerHarness::new(vec![full, target("t2", &["m0"], &[]), target("t3", &["m1"], &[])]);
    harness.record_demand(
        &[model_use("m0", None, 0, 1), model_use("m0", Some("a3"), 1, 1)],
        Vec::new(),
    );
    assert_eq!(orders(&harness.plan()), ["t2 +m0/a3"]);
}

#[test]
fn adapter_without_a_slot_replaces_the_least_used_one() {
    let full = Target { models: vec![loaded_model("m0", &["a1", "a2"])], ..target("t1", &[], &[]) };
    let mut harness = PlannerHarness::new(vec![full]);
    harness.record_demand(
        &[model_use("m0", Some("a1"), 0, 1), model_use("m0", Some("a2"), 0, 1)],
        Vec::new(),
    );
    harness.record_demand(
        &[model_use("m0", Some("a1"), 0, 9), model_use("m0", Some("a3"), 1, 1)],
        Vec::new(),
    );
    assert_eq!(orders(&harness.plan()), ["t1 -m0/a2", "t1 +m0/a3"]);
}

#[test]
fn model_is_loaded_for_a_waiting_adapter_request() {
    let mut harness = PlannerHarness::new(vec![target("t1", &[], &["m0"])]);
    harness.record_demand(&[model_use("m0", Some("a1"), 1, 1)], Vec::new());
    assert_eq!(orders(&harness.plan()), ["t1 +m0"]);
}

#[test]
fn demand_of_an_unresponsive_daemon_is_dropped() {
    let mut harness = PlannerHarness::new(vec![target("t1", &[], &["m5"])]);
    harness.record_demand(&[model_use("m5", None, 1, 1)], vec![in_flight("t1", "m0", 4)]);
    harness.now = harness.now + tansyknot_fleet::plan::DAEMON_TIMEOUT;
    harness.record_demand_from("other", &[], Vec::new());
    assert_eq!(harness.planner.daemon_count(), 1);
    assert!(harness.plan().is_empty());
    assert!(harness.planner.loads().is_empty());
}
