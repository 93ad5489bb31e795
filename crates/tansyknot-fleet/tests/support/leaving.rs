//! A simulation of daemons and targets that join and leave, with faults drawn from a seed, in
//! virtual time.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use tansyknot_core::{clock::Time, name::TargetName};
use tansyknot_fleet::{
    dissemination::message::TargetOverride,
    target::{Target, TargetState},
};

use super::{list_calls::Latency, loaded_model, network::Network, target};

/// A daemon must meet the bounds once it and the store have been undisturbed for this long.
const MIN_UNDISTURBED: Duration = Duration::from_secs(3);
/// Daemons must list a new target after this long.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// The interval between two checks of the daemons, and between two draws of events.
const STEP: Duration = Duration::from_millis(50);
/// The number of targets at the start, around which their number stays.
const TARGETS: usize = 8;
/// The mean interval at which a target rewrites its entry.
const MEAN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
/// The number of events in the report of a violation.
const MAX_REPORTED_EVENTS: usize = 40;

/// The faults of a run, beside targets that join and leave.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Restarts, freezes and store disconnections of single daemons per second.
    pub(crate) daemons: f64,
    /// Simultaneous restarts of all daemons per second.
    pub(crate) full_restarts: f64,
    /// Store outages per second.
    pub(crate) store_outages: f64,
    /// The share of datagrams that are lost at times.
    pub(crate) loss: f64,
    /// The bound on the random extra delay of datagrams at times, in milliseconds.
    pub(crate) jitter: u64,
    /// The bound on the time that responses of the store take at times, in milliseconds.
    pub(crate) response_ms: u64,
}

/// A violated bound: what a daemon has of a target or lacks.
struct Violation {
    what: String,
    daemon: usize,
    target: TargetName,
}

/// A fleet, its targets and the faults of both, drawn from a seed.
pub(crate) struct Simulation {
    network: Network,
    rng: StdRng,
    faults: Faults,
    leave_within: Duration,
    targets_started: usize,
    /// Targets that accept work, and since when the store lists them so.
    ready: BTreeMap<TargetName, Time>,
    /// Targets that have left, when the store received that, and whether it was stable then.
    left: BTreeMap<TargetName, (Time, bool)>,
    /// Targets that drain, and when their entries are removed.
    draining: BTreeMap<TargetName, Time>,
    /// Targets whose entries expired in a store outage, and when they write them again.
    expired: BTreeMap<TargetName, Time>,
    /// When the last disturbance of each daemon ended or will end.
    disturbed_until: Vec<Time>,
    /// When the last outage of the store ended or will end.
    store_unavailable_until: Time,
    disconnected_until: Vec<Time>,
    /// The events so far, for the report of a violation.
    events: Vec<String>,
    /// The state of each target at each daemon at the last check.
    last_states: BTreeMap<(usize, TargetName), Option<TargetState>>,
    planner: Option<usize>,
}

impl Simulation {
    pub(crate) fn new(seed: u64, daemons: usize, leave_within: Duration, faults: Faults) -> Self {
        let network = Network::new(daemons, TARGETS, leave_within);
        let now = network.now();
        let ready = network.store.rows().targets.keys().map(|name| (name.clone(), now)).collect();
        Self {
            network,
            rng: StdRng::seed_from_u64(seed),
            faults,
            leave_within,
            targets_started: TARGETS,
            ready,
            left: BTreeMap::new(),
            draining: BTreeMap::new(),
            expired: BTreeMap::new(),
            disturbed_until: vec![now; daemons],
            store_unavailable_until: now,
            disconnected_until: vec![now; daemons],
            events: Vec::new(),
            last_states: BTreeMap::new(),
            planner: None,
        }
    }

    /// Runs for `duration`; returns the first violation.
    pub(crate) fn run(&mut self, duration: Duration) -> Result<(), String> {
        let until = self.network.now() + duration;
        while self.network.now() < until {
            self.draw_events();
            self.network.run(STEP);
            self.record_views();
            self.check().map_err(|violation| self.report(&violation))?;
        }
        Ok(())
    }

    /// Records changes of the planner and of the states of targets at the daemons.
    fn record_views(&mut self) {
        let planner = self.network.planner().map(|p| p.address);
        let planner = self.network.nodes.iter().position(|n| Some(n.address) == planner);
        if planner != self.planner {
            self.record_event(format!("planner {planner:?}"));
            self.planner = planner;
        }
        for n in 0..self.network.nodes.len() {
            for name in self.left.keys().chain(self.ready.keys()).cloned().collect::<Vec<_>>() {
                let state = self.network.nodes[n].state.fleet().target(&name).map(|t| t.state);
                let before = self.last_states.insert((n, name.clone()), state).flatten();
                if before != state {
                    let state = state.map_or("gone", TargetState::name);
                    self.record_event(format!("d{n} has {name} {state}"));
                }
            }
        }
    }

    fn record_event(&mut self, text: String) {
        let ms = self.now().since(Time::default()).as_millis();
        self.events.push(format!("{ms} {text}"));
    }

    /// Describes a violation with the events of its daemon and its target.
    fn report(&self, violation: &Violation) -> String {
        let Violation { what, daemon, target } = violation;
        let (of_daemon, of_target) = (format!(" d{daemon} "), format!(" {target} "));
        let is_relevant = |line: &&String| {
            let line = format!("{line} ");
            let of_another_target = line.contains(" t") && !line.contains(&of_target);
            let is_view = line.contains(" has ");
            !of_another_target || (line.contains(&of_daemon) && !is_view)
        };
        let events: Vec<&String> = self.events.iter().filter(is_relevant).collect();
        let last = events.len().saturating_sub(MAX_REPORTED_EVENTS);
        let lines = events[last..].iter().map(|line| format!("\n    {line}"));
        format!("{what}{}", lines.collect::<String>())
    }

    fn now(&self) -> Time {
        self.network.now()
    }

    /// Draws whether an event with `rate` per second occurs in this step.
    fn occurs(&mut self, rate: f64) -> bool {
        self.rng.random_bool((rate * STEP.as_secs_f64()).min(1.0))
    }

    fn random_duration(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from_ms..to_ms))
    }

    fn draw_events(&mut self) {
        let now = self.now();
        if self.occurs(2.5) {
            self.change_targets(now);
        }
        self.update_absent_targets(now);
        self.renew_entries(now);
        if self.occurs(self.faults.daemons) {
            self.disturb_daemon(now);
        }
        if self.occurs(self.faults.full_restarts) {
            self.record_event("all daemons restart".to_owned());
            (0..self.network.nodes.len()).for_each(|n| self.restart(n, now));
        }
        if self.occurs(self.faults.store_outages) && now >= self.store_unavailable_until {
            self.start_store_outage(now);
        }
        if self.occurs(0.5) {
            self.change_network();
        }
        if self.occurs(1.0) {
            self.add_override(now);
        }
        for n in 0..self.network.nodes.len() {
            let is_disconnected =
                now < self.disconnected_until[n] || now < self.store_unavailable_until;
            self.network.nodes[n].set_disconnected(is_disconnected);
        }
    }

    fn change_targets(&mut self, now: Time) {
        if now < self.store_unavailable_until {
            return;
        }
        let Some(name) = self.ready.keys().choose(&mut self.rng).cloned() else {
            return self.add_target(now);
        };
        match self.rng.random_range(0..10) {
            0..2 => self.drain(name, now),
            2..4 if self.ready.len() > 2 => self.remove(name, now),
            4..7 if self.ready.len() < TARGETS => self.add_target(now),
            _ => self.change_loaded_model(&name),
        }
    }

    fn add_target(&mut self, now: Time) {
        self.targets_started += 1;
        let new = target(&format!("t{}", self.targets_started), &["m0"], &[]);
        self.ready.insert(new.name.clone(), now);
        self.record_event(format!("{} joins", new.name));
        self.network.store.put(new);
    }

    fn change_loaded_model(&mut self, name: &TargetName) {
        let Some(entry) = self.network.store.rows().targets.get(name).cloned() else { return };
        let model = format!("m{}", self.rng.random_range(0..4));
        self.record_event(format!("{name} loads {model}"));
        self.network.store.put(Target { models: vec![loaded_model(&model, &[])], ..entry });
    }

    fn is_stable(&self, now: Time) -> bool {
        now.since(self.store_unavailable_until) >= MIN_UNDISTURBED
    }

    fn record_departure(&mut self, name: &TargetName, now: Time) {
        self.ready.remove(name);
        self.record_event(format!("{name} leaves"));
        self.left.insert(name.clone(), (now, self.is_stable(now)));
    }

    fn drain(&mut self, name: TargetName, now: Time) {
        let Some(entry) = self.network.store.rows().targets.get(&name).cloned() else { return };
        self.network.store.put(Target { state: TargetState::Draining, ..entry });
        self.record_departure(&name, now);
        let until = now + self.leave_within + self.random_duration(0, 2_000);
        self.draining.insert(name, until);
    }

    fn remove(&mut self, name: TargetName, now: Time) {
        self.network.store.remove(&name);
        self.record_departure(&name, now);
    }

    /// Removes the entries of targets that have drained, and writes those that had expired.
    fn update_absent_targets(&mut self, now: Time) {
        if now < self.store_unavailable_until {
            return;
        }
        let drained: Vec<TargetName> =
            self.draining.extract_if(.., |_, at| now >= *at).map(|(name, _)| name).collect();
        for name in drained {
            self.network.store.remove(&name);
            self.record_event(format!("{name} is removed"));
        }
        let returning: Vec<TargetName> =
            self.expired.extract_if(.., |_, at| now >= *at).map(|(name, _)| name).collect();
        for name in returning {
            self.record_event(format!("{name} rejoins"));
            self.network.store.put(target(name.as_str(), &["m0"], &[]));
            self.left.remove(&name);
            self.ready.insert(name, now);
        }
    }

    /// Rewrites entries without changes, as targets do with each heartbeat.
    fn renew_entries(&mut self, now: Time) {
        if now < self.store_unavailable_until {
            return;
        }
        let rows: Vec<Target> = self.network.store.rows().targets.values().cloned().collect();
        for entry in rows {
            if self.occurs(1.0 / MEAN_HEARTBEAT_INTERVAL.as_secs_f64()) {
                self.network.store.put(entry);
            }
        }
    }

    fn restart(&mut self, n: usize, now: Time) {
        self.network.restart(n);
        self.disturbed_until[n] = self.disturbed_until[n].max(now);
    }

    fn disturb_daemon(&mut self, now: Time) {
        let planner = self.network.planner().map(|p| p.address);
        let is_planner = |n: &usize| Some(self.network.nodes[*n].address) == planner;
        let daemons = self.network.nodes.len();
        let planner_index = (0..daemons).find(is_planner).filter(|_| self.rng.random_bool(0.5));
        let n = planner_index.unwrap_or_else(|| self.rng.random_range(0..daemons));
        let until = now + self.random_duration(200, 4_000);
        let kind = self.rng.random_range(0..3);
        let what = ["restarts", "freezes", "loses store access"][kind];
        self.record_event(format!("d{n} {what} for {} ms", until.since(now).as_millis()));
        match kind {
            0 => return self.restart(n, now),
            1 => self.network.nodes[n].frozen_until = until,
            _ => self.disconnected_until[n] = until,
        }
        self.disturbed_until[n] = self.disturbed_until[n].max(until);
    }

    /// Starts a store outage; in a long one some entries expire, and most of those are written
    /// again.
    fn start_store_outage(&mut self, now: Time) {
        let until = now + self.random_duration(500, 6_000);
        self.store_unavailable_until = until;
        self.record_event(format!("store unavailable for {} ms", until.since(now).as_millis()));
        if until.since(now) < Duration::from_millis(2_400) {
            return;
        }
        for name in self.ready.keys().cloned().collect::<Vec<_>>() {
            if self.rng.random_bool(0.6) {
                self.network.store.remove(&name);
                self.record_departure(&name, now);
                if self.rng.random_bool(0.8) {
                    let returning = until + self.random_duration(100, 1_900);
                    self.expired.insert(name, returning);
                }
            }
        }
    }

    fn change_network(&mut self) {
        let Faults { loss, jitter, response_ms, .. } = self.faults;
        let is_bad = self.rng.random_bool(0.5);
        self.network.loss = if is_bad { loss } else { 0.0 };
        self.network.jitter = if is_bad { jitter } else { 1 };
        let is_slow = self.rng.random_bool(0.5);
        let max_ms = if is_slow { response_ms } else { response_ms.min(10) };
        self.network.latency = Some(Latency { request: 0..10, response: 1..max_ms + 1 });
    }

    /// Adds an override at the planner, with another loaded model of a target.
    fn add_override(&mut self, now: Time) {
        let name = self.ready.keys().choose(&mut self.rng).cloned();
        let revision = now.since(Time::default()).as_millis() as u64;
        let Some((name, planner)) = name.zip(self.network.planner()) else { return };
        let mut fleet = planner.state.fleet();
        let Some(state) = fleet.target(&name).map(|t| t.state) else { return };
        let models = vec![loaded_model("m5", &[])];
        let target_override =
            TargetOverride { target: name, started_at: None, revision, state, models };
        fleet.apply_override(&target_override, planner.lease.fence(), now);
    }

    /// Checks the lists of undisturbed daemons against what the store received.
    fn check(&self) -> Result<(), Violation> {
        let now = self.now();
        let must_meet_bounds = |n: &usize| {
            now.since(self.disturbed_until[*n].max(self.store_unavailable_until)) >= MIN_UNDISTURBED
        };
        for n in (0..self.network.nodes.len()).filter(must_meet_bounds) {
            let fleet = self.network.nodes[n].state.fleet();
            let is_ready = |name: &TargetName| fleet.accepts_work(name, now);
            let is_late = |at: &Time| now.since(*at) > self.leave_within + STEP;
            let mut late =
                self.left.iter().filter(|(_, (at, is_stable))| *is_stable && is_late(at));
            if let Some((name, (at, _))) = late.find(|(name, _)| is_ready(name)) {
                let ms = now.since(*at).as_millis();
                let known = self.network.nodes[n].state.planner_view().received_state(now);
                let status = if fleet.retained().any(|retained| retained == name) {
                    "retained"
                } else {
                    "ready"
                };
                let what = format!("d{n}: {name} is {status} {ms} ms after it left: {known:?}");
                return Err(Violation { what, daemon: n, target: name.clone() });
            }
            let mut known = self.ready.iter().filter(|(_, at)| now.since(**at) > KNOWN_WITHIN);
            if let Some((name, _)) = known.find(|(name, _)| fleet.target(name).is_none()) {
                let what = format!("d{n} does not list {name}");
                return Err(Violation { what, daemon: n, target: name.clone() });
            }
        }
        Ok(())
    }
}
