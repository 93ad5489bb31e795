//! Poison requests, which crash each target that runs them, with daemons as processes.
//!
//! Guards against daemons that send a repeated poison request to one target after another: if a crash
//! only counts as a failure of the target, nothing about the request outlives the attempt, and each
//! arrival crashes another target together with the requests of other callers there. Without a
//! conviction of the request, 20 to 22 late sends reach targets; three are allowed once every daemon
//! has had time to receive the report of the third crash.
#![cfg(feature = "services")]

mod launch;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use launch::Daemon;
use tansyknot_adapter_standins::{
    caller::Request,
    crash::{self, CRASH_PART, CrashLog, CrashOptions, CrashSequence},
    operator::Configuration,
    store::Store,
};
use yare::parameterized;

const DAEMONS: usize = 3;
const TARGETS: usize = 12;
/// Sound requests that are sent before the first poison request.
const WARM_UP_REQUESTS: usize = 24;
/// The interval between two sends of the poison request.
const SEND_INTERVAL: Duration = Duration::from_millis(120);
/// Every daemon has received the report of a crash after this time.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Sends to targets that are allowed after the propagation time.
const MAX_LATE_SENDS: usize = 3;
/// How long the request is repeated after the propagation time.
const REPEAT_DURATION: Duration = Duration::from_secs(4);
/// Every so many requests have the harmful part of a prompt.
const HARMFUL_STRIDE: usize = 4;
/// Crashes after which no more requests with a harmful part may be sent.
const MAX_CRASHES_UNDER_A_PART: usize = 5;
/// The share of sound requests that must be served once the harmful part is known.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Crashes after which a request is convicted.
const CRASHES_TO_CONVICT: usize = 3;

/// A store with targets that crash, and the daemons in front of them.
struct World {
    store: Store,
    crash_log: Arc<CrashLog>,
    daemons: Vec<Daemon>,
    sent_count: usize,
    sound_count: usize,
    /// How long callers of the poison request wait; `None` stands for its deadline.
    patience: Option<Duration>,
    /// The responses to sound requests, which are sent beside the poison request.
    sound: Vec<thread::JoinHandle<String>>,
}

/// How targets end under the poison request, and how long its callers wait.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    crash: CrashOptions,
    patience: Option<Duration>,
}

fn scenario(sequence: CrashSequence) -> Scenario {
    Scenario { crash: CrashOptions { sequence, ..CrashOptions::default() }, patience: None }
}

/// Callers leave before the target crashes.
fn leaving_callers() -> Scenario {
    let crash = CrashOptions { delay: Duration::from_millis(300), ..CrashOptions::default() };
    Scenario { crash, patience: Some(Duration::from_millis(60)) }
}

/// The request is sent elsewhere before the target crashes.
fn slow_crash() -> Scenario {
    let crash = CrashOptions { delay: Duration::from_millis(1200), ..CrashOptions::default() };
    Scenario { crash, patience: None }
}

fn brittle_targets() -> Scenario {
    let crash = CrashOptions { is_brittle: true, ..CrashOptions::default() };
    Scenario { crash, patience: None }
}

/// Targets with another software version answer the request.
fn sound_version() -> Scenario {
    let versions = &[("v1", true), ("v2", false)];
    let crash = CrashOptions { versions, ..CrashOptions::default() };
    Scenario { crash, patience: None }
}

impl World {
    fn start(name: &str, scenario: Scenario) -> Self {
        let store = Store::new();
        Configuration::single_model(1).write(&store);
        let crash_log = Arc::new(CrashLog::with_options(scenario.crash));
        (0..TARGETS).for_each(|_| crash::start(&store, &crash_log));
        let mut world = Self {
            store,
            crash_log,
            daemons: Vec::new(),
            sent_count: 0,
            sound_count: 0,
            patience: scenario.patience,
            sound: Vec::new(),
        };
        world.start_daemons(name);
        for _ in 0..WARM_UP_REQUESTS {
            world.send_sound();
            thread::sleep(SEND_INTERVAL / 4);
        }
        world
    }

    fn start_daemons(&mut self, name: &str) {
        let start = |n| Daemon::start(&format!("{name}{n}"), self.store.open_endpoint().address);
        self.daemons = (0..DAEMONS).map(start).collect();
    }

    /// Sends the request repeatedly, to each daemon in turn, and a sound one after each, until
    /// `is_over` returns true.
    fn send_until(&mut self, is_over: impl Fn(&CrashLog) -> bool) {
        let started_at = Instant::now();
        while !is_over(&self.crash_log) {
            assert!(
                started_at.elapsed() < launch::CONDITION_TIMEOUT,
                "the condition did not hold in time"
            );
            self.sent_count += 1;
            let id = format!("id-{}", self.sent_count);
            let callers = self.daemons[self.sent_count % DAEMONS].callers;
            let patience = self.patience;
            thread::spawn(move || send_and_leave(callers, "/lookup/crash", &id, patience));
            thread::sleep(SEND_INTERVAL / 2);
            self.send_sound();
            thread::sleep(SEND_INTERVAL / 2);
        }
    }

    fn send_sound(&mut self) {
        let n = self.sound_count;
        self.sound_count += 1;
        let callers = self.daemons[n % DAEMONS].callers;
        let (path, id) = (format!("/lookup/{n}"), format!("s-{n}"));
        self.sound.push(thread::spawn(move || send(callers, &path, &id)));
    }

    /// Returns the share of the sound requests sent since the last call that were served.
    fn served_share(&mut self) -> f64 {
        let responses: Vec<String> = self
            .sound
            .drain(..)
            .map(|sent| sent.join().expect("the caller does not panic"))
            .collect();
        let served = responses.iter().filter(|r| r.starts_with("HTTP/1.1 200")).count();
        served as f64 / responses.len() as f64
    }

    /// Sends requests that have a harmful part of their prompts in common, no two alike, and sound
    /// ones that share the other parts, until `is_over` returns true. Returns the number of sound ones
    /// that were served, and of those that were not.
    fn send_prompts_until(&mut self, is_over: impl Fn(&CrashLog) -> bool) -> (usize, usize) {
        let started_at = Instant::now();
        let mut sound = Vec::new();
        while !is_over(&self.crash_log) {
            assert!(
                started_at.elapsed() < launch::CONDITION_TIMEOUT,
                "the condition did not hold in time"
            );
            self.sent_count += 1;
            let n = self.sent_count;
            let callers = self.daemons[n % DAEMONS].callers;
            let is_harmful = n.is_multiple_of(HARMFUL_STRIDE);
            let part = if is_harmful { CRASH_PART } else { "50" };
            let prompt = format!("aa:20,{part}:10,{n:x}:5");
            let sent = thread::spawn(move || send_prompt(callers, &prompt, n));
            if !is_harmful {
                sound.push(sent);
            }
            thread::sleep(SEND_INTERVAL / HARMFUL_STRIDE as u32);
        }
        let responses =
            sound.into_iter().map(|sent| sent.join().expect("the caller does not panic"));
        let served = responses.map(|response| response.starts_with("HTTP/1.1 200"));
        let (served, others): (Vec<bool>, Vec<bool>) = served.partition(|is_served| *is_served);
        (served.len(), others.len())
    }

    fn late_sends(&self, since: Instant) -> usize {
        self.crash_log.arrivals().iter().filter(|at| **at > since + PROPAGATION_TIME).count()
    }
}

fn send_prompt(callers: SocketAddr, prompt: &str, n: usize) -> String {
    let (path, id) = (format!("/lookup/{n}"), format!("id-{n}"));
    let headers = format!("Connection: close\r\nPrompt-Prefix: {prompt}\r\n");
    let req = Request::new(&path, &id, None, 1_500);
    launch::send(callers, &Request { extra_headers: &headers, ..req }.text())
}

/// Sends a request and closes the connection after `patience`, or reads the response without one.
fn send_and_leave(callers: SocketAddr, path: &str, id: &str, patience: Option<Duration>) {
    let Some(patience) = patience else {
        send(callers, path, id);
        return;
    };
    let req = Request::new(path, id, None, 1_500);
    let mut stream = TcpStream::connect(callers).expect("the daemon listens");
    stream.write_all(req.text().as_bytes()).expect("the daemon accepts the request");
    thread::sleep(patience);
}

fn send(callers: SocketAddr, path: &str, id: &str) -> String {
    let req = Request::new(path, id, None, 1_500);
    launch::send(callers, &Request { extra_headers: "Connection: close\r\n", ..req }.text())
}

// A daemon that blames a target's end only on requests whose connection the target itself has closed
// sends the request to one target after the other in each of the other cases.
#[parameterized(
    port_closes_first = { "poison", scenario(CrashSequence::PortClosesFirst) },
    port_stays = { "stays", scenario(CrashSequence::PortStaysOpen) },
    unframed_response = { "unframed", scenario(CrashSequence::InUnframedResponse) },
    silence = { "silence", scenario(CrashSequence::Silence) },
    callers_that_leave = { "leave", leaving_callers() },
    handover = { "handover", slow_crash() },
    brittle = { "brittle", brittle_targets() },
    two_versions = { "versions", sound_version() },
)]
fn poison_request_reaches_no_target_once_three_have_crashed_under_it(
    name: &str,
    scenario: Scenario,
) {
    let mut world = World::start(name, scenario);
    world.send_until(|crash_log| crash_log.crashes().len() >= CRASHES_TO_CONVICT);
    let third_crash = world.crash_log.crashes()[CRASHES_TO_CONVICT - 1];
    world.send_until(|_| third_crash.elapsed() > PROPAGATION_TIME);
    world.served_share();
    world.send_until(|_| third_crash.elapsed() > PROPAGATION_TIME + REPEAT_DURATION);
    let (late, share) = (world.late_sends(third_crash), world.served_share());
    let crashes = world.crash_log.crashes().len();
    assert!(late <= MAX_LATE_SENDS, "{late} late sends, {crashes} crashes");
    assert!(share >= MIN_SERVED_SHARE, "{share} of the sound requests served");
}

#[parameterized(
    port_closes_first = { "ended", scenario(CrashSequence::PortClosesFirst) },
    port_stays = { "ended_stays", scenario(CrashSequence::PortStaysOpen) },
    callers_that_leave = { "ended_leave", leaving_callers() },
)]
fn poison_request_is_known_after_all_daemons_have_ended_at_once(name: &str, scenario: Scenario) {
    let mut world = World::start(name, scenario);
    world.send_until(|crash_log| crash_log.crashes().len() >= CRASHES_TO_CONVICT);
    let third_crash = world.crash_log.crashes()[CRASHES_TO_CONVICT - 1];
    world.send_until(|_| third_crash.elapsed() > Duration::from_secs(2));
    world.daemons.clear();
    world.start_daemons(&format!("{name}_again"));
    let started_at = Instant::now();
    world.send_until(|_| started_at.elapsed() > PROPAGATION_TIME + REPEAT_DURATION);
    assert!(
        world.late_sends(started_at) <= MAX_LATE_SENDS,
        "{} late sends",
        world.late_sends(started_at)
    );
}

#[test]
fn part_of_prompts_reaches_no_target_once_five_have_crashed_under_it() {
    let mut world = World::start("part", scenario(CrashSequence::PortClosesFirst));
    world.send_prompts_until(|crash_log| crash_log.crashes().len() >= MAX_CRASHES_UNDER_A_PART);
    let fifth_crash = world.crash_log.crashes()[MAX_CRASHES_UNDER_A_PART - 1];
    world.send_prompts_until(|_| fifth_crash.elapsed() > 2 * PROPAGATION_TIME);
    let (served, others) = world
        .send_prompts_until(|_| fifth_crash.elapsed() > 2 * PROPAGATION_TIME + REPEAT_DURATION);
    let late = world.late_sends(fifth_crash);
    assert!(late <= MAX_LATE_SENDS, "{late} late sends");
    let share = served as f64 / (served + others) as f64;
    assert!(share >= MIN_SERVED_SHARE, "{served} sound requests served, {others} not");
}

#[test]
fn part_of_prompts_is_known_after_all_daemons_have_ended_at_once() {
    let mut world = World::start("part_ended", scenario(CrashSequence::PortClosesFirst));
    world.send_prompts_until(|crash_log| crash_log.crashes().len() >= MAX_CRASHES_UNDER_A_PART);
    let fifth_crash = world.crash_log.crashes()[MAX_CRASHES_UNDER_A_PART - 1];
    world.send_prompts_until(|_| fifth_crash.elapsed() > Duration::from_secs(2));
    world.daemons.clear();
    world.start_daemons("part_ended_again");
    let started_at = Instant::now();
    world.send_prompts_until(|_| started_at.elapsed() > PROPAGATION_TIME + REPEAT_DURATION);
    let late = world.late_sends(started_at);
    assert!(late <= MAX_LATE_SENDS, "{late} late sends");
}
