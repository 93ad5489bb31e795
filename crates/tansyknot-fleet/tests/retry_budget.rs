//! Guards the retry budget of a service, which holds over all daemons together, while daemons stop
//! and start.
//!
//! Restarted daemons exceeded the budget while targets failed: a service got 194 retries in 10 s
//! where 142 are allowed. Until the planner's daemon count arrived, 0.4 s after its start, a daemon
//! spent the whole slack as if it were alone. It also took the window before its start for empty,
//! although it had spent retries there before it was killed.

mod support;

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use support::state;
use tansyknot_core::{
    clock::{Clock, ManualClock, Time},
    name::ServiceName,
};
use tansyknot_fleet::state::State;
use yare::parameterized;

const DAEMONS: usize = 6;
const WINDOW: Duration = Duration::from_secs(10);
/// Retry ratio and slack of the tests' shared configuration.
const RATIO: f64 = 0.2;
const SLACK: f64 = 52.0;
/// Delay from a start or a change of the planner until daemons receive the daemon count.
const DAEMON_COUNT_DELAY: Duration = Duration::from_millis(400);

/// First sends and retries of all daemons together.
#[derive(Default)]
struct Sends {
    first: Vec<Time>,
    retries: Vec<Time>,
}

impl Sends {
    /// Returns by how much the retries within the window that ends at `end` exceed the bound. The bound
    /// uses the number of requests in that window, in the one before it or in the one half a window
    /// before it, whichever has the most.
    fn excess(&self, end: Time) -> f64 {
        let within = |sends: &[Time], end: Time| {
            sends.iter().filter(|at| **at <= end && end.since(**at) < WINDOW).count() as f64
        };
        let ends = [end, end.saturating_sub(WINDOW / 2), end.saturating_sub(WINDOW)];
        let requests = ends.map(|end| within(&self.first, end)).into_iter().fold(0.0, f64::max);
        within(&self.retries, end) - (requests * RATIO + SLACK)
    }

    fn assert_bound(&self, from: Time, to: Time, scenario: &str) {
        let mut end = from;
        while end < to {
            let excess = self.excess(end);
            assert!(
                excess <= 0.0,
                "{scenario}: {excess} retries too many in the window that ends at {end:?}"
            );
            end = end + Duration::from_millis(250);
        }
    }
}

/// Daemons that retry each request as often as the budget allows, because all targets fail.
struct Rig {
    clock: ManualClock,
    daemons: Vec<Arc<State>>,
    /// When each daemon receives the daemon count.
    count_due_at: Vec<Time>,
    service: ServiceName,
    sends: Sends,
}

impl Rig {
    fn new() -> Self {
        Self::with_daemons(DAEMONS)
    }

    fn with_daemons(daemons: usize) -> Self {
        let clock = ManualClock::new();
        let daemons: Vec<Arc<State>> = (0..daemons).map(|_| state(&clock)).collect();
        let count_due_at = vec![clock.now() + DAEMON_COUNT_DELAY; daemons.len()];
        let mut rig =
            Self { clock, daemons, count_due_at, service: "s".into(), sends: Sends::default() };
        // All daemons have run for two windows and have the daemon count before the first request.
        rig.advance(2 * WINDOW);
        rig
    }

    /// Sends a request through a daemon, which retries it as often as the budget allows.
    fn request(&mut self, daemon: usize) {
        let now = self.clock.now();
        let state = &self.daemons[daemon];
        state.count_first_send(&self.service);
        self.sends.first.push(now);
        while state.take_retry(&self.service) {
            self.sends.retries.push(now);
        }
    }

    /// Advances the clock, and delivers the daemon count where it is due.
    fn advance(&mut self, duration: Duration) {
        self.clock.advance(duration);
        let now = self.clock.now();
        let daemons = self.daemons.len();
        for (state, count_due_at) in self.daemons.iter().zip(&self.count_due_at) {
            if now >= *count_due_at {
                state.fleet().raise_daemon_count(daemons);
            }
        }
    }

    /// Kills a daemon and restarts it at once.
    fn kill(&mut self, daemon: usize) {
        self.daemons[daemon] = state(&self.clock);
        self.count_due_at[daemon] = self.clock.now() + DAEMON_COUNT_DELAY;
    }

    /// Has a new planner send a count of `seen` daemons, as it has received no message of the others
    /// yet.
    fn change_planner(&mut self, seen: usize) {
        let count_due_at = self.clock.now() + DAEMON_COUNT_DELAY;
        for (state, at) in self.daemons.iter().zip(&mut self.count_due_at) {
            state.fleet().raise_daemon_count(seen);
            *at = count_due_at;
        }
    }

    /// Sends 50 requests per second for `duration` to all daemons in turn; all of them fail.
    fn serve(&mut self, duration: Duration) {
        self.serve_each(Duration::from_millis(20), duration);
    }

    /// Sends 50 requests per second for `duration` to all daemons in turn; none of them fails.
    fn serve_without_failures(&mut self, duration: Duration) {
        let until = self.clock.now() + duration;
        let mut n = 0;
        while self.clock.now() < until {
            self.daemons[n % self.daemons.len()].count_first_send(&self.service);
            self.sends.first.push(self.clock.now());
            n += 1;
            self.advance(Duration::from_millis(20));
        }
    }

    /// Sends a request every `gap` for `duration` to all daemons in turn; all of them fail.
    fn serve_each(&mut self, gap: Duration, duration: Duration) {
        let until = self.clock.now() + duration;
        let mut n = 0;
        while self.clock.now() < until {
            self.request(n % self.daemons.len());
            n += 1;
            self.advance(gap);
        }
    }
}

#[test]
fn daemons_that_are_killed_while_targets_fail_stay_within_the_bound() {
    let mut rig = Rig::new();
    rig.serve(Duration::from_secs(20));
    for _ in 0..3 {
        (0..DAEMONS).for_each(|daemon| rig.kill(daemon));
        rig.serve(Duration::from_secs(3));
    }
    rig.sends.assert_bound(Time::default(), rig.clock.now(), "all daemons killed three times");
}

// Guards against a budget that is spent twice around a restart. When 90 % of the daemons were killed 5 s
// after targets began to refuse requests, the service got 242 retries in 10 s where 240 are allowed.
// Until the kill the daemons spend retries that earlier requests allow; after it they spend those that
// new requests allow, as if the earlier retries had not been sent.
#[parameterized(
    at_once = { 500 },
    soon = { 2_000 },
    halfway = { 4_800 },
    late = { 8_000 },
)]
fn daemons_that_are_killed_after_targets_begin_to_fail_stay_within_the_bound(killed_after: u64) {
    let mut rig = Rig::new();
    rig.serve_without_failures(Duration::from_secs(12));
    rig.serve(Duration::from_millis(killed_after));
    (0..DAEMONS).for_each(|daemon| rig.kill(daemon));
    rig.serve(Duration::from_secs(10));
    rig.sends.assert_bound(Time::default(), rig.clock.now(), "killed while targets fail");
}

#[test]
fn daemons_stay_within_the_bound_while_a_new_planner_has_not_seen_all() {
    let mut rig = Rig::new();
    rig.serve(Duration::from_secs(20));
    rig.change_planner(1);
    rig.serve(Duration::from_secs(5));
    rig.sends.assert_bound(Time::default(), rig.clock.now(), "planner that has seen one daemon");
}

#[test]
fn daemons_stay_within_the_bound_through_kills_and_changes_of_the_planner() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut rig = Rig::new();
        for _ in 0..30 {
            rig.serve(Duration::from_millis(rng.random_range(200..2500)));
            match rng.random_range(0..4) {
                0 => rig.kill(rng.random_range(0..DAEMONS)),
                1 => (0..DAEMONS).for_each(|daemon| rig.kill(daemon)),
                2 => rig.change_planner(rng.random_range(1..DAEMONS)),
                _ => {}
            }
        }
        rig.sends.assert_bound(Time::default(), rig.clock.now(), &format!("seed {seed}"));
    }
}

#[test]
fn daemon_that_has_run_for_a_window_spends_its_share_of_the_slack() {
    let mut rig = Rig::new();
    rig.request(0);
    let allotment = SLACK / DAEMONS as f64;
    let spent = rig.sends.retries.len() as f64;
    assert!(spent >= (allotment * 0.7).floor() && spent <= allotment, "{spent} of {allotment}");
}

#[parameterized(
    one = { 1 },
    seven = { 7 },
    seventy_seven = { 77 },
)]
fn any_number_of_daemons_stays_within_the_bound_while_requests_come_in_bursts(daemons: usize) {
    for seed in 0..6 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut rig = Rig::with_daemons(daemons);
        for _ in 0..12 {
            let gap = Duration::from_millis([2, 10, 50, 400][rng.random_range(0..4)]);
            rig.serve_each(gap, Duration::from_millis(rng.random_range(200..4000)));
            match rng.random_range(0..4) {
                0 => (0..daemons).for_each(|daemon| rig.kill(daemon)),
                1 => rig.kill(rng.random_range(0..daemons)),
                2 => rig.change_planner(rng.random_range(0..daemons)),
                _ => {}
            }
        }
        rig.sends.assert_bound(Time::default(), rig.clock.now(), &format!("seed {seed}"));
    }
}
