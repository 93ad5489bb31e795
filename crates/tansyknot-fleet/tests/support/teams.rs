//! A simulation of daemons whose callers have keys and whose teams have quotas, with faults drawn
//! from a seed, in virtual time.

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

use super::{daemon_faults::DaemonFaults, network::Network};

const STEP: Duration = Duration::from_millis(5);
/// No daemon may accept a removed key after this long.
pub(crate) const REVOKE_WITHIN: Duration = Duration::from_secs(5);
const CONFIG_WITHIN: Duration = Duration::from_secs(3);
/// Daemons that have been undisturbed for this long must meet the bounds.
const MIN_UNDISTURBED: Duration = Duration::from_secs(4);
/// Without faults, no daemon may accept a removed key after this long.
const REVOKE_WITHIN_FAULT_FREE: Duration = Duration::from_millis(300);
const WINDOW: Duration = Duration::from_secs(8);
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 17_000.0;
/// The mean number of units of a request.
const MEAN_REQUEST_UNITS: f64 = 900.0;
const TEAMS: usize = 4;
/// Quotas of the teams in units per second: one is large, and the last team sends less than one
/// request per second to each daemon.
const RATES: [f64; TEAMS] = [270_000.0, 60_000.0, 16_000.0, 4_200.0];
/// The share of its quota that a team uses.
const USUAL_UTILIZATION: f64 = 0.55;

/// Faults, as events per second and shares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Restarts, freezes and store disconnections of single daemons.
    pub(crate) daemons: f64,
    /// The same faults of the planner.
    pub(crate) planner: f64,
    /// Simultaneous restarts of all daemons.
    pub(crate) full_restarts: f64,
    /// Store outages of some seconds for all daemons.
    pub(crate) store_outages: f64,
    /// The share of datagrams that are lost, and the bound on their random extra delay in
    /// milliseconds.
    pub(crate) loss: f64,
    pub(crate) jitter: u64,
}

/// Actions of operators and callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Actions {
    /// Keys that are removed or added per second.
    pub(crate) keys: f64,
    /// Quota changes per second: down to a tenth, or back up.
    pub(crate) quotas: f64,
    /// A team that sends more than its usual load, and the factor.
    pub(crate) hot: Option<(usize, f64)>,
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) violations: Vec<String>,
    /// Requests with valid keys at undisturbed daemons, and those refused for their key.
    pub(crate) with_valid_key: usize,
    pub(crate) key_refused: usize,
    /// Requests within their quota at undisturbed daemons, of all teams but the hot one, and those
    /// of them that were refused.
    pub(crate) within_quota: usize,
    pub(crate) quota_refused: usize,
    /// The highest use of a window, as a share of its limit.
    pub(crate) max_window_use: f64,
}

/// A key, and when it was added and removed.
struct Key {
    text: String,
    team: usize,
    added: Time,
    removed: Option<Time>,
}

/// The admitted requests of a team, and the quota that applies.
struct Ledger {
    rate: f64,
    /// The highest earlier rate that still applies, and until when.
    former_rate: (f64, Time),
    admitted: VecDeque<Admitted>,
    /// The units left in a single token bucket that serves all daemons.
    bucket: f64,
    refilled_at: Time,
}

/// An admitted request.
struct Admitted {
    sent: Time,
    at: Time,
    units: f64,
}

/// A request that waits for the reply to its quota request.
struct Waiting {
    daemon: usize,
    epoch: u64,
    team: usize,
    units: f64,
    number: u32,
    arrived: Time,
    sent_at: Time,
    /// Whether its own daemon has the account, which was just opened, and deferred the verdict.
    is_deferred: bool,
    has_room: bool,
}

pub(crate) struct TeamSimulation {
    network: Network,
    rng: StdRng,
    faults: Faults,
    actions: Actions,
    keys: Vec<Key>,
    ledgers: Vec<Ledger>,
    waiting: Vec<Waiting>,
    daemon_faults: DaemonFaults,
    store_unavailable_until: Time,
    version: u64,
    outcome: Outcome,
}

impl TeamSimulation {
    pub(crate) fn new(seed: u64, daemons: usize, faults: Faults, actions: Actions) -> Self {
        let mut network = Network::new(0, 4, Duration::from_secs(3));
        network.rng = StdRng::seed_from_u64(seed);
        network.queues_for_frozen = true;
        network.access = AccessOptions {
            view: ViewOptions::from_bounds(Some(REVOKE_WITHIN), CONFIG_WITHIN),
            window: WINDOW,
            overshoot: OVERSHOOT,
            slack: SLACK,
        };
        let now = network.now();
        let ledger = |rate: &f64| Ledger {
            rate: *rate,
            former_rate: (0.0, now),
            admitted: VecDeque::new(),
            bucket: *rate,
            refilled_at: now,
        };
        let mut run = Self {
            network,
            rng: StdRng::seed_from_u64(seed),
            faults,
            actions,
            keys: Vec::new(),
            ledgers: RATES.iter().map(ledger).collect(),
            waiting: Vec::new(),
            daemon_faults: DaemonFaults::new(daemons),
            store_unavailable_until: Time::default(),
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

    /// Runs for `duration` and returns the results.
    pub(crate) fn run(mut self, duration: Duration) -> Outcome {
        let until = self.now() + duration;
        while self.now() < until {
            self.network.run(STEP);
            self.disturb();
            self.apply_operator_actions();
            self.send_requests();
            self.process_waiting();
        }
        self.outcome
    }

    fn now(&self) -> Time {
        self.network.now()
    }

    fn occurs(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn add_key(&mut self, team: usize) {
        let text = format!("key{}", self.keys.len());
        self.keys.push(Key { text, team, added: self.now(), removed: None });
    }

    /// Writes the current configuration.
    fn configure(&mut self) {
        let keys_of = |team: usize| {
            let active = self.keys.iter().filter(move |k| k.team == team && k.removed.is_none());
            active.map(|k| KeyDigest::of(&k.text)).collect()
        };
        let entry = |team: usize| {
            let rate = self.ledgers[team].rate;
            let quota = Quota { unit: Unit::Tokens, rate, burst: rate, default_units: 200.0 };
            let (name, quota) = (name(team), Some(quota));
            TeamEntry {
                team: Team { name, priority: None, quota, regions: None },
                keys: keys_of(team),
            }
        };
        let teams = Teams::new((0..TEAMS).map(entry).collect()).expect("the teams are valid");
        let catalog = Catalog::new(self.version, Vec::new(), Vec::new()).with_teams(Some(teams));
        self.version += 1;
        self.network.store.configure(catalog);
    }

    fn apply_operator_actions(&mut self) {
        let now = self.now();
        if self.occurs(self.actions.keys) {
            let team = self.rng.random_range(0..TEAMS);
            let active: Vec<usize> =
                (0..self.keys.len()).filter(|n| self.keys[*n].removed.is_none()).collect();
            if self.rng.random_bool(0.5) && active.len() > 1 {
                let n = active[self.rng.random_range(0..active.len())];
                self.keys[n].removed = Some(now);
            } else {
                self.add_key(team);
            }
            self.configure();
        }
        if self.occurs(self.actions.quotas) {
            let team = self.rng.random_range(0..TEAMS);
            let ledger = &mut self.ledgers[team];
            let is_low = ledger.rate < RATES[team];
            let rate = if is_low { RATES[team] } else { RATES[team] * 0.1 };
            // A lower rate applies one window after all daemons have received it.
            let former = ledger.rate.max(if now < ledger.former_rate.1 {
                ledger.former_rate.0
            } else {
                0.0
            });
            ledger.former_rate = (former, now + CONFIG_WITHIN + WINDOW);
            ledger.rate = rate;
            ledger.bucket = ledger.bucket.min(rate);
            self.configure();
        }
    }

    fn disturb(&mut self) {
        let now = self.now();
        let all = self.daemon_faults.len();
        if self.occurs(self.faults.daemons) {
            let n = self.rng.random_range(0..all);
            self.disturb_daemon(n);
        }
        if self.occurs(self.faults.planner)
            && let Some(n) = self.daemon_faults.planner(&self.network)
        {
            self.disturb_daemon(n);
        }
        if self.occurs(self.faults.full_restarts) {
            self.daemon_faults.restart_all(&mut self.network);
        }
        if self.occurs(self.faults.store_outages) {
            self.store_unavailable_until =
                now + Duration::from_millis(self.rng.random_range(1_000..7_000));
            (0..all).for_each(|n| {
                self.daemon_faults.extend_disturbance(n, self.store_unavailable_until);
            });
        }
        self.daemon_faults.update_store_access(self.store_unavailable_until, &self.network);
    }

    fn disturb_daemon(&mut self, n: usize) {
        self.daemon_faults.disturb(n, 200..9_000, &mut self.network, &mut self.rng);
    }

    fn must_meet_bounds(&self, n: usize, now: Time) -> bool {
        self.daemon_faults.is_undisturbed(n, MIN_UNDISTURBED, now)
    }

    /// Sends requests to daemons, with valid and removed keys.
    fn send_requests(&mut self) {
        for (team, rate) in RATES.iter().enumerate() {
            let hot = self.actions.hot.filter(|(hot, _)| *hot == team).map_or(1.0, |(_, x)| x);
            let per_s = rate * USUAL_UTILIZATION * hot / MEAN_REQUEST_UNITS;
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
        let daemon = self.rng.random_range(0..self.daemon_faults.len());
        if !self.network.nodes[daemon].runs_at(now) {
            return;
        }
        let of_team: Vec<usize> =
            (0..self.keys.len()).filter(|n| self.keys[*n].team == team).collect();
        let key = of_team[self.rng.random_range(0..of_team.len())];
        if self.is_admitted(daemon, key, now) {
            self.request_quota_units(daemon, team, now);
        }
    }

    /// Makes a daemon identify a key, and checks its decision.
    fn is_admitted(&mut self, daemon: usize, key: usize, now: Time) -> bool {
        let must_meet_bounds = self.must_meet_bounds(daemon, now);
        let state = &self.network.nodes[daemon].state;
        let (catalog, view) = state.active_catalog_and_keys();
        let Some(catalog) = catalog else { return false };
        let Some(teams) = &catalog.teams else { return false };
        let Key { text, added, removed, .. } = &self.keys[key];
        let credentials =
            RequestCredentials { key: Some(text), arrived: now, version: catalog.version };
        let identified = access::identify(teams, credentials, &view, &state.access.view).map(drop);
        let is_fault_free = self.is_fault_free();
        let violations = &mut self.outcome.violations;
        if let Some(removed) = removed {
            let since = now.since(*removed);
            if identified.is_ok() && since > REVOKE_WITHIN {
                violations.push(format!("{text} was accepted {since:?} after its removal"));
            }
            if identified.is_ok() && is_fault_free && since > REVOKE_WITHIN_FAULT_FREE {
                violations.push(format!(
                    "{text} was accepted {since:?} after its removal, without faults"
                ));
            }
            return identified.is_ok();
        }
        let is_old = now.since(*added) > CONFIG_WITHIN;
        if must_meet_bounds && is_old {
            self.outcome.with_valid_key += 1;
            self.outcome.key_refused += usize::from(identified.is_err());
            if identified == Err(Denied::UnknownKey) {
                violations.push(format!("{text} is refused as unknown"));
            }
        }
        identified.is_ok()
    }

    fn is_fault_free(&self) -> bool {
        let Faults { daemons, planner, full_restarts, store_outages, loss, .. } = self.faults;
        daemons + planner + full_restarts + store_outages + loss == 0.0
    }

    fn request_quota_units(&mut self, daemon: usize, team: usize, now: Time) {
        let units = self.rng.random_range(0.3..1.7) * MEAN_REQUEST_UNITS;
        let has_room = self.ledgers[team].has_room(units, now);
        let node = &self.network.nodes[daemon];
        let number = node.state.pending_quotas().begin(&name(team), units, now);
        let unanswered_for = node.state.pending_quotas().unanswered_for(now);
        let draw = self.rng.random();
        let is_lent = unanswered_for >= UNRESPONSIVE_AFTER
            && !node.peer_node.is_planner()
            && node.state.pending_quotas().take_lent(&name(team), units, draw, now);
        let verdict = match is_lent {
            true => None,
            false => node.peer_node.request_quota(number, &name(team), units),
        };
        let epoch = self.daemon_faults.epoch(daemon);
        let waiting = Waiting {
            daemon,
            epoch,
            team,
            units,
            number,
            arrived: now,
            sent_at: now,
            is_deferred: verdict == Some(Verdict::Later),
            has_room,
        };
        match verdict {
            _ if is_lent => self.record_admitted(&waiting),
            Some(Verdict::Later) | None => self.waiting.push(waiting),
            Some(verdict) => self.end(&waiting, verdict),
        }
    }

    /// Handles replies, retries quota requests, and uses lent units where no reply arrives.
    fn process_waiting(&mut self) {
        let now = self.now();
        for mut w in std::mem::take(&mut self.waiting) {
            if self.daemon_faults.epoch(w.daemon) != w.epoch {
                continue;
            }
            let node = &self.network.nodes[w.daemon];
            if !node.runs_at(now) {
                self.waiting.push(w);
                continue;
            }
            let reply = node.state.pending_quotas().verdict(w.number);
            if let Some(verdict) = reply.filter(|verdict| *verdict != Verdict::Later) {
                self.end(&w, verdict);
                continue;
            }
            if now.since(w.sent_at) < REPLY_TIMEOUT {
                self.waiting.push(w);
                continue;
            }
            let draw = self.rng.random();
            let was_deferred = reply.is_some() || w.is_deferred;
            (w.is_deferred, w.sent_at) = (false, now);
            node.state.pending_quotas().clear_verdict(w.number);
            if !was_deferred
                && node.state.pending_quotas().take_lent(&name(w.team), w.units, draw, now)
            {
                node.state.pending_quotas().end(w.number);
                self.record_admitted(&w);
                continue;
            }
            let unanswered_for = node.state.pending_quotas().unanswered_for(now);
            if now.since(w.arrived) >= share::SHARE_LIFETIME || unanswered_for >= MAX_PLANNER_OUTAGE
            {
                node.state.pending_quotas().end(w.number);
                self.record_refused(&w);
                continue;
            }
            match node.peer_node.request_quota(w.number, &name(w.team), w.units) {
                Some(Verdict::Later) => {
                    w.is_deferred = true;
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
        let mut pending = node.state.pending_quotas();
        pending.end(w.number);
        match verdict {
            Verdict::Granted => {
                pending.deduct_granted(&name(w.team), w.units, now);
                drop(pending);
                // Some requests find no target and do not run; their units are given back.
                if self.rng.random_bool(0.1) {
                    let node = &self.network.nodes[w.daemon];
                    let (team, taken) = (name(w.team), w.arrived);
                    node.state.pending_quotas().give_back(&team, w.units, taken, now);
                } else {
                    self.record_admitted(w);
                }
            }
            Verdict::Over { .. } | Verdict::Later => {
                drop(pending);
                self.record_refused(w);
            }
        }
    }

    fn count_within(&mut self, w: &Waiting, is_refused: bool) {
        let is_hot = self.actions.hot.is_some_and(|(hot, _)| hot == w.team);
        if self.must_meet_bounds(w.daemon, w.arrived) && w.has_room && !is_hot {
            self.outcome.within_quota += 1;
            self.outcome.quota_refused += usize::from(is_refused);
        }
    }

    fn record_refused(&mut self, w: &Waiting) {
        self.count_within(w, true);
    }

    /// Counts an admitted request as of its arrival, and checks the window.
    fn record_admitted(&mut self, w: &Waiting) {
        self.count_within(w, false);
        let now = self.now();
        let fullest = self.ledgers[w.team].admit(w.arrived, w.units, now);
        self.outcome.max_window_use = self.outcome.max_window_use.max(fullest);
        if fullest > 1.0 {
            let what = format!("team {} used {fullest:.2} of what a window allows", w.team);
            self.outcome.violations.push(what);
        }
    }
}

impl Ledger {
    /// Returns whether a single token bucket has enough units, and takes them from it.
    fn has_room(&mut self, units: f64, now: Time) -> bool {
        let filled = self.bucket + self.rate * now.since(self.refilled_at).as_secs_f64();
        self.bucket = filled.min(self.rate);
        self.refilled_at = now;
        let has_room = self.bucket >= units;
        if has_room {
            self.bucket -= units;
        }
        has_room
    }

    /// Counts a request sent at `sent`; returns the use of the window that ends now, as a share of
    /// its limit. The window counts requests that were both sent and admitted within it.
    fn admit(&mut self, sent: Time, units: f64, now: Time) -> f64 {
        self.admitted.push_back(Admitted { sent, at: now, units });
        while self.admitted.front().is_some_and(|p| now.since(p.at) > WINDOW) {
            self.admitted.pop_front();
        }
        let within = self.admitted.iter().filter(|p| now.since(p.sent) <= WINDOW);
        let sum: f64 = within.map(|p| p.units).sum();
        let (former, until) = self.former_rate;
        let rate = if now < until { self.rate.max(former) } else { self.rate };
        let limit = (rate * WINDOW.as_secs_f64() + rate) * (1.0 + OVERSHOOT) + SLACK;
        sum / limit
    }
}

fn name(team: usize) -> TeamName {
    TeamName::new(format!("team{team}"))
}
