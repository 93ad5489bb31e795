//! The threads that poll the store, and the timing of their calls.

use std::{sync::Arc, time::Duration};

use tansyknot_core::clock::{BootInstant, Time};
use tansyknot_fleet::{
    follow::{ConfigFollower, TargetFollower},
    peering::PeerNode,
    poison::keeper::{self, PoisonKeeper},
    state::State,
};

use super::spawn;

/// How often the planner polls the list of targets while a load is due to finish.
const PENDING_LOAD_POLL_INTERVAL: Duration = Duration::from_millis(90);

/// How often the row of poison requests is checked without a notification of a change. The interval
/// is long because each check wakes a thread.
const POISON_CHECK_INTERVAL: Duration = Duration::from_secs(30);

/// Starts the thread that keeps the row of poison requests up to date.
pub(super) fn run_poison_keeper(
    keeper: Arc<PoisonKeeper>,
    state: &Arc<State>,
    peer_node: &Arc<PeerNode>,
) {
    let (state, peer_node) = (Arc::clone(state), Arc::clone(peer_node));
    spawn("poison", move || {
        loop {
            let seen = state.poison_changed.count();
            if keeper.step(peer_node.is_planner()) {
                state.clock.sleep(keeper::RETRY_INTERVAL);
                continue;
            }
            state.poison_changed.wait(seen, POISON_CHECK_INTERVAL);
        }
    });
}

/// Starts the thread that follows the operators' configuration. It first reads the row of poison
/// requests: no request is served without a configuration, so none is served before that read.
pub(super) fn follow_config(
    mut follower: ConfigFollower,
    state: &Arc<State>,
    peer_node: &Arc<PeerNode>,
    poison: Arc<PoisonKeeper>,
) {
    let (state, peer_node) = (Arc::clone(state), Arc::clone(peer_node));
    spawn("config", move || {
        while !poison.read() {
            state.clock.sleep(keeper::RETRY_INTERVAL);
        }
        let mut was_planner = false;
        loop {
            let is_planner = peer_node.is_planner();
            if is_planner && !was_planner {
                follower.skip_next_wait();
            }
            was_planner = is_planner;
            if !is_planner && state.keys_fresh_for().is_zero() {
                follower.skip_next_wait();
            }
            let started_at = state.now();
            let pause = follower.step();
            peer_node.publish_config();
            pause_calls(&state, started_at, pause);
            await_config_call(&state, &peer_node);
        }
    });
}

/// Waits for `pause` after a call that started at `started_at`. The wait ends early if, since that
/// time, the store has responded again after failed calls.
fn pause_calls(state: &State, started_at: Time, pause: Duration) {
    let until = state.now() + pause;
    loop {
        let seen = state.store_call_due.count();
        let time_left = until.since(state.now());
        let has_later_call_returned =
            state.store_contacts().returned_at.is_some_and(|at| at > started_at);
        if time_left.is_zero() || has_later_call_returned {
            return;
        }
        state.store_call_due.wait(seen, time_left);
    }
}

/// Waits until the configuration received from other daemons is stale, or while a planner has none.
/// Does not wait if this daemon is the planner or follows the configuration for all.
fn await_config_call(state: &State, peer_node: &PeerNode) {
    loop {
        let seen = state.store_call_due.count();
        let own_version = state.catalog().map_or(0, |c| c.version);
        let time_left = match own_version {
            // The planner finds the first configuration, and announces it.
            0 => state.planner_view().config_fresh_for(0, state.now()),
            _ => state.config_fresh_for(own_version),
        };
        if peer_node.is_planner() || state.is_config_reader() || time_left.is_zero() {
            return;
        }
        state.store_call_due.wait(seen, time_left);
    }
}

/// Starts the thread that follows the list of targets.
pub(super) fn follow_targets(
    mut follower: TargetFollower,
    state: &Arc<State>,
    peer_node: &Arc<PeerNode>,
) {
    let (state, peer_node) = (Arc::clone(state), Arc::clone(peer_node));
    spawn("targets", move || {
        let mut was_planner = false;
        loop {
            let is_planner = peer_node.is_planner();
            if is_planner && !was_planner {
                follower.request_full_read();
            }
            was_planner = is_planner;
            let started_at = state.now();
            if !follower.step() {
                pause_calls(&state, started_at, follower.pause());
                await_list_call(&state, &peer_node, Duration::ZERO);
            } else if peer_node.is_planner() {
                pause_planner(&state, &peer_node);
            } else {
                // Without fresh updates the list is read as often as a planner reads it.
                await_list_call(&state, &peer_node, state.list_poll_interval());
            }
        }
    });
}

/// Waits until the planner's next poll of the list; the wait is shorter while a load is due.
fn pause_planner(state: &State, peer_node: &PeerNode) {
    let started_at = BootInstant::now();
    let mut seen = state.step_due.count();
    loop {
        let poll_interval = state.freshness.list_poll_interval;
        let interval = if peer_node.awaits_load() {
            poll_interval.min(PENDING_LOAD_POLL_INTERVAL)
        } else {
            poll_interval
        };
        let time_left = interval.saturating_sub(started_at.elapsed());
        if time_left.is_zero() {
            return;
        }
        seen = state.step_due.wait(seen, time_left);
    }
}

/// Waits at least for `min_wait`, and until the list received from the planner is stale. Does not
/// wait if this daemon is the planner.
fn await_list_call(state: &State, peer_node: &PeerNode, min_wait: Duration) {
    let until = state.now() + min_wait;
    let mut stale_since = None;
    loop {
        let seen = state.store_call_due.count();
        let now = state.now();
        let mut time_left = state.list_fresh_for(now).max(until.since(now));
        if time_left.is_zero() {
            let since = *stale_since.get_or_insert(now);
            time_left = (since + peer_node.own_list_call_delay(now)).since(now);
        } else {
            stale_since = None;
        }
        if peer_node.is_planner() || time_left.is_zero() {
            return;
        }
        state.store_call_due.wait(seen, time_left);
    }
}
