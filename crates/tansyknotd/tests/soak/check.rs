//! What must hold over a whole run, from what callers and runners have seen.

use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    world::{MODELS_AT_ONCE, World},
};

/// The platform's bound on orders of two holders to one target.
const TURN: Duration = Duration::from_millis(3000);
/// Orders that arrive this soon after their sender went on or their path healed don't count, as
/// the platform has it (`thaw-slack-ms`).
const SLACK: Duration = Duration::from_millis(300);
/// Every daemon serves every kind of request again within this long after the last fault.
const RECOVERY: Duration = Duration::from_secs(20);

/// Waits until each daemon serves each kind of request again.
pub(crate) fn recovery(world: &World) -> Vec<String> {
    let until = Instant::now() + RECOVERY;
    let mut broken = Vec::new();
    for (n, daemon) in world.daemons.iter().enumerate() {
        let kinds = [
            ("/lookup/", None),
            ("/ledger/", None),
            ("/query/", Some("m0")),
            ("/dossier/", Some("m3")),
        ];
        for (path, model) in kinds {
            let mut tries = 0;
            let served = loop {
                tries += 1;
                let id = format!("r{n}{}-{tries}", path.replace('/', "-"));
                let answer = client::connect(daemon.callers())
                    .and_then(|mut stream| client::ask(&mut stream, path, &id, model));
                let status = answer.map_or(0, |a| a.status);
                if status == 200 || Instant::now() >= until {
                    break status == 200;
                }
                thread::sleep(Duration::from_millis(100));
            };
            if !served {
                broken.push(format!("daemon {n} does not serve {path} again"));
            }
        }
    }
    broken
}

/// Returns each promise that was broken.
pub(crate) fn promises(world: &World) -> Vec<String> {
    let mut broken = Vec::new();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for r in &world.runners {
        for ran in r.standin.executed_requests() {
            *runs.entry(ran.id).or_default() += 1;
        }
    }
    let outcomes = world.outcomes.lock().expect("no holder of the lock panics").clone();
    for o in &outcomes {
        let n = runs.get(&o.id).copied().unwrap_or(0);
        let most = if matches!(o.path, "/ledger/" | "/dossier/") { 1 } else { 2 };
        if n > most {
            broken.push(format!("{} {} ran {n} times", o.path, o.id));
        }
        let says_not_run = matches!(o.status, 503 | 429 | 408 | 421);
        if says_not_run && most == 1 && n > 0 {
            broken.push(format!("{} {} was refused with {} and ran", o.path, o.id, o.status));
        }
        if matches!(o.status, 404 | 401 | 403) {
            broken.push(format!("{} {} was denied with {}", o.path, o.id, o.status));
        }
    }
    for r in &world.runners {
        broken.extend(orders(world, &r.standin.id));
        let most = r.standin.max_models();
        if most > MODELS_AT_ONCE {
            broken.push(format!("{} held {most} models", r.standin.id));
        }
    }
    if outcomes.iter().filter(|o| o.status == 200).count() < 20 {
        broken.push("hardly any request was served".to_owned());
    }
    broken
}

/// Checks the turns and tokens of the holders at one runner.
fn orders(world: &World, id: &str) -> Vec<String> {
    let Some(r) = world.runners.iter().find(|r| r.standin.id == id) else { return Vec::new() };
    let seen = r.standin.received_orders();
    let mut delayed = r.path.healed();
    delayed.extend(world.daemons.iter().flat_map(|d| d.thawed()));
    let is_excused =
        |at: Instant| delayed.iter().any(|d| *d <= at && at.duration_since(*d) <= SLACK);
    let seen: Vec<_> = seen.into_iter().filter(|o| !is_excused(o.at)).collect();
    let mut broken = Vec::new();
    for (before, after) in seen.iter().zip(seen.iter().skip(1)) {
        let span = after.at.duration_since(before.at);
        let (holder, next) = (&before.holder, &after.holder);
        if holder != next && span < TURN {
            broken.push(format!("{id}: {holder} and {next} took turns in {span:?}"));
        }
        if after.fence < before.fence {
            broken.push(format!("{id}: token {} after {}", after.fence, before.fence));
        }
        if holder != next && before.fence == after.fence {
            broken.push(format!("{id}: two holders with token {}", before.fence));
        }
    }
    broken
}
