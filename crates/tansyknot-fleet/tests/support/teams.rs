//! Daemons before callers with keys and teams with quotas, under faults drawn from a seed, in virtual
//! time.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_core::{clock::Time, key::KeyDigest, name::TeamName};
use tansyknot_fleet::{
    access::{
        self, AccessOptions, Denied, RequestCredentials,
        message::Verdict,
        share::{self, UNRESPONSIVE_AFTER},
        team::{Quota, Team, TeamEntry, Teams, Unit},
        view::ViewOptions,
    },
    catalog::Catalog,
    peering::quota::{MAX_PLANNER_OUTAGE, REPLY_TIMEOUT},
};

use super::{hosts::Hosts, network::Network};

const STEP: Duration = Duration::from_millis(5);
/// A key that was taken away is good nowhere after this.
pub(crate) const REVOKE_WITHIN: Duration = Duration::from_secs(5);
const CONFIG_WITHIN: Duration = Duration::from_secs(3);
/// Daemons that have been undisturbed for this long are held to bounds in touch.
const CONTACT: Duration = Duration::from_secs(4);
/// A calm fleet knows of a key within this.
const KNOWN_WITHIN: Duration = Duration::from_millis(300);
const WINDOW: Duration = Duration::from_secs(8);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 17_000.0;
/// Units of a request, on average.
const COST: f64 = 900.0;
const TEAMS: usize = 4;
/// Units a second of the teams: one is large, the last one uses less than a request a second.
const RATES: [f64; TEAMS] = [270_000.0, 60_000.0, 16_000.0, 4_200.0];
/// What teams use of their quotas.
const USUAL: f64 = 0.55;

/// What goes wrong, in times a second and shares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Daemons that start again, freeze, or lose the store or all others.
    pub(crate) daemons: f64,
    /// The planner in particular.
    pub(crate) planner: f64,
    /// All daemons that end at once.
    pub(crate) herds: f64,
    /// The store that is away from all, for some seconds.
    pub(crate) store: f64,
    /// Datagrams lost, and how much later they come, in milliseconds.
    pub(crate) loss: f64,
    pub(crate) jitter: u64,
}

/// What operators and callers do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acts {
    /// Keys that are taken away or added, a second.
    pub(crate) keys: f64,
    /// Quotas that change, a second: far down, or back up.
    pub(crate) quotas: f64,
    /// How many times its usual a team sends, and which.
    pub(crate) hot: Option<(usize, f64)>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) broken: Vec<String>,
    /// Requests with good keys at daemons that are undisturbed, and those refused for their key.
    pub(crate) keyed: usize,
    pub(crate) key_refused: usize,
    /// Requests of teams but the hot one at daemons that are undisturbed, and those refused though the
    /// quota had room.
    pub(crate) within: usize,
    pub(crate) quota_refused: usize,
    /// The most that a window had of what it might, as a share.
    pub(crate) fullest: f64,
}

/// A key, when it came and when it was taken away.
struct Key {
    text: String,
    team: usize,
    added: Time,
    removed: Option<Time>,
}

/// What was let through of a team, and the quota that binds.
struct Ledger {
    rate: f64,
    /// The highest rate that still binds, and until when.
    eased: (f64, Time),
    passed: VecDeque<Passed>,
    /// What a single bucket would have left.
    ideal: f64,
    at: Time,
}

/// A request that was let through.
struct Passed {
    sent: Time,
    at: Time,
    units: f64,
}

/// A request that waits for the answer about its quota.
struct Waiting {
    daemon: usize,
    epoch: u64,
    team: usize,
    units: f64,
    number: u32,
    arrived: Time,
    asked: Time,
    /// Whether this daemon keeps the account, which has just been opened.
    is_told_later: bool,
    has_room: bool,
}

pub(crate) struct TeamRun {
    network: Network,
    rng: StdRng,
    faults: Faults,
    acts: Acts,
    keys: Vec<Key>,
    ledgers: Vec<Ledger>,
    waiting: Vec<Waiting>,
    hosts: Hosts,
    store_until: Time,
    version: u64,
    outcome: Outcome,
}

impl TeamRun {
    pub(crate) fn new(seed: u64, daemons: usize, faults: Faults, acts: Acts) -> Self {
        let mut network = Network::new(0, 4, Duration::from_secs(3));
        network.rng = StdRng::seed_from_u64(seed);
        network.keeps_for_frozen = true;
        network.access = AccessOptions {
            view: ViewOptions::of(Some(REVOKE_WITHIN), CONFIG_WITHIN),
            window: WINDOW,
            overshoot: OVERSHOOT,
            slack: SLACK,
        };
        let now = network.clock_now();
        let ledger = |rate: &f64| Ledger {
            rate: *rate,
            eased: (0.0, now),
            passed: VecDeque::new(),
            ideal: *rate,
            at: now,
        };
        let mut run = Self {
            network,
            rng: StdRng::seed_from_u64(seed),
            faults,
            acts,
            keys: Vec::new(),
            ledgers: RATES.iter().map(ledger).collect(),
            waiting: Vec::new(),
            hosts: Hosts::new(daemons),
            store_until: Time::default(),
            version: 1,
            outcome: Outcome::default(),
        };
        (0..3 * TEAMS).for_each(|n| run.add_key(n % TEAMS));
        run.configure();
        run.network.add_nodes(daemons);
        run.network.run(Duration::from_secs(8));
        run.network.loss = faults.loss;
        run.network.jitter = faults.jitter;
        run
    }

    /// Lets `span` pass and returns what came of it.
    pub(crate) fn run(mut self, span: Duration) -> Outcome {
        let until = self.now() + span;
        while self.now() < until {
            self.network.run(STEP);
            self.disturb();
            self.operate();
            self.ask();
            self.go_on();
        }
        self.outcome
    }

    fn now(&self) -> Time {
        self.network.clock_now()
    }

    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn add_key(&mut self, team: usize) {
        let text = format!("key{}", self.keys.len());
        self.keys.push(Key { text, team, added: self.now(), removed: None });
    }

    /// Writes the configuration as it is to be.
    fn configure(&mut self) {
        let keys_of = |team: usize| {
            let held = self.keys.iter().filter(move |k| k.team == team && k.removed.is_none());
            held.map(|k| KeyDigest::of(&k.text)).collect()
        };
        let entry = |team: usize| {
            let rate = self.ledgers[team].rate;
            let quota = Quota { unit: Unit::Tokens, rate, burst: rate, default_units: 200.0 };
            let (name, quota) = (name(team), Some(quota));
            TeamEntry { team: Team { name, priority: None, quota }, keys: keys_of(team) }
        };
        let teams = Teams::new((0..TEAMS).map(entry).collect()).expect("the teams are proper");
        let catalog = Catalog::new(self.version, Vec::new(), Vec::new()).with_teams(Some(teams));
        self.version += 1;
        self.network.table.configure(catalog);
    }

    fn operate(&mut self) {
        let now = self.now();
        if self.happens(self.acts.keys) {
            let team = self.rng.random_range(0..TEAMS);
            let held: Vec<usize> =
                (0..self.keys.len()).filter(|n| self.keys[*n].removed.is_none()).collect();
            if self.rng.random_bool(0.5) && held.len() > 1 {
                let n = held[self.rng.random_range(0..held.len())];
                self.keys[n].removed = Some(now);
            } else {
                self.add_key(team);
            }
            self.configure();
        }
        if self.happens(self.acts.quotas) {
            let team = self.rng.random_range(0..TEAMS);
            let ledger = &mut self.ledgers[team];
            let is_low = ledger.rate < RATES[team];
            let rate = if is_low { RATES[team] } else { RATES[team] * 0.1 };
            // A lower one binds a window after all know of it.
            let eased = ledger.rate.max(if now < ledger.eased.1 { ledger.eased.0 } else { 0.0 });
            ledger.eased = (eased, now + CONFIG_WITHIN + WINDOW);
            ledger.rate = rate;
            ledger.ideal = ledger.ideal.min(rate);
            self.configure();
        }
    }

    fn disturb(&mut self) {
        let now = self.now();
        let all = self.hosts.len();
        if self.happens(self.faults.daemons) {
            let n = self.rng.random_range(0..all);
            self.disturb_daemon(n);
        }
        if self.happens(self.faults.planner)
            && let Some(n) = self.hosts.planner(&self.network)
        {
            self.disturb_daemon(n);
        }
        if self.happens(self.faults.herds) {
            self.hosts.restart_all(&mut self.network);
        }
        if self.happens(self.faults.store) {
            self.store_until = now + Duration::from_millis(self.rng.random_range(1_000..7_000));
            (0..all).for_each(|n| self.hosts.disturbed_until(n, self.store_until));
        }
        self.hosts.cut(self.store_until, &self.network);
    }

    fn disturb_daemon(&mut self, n: usize) {
        self.hosts.disturb(n, 200..9_000, &mut self.network, &mut self.rng);
    }

    fn is_bound(&self, n: usize, now: Time) -> bool {
        self.hosts.is_sound(n, CONTACT, now)
    }

    /// Has requests arrive at daemons, with keys that hold and with others.
    fn ask(&mut self) {
        for (team, rate) in RATES.iter().enumerate() {
            let hot = self.acts.hot.filter(|(hot, _)| *hot == team).map_or(1.0, |(_, x)| x);
            let per_s = rate * USUAL * hot / COST;
            let mut due = per_s * STEP.as_secs_f64();
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    self.arrive(team);
                }
                due -= 1.0;
            }
        }
    }

    fn arrive(&mut self, team: usize) {
        let now = self.now();
        let daemon = self.rng.random_range(0..self.hosts.len());
        if !self.network.nodes[daemon].runs_at(now) {
            return;
        }
        let of_team: Vec<usize> =
            (0..self.keys.len()).filter(|n| self.keys[*n].team == team).collect();
        let key = of_team[self.rng.random_range(0..of_team.len())];
        if self.is_admitted(daemon, key, now) {
            self.begin_take(daemon, team, now);
        }
    }

    /// Has a daemon judge a key, and checks what it says.
    fn is_admitted(&mut self, daemon: usize, key: usize, now: Time) -> bool {
        let is_bound = self.is_bound(daemon, now);
        let state = &self.network.nodes[daemon].state;
        let (catalog, view) = state.active_catalog_and_keys();
        let Some(catalog) = catalog else { return false };
        let Some(teams) = &catalog.teams else { return false };
        let Key { text, added, removed, .. } = &self.keys[key];
        let claim = RequestCredentials { key: Some(text), arrived: now, version: catalog.version };
        let judged = access::identify(teams, claim, &view, &state.access.view).map(drop);
        let is_calm = self.is_calm();
        let broken = &mut self.outcome.broken;
        if let Some(removed) = removed {
            let since = now.since(*removed);
            if judged.is_ok() && since > REVOKE_WITHIN {
                broken.push(format!("{text} ran {since:?} after it was taken away"));
            }
            if judged.is_ok() && is_calm && since > KNOWN_WITHIN {
                broken.push(format!("{text} ran {since:?} after it was taken away, calm"));
            }
            return judged.is_ok();
        }
        let is_old = now.since(*added) > CONFIG_WITHIN;
        if is_bound && is_old {
            self.outcome.keyed += 1;
            self.outcome.key_refused += usize::from(judged.is_err());
            if judged == Err(Denied::UnknownKey) {
                broken.push(format!("{text} is refused as unknown"));
            }
        }
        judged.is_ok()
    }

    fn is_calm(&self) -> bool {
        let Faults { daemons, planner, herds, store, loss, .. } = self.faults;
        daemons + planner + herds + store + loss == 0.0
    }

    fn begin_take(&mut self, daemon: usize, team: usize, now: Time) {
        let units = self.rng.random_range(0.3..1.7) * COST;
        let has_room = self.ledgers[team].has_room(units, now);
        let node = &self.network.nodes[daemon];
        let number = node.state.pending().begin(&name(team), units, now);
        let silent = node.state.pending().unanswered_for(now);
        let draw = self.rng.random();
        let is_lent = silent >= UNRESPONSIVE_AFTER
            && !node.conductor.is_planner()
            && node.state.pending().take_lent(&name(team), units, draw, now);
        let verdict = match is_lent {
            true => None,
            false => node.conductor.request_quota(number, &name(team), units),
        };
        let epoch = self.hosts.epoch(daemon);
        let waiting = Waiting {
            daemon,
            epoch,
            team,
            units,
            number,
            arrived: now,
            asked: now,
            is_told_later: verdict == Some(Verdict::Later),
            has_room,
        };
        match verdict {
            _ if is_lent => self.passed(&waiting),
            Some(Verdict::Later) | None => self.waiting.push(waiting),
            Some(verdict) => self.end(&waiting, verdict),
        }
    }

    /// Takes answers in, asks again, and uses what was lent where none comes.
    fn go_on(&mut self) {
        let now = self.now();
        for mut w in std::mem::take(&mut self.waiting) {
            if self.hosts.epoch(w.daemon) != w.epoch {
                continue;
            }
            let node = &self.network.nodes[w.daemon];
            if !node.runs_at(now) {
                self.waiting.push(w);
                continue;
            }
            let answer = node.state.pending().verdict(w.number);
            if let Some(verdict) = answer.filter(|verdict| *verdict != Verdict::Later) {
                self.end(&w, verdict);
                continue;
            }
            if now.since(w.asked) < REPLY_TIMEOUT {
                self.waiting.push(w);
                continue;
            }
            let draw = self.rng.random();
            let is_later = answer.is_some() || w.is_told_later;
            (w.is_told_later, w.asked) = (false, now);
            node.state.pending().clear_verdict(w.number);
            if !is_later && node.state.pending().take_lent(&name(w.team), w.units, draw, now) {
                node.state.pending().end(w.number);
                self.passed(&w);
                continue;
            }
            let silent = node.state.pending().unanswered_for(now);
            if now.since(w.arrived) >= share::SHARE_LIFETIME || silent >= MAX_PLANNER_OUTAGE {
                node.state.pending().end(w.number);
                self.refused(&w);
                continue;
            }
            match node.conductor.request_quota(w.number, &name(w.team), w.units) {
                Some(Verdict::Later) => {
                    w.is_told_later = true;
                    self.waiting.push(w);
                }
                Some(verdict) => self.end(&w, verdict),
                None => self.waiting.push(w),
            }
        }
    }

    fn end(&mut self, w: &Waiting, verdict: Verdict) {
        let now = self.now();
        let node = &self.network.nodes[w.daemon];
        let mut pending = node.state.pending();
        pending.end(w.number);
        match verdict {
            Verdict::Granted => {
                pending.deduct_granted(&name(w.team), w.units, now);
                drop(pending);
                // Some are not run, for want of a target, and are given back.
                if self.rng.random_bool(0.1) {
                    let node = &self.network.nodes[w.daemon];
                    let (team, taken) = (name(w.team), w.arrived);
                    node.state.pending().give_back(&team, w.units, taken, now);
                } else {
                    self.passed(w);
                }
            }
            Verdict::Over { .. } | Verdict::Later => {
                drop(pending);
                self.refused(w);
            }
        }
    }

    fn count_within(&mut self, w: &Waiting, is_refused: bool) {
        let is_hot = self.acts.hot.is_some_and(|(hot, _)| hot == w.team);
        if self.is_bound(w.daemon, w.arrived) && w.has_room && !is_hot {
            self.outcome.within += 1;
            self.outcome.quota_refused += usize::from(is_refused);
        }
    }

    fn refused(&mut self, w: &Waiting) {
        self.count_within(w, true);
    }

    /// Counts a request by when it was sent, and checks the window.
    fn passed(&mut self, w: &Waiting) {
        self.count_within(w, false);
        let now = self.now();
        let fullest = self.ledgers[w.team].pass(w.arrived, w.units, now);
        self.outcome.fullest = self.outcome.fullest.max(fullest);
        if fullest > 1.0 {
            let what = format!("team {} had {fullest:.2} of what it may", w.team);
            self.outcome.broken.push(what);
        }
    }
}

impl Ledger {
    /// Tells whether a single bucket would have room, and takes it there.
    fn has_room(&mut self, units: f64, now: Time) -> bool {
        let filled = self.ideal + self.rate * now.since(self.at).as_secs_f64();
        self.ideal = filled.min(self.rate);
        self.at = now;
        let has_room = self.ideal >= units;
        if has_room {
            self.ideal -= units;
        }
        has_room
    }

    /// Counts what was sent at `sent`; returns what the window that ends now has of what it may. What
    /// counts was both sent and let through within it.
    fn pass(&mut self, sent: Time, units: f64, now: Time) -> f64 {
        self.passed.push_back(Passed { sent, at: now, units });
        while self.passed.front().is_some_and(|p| now.since(p.at) > WINDOW) {
            self.passed.pop_front();
        }
        let within = self.passed.iter().filter(|p| now.since(p.sent) <= WINDOW);
        let sum: f64 = within.map(|p| p.units).sum();
        let (eased, until) = self.eased;
        let rate = if now < until { self.rate.max(eased) } else { self.rate };
        let may = (rate * WINDOW.as_secs_f64() + rate) * (1.0 + OVERSHOOT) + SLACK;
        sum / may
    }
}

fn name(team: usize) -> TeamName {
    TeamName::new(format!("team{team}"))
}
