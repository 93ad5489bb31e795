//! Requests on their way: they look for a target, wait for their turn, are sent and answered.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tansyknot_core::{
    clock::Time,
    name::{ModelName, ServiceName, TargetName},
};
use tansyknot_fleet::{
    backpressure::{
        Outcome, PermitRequest, Permits, SignalField, Signals,
        pending::{Permit, Progress},
    },
    fleet::{Pick, TargetRequirements},
    poison::key::RunKey,
    target::Target,
};

use super::{
    CONTACT, Simulation,
    actor::{Actor, Arrival},
};

/// How often a request looks again that waits.
const LOOK: Duration = Duration::from_millis(50);

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) daemon: usize,
    pub(super) epoch: u64,
    pub(super) model: ModelName,
    pub(super) priority: u8,
    pub(super) until: Time,
    pub(super) asking: Option<(u32, RunKey)>,
    pub(super) permit: Option<Permit>,
    pub(super) look_at: Time,
    pub(super) seen: u64,
    pub(super) tried: Vec<TargetName>,
}

/// How far a request has come that has a target.
#[derive(Clone, Copy, Debug)]
pub(super) enum Stage {
    /// The connection opens.
    Connects,
    /// The request is on its way.
    Sent,
    /// The target writes the head of its answer.
    Writes,
    /// The head is on its way that was written at this time.
    Answered(Signals, Outcome, Time),
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
    Nothing,
    /// No turn comes in time.
    InVain,
}

impl Simulation {
    pub(super) fn ask(&mut self) {
        if !self.happens(self.asked_per_s) {
            return;
        }
        let daemon = self.rng.random_range(0..self.hosts.len());
        let model = if self.rng.random_bool(0.5) { "m9" } else { "m0" };
        let now = self.now();
        let until = now + self.span(800..4000);
        self.result.requests += 1;
        self.waiting.push(Request {
            daemon,
            epoch: self.hosts.epoch(daemon),
            model: ModelName::from(model),
            priority: self.rng.random_range(0..4),
            until,
            asking: None,
            permit: None,
            look_at: now,
            seen: 0,
            tried: Vec::new(),
        });
    }

    pub(super) fn is_there(&self, req: &Request) -> bool {
        self.hosts.epoch(req.daemon) == req.epoch
    }

    pub(super) fn look(&mut self) {
        let now = self.now();
        for mut req in std::mem::take(&mut self.waiting) {
            if !self.is_there(&req) {
                continue;
            }
            let node = &self.network.nodes[req.daemon];
            let seen = node.state.targets_changed.count();
            let is_idle = now < req.look_at && seen == req.seen;
            if is_idle || !node.runs_at(now) {
                self.waiting.push(req);
                continue;
            }
            (req.seen, req.look_at) = (seen, now + LOOK);
            if now >= req.until {
                self.give_up(&mut req, now);
                continue;
            }
            match self.find_target(&mut req, now) {
                Found::Target(target) => self.connect(req, target, now),
                Found::Nothing => self.waiting.push(req),
                Found::InVain => self.give_up(&mut req, now),
            }
        }
    }

    pub(super) fn find_target(&mut self, req: &mut Request, now: Time) -> Found {
        let state = Arc::clone(&self.network.nodes[req.daemon].state);
        let service = ServiceName::from("s");
        let want = TargetRequirements {
            service: &service,
            model: Some(&req.model),
            adapter: None,
            prefix: None,
        };
        let pick = state.fleet().pick(&want, &req.tried, now, &mut self.rng);
        let found = match pick {
            Pick::Target(target) => Found::Target(target),
            Pick::Limited { target, available_at } => match self.turn(req, &target, now) {
                Progress::Granted(permit) => {
                    req.permit = Some(permit);
                    state.fleet().begin_request(&target.name, Some(&req.model), now);
                    Found::Target(target)
                }
                Progress::Waiting { expected: Some(at) }
                    if at > req.until && available_at.is_none_or(|at| at > req.until) =>
                {
                    Found::InVain
                }
                Progress::Waiting { .. } | Progress::SendDue => return Found::Nothing,
            },
            _ => Found::Nothing,
        };
        self.end_asking(req);
        found
    }

    pub(super) fn turn(&self, req: &mut Request, target: &Target, now: Time) -> Progress {
        let node = &self.network.nodes[req.daemon];
        let run = RunKey::of(target);
        if req.asking.is_some_and(|(_, of)| of != run) {
            self.end_asking(req);
        }
        let (number, _) = *req.asking.get_or_insert_with(|| (node.state.permits().begin(run), run));
        let progress = node.state.permits().progress(number, now);
        if progress == Progress::SendDue {
            let (priority, left) = (req.priority, req.until.since(now));
            node.conductor.request(PermitRequest { number, run, priority, left });
        }
        node.state.permits().progress(number, now)
    }

    pub(super) fn end_asking(&self, req: &mut Request) {
        let Some((number, run)) = req.asking.take() else { return };
        let node = &self.network.nodes[req.daemon];
        let is_unanswered = node.state.permits().end(number);
        if is_unanswered {
            node.conductor.cancel(number, run);
        }
    }

    pub(super) fn give_up(&mut self, req: &mut Request, now: Time) {
        self.end_asking(req);
        let fleet = self.network.nodes[req.daemon].state.fleet();
        let is_listed = |entry: &Target| {
            fleet.target(&entry.name).is_some_and(|t| t.started_at == entry.started_at)
        };
        let is_sound =
            |a: &&Actor| a.is_sound(now) && a.entry.holds(&req.model, None) && is_listed(&a.entry);
        let sound = self.actors.iter().find(is_sound);
        let is_stable = now.since(self.store_until) >= CONTACT;
        if is_stable
            && self.hosts.is_sound(req.daemon, CONTACT, now)
            && let Some(sound) = sound
        {
            let (n, name) = (req.daemon, &sound.entry.name);
            self.result.broken.push(format!("d{n} rejects a request though {name} is sound"));
        }
    }

    pub(super) fn connect(&mut self, req: Request, target: Arc<Target>, now: Time) {
        let next_at = now + self.span(1..40);
        self.flights.push(Flight { req, target, began: now, stage: Stage::Connects, next_at });
    }

    pub(super) fn fly(&mut self) {
        let now = self.now();
        for flight in std::mem::take(&mut self.flights) {
            if now < flight.next_at {
                self.flights.push(flight);
            } else if self.is_there(&flight.req) {
                self.go_on(flight, now);
            }
        }
    }

    pub(super) fn go_on(&mut self, mut flight: Flight, now: Time) {
        let node = &self.network.nodes[flight.req.daemon];
        let run = RunKey::of(&flight.target);
        let is_running = node.runs_at(now);
        match flight.stage {
            Stage::Connects | Stage::Answered(..) if !is_running => self.flights.push(flight),
            Stage::Connects => {
                let may_send = node.state.fleet().may_send(run, flight.req.permit, now);
                if !may_send {
                    return self.look_again(flight, now);
                }
                self.check_told(&flight.req, run, now);
                flight.stage = Stage::Sent;
                flight.next_at = now + self.span(1..30);
                self.flights.push(flight);
            }
            Stage::Sent => {
                let is_held = self.hosts.is_sound(flight.req.daemon, CONTACT, now);
                let actor = self.actors.iter_mut().find(|a| RunKey::of(&a.entry) == run);
                let Some(actor) = actor else { return self.unreachable(flight, now) };
                actor.arrivals.push(Arrival { at: now, is_held_to_bounds: is_held });
                flight.stage = Stage::Writes;
                flight.next_at = now + self.span(1..150);
                self.flights.push(flight);
            }
            Stage::Writes => {
                let actor = self.actors.iter().find(|a| RunKey::of(&a.entry) == run);
                let Some(actor) = actor else { return self.unreachable(flight, now) };
                let mut signals = actor.signals();
                let mut outcome = Outcome::Ran;
                if now < actor.rests_until {
                    signals.retry_delay = SignalField::Value(actor.rests_until.since(now));
                    outcome = Outcome::NotRun;
                }
                if self.rng.random_bool(self.troubles.garbled) {
                    signals.limit = SignalField::Malformed;
                }
                if self.rng.random_bool(self.troubles.garbled) {
                    signals.leaving = SignalField::Malformed;
                }
                flight.stage = Stage::Answered(signals, outcome, now);
                flight.next_at = now + self.span(1..150);
                self.flights.push(flight);
            }
            Stage::Answered(signals, outcome, written) => {
                self.hear(&flight, &signals, outcome, written, now);
                if outcome == Outcome::NotRun {
                    self.waiting.push(Request { permit: None, look_at: now, ..flight.req });
                }
            }
        }
    }

    /// The target is not there any more.
    pub(super) fn unreachable(&mut self, mut flight: Flight, now: Time) {
        let state = &self.network.nodes[flight.req.daemon].state;
        state.fleet().record_unreachable(&flight.target.name, now);
        flight.req.tried.push(flight.target.name.clone());
        self.look_again(flight, now);
    }

    pub(super) fn look_again(&mut self, flight: Flight, now: Time) {
        let Flight { req, target, .. } = flight;
        self.network.nodes[req.daemon].state.fleet().end_request(&target.name, Some(&req.model));
        self.waiting.push(Request { permit: None, look_at: now, ..req });
    }
}
