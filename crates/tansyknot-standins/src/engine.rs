//! A stand-in of a model engine.

pub mod cache;
pub mod models;
pub mod streams;
pub mod turns;

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    engine::{EngineStatus, LoadOrder, UnloadOrder},
    host::Fencing,
    name::{AdapterName, ServiceName},
};
use tansyknot_edge::http::{
    respond::{self, After},
    server::{Handler, Request},
};

use self::{
    cache::Cache,
    models::{Models, OrderError},
    streams::{Stream, Streams},
    turns::Turns,
};
use crate::server::{self, Running};

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Memory for models, in bytes.
    pub memory_bytes: u64,
    /// Whether orders with an old fencing token are refused.
    pub fencing: Fencing,
    /// How long a load takes from the host's own disk.
    pub disk_load: Duration,
    /// The weight store; without one, remote loads take as long as from disk.
    pub weights: Option<SocketAddr>,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_gap: Duration,
    /// How far the load report and the cache events lag.
    pub report_lag: Duration,
    /// Requests that run at once; further ones take turns by priority.
    pub at_once: usize,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            memory_bytes: 80_000_000_000,
            fencing: Fencing::Checked,
            disk_load: Duration::from_millis(300),
            weights: None,
            first_token: Duration::from_millis(20),
            token_gap: Duration::from_millis(20),
            report_lag: Duration::from_millis(500),
            at_once: 4096,
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each fault is switched on by itself")]
pub struct EngineFaults {
    /// Streams end cleanly after this many events, without the last one; zero never.
    pub end_after_events: u64,
    /// Streams are cut off in the middle of the event after this many; zero never.
    pub cut_after_events: u64,
    /// A broken stream can't be resumed.
    pub forget_streams: bool,
    /// Requests are refused before they start.
    pub refuse: bool,
    /// Whole answers are cut off half-way.
    pub truncate: bool,
    /// Control orders are cut off after they took effect.
    pub lose_replies: bool,
}

/// What an engine has run, for tests that count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ran {
    /// The requests started, by identifier, in order.
    pub requests: Vec<String>,
}

/// An engine.
pub struct Engine {
    options: EngineOptions,
    /// Its models.
    pub models: Models,
    /// The turns of requests.
    pub turns: Turns,
    cache: Cache,
    role: Mutex<RoleOrder>,
    streams: Streams,
    ran: Mutex<Ran>,
    report: Mutex<Option<(Instant, EngineStatus)>>,
    /// The faults that are switched on.
    pub faults: Mutex<EngineFaults>,
}

#[derive(Deserialize)]
struct AdapterOrder {
    service: ServiceName,
    adapter: AdapterName,
}

/// What an engine is used for, and with which version of its software's model format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOrder {
    /// The role: `serve`, `prefill` or `decode`.
    #[serde(default)]
    pub role: String,
    /// The version.
    #[serde(default)]
    pub version: String,
}

#[derive(Deserialize)]
struct CancelOrder {
    attempt: String,
}

#[derive(Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
}

fn default_tokens() -> u64 {
    8
}

#[derive(Serialize)]
struct Seen {
    seen: u64,
}

#[derive(Serialize)]
struct WholeCompletion<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [Choice; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice {
    index: u32,
    message: Message,
    finish_reason: &'static str,
}

#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u64,
}

impl Engine {
    /// Makes an engine without models.
    pub fn new(options: EngineOptions) -> Self {
        let models = Models::new(options.memory_bytes, options.fencing);
        let turns = Turns::new(options.at_once);
        Self {
            options,
            models,
            turns,
            cache: Cache::default(),
            role: Mutex::default(),
            streams: Streams::default(),
            ran: Mutex::default(),
            report: Mutex::default(),
            faults: Mutex::default(),
        }
    }

    /// Returns what has been run.
    pub fn ran(&self) -> Ran {
        self.ran.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the status with request counts that lag.
    fn status(&self) -> EngineStatus {
        let now = self.models.status();
        let mut report = self.report.lock().expect("no holder of the lock panics");
        let fresh = report.as_ref().is_some_and(|(at, _)| at.elapsed() < self.options.report_lag);
        if !fresh {
            *report = Some((Instant::now(), now.clone()));
        }
        let mut status = now;
        if let Some((_, old)) = report.as_ref() {
            for model in &mut status.models {
                if let Some(then) = old.model(&model.service) {
                    // Busy is never hidden by the lag: a report may be late, not idle too early.
                    model.in_flight = model.in_flight.max(then.in_flight);
                }
            }
        }
        status
    }

    fn load(self: &Arc<Self>, order: &LoadOrder) -> Result<(), OrderError> {
        let tier = self.models.tier(&order.service);
        if !self.models.begin_load(order)? {
            return Ok(());
        }
        let engine = Arc::clone(self);
        let service = order.service.clone();
        thread::spawn(move || {
            engine.fetch(tier);
            engine.models.finish_load(&service);
        });
        Ok(())
    }

    fn fetch(&self, tier: tansyknot_core::engine::Tier) {
        use tansyknot_core::engine::Tier;
        match (tier, self.options.weights) {
            (Tier::Memory, _) => thread::sleep(self.options.disk_load / 4),
            (Tier::Remote, Some(weights)) => {
                // A store that is away makes the load take as long as its client waits.
                let _ = ureq::get(format!("http://{weights}/load")).call();
            }
            (Tier::Disk | Tier::Remote, _) => thread::sleep(self.options.disk_load),
        }
    }

    fn control(
        self: &Arc<Self>,
        req: &Request,
        stream: &mut TcpStream,
        after: After,
    ) -> io::Result<After> {
        let result = match req.head.path.as_str() {
            "/control/status" => return server::json(stream, after, 200, &self.status()),
            "/control/ran" => return server::json(stream, after, 200, &self.ran()),
            "/control/peaks" => return server::json(stream, after, 200, &self.models.peaks()),
            "/control/cache-events" => {
                let after_seq = server::query(req, "after").parse().unwrap_or(0);
                let events = self.cache.events(after_seq, self.options.report_lag);
                return server::json(stream, after, 200, &events);
            }
            "/control/role" => {
                let mut role = self.role.lock().expect("no holder of the lock panics");
                if req.head.method == "POST" {
                    *role = server::parse(req)?;
                }
                return server::json(stream, after, 200, &role.clone());
            }
            "/control/cancel" => {
                let order: CancelOrder = server::parse(req)?;
                self.streams.cancel(&order.attempt);
                Ok(())
            }
            "/control/load" => self.load(&server::parse::<LoadOrder>(req)?),
            "/control/unload" => self.models.unload(&server::parse::<UnloadOrder>(req)?),
            "/control/adapter" => {
                let order: AdapterOrder = server::parse(req)?;
                self.models.load_adapter(&order.service, &order.adapter)
            }
            _ => return server::json(stream, after, 404, &"no such page"),
        };
        if self.faults().lose_replies {
            return cut(stream);
        }
        match result {
            Ok(()) => server::json(stream, after, 202, &()),
            Err(OrderError::StaleFence(seen)) => server::json(stream, after, 412, &Seen { seen }),
            Err(OrderError::OutOfMemory) => server::json(stream, after, 507, &"out of memory"),
            Err(OrderError::Busy) => server::json(stream, after, 409, &"busy"),
        }
    }

    fn faults(&self) -> EngineFaults {
        self.faults.lock().expect("no holder of the lock panics").clone()
    }

    fn complete(&self, req: &Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        let Ok(body) = server::parse::<Completion>(req) else {
            return server::json(stream, after, 400, &"bad body");
        };
        if self.faults().refuse {
            return server::json(stream, after, 503, &"refused");
        }
        let Some(_running) = self.models.begin_request(&body.model) else {
            return server::json(stream, after, 404, &"model not loaded");
        };
        let priority = req.head.header("x-priority").and_then(|p| p.parse().ok()).unwrap_or(0);
        let _turn = self.turns.take(priority);
        self.cache.store(prefix_hash(&req.body));
        let attempt = req.head.header("x-attempt-id").unwrap_or("none").to_owned();
        let request = req.head.header("x-request-id").unwrap_or("none").to_owned();
        self.ran.lock().expect("no holder of the lock panics").requests.push(request);
        let timed = Stream {
            attempt,
            model: body.model,
            began: Instant::now(),
            first_token: self.options.first_token,
            token_gap: self.options.token_gap,
            tokens: body.max_tokens,
        };
        if body.stream {
            self.streams.keep(&timed);
            return self.write_stream(&timed, 0, stream, after);
        }
        self.write_whole(&timed, stream, after)
    }

    fn write_whole(
        &self,
        timed: &Stream,
        stream: &mut TcpStream,
        after: After,
    ) -> io::Result<After> {
        thread::sleep(timed.due(timed.tokens));
        let words: Vec<String> = (0..timed.tokens).map(streams::token).collect();
        let doc = WholeCompletion {
            id: &timed.attempt,
            object: "chat.completion",
            model: &timed.model,
            choices: [Choice {
                index: 0,
                message: Message { role: "assistant", content: words.concat() },
                finish_reason: "stop",
            }],
            usage: Usage { completion_tokens: timed.tokens },
        };
        if self.faults().truncate {
            use std::io::Write;
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n{\"half")?;
            return cut(stream);
        }
        server::json(stream, after, 200, &doc)
    }

    /// Writes the events of a stream after the first `skip`, each when it is due.
    fn write_stream(
        &self,
        timed: &Stream,
        skip: u64,
        stream: &mut TcpStream,
        after: After,
    ) -> io::Result<After> {
        let faults = self.faults();
        let cut_after = faults.cut_after_events;
        let mut out = respond::start_stream(
            stream,
            200,
            "text/event-stream",
            &[("x-in-flight".to_owned(), self.models.in_flight().to_string())],
            true,
            after,
        )?;
        for at in skip..=timed.tokens {
            thread::sleep(timed.due(at).saturating_sub(timed.began.elapsed()));
            if self.streams.is_cancelled(&timed.attempt) {
                return cut(stream);
            }
            if cut_after > 0 && at >= cut_after && skip == 0 {
                let event = timed.event(at);
                out.send(&event[..event.len() / 2])?;
                return cut(stream);
            }
            if faults.end_after_events > 0 && at >= faults.end_after_events {
                out.end();
                return Ok(after);
            }
            out.send(&timed.event(at))?;
        }
        out.end();
        Ok(after)
    }

    fn resume(&self, req: &Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        let attempt = req.head.path.trim_start_matches("/v1/streams/");
        let skip = server::query(req, "after").parse().unwrap_or(0);
        match self.streams.get(attempt) {
            Some(timed) if !self.faults().forget_streams => {
                let _running = self.models.begin_request(&timed.model);
                self.write_stream(&timed, skip, stream, after)
            }
            _ => server::json(stream, after, 404, &"no such stream"),
        }
    }
}

/// Bytes of a body that count as its prefix.
const PREFIX_BYTES: usize = 512;

fn prefix_hash(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&body[..body.len().min(PREFIX_BYTES)])
}

struct EngineHandler(Arc<Engine>);

impl Handler for EngineHandler {
    fn handle(&self, req: Request, stream: &mut TcpStream, after: After) -> io::Result<After> {
        let engine = &self.0;
        if let Some(done) = server::faults(&req, stream, after, &engine.faults) {
            return done;
        }
        match req.head.path.as_str() {
            path if path.starts_with("/control/") => engine.control(&req, stream, after),
            path if path.starts_with("/v1/streams/") => engine.resume(&req, stream, after),
            "/v1/chat/completions" | "/v1/completions" => engine.complete(&req, stream, after),
            _ => server::json(stream, after, 404, &"no such page"),
        }
    }
}

fn cut(stream: &mut TcpStream) -> io::Result<After> {
    stream.shutdown(Shutdown::Both)?;
    Ok(After::Close)
}

/// Starts an engine on `address`.
///
/// # Errors
///
/// Fails if the address can't be taken.
pub fn start(address: SocketAddr, options: EngineOptions) -> io::Result<(Running, Arc<Engine>)> {
    let engine = Arc::new(Engine::new(options));
    let running = server::start(address, Arc::new(EngineHandler(Arc::clone(&engine))))?;
    Ok((running, engine))
}
