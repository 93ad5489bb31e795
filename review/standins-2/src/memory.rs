//! Long requests whose runners read slowly, at one daemon of a machine with limited memory.

use std::{
    fs, io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use tansyknot_adapter_standins::{
    caller::Request,
    operator::{Configuration, PLAIN},
};

use crate::{
    client::{self, Answer},
    world::{Daemon, Record, World, has_trouble},
};

/// The memory of a machine of the site astb-permis, in MB.
const MEMORY_MB: u64 = 260;
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The time budget and the route's timeout of the site's main kind of request.
const BUDGET: Duration = Duration::from_secs(15);
/// The interval between two long requests; all together they are as many as the site has consumers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(140);
const CONSUMERS: usize = 63;
const BODY_BYTES: usize = 4_000_000;
const MAX_BODY_BYTES: usize = 4 << 20;
/// What the rule allows.
const ALLOWED_LOST: usize = 3;

/// Returns whether the rule was kept.
pub fn run(record: Record) -> io::Result<bool> {
    let world = World::start(record.clone())?;
    let timeout_ms = BUDGET.as_millis() as u64;
    let mut config = Configuration { timeout_ms, ..Configuration::single_model(1) }.document();
    config["limits"]["max-body-bytes"] = MAX_BODY_BYTES.into();
    world.store.put("op", "config", &config);
    let mode = if has_trouble() { "slow-reader" } else { "prompt" };
    let mut runners = Vec::new();
    for n in 0..3 {
        runners.push(world.runner(&format!("i-plain{n}"), PLAIN, mode, &[])?);
    }
    let mut daemons = vec![world.daemon(0)?];
    world.await_ready(&daemons)?;
    thread::sleep(Duration::from_secs(3));
    let daemon = daemons.remove(0);
    let callers = daemon.callers;
    let (stop, peak) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let platform = watch_memory(daemon, &stop, &peak, &record);
    let body: Arc<str> = "x".repeat(BODY_BYTES).into();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|n| {
            thread::sleep(REQUEST_INTERVAL);
            let (record, body) = (record.clone(), Arc::clone(&body));
            thread::spawn(move || consume(n, callers, &body, &record))
        })
        .collect();
    let mut outcomes: Vec<(String, Option<Answer>)> = Vec::new();
    for consumer in consumers {
        outcomes.push(consumer.join().expect("a consumer does not panic"));
    }
    stop.store(true, Ordering::SeqCst);
    platform.join().expect("the watcher does not panic");
    let mut passed_on = Vec::new();
    for runner in &runners {
        for line in runner.process.lines.try_iter() {
            passed_on.extend(
                line.strip_prefix("reading ").and_then(|l| l.split(' ').next()).map(str::to_owned),
            );
            record.line(&format!("runner {}: {line}", runner.id));
        }
    }
    let mut lost = 0;
    for (id, answer) in &outcomes {
        let is_closed = answer.as_ref().is_some_and(|a| a.status == 0 && a.took < BUDGET);
        let is_lost = is_closed && passed_on.contains(id);
        lost += usize::from(is_lost);
        let text = match answer {
            None => "no channel".to_owned(),
            Some(a) if a.status == 0 => format!("no answer, after {} ms", a.took.as_millis()),
            Some(a) => format!("{}, after {} ms", a.status, a.took.as_millis()),
        };
        record.line(&format!("caller: {id} got {text}{}", if is_lost { ": LOST" } else { "" }));
    }
    let peak = peak.load(Ordering::SeqCst);
    let result = format!(
        "{lost} requests on kept channels were passed on to a sound runner and got no answer; the \
         daemon used {peak} MB of {MEMORY_MB} MB"
    );
    record.line(&result);
    println!("{result}");
    Ok(lost <= ALLOWED_LOST)
}

/// Sends a short request, and then a long one on the same channel.
fn consume(n: usize, daemon: SocketAddr, body: &str, record: &Record) -> (String, Option<Answer>) {
    let (first, id) = (format!("first-{n}"), format!("long-{n}"));
    let answer = exchange_both(&first, &id, daemon, body, record);
    (id, answer.ok())
}

fn exchange_both(
    first: &str,
    id: &str,
    daemon: SocketAddr,
    body: &str,
    record: &Record,
) -> io::Result<Answer> {
    let budget_ms = BUDGET.as_millis() as u64;
    let mut channel = TcpStream::connect_timeout(&daemon, Duration::from_secs(1))?;
    let short = Request::new("/ledger/", first, None, budget_ms).text();
    let answer = client::exchange_on(&mut channel, short.as_bytes(), BUDGET)?;
    record.line(&format!("caller: {first} got {}", answer.status));
    let long = Request { body, ..Request::new("/ledger/", id, None, budget_ms) }.text();
    record.line(&format!("caller: {id} sent on the same channel, {BODY_BYTES} bytes"));
    client::exchange_on(&mut channel, long.as_bytes(), BUDGET + Duration::from_secs(1))
}

/// Kills a daemon that exceeds the memory of its machine, as the platform does.
fn watch_memory(
    daemon: Daemon,
    stop: &Arc<AtomicBool>,
    peak: &Arc<AtomicUsize>,
    record: &Record,
) -> thread::JoinHandle<()> {
    let (stop, peak, record) = (Arc::clone(stop), Arc::clone(peak), record.clone());
    let began = Instant::now();
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let used_mb = anonymous_mb(daemon.process.id());
            peak.fetch_max(used_mb as usize, Ordering::SeqCst);
            if used_mb > MEMORY_MB {
                let ms = began.elapsed().as_millis();
                record.line(&format!(
                    "platform: the daemon uses {used_mb} MB of {MEMORY_MB} MB after {ms} ms of traffic \
                     and is killed"
                ));
                daemon.process.signal(Signal::KILL);
                return;
            }
            thread::sleep(MEMORY_CHECK_INTERVAL);
        }
    })
}

/// Returns the memory that a process has of its own, in MB.
fn anonymous_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}
