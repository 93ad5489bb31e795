//! A runner that reads long requests slowly.

use std::{io, thread, time::Duration};

use tansyknot_adapter_standins::{
    caller::Request,
    operator::{Configuration, PLAIN},
};

use crate::{
    client,
    world::{Daemon, Record, World, has_trouble},
};

const TIMEOUT: Duration = Duration::from_millis(2000);
/// The rule's bound beyond the route's timeout.
const SLACK: Duration = Duration::from_millis(500);
const BUDGET: Duration = Duration::from_secs(12);
const REQUESTS: usize = 12;
const BODY_BYTES: usize = 4_000_000;
const MAX_BODY_BYTES: usize = 4 << 20;

/// Returns whether the rule was kept.
pub fn run(record: Record) -> io::Result<bool> {
    let world = World::start(record.clone())?;
    let timeout_ms = TIMEOUT.as_millis() as u64;
    let mut config = Configuration { timeout_ms, ..Configuration::single_model(1) }.document();
    config["limits"]["max-body-bytes"] = MAX_BODY_BYTES.into();
    world.store.put("op", "config", &config);
    let mode = if has_trouble() { "slow-reader" } else { "prompt" };
    let runners =
        [world.runner("i-plain0", PLAIN, mode, &[])?, world.runner("i-plain1", PLAIN, mode, &[])?];
    let daemons: Vec<Daemon> = (0..3).map(|n| world.daemon(n)).collect::<io::Result<_>>()?;
    world.await_ready(&daemons)?;
    thread::sleep(Duration::from_secs(4));
    let body = "x".repeat(BODY_BYTES);
    let callers: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let (record, body) = (record.clone(), body.clone());
            let daemon = daemons[n % daemons.len()].callers;
            thread::spawn(move || {
                let id = format!("lookup-{n}");
                let budget_ms = BUDGET.as_millis() as u64;
                let request =
                    Request { body: &body, ..Request::new("/lookup/", &id, None, budget_ms) };
                record.line(&format!("caller: {id} sent to {daemon}/lookup/, {BODY_BYTES} bytes"));
                (id.clone(), client::exchange(daemon, request.text().as_bytes(), BUDGET))
            })
        })
        .collect();
    let mut late = 0;
    for caller in callers {
        let (id, answer) = caller.join().expect("a caller does not panic");
        let answer = answer.unwrap_or_default();
        let is_late = answer.status == 0 || answer.took > TIMEOUT + SLACK;
        late += usize::from(is_late);
        let text = match answer.status {
            0 => "no answer".to_owned(),
            status => format!("{status}"),
        };
        let took = answer.took.as_millis();
        record.line(&format!("caller: {id} got {text} after {took} ms{}", mark(is_late)));
    }
    for runner in &runners {
        for line in runner.process.lines.try_iter() {
            record.line(&format!("runner {}: {line}", runner.id));
        }
    }
    record.line(&format!("{late} of {REQUESTS} without a final answer 0.5 s after the timeout"));
    println!("{late} of {REQUESTS} without a final answer 0.5 s after the timeout");
    Ok(late < 8 || late * 4 <= REQUESTS)
}

fn mark(is_late: bool) -> &'static str {
    if is_late { ": CONFIG" } else { "" }
}
