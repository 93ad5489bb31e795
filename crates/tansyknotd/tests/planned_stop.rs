//! Planned stops of a daemon whose requests are still at their targets when its grace period ends.
#![cfg(feature = "services")]

mod launch;

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use launch::Daemon;
use rustix::process::Signal;
use tansyknot_adapter_standins::{
    caller::Request,
    operator::{Configuration, MODELS, PLAIN},
    runner::{Fault, Runner},
    store::Store,
};
use yare::parameterized;

/// Longer than the grace period of the daemon.
const TIMEOUT_MS: u64 = 30_000;

#[parameterized(
    runs_at_most_once = { "/ledger/", None },
    idempotent = { "/lookup/", None },
    stream = { "/dossier/", Some("m0") },
    resumable_stream = { "/query/", Some("m0") },
)]
fn request_at_its_target_is_answered_when_the_grace_period_ends(path: &str, model: Option<&str>) {
    let store = Store::new();
    let configuration = Configuration {
        timeout_ms: TIMEOUT_MS,
        objective_ms: TIMEOUT_MS,
        ..Configuration::single_model(1)
    };
    configuration.write(&store);
    let plain = Runner::start(&store, PLAIN, "i-plain", &[]);
    let engine = Runner::start(&store, MODELS, "i-model", &["m0"]);
    let runners = [&plain, &engine];
    runners.iter().for_each(|runner| runner.queue_faults(&[Fault::NeverResponds]));
    let executed = || runners.iter().map(|r| r.executed_requests().len()).sum::<usize>();

    let mut daemon = Daemon::start("d-stop", store.open_endpoint().address);
    let mut stream = TcpStream::connect(daemon.callers).expect("the daemon listens");
    let request = Request::new(path, "id-1", model, TIMEOUT_MS);
    stream.write_all(request.text().as_bytes()).expect("the daemon reads");
    launch::wait_until(|| executed() == 1);
    daemon.signal(Signal::TERM);
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the connection is not reset");
    assert!(response.starts_with("HTTP/1.1 502"), "{response:?}");
    daemon.child.wait().expect("the daemon ends");
    assert_eq!(executed(), 1);
}
