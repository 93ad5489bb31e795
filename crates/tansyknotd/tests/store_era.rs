//! A store that comes back from an older copy while daemons serve requests.
#![cfg(feature = "services")]

mod launch;

use std::{
    thread,
    time::{Duration, Instant},
};

use launch::Daemon;
use rustix::process::Signal;
use tansyknot_adapter_standins::{
    caller::Request,
    operator::{Configuration, MODELS, PLAIN},
    runner::Runner,
    store::{Endpoint, FailureMode, Store},
};
use yare::parameterized;

/// The time after which daemons must send nothing to a target that leaves.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
/// The interval at which a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// How long the store is away before it comes back.
const ABSENCE: Duration = Duration::from_millis(500);
/// The versions that the store loses.
const LOST_VERSIONS: usize = 60;

/// How the versions of the store that has come back relate to those that daemons know when they
/// first ask it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Versions {
    Below,
    Past,
}

struct Deployment {
    store: Store,
    endpoint: Endpoint,
    runners: Vec<Runner>,
    daemons: Vec<Daemon>,
}

impl Deployment {
    fn start() -> Self {
        let store = Store::new();
        let configuration =
            Configuration { timeout_ms: 8_000, model_count: 2, ..Configuration::single_model(3) };
        configuration.write(&store);
        let start = |id| Runner::start(&store, PLAIN, id, &[]);
        let mut runners: Vec<Runner> = ["i-a", "i-b", "i-c"].map(start).into();
        runners.push(Runner::start(&store, MODELS, "i-e", &["m0"]));
        let endpoint = store.open_endpoint();
        let daemons = ["e0", "e1", "e2"].map(|name| Daemon::start(name, endpoint.address)).into();
        let deployment = Self { store, endpoint, runners, daemons };
        deployment.write_entries(HEARTBEAT * 6);
        deployment
    }

    /// Lets the runners write their entries for a while, as they do all the time.
    fn write_entries(&self, duration: Duration) {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            self.runners.iter().for_each(Runner::publish_entry);
            thread::sleep(HEARTBEAT);
        }
    }

    /// Raises the store's version.
    fn write_versions(&self, count: usize) {
        (0..count).for_each(|_| self.store.put("other", "row", &serde_json::json!({})));
    }

    /// Sends requests to each daemon at which the runner could be chosen.
    fn send_requests(&self, name: &str) -> usize {
        let mut served = 0;
        for (d, daemon) in self.daemons.iter().enumerate() {
            for n in 0..20 {
                let id = format!("{name}-{d}-{n}");
                let headers = "Connection: close\r\n";
                let req = Request::new("/lookup/", &id, None, 1_500);
                let text = Request { extra_headers: headers, ..req }.text();
                served += usize::from(launch::send(daemon.callers, &text).contains("200 OK"));
            }
        }
        served
    }

    fn arrivals_after(&self, runner: usize, after: Instant) -> usize {
        self.runners[runner].arrivals().iter().filter(|at| **at > after).count()
    }

    /// Lets the store lose what `lost` writes, and come back.
    fn come_back(&self, versions: Versions, lost: impl FnOnce(), written_again: impl FnOnce()) {
        let copy = self.store.copy();
        lost();
        self.write_versions(LOST_VERSIONS);
        self.write_entries(HEARTBEAT * 3);
        if versions == Versions::Past {
            // Within a moment, so that no call of a daemon shows the lower versions.
            self.store.restore(&copy);
            written_again();
            return self.write_versions(2 * LOST_VERSIONS);
        }
        self.endpoint.set_failure_mode(FailureMode::ClosesConnections);
        thread::sleep(ABSENCE);
        self.store.restore(&copy);
        written_again();
        self.endpoint.set_failure_mode(FailureMode::Normal);
    }
}

#[parameterized(below = { Versions::Below }, past = { Versions::Past })]
fn target_that_leaves_after_the_store_came_back_gets_no_requests(versions: Versions) {
    let deployment = Deployment::start();
    // Its leaving is written before the daemons can ask, or a moment later.
    let drain = || deployment.runners[0].drain();
    if versions == Versions::Past {
        deployment.come_back(versions, || {}, drain);
    } else {
        deployment.come_back(versions, || {}, || {});
        deployment.write_entries(HEARTBEAT * 2);
        drain();
    }
    let said_at = Instant::now();
    // The runner that leaves does not write its entry again.
    let until = said_at + LEAVE_WITHIN;
    while Instant::now() < until {
        deployment.runners[1..].iter().for_each(Runner::publish_entry);
        thread::sleep(HEARTBEAT);
    }
    assert!(deployment.send_requests("after") > 0);
    assert_eq!(deployment.arrivals_after(0, said_at + LEAVE_WITHIN), 0);
}

// The copy says that the targets are ready, until they have written their entries again.
#[test]
fn target_that_had_left_before_the_loss_gets_no_requests_after_it() {
    let deployment = Deployment::start();
    let mut said_at = Instant::now();
    let leave = || {
        deployment.runners[0].drain();
        said_at = Instant::now();
        thread::sleep(LEAVE_WITHIN);
    };
    deployment.come_back(Versions::Below, leave, || {});
    let until = Instant::now() + LEAVE_WITHIN;
    let mut round = 0;
    while Instant::now() < until {
        round += 1;
        deployment.send_requests(&format!("round-{round}"));
    }
    assert_eq!(deployment.arrivals_after(0, said_at + LEAVE_WITHIN), 0);
}

#[test]
fn target_that_was_gone_before_the_loss_stays_gone() {
    let deployment = Deployment::start();
    let copy = deployment.store.copy();
    deployment.store.remove("servers", "i-a");
    let gone_at = Instant::now();
    thread::sleep(LEAVE_WITHIN);
    deployment.write_versions(LOST_VERSIONS);
    deployment.endpoint.set_failure_mode(FailureMode::ClosesConnections);
    thread::sleep(ABSENCE);
    deployment.store.restore(&copy);
    deployment.endpoint.set_failure_mode(FailureMode::Normal);
    let until = Instant::now() + LEAVE_WITHIN;
    let mut round = 0;
    while Instant::now() < until {
        round += 1;
        deployment.runners[1..].iter().for_each(Runner::publish_entry);
        deployment.send_requests(&format!("round-{round}"));
    }
    assert_eq!(deployment.arrivals_after(0, gone_at + LEAVE_WITHIN), 0);
}

// The copy is older than the entry of one target, which writes it again.
#[test]
fn target_that_started_before_the_loss_serves_after_it() {
    let mut deployment = Deployment::start();
    let copy = deployment.store.copy();
    deployment.runners.push(Runner::start(&deployment.store, PLAIN, "i-new", &[]));
    deployment.write_entries(HEARTBEAT * 4);
    deployment.write_versions(LOST_VERSIONS);
    deployment.endpoint.set_failure_mode(FailureMode::ClosesConnections);
    thread::sleep(ABSENCE);
    deployment.store.restore(&copy);
    deployment.endpoint.set_failure_mode(FailureMode::Normal);
    let back_at = Instant::now();
    deployment.write_entries(LEAVE_WITHIN);
    deployment.send_requests("new");
    assert!(deployment.arrivals_after(4, back_at) > 0);
}

// The planner's row goes back to its former holder, which is alive.
#[test]
fn no_two_daemons_order_with_one_fencing_token_after_a_takeover_is_lost() {
    let deployment = Deployment::start();
    let engine = &deployment.runners[3];
    let load = |daemon: usize, model: &str, id: &str| {
        let req = Request::new("/dossier/", id, Some(model), 8_000);
        let text = Request { extra_headers: "Connection: close\r\n", ..req }.text();
        launch::send(deployment.daemons[daemon].callers, &text)
    };
    engine.set_on_disk(&["m0", "m1"]);
    load(0, "m1", "f-0");
    let takeover = || {
        deployment.daemons[0].signal(Signal::STOP);
        deployment.write_entries(Duration::from_secs(6));
        load(1, "m0", "f-1");
        deployment.daemons[0].signal(Signal::CONT);
        deployment.write_entries(HEARTBEAT);
    };
    deployment.come_back(Versions::Below, takeover, || {});
    deployment.write_entries(Duration::from_secs(10));
    load(2, "m1", "f-2");
    load(1, "m0", "f-3");
    let orders = engine.received_orders();
    assert!(orders.len() >= 4, "the models were not exchanged: {orders:?}");
    for (n, order) in orders.iter().enumerate() {
        let other = orders[..n].iter().find(|o| o.fence == order.fence && o.holder != order.holder);
        assert!(other.is_none(), "{other:?} and {order:?}");
    }
    for pair in orders.windows(2) {
        assert!(pair[0].fence <= pair[1].fence, "{pair:?}");
        let is_turn = pair[0].holder != pair[1].holder;
        let interval = pair[1].at.duration_since(pair[0].at);
        assert!(!is_turn || interval >= Duration::from_secs(3), "{pair:?} after {interval:?}");
    }
}
