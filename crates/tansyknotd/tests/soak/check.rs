//! Invariants of a run, checked from what callers and runners have observed.

use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    world::{MODELS_AT_ONCE, World},
};

/// The platform's minimum interval between orders of two lease holders to one target.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(3000);
/// Orders that arrive within this time after their sender has resumed or their path has released held
/// bytes don't count, by a rule of the platform (`thaw-slack-ms`).
const RESUME_SLACK: Duration = Duration::from_millis(300);
/// Every daemon must serve every kind of request again within this time after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until each daemon serves each kind of request again; returns the failures.
pub(crate) fn wait_for_recovery(world: &World) -> Vec<String> {
    let until = Instant::now() + RECOVERY_TIMEOUT;
    let mut violations = Vec::new();
    for (n, daemon) in world.daemons.iter().enumerate() {
        let kinds = [
            ("/lookup/", None),
            ("/ledger/", None),
            ("/query/", Some("m0")),
            ("/dossier/", Some("m3")),
        ];
        for (path, model) in kinds {
            let mut attempts = 0;
            let served = loop {
                attempts += 1;
                let id = format!("r{n}{}-{attempts}", path.replace('/', "-"));
                let response = client::connect(daemon.callers())
                    .and_then(|mut stream| client::send(&mut stream, path, &id, model));
                let status = response.map_or(0, |a| a.status);
                if status == 200 || Instant::now() >= until {
                    break status == 200;
                }
                thread::sleep(Duration::from_millis(100));
            };
            if !served {
                violations.push(format!("daemon {n} does not serve {path} again"));
            }
        }
    }
    violations
}

/// Returns the violations of the invariants.
pub(crate) fn invariants(world: &World) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for r in &world.runners {
        for ran in r.standin.executed_requests() {
            *runs.entry(ran.id).or_default() += 1;
        }
    }
    let outcomes = world.outcomes.lock().expect("no holder of the lock panics").clone();
    for o in &outcomes {
        let n = runs.get(&o.id).copied().unwrap_or(0);
        let max_runs = if matches!(o.path, "/ledger/" | "/dossier/") { 1 } else { 2 };
        if n > max_runs {
            violations.push(format!("{} {} ran {n} times", o.path, o.id));
        }
        let says_not_run = matches!(o.status, 503 | 429 | 408 | 421);
        if says_not_run && max_runs == 1 && n > 0 {
            violations.push(format!("{} {} was refused with {} and ran", o.path, o.id, o.status));
        }
        if matches!(o.status, 404 | 401 | 403) {
            violations.push(format!("{} {} was denied with {}", o.path, o.id, o.status));
        }
    }
    for r in &world.runners {
        violations.extend(check_orders(world, &r.standin.id));
        let max_models = r.standin.max_models();
        if max_models > MODELS_AT_ONCE {
            violations.push(format!("{} loaded {max_models} models", r.standin.id));
        }
    }
    if outcomes.iter().filter(|o| o.status == 200).count() < 20 {
        violations.push("fewer than 20 requests were served".to_owned());
    }
    violations
}

/// Checks the intervals and the fencing tokens of the orders at one runner.
fn check_orders(world: &World, id: &str) -> Vec<String> {
    let Some(r) = world.runners.iter().find(|r| r.standin.id == id) else { return Vec::new() };
    let seen = r.standin.received_orders();
    let mut delayed = r.path.release_times();
    delayed.extend(world.daemons.iter().flat_map(|d| d.resume_times()));
    let is_excused =
        |at: Instant| delayed.iter().any(|d| *d <= at && at.duration_since(*d) <= RESUME_SLACK);
    let seen: Vec<_> = seen.into_iter().filter(|o| !is_excused(o.at)).collect();
    let mut violations = Vec::new();
    for (before, after) in seen.iter().zip(seen.iter().skip(1)) {
        let interval = after.at.duration_since(before.at);
        let (holder, next) = (&before.holder, &after.holder);
        if holder != next && interval < HANDOVER_INTERVAL {
            violations.push(format!("{id}: {holder} and {next} sent orders {interval:?} apart"));
        }
        if after.fence < before.fence {
            violations.push(format!("{id}: fencing token {} after {}", after.fence, before.fence));
        }
        if holder != next && before.fence == after.fence {
            violations.push(format!("{id}: two holders with fencing token {}", before.fence));
        }
    }
    violations
}
