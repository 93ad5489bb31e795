//! A simulation of daemons and targets whose zones operators drain and return, and that warm up at
//! any moment, with faults drawn from a seed, in virtual time.

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName, ZoneName},
};
use tansyknot_fleet::{
    backpressure::{
        PermitRequest, Permits, Rate,
        pending::{Permit, Progress},
    },
    fleet::{CacheNeed, Pick, TargetRequirements, warm_up::WarmUpPolicy},
    poison::key::RunKey,
    target::{StartTime, Target},
};

use super::{catalog, daemon_faults::DaemonFaults, network::Network, target};

const STEP: Duration = Duration::from_millis(5);
/// Daemons that have been undisturbed for this long must meet the bounds.
const MIN_UNDISTURBED: Duration = Duration::from_secs(3);
/// No request may arrive in a drained zone later than this: the bound on the configuration.
const DRAIN_WITHIN: Duration = Duration::from_secs(2);
const WARM_UP_PER_S: f64 = 9.5;
const WARM_UP: Duration = Duration::from_secs(3);
/// What a target that warms up tolerates within one second, over all daemons.
const MAX_WITHIN_SECOND: usize = 19;
const HEARTBEAT: Duration = Duration::from_millis(1200);
const START_UP: Duration = Duration::from_secs(6);
const ZONES: [&str; 3] = ["z0", "z1", "z2"];
const TARGETS: usize = 9;
const SELECTION_INTERVAL: Duration = Duration::from_millis(50);

/// Events per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    /// Zones that are drained, or returned with targets that warm up.
    pub(crate) drains: f64,
    /// Targets that are replaced by new ones.
    pub(crate) starts: f64,
    /// Restarts, freezes and store disconnections of single daemons.
    pub(crate) daemons: f64,
    /// The same of the planner.
    pub(crate) planner: f64,
    /// Simultaneous restarts of all daemons.
    pub(crate) full_restarts: f64,
    /// The share of datagrams that are lost, and the bound on their random extra delay in
    /// milliseconds.
    pub(crate) loss: f64,
    pub(crate) jitter: u64,
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunResult {
    pub(crate) violations: Vec<String>,
    pub(crate) requests: usize,
    pub(crate) served: usize,
    pub(crate) refused: usize,
    /// The most requests that a target received in one second of a warm-up.
    pub(crate) fullest: usize,
    /// How long after a drain undisturbed daemons last sent there.
    pub(crate) latest_send: Duration,
}

/// A target, when its zone may receive requests, and what it received.
struct TargetRun {
    entry: Target,
    warm_at: Time,
    written_at: Time,
    arrivals: Vec<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Drain {
    since: Time,
    until: Time,
}

struct Request {
    daemon: usize,
    epoch: u64,
    model: ModelName,
    until: Time,
    next_try_at: Time,
    permit_request: Option<(u32, RunKey)>,
    permit: Option<Permit>,
}

struct Flight {
    req: Request,
    target: Arc<Target>,
    /// Whether the first byte has been sent.
    is_sent: bool,
    next_at: Time,
}

pub(crate) struct Simulation {
    network: Network,
    rng: StdRng,
    faults: Faults,
    daemon_faults: DaemonFaults,
    targets: Vec<TargetRun>,
    starts: u64,
    /// The drain of each zone.
    drained: [Option<Drain>; ZONES.len()],
    waiting: Vec<Request>,
    flights: Vec<Flight>,
    result: RunResult,
}

impl Simulation {
    pub(crate) fn new(seed: u64, daemons: usize, faults: Faults) -> Self {
        let mut network = Network::new(daemons, 0, Duration::from_secs(2));
        network.rng = StdRng::seed_from_u64(seed);
        (network.loss, network.jitter) = (faults.loss, faults.jitter);
        let mut catalog = catalog();
        let rate = Rate::new(WARM_UP_PER_S).expect("the rate is valid");
        for service in catalog.services.values_mut() {
            service.warm_up = Some(WarmUpPolicy { rate, duration: WARM_UP });
            // Orders run in threads of their own, which would advance the simulation's clock.
            service.engine = None;
        }
        network.store.configure(catalog);
        let mut sim = Self {
            network,
            rng: StdRng::seed_from_u64(seed),
            faults,
            daemon_faults: DaemonFaults::new(daemons),
            targets: Vec::new(),
            starts: 0,
            drained: [None; ZONES.len()],
            waiting: Vec::new(),
            flights: Vec::new(),
            result: RunResult::default(),
        };
        for n in 0..TARGETS {
            let run = sim.start(n, Duration::ZERO);
            sim.targets.push(run);
        }
        sim
    }

    /// Runs for `duration` after a start without faults; returns the results.
    pub(crate) fn run(mut self, duration: Duration) -> RunResult {
        self.network.run(START_UP);
        let begin = self.now();
        while self.now() < begin + duration {
            self.network.run(STEP);
            self.disturb();
            self.add_request();
            self.try_waiting();
            self.advance_flights();
        }
        (0..TARGETS).for_each(|n| self.check_rate(n));
        self.result
    }

    fn now(&self) -> Time {
        self.network.now()
    }

    fn occurs(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn start(&mut self, n: usize, warm_up_left: Duration) -> TargetRun {
        self.starts += 1;
        let model = if n < ZONES.len() { "m1" } else { "m0" };
        let entry = Target {
            started_at: Some(StartTime(self.starts)),
            zone: ZoneName::from(ZONES[n % ZONES.len()]),
            slots: 32,
            warm_up_left,
            ..target(&format!("t{}", self.starts), &[model], &[])
        };
        self.network.store.put(entry.clone());
        let now = self.now();
        TargetRun { entry, warm_at: now + warm_up_left, written_at: now, arrivals: Vec::new() }
    }

    fn disturb(&mut self) {
        let now = self.now();
        if self.occurs(self.faults.drains) {
            self.drain_a_zone(now);
        }
        for zone in 0..ZONES.len() {
            if self.drained[zone].take_if(|drain| now >= drain.until).is_some() {
                self.return_zone(zone);
            }
        }
        if self.occurs(self.faults.starts) {
            let n = self.rng.random_range(0..TARGETS);
            self.check_rate(n);
            self.network.store.remove(&TargetName::from(self.targets[n].entry.name.as_str()));
            self.targets[n] = self.start(n, WARM_UP);
        }
        self.write_entries(now);
        if self.occurs(self.faults.daemons) {
            let n = self.rng.random_range(0..self.daemon_faults.len());
            self.daemon_faults.disturb(n, 300..4000, &mut self.network, &mut self.rng);
        }
        if self.occurs(self.faults.planner)
            && let Some(n) = self.daemon_faults.planner(&self.network)
        {
            self.daemon_faults.disturb(n, 300..4000, &mut self.network, &mut self.rng);
        }
        if self.occurs(self.faults.full_restarts) {
            self.daemon_faults.restart_all(&mut self.network);
        }
        self.daemon_faults.update_store_access(Time::default(), &self.network);
    }

    /// Drains a zone for some seconds; seldom the last one that is left.
    fn drain_a_zone(&mut self, now: Time) {
        let zone = self.rng.random_range(0..ZONES.len());
        let left = self.drained.iter().filter(|drain| drain.is_none()).count();
        if self.drained[zone].is_some() || (left == 1 && !self.rng.random_bool(0.1)) {
            return;
        }
        let until = now + Duration::from_millis(self.rng.random_range(1500..8000));
        self.drained[zone] = Some(Drain { since: now, until });
        self.network.store.set_drained(ZONES[zone], true);
    }

    /// Returns a zone, whose targets warm up; half of the time their entries show it only with
    /// their next heartbeat.
    fn return_zone(&mut self, zone: usize) {
        let now = self.now();
        let is_shown_at_once = self.rng.random_bool(0.5);
        for n in (0..TARGETS).filter(|n| n % ZONES.len() == zone) {
            self.check_rate(n);
            let run = &mut self.targets[n];
            run.arrivals.clear();
            run.warm_at = now + WARM_UP;
            if is_shown_at_once {
                run.written_at = Time::default();
            }
        }
        self.write_entries(now);
        self.network.store.set_drained(ZONES[zone], false);
    }

    fn write_entries(&mut self, now: Time) {
        for run in self.targets.iter_mut().filter(|run| now.since(run.written_at) >= HEARTBEAT) {
            run.written_at = now;
            run.entry.warm_up_left = run.warm_at.since(now);
            self.network.store.put(run.entry.clone());
        }
    }

    fn add_request(&mut self) {
        if !self.occurs(40.0) {
            return;
        }
        let now = self.now();
        let daemon = self.rng.random_range(0..self.daemon_faults.len());
        let model = if self.rng.random_bool(0.3) { "m1" } else { "m0" };
        self.result.requests += 1;
        self.waiting.push(Request {
            daemon,
            epoch: self.daemon_faults.epoch(daemon),
            model: ModelName::from(model),
            until: now + Duration::from_millis(self.rng.random_range(500..3000)),
            next_try_at: now,
            permit_request: None,
            permit: None,
        });
    }

    fn is_same_run(&self, req: &Request) -> bool {
        self.daemon_faults.epoch(req.daemon) == req.epoch
    }

    fn try_waiting(&mut self) {
        let now = self.now();
        for mut req in std::mem::take(&mut self.waiting) {
            if !self.is_same_run(&req) {
                continue;
            }
            if now < req.next_try_at || !self.network.nodes[req.daemon].runs_at(now) {
                self.waiting.push(req);
                continue;
            }
            req.next_try_at = now + SELECTION_INTERVAL;
            if now >= req.until {
                self.end_permit_request(&mut req);
                self.result.refused += 1;
                continue;
            }
            match self.find_target(&mut req, now) {
                Some(target) => self.connect(req, target, now),
                None => self.waiting.push(req),
            }
        }
    }

    fn find_target(&mut self, req: &mut Request, now: Time) -> Option<Arc<Target>> {
        let state = Arc::clone(&self.network.nodes[req.daemon].state);
        let service = ServiceName::from("s");
        let want = TargetRequirements {
            service: &service,
            model: Some(&req.model),
            adapter: None,
            prefix: None,
            zones: None,
            cache: CacheNeed::default(),
            origin: None,
        };
        let pick = state.fleet().pick(&want, &[], now, &mut self.rng);
        let found = match pick {
            Pick::Target(target) => Some(target),
            Pick::Limited { target, .. } => match self.request_permit(req, &target, now) {
                Progress::Granted(permit) => {
                    req.permit = Some(permit);
                    state.fleet().begin_request(&target.name, Some(&req.model), 0, now);
                    Some(target)
                }
                Progress::Waiting { .. } | Progress::SendDue => return None,
            },
            _ => None,
        };
        self.end_permit_request(req);
        found
    }

    fn request_permit(&self, req: &mut Request, target: &Target, now: Time) -> Progress {
        let node = &self.network.nodes[req.daemon];
        let run = RunKey::of(target);
        if req.permit_request.is_some_and(|(_, of)| of != run) {
            self.end_permit_request(req);
        }
        let begin = || (node.state.permits().begin(run), run);
        let (number, _) = *req.permit_request.get_or_insert_with(begin);
        if node.state.permits().progress(number, now) == Progress::SendDue {
            let time_left = req.until.since(now);
            node.peer_node.request(PermitRequest { number, run, priority: 0, time_left });
        }
        node.state.permits().progress(number, now)
    }

    fn end_permit_request(&self, req: &mut Request) {
        let Some((number, run)) = req.permit_request.take() else { return };
        let node = &self.network.nodes[req.daemon];
        let is_pending = node.state.permits().end(number);
        if is_pending {
            node.peer_node.cancel(number, run);
        }
    }

    fn connect(&mut self, req: Request, target: Arc<Target>, now: Time) {
        let next_at = now + Duration::from_millis(self.rng.random_range(1..20));
        self.flights.push(Flight { req, target, is_sent: false, next_at });
    }

    fn advance_flights(&mut self) {
        let now = self.now();
        for flight in std::mem::take(&mut self.flights) {
            if now < flight.next_at {
                self.flights.push(flight);
            } else if self.is_same_run(&flight.req) {
                self.advance(flight, now);
            }
        }
    }

    fn advance(&mut self, mut flight: Flight, now: Time) {
        let node = &self.network.nodes[flight.req.daemon];
        if !node.runs_at(now) {
            return self.flights.push(flight);
        }
        let run = RunKey::of(&flight.target);
        let arrived = self.targets.iter().position(|t| RunKey::of(&t.entry) == run);
        if flight.is_sent {
            let (name, model) = (&flight.target.name, &flight.req.model);
            node.state.fleet().end_request(name, Some(model), 0);
            self.result.served += usize::from(arrived.is_some());
            return;
        }
        let may_send = {
            let fleet = node.state.fleet();
            !fleet.zone_drains().contains(&flight.target.zone)
                && fleet.may_send(&flight.target, flight.req.permit, now)
        };
        if !may_send {
            node.state.fleet().end_request(&flight.target.name, Some(&flight.req.model), 0);
            return self.waiting.push(Request { permit: None, next_try_at: now, ..flight.req });
        }
        if let Some(n) = arrived {
            self.arrive(n, flight.req.daemon, now);
        }
        flight.is_sent = true;
        flight.next_at = now + Duration::from_millis(self.rng.random_range(50..400));
        self.flights.push(flight);
    }

    fn arrive(&mut self, n: usize, daemon: usize, now: Time) {
        self.targets[n].arrivals.push(now);
        let Some(Drain { since, .. }) = self.drained[n % ZONES.len()] else { return };
        if !self.daemon_faults.is_undisturbed(daemon, MIN_UNDISTURBED, now) {
            return;
        }
        let late = now.since(since);
        self.result.latest_send = self.result.latest_send.max(late);
        if late > DRAIN_WITHIN {
            self.result.violations.push(format!("d{daemon} sends {late:?} after its zone drained"));
        }
    }

    /// Checks what a target received while it warmed up.
    fn check_rate(&mut self, n: usize) {
        let run = &self.targets[n];
        let from = run.warm_at.saturating_sub(WARM_UP);
        let within: Vec<Time> =
            run.arrivals.iter().copied().filter(|at| *at >= from && *at < run.warm_at).collect();
        let second = |k: usize| {
            within[k..].iter().filter(|at| at.since(within[k]) < Duration::from_secs(1)).count()
        };
        let fullest = (0..within.len()).map(second).max().unwrap_or(0);
        self.result.fullest = self.result.fullest.max(fullest);
        if fullest > MAX_WITHIN_SECOND {
            let name = &run.entry.name;
            let what = format!("{name} received {fullest} in one second of its warm-up");
            self.result.violations.push(what);
        }
    }
}
