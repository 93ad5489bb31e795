//! Tests a daemon on a host that was suspended: time passes between two of its steps, but none of its
//! waits ends.

mod support;

use std::time::Duration;

use support::{Daemon, HANDOVER_INTERVAL, network::Network, store::FakeStore};
use tansyknot_core::clock::{Clock, ManualClock};

const SUSPENSION: Duration = Duration::from_secs(5);

#[test]
fn resumed_planner_does_not_order_on_its_old_lease() {
    let clock = ManualClock::new();
    clock.advance(HANDOVER_INTERVAL * 2);
    let daemon = Daemon::new("d", &FakeStore::new(), &clock);
    for _ in 0..100 {
        daemon.maintain_lease();
        clock.advance(Duration::from_millis(50));
    }
    assert!(daemon.lease.is_valid(clock.now()));
    clock.advance(SUSPENSION);
    assert!(!daemon.lease.is_valid(clock.now()));
    assert!(daemon.lease.may_order(&"t".into(), clock.now()).is_none());
}

#[test]
fn resumed_follower_does_not_treat_its_old_view_as_fresh() {
    let mut network = Network::new(7, 9, Duration::from_secs(2));
    network.run(Duration::from_secs(6));
    let state = std::sync::Arc::clone(&network.nodes[3].state);
    assert!(!state.list_fresh_for(network.now()).is_zero());
    network.clock.advance(SUSPENSION);
    assert!(
        state.list_fresh_for(network.now()).is_zero(),
        "the follower has to read the store itself"
    );
    assert!(state.config_fresh_for(1).is_zero());
}
