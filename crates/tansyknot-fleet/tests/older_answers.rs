//! Guards against an older response of the store that undoes a newer state of a daemon's view.
//!
//! A response that the store made before a target was removed may arrive after the planner's update
//! about the removal. Applied as it stands, it brings the target back, and requests reach the target
//! after the time limit for its removal. In the reverse case it drops a target that was added
//! meanwhile.
//!
//! A planner whose own store calls failed holds a removal back, because the entry may only have
//! expired during an outage, but it advertises the newer list version. After a change of the planner,
//! the other daemons would continue from that version and never see the removal.

mod support;

use std::{sync::Arc, time::Duration};

use support::{loaded_model, network::Network, target};
use tansyknot_core::name::TargetName;
use tansyknot_fleet::{state::State, target::Target};
use yare::parameterized;

const LEAVE_WITHIN: Duration = Duration::from_secs(2);
const SECOND: Duration = Duration::from_secs(1);
/// Index of the planner, the only daemon with a good link.
const PLANNER: usize = 0;
/// Index of a daemon that follows the planner.
const FOLLOWER: usize = 1;

/// Starts three daemons with four targets, and runs until the daemons follow the planner.
fn started() -> Network {
    let mut network = Network::new(3, 4, LEAVE_WITHIN);
    network.run(SECOND * 4);
    let planner = network.planner().expect("a planner is elected").address;
    assert_eq!(planner, network.nodes[PLANNER].address);
    network
}

fn t0() -> TargetName {
    TargetName::from("t0")
}

fn has_target(state: &Arc<State>, name: &TargetName) -> bool {
    state.fleet().target(name).is_some()
}

#[parameterized(
    full_list = { true },
    changes = { false },
)]
fn answer_made_before_a_target_went_does_not_bring_it_back(is_full: bool) {
    let mut network = started();
    network.store.put(Target { models: vec![loaded_model("m3", &[])], ..target("t0", &[], &[]) });
    let node = &mut network.nodes[FOLLOWER];
    let state = Arc::clone(&node.state);
    if is_full {
        node.calls.follower.request_full_read();
    }
    let call = node.calls.follower.begin();
    let response = node.calls.follower.request(call);
    network.store.remove(&t0());
    network.run(SECOND);
    assert!(!has_target(&state, &t0()), "the planner has published the removal");
    network.nodes[FOLLOWER].calls.follower.end(call, response);
    assert!(!has_target(&state, &t0()), "an older response has brought the target back");
    network.run(SECOND * 5);
    assert!(!has_target(&state, &t0()));
}

#[test]
fn response_made_before_a_target_was_added_does_not_drop_it() {
    let mut network = started();
    let node = &mut network.nodes[FOLLOWER];
    let state = Arc::clone(&node.state);
    node.calls.follower.request_full_read();
    let call = node.calls.follower.begin();
    let response = node.calls.follower.request(call);
    let new = target("t9", &["m0"], &[]);
    network.store.put(new.clone());
    network.run(SECOND);
    assert!(has_target(&state, &new.name), "the planner has published the new target");
    network.nodes[FOLLOWER].calls.follower.end(call, response);
    assert!(has_target(&state, &new.name), "an older response has dropped the target");
    network.run(SECOND * 5);
    assert!(has_target(&state, &new.name));
}

#[test]
fn removal_that_a_planner_held_back_is_found_under_the_next_one() {
    let mut network = started();
    let planner = Arc::clone(&network.nodes[PLANNER].state);
    // The planner's store calls failed for a while, so it assumes that the store was unavailable.
    planner.fleet().store_returned(planner.now(), planner.now());
    network.store.remove(&t0());
    // The planner still publishes later changes.
    network.run(SECOND / 2);
    network.store.put(target("t9", &["m0"], &[]));
    network.run(SECOND);
    assert!(has_target(&planner, &t0()), "the entry may only have expired");
    // The restarted daemon does not have the retained entry.
    network.restart(PLANNER);
    network.run(SECOND * 5);
    let listing: Vec<usize> =
        (0..3).filter(|n| has_target(&network.nodes[*n].state, &t0())).collect();
    assert!(listing.is_empty(), "daemons {listing:?} still list the removed target");
}
