//! What a daemon takes in is of a version, and nothing older than what is known changes the view.
//!
//! What users saw: requests of many daemons reached targets later than the bound after the store had
//! acknowledged that they leave.
//!
//! Order of events, first case: a daemon asks for the list, and the answer, made before a target went,
//! is long on its way; the planner tells meanwhile that the target has gone; then the answer comes in.
//! Second case: the planner holds a removal back, as its own calls have failed and the entry may have
//! lapsed with the store away, and tells the newer version all the same; then the planner changes.
//!
//! Cause: a version stood for more than what had been taken in or told as of it. The answer brought
//! the target back, or nobody was told that it had gone, and the next call went on from the newer
//! version, behind the removal. Evidence: the tests below failed on the code without the repair, as
//! did 40 of 200 runs of `leaving.rs` (seeds 0 to 39).

mod support;

use std::{sync::Arc, time::Duration};

use support::{held, network::Network, target};
use tansyknot_core::name::TargetName;
use tansyknot_fleet::{state::State, target::Target};
use yare::parameterized;

const LEAVE_WITHIN: Duration = Duration::from_secs(2);
const SECOND: Duration = Duration::from_secs(1);
/// The planner: the only daemon with a good link.
const PLANNER: usize = 0;
/// A daemon that follows it.
const FOLLOWER: usize = 1;

/// Lets three daemons start before four targets, and one follow the other.
fn started() -> Network {
    let mut network = Network::new(3, 4, LEAVE_WITHIN);
    network.run(SECOND * 4);
    let planner = network.planner().expect("there is one").address;
    assert_eq!(planner, network.nodes[PLANNER].address);
    network
}

fn t0() -> TargetName {
    TargetName::from("t0")
}

fn knows(state: &Arc<State>, name: &TargetName) -> bool {
    state.fleet().target(name).is_some()
}

#[parameterized(
    whole_list = { true },
    changes = { false },
)]
fn answer_made_before_a_target_went_does_not_bring_it_back(is_whole: bool) {
    let mut network = started();
    network.table.put(Target { models: vec![held("m3", &[])], ..target("t0", &[], &[]) });
    let node = &mut network.nodes[FOLLOWER];
    let state = Arc::clone(&node.state);
    if is_whole {
        node.calls.follower.request_full_read();
    }
    let call = node.calls.follower.begin();
    let answer = node.calls.follower.request(call);
    network.table.remove(&t0());
    network.run(SECOND);
    assert!(!knows(&state, &t0()), "the planner has told that it is gone");
    network.nodes[FOLLOWER].calls.follower.end(call, answer);
    assert!(!knows(&state, &t0()), "an older answer has brought it back");
    network.run(SECOND * 5);
    assert!(!knows(&state, &t0()));
}

#[test]
fn answer_made_before_a_target_came_does_not_drop_it() {
    let mut network = started();
    let node = &mut network.nodes[FOLLOWER];
    let state = Arc::clone(&node.state);
    node.calls.follower.request_full_read();
    let call = node.calls.follower.begin();
    let answer = node.calls.follower.request(call);
    let new = target("t9", &["m0"], &[]);
    network.table.put(new.clone());
    network.run(SECOND);
    assert!(knows(&state, &new.name), "the planner has told that it is there");
    network.nodes[FOLLOWER].calls.follower.end(call, answer);
    assert!(knows(&state, &new.name), "an older answer has dropped it");
    network.run(SECOND * 5);
    assert!(knows(&state, &new.name));
}

#[test]
fn removal_that_a_planner_held_back_is_found_under_the_next_one() {
    let mut network = started();
    let planner = Arc::clone(&network.nodes[PLANNER].state);
    // Its calls failed for a while, so that it takes the store for having been away.
    planner.fleet().store_returned(planner.now(), planner.now());
    network.table.remove(&t0());
    // It goes on to tell of what comes after.
    network.run(SECOND / 2);
    network.table.put(target("t9", &["m0"], &[]));
    network.run(SECOND);
    assert!(knows(&planner, &t0()), "it may have lapsed");
    // Its next run knows nothing of it.
    network.restart(PLANNER);
    network.run(SECOND * 5);
    let with_it: Vec<usize> = (0..3).filter(|n| knows(&network.nodes[*n].state, &t0())).collect();
    assert!(with_it.is_empty(), "daemons {with_it:?} still know it");
}
