//! The pipeline: one request from its head to its account.

use std::{
    collections::HashMap,
    io,
    net::TcpStream,
    sync::{Arc, Mutex},
    time::Duration,
};

use fastrace::prelude::{Span, SpanContext};
use serde::Serialize;
use tansyknot_control::{
    config::ConfigView,
    hosts::HostView,
    idempotency::{self, KeptAnswer, KeyHandle},
    pools::Pools,
    publish::Publisher,
};
use tansyknot_core::{
    clock::{Clock, Time},
    event,
    host::Target,
    name::{
        self, AttemptId, DaemonName, Incarnation, RequestId, ServiceName, TargetName, ZoneName,
    },
    refusal::{Outcome, Reason, Refusal},
    table::Table,
    telemetry::Recorder,
};
use tansyknot_policy::budget::RetryBudget;

use crate::{
    explain::{Decision, Explainer, Trail},
    http::{
        respond::{self, After, Whole},
        server::{Handler, Lifecycle, Request},
    },
    problem,
    stage::{
        account::{self, Account, Ended},
        admit::{self, CallerGate, KeyVerdict, Permit},
        attempt::{self, Answer, Attempt, Failure},
        identify::{self, Identified, Kind, Route},
        place::{Place, Placer},
        relay::{self, End, Ending, EventRelay},
    },
    upstream::{self, Reuse, Wire},
    watch::CallerWatch,
};

/// Attempts for one request, the first included.
const MAX_ATTEMPTS: u32 = 4;
/// Times that a broken stream is taken up again.
const MAX_RESUMES: u32 = 2;
/// When a caller should come back after every attempt failed to start.
const TARGET_RETRY: Duration = Duration::from_secs(2);

/// Orders to engines that a request gives rise to.
pub trait Replicas: Send + Sync {
    /// Takes in that an engine did not have a model that a row said was ready.
    fn not_loaded(&self, service: &ServiceName);

    /// Has the engine on `target` cancel an attempt whose caller has left.
    fn cancel(&self, target: &Target, attempt: &AttemptId);

    /// Has an adapter loaded beside its model on `target`.
    ///
    /// # Errors
    ///
    /// Fails if the engine refuses or does not answer.
    fn load_adapter(
        &self,
        target: &Target,
        service: &ServiceName,
        adapter: &name::AdapterName,
    ) -> tansyknot_core::Result<()>;
}

/// What the pipeline works with.
pub struct Parts {
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The list of hosts.
    pub hosts: Arc<HostView>,
    /// The pools of this daemon.
    pub pools: Arc<Pools>,
    /// Opens targets to requests.
    pub publisher: Arc<Publisher>,
    /// The table service, for idempotency keys.
    pub table: Arc<dyn Table>,
    /// Orders to engines.
    pub replicas: Arc<dyn Replicas>,
    /// Where figures go.
    pub recorder: Arc<dyn Recorder>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// How far the stop is.
    pub lifecycle: Arc<Lifecycle>,
    /// The decisions for the latest requests.
    pub explainer: Arc<Explainer>,
    /// The callers with an attempt under way.
    pub watch: Arc<CallerWatch>,
}

/// Options of the pipeline.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The name of this daemon.
    pub daemon: DaemonName,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that may wait for one service.
    pub waiting_max: usize,
    /// The longest deadline.
    pub deadline_max: Duration,
}

/// The pipeline.
pub struct Gateway {
    parts: Parts,
    options: GatewayOptions,
    callers: CallerGate,
    target_retries: Mutex<HashMap<TargetName, RetryBudget>>,
    pooled: ureq::Agent,
    fresh: ureq::Agent,
}

/// One request on its way through the pipeline.
struct Run<'a> {
    req: &'a Request,
    request: RequestId,
    stream: &'a Arc<TcpStream>,
    after: After,
    span: Span,
    account: Account,
}

/// What the pipeline has written to the caller.
enum Written {
    /// Nothing: the answer is still to be written.
    Nothing(Whole),
    /// The whole answer, as a stream.
    Stream(u16),
    /// A part of a stream and an error event.
    Part(Refusal),
}

/// What became of one attempt.
enum Tried {
    Written(Written),
    Failed(Failure),
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// The attempts for one request so far.
#[derive(Default)]
struct Tries {
    count: u32,
    avoid: Vec<TargetName>,
    may_have_run: bool,
}

impl Tries {
    fn note(&mut self, target: &TargetName, failure: Failure) {
        self.count += 1;
        self.may_have_run = self.may_have_run || !failure.is_not_run();
        if failure != Failure::NotLoaded {
            self.avoid.push(target.clone());
        }
    }

    /// Keeps a refusal from saying "not run" after an attempt that may have run.
    fn soften(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run || refusal.outcome == Outcome::Unknown {
            return refusal;
        }
        Refusal::unknown(
            Reason::TargetFailed,
            format!("an attempt broke; then: {}", refusal.detail),
        )
    }
}

impl Gateway {
    /// Makes the pipeline.
    pub fn new(parts: Parts, options: GatewayOptions) -> Self {
        Self {
            parts,
            options,
            callers: CallerGate::default(),
            target_retries: Mutex::default(),
            pooled: upstream::agent(Reuse::Pooled),
            fresh: upstream::agent(Reuse::Fresh),
        }
    }

    fn now(&self) -> Time {
        self.parts.clock.now()
    }

    /// Takes a request through identify, admit, place, attempt and relay.
    fn run(&self, run: &mut Run<'_>, route: &Route) -> Result<Written, Refusal> {
        let now = self.now();
        let req = self.identify(run, route, now)?;
        let permit = self.callers.enter(&req.caller, now)?;
        let mut key = None;
        let result = self.try_targets(run, &req, &permit, &mut key);
        self.settle_key(&result, key);
        if let Ok(Written::Nothing(_) | Written::Stream(_)) = &result {
            permit.success();
        }
        result
    }

    fn identify(&self, run: &mut Run<'_>, route: &Route, now: Time) -> Result<Identified, Refusal> {
        let max = self.options.deadline_max;
        let req = self.parts.config.with(|store| {
            let caller = identify::caller(store, &run.req.head)?;
            run.account.trail.add(now, Decision::Identified(caller.name.clone()));
            identify::identify(store, caller, route, run.req, now, max)
        })?;
        run.account.trail.service = Some(req.service.clone());
        run.account.trail.add(now, Decision::Ruled(req.rule.name.clone()));
        Ok(req)
    }

    fn try_targets(
        &self,
        run: &mut Run<'_>,
        req: &Identified,
        permit: &Permit<'_>,
        key: &mut Option<KeyHandle>,
    ) -> Result<Written, Refusal> {
        let mut tries = Tries::default();
        loop {
            let mut place = self.place(run, req, &tries.avoid).map_err(|r| tries.soften(r))?;
            if key.is_none()
                && let Some(replay) = self.take_key(run, req, key)?
            {
                return Ok(Written::Nothing(replay));
            }
            let began = self.now();
            let target = place.target.clone();
            let tried = self.attempt(run, req, &target).map_err(|r| tries.soften(r))?;
            let failure = match tried {
                Tried::Written(written) => {
                    if !matches!(written, Written::Part(_)) {
                        place.answered(self.now().since(began));
                        self.target_budget(&target, RetryBudget::success);
                    }
                    return Ok(written);
                }
                Tried::Failed(failure) => failure,
            };
            drop(place);
            self.note_failure(run, req, &target, failure);
            tries.note(&target, failure);
            if !self.may_retry(req, permit, &target, failure, &tries) {
                return Err(tries.soften(final_refusal(failure)));
            }
        }
    }

    fn place(
        &self,
        run: &mut Run<'_>,
        req: &Identified,
        avoid: &[TargetName],
    ) -> Result<Place<'_>, Refusal> {
        let _span = Span::enter_with_parent("place", &run.span);
        let placer = Placer {
            pools: &self.parts.pools,
            publisher: &self.parts.publisher,
            clock: self.parts.clock.as_ref(),
            zone: &self.options.zone,
            waiting_max: self.options.waiting_max,
        };
        let place = placer.place(req, avoid, run.stream)?;
        let now = self.now();
        if place.queued {
            run.account.queued = true;
            run.account.trail.add(now, Decision::Queued);
        }
        run.account.trail.add(now, Decision::Placed(place.target.clone()));
        Ok(place)
    }

    /// Takes the request's key, if it has one; returns the kept answer if it has run before.
    fn take_key(
        &self,
        run: &mut Run<'_>,
        req: &Identified,
        key: &mut Option<KeyHandle>,
    ) -> Result<Option<Whole>, Refusal> {
        let Some(text) = &req.key else { return Ok(None) };
        let table = self.parts.table.as_ref();
        let at_ms = self.parts.clock.wall_ms();
        let body = &run.req.body;
        let incarnation = &self.options.incarnation;
        let verdict = admit::take_key(table, req, text, body, &run.request, incarnation, at_ms)?;
        match verdict {
            KeyVerdict::Run(handle) => {
                run.account.trail.add(self.now(), Decision::KeyTaken);
                *key = Some(handle);
                Ok(None)
            }
            KeyVerdict::Replay(kept) => Ok(Some(replay(kept, &run.request))),
        }
    }

    fn attempt(
        &self,
        run: &mut Run<'_>,
        req: &Identified,
        target: &TargetName,
    ) -> Result<Tried, Refusal> {
        let Some(target) = self.parts.hosts.live_target(target) else {
            return Ok(Tried::Failed(Failure::NotSent));
        };
        if let Some(adapter) = &req.adapter
            && self.parts.replicas.load_adapter(&target, &req.service, adapter).is_err()
        {
            return Ok(Tried::Failed(Failure::RefusedToStart));
        }
        let now = self.now();
        let left = req.deadline.since(now);
        if left.is_zero() {
            let detail = "the deadline passed before the request was sent";
            return Err(Refusal::not_run(Reason::DeadlinePassed, detail));
        }
        let attempt_id = AttemptId::new(name::random_id());
        run.account.trail.add(now, Decision::Attempted(attempt_id.clone()));
        let span = Span::enter_with_parent("attempt", &run.span)
            .with_property(|| ("target", target.name.to_string()));
        let wire = Arc::new(Wire::new());
        let attempt = Attempt {
            req: run.req,
            identified: req,
            request: &run.request.clone(),
            attempt: &attempt_id,
            target: &target,
            left,
            traceparent: SpanContext::from_span(&span).map(|c| c.encode_w3c_traceparent()),
            wire: &wire,
        };
        let _watch = self.parts.watch.watch(run.stream, &wire);
        let tried = match attempt::send(self.agent(req), &attempt) {
            Ok(answer) => {
                if let Some(in_flight) = attempt::reported_in_flight(&answer) {
                    self.parts.pools.report(&req.service, &target.name, in_flight);
                }
                self.relay(run, &attempt, answer)
            }
            Err(_) if wire.is_cut() => Err(caller_left()),
            Err(failure) => Ok(Tried::Failed(failure)),
        };
        if wire.is_cut() && req.kind == Kind::Model {
            // The connection is closed already; an engine that resumes streams would go on.
            self.parts.replicas.cancel(&target, &attempt_id);
        }
        tried
    }

    fn agent(&self, req: &Identified) -> &ureq::Agent {
        if req.is_repeatable() { &self.pooled } else { &self.fresh }
    }

    fn relay(
        &self,
        run: &mut Run<'_>,
        attempt: &Attempt<'_>,
        answer: Answer,
    ) -> Result<Tried, Refusal> {
        let _span = Span::enter_with_parent("relay", &run.span);
        if relay::is_stream(&answer) {
            return self.relay_stream(run, attempt, answer);
        }
        match relay::read_whole(answer, &run.request) {
            Ok(whole) => {
                run.account.first_part = Some(self.now());
                Ok(Tried::Written(Written::Nothing(whole)))
            }
            Err(_) if attempt.wire.is_cut() => Err(caller_left()),
            Err(_) if self.now() >= attempt.identified.deadline => {
                Ok(Tried::Failed(Failure::TimedOut))
            }
            Err(_) => Ok(Tried::Failed(Failure::Broken)),
        }
    }

    fn relay_stream(
        &self,
        run: &mut Run<'_>,
        attempt: &Attempt<'_>,
        answer: Answer,
    ) -> Result<Tried, Refusal> {
        let ending = match attempt.identified.kind {
            Kind::Model => Ending::Done,
            Kind::Plain => Ending::EndOfBody,
        };
        let status = answer.status().as_u16();
        let mut events = EventRelay::new(ending);
        let http_1_1 = run.req.head.http_1_1;
        let begun = events.begin(&answer, &run.request, run.stream, http_1_1, run.after);
        begun.map_err(|_| caller_left())?;
        let mut answer = Some(answer);
        for resumes in 0..=MAX_RESUMES {
            let Some(part) = answer.take() else { break };
            let clock = &self.parts.clock;
            let first = &mut run.account.first_part;
            let end = events.pass(part, || {
                first.get_or_insert_with(|| clock.now());
            });
            match end {
                End::Whole => {
                    events.finish();
                    return Ok(Tried::Written(Written::Stream(status)));
                }
                End::CallerLeft => {
                    attempt.wire.cut();
                    return Err(caller_left());
                }
                End::Broken if attempt.wire.is_cut() => return Err(caller_left()),
                End::Broken if resumes < MAX_RESUMES => {
                    answer = self.resume(run, attempt, events.events);
                }
                End::Broken => {}
            }
        }
        Ok(Tried::Written(self.abort(run, attempt, events)))
    }

    /// Asks for the rest of a broken stream, if the engine keeps it and time is left.
    fn resume(&self, run: &mut Run<'_>, attempt: &Attempt<'_>, events: u64) -> Option<Answer> {
        if attempt.identified.kind == Kind::Plain {
            return None;
        }
        let left = attempt.identified.deadline.since(self.now());
        if left.is_zero() {
            return None;
        }
        let rest = attempt::resume(&self.pooled, attempt, events, left).ok()?;
        run.account.trail.add(self.now(), Decision::Resumed(events));
        Some(rest)
    }

    /// Ends a stream that can't be completed with an error event.
    fn abort(&self, run: &Run<'_>, attempt: &Attempt<'_>, events: EventRelay) -> Written {
        let late = self.now() >= attempt.identified.deadline;
        let reason = if late { Reason::DeadlinePassed } else { Reason::TargetFailed };
        let detail = format!("the stream broke after {} events", events.events);
        let refusal = Refusal::unknown(reason, detail);
        events.abort(&problem::error_event(&refusal, &run.request));
        Written::Part(refusal)
    }

    fn note_failure(
        &self,
        run: &mut Run<'_>,
        req: &Identified,
        target: &TargetName,
        failure: Failure,
    ) {
        let decision = if failure.is_not_run() {
            Decision::NotStarted(failure.code())
        } else {
            Decision::Broken(failure.code())
        };
        run.account.trail.add(self.now(), decision);
        event::ATTEMPT_FAILED.emit(&[
            ("request", &run.request),
            ("service", &req.service),
            ("target", target),
            ("failure", &failure.code()),
        ]);
        match failure {
            Failure::NotLoaded => {
                self.parts.pools.close(&req.service, target);
                self.parts.replicas.not_loaded(&req.service);
            }
            Failure::NotSent => self.parts.pools.close(&req.service, target),
            Failure::RefusedToStart | Failure::TimedOut | Failure::Broken => {}
        }
    }

    /// Tells whether a failed request goes to another target, within the budgets.
    fn may_retry(
        &self,
        req: &Identified,
        permit: &Permit<'_>,
        target: &TargetName,
        failure: Failure,
        tries: &Tries,
    ) -> bool {
        if tries.count >= MAX_ATTEMPTS {
            return false;
        }
        let safe = match failure {
            // The engine's word costs the target nothing, so it needs no budget; the request
            // waits for the replica to be loaded again.
            Failure::NotLoaded => return true,
            Failure::NotSent | Failure::RefusedToStart => true,
            Failure::Broken => req.is_repeatable(),
            Failure::TimedOut => false,
        };
        // A request for which no target is left is given up now, not at its deadline.
        let elsewhere = self.parts.pools.has_upstream_besides(&req.service, &tries.avoid);
        safe && elsewhere && self.target_budget(target, RetryBudget::take) && permit.take_retry()
    }

    fn target_budget<T>(&self, target: &TargetName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.target_retries.lock().expect("no holder of the lock panics");
        f(budgets.entry(target.clone()).or_default())
    }

    /// Records in the key's row what became of its request.
    fn settle_key(&self, result: &Result<Written, Refusal>, key: Option<KeyHandle>) {
        let Some(handle) = key else { return };
        let table = self.parts.table.as_ref();
        let settled = match result {
            Ok(Written::Nothing(whole)) => idempotency::finish(table, &handle, kept(whole)),
            Ok(Written::Stream(_)) => idempotency::finish(table, &handle, None),
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                idempotency::release(table, &handle)
            }
            // The outcome is unknown, and a started row says just that.
            Ok(Written::Part(_)) | Err(_) => Ok(()),
        };
        if let Err(e) = settled {
            event::KEY_ROW_LEFT.emit(&[("error", &e)]);
        }
    }

    fn models(&self, run: &Run<'_>) -> Result<Whole, Refusal> {
        let entry = |id: String| ModelEntry { id, object: "model", owned_by: "tansyknot" };
        let data = self.parts.config.with(|store| {
            let caller = identify::caller(store, &run.req.head)?;
            let permitted = |name: &str| {
                let resolved = store.resolve(name);
                resolved.is_some_and(|r| {
                    let model =
                        matches!(r.service.backend, tansyknot_config::object::Backend::Model(_));
                    model && caller.services.matches(&r.service.labels)
                })
            };
            let services = store.services().map(|s| s.name.to_string());
            let adapters = store.adapters().map(|(name, _)| name.to_string());
            let names = services.chain(adapters).filter(|name| permitted(name));
            Ok(names.map(entry).collect())
        })?;
        let list = ModelList { object: "list", data };
        Ok(json(200, &list))
    }

    fn health(&self) -> Whole {
        let draining = self.parts.lifecycle.is_draining();
        let knows = self.parts.config.version() > 0 && self.parts.hosts.is_known();
        let (status, body): (u16, &[u8]) = match (draining, knows) {
            (true, _) => (503, b"draining\n"),
            (false, true) => (200, b"ok\n"),
            (false, false) => (503, b"no configuration or no list of hosts\n"),
        };
        Whole {
            status,
            content_type: "text/plain".to_owned(),
            headers: Vec::new(),
            body: body.to_vec(),
        }
    }

    /// Writes what is still to be written and closes the account.
    fn finish(
        &self,
        run: Run<'_>,
        result: Result<Written, Refusal>,
        stream: &mut TcpStream,
    ) -> io::Result<After> {
        let (ended, written) = match result {
            Ok(Written::Nothing(whole)) => {
                let status = whole.status;
                let written = respond::write_whole(stream, &whole, run.after);
                (Ended::Answered(status), written.map(|()| run.after))
            }
            Ok(Written::Stream(status)) => (Ended::Answered(status), Ok(self.after_stream(&run))),
            Ok(Written::Part(refusal)) => (Ended::Refused(refusal), Ok(After::Close)),
            Err(refusal) if refusal.reason == Reason::CallerLeft => {
                (Ended::Refused(refusal), Ok(After::Close))
            }
            Err(refusal) => {
                let answer = problem::answer(&refusal, Some(&run.request));
                let written = respond::write_whole(stream, &answer, run.after);
                (Ended::Refused(refusal), written.map(|()| run.after))
            }
        };
        let recorder = self.parts.recorder.as_ref();
        account::close(recorder, &self.parts.explainer, run.account, &ended, self.now());
        written
    }

    fn after_stream(&self, run: &Run<'_>) -> After {
        if run.req.head.http_1_1 { run.after } else { After::Close }
    }
}

impl Handler for Gateway {
    fn handle(&self, req: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        let now = self.now();
        let request = RequestId::new(name::random_id());
        let parent = req.head.header("traceparent").and_then(SpanContext::decode_w3c_traceparent);
        let span = Span::root("request", parent.unwrap_or_else(SpanContext::random))
            .with_property(|| ("request", request.to_string()));
        let version = self.parts.config.version();
        let trail = Trail::new(request.clone(), self.options.daemon.clone(), version, now);
        let shared = Arc::new(stream.try_clone()?);
        let account = Account { trail, began: now, first_part: None, queued: false };
        let mut run = Run { req: &req, request, stream: &shared, after, span, account };
        let result = match identify::route(&run.req.head) {
            Ok(Route::Health) => {
                let health = self.health();
                respond::write_whole(stream, &health, after)?;
                return Ok(after);
            }
            Ok(Route::Models) => self.models(&run).map(Written::Nothing),
            Ok(route) => self.run(&mut run, &route),
            Err(refusal) => Err(refusal),
        };
        self.finish(run, result, stream)
    }
}

fn final_refusal(failure: Failure) -> Refusal {
    let code = failure.code();
    match failure {
        Failure::NotSent | Failure::NotLoaded | Failure::RefusedToStart => {
            let detail = format!("no target started the request: {code}");
            Refusal::later(Reason::NoTarget, TARGET_RETRY, detail)
        }
        Failure::TimedOut => Refusal::unknown(Reason::DeadlinePassed, "the target was too slow"),
        Failure::Broken => Refusal::unknown(Reason::TargetFailed, "the connection broke"),
    }
}

fn caller_left() -> Refusal {
    Refusal::unknown(Reason::CallerLeft, "the caller left while the target worked")
}

fn replay(kept: KeptAnswer, request: &RequestId) -> Whole {
    Whole {
        status: kept.status,
        content_type: kept.content_type,
        headers: vec![
            ("x-request-id".to_owned(), request.to_string()),
            ("idempotency-replayed".to_owned(), "true".to_owned()),
        ],
        body: kept.body.into_bytes(),
    }
}

fn kept(whole: &Whole) -> Option<KeptAnswer> {
    if whole.body.len() > idempotency::MAX_KEPT_ANSWER_BYTES {
        return None;
    }
    let body = String::from_utf8(whole.body.clone()).ok()?;
    Some(KeptAnswer { status: whole.status, content_type: whole.content_type.clone(), body })
}

fn json<T: Serialize>(status: u16, doc: &T) -> Whole {
    Whole {
        status,
        content_type: "application/json".to_owned(),
        headers: Vec::new(),
        body: serde_json::to_vec(doc).expect("documents have string keys"),
    }
}
