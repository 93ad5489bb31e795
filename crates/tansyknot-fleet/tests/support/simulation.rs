//! A fleet before targets that come and go, with disturbances drawn from a seed, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use tansyknot_core::{clock::Time, name::TargetName};
use tansyknot_fleet::{
    dissemination::message::TargetOverride,
    target::{Target, TargetState},
};

use super::{calls::Latency, held, network::Network, target};

/// A daemon is held to the bound that was undisturbed, as was the store, for this long.
const CONTACT: Duration = Duration::from_secs(3);
/// A target that has come is known after this long.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Between two looks at what daemons know and two draws of what happens.
const STEP: Duration = Duration::from_millis(50);
/// Targets at the begin of a run, and those around which their number stays.
const TARGETS: usize = 8;
/// How often a target writes its entry, in the mean.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Lines of a report.
const TRAIL_MOST: usize = 40;

/// What happens in a run beside targets that come and go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Troubles {
    /// Daemons that end and start again, freeze, or are cut off from the store, a second.
    pub(crate) daemons: f64,
    /// Starts of all at once, a second.
    pub(crate) herds: f64,
    /// Losses of the store, a second.
    pub(crate) outages: f64,
    /// Datagrams lost, at times.
    pub(crate) loss: f64,
    /// How much longer than the least datagrams take at times, in milliseconds.
    pub(crate) jitter: u64,
    /// How long an answer of the store is on its way at times, in milliseconds.
    pub(crate) answer_ms: u64,
}

/// What a daemon knows of a target that it must not.
struct Broken {
    what: String,
    daemon: usize,
    target: TargetName,
}

/// A fleet, its targets and what disturbs both, drawn from a seed.
pub(crate) struct Simulation {
    network: Network,
    rng: StdRng,
    troubles: Troubles,
    leave_within: Duration,
    born: usize,
    /// Targets that take work and since when the store says so.
    ready: BTreeMap<TargetName, Time>,
    /// Targets that have left, when the store was told, and whether it was stable then.
    left: BTreeMap<TargetName, (Time, bool)>,
    /// Targets that drain, and when their entries are dropped.
    draining: BTreeMap<TargetName, Time>,
    /// Targets whose entries lapsed with the store away, and when they write them again.
    lapsed: BTreeMap<TargetName, Time>,
    /// When the last disturbance of each daemon ended or will end.
    disturbed: Vec<Time>,
    /// The same of the store.
    store_away_until: Time,
    cut_until: Vec<Time>,
    /// What has happened, for the report of what broke.
    trail: Vec<String>,
    /// What each daemon knew of each target at the last look.
    seen: BTreeMap<(usize, TargetName), Option<TargetState>>,
    planner: Option<usize>,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        daemons: usize,
        leave_within: Duration,
        troubles: Troubles,
    ) -> Self {
        let network = Network::new(daemons, TARGETS, leave_within);
        let now = network.clock_now();
        let ready = network.table.rows().targets.keys().map(|name| (name.clone(), now)).collect();
        Self {
            network,
            rng: StdRng::seed_from_u64(seed),
            troubles,
            leave_within,
            born: TARGETS,
            ready,
            left: BTreeMap::new(),
            draining: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            disturbed: vec![now; daemons],
            store_away_until: now,
            cut_until: vec![now; daemons],
            trail: Vec::new(),
            seen: BTreeMap::new(),
            planner: None,
        }
    }

    /// Lets `span` pass; returns what broke first.
    pub(crate) fn run(&mut self, span: Duration) -> Result<(), String> {
        let until = self.network.clock_now() + span;
        while self.network.clock_now() < until {
            self.happen();
            self.network.run(STEP);
            self.watch();
            self.check().map_err(|broken| self.report(&broken))?;
        }
        Ok(())
    }

    /// Keeps what daemons know of targets that have left, and who the planner is.
    fn watch(&mut self) {
        let planner = self.network.planner().map(|p| p.address);
        let planner = self.network.nodes.iter().position(|n| Some(n.address) == planner);
        if planner != self.planner {
            self.note_event(format!("planner {planner:?}"));
            self.planner = planner;
        }
        for n in 0..self.network.nodes.len() {
            for name in self.left.keys().chain(self.ready.keys()).cloned().collect::<Vec<_>>() {
                let state = self.network.nodes[n].state.fleet().target(&name).map(|t| t.state);
                let before = self.seen.insert((n, name.clone()), state).flatten();
                if before != state {
                    let state = state.map_or("gone", TargetState::name);
                    self.note_event(format!("d{n} has {name} {state}"));
                }
            }
        }
    }

    fn note_event(&mut self, text: String) {
        let ms = self.now().since(Time::default()).as_millis();
        self.trail.push(format!("{ms} {text}"));
    }

    /// Returns what broke with what happened to the daemon and the target.
    fn report(&self, broken: &Broken) -> String {
        let Broken { what, daemon, target } = broken;
        let (of_daemon, of_target) = (format!(" d{daemon} "), format!(" {target} "));
        let concerns = |line: &&String| {
            let line = format!("{line} ");
            let of_another_target = line.contains(" t") && !line.contains(&of_target);
            let is_view = line.contains(" has ");
            !of_another_target || (line.contains(&of_daemon) && !is_view)
        };
        let trail: Vec<&String> = self.trail.iter().filter(concerns).collect();
        let last = trail.len().saturating_sub(TRAIL_MOST);
        let lines = trail[last..].iter().map(|line| format!("\n    {line}"));
        format!("{what}{}", lines.collect::<String>())
    }

    fn now(&self) -> Time {
        self.network.clock_now()
    }

    /// Tells whether something happens in this step that happens `rate` times a second.
    fn happens(&mut self, rate: f64) -> bool {
        self.rng.random_bool((rate * STEP.as_secs_f64()).min(1.0))
    }

    fn span(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from_ms..to_ms))
    }

    fn happen(&mut self) {
        let now = self.now();
        if self.happens(2.5) {
            self.change_targets(now);
        }
        self.go_on_with_targets(now);
        self.renew_entries(now);
        if self.happens(self.troubles.daemons) {
            self.disturb_daemon(now);
        }
        if self.happens(self.troubles.herds) {
            self.note_event("all start".to_owned());
            (0..self.network.nodes.len()).for_each(|n| self.restart(n, now));
        }
        if self.happens(self.troubles.outages) && now >= self.store_away_until {
            self.lose_store(now);
        }
        if self.happens(0.5) {
            self.change_network();
        }
        if self.happens(1.0) {
            self.note(now);
        }
        for n in 0..self.network.nodes.len() {
            let is_cut = now < self.cut_until[n] || now < self.store_away_until;
            self.network.nodes[n].cut(is_cut);
        }
    }

    fn change_targets(&mut self, now: Time) {
        if now < self.store_away_until {
            return;
        }
        let Some(name) = self.ready.keys().choose(&mut self.rng).cloned() else {
            return self.come(now);
        };
        match self.rng.random_range(0..10) {
            0..2 => self.drain(name, now),
            2..4 if self.ready.len() > 2 => self.go(name, now),
            4..7 if self.ready.len() < TARGETS => self.come(now),
            _ => self.hold_another(&name),
        }
    }

    fn come(&mut self, now: Time) {
        self.born += 1;
        let new = target(&format!("t{}", self.born), &["m0"], &[]);
        self.ready.insert(new.name.clone(), now);
        self.note_event(format!("{} comes", new.name));
        self.network.table.put(new);
    }

    fn hold_another(&mut self, name: &TargetName) {
        let Some(entry) = self.network.table.rows().targets.get(name).cloned() else { return };
        let model = format!("m{}", self.rng.random_range(0..4));
        self.note_event(format!("{name} holds {model}"));
        self.network.table.put(Target { models: vec![held(&model, &[])], ..entry });
    }

    fn is_stable(&self, now: Time) -> bool {
        now.since(self.store_away_until) >= CONTACT
    }

    fn leave(&mut self, name: &TargetName, now: Time) {
        self.ready.remove(name);
        self.note_event(format!("{name} leaves"));
        self.left.insert(name.clone(), (now, self.is_stable(now)));
    }

    fn drain(&mut self, name: TargetName, now: Time) {
        let Some(entry) = self.network.table.rows().targets.get(&name).cloned() else { return };
        self.network.table.put(Target { state: TargetState::Draining, ..entry });
        self.leave(&name, now);
        let until = now + self.leave_within + self.span(0, 2_000);
        self.draining.insert(name, until);
    }

    fn go(&mut self, name: TargetName, now: Time) {
        self.network.table.remove(&name);
        self.leave(&name, now);
    }

    /// Drops the entries of targets that have drained, and writes those that had lapsed.
    fn go_on_with_targets(&mut self, now: Time) {
        if now < self.store_away_until {
            return;
        }
        let drained: Vec<TargetName> =
            self.draining.extract_if(.., |_, at| now >= *at).map(|(name, _)| name).collect();
        for name in drained {
            self.network.table.remove(&name);
            self.note_event(format!("{name} is removed"));
        }
        let back: Vec<TargetName> =
            self.lapsed.extract_if(.., |_, at| now >= *at).map(|(name, _)| name).collect();
        for name in back {
            self.note_event(format!("{name} is back"));
            self.network.table.put(target(name.as_str(), &["m0"], &[]));
            self.left.remove(&name);
            self.ready.insert(name, now);
        }
    }

    /// Writes entries again that change nothing, as targets do with each heartbeat.
    fn renew_entries(&mut self, now: Time) {
        if now < self.store_away_until {
            return;
        }
        let rows: Vec<Target> = self.network.table.rows().targets.values().cloned().collect();
        for entry in rows {
            if self.happens(1.0 / HEARTBEAT.as_secs_f64()) {
                self.network.table.put(entry);
            }
        }
    }

    fn restart(&mut self, n: usize, now: Time) {
        self.network.restart(n);
        self.disturbed[n] = self.disturbed[n].max(now);
    }

    fn disturb_daemon(&mut self, now: Time) {
        let planner = self.network.planner().map(|p| p.address);
        let is_planner = |n: &usize| Some(self.network.nodes[*n].address) == planner;
        let all = self.network.nodes.len();
        let of_planner = (0..all).find(is_planner).filter(|_| self.rng.random_bool(0.5));
        let n = of_planner.unwrap_or_else(|| self.rng.random_range(0..all));
        let until = now + self.span(200, 4_000);
        let kind = self.rng.random_range(0..3);
        let what = ["starts", "freezes", "is cut off"][kind];
        self.note_event(format!("d{n} {what} for {} ms", until.since(now).as_millis()));
        match kind {
            0 => return self.restart(n, now),
            1 => self.network.nodes[n].frozen_until = until,
            _ => self.cut_until[n] = until,
        }
        self.disturbed[n] = self.disturbed[n].max(until);
    }

    /// Takes the store away; some entries lapse meanwhile, and most of those are written again.
    fn lose_store(&mut self, now: Time) {
        let until = now + self.span(500, 6_000);
        self.store_away_until = until;
        self.note_event(format!("store away for {} ms", until.since(now).as_millis()));
        if until.since(now) < Duration::from_millis(2_400) {
            return;
        }
        for name in self.ready.keys().cloned().collect::<Vec<_>>() {
            if self.rng.random_bool(0.6) {
                self.network.table.remove(&name);
                self.leave(&name, now);
                if self.rng.random_bool(0.8) {
                    let back = until + self.span(100, 1_900);
                    self.lapsed.insert(name, back);
                }
            }
        }
    }

    fn change_network(&mut self) {
        let Troubles { loss, jitter, answer_ms, .. } = self.troubles;
        let is_bad = self.rng.random_bool(0.5);
        self.network.loss = if is_bad { loss } else { 0.0 };
        self.network.jitter = if is_bad { jitter } else { 1 };
        let is_slow = self.rng.random_bool(0.5);
        let most = if is_slow { answer_ms } else { answer_ms.min(10) };
        self.network.latency = Some(Latency { there: 0..10, back: 1..most + 1 });
    }

    /// Has the planner note that a target holds another model.
    fn note(&mut self, now: Time) {
        let name = self.ready.keys().choose(&mut self.rng).cloned();
        let revision = now.since(Time::default()).as_millis() as u64;
        let Some((name, planner)) = name.zip(self.network.planner()) else { return };
        let mut fleet = planner.state.fleet();
        let Some(state) = fleet.target(&name).map(|t| t.state) else { return };
        let models = vec![held("m5", &[])];
        let note = TargetOverride { target: name, started_at: None, revision, state, models };
        fleet.apply_override(&note, planner.lease.fence(), now);
    }

    /// Checks what undisturbed daemons know against what the store was told.
    fn check(&self) -> Result<(), Broken> {
        let now = self.now();
        let in_touch =
            |n: &usize| now.since(self.disturbed[*n].max(self.store_away_until)) >= CONTACT;
        for n in (0..self.network.nodes.len()).filter(in_touch) {
            let fleet = self.network.nodes[n].state.fleet();
            let is_ready = |name: &TargetName| fleet.accepts_work(name, now);
            let is_late = |at: &Time| now.since(*at) > self.leave_within + STEP;
            let mut late =
                self.left.iter().filter(|(_, (at, is_stable))| *is_stable && is_late(at));
            if let Some((name, (at, _))) = late.find(|(name, _)| is_ready(name)) {
                let ms = now.since(*at).as_millis();
                let known = self.network.nodes[n].state.planner_view().known(now);
                let kept = if fleet.retained().any(|kept| kept == name) { "kept" } else { "ready" };
                let what = format!("d{n}: {name} is {kept} {ms} ms after it left: {known:?}");
                return Err(Broken { what, daemon: n, target: name.clone() });
            }
            let mut known = self.ready.iter().filter(|(_, at)| now.since(**at) > KNOWN_WITHIN);
            if let Some((name, _)) = known.find(|(name, _)| fleet.target(name).is_none()) {
                let what = format!("d{n} does not know {name}");
                return Err(Broken { what, daemon: n, target: name.clone() });
            }
        }
        Ok(())
    }
}
