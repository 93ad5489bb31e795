//! Races between the reads and the write of two daemons, and random interleavings with faults.

mod support;

use std::{sync::Arc, time::Duration};

use proptest::prelude::*;
use support::{Daemon, GB, World};
use tansyknot_core::{
    host::Fencing,
    name::{ServiceName, TargetName},
};
use tansyknot_standins::fake::CommitFault;
use yare::parameterized;

/// A whole step of one daemon runs between another daemon's reads and its commit.
#[parameterized(
    same_service_limit_one = { &[80, 80], "permit", "permit", Fencing::Checked },
    same_service_ignoring = { &[80, 80], "permit", "permit", Fencing::Ignored },
    memory_for_one_of_two = { &[20], "permit", "summary", Fencing::Checked },
    memory_for_one_ignoring = { &[20], "permit", "summary", Fencing::Ignored },
)]
fn reservation_between_read_and_write_wins_alone(
    memory_gb: &[u64],
    first: &'static str,
    second: &'static str,
    fencing: Fencing,
) {
    let world = World::new(memory_gb, fencing);
    world.apply(1);
    let slow = world.daemon("d0");
    let fast = Arc::new(world.daemon("d1"));
    let _ = slow.request(&world, first);
    let _ = fast.request(&world, second);
    let inner = Arc::clone(&fast);
    slow.table.set_before_commit(Box::new(move || inner.step(second).expect("the table is up")));
    slow.step(first).expect("a conflict is no failure");
    world.engines.finish_loads();
    let reserved = world.slot_states("permit").len() + world.slot_states("summary").len();
    assert_eq!(reserved, 1);
    assert!(world.engines.maxima().replicas.values().all(|n| *n <= 1));
    let refused: u64 = world
        .hosts
        .state
        .list()
        .iter()
        .map(|t| world.engines.models(&t.name).peaks().refused_loads)
        .sum();
    assert_eq!(refused, 0);
}

#[derive(Clone, Debug)]
enum Op {
    Request(usize),
    Release(usize),
    Step(usize),
    /// The second daemon steps between the reads and the commit of the first.
    StepAround(usize, usize),
    Advance(u64),
    FinishLoads,
    HoldLoads(bool),
    DeliverHeldLoads,
    SetTableDown(usize, bool),
    ScriptCommitFault(usize, CommitFault),
    LoseReplies(bool),
    SetUnresponsive(usize, bool),
    Restart(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let daemon = 0..DAEMONS;
    let engine = 0..ENGINES;
    let fault = prop_oneof![
        Just(CommitFault::LostReply),
        Just(CommitFault::LostRequest),
        Just(CommitFault::Unreachable),
    ];
    prop_oneof![
        4 => daemon.clone().prop_map(Op::Request),
        2 => daemon.clone().prop_map(Op::Release),
        12 => daemon.clone().prop_map(Op::Step),
        4 => (daemon.clone(), daemon.clone()).prop_map(|(a, b)| Op::StepAround(a, b)),
        6 => (100_u64..15_000).prop_map(Op::Advance),
        4 => Just(Op::FinishLoads),
        2 => any::<bool>().prop_map(Op::HoldLoads),
        2 => Just(Op::DeliverHeldLoads),
        1 => (daemon.clone(), any::<bool>()).prop_map(|(d, b)| Op::SetTableDown(d, b)),
        3 => (daemon.clone(), fault).prop_map(|(d, f)| Op::ScriptCommitFault(d, f)),
        1 => any::<bool>().prop_map(Op::LoseReplies),
        1 => (engine, any::<bool>()).prop_map(|(e, b)| Op::SetUnresponsive(e, b)),
        1 => daemon.prop_map(Op::Restart),
    ]
}

const DAEMONS: usize = 3;
const ENGINES: usize = 3;
const SERVICE: &str = "permit";
/// The order lifetime that docs/PROMISES.md states for engines that ignore fencing tokens.
const ORDER_LIFETIME: Duration = Duration::from_secs(60);

fn apply_op(world: &World, daemons: &mut [Arc<Daemon>], op: &Op) {
    match op {
        Op::Request(d) => drop(daemons[*d].request(world, SERVICE)),
        Op::Release(d) => {
            for e in 0..ENGINES {
                let target = TargetName::new(format!("e{e}"));
                daemons[*d].pools.release(&ServiceName::from(SERVICE), &target, None);
            }
        }
        Op::Step(d) => drop(daemons[*d].step(SERVICE)),
        Op::StepAround(a, b) => {
            let inner = Arc::clone(&daemons[*b]);
            if a != b {
                daemons[*a].table.set_before_commit(Box::new(move || drop(inner.step(SERVICE))));
            }
            drop(daemons[*a].step(SERVICE));
            // If the step committed nothing, the other daemon's step must not run at a later
            // commit.
            daemons[*a].table.clear_before_commit();
        }
        Op::Advance(ms) => {
            world.advance(*ms);
            // These daemons are not frozen, so an order that its engine has not read within the
            // lifetime is dropped with its connection. Another test covers a frozen sender.
            world.engines.drop_held_older_than(ORDER_LIFETIME);
        }
        Op::FinishLoads => world.engines.finish_loads(),
        Op::HoldLoads(hold) => world.engines.hold_loads(*hold),
        Op::DeliverHeldLoads => drop(world.engines.deliver_held_loads()),
        Op::SetTableDown(d, down) => daemons[*d].table.set_unreachable(*down),
        Op::ScriptCommitFault(d, fault) => daemons[*d].table.script([*fault]),
        Op::LoseReplies(lose) => world.engines.lose_replies(*lose),
        Op::SetUnresponsive(e, is_unresponsive) => {
            world.engines.set_unresponsive(&TargetName::new(format!("e{e}")), *is_unresponsive);
        }
        // The process ends. Held load orders are delivered first, as an order of an ended process
        // can't arrive later.
        Op::Restart(d) => {
            world.engines.deliver_held_loads();
            daemons[*d] = Arc::new(world.daemon(&format!("d{d}")));
        }
    }
}

/// Returns whether each loaded model has a slot; without one, no daemon would ever unload it.
fn every_loaded_model_has_a_slot(world: &World) -> bool {
    let service = ServiceName::from(SERVICE);
    let row = tansyknot_control::replicas::read_replicas(&world.table, &service).expect("up").row;
    (0..ENGINES).map(|e| TargetName::new(format!("e{e}"))).all(|target| {
        let loaded = world.engines.models(&target).status().model(&service).is_some();
        !loaded || row.slot(&target).is_some()
    })
}

fn check_limits(ops: &[Op], limit: u32, fencing: Fencing) -> Result<(), TestCaseError> {
    let world = World::new(&[20; ENGINES], fencing);
    world.apply(limit);
    let mut daemons: Vec<Arc<Daemon>> =
        (0..DAEMONS).map(|d| Arc::new(world.daemon(&format!("d{d}")))).collect();
    for op in ops {
        apply_op(&world, &mut daemons, op);
        prop_assert!(every_loaded_model_has_a_slot(&world), "after {op:?}");
        let observed = world.engines.maxima();
        prop_assert!(observed.replicas.values().all(|n| *n <= limit as usize), "after {op:?}");
        prop_assert!(observed.used_bytes.values().all(|b| *b <= 20 * GB), "after {op:?}");
        prop_assert!(world.slot_states(SERVICE).len() <= limit as usize, "after {op:?}");
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn limit_and_memory_hold_under_any_interleaving_checked(
        ops in prop::collection::vec(op(), 1..120),
        limit in 1_u32..3,
    ) {
        check_limits(&ops, limit, Fencing::Checked)?;
    }

    #[test]
    fn limit_and_memory_hold_under_any_interleaving_ignored(
        ops in prop::collection::vec(op(), 1..120),
        limit in 1_u32..3,
    ) {
        check_limits(&ops, limit, Fencing::Ignored)?;
    }
}

/// Guards against a second replica through an unanswered order of a former holder.
///
/// If the order is dropped together with the claim, the former holder removes itself from the
/// slot's `ordering` when the model is ready, although its order may still reach the engine.
#[test]
fn unanswered_order_is_remembered_after_the_slot_went_to_another() {
    let ops = [
        Op::Step(0),
        Op::Restart(0),
        Op::StepAround(2, 0),
        Op::Advance(45_792),
        Op::LoseReplies(true),
        Op::Step(2),
        Op::HoldLoads(true),
        Op::Step(0),
        Op::LoseReplies(false),
        Op::FinishLoads,
        Op::StepAround(2, 0),
        Op::HoldLoads(false),
        Op::Step(2),
        Op::Advance(14_208),
        Op::StepAround(0, 2),
        Op::Advance(1000),
        Op::Step(2),
        Op::DeliverHeldLoads,
    ];
    check_limits(&ops, 1, Fencing::Ignored).expect("the limit holds");
}
