//! The path of a request: route, pick a target, exchange, relay, account.

use std::{
    fmt::Write as _,
    io,
    net::TcpStream,
    sync::Arc,
    time::{Duration, Instant},
};

use tansyknot_core::{
    clock::Time,
    event,
    name::{ServiceName, TargetName},
    telemetry::Recorder,
};
use tansyknot_http::{
    head::Head,
    presence,
    respond::{self, After, Whole},
    server::{Handler, Lifecycle, Request},
};

use crate::{
    catalog::{Catalog, Route},
    exchange::{AnswerHead, Exchange, Failure},
    fleet::{Pick, Want},
    outside::{Ask, Dialect, Forward, Verdict},
    relay::{self, CallerSide, EventRelay, Patience},
    state::State,
    target::Target,
};

/// How often a waiting request looks whether its caller has left.
const LOOK: Duration = Duration::from_millis(100);
/// A request is given up this long before its time is over, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// The longest time that a request without one of its own may take.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// Sends of one request, the first included.
const SENDS_MAX: u32 = 4;
/// A repeatable request is sent elsewhere after this many times its objective without an answer.
const FIRST_PATIENCE: f64 = 2.0;
/// The least time that a target has for the head of its answer or the first event.
const PATIENCE_LEAST: Duration = Duration::from_millis(400);
/// The share of the time left that a first attempt may take if there is another one.
const FIRST_SHARE: f64 = 0.5;
/// A stream that can go on elsewhere is cut after this many times its gap objective of silence.
const GAP_PATIENCE: f64 = 2.5;
/// The gap objective of a route that names none.
const DEFAULT_GAP: Duration = Duration::from_secs(1);
/// Callers leave a stream that is silent this long at least.
const LEAVE_LEAST: Duration = Duration::from_secs(2);
/// They leave a stream after this many times its objective, if that is longer.
const LEAVE_OBJECTIVES: u32 = 4;
/// They leave a stream after this many times its gap objective, if that is longer.
const LEAVE_GAPS: u32 = 8;
/// Kept back from the time after which a caller leaves: a first event has to be made.
const LEAVE_MARGIN: Duration = Duration::from_millis(100);
/// The share of its time that a request waits for a load that nobody has announced.
const UNANNOUNCED_SHARE: f64 = 0.5;
/// When to come back if no target was free in time.
const RETRY_LATER: Duration = Duration::from_millis(500);
/// When to come back to a daemon that has no configuration yet.
const RETRY_START: Duration = Duration::from_millis(300);

/// Why a request ends without a target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// The daemon stops and could not finish it in time.
    Stopping,
    /// No route has this host and path.
    NoRoute,
    /// Its time passed before a target could take it.
    NoTargetInTime,
    /// Targets refused it and no further send is allowed.
    RefusedByTargets,
    /// Its time passed while a target had it.
    NoAnswerInTime,
    /// Targets failed it, or its answer broke off before any of it was passed on.
    TargetFailed,
    /// Its stream broke off after a part was passed on.
    StreamBroken,
    /// The caller has left.
    CallerLeft,
}

impl Reason {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoConfiguration => "no_configuration",
            Reason::Stopping => "stopping",
            Reason::NoRoute => "no_route",
            Reason::NoTargetInTime => "no_target_in_time",
            Reason::RefusedByTargets => "refused_by_targets",
            Reason::NoAnswerInTime => "no_answer_in_time",
            Reason::TargetFailed => "target_failed",
            Reason::StreamBroken => "stream_broken",
            Reason::CallerLeft => "caller_left",
        }
    }

    fn status(self) -> u16 {
        match self {
            Reason::NoRoute => 404,
            Reason::NoConfiguration
            | Reason::Stopping
            | Reason::NoTargetInTime
            | Reason::RefusedByTargets => 503,
            Reason::NoAnswerInTime => 504,
            Reason::TargetFailed | Reason::StreamBroken | Reason::CallerLeft => 502,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Reason::NoConfiguration => Some(RETRY_START),
            Reason::Stopping => Some(Duration::ZERO),
            Reason::NoTargetInTime | Reason::RefusedByTargets => Some(RETRY_LATER),
            _ => None,
        }
    }
}

/// How a request ended.
enum Ended {
    /// A target's whole answer was passed on.
    Answered { status: u16, after: After },
    /// It ends for this reason; nothing has been sent to the caller.
    Refused(Reason),
    /// The connection must be closed.
    Cut(Reason),
}

/// What became of one send.
enum Sent {
    /// The answer has been passed on.
    Passed(u16),
    /// The target's own failure, whole; another run may do better.
    Failure(Whole),
    /// It was not run.
    NotRun(NotRun),
    /// It may have run.
    MayHaveRun(Failure),
}

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotRun {
    /// It could not be reached.
    Unreachable,
    /// It refused, and has told so.
    Refused,
}

/// One request on its way.
struct Run<'a> {
    req: &'a Request,
    ask: Ask,
    route: Arc<Route>,
    service: ServiceName,
    caller: CallerSide<'a>,
    began: Instant,
    until: Instant,
    sends: u32,
    runs: u32,
    may_have_run: bool,
    tried: Vec<TargetName>,
    relay: EventRelay,
    fallback: Option<Whole>,
    waited: Duration,
    /// When a load should be done for which the request can't wait.
    come_back: Option<Duration>,
    trail: String,
}

impl Run<'_> {
    fn want(&self) -> Want<'_> {
        Want {
            service: &self.service,
            model: self.ask.model.as_ref(),
            adapter: self.ask.adapter.as_ref(),
            prefix: self.ask.shared_parts.last().copied(),
        }
    }

    fn note(&mut self, text: std::fmt::Arguments<'_>) {
        let at = self.began.elapsed().as_millis();
        // Writing to a string does not fail.
        let _ = write!(self.trail, "{at}:{text};");
    }

    fn is_repeatable(&self) -> bool {
        self.route.repeat.may_run_again()
    }

    fn may_run_again(&self) -> bool {
        self.is_repeatable() && self.runs < self.route.attempts_max
    }

    fn give_up_at(&self) -> Instant {
        self.until.checked_sub(ANSWER_MARGIN).unwrap_or(self.until)
    }

    /// Returns when a target must have taken the request: callers leave a silent stream early.
    fn take_by(&self) -> Instant {
        if !self.route.repeat.is_stream() {
            return self.give_up_at();
        }
        let gap = self.route.gap_objective.unwrap_or(Duration::ZERO);
        let patience = LEAVE_LEAST
            .max(self.route.objective * LEAVE_OBJECTIVES)
            .max(gap * LEAVE_GAPS)
            .saturating_sub(LEAVE_MARGIN);
        self.give_up_at().min(self.began + patience)
    }
}

/// Serves requests from the targets of the fleet.
pub struct Server {
    state: Arc<State>,
    dialect: Arc<dyn Dialect>,
    recorder: Arc<dyn Recorder>,
    lifecycle: Arc<Lifecycle>,
}

impl Server {
    /// Makes a server on the shared state.
    pub fn new(
        state: Arc<State>,
        dialect: Arc<dyn Dialect>,
        recorder: Arc<dyn Recorder>,
        lifecycle: Arc<Lifecycle>,
    ) -> Self {
        Self { state, dialect, recorder, lifecycle }
    }

    fn route(&self, head: &Head, ask: &Ask) -> Result<(Arc<Route>, ServiceName), Reason> {
        if self.lifecycle.is_ending() {
            return Err(Reason::Stopping);
        }
        let catalog = self.state.catalog().ok_or(Reason::NoConfiguration)?;
        let host = head.header("host").unwrap_or("");
        let route = find_route(&catalog, host, &head.path).ok_or(Reason::NoRoute)?;
        let draw = xxhash_rust::xxh3::xxh3_64(ask.id.as_bytes());
        let service = route.service(draw).cloned().ok_or(Reason::NoRoute)?;
        Ok((route, service))
    }

    fn serve(&self, run: &mut Run<'_>) -> Ended {
        let now = self.state.now();
        self.state.fleet().arrived(&run.want(), now);
        loop {
            let target = match self.find_target(run) {
                Ok(target) => target,
                Err(reason) => return self.give_up(run, reason),
            };
            if run.sends == 0 {
                self.state.count_first_send(&run.service);
            } else if !self.state.take_second_send(&run.service) {
                self.leave(run, &target);
                run.note(format_args!("retry budget empty"));
                return self.give_up(run, Reason::RefusedByTargets);
            }
            run.sends += 1;
            let sent = self.send(run, &target);
            self.leave(run, &target);
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
        let is_late = Instant::now() >= run.give_up_at();
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

    /// Finds a target, waiting for a load or a free place as long as there is time.
    fn find_target(&self, run: &mut Run<'_>) -> Result<Arc<Target>, Reason> {
        let mut waits_for_load = false;
        let began = Instant::now();
        let found = loop {
            let seen = self.state.targets_changed.count();
            let now = self.state.now();
            let mut fleet = self.state.fleet();
            let pick = fleet.pick(&run.want(), &run.tried, now, &mut rand::rng());
            if let Pick::Target(target) = pick {
                break Ok(target);
            }
            if matches!(pick, Pick::NotLoaded) && !waits_for_load {
                waits_for_load = true;
                fleet.begin_waiting(&run.want(), now);
                drop(fleet);
                self.state.demand_changed.raise();
            } else {
                drop(fleet);
            }
            if self.lifecycle.is_ending() {
                // Nothing was sent, so another daemon can still serve it.
                break Err(Reason::Stopping);
            }
            let left = self.wait_left(run, matches!(pick, Pick::NotLoaded), now);
            if left.is_zero() {
                break Err(Reason::NoTargetInTime);
            }
            self.state.targets_changed.wait(seen, left.min(LOOK));
            if presence::has_left(run.caller.stream) {
                break Err(Reason::CallerLeft);
            }
        };
        if waits_for_load {
            self.state.fleet().end_waiting(&run.want());
        }
        let waited = began.elapsed();
        run.waited += waited;
        if waits_for_load {
            run.note(format_args!("waited {} ms for a load", waited.as_millis()));
        }
        found
    }

    /// Returns how much longer a request may wait for a target; zero if it would be in vain.
    fn wait_left(&self, run: &mut Run<'_>, for_load: bool, now: Time) -> Duration {
        let left = run.take_by().saturating_duration_since(Instant::now());
        if !for_load {
            return left;
        }
        let expected = self.state.fleet().expected(&run.want());
        match expected.map(|at| at.since(now)) {
            Some(span) if span <= left => left,
            Some(span) => {
                run.come_back = Some(span);
                Duration::ZERO
            }
            None => {
                let all = run.take_by().saturating_duration_since(run.began);
                let most = run.began + all.mul_f64(UNANNOUNCED_SHARE);
                most.saturating_duration_since(Instant::now())
            }
        }
    }

    fn send(&self, run: &mut Run<'_>, target: &Target) -> Sent {
        let request = self.request(run, target);
        let until = run.give_up_at();
        let opened =
            Exchange::open(target.address, &request, Some(run.caller.stream), until, &|| true);
        let sent = match opened {
            Ok(exchange) => self.receive(run, target, exchange),
            Err(Failure::CallerLeft) => Sent::MayHaveRun(Failure::CallerLeft),
            Err(f) if f.nothing_sent() => {
                run.note(format_args!("{} {f}", target.name));
                Sent::NotRun(NotRun::Unreachable)
            }
            Err(f) => Sent::MayHaveRun(f),
        };
        self.learn(run, target, &sent);
        sent
    }

    fn request(&self, run: &Run<'_>, target: &Target) -> Vec<u8> {
        let head = &run.req.head;
        let to = Forward {
            target: &target.name,
            left: run.until.saturating_duration_since(Instant::now()),
            urgency: run.route.priority.min(9),
            resume_after: run.relay.last_id.as_deref(),
        };
        let mut buf = Vec::with_capacity(512 + run.req.body.len());
        buf.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
        for (name, value) in self.dialect.forward(head, &to) {
            buf.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        if !run.req.body.is_empty() || head.has_body() {
            buf.extend_from_slice(format!("content-length: {}\r\n", run.req.body.len()).as_bytes());
        }
        buf.extend_from_slice(b"\r\n");
        buf.extend_from_slice(&run.req.body);
        buf
    }

    fn receive(&self, run: &mut Run<'_>, target: &Target, mut exchange: Exchange<'_>) -> Sent {
        let control = exchange.control();
        let patience = self.patience(run);
        control.wait_until(patience.first);
        let head = match exchange.head() {
            Ok(head) => head,
            Err(f) => {
                run.note(format_args!("{} {f}", target.name));
                run.runs += 1;
                return Sent::MayHaveRun(f);
            }
        };
        let verdict = self.dialect.judge(&run.ask.id, &target.name, head.status, &head.headers);
        match verdict {
            Verdict::Ran => {}
            Verdict::Foreign => {
                run.note(format_args!("{} foreign answer", target.name));
                run.runs += 1;
                return Sent::MayHaveRun(Failure::Foreign);
            }
            Verdict::NotRun => {
                run.note(format_args!("{} not run, {}", target.name, head.status));
                self.state.fleet().full(&target.name, self.state.now());
                return Sent::NotRun(NotRun::Refused);
            }
            Verdict::Misdirected { same_target } => {
                run.note(format_args!("{} misdirected", target.name));
                let now = self.state.now();
                let mut fleet = self.state.fleet();
                if same_target {
                    fleet.missing(&target.name, &run.want(), now);
                } else {
                    fleet.replaced(&target.name, now);
                }
                return Sent::NotRun(NotRun::Refused);
            }
        }
        run.runs += 1;
        let passed = if relay::is_stream(&head) && head.status == 200 {
            let body = exchange.body(&head);
            run.relay
                .pass(&head, body, &control, run.caller, patience)
                .map(|()| Sent::Passed(head.status))
        } else {
            control.wait_until(patience.first);
            relay::read_whole(&head, exchange.body(&head), &control)
                .and_then(|whole| self.pass_whole(run, &head, whole))
        };
        match passed {
            Ok(sent) => {
                run.note(format_args!("{} {}", target.name, head.status));
                sent
            }
            Err(f) => {
                let events = run.relay.events;
                run.note(format_args!("{} {f} after {events} events", target.name));
                Sent::MayHaveRun(f)
            }
        }
    }

    fn pass_whole(
        &self,
        run: &mut Run<'_>,
        head: &AnswerHead,
        whole: Whole,
    ) -> Result<Sent, Failure> {
        if run.relay.has_begun() {
            // The rest of a stream can't be continued with this.
            return Err(Failure::Malformed);
        }
        if head.status >= 500 {
            return Ok(Sent::Failure(whole));
        }
        if matches!(head.status, 408 | 421 | 429) {
            // Only a target that says so has not run the request.
            return Err(Failure::Malformed);
        }
        write(run, &whole).map_err(|_| Failure::CallerLeft)?;
        Ok(Sent::Passed(head.status))
    }

    /// Says how long a target may be silent before the request is sent elsewhere.
    fn patience(&self, run: &Run<'_>) -> Patience {
        let now = Instant::now();
        let until = run.give_up_at();
        let may_go_elsewhere =
            run.is_repeatable() && run.runs + 1 < run.route.attempts_max && run.sends < SENDS_MAX;
        if !may_go_elsewhere {
            return Patience { first: until, gap: until.saturating_duration_since(now), until };
        }
        let left = until.saturating_duration_since(now);
        let first = run.route.objective.mul_f64(FIRST_PATIENCE).max(PATIENCE_LEAST);
        let gap = run.route.gap_objective.unwrap_or(DEFAULT_GAP).mul_f64(GAP_PATIENCE);
        Patience { first: now + first.min(left.mul_f64(FIRST_SHARE)), gap, until }
    }

    /// Takes what a send has shown into the view of the target.
    fn learn(&self, run: &Run<'_>, target: &Target, sent: &Sent) {
        let now = self.state.now();
        let mut fleet = self.state.fleet();
        match sent {
            Sent::Passed(_) => fleet.succeeded(&target.name),
            Sent::Failure(_) => fleet.failed(&target.name),
            Sent::MayHaveRun(Failure::CallerLeft) => {}
            Sent::MayHaveRun(Failure::Silent) => {
                fleet.failed(&target.name);
                if run.is_repeatable() {
                    fleet.unreachable(&target.name, now);
                }
            }
            Sent::MayHaveRun(_) => fleet.failed(&target.name),
            Sent::NotRun(NotRun::Unreachable) => fleet.unreachable(&target.name, now),
            Sent::NotRun(NotRun::Refused) => {}
        }
    }

    fn refuse(
        &self,
        id: &str,
        reason: Reason,
        come_back: Option<Duration>,
        stream: &mut TcpStream,
        after: After,
    ) -> io::Result<After> {
        let headers = self.dialect.refusal(id, come_back.or(reason.retry_after()));
        let body = format!("{{\"reason\":\"{}\"}}", reason.name()).into_bytes();
        let content_type = "application/json".to_owned();
        let whole = Whole { status: reason.status(), content_type, headers, body };
        respond::write_whole(stream, &whole, after)?;
        Ok(after)
    }

    fn account(&self, run: &Run<'_>, ended: &Ended) {
        let total = run.began.elapsed();
        let outcome = match ended {
            Ended::Answered { status, .. } if *status < 400 => "answered",
            Ended::Answered { .. } => "target_error",
            Ended::Refused(reason) | Ended::Cut(reason) => reason.name(),
        };
        let service = ServiceName::new(Arc::clone(&run.route.name));
        self.recorder.count(outcome, &service, 1);
        self.recorder.time("request", &service, total);
        if let Some(first) = run.relay.first_at {
            self.recorder.time("first_event", &service, first.duration_since(run.began));
        }
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
            ("route", &run.route.name),
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
        let began = Instant::now();
        let ask = self.dialect.ask(&req.head);
        let (route, service) = match self.route(&req.head, &ask) {
            Ok(found) => found,
            Err(reason) => {
                event::FLEET_REFUSED.emit(&[
                    ("request", &ask.id),
                    ("reason", &reason.name()),
                    ("path", &req.head.path),
                ]);
                return self.refuse(&ask.id, reason, None, stream, after);
            }
        };
        let allowed = ask.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
        let caller_stream = stream.try_clone()?;
        let caller = CallerSide { stream: &caller_stream, http_1_1: req.head.http_1_1, after };
        let mut run = Run {
            req: &req,
            ask,
            route,
            service,
            caller,
            began,
            until: began + allowed,
            sends: 0,
            runs: 0,
            may_have_run: false,
            tried: Vec::new(),
            relay: EventRelay::default(),
            fallback: None,
            waited: Duration::ZERO,
            come_back: None,
            trail: String::new(),
        };
        let ended = self.serve(&mut run);
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
