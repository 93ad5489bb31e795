//! Streams that callers take up again at other daemons, before runners of several software versions.
#![cfg(feature = "services")]

mod launch;

use std::{
    collections::BTreeSet,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use launch::Daemon;
use rustix::process::Signal;
use serde_json::{Value, json};
use tansyknot_adapter_standins::{
    caller::Request,
    operator::{Configuration, MODELS},
    runner::{EVENTS_PER_STREAM, Runner},
    store::Store,
};
use yare::parameterized;

const EVENT_GAP: Duration = Duration::from_millis(10);
/// Events after which a caller leaves its first attempt.
const EVENTS_OF_FIRST_ATTEMPT: usize = 2;
const DEADLINE_MS: u64 = 8_000;

/// A daemon of the deployment and how it fails after it has begun a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// It does not fail; the caller leaves.
    None,
    /// It is killed.
    Killed,
    /// It is suspended.
    Frozen,
}

struct Deployment {
    store: Store,
    runners: Vec<Runner>,
    daemons: Vec<Daemon>,
}

impl Deployment {
    fn start(daemons: usize, versions: &[&str]) -> Self {
        Self::with_timeout(daemons, versions, 10_000)
    }

    /// Starts a deployment whose routes have this timeout.
    fn with_timeout(daemons: usize, versions: &[&str], timeout_ms: u64) -> Self {
        let store = Store::new();
        Configuration {
            version: 3,
            timeout_ms,
            objective_ms: 500,
            gap_ms: 300,
            models_per_engine: 1,
            model_count: 1,
        }
        .write(&store);
        let start = |(n, version): (usize, &&str)| {
            let id = format!("i-{n}");
            let runner = Runner::start_version(&store, MODELS, &id, &["m0"], version);
            runner.set_event_gap(EVENT_GAP);
            runner
        };
        let runners = versions.iter().enumerate().map(start).collect();
        let address = store.open_endpoint().address;
        let daemons =
            (0..daemons).map(|n| Daemon::start(&format!("v{n}"), address)).collect::<Vec<_>>();
        let deployment = Self { store, runners, daemons };
        deployment.wait_for_runners();
        deployment
    }

    /// Ends all daemons at once and starts as many others.
    fn replace_daemons(&mut self, signal: Signal) {
        let count = self.daemons.len();
        self.daemons.iter().for_each(|daemon| daemon.signal(signal));
        for mut daemon in self.daemons.drain(..) {
            daemon.child.wait().expect("the daemon ends");
        }
        let address = self.store.open_endpoint().address;
        let start = |n| Daemon::start(&format!("v{n}"), address);
        self.daemons = (count..2 * count).map(start).collect();
    }

    /// Waits until each daemon has received events of each version.
    fn wait_for_runners(&self) {
        for (d, daemon) in self.daemons.iter().enumerate() {
            let mut seen = BTreeSet::new();
            let mut n = 0;
            while seen.len() < self.versions().len() {
                n += 1;
                assert!(n < 1_000, "a version serves nothing at daemon {d}");
                let stream = Stream::begin(daemon.callers, &format!("warm-{d}-{n}"), None);
                seen.extend(stream.read(usize::MAX).software);
            }
        }
    }

    /// Begins streams at a daemon, of which each caller receives the first events.
    fn begin_streams(&self, daemon: usize, count: usize) -> Vec<(String, Events)> {
        let begin = |n: usize| {
            let id = format!("s-{n}");
            let stream = Stream::begin(self.daemons[daemon].callers, &id, None);
            (id, stream.read(EVENTS_OF_FIRST_ATTEMPT))
        };
        (0..count).map(begin).collect()
    }

    fn versions(&self) -> BTreeSet<String> {
        self.runners.iter().map(Runner::software).collect()
    }
}

/// The events that an attempt has brought.
#[derive(Clone, Debug, Default)]
struct Events {
    status: u16,
    tokens: Vec<u64>,
    software: BTreeSet<String>,
}

/// A caller's attempt whose response has not been read.
struct Stream(BufReader<TcpStream>);

/// What an attempt resumes.
#[derive(Clone, Copy)]
struct Resumes<'a> {
    first_attempt: &'a str,
    last_event: usize,
}

impl Stream {
    fn begin(daemon: SocketAddr, id: &str, resumes: Option<Resumes<'_>>) -> Self {
        let mut headers = "Connection: close\r\n".to_owned();
        if let Some(Resumes { first_attempt, last_event }) = resumes {
            headers += &format!("Resumes: {first_attempt}\r\nLast-Event-Id: {last_event}\r\n");
        }
        let req = Request::new("/query/", id, Some("m0"), DEADLINE_MS);
        let text = Request { extra_headers: &headers, ..req }.text();
        let mut stream = TcpStream::connect(daemon).expect("the daemon listens");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("the time is above zero");
        stream.write_all(text.as_bytes()).expect("the daemon accepts the request");
        Self(BufReader::new(stream))
    }

    /// Reads up to `events` events, and then leaves.
    fn read(self, events: usize) -> Events {
        let mut seen = Events::default();
        for line in self.0.lines().map_while(Result::ok) {
            if let Some(status) = line.strip_prefix("HTTP/1.1 ") {
                seen.status = status.split(' ').next().and_then(|s| s.parse().ok()).unwrap_or(0);
            }
            if let Some(token) = line.strip_prefix("data: token ") {
                seen.tokens.extend(token.parse::<u64>());
            }
            if let Some(software) = line.strip_prefix("software: ") {
                seen.software.insert(software.to_owned());
                if seen.tokens.len() >= events {
                    break;
                }
            }
        }
        seen
    }
}

/// How the streams of a test went on.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    resumed: usize,
    completed: usize,
    refused: usize,
}

/// Takes each stream up at one of the other daemons, and checks the events of both attempts.
fn take_up(deployment: &Deployment, first: usize, begun: &[(String, Events)]) -> Outcome {
    let mut outcome = Outcome::default();
    for (n, (id, events)) in begun.iter().enumerate() {
        assert_eq!(events.tokens.len(), EVENTS_OF_FIRST_ATTEMPT, "{id}: {events:?}");
        let others = deployment.daemons.len() - 1;
        let next = (first + 1 + n % others) % deployment.daemons.len();
        let resumes = Resumes { first_attempt: id, last_event: EVENTS_OF_FIRST_ATTEMPT };
        let again = format!("{id}-again");
        let stream = Stream::begin(deployment.daemons[next].callers, &again, Some(resumes));
        let rest = stream.read(usize::MAX);
        let software: BTreeSet<&String> = events.software.union(&rest.software).collect();
        assert!(software.len() <= 1, "{id} has events of {software:?}");
        let tokens: Vec<u64> = events.tokens.iter().chain(&rest.tokens).copied().collect();
        assert_eq!(tokens, (1..=tokens.len() as u64).collect::<Vec<_>>(), "{id}");
        outcome.resumed += 1;
        outcome.completed += usize::from(tokens.len() as u64 == EVENTS_PER_STREAM);
        outcome.refused += usize::from(rest.status == 503);
    }
    outcome
}

#[parameterized(
    caller_leaves = { Failure::None },
    daemon_is_killed = { Failure::Killed },
    daemon_is_frozen = { Failure::Frozen },
)]
fn resumed_stream_goes_on_at_the_software_version_that_began_it(failure: Failure) {
    let deployment = Deployment::start(3, &["v1", "v1", "v1.1", "v1.1", "v1.2", "v1.2"]);
    // The planner is the first daemon, so that these cases end another one.
    let first = 2;
    let begun = deployment.begin_streams(first, 40);
    match failure {
        Failure::None => {}
        Failure::Killed => deployment.daemons[first].signal(Signal::KILL),
        Failure::Frozen => deployment.daemons[first].signal(Signal::STOP),
    }
    let outcome = take_up(&deployment, first, &begun);
    if failure == Failure::Frozen {
        deployment.daemons[first].signal(Signal::CONT);
    }
    assert!(outcome.completed * 100 >= outcome.resumed * 95, "{outcome:?}");
}

// The planner keeps the streams of daemons that know no others yet.
#[test]
fn stream_of_a_killed_planner_goes_on_at_its_software_version() {
    let deployment = Deployment::start(3, &["v1", "v1", "v1.1", "v1.1"]);
    let begun = deployment.begin_streams(0, 40);
    deployment.daemons[0].signal(Signal::KILL);
    let outcome = take_up(&deployment, 0, &begun);
    assert!(outcome.completed * 100 >= outcome.resumed * 95, "{outcome:?}");
}

#[test]
fn resumption_of_an_unknown_stream_is_refused_at_once_where_versions_differ() {
    let deployment = Deployment::start(2, &["v1", "v1.1"]);
    for n in 0..10 {
        let resumes = Resumes { first_attempt: "nobody", last_event: EVENTS_OF_FIRST_ATTEMPT };
        let id = format!("u-{n}");
        let stream = Stream::begin(deployment.daemons[n % 2].callers, &id, Some(resumes));
        let events = stream.read(usize::MAX);
        assert_eq!((events.status, events.tokens.len()), (503, 0), "{events:?}");
    }
}

#[test]
fn resumption_is_refused_at_once_if_its_software_version_is_gone() {
    let deployment = Deployment::start(2, &["v1", "v1.1"]);
    let begun = deployment.begin_streams(0, 20);
    deployment.store.remove("servers", "i-0");
    thread::sleep(Duration::from_secs(2));
    for (id, events) in &begun {
        let resumes = Resumes { first_attempt: id, last_event: EVENTS_OF_FIRST_ATTEMPT };
        let again = format!("{id}-again");
        let stream = Stream::begin(deployment.daemons[1].callers, &again, Some(resumes));
        let rest = stream.read(usize::MAX);
        let is_gone = events.software.contains("v1");
        assert_eq!(rest.status, if is_gone { 503 } else { 200 }, "{id}: {rest:?}");
    }
}

/// Guards against a guess by the routes' timeouts: a caller may resume its stream for longer.
#[parameterized(killed = { Signal::KILL }, stopped = { Signal::TERM })]
fn stream_that_outlives_all_daemons_does_not_go_on_at_another_software_version(signal: Signal) {
    const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
    let timeout_ms = ROUTE_TIMEOUT.as_millis() as u64;
    let mut deployment = Deployment::with_timeout(2, &["v1", "v1.1"], timeout_ms);
    let begun = deployment.begin_streams(0, 20);
    deployment.store.remove("servers", "i-0");
    thread::sleep(Duration::from_millis(500));
    deployment.replace_daemons(signal);
    thread::sleep(2 * ROUTE_TIMEOUT);
    take_up(&deployment, 0, &begun);
}

/// A second service for streams that may be resumed.
const OTHER_MODELS: &str = "other-models";

/// Returns a configuration of two services, whose route for streams that may be resumed has `field`.
fn configuration_of_two_services(version: u64, (name, value): (&str, Value)) -> Value {
    let mut document = Configuration::single_model(version).document();
    let mut service = document["services"][1].clone();
    service["name"] = OTHER_MODELS.into();
    document["services"].as_array_mut().expect("it is a list").push(service);
    let route = document["routes"][2].as_object_mut().expect("it is an object");
    route.remove("service");
    route.insert(name.to_owned(), value);
    document
}

impl Deployment {
    /// Starts a runner of the other service, and waits until a configuration with both is in force and
    /// each service has had one version for longer than any stream may last.
    fn add_other_service(&mut self, configuration: &Value) {
        let other = Runner::start_version(&self.store, OTHER_MODELS, "o-0", &["m0"], "w1");
        other.set_event_gap(EVENT_GAP);
        self.runners.push(other);
        self.store.put("op", "config", configuration);
        thread::sleep(Duration::from_millis(DEADLINE_MS + 2_500));
    }
}

/// Guards against a guess at the service that the new attempt is drawn for.
#[test]
fn stream_that_outlives_all_daemons_does_not_go_on_at_another_service_of_its_route() {
    let mut deployment = Deployment::start(2, &["v1"]);
    let half = |service: &str| json!({ "service": service, "weight": 0.5 });
    let split = json!([half(MODELS), half(OTHER_MODELS)]);
    deployment.add_other_service(&configuration_of_two_services(4, ("split", split)));
    let begun = deployment.begin_streams(0, 20);
    deployment.replace_daemons(Signal::KILL);
    take_up(&deployment, 0, &begun);
}

/// Guards against a guess at the service to which a route has just been moved.
#[test]
fn stream_that_outlives_all_daemons_does_not_go_on_where_its_route_leads_now() {
    let mut deployment = Deployment::start(2, &["v1"]);
    let leads_to = |service: &str| ("service", service.into());
    deployment.add_other_service(&configuration_of_two_services(4, leads_to(MODELS)));
    let begun = deployment.begin_streams(0, 20);
    let moved = configuration_of_two_services(5, leads_to(OTHER_MODELS));
    deployment.store.put("op", "config", &moved);
    thread::sleep(Duration::from_millis(2_500));
    deployment.replace_daemons(Signal::KILL);
    take_up(&deployment, 0, &begun);
}
