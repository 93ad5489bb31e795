//! Prints how long the decisions of a queue take with 10,000 waiting requests of 16 teams.
//!
//! Run with `cargo run --release -p tansyknot-policy --example queue`.

use std::{
    hint,
    time::{Duration, Instant},
};

use tansyknot_core::clock::Time;
use tansyknot_policy::queue::{Team, WaitQueue, Waiter};

/// The number of waiting requests.
const WAITING: u64 = 10_000;
/// The number of measured decisions of each kind.
const DECISIONS: u64 = 20_000;

fn main() {
    for teams in [1, 16] {
        let mut queue = WaitQueue::default();
        for i in 0..WAITING {
            queue.push(waiter(i, teams));
        }
        let position = measure(|i| {
            hint::black_box(queue.ahead_of(&waiter(WAITING + i, teams)));
        });
        let turn = measure(|i| {
            queue.promote(Time::from_millis(2000 + i / 20));
            queue.push(waiter(WAITING + i, teams));
            hint::black_box(queue.pop());
        });
        let per_decision = |total: Duration| total.as_secs_f64() * 1e6 / DECISIONS as f64;
        let (position, turn) = (per_decision(position), per_decision(turn));
        let waiting = queue.len();
        println!(
            "{waiting} waiting, {teams} teams: position {position:.2} us, arrival and turn {turn:.2} us"
        );
    }
}

fn waiter(i: u64, teams: u64) -> Waiter {
    let arrived = Time::from_millis(i / 20);
    let budget = Duration::from_millis(2000 + i * 7919 % 23_000);
    let of_one_team = Waiter::of_one_team((i % 3) as u8, arrived, arrived + budget);
    Waiter { team: Team(i % teams), tokens: 100 + (i * 37 % 900) as u32, ..of_one_team }
}

fn measure(mut decide: impl FnMut(u64)) -> Duration {
    let began = Instant::now();
    (0..DECISIONS).for_each(&mut decide);
    began.elapsed()
}
