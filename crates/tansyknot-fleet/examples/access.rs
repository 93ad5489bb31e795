//! Times what telling a caller's team costs, with keys that hold and with wrong ones, for
//! docs/CAPACITY.md.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use tansyknot_core::{clock::Time, key, key::KeyDigest};
use tansyknot_fleet::access::{
    self, Claim,
    team::{Team, TeamEntry, Teams},
    view::{KeyView, ViewOptions},
};

const ROUNDS: u32 = 100_000;

fn main() {
    println!("what ns");
    for keys in [2, 200, 20_000] {
        let teams = teams(keys);
        let mut view = KeyView::default();
        view.in_force(1, Time::from_millis(1));
        let options = ViewOptions::of(Some(Duration::from_secs(5)), Duration::from_secs(3));
        for (what, line) in [("right", "Bearer key0"), ("wrong", "Bearer nobodys-key-0123456789")] {
            let judge = || {
                let arrived = Time::from_millis(2);
                let claim = Claim { key: key::bearer(black_box(line)), arrived, version: 1 };
                drop(black_box(access::identify(&teams, claim, &view, &options)));
            };
            println!("{what}_among_{keys} {}", nanos(judge));
        }
    }
}

fn teams(keys: u32) -> Teams {
    let keys = (0..keys).map(|n| KeyDigest::of(&format!("key{n}"))).collect();
    let team = Team { name: "alpha".into(), priority: None, quota: None };
    Teams::new(vec![TeamEntry { team, keys }]).expect("the team is proper")
}

/// Returns the mean time of a round in nanoseconds.
fn nanos(round: impl Fn()) -> u128 {
    let began = Instant::now();
    (0..ROUNDS).for_each(|_| round());
    began.elapsed().as_nanos() / u128::from(ROUNDS)
}
