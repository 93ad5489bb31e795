//! Case 3: runners fail some requests with 503 after they have run them and do not state that they
//! have not, and callers of a route that is not idempotent get that 503, which promises that their
//! request has not run.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use review_standins::{Case, Verdict, caller, daemon::Daemon, platform::Runners, record::Record};
use tansyknot_adapter_standins::{
    operator::{Configuration, HOST, PLAIN},
    store::Store,
};

/// Runners of the service, of which one fails a part of its requests for 6 s.
const RUNNERS: usize = 9;
/// One in this many of its requests: 33 in 100.
const FAIL_ONE_IN: u64 = 3;
const REQUESTS: usize = 300;
const ARRIVAL_GAP: Duration = Duration::from_millis(50);
const WORK: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_millis(1500);

fn main() -> ExitCode {
    review_standins::main(run)
}

fn run(case: &Case) -> Result<Verdict, String> {
    let record = Record::create(&case.folder)?;
    let store = Store::new();
    let endpoint = store.open_endpoint();
    let configuration = Configuration { timeout_ms: 800, ..Configuration::single_model(1) };
    store.put("op", "config", &configuration.document());
    let ran: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let runners = Runners::new(store.clone(), record.clone()).with_runs(Arc::clone(&ran));
    let (work, one_in) = (WORK.as_millis().to_string(), FAIL_ONE_IN.to_string());
    for n in 0..RUNNERS {
        let mut args = vec!["--pause-ms", &work];
        if n == 2 && case.has_trouble {
            args.extend(["--fail-one-in", &one_in, "--fail-status", "503"]);
            args.extend(["--fail-after-ms", "4000", "--fail-for-ms", "6000"]);
        }
        runners.start(&case.temp, &format!("i-{n}"), PLAIN, &[], &args)?;
    }
    let daemons = [
        Daemon::start(&case.root, &case.temp, "front-1", endpoint.address)?,
        Daemon::start(&case.root, &case.temp, "front-2", endpoint.address)?,
    ];
    thread::sleep(Duration::from_secs(1));
    let began = Instant::now();
    let refused: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut callers = Vec::new();
    for n in 0..REQUESTS {
        thread::sleep((ARRIVAL_GAP * n as u32).saturating_sub(began.elapsed()));
        let (address, record) = (daemons[n % 2].callers, record.clone());
        let refused = Arc::clone(&refused);
        callers.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x5a17_0c3d_0000_0000_u64 + n as u64);
            if call(address, &id, &record) {
                refused.lock().expect("no holder panics").push(id.clone());
                // The promise allows the caller to try again, with an id of its own.
                let again = id.replacen("5a17", "5a18", 1);
                record.line(&format!("caller of {id} tries again as {again}"));
                call(address, &again, &record);
            }
        }));
    }
    callers.into_iter().for_each(|caller| caller.join().expect("a caller ends"));
    thread::sleep(Duration::from_millis(500));
    let ran = ran.lock().expect("no holder panics");
    let refused = refused.lock().expect("no holder panics");
    let broken = refused.iter().filter(|id| ran.contains_key(*id)).count();
    for id in refused.iter().filter(|id| ran.contains_key(*id)) {
        record.line(&format!("{id} HAS RUN and was answered with a promise that it has not"));
    }
    println!("{broken} of {REQUESTS} requests were answered 408, 421, 429 or 503 and had run");
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends a request to a route that is not idempotent; returns whether the answer promises that it
/// has not run.
fn call(address: SocketAddr, id: &str, record: &Record) -> bool {
    let body = "{\"haul\":1}";
    let request = format!(
        "POST /ledger/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        DEADLINE.as_millis(),
        body.len()
    );
    record.line(&format!("caller sends {id}"));
    let answer = caller::send(address, request.as_bytes(), DEADLINE);
    record.line(&format!(
        "caller gets {id}: status {}, seal {}, after {} ms",
        answer.status,
        answer.header("server-seal").unwrap_or("none"),
        answer.took.as_millis()
    ));
    matches!(answer.status, 408 | 421 | 429 | 503)
}
