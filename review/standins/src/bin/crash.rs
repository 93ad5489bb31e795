//! Case 1: runners crash one after the other, and streams without a declared length that a crash has
//! cut off reach their callers as complete.

use std::{
    net::SocketAddr,
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
/// Runners of the service, of which one at a time is down: 14 in 100.
const RUNNERS: usize = 7;
const ARRIVAL_GAP: Duration = Duration::from_millis(80);
const REQUESTS: usize = 420;
/// When the first runner crashes, the time to the next crash, and how long each is down.
const FIRST_CRASH: Duration = Duration::from_secs(5);
const CRASH_GAP: Duration = Duration::from_millis(5000);
const CRASHES: u32 = 6;
const DOWN: Duration = Duration::from_millis(3500);
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
    let broken = Arc::new(Mutex::new(0));
    thread::scope(|scope| -> Result<(), String> {
        let trouble = case.has_trouble.then(|| {
            scope.spawn(|| -> Result<(), String> {
                for n in 0..CRASHES {
                    let at = FIRST_CRASH + CRASH_GAP * n;
                    thread::sleep(at.saturating_sub(began.elapsed()));
                    runners.kill(&format!("i-{n}"));
                    thread::sleep(DOWN);
                    runners.start(&case.temp, &format!("i-{n}b"), MODELS, &["m0"], &args)?;
                }
                Ok(())
            })
        });
        for n in 0..REQUESTS {
            thread::sleep((ARRIVAL_GAP * n as u32).saturating_sub(began.elapsed()));
            let (address, record) = (daemons[n % 2].callers, record.clone());
            let broken = Arc::clone(&broken);
            scope.spawn(move || {
                if !call(address, n, &record) {
                    *broken.lock().expect("no holder panics") += 1;
                }
            });
        }
        trouble.map_or(Ok(()), |trouble| trouble.join().map_err(|_| "a thread panicked")?)
    })?;
    let broken = *broken.lock().expect("no holder panics");
    println!("{broken} of {REQUESTS} streams ended as complete before their last piece");
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends a request for a stream that is not resumable; returns whether the rule held.
fn call(address: SocketAddr, n: usize, record: &Record) -> bool {
    let id = format!("{:016x}", 0x77e0_2b11_0000_0000_u64 + n as u64);
    let request = format!(
        "POST /dossier/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: m0\r\n\
         Token-Usage: 826,290\r\nPrompt-Prefix: 5c1e07a2:119,91bd3f06:79,{n:x}:628\r\n\
         Deadline-Ms: {}\r\nContent-Length: 2\r\n\r\n{{}}",
        DEADLINE.as_millis()
    );
    record.line(&format!("caller sends {id}"));
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
