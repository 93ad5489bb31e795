//! Daemons before targets that say of themselves how much they take, that they leave, or that they want
//! rest, under faults drawn from a seed, in virtual time.

mod actor;
mod flight;

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_core::{clock::Time, name::TargetName};
use tansyknot_fleet::{
    backpressure::{Interval, Outcome, SignalField, Signals},
    poison::key::RunKey,
    target::{StartTime, Target, TargetState},
};

use super::{hosts::Hosts, network::Network, target};
use actor::{Actor, Arrival, Known, Leaving, Spell};
use flight::{Flight, Request};

const STEP: Duration = Duration::from_millis(5);
/// Daemons that have been undisturbed for this long are held to the bounds.
const CONTACT: Duration = Duration::from_secs(3);
/// The window in which requests to a target with a limit are counted, from when, and how many there
/// may be beyond the limit.
const WINDOW: Duration = Duration::from_secs(4);
const WINDOWS_FROM: Duration = Duration::from_secs(1);
const BEYOND: f64 = 2.0;
/// To whom it is told an answer seems later than it was by this at most.
const TRANSIT: Duration = Duration::from_millis(250);
/// Of fewer requests no share can be told.
const COUNTED_LEAST: f64 = 10.0;
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
const CALM_START: Duration = Duration::from_secs(6);
const TARGETS: usize = 6;
/// The one target that holds the model `m9`; all others hold `m0`.
const LONE: usize = 0;
/// Limits that targets name.
const RATES: [f64; 4] = [1.0, 20.0, 0.2, 5.0];

/// What targets say and what goes wrong, in times a second and shares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Troubles {
    /// Limits that are named, changed or ended.
    pub(crate) limits: f64,
    /// Targets that leave; the list says so seconds later or never.
    pub(crate) leaves: f64,
    /// Targets that turn all requests away for seconds and ask for rest.
    pub(crate) rests: f64,
    /// Fields of answers that are garbled.
    pub(crate) garbled: f64,
    /// Entries that are written again, lapse and come back.
    pub(crate) entries: f64,
    /// Targets that start again under their name or another one.
    pub(crate) runs: f64,
    /// Daemons that start again, freeze, or lose the store.
    pub(crate) daemons: f64,
    /// Daemons that lose all others.
    pub(crate) cuts: f64,
    /// The planner among them.
    pub(crate) planner: f64,
    /// All daemons that end at once.
    pub(crate) herds: f64,
    /// The store that is away from all.
    pub(crate) store: f64,
    /// Datagrams lost, and how much later they come, in milliseconds.
    pub(crate) loss: f64,
    pub(crate) jitter: u64,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Result {
    pub(crate) broken: Vec<String>,
    pub(crate) requests: usize,
    pub(crate) served: usize,
    /// What the limits of the lone target allowed while one held, and what came.
    pub(crate) allowed: f64,
    pub(crate) used: usize,
    /// The fullest window, as a share of what it may have.
    pub(crate) fullest: f64,
}

/// What a run of a daemon has been told by a run of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Told {
    daemon: usize,
    epoch: u64,
    run: RunKey,
}

pub(crate) struct Simulation {
    network: Network,
    rng: StdRng,
    troubles: Troubles,
    hosts: Hosts,
    actors: Vec<Actor>,
    starts: usize,
    waiting: Vec<Request>,
    flights: Vec<Flight>,
    asked_per_s: f64,
    store_until: Time,
    cut_until: BTreeMap<usize, Time>,
    /// When daemons were told that a target leaves, and until when one wants rest from them.
    told_leaving: BTreeMap<Told, Time>,
    told_rest: BTreeMap<Told, Time>,
    result: Result,
}

impl Simulation {
    pub(crate) fn new(seed: u64, daemons: usize, troubles: Troubles) -> Self {
        let mut network = Network::new(daemons, 0, LEAVE_WITHIN);
        network.rng = StdRng::seed_from_u64(seed);
        network.loss = troubles.loss;
        network.jitter = troubles.jitter;
        let mut sim = Self {
            network,
            rng: StdRng::seed_from_u64(seed),
            troubles,
            hosts: Hosts::new(daemons),
            actors: Vec::new(),
            starts: 0,
            waiting: Vec::new(),
            flights: Vec::new(),
            asked_per_s: 80.0,
            store_until: Time::default(),
            cut_until: BTreeMap::new(),
            told_leaving: BTreeMap::new(),
            told_rest: BTreeMap::new(),
            result: Result::default(),
        };
        for n in 0..TARGETS {
            let actor = sim.start(n, None);
            sim.actors.push(actor);
        }
        sim
    }

    /// Lets `span` pass after a calm start; returns what came of it.
    pub(crate) fn run(mut self, span: Duration) -> Result {
        self.network.run(CALM_START);
        let begin = self.now();
        while self.now() < begin + span {
            self.network.run(STEP);
            self.disturb();
            self.forget_untold(self.now());
            self.ask();
            self.look();
            self.fly();
        }
        (0..self.actors.len()).for_each(|n| self.check_limit(n));
        self.result
    }

    fn now(&self) -> Time {
        self.network.clock_now()
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn span(&mut self, ms: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(ms))
    }

    /// Starts a run of the target in place `n`, under its old name or a new one.
    fn start(&mut self, n: usize, name: Option<TargetName>) -> Actor {
        self.starts += 1;
        let model = if n == LONE { "m9" } else { "m0" };
        let fresh = target(&format!("t{}", self.starts), &[model], &[]);
        let started_at = Some(StartTime(self.starts as u64));
        let entry = Target { name: name.unwrap_or(fresh.name), started_at, slots: 32, ..fresh };
        self.network.table.put(entry.clone());
        let now = self.now();
        Actor {
            entry,
            spells: vec![Spell { limit: None, since: now, known: Some(Known { at: now, by: 0 }) }],
            arrivals: Vec::new(),
            former_until: now,
            back: now,
            leaving: None,
            rests_until: Time::default(),
            lapsed_until: None,
        }
    }

    fn disturb(&mut self) {
        let now = self.now();
        let n = self.rng.random_range(0..TARGETS);
        if self.happens(self.troubles.limits) {
            // The lone one speaks as often as all others together.
            let n = if self.rng.random_bool(0.5) { LONE } else { n };
            self.change_limit(n, now);
        }
        if self.happens(self.troubles.leaves) && self.actors[n].leaving.is_none() {
            let listed_at = now + self.span(0..13_000);
            let gone_at = now + LEAVE_WITHIN + self.span(500..13_000);
            self.actors[n].leaving = Some(Leaving { listed_at, gone_at });
        }
        if self.happens(self.troubles.rests) {
            let until = now + self.span(500..6000);
            self.actors[n].rests_until = self.actors[n].rests_until.max(until);
        }
        self.go_on_leaving(now);
        if self.happens(self.troubles.entries) {
            self.change_entry(n, now);
        }
        if self.happens(self.troubles.runs) {
            self.check_limit(n);
            let name = self.actors[n].entry.name.clone();
            let is_same_name = self.rng.random_bool(0.5);
            if !is_same_name {
                self.network.table.remove(&name);
            }
            self.actors[n] = self.start(n, is_same_name.then_some(name));
        }
        self.put_lapsed(now);
        self.disturb_daemons(now);
    }

    /// Has the list say that targets leave, and new ones come in place of those that are gone.
    fn go_on_leaving(&mut self, now: Time) {
        for n in 0..TARGETS {
            let Some(Leaving { listed_at, gone_at }) = self.actors[n].leaving else { continue };
            let entry = &mut self.actors[n].entry;
            if now >= listed_at && entry.is_ready() && now >= self.store_until {
                entry.state = TargetState::Draining;
                self.network.table.put(entry.clone());
            }
            if now >= gone_at && now >= self.store_until {
                self.check_limit(n);
                self.network.table.remove(&self.actors[n].entry.name);
                self.actors[n] = self.start(n, None);
            }
        }
    }

    fn change_limit(&mut self, n: usize, now: Time) {
        let rate = RATES[self.rng.random_range(0..RATES.len())];
        let actor = &mut self.actors[n];
        let limit =
            if actor.limit().is_some() && self.rng.random_bool(0.4) { None } else { Some(rate) };
        actor.begin_spell(limit, now);
    }

    fn change_entry(&mut self, n: usize, now: Time) {
        if now < self.store_until {
            return;
        }
        let entry = self.actors[n].entry.clone();
        if self.rng.random_bool(0.5) {
            self.network.table.put(entry);
        } else {
            self.network.table.remove(&entry.name);
            let until = now + self.span(300..1500);
            self.actors[n].lapsed_until = Some(until);
        }
    }

    fn put_lapsed(&mut self, now: Time) {
        if now < self.store_until {
            return;
        }
        for actor in &mut self.actors {
            if actor.lapsed_until.take_if(|until| now >= *until).is_some() {
                self.network.table.put(actor.entry.clone());
                actor.back = now;
            }
        }
    }

    fn disturb_daemons(&mut self, now: Time) {
        if self.happens(self.troubles.daemons) {
            let n = self.rng.random_range(0..self.hosts.len());
            self.hosts.disturb(n, 300..4000, &mut self.network, &mut self.rng);
        }
        if self.happens(self.troubles.planner)
            && let Some(n) = self.hosts.planner(&self.network)
        {
            self.hosts.disturb(n, 300..4000, &mut self.network, &mut self.rng);
        }
        if self.happens(self.troubles.cuts) {
            let n = self.rng.random_range(0..self.hosts.len());
            let until = now + self.span(500..5000);
            self.cut_until.insert(n, until);
            self.hosts.disturbed_until(n, until);
        }
        if self.happens(self.troubles.herds) {
            self.hosts.restart_all(&mut self.network);
            let spells = self.actors.iter_mut().filter_map(|actor| actor.spells.last_mut());
            spells.for_each(|spell| spell.known = None);
        }
        if self.happens(self.troubles.store) && now >= self.store_until {
            self.store_until = now + self.span(1000..9000);
        }
        self.cut_until.retain(|_, until| now < *until);
        let cut: BTreeSet<_> =
            self.cut_until.keys().map(|n| self.network.nodes[*n].address).collect();
        self.network.isolated = cut;
        self.hosts.cut(self.store_until, &self.network);
    }

    /// Checks that nothing is sent to a target that has told this daemon to send nothing.
    fn check_told(&mut self, req: &Request, run: RunKey, now: Time) {
        let told = Told { daemon: req.daemon, epoch: req.epoch, run };
        if let Some(at) = self.told_leaving.get(&told) {
            let what = format!("d{} sends {:?} after a leaving", req.daemon, now.since(*at));
            self.result.broken.push(what);
        }
        if let Some(until) = self.told_rest.get(&told).filter(|until| now < **until) {
            let what = format!("d{} sends {:?} before a rest ends", req.daemon, until.since(now));
            self.result.broken.push(what);
        }
    }

    fn hear(
        &mut self,
        flight: &Flight,
        signals: &Signals,
        outcome: Outcome,
        written: Time,
        now: Time,
    ) {
        let told = Told {
            daemon: flight.req.daemon,
            epoch: flight.req.epoch,
            run: RunKey::of(&flight.target),
        };
        if signals.leaving == SignalField::Value(()) {
            self.told_leaving.entry(told).or_insert(now);
        }
        if let SignalField::Value(span) = signals.retry_delay {
            let until = self.told_rest.entry(told).or_default();
            *until = (*until).max(now + span);
        }
        let state = &self.network.nodes[flight.req.daemon].state;
        let at = Interval { sent: flight.began, received: now };
        let is_changed = {
            let mut fleet = state.fleet();
            fleet.end_request(&flight.target.name, Some(&flight.req.model));
            !fleet.record_signals(&flight.target, signals, outcome, at).is_empty()
        };
        if is_changed {
            state.notify_view_changed();
        }
        self.result.served += usize::from(outcome == Outcome::Ran);
        let run = RunKey::of(&flight.target);
        let actor = self.actors.iter_mut().find(|a| RunKey::of(&a.entry) == run);
        let Some(actor) = actor else { return };
        if written < actor.spell().since {
            actor.former_until = now;
        }
        let is_newer = flight.began > actor.spell().since.max(actor.former_until + TRANSIT);
        let is_told =
            is_newer && signals.limit != SignalField::Malformed && outcome == Outcome::Ran;
        let by = flight.req.daemon;
        if is_told && self.hosts.is_sound(by, CONTACT, now) {
            let spell = actor.spells.last_mut().expect("there is one from its start");
            spell.known.get_or_insert(Known { at: now, by });
        }
    }

    /// Who is disturbed right after it came to know something need not have told it.
    fn forget_untold(&mut self, now: Time) {
        let hosts = &self.hosts;
        let is_untold = |known: &mut Known| {
            let age = now.since(known.at);
            age < WINDOWS_FROM && !hosts.is_sound(known.by, age, now)
        };
        let spells = self.actors.iter_mut().filter_map(|actor| actor.spells.last_mut());
        for spell in spells.filter(|spell| spell.known.is_some_and(|k| k.at > spell.since)) {
            spell.known.take_if(is_untold);
        }
    }

    /// Checks what came to a run while each of its limits held.
    fn check_limit(&mut self, n: usize) {
        let actor = &self.actors[n];
        let ends = actor.spells.iter().skip(1).map(|spell| spell.since);
        let ends = ends.chain([self.network.clock_now()]);
        for (spell, end) in actor.spells.iter().zip(ends) {
            let (Some(limit), Some(known)) = (spell.limit, spell.known) else { continue };
            let from = known.at + WINDOWS_FROM;
            let within = |a: &&Arrival| a.at >= from && a.at < end;
            let arrivals: Vec<Time> = actor
                .arrivals
                .iter()
                .filter(within)
                .filter(|a| a.is_held_to_bounds)
                .map(|a| a.at)
                .collect();
            let most = limit * WINDOW.as_secs_f64() + BEYOND;
            let fullest = (0..arrivals.len())
                .map(|k| arrivals[k..].iter().filter(|at| at.since(arrivals[k]) < WINDOW).count())
                .max()
                .unwrap_or(0);
            self.result.fullest = self.result.fullest.max(fullest as f64 / most);
            if fullest as f64 > most {
                let name = &actor.entry.name;
                let what = format!("{name} takes {limit} a second and got {fullest} in 4 s");
                self.result.broken.push(what);
            }
            let allowed = limit * end.since(from).as_secs_f64();
            if n == LONE && allowed >= COUNTED_LEAST {
                self.result.allowed += allowed;
                self.result.used += actor.arrivals.iter().filter(within).count();
            }
        }
    }
}
