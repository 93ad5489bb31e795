//! The threads that follow the store, and when each of them makes its next call.

use std::{sync::Arc, time::Duration};

use tansyknot_core::clock::{BootInstant, Time};
use tansyknot_fleet::{
    follow::{ConfigFollower, TargetFollower},
    peering::PeerNode,
    poison::keeper::{self, PoisonKeeper},
    state::State,
};

use super::spawn;

/// How often the list of targets is followed while a load should be done.
const FOLLOW_LOADS: Duration = Duration::from_millis(90);

/// How often it is looked whether the row of poison requests is behind, beside when something has
/// changed or this daemon has become the planner: each look wakes a thread.
const POISON_LOOK: Duration = Duration::from_secs(30);

/// Starts the thread that keeps the row of poison requests.
pub(super) fn keep_poison(
    keeper: Arc<PoisonKeeper>,
    state: &Arc<State>,
    conductor: &Arc<PeerNode>,
) {
    let (state, conductor) = (Arc::clone(state), Arc::clone(conductor));
    spawn("poison", move || {
        loop {
            let seen = state.poison_changed.count();
            if keeper.step(conductor.is_planner()) {
                state.clock.sleep(keeper::RETRY_INTERVAL);
                continue;
            }
            state.poison_changed.wait(seen, POISON_LOOK);
        }
    });
}

/// Starts the thread that follows the operators' configuration, once the row of poison requests has
/// been read: without a configuration no request is served.
pub(super) fn follow_config(
    mut follower: ConfigFollower,
    state: &Arc<State>,
    conductor: &Arc<PeerNode>,
    poison: Arc<PoisonKeeper>,
) {
    let (state, conductor) = (Arc::clone(state), Arc::clone(conductor));
    spawn("config", move || {
        while !poison.read() {
            state.clock.sleep(keeper::RETRY_INTERVAL);
        }
        let mut was_planner = false;
        loop {
            let is_planner = conductor.is_planner();
            if is_planner && !was_planner {
                follower.skip_next_wait();
            }
            was_planner = is_planner;
            if !is_planner && state.keys_fresh_for().is_zero() {
                follower.skip_next_wait();
            }
            let began = state.now();
            let pause = follower.step();
            pause_calls(&state, began, pause);
            await_config_call(&state, &conductor);
        }
    });
}

/// Waits for the pause after a call that began at `began`, or until the store has answered
/// another call since then.
fn pause_calls(state: &State, began: Time, pause: Duration) {
    let until = state.now() + pause;
    loop {
        let seen = state.store_call_due.count();
        let left = until.since(state.now());
        let has_returned = state.store_contacts().returned_at.is_some_and(|at| at > began);
        if left.is_zero() || has_returned {
            return;
        }
        state.store_call_due.wait(seen, left);
    }
}

/// Waits as long as the planner's news of the configuration are fresh.
fn await_config_call(state: &State, conductor: &PeerNode) {
    loop {
        let seen = state.store_call_due.count();
        let mine = state.catalog().map_or(0, |c| c.version);
        let left = state.config_fresh_for(mine);
        if conductor.is_planner() || mine == 0 || left.is_zero() {
            return;
        }
        state.store_call_due.wait(seen, left);
    }
}

/// Starts the thread that follows the list of targets.
pub(super) fn follow_targets(
    mut follower: TargetFollower,
    state: &Arc<State>,
    conductor: &Arc<PeerNode>,
) {
    let (state, conductor) = (Arc::clone(state), Arc::clone(conductor));
    spawn("targets", move || {
        let mut was_planner = false;
        loop {
            let is_planner = conductor.is_planner();
            if is_planner && !was_planner {
                follower.request_full_read();
            }
            was_planner = is_planner;
            let began = state.now();
            if !follower.step() {
                pause_calls(&state, began, follower.pause());
                await_list_call(&state, &conductor, Duration::ZERO);
            } else if conductor.is_planner() {
                pause_planner(&state, &conductor);
            } else {
                // Without fresh news the list is read at the pace of a planner.
                await_list_call(&state, &conductor, state.list_poll_interval());
            }
        }
    });
}

/// Waits until the list is to be followed again, sooner if a load is due.
fn pause_planner(state: &State, conductor: &PeerNode) {
    let began = BootInstant::now();
    let mut seen = state.demand_changed.count();
    loop {
        let pace = state.spans.list_poll_interval;
        let span = if conductor.awaits_load() { pace.min(FOLLOW_LOADS) } else { pace };
        let left = span.saturating_sub(began.elapsed());
        if left.is_zero() {
            return;
        }
        seen = state.demand_changed.wait(seen, left);
    }
}

/// Waits at least for `least`, and as long as the planner's news of the list are fresh.
fn await_list_call(state: &State, conductor: &PeerNode, least: Duration) {
    let until = state.now() + least;
    loop {
        let seen = state.store_call_due.count();
        let now = state.now();
        let left = state.list_fresh_for(now).max(until.since(now));
        if conductor.is_planner() || left.is_zero() {
            return;
        }
        state.store_call_due.wait(seen, left);
    }
}
