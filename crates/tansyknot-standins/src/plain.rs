//! A stand-in for a plain service that counts the executions of each request body.

use std::{
    collections::BTreeMap,
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tansyknot_edge::http::{
    respond::ConnectionAction,
    server::{Handler, Request},
};

use crate::server::{self, RunningServer};

/// Faults that the service can simulate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// The duration of a call, in milliseconds.
    pub slow_ms: u64,
    /// Calls block while this is set.
    pub hold: bool,
    /// The connection is closed without a response after the call has been executed.
    pub cut_answers: bool,
}

/// The state of a plain service.
#[derive(Default)]
pub struct PlainState {
    runs: Mutex<BTreeMap<String, u64>>,
    /// The enabled faults.
    pub faults: Mutex<PlainFaults>,
}

#[derive(Serialize)]
struct CallReport<'a> {
    path: &'a str,
    caller: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    traceparent: Option<&'a str>,
    runs: u64,
}

impl PlainState {
    /// Returns how often a call with this body was executed.
    pub fn executions_of(&self, body: &str) -> u64 {
        self.runs.lock().expect("no holder of the lock panics").get(body).copied().unwrap_or(0)
    }
}

impl Handler for PlainState {
    fn handle(
        &self,
        req: Request,
        stream: &Arc<TcpStream>,
        after: ConnectionAction,
    ) -> io::Result<ConnectionAction> {
        if let Some(result) = server::handle_faults(&req, stream, after, &self.faults) {
            return result;
        }
        if req.head.path == "/runs" {
            let runs = self.runs.lock().expect("no holder of the lock panics").clone();
            return server::json(stream, after, 200, &runs);
        }
        let faults = self.faults.lock().expect("no holder of the lock panics").clone();
        let body = String::from_utf8_lossy(&req.body.contiguous()).into_owned();
        let runs = {
            let mut runs = self.runs.lock().expect("no holder of the lock panics");
            let count = runs.entry(body).or_default();
            *count += 1;
            *count
        };
        thread::sleep(Duration::from_millis(faults.slow_ms));
        while self.faults.lock().expect("no holder of the lock panics").hold {
            thread::sleep(Duration::from_millis(1));
        }
        if faults.cut_answers {
            stream.shutdown(Shutdown::Both)?;
            return Ok(ConnectionAction::Close);
        }
        let caller = req.head.header("x-caller");
        let traceparent = req.head.header("traceparent");
        let report = CallReport { path: &req.head.path, caller, traceparent, runs };
        server::json(stream, after, 200, &report)
    }
}

/// Starts a plain service on `address`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(address: SocketAddr) -> io::Result<(RunningServer, Arc<PlainState>)> {
    let state = Arc::new(PlainState::default());
    let running = server::start(address, Arc::clone(&state) as Arc<dyn Handler>)?;
    Ok((running, state))
}
