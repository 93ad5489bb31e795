//! Requests in progress: they select a target, wait for a permit, are sent and get a response.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName},
};
use tansyknot_fleet::{
    backpressure::{
        PermitRequest, Permits, RunOutcome, SignalField, Signals,
        pending::{Permit, Progress},
    },
    fleet::{CacheNeed, Pick, TargetRequirements},
    poison::key::RunKey,
    target::Target,
};

use super::{
    MIN_UNDISTURBED, Simulation,
    target_run::{Arrival, TargetRun},
};

/// The interval at which a waiting request tries to select a target.
const SELECTION_INTERVAL: Duration = Duration::from_millis(50);

/// A request that waits for a target.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) daemon: usize,
    pub(super) epoch: u64,
    pub(super) model: ModelName,
    pub(super) priority: u8,
    pub(super) until: Time,
    pub(super) permit_request: Option<(u32, RunKey)>,
    pub(super) permit: Option<Permit>,
    pub(super) next_try_at: Time,
    pub(super) seen_changes: u64,
    pub(super) tried: Vec<TargetName>,
}

/// The progress of a request that has a target.
#[derive(Clone, Copy, Debug)]
pub(super) enum Stage {
    /// The connection is being opened.
    Connecting,
    /// The request is on its way.
    Sent,
    /// The target prepares the head of its response.
    Responding,
    /// The head, written at this time, is on its way.
    Responded(Signals, RunOutcome, Time),
}

#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) req: Request,
    pub(super) target: Arc<Target>,
    pub(super) began: Time,
    pub(super) stage: Stage,
    pub(super) next_at: Time,
}

pub(super) enum Found {
    Target(Arc<Target>),
    NoTarget,
    /// No permit becomes available in time.
    NotInTime,
}

impl Simulation {
    pub(super) fn add_request(&mut self) {
        if !self.occurs(self.requests_per_s) {
            return;
        }
        let daemon = self.rng.random_range(0..self.daemon_faults.len());
        let model = if self.rng.random_bool(0.5) { "m9" } else { "m0" };
        let now = self.now();
        let until = now + self.random_duration(800..4000);
        self.result.requests += 1;
        self.waiting.push(Request {
            daemon,
            epoch: self.daemon_faults.epoch(daemon),
            model: ModelName::from(model),
            priority: self.rng.random_range(0..4),
            until,
            permit_request: None,
            permit: None,
            next_try_at: now,
            seen_changes: 0,
            tried: Vec::new(),
        });
    }

    pub(super) fn has_same_daemon_run(&self, req: &Request) -> bool {
        self.daemon_faults.epoch(req.daemon) == req.epoch
    }

    pub(super) fn try_waiting(&mut self) {
        let now = self.now();
        for mut req in std::mem::take(&mut self.waiting) {
            if !self.has_same_daemon_run(&req) {
                continue;
            }
            let node = &self.network.nodes[req.daemon];
            let seen_changes = node.state.targets_changed.count();
            let is_idle = now < req.next_try_at && seen_changes == req.seen_changes;
            if is_idle || !node.runs_at(now) {
                self.waiting.push(req);
                continue;
            }
            (req.seen_changes, req.next_try_at) = (seen_changes, now + SELECTION_INTERVAL);
            if now >= req.until {
                self.give_up(&mut req, now);
                continue;
            }
            match self.find_target(&mut req, now) {
                Found::Target(target) => self.connect(req, target, now),
                Found::NoTarget => self.waiting.push(req),
                Found::NotInTime => self.give_up(&mut req, now),
            }
        }
    }

    pub(super) fn find_target(&mut self, req: &mut Request, now: Time) -> Found {
        let state = Arc::clone(&self.network.nodes[req.daemon].state);
        let service = ServiceName::from("s");
        let requirements = TargetRequirements {
            service: &service,
            model: Some(&req.model),
            adapter: None,
            prefix: None,
            zones: None,
            cache: CacheNeed::default(),
            origin: None,
        };
        let pick = state.fleet().pick(&requirements, &req.tried, now, &mut self.rng);
        let found = match pick {
            Pick::Target(target) => Found::Target(target),
            Pick::Limited { target, available_at } => {
                match self.request_permit(req, &target, now) {
                    Progress::Granted(permit) => {
                        req.permit = Some(permit);
                        state.fleet().begin_request(&target.name, Some(&req.model), 0, now);
                        Found::Target(target)
                    }
                    Progress::Waiting { expected: Some(at) }
                        if at > req.until && available_at.is_none_or(|at| at > req.until) =>
                    {
                        Found::NotInTime
                    }
                    Progress::Waiting { .. } | Progress::SendDue => return Found::NoTarget,
                }
            }
            _ => Found::NoTarget,
        };
        self.end_permit_request(req);
        found
    }

    pub(super) fn request_permit(&self, req: &mut Request, target: &Target, now: Time) -> Progress {
        let node = &self.network.nodes[req.daemon];
        let run = RunKey::of(target);
        if req.permit_request.is_some_and(|(_, of)| of != run) {
            self.end_permit_request(req);
        }
        let (number, _) =
            *req.permit_request.get_or_insert_with(|| (node.state.permits().begin(run), run));
        let progress = node.state.permits().progress(number, now);
        if progress == Progress::SendDue {
            let (priority, time_left) = (req.priority, req.until.since(now));
            node.peer_node.request(PermitRequest { number, run, priority, time_left });
        }
        node.state.permits().progress(number, now)
    }

    pub(super) fn end_permit_request(&self, req: &mut Request) {
        let Some((number, run)) = req.permit_request.take() else { return };
        let node = &self.network.nodes[req.daemon];
        let is_pending = node.state.permits().end(number);
        if is_pending {
            node.peer_node.cancel(number, run);
        }
    }

    pub(super) fn give_up(&mut self, req: &mut Request, now: Time) {
        self.end_permit_request(req);
        let fleet = self.network.nodes[req.daemon].state.fleet();
        let is_listed = |entry: &Target| {
            fleet.target(&entry.name).is_some_and(|t| t.started_at == entry.started_at)
        };
        let is_candidate = |a: &&TargetRun| {
            a.is_unrestricted(now) && a.entry.holds(&req.model, None) && is_listed(&a.entry)
        };
        let candidate = self.target_runs.iter().find(is_candidate);
        let is_stable = now.since(self.store_unavailable_until) >= MIN_UNDISTURBED;
        if is_stable
            && self.daemon_faults.is_undisturbed(req.daemon, MIN_UNDISTURBED, now)
            && let Some(candidate) = candidate
        {
            let (n, name) = (req.daemon, &candidate.entry.name);
            self.result
                .violations
                .push(format!("d{n} rejects a request though {name} is unrestricted"));
        }
    }

    pub(super) fn connect(&mut self, req: Request, target: Arc<Target>, now: Time) {
        let next_at = now + self.random_duration(1..40);
        self.flights.push(Flight { req, target, began: now, stage: Stage::Connecting, next_at });
    }

    pub(super) fn advance_flights(&mut self) {
        let now = self.now();
        for flight in std::mem::take(&mut self.flights) {
            if now < flight.next_at {
                self.flights.push(flight);
            } else if self.has_same_daemon_run(&flight.req) {
                self.advance(flight, now);
            }
        }
    }

    pub(super) fn advance(&mut self, mut flight: Flight, now: Time) {
        let node = &self.network.nodes[flight.req.daemon];
        let run = RunKey::of(&flight.target);
        let is_running = node.runs_at(now);
        match flight.stage {
            Stage::Connecting | Stage::Responded(..) if !is_running => self.flights.push(flight),
            Stage::Connecting => {
                let may_send = node.state.fleet().may_send(&flight.target, flight.req.permit, now);
                if !may_send {
                    return self.retry(flight, now);
                }
                self.check_send_allowed(&flight.req, run, now);
                flight.stage = Stage::Sent;
                flight.next_at = now + self.random_duration(1..30);
                self.flights.push(flight);
            }
            Stage::Sent => {
                let is_undisturbed =
                    self.daemon_faults.is_undisturbed(flight.req.daemon, MIN_UNDISTURBED, now);
                let target_run = self.target_runs.iter_mut().find(|a| RunKey::of(&a.entry) == run);
                let Some(target_run) = target_run else { return self.unreachable(flight, now) };
                target_run.arrivals.push(Arrival { at: now, must_meet_bounds: is_undisturbed });
                flight.stage = Stage::Responding;
                flight.next_at = now + self.random_duration(1..150);
                self.flights.push(flight);
            }
            Stage::Responding => {
                let target_run = self.target_runs.iter().find(|a| RunKey::of(&a.entry) == run);
                let Some(target_run) = target_run else { return self.unreachable(flight, now) };
                let mut signals = target_run.signals();
                let mut outcome = RunOutcome::Ran;
                if now < target_run.rejects_until {
                    signals.retry_delay = SignalField::Value(target_run.rejects_until.since(now));
                    outcome = RunOutcome::NotRun;
                }
                if self.rng.random_bool(self.faults.malformed) {
                    signals.limit = SignalField::Malformed;
                }
                if self.rng.random_bool(self.faults.malformed) {
                    signals.leaving = SignalField::Malformed;
                }
                flight.stage = Stage::Responded(signals, outcome, now);
                flight.next_at = now + self.random_duration(1..150);
                self.flights.push(flight);
            }
            Stage::Responded(signals, outcome, written) => {
                self.receive_response(&flight, &signals, outcome, written, now);
                if outcome == RunOutcome::NotRun {
                    self.waiting.push(Request { permit: None, next_try_at: now, ..flight.req });
                }
            }
        }
    }

    /// Handles a target that has gone.
    pub(super) fn unreachable(&mut self, mut flight: Flight, now: Time) {
        let state = &self.network.nodes[flight.req.daemon].state;
        state.fleet().record_unreachable(&flight.target.name, now);
        flight.req.tried.push(flight.target.name.clone());
        self.retry(flight, now);
    }

    pub(super) fn retry(&mut self, flight: Flight, now: Time) {
        let Flight { req, target, .. } = flight;
        self.network.nodes[req.daemon].state.fleet().end_request(&target.name, Some(&req.model), 0);
        self.waiting.push(Request { permit: None, next_try_at: now, ..req });
    }
}
