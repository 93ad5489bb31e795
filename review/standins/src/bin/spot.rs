//! Case 2: a runner that is taken away at short notice cuts off streams without a declared length,
//! and callers get them as complete.

use std::{
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use review_standins::{Case, Verdict, caller, daemon::Daemon, platform::Runners, record::Record};
use serde_json::json;
use tansyknot_adapter_standins::{
    operator::{Configuration, HOST, MODELS},
    store::Store,
};

/// The events of each stream, and the time between two.
const EVENTS: u64 = 58;
const EVENT_GAP_MS: u64 = 100;
/// Runners of the service, of which one is taken away: 14 in 100.
const RUNNERS: usize = 7;
/// The time between two requests.
const ARRIVAL_GAP: Duration = Duration::from_millis(120);
const REQUESTS: usize = 100;
/// When the runner reports that it is draining, and how much longer it is there.
const NOTICE_AT: Duration = Duration::from_secs(6);
const NOTICE: Duration = Duration::from_secs(2);
const DEADLINE: Duration = Duration::from_secs(25);

fn main() -> ExitCode {
    review_standins::main(run)
}

fn run(case: &Case) -> Result<Verdict, String> {
    let record = Record::create(&case.folder)?;
    let store = Store::new();
    let endpoint = store.open_endpoint();
    let configuration = Configuration {
        timeout_ms: DEADLINE.as_millis() as u64,
        objective_ms: 2500,
        ..Configuration::single_model(1)
    };
    let mut document = configuration.document();
    document["services"][1]["engine"]["slots"] = json!(64);
    document["services"][1]["engine"]["kv-capacity"] = json!(135_497);
    store.put("op", "config", &document);
    let runners = Runners::new(store.clone(), record.clone());
    let (events, gap) = (EVENTS.to_string(), EVENT_GAP_MS.to_string());
    let args = ["--unframed", "--events", &events, "--pause-ms", &gap];
    for n in 0..RUNNERS {
        runners.start(&case.temp, &format!("i-{n}"), MODELS, &["m0"], &args)?;
    }
    let daemons = [
        Daemon::start(&case.root, &case.temp, "front-1", endpoint.address)?,
        Daemon::start(&case.root, &case.temp, "front-2", endpoint.address)?,
    ];
    thread::sleep(Duration::from_secs(1));
    let began = Instant::now();
    if case.has_trouble {
        let runners = runners.clone();
        thread::spawn(move || {
            thread::sleep(NOTICE_AT);
            runners.drain("i-3", NOTICE);
            thread::sleep(NOTICE);
            runners.kill("i-3");
        });
    }
    let broken = Arc::new(Mutex::new(0));
    let mut callers = Vec::new();
    for n in 0..REQUESTS {
        let wait = (ARRIVAL_GAP * n as u32).saturating_sub(began.elapsed());
        thread::sleep(wait);
        let (address, record) = (daemons[n % 2].callers, record.clone());
        let broken = Arc::clone(&broken);
        callers.push(thread::spawn(move || {
            if !call(address, n, &record) {
                *broken.lock().expect("no holder panics") += 1;
            }
        }));
    }
    callers.into_iter().for_each(|caller| caller.join().expect("a caller ends"));
    let broken = *broken.lock().expect("no holder panics");
    record.line(&format!("{broken} streams ended as complete before their last piece"));
    println!("{broken} of {REQUESTS} streams ended as complete before their last piece");
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends a request that is not resumable, or one that is; returns whether the rule held.
fn call(address: std::net::SocketAddr, n: usize, record: &Record) -> bool {
    let route = if n % 4 < 2 { "dossier" } else { "query" };
    let id = format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + n as u64);
    let request = format!(
        "POST /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m0\r\n\
         Token-Usage: 826,290\r\nPrompt-Prefix: 5c1e07a2:119,91bd3f06:79,{n:x}:628\r\n\
         Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\n{{}}",
        DEADLINE.as_millis()
    );
    record.line(&format!("caller sends {id} ({route})"));
    let answer = caller::send(address, request.as_bytes(), DEADLINE);
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let pieces = text.matches("\n\n").count() as u64;
    let is_whole = text.contains(&format!("piece {EVENTS} of {EVENTS}\n\n"));
    let end = match (answer.is_complete, is_whole) {
        (true, true) => "complete",
        (true, false) => "ENDED AS COMPLETE BEFORE ITS LAST PIECE",
        (false, _) => "broken off",
    };
    record.line(&format!(
        "caller gets {id}: status {}, seal {}, {pieces} pieces, {end}, after {} ms",
        answer.status,
        answer.header("server-seal").unwrap_or("none"),
        answer.took.as_millis()
    ));
    answer.status != 200 || !answer.is_complete || is_whole
}
