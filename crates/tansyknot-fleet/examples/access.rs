//! Times the identification of a caller's team, by known and unknown keys, and the planner's handling
//! of a daemon's usage report, for docs/CAPACITY.md.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use tansyknot_core::{clock::Time, key, key::KeyDigest, name::TeamName};
use tansyknot_fleet::access::{
    self, AccessOptions, RequestCredentials,
    lending::QuotaAccounts,
    message::TeamUse,
    team::{Quota, Team, TeamEntry, Teams, Unit},
    view::{KeyView, ViewOptions},
};

const ROUNDS: u32 = 100_000;
/// Teams with a quota.
const TEAMS: u32 = 16;

fn main() {
    println!("what ns");
    for keys in [2, 200, 20_000] {
        let teams = teams(keys);
        let mut view = KeyView::default();
        view.record_in_force(1, Time::from_millis(1));
        let options =
            ViewOptions::from_bounds(Some(Duration::from_secs(5)), Duration::from_secs(3));
        for (what, line) in [("right", "Bearer key0"), ("wrong", "Bearer nobodys-key-0123456789")] {
            let identify = || {
                let arrived = Time::from_millis(2);
                let credentials = RequestCredentials {
                    key: key::bearer_token(black_box(line)),
                    arrived,
                    version: 1,
                };
                drop(black_box(access::identify(&teams, credentials, &view, &options)));
            };
            println!("{what}_among_{keys} {}", nanos(identify));
        }
    }
    for daemons in [71, 340] {
        println!("question_of_{daemons} {}", usage_report(daemons));
    }
}

/// Returns the mean time that a planner takes to handle the usage report of one of `daemons` daemons,
/// in nanoseconds.
fn usage_report(daemons: u32) -> u128 {
    let quota = Quota { unit: Unit::Tokens, rate: 1e5, burst: 1e5, default_units: 200.0 };
    let name = |n: u32| TeamName::new(format!("team{n}"));
    let entry = |n| TeamEntry {
        team: Team { name: name(n), priority: None, quota: Some(quota), regions: None },
        keys: Vec::new(),
    };
    let teams = Teams::new((0..TEAMS).map(entry).collect()).expect("the teams are valid");
    let uses = |n| TeamUse { team: name(n), per_s: 900, retried: 0, lent: 0, returned: Vec::new() };
    let uses: Vec<TeamUse> = (0..TEAMS).map(uses).collect();
    let (options, now) = (AccessOptions::default(), Time::from_millis(100_000));
    let mut accounts = QuotaAccounts::default();
    accounts.begin(1, now);
    accounts.maintain(&teams, &options, now);
    let mut round = |n: u32| {
        let from = ([10, 0, (n / 250) as u8, (n % 250) as u8], 7000).into();
        accounts.record_use(from, &uses, &teams, &options, now);
        black_box(accounts.lend(from, &teams, now));
    };
    (0..daemons).for_each(&mut round);
    let began = Instant::now();
    (0..ROUNDS / 10).for_each(|n| round(n % daemons));
    began.elapsed().as_nanos() / u128::from(ROUNDS / 10)
}

fn teams(keys: u32) -> Teams {
    let keys = (0..keys).map(|n| KeyDigest::of(&format!("key{n}"))).collect();
    let team = Team { name: "alpha".into(), priority: None, quota: None, regions: None };
    Teams::new(vec![TeamEntry { team, keys }]).expect("the team is valid")
}

/// Returns the mean time of a round in nanoseconds.
fn nanos(round: impl Fn()) -> u128 {
    let began = Instant::now();
    (0..ROUNDS).for_each(|_| round());
    began.elapsed().as_nanos() / u128::from(ROUNDS)
}
