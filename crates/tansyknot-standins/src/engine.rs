//! A stand-in for a model engine.

pub mod cache;
pub mod models;
pub mod permits;
pub mod streams;

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
    respond::{self, ConnectionAction},
    server::{Handler, Request},
};

use self::{
    cache::Cache,
    models::{Models, OrderError},
    permits::PermitQueue,
    streams::{Streams, TokenStream},
};
use crate::server::{self, RunningServer};

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The memory for models, in bytes.
    pub memory_bytes: u64,
    /// Whether orders with an old fencing token are rejected.
    pub fencing: Fencing,
    /// The duration of a load from the host's local disk.
    pub disk_load: Duration,
    /// The weight store. Without one, remote loads take as long as loads from disk.
    pub weights: Option<SocketAddr>,
    /// The time to the first token.
    pub first_token: Duration,
    /// The time between tokens.
    pub token_gap: Duration,
    /// The delay of the reported request counts and of the cache events.
    pub report_lag: Duration,
    /// The maximum number of requests that run at once. Further requests wait in the order of their
    /// priority.
    pub max_concurrent_requests: usize,
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
            max_concurrent_requests: 4096,
        }
    }
}

/// Faults that an engine can simulate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[expect(clippy::struct_excessive_bools, reason = "each fault is enabled separately")]
pub struct EngineFaults {
    /// Streams end cleanly after this many events, without the final event. Zero disables the
    /// fault.
    pub end_after_events: u64,
    /// The connection of a stream is closed in the middle of the event after this many events. Zero
    /// disables the fault.
    pub cut_after_events: u64,
    /// Broken streams can't be resumed.
    pub forget_streams: bool,
    /// Requests are rejected before they start.
    pub refuse: bool,
    /// Responses that are not streamed are truncated.
    pub truncate: bool,
    /// The connection of a control order is closed after the order has taken effect.
    pub lose_replies: bool,
}

/// The requests that an engine has executed, for tests that count them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ExecutedRequests {
    /// The identifiers of the started requests, in order.
    pub requests: Vec<String>,
}

/// A model engine.
pub struct Engine {
    options: EngineOptions,
    /// The models of the engine.
    pub models: Models,
    /// The queue of requests for permits to run.
    pub permits: PermitQueue,
    cache: Cache,
    role: Mutex<RoleOrder>,
    streams: Streams,
    executed: Mutex<ExecutedRequests>,
    report: Mutex<Option<(Instant, EngineStatus)>>,
    /// The enabled faults.
    pub faults: Mutex<EngineFaults>,
}

#[derive(Deserialize)]
struct AdapterOrder {
    service: ServiceName,
    adapter: AdapterName,
}

/// The role of an engine and the version of the model format of its software.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOrder {
    /// The role: `serve`, `prefill` or `decode`.
    #[serde(default)]
    pub role: String,
    /// The version of the model format.
    #[serde(default)]
    pub version: String,
}

#[derive(Deserialize)]
struct CancelOrder {
    attempt: String,
}

#[derive(Deserialize)]
struct CompletionRequest {
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
struct CompletionResponse<'a> {
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
    /// Creates an engine without models.
    pub fn new(options: EngineOptions) -> Self {
        let models = Models::new(options.memory_bytes, options.fencing);
        let permits = PermitQueue::new(options.max_concurrent_requests);
        Self {
            options,
            models,
            permits,
            cache: Cache::default(),
            role: Mutex::default(),
            streams: Streams::default(),
            executed: Mutex::default(),
            report: Mutex::default(),
            faults: Mutex::default(),
        }
    }

    /// Returns the executed requests.
    pub fn executed_requests(&self) -> ExecutedRequests {
        self.executed.lock().expect("no holder of the lock panics").clone()
    }

    /// Returns the status with request counts that lag by [`EngineOptions::report_lag`].
    fn status(&self) -> EngineStatus {
        let current = self.models.status();
        let mut report = self.report.lock().expect("no holder of the lock panics");
        let is_recent =
            report.as_ref().is_some_and(|(at, _)| at.elapsed() < self.options.report_lag);
        if !is_recent {
            *report = Some((Instant::now(), current.clone()));
        }
        let mut status = current;
        if let Some((_, old)) = report.as_ref() {
            for model in &mut status.models {
                if let Some(old_model) = old.model(&model.service) {
                    // The lag may report a model as busy for too long, but never as idle too early.
                    model.in_flight = model.in_flight.max(old_model.in_flight);
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
            engine.transfer_weights(tier);
            engine.models.finish_load(&service);
        });
        Ok(())
    }

    fn transfer_weights(&self, tier: tansyknot_core::engine::Tier) {
        use tansyknot_core::engine::Tier;
        match (tier, self.options.weights) {
            (Tier::Memory, _) => thread::sleep(self.options.disk_load / 4),
            (Tier::Remote, Some(weights)) => {
                // If the store is unreachable, the load takes until the client's timeout.
                let _ = ureq::get(format!("http://{weights}/load")).call();
            }
            (Tier::Disk | Tier::Remote, _) => thread::sleep(self.options.disk_load),
        }
    }

    fn control(
        self: &Arc<Self>,
        req: &Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let result = match req.head.path.as_str() {
            "/control/status" => return server::json(stream, after, 200, &self.status()),
            "/control/ran" => return server::json(stream, after, 200, &self.executed_requests()),
            "/control/peaks" => return server::json(stream, after, 200, &self.models.peaks()),
            "/control/cache-events" => {
                let after_seq = server::query_param(req, "after").parse().unwrap_or(0);
                let events = self.cache.events(after_seq, self.options.report_lag);
                return server::json(stream, after, 200, &events);
            }
            "/control/role" => {
                let mut role = self.role.lock().expect("no holder of the lock panics");
                if req.head.method == "POST" {
                    *role = server::parse_body(req)?;
                }
                return server::json(stream, after, 200, &role.clone());
            }
            "/control/cancel" => {
                let order: CancelOrder = server::parse_body(req)?;
                self.streams.cancel(&order.attempt);
                Ok(())
            }
            "/control/load" => self.load(&server::parse_body::<LoadOrder>(req)?),
            "/control/unload" => self.models.unload(&server::parse_body::<UnloadOrder>(req)?),
            "/control/adapter" => {
                let order: AdapterOrder = server::parse_body(req)?;
                self.models.load_adapter(&order.service, &order.adapter)
            }
            _ => return server::json(stream, after, 404, &"no such page"),
        };
        if self.faults().lose_replies {
            return close_connection(stream);
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

    fn complete(
        &self,
        req: &Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let Ok(body) = server::parse_body::<CompletionRequest>(req) else {
            return server::json(stream, after, 400, &"bad body");
        };
        if self.faults().refuse {
            return server::json(stream, after, 503, &"refused");
        }
        let Some(_running) = self.models.begin_request(&body.model) else {
            return server::json(stream, after, 404, &"model not loaded");
        };
        let priority = req.head.header("x-priority").and_then(|p| p.parse().ok()).unwrap_or(0);
        let _permit = self.permits.acquire(priority);
        self.cache.store(prefix_hash(&req.body.contiguous()));
        let attempt = req.head.header("x-attempt-id").unwrap_or("none").to_owned();
        let request = req.head.header("x-request-id").unwrap_or("none").to_owned();
        self.executed.lock().expect("no holder of the lock panics").requests.push(request);
        let token_stream = TokenStream {
            attempt,
            model: body.model,
            started_at: Instant::now(),
            first_token: self.options.first_token,
            token_gap: self.options.token_gap,
            tokens: body.max_tokens,
        };
        if body.stream {
            self.streams.insert(&token_stream);
            return self.write_stream(&token_stream, 0, stream, after);
        }
        self.write_response(&token_stream, stream, after)
    }

    fn write_response(
        &self,
        token_stream: &TokenStream,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        thread::sleep(token_stream.due_after(token_stream.tokens));
        let words: Vec<String> = (0..token_stream.tokens).map(streams::token_text).collect();
        let doc = CompletionResponse {
            id: &token_stream.attempt,
            object: "chat.completion",
            model: &token_stream.model,
            choices: [Choice {
                index: 0,
                message: Message { role: "assistant", content: words.concat() },
                finish_reason: "stop",
            }],
            usage: Usage { completion_tokens: token_stream.tokens },
        };
        if self.faults().truncate {
            use std::io::Write;
            (&**stream).write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n{\"half")?;
            return close_connection(stream);
        }
        server::json(stream, after, 200, &doc)
    }

    /// Writes the events of a stream except for the first `skip`, each at its due time.
    fn write_stream(
        &self,
        token_stream: &TokenStream,
        skip: u64,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
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
        for index in skip..=token_stream.tokens {
            thread::sleep(
                token_stream.due_after(index).saturating_sub(token_stream.started_at.elapsed()),
            );
            if self.streams.is_cancelled(&token_stream.attempt) {
                return close_connection(stream);
            }
            if cut_after > 0 && index >= cut_after && skip == 0 {
                let event = token_stream.event(index);
                out.send(&event[..event.len() / 2])?;
                return close_connection(stream);
            }
            if faults.end_after_events > 0 && index >= faults.end_after_events {
                out.end();
                return Ok(after);
            }
            out.send(&token_stream.event(index))?;
        }
        out.end();
        Ok(after)
    }

    fn resume(
        &self,
        req: &Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let attempt = req.head.path.trim_start_matches("/v1/streams/");
        let skip = server::query_param(req, "after").parse().unwrap_or(0);
        match self.streams.get(attempt) {
            Some(token_stream) if !self.faults().forget_streams => {
                let _running = self.models.begin_request(&token_stream.model);
                self.write_stream(&token_stream, skip, stream, after)
            }
            _ => server::json(stream, after, 404, &"no such stream"),
        }
    }
}

/// The number of leading bytes of a body that make up its prefix.
const PREFIX_BYTES: usize = 512;

fn prefix_hash(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&body[..body.len().min(PREFIX_BYTES)])
}

struct EngineHandler(Arc<Engine>);

impl Handler for EngineHandler {
    fn handle(
        &self,
        req: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        let engine = &self.0;
        if let Some(result) = server::handle_faults(&req, stream, after, &engine.faults) {
            return result;
        }
        match req.head.path.as_str() {
            path if path.starts_with("/control/") => engine.control(&req, stream, after),
            path if path.starts_with("/v1/streams/") => engine.resume(&req, stream, after),
            "/v1/chat/completions" | "/v1/completions" => engine.complete(&req, stream, after),
            _ => server::json(stream, after, 404, &"no such page"),
        }
    }
}

fn close_connection(stream: &Arc<TcpStream>) -> io::Result<ConnectionAction> {
    stream.shutdown(Shutdown::Both)?;
    Ok(ConnectionAction::Close)
}

/// Starts an engine on `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(
    address: SocketAddr,
    options: EngineOptions,
) -> io::Result<(RunningServer, Arc<Engine>)> {
    let engine = Arc::new(Engine::new(options));
    let running = server::start(address, Arc::new(EngineHandler(Arc::clone(&engine))))?;
    Ok((running, engine))
}
