//! Replicas never exceed the limit and memory is never overcommitted under bursts, races and
//! faults.

mod support;

use support::{Daemon, GB, World};
use tansyknot_control::pools::{AcquireOutcome, WaitOutcome};
use tansyknot_core::{
    host::{Fencing, HostState},
    name::{ServiceName, TargetName},
    refusal::Reason,
    replica::SlotState,
};
use tansyknot_standins::fake::CommitFault;
use yare::parameterized;

use crate::support::OBJECTS;

fn max_loaded(world: &World, service: &str) -> usize {
    world.engines.maxima().replicas.get(&ServiceName::from(service)).copied().unwrap_or(0)
}

/// Steps every daemon in turn while time passes and loads finish.
fn run(world: &World, daemons: &[Daemon], service: &str, rounds: usize) {
    for round in 0..rounds {
        for daemon in daemons {
            daemon.observe(world);
            let _ = daemon.step(service);
        }
        world.advance(500);
        if round % 2 == 1 {
            world.engines.finish_loads();
        }
    }
}

#[parameterized(
    three_daemons_checked = { 3, 1, Fencing::Checked },
    seven_daemons_checked = { 7, 1, Fencing::Checked },
    seven_daemons_two_replicas = { 7, 2, Fencing::Checked },
    three_daemons_ignored = { 3, 1, Fencing::Ignored },
    seven_daemons_ignored = { 7, 2, Fencing::Ignored },
)]
fn burst_loads_no_more_than_the_limit(daemons: usize, limit: u32, fencing: Fencing) {
    let world = World::new(&[80, 80, 80, 80], fencing);
    world.apply(limit);
    let daemons: Vec<Daemon> = (0..daemons).map(|i| world.daemon(&format!("d{i}"))).collect();
    for daemon in &daemons {
        for _ in 0..20 {
            let _ = daemon.request(&world, "permit");
        }
    }
    run(&world, &daemons, "permit", 12);
    assert!(max_loaded(&world, "permit") >= 1);
    assert!(max_loaded(&world, "permit") <= limit as usize);
    assert_eq!(world.slot_states("permit")[0], SlotState::Ready);
}

#[parameterized(
    reply_lost = { &[CommitFault::LostReply] },
    reply_lost_twice = { &[CommitFault::LostReply, CommitFault::LostReply] },
    request_lost = { &[CommitFault::LostRequest] },
    request_then_reply_lost = { &[CommitFault::LostRequest, CommitFault::LostReply] },
    unreachable = { &[CommitFault::Unreachable] },
    ready_mark_lost = { &[CommitFault::None, CommitFault::LostReply, CommitFault::LostRequest] },
)]
fn faulty_commits_neither_double_nor_lose_a_replica(faults: &[CommitFault]) {
    for fencing in [Fencing::Checked, Fencing::Ignored] {
        let world = World::new(&[80, 80, 80], fencing);
        world.apply(1);
        let daemons = [world.daemon("d0"), world.daemon("d1")];
        daemons[0].table.script(faults.iter().copied());
        for daemon in &daemons {
            let _ = daemon.request(&world, "permit");
        }
        run(&world, &daemons, "permit", 40);
        assert_eq!(max_loaded(&world, "permit"), 1);
        assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
    }
}

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn lowered_limit_stops_a_reservation_decided_before_it(fencing: Fencing) {
    let world = World::new(&[80, 80, 80], fencing);
    world.apply(1);
    let daemon = world.daemon("d0");
    let _ = daemon.request(&world, "permit");
    // The daemon's configuration still has a limit of 1 after the operators have lowered it to 0.
    world.apply(0);
    let _ = daemon.step("permit");
    assert_eq!(max_loaded(&world, "permit"), 0);
    assert_eq!(world.slot_states("permit"), []);
}

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn lowered_limit_drains_the_surplus(fencing: Fencing) {
    let world = World::new(&[80, 80, 80], fencing);
    world.apply_text(&OBJECTS.replace("{max: MAX}", "{min: 2, max: 2}"));
    let daemons = [world.daemon("d0")];
    run(&world, &daemons, "permit", 12);
    assert_eq!(world.engines.engines_with_model(&ServiceName::from("permit")), 2);
    world.apply(1);
    run(&world, &daemons, "permit", 12);
    assert_eq!(world.engines.engines_with_model(&ServiceName::from("permit")), 1);
    assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
}

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn memory_is_never_overcommitted(fencing: Fencing) {
    let world = World::new(&[20, 20], fencing);
    world.apply(2);
    let daemons = [world.daemon("d0"), world.daemon("d1"), world.daemon("d2")];
    for daemon in &daemons {
        for service in ["permit", "summary"] {
            for _ in 0..10 {
                let _ = daemon.request(&world, service);
            }
        }
    }
    for _ in 0..10 {
        run(&world, &daemons, "permit", 1);
        run(&world, &daemons, "summary", 1);
    }
    for target in ["e0", "e1"] {
        assert!(world.reserved_bytes(target) <= 20 * GB);
    }
    assert!(world.engines.maxima().used_bytes.values().all(|used| *used <= 20 * GB));
    let refused: u64 = ["e0", "e1"]
        .map(|t| world.engines.models(&TargetName::from(t)).peaks().refused_loads)
        .iter()
        .sum();
    assert_eq!(refused, 0, "a load was ordered at an engine without enough memory");
}

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn memory_in_use_without_a_reservation_counts(fencing: Fencing) {
    let world = World::new(&[20], fencing);
    world.apply(1);
    let stray = tansyknot_core::engine::LoadOrder {
        service: ServiceName::from("stray"),
        checkpoint: "stray".to_owned(),
        memory_bytes: 10 * GB,
        fence: 1,
    };
    let models = world.engines.models(&TargetName::from("e0"));
    models.begin_load(&stray).expect("the engine is empty");
    let daemons = [world.daemon("d0")];
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 6);
    assert_eq!(world.slot_states("permit"), []);
    assert_eq!(models.peaks().refused_loads, 0);
}

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn killed_holder_is_replaced_on_the_same_target(fencing: Fencing) {
    let world = World::new(&[80, 80, 80], fencing);
    world.apply(1);
    let first = world.daemon("d0");
    let _ = first.request(&world, "permit");
    first.step("permit").expect("the table is up");
    drop(first);
    let daemons = [world.daemon("d1")];
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 40);
    assert_eq!(max_loaded(&world, "permit"), 1);
    assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
}

/// A holder freezes while its load order is in transit. Another daemon takes the slot over and
/// drains it, and then the order arrives.
#[parameterized(
    checked = { Fencing::Checked, true },
    ignored = { Fencing::Ignored, false },
)]
fn order_of_a_frozen_holder_never_makes_a_second_replica(fencing: Fencing, freed: bool) {
    let world = World::new(&[80, 80, 80], fencing);
    world.apply(1);
    let frozen = world.daemon("d0");
    let _ = frozen.request(&world, "permit");
    world.engines.hold_loads(true);
    frozen.step("permit").expect("the table is up");
    world.engines.hold_loads(false);

    let daemons = [world.daemon("d1")];
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 40);
    assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
    // Without demand the slot is drained, and removed if that is safe.
    daemons[0].pools.refuse_waiting(
        &ServiceName::from("permit"),
        &tansyknot_core::refusal::Refusal::not_run(
            tansyknot_core::refusal::Reason::NoCapacity,
            "test",
        ),
    );
    release_all(&daemons[0], "permit");
    for _ in 0..200 {
        run(&world, &daemons, "permit", 1);
    }
    let slots = world.slot_states("permit");
    assert_eq!(slots.is_empty(), freed, "{slots:?}");

    // The frozen holder resumes and its order arrives.
    world.engines.deliver_held_loads();
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 20);
    assert_eq!(max_loaded(&world, "permit"), 1);
}

/// Releases all requests that the pool counts as in flight.
fn release_all(daemon: &Daemon, service: &str) {
    let service = ServiceName::from(service);
    for i in 0..8 {
        for _ in 0..10 {
            daemon.pools.release(&service, &TargetName::new(format!("e{i}")), None);
        }
    }
}

#[test]
fn slot_held_for_a_frozen_holder_is_freed_once_its_incarnation_is_gone() {
    let world = World::new(&[80, 80], Fencing::Ignored);
    world.apply(1);
    let frozen = world.daemon("d0");
    let _ = frozen.request(&world, "permit");
    world.engines.hold_loads(true);
    frozen.step("permit").expect("the table is up");
    world.engines.hold_loads(false);
    world.apply(0);
    let daemons = [world.daemon("d1")];
    run(&world, &daemons, "permit", 60);
    assert_eq!(world.slot_states("permit"), [SlotState::Draining]);
    // A new run under the same name shows that the old one has ended.
    let _restarted = world.daemon("d0");
    run(&world, &daemons, "permit", 60);
    assert_eq!(world.slot_states("permit"), []);
    assert_eq!(world.reserved_bytes("e0") + world.reserved_bytes("e1"), 0);
}

#[test]
fn order_is_not_sent_after_the_claim_has_lapsed() {
    let world = World::new(&[80], Fencing::Ignored);
    world.apply(1);
    let daemon = world.daemon("d0");
    let _ = daemon.request(&world, "permit");
    world.engines.set_unresponsive(&TargetName::from("e0"), false);
    world.engines.lose_replies(true);
    daemon.step("permit").expect("the table is up");
    let row = |w: &World| {
        let service = ServiceName::from("permit");
        tansyknot_control::replicas::read_replicas(&w.table, &service).expect("up").row
    };
    let before = row(&world).last_fence;
    // The daemon was paused until after its claim expired: it must claim the slot again before it
    // sends another order.
    world.advance(11_000);
    world.engines.lose_replies(false);
    daemon.step("permit").expect("the table is up");
    assert_eq!(row(&world).last_fence, before + 1);
    run(&world, &[daemon], "permit", 8);
    assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
}

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn engine_that_restarts_is_noticed_and_its_replica_loaded_again(fencing: Fencing) {
    let world = World::new(&[80], fencing);
    world.apply(1);
    let daemons = [world.daemon("d0")];
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 8);
    assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
    release_all(&daemons[0], "permit");
    world.engines.add(&TargetName::from("e0"), 80 * GB, fencing);
    run(&world, &daemons, "permit", 30);
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 20);
    assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
    assert_eq!(world.engines.engines_with_model(&ServiceName::from("permit")), 1);
}

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn reclaimed_host_frees_the_slot_for_another(fencing: Fencing) {
    let world = World::new(&[80, 80], fencing);
    world.apply(1);
    let daemons = [world.daemon("d0")];
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 8);
    let service = ServiceName::from("permit");
    let row = tansyknot_control::replicas::read_replicas(&world.table, &service).expect("up").row;
    let gone = row.slots[0].target.clone();
    world.engines.set_unresponsive(&gone, true);
    world.hosts.state.set_state(&gone, None);
    run(&world, &daemons, "permit", 60);
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 20);
    let row = tansyknot_control::replicas::read_replicas(&world.table, &service).expect("up").row;
    assert_eq!(row.slots.len(), 1);
    assert_ne!(row.slots[0].target, gone);
}

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn silent_engine_keeps_its_slot_and_memory_counted(fencing: Fencing) {
    let world = World::new(&[80], fencing);
    world.apply(1);
    let daemons = [world.daemon("d0")];
    let _ = daemons[0].request(&world, "permit");
    daemons[0].step("permit").expect("the table is up");
    world.engines.set_unresponsive(&TargetName::from("e0"), true);
    run(&world, &daemons, "permit", 100);
    assert_eq!(world.slot_states("permit").len(), 1);
    assert_eq!(world.reserved_bytes("e0"), 16 * GB);
}

#[test]
fn all_daemons_restarted_at_once_find_the_replicas_again() {
    let world = World::new(&[80, 80], Fencing::Checked);
    world.apply(1);
    let daemons = [world.daemon("d0"), world.daemon("d1")];
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 8);
    drop(daemons);
    let daemons = [world.daemon("d0"), world.daemon("d1")];
    for daemon in &daemons {
        let _ = daemon.request(&world, "permit");
        daemon.step("permit").expect("the table is up");
        assert!(daemon.pools.demand(&ServiceName::from("permit")).has_upstream);
    }
    assert_eq!(
        world.engines.models(&TargetName::from("e0")).peaks().loads
            + world.engines.models(&TargetName::from("e1")).peaks().loads,
        1
    );
}

#[test]
fn leaving_target_is_closed_with_the_next_reading_of_the_list() {
    let world = World::new(&[80, 80], Fencing::Checked);
    world.apply(1);
    let daemons = [world.daemon("d0")];
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 8);
    let service = ServiceName::from("permit");
    assert!(daemons[0].pools.demand(&service).has_upstream);
    for target in ["e0", "e1"] {
        world.hosts.state.set_state(&TargetName::from(target), Some(HostState::Leaving));
    }
    daemons[0].observe(&world);
    assert!(!daemons[0].pools.demand(&service).has_upstream);
}

/// The holder is not frozen, but its load order is still in transit while it drains the slot.
#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn unanswered_order_of_the_same_holder_never_makes_a_lost_replica(fencing: Fencing) {
    let world = World::new(&[80], fencing);
    world.apply(1);
    let daemons = [world.daemon("d0")];
    let _ = daemons[0].request(&world, "permit");
    world.engines.hold_loads(true);
    daemons[0].step("permit").expect("the table is up");
    world.engines.hold_loads(false);
    world.hosts.state.set_state(&TargetName::from("e0"), Some(HostState::Leaving));
    run(&world, &daemons, "permit", 8);
    // An engine that checks fencing tokens refuses the old order; for one that ignores them, the
    // slot is retained.
    world.engines.deliver_held_loads();
    let loaded = world.engines.engines_with_model(&ServiceName::from("permit"));
    assert_eq!(loaded, world.slot_states("permit").len().min(loaded));
    run(&world, &daemons, "permit", 140);
    assert_eq!(world.slot_states("permit"), []);
    assert_eq!(world.engines.engines_with_model(&ServiceName::from("permit")), 0);
}

#[parameterized(checked = { Fencing::Checked }, ignored = { Fencing::Ignored })]
fn replica_with_a_request_in_flight_is_not_unloaded(fencing: Fencing) {
    let world = World::new(&[80], fencing);
    world.apply(1);
    let daemons = [world.daemon("d0")];
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 8);
    let models = world.engines.models(&TargetName::from("e0"));
    let running = models.begin_request("permit").expect("the model is ready");
    world.apply(0);
    run(&world, &daemons, "permit", 40);
    assert_eq!(models.peaks().busy_unloads, 0);
    assert_eq!(world.slot_states("permit"), [SlotState::Draining]);
    drop(running);
    run(&world, &daemons, "permit", 20);
    assert_eq!(world.slot_states("permit"), []);
}

/// A daemon may receive a request in its first milliseconds, before it has read the list of hosts.
#[test]
fn request_before_the_list_has_been_read_waits_instead_of_being_refused() {
    let world = World::new(&[80], Fencing::Checked);
    world.apply(1);
    let daemon = world.unread_daemon("d0");
    daemon.config.follow(&daemon.table).expect("the table is up");
    let _ = daemon.request(&world, "permit");
    daemon.step("permit").expect("the table is up");
    assert_eq!(daemon.pools.demand(&ServiceName::from("permit")).requests.waiting, 1);
    run(&world, &[daemon], "permit", 8);
    assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
}

#[test]
fn checkpoint_is_staged_once_and_its_unused_replica_removed() {
    let world = World::new(&[80, 80], Fencing::Checked);
    world.apply(1);
    let daemons = [world.daemon("d0")];
    run(&world, &daemons, "permit", 4);
    assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
    run(&world, &daemons, "permit", 40);
    assert_eq!(world.slot_states("permit"), []);
    run(&world, &daemons, "permit", 40);
    let loads = |t: &str| world.engines.models(&TargetName::from(t)).peaks().loads;
    assert_eq!(loads("e0") + loads("e1"), 1);
}

/// Guards against the removal of a staged replica right after its first responses.
///
/// Requests that arrive while the checkpoint is being staged must count as use of the replica.
#[test]
fn staged_replica_that_is_used_stays_like_any_other() {
    let world = World::new(&[80], Fencing::Checked);
    world.apply(1);
    let daemons = [world.daemon("d0")];
    run(&world, &daemons, "permit", 1);
    let _ = daemons[0].request(&world, "permit");
    run(&world, &daemons, "permit", 5);
    release_all(&daemons[0], "permit");
    // Past the minimum retention, but well before the break-even time of a service without history.
    run(&world, &daemons, "permit", 40);
    assert_eq!(world.slot_states("permit"), [SlotState::Ready]);
}

/// Guards against requests that wait until shortly before their deadline for a replica that can't
/// be loaded.
#[parameterized(
    no_replica_allowed = { &[80], 0, Reason::NoCapacity },
    no_memory_anywhere = { &[8, 8], 1, Reason::NoCapacity },
    no_target = { &[], 1, Reason::NoTarget },
)]
fn request_that_no_replica_can_serve_is_refused_at_once(
    memory_gb: &[u64],
    max: u32,
    reason: Reason,
) {
    let world = World::new(memory_gb, Fencing::Checked);
    world.apply(max);
    let daemon = world.daemon("d0");
    let AcquireOutcome::Queued(_, rx) = daemon.request(&world, "permit") else {
        panic!("the pool must queue the request");
    };
    daemon.step("permit").expect("the table is up");
    let signal = daemon.pools.wait(&rx, std::time::Duration::ZERO);
    let Some(WaitOutcome::Refused(refusal)) = signal else {
        panic!("the request was not refused: {signal:?}")
    };
    assert_eq!(refusal.reason, reason);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn table_that_goes_away_ends_the_wait_of_cold_requests_at_once() {
    let world = World::new(&[80], Fencing::Checked);
    world.apply(1);
    let daemon = world.daemon("d0");
    let AcquireOutcome::Queued(_, rx) = daemon.request(&world, "permit") else {
        panic!("the pool must queue the request");
    };
    daemon.table.set_unreachable(true);
    assert!(daemon.step("permit").is_err());
    let signal = daemon.pools.wait(&rx, std::time::Duration::ZERO);
    let Some(WaitOutcome::Refused(refusal)) = signal else {
        panic!("the request was not refused: {signal:?}")
    };
    assert_eq!(refusal.reason, Reason::StoreUnavailable);
}
