//! Daemons that serve a fleet, as processes over stand-ins of the platform.
#![cfg(feature = "services")]

mod launch;

use std::{collections::BTreeSet, net::SocketAddr};

use launch::Daemon;
use rustix::process::Signal;
use tansyknot_adapter_standins::{
    caller::Request,
    operator::{Configuration, MODELS},
    runner::Runner,
    store::Store,
};
use tansyknot_core::metric;

fn dossier(address: SocketAddr, id: &str, model: &str) -> String {
    let req = Request::new("/dossier/", id, Some(model), 20_000);
    launch::ask(address, &Request { extra_headers: "Connection: close\r\n", ..req }.text())
}

/// A store with one engine, which holds one model at a time and has all of them on its disk.
fn platform() -> (Store, Runner) {
    let store = Store::new();
    let configuration = Configuration {
        version: 3,
        timeout_ms: 20_000,
        objective_ms: 5_000,
        gap_ms: 300,
        models_per_engine: 1,
        model_count: 3,
    };
    configuration.write(&store);
    let runner = Runner::start(&store, MODELS, "i-a", &["m0"]);
    runner.set_on_disk(&["m0", "m1", "m2"]);
    (store, runner)
}

#[test]
fn model_that_is_nowhere_is_loaded_and_a_planned_stop_ends_well() {
    let (store, runner) = platform();
    let mut daemon = Daemon::start("d0", store.open_endpoint().address);
    let answer = dossier(daemon.callers, "id-1", "m1");
    assert!(answer.contains("200 OK") && answer.contains("token 6"), "{answer}");
    assert_eq!(runner.loaded_models(), ["m1"]);
    daemon.signal(Signal::TERM);
    let status = daemon.child.wait().expect("the daemon ends");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn page_of_figures_has_what_the_catalogue_lists_and_nothing_else() {
    let (store, _runner) = platform();
    let daemon = Daemon::start("d3", store.open_endpoint().address);
    assert!(dossier(daemon.callers, "id-1", "m1").contains("token 6"));
    let page = launch::figures(daemon.metrics);
    let names: BTreeSet<&str> = page
        .lines()
        .filter(|line| line.starts_with("tansyknot_"))
        .filter_map(|line| line.split('{').next())
        .map(|name| name.strip_suffix("_count").unwrap_or(name))
        .collect();
    let known: BTreeSet<String> = metric::ALL.iter().map(metric::Metric::series).collect();
    let unknown: Vec<&&str> = names.iter().filter(|name| !known.contains(**name)).collect();
    assert!(unknown.is_empty(), "not in the catalogue: {unknown:?}");
    for m in [metric::ANSWERED, metric::FIRST_EVENT, metric::LOAD, metric::STORE_CALLS] {
        assert!(names.contains(m.series().as_str()), "{} is not on the page:\n{page}", m.series());
    }
}

#[test]
fn planner_that_is_killed_is_replaced_and_requests_wait_for_that() {
    let (store, runner) = platform();
    let first = Daemon::start("d1", store.open_endpoint().address);
    assert!(dossier(first.callers, "id-1", "m1").contains("token 6"));
    let second = Daemon::start("d2", store.open_endpoint().address);
    first.signal(Signal::KILL);
    let answer = dossier(second.callers, "id-2", "m2");
    assert!(answer.contains("200 OK") && answer.contains("token 6"), "{answer}");
    assert_eq!(runner.loaded_models(), ["m2"]);
    let holders: Vec<String> = runner.received_orders().into_iter().map(|o| o.holder).collect();
    assert_eq!(holders, ["d1", "d1", "d2", "d2"]);
}
