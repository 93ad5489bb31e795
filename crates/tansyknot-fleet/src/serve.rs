//! The path of a request: route, pick a target, exchange, relay, account.

mod access;
mod attempt;
mod crash;
mod handover;
mod permit;
mod run;
mod sample;
mod signal;
mod wait;

use std::{io, net::TcpStream, sync::Arc, time::Duration};

use tansyknot_core::{
    clock::{BootInstant, Time},
    event, metric,
    name::ServiceName,
    telemetry::Recorder,
};
use tansyknot_http::{
    head::Head,
    respond::{self, After, Whole},
    server::{Handler, Lifecycle, Request},
};

use crate::{
    access::Quotas,
    backpressure::Permits,
    catalog::{Catalog, Route},
    exchange::Failure,
    outside::{Ask, Dialect},
    poison::key::RequestKey,
    relay::{CallerSide, EventRelay},
    state::State,
    target::Target,
};

use access::Asker;
pub use run::Reason;
use run::{Ended, NotRun, Refused, Run, Sent};
use sample::Sample;

/// The longest time that a request without one of its own may take.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Sends of one request, the first included.
const SENDS_MAX: u32 = 4;

/// Serves requests from the targets of the fleet.
pub struct Server {
    state: Arc<State>,
    dialect: Arc<dyn Dialect>,
    quotas: Arc<dyn Quotas>,
    permits: Arc<dyn Permits>,
    recorder: Arc<dyn Recorder>,
    lifecycle: Arc<Lifecycle>,
    floods: Sample,
    malformed: Sample,
}

impl Server {
    /// Makes a server on the shared state.
    pub fn new(
        state: Arc<State>,
        dialect: Arc<dyn Dialect>,
        quotas: Arc<dyn Quotas>,
        permits: Arc<dyn Permits>,
        recorder: Arc<dyn Recorder>,
        lifecycle: Arc<Lifecycle>,
    ) -> Self {
        let (floods, malformed) = (Sample::default(), Sample::default());
        Self { state, dialect, quotas, permits, recorder, lifecycle, floods, malformed }
    }

    /// Finds where a request goes, and whose it is.
    fn route(&self, head: &Head, ask: &Ask, arrived: Time) -> Result<Routed, Reason> {
        if self.lifecycle.is_ending() {
            return Err(Reason::Stopping);
        }
        let (catalog, view) = self.state.in_force();
        let catalog = catalog.ok_or(Reason::NoConfiguration)?;
        let host = head.header("host").unwrap_or("");
        let route = find_route(&catalog, host, &head.path).ok_or(Reason::NoRoute)?;
        let draw = xxhash_rust::xxh3::xxh3_64(ask.id.as_bytes());
        let service = route.service(draw).cloned().ok_or(Reason::NoRoute)?;
        let asker = self.identify(head, &route, &catalog, &view, arrived)?;
        Ok(Routed { route, service, asker })
    }

    /// Refuses a request before any target was looked for.
    fn refuse_on_arrival(
        &self,
        req: &Request,
        ask: &Ask,
        refused: Refused,
        stream: &mut TcpStream,
        after: After,
    ) -> io::Result<After> {
        let Refused { reason, come_back } = refused;
        if !reason.comes_in_floods() || self.floods.admits(self.state.now()) {
            self.log_refusal(req, ask, reason);
        }
        let of = ServiceName::from(reason.name());
        self.recorder.count(metric::REFUSED_ON_ARRIVAL.name, &of, 1);
        self.refuse(&ask.id, reason, come_back, stream, after)
    }

    fn log_refusal(&self, req: &Request, ask: &Ask, reason: Reason) {
        let (catalog, view) = self.state.in_force();
        let version = catalog.map_or(0, |c| c.version);
        let now = self.state.now();
        let keys_age = view.as_of(version).map(|at| now.since(at).as_millis());
        event::FLEET_REFUSED.emit(&[
            ("request", &ask.id),
            ("reason", &reason.name()),
            ("path", &req.head.path),
            ("config", &version),
            ("keys_age_ms", &keys_age.map_or_else(String::new, |ms| ms.to_string())),
        ]);
    }

    fn serve(&self, run: &mut Run<'_>) -> Ended {
        let now = self.state.now();
        if self.state.poison().is_convicted(run.key) {
            run.is_trial = self.state.begin_trial(run.key);
        }
        self.state.fleet().arrived(&run.want(), now);
        loop {
            let target = match self.next_target(run) {
                Ok(target) => target,
                Err(reason) => return self.give_up(run, reason),
            };
            let sent = self.send(run, &target);
            self.leave(run, &target);
            if matches!(sent, Sent::NotRun(NotRun::Withheld)) {
                // Nothing has gone there, and it may be chosen again once it takes requests.
                continue;
            }
            run.sends += 1;
            run.is_trial = false;
            run.tried.push(target.name.clone());
            match sent {
                Sent::Passed(status) => {
                    run.relay.finish();
                    return Ended::Answered { status, after: run.caller.after };
                }
                Sent::NotRun(_) => {}
                Sent::Failure(whole) => {
                    run.may_have_run = true;
                    run.fallback = Some(whole);
                    if !run.may_run_again() {
                        return self.give_up(run, Reason::TargetFailed);
                    }
                }
                Sent::MayHaveRun(Failure::CallerLeft) => return Ended::Cut(Reason::CallerLeft),
                Sent::MayHaveRun(_) => {
                    run.may_have_run = true;
                    if !run.may_run_again() {
                        return self.give_up(run, Reason::TargetFailed);
                    }
                }
            }
            if run.sends >= SENDS_MAX {
                return self.give_up(run, Reason::RefusedByTargets);
            }
        }
    }

    /// Ends a request with the best that is there: a target's own failure, or the reason.
    fn give_up(&self, run: &mut Run<'_>, reason: Reason) -> Ended {
        if reason == Reason::CallerLeft {
            return Ended::Cut(reason);
        }
        if run.relay.has_begun() {
            return Ended::Cut(Reason::StreamBroken);
        }
        if let Some(whole) = run.fallback.take() {
            return match write(run, &whole) {
                Ok(()) => Ended::Answered { status: whole.status, after: run.caller.after },
                Err(_) => Ended::Cut(Reason::CallerLeft),
            };
        }
        let is_late = BootInstant::now() >= run.give_up_at();
        Ended::Refused(match reason {
            _ if run.may_have_run && is_late => Reason::NoAnswerInTime,
            _ if run.may_have_run => Reason::TargetFailed,
            other => other,
        })
    }

    fn leave(&self, run: &Run<'_>, target: &Target) {
        self.state.fleet().leave(&target.name, run.ask.model.as_ref());
        self.state.targets_changed.raise();
    }

    /// Returns the target of the next send, which has been counted as a first one or a retry.
    fn next_target(&self, run: &mut Run<'_>) -> Result<Arc<Target>, Reason> {
        if let Some(target) = run.next.take() {
            return Ok(target);
        }
        let target = self.find_target(run)?;
        if run.sends == 0 {
            if !std::mem::replace(&mut run.is_counted, true) {
                self.state.count_first_send(&run.service);
            }
        } else if run.arrivals > 0 && !self.state.take_second_send(&run.service) {
            self.leave(run, &target);
            run.note(format_args!("retry budget empty"));
            return Err(Reason::RefusedByTargets);
        }
        Ok(target)
    }

    fn refuse(
        &self,
        id: &str,
        reason: Reason,
        come_back: Option<Duration>,
        stream: &mut TcpStream,
        after: After,
    ) -> io::Result<After> {
        let come_back = come_back.or_else(|| reason.retry_after(self.state.store_is_away()));
        let headers = self.dialect.refusal(id, come_back);
        let body = format!("{{\"reason\":\"{}\"}}", reason.name()).into_bytes();
        let content_type = "application/json".to_owned();
        let whole = Whole { status: reason.status(), content_type, headers, body };
        respond::write_whole(stream, &whole, after)?;
        Ok(after)
    }

    /// Takes a request that has ended into the figures of its route.
    fn measure(&self, run: &Run<'_>, outcome: &'static str, total: Duration) {
        let route = ServiceName::new(Arc::clone(&run.route.name));
        self.recorder.count(outcome, &route, 1);
        self.recorder.time(metric::REQUEST.name, &route, total);
        if let Some(first) = run.relay.first_at {
            self.recorder.time(metric::FIRST_EVENT.name, &route, first.duration_since(run.began));
            self.recorder.time(metric::GAP.name, &route, run.relay.longest_gap);
        }
        if !run.waited.is_zero() {
            self.recorder.time(metric::WAITED.name, &route, run.waited);
        }
        if run.sends > 1 {
            self.recorder.count(metric::SENDS_AGAIN.name, &route, u64::from(run.sends - 1));
        }
    }

    fn account(&self, run: &Run<'_>, ended: &Ended) {
        let total = run.began.elapsed();
        let outcome = match ended {
            Ended::Answered { status, .. } if *status < 400 => metric::ANSWERED.name,
            Ended::Answered { .. } => metric::TARGET_ERROR.name,
            Ended::Refused(reason) | Ended::Cut(reason) => reason.name(),
        };
        self.measure(run, outcome, total);
        let kind = match ended {
            Ended::Answered { status, .. } if *status < 400 => event::FLEET_ANSWERED,
            _ => event::FLEET_FAILED,
        };
        let version = self.state.catalog().map_or(0, |c| c.version);
        let first = run.relay.first_at.map(|at| at.duration_since(run.began).as_millis());
        let first_ms = first.map_or_else(String::new, |ms| ms.to_string());
        let model = run.ask.model.as_ref().map_or("", |m| m.as_str());
        let adapter = run.ask.adapter.as_ref().map_or("", |a| a.as_str());
        kind.emit(&[
            ("request", &run.ask.id),
            ("key", &run.key),
            ("route", &run.route.name),
            ("team", &run.asker.name()),
            ("config", &version),
            ("service", &run.service),
            ("model", &model),
            ("adapter", &adapter),
            ("outcome", &outcome),
            ("sends", &run.sends),
            ("runs", &run.runs),
            ("waited_ms", &run.waited.as_millis()),
            ("first_ms", &first_ms),
            ("gap_ms", &run.relay.longest_gap.as_millis()),
            ("events", &run.relay.events),
            ("total_ms", &total.as_millis()),
            ("trail", &run.trail),
        ]);
    }
}

/// Where a request goes, and whose it is.
struct Routed {
    route: Arc<Route>,
    service: ServiceName,
    asker: Asker,
}

fn find_route(catalog: &Catalog, host: &str, path: &str) -> Option<Arc<Route>> {
    if let Some(route) = catalog.route(host, path) {
        return Some(Arc::clone(route));
    }
    let (name, _) = host.split_once(':')?;
    catalog.route(name, path).cloned()
}

/// Writes a whole answer to the caller.
fn write(run: &Run<'_>, whole: &Whole) -> io::Result<()> {
    let mut stream = run.caller.stream.try_clone()?;
    respond::write_whole(&mut stream, whole, run.caller.after)
}

impl Handler for Server {
    fn handle(&self, req: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        let began = BootInstant::now();
        let ask = self.dialect.ask(&req.head);
        let Routed { route, service, asker } = match self.route(&req.head, &ask, self.state.now()) {
            Ok(routed) => routed,
            Err(reason) => {
                return self.refuse_on_arrival(&req, &ask, reason.into(), stream, after);
            }
        };
        let allowed = ask.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        let cost = match self.take_quota(&asker, &ask, allowed) {
            Ok(cost) => cost,
            Err(refused) => return self.refuse_on_arrival(&req, &ask, refused, stream, after),
        };
        let caller_stream = stream.try_clone()?;
        let caller = CallerSide { stream: &caller_stream, http_1_1: req.head.http_1_1, after };
        let mut run = Run {
            req: &req,
            key: RequestKey::of(&req),
            is_trial: false,
            ask,
            route,
            service,
            asker,
            cost,
            caller,
            began,
            until: began + allowed,
            is_counted: false,
            sends: 0,
            arrivals: 0,
            runs: 0,
            next: None,
            asking: None,
            permit: None,
            may_have_run: false,
            tried: Vec::new(),
            relay: EventRelay::default(),
            fallback: None,
            waited: Duration::ZERO,
            come_back: None,
            trail: String::new(),
        };
        let ended = self.serve(&mut run);
        self.settle(&run);
        self.account(&run, &ended);
        match ended {
            Ended::Answered { after, .. } => Ok(after),
            Ended::Refused(reason) => {
                let come_back = run.come_back.filter(|_| reason.status() == 503);
                self.refuse(&run.ask.id, reason, come_back, stream, after)
            }
            Ended::Cut(_) => Ok(After::Close),
        }
    }
}
